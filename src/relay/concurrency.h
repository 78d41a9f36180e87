#pragma once

#include "base/clock.h"

#include <cstddef>
#include <limits>

namespace bluebell::relay {

/// Bounds the requests in progress of an event loop that has more work than its processor can do: the bound
/// falls by a factor while the loop is behind and rises by steps after that. So the loop sheds as much as
/// lets it finish the rest, where it would otherwise refuse everything until it has caught up.
/// Thread safety: used by one thread.
class concurrency_limit {
public:
    /// Interval of the changes of the bound; a stream takes several of them.
    static constexpr base::duration adjust_interval = std::chrono::milliseconds(100);
    /// Requests that are taken however far the loop is behind.
    static constexpr std::size_t min_limit = 64;

    /// Records the lag of the loop and the number of requests in progress.
    void update(base::duration lag, std::size_t in_progress, base::time_point now);
    /// Returns true if a request beside `in_progress` others is to be refused.
    [[nodiscard]] bool reached(std::size_t in_progress) const { return in_progress >= limit_; }

private:
    /// Without a bound, the greatest value.
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    base::time_point next_adjustment_;
};

} // namespace bluebell::relay
