#include "relay/relay.h"

#include "base/guard.h"
#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::relay {
namespace {

using dispatch::attempt_outcome;

/// A plain answer up to this size is passed on once it is whole, so that a broken one can be replaced.
constexpr std::size_t keep_limit = std::size_t{256} << 10U;
/// Least time after which a caller is told to come back that an overloaded router refuses; a random part of
/// it is added.
constexpr base::duration elsewhere_delay = std::chrono::milliseconds(20);
/// Interval at which closed connections are destroyed.
constexpr base::duration reap_interval = std::chrono::milliseconds(20);
constexpr int success_class = 2;
constexpr int server_error = 500;

} // namespace

relay::relay(relay_settings settings, const dialect& speech, base::ring<dispatch::relay_command>& commands,
             base::ring<dispatch::event>& events, const base::snapshot<dispatch::router_state>& state,
             const base::clock& time, base::metrics& metrics)
    : settings_(std::move(settings)), speech_(speech), commands_(commands), events_(events), state_(state),
      clock_(time), metrics_(metrics), loop_{poller_, timers_, clock_} {}

relay::~relay() = default;

void relay::run(base::stop_signal& stop) {
    commands_.reopen();
    commands_.on_push([this] { poller_.wake(); });
    const base::scope_guard detach([this] {
        commands_.on_push({});
        commands_.close();
        exchanges_.clear();
        by_caller_.clear();
        links_.clear();
        server_.reset();
        backlog_.clear();
        body_bytes_ = 0;
    });
    push(dispatch::relay_started{});
    server_ = std::make_unique<server>(settings_.callers, settings_.max_callers, loop_,
                                       static_cast<request_handler&>(*this));
    while (!stop.requested()) {
        poller_.wait(wait_time());
        note_saturation();
        timers_.run_expired(clock_.now());
        take_commands();
        flush_events();
        remove_closed(clock_.now());
    }
}

void relay::note_saturation() {
    const base::time_point now = clock_.now();
    saturation_.update(poller_.more_ready(), now);
    const bool overloaded = saturation_.overloaded(now);
    if (overloaded != overloaded_.exchange(overloaded)) {
        base::log_event(base::log_level::warning, name(), overloaded ? "overloaded" : "overload_over",
                        {{"requests", exchanges_.size()}});
    }
    if (poller_.more_ready()) {
        // Callers that wait for a connection must not wait until everything else is done.
        server_->accept_pending();
    }
}

base::duration relay::wait_time() const {
    const std::optional<base::time_point> next = timers_.next_deadline();
    return next ? *next - clock_.now() : base::duration::max();
}

dispatch::caller_limits relay::limits() const {
    const std::shared_ptr<const dispatch::router_state> now = state_.current();
    return now && now->catalogue ? now->catalogue->limits : dispatch::caller_limits{};
}

bool relay::closes_after_request() const {
    const std::shared_ptr<const dispatch::router_state> now = state_.current();
    return overloaded_ || (now && now->draining) || (server_ && server_->nearly_full());
}

