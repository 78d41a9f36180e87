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
    prior_slope_ = 1.0 / tokens_per_ms;
    if (!observed_) {
        slope_ = prior_slope_;
        base_ = prior_base_ms;
    }
}

/// One step of stochastic descent on the absolute error, which leads to the median.
void prefill_model::observe(token_count work, base::duration elapsed) {
    observed_ = true;
    const double w = static_cast<double>(work.value());
    const double t = static_cast<double>(elapsed.count()) / ns_per_ms;
    const double direction = t > base_ + slope_ * w ? 1 : -1;
    typical_ += typical_gain * (w - typical_);
    base_ = std::clamp(base_ + direction * base_step_ms, min_base_ms, max_base_ms);
    const double leverage = std::min(w / std::max(typical_, 1.0), 3.0);
    slope_ = std::clamp(slope_ * (1 + direction * slope_step * leverage), prior_slope_ / slope_range,
                        prior_slope_ * slope_range);
}

base::duration prefill_model::predict(token_count work) const {
    const double ms = base_ + slope_ * static_cast<double>(work.value());
    return base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
}

double part_cache::holds(part_id part, token_count room) const {
    const auto found = used_.find(part);
    if (found == used_.end() || room.value() <= 0) {
        return 0;
    }
    const double age =
        static_cast<double>((clock_ - found->second).value()) / static_cast<double>(room.value());
    return std::clamp((gone_age - age) / (gone_age - sure_age), 0.0, 1.0);
}

std::vector<part_id> part_cache::kept(token_count room, std::size_t limit) const {
    std::vector<std::pair<token_count, part_id>> recent;
    for (const auto& [part, used] : used_) {
        if (clock_ - used < room) {
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
    for (auto entry = used_.begin(); entry != used_.end();) {
        entry = clock_ - entry->second >= room ? used_.erase(entry) : std::next(entry);
    }
}

} // namespace bluebell::dispatch
