#pragma once

#include "base/clock.h"

#include <cstddef>
#include <optional>

namespace bluebell::decision {

/// Phase of a graceful stop.
enum class drain_state {
    serving,
    draining,  ///< new requests are refused; waiting ones are still served
    finishing, ///< the limit has passed: waiting ones are refused, running ones finish
    answered,  ///< the grace is nearly over: no request is left, claims are still being settled
    drained,   ///< nothing is left; the process may stop
};

struct drain_settings {
    /// Time during which waiting requests are still served.
    base::duration limit = std::chrono::seconds(60);
    /// Minimum time for which readiness is false before an idle router stops, so that the load balancer
    /// notices.
    base::duration unready_period = std::chrono::seconds(1);
    /// Time from the signal to stop until the process is killed.
    base::duration grace = std::chrono::hours(24);
};

/// Returns how long before the process is killed the requests that are still open are answered.
base::duration answer_margin(base::duration grace);

/// State machine of a graceful stop. Running requests are not cancelled before the grace is nearly over; each
/// has its own deadline.
/// Thread safety: used by one thread.
class drain {
public:
    explicit drain(drain_settings settings) : settings_(settings) {}

    /// Starts the drain; has no effect if it has already started.
    void begin(base::time_point now);

    /// Advances the state. `in_progress` is the number of waiting and running requests and of claims that are
    /// not settled. Returns true once, when the limit has passed and waiting requests are to be refused.
    [[nodiscard]] bool tick(std::size_t in_progress, base::time_point now);

    /// Returns true once, when the requests that are still open are to be answered before the process is
    /// killed. To be called after `tick`.
    [[nodiscard]] bool answers_due(base::time_point now);

    [[nodiscard]] drain_state state() const { return state_; }

private:
    [[nodiscard]] base::time_point answer_at() const;

    drain_settings settings_;
    drain_state state_ = drain_state::serving;
    std::optional<base::time_point> started_at_;
};

} // namespace bluebell::decision
