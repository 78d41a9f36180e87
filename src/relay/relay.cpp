#include "relay/relay.h"

#include "base/guard.h"
#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bluebell::relay {
namespace {

using dispatch::attempt_outcome;

/// Answers that are not streams are buffered up to this size, so that a broken one can be replaced by that of
/// another attempt.
constexpr std::size_t max_buffered_answer = std::size_t{256} << 10U;
/// Longest event of a stream.
constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;
/// Retry delay stated to callers whose requests are refused because the relay stops; another router can take
/// them at once.
constexpr base::duration stop_retry_delay = std::chrono::milliseconds(100);
/// Minimum time between two passes that destroy closed connections.
constexpr base::duration removal_interval = std::chrono::milliseconds(20);
/// Interval of the reports on refused requests; each costs a wake-up of the dispatcher.
constexpr base::duration refusal_report_interval = std::chrono::milliseconds(100);
/// Interval at which a repeated statement of an upstream is reported again.
constexpr base::duration statement_report_interval = std::chrono::milliseconds(250);
/// Interval at which the gauges of the held bytes are set; each takes a lock.
constexpr base::duration memory_report_interval = std::chrono::seconds(1);
/// While the account is nearly full, answers are buffered up to this size only.
constexpr std::size_t min_buffered_answer = std::size_t{16} << 10U;
/// Part of the bytes of unfinished requests, and of the space for bodies, that is kept for small requests, as
/// a divisor. So is a part beyond the bound of the whole account.
constexpr std::size_t reserve_divisor = 8;
/// Time without an accepted byte after which the caller of a large answer is cut if the account is full. A
/// caller that reads at all accepts bytes more often; without pressure it gets `stalled_write_timeout`.
constexpr base::duration pressed_blocked_time = std::chrono::seconds(1);
constexpr std::string_view event_stream_type = "text/event-stream";
constexpr int status_ok = 200;
constexpr int success_status_class = 2;
constexpr int first_server_error_status = 500;

} // namespace

relay::relay(relay_settings settings, const dialect& message_dialect,
             base::ring<dispatch::relay_command>& commands, base::ring<dispatch::event>& events,
             const base::snapshot<dispatch::router_state>& state, const base::clock& clock,
             base::metrics& metrics)
    : settings_(std::move(settings)), dialect_(message_dialect), commands_(commands), events_(events),
      state_(state), clock_(clock), metrics_(metrics), memory_(settings_.memory),
      shedding_(settings_.memory.unfinished / reserve_divisor), loop_{poller_, timers_, clock_, memory_,
                                                                      pacing_},
      admission_(settings_.seed) {}

relay::~relay() = default;

void relay::run(base::stop_signal& stop) {
    commands_.reopen();
    commands_.on_push([this] { poller_.wake(); });
    const base::scope_guard detach([this] {
        commands_.on_push({});
        commands_.close();
        exchanges_.clear();
        session_by_caller_.clear();
        links_.clear();
        server_.reset();
        pending_events_.clear();
        statements_.clear();
        body_bytes_ = 0;
    });
    server_ = std::make_unique<server>(settings_.listen_address, settings_.max_callers, loop_,
                                       static_cast<request_handler&>(*this));
    stopping_ = false;
    push_event(dispatch::relay_started{});
    while (!stop.requested()) {
        poller_.wait(wait_time());
        update_saturation();
        pacing_.run(clock_.now());
        timers_.run_expired(clock_.now());
        execute_commands();
        report_refused(clock_.now());
        report_memory(clock_.now());
        flush_events();
        remove_closed(clock_.now());
    }
    answer_open_requests();
    deliver_answers();
}

/// Without a planned stop, the callers get no time: the relay is needed again at once.
void relay::deliver_answers() {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    const base::time_point limit =
        router && router->deliver_until ? *router->deliver_until : base::time_point::min();
    while (server_->has_unsent() && clock_.now() < limit) {
        poller_.wait(std::min(wait_time(), limit - clock_.now()));
        pacing_.run(clock_.now());
        timers_.run_expired(clock_.now());
    }
}

