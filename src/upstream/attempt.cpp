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

/// An answer that is not streamed is delivered in parts of at least this size, except for the last. Large
/// parts let a large answer fit into few entries of the ring to the caller's thread, and nothing reaches the
/// caller if the answer breaks off within the first part.
constexpr std::size_t whole_answer_part_bytes = 65536;
constexpr const char* engine_version_field = "Engine-Version";
constexpr int status_ok = 200;
constexpr int first_server_error = 500;

/// Returns whether a header field applies to one connection only and is not forwarded (RFC 9110, 7.6.1), or
/// is set by the HTTP server of this router (Date, Server and Content-Length).
bool is_hop_by_hop(const std::string& name) {
    constexpr std::array<const char*, 9> names = {"connection", "content-length", "date",
                                                  "keep-alive", "server",         "te",
                                                  "trailer",    "upgrade",        "transfer-encoding"};
    return std::any_of(names.begin(), names.end(),
                       [&name](const char* hop_field) { return strcasecmp(hop_field, name.c_str()) == 0; });
}

bool is_event_stream(const decision::answer_head& head) {
    constexpr std::string_view type = "text/event-stream";
    return std::any_of(head.fields.begin(), head.fields.end(), [type](const decision::field& field) {
        return strcasecmp(field.name.c_str(), "Content-Type") == 0 &&
               strncasecmp(field.value.c_str(), type.data(), type.size()) == 0;
    });
}

/// Returns the software that the engine states; empty if it states none.
base::software_version stated_version(const decision::answer_head& head) {
    const auto stated =
        std::find_if(head.fields.begin(), head.fields.end(), [](const decision::field& field) {
            return strcasecmp(field.name.c_str(), engine_version_field) == 0;
        });
    return base::software_version(stated == head.fields.end() ? std::string() : stated->value);
}

/// Inserts `resume_from` as the first member of a JSON object. Pre-condition: the object has members.
std::string with_resume_offset(const std::string& body, base::byte_count offset) {
    const std::size_t brace = body.find('{');
    if (brace == std::string::npos) {
        return body;
    }
    return body.substr(0, brace + 1) + "\"resume_from\":" + std::to_string(offset.value()) + ',' +
           body.substr(brace + 1);
}

} // namespace

attempt::attempt(decision::dispatch command, delivered_prefix prefix, base::software_version version,
                 const attempt_limits& limits, cxxtools::SelectorBase& selector, const base::clock& clock)
    : command_(std::move(command)), prefix_(prefix), version_(std::move(version)), limits_(limits),
      clock_(clock), selector_(selector), start_time_(clock.now()), last_byte_time_(start_time_),
      last_progress_time_(start_time_) {}

std::string attempt::stream_name(const decision::attempt_key& key) {
    return base::to_hex(key.id.value()) + '-' + std::to_string(key.number.value());
}

bool attempt::engine_can_resume() const {
    return command_.kind == decision::pool_kind::model && command_.target.can_resume &&
           !version_.value().empty();
}

void attempt::start() {
    if (prefix_.size() != command_.resume_from.value()) {
        // A repeated answer can be compared with the delivered part only if its digest is known.
        finish(attempt_status::not_sent, error{error_code::internal_failure, "resume_from",
                                               "the delivered part of the answer is not known"});
        return;
    }
    if (!command_.caller_exchange->begin_attempt()) {
        finish(attempt_status::not_sent,
               error{error_code::caller_gone, "", "the caller was answered before the request was sent"});
        return;
    }
    bytes_to_skip_ = engine_can_resume() ? 0 : command_.resume_from.value();
    answer_begun_ = command_.resume_from.value() > 0;
    call_ = std::make_unique<call>(command_.target.address, request_text(),
                                   command_.caller_exchange->request_content().method != "HEAD", selector_,
                                   *this);
    call_->start();
}

std::string attempt::request_text() const {
    const decision::content& content = command_.caller_exchange->request_content();
    std::vector<decision::field> fields = content.fields;
    fields.push_back({"Stream-Id", stream_name(command_.attempt)});
    const bool resume = engine_can_resume() && command_.resume_from.value() > 0;
    return format_request(
        content.method, content.path,
        command_.target.address.address + ':' + std::to_string(command_.target.address.port), fields,
        resume ? with_resume_offset(content.body, command_.resume_from) : content.body);
}

void attempt::cancel() {
    finish(attempt_status::cancelled, std::nullopt);
}

void attempt::abandon() {
    const bool unsent = call_ == nullptr || !call_->request_started();
    finish(unsent ? attempt_status::not_sent : attempt_status::interrupted,
           error{error_code::worker_failed, "transport", "the transport stopped"});
}

void attempt::on_head(const decision::answer_head& head) {
    if (ended()) {
        return;
    }
    last_byte_time_ = clock_.now();
    if (command_.resume_from.value() > 0 && head.status != status_ok) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_error_status, command_.target.id.value(),
                     "status " + std::to_string(head.status) + " on resumption"});
        return;
    }
    answer_version_ = stated_version(head);
    if (command_.resume_from.value() == 0) {
        version_ = answer_version_;
    } else if (engine_can_resume() && answer_version_ != version_) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_malformed_answer, command_.target.id.value(),
                     "software '" + answer_version_.value() + "' cannot go on with an answer of '" +
                         version_.value() + '\''});
        return;
    }
    head_.status = head.status;
    std::copy_if(head.fields.begin(), head.fields.end(), std::back_inserter(head_.fields),
                 [](const decision::field& field) { return !is_hop_by_hop(field.name); });
    const bool stream_requested = command_.caller_exchange->request_content().streamed;
    streamed_ = stream_requested && is_event_stream(head_);
    if (command_.resume_from.value() > 0 && stream_requested && !streamed_) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_malformed_answer, command_.target.id.value(),
                     "the resumed answer is no event stream"});
    }
}

