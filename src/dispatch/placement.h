#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"
#include "dispatch/catalogue.h"
#include "dispatch/crossing.h"
#include "dispatch/engine.h"
#include "dispatch/event.h"
#include "dispatch/limits.h"
#include "dispatch/prefill.h"
#include "dispatch/roster.h"
#include "dispatch/warmup.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::dispatch {

/// Attributes of a request that the choice of an upstream depends on.
struct placement_request {
    base::pool_id pool;
    /// Must not be null for a pool of model engines.
    const prompt_info* prompt = nullptr;
    /// Tokens that the request will occupy in the memory of an engine.
    token_count memory_tokens;
    /// Upstreams that must not be chosen.
    const std::set<base::upstream_id>* excluded = nullptr;
    /// Only upstreams with this software may be chosen; null for any.
    const base::software_version* version = nullptr;
    /// A first event within this time is early enough; being faster is worth little.
    base::duration latency_target{};
    /// An answer of a plain service that is expected later than this is as bad as none. Counts only in pools
    /// where a pace is stated.
    base::duration latest_answer = base::duration::max();
    /// Weight of the time that an engine spends on shared parts which another engine has cached.
    double cache_miss_weight = 1;
    /// Share of the slots and of the memory of an upstream up to which the request may fill it; less than one
    /// leaves room for others.
    double capacity_share = 1;
    /// Upper bound of that share at an engine that would have to read shared parts again.
    double cache_miss_capacity_share = 1;
    /// Number of upstreams to consider, from a random one on, beside those that have most of the prompt
    /// cached; zero for all.
    std::size_t sample_size = 0;
    /// Requests that the upstream gets for this one, by which cold upstreams are limited.
    std::uint32_t upstream_requests = 1;
};

/// A chosen upstream with the predictions that led to the choice.
struct placement_choice {
    base::upstream_id upstream;
    /// Prompt tokens that the engine will have to read.
    token_count uncached_tokens;
    /// Engine from which the chosen one is to copy cached parts of the prompt.
    std::optional<base::upstream_id> copy_source;
    token_count copied_tokens;
    /// Prompt tokens that the engine has to read before those of this request.
    token_count tokens_ahead;
    /// Predicted time from sending to the first event.
    base::duration first_event_delay{};
    /// Part of `first_event_delay` that other requests cause.
    base::duration queueing_delay{};
    /// At a plain service: the pace that `first_event_delay` contains, as a factor; empty where that is a
    /// cost for the comparison and no expected time.
    std::optional<double> pace_factor;
    /// A considerable part of the prompt is shared, but not cached at the engine.
    bool cache_miss = false;
    /// The upstream has no capacity for the request at the moment.
    bool full = false;
};

/// The choice among upstreams, with the ones that it would be if upstreams stated less.
struct placement_options {
    /// Empty if no upstream is available, or if the best one has no capacity.
    std::optional<placement_choice> best;
    /// The choice if the request might leave the data centre regardless of the shares; empty where the
    /// capacity of the pool does not vary.
    std::optional<placement_choice> anywhere;
    /// The choice if no limits of request rates were in force.
    std::optional<placement_choice> without_limits;
    /// The choice if neither limits nor stated pauses were in force.
    std::optional<placement_choice> without_statements;
    /// An upstream was neither excluded nor unreachable, whatever it stated.
    bool reachable = false;
};

/// A time for which no upstream of a pool is to be sent requests.
struct pool_pause {
    /// Time until the first upstream takes requests again; more than zero.
    base::duration remaining;
    /// Without the pauses that upstreams stated, one of them would take requests now.
    bool stated = false;
};

/// Routers to which a delegate forwards the prompt parts that a report names.
enum class forward_scope {
    none,            ///< this router is no delegate
    own_data_centre, ///< the report came from another delegate
    everywhere,      ///< the report came from a router of the own data centre
};

/// Upstreams with the work that the fleet has placed on them, and the choice among them.
/// Thread safety: used by one thread.
class placement {
public:
    /// `data_centre` is that of this router; its upstreams are preferred.
    /// `limits` and `warmup` outlive the placement; without `warmup`, no upstream is cold.
    placement(base::data_centre_id data_centre, std::uint64_t seed, request_limits& limits,
              warmup_limits* warmup = nullptr)
        : data_centre_(std::move(data_centre)), random_(seed), limits_(limits), warmup_(warmup),
          crossing_(data_centre_, seed) {}

