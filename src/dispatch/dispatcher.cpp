#include "dispatch/dispatcher.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// Shortest time between two passes over the queues.
constexpr base::duration min_queue_pass_interval = std::chrono::milliseconds(5);
/// Longest time between two passes while requests wait.
constexpr base::duration max_queue_pass_interval = std::chrono::milliseconds(10);
/// Placements that may fail in one pass over a queue before the rest is left for the next pass.
constexpr int max_failures_per_pass = 12;
/// Share of the objective within which the first event is to arrive.
constexpr double objective_target_share = 0.9;
/// Share of the objective that a request may wait in the queue before it is refused.
constexpr double max_queue_share = 0.4;
/// Share of its time that a request which resumes a stream may wait in the queue.
constexpr double max_resumption_queue_share = 0.25;
/// Queueing delay at the engine, as a share of the objective, that is accepted even for a request that will
/// miss its objective.
constexpr double late_delay_share = 0.15;
/// Time that a plain service may take for a request that will miss its objective, as a share of the
/// objective.
constexpr double late_answer_share = 0.5;
/// Share of an engine that requests which miss their objective may fill.
constexpr double late_capacity_share = 0.5;
/// Share of an engine that requests of accounts far ahead of their fair share may fill.
constexpr double min_capacity_share = 0.5;
/// Share of the time left until the objective within which a first event is early enough.
constexpr double latency_target_share = 0.5;
/// Weight of reading a shared part again: it takes the engine from other requests, and the platform charges
/// for it.
constexpr double full_cache_miss_weight = 8;
/// Weight of reading a shared part again after `cache_wait_share` of the objective, when the alternative is
/// to refuse the request.
constexpr double reduced_cache_miss_weight = 1.5;
constexpr double cache_wait_share = 0.3;
/// Share of an engine that requests with a cache miss may fill before `cache_wait_share` of the objective.
constexpr double waiting_cache_miss_capacity = 0.6;
/// Prompt tokens placed since the last report from which on a report is sent ahead of time, and the shortest
/// interval of reports.
constexpr token_count early_report_tokens(8000);
constexpr base::duration min_report_interval = std::chrono::milliseconds(25);
/// Accounts whose relative service is between these values have their limits lowered, the more the higher it
/// is, down to the factor `min_fairness_factor`.
constexpr double throttle_start = 0.95;
constexpr double throttle_end = 1.35;
constexpr double min_fairness_factor = 0.1;
/// Accounts whose relative service is at most this may fill engines without regard to others.
constexpr double underserved_level = 0.5;
/// Interval of the log lines on the worst served account.
constexpr base::duration share_line_interval = std::chrono::seconds(1);
/// Time to pass the answer on to the caller.
constexpr base::duration delivery_time = std::chrono::milliseconds(8);
/// A retry is not started with this time or less left until the deadline.
constexpr base::duration min_retry_time = std::chrono::milliseconds(20);
/// A connection that fails within this time after another one broke shows that the upstream crashed.
constexpr base::duration refused_connection_time = std::chrono::seconds(2);
/// Pause of an upstream that refuses work because it is full.
constexpr base::duration full_pause = std::chrono::milliseconds(30);
/// Pause of an upstream whose address another upstream has; its entry is corrected in the meantime.
constexpr base::duration misdirected_pause = std::chrono::seconds(1);
/// Number of routers that a router without a list of its peers assumes to exist.
constexpr std::size_t assumed_fleet_size = 16;
/// Engines that are considered for a request in a fleet with delegates, at random, beside those that have
/// most of its prompt cached. Otherwise many routers with the same aggregated reports would all choose the
/// same engine until the next reports.
constexpr std::size_t engine_sample_size = 10;
/// Plain services that are considered in a fleet with delegates. Their requests are shorter than the interval
/// of the aggregated reports.
constexpr std::size_t plain_sample_size = 2;
/// Share of an engine that a fleet with delegates fills, since its reports are older and more routers act on
/// them.
constexpr double delegated_capacity_share = 0.8;
/// Least time after which callers of a router without a fresh view may return; up to twice as much, so that
/// they do not all meet the next router at once.
constexpr base::duration isolated_return_time = std::chrono::milliseconds(100);
/// How long a router watches the store itself after the view of its delegate was too old.
constexpr base::duration own_watch_time = std::chrono::seconds(1);
/// How long a router waits for the list of routers before it watches the store: in a large fleet the delegate
/// does that.
constexpr base::duration peer_list_timeout = std::chrono::milliseconds(300);
/// Interval at which the orders to the followers are repeated, for a follower that has restarted.
constexpr base::duration order_repeat_interval = std::chrono::seconds(1);
/// Share of the fleet's retry budget that the routers use together; the rest covers routers that join and
/// leave.
constexpr double retry_budget_share = 0.8;
/// Cost of a generated token in the service of accounts; a token that is read costs one.
constexpr double output_token_weight = 2;
/// Cost of a request to a plain service, in the same unit.
constexpr double plain_request_cost = 1;
/// Refused callers are asked to retry after this share of the time that they had until the deadline, plus a
/// random part of that delay up to `retry_delay_spread`. Overload lasts for seconds, and a caller that
/// retries at once meets the same queue.
constexpr double retry_delay_share = 0.2;
constexpr double retry_delay_spread = 0.25;

double to_ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

base::duration scaled(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(value * factor);
}

token_count expected_output(const prompt_info& prompt) {
    return prompt.output_tokens_hint ? std::min(*prompt.output_tokens_hint, prompt.max_output_tokens)
                                     : prompt.max_output_tokens;
}

/// Value of a level for logs, where -1 stands for an infinite one.
double level_field(base::cost level) {
    return std::isinf(level.value()) ? -1 : level.value();
}

decision::state_value make_value(const std::string& name, double value) {
    return {name, std::to_string(value)};
}

} // namespace

base::cost model_request_cost(const prompt_info& prompt) {
    return base::cost(static_cast<double>(prompt.prompt_tokens.value()) +
                      output_token_weight * static_cast<double>(expected_output(prompt).value()));
}

std::string_view to_string(attempt_outcome value) {
    switch (value) {
    case attempt_outcome::delivered:
        return "delivered";
    case attempt_outcome::held:
        return "held";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::unsent:
        return "unsent";
    case attempt_outcome::lost:
        return "lost";
    case attempt_outcome::garbled:
        return "garbled";
    case attempt_outcome::cut:
        return "cut";
    }
    return "unknown";
}

