#pragma once

#include "base/clock.h"
#include "http/socket.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::relay {

/// Handles the events of a file descriptor.
class ready_handler {
public:
    ready_handler() = default;
    ready_handler(const ready_handler&) = delete;
    ready_handler& operator=(const ready_handler&) = delete;
    ready_handler(ready_handler&&) = delete;
    ready_handler& operator=(ready_handler&&) = delete;
    virtual ~ready_handler() = default;

    /// Called when the descriptor is ready. `events` is the event mask of epoll(7). Must not destroy the
    /// handler.
    virtual void on_ready(std::uint32_t events) = 0;
};

/// Event loop primitive: waits for file descriptors with epoll(7).
/// Thread safety: used by one thread, except `wake`.
class poller {
public:
    /// Throws `base::fatal_error` if the process is out of file descriptors.
    poller();

    /// Registers a descriptor. Returns false if the system refuses it.
    /// Pre-condition: `handler` outlives the registration.
    bool add(const http::descriptor& descriptor, std::uint32_t events, ready_handler& handler);
    /// Changes the events of a registered descriptor.
    void modify(const http::descriptor& descriptor, std::uint32_t events, ready_handler& handler);
    /// Removes the registration of a descriptor that is still open.
    void remove(const http::descriptor& descriptor);
    /// Blocks up to `timeout`, rounded up to milliseconds and at most 1 s, and calls the handlers of the
    /// descriptors that are ready.
    void wait(base::duration timeout);
    /// Makes the current or the next `wait` return. May be called from any thread.
    void wake();

    /// Returns true if more descriptors may be ready than the last `wait` handled.
    [[nodiscard]] bool more_ready() const { return more_ready_; }
    /// Returns the number of descriptors removed since the start.
    [[nodiscard]] std::uint64_t removals() const { return removals_; }

private:
    bool more_ready_ = false;
    std::uint64_t removals_ = 0;
    http::descriptor epoll_;
    http::descriptor wakeup_;
};

class timer_queue;

/// Handles one deadline. Armed and disarmed by a `timer_queue`.
class deadline_handler {
public:
    deadline_handler() = default;
    deadline_handler(const deadline_handler&) = delete;
    deadline_handler& operator=(const deadline_handler&) = delete;
    deadline_handler(deadline_handler&&) = delete;
    deadline_handler& operator=(deadline_handler&&) = delete;
    virtual ~deadline_handler() = default;

    /// Called when the deadline has passed, after it was disarmed. Must not destroy the handler.
    virtual void on_deadline(base::time_point now) = 0;

private:
    friend class timer_queue;
    std::optional<base::time_point> deadline_;
};

/// Queue of deadlines, ordered by time.
/// Thread safety: used by one thread.
class timer_queue {
public:
    /// Sets or moves the deadline of a handler. Pre-condition: the handler is disarmed before it is
    /// destroyed.
    void arm(deadline_handler& handler, base::time_point deadline);
    /// Clears the deadline of a handler, if it has one.
    void disarm(deadline_handler& handler);
    /// Returns the earliest deadline; empty if none is set.
    [[nodiscard]] std::optional<base::time_point> next_deadline() const;
    /// Calls the handlers whose deadline is not after `now`.
    void run_expired(base::time_point now);

private:
    std::set<std::pair<base::time_point, deadline_handler*>> by_deadline_;
};

} // namespace bluebell::relay
