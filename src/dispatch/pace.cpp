#include "dispatch/pace.h"

#include <algorithm>
#include <cmath>

namespace bluebell::dispatch {
namespace {

/// Largest weight of one observation. Observations may be many seconds apart in a large fleet, and single
/// ones are distorted by work that this router did not know of.
constexpr double max_gain = 0.15;
/// Time constant of the trust in stated disturbances.
constexpr base::duration trust_time = std::chrono::seconds(2);
/// Observations that the usual stated figure, and the initial trust, count as.
constexpr double prior_observations = 2;
/// Logarithm of a stated disturbance from which on observations confirm or contradict it, and are not
/// evidence on the constant part.
constexpr double min_disturbance = 0.26; // a factor of 1.3
/// Time without an observation from which on the constant part fades, and until when. An upstream that is
/// avoided because it was slow gets work again this way.
constexpr base::duration fade_start = std::chrono::seconds(30);
constexpr base::duration fade_end = std::chrono::seconds(90);

const double max_log = std::log(upstream_pace::max_factor);

double seconds_between(base::time_point earlier, base::time_point later) {
    return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

/// Weight of an observation that follows the last one after `elapsed_s`, as one of `count`.
double gain(double elapsed_s, base::duration time_constant, std::uint32_t count) {
    const double by_time = 1 - std::exp(-elapsed_s / std::chrono::duration<double>(time_constant).count());
    return std::max(std::min(by_time, max_gain), 1 / (static_cast<double>(count) + 1 + prior_observations));
}

} // namespace

void upstream_pace::record_stated(base::pace_percent percent, base::time_point now) {
    stated_ = percent;
    stated_at_ = now;
    if (now >= next_sample_at_) {
        next_sample_at_ = now + sample_interval;
        samples_[next_sample_] = std::log(std::max(1, percent.value()) / 100.0);
        next_sample_ = (next_sample_ + 1) % sample_count;
        samples_ready_ = std::min(samples_ready_ + 1, sample_count);
        std::array<double, sample_count> sorted = samples_;
        const std::array<double, sample_count>::iterator middle =
            sorted.begin() + static_cast<std::ptrdiff_t>((samples_ready_ - 1) / 2);
        std::nth_element(sorted.begin(), middle,
                         sorted.begin() + static_cast<std::ptrdiff_t>(samples_ready_));
        usual_stated_ = std::clamp(*middle, -max_log, max_log);
    }
    update_factors();
}

void upstream_pace::record_observed(double ratio, base::time_point now) {
    const double observed = std::clamp(std::log(std::max(ratio, 1e-3)), -2 * max_log, 2 * max_log);
    const bool recent = stated_ && now - stated_at_ < statement_time / 2;
    const double stated = recent ? std::log(std::max(1, stated_->value()) / 100.0) : usual_stated_;
    const double disturbance = std::clamp(stated - usual_stated_, -max_log, max_log);
    if (std::abs(disturbance) >= min_disturbance) {
        const double confirmed = std::clamp((observed - std::log(constant_factor_)) / disturbance, -0.5, 1.5);
        const double weight = gain(seconds_between(trust_at_, now), trust_time, trust_observations_++);
        trust_ = std::clamp(trust_ + weight * (confirmed - trust_), 0.0, 1.0);
        trust_at_ = now;
    }
    if (std::abs(disturbance) * trust_ < min_disturbance) {
        const double weight = gain(seconds_between(observed_at_, now), constant_time, observations_++);
        // The mean of the times, not of their logarithms: requests that wait long behind others count in
        // full. A single one counts as a factor of four at most.
        const double change = std::exp(std::clamp(observed - observed_, -max_log, max_log)) - 1;
        observed_ = std::clamp(observed_ + std::log(1 + weight * change), -max_log, max_log);
        observed_at_ = now;
    }
    update_factors();
}

/// The usual stated figure counts until there are observations, and much less with each one.
void upstream_pace::update_factors() {
    const double prior_share = prior_observations / (prior_observations + static_cast<double>(observations_));
    const double stated_weight = prior_share * prior_share;
    const double constant = observed_ * (1 - stated_weight) + usual_stated_ * stated_weight;
    constant_factor_ = std::exp(std::clamp(constant, -max_log, max_log));
    const double stated = stated_ ? std::log(std::max(1, stated_->value()) / 100.0) : usual_stated_;
    disturbance_factor_ = std::exp(trust_ * std::clamp(stated - usual_stated_, -max_log, max_log));
}

double upstream_pace::duration_factor(base::time_point now) const {
    double constant = constant_factor_;
    if (observations_ > 0 && now - observed_at_ > fade_start) {
        const double left = std::chrono::duration<double>(observed_at_ + fade_end - now).count() /
                            std::chrono::duration<double>(fade_end - fade_start).count();
        constant = 1 + (constant - 1) * std::max(0.0, left);
    }
    const base::duration age = now - stated_at_;
    if (!stated_ || age >= statement_time) {
        return constant;
    }
    // A disturbance that is seen at a random moment is over with a probability that grows linearly.
    const double left = 1 - std::max(0.0, std::chrono::duration<double>(age).count()) /
                                std::chrono::duration<double>(statement_time).count();
    return constant * (1 + (disturbance_factor_ - 1) * left);
}

double upstream_pace::capacity_factor(base::time_point now) const {
    return std::clamp(1 / duration_factor(now), min_capacity, 1.0);
}

} // namespace bluebell::dispatch
