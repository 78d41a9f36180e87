#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "dispatch/event.h"
#include "http/parser.h"
#include "http/socket.h"
#include "relay/caller.h"
#include "relay/poller.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::relay {

class link;

enum class link_failure {
    unconnected, ///< no connection was made; nothing was sent
    closed,      ///< the connection was closed or reset
    garbled,     ///< bytes that are no answer
};

/// Told how a request on a link goes. Must not destroy the link.
class link_listener {
public:
    link_listener() = default;
    link_listener(const link_listener&) = delete;
    link_listener& operator=(const link_listener&) = delete;
    link_listener(link_listener&&) = delete;
    link_listener& operator=(link_listener&&) = delete;
    virtual ~link_listener() = default;

    /// The head of an answer has arrived. Returns false if it answers another request and is to be skipped.
    virtual bool on_answer_head(link& from, const http::response_head& head) = 0;
    virtual void on_answer_body(link& from, std::string_view bytes) = 0;
    virtual void on_answer_end(link& from) = 0;
    virtual void on_failure(link& from, link_failure how) = 0;
};

struct link_limits {
    /// Longest time for a connection to be made.
    base::duration connect = std::chrono::milliseconds(500);
    http::liveness_limits liveness;
};

/// One connection to an upstream. It carries one request at a time and is kept for later ones.
/// Thread safety: used by the thread of its loop.
class link final : public ready_handler, public deadline_handler {
public:
    /// Pre-condition: the references outlive the link.
    link(const dispatch::upstream_entry& to, const link_limits& limits, const loop_context& loop);
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    link(link&&) = delete;
    link& operator=(link&&) = delete;
    ~link() override;

    /// Sends a request. Pre-condition: `idle()` or just made. `expect_body` is false for HEAD.
    void start(dispatch::session_id request, std::string bytes, bool expect_body, link_listener& listener);
    /// Ends the connection; the upstream drops the request.
    void close();
    /// The request is over without its answer being read; the link closes unless the answer is complete.
    void release();
    /// Stops or resumes reading, for a caller that is slow.
    void hold(bool held);
    void keep_for(base::duration idle_timeout) { idle_timeout_ = idle_timeout; }

    [[nodiscard]] bool gone() const { return !socket_.open(); }
    [[nodiscard]] bool idle() const { return !gone() && !busy_; }
    /// Whether the next request may be sent on this idle link; `surely` for requests that must not run twice.
    [[nodiscard]] bool usable(bool surely, base::time_point now) const;
    [[nodiscard]] dispatch::session_id request() const { return request_; }
    [[nodiscard]] const base::upstream_id& upstream() const { return upstream_; }
    [[nodiscard]] const decision::endpoint& address() const { return address_; }

    void on_ready(std::uint32_t events) override;
    void on_deadline(base::time_point now) override;

private:
    void write_more();
    void read_more();
    void take(std::string_view bytes);
    void finish();
    void fail(link_failure how);
    void watch();
    void become_idle();

    const base::upstream_id upstream_;
    const decision::endpoint address_;
    const link_limits& limits_;
    const loop_context& loop_;
    http::descriptor socket_;
    link_listener* listener_ = nullptr;
    dispatch::session_id request_;
    http::response_parser parser_;
    std::string out_;
    std::string body_;
    std::size_t written_ = 0;
    std::uint32_t watched_ = 0;
    bool connecting_ = true;
    bool busy_ = false;
    bool head_told_ = false;
    bool skipping_ = false;
    bool reusable_ = true;
    bool held_ = false;
    std::optional<base::duration> idle_timeout_;
    base::time_point idle_since_;
};

} // namespace bluebell::relay
