#pragma once

#include "decision/config.h"
#include "decision/event.h"
#include "decision/message.h"
#include "decision/permit.h"
#include "decision/queue.h"
#include "decision/request.h"
#include "decision/share.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace bluebell::decision {

/// Decides whether new work may start on an upstream, for example not while the upstream departs or after it
/// failed.
/// Thread safety: called only by the thread that uses the schedule.
class start_gate {
public:
    start_gate() = default;
    start_gate(const start_gate&) = delete;
    start_gate& operator=(const start_gate&) = delete;
    start_gate(start_gate&&) = delete;
    start_gate& operator=(start_gate&&) = delete;
    virtual ~start_gate() = default;

    /// Returns true if a request may start on `upstream`. Called right before each start and before each
    /// grant of a slot that this router owns.
    [[nodiscard]] virtual bool can_start(const base::upstream_id& upstream) const = 0;
};

/// The routers of the fleet according to the membership protocol.
struct schedule_members {
    /// Members that answer, including this router. A member that leaves the list loses its bids and grants.
    std::vector<base::vm_id> live;
    /// Subset of `live` that may own upstreams and account usage; excludes leaving members. Empty means all
    /// of `live`.
    std::vector<base::vm_id> owners;
    /// Number of members that should exist. In a partition, the ratio of `live` to this number limits the
    /// slots that this side uses.
    std::size_t listed_count = 1;
};

/// Parameters of fair sharing, queues and permits.
struct schedule_options {
    /// Priority boost of a request class over the next lower one, in requests of the pool's default cost at
    /// weight one.
    double boost_requests = 4.0;

    share_options share;
    queue_options queue;
    permit_options permit;
};

/// A request that was started in a slot. The caller reports its cost with `progress` and calls `end` once for
/// it.
struct started_request {
    request attributes;
    base::upstream_id target;
};

/// A request that was removed from the queue without being started; its outcome is `not_run`.
struct refused_request {
    request attributes;
    base::error cause;
};

/// Decisions collected since the last `take_output`, each list in order.
struct schedule_output {
    std::vector<started_request> started;
    std::vector<refused_request> refused;
    std::vector<outgoing> messages;
};

/// Decides which waiting request starts next on which upstream, with fair sharing between client accounts and
/// permits for the slots of all pools, for one router. It performs no I/O and uses neither a clock nor
/// randomness of its own.
///
/// Calls only collect decisions; `take_output` returns them. The caller sends the messages, starts the
/// requests and calls `tick` at least every `tick_interval`.
/// Thread safety: used by one thread. Time points of successive calls must not decrease.
class schedule {
public:
    /// `self` and `incarnation` identify this process in messages. Pre-condition: `gate` outlives the
    /// schedule.
    schedule(base::vm_id self, base::incarnation incarnation, const schedule_options& options,
             const start_gate& gate);

    /// Puts a configuration in force. Waiting requests whose account or pool it no longer contains are
    /// refused with `unknown_client_account` or `unknown_pool`; running requests end normally.
    void configure(std::shared_ptr<const fleet_config> config, base::time_point now);

    /// Updates the membership and reassigns the ownership of upstreams and account usage at once. Members
    /// that are no longer live lose their bids and grants.
    void set_members(const schedule_members& members, base::time_point now);

    /// Queues a request. Errors, all with outcome `not_run`: `unknown_client_account`, `unknown_pool`,
    /// `queue_full`, `deadline_exceeded`, `invalid_field` (a request with this id is waiting or running). For
    /// a retry, `avoid` lists the upstreams that must not run it again.
    base::result<void> enqueue(const request& attributes, base::time_point now,
                               std::vector<base::upstream_id> avoid = {});

    /// Removes a waiting request without adding it to the output. Returns false if no request with this id is
    /// waiting.
    bool cancel(const base::request_id& id, base::time_point now);

    /// Handle control messages of other routers. Messages of an earlier incarnation of the sender and unknown
    /// ids are ignored. The sender need not be a live member, except for bids, which are ignored otherwise.
    void receive(const message_header& header, const bid& body, base::time_point now);
    void receive(const message_header& header, const grant& body, base::time_point now);
    void receive(const message_header& header, const release& body, base::time_point now);
    void receive(const message_header& header, const usage& body, base::time_point now);
    void receive(const message_header& header, const usage_total& body, base::time_point now);

    /// Merges the virtual times of a message header. Called for messages of every type.
    void merge_virtual_times(const std::vector<pool_time>& times);
    /// Returns the virtual times for the header of an outgoing message: at most `max_header_pools` active
    /// pools, in rotation, since every message carries them.
    [[nodiscard]] std::vector<pool_time> virtual_times();

    /// Reports that a running request has cost `spent` in total so far. Unknown ids are ignored.
    void progress(const base::request_id& id, base::cost spent, base::time_point now);
    /// Reports that a running request ended, finally or to be retried, with the total cost `spent`. Its slot
    /// is reused for the next request or returned to its owner. Unknown ids are ignored.
    void end(const base::request_id& id, base::cost spent, base::time_point now);

