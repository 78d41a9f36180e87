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

/// One request at a stand-in.
struct call {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    const cxxtools::http::Request& request;
    cxxtools::http::Reply& reply;
    cxxtools::net::TcpSocket& socket;
};

/// Thrown to close the connection without writing anything more.
struct connection_closed : std::runtime_error {
    connection_closed() : std::runtime_error("connection closed") {}
};

/// Common part of the stand-ins: a server thread, faults, and the answer to `/fault`.
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

    /// Listens on the same address as before.
    void start() {
        stopping_ = false;
        edge::host_options options;
        options.address = address_;
        options.threads = threads_;
        host_ = std::make_unique<edge::host>(options, service_);
        thread_ = std::thread([this] { host_->run(); });
    }
    /// Connections are refused after this call.
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
    /// Port 0 picks a free one.
    server(decision::endpoint address, unsigned threads)
        : address_(std::move(address)), threads_(threads), service_(*this) {
        if (address_.port == 0) {
            address_.port = edge::free_port();
        }
    }

    /// Returns the body of the answer; status and fields go to `what.reply`.
    virtual std::string handle(call& what) = 0;

    [[nodiscard]] bool stopping() const { return stopping_; }

    /// Sleeps unless the server stops or the peer leaves; returns false in these cases.
    bool pause(const call& what, base::duration time) const {
        const base::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            if (stopping_ || edge::peer_closed(what.socket)) {
                return false;
            }
            const base::duration left = end - std::chrono::steady_clock::now();
            std::this_thread::sleep_for(std::min(left, base::duration(pause_step)));
        }
        return true;
    }

    [[noreturn]] static void close_connection(call& what) {
        edge::shut_down(what.socket);
        throw connection_closed();
    }

    /// Carries out every fault but `cut`, whose byte count is returned.
    std::optional<std::uint64_t> suffer(call& what) {
        const std::optional<fault> next = faults_.take(what.body);
        if (faults_.down()) {
            close_connection(what);
        }
        if (!next) {
            return std::nullopt;
        }
        if (next->kind == fault_kind::silent) {
            while (pause(what, std::chrono::seconds(1))) {
            }
            close_connection(what);
        }
        if (next->kind == fault_kind::late) {
            pause(what, next->time);
        }
        return next->kind == fault_kind::cut ? std::optional<std::uint64_t>(next->bytes) : std::nullopt;
    }

private:
    static constexpr std::chrono::milliseconds pause_step{20};

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
            call what{request.method(), request.url(), request.qparams(), request.bodyStr(),
                      request,          reply,         *socket_};
            if (owner_.faults_.down()) {
                close_connection(what);
            }
            if (what.path == "/fault") {
                if (what.method == "DELETE") {
                    owner_.faults_.clear();
                } else {
                    owner_.faults_.add(parse_fault(what.body));
                }
                return;
            }
            out << owner_.handle(what);
        }

    private:
        server& owner_;
        cxxtools::net::TcpSocket* socket_ = nullptr;
    };

    class responders final : public cxxtools::http::Service {
    public:
        explicit responders(server& owner) : owner_(owner) {}

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
            return std::make_unique<responder>(*this, owner_).release();
        }
        void releaseResponder(cxxtools::http::Responder* used) override {
            const std::unique_ptr<cxxtools::http::Responder> owned(used);
        }

    private:
        server& owner_;
    };

    decision::endpoint address_;
    unsigned threads_;
    fault_table faults_;
    responders service_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<edge::host> host_;
    std::thread thread_;
};

} // namespace bluebell::standin
