#pragma once

#include "base/clock.h"
#include "dispatch/catalogue.h"
#include "http/parser.h"
#include "http/socket.h"
#include "relay/memory.h"
#include "relay/pacing.h"
#include "relay/poller.h"
#include "relay/shedding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::relay {

class caller;

/// Receives the requests and events of callers' connections. Called by the thread of the loop.
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    request_handler(request_handler&&) = delete;
    request_handler& operator=(request_handler&&) = delete;
    virtual ~request_handler() = default;

    /// Called when a request was read in full. It is to be answered with `caller::answer`, or with
    /// `begin_answer`, `append_body` and `end_answer`.
    virtual void on_request(caller& connection, http::request_head head, std::string body) = 0;
    /// Called when the caller closed its connection, or the connection failed, while a request was in
    /// progress.
    virtual void on_caller_left(caller& connection) = 0;
    /// Called once after `caller::notify_when_writable`, when the caller has taken a part of its answer.
    virtual void on_caller_writable(caller& /*connection*/) {}
    /// Called before `bytes` of a request are kept, to make room for them. May refuse or close the
    /// connection.
    virtual void make_room(caller& /*connection*/, std::size_t /*bytes*/) {}
    /// Called when a request that had not arrived in full was refused.
    virtual void on_unfinished_refused(caller& /*connection*/, base::error_code /*cause*/) {}
    /// Returns the limits in force.
    [[nodiscard]] virtual dispatch::caller_limits limits() const = 0;
    /// Returns true if connections are to be closed after their current request.
    [[nodiscard]] virtual bool closes_after_request() const = 0;
};

/// Objects that the connections of one event loop share.
struct loop_context {
    poller& event_poller;
    timer_queue& timers;
    const base::clock& clock;
};

/// Objects that the callers' connections of one event loop share.
struct caller_context : loop_context {
    memory_account& memory;
    read_pacer& pacing;
};

/// One connection of a caller. Its requests are served one at a time, in order.
/// Thread safety: used by the thread of its loop.
class caller final : public ready_handler, public deadline_handler, public paced_reader {
public:
    /// Pre-condition: the references outlive the caller.
    caller(http::descriptor socket, const caller_context& loop, request_handler& handler);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;
    ~caller() override;

    /// Sends a complete answer.
    void answer(int status, const std::vector<http::field>& fields, std::string_view body);
    /// Starts an answer. `length` is the size of the body in bytes; without it the body is chunked.
    void begin_answer(int status, const std::vector<http::field>& fields,
                      std::optional<std::uint64_t> length);
    /// Sends a part of the body of a started answer.
    void append_body(std::string_view bytes);
    /// Ends a started answer. May pass the next request to the handler before it returns.
    void end_answer();
    /// Closes the connection at once. A started answer lacks its end, so that the caller can tell that it is
    /// incomplete.
    void abort();
    /// Closes the connection unless a request is in progress or arriving.
    void close_if_idle();
    /// Refuses a request that is still arriving, and gives back what is held for it.
    /// Pre-condition: `unfinished()` is not empty.
    void shed(base::error_code cause);
    /// Makes the connection call `request_handler::on_caller_writable` once, when the caller has taken a
    /// considerable part of what is unsent now.
    void notify_when_writable();
    /// Closes the connection, whose request may be in progress, and reports that to the handler.
    void cut();

    /// Returns the time since which the connection has been idle; empty if it is closed or in use.
    [[nodiscard]] std::optional<base::time_point> idle_since() const;
    /// Returns true once the connection is closed.
    [[nodiscard]] bool closed() const { return !socket_.open(); }
    [[nodiscard]] bool request_in_progress() const { return request_in_progress_; }
    /// Returns the number of answer bytes that are buffered but not sent.
    [[nodiscard]] std::size_t unsent_bytes() const { return send_buffer_.size() - sent_bytes_; }
    /// Returns the request that is still arriving; empty if there is none.
    [[nodiscard]] std::optional<unfinished_request> unfinished(base::time_point now) const;
    /// Returns for how long the caller has accepted no byte of what is unsent; zero if nothing is.
    [[nodiscard]] base::duration blocked_for(base::time_point now) const;
    /// Unsent bytes that each connection may have, whatever others have.
    static constexpr std::size_t high_water_mark = std::size_t{128} << 10U;

    void resume_reading() override { update_epoll_interest(); }
    void on_ready(std::uint32_t events) override;
    void on_deadline(base::time_point now) override;

private:
    void read_more();
    /// Reads bytes of a request that is arriving, and defers the next read if they are costly.
    void read_request(std::string_view bytes);
    void parse(std::string_view bytes);
    /// Returns true if bytes of later requests may be read while one is in progress.
    [[nodiscard]] bool may_read_ahead() const;
    void record_progress();
    /// Charges what the buffers hold now.
    void update_charges();
    void finish_request();
    void refuse(const base::error& cause);
    void flush();
    void close_gracefully();
    void update_epoll_interest();
    void arm_idle_timer();
    void close();

    http::descriptor socket_;
    const caller_context& loop_;
    request_handler& handler_;
    const peer_address peer_;
    memory_charge head_charge_;
    memory_charge body_charge_;
    memory_charge later_charge_;
    memory_charge unsent_charge_;
    http::request_parser parser_;
    /// Bytes of later requests that were read while one is in progress.
    std::string pipelined_;
    std::string send_buffer_;
    /// Number of bytes at the front of `send_buffer_` that are sent.
    std::size_t sent_bytes_ = 0;
    std::uint32_t epoll_interest_ = 0;
    bool request_in_progress_ = false;
    bool chunked_ = false;
    bool close_after_answer_ = false;
    /// Set once `100 Continue` was sent for the current request.
    bool continue_sent_ = false;
    bool peer_closed_ = false;
    /// Unsent bytes at which the handler is notified that the caller is writable; empty if it does not wait.
    std::optional<std::size_t> writable_mark_;
    /// When the caller last accepted a byte, or when bytes began to wait for it; empty if none wait.
    std::optional<base::time_point> blocked_since_;
    /// Size of the arriving request at its last progress, and when that was.
    std::size_t progress_mark_ = 0;
    base::time_point progressed_at_;
    /// Guards against parsing from within `parse`, when a handler answers at once.
    bool parsing_ = false;
    base::time_point last_active_;
    /// Set after a refused request: further bytes are dropped until the caller closes the connection.
    bool lingering_ = false;
};

} // namespace bluebell::relay
