#include "relay/server.h"

#include "base/log.h"

#include <algorithm>
#include <optional>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

/// Connections accepted before other events get their turn.
constexpr int accepts_per_event = 32;
/// Pause of accepting when no descriptor is left.
constexpr base::duration accept_pause = std::chrono::milliseconds(50);
/// Part of the allowed connections from which on they end with their current answer.
constexpr double crowded_share = 0.6;
/// Part of the allowed connections that is closed at once, longest idle first, when none is left.
constexpr std::size_t eviction_part = 8;
/// A connection that was used within this time is not closed to make room.
constexpr base::duration least_idle = std::chrono::milliseconds(100);

} // namespace

server::server(const decision::endpoint& local, std::size_t max_callers, const loop_context& loop,
               request_handler& handler)
    : max_callers_(max_callers), loop_(loop), handler_(handler) {
    base::result<http::descriptor> listener = http::listen_on(local);
    if (!listener) {
        throw base::fatal_error(listener.error());
    }
    listener_ = std::move(*listener);
    loop_.events.add(listener_, EPOLLIN, *this);
}

server::~server() {
    close();
}

void server::close() {
    loop_.timers.disarm(*this);
    if (listener_.open()) {
        loop_.events.remove(listener_);
        listener_.close();
    }
}

bool server::crowded() const {
    return static_cast<double>(callers_.size() - evicted_) >
           static_cast<double>(max_callers_) * crowded_share;
}

void server::make_room() {
    const base::time_point now = loop_.time.now();
    std::vector<std::pair<base::time_point, caller*>> idle;
    for (const std::unique_ptr<caller>& each : callers_) {
        const std::optional<base::time_point> since = each->idle_since();
        if (since && now - *since >= least_idle) {
            idle.emplace_back(*since, each.get());
        }
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(std::min(idle.size(), max_callers_ / eviction_part));
    for (const auto& [since, each] : idle) {
        each->close_if_idle();
        ++evicted_;
    }
    base::log_event(base::log_level::warning, "server", "idle_callers_closed", {{"closed", idle.size()}});
}

void server::on_ready(std::uint32_t /*events*/) {
    accept_waiting();
}

void server::accept_waiting() {
    if (paused_) {
        return;
    }
    for (int i = 0; i < accepts_per_event && listener_.open(); ++i) {
        if (callers_.size() - evicted_ >= max_callers_) {
            make_room();
        }
        base::result<http::descriptor> socket =
            callers_.size() - evicted_ < max_callers_
                ? http::accept_from(listener_)
                : base::failure(base::error_code::socket_failure, "accept", "too many connections");
        if (!socket) {
            base::log_event(base::log_level::warning, "server", "accept_paused",
                            {{"callers", callers_.size()}, {"cause", socket.error().text}});
            loop_.events.modify(listener_, 0, *this);
            paused_ = true;
            loop_.timers.arm(*this, loop_.time.now() + accept_pause);
            return;
        }
        if (!socket->open()) {
            return;
        }
        callers_.push_back(std::make_unique<caller>(std::move(*socket), loop_, handler_));
    }
}

void server::on_deadline(base::time_point /*now*/) {
    if (paused_ && listener_.open()) {
        paused_ = false;
        loop_.events.modify(listener_, EPOLLIN, *this);
    }
}

void server::reap() {
    evicted_ = 0;
    callers_.erase(std::remove_if(callers_.begin(), callers_.end(),
                                  [](const std::unique_ptr<caller>& each) { return each->gone(); }),
                   callers_.end());
}

void server::close_idle() {
    for (const std::unique_ptr<caller>& each : callers_) {
        each->close_if_idle();
    }
}

} // namespace bluebell::relay