void attempt::on_body(const std::string& bytes) {
    if (!ended()) {
        receive(bytes);
    }
}

void attempt::receive(std::string_view bytes) {
    last_byte_time_ = clock_.now();
    received_bytes_ += bytes.size();
    if (streamed_) {
        event_counter_.add(bytes);
    }
    if (bytes_to_skip_ > 0) {
        const std::size_t count = std::min<std::uint64_t>(bytes_to_skip_, bytes.size());
        repeated_prefix_.add(bytes.substr(0, count));
        bytes.remove_prefix(count);
        bytes_to_skip_ -= count;
        if (bytes_to_skip_ > 0) {
            return;
        }
        if (!(repeated_prefix_ == prefix_)) {
            finish(attempt_status::interrupted,
                   error{error_code::upstream_malformed_answer, command_.target.id.value(),
                         "the repeated answer differs from what the caller has"});
            return;
        }
        version_ = answer_version_; // it has written the same
    }
    undelivered_ += bytes;
    if (streamed_ || undelivered_.size() >= whole_answer_part_bytes) {
        flush();
    }
}

void attempt::begin_answer() {
    if (!answer_begun_) {
        answer_begun_ = true;
        command_.caller_exchange->begin(head_);
    }
}

void attempt::flush() {
    if (undelivered_.empty()) {
        return;
    }
    begin_answer();
    std::string part;
    part.swap(undelivered_);
    const std::size_t size = part.size();
    prefix_.add(part);
    if (!command_.caller_exchange->deliver(std::move(part))) {
        finish(attempt_status::cancelled, error{error_code::caller_too_slow, "", "the caller does not read"});
        return;
    }
    delivered_bytes_ += size;
}

void attempt::on_complete() {
    if (ended()) {
        return;
    }
    if (bytes_to_skip_ > 0) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_malformed_answer, command_.target.id.value(),
                     "the repeated answer is shorter than what the caller has"});
        return;
    }
    if (streamed_ && event_counter_.inside_event()) {
        finish(attempt_status::interrupted,
               error{error_code::upstream_malformed_answer, command_.target.id.value(),
                     "the stream ends inside an event"});
        return;
    }
    if (!streamed_) {
        stated_cost_ = stated_usage(undelivered_);
    }
    begin_answer();
    flush();
    if (ended()) {
        return;
    }
    std::optional<error> cause;
    if (head_.status >= first_server_error) {
        cause = error{error_code::upstream_error_status, command_.target.id.value(),
                      "status " + std::to_string(head_.status)};
    }
    finish(attempt_status::completed, std::move(cause));
}

void attempt::on_failure(const error& cause) {
    const bool refused = cause.code == error_code::upstream_refused_connection;
    finish(refused ? attempt_status::not_sent : attempt_status::interrupted, cause);
}

base::time_point attempt::phase_limit() const {
    if (call_ == nullptr || !call_->request_started()) {
        return start_time_ + limits_.connect;
    }
    if (received_bytes_ > 0) {
        return last_byte_time_ + limits_.between_bytes;
    }
    return start_time_ +
           (command_.caller_exchange->request_content().streamed ? limits_.first_byte : limits_.whole_answer);
}

base::time_point attempt::next_limit() const {
    return std::min(phase_limit(), command_.deadline);
}

void attempt::expire() {
    const base::time_point now = clock_.now();
    if (ended() || now < next_limit()) {
        return;
    }
    const bool unsent = call_ == nullptr || !call_->request_started();
    finish(unsent ? attempt_status::not_sent : attempt_status::silent,
           error{now >= command_.deadline ? error_code::deadline_exceeded : error_code::upstream_silent,
                 command_.target.id.value(), "a time limit expired"});
}

void attempt::finish(attempt_status status, std::optional<error> cause) {
    if (!ended()) {
        end_ = decision::attempt_end{status, spent(), base::byte_count(delivered_bytes_), std::move(cause)};
    }
}

bool attempt::needs_stream_cancel() const {
    return command_.kind == decision::pool_kind::model && call_ != nullptr && call_->request_started() &&
           ended() && (end_->status == attempt_status::cancelled || end_->status == attempt_status::silent);
}

base::cost attempt::spent() const {
    if (call_ == nullptr || !call_->request_started()) {
        return {};
    }
    if (command_.kind == decision::pool_kind::service) {
        const std::chrono::duration<double, std::milli> running = clock_.now() - start_time_;
        return base::cost(running.count());
    }
    const base::cost counted = prompt_estimate(command_.caller_exchange->request_content().body.size()) +
                               base::cost(static_cast<double>(event_counter_.count()));
    return std::max(counted, stated_cost_);
}

std::optional<base::cost> attempt::take_progress() {
    const base::time_point now = clock_.now();
    if (ended() || now - last_progress_time_ < limits_.progress_interval) {
        return std::nullopt;
    }
    const base::cost current = spent();
    if (current == last_progress_cost_) {
        return std::nullopt;
    }
    last_progress_time_ = now;
    last_progress_cost_ = current;
    return current;
}

} // namespace bluebell::upstream
