#include "edge/responder.h"

#include "base/guard.h"
#include "edge/answer.h"

#include <algorithm>
#include <array>
#include <exception>
#include <istream>
#include <stdexcept>
#include <strings.h>
#include <utility>

namespace bluebell::edge {
namespace {

using base::error;
using base::error_code;
using decision::outcome;

/// Interval at which a waiting request checks whether its caller is still connected. A check costs about 19
/// us; at an interval of 100 ms, 400 waiting requests took 7.6% of a core.
constexpr base::duration caller_check_interval = std::chrono::milliseconds(250);
/// Longest wait for room in the ring of events to report that a caller is gone.
constexpr base::duration caller_gone_timeout = std::chrono::seconds(1);
/// Limit for the fields of an answer in a reply of cxxtools, which has 4096 bytes for all fields; this router
/// and the server use about 300 of them.
constexpr std::size_t max_reply_field_bytes = 3500;
constexpr std::size_t read_size = 16384;
/// Size from which space for the whole body is reserved, so that it is not copied as it grows. Such
/// allocations are pages of their own, which take no memory until they are written.
constexpr std::size_t min_reserved_body = std::size_t{256} << 10U;
/// Time after which callers that are refused during a stop are to return, in whole seconds as the field
/// requires. Another router takes them at once.
constexpr std::chrono::seconds return_time(1);

/// Thrown to end the connection. The server of cxxtools then writes an answer of its own unless the socket
/// was shut down before.
struct connection_ended : std::runtime_error {
    connection_ended() : std::runtime_error("the connection is done") {}
};

bool is_event_stream(const decision::answer_head& head) {
    constexpr std::string_view type = "text/event-stream";
    for (const decision::field& field : head.fields) {
        if (strcasecmp(field.name.c_str(), "Content-Type") == 0) {
            return strncasecmp(field.value.c_str(), type.data(), type.size()) == 0;
        }
    }
    return false;
}

std::size_t field_bytes(const decision::answer_head& head) {
    std::size_t total = 0;
    for (const decision::field& field : head.fields) {
        total += field.name.size() + field.value.size() + 2;
    }
    return total;
}

} // namespace

void caller_responder::beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                                    cxxtools::http::Request& request) {
    socket_ = &socket;
    body_.clear();
    body_charge_.release();
    lacks_room_ = false;
    announced_body_bytes_ = request.header().contentLength();
    remaining_body_bytes_ = announced_body_bytes_;
    // A longer body is read and dropped, so that the caller can read the answer.
    too_large_ = remaining_body_bytes_ > context_.options.body_limit.value();
    Responder::beginRequest(socket, in, request);
}

std::size_t caller_responder::readBody(std::istream& in) {
    // Bytes beyond the body belong to the next request on the connection.
    const std::size_t available =
        static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 0));
    std::size_t total = 0;
    std::array<char, read_size> buffer{};
    while (total < available && remaining_body_bytes_ > 0) {
        const std::size_t wanted = std::min({available - total, remaining_body_bytes_, buffer.size()});
        const std::size_t count =
            static_cast<std::size_t>(in.rdbuf()->sgetn(buffer.data(), static_cast<std::streamsize>(wanted)));
        if (count == 0) {
            break;
        }
        total += count;
        remaining_body_bytes_ -= count;
        if (!too_large_ && !lacks_room_) {
            keep_body(buffer.data(), count);
        }
    }
    return total;
}

void caller_responder::keep_body(const char* bytes, std::size_t count) {
    lacks_room_ = !body_charge_.add(count, announced_body_bytes_);
    if (lacks_room_) {
        // The rest is read and dropped, so that the caller can read the answer.
        std::string().swap(body_);
        body_charge_.release();
        return;
    }
    if (body_.empty() && announced_body_bytes_ >= min_reserved_body) {
        body_.reserve(announced_body_bytes_);
    }
    body_.append(bytes, count);
}

raw_request caller_responder::extract_request(const cxxtools::http::Request& request) {
    raw_request raw;
    raw.method = request.method();
    raw.path = request.url();
    raw.query = request.qparams();
    for (cxxtools::http::MessageHeader::const_iterator it = request.header().begin();
         it != request.header().end(); ++it) {
        raw.fields.push_back({it->first, it->second});
    }
    raw.body.swap(body_);
    // From here on the number of requests in progress bounds the bodies.
    body_charge_.release();
    raw.too_large = too_large_;
    return raw;
}

base::result<parsed_request> caller_responder::check(const cxxtools::http::Request& request) {
    if (request.hasHeader("Transfer-Encoding")) {
        // The server of cxxtools would parse the chunks as the next request.
        return base::failure(error_code::malformed_request, "Transfer-Encoding",
                             "the body needs a Content-Length");
    }
    if (lacks_room_) {
        return base::failure(error_code::memory_full, "body",
                             "the router has no room for the body among those that are arriving");
    }
    const std::shared_ptr<const decision::fleet_config> config = context_.config.lookup();
    if (!config) {
        return base::failure(error_code::not_ready, "", "the router has no configuration yet");
    }
    return parse_request(extract_request(request), *config);
}

