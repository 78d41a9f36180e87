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

struct schedule_options {
    share_options share;
    queue_options queue;
    permit_options permit;
};

/// A request that holds a slot from now on. The schedule expects `progress` and one `end` for it.
struct started_request {
    request what;
    base::upstream_id target;
};

/// A request that left the queue without a start; its outcome is `not_run`.
struct refused_request {
    request what;
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
    schedule(base::vm_id self, base::incarnation life, const schedule_options& options,
             const start_gate& gate);

    /// Puts a configuration in force. Waiting requests of accounts or pools that it no longer has are refused
    /// with `unknown_client_account` or `unknown_pool`; running requests end normally.
    void configure(std::shared_ptr<const fleet_config> config, base::time_point now);

    /// Sets the membership. `live` holds the members that own upstreams and homes; `listed` is the number of
    /// members that should exist and decides the share of slots in a partition. A member missing from `live`
    /// loses its bids and grants.
    void set_members(std::vector<base::vm_id> live, std::size_t listed, base::time_point now);

    /// Queues a request. Errors, all with outcome `not_run`: `unknown_client_account`, `unknown_pool`,
    /// `queue_full`, `deadline_exceeded`, `invalid_field` (the id is already waiting or running).
    /// For a retry, `avoid` names the upstreams that must not run it again.
    base::result<void> arrive(const request& what, base::time_point now,
                              std::vector<base::upstream_id> avoid = {});

    /// Removes a waiting request without output. Returns false if it does not wait.
    bool cancel(const base::request_id& id, base::time_point now);

    /// Refuses every waiting request with `code`; for the drain limit.
    void refuse_waiting(base::error_code code, base::time_point now);

    /// Control messages. The sender need not be a live member; unknown names are ignored.
    void receive(const message_header& header, const bid& body, base::time_point now);
    void receive(const message_header& header, const grant& body, base::time_point now);
    void receive(const message_header& header, const release& body, base::time_point now);
    void receive(const message_header& header, const usage& body, base::time_point now);
    void receive(const message_header& header, const usage_total& body, base::time_point now);

    /// Merges the virtual times of a message header; called for every message of any type.
    void observe(const std::vector<pool_time>& times);
    /// Virtual times of the active pools for the own header, at most `max_header_pools`.
    [[nodiscard]] std::vector<pool_time> virtual_times() const;

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

    static constexpr base::duration tick_interval = std::chrono::milliseconds(10);
    static constexpr std::size_t max_header_pools = 16;
};

} // namespace bluebell::decision