    /// Pre-condition: `value` is not null.
    void set_catalogue(catalogue_ptr value);
    /// Takes the list of upstreams. Forgets the state of upstreams that are gone, once this router's requests
    /// there have ended; keeps only the placed work of those that have restarted.
    void set_roster(const roster& list);
    /// Sets the data centres whose upstreams are no candidates; takes effect with the next `set_roster`.
    void set_evacuated(std::set<base::data_centre_id> data_centres) { evacuated_ = std::move(data_centres); }
    /// Takes a report of a peer. For each upstream that it names, it replaces what the peer reported before.
    void receive_report(const base::vm_id& from, const std::vector<decision::upstream_work>& work,
                        base::time_point now, forward_scope scope = forward_scope::none);
    /// Removes the work of a peer that is gone; its requests end with its connections.
    void drop_peer(const base::vm_id& peer);
    /// Drops the work of peers that have fallen silent, and parts that no engine can have cached any more.
    void update(base::time_point now);
    /// Work that this router has placed, with the shared parts used since the last call. Contains every
    /// upstream with running requests or used parts, and those whose requests have ended since.
    [[nodiscard]] std::vector<decision::upstream_work> own_work(base::time_point now);
    /// Takes this router's own work into `aggregated_work` until `end_aggregation`.
    void begin_aggregation(base::time_point now);
    /// Work of the fleet less that of the routers of `without`, with the parts used since the last
    /// aggregation. For the scope `everywhere`, contains only parts reported in the own data centre.
    [[nodiscard]] std::vector<decision::upstream_work> aggregated_work(const std::set<base::vm_id>& without,
                                                                       forward_scope scope) const;
    /// Forgets the parts that were to be forwarded.
    void end_aggregation();
    /// Work at each engine with the parts that it probably has cached, for a router that has just joined. It
    /// is the work of this router alone if `without` is null, and otherwise that of the fleet less the
    /// routers of `without`.
    [[nodiscard]] std::vector<decision::upstream_work>
    work_with_cached_parts(const std::set<base::vm_id>* without = nullptr) const;
    /// Prompt tokens placed since the last `own_work`.
    [[nodiscard]] token_count unreported_tokens() const { return unreported_tokens_; }

    /// Chooses the upstream of least cost, which mainly depends on the predicted time to the first event and
    /// on prompt parts that it would have to read again. Empty if none is available, or if the best one has
    /// no capacity.
    [[nodiscard]] std::optional<placement_choice> choose(const placement_request& request,
                                                         base::time_point now) {
        return consider(request, now).best;
    }
    /// As `choose`, also with the choices that the statements of upstreams may prevent.
    [[nodiscard]] placement_options consider(const placement_request& request, base::time_point now);

    /// Records that a request was sent to the chosen upstream.
    void record_sent(const placement_choice& choice, const placed_work& work, const prompt_info& prompt);
    /// Records that the first event of a request arrived `elapsed` after it was sent. `pending` are the
    /// tokens that the engine had to read for it, `tokens_ahead` those that it had to read before.
    void record_first_event(const base::upstream_id& upstream, const base::pool_id& pool, token_count pending,
                            token_count tokens_ahead, base::duration elapsed, base::time_point now);
    /// Records the end of an attempt; `work` is what it still had placed.
    void record_finished(const base::upstream_id& upstream, const placed_work& work,
                         const prompt_info& prompt);
    /// Records the load that the upstream states in the head of an answer.
    void record_load(const base::upstream_id& upstream, const load_report& load, base::time_point now);
    /// Records that a plain service answered `elapsed` after the request was sent; `predicted` and
    /// `pace_factor` are those of the choice.
    void record_answer(const base::upstream_id& upstream, const base::pool_id& pool, base::duration predicted,
                       std::optional<double> pace_factor, base::duration elapsed, base::time_point now);
    void record_success(const base::upstream_id& upstream);
    void record_failure(const base::upstream_id& upstream);
    /// Sends no work to the upstream for a time that doubles with each failed connection in a row.
    void record_connect_failure(const base::upstream_id& upstream, base::time_point now);
    /// Sends no work to the upstream for `time`.
    void avoid(const base::upstream_id& upstream, base::duration time, base::time_point now);
    /// Sends no work to the upstream for `time`, as it stated.
    void pause(const base::upstream_id& upstream, base::duration time, base::time_point now);

