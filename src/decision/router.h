#pragma once

#include "decision/claim.h"
#include "decision/command.h"
#include "decision/drain.h"
#include "decision/event.h"
#include "decision/lifecycle.h"
#include "decision/member.h"
#include "decision/release.h"
#include "decision/retry.h"
#include "decision/schedule.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bluebell::decision {

/// Identity of one router process and the settings of its modules.
struct router_options {
    base::vm_id self;
    base::incarnation incarnation;
    member_settings member;
    schedule_options schedule;
    client_settings claims;
    owner_settings journal;
    retry_settings retry;
    crash_settings crashes;
    drain_settings drain;
    std::uint64_t seed = 1;
};

/// Decisions since the previous call of `router::take`, to be carried out by the workers.
struct router_output {
    std::vector<transport_command> transport;
    std::vector<datagram> datagrams;
    std::vector<journal_command> journal;
    std::vector<release_command> release;
    std::optional<watch_load> load;
    std::vector<finished_request> finished;
    /// The new configuration, if one came into force since the previous call; otherwise null.
    std::shared_ptr<const fleet_config> config_in_force;
};

/// Makes all decisions of one router. Takes typed events and returns typed output; does no I/O and reads no
/// clock.
/// Thread safety: used by one thread. The time points of successive calls must not decrease.
class router final : private start_gate {
public:
    router(const router_options& options, base::time_point now);
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;
    ~router() override = default;

    /// Updates the state for one event; `take` returns the resulting decisions.
    void handle(const event& input, base::time_point now);
    /// Handles timeouts and periodic work. Must be called at least every `schedule::tick_interval`.
    void tick(base::time_point now);
    /// Returns and clears the decisions made since the previous call.
    [[nodiscard]] router_output take();

    /// Returns true if the load balancer may send requests to this router.
    [[nodiscard]] bool ready() const;
    /// Returns true from the start of a drain on, also after it has ended.
    [[nodiscard]] bool draining() const { return drain_.state() != drain_state::serving; }
    /// Returns true if the drain has ended and the process may stop.
    [[nodiscard]] bool drained() const;
    /// Queues messages that inform the peers that this router stops now.
    void depart(base::time_point now);
    /// Returns a snapshot of the state for dump, status and metrics.
    [[nodiscard]] state_report report() const;

    /// Number of routers per data centre that watch the release head in the store.
    static constexpr std::size_t release_watchers = 1;
    /// Number of peers to which each router forwards a crash report.
    static constexpr std::size_t crash_fanout = 3;

private:
    [[nodiscard]] bool can_start(const base::upstream_id& upstream) const override;

    void on(const request_arrived& arrival);
    void on(const caller_gone& disconnect);
    void on(const attempt_progress& progress);
    void on(const attempt_ended& ending);
    void on(const message_received& received);
    void on(const release_read& head_read);
    void on(const store_failed& failure);
    void on(const vms_listed& listing);
    void on(const load_reported& load_report);
    void on(const journal_answered& answer);
    void on(const lease_answered& answer);
    void on(const drain_requested& request);
    void on(const report_requested& report_request);

    void deliver(const message_header& header, const message& body);
    void receive(const message_header& header, const ping& body);
    void receive(const message_header& header, const ack& body);
    void receive(const message_header& header, const ping_request& body);
    void receive(const message_header& header, const bid& body);
    void receive(const message_header& header, const grant& body);
    void receive(const message_header& header, const release& body);
    void receive(const message_header& header, const usage& body);
    void receive(const message_header& header, const usage_total& body);
    void receive(const message_header& header, const claim& body);
    void receive(const message_header& header, const claim_result& body);
    void receive(const message_header& header, const settle& body);
    void receive(const message_header& header, const settle_ack& body);
    void receive(const message_header& header, const crash_report& body);
    void receive(const message_header& header, const work_report& body);
    void receive(const message_header& header, const crash_news& body);
    void receive(const message_header& header, const limit_report& body);
    void receive(const message_header& header, const upstream_list_update& body);
    void receive(const message_header& header, const begun_streams& body);
    void receive(const message_header& header, const origin_query& body);
    void receive(const message_header& header, const origin_unknown& body);
    void receive(const message_header& header, const evacuation_report& body);
    void receive(const message_header& header, const warmup_report& body);

    /// Returns the reason why new requests are refused, or nothing if they are accepted.
    [[nodiscard]] std::optional<base::error> refusal_reason() const;
    /// Returns true if this router reached neither the store nor its peers for too long to start new work.
    [[nodiscard]] bool isolated() const;
    void update_confirmation();
    void put_in_force();
    void update_members();
    void update_watch();
    void update_load_watch();
    void update_send_permissions();
    void forward_crash_report(const crash_report& crash);
    void apply(owner_actions actions);
    void collect_output();
    void collect_output(lifecycle_output decided);
    void send(outgoing outbound);
    [[nodiscard]] message_header header();

    const router_options options_;
    /// Time passed to the public call in progress.
    base::time_point now_;
    member members_;
    release_gate release_gate_;
    confirmation confirmation_;
    schedule schedule_;
    claim_client claim_client_;
    claim_owner claim_owner_;
    crash_table crash_table_;
    retry_budget retry_budget_;
    lifecycle lifecycle_;
    drain drain_;
    std::map<base::error_code, std::uint64_t> dropped_messages_;
    std::uint64_t store_failures_ = 0;
    std::size_t listed_peer_count_ = 0;
    bool watches_release_ = false;
    /// Upstreams in the last `watch_load` command.
    std::vector<base::upstream_id> polled_upstreams_;
    bool has_departing_upstream_ = false;
    std::uint64_t last_sequence_ = 0;
    /// Messages from this router to itself, delivered without a datagram.
    std::deque<message> local_messages_;
    router_output output_;
};

} // namespace bluebell::decision
