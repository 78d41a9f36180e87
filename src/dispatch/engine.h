#pragma once

#include "base/clock.h"
#include "decision/message.h"
#include "dispatch/event.h"
#include "dispatch/pace.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// Running estimate of the time that the engines of one pool take until the first token: a constant plus a
/// time for each token that has to be read first. Follows the median of the observations, because a few
/// requests wait many times as long behind the longest prompts.
/// Thread safety: used by one thread.
class prefill_model {
public:
    /// Sets the throughput at which the estimate starts and near which it stays. Pre-condition:
    /// `tokens_per_ms` is greater than zero.
    void set_prior(double tokens_per_ms);
    /// Adds an observation: the first token came `elapsed` after the request was sent, when the engine had
    /// `work` tokens to read, those of the request included.
    void observe(token_count work, base::duration elapsed);
    /// Expected time until the first token if `work` tokens have to be read.
    [[nodiscard]] base::duration predict(token_count work) const;
    /// Estimated throughput of reading prompts.
    [[nodiscard]] double tokens_per_ms() const { return 1.0 / ms_per_token_; }

private:
    double prior_ms_per_token_ = 1.0 / 40;
    double ms_per_token_ = 1.0 / 40;
    double base_ms_ = 40;
    /// Smoothed work of an observation in tokens; scales the steps of `ms_per_token_`.
    double typical_work_ = 4000;
    bool observed_ = false;
};

/// Running estimate of the time that the plain services of one pool take for a request at the usual pace, the
/// way to them included.
/// Thread safety: used by one thread.
class service_time {
public:
    /// Adds an observation: the answer took `ratio` times as long as predicted.
    void observe(double ratio);
    [[nodiscard]] base::duration expected() const { return expected_; }

private:
    base::duration expected_ = std::chrono::milliseconds(50);
    std::uint32_t observations_ = 0;
};

/// Prompt parts that an engine probably has cached, estimated from what all routers sent to it. The engine
/// evicts the least recently used parts when it needs the memory, so the age of a part is counted in tokens
/// stored since its last use.
/// Thread safety: used by one thread.
class part_cache {
public:
    /// Adds tokens that the engine has stored since the last call.
    void add_stored(token_count added) { stored_tokens_ += added; }
    /// Records a use of the part.
    void touch(part_id part) { last_used_[part] = stored_tokens_; }
    /// Probability that the engine still has the part cached. `capacity` is the memory that running requests
    /// leave for cached parts.
    [[nodiscard]] double hit_probability(part_id part, token_count capacity) const;
    /// Parts that are probably cached, at most `limit`, the most recently used first.
    [[nodiscard]] std::vector<part_id> recent_parts(token_count capacity, std::size_t limit) const;
    /// Forgets the parts after whose last use `max_age` tokens or more were stored. To be called regularly,
    /// since nothing else removes parts.
    void expire(token_count max_age);

private:
    token_count stored_tokens_;
    /// Value of `stored_tokens_` at the last use of each part.
    std::unordered_map<part_id, token_count> last_used_;
};

/// Work that one router has placed on one upstream.
struct placed_work {
    std::uint32_t running = 0;
    /// Prompt tokens of requests without a first event.
    token_count pending_tokens;
    /// Tokens in the memory of the engine: prompts and expected answers.
    token_count memory_tokens;

    placed_work& operator+=(const placed_work& other) {
        running += other.running;
        pending_tokens += other.pending_tokens;
        memory_tokens += other.memory_tokens;
        return *this;
    }
    /// No value goes below zero.
    placed_work& operator-=(const placed_work& other) {
        running -= std::min(running, other.running);
        pending_tokens = std::max(pending_tokens - other.pending_tokens, token_count());
        memory_tokens = std::max(memory_tokens - other.memory_tokens, token_count());
        return *this;
    }
};

/// Requests that an upstream stated to have, and those sent from here since then.
struct stated_requests {
    std::uint32_t count = 0;
    std::uint32_t sent_since = 0;
    base::time_point stated_at;
};

/// State of one upstream as this router sees it, beside its entry in the roster.
struct upstream_state {
    /// Work that this router has placed.
    placed_work own;
    /// Sum of the work that the peers report.
    placed_work peers;
    part_cache cache;
    /// Tokens that the engine stored for this router since the start of the router; part of its reports.
    token_count stored_tokens;
    /// Shared parts that this router used since its last report.
    std::vector<std::uint64_t> unreported_parts;
    /// Parts that a delegate has yet to forward to the routers of its own data centre alone, since they came
    /// from another delegate.
    std::set<std::uint64_t> parts_for_data_centre;
    /// Parts that a delegate has yet to forward to its own data centre and to the other delegates.
    std::set<std::uint64_t> parts_for_fleet;
    /// Tokens stored for the peers, as far as their reports showed the growth.
    std::uint64_t peers_stored_tokens = 0;
    /// Shared parts of this router's running requests, with the number of those requests. The engine does not
    /// evict them.
    std::unordered_map<part_id, std::uint32_t> in_use;
    /// Observed time to the first event divided by the predicted one, smoothed.
    double slowness = 1;
    /// Decides instead of `slowness` where an upstream of the pool has stated a pace.
    upstream_pace pace;
    /// Empty if the upstream has stated no load.
    std::optional<stated_requests> stated;
    /// Share of the attempts that failed, smoothed.
    double failure_rate = 0;
    /// No work is sent before this time; set after failed connections and refusals.
    base::time_point down_until;
    /// No work is sent before this time, as the upstream stated.
    base::time_point paused_until;
    std::uint32_t connect_failures = 0;
    /// Start time of the upstream process that the state belongs to.
    std::int64_t started_ms = 0;

    /// When work is sent again.
    [[nodiscard]] base::time_point available_at() const { return std::max(down_until, paused_until); }
    [[nodiscard]] placed_work total() const {
        placed_work sum = own;
        sum += peers;
        return sum;
    }
};

} // namespace bluebell::dispatch
