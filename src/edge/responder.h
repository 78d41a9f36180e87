#pragma once

#include "edge/callers.h"
#include "edge/channel.h"
#include "edge/parse.h"
#include "edge/stream.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <memory>
#include <optional>
#include <string>

namespace bluebell::edge {

/// Serves one request of a caller on a thread of the server.
/// Thread safety: used by one thread at a time.
class caller_responder final : public cxxtools::http::Responder {
public:
    caller_responder(cxxtools::http::Service& service, const callers_context& context)
        : Responder(service), context_(context), body_charge_(context.unfinished_bodies) {}

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override;
    std::size_t readBody(std::istream& in) override;
    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override;

private:
    /// A request in progress and its answer so far.
    struct answer_state {
        std::shared_ptr<channel> caller_channel;
        decision::request attributes;
        std::optional<decision::answer_head> head;
        /// Set once the answer is being streamed to the caller.
        std::optional<chunk_writer> stream;
        std::string body;
        bool first_byte_seen = false;
        std::optional<decision::verdict> verdict;
    };

    raw_request extract_request(const cxxtools::http::Request& request);
    base::result<parsed_request> check(const cxxtools::http::Request& request);
    base::result<std::shared_ptr<channel>> submit(parsed_request& parsed);
    void serve(parsed_request& parsed, std::ostream& out, cxxtools::http::Reply& reply);
    /// Processes answer parts until there is a verdict or a time limit has passed. Returns false if the
    /// caller is gone.
    bool wait_for_verdict(answer_state& state);
    /// Gives the request up if its deadline and grace time, or the time limit of a stop, have passed.
    void check_limits(answer_state& state);
    /// Processes one part of the answer. Returns false if the caller is gone.
    bool process(answer_state& state, answer_part& part);
    bool process_bytes(answer_state& state, const std::string& bytes);
    bool start_stream(answer_state& state);
    /// Ends the request with this error; the outcome is `not_run` if it was never sent, otherwise
    /// `outcome_unknown`.
    void give_up(answer_state& state, base::error_code code, const char* text);
    /// Reports the lost caller to the decider, closes the connection and throws.
    void handle_caller_gone(answer_state& state);
    void write_result(answer_state& state, std::ostream& out, cxxtools::http::Reply& reply);
    void write_answer(const answer_state& state, std::ostream& out, cxxtools::http::Reply& reply);
    /// Writes an answer whose fields exceed the space in a reply of cxxtools. Closes the connection and
    /// throws.
    [[noreturn]] void write_directly(const answer_state& state);
    void write_error(const base::error& cause, decision::outcome result, const base::request_id& id,
                     std::ostream& out, cxxtools::http::Reply& reply);
    /// Counts the request and its duration in the metrics.
    void count(const decision::request& attributes, const decision::verdict& verdict) const;

    /// Keeps bytes of the body, or drops the body if there is no room for them.
    void keep_body(const char* bytes, std::size_t count);

    const callers_context& context_;
    cxxtools::net::TcpSocket* socket_ = nullptr;
    std::string body_;
    body_charge body_charge_;
    std::size_t announced_body_bytes_ = 0;
    std::size_t remaining_body_bytes_ = 0;
    bool too_large_ = false;
    /// Set once the body was dropped since there was no room for it.
    bool lacks_room_ = false;
};

/// Creates a responder for each request.
class caller_service final : public cxxtools::http::Service {
public:
    explicit caller_service(const callers_context& context) : context_(context) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override;
    void releaseResponder(cxxtools::http::Responder* responder) override;

private:
    const callers_context& context_;
};

} // namespace bluebell::edge
