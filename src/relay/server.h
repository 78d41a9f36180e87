#pragma once

#include "decision/config.h"
#include "relay/caller.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace bluebell::relay {

/// Accepts callers and owns their connections.
/// Thread safety: used by the thread of its loop.
class server final : public ready_handler, public deadline_handler {
public:
    /// Throws `base::fatal_error` if it cannot listen. Pre-condition: the references outlive the server.
    server(const decision::endpoint& local, std::size_t max_callers, const loop_context& loop,
           request_handler& handler);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;
    ~server() override;

    void on_ready(std::uint32_t events) override;
    /// Accepts callers that wait for a connection, unless accepting is paused.
    void accept_waiting();
    void on_deadline(base::time_point now) override;

    /// Destroys callers that are gone. To be called between two waits of the loop.
    void reap();
    /// Closes connections on which no request is in progress.
    void close_idle();
    /// Stops accepting.
    void close();
    /// So many connections are open that those which are not needed should end.
    [[nodiscard]] bool crowded() const;

private:
    void make_room();

    http::descriptor listener_;
    const std::size_t max_callers_;
    const loop_context& loop_;
    request_handler& handler_;
    std::vector<std::unique_ptr<caller>> callers_;
    /// Callers closed since the last `reap`; they hold no descriptor any more.
    std::size_t evicted_ = 0;
    bool paused_ = false;
};

} // namespace bluebell::relay
