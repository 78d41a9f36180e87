#pragma once

#include "decision/config.h"

#include <memory>

namespace bluebell::edge {

/// Gives the front end access to client accounts and pools.
/// Thread safety: implementations may be called from any thread.
class directory {
public:
    directory() = default;
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = delete;
    directory& operator=(directory&&) = delete;
    virtual ~directory() = default;

    /// Returns the configuration in force, or null if there is none yet. The returned object does not change.
    [[nodiscard]] virtual std::shared_ptr<const decision::fleet_config> lookup() const = 0;
};

} // namespace bluebell::edge
