#pragma once

#include "base/clock.h"
#include "decision/message.h"
#include "dispatch/event.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// Running estimate of how long the engines of one pool take until the first token: a constant plus a time
/// for each token that has to be read before. Fitted on observed first events with exponential forgetting.
/// Thread safety: used by one thread.
class prefill_model {
public:
    /// Pre-condition: `tokens_per_ms` is greater than zero. The prior counts as `prior_weight` observations.
    void set_prior(double tokens_per_ms);
    /// `work` tokens were waiting or part of the request when it was sent; it took `elapsed`.
    void observe(token_count work, base::duration elapsed);
    [[nodiscard]] base::duration predict(token_count work) const;
    [[nodiscard]] double tokens_per_ms() const { return 1.0 / slope_; }
    [[nodiscard]] double base_ms() const { return base_; }

private:
    void fit();

    double prior_slope_ = 1.0 / 40;
    double slope_ = 1.0 / 40;
    double base_ = 40;
    double count_ = 0;
    double sum_work_ = 0;
    double sum_time_ = 0;
    double sum_work2_ = 0;
    double sum_work_time_ = 0;
};

/// Which parts of prompts an engine probably keeps, by what this router sent it.
/// Thread safety: used by one thread.
class part_cache {
public:
    void touch(const std::vector<prompt_part>& parts, base::time_point now);
    [[nodiscard]] bool holds(part_id id, base::time_point now) const;
    void clear();

private:
    void expire(base::time_point now);

    std::unordered_map<part_id, base::time_point> used_;
    std::deque<std::pair<base::time_point, part_id>> order_;
};

/// Work that one router has placed on one upstream.
struct placed_work {
    std::uint32_t running = 0;
    /// Prompt tokens of requests without a first event.
    token_count pending;
    /// Tokens in memory, prompts and expected answers.
    token_count memory;

    placed_work& operator+=(const placed_work& other) {
        running += other.running;
        pending += other.pending;
        memory += other.memory;
        return *this;
    }
};

/// What this router knows of one upstream beside its entry.
struct upstream_state {
    placed_work own;
    /// Sum of what the peers report.
    placed_work peers;
    part_cache cache;
    /// Observed time to the first event over the predicted one, smoothed.
    double slowness = 1;
    /// Share of the attempts that failed, smoothed.
    double failures = 0;
    /// No work is sent before this time, after connections failed.
    base::time_point down_until;
    std::uint32_t connect_failures = 0;
    /// Start of the process that the state belongs to.
    std::int64_t born_ms = 0;

    [[nodiscard]] placed_work total() const {
        placed_work sum = own;
        sum += peers;
        return sum;
    }
};

} // namespace bluebell::dispatch
