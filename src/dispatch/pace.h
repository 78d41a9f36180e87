#pragma once

#include "base/clock.h"
#include "base/unit.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bluebell::dispatch {

/// How long work takes at one upstream compared with the usual time of its pool.
///
/// Answers two loads: machines that are constantly slower or faster than others (0.55 to 1.2 times the usual
/// speed), and disturbances of 600 ms during which work takes 2.5 times as long. Observed times decide about
/// the constant part, stated figures about the disturbance: a figure counts in proportion to what the
/// upstream usually states. So it does not matter whether the figure of a slow machine contains its constant
/// part, which would otherwise count twice. Thread safety: used by one thread.
class upstream_pace {
public:
    /// Time constant of the constant part while observations are frequent.
    static constexpr base::duration constant_time = std::chrono::seconds(3);
    /// Time after which a stated figure counts no more: the length of a disturbance.
    static constexpr base::duration statement_time = std::chrono::milliseconds(600);
    /// Bound of the constant part and of the disturbance, as a factor in both directions.
    static constexpr double max_factor = 4;
    /// Least share of an upstream's capacity that is used.
    static constexpr double min_capacity = 0.25;

    /// Records a figure that the upstream states; 100 is the usual time.
    /// Pre-condition: `percent` is more than zero.
    void record_stated(base::pace_percent percent, base::time_point now);
    /// Records the actual time of a piece of work divided by the predicted time at an upstream of the usual
    /// pace. A figure stated with the same answer has to be recorded first.
    void record_observed(double ratio, base::time_point now);

    /// Expected time of work now divided by the usual time.
    [[nodiscard]] double duration_factor(base::time_point now) const;
    /// Share of the slots and of the memory to use: one, or less at a slow upstream.
    [[nodiscard]] double capacity_factor(base::time_point now) const;

    /// Last stated figure; empty if the upstream has stated none.
    [[nodiscard]] std::optional<base::pace_percent> stated() const { return stated_; }
    /// Share of a stated disturbance that observations confirm, from zero to one.
    [[nodiscard]] double trust() const { return trust_; }

private:
    /// Logarithms of figures from which the usual one is taken: the median of samples at least
    /// `sample_interval` apart. A disturbance of 600 ms fills two of them.
    static constexpr std::size_t sample_count = 15;
    static constexpr base::duration sample_interval = std::chrono::milliseconds(300);

    void update_factors();

    std::optional<base::pace_percent> stated_;
    base::time_point stated_at_;
    /// Starts with three figures of the usual pace, so that the first ones stated count as a difference.
    std::array<double, sample_count> samples_{};
    std::size_t samples_ready_ = 3;
    std::size_t next_sample_ = 3;
    base::time_point next_sample_at_;
    /// Logarithm of the figure that the upstream usually states.
    double usual_stated_ = 0;
    /// Logarithm of the observed constant part.
    double observed_ = 0;
    std::uint32_t observations_ = 0;
    base::time_point observed_at_;
    double trust_ = 1;
    std::uint32_t trust_observations_ = 0;
    base::time_point trust_at_;
    /// The constant part and the disturbance as factors, so that no logarithm is needed for a choice.
    double constant_factor_ = 1;
    double disturbance_factor_ = 1;
};

} // namespace bluebell::dispatch
