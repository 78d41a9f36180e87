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

/// Told how a call goes. Called by the selector's thread; must not destroy the call.
class call_listener {
public:
    call_listener() = default;
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;
    call_listener(call_listener&&) = delete;
    call_listener& operator=(call_listener&&) = delete;
    virtual ~call_listener() = default;

    virtual void on_head(const decision::answer_head& head) = 0;
    virtual void on_body(const std::string& bytes) = 0;
    /// The whole answer was received.
    virtual void on_complete() = 0;
    /// Errors: `upstream_refused_connection` (nothing was sent), `upstream_closed_connection`,
    /// `upstream_malformed_answer`.
    virtual void on_failure(const base::error& cause) = 0;
};

/// One HTTP request on a connection of its own, driven by a selector. Its destruction closes the connection.
/// Thread safety: used by the selector's thread only.
class call final : public cxxtools::Connectable {
public:
    /// Pre-condition: `selector` and `listener` outlive the call. `request` comes from `format_request`;
    /// `expect_body` is false for HEAD.
    call(decision::endpoint to, std::string request, bool expect_body, cxxtools::SelectorBase& selector,
         call_listener& listener);
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    call(call&&) = delete;
    call& operator=(call&&) = delete;
    ~call() override = default;

    void start();
    /// Whether a byte of the request may have been put on the connection.
    [[nodiscard]] bool touched() const { return touched_; }
    /// Whether the whole request was.
    [[nodiscard]] bool sent() const { return sent_; }

private:
    void on_connected(cxxtools::net::TcpSocket& socket);
    void on_writable(cxxtools::IODevice& device);
    void on_readable(cxxtools::IODevice& device);
    void write_more();
    void read_more();
    void take(std::string_view bytes);
    void fail(base::error_code code, const std::string& text);

    static constexpr std::size_t read_size = 16384;

    const decision::endpoint to_;
    std::string request_;
    std::size_t written_ = 0;
    cxxtools::SelectorBase& selector_;
    call_listener& listener_;
    cxxtools::net::TcpSocket socket_;
    answer_parser parser_;
    std::array<char, read_size> buffer_{};
    bool head_told_ = false;
    bool touched_ = false;
    bool sent_ = false;
    bool over_ = false;
};

} // namespace bluebell::upstream
