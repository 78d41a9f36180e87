#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"
#include "decision/event.h"
#include "decision/message.h"
#include "decision/share.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace bluebell::decision {

/// Parameters of the bids for and the grants of upstream slots.
struct permit_options {
    /// A grant that its holder has not listed as held after this time is sent again, as a question. After
    /// `max_questions` unanswered questions the owner reclaims it.
    base::duration confirmation_timeout = std::chrono::milliseconds(250);
    int max_questions = 4;
    /// Upper bound of the time for a message and its answer. A grant that is missing from a holder's list is
    /// reclaimed only if the list arrives at least this long after the grant or question was sent: an earlier
    /// list may have been made before the grant arrived, and reclaiming then would free a slot that is in
    /// use.
    base::duration round_trip_limit = std::chrono::milliseconds(100);
    /// A grant that was listed before is asked for after this time without another listing. Must be longer
    /// than `max_bid_interval`.
    base::duration listing_timeout = std::chrono::seconds(6);
    /// Time during which a new owner of an upstream only receives bids and lists, before it grants slots.
    base::duration learning_time = std::chrono::milliseconds(200);
    /// Standing bids and lists of held grants are repeated at this interval, or less often (at most
    /// `max_bid_interval` apart) to keep the repetitions of all pools to all their owners below
    /// `bids_per_second`.
    base::duration bid_interval = std::chrono::milliseconds(1000);
    base::duration max_bid_interval = std::chrono::seconds(4);
    double bids_per_second = 24;
    /// Shortest time between bids of a pool to an owner that report only a higher key.
    base::duration bid_raise_interval = std::chrono::milliseconds(100);
    /// Changes of a key that are reported before the next repetition, in requests of the pool's default cost
    /// at weight one.
    double key_drop_threshold = 0.5;
    double key_rise_threshold = 2.0;
    /// Shortest time between bids of a pool that report that no work is left. Bids that report new or more
    /// urgent work are not delayed.
    base::duration bid_change_interval = std::chrono::milliseconds(20);
    /// Up to this many waiting requests, each further one is reported at once. An owner rarely grants more
    /// than that between two repetitions.
    std::size_t immediate_bid_limit = 4;
    /// A bid that is not repeated within this time is dropped.
    base::duration bid_lifetime = std::chrono::seconds(10);
    /// An upstream whose slot a bidder returned unused is not granted to it again for this time.
    base::duration unused_skip_time = std::chrono::milliseconds(100);
    /// The ids of ended grants are kept for this time, so that a late message does not revive them.
    base::duration ended_grant_lifetime = std::chrono::seconds(2);
    /// Load reports older than this are ignored.
    base::duration load_lifetime = std::chrono::seconds(3);
    /// Number of owners that receive every bid of a pool; one further owner is chosen in rotation. A router
    /// with a long queue bids to more owners, one per `waiting_per_owner` waiting requests, since all load
    /// may arrive at one router.
    std::size_t bid_fanout = 8;
    std::size_t waiting_per_owner = 4;
    /// A holder reuses a slot without a new grant while its own key does not exceed the lowest key of the
    /// other bids by more than this, in requests of the pool's default cost at weight one; at most
    /// `max_reuses` times.
    double reuse_slack = 2.0;
    std::size_t max_reuses = 16;
    /// The key of another bid that a grant carries is valid for this time, which also bounds reuse.
    base::duration other_key_lifetime = std::chrono::milliseconds(300);
    /// Interval at which a pool with unchanged demand is checked for due bids.
    base::duration check_interval = std::chrono::milliseconds(5);
    /// Number of keys in a bid after the first one.
    std::size_t next_key_count = 3;
};

/// Ids of the grants that ended recently.
/// Thread safety: used by one thread.
class ended_grants {
public:
    /// Adds an id and removes those that were added more than `memory` before `now`.
    void add(base::grant_id id, base::time_point now, base::duration memory);
    /// Returns true if the grant ended recently.
    [[nodiscard]] bool contains(base::grant_id id) const { return ids_.count(id) > 0; }

private:
    std::unordered_set<base::grant_id> ids_;
    std::vector<std::pair<base::time_point, base::grant_id>> ended_at_;
    std::size_t oldest_ = 0;
};