    /// Returns true if the capacity of the pool's upstreams varies.
    [[nodiscard]] bool capacity_varies(const base::pool_id& pool) const;
    /// Returns true if the capacity of any pool varies.
    [[nodiscard]] bool any_capacity_varies() const;
    /// Records the time of a round trip to the upstream.
    void record_round_trip(const base::upstream_id& upstream, base::duration time, base::time_point now);
    /// Records when the work that routers of the data centre have placed was last reported.
    void record_sums(const base::data_centre_id& data_centre, base::time_point received_at) {
        crossing_.record_sums(data_centre, received_at);
    }
    void set_crossing_prices(const crossing_prices& prices) { crossing_.set_prices(prices); }
    [[nodiscard]] const crossing& crossings() const { return crossing_; }
    /// When the peer last reported work; empty if it has not, or if its report was dropped.
    [[nodiscard]] std::optional<base::time_point> last_report(const base::vm_id& peer) const;

    /// Connections to one upstream of the pool that this router may have, as one of `routers`.
    [[nodiscard]] std::uint32_t connection_limit(const base::pool_id& pool, std::size_t routers) const;
    [[nodiscard]] const std::map<base::upstream_id, upstream_state>& states() const { return states_; }
    /// Pause of the pool, if all its upstreams are to be left alone; empty if one takes requests now or if
    /// there is none.
    [[nodiscard]] std::optional<pool_pause> pause_of(const base::pool_id& pool, base::time_point now) const;
    /// Number of upstreams of the pool that take new work.
    [[nodiscard]] std::size_t ready_count(const base::pool_id& pool) const;
    /// Returns true if upstreams of the pool would take new work, but all of them are evacuated.
    [[nodiscard]] bool evacuated(const base::pool_id& pool) const;
    /// Share of the slots of all engines that would take new work which is not evacuated; one if there are
    /// none.
    [[nodiscard]] double usable_engine_share() const;
    /// Returns true if an upstream of the pool takes new work and runs this software.
    [[nodiscard]] bool serves(const base::pool_id& pool, const base::software_version& version) const;
    /// Returns true if an upstream of the pool has stated how long work takes there. Differences between the
    /// speeds of upstreams have an effect in such pools only.
    [[nodiscard]] bool states_pace(const base::pool_id& pool) const { return paced_pools_.count(pool) != 0; }
    /// Share of the slots of all ready engines that the fleet's requests occupy; cold ones do not count.
    [[nodiscard]] double engine_occupancy() const;
    /// Mean load of the ready engines, each by its slots in use or by the time that it takes to read what it
    /// has not read, whichever is more; one where an engine has no room. Cold ones do not count; if all are
    /// cold, there is no room. Where a pace is stated, engines count by their speed as of the last `update`.
    [[nodiscard]] double engine_load() const;

private:
    /// Last report of one router on one upstream.
    struct peer_work {
        placed_work work;
        std::uint64_t stored_tokens = 0;
        /// Sum of the growth of `stored_tokens` that was seen here.
        std::uint64_t stored_growth = 0;
    };
    struct peer_report {
        std::map<base::upstream_id, peer_work> work;
        base::time_point received_at;
    };
    [[nodiscard]] decision::upstream_work work_excluding(const base::upstream_id& id,
                                                         const upstream_state& state,
                                                         const std::set<base::vm_id>& without) const;
    [[nodiscard]] placed_work sum_peer_work(const base::upstream_id& upstream) const;
    void subtract_report(const base::upstream_id& upstream, peer_work& reported);
    /// A ready upstream; points into `entries_` and `states_`.
    struct candidate {
        const upstream_entry* entry = nullptr;
        upstream_state* state = nullptr;
    };
    [[nodiscard]] static std::vector<candidate> with_version(const std::vector<candidate>& upstreams,
                                                             const base::software_version& version);
    /// Prompt tokens that each of the ready engines probably has cached, and the two engines with most of
    /// them that may serve as a copy source.
    struct cache_holders {
        std::vector<token_count> cached_tokens;
        const candidate* best = nullptr;
        token_count best_tokens;
        const candidate* second_best = nullptr;
        token_count second_best_tokens;
    };
    [[nodiscard]] static token_count expected_cached_tokens(const placement_request& request,
                                                            const upstream_state& state,
                                                            const engine_traits& engine);
    [[nodiscard]] static cache_holders find_cache_holders(const placement_request& request,
                                                          const engine_traits& engine,
                                                          const std::vector<candidate>& ready,
                                                          base::time_point now);
    [[nodiscard]] static token_count cache_capacity(const upstream_state& state, const engine_traits& engine);
    [[nodiscard]] static base::duration estimate_cost(const placement_request& request,
                                                      const candidate& target, bool preferred,
                                                      const engine_traits& engine, const prefill_model& model,
                                                      const cache_holders& holders, token_count cached_tokens,
                                                      double slowness, placement_choice& choice);
    /// Longest pause between the events of a stream that every route to the pool accepts; zero if they accept
    /// any.
    [[nodiscard]] base::duration max_pause_of(const base::pool_id& pool) const;
    /// The prompts that the engine would read with the chosen request. Work takes `slowness` times as long
    /// there as usual.
    [[nodiscard]] static prefill_state prefill_at(const upstream_state& state, const placement_choice& choice,
                                                  const prefill_model& model, double slowness);
    [[nodiscard]] const engine_traits* engine_of(const base::upstream_id& upstream) const;
    [[nodiscard]] static base::duration latency_cost(base::duration delay, base::duration latency_target);
    void expire_parts();
    /// Load of the usable upstreams of the pool by data centre.
    [[nodiscard]] std::map<base::data_centre_id, data_centre_load> loads_of(const base::pool_id& pool,
                                                                            base::time_point now) const;
    /// For each of `ready`, whether the request may go there by the shares of the data centres; empty if it
    /// may go anywhere. Draws only where the capacity of the pool varies and the request is not bound to a
    /// version.
    [[nodiscard]] std::vector<bool> permitted_upstreams(const placement_request& request,
                                                        const std::vector<candidate>& ready,
                                                        const cache_holders& holders);
    /// Cost of the upstream's data centre.
    [[nodiscard]] base::duration remote_cost(const placement_request& request, const upstream_entry& target,
                                             bool adaptive) const;
    [[nodiscard]] const candidate* preferred_engine(const placement_request& request) const;
    [[nodiscard]] static bool has_capacity(const upstream_entry& entry, const upstream_state& state,
                                           const engine_traits* engine, token_count memory_tokens,
                                           double capacity_share, double capacity_factor);
    [[nodiscard]] bool cold(const base::upstream_id& upstream) const {
        return warmup_ != nullptr && warmup_->cold(upstream);
    }
    /// Requests over slots of the ready upstreams of a pool, as the reports show them.
    [[nodiscard]] static double mean_load(const std::vector<candidate>& ready);
    /// Requests that a plain service has probably, running or waiting.
    [[nodiscard]] static double expected_requests(const upstream_entry& entry, const upstream_state& state,
                                                  double mean_load, base::time_point now);

