#pragma once

#include "base/error.h"
#include "base/supervisor.h"
#include "decision/event.h"

#include <string>

namespace bluebell::edge {

/// Queries and commands of operators on the admin port.
/// Thread safety: implementations may be called from any thread and must limit the time they wait.
class operations {
public:
    operations() = default;
    operations(const operations&) = delete;
    operations& operator=(const operations&) = delete;
    operations(operations&&) = delete;
    operations& operator=(operations&&) = delete;
    virtual ~operations() = default;

    /// Succeeds if the router accepts new requests. Errors: the reason, such as `not_ready` or `draining`.
    [[nodiscard]] virtual base::result<void> readiness() const = 0;
    /// Returns the state of the supervisor tree.
    [[nodiscard]] virtual base::child_report tree() const = 0;
    /// Returns the whole decision state. Error: `not_ready` if the decider does not answer in time.
    virtual base::result<decision::state_report> dump() = 0;
    /// Returns the state of the fleet as known to this router. Errors as for `dump`.
    virtual base::result<decision::state_report> status() = 0;
    /// Returns all metrics in Prometheus text format.
    virtual std::string metrics() = 0;
    /// Returns the release head, or the chunk with this name if `chunk` is not empty. Errors: `not_ready`,
    /// `store_not_found`.
    virtual base::result<std::string> config(const std::string& chunk) = 0;
    /// Starts a graceful stop; returns at once.
    virtual void drain() = 0;
};

} // namespace bluebell::edge
