#include "upstream/attempt.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <strings.h>
#include <utility>

namespace bluebell::upstream {
namespace {

using base::error;
using base::error_code;
using decision::attempt_status;

/// Parts of a whole answer are joined up to this size, so that the ring to the caller's thread holds a large
/// answer in few entries, and an answer that breaks before leaves the caller untouched.
constexpr std::size_t whole_part_size = 65536;
constexpr int status_ok = 200;
constexpr int first_server_error = 500;

/// Fields that concern one connection and are not passed on (RFC 9110, 7.6.1).
bool hop_by_hop(const std::string& name) {
    constexpr std::array<const char*, 9> names = {"connection", "content-length", "date",
                                                  "keep-alive", "server",         "te",
                                                  "trailer",    "upgrade",        "transfer-encoding"};
    return std::any_of(names.begin(), names.end(),
                       [&name](const char* each) { return strcasecmp(each, name.c_str()) == 0; });
}

bool is_event_stream(const decision::answer_head& head) {
    constexpr std::string_view type = "text/event-stream";
    return std::any_of(head.fields.begin(), head.fields.end(), [type](const decision::field& each) {
        return strcasecmp(each.name.c_str(), "Content-Type") == 0 &&
               strncasecmp(each.value.c_str(), type.data(), type.size()) == 0;
    });
}

/// Adds the offset as the first member of a JSON object that has members.
std::string with_offset(const std::string& body, base::byte_count offset) {
    const std::size_t brace = body.find('{');
    if (brace == std::string::npos) {
        return body;
    }
    return body.substr(0, brace + 1) + "\"resume_from\":" + std::to_string(offset.value()) + ',' +
           body.substr(brace + 1);
}

} // namespace

attempt::attempt(decision::dispatch order, delivered_prefix prefix, const attempt_limits& limits,
                 cxxtools::SelectorBase& selector, const base::clock& time)
    : order_(std::move(order)), prefix_(prefix), limits_(limits), clock_(time), selector_(selector),
      started_(time.now()), last_byte_(started_), last_report_(started_) {}

std::string attempt::stream_name(const decision::attempt_key& key) {
    return base::to_hex(key.id.value()) + '-' + std::to_string(key.number.value());
}

bool attempt::engine_resumes() const {
    return order_.kind == decision::pool_kind::model && order_.target.can_resume;
}

void attempt::start() {
    if (prefix_.size() != order_.resume_from.value()) {
        // Without the digest a repeated answer cannot be compared with what the caller has.
        finish(attempt_status::not_sent, error{error_code::internal_failure, "resume_from",
                                               "the delivered part of the answer is not known"});
        return;
    }
    if (!order_.caller_exchange->begin_attempt()) {
        finish(attempt_status::not_sent,
               error{error_code::caller_gone, "", "the caller was answered before the request was sent"});
        return;
    }
    to_skip_ = engine_resumes() ? 0 : order_.resume_from.value();
    begun_ = order_.resume_from.value() > 0;
    call_ =
        std::make_unique<call>(order_.target.address, request_text(),
                               order_.caller_exchange->request_content().method != "HEAD", selector_, *this);
    call_->start();
}

std::string attempt::request_text() const {
    const decision::content& content = order_.caller_exchange->request_content();
    std::vector<decision::field> fields = content.fields;
    fields.push_back({"Stream-Id", stream_name(order_.attempt)});
    const bool resume = engine_resumes() && order_.resume_from.value() > 0;
    return format_request(content.method, content.path,
                          order_.target.address.address + ':' + std::to_string(order_.target.address.port),
                          fields, resume ? with_offset(content.body, order_.resume_from) : content.body);
}

void attempt::cancel() {
    finish(attempt_status::cancelled, std::nullopt);
}

void attempt::abandon() {
    const bool untouched = call_ == nullptr || !call_->touched();
    finish(untouched ? attempt_status::not_sent : attempt_status::interrupted,
           error{error_code::worker_failed, "transport", "the transport stopped"});
}

void attempt::on_head(const decision::answer_head& head) {
    if (ended()) {
        return;
    }
    last_byte_ = clock_.now();
    if (order_.resume_from.value() > 0 && head.status != status_ok) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_error_status, order_.target.id.value(),
                     "status " + std::to_string(head.status) + " on resumption"});
        return;
    }
    head_.status = head.status;
    std::copy_if(head.fields.begin(), head.fields.end(), std::back_inserter(head_.fields),
                 [](const decision::field& each) { return !hop_by_hop(each.name); });
    streamed_ = order_.caller_exchange->request_content().streamed && is_event_stream(head_);
}

