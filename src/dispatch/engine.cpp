#include "dispatch/engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell::dispatch {
namespace {

constexpr double ns_per_ms = 1e6;
/// Steps of the estimate for one observation: of the constant in ms, and of the time per token relative to
/// its value.
constexpr double base_step_ms = 0.5;
constexpr double token_time_step = 0.004;
/// Weight of one observation in the smoothed work.
constexpr double typical_work_gain = 0.01;
/// The time per token stays within this factor of the prior.
constexpr double max_prior_factor = 3;
/// Constant part of the time to the first token before the first observation, in ms.
constexpr double prior_base_ms = 45;
/// Bounds of the constant part, in ms.
constexpr double min_base_ms = 1;
constexpr double max_base_ms = 250;
/// Age of a part up to which it counts as certainly cached, and from which on as certainly evicted. The age
/// is the number of tokens stored since the last use divided by the cache capacity; both are estimates, so
/// the probability falls linearly in between.
constexpr double certain_hit_age = 0.6;
constexpr double certain_miss_age = 1.4;
/// Least weight of one observation in the service time, the factor by which one counts at most, and the
/// bounds of the estimate.
constexpr double service_time_gain = 0.03;
constexpr std::uint32_t max_counted_observations = 1000;
constexpr double max_service_time_step = 4;
constexpr base::duration min_service_time = std::chrono::milliseconds(1);
constexpr base::duration max_service_time = std::chrono::seconds(2);

} // namespace

void prefill_model::set_prior(double tokens_per_ms) {
    prior_ms_per_token_ = 1.0 / tokens_per_ms;
    if (!observed_) {
        ms_per_token_ = prior_ms_per_token_;
        base_ms_ = prior_base_ms;
    }
}

/// Makes one step of stochastic gradient descent on the absolute error, which converges to the median.
void prefill_model::observe(token_count work, base::duration elapsed) {
    observed_ = true;
    const double tokens = static_cast<double>(work.value());
    const double elapsed_ms = static_cast<double>(elapsed.count()) / ns_per_ms;
    const double direction = elapsed_ms > base_ms_ + ms_per_token_ * tokens ? 1 : -1;
    typical_work_ += typical_work_gain * (tokens - typical_work_);
    base_ms_ = std::clamp(base_ms_ + direction * base_step_ms, min_base_ms, max_base_ms);
    const double leverage = std::min(tokens / std::max(typical_work_, 1.0), 3.0);
    ms_per_token_ =
        std::clamp(ms_per_token_ * (1 + direction * token_time_step * leverage),
                   prior_ms_per_token_ / max_prior_factor, prior_ms_per_token_ * max_prior_factor);
}

base::duration prefill_model::predict(token_count work) const {
    const double ms = base_ms_ + ms_per_token_ * static_cast<double>(work.value());
    return base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
}

void service_time::observe(double ratio) {
    const double gain = std::max(service_time_gain, 1.0 / (2.0 + static_cast<double>(observations_)));
    observations_ = std::min(observations_ + 1, max_counted_observations);
    const double change = std::clamp(ratio, 1 / max_service_time_step, max_service_time_step) - 1;
    const base::duration next = std::chrono::duration_cast<base::duration>(expected_ * (1 + gain * change));
    expected_ = std::clamp<base::duration>(next, min_service_time, max_service_time);
}

double part_cache::hit_probability(part_id part, token_count capacity) const {
    const auto found = last_used_.find(part);
    if (found == last_used_.end() || capacity.value() <= 0) {
        return 0;
    }
    const double age =
        static_cast<double>((stored_tokens_ - found->second).value()) / static_cast<double>(capacity.value());
    return std::clamp((certain_miss_age - age) / (certain_miss_age - certain_hit_age), 0.0, 1.0);
}

std::vector<part_id> part_cache::recent_parts(token_count capacity, std::size_t limit) const {
    std::vector<std::pair<token_count, part_id>> recent;
    for (const auto& [part, used_at] : last_used_) {
        if (stored_tokens_ - used_at < capacity) {
            recent.emplace_back(used_at, part);
        }
    }
    const std::size_t count = std::min(limit, recent.size());
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count), recent.end(),
                      [](const auto& a, const auto& b) { return b.first < a.first; });
    std::vector<part_id> parts;
    for (std::size_t i = 0; i < count; ++i) {
        parts.push_back(recent[i].second);
    }
    return parts;
}

void part_cache::expire(token_count max_age) {
    for (auto entry = last_used_.begin(); entry != last_used_.end();) {
        entry = stored_tokens_ - entry->second >= max_age ? last_used_.erase(entry) : std::next(entry);
    }
}

} // namespace bluebell::dispatch
