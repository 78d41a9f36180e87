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

/// How often a waiting request looks whether its caller is still there. A look costs about 19 us; at 100 ms,
/// 400 waiting requests took 7.6% of a core.
constexpr base::duration caller_check = std::chrono::milliseconds(250);
constexpr base::duration notice_timeout = std::chrono::seconds(1);
/// The reply of cxxtools has 4096 bytes for all fields, of which this router and the server use about 300.
constexpr std::size_t largest_reply_head = 3500;
constexpr std::size_t read_size = 16384;

/// Ends the connection without an answer from the server of cxxtools, which writes one unless the socket is
/// shut down before the exception.
struct connection_done : std::runtime_error {
    connection_done() : std::runtime_error("the connection is done") {}
};

bool is_event_stream(const decision::answer_head& head) {
    constexpr std::string_view type = "text/event-stream";
    for (const decision::field& each : head.fields) {
        if (strcasecmp(each.name.c_str(), "Content-Type") == 0) {
            return strncasecmp(each.value.c_str(), type.data(), type.size()) == 0;
        }
    }
    return false;
}

std::size_t field_bytes(const decision::answer_head& head) {
    std::size_t total = 0;
    for (const decision::field& each : head.fields) {
        total += each.name.size() + each.value.size() + 2;
    }
    return total;
}

} // namespace

void caller_responder::beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                                    cxxtools::http::Request& request) {
    socket_ = &socket;
    body_.clear();
    body_left_ = request.header().contentLength();
    // A longer body is read and dropped, so that the caller gets to read its answer.
    too_large_ = body_left_ > context_.options.body_limit.value();
    Responder::beginRequest(socket, in, request);
}

std::size_t caller_responder::readBody(std::istream& in) {
    // Further bytes belong to the next request on the connection.
    const std::size_t available =
        static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 0));
    std::size_t total = 0;
    std::array<char, read_size> buffer{};
    while (total < available && body_left_ > 0) {
        const std::size_t wanted = std::min({available - total, body_left_, buffer.size()});
        const std::size_t count =
            static_cast<std::size_t>(in.rdbuf()->sgetn(buffer.data(), static_cast<std::streamsize>(wanted)));
        if (count == 0) {
            break;
        }
        total += count;
        body_left_ -= count;
        if (!too_large_) {
            body_.append(buffer.data(), count);
        }
    }
    return total;
}

raw_request caller_responder::take_request(const cxxtools::http::Request& request) {
    raw_request raw;
    raw.method = request.method();
    raw.path = request.url();
    raw.query = request.qparams();
    for (cxxtools::http::MessageHeader::const_iterator it = request.header().begin();
         it != request.header().end(); ++it) {
        raw.fields.push_back({it->first, it->second});
    }
    raw.body.swap(body_);
    raw.too_large = too_large_;
    return raw;
}

base::result<parsed_request> caller_responder::check(const cxxtools::http::Request& request) {
    if (request.hasHeader("Transfer-Encoding")) {
        // The server of cxxtools takes the chunks for the next request.
        return base::failure(error_code::malformed_request, "Transfer-Encoding",
                             "the body needs a Content-Length");
    }
    const std::shared_ptr<const decision::fleet_config> config = context_.config.lookup();
    if (!config) {
        return base::failure(error_code::not_ready, "", "the router has no configuration yet");
    }
    return parse_request(take_request(request), *config);
}

void caller_responder::reply(std::ostream& out, cxxtools::http::Request& request,
                             cxxtools::http::Reply& reply) {
    const unsigned before = context_.in_progress.fetch_add(1);
    const base::scope_guard leaving([this] { --context_.in_progress; });
    base::result<parsed_request> parsed = check(request);
    const base::request_id id = context_.ids.next();
    if (parsed && context_.give_up_at.load() != base::time_point::max()) {
        parsed = base::failure(error_code::draining, "", "the router is stopping");
    } else if (parsed && before >= context_.options.admission_limit) {
        parsed = base::failure(error_code::queue_full, "", "the router has no room for a further request");
    }
    if (!parsed) {
        write_error(parsed.error(), outcome::not_run, id, out, reply);
        context_.metrics.add(
            {"bluebell_refusals_total", {{"code", std::string(base::to_string(parsed.error().code))}}});
        if (request.hasHeader("Transfer-Encoding")) {
            reply.setHeader("Connection", "close");
        }
        return;
    }
    parsed->what.id = id;
    serve(*parsed, out, reply);
}

