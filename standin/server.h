#pragma once

#include "base/guard.h"
#include "edge/host.h"
#include "edge/stream.h"
#include "standin/json.h"

#include <atomic>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/net/tcpsocket.h>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <thread>

namespace bluebell::standin {

/// One HTTP request at a stand-in, with its reply and socket.
struct call {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    const cxxtools::http::Request& request;
    cxxtools::http::Reply& reply;
    cxxtools::net::TcpSocket& socket;
};

/// Thrown by a handler to close the connection without writing anything more.
struct connection_closed : std::runtime_error {
    connection_closed() : std::runtime_error("connection closed") {}
};

/// Base of the stand-ins: runs an HTTP server on its own thread, applies faults and serves `/fault`.
/// Thread safety: `handle` is called by many threads at once.
class server {
public:
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;
    virtual ~server() { stop(); }

    [[nodiscard]] const decision::endpoint& address() const { return address_; }
    fault_table& faults() { return faults_; }

    /// Starts to serve; after a `stop`, on the same address as before.
    void start() {
        stopping_ = false;
        edge::host_options options;
        options.address = address_;
        options.threads = threads_;
        host_ = std::make_unique<edge::host>(options, service_);
        thread_ = std::thread([this] { host_->run(); });
    }
    /// Stops to serve. Connections are refused afterwards.
    void stop() {
        if (!thread_.joinable()) {
            return;
        }
        stopping_ = true;
        host_->exit();
        thread_.join();
        host_.reset();
    }

protected:
    /// Port 0 chooses a free one.
    server(decision::endpoint address, unsigned threads)
        : address_(std::move(address)), threads_(threads), service_(*this) {
        if (address_.port == 0) {
            address_.port = edge::free_port();
        }
    }

    /// Returns the body of the answer; sets status and header fields in `exchange.reply`.
    virtual std::string handle(call& exchange) = 0;

    [[nodiscard]] bool stopping() const { return stopping_; }

    /// Sleeps for `time`. Returns false early if the server stops or the peer closes the connection.
    bool pause(const call& exchange, base::duration time) const {
        const base::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            if (stopping_ || edge::peer_closed(exchange.socket)) {
                return false;
            }
            const base::duration left = end - std::chrono::steady_clock::now();
            std::this_thread::sleep_for(std::min(left, base::duration(pause_poll_interval)));
        }
        return true;
    }

    /// Shuts the socket down and throws `connection_closed`.
    [[noreturn]] static void close_connection(call& exchange) {
        edge::shut_down(exchange.socket);
        throw connection_closed();
    }

    /// Applies the fault for this request. Returns the byte count of a `cut`, which the caller applies.
    std::optional<std::uint64_t> apply_fault(call& exchange) {
        const std::optional<fault> next = faults_.take(exchange.body);
        if (faults_.down()) {
            close_connection(exchange);
        }
        if (!next) {
            return std::nullopt;
        }
        if (next->kind == fault_kind::silent) {
            while (pause(exchange, std::chrono::seconds(1))) {
            }
            close_connection(exchange);
        }
        if (next->kind == fault_kind::late) {
            pause(exchange, next->time);
        }
        return next->kind == fault_kind::cut ? std::optional<std::uint64_t>(next->bytes) : std::nullopt;
    }

private:
    static constexpr std::chrono::milliseconds pause_poll_interval{20};

    class responder final : public cxxtools::http::Responder {
    public:
        responder(cxxtools::http::Service& service, server& owner) : Responder(service), owner_(owner) {}
        void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                          cxxtools::http::Request& request) override {
            socket_ = &socket;
            Responder::beginRequest(socket, in, request);
        }
        void reply(std::ostream& out, cxxtools::http::Request& request,
                   cxxtools::http::Reply& reply) override {
            call exchange{request.method(), request.url(), request.qparams(), request.bodyStr(),
                          request,          reply,         *socket_};
            if (owner_.faults_.down()) {
                close_connection(exchange);
            }
            if (exchange.path == "/fault") {
                if (exchange.method == "DELETE") {
                    owner_.faults_.clear();
                } else {
                    owner_.faults_.add(parse_fault(exchange.body));
                }
                return;
            }
            out << owner_.handle(exchange);
        }

    private:
        server& owner_;
        cxxtools::net::TcpSocket* socket_ = nullptr;
    };

    class responder_factory final : public cxxtools::http::Service {
    public:
        explicit responder_factory(server& owner) : owner_(owner) {}

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
            return std::make_unique<responder>(*this, owner_).release();
        }
        void releaseResponder(cxxtools::http::Responder* finished) override {
            const std::unique_ptr<cxxtools::http::Responder> owned(finished);
        }

    private:
        server& owner_;
    };

    decision::endpoint address_;
    unsigned threads_;
    fault_table faults_;
    responder_factory service_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<edge::host> host_;
    std::thread thread_;
};

} // namespace bluebell::standin