/// The dispatcher may have decided on some of the requests already. It cannot decide on those that it has not
/// heard of yet, and on none if it has failed.
void relay::answer_open_requests() {
    stopping_ = true;
    while (std::optional<dispatch::relay_command> queued = commands_.pop(base::duration::zero())) {
        if (!std::holds_alternative<dispatch::send_request>(*queued)) {
            std::visit([this](const auto& command) { execute(command); }, *queued);
        }
    }
    std::vector<dispatch::session_id> open;
    open.reserve(exchanges_.size());
    for (const auto& [id, session] : exchanges_) {
        open.push_back(id);
    }
    for (const dispatch::session_id id : open) {
        const exchange* const session = find(id);
        if (session == nullptr) {
            continue;
        }
        dispatch::end_request command;
        command.id = id;
        command.cause = stop_cause();
        if (reached_upstream(*session)) {
            command.status = 504;
        } else {
            command.status = 503;
            command.retry_after = stop_retry_delay;
        }
        execute(command);
    }
}

bool relay::reached_upstream(const exchange& session) {
    const bool unsent =
        session.checking_process || (session.upstream_link != nullptr && session.upstream_link->connecting());
    return session.command.attempt > (unsent ? 1U : 0U);
}

base::error_code relay::stop_cause() const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    return router && router->draining ? base::error_code::draining : base::error_code::internal_failure;
}

void relay::update_saturation() {
    const base::time_point now = clock_.now();
    admission_.update(poller_.more_ready(), exchanges_.size(), now);
    const bool overloaded = admission_.loop_saturation().overloaded(now);
    if (overloaded != overloaded_.exchange(overloaded)) {
        base::log_event(base::log_level::warning, name(), overloaded ? "overloaded" : "overload_over",
                        {{"requests", exchanges_.size()}});
    }
    if (poller_.more_ready()) {
        // While the loop lags, pending connections must not wait until all other events are handled.
        server_->accept_pending();
    }
}

base::duration relay::wait_time() const {
    const base::time_point now = clock_.now();
    const std::optional<base::time_point> deadline = timers_.next_deadline();
    return std::min(deadline ? *deadline - now : base::duration::max(),
                    pacing_.wait_time(now).value_or(base::duration::max()));
}

void relay::report_memory(base::time_point now) {
    if (now < next_memory_report_) {
        return;
    }
    next_memory_report_ = now + memory_report_interval;
    for (std::size_t kind = 0; kind < held_class_count; ++kind) {
        const held_class held_kind = static_cast<held_class>(kind);
        metrics_.set({"bluebell_held_bytes", {{"class", std::string(to_string(held_kind))}}},
                     static_cast<double>(memory_.held(held_kind)));
    }
    metrics_.set({"bluebell_held_bytes_limit", {}}, static_cast<double>(settings_.memory.total));
}

void relay::make_room(caller& /*connection*/, std::size_t bytes) {
    const memory_limits& limits = settings_.memory;
    const std::size_t unfinished = memory_.unfinished() + bytes;
    const std::size_t total = memory_.total() + bytes;
    if (unfinished <= limits.unfinished && total <= limits.total) {
        next_shedding_bytes_ = 0;
        return;
    }
    if (total < next_shedding_bytes_) {
        return;
    }
    // More than needed now is given back, since each pass looks at all connections.
    const auto excess = [](std::size_t held, std::size_t limit) {
        const std::size_t target = limit - limit / reserve_divisor;
        return held > limit ? held - target : 0;
    };
    const std::size_t needed = std::max(excess(unfinished, limits.unfinished), excess(total, limits.total));
    const std::size_t refused = server_->shed_unfinished(shedding_, needed);
    std::size_t cut = 0;
    if (memory_.total() + bytes > limits.total) {
        cut = server_->cut_blocked(pressed_blocked_time, excess(memory_.total() + bytes, limits.total));
    }
    metrics_.add({"bluebell_callers_cut_total", {{"reason", "memory_full"}}}, cut);
    base::log_event(base::log_level::warning, name(), "memory_full",
                    {{"held", total}, {"unfinished", unfinished}, {"refused", refused}, {"cut", cut}});
    if (refused + cut == 0) {
        next_shedding_bytes_ = total + limits.unfinished / reserve_divisor / reserve_divisor;
    }
}

void relay::on_unfinished_refused(caller& /*connection*/, base::error_code cause) {
    metrics_.add({"bluebell_unfinished_refused_total", {{"cause", std::string(base::to_string(cause))}}});
    base::log_event(base::log_level::info, name(), "unfinished_refused", {{"cause", base::to_string(cause)}});
}

