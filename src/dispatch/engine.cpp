#include "dispatch/engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell::dispatch {
namespace {

constexpr double ns_per_ms = 1e6;
/// Steps of the estimate for one observation: of the constant in ms, and of the slope as a part of itself.
constexpr double base_step_ms = 0.5;
constexpr double slope_step = 0.004;
constexpr double typical_gain = 0.01;
/// The slope stays within this factor of the prior.
constexpr double slope_range = 3;
/// Constant part of the time to the first token before anything was observed, in ms.
constexpr double prior_base_ms = 45;
constexpr double min_base_ms = 1;
constexpr double max_base_ms = 250;
/// Age of a part, in tokens stored since its last use over the room for parts, up to which it is surely kept
/// and from which on it is surely gone. Room and stored tokens are estimates.
constexpr double sure_age = 0.6;
constexpr double gone_age = 1.4;

} // namespace

void prefill_model::set_prior(double tokens_per_ms) {
    prior_ms_per_token_ = 1.0 / tokens_per_ms;
    if (!observed_) {
        ms_per_token_ = prior_ms_per_token_;
        base_ms_ = prior_base_ms;
    }
}

/// One step of stochastic descent on the absolute error, which leads to the median.
void prefill_model::observe(token_count work, base::duration elapsed) {
    observed_ = true;
    const double w = static_cast<double>(work.value());
    const double t = static_cast<double>(elapsed.count()) / ns_per_ms;
    const double direction = t > base_ms_ + ms_per_token_ * w ? 1 : -1;
    typical_work_ += typical_gain * (w - typical_work_);
    base_ms_ = std::clamp(base_ms_ + direction * base_step_ms, min_base_ms, max_base_ms);
    const double leverage = std::min(w / std::max(typical_work_, 1.0), 3.0);
    ms_per_token_ = std::clamp(ms_per_token_ * (1 + direction * slope_step * leverage), prior_ms_per_token_ / slope_range,
                        prior_ms_per_token_ * slope_range);
}

base::duration prefill_model::predict(token_count work) const {
    const double ms = base_ms_ + ms_per_token_ * static_cast<double>(work.value());
    return base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
}

double part_cache::hit_probability(part_id part, token_count room) const {
    const auto found = last_used_.find(part);
    if (found == last_used_.end() || room.value() <= 0) {
        return 0;
    }
    const double age =
        static_cast<double>((stored_tokens_ - found->second).value()) / static_cast<double>(room.value());
    return std::clamp((gone_age - age) / (gone_age - sure_age), 0.0, 1.0);
}

std::vector<part_id> part_cache::recent_parts(token_count room, std::size_t limit) const {
    std::vector<std::pair<token_count, part_id>> recent;
    for (const auto& [part, used] : last_used_) {
        if (stored_tokens_ - used < room) {
            recent.emplace_back(used, part);
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

void part_cache::expire(token_count room) {
    for (auto entry = last_used_.begin(); entry != last_used_.end();) {
        entry = stored_tokens_ - entry->second >= room ? last_used_.erase(entry) : std::next(entry);
    }
}

} // namespace bluebell::dispatch