relay::exchange* relay::find(dispatch::session_id id) {
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

relay::exchange* relay::of(const caller& from) {
    const auto found = by_caller_.find(&from);
    return found == by_caller_.end() ? nullptr : find(found->second);
}

relay::exchange* relay::of(const link& from) {
    exchange* const found = find(from.request());
    return found != nullptr && found->via == &from ? found : nullptr;
}

// Callers.

void relay::on_request(caller& from, http::request_head head, std::string body) {
    base::result<request_info> facts = speech_.read_request(head);
    if (!facts) {
        return refuse(from, "", 400, facts.error().code);
    }
    if (saturation_.refuses(!needs_engine(facts->host, head.target))) {
        // Another router has more time; the caller finds one with its next attempt.
        std::uniform_int_distribution<base::duration::rep> jitter(0, elsewhere_delay.count());
        return refuse(from, facts->caller_request_id, 503, base::error_code::queue_full,
                      elsewhere_delay + base::duration(jitter(random_)));
    }
    if (body_bytes_ + body.size() > settings_.body_bytes) {
        return refuse(from, facts->caller_request_id, 503, base::error_code::queue_full);
    }
    std::unique_ptr<exchange> made = std::make_unique<exchange>();
    made->id = dispatch::session_id(++last_id_);
    made->from = &from;
    made->read = clock_.now();
    dispatch::request_read told;
    told.id = made->id;
    told.caller_request_id = facts->caller_request_id;
    told.host = facts->host;
    told.path = head.target;
    told.key = facts->key;
    told.caller_timeout = facts->caller_timeout;
    told.prompt = facts->prompt;
    told.fingerprint = base::fingerprint(
        base::stable_hash(body, base::stable_hash(head.target, base::stable_hash(facts->key))));
    told.arrived = made->read;
    body_bytes_ += body.size();
    made->head = std::move(head);
    made->body = std::move(body);
    made->facts = std::move(*facts);
    by_caller_[&from] = made->id;
    exchanges_.emplace(made->id, std::move(made));
    push(std::move(told));
}

bool relay::needs_engine(const std::string& host, const std::string& target) const {
    const std::shared_ptr<const dispatch::router_state> now = state_.current();
    if (!now || !now->catalogue) {
        return false;
    }
    const dispatch::route* const via = now->catalogue->match(host, target);
    return via != nullptr && via->kind == dispatch::route_kind::streaming;
}

void relay::on_caller_left(caller& from) {
    if (exchange* const left = of(from)) {
        push(dispatch::caller_left{left->id});
        metrics_.add({"bluebell_requests_total", {{"outcome", "caller_left"}}});
        finish(*left);
    }
}

void relay::on_caller_writable(caller& from) {
    exchange* const waiting = of(from);
    if (waiting != nullptr && waiting->via != nullptr) {
        waiting->via->pause_reading(false);
    }
}

void relay::refuse(caller& from, const std::string& trace, int status, base::error_code cause,
                   std::optional<base::duration> retry_after) {
    std::vector<http::field> fields = speech_.refusal_fields(trace, retry_after);
    metrics_.add({"bluebell_requests_total", {{"outcome", std::string(base::to_string(cause))}}});
    from.answer(status, fields, base::to_string(cause));
}

// Orders of the dispatcher.

void relay::take_commands() {
    while (std::optional<dispatch::relay_command> next = commands_.pop(base::duration::zero())) {
        std::visit([this](const auto& order) { carry_out(order); }, *next);
    }
    const std::shared_ptr<const dispatch::router_state> now = state_.current();
    if (now && now->draining && !std::exchange(was_draining_, true)) {
        server_->close_idle();
    }
}

link* relay::connection_for(const dispatch::send_request& order) {
    std::vector<std::unique_ptr<link>>& known = links_[order.target.id];
    const base::time_point now = clock_.now();
    std::size_t open = 0;
    link* oldest_idle = nullptr;
    for (auto each = known.rbegin(); each != known.rend(); ++each) {
        if ((*each)->closed()) {
            continue;
        }
        ++open;
        if ((*each)->address() != order.target.address) {
            continue;
        }
        if ((*each)->usable(!order.repeatable, now)) {
            return each->get();
        }
        if ((*each)->idle()) {
            oldest_idle = each->get();
        }
    }
    if (open >= order.max_connections) {
        if (oldest_idle == nullptr) {
            return nullptr;
        }
        oldest_idle->close();
    }
    known.push_back(std::make_unique<link>(order.target, settings_.upstreams, loop_));
    metrics_.add({"bluebell_upstream_connections_total", {}});
    return known.back()->closed() ? nullptr : known.back().get();
}

std::string relay::request_text(const exchange& of) const {
    attempt_info attempt;
    attempt.upstream = of.order.target.id;
    attempt.copy_source = of.order.copy_source;
    attempt.account = of.order.account;
    attempt.time_left = of.order.deadline - clock_.now();
    if (of.answer_begun || !of.events.last_id().empty()) {
        attempt.resume_after = of.events.last_id();
    }
    std::string text = of.head.method + ' ' + of.head.target + " HTTP/1.1\r\n";
    for (const http::field& each : speech_.request_fields(of.head, attempt)) {
        text.append(each.name).append(": ").append(each.value).append("\r\n");
    }
    if (!of.body.empty() || (of.head.method != "GET" && of.head.method != "HEAD")) {
        text.append("Content-Length: ").append(std::to_string(of.body.size())).append("\r\n");
    }
    text.append("\r\n").append(of.body);
    return text;
}

void relay::carry_out(const dispatch::send_request& order) {
    exchange* const sent = find(order.id);
    if (sent == nullptr) {
        return;
    }
    sent->order = order;
    sent->kept.clear();
    sent->keeping = false;
    sent->answer_head = {};
    sent->answer_head.status = 0; // none yet
    sent->attempt_began = false;
    sent->longest_pause = {};
    sent->events.drop_partial();
    link* const via = connection_for(order);
    if (via == nullptr) {
        return over(*sent, attempt_outcome::unsent);
    }
    sent->via = via;
    via->start(order.id, request_text(*sent), sent->head.method != "HEAD", *this);
}

void relay::carry_out(const dispatch::release_answer& order) {
    if (exchange* const held = find(order.id)) {
        deliver_kept(*held);
    }
}

void relay::carry_out(const dispatch::end_request& order) {
    exchange* const ended = find(order.id);
    if (ended == nullptr) {
        return;
    }
    metrics_.add({"bluebell_requests_total", {{"outcome", std::string(base::to_string(order.cause))}}});
    caller* const from = ended->from;
    if (ended->answer_begun) {
        finish(*ended);
        from->abort();
        return;
    }
    const std::vector<http::field> fields =
        speech_.refusal_fields(ended->facts.caller_request_id, order.retry_after);
    finish(*ended);
    from->answer(order.status, fields, base::to_string(order.cause));
}

void relay::carry_out(const dispatch::retire_upstream& order) {
    const auto found = links_.find(order.id);
    if (found == links_.end()) {
        return;
    }
    for (const std::unique_ptr<link>& each : found->second) {
        if (each->idle()) {
            each->close();
        }
    }
}

// Upstreams.

bool relay::on_answer_head(link& from, const http::response_head& head) {
    exchange* const answered = of(from);
    if (answered == nullptr) {
        return false;
    }
    answer_info facts = speech_.read_answer(head);
    const bool success = head.status / 100 == success_class;
    if (facts.request_id ? *facts.request_id != answered->facts.caller_request_id : success) {
        return false;
    }
    if (facts.idle_timeout) {
        from.set_idle_timeout(*facts.idle_timeout);
    }
    answered->answer = std::move(facts);
    answered->answer_head = head;
    answered->kept.clear();
    const bool resumed = answered->answer_begun;
    const bool refused = answered->answer.not_run || answered->answer.misdirected;
    // A stream is passed on at once, everything else once it is whole.
    answered->keeping = refused || !answered->order.streaming || !success || !answered->answer.from_upstream;
    if (!answered->keeping && !resumed) {
        begin_stream(*answered);
    }
    return true;
}

void relay::begin_stream(exchange& of) {
    of.answer_begun = true;
    of.from->begin_answer(of.answer_head.status, speech_.answer_fields(of.answer_head), std::nullopt);
    of.from->append_body({});
}

void relay::tell_began(exchange& of) {
    if (!std::exchange(of.began_told, true)) {
        metrics_.observe({"bluebell_first_event_seconds", {}}, clock_.now() - of.read);
    }
    push(dispatch::answer_started{of.id, of.order.attempt});
}

void relay::on_answer_body(link& from, std::string_view bytes) {
    exchange* const answered = of(from);
    if (answered == nullptr) {
        return;
    }
    if (!answered->keeping) {
        return pass_on(*answered, bytes);
    }
    answered->kept.append(bytes);
    const bool passable = answered->answer.from_upstream && !answered->answer.not_run &&
                          !answered->answer.misdirected && !answered->answer.unconfirmed_not_run &&
                          !answered->answer_begun;
    if (answered->kept.size() > keep_limit && passable) {
        answered->keeping = false;
        answered->answer_begun = true;
        answered->from->begin_answer(answered->answer_head.status,
                                     speech_.answer_fields(answered->answer_head),
                                     answered->answer_head.length);
        const std::string kept = std::exchange(answered->kept, {});
        pass_on(*answered, kept);
    }
}

void relay::pass_on(exchange& of, std::string_view bytes) {
    const base::time_point now = clock_.now();
    if (!std::exchange(of.attempt_began, true)) {
        tell_began(of);
    } else {
        of.longest_pause = std::max(of.longest_pause, now - of.last_part);
    }
    of.last_part = now;
    link* const via = of.via;
    caller* const to = of.from;
    const dispatch::session_id id = of.id;
    if (of.order.resumable) {
        const std::string whole = of.events.feed(bytes);
        to->append_body(whole);
    } else {
        to->append_body(bytes);
    }
    // The caller may have left while it was written to.
    if (find(id) != nullptr && via != nullptr && to->unsent_bytes() > caller::high_water_mark) {
        via->pause_reading(true);
    }
}

void relay::on_answer_end(link& from) {
    exchange* const answered = of(from);
    if (answered == nullptr) {
        return;
    }
    const http::response_head& head = answered->answer_head;
    const answer_info& facts = answered->answer;
    const bool success = head.status / 100 == success_class;
    answered->via = nullptr;
    if (facts.misdirected) {
        return over(*answered, attempt_outcome::misdirected);
    }
    if (facts.not_run) {
        return over(*answered, attempt_outcome::refused);
    }
    if (!answered->keeping) {
        if (answered->order.resumable && answered->events.has_partial_event()) {
            return over(*answered, attempt_outcome::cut);
        }
        // The caller goes last, since its next request may arrive with its end.
        caller* const to = answered->from;
        over(*answered, attempt_outcome::delivered);
        finish(*answered);
        return to->end_answer();
    }
    if ((success && !facts.from_upstream) || facts.unconfirmed_not_run || answered->answer_begun) {
        return over(*answered, answered->answer_begun ? attempt_outcome::cut : attempt_outcome::garbled);
    }
    if (head.status >= server_error && answered->order.hold_failures) {
        return over(*answered, attempt_outcome::held);
    }
    tell_began(*answered);
    over(*answered, attempt_outcome::delivered);
    deliver_kept(*answered);
}

/// Ends the exchange with the answer that was kept.
void relay::deliver_kept(exchange& of) {
    caller* const to = of.from;
    const int status = of.answer_head.status;
    const std::vector<http::field> fields = speech_.answer_fields(of.answer_head);
    const std::string body = std::move(of.kept);
    finish(of);
    to->answer(status, fields, body);
}

void relay::on_failure(link& from, link_failure how) {
    exchange* const failed = of(from);
    if (failed == nullptr) {
        return;
    }
    failed->via = nullptr;
    if (how == link_failure::connect_failed) {
        over(*failed, attempt_outcome::unsent);
    } else if (failed->answer_begun) {
        over(*failed, attempt_outcome::cut);
    } else {
        over(*failed,
             how == link_failure::malformed_answer ? attempt_outcome::garbled : attempt_outcome::lost);
    }
}

void relay::over(exchange& of, attempt_outcome how) {
    dispatch::attempt_finished told;
    told.id = of.id;
    told.attempt = of.order.attempt;
    told.outcome = how;
    told.status = of.answer_head.status;
    told.load = of.answer.load;
    told.events = of.events.event_count();
    told.longest_pause = of.longest_pause;
    if (how == attempt_outcome::delivered) {
        metrics_.add({"bluebell_requests_total", {{"outcome", "delivered"}}});
        metrics_.observe({"bluebell_request_seconds", {}}, clock_.now() - of.read);
    }
    push(told);
}

/// Removes the exchange; an attempt in progress is cancelled with its connection.
void relay::finish(exchange& of) {
    if (of.via != nullptr) {
        of.via->close();
    }
    body_bytes_ -= of.body.size();
    by_caller_.erase(of.from);
    exchanges_.erase(of.id);
}

void relay::push(dispatch::event what) {
    backlog_.push_back(std::move(what));
    flush_events();
}

void relay::flush_events() {
    while (!backlog_.empty() && events_.try_push(std::move(backlog_.front())) == base::push_result::pushed) {
        backlog_.pop_front();
    }
}

void relay::remove_closed(base::time_point now) {
    if (now < next_reap_ || poller_.removals() == reaped_removals_) {
        return;
    }
    next_reap_ = now + reap_interval;
    reaped_removals_ = poller_.removals();
    server_->remove_closed();
    for (auto pool = links_.begin(); pool != links_.end();) {
        std::vector<std::unique_ptr<link>>& known = pool->second;
        known.erase(std::remove_if(known.begin(), known.end(),
                                   [](const std::unique_ptr<link>& each) { return each->closed(); }),
                    known.end());
        pool = known.empty() ? links_.erase(pool) : std::next(pool);
    }
}

} // namespace bluebell::relay
