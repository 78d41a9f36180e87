#pragma once

#include "base/clock.h"
#include "decision/command.h"
#include "decision/member.h"
#include "decision/retry.h"
#include "dispatch/delegation.h"
#include "dispatch/event.h"
#include "dispatch/placement.h"
#include "dispatch/share.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

struct dispatcher_settings {
    decision::member_settings member;
    base::data_centre_id data_centre;
    /// Processor time of this VM, in cores.
    double cpu_cores = 1;
    dispatcher_bounds bounds;
    /// How long a router that drains still takes requests, so that balancers notice.
    base::duration drain_accept_time = std::chrono::milliseconds(3000);
    /// How long a router that drains stays at least.
    base::duration min_drain_time = std::chrono::milliseconds(3200);
    std::uint64_t seed = 1;
};

/// Everything that the dispatcher decided, to be carried out by the workers.
struct dispatcher_output {
    std::vector<relay_command> relay;
    std::vector<decision::datagram> datagrams;
    /// Set when a new configuration came into force.
    catalogue_ptr in_force;
    /// Set when the views of the store are to be kept in another way.
    std::optional<follow_order> catalogue_order;
    std::optional<follow_order> roster_order;
};

/// All decisions on requests of one router: typed events in, typed commands out. No I/O, no clock.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class dispatcher {
public:
    dispatcher(const dispatcher_settings& settings, base::time_point now);

    void handle(const event& what, base::time_point now);
    /// Does what is due. To be called no later than `next_due`.
    void tick(base::time_point now);
    [[nodiscard]] base::time_point next_due() const;
    [[nodiscard]] dispatcher_output take_output();

    [[nodiscard]] bool ready(base::time_point now) const;
    [[nodiscard]] bool draining() const { return drain_started_.has_value(); }
    [[nodiscard]] bool drained(base::time_point now) const;
    [[nodiscard]] decision::state_report report(base::time_point now);
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }

private:
    enum class stage { queued, sent };
    struct session {
        session_id id;
        std::string caller_request_id;
        catalogue_ptr accepted_catalogue;
        const dispatch::route* route = nullptr;
        base::pool_id pool;
        base::client_account_id account;
        /// Needs a model engine.
        bool needs_engine = false;
        prompt_info prompt;
        base::fingerprint fingerprint;
        base::time_point arrived;
        base::time_point deadline;
        /// Time that the caller spent on earlier attempts.
        base::duration earlier_attempts_time{};
        token_count memory_tokens;
        base::cost cost;
        stage state = stage::queued;
        std::uint32_t attempt = 0;
        /// Upstreams that were handed the request.
        std::uint32_t upstreams_used = 0;
        std::set<base::upstream_id> tried_upstreams;
        base::upstream_id target;
        placed_work placed;
        token_count tokens_ahead;
        base::time_point sent_at;
        bool answering = false;
        /// An attempt ended without the upstream saying that it did not run the request.
        bool may_have_run = false;
        /// When the answer began in this attempt.
        base::time_point answering_since;
    };
    /// A request that was running when its connection broke, until it is clear whether the upstream crashed.
    struct suspect {
        base::upstream_id upstream;
        base::fingerprint fingerprint;
        base::time_point failed_at;
    };

    void on(const dispatcher_bounds& what);
    void on(const relay_started& what);
    void on(const request_read& what);
    void on(const caller_left& what);
    void on(const answer_started& what);
    void on(const attempt_finished& what);
    void on(const catalogue_read& what);
    void on(const roster_read& what);
    void on(const roster_changed& what);
    void on(const peers_read& what);
    void on(const decision::message_received& what);
    void on(const decision::drain_requested& what);
    void on(const decision::report_requested& what);

    [[nodiscard]] bool fresh(base::time_point now) const;
    [[nodiscard]] std::optional<base::error_code> check_access(const request_read& what, const route& via) const;
    base::duration estimate_earlier_attempts(const route& via, const std::optional<base::duration>& patience);
    const base::pool_id& pick_pool(const route& via);
    bool try_place(session& what);
    [[nodiscard]] bool admit(const session& what, const placement_choice& choice) const;
    [[nodiscard]] double fairness_factor(const session& what) const;
    void start_attempt(session& what, const placement_choice& choice);
    void enqueue(session& what);
    void serve_queues();
    void refuse(session& what, base::error_code cause);
    [[nodiscard]] base::duration max_queue_time(const session& what) const;
    [[nodiscard]] base::duration retry_delay(const session& what);
    bool retry(session& what, const attempt_finished& how);
    void end_session(session& what, int status, base::error_code cause,
             std::optional<base::duration> retry_after = std::nullopt);
    void remove_session(session_id id);
    void release_placed_work(session& what);
    void apply_roster();
    void confirm_crash(const base::upstream_id& upstream);
    void spread_crash_report(const decision::crash_report& what);
    void send_report();
    void send_aggregated_reports();
    void send_to(const base::vm_id& to, decision::message body);
    void receive_report(const decision::envelope& what);
    void confirm_version(base::revision version, base::time_point at);
    void update_follow_orders();
    [[nodiscard]] base::duration view_age() const;
    void inform_newcomer(const base::vm_id& newcomer);
    void send_cached_parts(const base::vm_id& newcomer);
    void send_member_messages();
    [[nodiscard]] decision::message_header make_header();
    void update_retry_budget();
    [[nodiscard]] std::size_t fleet_size() const;

    const dispatcher_settings settings_;
    dispatcher_bounds bounds_;
    base::time_point now_;
    decision::member members_;
    catalogue_ptr catalogue_;
    std::optional<base::time_point> catalogue_confirmed_at_;
    std::optional<base::time_point> roster_confirmed_at_;
    /// Position of the store at which the list of upstreams last changed.
    std::uint64_t roster_position_ = 0;
    delegation delegation_;
    /// A confirmation by the delegate of a version that this router does not have yet.
    struct pending_view {
        base::revision version;
        base::time_point confirmed_at;
    };
    std::optional<pending_view> pending_view_;
    /// Last confirmation that a delegate passed on.
    base::time_point delegate_confirmed_at_;
    follow_order catalogue_order_;
    follow_order roster_order_;
    base::time_point own_watch_until_;
    base::time_point next_aggregated_report_;
    roster roster_;
    placement placement_;
    fair_share fair_share_;
    decision::retry_budget retry_budget_;
    decision::crash_table crashes_;
    std::unordered_map<session_id, session> sessions_;
    std::set<std::pair<base::time_point, session_id>> deadlines_;
    std::map<base::pool_id, std::vector<session_id>> queues_;
    /// How often each patience was seen on a route; the usual one belongs to first attempts.
    std::map<route_id, std::map<std::int64_t, std::uint32_t>> caller_timeout_counts_;
    std::deque<suspect> suspects_;
    std::set<base::vm_id> known_routers_;
    std::optional<base::time_point> drain_started_;
    base::time_point next_report_;
    base::time_point last_report_;
    base::time_point next_queue_pass_;
    bool queue_changed_ = false;
    std::uint64_t sequence_ = 0;
    std::mt19937_64 random_;
    std::map<std::string, std::uint64_t> counters_;
    dispatcher_output output_;
};

} // namespace bluebell::dispatch