bool relay::lacks_room(std::size_t body_bytes) const {
    const bool small = body_bytes <= shedding::small_bytes;
    const std::size_t total = settings_.memory.total;
    const std::size_t body_reserve = small ? 0 : settings_.max_body_bytes / reserve_divisor;
    const std::size_t total_extension = small ? total / reserve_divisor : 0;
    return body_bytes_ + body_bytes > settings_.max_body_bytes - body_reserve ||
           memory_.total() + body_bytes > total + total_extension;
}

dispatch::caller_limits relay::limits() const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    return router && router->catalogue ? router->catalogue->limits : dispatch::caller_limits{};
}

bool relay::closes_after_request() const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    return stopping_ || (router && (router->draining || !router->ready)) ||
           (server_ && server_->nearly_full());
}

relay::exchange* relay::find(dispatch::session_id id) {
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

relay::exchange* relay::exchange_of(const caller& connection) {
    const auto found = session_by_caller_.find(&connection);
    return found == session_by_caller_.end() ? nullptr : find(found->second);
}

relay::exchange* relay::exchange_of(const link& connection) {
    exchange* const found = find(connection.request());
    return found != nullptr && found->upstream_link == &connection ? found : nullptr;
}

// Requests and events of callers.

void relay::on_request(caller& connection, http::request_head head, std::string body) {
    base::result<request_info> info = dialect_.read_request(head);
    if (!info) {
        return refuse(connection, request_info{}, 400, info.error().code);
    }
    if (stopping_) {
        return refuse(connection, *info, 503, stop_cause(), stop_retry_delay);
    }
    // The caller of a resumed stream has a part of it, which a refusal would waste.
    const bool costly = info->resume_after.empty() && needs_engine(info->host, head.target);
    if (const std::optional<refusal> refused =
            admission_.refuse(!costly, costly ? admitted_share(*info) : 1, exchanges_.size())) {
        if (costly) {
            count_refused(*info);
        }
        return refuse(connection, *info, 503, refused->cause, refused->retry_after);
    }
    if (lacks_room(body.size())) {
        return refuse(connection, *info, 503, base::error_code::queue_full);
    }
    std::unique_ptr<exchange> created = std::make_unique<exchange>(memory_);
    created->id = dispatch::session_id(++last_session_id_);
    created->caller_connection = &connection;
    created->received_at = clock_.now();
    created->splitter.start_after(info->resume_after);
    dispatch::request_read event;
    event.id = created->id;
    event.caller_request_id = info->caller_request_id;
    event.host = info->host;
    event.path = head.target;
    event.key = info->api_key;
    event.caller_timeout = info->caller_timeout;
    event.prompt = info->prompt;
    event.resumes = !info->resume_after.empty();
    const std::string& first_request = event.resumes ? info->resumed_request : info->caller_request_id;
    if (!first_request.empty()) {
        event.stream = base::stream_key(base::stable_hash(first_request));
    }
    event.fingerprint = base::fingerprint(
        base::stable_hash(body, base::stable_hash(head.target, base::stable_hash(info->api_key))));
    event.arrived = created->received_at;
    body_bytes_ += body.size();
    std::size_t head_bytes = head.target.size();
    for (const http::field& entry : head.fields) {
        head_bytes += sizeof entry + entry.name.size() + entry.value.size();
    }
    created->request_charge.set(head_bytes + body.size());
    created->head = std::move(head);
    created->body = std::move(body);
    created->request = std::move(*info);
    session_by_caller_[&connection] = created->id;
    exchanges_.emplace(created->id, std::move(created));
    push_event(std::move(event));
}

double relay::admitted_share(const request_info& request) const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    return router && router->admission ? router->admission->share(account_of(request.api_key)) : 1;
}

void relay::count_refused(const request_info& request) {
    const base::client_account_id account = account_of(request.api_key);
    if (!account.value().empty()) {
        refused_.requested[account] += dispatch::model_request_cost(request.prompt);
    }
}

void relay::report_refused(base::time_point now) {
    if (!refused_.requested.empty() && now >= next_refusal_report_) {
        next_refusal_report_ = now + refusal_report_interval;
        push_event(std::exchange(refused_, {}));
    }
}

bool relay::needs_engine(const std::string& host, const std::string& target) const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    if (!router || !router->catalogue) {
        return false;
    }
    const dispatch::route* const matched = router->catalogue->match(host, target);
    return matched != nullptr && matched->kind == dispatch::route_kind::streaming;
}