std::string_view dispatcher::to_string(placement_limit value) {
    switch (value) {
    case placement_limit::none:
        return "none";
    case placement_limit::unavailable:
        return "unavailable";
    case placement_limit::capacity:
        return "capacity";
    case placement_limit::delay:
        return "delay";
    case placement_limit::service:
        return "service";
    case placement_limit::rate_limit:
        return "rate_limit";
    case placement_limit::pause:
        return "pause";
    }
    return "unknown";
}

dispatcher::dispatcher(const dispatcher_settings& settings, base::time_point now)
    : settings_(settings), bounds_(settings.bounds), now_(now), members_(settings.member, now),
      delegation_(settings.member.self, settings.data_centre, settings.cpu_cores),
      feed_(settings.member.incarnation), started_at_(now), limits_(settings.seed),
      warmup_(settings.member.self, settings.unix_time_at_start, now),
      placement_(settings.data_centre, settings.seed, limits_, &warmup_),
      retry_budget_({settings.bounds.retry_ratio * retry_budget_share, 0}), next_report_(now),
      next_queue_pass_(now), random_(settings.seed) {
    update_retry_budget();
    warmup_.set_bounds(bounds_.warmup_overshoot, bounds_.warmup_slack);
    placement_.set_crossing_prices(bounds_.crossing);
}

void dispatcher::handle(const event& input, base::time_point now) {
    now_ = now;
    std::visit([this](const auto& alternative) { on(alternative); }, input);
    if (std::exchange(crash_recorded_, false)) {
        update_blocks();
    }
}

void dispatcher::tick(base::time_point now) {
    now_ = now;
    if (now >= members_.next_due()) {
        members_.tick(now);
        if (roster_.expire(now)) {
            apply_roster();
        }
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto found = sessions_.find(deadlines_.begin()->second);
        if (found == sessions_.end()) {
            deadlines_.erase(deadlines_.begin());
        } else if (found->second.state != stage::sent) {
            end_session(found->second, 503, error_code::deadline_exceeded);
        } else {
            end_session(found->second, 504, error_code::deadline_exceeded);
        }
    }
    const std::optional<drain_plan> plan = stop_plan();
    if (plan && now >= plan->answer_at()) {
        answer_open_requests();
    }
    if (now >= news_due()) {
        update_shares();
        send_news();
    }
    if (now >= next_report_ ||
        (placement_.unreported_tokens() > early_report_tokens && now >= last_report_ + min_report_interval)) {
        last_report_ = now;
        record_sums_ages();
        placement_.update(now);
        publish_crossing_shares();
        update_shares();
        log_worst_served_account();
        limits_.set_fleet_size(fleet_size());
        limits_.update(now);
        update_warmup();
        update_retry_budget();
        const base::vm_id previous_delegate = delegation_.needed() ? delegation_.delegate() : base::vm_id();
        delegation_.update(members_.members(), now);
        if (!previous_delegate.value().empty() && previous_delegate != delegation_.delegate()) {
            base::log_event(log_level::info, "dispatcher", "delegate_changed",
                            {{"from", previous_delegate.value()}, {"to", delegation_.delegate().value()}});
            // The new delegate reports the work of the others; if it is this router, they report to it.
            for (const base::vm_id& peer : members_.live()) {
                drop_peer(peer);
            }
        }
        update_follow_orders();
        record_survived_answers();
        update_blocks();
        send_crash_news();
        send_report();
        send_limits();
        send_warmup();
        send_origins();
        next_report_ = now + bounds_.report_interval;
    }
    if (now >= list_updates_due()) {
        send_list_updates();
    }
    if (now >= evacuations_due()) {
        repeat_evacuations();
    }
    if (now >= origins_due()) {
        serve_awaiting_origin();
    }
    if (now >= next_queue_pass_) {
        serve_queues();
        next_queue_pass_ = now + min_queue_pass_interval;
    }
    send_member_messages();
}

base::time_point dispatcher::next_due() const {
    base::time_point due = std::min({members_.next_due(), next_report_, news_due(), list_updates_due(),
                                     origins_due(), evacuations_due()});
    if (!deadlines_.empty()) {
        due = std::min(due, deadlines_.begin()->first);
    }
    if (const std::optional<drain_plan> plan = stop_plan()) {
        for (const base::time_point step : {plan->refuse_until(), plan->answer_at()}) {
            due = step > now_ ? std::min(due, step) : due;
        }
    }
    const bool waiting =
        std::any_of(queues_.begin(), queues_.end(), [](const auto& queue) { return !queue.second.empty(); });
    if (waiting) {
        due = std::min(due, queue_changed_
                                ? next_queue_pass_
                                : next_queue_pass_ + max_queue_pass_interval - min_queue_pass_interval);
    }
    return due;
}

void dispatcher::update_shares() {
    last_share_update_ = now_;
    fair_share_.set_fleet_size(fleet_size());
    fair_share_.update(now_);
    admission_ = fair_share_.admission(placement_.engine_load(), now_, placement_.any_capacity_varies());
}

dispatcher_output dispatcher::take_output() {
    return std::exchange(output_, {});
}

bool dispatcher::fresh(base::time_point now) const {
    return catalogue_confirmed_at_ && now - *catalogue_confirmed_at_ <= bounds_.max_confirmation_age;
}

bool dispatcher::ready(base::time_point now) const {
    if (!relay_listens_ || !catalogue_ || draining() || awaits_evacuations(now)) {
        return false;
    }
    // If no router reaches the store, a load balancer has no better router to choose.
    const std::optional<base::time_point> peer = members_.last_peer_confirmation();
    return fresh(now) || !peer || now - *peer > bounds_.max_confirmation_age;
}

std::optional<error_code> dispatcher::check_access(const request_read& request, const route& matched) const {
    if (matched.anonymous) {
        return std::nullopt;
    }
    if (!fresh(now_)) {
        return error_code::router_isolated;
    }
    if (catalogue_->keys.count(request.key) == 0) {
        return error_code::unknown_client_account;
    }
    return std::nullopt;
}

