#include "relay/poller.h"

#include <algorithm>

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace bluebell::relay {
namespace {

constexpr int max_events_per_wait = 64;
/// Upper bound of each wait, so that a lost wake-up cannot stall the loop for longer.
constexpr base::duration max_wait = std::chrono::seconds(1);

} // namespace

poller::poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)), wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!epoll_.open() || !wakeup_.open()) {
        throw base::fatal_error({base::error_code::socket_failure, "poller", "no file descriptor is left"});
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = nullptr; // marks the wake-up descriptor
    epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, wakeup_.fd(), &event);
}

bool poller::add(const http::descriptor& descriptor, std::uint32_t events, ready_handler& handler) {
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    return epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, descriptor.fd(), &event) == 0;
}

void poller::modify(const http::descriptor& descriptor, std::uint32_t events, ready_handler& handler) {
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, descriptor.fd(), &event);
}

void poller::remove(const http::descriptor& descriptor) {
    ++removals_;
    epoll_ctl(epoll_.fd(), EPOLL_CTL_DEL, descriptor.fd(), nullptr);
}

void poller::wait(base::duration timeout) {
    const base::duration wait_time = std::clamp(timeout, base::duration::zero(), max_wait);
    const int timeout_ms = static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait_time).count());
    std::array<epoll_event, max_events_per_wait> ready_events{};
    const int count = epoll_wait(epoll_.fd(), ready_events.data(), max_events_per_wait, timeout_ms);
    more_ready_ = count == max_events_per_wait;
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = ready_events[static_cast<std::size_t>(i)];
        if (event.data.ptr == nullptr) {
            std::uint64_t wake_count = 0;
            static_cast<void>(::read(wakeup_.fd(), &wake_count, sizeof wake_count));
        } else {
            static_cast<ready_handler*>(event.data.ptr)->on_ready(event.events);
        }
    }
}

void poller::wake() {
    const std::uint64_t increment = 1;
    static_cast<void>(::write(wakeup_.fd(), &increment, sizeof increment));
}

void timer_queue::arm(deadline_handler& handler, base::time_point deadline) {
    if (handler.deadline_ == deadline) {
        return;
    }
    disarm(handler);
    handler.deadline_ = deadline;
    by_deadline_.emplace(deadline, &handler);
}

void timer_queue::disarm(deadline_handler& handler) {
    if (handler.deadline_) {
        by_deadline_.erase({*handler.deadline_, &handler});
        handler.deadline_.reset();
    }
}

std::optional<base::time_point> timer_queue::next_deadline() const {
    return by_deadline_.empty() ? std::nullopt : std::optional<base::time_point>(by_deadline_.begin()->first);
}

void timer_queue::run_expired(base::time_point now) {
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
        deadline_handler& handler = *by_deadline_.begin()->second;
        disarm(handler);
        handler.on_deadline(now);
    }
}

} // namespace bluebell::relay