void relay::on_caller_left(caller& connection) {
    if (exchange* const session = exchange_of(connection)) {
        push_event(dispatch::caller_left{session->id});
        metrics_.add({"bluebell_requests_total", {{"outcome", "caller_left"}}});
        remove_exchange(*session);
    }
}

void relay::on_caller_writable(caller& connection) {
    exchange* const session = exchange_of(connection);
    if (session != nullptr && session->upstream_link != nullptr) {
        session->upstream_link->pause_reading(false);
    }
}

base::client_account_id relay::account_of(const std::string& key) const {
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    if (!router || !router->catalogue) {
        return {};
    }
    const auto found = router->catalogue->keys.find(key);
    return found == router->catalogue->keys.end() ? base::client_account_id() : found->second;
}

void relay::refuse(caller& connection, const request_info& request, int status, base::error_code cause,
                   std::optional<base::duration> retry_after) {
    std::vector<http::field> fields = dialect_.refusal_fields(request.caller_request_id, retry_after);
    metrics_.add({"bluebell_requests_total", {{"outcome", std::string(base::to_string(cause))}}});
    const base::duration lag = admission_.loop_saturation().lag();
    base::log_event(base::log_level::info, name(), "refused",
                    {{"request", request.caller_request_id},
                     {"status", status},
                     {"cause", base::to_string(cause)},
                     {"account", account_of(request.api_key).value()},
                     {"retry_after_ms",
                      retry_after ? std::chrono::duration<double, std::milli>(*retry_after).count() : -1},
                     {"admitted_share", admitted_share(request)},
                     {"lag_ms", std::chrono::duration<double, std::milli>(lag).count()},
                     {"body_bytes", body_bytes_}});
    connection.answer(status, fields, base::to_string(cause));
}

// Commands of the dispatcher.

void relay::execute_commands() {
    while (std::optional<dispatch::relay_command> queued = commands_.pop(base::duration::zero())) {
        std::visit([this](const auto& command) { execute(command); }, *queued);
    }
    const std::shared_ptr<const dispatch::router_state> router = state_.current();
    if (router && router->draining && !std::exchange(was_draining_, true)) {
        server_->close_idle();
    }
}

link* relay::connection_for(const exchange& session) {
    const dispatch::send_request& command = session.command;
    // On a connection of its own, an answer without an id can only belong to this request.
    const bool may_reuse = !session.request.caller_request_id.empty();
    std::vector<std::unique_ptr<link>>& links = links_[command.target.id];
    const base::time_point now = clock_.now();
    std::size_t open = 0;
    link* oldest_idle = nullptr;
    for (auto candidate = links.rbegin(); candidate != links.rend(); ++candidate) {
        if ((*candidate)->closed()) {
            continue;
        }
        ++open;
        const std::optional<std::int64_t> process = (*candidate)->process();
        if ((*candidate)->address() != command.target.address ||
            (process && *process != command.target.started_ms)) {
            continue;
        }
        if (may_reuse && (*candidate)->usable(!command.repeatable, now)) {
            return candidate->get();
        }
        if ((*candidate)->idle()) {
            oldest_idle = candidate->get();
        }
    }
    if (open >= command.max_connections) {
        if (oldest_idle == nullptr) {
            return nullptr;
        }
        oldest_idle->close();
    }
    links.push_back(std::make_unique<link>(command.target, settings_.upstream_limits, loop_));
    metrics_.add({"bluebell_upstream_connections_total", {}});
    return links.back().get();
}

std::string relay::request_text(const exchange& session) const {
    attempt_info attempt;
    attempt.upstream = session.command.target.id;
    attempt.copy_source = session.command.copy_source;
    attempt.account = session.command.account;
    attempt.time_left = session.command.deadline - clock_.now();
    attempt.resume_after = session.splitter.last_id();
    std::string text = session.head.method + ' ' + session.head.target + " HTTP/1.1\r\n";
    for (const http::field& entry : dialect_.request_fields(session.head, attempt)) {
        text.append(entry.name).append(": ").append(entry.value).append("\r\n");
    }
    if (!session.body.empty() || (session.head.method != "GET" && session.head.method != "HEAD")) {
        text.append("Content-Length: ").append(std::to_string(session.body.size())).append("\r\n");
    }
    text.append("\r\n").append(session.body);
    return text;
}