/// Waiting work of one router for one pool.
struct demand {
    std::size_t waiting = 0;
    /// Account and class of the first request to dispatch.
    base::client_account_id account;
    request_class priority = request_class::ordinary;
    /// Keys in order of dispatch; not empty if requests are waiting.
    std::vector<base::normalised_cost> keys;
    /// Lowest normalised service among the waiting accounts.
    base::normalised_cost start_tag;
    /// Default cost of the pool at weight one; the unit of the key thresholds in `permit_options`.
    base::normalised_cost key_step;
};

/// A slot that the owner granted to a router.
struct decided_grant {
    base::vm_id holder;
    grant permit;
    /// Lowest start tag among all bids known to the owner.
    base::normalised_cost lowest_start_tag;
};

/// State of an arriving grant at the bidder.
enum class grant_state {
    taken, ///< new; the bidder holds it now
    held,  ///< held already
    ended, ///< used and given back
};

/// Owner side: grants the slots of the upstreams that this router owns.
/// Thread safety: used by one thread.
class permit_owner {
public:
    permit_owner(base::vm_id self, base::incarnation incarnation, const permit_options& options);

    /// Sets the upstreams that this router owns. If `learn` is set, a new one is granted only after the
    /// learning time. An upstream that is no longer owned is removed with its grants.
    void set_owned(const std::vector<upstream>& owned, base::time_point now, bool learn = true);
    /// Sets how many of the listed members are visible. In a partition, this side uses only its share of the
    /// slots; slots already in use remain allowed until a load report changes the limit.
    void set_visible_members(std::size_t visible, std::size_t listed);
    /// Reclaims the grants of a router and drops its bids.
    void lose_member(const base::vm_id& member, base::time_point now);

    /// Replaces the bid of a router and reconciles its grants with the list in the bid. Outdated bids are
    /// ignored.
    void receive(const base::vm_id& from, base::incarnation incarnation, const bid& body,
                 base::time_point now);
    /// Frees the slot of a grant. Unknown and repeated releases are ignored.
    void receive(const base::vm_id& from, const release& body, base::time_point now);
    /// Counts a grant of an earlier owner of the upstream as outstanding.
    void adopt(const base::vm_id& holder, const held_grant& held, const base::pool_id& pool,
               base::time_point now);
    /// Adjusts the slot limit in a partition to a load report that was read at `read_at`.
    void report_load(const base::upstream_id& id, const upstream_load& load, base::time_point read_at,
                     base::time_point now);
    /// While `stop` is set, no slot of the upstream is granted.
    void stop_upstream(const base::upstream_id& id, bool stop);

    /// Returns true if a request may start on the upstream.
    using gate = std::function<bool(const base::upstream_id&)>;
    /// Grants the next free slot of a pool to the lowest bid; empty if there is no free slot or no bid.
    /// `local` is the demand of this router.
    [[nodiscard]] std::optional<decided_grant> next_grant(const base::pool_id& pool, const demand& local,
                                                          const gate& may_start, base::time_point now);
    /// Appends questions about grants that were not listed to `questions`, reclaims grants with too many
    /// unanswered questions, and drops old bids. Returns the pools that may have slots to grant.
    std::set<base::pool_id> tick(base::time_point now, std::vector<outgoing>& questions);

