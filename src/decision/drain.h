#pragma once

#include "base/clock.h"

#include <cstddef>
#include <optional>

namespace bluebell::decision {

enum class drain_state {
    serving,
    draining,  ///< no new requests; waiting ones are served
    finishing, ///< the limit has passed: waiting ones are refused, running ones finish
    drained,   ///< nothing is left; the process may stop
};

struct drain_settings {
    /// How long waiting requests may still be served.
    base::duration limit = std::chrono::seconds(60);
    /// Readiness is false for this long before an idle router stops, so that the balancer has noticed.
    base::duration notice = std::chrono::seconds(1);
};

/// Steps of a graceful stop. A request in progress is never cut; each has its own deadline.
/// Thread safety: used by one thread.
class drain {
public:
    explicit drain(drain_settings settings) : settings_(settings) {}

    /// Starts to drain; has no effect if already started.
    void begin(base::time_point now);

    /// `in_progress` counts waiting and running requests and claims that are not settled. Returns true once,
    /// when waiting requests are to be refused.
    [[nodiscard]] bool tick(std::size_t in_progress, base::time_point now);

    [[nodiscard]] drain_state state() const { return state_; }

private:
    drain_settings settings_;
    drain_state state_ = drain_state::serving;
    std::optional<base::time_point> began_;
};

} // namespace bluebell::decision