void relay::execute(const dispatch::send_request& command) {
    exchange* const session = find(command.id);
    if (session == nullptr) {
        return;
    }
    session->command = command;
    std::string().swap(session->buffered);
    session->buffering = false;
    session->answer_head = {};
    session->answer_head.status = 0; // no answer yet
    session->attempt_body_started = false;
    session->earlier_events = session->splitter.event_count();
    session->longest_pause = {};
    session->connect_time.reset();
    session->splitter.drop_partial();
    charge_answer(*session);
    session->upstream_charge.set(0);
    if (command.resumable) {
        session->splitter.require_order();
    }
    link* const upstream_link = connection_for(*session);
    if (upstream_link == nullptr) {
        return report_attempt_finished(*session, attempt_outcome::unsent, false);
    }
    if (upstream_link->closed()) {
        return report_attempt_finished(*session, attempt_outcome::unsent);
    }
    session->upstream_link = upstream_link;
    session->process_known = true;
    session->checking_process = needs_process_check(*session, *upstream_link);
    if (session->checking_process) {
        upstream_link->start(command.id, dialect_.state_request(command.target.address), true, *this);
    } else {
        send_request_text(*session, *upstream_link);
    }
}

/// An upstream may have started again with other software, under its id and before the list shows it. Only
/// streams that may be continued depend on which process writes them.
bool relay::needs_process_check(const exchange& session, const link& connection) {
    const std::int64_t listed = session.command.target.started_ms;
    return (session.command.resumable || session.command.continues_stream) && listed != 0 &&
           connection.process() != listed;
}

void relay::finish_process_check(exchange& session, link& connection) {
    session.checking_process = false;
    const std::string state = std::exchange(session.buffered, {});
    const http::response_head head = std::exchange(session.answer_head, {});
    const int status = head.status;
    const std::optional<base::duration> warmup_left = dialect_.read_answer(head).statement.warmup_left;
    session.answer_head.status = 0; // no answer to the request yet
    const std::optional<std::int64_t> started_ms =
        status == status_ok ? dialect_.read_start_time(state) : std::nullopt;
    if (started_ms && *started_ms != session.command.target.started_ms) {
        base::log_event(base::log_level::info, name(), "process_not_listed",
                        {{"request", session.request.caller_request_id},
                         {"upstream", session.command.target.id.value()},
                         {"listed_ms", session.command.target.started_ms},
                         {"started_ms", *started_ms}});
        return report_unsent(session);
    }
    if (connection.closed() || (!started_ms && session.command.continues_stream)) {
        return report_unsent(session);
    }
    session.process_known = started_ms.has_value();
    if (started_ms) {
        connection.set_process(*started_ms);
        if (warmup_left) {
            dispatch::upstream_statement statement;
            statement.warmup_left = warmup_left;
            push_event(dispatch::upstream_stated{session.command.target.id, *started_ms, statement});
        }
    }
    send_request_text(session, connection);
}

void relay::send_request_text(exchange& session, link& connection) {
    std::string text = request_text(session);
    session.upstream_charge.set(text.size());
    session.sent_bytes += text.size();
    connection.start(session.id, std::move(text), session.head.method != "HEAD", *this);
}

void relay::on_request_sent(link& connection) {
    if (exchange* const session = exchange_of(connection)) {
        session->upstream_charge.set(0);
    }
}

void relay::report_unsent(exchange& session) {
    session.checking_process = false;
    session.buffered.clear();
    std::exchange(session.upstream_link, nullptr)->close();
    report_attempt_finished(session, attempt_outcome::unsent);
}

void relay::execute(const dispatch::release_answer& command) {
    if (exchange* const session = find(command.id)) {
        deliver_buffered(*session);
    }
}

void relay::execute(const dispatch::end_request& command) {
    exchange* const session = find(command.id);
    if (session == nullptr) {
        return;
    }
    metrics_.add({"bluebell_requests_total", {{"outcome", std::string(base::to_string(command.cause))}}});
    caller* const connection = session->caller_connection;
    if (session->head_sent) {
        remove_exchange(*session);
        connection->abort();
        return;
    }
    const std::vector<http::field> fields =
        dialect_.refusal_fields(session->request.caller_request_id, command.retry_after);
    remove_exchange(*session);
    connection->answer(command.status, fields, base::to_string(command.cause));
}