    /// Returns the lowest key that routers other than `except` and this one bid for the pool; empty if there
    /// is none.
    [[nodiscard]] std::optional<base::normalised_cost> lowest_key(const base::pool_id& pool,
                                                                  const base::vm_id& except) const;
    /// Returns true if this router owns an upstream of the pool.
    [[nodiscard]] bool owns_pool(const base::pool_id& pool) const { return pools_.count(pool) > 0; }
    /// Returns true if this router owns the upstream.
    [[nodiscard]] bool owns(const base::upstream_id& id) const { return upstreams_.count(id) > 0; }
    /// Number of grants that were not returned yet.
    [[nodiscard]] std::size_t outstanding() const { return grants_.size(); }
    /// Number of slots of the upstream in use; zero if it is not owned.
    [[nodiscard]] std::int32_t used(const base::upstream_id& id) const;
    /// Number of grants that the owner reclaimed since the start.
    [[nodiscard]] std::uint64_t returned() const { return returned_; }

private:
    /// Slots of one owned upstream.
    struct slot_state {
        upstream settings;
        std::int32_t used = 0;
        /// Earlier values of `used`, each with the time until it was valid, kept as long as load reports of
        /// that time are accepted.
        std::deque<std::pair<base::time_point, std::int32_t>> used_history;
        /// Number of slots that may be used in a partition.
        std::int32_t partition_limit = 0;
        base::time_point learning_until{};
        base::time_point load_read_at{};
        bool stopped = false;
    };
    /// A grant that was not returned yet.
    struct outstanding_grant {
        base::upstream_id upstream;
        base::pool_id pool;
        base::vm_id holder;
        base::time_point issued_at{};
        bool confirmed = false;
        /// Time when the holder last listed it or was asked for it.
        base::time_point checked_at{};
        int questions = 0;
    };
    /// Last bid of one router for one pool.
    struct standing_bid {
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::vector<base::normalised_cost> keys;
        base::normalised_cost start_tag;
        std::size_t waiting = 0;
        /// Number of grants in flight that the bidder had not received when it sent the bid.
        std::size_t unseen_grants = 0;
        base::time_point received_at{};
        std::map<base::upstream_id, base::time_point> skipped_until;
    };
    using pool_bids = std::map<base::vm_id, standing_bid>;

    void change_used(slot_state& state, std::int32_t change, base::time_point now) const;
    /// Returns the highest number of slots in use around `time`.
    [[nodiscard]] std::int32_t used_at(const slot_state& state, base::time_point time) const;
    [[nodiscard]] std::int32_t slot_limit(const slot_state& state) const;
    [[nodiscard]] std::int32_t partition_share(const slot_state& state) const;
    [[nodiscard]] slot_state* find_free_upstream(const base::pool_id& pool, const gate& may_start,
                                                 const std::set<base::upstream_id>& skipped,
                                                 base::time_point now);
    /// Returns the bidder with the lowest key to which a slot of `id` may be granted; empty if none.
    [[nodiscard]] base::vm_id lowest_bidder(const base::pool_id& pool, const demand& local,
                                            const base::upstream_id& id, base::time_point now) const;
    /// Returns true if the bidder recently returned a slot of the upstream unused.
    [[nodiscard]] bool is_skipped(const base::pool_id& pool, const base::vm_id& bidder,
                                  const base::upstream_id& id, base::time_point now) const;
    void remove_grant(std::unordered_map<base::grant_id, outstanding_grant>::iterator position,
                      base::time_point now);
    void reconcile(const base::vm_id& from, const bid& body, base::time_point now);
    std::size_t count_unseen(const base::vm_id& from, const base::pool_id& pool) const;

    base::vm_id self_;
    permit_options options_;
    std::size_t visible_ = 1;
    std::size_t listed_ = 1;
    std::uint64_t id_base_;
    std::uint64_t next_id_ = 0;
    std::uint64_t returned_ = 0;
    std::map<base::upstream_id, slot_state> upstreams_;
    std::map<base::pool_id, std::vector<base::upstream_id>> pools_;
    std::unordered_map<base::grant_id, outstanding_grant> grants_;
    std::map<base::vm_id, std::set<base::grant_id>> by_holder_;
    std::map<base::pool_id, pool_bids> bids_;
    std::set<base::upstream_id> stopped_;
    ended_grants ended_;
};