void dispatcher::on(const dispatcher_bounds& bounds) {
    bounds_ = bounds;
    placement_.set_crossing_prices(bounds_.crossing);
    retry_budget_.set_ratio(bounds_.retry_ratio * retry_budget_share);
    update_retry_budget();
    warmup_.set_bounds(bounds_.warmup_overshoot, bounds_.warmup_slack);
    if (!evacuations_enabled() && (evacuations_.own() || evacuations_.known())) {
        forget_evacuations();
    }
}

void dispatcher::on(const relay_started& /*start*/) {
    while (!sessions_.empty()) {
        remove_session(sessions_.begin()->first);
    }
    output_.relay.clear();
    relay_listens_ = true;
}

void dispatcher::on(const request_read& request) {
    session created;
    created.id = request.id;
    created.caller_request_id = request.caller_request_id;
    created.arrived = request.arrived;
    if (!catalogue_) {
        return end_session(created, 503, error_code::not_ready);
    }
    const route* const matched = catalogue_->match(request.host, request.path);
    if (matched == nullptr) {
        return fresh(now_) ? end_session(created, 404, error_code::unknown_pool)
                           : refuse_as_isolated(created);
    }
    if (const std::optional<error_code> refusal = check_access(request, *matched)) {
        return *refusal == error_code::router_isolated ? refuse_as_isolated(created)
                                                       : end_session(created, 401, *refusal);
    }
    created.accepted_catalogue = catalogue_;
    created.route = matched;
    created.pool = pick_pool(*matched);
    created.account = matched->anonymous ? base::client_account_id() : catalogue_->keys.at(request.key);
    created.prompt = request.prompt;
    created.fingerprint = request.fingerprint;
    if (request.caller_timeout) {
        created.earlier_attempts_time = attempt_estimates_[matched->id].record(*request.caller_timeout);
    }
    created.caller_deadline = request.arrived + request.caller_timeout.value_or(matched->timeout);
    created.deadline = std::min(created.caller_deadline, request.arrived + matched->timeout);
    created.resumes = request.resumes && matched->kind == route_kind::streaming;
    created.stream = request.stream;
    created.needs_engine = catalogue_->engine(created.pool) != nullptr;
    created.cost = created.needs_engine ? model_request_cost(request.prompt) : base::cost(plain_request_cost);
    created.memory_tokens = request.prompt.prompt_tokens + expected_output(request.prompt);
    retry_budget_.count_first_attempt(created.pool, now_);
    limits_.record_request(created.pool, now_);
    const std::optional<drain_plan> plan = stop_plan();
    if ((plan && now_ > plan->accept_until()) || !fits_into_stop(created)) {
        return refuse_for_stop(created);
    }
    if (blocked(created)) {
        return end_session(created, 502, error_code::poison_request);
    }
    if (created.needs_engine && created.earlier_attempts_time == base::duration::zero()) {
        fair_share_.record_request(created.account, created.cost, now_);
    } else if (created.needs_engine) {
        fair_share_.record_return(created.account, created.cost, now_);
    }
    session& accepted = sessions_.emplace(request.id, std::move(created)).first->second;
    deadlines_.emplace(accepted.deadline, accepted.id);
    if (!accepted.resumes || resume(accepted)) {
        place_or_enqueue(accepted);
    }
}

void dispatcher::place_or_enqueue(session& request) {
    if (!try_place(request) && !refuse_if_evacuated(request) && !refuse_if_paused(request)) {
        enqueue(request);
    }
}

/// The caller's connection closes with the answer, and its next one probably leads to another router; without
/// a time it would wait as long as after a refusal for load.
void dispatcher::refuse_as_isolated(session& request) {
    std::uniform_int_distribution<base::duration::rep> spread(0, isolated_return_time.count());
    end_session(request, 503, error_code::router_isolated,
                isolated_return_time + base::duration(spread(random_)));
}

/// While the engines are overloaded, logs how far the service of the accounts is from fair. In a fleet with
/// delegates these alone do, since all routers know the same sums.
void dispatcher::log_worst_served_account() {
    if (!fair_share_.overloaded() || now_ < next_share_line_ ||
        (delegation_.needed() && !delegation_.is_delegate())) {
        return;
    }
    next_share_line_ = now_ + share_line_interval;
    const service_levels levels = fair_share_.levels(now_);
    if (const std::optional<worst_served_account> worst = fair_share_.worst_served(now_)) {
        base::log_event(log_level::info, "dispatcher", "worst_served_account",
                        {{"account", worst->account.value()},
                         {"share", worst->share},
                         {"served_tokens", worst->served.value()},
                         {"requested_tokens", worst->requested.value()},
                         {"best_served", worst->best_served.value()},
                         {"greatest_service_tokens", worst->greatest_service.value()},
                         {"fair_level_tokens", level_field(levels.fair)},
                         {"stated_level_tokens", level_field(levels.stated)},
                         {"service_bound_tokens", level_field(levels.bound)},
                         {"pressure", fair_share_.pressure()},
                         {"engine_occupancy", placement_.engine_occupancy()},
                         {"engine_load", placement_.engine_load()}});
    }
}

const base::pool_id& dispatcher::pick_pool(const route& matched) {
    double total = 0;
    for (const weighted_pool& candidate : matched.pools) {
        total += candidate.weight;
    }
    double remaining = std::uniform_real_distribution<double>(0, total)(random_);
    for (const weighted_pool& candidate : matched.pools) {
        remaining -= candidate.weight;
        if (remaining <= 0 && candidate.weight > 0) {
            return candidate.pool;
        }
    }
    return matched.pools.back().pool;
}

/// Returns one for accounts within their fair share, and less for those ahead of it.
double dispatcher::fairness_factor(const session& request) const {
    const double relative_service = fair_share_.relative_service(request.account);
    if (relative_service <= throttle_start) {
        return 1;
    }
    const double excess =
        std::min(1.0, (relative_service - throttle_start) / (throttle_end - throttle_start));
    return 1 - excess * (1 - min_fairness_factor);
}

