#pragma once

#include "base/error.h"
#include "base/supervisor.h"
#include "decision/event.h"

#include <string>

namespace bluebell::edge {

/// What operators see and order over the admin port.
/// Thread safety: implementations may be called from any thread and bound the time they wait.
class operations {
public:
    operations() = default;
    operations(const operations&) = delete;
    operations& operator=(const operations&) = delete;
    operations(operations&&) = delete;
    operations& operator=(operations&&) = delete;
    virtual ~operations() = default;

    /// Whether the router takes new requests; otherwise the reason, such as `not_ready` or `draining`.
    [[nodiscard]] virtual base::result<void> readiness() const = 0;
    [[nodiscard]] virtual base::child_report tree() const = 0;
    /// The whole decision state. Error: `not_ready` if the decider does not answer in time.
    virtual base::result<decision::state_report> dump() = 0;
    /// The fleet as this router sees it. Errors as for `dump`.
    virtual base::result<decision::state_report> status() = 0;
    /// Counters in Prometheus text format.
    virtual std::string metrics() = 0;
    /// The release head, or the chunk with this name if `chunk` is not empty. Errors: `not_ready`,
    /// `store_not_found`.
    virtual base::result<std::string> config(const std::string& chunk) = 0;
    /// Starts a graceful stop; returns at once.
    virtual void drain() = 0;
};

} // namespace bluebell::edge
