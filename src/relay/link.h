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
#include <utility>

namespace bluebell::relay {

class link;

/// Why a request on a link failed.
enum class link_failure {
    connect_failed,   ///< no connection was made; no byte of the request was sent
    closed,           ///< the connection was closed or reset
    malformed_answer, ///< the received bytes are not a valid HTTP answer
};

/// Receives the answer to a request on a link. Must not destroy the link.
class link_listener {
public:
    link_listener() = default;
    link_listener(const link_listener&) = delete;
    link_listener& operator=(const link_listener&) = delete;
    link_listener(link_listener&&) = delete;
    link_listener& operator=(link_listener&&) = delete;
    virtual ~link_listener() = default;

    /// Called when the last byte of the request was passed to the system, so that the link holds none of it.
    virtual void on_request_sent(link& /*connection*/) {}
    /// Called when the head of an answer was read. Returns false if the answer belongs to another request and
    /// is to be skipped.
    virtual bool on_answer_head(link& connection, const http::response_head& head) = 0;
    /// Called for each part of the body.
    virtual void on_answer_body(link& connection, std::string_view bytes) = 0;
    /// Called when the answer is complete; the link may be idle again.
    virtual void on_answer_end(link& connection) = 0;
    /// Called when the request failed; the link is closed.
    virtual void on_failure(link& connection, link_failure failure) = 0;
};

/// Time limits of a connection to an upstream.
struct link_limits {
    /// Maximum time to establish a connection.
    base::duration connect_timeout = std::chrono::milliseconds(500);
    http::liveness_limits liveness;
};

/// One persistent connection to an upstream. It carries one request at a time.
/// Thread safety: used by the thread of its loop.
class link final : public ready_handler, public deadline_handler {
public:
    /// Starts to connect; the link is `closed()` if that fails at once. Pre-condition: the references outlive
    /// the link.
    link(const dispatch::upstream_entry& target, const link_limits& limits, const loop_context& loop);
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    link(link&&) = delete;
    link& operator=(link&&) = delete;
    ~link() override;

    /// Sends a request, once the connection is established. `expect_body` is false for HEAD.
    /// Pre-condition: `idle()`, which holds for a new link too.
    void start(dispatch::session_id request, std::string bytes, bool expect_body, link_listener& listener);
    /// Closes the connection, which cancels a request at the upstream. The listener is not called.
    void close();
    /// Ends the request. Closes the link unless its answer is complete.
    void release();
    /// Pauses or resumes reading, for backpressure from a slow caller.
    void pause_reading(bool paused);
    /// Records which process of the upstream the connection leads to, by its start time in ms. It leads to no
    /// other one until it is closed.
    void set_process(std::int64_t started_ms) { process_ = started_ms; }
    /// Returns the start time of the process, in ms; empty if it is not known.
    [[nodiscard]] std::optional<std::int64_t> process() const { return process_; }
    /// Sets the time for which the upstream keeps an idle connection open.
    void set_idle_timeout(base::duration idle_timeout) { idle_timeout_ = idle_timeout; }

    /// Returns true once the connection is closed.
    [[nodiscard]] bool closed() const { return !socket_.open(); }
    /// Returns true if the link is open and has no request.
    [[nodiscard]] bool idle() const { return !closed() && !busy_; }
    /// Returns true while the connection is being established, so that nothing has been sent on it.
    [[nodiscard]] bool connecting() const { return connecting_; }
    /// Returns true if the next request may be sent on this link. `must_not_repeat` is true for requests that
    /// must not run twice; they need more certainty that the upstream has not closed the connection.
    [[nodiscard]] bool usable(bool must_not_repeat, base::time_point now) const;
    /// Returns the time that the connection took to be established, once; empty before that and afterwards.
    [[nodiscard]] std::optional<base::duration> take_connect_time() {
        return std::exchange(connect_time_, std::nullopt);
    }
    /// Returns the id of the current or the last request.
    [[nodiscard]] dispatch::session_id request() const { return request_; }
    /// Returns true if only the end of the connection marked the end of the last answer.
    [[nodiscard]] bool ended_by_close() const { return ended_by_close_; }
    /// Returns true if the current request is the first one on this connection.
    [[nodiscard]] bool first_request() const { return requests_ == 1; }
    [[nodiscard]] const base::upstream_id& upstream() const { return upstream_; }
    [[nodiscard]] const decision::endpoint& address() const { return address_; }

    void on_ready(std::uint32_t events) override;
    void on_deadline(base::time_point now) override;

private:
    void write_more();
    void read_more();
    /// Reads what arrived before the connection was reset, then ends the request. Used after a failed write,
    /// which has cleared the error that a read would report.
    void read_rest();
    void parse(std::string_view bytes);
    void finish_answer();
    void fail(link_failure failure);
    void update_epoll_interest();
    void become_idle();
    /// Counts received bytes, of which `body_bytes` are passed on. Returns false if there is no end to bytes
    /// that belong to no answer to this request.
    bool count_received(std::size_t bytes, std::size_t body_bytes);

    const base::upstream_id upstream_;
    const decision::endpoint address_;
    const link_limits& limits_;
    const loop_context& loop_;
    const base::time_point created_at_;
    std::optional<base::duration> connect_time_;
    http::descriptor socket_;
    link_listener* listener_ = nullptr;
    dispatch::session_id request_;
    /// Number of requests that were started on this connection.
    std::uint64_t requests_ = 0;
    http::response_parser parser_;
    std::string send_buffer_;
    std::string parsed_body_;
    /// Bytes of the current answer that were passed on, and other bytes received since the request was sent.
    std::size_t passed_bytes_ = 0;
    std::size_t other_bytes_ = 0;
    /// Number of bytes at the front of `send_buffer_` that are sent.
    std::size_t sent_bytes_ = 0;
    std::uint32_t epoll_interest_ = 0;
    bool connecting_ = true;
    bool busy_ = false;
    /// Set once the listener was called for the head of the current answer.
    bool head_reported_ = false;
    /// Set while the current answer belongs to another request.
    bool skipping_answer_ = false;
    /// False if the connection must be closed after the current answer.
    bool reusable_ = true;
    bool reading_paused_ = false;
    bool ended_by_close_ = false;
    std::optional<std::int64_t> process_;
    /// Idle timeout that the upstream stated, if any.
    std::optional<base::duration> idle_timeout_;
    base::time_point idle_since_;
};

} // namespace bluebell::relay