void caller_responder::reply(std::ostream& out, cxxtools::http::Request& request,
                             cxxtools::http::Reply& reply) {
    base::result<parsed_request> parsed = check(request);
    const base::request_id id = context_.ids.next();
    if (parsed && context_.give_up_time.load() != base::time_point::max()) {
        parsed = base::failure(error_code::draining, "", "the router is stopping");
    } else if (parsed && !context_.room.enter(parsed->attributes.account)) {
        parsed = base::failure(error_code::queue_full, "",
                               "the router has no room for a further request of the client account");
    }
    if (!parsed) {
        write_error(parsed.error(), outcome::not_run, id, out, reply);
        context_.metrics.set({"bluebell_held_bytes", {{"class", "unfinished_bodies"}}},
                             static_cast<double>(context_.unfinished_bodies.held()));
        context_.metrics.add(
            {"bluebell_refusals_total", {{"code", std::string(base::to_string(parsed.error().code))}}});
        if (request.hasHeader("Transfer-Encoding")) {
            reply.setHeader("Connection", "close");
        }
        return;
    }
    const base::scope_guard leave(
        [this, account = parsed->attributes.account] { context_.room.leave(account); });
    parsed->attributes.id = id;
    serve(*parsed, out, reply);
}

base::result<std::shared_ptr<channel>> caller_responder::submit(parsed_request& parsed) {
    std::shared_ptr<channel> new_channel = std::make_shared<channel>(std::move(parsed.content));
    decision::event arrival =
        decision::request_arrived{parsed.attributes, std::make_shared<channel_exchange>(new_channel)};
    if (context_.events.try_push(std::move(arrival)) != base::push_result::pushed) {
        return base::failure(error_code::not_ready, "", "the router cannot take the request now");
    }
    return new_channel;
}

void caller_responder::serve(parsed_request& parsed, std::ostream& out, cxxtools::http::Reply& reply) {
    answer_state state;
    state.attributes = parsed.attributes;
    state.attributes.arrived = context_.clock.now();
    state.attributes.deadline = state.attributes.arrived + context_.options.request_deadline;
    parsed.attributes = state.attributes;
    base::result<std::shared_ptr<channel>> submitted = submit(parsed);
    if (!submitted) {
        write_error(submitted.error(), outcome::not_run, state.attributes.id, out, reply);
        count(state.attributes, {outcome::not_run, submitted.error()});
        return;
    }
    state.caller_channel = std::move(*submitted);
    if (!wait_for_verdict(state)) {
        handle_caller_gone(state);
    }
    count(state.attributes, *state.verdict);
    write_result(state, out, reply);
}

bool caller_responder::wait_for_verdict(answer_state& state) {
    while (!state.verdict) {
        std::optional<answer_part> part = state.caller_channel->pop(caller_check_interval);
        if (part ? !process(state, *part) : peer_closed(*socket_)) {
            return false;
        }
        if (!state.verdict) {
            check_limits(state);
        }
        if (!state.verdict && !part && context_.events.closed()) {
            give_up(state, error_code::internal_failure, "the router lost its state");
        }
    }
    return true;
}

void caller_responder::check_limits(answer_state& state) {
    const base::time_point now = context_.clock.now();
    if (now >= state.attributes.deadline + context_.options.grace) {
        give_up(state, error_code::deadline_exceeded, "the deadline has passed");
        context_.events.try_push(decision::caller_gone{state.attributes.id});
    } else if (now >= context_.give_up_time.load()) {
        give_up(state, error_code::draining, "the router is stopping");
    }
}

void caller_responder::give_up(answer_state& state, error_code code, const char* text) {
    const bool unsent = state.caller_channel->give_up();
    state.verdict =
        decision::verdict{unsent ? outcome::not_run : outcome::outcome_unknown, error{code, "", text}};
}

bool caller_responder::process(answer_state& state, answer_part& part) {
    if (decision::answer_head* const head = std::get_if<decision::answer_head>(&part)) {
        state.head = std::move(*head);
        return !state.caller_channel->request_content().streamed || !is_event_stream(*state.head) ||
               start_stream(state);
    }
    if (const std::string* const bytes = std::get_if<std::string>(&part)) {
        return process_bytes(state, *bytes);
    }
    if (decision::verdict* const verdict = std::get_if<decision::verdict>(&part)) {
        state.verdict = std::move(*verdict);
        return true;
    }
    give_up(state, error_code::internal_failure, "the router lost its state");
    return true;
}

bool caller_responder::start_stream(answer_state& state) {
    state.stream.emplace(*socket_);
    std::vector<decision::field> fields = state.head->fields;
    fields.push_back({"Request-Id", base::to_hex(state.attributes.id.value())});
    return state.stream->head(state.head->status, fields);
}

