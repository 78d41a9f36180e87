#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>

namespace bluebell::dispatch {

/// Estimates from the timeouts that callers of a route state how long a caller has been trying: one that
/// retries has less time left than callers usually have at a first attempt.
/// Thread safety: used by one thread.
class attempt_estimate {
public:
    /// Records the timeout of a request and returns the time of the caller's earlier attempts; zero for a
    /// first attempt.
    base::duration record(base::duration timeout);

private:
    /// How often each timeout was seen, newer ones weighing more. The most frequent one belongs to first
    /// attempts.
    std::map<base::duration, std::uint32_t> counts_;
};

} // namespace bluebell::dispatch