base::result<std::shared_ptr<channel>> caller_responder::submit(parsed_request& parsed) {
    std::shared_ptr<channel> to = std::make_shared<channel>(std::move(parsed.carried));
    decision::event arrival = decision::request_arrived{parsed.what, std::make_shared<channel_exchange>(to)};
    if (context_.events.try_push(std::move(arrival)) != base::push_result::pushed) {
        return base::failure(error_code::not_ready, "", "the router cannot take the request now");
    }
    return to;
}

void caller_responder::serve(parsed_request& parsed, std::ostream& out, cxxtools::http::Reply& reply) {
    progress now;
    now.what = parsed.what;
    now.what.arrived = context_.time.now();
    now.what.deadline = now.what.arrived + context_.options.request_deadline;
    parsed.what = now.what;
    base::result<std::shared_ptr<channel>> submitted = submit(parsed);
    if (!submitted) {
        write_error(submitted.error(), outcome::not_run, now.what.id, out, reply);
        count(now.what, {outcome::not_run, submitted.error()});
        return;
    }
    now.from = std::move(*submitted);
    if (!wait(now)) {
        leave(now);
    }
    count(now.what, *now.last);
    write_end(now, out, reply);
}

bool caller_responder::wait(progress& now) {
    while (!now.last) {
        std::optional<answer_part> part = now.from->pop(caller_check);
        if (part ? !take(now, *part) : peer_closed(*socket_)) {
            return false;
        }
        if (!now.last) {
            check_limits(now);
        }
        if (!now.last && !part && context_.events.closed()) {
            give_up(now, error_code::internal_failure, "the router lost its state");
        }
    }
    return true;
}

void caller_responder::check_limits(progress& now) {
    const base::time_point time = context_.time.now();
    if (time >= now.what.deadline + context_.options.grace) {
        give_up(now, error_code::deadline_exceeded, "the deadline has passed");
        context_.events.try_push(decision::caller_gone{now.what.id});
    } else if (time >= context_.give_up_at.load()) {
        give_up(now, error_code::draining, "the router is stopping");
    }
}

void caller_responder::give_up(progress& now, error_code code, const char* text) {
    const bool unsent = now.from->give_up();
    now.last = decision::verdict{unsent ? outcome::not_run : outcome::outcome_unknown, error{code, "", text}};
}

bool caller_responder::take(progress& now, answer_part& part) {
    if (decision::answer_head* const head = std::get_if<decision::answer_head>(&part)) {
        now.head = std::move(*head);
        return !now.from->request_content().streamed || !is_event_stream(*now.head) || start_stream(now);
    }
    if (const std::string* const bytes = std::get_if<std::string>(&part)) {
        return take_bytes(now, *bytes);
    }
    if (decision::verdict* const last = std::get_if<decision::verdict>(&part)) {
        now.last = std::move(*last);
        return true;
    }
    give_up(now, error_code::internal_failure, "the router lost its state");
    return true;
}

bool caller_responder::start_stream(progress& now) {
    now.stream.emplace(*socket_);
    std::vector<decision::field> fields = now.head->fields;
    fields.push_back({"Request-Id", base::to_hex(now.what.id.value())});
    return now.stream->head(now.head->status, fields);
}

bool caller_responder::take_bytes(progress& now, const std::string& bytes) {
    if (!now.seen_byte) {
        now.seen_byte = true;
        context_.metrics.observe(
            {"bluebell_first_byte_seconds", {{"class", std::string(decision::to_string(now.what.priority))}}},
            context_.time.now() - now.what.arrived);
    }
    if (now.stream) {
        return now.stream->write(bytes);
    }
    if (now.body.size() + bytes.size() > context_.options.answer_limit.value()) {
        give_up(now, error_code::upstream_malformed_answer, "the answer is longer than the limit");
        context_.events.push(decision::caller_gone{now.what.id}, notice_timeout);
        return true;
    }
    now.body += bytes;
    return true;
}