void relay::execute(const dispatch::retire_upstream& command) {
    const auto found = links_.find(command.id);
    if (found == links_.end()) {
        return;
    }
    for (const std::unique_ptr<link>& connection : found->second) {
        if (connection->idle()) {
            connection->close();
        }
    }
}

// Answers of upstreams.

bool relay::on_answer_head(link& connection, const http::response_head& head) {
    exchange* const session = exchange_of(connection);
    if (session == nullptr) {
        return false;
    }
    answer_info info = dialect_.read_answer(head);
    if (session->checking_process) {
        session->answer_head = head;
        return !info.request_id; // otherwise a late answer to an earlier request
    }
    const bool success = head.status / 100 == success_status_class;
    if (!answers_request(connection, *session, info, success)) {
        return false;
    }
    if (!info.misdirected && (info.from_upstream || info.not_run)) {
        report_statement(session->command.target, info.statement);
    }
    if (info.idle_timeout) {
        connection.set_idle_timeout(*info.idle_timeout);
    }
    session->connect_time = connection.take_connect_time();
    session->answer = std::move(info);
    session->answer_head = head;
    session->buffered.clear();
    const bool resumed = session->head_sent;
    const bool refused = session->answer.not_run || session->answer.misdirected;
    // The body of a stream is forwarded as it arrives; other answers are buffered until they are complete.
    // So is an answer that cannot be joined to the stream that the caller already has.
    session->buffering = refused || !session->command.streaming || !success ||
                         !session->answer.from_upstream || (resumed && !carries_events(*session));
    if (!session->buffering && !resumed) {
        begin_stream(*session);
    }
    return true;
}

/// Without an id, an answer on a connection that was used before may be a repeated one to an earlier request.
bool relay::answers_request(const link& connection, const exchange& session, const answer_info& info,
                            bool success) {
    return info.request_id ? *info.request_id == session.request.caller_request_id
                           : !success && connection.first_request();
}

void relay::report_statement(const dispatch::upstream_entry& upstream,
                             const dispatch::upstream_statement& statement) {
    const base::time_point now = clock_.now();
    const auto last = statements_.find(upstream.id);
    if (last == statements_.end() && statement.empty()) {
        return;
    }
    if (last != statements_.end() && last->second.started_ms == upstream.started_ms &&
        last->second.statement == statement && !statement.pause &&
        now < last->second.reported_at + statement_report_interval) {
        return;
    }
    if (statement.empty()) {
        statements_.erase(last);
    } else {
        statements_[upstream.id] = {upstream.started_ms, statement, now};
    }
    push_event(dispatch::upstream_stated{upstream.id, upstream.started_ms, statement});
}

void relay::begin_stream(exchange& session) {
    session.head_sent = true;
    session.caller_connection->begin_answer(session.answer_head.status,
                                            dialect_.answer_fields(session.answer_head), std::nullopt);
    session.caller_connection->append_body({});
}

void relay::report_answer_started(exchange& session) {
    if (!std::exchange(session.first_event_observed, true)) {
        metrics_.observe({"bluebell_first_event_seconds", {}}, clock_.now() - session.received_at);
    }
    push_event(dispatch::answer_started{session.id, session.command.attempt, session.answer.load,
                                        std::exchange(session.connect_time, std::nullopt)});
}

void relay::on_answer_body(link& connection, std::string_view bytes) {
    exchange* const session = exchange_of(connection);
    if (session == nullptr) {
        return;
    }
    session->received_bytes += bytes.size();
    if (!session->buffering && !session->checking_process) {
        return forward_body(*session, bytes);
    }
    session->buffered.append(bytes);
    charge_answer(*session);
    const memory_limits& limits = settings_.memory;
    const bool nearly_full = memory_.total() > limits.total - limits.total / reserve_divisor;
    const bool passable = session->answer.from_upstream && !session->answer.not_run &&
                          !session->answer.misdirected && !session->answer.unconfirmed_not_run &&
                          !session->head_sent && !session->checking_process;
    // What cannot be passed on is read in full, since it may state that the request has not run.
    if (session->buffered.size() <= (nearly_full && passable ? min_buffered_answer : max_buffered_answer)) {
        return;
    }
    if (session->checking_process) {
        return report_unsent(*session);
    }
    if (!passable) {
        return abandon_attempt(*session);
    }
    session->buffering = false;
    session->head_sent = true;
    session->caller_connection->begin_answer(session->answer_head.status,
                                             dialect_.answer_fields(session->answer_head),
                                             session->answer_head.length);
    const std::string buffered = std::exchange(session->buffered, {});
    charge_answer(*session);
    forward_body(*session, buffered);
}

