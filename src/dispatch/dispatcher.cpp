#include "dispatch/dispatcher.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// Shortest time between two passes over the queues.
constexpr base::duration pass_interval = std::chrono::milliseconds(5);
/// Longest time between two passes while requests wait.
constexpr base::duration longest_pass = std::chrono::milliseconds(10);
/// Placements that may fail in one pass over a queue before the rest is left for the next pass.
constexpr int failures_per_pass = 12;
/// Part of the objective within which a first event is aimed at.
constexpr double objective_use = 0.9;
/// Part of the objective that a request may wait in the queue before it is refused.
constexpr double hold_share = 0.4;
/// Wait at the engine, as a part of the objective, that a request may cause which is late anyway.
constexpr double late_wait = 0.15;
/// Share of an engine that requests which are late anyway may fill.
constexpr double late_room = 0.5;
/// Share of an engine that requests of accounts may fill which are far ahead of their fair share.
constexpr double least_room = 0.5;
/// Part of the time left until the objective within which a first event is early enough.
constexpr double comfort_share = 0.5;
/// Weight of reading a shared part again: it takes the engine from others, and the platform charges for it.
constexpr double reread_weight = 8;
/// The same after `patient_share` of the objective, when the alternative is to refuse the request.
constexpr double last_reread_weight = 1.5;
constexpr double patient_share = 0.3;
/// Share of an engine that requests may fill which have shared parts read again there, while they are
/// patient.
constexpr double cold_room = 0.6;
/// Prompt tokens placed since the last report that are worth one ahead of time, and the shortest interval.
constexpr token_count urgent_tokens(8000);
constexpr base::duration urgent_interval = std::chrono::milliseconds(25);
/// Accounts ahead of their fair share by this much have their limits lowered, to `least_standing` at most.
constexpr double ahead_begin = 0.95;
constexpr double ahead_end = 1.35;
constexpr double least_standing = 0.1;
/// Time to pass the answer on to the caller.
constexpr base::duration delivery_time = std::chrono::milliseconds(8);
/// A retry is not started with less time than this left.
constexpr base::duration least_time_left = std::chrono::milliseconds(20);
/// Callers' patience at their first attempts differs by up to this part of the usual one.
constexpr double patience_spread = 0.16;
/// Distinct patience values that are counted for a route.
constexpr std::size_t patience_limit = 64;
/// How long a broken connection is kept as a sign of a crash that may be confirmed.
constexpr base::duration suspicion_time = std::chrono::seconds(2);
/// Pause of an upstream that refuses work because it is full.
constexpr base::duration full_pause = std::chrono::milliseconds(30);
/// Pause of an upstream whose address another one has; its entry is corrected meanwhile.
constexpr base::duration misdirected_pause = std::chrono::seconds(1);
/// Routers that a router without a list of its peers assumes to exist.
constexpr std::size_t assumed_fleet = 16;
/// Engines that are considered for a request in a large fleet, at random, beside those that keep most of its
/// prompt. Many routers with the same sums would otherwise all choose the same engine until the next ones.
constexpr std::size_t sampled_engines = 10;
/// The same for plain services, whose requests are shorter than the interval of the sums.
constexpr std::size_t sampled_plain = 2;
/// Share of an engine that a large fleet fills, since sums are older there and more routers act on them.
constexpr double delegated_room = 0.8;
/// How long a router asks the store itself when the view of its delegate is old.
constexpr base::duration own_watch_time = std::chrono::seconds(1);
/// Part of the fleet's retry budget that the routers use together; the rest covers routers that come and go.
constexpr double budget_use = 0.8;
/// Tokens read count once, tokens generated twice, in the service of accounts.
constexpr double output_weight = 2;
/// Service of a request to a plain service, in the same unit.
constexpr double plain_price = 1;
/// Refused callers are told to come back after this part of the time they have, plus a random part of that.
/// Overload lasts for seconds, and a caller that is back at once finds the same queue.
constexpr double come_back_share = 0.2;
constexpr double come_back_spread = 0.25;
constexpr std::size_t distinct_crashes = 3;

double ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

base::duration scaled(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(value * factor);
}

token_count expected_output(const prompt_info& prompt) {
    return prompt.output_tokens_hint ? std::min(*prompt.output_tokens_hint, prompt.max_output_tokens) : prompt.max_output_tokens;
}