/// Share of an engine that the request may fill. Accounts far below their fair share may use what is left
/// free for others, late or not: otherwise those that are just within their share fill every engine up to the
/// same limit, and the remaining accounts are refused whatever they have got.
double dispatcher::capacity_share(const session& request, bool late) const {
    if (request.resumes) {
        return 1;
    }
    const double full_share = delegation_.needed() ? delegated_capacity_share : 1;
    const double fair =
        full_share * std::min(late ? late_capacity_share : 1.0,
                              min_capacity_share + (1 - min_capacity_share) * fairness_factor(request));
    if (!fair_share_.overloaded()) {
        return fair;
    }
    const double relative_service = fair_share_.relative_service(request.account);
    const double deficit =
        std::clamp((throttle_start - relative_service) / (throttle_start - underserved_level), 0.0, 1.0);
    return fair + deficit * (1 - fair);
}

bool dispatcher::admit(const session& request, const placement_choice& choice) const {
    if (!request.needs_engine || request.resumes) {
        return true;
    }
    const base::duration objective = request.route->objective;
    const base::duration elapsed = request.earlier_attempts_time + (now_ - request.arrived);
    const base::duration own_delay = choice.first_event_delay - choice.queueing_delay;
    const base::duration allowance =
        scaled(objective, objective_target_share) - elapsed - own_delay - delivery_time;
    const base::duration late_delay = scaled(objective, late_delay_share);
    return choice.queueing_delay <= std::max(scaled(allowance, fairness_factor(request)), late_delay);
}

bool dispatcher::try_place(session& request) {
    const bool late = request.earlier_attempts_time + (now_ - request.arrived) >= request.route->objective;
    placement_request placement_needs;
    placement_needs.pool = request.pool;
    placement_needs.prompt = &request.prompt;
    placement_needs.memory_tokens = request.memory_tokens;
    placement_needs.excluded = &request.tried_upstreams;
    placement_needs.version = request.origin ? &request.origin->version : nullptr;
    placement_needs.capacity_share = capacity_share(request, late);
    placement_needs.upstream_requests = upstream_requests(*request.route);
    const base::duration elapsed = request.earlier_attempts_time + (now_ - request.arrived);
    placement_needs.latency_target =
        std::max(scaled(request.route->objective - elapsed, latency_target_share), base::duration::zero());
    placement_needs.latest_answer =
        std::max(request.route->objective - elapsed, scaled(request.route->objective, late_answer_share));
    const bool patient = now_ - request.arrived < scaled(request.route->objective, cache_wait_share);
    placement_needs.cache_miss_weight = patient ? full_cache_miss_weight : reduced_cache_miss_weight;
    placement_needs.cache_miss_capacity_share = patient ? waiting_cache_miss_capacity : 1;
    placement_needs.sample_size = !delegation_.needed()  ? 0
                                  : request.needs_engine ? engine_sample_size
                                                         : plain_sample_size;
    const placement_options options = placement_.consider(placement_needs, now_);
    // The shares of the data centres must not keep a request waiting that another data centre has room for.
    for (const std::optional<placement_choice>* const choice : {&options.best, &options.anywhere}) {
        if (*choice && admit(request, **choice)) {
            start_attempt(request, **choice);
            return true;
        }
    }
    request.limit = find_limit(request, options);
    return false;
}

void dispatcher::start_attempt(session& request, const placement_choice& choice) {
    const upstream_entry* const entry = roster_.find(choice.upstream);
    if (entry == nullptr) {
        return;
    }
    request.state = stage::sent;
    request.limit = placement_limit::none;
    ++request.attempt;
    ++request.upstreams_used;
    request.target = choice.upstream;
    request.target_version = entry->version;
    request.tokens_ahead = choice.tokens_ahead;
    request.predicted_delay = choice.first_event_delay;
    request.predicted_pace = choice.pace_factor;
    request.placed = {1, choice.uncached_tokens, request.memory_tokens};
    request.sent_at = now_;
    request.answering = false;
    placement_.record_sent(choice, request.placed, request.prompt);
    warmup_.record_sent(choice.upstream, upstream_requests(*request.route));
    if (request.needs_engine && !request.counted_at) {
        request.counted_at = now_;
        fair_share_.record_service(request.account, request.cost, now_);
    }
    send_request command;
    command.id = request.id;
    command.attempt = request.attempt;
    command.target = *entry;
    const upstream_entry* const copy_source =
        choice.copy_source ? roster_.find(*choice.copy_source) : nullptr;
    if (copy_source != nullptr) {
        command.copy_source = copy_source->address;
    }
    command.account = request.account;
    command.deadline = request.deadline;
    command.streaming = request.route->kind == route_kind::streaming;
    command.resumable = command.streaming && request.route->resumable;
    command.continues_stream = request.origin.has_value();
    command.repeatable = request.route->repeatable();
    command.hold_failures =
        request.route->kind == route_kind::safe && request.upstreams_used < request.route->max_attempts;
    command.max_connections = placement_.connection_limit(request.pool, fleet_size());
    output_.relay.emplace_back(std::move(command));
    base::log_event(log_level::debug, "dispatcher", "sent",
                    {{"request", request.caller_request_id},
                     {"attempt", request.attempt},
                     {"upstream", choice.upstream.value()},
                     {"first_event_ms", to_ms(choice.first_event_delay)},
                     {"wait_ms", to_ms(choice.queueing_delay)},
                     {"uncached", choice.uncached_tokens.value()},
                     {"donor", choice.copy_source ? choice.copy_source->value() : std::string()}});
}

void dispatcher::enqueue(session& request) {
    request.state = stage::queued;
    queues_[request.pool].push_back(request.id);
    queue_changed_ = true;
}

/// The objective of a resumed stream was met or missed with its first event; from then on only its deadline
/// counts.
base::duration dispatcher::max_queue_time(const session& request) const {
    return request.resumes ? scaled(request.deadline - request.arrived, max_resumption_queue_share)
                           : scaled(request.route->objective, max_queue_share);
}

/// Requests with a lower rank are placed first.
double dispatcher::queue_rank(const session& request) const {
    return request.resumes ? std::numeric_limits<double>::lowest()
                           : fair_share_.relative_service(request.account);
}