/// Bidder side: decides when to bid to which owners, and tracks the grants that this router holds.
/// Thread safety: used by one thread.
class permit_bidder {
public:
    permit_bidder(base::vm_id self, const permit_options& options);

    /// Sets the owner of every upstream of the configuration. Held grants are assigned to the new owners.
    void set_owners(const std::map<base::upstream_id, upstream>& upstreams,
                    const std::map<base::upstream_id, base::vm_id>& owners);
    /// Returns the owner of an upstream; empty if the configuration does not contain it.
    [[nodiscard]] const base::vm_id& owner_of(const base::upstream_id& upstream) const;

    /// Accepts a grant unless it is already held or has ended. A held grant is confirmed with the next bid.
    grant_state accept(const base::vm_id& from, const grant& permit);
    /// Ends a grant. Returns the current owner of the upstream, to which the release must be sent; empty if
    /// the upstream no longer exists or the grant is unknown.
    base::vm_id end_grant(base::grant_id id, base::time_point now);
    /// Number of grants that this router holds.
    [[nodiscard]] std::size_t held_count() const { return held_grants_.size(); }
    /// Returns the held grants of upstreams that `owner` owns, with their pools.
    [[nodiscard]] std::vector<std::pair<base::pool_id, held_grant>>
    grants_from(const base::vm_id& owner) const;

    /// Records that the demand of a pool changed; the next `collect` checks it for due bids.
    void mark_changed(const base::pool_id& pool);
    /// Records a change of the demand of every pool, after owners changed.
    void mark_all_changed();

    using demand_lookup = std::function<demand(const base::pool_id&)>;
    /// Returns the bids that are due at `now`.
    [[nodiscard]] std::vector<outgoing> collect(const demand_lookup& current_demand, base::time_point now);

private:
    /// A held grant and the current owner of its upstream.
    struct held_state {
        grant permit;
        base::vm_id owner;
    };
    /// State of the bids for one pool to one remote owner.
    struct owner_state {
        base::time_point bid_sent_at{};
        bool last_bid_had_work = false;
        /// A grant arrived that was not yet listed in a bid to the owner.
        bool unconfirmed = false;
        /// A grant ended; one more list is sent in case the release was lost.
        bool list_due = false;
        /// Waiting requests and lowest key of the last bid, and the number of grants received since.
        std::size_t last_bid_waiting = 0;
        base::normalised_cost last_bid_key;
        std::size_t grants_since_bid = 0;
        std::set<base::grant_id> held_grants;
    };
    struct pool_state {
        /// Remote owners in this router's order of preference.
        std::vector<base::vm_id> owner_order;
        std::map<base::vm_id, owner_state> owners;
        /// Number of owners, from the front of the order, that receive every bid.
        std::size_t standing_count = 0;
        std::size_t rotation = 0;
        base::time_point rotated_at{};
        bool changed = false;
        base::time_point checked_at{};
    };

    [[nodiscard]] bid make_bid(const base::pool_id& pool, const owner_state& to, const demand& work);
    void collect_pool(const base::pool_id& pool, pool_state& state, const demand& work, base::time_point now,
                      std::vector<outgoing>& messages);
    /// Returns true if a bid to an owner is due; `standing` means that the owner receives every bid of the
    /// pool.
    [[nodiscard]] bool bid_due(const owner_state& to, const demand& work, bool standing,
                               base::time_point now) const;
    /// Interval between repetitions of a bid, stretched to stay below `bids_per_second`.
    [[nodiscard]] base::duration repetition_interval() const;

    base::vm_id self_;
    permit_options options_;
    std::map<base::upstream_id, base::vm_id> upstream_owners_;
    std::map<base::pool_id, pool_state> pools_;
    std::set<base::pool_id> active_pools_;
    std::unordered_map<base::grant_id, held_state> held_grants_;
    ended_grants ended_;
    std::uint64_t sequence_ = 0;
    rate_limit bid_rate_;
};

} // namespace bluebell::decision