decision::state_value number(const std::string& name, double value) {
    return {name, std::to_string(value)};
}

} // namespace

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

dispatcher::dispatcher(const dispatcher_settings& settings, base::time_point now)
    : settings_(settings), bounds_(settings.bounds), now_(now), members_(settings.member, now),
      delegation_(settings.member.self, settings.data_centre, settings.cpu_cores),
      placement_(settings.data_centre, settings.seed), retry_budget_({settings.bounds.retry_ratio * budget_use, 0}),
      crashes_({distinct_crashes, std::chrono::minutes(10), 4096}), next_report_(now), next_queue_pass_(now),
      random_(settings.seed) {
    update_retry_budget();
}

void dispatcher::handle(const event& what, base::time_point now) {
    now_ = now;
    std::visit([this](const auto& each) { on(each); }, what);
}

void dispatcher::tick(base::time_point now) {
    now_ = now;
    if (now >= members_.next_due()) {
        members_.tick(now);
        crashes_.tick(now);
        if (roster_.expire(now)) {
            apply_roster();
        }
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto found = sessions_.find(deadlines_.begin()->second);
        if (found == sessions_.end()) {
            deadlines_.erase(deadlines_.begin());
        } else if (found->second.state == stage::queued) {
            end_session(found->second, 503, error_code::deadline_exceeded);
        } else {
            end_session(found->second, 504, error_code::deadline_exceeded);
        }
    }
    if (now >= next_report_ ||
        (placement_.unreported_tokens() > urgent_tokens && now >= last_report_ + urgent_interval)) {
        last_report_ = now;
        fair_share_.update(now);
        placement_.update(now);
        update_retry_budget();
        const base::vm_id before = delegation_.needed() ? delegation_.delegate() : base::vm_id();
        delegation_.update(members_.members(), now);
        if (!before.value().empty() && before != delegation_.delegate()) {
            base::log_event(log_level::info, "dispatcher", "delegate_changed",
                            {{"from", before.value()}, {"to", delegation_.delegate().value()}});
            // What others reported is told by the new delegate, or to it.
            for (const base::vm_id& peer : members_.live()) {
                placement_.drop_peer(peer);
                fair_share_.drop_peer(peer);
            }
        }
        update_follow_orders();
        send_report();
        next_report_ = now + bounds_.report_interval;
    }
    if (now >= next_queue_pass_) {
        serve_queues();
        next_queue_pass_ = now + pass_interval;
    }
    send_member_messages();
}

base::time_point dispatcher::next_due() const {
    base::time_point due = std::min(members_.next_due(), next_report_);
    if (!deadlines_.empty()) {
        due = std::min(due, deadlines_.begin()->first);
    }
    const bool waiting =
        std::any_of(queues_.begin(), queues_.end(), [](const auto& queue) { return !queue.second.empty(); });
    if (waiting) {
        due = std::min(due, queue_changed_ ? next_queue_pass_ : next_queue_pass_ + longest_pass - pass_interval);
    }
    return due;
}

dispatcher_output dispatcher::take_output() {
    return std::exchange(output_, {});
}

bool dispatcher::fresh(base::time_point now) const {
    return catalogue_confirmed_at_ && now - *catalogue_confirmed_at_ <= bounds_.max_confirmation_age;
}

bool dispatcher::ready(base::time_point now) const {
    if (!catalogue_ || draining()) {
        return false;
    }
    // Without any router that reaches the store, the balancer has no better one to choose.
    const std::optional<base::time_point> peer = members_.peer_confirmed();
    return fresh(now) || !peer || now - *peer > bounds_.max_confirmation_age;
}

bool dispatcher::drained(base::time_point now) const {
    if (!drain_started_) {
        return false;
    }
    const base::duration since = now - *drain_started_;
    return since >= bounds_.max_drain_time || (sessions_.empty() && since >= settings_.min_drain_time);
}

std::optional<error_code> dispatcher::check_access(const request_read& what, const route& via) const {
    if (via.anonymous) {
        return std::nullopt;
    }
    if (!fresh(now_)) {
        return error_code::router_isolated;
    }
    if (catalogue_->keys.count(what.key) == 0) {
        return error_code::unknown_client_account;
    }
    return std::nullopt;
}