void attempt::on_body(const std::string& bytes) {
    if (!ended()) {
        accept(bytes);
    }
}

void attempt::accept(std::string_view bytes) {
    last_byte_ = clock_.now();
    received_ += bytes.size();
    if (streamed_) {
        events_.add(bytes);
    }
    if (to_skip_ > 0) {
        const std::size_t count = std::min<std::uint64_t>(to_skip_, bytes.size());
        repeated_.add(bytes.substr(0, count));
        bytes.remove_prefix(count);
        to_skip_ -= count;
        if (to_skip_ > 0) {
            return;
        }
        if (!(repeated_ == prefix_)) {
            finish(attempt_status::interrupted,
                   error{error_code::upstream_malformed_answer, order_.target.id.value(),
                         "the repeated answer differs from what the caller has"});
            return;
        }
    }
    pending_ += bytes;
    if (streamed_ || pending_.size() >= whole_part_size) {
        flush();
    }
}

void attempt::begin_answer() {
    if (!begun_) {
        begun_ = true;
        order_.caller_exchange->begin(head_);
    }
}

void attempt::flush() {
    if (pending_.empty()) {
        return;
    }
    begin_answer();
    std::string part;
    part.swap(pending_);
    const std::size_t size = part.size();
    prefix_.add(part);
    if (!order_.caller_exchange->deliver(std::move(part))) {
        finish(attempt_status::cancelled, error{error_code::caller_too_slow, "", "the caller does not read"});
        return;
    }
    delivered_ += size;
}

void attempt::on_complete() {
    if (ended()) {
        return;
    }
    if (to_skip_ > 0) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_malformed_answer, order_.target.id.value(),
                     "the repeated answer is shorter than what the caller has"});
        return;
    }
    if (!streamed_) {
        stated_ = stated_usage(pending_);
    }
    begin_answer();
    flush();
    if (ended()) {
        return;
    }
    std::optional<error> cause;
    if (head_.status >= first_server_error) {
        cause = error{error_code::upstream_error_status, order_.target.id.value(),
                      "status " + std::to_string(head_.status)};
    }
    finish(attempt_status::completed, std::move(cause));
}

void attempt::on_failure(const error& cause) {
    const bool refused = cause.code == error_code::upstream_refused_connection;
    finish(refused ? attempt_status::not_sent : attempt_status::interrupted, cause);
}

base::time_point attempt::limit() const {
    if (call_ == nullptr || !call_->touched()) {
        return started_ + limits_.connect;
    }
    if (received_ > 0) {
        return last_byte_ + limits_.between_bytes;
    }
    return started_ +
           (order_.caller_exchange->request_content().streamed ? limits_.first_byte : limits_.whole_answer);
}

base::time_point attempt::next_limit() const {
    return std::min(limit(), order_.deadline);
}

void attempt::expire() {
    const base::time_point now = clock_.now();
    if (ended() || now < next_limit()) {
        return;
    }
    const bool untouched = call_ == nullptr || !call_->touched();
    finish(untouched ? attempt_status::not_sent : attempt_status::silent,
           error{now >= order_.deadline ? error_code::deadline_exceeded : error_code::upstream_silent,
                 order_.target.id.value(), "a time limit expired"});
}

void attempt::finish(attempt_status status, std::optional<error> cause) {
    if (!ended()) {
        end_ = decision::attempt_end{status, spent(), base::byte_count(delivered_), std::move(cause)};
    }
}

bool attempt::left_running() const {
    return order_.kind == decision::pool_kind::model && call_ != nullptr && call_->touched() && ended() &&
           (end_->status == attempt_status::cancelled || end_->status == attempt_status::silent);
}

base::cost attempt::spent() const {
    if (call_ == nullptr || !call_->touched()) {
        return {};
    }
    if (order_.kind == decision::pool_kind::service) {
        const std::chrono::duration<double, std::milli> running = clock_.now() - started_;
        return base::cost(running.count());
    }
    const base::cost counted = prompt_estimate(order_.caller_exchange->request_content().body.size()) +
                               base::cost(static_cast<double>(events_.count()));
    return std::max(counted, stated_);
}

std::optional<base::cost> attempt::take_progress() {
    const base::time_point now = clock_.now();
    if (ended() || now - last_report_ < limits_.progress) {
        return std::nullopt;
    }
    const base::cost current = spent();
    if (current == last_reported_) {
        return std::nullopt;
    }
    last_report_ = now;
    last_reported_ = current;
    return current;
}

} // namespace bluebell::upstream
