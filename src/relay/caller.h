#pragma once

#include "base/clock.h"
#include "dispatch/catalogue.h"
#include "http/parser.h"
#include "http/socket.h"
#include "relay/poller.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::relay {

class caller;

/// Takes the requests of callers.
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    request_handler(request_handler&&) = delete;
    request_handler& operator=(request_handler&&) = delete;
    virtual ~request_handler() = default;

    /// A whole request was read. It is answered by `caller::answer`, or by `begin_answer` and what follows.
    virtual void on_request(caller& from, http::request_head head, std::string body) = 0;
    /// The caller left while its request was in progress.
    virtual void on_caller_left(caller& from) = 0;
    /// The answer had stopped for a slow caller and may go on.
    virtual void on_caller_ready(caller& /*from*/) {}
    /// Limits in force.
    [[nodiscard]] virtual dispatch::caller_limits limits() const = 0;
    /// Connections are to end with their current request.
    [[nodiscard]] virtual bool closing() const = 0;
};

/// What the connections of one loop share.
struct loop_context {
    poller& events;
    timer_queue& timers;
    const base::clock& time;
};

/// One connection of a caller. Requests on it are served one after the other.
/// Thread safety: used by the thread of its loop.
class caller final : public ready_handler, public deadline_handler {
public:
    /// Pre-condition: the references outlive the caller.
    caller(http::descriptor socket, const loop_context& loop, request_handler& handler);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;
    ~caller() override;

    /// Answers the request with a whole body.
    void answer(int status, const std::vector<http::field>& fields, std::string_view body);
    /// Starts an answer; its body is chunked unless `length` is given.
    void begin_answer(int status, const std::vector<http::field>& fields,
                      std::optional<std::uint64_t> length);
    void add(std::string_view bytes);
    void end_answer();
    /// Closes the connection; a begun answer stays visibly incomplete.
    void cut();
    /// Closes the connection unless a request is in progress or arriving.
    void close_if_idle();

    /// Since when the connection has had nothing to do; empty if it has.
    [[nodiscard]] std::optional<base::time_point> idle_since() const;
    [[nodiscard]] bool gone() const { return !socket_.open(); }
    [[nodiscard]] bool in_progress() const { return in_progress_; }
    [[nodiscard]] std::size_t unsent() const { return out_.size() - written_; }
    /// Bytes beyond which an answer is to wait for the caller.
    static constexpr std::size_t high_water = std::size_t{128} << 10U;

    void on_ready(std::uint32_t events) override;
    void on_deadline(base::time_point now) override;

private:
    void read_more();
    void take(std::string_view bytes);
    void finish_request();
    void refuse(const base::error& cause);
    void flush();
    void close_in_order();
    void watch();
    void arm_idle();
    void leave();

    http::descriptor socket_;
    const loop_context& loop_;
    request_handler& handler_;
    http::request_parser parser_;
    /// Bytes of the next requests, read while one is in progress.
    std::string pipelined_;
    std::string out_;
    std::size_t written_ = 0;
    std::uint32_t watched_ = 0;
    bool in_progress_ = false;
    bool chunked_ = false;
    bool close_after_ = false;
    bool continued_ = false;
    bool ended_ = false;
    bool was_slow_ = false;
    bool parsing_ = false;
    base::time_point last_use_;
    /// Refused; what still arrives is dropped until the caller has closed.
    bool lingering_ = false;
};

} // namespace bluebell::relay