void relay::charge_answer(exchange& session) {
    session.answer_charge.set(session.buffered.size() + session.splitter.partial_bytes());
}

void relay::abandon_attempt(exchange& session) {
    std::exchange(session.upstream_link, nullptr)->close();
    session.buffered.clear();
    report_attempt_finished(session, session.head_sent ? attempt_outcome::cut : attempt_outcome::garbled);
}

void relay::forward_body(exchange& session, std::string_view bytes) {
    const base::time_point now = clock_.now();
    if (!std::exchange(session.attempt_body_started, true)) {
        report_answer_started(session);
    } else {
        session.longest_pause = std::max(session.longest_pause, now - session.last_part_at);
    }
    session.last_part_at = now;
    link* const upstream_link = session.upstream_link;
    caller* const recipient = session.caller_connection;
    const dispatch::session_id id = session.id;
    const bool split = session.command.resumable || carries_events(session);
    const std::string whole = split ? session.splitter.feed(bytes) : std::string();
    if (session.command.resumable && session.splitter.event_count() > 0 &&
        !std::exchange(session.stream_begun, true)) {
        push_event(dispatch::stream_began{session.id, session.command.attempt, session.process_known});
    }
    recipient->append_body(session.command.resumable ? std::string_view(whole) : bytes);
    // Writing to the caller can fail, which removes the exchange.
    if (find(id) == nullptr || upstream_link == nullptr) {
        return;
    }
    if (session.splitter.out_of_order()) {
        base::log_event(base::log_level::warning, name(), "event_out_of_order",
                        {{"request", session.request.caller_request_id},
                         {"attempt", session.command.attempt},
                         {"upstream", session.command.target.id.value()},
                         {"last_id", session.splitter.last_id()}});
        return abandon_attempt(session);
    }
    if (session.splitter.partial_bytes() > max_event_bytes) {
        return abandon_attempt(session);
    }
    charge_answer(session);
    // An upstream cuts off an answer that is not read for some seconds, so reading goes on while there is
    // room.
    const std::size_t unsent = recipient->unsent_bytes();
    if (unsent > caller::high_water_mark &&
        (unsent > settings_.memory.unsent_each ||
         memory_.held(held_class::unsent_answers) > settings_.memory.unsent_total ||
         memory_.total() > settings_.memory.total)) {
        upstream_link->pause_reading(true);
        recipient->notify_when_writable();
    }
}

void relay::on_answer_end(link& connection) {
    exchange* const session = exchange_of(connection);
    if (session == nullptr) {
        return;
    }
    if (session->checking_process) {
        return finish_process_check(*session, connection);
    }
    const http::response_head& head = session->answer_head;
    const answer_info& info = session->answer;
    const bool success = head.status / 100 == success_status_class;
    session->upstream_link = nullptr;
    if (info.misdirected) {
        return report_attempt_finished(*session, attempt_outcome::misdirected);
    }
    if (info.not_run) {
        return report_attempt_finished(*session, attempt_outcome::refused);
    }
    if (!session->buffering) {
        // An answer without a length ends with its connection, so that only its last event shows whether it
        // is complete. One without any event shows nothing.
        const bool lacks_events = connection.ended_by_close() && carries_events(*session) &&
                                  session->splitter.event_count() == session->earlier_events;
        if (session->splitter.has_partial_event() || lacks_events) {
            return report_attempt_finished(*session, attempt_outcome::cut);
        }
        // Ends the answer last, since the next request of the caller may be handled within that call.
        caller* const recipient = session->caller_connection;
        report_attempt_finished(*session, attempt_outcome::delivered);
        remove_exchange(*session);
        return recipient->end_answer();
    }
    if ((success && !info.from_upstream) || info.unconfirmed_not_run || session->head_sent) {
        return report_attempt_finished(*session,
                                       session->head_sent ? attempt_outcome::cut : attempt_outcome::garbled);
    }
    if (head.status >= first_server_error_status && session->command.hold_failures) {
        return report_attempt_finished(*session, attempt_outcome::held);
    }
    report_answer_started(*session);
    report_attempt_finished(*session, attempt_outcome::delivered);
    deliver_buffered(*session);
}

