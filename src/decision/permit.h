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

struct permit_options {
    /// A grant that the bidder has not listed as held after this time is sent again, as a question; after
    /// `question_limit` unanswered ones it returns to the owner.
    base::duration confirmation_timeout = std::chrono::milliseconds(250);
    int max_questions = 4;
    /// A list that arrives this long after a grant or question was sent was made after its arrival. A list
    /// made before it took back a slot that was in use, so this covers a message and its answer.
    base::duration round_trip_limit = std::chrono::milliseconds(100);
    /// The same for a grant that was listed before. Longer than `longest_bid_interval`.
    base::duration listing_timeout = std::chrono::seconds(6);
    /// How long a new owner listens to bids before it grants.
    base::duration learning_time = std::chrono::milliseconds(200);
    /// Standing bids and lists of held grants are repeated at this interval, or so seldom that the
    /// repetitions of all pools to all their owners stay below `bids_per_second`.
    base::duration bid_interval = std::chrono::milliseconds(1000);
    base::duration max_bid_interval = std::chrono::seconds(4);
    double bids_per_second = 24;
    /// Shortest time between bids of a pool to an owner that tell of a risen key.
    base::duration bid_raise_interval = std::chrono::milliseconds(100);
    /// Differences of a key that are told before the next repetition, in requests of the default cost at
    /// weight one.
    double key_drop_threshold = 0.5;
    double key_rise_threshold = 2.0;
    /// Shortest time between bids of a pool that tell of less work or confirm a grant. Bids that tell of new
    /// or more urgent work are not held back.
    base::duration bid_change_interval = std::chrono::milliseconds(20);
    /// Up to this many waiting requests each further one is told at once; an owner rarely grants more between
    /// two repetitions.
    std::size_t immediate_bid_limit = 4;
    /// A bid that was not repeated for this time is dropped.
    base::duration bid_lifetime = std::chrono::seconds(10);
    /// An upstream that a bidder handed back unused is not offered to it again for this time.
    base::duration unused_skip_time = std::chrono::milliseconds(100);
    /// Ended grants are remembered for this time, so that a late message does not revive them.
    base::duration ended_grant_lifetime = std::chrono::seconds(2);
    /// Older load reports do not count as fresh.
    base::duration load_lifetime = std::chrono::seconds(3);
    /// Owners that get every bid of a pool; one more rotates. A router with a long queue bids to more, since
    /// all load may arrive at one router: one owner for so many waiting requests.
    std::size_t bid_fanout = 8;
    std::size_t waiting_per_owner = 4;
    /// A slot is used again without its owner while the own key is lower than those of the other bids by this
    /// much, in requests of the pool's default cost at weight one; and so many times and so long at most.
    double reuse_slack = 2.0;
    std::size_t max_reuses = 16;
    /// Keys of other bids that came with a grant count for this time.
    base::duration other_key_lifetime = std::chrono::milliseconds(300);
    /// A pool whose demand was not touched is checked for due bids at this interval.
    base::duration check_interval = std::chrono::milliseconds(5);
    /// Keys in a bid after the first one.
    std::size_t next_key_count = 3;
};

/// Set of grants that ended lately.
/// Thread safety: used by one thread.
class ended_grants {
public:
    void add(base::grant_id id, base::time_point now, base::duration memory);
    [[nodiscard]] bool contains(base::grant_id id) const { return ids_.count(id) > 0; }

private:
    std::unordered_set<base::grant_id> ids_;
    std::vector<std::pair<base::time_point, base::grant_id>> ended_at_;
    std::size_t oldest_ = 0;
};

/// Waiting work of one router for one pool.
struct demand {
    std::size_t waiting = 0;
    base::client_account_id account;
    request_class priority = request_class::ordinary;
    /// Keys in order of dispatch; not empty if work waits.
    std::vector<base::normalised_cost> keys;
    /// Lowest normalised service among the waiting accounts.
    base::normalised_cost start_tag;
    /// Default cost of the pool at weight one; differences of keys are judged by it.
    base::normalised_cost key_step;
};

