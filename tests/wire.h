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

/// Longest wait for bytes or a connection.
constexpr std::chrono::milliseconds io_timeout(3000);

/// Returns the local port of a socket.
inline std::uint16_t port_of(const http::descriptor& socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Waits up to `timeout` until a socket is readable; returns whether it is.
inline bool readable(const http::descriptor& socket, std::chrono::milliseconds timeout) {
    pollfd poll_descriptor{socket.fd(), POLLIN, 0};
    return ::poll(&poll_descriptor, 1, static_cast<int>(timeout.count())) > 0;
}

/// One end of a connection, with blocking reads and writes.
class wire {
public:
    explicit wire(http::descriptor socket) : socket_(std::move(socket)) {}
    static wire to(std::uint16_t port) { return wire(std::move(*http::connect_to({"127.0.0.1", port}))); }

    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            const http::io_result sent = http::write_some(socket_, bytes);
            if (sent.closed) {
                broken_ = true;
                return;
            }
            bytes.remove_prefix(sent.bytes);
            if (sent.bytes == 0) {
                pollfd poll_descriptor{socket_.fd(), POLLOUT, 0};
                ::poll(&poll_descriptor, 1, 100);
            }
        }
    }
    /// Reads until `done` returns true for the text so far, the connection ends, or no byte arrives for
    /// `io_timeout`.
    std::string read_until(const std::function<bool(const std::string&)>& done) {
        std::string text;
        while (!done(text) && readable(socket_, io_timeout)) {
            std::array<char, 4096> buffer{};
            const http::io_result received = http::read_some(socket_, buffer.data(), buffer.size());
            text.append(buffer.data(), received.bytes);
            if (received.closed) {
                ended_ = true;
                break;
            }
        }
        return text;
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
    /// Returns true once bytes could not be sent because the peer had closed the connection.
    [[nodiscard]] bool broken() const { return broken_; }
    [[nodiscard]] bool has_more(std::chrono::milliseconds timeout) const {
        return readable(socket_, timeout);
    }
    void close() { socket_.close(); }
    /// Closes the sending side.
    void end_sending() { http::shutdown_write(socket_); }
    /// Closes the connection with a reset.
    void reset() {
        const linger reset_on_close{1, 0};
        setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        socket_.close();
    }

private:
    http::descriptor socket_;
    bool ended_ = false;
    bool broken_ = false;
};

/// A server whose answers are written by the test.
class fake_server {
public:
    fake_server() : listener_(std::move(*http::listen_on({"127.0.0.1", 0}))) {}
    wire accept() {
        REQUIRE(readable(listener_, io_timeout));
        return wire(std::move(*http::accept_from(listener_)));
    }
    /// Waits up to `timeout` for a connection; returns whether there is one.
    [[nodiscard]] bool is_called(std::chrono::milliseconds timeout) const {
        return readable(listener_, timeout);
    }
    [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }

private:
    http::descriptor listener_;
};

} // namespace bluebell::tests
