#include "relay/server.h"

#include "base/log.h"

#include <algorithm>
#include <optional>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

/// Connections accepted per call, so that other events are not delayed.
constexpr int accepts_per_event = 32;
/// Time without accepting after the file descriptors ran out or `max_callers` was reached.
constexpr base::duration accept_pause = std::chrono::milliseconds(50);
/// Share of `max_callers` above which connections are closed after their current answer.
constexpr double nearly_full_share = 0.6;
/// When `max_callers` is reached, up to `max_callers / eviction_divisor` idle connections are closed, longest
/// idle first.
constexpr std::size_t eviction_divisor = 8;
/// Connections that were used within this time are not evicted.
constexpr base::duration min_idle_time = std::chrono::milliseconds(100);

} // namespace

server::server(const decision::endpoint& address, std::size_t max_callers, const caller_context& loop,
               request_handler& handler)
    : max_callers_(max_callers), loop_(loop), handler_(handler) {
    base::result<http::descriptor> listener = http::listen_on(address);
    if (!listener) {
        throw base::fatal_error(listener.error());
    }
    listener_ = std::move(*listener);
    loop_.event_poller.add(listener_, EPOLLIN, *this);
}

server::~server() {
    close();
}

void server::close() {
    loop_.timers.disarm(*this);
    if (listener_.open()) {
        loop_.event_poller.remove(listener_);
        listener_.close();
    }
}

bool server::nearly_full() const {
    return static_cast<double>(callers_.size() - evicted_) >
           static_cast<double>(max_callers_) * nearly_full_share;
}

bool server::has_unsent() const {
    return std::any_of(callers_.begin(), callers_.end(), [](const std::unique_ptr<caller>& connection) {
        return !connection->closed() && connection->unsent_bytes() > 0;
    });
}

void server::find_unfinished(std::vector<caller*>& connections,
                             std::vector<unfinished_request>& requests) const {
    const base::time_point now = loop_.clock.now();
    for (const std::unique_ptr<caller>& connection : callers_) {
        if (const std::optional<unfinished_request> request = connection->unfinished(now)) {
            connections.push_back(connection.get());
            requests.push_back(*request);
        }
    }
}

std::size_t server::shed_unfinished(const shedding& decision, std::size_t needed) {
    std::vector<caller*> connections;
    std::vector<unfinished_request> requests;
    find_unfinished(connections, requests);
    const std::vector<std::size_t> chosen = decision.choose(requests, needed);
    for (const std::size_t index : chosen) {
        connections[index]->shed(base::error_code::memory_full);
    }
    return chosen.size();
}

std::size_t server::cut_blocked(base::duration blocked_time, std::size_t needed) {
    const base::time_point now = loop_.clock.now();
    std::vector<std::pair<std::size_t, caller*>> blocked;
    for (const std::unique_ptr<caller>& connection : callers_) {
        if (!connection->closed() && connection->unsent_bytes() > caller::high_water_mark &&
            connection->blocked_for(now) >= blocked_time) {
            blocked.emplace_back(connection->unsent_bytes(), connection.get());
        }
    }
    std::sort(blocked.rbegin(), blocked.rend());
    std::size_t closed = 0;
    std::size_t freed = 0;
    for (const auto& [bytes, connection] : blocked) {
        if (freed >= needed) {
            break;
        }
        freed += bytes;
        ++closed;
        connection->cut();
    }
    return closed;
}

void server::evict_stalled(std::size_t count) {
    std::vector<caller*> connections;
    std::vector<unfinished_request> requests;
    find_unfinished(connections, requests);
    const std::vector<std::size_t> chosen = shedding::choose_stalled(requests, count);
    for (const std::size_t index : chosen) {
        if (connections[index]->unsent_bytes() > 0) {
            continue; // it still takes the answer to an earlier request
        }
        connections[index]->cut();
        ++evicted_;
    }
    if (!chosen.empty()) {
        base::log_event(base::log_level::warning, "server", "stalled_callers_closed",
                        {{"closed", chosen.size()}});
    }
}

void server::evict_idle() {
    const base::time_point now = loop_.clock.now();
    std::vector<std::pair<base::time_point, caller*>> idle_callers;
    for (const std::unique_ptr<caller>& connection : callers_) {
        const std::optional<base::time_point> idle_since = connection->idle_since();
        if (idle_since && now - *idle_since >= min_idle_time) {
            idle_callers.emplace_back(*idle_since, connection.get());
        }
    }
    std::sort(idle_callers.begin(), idle_callers.end());
    idle_callers.resize(std::min(idle_callers.size(), max_callers_ / eviction_divisor));
    for (const auto& [idle_since, connection] : idle_callers) {
        connection->close_if_idle();
        ++evicted_;
    }
    if (idle_callers.empty()) {
        return evict_stalled(max_callers_ / eviction_divisor);
    }
    base::log_event(base::log_level::warning, "server", "idle_callers_closed",
                    {{"closed", idle_callers.size()}});
}

void server::on_ready(std::uint32_t /*events*/) {
    accept_pending();
}

void server::accept_pending() {
    if (accept_paused_) {
        return;
    }
    for (int i = 0; i < accepts_per_event && listener_.open(); ++i) {
        if (callers_.size() - evicted_ >= max_callers_) {
            evict_idle();
        }
        base::result<http::descriptor> socket =
            callers_.size() - evicted_ < max_callers_
                ? http::accept_from(listener_)
                : base::failure(base::error_code::socket_failure, "accept", "too many connections");
        if (!socket) {
            base::log_event(base::log_level::warning, "server", "accept_paused",
                            {{"callers", callers_.size()}, {"cause", socket.error().text}});
            loop_.event_poller.modify(listener_, 0, *this);
            accept_paused_ = true;
            loop_.timers.arm(*this, loop_.clock.now() + accept_pause);
            return;
        }
        if (!socket->open()) {
            return;
        }
        callers_.push_back(std::make_unique<caller>(std::move(*socket), loop_, handler_));
    }
}

void server::on_deadline(base::time_point /*now*/) {
    if (accept_paused_ && listener_.open()) {
        accept_paused_ = false;
        loop_.event_poller.modify(listener_, EPOLLIN, *this);
    }
}

void server::remove_closed() {
    evicted_ = 0;
    callers_.erase(
        std::remove_if(callers_.begin(), callers_.end(),
                       [](const std::unique_ptr<caller>& connection) { return connection->closed(); }),
        callers_.end());
}

void server::close_idle() {
    for (const std::unique_ptr<caller>& connection : callers_) {
        connection->close_if_idle();
    }
}

} // namespace bluebell::relay
