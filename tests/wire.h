#pragma once

#include "http/parser.h"
#include "http/socket.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace bluebell::tests {

constexpr std::chrono::milliseconds patience(3000);

inline std::uint16_t port_of(const http::descriptor& socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline bool readable(const http::descriptor& socket, std::chrono::milliseconds timeout) {
    pollfd watched{socket.fd(), POLLIN, 0};
    return ::poll(&watched, 1, static_cast<int>(timeout.count())) > 0;
}

/// A blocking end of a connection.
class wire {
public:
    explicit wire(http::descriptor socket) : socket_(std::move(socket)) {}
    static wire to(std::uint16_t port) { return wire(std::move(*http::connect_to({"127.0.0.1", port}))); }

    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            const http::io_result put = http::write_some(socket_, bytes);
            if (put.closed) {
                return;
            }
            bytes.remove_prefix(put.bytes);
            if (put.bytes == 0) {
                pollfd watched{socket_.fd(), POLLOUT, 0};
                ::poll(&watched, 1, 100);
            }
        }
    }
    /// Reads until `done` says so, the connection ends or time is up.
    std::string read_until(const std::function<bool(const std::string&)>& done) {
        std::string all;
        while (!done(all) && readable(socket_, patience)) {
            std::array<char, 4096> buffer{};
            const http::io_result got = http::read_some(socket_, buffer.data(), buffer.size());
            all.append(buffer.data(), got.bytes);
            if (got.closed) {
                ended_ = true;
                break;
            }
        }
        return all;
    }
    std::string read_answer() {
        return read_until([](const std::string& text) {
            http::response_parser parser;
            parser.prepare_next(true);
            std::string body;
            return parser.feed(text, body).has_value() && parser.complete();
        });
    }
    std::string read_request() {
        return read_until([](const std::string& text) {
            http::request_parser parser({65536, 1U << 20U});
            return parser.feed(text).has_value() && parser.complete();
        });
    }
    std::string read_to_end() {
        return read_until([](const std::string&) { return false; });
    }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] bool has_more(std::chrono::milliseconds timeout) const {
        return readable(socket_, timeout);
    }
    void close() { socket_.close(); }
    void reset() {
        const linger now{1, 0};
        setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        socket_.close();
    }

private:
    http::descriptor socket_;
    bool ended_ = false;
};

/// A server whose answers the test writes by hand.
class fake_server {
public:
    fake_server() : listener_(std::move(*http::listen_on({"127.0.0.1", 0}))) {}
    wire accept() {
        REQUIRE(readable(listener_, patience));
        return wire(std::move(*http::accept_from(listener_)));
    }
    [[nodiscard]] bool is_called(std::chrono::milliseconds timeout) const {
        return readable(listener_, timeout);
    }
    [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }

private:
    http::descriptor listener_;
};

} // namespace bluebell::tests
