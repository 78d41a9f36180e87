#pragma once

#include "base/clock.h"

namespace bluebell::dispatch {

/// What a router that was asked to stop does when. All times follow from the grace: the time from the signal
/// until the process is killed.
class drain_plan {
public:
    drain_plan(base::time_point signalled_at, base::duration grace);

    /// Until when new requests are accepted, so that load balancers notice in time.
    [[nodiscard]] base::time_point accept_until() const { return accept_until_; }
    /// Until when a router without requests goes on, to refuse callers that still come.
    [[nodiscard]] base::time_point refuse_until() const { return refuse_until_; }
    /// When the requests that are still open are answered.
    [[nodiscard]] base::time_point answer_at() const { return answer_at_; }
    /// Until when callers may take the rest of their answers.
    [[nodiscard]] base::time_point deliver_until() const { return deliver_until_; }
    /// Time that every accepted request has, whatever it may need.
    [[nodiscard]] base::duration min_run_time() const { return answer_at_ - accept_until_; }

private:
    base::time_point accept_until_;
    base::time_point refuse_until_;
    base::time_point answer_at_;
    base::time_point deliver_until_;
};

} // namespace bluebell::dispatch