void caller_responder::leave(progress& now) {
    const bool unsent = now.from->give_up();
    now.last = decision::verdict{unsent ? outcome::not_run : outcome::outcome_unknown,
                                 error{error_code::caller_gone, "", "the caller has left"}};
    // If the ring stays full, the request ends at its next delivery or at its deadline.
    context_.events.push(decision::caller_gone{now.what.id}, notice_timeout);
    count(now.what, *now.last);
    shut_down(*socket_);
    throw connection_done();
}

void caller_responder::write_end(progress& now, std::ostream& out, cxxtools::http::Reply& reply) {
    if (now.stream) {
        // A broken stream may have ended within a record.
        const std::string separator = now.last->result == outcome::ran ? "" : "\n\n";
        now.stream->write(separator + outcome_record(*now.last, now.what.id));
        now.stream->finish();
        end_sending(*socket_);
        throw connection_done();
    }
    if (now.last->result == outcome::ran && now.head) {
        write_answer(now, out, reply);
        return;
    }
    const error cause = now.last->cause.value_or(
        error{error_code::internal_failure, "", "the request ended without an answer"});
    write_error(cause, now.last->result, now.what.id, out, reply);
}

void caller_responder::write_answer(const progress& now, std::ostream& out, cxxtools::http::Reply& reply) {
    if (field_bytes(*now.head) > largest_reply_head) {
        write_directly(now);
    }
    reply.httpReturn(static_cast<unsigned>(now.head->status), std::string(reason_phrase(now.head->status)));
    reply.setHeader("Outcome", std::string(decision::to_string(now.last->result)).c_str());
    reply.setHeader("Request-Id", base::to_hex(now.what.id.value()).c_str());
    for (const decision::field& each : now.head->fields) {
        reply.addHeader(each.name.c_str(), each.value.c_str());
    }
    out << now.body;
}

void caller_responder::write_directly(const progress& now) {
    chunk_writer writer(*socket_);
    std::vector<decision::field> fields = now.head->fields;
    fields.push_back({"Outcome", std::string(decision::to_string(now.last->result))});
    fields.push_back({"Request-Id", base::to_hex(now.what.id.value())});
    if (writer.head(now.head->status, fields) && writer.write(now.body)) {
        writer.finish();
    }
    end_sending(*socket_);
    throw connection_done();
}

void caller_responder::write_error(const error& cause, outcome result, const base::request_id& id,
                                   std::ostream& out, cxxtools::http::Reply& reply) {
    const int status = status_of(cause.code);
    reply.httpReturn(static_cast<unsigned>(status), std::string(reason_phrase(status)));
    reply.setHeader("Content-Type", "application/json");
    reply.setHeader("Outcome", std::string(decision::to_string(result)).c_str());
    reply.setHeader("Request-Id", base::to_hex(id.value()).c_str());
    out << error_body(cause, result, id);
}

void caller_responder::count(const decision::request& what, const decision::verdict& last) const {
    const std::string cause = last.cause ? std::string(base::to_string(last.cause->code)) : "none";
    context_.metrics.add({"bluebell_requests_total",
                          {{"class", std::string(decision::to_string(what.priority))},
                           {"outcome", std::string(decision::to_string(last.result))},
                           {"cause", cause}}});
    context_.metrics.observe(
        {"bluebell_request_seconds", {{"class", std::string(decision::to_string(what.priority))}}},
        context_.time.now() - what.arrived);
}

cxxtools::http::Responder* caller_service::createResponder(const cxxtools::http::Request&) {
    return std::make_unique<caller_responder>(*this, context_).release();
}

void caller_service::releaseResponder(cxxtools::http::Responder* used) {
    const std::unique_ptr<cxxtools::http::Responder> owned(used);
}

} // namespace bluebell::edge
