#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"

#include <cstddef>
#include <string_view>

namespace bluebell::http {

/// Owns a file descriptor. The sockets of cxxtools wait with poll(2), whose cost grows with every open
/// connection; these are made for epoll(7).
/// Thread safety: used by one thread.
class descriptor {
public:
    descriptor() = default;
    explicit descriptor(int owned_fd) : fd_(owned_fd) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    descriptor(descriptor&& other) noexcept;
    descriptor& operator=(descriptor&& other) noexcept;
    ~descriptor() { close(); }

    void close();
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    [[nodiscard]] int fd() const { return fd_; }

private:
    int fd_ = -1;
};

/// Result of a read or write that does not wait.
struct io_result {
    std::size_t bytes = 0;
    /// The peer closed its side (read), or the connection is broken.
    bool closed = false;
    /// The connection was reset or timed out rather than closed in order.
    bool failed = false;
};

/// How a dead peer is noticed.
struct liveness_limits {
    /// Sent bytes may stay without acknowledgement for this long.
    base::duration unacknowledged_timeout = std::chrono::seconds(3);
    /// Silence after which the peer is probed, at this interval, this often.
    base::duration keepalive_idle = std::chrono::seconds(2);
    base::duration keepalive_interval = std::chrono::seconds(1);
    int keepalive_probes = 3;
};

/// Listens for TCP connections. Errors: `address_in_use`, `socket_failure`.
base::result<descriptor> listen_on(const decision::endpoint& local);
/// Takes a waiting connection; not open if there is none. Error: `socket_failure` if no descriptor is left.
base::result<descriptor> accept_from(const descriptor& listener);
/// Starts to connect. Error: `socket_failure`.
base::result<descriptor> connect_to(const decision::endpoint& to);
/// Whether a connection that was started and became writable has been made.
bool connect_succeeded(const descriptor& socket);
void set_liveness_options(const descriptor& socket, const liveness_limits& limits);

io_result read_some(const descriptor& socket, char* to, std::size_t size);
io_result write_some(const descriptor& socket, std::string_view bytes);
/// Tells the peer that nothing more is sent.
void shutdown_write(const descriptor& socket);
/// Whether the peer has closed its side and everything it sent was read.
bool peer_closed(const descriptor& socket);
/// Whether an idle connection is still open and nothing waits to be read from it.
bool is_idle(const descriptor& socket);

} // namespace bluebell::http
