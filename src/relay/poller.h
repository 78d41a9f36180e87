#pragma once

#include "base/clock.h"
#include "http/socket.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::relay {

/// Told when its descriptor is ready.
class ready_handler {
public:
    ready_handler() = default;
    ready_handler(const ready_handler&) = delete;
    ready_handler& operator=(const ready_handler&) = delete;
    ready_handler(ready_handler&&) = delete;
    ready_handler& operator=(ready_handler&&) = delete;
    virtual ~ready_handler() = default;

    /// `events` are those of epoll(7). Must not destroy the handler.
    virtual void on_ready(std::uint32_t events) = 0;
};

/// Waits for descriptors with epoll(7).
/// Thread safety: used by one thread, except `wake`.
class poller {
public:
    /// Throws `base::fatal_error` if no descriptor is left.
    poller();

    /// Pre-condition: `handler` outlives its registration. Returns false if the system refuses it.
    bool add(const http::descriptor& watched, std::uint32_t events, ready_handler& handler);
    void modify(const http::descriptor& watched, std::uint32_t events, ready_handler& handler);
    void remove(const http::descriptor& watched);
    /// Waits up to `timeout`, rounded up to milliseconds, and calls the handlers of what is ready.
    void wait(base::duration timeout);
    /// Ends the current or the next `wait`.
    void wake();

    /// More descriptors may be ready than the last `wait` handled.
    [[nodiscard]] bool behind() const { return behind_; }
    /// Descriptors removed since the start.
    [[nodiscard]] std::uint64_t removals() const { return removals_; }

private:
    bool behind_ = false;
    std::uint64_t removals_ = 0;
    http::descriptor epoll_;
    http::descriptor wakeup_;
};

class timer_queue;

/// Something with one deadline.
class timed {
public:
    timed() = default;
    timed(const timed&) = delete;
    timed& operator=(const timed&) = delete;
    timed(timed&&) = delete;
    timed& operator=(timed&&) = delete;
    virtual ~timed() = default;

    /// The deadline has passed; it is disarmed. Must not destroy the object.
    virtual void on_time(base::time_point now) = 0;

private:
    friend class timer_queue;
    std::optional<base::time_point> due_;
};

/// Deadlines in order.
/// Thread safety: used by one thread.
class timer_queue {
public:
    /// Sets or moves the deadline. Pre-condition: `what` is disarmed before its end.
    void arm(timed& what, base::time_point due);
    void disarm(timed& what);
    [[nodiscard]] std::optional<base::time_point> next() const;
    void run(base::time_point now);

private:
    std::set<std::pair<base::time_point, timed*>> order_;
};

} // namespace bluebell::relay