/// A slot given to a router.
struct decided_grant {
    base::vm_id holder;
    grant permit;
    /// Lowest start tag among all bids that the owner knew.
    base::normalised_cost lowest_start_tag;
};

/// What a bidder knows of a grant that arrives.
enum class grant_state {
    taken, ///< new; the bidder holds it now
    held,  ///< held already
    ended, ///< used and given back
};

/// Owner side: the slots of the upstreams that this router owns.
/// Thread safety: used by one thread.
class permit_owner {
public:
    permit_owner(base::vm_id self, base::incarnation incarnation, const permit_options& options);

    /// Sets the upstreams that this router owns. A new one gives no grant before the learning time is over;
    /// an upstream that moved away is forgotten with its grants.
    void set_owned(const std::vector<upstream>& owned, base::time_point now, bool learn = true);
    /// In a partition only the visible part of the listed members competes for the slots. Slots in use then
    /// stay until a load report decides.
    void set_visible_members(std::size_t visible, std::size_t listed);
    /// Returns the grants of a router and drops its bids.
    void lose_member(const base::vm_id& member, base::time_point now);

    void receive(const base::vm_id& from, base::incarnation incarnation, const bid& body,
                 base::time_point now);
    /// Frees the slot of a grant; unknown and repeated ones are ignored.
    void receive(const base::vm_id& from, const release& body, base::time_point now);
    /// Counts a grant that this router holds itself and got from an earlier owner.
    void adopt(const base::vm_id& holder, const held_grant& held, const base::pool_id& pool,
               base::time_point now);
    void report_load(const base::upstream_id& id, const upstream_load& load, base::time_point read_at,
                     base::time_point now);
    void stop_upstream(const base::upstream_id& id, bool stop);

    using gate = std::function<bool(const base::upstream_id&)>;
    /// Gives the next free slot of a pool to the lowest bid, if there are both. `local` is the own demand.
    [[nodiscard]] std::optional<decided_grant> next_grant(const base::pool_id& pool, const demand& local,
                                                          const gate& may_start, base::time_point now);
    /// Asks for grants that were not listed, returns them when unanswered, and drops old bids. Appends the
    /// questions to `questions`. Returns the pools that may have something to grant.
    std::set<base::pool_id> tick(base::time_point now, std::vector<outgoing>& questions);

    /// Lowest key that a router other than `beside` and this one bids for the pool.
    [[nodiscard]] std::optional<base::normalised_cost> lowest_key(const base::pool_id& pool,
                                                                  const base::vm_id& beside) const;
    [[nodiscard]] bool owns_pool(const base::pool_id& pool) const { return pools_.count(pool) > 0; }
    [[nodiscard]] bool owns(const base::upstream_id& id) const { return upstreams_.count(id) > 0; }
    [[nodiscard]] std::size_t outstanding() const { return grants_.size(); }
    [[nodiscard]] std::int32_t used(const base::upstream_id& id) const;
    [[nodiscard]] std::uint64_t returned() const { return returned_; }

private:
    struct slot_state {
        upstream settings;
        std::int32_t used = 0;
        /// Earlier values of `used` with their ends, as long as a load report may speak of them.
        std::deque<std::pair<base::time_point, std::int32_t>> used_history;
        /// Slots that may be used in a partition.
        std::int32_t partition_limit = 0;
        base::time_point learning_until{};
        base::time_point load_read_at{};
        bool stopped = false;
    };
    struct outstanding_grant {
        base::upstream_id upstream;
        base::pool_id pool;
        base::vm_id holder;
        base::time_point issued_at{};
        bool confirmed = false;
        /// When the holder listed it or was asked for it.
        base::time_point checked_at{};
        int questions = 0;
    };
    struct standing_bid {
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::vector<base::normalised_cost> keys;
        base::normalised_cost start_tag;
        std::size_t waiting = 0;
        /// Grants under way that the bidder had not seen when it sent the bid.
        std::size_t unseen_grants = 0;
        base::time_point received_at{};
        std::map<base::upstream_id, base::time_point> skipped_until;
    };
    using pool_bids = std::map<base::vm_id, standing_bid>;

