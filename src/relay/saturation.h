#pragma once

#include "base/clock.h"

#include <optional>

namespace bluebell::relay {

/// Detects that an event loop has more work than its processor can do. The lag is the time for which the loop
/// has not caught up with its ready descriptors.
/// Thread safety: used by one thread.
class saturation {
public:
    /// Lag beyond which costly requests are refused and the router counts as overloaded.
    static constexpr base::duration max_lag = std::chrono::milliseconds(150);
    /// Lag beyond which requests that cost little are refused too, such as those to services without an
    /// engine.
    static constexpr base::duration max_lag_cheap = std::chrono::milliseconds(600);
    /// Time for which the router stays overloaded after the lag exceeded `max_lag`. The load balancer checks
    /// readiness each second and acts on the second answer, so a shorter time could go unnoticed.
    static constexpr base::duration recovery_time = std::chrono::seconds(3);

    /// Records the result of a wait; to be called after each. `behind` is true if more descriptors may be
    /// ready than were handled.
    void update(bool behind, base::time_point now);
    /// Returns true if a new request is to be refused. `cheap` is true for requests that cost little.
    [[nodiscard]] bool refuses(bool cheap) const { return lag_ > (cheap ? max_lag_cheap : max_lag); }
    /// Lag at the last wait.
    [[nodiscard]] base::duration lag() const { return lag_; }
    /// Returns true while new connections should go to other routers.
    [[nodiscard]] bool overloaded(base::time_point now) const { return now < overloaded_until_; }

private:
    std::optional<base::time_point> behind_since_;
    base::time_point overloaded_until_;
    /// Lag at the last call of `update`.
    base::duration lag_{};
};

} // namespace bluebell::relay