bool caller_responder::process_bytes(answer_state& state, const std::string& bytes) {
    if (!state.first_byte_seen) {
        state.first_byte_seen = true;
        context_.metrics.observe({"bluebell_first_byte_seconds",
                                  {{"class", std::string(decision::to_string(state.attributes.priority))}}},
                                 context_.clock.now() - state.attributes.arrived);
    }
    if (state.stream) {
        return state.stream->write(bytes);
    }
    if (state.body.size() + bytes.size() > context_.options.answer_limit.value()) {
        give_up(state, error_code::upstream_malformed_answer, "the answer is longer than the limit");
        context_.events.push(decision::caller_gone{state.attributes.id}, caller_gone_timeout);
        return true;
    }
    state.body += bytes;
    return true;
}

void caller_responder::handle_caller_gone(answer_state& state) {
    const bool unsent = state.caller_channel->give_up();
    state.verdict = decision::verdict{unsent ? outcome::not_run : outcome::outcome_unknown,
                                      error{error_code::caller_gone, "", "the caller has left"}};
    // If the ring stays full, the request ends at its next delivery or at its deadline.
    context_.events.push(decision::caller_gone{state.attributes.id}, caller_gone_timeout);
    count(state.attributes, *state.verdict);
    shut_down(*socket_);
    throw connection_ended();
}

void caller_responder::write_result(answer_state& state, std::ostream& out, cxxtools::http::Reply& reply) {
    if (state.stream) {
        // A broken stream may have stopped within a record.
        const std::string separator = state.verdict->result == outcome::ran ? "" : "\n\n";
        state.stream->write(separator + outcome_record(*state.verdict, state.attributes.id));
        state.stream->finish();
        end_sending(*socket_);
        throw connection_ended();
    }
    if (state.verdict->result == outcome::ran && state.head) {
        write_answer(state, out, reply);
        return;
    }
    const error cause = state.verdict->cause.value_or(
        error{error_code::internal_failure, "", "the request ended without an answer"});
    write_error(cause, state.verdict->result, state.attributes.id, out, reply);
}

void caller_responder::write_answer(const answer_state& state, std::ostream& out,
                                    cxxtools::http::Reply& reply) {
    if (field_bytes(*state.head) > max_reply_field_bytes) {
        write_directly(state);
    }
    reply.httpReturn(static_cast<unsigned>(state.head->status),
                     std::string(reason_phrase(state.head->status)));
    reply.setHeader("Outcome", std::string(decision::to_string(state.verdict->result)).c_str());
    reply.setHeader("Request-Id", base::to_hex(state.attributes.id.value()).c_str());
    for (const decision::field& field : state.head->fields) {
        reply.addHeader(field.name.c_str(), field.value.c_str());
    }
    out << state.body;
}

void caller_responder::write_directly(const answer_state& state) {
    chunk_writer writer(*socket_);
    std::vector<decision::field> fields = state.head->fields;
    fields.push_back({"Outcome", std::string(decision::to_string(state.verdict->result))});
    fields.push_back({"Request-Id", base::to_hex(state.attributes.id.value())});
    if (writer.head(state.head->status, fields) && writer.write(state.body)) {
        writer.finish();
    }
    end_sending(*socket_);
    throw connection_ended();
}

void caller_responder::write_error(const error& cause, outcome result, const base::request_id& id,
                                   std::ostream& out, cxxtools::http::Reply& reply) {
    const int status = http_status(cause.code, result);
    reply.httpReturn(static_cast<unsigned>(status), std::string(reason_phrase(status)));
    reply.setHeader("Content-Type", "application/json");
    reply.setHeader("Outcome", std::string(decision::to_string(result)).c_str());
    reply.setHeader("Request-Id", base::to_hex(id.value()).c_str());
    if (cause.code == error_code::draining && result == outcome::not_run) {
        reply.setHeader("Retry-After", std::to_string(return_time.count()).c_str());
    }
    out << error_body(cause, result, id);
}

void caller_responder::count(const decision::request& attributes, const decision::verdict& verdict) const {
    const std::string cause = verdict.cause ? std::string(base::to_string(verdict.cause->code)) : "none";
    context_.metrics.add({"bluebell_requests_total",
                          {{"class", std::string(decision::to_string(attributes.priority))},
                           {"outcome", std::string(decision::to_string(verdict.result))},
                           {"cause", cause}}});
    context_.metrics.observe(
        {"bluebell_request_seconds", {{"class", std::string(decision::to_string(attributes.priority))}}},
        context_.clock.now() - attributes.arrived);
}

cxxtools::http::Responder* caller_service::createResponder(const cxxtools::http::Request&) {
    return std::make_unique<caller_responder>(*this, context_).release();
}

void caller_service::releaseResponder(cxxtools::http::Responder* responder) {
    const std::unique_ptr<cxxtools::http::Responder> owned(responder);
}

} // namespace bluebell::edge