    /// Passes on a load report of an upstream that was read at `read_at`. It limits the slots used during a
    /// partition.
    void report_load(const base::upstream_id& upstream, const upstream_load& load, base::time_point read_at,
                     base::time_point now);

    /// While `hold` is set (router isolated or draining), starts no request at this router: arriving grants
    /// are returned, but slots of upstreams owned by this router are still granted to other routers.
    void hold_starts(bool hold, base::time_point now);
    /// While `stop` is set, grants no slot of the upstream if this router owns it, so that nothing new starts
    /// there.
    void stop_upstream(const base::upstream_id& upstream, bool stop, base::time_point now);

    /// Expires deadlines, asks for and reclaims grants that their holders do not confirm, and grants free
    /// slots. The run time depends on the active accounts, pools and grants, not on the configured ones.
    void tick(base::time_point now);

    /// Returns the decisions since the last call, with the bids and usage messages that are due.
    [[nodiscard]] schedule_output take_output();

    /// Number of requests in the queue.
    [[nodiscard]] std::size_t waiting() const;
    /// Number of requests that were started and have not ended.
    [[nodiscard]] std::size_t running() const;
    /// Returns counters and pool states for dump and metrics.
    [[nodiscard]] std::vector<state_value> report() const;

    /// State of the parts, for inspection.
    [[nodiscard]] const service_tracker& service() const { return service_; }
    [[nodiscard]] const usage_owner& usage_totals() const { return usage_owner_; }
    [[nodiscard]] const permit_owner& permits() const { return owner_; }

    /// Returns the member of `owners` that owns an upstream, chosen by rendezvous hashing.
    static base::vm_id owner_of(const base::upstream_id& upstream, const std::vector<base::vm_id>& owners);

    /// Longest time between two calls of `tick`.
    static constexpr base::duration tick_interval = std::chrono::milliseconds(10);
    /// Maximum number of pools in the header of a message.
    static constexpr std::size_t max_header_pools = 2;

private:
    /// A started request with the grant of its slot; `reuse_count` counts the requests before it on the same
    /// grant.
    struct running_request {
        grant permit;
        charge account_charge;
        base::time_point granted_at{};
        std::size_t reuse_count = 0;
    };

    /// Waiting work of this router for a pool; empty while starts are held.
    [[nodiscard]] demand current_demand(const base::pool_id& pool) const;
    [[nodiscard]] base::vm_id usage_owner_of(const share_key& key);
    /// Returns false if the message comes from an earlier incarnation of its sender. A newer incarnation ends
    /// the grants and the backlog of the earlier one.
    bool accept_sender(const message_header& header, base::time_point now);
    /// Reassigns upstreams to owners; if `learn` is set, new own upstreams are granted only after the
    /// learning time.
    void assign_owners(bool learn, base::time_point now);
    /// Grants the free slots of own upstreams of a pool to the lowest bids.
    void grant_free_slots(const base::pool_id& pool, base::time_point now);
    /// Starts the request with the lowest key in a granted slot, or returns the slot.
    void use_grant(const grant& permit, base::time_point now);
    /// Starts the request with the lowest key in a slot. Returns false if no request may start there.
    bool start_in_slot(const grant& permit, base::time_point granted, std::size_t reused);
    /// Returns true if the next request may start in the slot of `ended` without a new grant by its owner.
    [[nodiscard]] bool can_reuse_slot(const running_request& ended, base::time_point now) const;
    /// Ends a grant and releases its slot to the owner of the upstream.
    void return_grant(const grant& permit, bool unused, base::time_point now);
    void refuse(waiting_request&& removed, base::error cause);
    /// Updates the backlog state of an account after one of its requests left the queue.
    void update_backlog(const share_key& key);
    /// Updates the position of an account in the queue after its service changed.
    void update_order(const share_key& key);
    void update_pool_order(const base::pool_id& pool);
    void advance_virtual_time(const base::pool_id& pool, base::normalised_cost to);
    /// Collects due usage messages; those of this router to itself are handled directly.
    void collect_usage();

    base::vm_id self_;
    base::incarnation incarnation_;
    schedule_options options_;
    const start_gate& gate_;
    service_tracker service_;
    usage_owner usage_owner_;
    queue queue_;
    permit_owner owner_;
    permit_bidder bidder_;
    std::shared_ptr<const fleet_config> config_;
    schedule_members members_;
    std::unordered_map<share_key, base::vm_id, share_key_hash> usage_owners_;
    std::map<base::vm_id, base::incarnation> incarnations_;
    std::unordered_map<base::request_id, running_request> running_;
    std::set<base::pool_id> active_pools_;
    schedule_output output_;
    base::time_point now_{};
    /// Last pool that `virtual_times` returned; the next call continues after it.
    base::pool_id last_header_pool_;
    /// Sequence number of usage messages that this router sends to itself.
    std::uint64_t self_sequence_ = 0;
    std::uint64_t unused_grants_ = 0;
    std::uint64_t reused_slots_ = 0;
    bool starts_held_ = false;
};

} // namespace bluebell::decision