void dispatcher::serve_queues() {
    queue_changed_ = false;
    for (auto& [pool, queue] : queues_) {
        std::vector<std::pair<double, session_id>> order;
        for (const session_id id : queue) {
            const auto found = sessions_.find(id);
            if (found != sessions_.end() && found->second.state == stage::queued) {
                order.emplace_back(queue_rank(found->second), id);
            }
        }
        std::stable_sort(order.begin(), order.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        queue.clear();
        int failures = 0;
        for (const auto& [relative_service, id] : order) {
            session& request = sessions_.at(id);
            if (!fits_into_stop(request)) {
                refuse_for_stop(request);
                continue;
            }
            if (origin_left(request)) {
                refuse_as_left(request);
                continue;
            }
            if (failures < max_failures_per_pass && try_place(request)) {
                continue;
            }
            if (refuse_if_evacuated(request) || refuse_if_paused(request)) {
                continue;
            }
            ++failures;
            if (now_ - request.arrived >= max_queue_time(request)) {
                refuse(request,
                       placement_.ready_count(pool) == 0 ? error_code::no_upstream : error_code::queue_full);
                continue;
            }
            queue.push_back(id);
        }
    }
}

void dispatcher::refuse(session& request, error_code cause) {
    const std::optional<pool_pause> pause = placement_.pause_of(request.pool, now_);
    const base::duration delay = retry_delay(request);
    end_session(request, 503, cause, pause ? std::max(delay, pause->remaining) : delay);
}

base::duration dispatcher::retry_delay(const session& request) {
    const double random_share = std::uniform_real_distribution<double>(0, retry_delay_spread)(random_);
    return scaled(request.deadline - request.arrived, retry_delay_share * (1 + random_share));
}

/// Without these requests, an account whose callers meet routers that are behind would seem to want less than
/// it does, and others would count as served fairly beside it.
void dispatcher::on(const requests_refused& refused) {
    for (const auto& [account, cost] : refused.requested) {
        fair_share_.record_request(account, cost, now_);
    }
}

void dispatcher::on(const caller_left& departure) {
    const auto found = sessions_.find(departure.id);
    if (found != sessions_.end()) {
        ++counters_["caller_left"];
        const session& request = found->second;
        base::log_event(log_level::info, "dispatcher", "caller_left",
                        {{"request", request.caller_request_id},
                         {"account", request.account.value()},
                         {"tokens", request.cost.value()},
                         {"attempts", request.attempt},
                         {"answered", request.answered},
                         {"counted", request.counted_at.has_value()},
                         {"waited_ms", to_ms(now_ - request.arrived)},
                         {"limit", to_string(request.limit)}});
        remove_session(departure.id);
    }
}

void dispatcher::on(const answer_started& start) {
    const auto found = sessions_.find(start.id);
    if (found == sessions_.end() || found->second.attempt != start.attempt || found->second.answering) {
        return;
    }
    session& request = found->second;
    request.answering = true;
    request.answered = true;
    request.answering_since = now_;
    if (start.load) {
        placement_.record_load(request.target, *start.load, now_);
    }
    if (start.connect_time) {
        placement_.record_round_trip(request.target, *start.connect_time, now_);
    }
    if (request.needs_engine) {
        placement_.record_first_event(request.target, request.pool, request.placed.pending_tokens,
                                      request.tokens_ahead, now_ - request.sent_at, now_);
        request.placed.pending_tokens = {};
        queue_changed_ = true;
    } else {
        placement_.record_answer(request.target, request.pool, request.predicted_delay,
                                 request.predicted_pace, now_ - request.sent_at, now_);
    }
}

/// Last pace that the upstream stated, in percent; -1 if it has stated none.
double dispatcher::stated_pace(const base::upstream_id& upstream) const {
    const auto state = placement_.states().find(upstream);
    return state != placement_.states().end() && state->second.pace.stated()
               ? static_cast<double>(state->second.pace.stated()->value())
               : -1;
}

/// Pace that this router expects of the upstream, in percent; -1 if it does not know the upstream.
double dispatcher::estimated_pace(const base::upstream_id& upstream) const {
    const auto state = placement_.states().find(upstream);
    return state == placement_.states().end() ? -1 : 100 * state->second.pace.duration_factor(now_);
}

void dispatcher::release_placed_work(session& request) {
    if (request.placed.running > 0) {
        placement_.record_finished(request.target, std::exchange(request.placed, {}), request.prompt);
        queue_changed_ = true;
    }
}

void dispatcher::on(const attempt_finished& attempt) {
    const auto found = sessions_.find(attempt.id);
    if (found == sessions_.end() || found->second.attempt != attempt.attempt) {
        return;
    }
    session& request = found->second;
    const bool read_head =
        attempt.outcome == attempt_outcome::refused || attempt.outcome == attempt_outcome::held;
    if (attempt.load && read_head) {
        placement_.record_load(request.target, *attempt.load, now_);
    }
    release_placed_work(request);
    record_broken_process(request, attempt);
    request.tried_upstreams.insert(request.target);
    ++counters_[std::string(dispatch::to_string(attempt.outcome))];
    switch (attempt.outcome) {
    case attempt_outcome::delivered:
        if (attempt.status < 500) {
            placement_.record_success(request.target);
        }
        record_answered(request);
        if (request.stream && !request.resumes) {
            origins_.record_end(*request.stream);
        }
        base::log_event(log_level::info, "dispatcher", "delivered",
                        {{"request", request.caller_request_id},
                         {"status", attempt.status},
                         {"upstream", request.target.value()},
                         {"account", request.account.value()},
                         {"tokens", request.cost.value()},
                         {"attempts", request.attempt},
                         {"queued_ms", to_ms(request.sent_at - request.arrived)},
                         {"first_event_ms",
                          to_ms((request.answering ? request.answering_since : now_) - request.arrived)},
                         {"total_ms", to_ms(now_ - request.arrived)},
                         {"events", attempt.events},
                         {"resumes", request.resumes},
                         {"stream_version", request.origin ? request.origin->version.value() : std::string()},
                         {"longest_pause_ms", to_ms(attempt.longest_pause)},
                         {"stated_pace", stated_pace(request.target)},
                         {"estimated_pace", estimated_pace(request.target)},
                         {"route", request.route->id.value()},
                         {"version", request.accepted_catalogue->version.value()}});
        return remove_session(attempt.id);
    case attempt_outcome::held:
        request.may_have_run = true;
        record_answered(request);
        if (!retry(request, attempt)) {
            output_.relay.emplace_back(release_answer{attempt.id});
            remove_session(attempt.id);
        }
        return;
    case attempt_outcome::refused:
        placement_.avoid(request.target, full_pause, now_);
        break;
    case attempt_outcome::misdirected:
        placement_.avoid(request.target, misdirected_pause, now_);
        break;
    case attempt_outcome::unsent:
        --request.upstreams_used;
        placement_.record_connect_failure(request.target, now_);
        confirm_crash(request.target, now_ - refused_connection_time, now_);
        break;
    case attempt_outcome::lost:
    case attempt_outcome::cut:
        request.may_have_run = true;
        record_broken_connection(request);
        placement_.record_failure(request.target);
        break;
    case attempt_outcome::garbled:
        request.may_have_run = true;
        placement_.record_failure(request.target);
        break;
    }
    base::log_event(log_level::info, "dispatcher", "attempt_failed",
                    {{"request", request.caller_request_id},
                     {"attempt", request.attempt},
                     {"upstream", request.target.value()},
                     {"how", dispatch::to_string(attempt.outcome)},
                     {"status", attempt.status},
                     {"upstream_running", attempt.load ? static_cast<double>(attempt.load->running) : -1},
                     {"upstream_waiting", attempt.load ? static_cast<double>(attempt.load->waiting) : -1},
                     {"stated_pace", stated_pace(request.target)},
                     {"estimated_pace", estimated_pace(request.target)},
                     {"after_ms", to_ms(now_ - request.sent_at)}});
    if (retry(request, attempt)) {
        return;
    }
    withdraw_service(request);
    if (!request.may_have_run && !fits_into_stop(request)) {
        refuse_for_stop(request);
    } else if (!request.may_have_run) {
        refuse(request, error_code::upstream_refused_connection);
    } else {
        end_session(request, 502, error_code::upstream_closed_connection);
    }
}

/// A request that ends before its answer has begun was not served, whatever was placed for it.
void dispatcher::withdraw_service(session& request) {
    if (request.counted_at && !request.answered) {
        fair_share_.withdraw_service(request.account, request.cost,
                                     *std::exchange(request.counted_at, std::nullopt), now_);
    }
}

bool dispatcher::retry(session& request, const attempt_finished& attempt) {
    const bool unsent = attempt.outcome == attempt_outcome::unsent;
    const bool not_run = unsent || attempt.outcome == attempt_outcome::refused ||
                         attempt.outcome == attempt_outcome::misdirected;
    const bool may_go_on = request.route->kind == route_kind::streaming && request.route->resumable &&
                           attempt.position_known &&
                           (!request.origin || !request.origin->version.value().empty());
    const bool may_run_again =
        attempt.outcome == attempt_outcome::cut ? may_go_on : request.route->repeatable();
    if ((!not_run && !may_run_again) || request.upstreams_used >= request.route->max_attempts ||
        now_ + min_retry_time >= request.deadline || !fits_into_stop(request) || blocked(request)) {
        return false;
    }
    if (request.needs_engine && !request.may_have_run) {
        return place_again(request, !unsent);
    }
    placement_request placement_needs;
    placement_needs.pool = request.pool;
    placement_needs.prompt = &request.prompt;
    placement_needs.memory_tokens = request.memory_tokens;
    placement_needs.excluded = &request.tried_upstreams;
    placement_needs.version = request.origin ? &request.origin->version : nullptr;
    placement_needs.upstream_requests = upstream_requests(*request.route);
    placement_needs.latest_answer = request.deadline - now_;
    const placement_options options = placement_.consider(placement_needs, now_);
    if (!options.best) {
        request.limit = find_limit(request, options);
        return false;
    }
    if (!unsent && !retry_budget_.try_take(request.pool, now_)) {
        return false;
    }
    start_attempt(request, *options.best);
    return true;
}

/// Places a request that no upstream has run under the same limits as a new one, or lets it wait; not if its
/// account has got too much since it was admitted. Otherwise accounts ahead of their share would fill the
/// engines with repeats while others crash.
bool dispatcher::place_again(session& request, bool counts_as_retry) {
    withdraw_service(request);
    if (fair_share_.exceeds_service_bound(request.account)) {
        request.limit = placement_limit::service;
        return false;
    }
    if (counts_as_retry && !retry_budget_.try_take(request.pool, now_)) {
        return false;
    }
    if (try_place(request)) {
        return true;
    }
    const bool may_wait =
        request.limit != placement_limit::none && now_ - request.arrived < max_queue_time(request);
    if (may_wait) {
        enqueue(request);
    }
    return may_wait;
}

void dispatcher::end_session(session& request, int status, error_code cause,
                             std::optional<base::duration> retry_after) {
    const std::string counter = "ended/" + std::string(base::to_string(cause));
    ++counters_[counter];
    if (request.limit != placement_limit::none) {
        ++counters_[counter + '/' + std::string(to_string(request.limit))];
    }
    const std::optional<base::duration> sums_age = fair_share_.oldest_report_age(now_);
    base::log_event(log_level::info, "dispatcher", "ended",
                    {{"request", request.caller_request_id},
                     {"status", status},
                     {"cause", base::to_string(cause)},
                     {"attempts", request.attempt},
                     {"waited_ms", to_ms(now_ - request.arrived)},
                     {"limit", to_string(request.limit)},
                     {"resumes", request.resumes},
                     {"stream_version", request.origin ? request.origin->version.value() : std::string()},
                     {"earlier_attempts_ms", to_ms(request.earlier_attempts_time)},
                     {"tokens", request.cost.value()},
                     {"account", request.account.value()},
                     {"position", fair_share_.relative_service(request.account)},
                     {"sums_age_ms", sums_age ? to_ms(*sums_age) : -1},
                     {"retry_after_ms", retry_after ? to_ms(*retry_after) : -1},
                     {"version", catalogue_ ? catalogue_->version.value() : 0}});
    output_.relay.emplace_back(end_request{request.id, status, cause, retry_after});
    remove_session(request.id);
}

void dispatcher::remove_session(session_id id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    release_placed_work(found->second);
    deadlines_.erase({found->second.deadline, id});
    sessions_.erase(found);
}

void dispatcher::on(const catalogue_read& reading) {
    if (reading.requested_at) {
        catalogue_confirmed_at_ =
            std::max(catalogue_confirmed_at_.value_or(*reading.requested_at), *reading.requested_at);
    }
    if (!reading.new_catalogue || (catalogue_ && !(catalogue_->version < reading.new_catalogue->version))) {
        return;
    }
    catalogue_ = reading.new_catalogue;
    placement_.set_catalogue(catalogue_);
    warmup_.set_catalogue(*catalogue_, now_);
    update_stated_throughput();
    members_.put_in_force(catalogue_->version, now_);
    output_.in_force = catalogue_;
    if (pending_view_) {
        confirm_version(pending_view_->version, pending_view_->confirmed_at);
    }
    if (delegation_.is_delegate()) {
        next_aggregated_report_ = now_; // report the new version to the routers of this data centre at once
        send_aggregated_reports();
    }
    base::log_event(log_level::info, "dispatcher", "configuration_in_force",
                    {{"version", catalogue_->version.value()},
                     {"routes", catalogue_->routes.size()},
                     {"keys", catalogue_->keys.size()}});
}

void dispatcher::on(const roster_read& reading) {
    if (reading.requested_at) {
        roster_confirmed_at_ =
            std::max(roster_confirmed_at_.value_or(*reading.requested_at), *reading.requested_at);
    }
    // An outdated answer must not restore upstreams whose removal the delegate has passed on.
    if (reading.store_position < roster_position_) {
        return;
    }
    roster_position_ = reading.store_position;
    std::map<base::upstream_id, std::int64_t> listed_starts;
    for (const upstream_entry& entry : reading.entries) {
        listed_starts.emplace(entry.id, entry.started_ms);
    }
    for (const auto& [id, current] : roster_.entries()) {
        const auto listed = listed_starts.find(id);
        if (listed == listed_starts.end() || listed->second != current.started_ms) {
            confirm_crash(id, base::time_point::min(), now_);
        }
    }
    warmup_.set_list(reading.entries, now_);
    roster_.replace(reading.entries, reading.after_outage, now_);
    apply_roster();
}

void dispatcher::on(const roster_changed& reading) {
    if (reading.requested_at) {
        roster_confirmed_at_ =
            std::max(roster_confirmed_at_.value_or(*reading.requested_at), *reading.requested_at);
    }
    if (reading.changes.empty()) {
        return;
    }
    roster_position_ = std::max(roster_position_, reading.store_position);
    for (const upstream_change& change : reading.changes) {
        const upstream_entry* const current = roster_.find(change.id);
        if (current != nullptr && (!change.entry || change.entry->started_ms != current->started_ms)) {
            confirm_crash(change.id, base::time_point::min(), now_);
        }
    }
    warmup_.apply(reading.changes, now_);
    roster_.apply(reading.changes, now_);
    apply_roster();
}

void dispatcher::apply_roster() {
    for (const auto& [id, state] : placement_.states()) {
        const upstream_entry* const entry = roster_.find(id);
        if (entry == nullptr || entry->phase != upstream_phase::ready ||
            evacuations_.in_force(entry->data_centre)) {
            output_.relay.emplace_back(retire_upstream{id});
        }
    }
    placement_.set_roster(roster_);
    for (auto logged = malformed_loads_.begin(); logged != malformed_loads_.end();) {
        logged = roster_.find(*logged) == nullptr ? malformed_loads_.erase(logged) : std::next(logged);
    }
    limits_.set_roster(roster_);
    update_stated_throughput();
    queue_changed_ = true;
    list_changed_ = true;
}

/// The operator states the throughput of all engines; those that are evacuated do not serve.
void dispatcher::update_stated_throughput() {
    if (catalogue_) {
        fair_share_.set_stated_throughput(catalogue_->tokens_per_s * placement_.usable_engine_share());
    }
}

void dispatcher::on(const peers_read& reading) {
    members_.update_vm_list(reading.peers, now_);
    const bool first = !std::exchange(peers_known_, true);
    next_router_update_ = now_;
    update_warmup();
    if (first) {
        delegation_.update(members_.members(), now_);
        update_follow_orders();
    }
}

void dispatcher::on(const decision::message_received& received) {
    const base::result<void> admitted = members_.receive(received.payload, now_);
    for (const decision::member_change& change : members_.take_changes()) {
        base::log_event(log_level::info, "dispatcher", "member_changed",
                        {{"vm", change.vm.value()}, {"kind", decision::to_string(change.kind)}});
        if (change.kind != decision::member_change_kind::joined) {
            drop_peer(change.vm);
        }
        if (change.kind != decision::member_change_kind::left) {
            inform_newcomer(change.vm);
        }
    }
    if (!admitted) {
        return;
    }
    if (std::holds_alternative<decision::work_report>(received.payload.body)) {
        receive_report(received.payload);
    } else if (const decision::crash_news* const news =
                   std::get_if<decision::crash_news>(&received.payload.body)) {
        receive_crash_news(*news);
    } else if (std::holds_alternative<decision::limit_report>(received.payload.body)) {
        receive_limits(received.payload);
    } else if (std::holds_alternative<decision::warmup_report>(received.payload.body)) {
        receive_warmup(received.payload);
    } else if (std::holds_alternative<decision::upstream_list_update>(received.payload.body)) {
        receive_list_update(received.payload);
    } else if (const decision::begun_streams* const streams =
                   std::get_if<decision::begun_streams>(&received.payload.body)) {
        receive(*streams);
    } else if (const decision::origin_query* const query =
                   std::get_if<decision::origin_query>(&received.payload.body)) {
        answer_origin_query(received.payload.header.sender, *query);
    } else if (const decision::origin_unknown* const unknown =
                   std::get_if<decision::origin_unknown>(&received.payload.body)) {
        receive(*unknown);
    } else if (const decision::evacuation_report* const report =
                   std::get_if<decision::evacuation_report>(&received.payload.body)) {
        receive(received.payload.header.sender, *report);
    }
}

void dispatcher::drop_peer(const base::vm_id& peer) {
    placement_.drop_peer(peer);
    fair_share_.drop_peer(peer);
    limits_.drop_peer(peer);
    feed_.remove_reporter(peer);
    informed_holders_.erase(peer);
}

/// Records that `version` was confirmed to be the newest one at `confirmed_at`; pending until this router has
/// that version.
void dispatcher::confirm_version(base::revision version, base::time_point confirmed_at) {
    if (!catalogue_ || catalogue_->version < version) {
        pending_view_ = pending_view{version, confirmed_at};
        return;
    }
    pending_view_.reset();
    catalogue_confirmed_at_ = std::max(catalogue_confirmed_at_.value_or(confirmed_at), confirmed_at);
    delegate_confirmed_at_ = std::max(delegate_confirmed_at_, confirmed_at);
}

/// Decides whether this router watches the store itself, and orders the followers to read versions that are
/// known to exist.
void dispatcher::update_follow_orders() {
    const bool follows_delegate = delegation_.needed() && !delegation_.is_delegate();
    if (!follows_delegate) {
        delegate_confirmed_at_ = now_; // a delegate that is chosen later has the whole bound to answer
    } else if (now_ - delegate_confirmed_at_ > bounds_.max_delegate_view_age) {
        own_watch_until_ = now_ + own_watch_time;
    }
    follow_order catalogue_order;
    const base::duration running = now_ - started_at_;
    const bool size_known = (peers_known_ && running >= settings_.peers_wait) ||
                            running >= settings_.peers_wait + peer_list_timeout;
    catalogue_order.watch = size_known && (!follows_delegate || now_ < own_watch_until_);
    catalogue_order.short_wait = delegation_.is_delegate();
    catalogue_order.has_delegate = follows_delegate;
    catalogue_order.required_position =
        std::max(catalogue_order_.required_position, members_.newest_revision_holder().in_force.value());
    follow_order roster_order = catalogue_order;
    roster_order.required_position = std::max(roster_order_.required_position, overdue_list_position());
    if (catalogue_order.watch != catalogue_order_.watch) {
        base::log_event(log_level::info, "dispatcher",
                        catalogue_order.watch ? "watching_store" : "following_delegate",
                        {{"delegate", delegation_.delegate().value()},
                         {"age_ms", catalogue_confirmed_at_ ? to_ms(now_ - *catalogue_confirmed_at_) : -1}});
    }
    const bool repeat = now_ >= next_order_repeat_;
    if (repeat) {
        next_order_repeat_ = now_ + order_repeat_interval;
    }
    if (repeat || !(catalogue_order == catalogue_order_)) {
        output_.catalogue_order = catalogue_order_ = catalogue_order;
    }
    if (repeat || !(roster_order == roster_order_)) {
        output_.roster_order = roster_order_ = roster_order;
        update_evacuation_order(roster_order);
    }
}

void dispatcher::send_member_messages() {
    for (decision::outgoing& pending : members_.take_outgoing()) {
        if (const std::optional<decision::endpoint> to = members_.control_address(pending.to)) {
            output_.datagrams.push_back({*to, {make_header(), std::move(pending.body)}});
        }
    }
}

/// Confirmation age to report: that of the configuration, and at a delegate that of the older one of
/// configuration and list of upstreams, since other routers depend on both.
base::duration dispatcher::view_age() const {
    if (!catalogue_confirmed_at_ || (delegation_.is_delegate() && !roster_confirmed_at_)) {
        return decision::never_confirmed;
    }
    const base::time_point oldest = delegation_.is_delegate()
                                        ? std::min(*catalogue_confirmed_at_, *roster_confirmed_at_)
                                        : *catalogue_confirmed_at_;
    return std::max(now_ - oldest, base::duration::zero());
}

decision::message_header dispatcher::make_header() {
    decision::message_header header;
    header.sender = members_.self();
    header.incarnation = members_.incarnation();
    header.sequence = ++sequence_;
    header.in_force = members_.in_force();
    header.confirmation_age = view_age();
    return header;
}

/// Sets this router's share of the retries that the fleet may make regardless of the number of requests.
void dispatcher::update_retry_budget() {
    retry_budget_.set_minimum_rate(bounds_.retry_slack * retry_budget_share /
                                   static_cast<double>(fleet_size()) /
                                   static_cast<double>(decision::retry_budget::window.count()));
}

std::size_t dispatcher::fleet_size() const {
    return members_.knows_peers() ? members_.members().size() : assumed_fleet_size;
}

void dispatcher::on(const decision::report_requested& request) {
    request.reply->try_push(report(now_));
}

decision::state_report dispatcher::report(base::time_point now) {
    decision::state_section requests{"requests", {}};
    requests.values.push_back(make_value("in_progress", static_cast<double>(sessions_.size())));
    for (const auto& [name, count] : counters_) {
        requests.values.push_back(make_value(name, static_cast<double>(count)));
    }
    for (const auto& [pool, queue] : queues_) {
        requests.values.push_back(make_value("queued/" + pool.value(), static_cast<double>(queue.size())));
    }
    decision::state_section view{"view", {}};
    view.values.push_back(
        make_value("version", catalogue_ ? static_cast<double>(catalogue_->version.value()) : 0));
    view.values.push_back(
        make_value("age_ms", catalogue_confirmed_at_ ? to_ms(now - *catalogue_confirmed_at_) : -1));
    view.values.push_back(make_value("members", static_cast<double>(members_.live().size())));
    view.values.push_back(make_value("upstreams", static_cast<double>(roster_.entries().size())));
    view.values.push_back(make_value("known_streams", static_cast<double>(origins_.size())));
    view.values.push_back(make_value("limited_upstreams", static_cast<double>(limits_.count())));
    view.values.push_back(make_value("pressure", fair_share_.pressure()));
    const std::optional<worst_served_account> worst = fair_share_.worst_served(now);
    view.values.push_back(make_value("worst_share", worst ? worst->share : 1));
    decision::state_section upstreams{"upstreams", {}};
    for (const auto& [id, state] : placement_.states()) {
        upstreams.values.push_back(
            {id.value(), "{\"own\":" + std::to_string(state.own.running) +
                             ",\"peers\":" + std::to_string(state.peers.running) +
                             ",\"pending\":" + std::to_string(state.total().pending_tokens.value()) +
                             ",\"slowness\":" + std::to_string(state.slowness) +
                             ",\"stated_pace\":" + std::to_string(stated_pace(id)) +
                             ",\"estimated_pace\":" + std::to_string(estimated_pace(id)) +
                             ",\"failures\":" + std::to_string(state.failure_rate) + '}'});
    }
    decision::state_report sections{requests, view, upstreams, crossing_section()};
    if (warmup_.active()) {
        sections.push_back(warmup_state());
    }
    if (evacuations_enabled()) {
        sections.push_back(evacuation_state(now));
    }
    return sections;
}

} // namespace bluebell::dispatch
