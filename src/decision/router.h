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

/// Everything that a router decided, to be carried out by the workers.
struct router_output {
    std::vector<transport_command> transport;
    std::vector<datagram> datagrams;
    std::vector<journal_command> journal;
    std::vector<release_command> release;
    std::optional<watch_load> load;
    std::vector<finished_request> finished;
    /// Set when a new configuration came into force.
    std::shared_ptr<const fleet_config> in_force;
};

/// All decisions of one router: typed events in, typed output out. No I/O and no clock of its own.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class router final : private start_gate {
public:
    router(const router_options& options, base::time_point now);
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;
    ~router() override = default;

    void handle(const event& what, base::time_point now);
    /// To be called at least every `schedule::tick_interval`.
    void tick(base::time_point now);
    /// Hands out what was decided since the last call.
    [[nodiscard]] router_output take();

    /// The balancer may send requests here.
    [[nodiscard]] bool ready() const;
    /// Draining has ended; the process may stop.
    [[nodiscard]] bool draining() const { return drain_.state() != drain_state::serving; }
    [[nodiscard]] bool drained() const;
    /// Tells peers that this router stops now.
    void depart(base::time_point now);
    [[nodiscard]] state_report report() const;

    /// Routers per data centre that hold a watch on the release head.
    static constexpr std::size_t release_watchers = 1;
    /// Peers that each router passes a crash report on to.
    static constexpr std::size_t crash_fanout = 3;

private:
    [[nodiscard]] bool can_start(const base::upstream_id& upstream) const override;

    void on(const request_arrived& what);
    void on(const caller_gone& what);
    void on(const attempt_progress& what);
    void on(const attempt_ended& what);
    void on(const message_received& what);
    void on(const release_read& what);
    void on(const store_failed& what);
    void on(const vms_listed& what);
    void on(const load_reported& what);
    void on(const journal_answered& what);
    void on(const lease_answered& what);
    void on(const drain_requested& what);
    void on(const report_requested& what);

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

    [[nodiscard]] std::optional<base::error> refusal() const;
    [[nodiscard]] bool isolated() const;
    void learn_from_peers();
    void put_in_force();
    void update_members();
    void update_watch();
    void update_load_watch();
    void update_permissions();
    void spread(const crash_report& what);
    void apply(owner_actions actions);
    void collect();
    void collect(lifecycle_output decided);
    void send(outgoing what);
    [[nodiscard]] message_header header();

    const router_options options_;
    /// Time of the call that is being handled.
    base::time_point now_;
    member members_;
    release_gate gate_;
    confirmation confirmation_;
    schedule schedule_;
    claim_client claims_;
    claim_owner journal_;
    crash_table crashes_;
    retry_budget budget_;
    lifecycle requests_;
    drain drain_;
    std::map<base::error_code, std::uint64_t> dropped_;
    std::uint64_t store_failures_ = 0;
    std::size_t listed_peers_ = 0;
    bool watching_ = false;
    /// Upstreams whose load is polled.
    std::vector<base::upstream_id> polled_;
    bool has_departing_ = false;
    std::uint64_t sequence_ = 0;
    /// Messages to this router itself, delivered without a datagram.
    std::deque<message> own_messages_;
    router_output output_;
};

} // namespace bluebell::decision
