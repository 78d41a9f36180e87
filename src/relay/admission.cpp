#include "relay/admission.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

/// Largest minimum retry delay stated to callers whose requests are refused because the router is behind.
constexpr base::duration max_overload_retry_delay = std::chrono::milliseconds(500);
/// Bounds the excess of an account that is computed from its share.
constexpr double min_share = 0.01;
/// Retry delay stated to callers of an account that requests twice what it gets; grows with its excess up to
/// the maximum, since fewer of those that return are admitted.
constexpr base::duration share_retry_unit = std::chrono::milliseconds(200);
constexpr base::duration max_share_retry_delay = std::chrono::seconds(2);

} // namespace

base::duration admission::share_retry_delay(double share) {
    const double excess = 1 / std::max(share, min_share) - 1;
    const base::duration delay = std::min(
        std::chrono::duration_cast<base::duration>(share_retry_unit * excess), max_share_retry_delay);
    std::uniform_int_distribution<base::duration::rep> jitter(0, delay.count());
    return delay + base::duration(jitter(random_));
}

void admission::update(bool behind, std::size_t in_progress, base::time_point now) {
    saturation_.update(behind, now);
    concurrency_.update(saturation_.lag(), in_progress, now);
}

std::optional<refusal> admission::refuse(bool cheap, double share, std::size_t in_progress) {
    if (share < 1 && std::uniform_real_distribution<double>(0, 1)(random_) >= share) {
        return refusal{base::error_code::over_fair_share, share_retry_delay(share)};
    }
    if (!(cheap ? saturation_.refuses(true) : concurrency_.reached(in_progress))) {
        return std::nullopt;
    }
    // Reading a request takes processor time also if it is refused: callers that return at once keep the
    // router behind.
    const base::duration delay = std::min(saturation_.lag(), max_overload_retry_delay);
    std::uniform_int_distribution<base::duration::rep> jitter(0, delay.count());
    return refusal{base::error_code::queue_full, delay + base::duration(jitter(random_))};
}

} // namespace bluebell::relay
