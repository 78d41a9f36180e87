#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"
#include "dispatch/catalogue.h"
#include "dispatch/engine.h"
#include "dispatch/event.h"
#include "dispatch/roster.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// What placement needs to know of a request.
struct placement_request {
    base::pool_id pool;
    const prompt_info* prompt = nullptr;
    /// Tokens that the request will hold in the memory of an engine.
    token_count memory_tokens;
    /// Upstreams that may not be used any more.
    const std::set<base::upstream_id>* excluded = nullptr;
    /// A first event within this time is early enough; less is worth little.
    base::duration latency_target{};
    /// Weight of reading a shared part again that another upstream keeps, over the time that it takes.
    double cache_miss_weight = 1;
    /// Share of the slots and of the memory that the request may take up; less than one leaves room for
    /// others.
    double capacity_share = 1;
    /// The same for an engine that would have to read shared parts again.
    double cache_miss_capacity_share = 1;
    /// Upstreams to consider, from a random one on, beside those that keep most of the prompt; zero for all.
    std::size_t sample_size = 0;
};

struct placement_choice {
    base::upstream_id upstream;
    /// Prompt tokens that the engine will have to read.
    token_count uncached_tokens;
    /// Engine that keeps parts of the prompt which this one is to copy.
    std::optional<base::upstream_id> copy_source;
    token_count copied_tokens;
    /// Tokens that wait before it at the engine.
    token_count tokens_ahead;
    /// Predicted time from sending to the first event.
    base::duration first_event_delay{};
    /// The part of it that other requests cause.
    base::duration queueing_delay{};
    /// A considerable part of the prompt is shared and not kept there.
    bool cache_miss = false;
    bool full = false;
};

/// To whom a delegate passes on what a report says.
enum class retelling {
    none,            ///< this router is no delegate
    own_data_centre, ///< it came from another delegate
    everywhere,
};

/// Upstreams with the work that the fleet has placed on them, and the choice among them.
/// Thread safety: used by one thread.
class placement {
public:
    placement(base::data_centre_id here, std::uint64_t seed) : data_centre_(std::move(here)), random_(seed) {}

    void set_catalogue(catalogue_ptr value);
    /// Takes over the list of upstreams; forgets what was known of those that are gone or have restarted.
    void set_roster(const roster& list);
    void receive_report(const base::vm_id& from, const std::vector<decision::upstream_work>& work,
                 base::time_point now, retelling scope = retelling::none);
    /// The peer is gone; its requests end with its connections.
    void drop_peer(const base::vm_id& peer);
    /// Drops the work of peers that have fallen silent, and parts that no engine can keep any more.
    void update(base::time_point now);
    [[nodiscard]] std::vector<decision::upstream_work> own_work(base::time_point now);
    /// Takes this router's own work into the digests until `end_digests`.
    void begin_aggregation(base::time_point now);
    /// The fleet's work less that of `without`, with the parts used since the last digests. Digests for
    /// everywhere contain only parts that may be told everywhere.
    [[nodiscard]] std::vector<decision::upstream_work> aggregated_work(const std::set<base::vm_id>& without,
                                                              retelling scope) const;
    void end_aggregation();
    /// The same with the parts that each engine probably keeps, for a router that has just joined.
    /// `without` is null where the work is this router's own, and otherwise as for `digest`.
    [[nodiscard]] std::vector<decision::upstream_work>
    work_with_cached_parts(const std::set<base::vm_id>* without = nullptr) const;
    /// Prompt tokens placed since the last `own_work`.
    [[nodiscard]] token_count unreported_tokens() const { return unreported_tokens_; }

    /// The upstream with the earliest predicted first event; empty if none has room.
    [[nodiscard]] std::optional<placement_choice> choose(const placement_request& what, base::time_point now);

    void record_sent(const placement_choice& choice, const placed_work& work, const prompt_info& prompt);
    /// The first event has arrived after `elapsed`.
    void record_first_event(const base::upstream_id& upstream, const base::pool_id& pool, token_count pending,
               token_count ahead, base::duration elapsed);
    /// The attempt is over; `work` is what it still had placed.
    void record_finished(const base::upstream_id& upstream, const placed_work& work, const prompt_info& prompt);
    void record_success(const base::upstream_id& upstream);
    void record_failure(const base::upstream_id& upstream);
    void record_connect_failure(const base::upstream_id& upstream, base::time_point now);
    /// No work is sent to the upstream for `time`.
    void avoid(const base::upstream_id& upstream, base::duration time, base::time_point now);

    /// Connections to one upstream that this router may have, among `routers`.
    [[nodiscard]] std::uint32_t connection_limit(const base::pool_id& pool, std::size_t routers) const;
    [[nodiscard]] const std::map<base::upstream_id, upstream_state>& states() const { return states_; }
    [[nodiscard]] std::size_t ready_count(const base::pool_id& pool) const;

private:
    /// What one router reported of one upstream.
    struct peer_work {
        placed_work work;
        std::uint64_t stored_tokens = 0;
        /// Sum of the growth of `stored` that was seen here.
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
    /// A ready upstream; both live in the maps below.
    struct candidate {
        const upstream_entry* entry = nullptr;
        upstream_state* state = nullptr;
    };
    /// Prompt tokens that each of the ready engines keeps, and those that keep most and second most.
    struct keepers {
        std::vector<token_count> cached_tokens;
        const candidate* best = nullptr;
        token_count best_tokens;
        const candidate* second_best = nullptr;
        token_count second_best_tokens;
    };
    [[nodiscard]] static token_count expected_cached_tokens(const placement_request& what, const upstream_state& state,
                                          const engine_traits& engine);
    [[nodiscard]] static keepers find_cache_holders(const placement_request& what, const engine_traits& engine,
                                              const std::vector<candidate>& ready, base::time_point now);
    [[nodiscard]] static token_count cache_capacity(const upstream_state& state, const engine_traits& engine);
    [[nodiscard]] static base::duration estimate_cost(const placement_request& what, const candidate& at, bool home,
                                              const engine_traits& engine, const prefill_model& model,
                                              const keepers& known, token_count kept_here,
                                              placement_choice& choice);
    [[nodiscard]] const engine_traits* engine_of(const base::upstream_id& upstream) const;
    [[nodiscard]] static base::duration latency_cost(base::duration delay, base::duration comfortable);
    void expire_parts();
    [[nodiscard]] const candidate* preferred_engine(const placement_request& what) const;
    [[nodiscard]] static bool has_capacity(const upstream_entry& entry, const upstream_state& state,
                                       const engine_traits* engine, token_count memory, double room);

    const base::data_centre_id data_centre_;
    std::mt19937_64 random_;
    catalogue_ptr catalogue_;
    std::map<base::upstream_id, upstream_entry> entries_;
    std::map<base::pool_id, std::vector<candidate>> ready_;
    std::map<base::upstream_id, upstream_state> states_;
    std::map<base::vm_id, peer_report> peers_;
    std::map<base::pool_id, prefill_model> models_;
    /// Upstreams that the last report named, so that their end is reported too.
    std::set<base::upstream_id> last_reported_;
    /// The same of the last digests.
    std::set<base::upstream_id> last_aggregated_;
    std::map<base::upstream_id, decision::upstream_work> own_reports_;
    base::time_point next_part_expiry_;
    base::time_point next_part_refresh_;
    token_count unreported_tokens_;
};

} // namespace bluebell::dispatch