    const base::data_centre_id data_centre_;
    std::mt19937_64 random_;
    request_limits& limits_;
    warmup_limits* const warmup_;
    catalogue_ptr catalogue_;
    std::map<base::upstream_id, upstream_entry> entries_;
    std::map<base::pool_id, std::vector<candidate>> ready_;
    std::set<base::data_centre_id> evacuated_;
    /// Upstreams that would take new work if their data centre were not evacuated.
    std::map<base::pool_id, std::vector<const upstream_entry*>> withheld_;
    std::map<base::upstream_id, upstream_state> states_;
    std::map<base::vm_id, peer_report> peers_;
    std::map<base::pool_id, prefill_model> models_;
    /// Longest pause that every route to a pool accepts between the events of a stream.
    std::map<base::pool_id, base::duration> max_pauses_;
    /// Pools where an upstream has stated a pace.
    std::set<base::pool_id> paced_pools_;
    /// Time that the plain services of a pool take for a request at the usual pace.
    std::map<base::pool_id, service_time> service_times_;
    base::time_point updated_at_;
    crossing crossing_;
    /// Upstreams with running requests in the last report of own work; the next one reports their end.
    std::set<base::upstream_id> last_reported_;
    /// Upstreams with running requests in the last aggregated reports; the next ones report their end.
    std::set<base::upstream_id> last_aggregated_;
    /// Own work that the current aggregation takes in.
    std::map<base::upstream_id, decision::upstream_work> own_reports_;
    base::time_point next_part_expiry_;
    base::time_point next_part_refresh_;
    token_count unreported_tokens_;
};

} // namespace bluebell::dispatch
