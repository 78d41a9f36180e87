#include "relay/concurrency.h"

#include "relay/saturation.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

/// Factor by which the bound falls in each interval in which the loop is behind.
constexpr double decrease_factor = 0.8;
/// The bound rises by one and by its quotient with this number in each interval after that.
constexpr std::size_t increase_divisor = 10;
/// The bound ends when it is more than this many times what is in progress.
constexpr std::size_t unbounded_factor = 4;

} // namespace

void concurrency_limit::update(base::duration lag, std::size_t in_progress, base::time_point now) {
    if (now < next_adjustment_) {
        return;
    }
    constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();
    if (lag > saturation::max_lag) {
        const std::size_t current = std::min(limit_, in_progress);
        limit_ =
            std::max(min_limit, static_cast<std::size_t>(decrease_factor * static_cast<double>(current)));
        next_adjustment_ = now + adjust_interval;
    } else if (limit_ != unbounded && lag == base::duration::zero()) {
        limit_ += 1 + limit_ / increase_divisor;
        if (limit_ > unbounded_factor * std::max(in_progress, min_limit)) {
            limit_ = unbounded;
        }
        next_adjustment_ = now + adjust_interval;
    }
}

} // namespace bluebell::relay
