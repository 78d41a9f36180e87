#pragma once

#include "base/error.h"
#include "decision/config.h"
#include "upstream/wire.h"

#include <array>
#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>
#include <optional>
#include <string>

namespace bluebell::upstream {

/// Receives the answer or the failure of a call. The methods are called by the selector's thread and must not
/// destroy the call.
class call_listener {
public:
    call_listener() = default;
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;
    call_listener(call_listener&&) = delete;
    call_listener& operator=(call_listener&&) = delete;
    virtual ~call_listener() = default;

    /// Called once, before `on_body`.
    virtual void on_head(const decision::answer_head& head) = 0;
    /// Receives the next bytes of the body, without transfer coding.
    virtual void on_body(const std::string& bytes) = 0;
    /// Called when the whole answer was received. No other call follows.
    virtual void on_complete() = 0;
    /// Called when the call failed. No other call follows. Errors: `upstream_refused_connection` (nothing was
    /// sent), `upstream_closed_connection`, `upstream_malformed_answer`.
    virtual void on_failure(const base::error& cause) = 0;
};

/// Sends one HTTP request on a connection of its own and parses the answer. Driven by a selector; the
/// destructor closes the connection.
/// Thread safety: used by the selector's thread only.
class call final : public cxxtools::Connectable {
public:
    /// Pre-condition: `selector` and `listener` outlive the call. `request` comes from `format_request`;
    /// `expect_body` is false for HEAD.
    call(decision::endpoint address, std::string request, bool expect_body, cxxtools::SelectorBase& selector,
         call_listener& listener);
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    call(call&&) = delete;
    call& operator=(call&&) = delete;
    ~call() override = default;

    /// Starts to connect. Pre-condition: not called before.
    void start();
    /// Returns whether any byte of the request may have been sent.
    [[nodiscard]] bool request_started() const { return request_started_; }
    /// Returns whether the whole request was passed to the operating system.
    [[nodiscard]] bool request_sent() const { return request_sent_; }

private:
    void on_connected(cxxtools::net::TcpSocket& socket);
    void on_writable(cxxtools::IODevice& device);
    void on_readable(cxxtools::IODevice& device);
    void write_more();
    void read_more();
    void parse(std::string_view bytes);
    void fail(base::error_code code, const std::string& text);

    static constexpr std::size_t read_size = 16384;

    const decision::endpoint address_;
    std::string request_;
    std::size_t written_ = 0;
    cxxtools::SelectorBase& selector_;
    call_listener& listener_;
    cxxtools::net::TcpSocket socket_;
    answer_parser parser_;
    std::array<char, read_size> buffer_{};
    bool head_reported_ = false;
    bool request_started_ = false;
    bool request_sent_ = false;
    bool finished_ = false;
};

} // namespace bluebell::upstream
