#pragma once

#include "base/clock.h"
#include "decision/message.h"
#include "dispatch/event.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// Running estimate of how long the engines of one pool take until the first token: a constant plus a time
/// for each token that has to be read before. Follows the median of the observations, since a few requests
/// wait many times as long behind the longest prompts.
/// Thread safety: used by one thread.
class prefill_model {
public:
    /// Where the estimate starts and stays near. Pre-condition: `tokens_per_ms` is greater than zero.
    void set_prior(double tokens_per_ms);
    /// `work` tokens were waiting or part of the request when it was sent; it took `elapsed`.
    void observe(token_count work, base::duration elapsed);
    [[nodiscard]] base::duration predict(token_count work) const;
    [[nodiscard]] double tokens_per_ms() const { return 1.0 / ms_per_token_; }

private:
    double prior_ms_per_token_ = 1.0 / 40;
    double ms_per_token_ = 1.0 / 40;
    double base_ms_ = 40;
    /// Smoothed work of an observation, the scale of the steps of the slope.
    double typical_work_ = 4000;
    bool observed_ = false;
};

/// Which parts of prompts an engine probably keeps, by what all routers sent it. The engine drops the parts
/// that were not used for longest when others need the memory, so age is counted in tokens stored since the
/// last use.
/// Thread safety: used by one thread.
class part_cache {
public:
    /// Tokens that the engine has stored since the last call.
    void add_stored(token_count added) { stored_tokens_ += added; }
    void touch(part_id part) { last_used_[part] = stored_tokens_; }
    /// Probability that the engine still keeps the part. `room` is the memory that running requests leave for
    /// kept parts.
    [[nodiscard]] double hit_probability(part_id part, token_count room) const;
    /// Parts that are probably kept, at most `limit`, the most recently used first.
    [[nodiscard]] std::vector<part_id> recent_parts(token_count room, std::size_t limit) const;
    /// Forgets parts that were used before `room` tokens were stored. To be called now and then.
    void expire(token_count room);

private:
    token_count stored_tokens_;
    std::unordered_map<part_id, token_count> last_used_;
};

/// Work that one router has placed on one upstream.
struct placed_work {
    std::uint32_t running = 0;
    /// Prompt tokens of requests without a first event.
    token_count pending_tokens;
    /// Tokens in memory, prompts and expected answers.
    token_count memory_tokens;

    placed_work& operator+=(const placed_work& other) {
        running += other.running;
        pending_tokens += other.pending_tokens;
        memory_tokens += other.memory_tokens;
        return *this;
    }
    /// Nothing goes below zero.
    placed_work& operator-=(const placed_work& other) {
        running -= std::min(running, other.running);
        pending_tokens = std::max(pending_tokens - other.pending_tokens, token_count());
        memory_tokens = std::max(memory_tokens - other.memory_tokens, token_count());
        return *this;
    }
};

/// What this router knows of one upstream beside its entry.
struct upstream_state {
    placed_work own;
    /// Sum of what the peers report.
    placed_work peers;
    part_cache cache;
    /// Tokens stored by this router since its start, for its reports.
    token_count stored_tokens;
    /// Shared parts that this router used since its last report.
    std::vector<std::uint64_t> unreported_parts;
    /// Parts that peers reported since the last digests, for the own data centre and for all.
    std::set<std::uint64_t> parts_for_data_centre;
    std::set<std::uint64_t> parts_for_fleet;
    /// Sum of the growth of what the peers have stored.
    std::uint64_t peers_stored_tokens = 0;
    /// Shared parts of this router's running requests, with the number of those; the engine keeps them.
    std::unordered_map<part_id, std::uint32_t> in_use;
    /// Observed time to the first event over the predicted one, smoothed.
    double slowness = 1;
    /// Share of the attempts that failed, smoothed.
    double failure_rate = 0;
    /// No work is sent before this time, after connections failed.
    base::time_point down_until;
    std::uint32_t connect_failures = 0;
    /// Start of the process that the state belongs to.
    std::int64_t started_ms = 0;

    [[nodiscard]] placed_work total() const {
        placed_work sum = own;
        sum += peers;
        return sum;
    }
};

} // namespace bluebell::dispatch
