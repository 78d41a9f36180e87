#include "relay/poller.h"

#include <algorithm>

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace bluebell::relay {
namespace {

constexpr int events_per_wait = 64;
/// Longest wait, so that a lost wake-up cannot stall the loop.
constexpr base::duration longest_wait = std::chrono::seconds(1);

} // namespace

poller::poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)), wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!epoll_.open() || !wakeup_.open()) {
        throw base::fatal_error({base::error_code::socket_failure, "poller", "no descriptor is left"});
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = nullptr;
    epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, wakeup_.fd(), &event);
}

bool poller::add(const http::descriptor& watched, std::uint32_t events, ready_handler& handler) {
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    return epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, watched.fd(), &event) == 0;
}

void poller::modify(const http::descriptor& watched, std::uint32_t events, ready_handler& handler) {
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, watched.fd(), &event);
}

void poller::remove(const http::descriptor& watched) {
    ++removals_;
    epoll_ctl(epoll_.fd(), EPOLL_CTL_DEL, watched.fd(), nullptr);
}

void poller::wait(base::duration timeout) {
    const base::duration bounded = std::clamp(timeout, base::duration::zero(), longest_wait);
    const int ms = static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(bounded).count());
    std::array<epoll_event, events_per_wait> ready{};
    const int count = epoll_wait(epoll_.fd(), ready.data(), events_per_wait, ms);
    behind_ = count == events_per_wait;
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = ready[static_cast<std::size_t>(i)];
        if (event.data.ptr == nullptr) {
            std::uint64_t wakes = 0;
            static_cast<void>(::read(wakeup_.fd(), &wakes, sizeof wakes));
        } else {
            static_cast<ready_handler*>(event.data.ptr)->on_ready(event.events);
        }
    }
}

void poller::wake() {
    const std::uint64_t one = 1;
    static_cast<void>(::write(wakeup_.fd(), &one, sizeof one));
}

void timer_queue::arm(timed& what, base::time_point due) {
    if (what.due_ == due) {
        return;
    }
    disarm(what);
    what.due_ = due;
    order_.emplace(due, &what);
}

void timer_queue::disarm(timed& what) {
    if (what.due_) {
        order_.erase({*what.due_, &what});
        what.due_.reset();
    }
}

std::optional<base::time_point> timer_queue::next() const {
    return order_.empty() ? std::nullopt : std::optional<base::time_point>(order_.begin()->first);
}

void timer_queue::run(base::time_point now) {
    while (!order_.empty() && order_.begin()->first <= now) {
        timed& due = *order_.begin()->second;
        disarm(due);
        due.on_time(now);
    }
}

} // namespace bluebell::relay
