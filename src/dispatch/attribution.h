#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"
#include "dispatch/event.h"

#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace bluebell::dispatch {

/// Returns the features of a request by which crashes are attributed. The last part of a prompt belongs to
/// the request alone and is left out.
decision::crash_suspect make_crash_suspect(const base::pool_id& pool, const prompt_info& prompt,
                                           const base::fingerprint& request);

/// Finds out which requests, or which part of their prompts, crash the upstreams that run them.
///
/// When an upstream crashes, every request that waits there for its answer is a suspect, although one at most
/// is the cause. What an answered request consists of is harmless. A request that stays a suspect of
/// `min_request_crashes` crashes is blocked. Of the parts, the one that explains most crashes is blocked once
/// upstreams have crashed under it at `min_part_crash_times` times and under different requests. Crashes that
/// a blocked part or request explains, or that preceded the block of a part, no longer count against what
/// only waited beside it.
///
/// Routers exchange crashes, successes and blocks, since requests with a harmful part arrive anywhere.
/// Thread safety: used by one thread.
class crash_attribution {
public:
    static constexpr int min_request_crashes = 3;
    static constexpr int min_part_crash_times = 3;
    /// Upstreams that crash less than this time apart may have failed together, as those of one rack do.
    static constexpr base::duration separate_crash_time = std::chrono::milliseconds(200);
    /// Shortest time between the first crash under a part and its block, so that a success with the part at
    /// another router becomes known.
    static constexpr base::duration observation_time = std::chrono::milliseconds(700);
    /// Reports on one upstream within this time describe the same crash.
    static constexpr base::duration same_crash_time = std::chrono::seconds(1);
    /// Error of a time that is derived from an age in a message.
    static constexpr base::duration age_error = std::chrono::milliseconds(50);
    /// Time for which a crash counts and a block lasts.
    static constexpr base::duration report_lifetime = std::chrono::minutes(10);
    /// Time for which a change is reported to random peers.
    static constexpr base::duration news_time = std::chrono::seconds(1);

    /// Adds suspects of a crash to those that are known. There may be none.
    void add_crash(const base::upstream_id& upstream, base::time_point crashed_at,
                   const std::vector<decision::crash_suspect>& suspects, base::time_point now);
    /// Records that an upstream answered the request at `answered_at`.
    void add_success(const decision::crash_suspect& request, base::time_point answered_at,
                     base::time_point now);
    /// Takes the news of a peer.
    void merge(const decision::crash_news& news, base::time_point now);
    /// Decides what is blocked. Returns the blocks that were added since the last call, by this router or by
    /// a peer.
    [[nodiscard]] std::vector<decision::blocked_feature> update(base::time_point now);

    /// Returns true if the request must not run.
    [[nodiscard]] bool is_blocked(const decision::crash_suspect& request) const;
    [[nodiscard]] bool blocks_any() const { return !blocked_.empty(); }
    /// Returns true if successes matter, because a crash has a suspect that is not cleared.
    [[nodiscard]] bool has_suspects() const { return !open_suspects_.empty(); }
    /// Blocks, and what has changed within `news_time`, for the peers.
    [[nodiscard]] decision::crash_news news(base::time_point now) const;

private:
    struct crash {
        base::upstream_id upstream;
        base::time_point crashed_at;
        /// When a report last added a suspect.
        base::time_point changed_at;
        /// Shared parts of each suspected request.
        std::map<base::fingerprint, std::vector<base::fingerprint>> suspects;
    };
    struct success {
        base::time_point answered_at;
        base::time_point changed_at;
    };
    struct block_record {
        decision::feature_kind kind = decision::feature_kind::request;
        /// Last crash that counted against the feature.
        base::time_point last_crash;
    };
    /// Crashes that a part may have caused and that no block explains.
    struct part_record {
        /// Position of the part in the prompt. Fewer requests share a later part.
        std::size_t position = 0;
        int crashes = 0;
        int crash_times = 0;
        base::time_point first_crash;
        base::time_point last_crash;
        std::set<base::fingerprint> requests;
    };
    [[nodiscard]] bool is_suspect(const base::fingerprint& feature, base::time_point crashed_at) const;
    [[nodiscard]] bool has_blocked_part(const crash& observed) const;
    [[nodiscard]] std::set<base::fingerprint> unexplained_parts(const crash& observed) const;
    [[nodiscard]] std::map<base::fingerprint, part_record> part_records() const;
    [[nodiscard]] static bool is_harmful(const part_record& record, base::time_point now);
    [[nodiscard]] static std::tuple<bool, int, std::size_t> rank(const part_record& record,
                                                                 base::time_point now);
    [[nodiscard]] static bool names(const crash& observed, const base::fingerprint& feature);
    void drop_oldest_crash();
    void prolong_blocks(const decision::crash_suspect& suspect, base::time_point crashed_at);
    void clear(const base::fingerprint& feature, base::time_point answered_at, base::time_point now);
    void block(const base::fingerprint& feature, decision::feature_kind kind, base::time_point last_crash,
               base::time_point now);
    void block_requests(base::time_point now);
    void block_parts(base::time_point now);
    void expire(base::time_point now);

    /// In the order of `crashed_at`.
    std::deque<crash> crashes_;
    /// Last success of features that were suspected or blocked.
    std::map<base::fingerprint, success> successes_;
    std::map<base::fingerprint, block_record> blocked_;
    /// When a part was last blocked. Earlier crashes count against no other part, since the evidence that
    /// explains them may still be on its way from other routers.
    base::time_point part_blocked_at_;
    base::time_point last_evidence_at_;
    /// The blocks were decided with all the evidence, and `observation_time` after the last of it.
    bool evaluated_ = true;
    std::vector<decision::blocked_feature> new_blocks_;
    /// Features of suspects that no success after their last crash has cleared.
    std::unordered_set<base::fingerprint> open_suspects_;
};

} // namespace bluebell::dispatch