bool relay::carries_events(const exchange& session) {
    const std::string* const type = session.answer_head.find("Content-Type");
    return session.command.streaming &&
           (type == nullptr ||
            http::equal_ignoring_case(std::string_view(*type).substr(0, event_stream_type.size()),
                                      event_stream_type));
}

void relay::deliver_buffered(exchange& session) {
    caller* const recipient = session.caller_connection;
    const int status = session.answer_head.status;
    const std::vector<http::field> fields = dialect_.answer_fields(session.answer_head);
    const std::string body = std::move(session.buffered);
    remove_exchange(session);
    recipient->answer(status, fields, body);
}

void relay::on_failure(link& connection, link_failure failure) {
    exchange* const session = exchange_of(connection);
    if (session == nullptr) {
        return;
    }
    session->upstream_link = nullptr;
    const bool checking = std::exchange(session->checking_process, false);
    if (failure == link_failure::connect_failed) {
        session->sent_bytes = 0;
    }
    if (checking || failure == link_failure::connect_failed) {
        report_attempt_finished(*session, attempt_outcome::unsent);
    } else if (session->head_sent) {
        report_attempt_finished(*session, attempt_outcome::cut);
    } else {
        report_attempt_finished(*session, failure == link_failure::malformed_answer ? attempt_outcome::garbled
                                                                                    : attempt_outcome::lost);
    }
}

void relay::report_attempt_finished(exchange& session, attempt_outcome outcome, bool connection_tried) {
    session.upstream_charge.set(0);
    dispatch::attempt_finished report;
    report.id = session.id;
    report.attempt = session.command.attempt;
    report.outcome = outcome;
    report.status = session.answer_head.status;
    report.load = session.answer.load;
    report.events = session.splitter.event_count();
    report.position_known = session.splitter.position_known();
    report.longest_pause = session.longest_pause;
    report.connection_tried = connection_tried;
    count_crossing(session);
    if (outcome == attempt_outcome::delivered) {
        metrics_.add({"bluebell_requests_total", {{"outcome", "delivered"}}});
        metrics_.observe({"bluebell_request_seconds", {}}, clock_.now() - session.received_at);
    }
    push_event(report);
}

/// At the end of an attempt, since each update of a metric takes a lock.
void relay::count_crossing(exchange& session) {
    const std::size_t sent = std::exchange(session.sent_bytes, 0);
    const std::size_t received = std::exchange(session.received_bytes, 0);
    const base::data_centre_id& target = session.command.target.data_centre;
    if (target.value().empty() || target == settings_.data_centre) {
        return;
    }
    const auto count = [&](const char* direction, std::size_t bytes) {
        if (bytes > 0) {
            metrics_.add({"bluebell_crossing_bytes_total",
                          {{"data_centre", target.value()}, {"direction", direction}}},
                         bytes);
        }
    };
    count("sent", sent);
    count("received", received);
}

void relay::remove_exchange(exchange& session) {
    if (session.upstream_link != nullptr && session.upstream_link->connecting()) {
        session.sent_bytes = 0;
    }
    count_crossing(session);
    if (session.upstream_link != nullptr) {
        session.upstream_link->close();
    }
    body_bytes_ -= session.body.size();
    session_by_caller_.erase(session.caller_connection);
    exchanges_.erase(session.id);
}

void relay::push_event(dispatch::event event) {
    pending_events_.push_back(std::move(event));
    flush_events();
}

void relay::flush_events() {
    while (!pending_events_.empty() &&
           events_.try_push(std::move(pending_events_.front())) == base::push_result::pushed) {
        pending_events_.pop_front();
    }
}

void relay::remove_closed(base::time_point now) {
    if (now < next_removal_ || poller_.removals() == handled_removals_) {
        return;
    }
    next_removal_ = now + removal_interval;
    handled_removals_ = poller_.removals();
    server_->remove_closed();
    for (auto entry = links_.begin(); entry != links_.end();) {
        std::vector<std::unique_ptr<link>>& links = entry->second;
        links.erase(
            std::remove_if(links.begin(), links.end(),
                           [](const std::unique_ptr<link>& connection) { return connection->closed(); }),
            links.end());
        entry = links.empty() ? links_.erase(entry) : std::next(entry);
    }
}

} // namespace bluebell::relay