    void change_used(slot_state& state, std::int32_t by, base::time_point now) const;
    /// Most slots in use at about `at`.
    [[nodiscard]] std::int32_t used_at(const slot_state& state, base::time_point at) const;
    [[nodiscard]] std::int32_t slot_limit(const slot_state& state) const;
    [[nodiscard]] std::int32_t partition_share(const slot_state& state) const;
    [[nodiscard]] slot_state* find_free_upstream(const base::pool_id& pool, const gate& may_start,
                                                 const std::set<base::upstream_id>& skipped,
                                                 base::time_point now);
    /// The bidder with the lowest key that may get `id`; empty if none.
    [[nodiscard]] base::vm_id lowest_bidder(const base::pool_id& pool, const demand& local,
                                            const base::upstream_id& id, base::time_point now) const;
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

/// Bidder side: whom to bid to, when, and which grants are held.
/// Thread safety: used by one thread.
class permit_bidder {
public:
    permit_bidder(base::vm_id self, const permit_options& options);

    /// Sets the owner of every upstream of the configuration. Grants held move to the new owners.
    void set_owners(const std::map<base::upstream_id, upstream>& upstreams,
                    const std::map<base::upstream_id, base::vm_id>& owners);
    [[nodiscard]] const base::vm_id& owner_of(const base::upstream_id& upstream) const;

    /// Takes a grant unless it is known. A known one is confirmed with the next bid.
    grant_state accept(const base::vm_id& from, const grant& permit);
    /// Ends a grant. Returns the current owner of the upstream, to which the release goes; empty if the
    /// upstream is gone or the grant is unknown.
    base::vm_id end_grant(base::grant_id id, base::time_point now);
    [[nodiscard]] std::size_t held_count() const { return held_grants_.size(); }
    /// Grants held of upstreams that `owner` owns.
    [[nodiscard]] std::vector<std::pair<base::pool_id, held_grant>>
    grants_from(const base::vm_id& owner) const;

    /// The demand of a pool changed; the next `collect` considers it.
    void mark_changed(const base::pool_id& pool);
    /// Bids again to every owner, after the membership changed.
    void mark_all_changed();

    using demand_of = std::function<demand(const base::pool_id&)>;
    /// Bids that are due at `now`.
    [[nodiscard]] std::vector<outgoing> collect(const demand_of& current, base::time_point now);

private:
    struct held_state {
        grant permit;
        base::vm_id owner;
    };
    struct owner_state {
        base::time_point bid_sent_at{};
        bool last_bid_had_work = false;
        /// A grant arrived that the owner has not seen in a list yet.
        bool unconfirmed = false;
        /// A grant ended; one more list repairs a lost release.
        bool list_due = false;
        /// Requests and lowest key told in the last bid, and grants that came since.
        std::size_t last_bid_waiting = 0;
        base::normalised_cost last_bid_key;
        std::size_t grants_since_bid = 0;
        std::set<base::grant_id> held_grants;
    };
    struct pool_state {
        /// Remote owners in the order of preference of this router.
        std::vector<base::vm_id> owner_order;
        std::map<base::vm_id, owner_state> owners;
        /// The first owners of the order that get every bid.
        std::size_t standing_count = 0;
        std::size_t rotation = 0;
        base::time_point rotated_at{};
        bool changed = false;
        base::time_point checked_at{};
    };

    [[nodiscard]] bid make_bid(const base::pool_id& pool, const owner_state& to, const demand& work);
    void collect_pool(const base::pool_id& pool, pool_state& state, const demand& work, base::time_point now,
                      std::vector<outgoing>& messages);
    [[nodiscard]] bool bid_due(const owner_state& to, const demand& work, bool standing,
                               base::time_point now) const;
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
