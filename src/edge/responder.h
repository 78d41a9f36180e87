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

/// Serves one caller's request on a thread of the server.
/// Thread safety: used by one thread at a time.
class caller_responder final : public cxxtools::http::Responder {
public:
    caller_responder(cxxtools::http::Service& service, const callers_context& context)
        : Responder(service), context_(context) {}

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override;
    std::size_t readBody(std::istream& in) override;
    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override;

private:
    /// The answer so far.
    struct progress {
        std::shared_ptr<channel> from;
        decision::request what;
        std::optional<decision::answer_head> head;
        /// Set once the answer is passed on as a stream.
        std::optional<chunk_writer> stream;
        std::string body;
        bool seen_byte = false;
        std::optional<decision::verdict> last;
    };

    raw_request take_request(const cxxtools::http::Request& request);
    base::result<parsed_request> check(const cxxtools::http::Request& request);
    base::result<std::shared_ptr<channel>> submit(parsed_request& parsed);
    void serve(parsed_request& parsed, std::ostream& out, cxxtools::http::Reply& reply);
    /// Waits for the verdict, a caller that leaves, or the time limit. Returns false if the caller is gone.
    bool wait(progress& now);
    /// Gives up at the deadline and at the limit of a stop.
    void check_limits(progress& now);
    bool take(progress& now, answer_part& part);
    bool take_bytes(progress& now, const std::string& bytes);
    bool start_stream(progress& now);
    void give_up(progress& now, base::error_code code, const char* text);
    void leave(progress& now);
    void write_end(progress& now, std::ostream& out, cxxtools::http::Reply& reply);
    void write_answer(const progress& now, std::ostream& out, cxxtools::http::Reply& reply);
    /// For heads that the reply of cxxtools has no room for. Closes the connection and throws.
    [[noreturn]] void write_directly(const progress& now);
    void write_error(const base::error& cause, decision::outcome result, const base::request_id& id,
                     std::ostream& out, cxxtools::http::Reply& reply);
    void count(const decision::request& what, const decision::verdict& last) const;

    const callers_context& context_;
    cxxtools::net::TcpSocket* socket_ = nullptr;
    std::string body_;
    std::size_t body_left_ = 0;
    bool too_large_ = false;
};

/// Makes a responder for each request.
class caller_service final : public cxxtools::http::Service {
public:
    explicit caller_service(const callers_context& context) : context_(context) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override;
    void releaseResponder(cxxtools::http::Responder* used) override;

private:
    const callers_context& context_;
};

} // namespace bluebell::edge
