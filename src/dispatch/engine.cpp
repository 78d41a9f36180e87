#include "dispatch/engine.h"

#include <algorithm>
#include <iterator>

namespace bluebell::dispatch {
namespace {

constexpr double ns_per_ms = 1e6;
/// Weight of earlier observations after each new one; remembers about two hundred.
constexpr double forgetting = 0.995;
/// Observations that the prior is worth.
constexpr double prior_weight = 20;
/// The fitted rate stays within this factor of the prior.
constexpr double slope_range = 4;
/// Constant part of the time to the first token before anything was observed, in ms.
constexpr double prior_base_ms = 40;
constexpr double min_base_ms = 1;
constexpr double max_base_ms = 200;

} // namespace

void prefill_model::set_prior(double tokens_per_ms) {
    prior_slope_ = 1.0 / tokens_per_ms;
    if (count_ == 0) {
        slope_ = prior_slope_;
        base_ = prior_base_ms;
    }
}

void prefill_model::observe(token_count work, base::duration elapsed) {
    const double w = static_cast<double>(work.value());
    const double t = static_cast<double>(elapsed.count()) / ns_per_ms;
    count_ = count_ * forgetting + 1;
    sum_work_ = sum_work_ * forgetting + w;
    sum_time_ = sum_time_ * forgetting + t;
    sum_work2_ = sum_work2_ * forgetting + w * w;
    sum_work_time_ = sum_work_time_ * forgetting + w * t;
    fit();
}

/// Least squares with the prior as pseudo-observations at zero and at twice the mean work.
void prefill_model::fit() {
    const double typical = std::max(2 * sum_work_ / count_, 1.0);
    const double half = prior_weight / 2;
    const double n = count_ + prior_weight;
    const double w = sum_work_ + half * typical;
    const double t = sum_time_ + half * prior_base_ms + half * (prior_base_ms + prior_slope_ * typical);
    const double w2 = sum_work2_ + half * typical * typical;
    const double wt = sum_work_time_ + half * typical * (prior_base_ms + prior_slope_ * typical);
    const double spread = n * w2 - w * w;
    const double slope = spread > 0 ? (n * wt - w * t) / spread : prior_slope_;
    slope_ = std::clamp(slope, prior_slope_ / slope_range, prior_slope_ * slope_range);
    base_ = std::clamp((t - slope_ * w) / n, min_base_ms, max_base_ms);
}

base::duration prefill_model::predict(token_count work) const {
    const double ms = base_ + slope_ * static_cast<double>(work.value());
    return base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
}

bool part_cache::holds(part_id part, token_count room) const {
    const auto found = used_.find(part);
    return found != used_.end() && clock_ - found->second < room;
}

void part_cache::expire(token_count room) {
    for (auto entry = used_.begin(); entry != used_.end();) {
        entry = clock_ - entry->second >= room ? used_.erase(entry) : std::next(entry);
    }
}

} // namespace bluebell::dispatch