void dispatcher::on(const dispatcher_bounds& what) {
    bounds_ = what;
    retry_budget_.set_ratio(bounds_.retry_ratio * budget_use);
    update_retry_budget();
}

void dispatcher::on(const relay_started& /*what*/) {
    while (!sessions_.empty()) {
        remove_session(sessions_.begin()->first);
    }
    output_.relay.clear();
}

void dispatcher::on(const request_read& what) {
    session made;
    made.id = what.id;
    made.caller_request_id = what.caller_request_id;
    made.arrived = what.arrived;
    if (!catalogue_) {
        return end_session(made, 503, error_code::not_ready);
    }
    const route* const via = catalogue_->match(what.host, what.path);
    if (via == nullptr) {
        return fresh(now_) ? end_session(made, 404, error_code::unknown_pool)
                           : end_session(made, 503, error_code::router_isolated);
    }
    if (const std::optional<error_code> refused = check_access(what, *via)) {
        return end_session(made, *refused == error_code::unknown_client_account ? 401 : 503, *refused);
    }
    made.accepted_catalogue = catalogue_;
    made.route = via;
    made.pool = pick_pool(*via);
    made.account = via->anonymous ? base::client_account_id() : catalogue_->keys.at(what.key);
    made.prompt = what.prompt;
    made.fingerprint = what.fingerprint;
    made.earlier_attempts_time = estimate_earlier_attempts(*via, what.caller_timeout);
    made.deadline = what.arrived + std::min(what.caller_timeout.value_or(via->timeout), via->timeout);
    made.needs_engine = catalogue_->engine(made.pool) != nullptr;
    const double output = static_cast<double>(expected_output(what.prompt).value());
    made.cost = base::cost(
        made.needs_engine ? static_cast<double>(what.prompt.prompt_tokens.value()) + output_weight * output : plain_price);
    made.memory_tokens = what.prompt.prompt_tokens + expected_output(what.prompt);
    retry_budget_.first_attempt(made.pool, now_);
    if (drain_started_ && now_ - *drain_started_ > settings_.drain_accept_time) {
        return end_session(made, 503, error_code::draining, std::chrono::milliseconds(100));
    }
    if (crashes_.blocked(made.fingerprint, now_)) {
        return end_session(made, 502, error_code::poison_request);
    }
    if (made.needs_engine && made.earlier_attempts_time == base::duration::zero()) {
        fair_share_.record_request(made.account, made.cost, now_);
    }
    session& kept = sessions_.emplace(what.id, std::move(made)).first->second;
    deadlines_.emplace(kept.deadline, kept.id);
    if (!try_place(kept)) {
        enqueue(kept);
    }
}

