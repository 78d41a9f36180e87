#pragma once

#include "decision/config.h"
#include "relay/caller.h"
#include "relay/shedding.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace bluebell::relay {

/// Listens for callers and owns their connections.
/// Thread safety: used by the thread of its loop.
class server final : public ready_handler, public deadline_handler {
public:
    /// Starts to listen on `address`. Keeps at most `max_callers` connections open.
    /// Throws `base::fatal_error` if it cannot listen. Pre-condition: the references outlive the server.
    server(const decision::endpoint& address, std::size_t max_callers, const caller_context& loop,
           request_handler& handler);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;
    ~server() override;

    void on_ready(std::uint32_t events) override;
    /// Accepts pending connections, up to a fixed number per call. Does nothing while accepting is paused.
    void accept_pending();
    void on_deadline(base::time_point now) override;

    /// Destroys closed connections. To be called between two waits of the loop, not from a handler.
    void remove_closed();
    /// Closes all connections on which no request is in progress or arriving.
    void close_idle();
    /// Stops listening; existing connections stay open.
    void close();
    /// Returns true if a caller has not taken all bytes of its answers yet.
    [[nodiscard]] bool has_unsent() const;
    /// Refuses requests that are still arriving, so that about `needed` bytes are given back. Returns how
    /// many were refused. The time grows with the number of connections.
    std::size_t shed_unfinished(const shedding& decision, std::size_t needed);
    /// Closes connections whose callers have accepted no byte of their answers for `blocked_time`, those with
    /// the most unsent bytes first, until `needed` bytes are given back. Connections with up to
    /// `caller::high_water_mark` unsent bytes are left alone. Returns how many were closed.
    std::size_t cut_blocked(base::duration blocked_time, std::size_t needed);
    /// Returns true if so many connections are open that each should be closed after its current request.
    [[nodiscard]] bool nearly_full() const;

private:
    /// Closes the connections that have been idle longest, to make room for new ones. If there are none,
    /// refuses requests that arrive without progress.
    void evict_idle();
    void evict_stalled(std::size_t count);
    /// Returns the connections with a request that is still arriving, and these requests.
    void find_unfinished(std::vector<caller*>& connections, std::vector<unfinished_request>& requests) const;

    http::descriptor listener_;
    const std::size_t max_callers_;
    const caller_context& loop_;
    request_handler& handler_;
    std::vector<std::unique_ptr<caller>> callers_;
    /// Connections evicted since the last `remove_closed`; they hold no descriptor any more.
    std::size_t evicted_ = 0;
    /// Set while no connection is accepted, after the file descriptors ran out or `max_callers` was reached.
    bool accept_paused_ = false;
};

} // namespace bluebell::relay
