#pragma once

#include "base/clock.h"
#include "decision/command.h"
#include "decision/member.h"
#include "decision/retry.h"
#include "dispatch/admission.h"
#include "dispatch/attempts.h"
#include "dispatch/attribution.h"
#include "dispatch/delegation.h"
#include "dispatch/drain.h"
#include "dispatch/evacuation.h"
#include "dispatch/event.h"
#include "dispatch/feed.h"
#include "dispatch/origins.h"
#include "dispatch/placement.h"
#include "dispatch/share.h"
#include "dispatch/warmup.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// Settings of a dispatcher that hold until the process ends, and the initial bounds.
struct dispatcher_settings {
    decision::member_settings member;
    base::data_centre_id data_centre;
    /// Processor time of this VM, in cores.
    double cpu_cores = 1;
    /// Time after the start during which the list of routers still grows, since the whole fleet starts.
    base::duration peers_wait{};
    dispatcher_bounds bounds;
    /// Time since the epoch at the time of construction, by which the routers divide the turns of cold
    /// upstreams.
    base::duration unix_time_at_start{};
    std::uint64_t seed = 1;
};

/// Decisions of the dispatcher, to be carried out by the workers.
struct dispatcher_output {
    std::vector<relay_command> relay;
    std::vector<decision::datagram> datagrams;
    /// Set if a new configuration came into force.
    catalogue_ptr in_force;
    /// Set if the follower of the configuration has to change how it keeps its view.
    std::optional<follow_order> catalogue_order;
    /// Set if the follower of the list of upstreams has to change how it keeps its view.
    std::optional<follow_order> roster_order;
    /// Set if the follower of the evacuations has to change how it keeps its view.
    std::optional<follow_order> evacuation_order;
    /// Set if origins of streams have to be read from the store or written to it.
    std::optional<stream_order> streams_order;
};

/// All decisions on requests of one router: typed events in, typed commands out. No I/O, no clock.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class dispatcher {
public:
    dispatcher(const dispatcher_settings& settings, base::time_point now);

    /// Handles one event.
    void handle(const event& input, base::time_point now);
    /// Performs actions that are due. To be called no later than `next_due`.
    void tick(base::time_point now);
    [[nodiscard]] base::time_point next_due() const;
    /// Returns the decisions since the last call.
    [[nodiscard]] dispatcher_output take_output();

    /// Returns true if load balancers should send requests to this router.
    [[nodiscard]] bool ready(base::time_point now) const;
    [[nodiscard]] bool draining() const { return drain_started_.has_value(); }
    /// Returns the steps of the planned stop; empty if none was asked for.
    [[nodiscard]] std::optional<drain_plan> stop_plan() const;
    /// Returns true if this router was asked to drain and may stop now.
    [[nodiscard]] bool drained(base::time_point now) const;
    /// State for the dump.
    [[nodiscard]] decision::state_report report(base::time_point now);
    /// Shares of the requests that the relay admits; null if it admits all.
    [[nodiscard]] const admission_table_ptr& admission() const { return admission_; }
    /// Shares of the requests that may leave the data centre; null if the capacity of no pool varies.
    [[nodiscard]] const crossing_shares_ptr& crossing_shares() const { return crossing_shares_; }
    /// Number of requests in progress.
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }

private:
    enum class stage {
        queued,
        sent,
        awaiting_origin, ///< it resumes a stream whose origin this router is finding out
    };
    /// Why a request was not placed when this was last tried.
    enum class placement_limit {
        none,        ///< it was placed, or this was not tried
        unavailable, ///< no upstream is ready, reachable and not yet tried
        capacity,    ///< the best upstream has no slot or memory left for it
        delay,       ///< its first event would come too late
        service,     ///< it is a repeat, and its account is too far ahead of a backlogged one
        rate_limit,  ///< the upstream that had room states a limit of its request rate
        pause,       ///< the upstream that had room states that it wants a pause
    };
    static std::string_view to_string(placement_limit value);
    /// A request from its arrival to its end.
    struct session {
        session_id id;
        std::string caller_request_id;
        /// Configuration in force when the request was accepted; keeps `route` valid.
        catalogue_ptr accepted_catalogue;
        const dispatch::route* route = nullptr;
        base::pool_id pool;
        base::client_account_id account;
        /// The pool consists of model engines.
        bool needs_engine = false;
        prompt_info prompt;
        base::fingerprint fingerprint;
        base::time_point arrived;
        base::time_point deadline;
        /// Estimated time that the caller spent on earlier attempts.
        base::duration earlier_attempts_time{};
        token_count memory_tokens;
        base::cost cost;
        stage state = stage::queued;
        placement_limit limit = placement_limit::none;
        /// Number of the current attempt, from one on; zero before the first.
        std::uint32_t attempt = 0;
        /// Upstreams that were handed the request. Attempts without a connection do not count.
        std::uint32_t upstreams_used = 0;
        std::set<base::upstream_id> tried_upstreams;
        base::upstream_id target;
        /// Software of the target, as listed when the request was sent.
        base::software_version target_version;
        /// Whether the request resumes a stream, and the stream that it resumes or may begin.
        bool resumes = false;
        std::optional<base::stream_key> stream;
        /// Where the events which the caller has were written; empty while it has none.
        std::optional<stream_origin> origin;
        /// Until when a router that is asked may answer where the stream began, and how many still have to.
        base::time_point origin_due;
        std::size_t origin_answers_due = 0;
        /// Until when the caller waits; its route may give the request less time.
        base::time_point caller_deadline;
        placed_work placed;
        token_count tokens_ahead;
        /// Predicted time to the first event of the current attempt.
        base::duration predicted_delay{};
        /// Pace that it contains; empty if it is no expected time.
        std::optional<double> predicted_pace;
        base::time_point sent_at;
        /// The answer of the current attempt has begun.
        bool answering = false;
        /// The answer of any attempt has begun.
        bool answered = false;
        /// When its cost was counted as service of the account; empty if it is not.
        std::optional<base::time_point> counted_at;
        /// An attempt ended without the upstream stating that it did not run the request.
        bool may_have_run = false;
        /// When the answer of the current attempt began.
        base::time_point answering_since;
    };
    /// A connection to an upstream that broke under a request, kept until it is clear whether the upstream
    /// crashed.
    struct broken_connection {
        base::upstream_id upstream;
        /// Empty if the request is not suspected, because its answer had begun.
        std::vector<decision::crash_suspect> suspects;
        base::time_point broken_at;
    };

    void on(const dispatcher_bounds& bounds);
    void on(const relay_started& start);
    void on(const request_read& request);
    void on(const requests_refused& refused);
    void on(const caller_left& departure);
    void on(const answer_started& start);
    void on(const stream_began& start);
    void on(const upstream_stated& stated);
    void on(const attempt_finished& attempt);
    void on(const catalogue_read& reading);
    void on(const roster_read& reading);
    void on(const roster_changed& reading);
    void on(const peers_read& reading);
    void on(const streams_read& reading);
    void on(const evacuations_read& reading);
    void on(const decision::message_received& received);
    void on(const decision::drain_requested& request);
    void on(const decision::report_requested& request);

    [[nodiscard]] bool evacuations_enabled() const { return bounds_.evacuation > base::duration::zero(); }
    void receive(const base::vm_id& from, const decision::evacuation_report& report);
    bool apply_evacuations();
    void forget_evacuations();
    void report_evacuation_change();
    [[nodiscard]] bool reports_evacuations() const;
    /// When the evacuations are to be reported.
    [[nodiscard]] base::time_point evacuations_due() const;
    void repeat_evacuations();
    void send_evacuations();
    void send_evacuations_to(const base::vm_id& reporter);
    void send_evacuation_view(const base::vm_id& to, const evacuation_view& view);
    void update_evacuation_order(const follow_order& roster_order);
    [[nodiscard]] bool awaits_evacuations(base::time_point now) const;
    /// Refuses the request if all upstreams of its pool are in evacuated data centres.
    bool refuse_if_evacuated(session& request);
    [[nodiscard]] decision::state_section evacuation_state(base::time_point now) const;
    void update_stated_throughput();
    [[nodiscard]] bool fresh(base::time_point now) const;
    /// Returns true unless a planned stop leaves the request too little time at an upstream.
    [[nodiscard]] bool fits_into_stop(const session& request) const;
    /// Refuses a request that no upstream has got; its caller may send it to another router at once.
    void refuse_for_stop(session& request);
    /// Ends every request with what is known of it, since the process is about to end.
    void answer_open_requests();
    [[nodiscard]] std::optional<base::error_code> check_access(const request_read& request,
                                                               const route& matched) const;
    const base::pool_id& pick_pool(const route& matched);
    /// Decides on a request that resumes a stream. Returns true if its origin is known, so that it may be
    /// placed there; otherwise it was refused, or waits for an answer.
    bool resume(session& request);
    /// Binds the request to the origin of its stream. Returns false if it was refused since the origin cannot
    /// serve it any more.
    bool adopt_origin(session& request, const stream_origin& origin);
    /// Draws whether the request is admitted while its account requests more than it gets. Returns false if
    /// it was refused.
    bool draw_resumption(session& request);
    /// Returns true if no upstream of the version that began the stream takes work.
    [[nodiscard]] bool origin_left(const session& request) const;
    void refuse_as_left(session& request);
    /// Refuses a request whose stream cannot go on. `learning` is set if this router may know more soon.
    void refuse_resumption(session& request, base::error_code cause, bool learning);
    /// Asks routers that hold all origins for that of the request's stream.
    void query_origin(session& request);
    void serve_awaiting_origin();
    /// When the first request has waited long enough for its origin.
    [[nodiscard]] base::time_point origins_due() const;
    [[nodiscard]] bool holds_origins() const;
    /// Routers that hold the origins of all streams, this one included if it does.
    [[nodiscard]] std::set<base::vm_id> origin_holders() const;
    void receive(const decision::begun_streams& report);
    void receive(const decision::origin_unknown& answer);
    void answer_origin_query(const base::vm_id& from, const decision::origin_query& query);
    void send_origins();
    void update_stream_order(const std::set<base::vm_id>& holders);
    /// Places the request, or lets it wait for capacity.
    void place_or_enqueue(session& request);
    bool try_place(session& request);
    /// What keeps a request, for which `options` has no choice that `admit` accepts, from being placed.
    [[nodiscard]] placement_limit find_limit(const session& request, const placement_options& options) const;
    [[nodiscard]] bool admit(const session& request, const placement_choice& choice) const;
    [[nodiscard]] double fairness_factor(const session& request) const;
    [[nodiscard]] double capacity_share(const session& request, bool late) const;
    void withdraw_service(session& request);
    void start_attempt(session& request, const placement_choice& choice);
    void enqueue(session& request);
    void serve_queues();
    /// Refuses the request if all upstreams of its pool are to be left alone for longer than it may wait.
    bool refuse_if_paused(session& request);
    void pause_upstream(const upstream_stated& stated);
    void refuse(session& request, base::error_code cause);
    void refuse_as_isolated(session& request);
    [[nodiscard]] double queue_rank(const session& request) const;
    [[nodiscard]] base::duration max_queue_time(const session& request) const;
    [[nodiscard]] base::duration retry_delay(const session& request);
    bool retry(session& request, const attempt_finished& attempt);
    bool place_again(session& request, bool counts_as_retry);
    void end_session(session& request, int status, base::error_code cause,
                     std::optional<base::duration> retry_after = std::nullopt);
    void remove_session(session_id id);
    void release_placed_work(session& request);
    [[nodiscard]] double stated_pace(const base::upstream_id& upstream) const;
    [[nodiscard]] double estimated_pace(const base::upstream_id& upstream) const;
    void apply_roster();
    [[nodiscard]] static decision::crash_suspect suspect(const session& request);
    [[nodiscard]] bool blocked(const session& request) const;
    void record_answered(const session& request);
    void record_broken_connection(const session& request);
    void record_survived_answers();
    void confirm_crash(const base::upstream_id& upstream, base::time_point earliest, base::time_point latest);
    void update_blocks();
    void end_blocked_requests();
    void receive_crash_news(const decision::crash_news& news);
    void send_crash_news();
    void log_worst_served_account();
    void send_report();
    void send_aggregated_reports();
    /// When the shares are to be updated and changed accounts reported, before the next report.
    [[nodiscard]] base::time_point news_due() const;
    void send_news();
    void update_shares();
    void send_limits();
    void update_warmup();
    void send_warmup();
    void receive_warmup(const decision::envelope& received);
    void record_broken_process(const session& request, const attempt_finished& attempt);
    [[nodiscard]] decision::state_section warmup_state() const;
    void send_to(const base::vm_id& to, decision::message body);
    void receive_report(const decision::envelope& received);
    void receive_limits(const decision::envelope& received);
    void receive_list_update(const decision::envelope& received);
    void send_list_updates();
    void send_list_updates_to(const base::vm_id& reporter);
    /// When a changed list of upstreams is to be passed on.
    [[nodiscard]] base::time_point list_updates_due() const;
    /// Position of the list of upstreams that this router has to read from the store, since the delegate has
    /// not passed on the changes in time.
    [[nodiscard]] std::uint64_t overdue_list_position();
    /// Returns true if the sender is not one whose aggregated reports this router takes.
    [[nodiscard]] bool foreign_aggregate(const base::vm_id& from, bool aggregated) const;
    void drop_peer(const base::vm_id& peer);
    void confirm_version(base::revision version, base::time_point confirmed_at);
    void update_follow_orders();
    [[nodiscard]] base::duration view_age() const;
    void inform_newcomer(const base::vm_id& newcomer);
    void send_cached_parts(const base::vm_id& newcomer);
    void send_member_messages();
    [[nodiscard]] decision::message_header make_header();
    void update_retry_budget();
    /// Records how old the sums of the data centres are.
    void record_sums_ages();
    void publish_crossing_shares();
    [[nodiscard]] decision::state_section crossing_section() const;
    [[nodiscard]] std::size_t fleet_size() const;

    const dispatcher_settings settings_;
    dispatcher_bounds bounds_;
    base::time_point now_;
    decision::member members_;
    catalogue_ptr catalogue_;
    /// When the configuration was last confirmed to be the newest one, at the store or through the delegate.
    std::optional<base::time_point> catalogue_confirmed_at_;
    /// When the list of upstreams was last confirmed at the store.
    std::optional<base::time_point> roster_confirmed_at_;
    /// Position of the store at which the list of upstreams last changed.
    std::uint64_t roster_position_ = 0;
    delegation delegation_;
    /// The list as this router passes it on while it is a delegate.
    list_feed feed_;
    base::time_point next_list_update_;
    /// The list as the delegate passes it on.
    list_replica replica_;
    /// Newest position of the list that the delegate has reported, and since when this router lacks it.
    std::uint64_t reported_list_position_ = 0;
    std::optional<base::time_point> list_behind_since_;
    const base::time_point started_at_;
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
    base::time_point next_order_repeat_;
    /// Until when this router watches the store itself although it has a delegate.
    base::time_point own_watch_until_;
    base::time_point next_aggregated_report_;
    base::time_point last_share_update_;
    /// A peer has reported changed accounts since the last update of the shares.
    bool news_received_ = false;
    /// The list of upstreams has changed since it was last passed on.
    bool list_changed_ = false;
    /// The list of routers was read, so that the size of the fleet is known.
    bool peers_known_ = false;
    /// A crash was recorded since the blocks were updated.
    bool crash_recorded_ = false;
    base::time_point next_share_line_;
    roster roster_;
    request_limits limits_;
    warmup_limits warmup_;
    /// When the routers among which the turns of cold upstreams are divided are looked up again.
    base::time_point next_router_update_;
    placement placement_;
    fair_share fair_share_;
    admission_table_ptr admission_;
    crossing_shares_ptr crossing_shares_;
    decision::retry_budget retry_budget_;
    crash_attribution crashes_;
    stream_origins origins_;
    evacuations evacuations_;
    base::time_point next_evacuation_report_;
    /// When the report of the last change is to be repeated.
    std::optional<base::time_point> evacuation_repeat_;
    /// Requests in the stage `awaiting_origin`.
    std::set<session_id> awaiting_origin_;
    /// Routers that hold all origins and have got those of this router.
    std::set<base::vm_id> informed_holders_;
    /// Reading the origins from the store was ordered, and has succeeded.
    bool origins_ordered_ = false;
    bool origins_read_ = false;
    base::time_point next_origin_write_;
    base::time_point next_crash_news_;
    std::unordered_map<session_id, session> sessions_;
    std::set<std::pair<base::time_point, session_id>> deadlines_;
    std::map<base::pool_id, std::vector<session_id>> queues_;
    std::map<route_id, attempt_estimate> attempt_estimates_;
    std::deque<broken_connection> broken_connections_;
    std::set<base::vm_id> known_routers_;
    /// The relay has started and accepts connections of callers.
    bool relay_listens_ = false;
    std::optional<base::time_point> drain_started_;
    base::time_point next_report_;
    base::time_point last_report_;
    base::time_point next_queue_pass_;
    /// Capacity or the queues have changed since the last pass over the queues.
    bool queue_changed_ = false;
    std::uint64_t sequence_ = 0;
    std::mt19937_64 random_;
    /// Upstreams that are listed and whose unreadable load was logged.
    std::set<base::upstream_id> malformed_loads_;
    /// Outcomes of attempts and causes of ended requests, for the dump.
    std::map<std::string, std::uint64_t> counters_;
    dispatcher_output output_;
};

} // namespace bluebell::dispatch