/// A caller that tries again has less time left than the usual first attempt on the same route.
base::duration dispatcher::estimate_earlier_attempts(const route& via, const std::optional<base::duration>& patience) {
    if (!patience) {
        return base::duration::zero();
    }
    std::map<std::int64_t, std::uint32_t>& seen = caller_timeout_counts_[via.id];
    const std::int64_t value = patience->count();
    if (seen.size() < patience_limit || seen.count(value) != 0) {
        ++seen[value];
    }
    const auto usual = std::max_element(seen.begin(), seen.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    const base::duration less = base::duration(usual->first) - *patience;
    const bool tried_before =
        usual->second > 1 && less > scaled(base::duration(usual->first), patience_spread);
    return tried_before ? less : base::duration::zero();
}

const base::pool_id& dispatcher::pick_pool(const route& via) {
    double total = 0;
    for (const weighted_pool& each : via.pools) {
        total += each.weight;
    }
    double left = std::uniform_real_distribution<double>(0, total)(random_);
    for (const weighted_pool& each : via.pools) {
        left -= each.weight;
        if (left <= 0 && each.weight > 0) {
            return each.pool;
        }
    }
    return via.pools.back().pool;
}

/// One for accounts within their fair share, less for those ahead of it.
double dispatcher::fairness_factor(const session& what) const {
    const double position = fair_share_.relative_service(what.account);
    if (position <= ahead_begin) {
        return 1;
    }
    const double excess = std::min(1.0, (position - ahead_begin) / (ahead_end - ahead_begin));
    return 1 - excess * (1 - least_standing);
}

bool dispatcher::admit(const session& what, const placement_choice& choice) const {
    if (!what.needs_engine) {
        return true;
    }
    const base::duration objective = what.route->objective;
    const base::duration elapsed = what.earlier_attempts_time + (now_ - what.arrived);
    const base::duration alone = choice.first_event_delay - choice.queueing_delay;
    const base::duration allowance = scaled(objective, objective_use) - elapsed - alone - delivery_time;
    const base::duration least = scaled(objective, late_wait);
    return choice.queueing_delay <= std::max(scaled(allowance, fairness_factor(what)), least);
}

bool dispatcher::try_place(session& what) {
    const bool late = what.earlier_attempts_time + (now_ - what.arrived) >= what.route->objective;
    placement_request wanted;
    wanted.pool = what.pool;
    wanted.prompt = &what.prompt;
    wanted.memory_tokens = what.memory_tokens;
    wanted.excluded = &what.tried_upstreams;
    const double position = fairness_factor(what);
    wanted.capacity_share = std::min(late ? late_room : 1.0, least_room + (1 - least_room) * position);
    const base::duration elapsed = what.earlier_attempts_time + (now_ - what.arrived);
    wanted.latency_target =
        std::max(scaled(what.route->objective - elapsed, comfort_share), base::duration::zero());
    if (delegation_.needed()) {
        wanted.capacity_share *= delegated_room;
    }
    const bool patient = now_ - what.arrived < scaled(what.route->objective, patient_share);
    wanted.cache_miss_weight = patient ? reread_weight : last_reread_weight;
    wanted.cache_miss_capacity_share = patient ? cold_room : 1;
    wanted.sample_size = !delegation_.needed() ? 0 : what.needs_engine ? sampled_engines : sampled_plain;
    const std::optional<placement_choice> choice = placement_.choose(wanted, now_);
    if (!choice || !admit(what, *choice)) {
        return false;
    }
    start_attempt(what, *choice);
    return true;
}

void dispatcher::start_attempt(session& what, const placement_choice& choice) {
    const upstream_entry* const entry = roster_.find(choice.upstream);
    if (entry == nullptr) {
        return;
    }
    what.state = stage::sent;
    ++what.attempt;
    ++what.upstreams_used;
    what.target = choice.upstream;
    what.tokens_ahead = choice.tokens_ahead;
    what.placed = {1, choice.uncached_tokens, what.memory_tokens};
    what.sent_at = now_;
    what.answering = false;
    placement_.record_sent(choice, what.placed, what.prompt);
    if (what.needs_engine && what.attempt == 1) {
        fair_share_.record_service(what.account, what.cost, now_);
    }
    send_request order;
    order.id = what.id;
    order.attempt = what.attempt;
    order.target = *entry;
    const upstream_entry* const donor = choice.copy_source ? roster_.find(*choice.copy_source) : nullptr;
    if (donor != nullptr) {
        order.copy_source = donor->address;
    }
    order.account = what.account;
    order.deadline = what.deadline;
    order.streaming = what.route->kind == route_kind::streaming;
    order.resumable = order.streaming && what.route->resumable;
    order.repeatable = what.route->repeatable();
    order.hold_failures = what.route->kind == route_kind::safe && what.upstreams_used < what.route->max_attempts;
    order.max_connections = placement_.connection_limit(what.pool, fleet_size());
    output_.relay.emplace_back(std::move(order));
    base::log_event(log_level::debug, "dispatcher", "sent",
                    {{"request", what.caller_request_id},
                     {"attempt", what.attempt},
                     {"upstream", choice.upstream.value()},
                     {"first_event_ms", ms(choice.first_event_delay)},
                     {"wait_ms", ms(choice.queueing_delay)},
                     {"uncached", choice.uncached_tokens.value()},
                     {"donor", choice.copy_source ? choice.copy_source->value() : std::string()}});
}

void dispatcher::enqueue(session& what) {
    what.state = stage::queued;
    queues_[what.pool].push_back(what.id);
    queue_changed_ = true;
}

base::duration dispatcher::max_queue_time(const session& what) const {
    return scaled(what.route->objective, hold_share);
}

void dispatcher::serve_queues() {
    queue_changed_ = false;
    for (auto& [pool, queue] : queues_) {
        std::vector<std::pair<double, session_id>> order;
        for (const session_id id : queue) {
            const auto found = sessions_.find(id);
            if (found != sessions_.end() && found->second.state == stage::queued) {
                order.emplace_back(fair_share_.relative_service(found->second.account), id);
            }
        }
        std::stable_sort(order.begin(), order.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        queue.clear();
        int failures = 0;
        for (const auto& [position, id] : order) {
            session& each = sessions_.at(id);
            if (failures < failures_per_pass && try_place(each)) {
                continue;
            }
            ++failures;
            if (now_ - each.arrived >= max_queue_time(each)) {
                refuse(each,
                        placement_.ready_count(pool) == 0 ? error_code::no_upstream : error_code::queue_full);
                continue;
            }
            queue.push_back(id);
        }
    }
}

void dispatcher::refuse(session& what, error_code cause) {
    end_session(what, 503, cause, retry_delay(what));
}

base::duration dispatcher::retry_delay(const session& what) {
    const double part = std::uniform_real_distribution<double>(0, come_back_spread)(random_);
    return scaled(what.deadline - what.arrived, come_back_share * (1 + part));
}

void dispatcher::on(const caller_left& what) {
    const auto found = sessions_.find(what.id);
    if (found != sessions_.end()) {
        ++counters_["caller_left"];
        remove_session(what.id);
    }
}

void dispatcher::on(const answer_started& what) {
    const auto found = sessions_.find(what.id);
    if (found == sessions_.end() || found->second.attempt != what.attempt || found->second.answering) {
        return;
    }
    session& on = found->second;
    on.answering = true;
    on.answering_since = now_;
    if (on.needs_engine) {
        placement_.record_first_event(on.target, on.pool, on.placed.pending_tokens, on.tokens_ahead, now_ - on.sent_at);
        on.placed.pending_tokens = {};
        queue_changed_ = true;
    }
}

void dispatcher::release_placed_work(session& what) {
    if (what.placed.running > 0) {
        placement_.record_finished(what.target, std::exchange(what.placed, {}), what.prompt);
        queue_changed_ = true;
    }
}

void dispatcher::on(const attempt_finished& what) {
    const auto found = sessions_.find(what.id);
    if (found == sessions_.end() || found->second.attempt != what.attempt) {
        return;
    }
    session& over = found->second;
    release_placed_work(over);
    over.tried_upstreams.insert(over.target);
    ++counters_[std::string(to_string(what.outcome))];
    switch (what.outcome) {
    case attempt_outcome::delivered:
        if (what.status < 500) {
            placement_.record_success(over.target);
        }
        crashes_.completed(over.fingerprint, now_);
        base::log_event(log_level::info, "dispatcher", "delivered",
                        {{"request", over.caller_request_id},
                         {"status", what.status},
                         {"upstream", over.target.value()},
                         {"attempts", over.attempt},
                         {"queued_ms", ms(over.sent_at - over.arrived)},
                         {"first_event_ms", ms((over.answering ? over.answering_since : now_) - over.arrived)},
                         {"total_ms", ms(now_ - over.arrived)},
                         {"events", what.events},
                         {"longest_pause_ms", ms(what.longest_pause)},
                         {"route", over.route->id.value()},
                         {"version", over.accepted_catalogue->version.value()}});
        return remove_session(what.id);
    case attempt_outcome::held:
        over.may_have_run = true;
        crashes_.completed(over.fingerprint, now_);
        if (!retry(over, what)) {
            output_.relay.emplace_back(release_answer{what.id});
            remove_session(what.id);
        }
        return;
    case attempt_outcome::refused:
        placement_.avoid(over.target, full_pause, now_);
        break;
    case attempt_outcome::misdirected:
        placement_.avoid(over.target, misdirected_pause, now_);
        break;
    case attempt_outcome::unsent:
        --over.upstreams_used;
        placement_.record_connect_failure(over.target, now_);
        confirm_crash(over.target);
        break;
    case attempt_outcome::lost:
    case attempt_outcome::cut:
        over.may_have_run = true;
        suspects_.push_back({over.target, over.fingerprint, now_});
        placement_.record_failure(over.target);
        break;
    case attempt_outcome::garbled:
        over.may_have_run = true;
        placement_.record_failure(over.target);
        break;
    }
    base::log_event(log_level::info, "dispatcher", "attempt_failed",
                    {{"request", over.caller_request_id},
                     {"attempt", over.attempt},
                     {"upstream", over.target.value()},
                     {"how", to_string(what.outcome)},
                     {"status", what.status},
                     {"upstream_running", what.load ? static_cast<double>(what.load->running) : -1},
                     {"upstream_waiting", what.load ? static_cast<double>(what.load->waiting) : -1},
                     {"after_ms", ms(now_ - over.sent_at)}});
    if (retry(over, what)) {
        return;
    }
    if (!over.may_have_run) {
        refuse(over, error_code::upstream_refused_connection);
    } else {
        end_session(over, 502, error_code::upstream_closed_connection);
    }
}

bool dispatcher::retry(session& what, const attempt_finished& how) {
    const bool unsent = how.outcome == attempt_outcome::unsent;
    const bool not_run =
        unsent || how.outcome == attempt_outcome::refused || how.outcome == attempt_outcome::misdirected;
    const bool may_run_again = how.outcome == attempt_outcome::cut
                                   ? what.route->kind == route_kind::streaming && what.route->resumable
                                   : what.route->repeatable();
    if ((!not_run && !may_run_again) || what.upstreams_used >= what.route->max_attempts ||
        now_ + least_time_left >= what.deadline || crashes_.blocked(what.fingerprint, now_)) {
        return false;
    }
    placement_request wanted;
    wanted.pool = what.pool;
    wanted.prompt = &what.prompt;
    wanted.memory_tokens = what.memory_tokens;
    wanted.excluded = &what.tried_upstreams;
    const std::optional<placement_choice> choice = placement_.choose(wanted, now_);
    if (!choice || (!unsent && !retry_budget_.take(what.pool, now_))) {
        return false;
    }
    start_attempt(what, *choice);
    return true;
}

void dispatcher::end_session(session& what, int status, error_code cause, std::optional<base::duration> retry_after) {
    ++counters_["ended/" + std::string(base::to_string(cause))];
    base::log_event(log_level::info, "dispatcher", "ended",
                    {{"request", what.caller_request_id},
                     {"status", status},
                     {"cause", base::to_string(cause)},
                     {"attempts", what.attempt},
                     {"waited_ms", ms(now_ - what.arrived)},
                     {"account", what.account.value()},
                     {"position", fair_share_.relative_service(what.account)},
                     {"version", catalogue_ ? catalogue_->version.value() : 0}});
    output_.relay.emplace_back(end_request{what.id, status, cause, retry_after});
    remove_session(what.id);
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

void dispatcher::on(const catalogue_read& what) {
    if (what.requested_at) {
        catalogue_confirmed_at_ = std::max(catalogue_confirmed_at_.value_or(*what.requested_at), *what.requested_at);
    }
    if (!what.new_catalogue || (catalogue_ && !(catalogue_->version < what.new_catalogue->version))) {
        return;
    }
    catalogue_ = what.new_catalogue;
    placement_.set_catalogue(catalogue_);
    members_.put_in_force(catalogue_->version, now_);
    output_.in_force = catalogue_;
    if (pending_view_) {
        confirm_version(pending_view_->version, pending_view_->confirmed_at);
    }
    if (delegation_.is_delegate()) {
        next_aggregated_report_ = now_; // the routers that depend on this one hear of it at once
        send_aggregated_reports();
    }
    base::log_event(log_level::info, "dispatcher", "configuration_in_force",
                    {{"version", catalogue_->version.value()},
                     {"routes", catalogue_->routes.size()},
                     {"keys", catalogue_->keys.size()}});
}

void dispatcher::on(const roster_read& what) {
    roster_position_ = std::max(roster_position_, what.store_position);
    if (what.requested_at) {
        roster_confirmed_at_ = std::max(roster_confirmed_at_.value_or(*what.requested_at), *what.requested_at);
    }
    std::map<base::upstream_id, std::int64_t> started;
    for (const upstream_entry& entry : what.entries) {
        started.emplace(entry.id, entry.started_ms);
    }
    for (const auto& [id, known] : roster_.entries()) {
        const auto listed = started.find(id);
        if (listed == started.end() || listed->second != known.started_ms) {
            confirm_crash(id);
        }
    }
    roster_.replace(what.entries, what.after_outage, now_);
    apply_roster();
}

void dispatcher::on(const roster_changed& what) {
    if (what.requested_at) {
        roster_confirmed_at_ = std::max(roster_confirmed_at_.value_or(*what.requested_at), *what.requested_at);
    }
    if (what.changes.empty()) {
        return;
    }
    roster_position_ = std::max(roster_position_, what.store_position);
    for (const upstream_change& change : what.changes) {
        const upstream_entry* const known = roster_.find(change.id);
        if (known != nullptr && (!change.entry || change.entry->started_ms != known->started_ms)) {
            confirm_crash(change.id);
        }
    }
    roster_.apply(what.changes, now_);
    apply_roster();
    if (delegation_.is_delegate()) {
        next_aggregated_report_ = now_;
        send_aggregated_reports();
    }
}

void dispatcher::apply_roster() {
    for (const auto& [id, state] : placement_.states()) {
        const upstream_entry* const entry = roster_.find(id);
        if (entry == nullptr || entry->phase != upstream_phase::ready) {
            output_.relay.emplace_back(retire_upstream{id});
        }
    }
    placement_.set_roster(roster_);
    queue_changed_ = true;
}

void dispatcher::on(const peers_read& what) {
    members_.list(what.peers, now_);
}

void dispatcher::on(const decision::message_received& what) {
    const base::result<void> admitted = members_.receive(what.payload, now_);
    for (const decision::member_change& change : members_.take_changes()) {
        base::log_event(log_level::info, "dispatcher", "member_changed",
                        {{"vm", change.vm.value()}, {"kind", decision::to_string(change.kind)}});
        if (change.kind != decision::member_change_kind::joined) {
            placement_.drop_peer(change.vm);
            fair_share_.drop_peer(change.vm);
        }
        if (change.kind != decision::member_change_kind::left) {
            inform_newcomer(change.vm);
        }
    }
    if (!admitted) {
        return;
    }
    const base::vm_id& from = what.payload.header.sender;
    if (std::holds_alternative<decision::work_report>(what.payload.body)) {
        receive_report(what.payload);
    } else if (const decision::crash_report* const crash =
                   std::get_if<decision::crash_report>(&what.payload.body)) {
        if (crashes_.report(*crash, now_)) {
            spread_crash_report(*crash);
        }
    }
}

/// The requests that were running at the upstream when its connections broke may have crashed it.
void dispatcher::confirm_crash(const base::upstream_id& upstream) {
    while (!suspects_.empty() && now_ - suspects_.front().failed_at > suspicion_time) {
        suspects_.pop_front();
    }
    for (const suspect& each : suspects_) {
        const decision::crash_report found{each.fingerprint, each.upstream};
        if (each.upstream == upstream && crashes_.report(found, now_)) {
            spread_crash_report(found);
        }
    }
}

void dispatcher::spread_crash_report(const decision::crash_report& what) {
    for (const base::vm_id& peer : members_.random_peers(3)) {
        if (const std::optional<decision::endpoint> to = members_.control_address(peer)) {
            output_.datagrams.push_back({*to, {make_header(), what}});
        }
    }
}

/// A router confirmed at `at` that `version` was the newest one.
void dispatcher::confirm_version(base::revision version, base::time_point at) {
    if (!catalogue_ || catalogue_->version < version) {
        pending_view_ = pending_view{version, at};
        return;
    }
    pending_view_.reset();
    catalogue_confirmed_at_ = std::max(catalogue_confirmed_at_.value_or(at), at);
    delegate_confirmed_at_ = std::max(delegate_confirmed_at_, at);
}

/// Decides whether this router watches the store itself, and tells the followers what is known to exist.
void dispatcher::update_follow_orders() {
    const bool depends = delegation_.needed() && !delegation_.is_delegate();
    if (!depends) {
        delegate_confirmed_at_ = now_; // a delegate that is chosen later has this long to answer
    } else if (now_ - delegate_confirmed_at_ > bounds_.max_delegate_view_age) {
        own_watch_until_ = now_ + own_watch_time;
    }
    follow_order catalogue_order;
    catalogue_order.watch = !depends || now_ < own_watch_until_;
    catalogue_order.short_wait = delegation_.is_delegate();
    catalogue_order.required_position = std::max(catalogue_order_.required_position, members_.newest().in_force.value());
    follow_order roster_order = catalogue_order;
    roster_order.required_position = roster_order_.required_position;
    if (catalogue_order.watch != catalogue_order_.watch) {
        base::log_event(log_level::info, "dispatcher",
                        catalogue_order.watch ? "watching_store" : "following_delegate",
                        {{"delegate", delegation_.delegate().value()},
                         {"age_ms", catalogue_confirmed_at_ ? ms(now_ - *catalogue_confirmed_at_) : -1}});
    }
    if (!(catalogue_order == catalogue_order_)) {
        output_.catalogue_order = catalogue_order_ = catalogue_order;
    }
    if (!(roster_order == roster_order_)) {
        output_.roster_order = roster_order_ = roster_order;
    }
}

void dispatcher::send_member_messages() {
    for (decision::outgoing& each : members_.take_outgoing()) {
        if (const std::optional<decision::endpoint> to = members_.control_address(each.to)) {
            output_.datagrams.push_back({*to, {make_header(), std::move(each.body)}});
        }
    }
}

/// Age of the older one of the two views of the store that others depend on.
base::duration dispatcher::view_age() const {
    if (!catalogue_confirmed_at_ || (delegation_.is_delegate() && !roster_confirmed_at_)) {
        return decision::never_confirmed;
    }
    const base::time_point oldest =
        delegation_.is_delegate() ? std::min(*catalogue_confirmed_at_, *roster_confirmed_at_) : *catalogue_confirmed_at_;
    return std::max(now_ - oldest, base::duration::zero());
}

decision::message_header dispatcher::make_header() {
    decision::message_header made;
    made.sender = members_.self();
    made.incarnation = members_.incarnation();
    made.sequence = ++sequence_;
    made.in_force = members_.in_force();
    made.confirmation_age = view_age();
    return made;
}

/// This router's part of the retries that the fleet may always make.
void dispatcher::update_retry_budget() {
    retry_budget_.set_minimum(bounds_.retry_slack * budget_use / static_cast<double>(fleet_size()) /
                        static_cast<double>(decision::retry_budget::window.count()));
}

std::size_t dispatcher::fleet_size() const {
    return members_.knows_peers() ? members_.members().size() : assumed_fleet;
}

void dispatcher::on(const decision::drain_requested& /*what*/) {
    if (!drain_started_) {
        drain_started_ = now_;
        members_.announce_leaving(now_);
        base::log_event(log_level::info, "dispatcher", "draining", {{"sessions", sessions_.size()}});
    }
}

void dispatcher::on(const decision::report_requested& what) {
    what.reply->try_push(report(now_));
}

decision::state_report dispatcher::report(base::time_point now) {
    decision::state_section requests{"requests", {}};
    requests.values.push_back(number("in_progress", static_cast<double>(sessions_.size())));
    for (const auto& [name, count] : counters_) {
        requests.values.push_back(number(name, static_cast<double>(count)));
    }
    for (const auto& [pool, queue] : queues_) {
        requests.values.push_back(number("queued/" + pool.value(), static_cast<double>(queue.size())));
    }
    decision::state_section view{"view", {}};
    view.values.push_back(
        number("version", catalogue_ ? static_cast<double>(catalogue_->version.value()) : 0));
    view.values.push_back(number("age_ms", catalogue_confirmed_at_ ? ms(now - *catalogue_confirmed_at_) : -1));
    view.values.push_back(number("members", static_cast<double>(members_.live().size())));
    view.values.push_back(number("upstreams", static_cast<double>(roster_.entries().size())));
    view.values.push_back(number("pressure", fair_share_.pressure()));
    decision::state_section upstreams{"upstreams", {}};
    for (const auto& [id, state] : placement_.states()) {
        upstreams.values.push_back(
            {id.value(), "{\"own\":" + std::to_string(state.own.running) +
                             ",\"peers\":" + std::to_string(state.peers.running) +
                             ",\"pending\":" + std::to_string(state.total().pending_tokens.value()) +
                             ",\"slowness\":" + std::to_string(state.slowness) +
                             ",\"failures\":" + std::to_string(state.failure_rate) + '}'});
    }
    return {requests, view, upstreams};
}

} // namespace bluebell::dispatch
