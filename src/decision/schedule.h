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

/// Vetoes new work on an upstream, for example while it departs or after it failed.
class start_gate {
public:
    start_gate() = default;
    start_gate(const start_gate&) = delete;
    start_gate& operator=(const start_gate&) = delete;
    start_gate(start_gate&&) = delete;
    start_gate& operator=(start_gate&&) = delete;
    virtual ~start_gate() = default;

    /// Asked right before each start and before each grant of a slot that this router owns.
    [[nodiscard]] virtual bool can_start(const base::upstream_id& upstream) const = 0;
};

/// The routers of the fleet as membership sees them.
struct schedule_members {
    /// Members that answer, with this router; others lose their bids and grants.
    std::vector<base::vm_id> live;
    /// The part of `live` that may own upstreams and homes; leaving members are not in it. All of `live` if
    /// empty.
    std::vector<base::vm_id> owners;
    /// Number of members that should exist; in a partition it decides the share of the slots.
    std::size_t listed = 1;
};

struct schedule_options {
    /// Boost of a class over the next one, in requests of the pool's default cost at weight one.
    double boost_requests = 4.0;

    share_options share;
    queue_options queue;
    permit_options permit;
};

/// A request that holds a slot from now on. The schedule expects `progress` and one `end` for it.
struct started_request {
    request info;
    base::upstream_id target;
};

/// A request that left the queue without a start; its outcome is `not_run`.
struct refused_request {
    request info;
    base::error cause;
};

/// Everything that a call decided, in order.
struct schedule_output {
    std::vector<started_request> started;
    std::vector<refused_request> refused;
    std::vector<outgoing> messages;
};

/// Fair sharing and permits for all pools of one router: decides which waiting request starts next on which
/// upstream. Pure: no I/O, no clock and no randomness of its own.
///
/// Calls only collect decisions; `take` hands them out. The caller sends the messages, starts the requests
/// and calls `tick` at least every `tick_interval`.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class schedule {
public:
    /// `self` and `life` name this process in messages. Pre-condition: `gate` outlives the schedule.
    schedule(base::vm_id self, base::incarnation incarnation, const schedule_options& options,
             const start_gate& gate);

    /// Puts a configuration in force. Waiting requests of accounts or pools that it no longer has are refused
    /// with `unknown_client_account` or `unknown_pool`; running requests end normally.
    void configure(std::shared_ptr<const fleet_config> config, base::time_point now);

    /// Ownership of upstreams and homes follows at once.
    void set_members(const schedule_members& members, base::time_point now);

    /// Queues a request. Errors, all with outcome `not_run`: `unknown_client_account`, `unknown_pool`,
    /// `queue_full`, `deadline_exceeded`, `invalid_field` (the id is already waiting or running).
    /// For a retry, `avoid` names the upstreams that must not run it again.
    base::result<void> arrive(const request& info, base::time_point now,
                              std::vector<base::upstream_id> avoid = {});

    /// Removes a waiting request without output. Returns false if it does not wait.
    bool cancel(const base::request_id& id, base::time_point now);

    /// Control messages. The sender need not be a live member; unknown names are ignored.
    void receive(const message_header& header, const bid& body, base::time_point now);
    void receive(const message_header& header, const grant& body, base::time_point now);
    void receive(const message_header& header, const release& body, base::time_point now);
    void receive(const message_header& header, const usage& body, base::time_point now);
    void receive(const message_header& header, const usage_total& body, base::time_point now);

    /// Merges the virtual times of a message header; called for every message of any type.
    void observe(const std::vector<pool_time>& times);
    /// Virtual times of some active pools for the own header, in turn: at most `max_header_pools`, since each
    /// message carries them.
    [[nodiscard]] std::vector<pool_time> virtual_times();

    /// A running request has cost `spent` so far.
    void progress(const base::request_id& id, base::cost spent, base::time_point now);
    /// A running request ended for good or for a retry; its slot is free.
    void end(const base::request_id& id, base::cost spent, base::time_point now);

    void report_load(const base::upstream_id& upstream, const upstream_load& load, base::time_point read_at,
                     base::time_point now);

    /// Starts nothing new here while set (isolated, draining); grants that arrive are handed back and slots
    /// of the own upstreams still go to other routers.
    void hold_starts(bool hold, base::time_point now);
    /// Grants no slot of an own upstream and starts nothing on it while set.
    void stop_upstream(const base::upstream_id& upstream, bool stop, base::time_point now);

    /// Expires deadlines, sends due bids and reports, returns grants not taken up. The cost depends on the
    /// active accounts, pools and grants and not on the configured ones.
    void tick(base::time_point now);

    /// Hands out what was decided since the last call.
    [[nodiscard]] schedule_output take();

    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t running() const;
    /// Counters and pool states for dump and metrics.
    [[nodiscard]] std::vector<state_value> report() const;

    [[nodiscard]] const service_tracker& service() const { return service_; }
    [[nodiscard]] const usage_owner& usage_totals() const { return usage_owner_; }
    [[nodiscard]] const permit_owner& permits() const { return owner_; }

    /// The router that owns an upstream among those that may own one.
    static base::vm_id owner_of(const base::upstream_id& upstream, const std::vector<base::vm_id>& owners);

    static constexpr base::duration tick_interval = std::chrono::milliseconds(10);
    static constexpr std::size_t max_header_pools = 2;

private:
    struct running_request {
        grant permit;
        charge account_charge;
        base::time_point granted_at{};
        std::size_t reuse_count = 0;
    };

    [[nodiscard]] demand current_demand(const base::pool_id& pool) const;
    [[nodiscard]] base::vm_id usage_owner_of(const share_key& key);
    /// False if the message comes from an earlier life of its sender.
    bool accept_sender(const message_header& header, base::time_point now);
    void assign_owners(bool learn, base::time_point now);
    void grant_free_slots(const base::pool_id& pool, base::time_point now);
    /// Starts the best request on a granted slot, or hands the slot back.
    void use_grant(const grant& permit, base::time_point now);
    /// Starts the best request in a slot. Returns false if there is none.
    bool start_in_slot(const grant& permit, base::time_point granted, std::size_t reused);
    /// Whether a slot that became free may take the next request without its owner.
    [[nodiscard]] bool can_reuse_slot(const running_request& ended, base::time_point now) const;
    void return_grant(const grant& permit, bool unused, base::time_point now);
    void refuse(waiting_request&& removed, base::error cause);
    void update_backlog(const share_key& key);
    void update_order(const share_key& key);
    void update_pool_order(const base::pool_id& pool);
    void advance_virtual_time(const base::pool_id& pool, base::normalised_cost to);
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
    base::pool_id last_header_pool_;
    std::uint64_t self_sequence_ = 0;
    std::uint64_t unused_grants_ = 0;
    std::uint64_t reused_slots_ = 0;
    bool starts_held_ = false;
};

} // namespace bluebell::decision
