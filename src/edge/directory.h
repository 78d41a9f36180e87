#pragma once

#include "decision/config.h"

#include <memory>

namespace bluebell::edge {

/// Where the front end finds client accounts and pools.
/// Thread safety: implementations may be called from any thread.
class directory {
public:
    directory() = default;
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = delete;
    directory& operator=(directory&&) = delete;
    virtual ~directory() = default;

    /// The configuration in force, which does not change once it is returned; null before the first one.
    [[nodiscard]] virtual std::shared_ptr<const decision::fleet_config> lookup() const = 0;
};

} // namespace bluebell::edge
