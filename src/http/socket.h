#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bluebell::http {

/// Owns a file descriptor and closes it on destruction. Meant for epoll(7): the sockets of cxxtools wait with
/// poll(2), whose cost grows with the number of open connections.
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

    /// Closes the file descriptor; does nothing if it is closed already.
    void close();
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    /// Returns the file descriptor, or -1 if it is closed. Keeps the ownership.
    [[nodiscard]] int fd() const { return fd_; }

private:
    int fd_ = -1;
};

/// Result of a non-blocking read or write.
struct io_result {
    /// Number of bytes that were read or written; 0 without `closed` if the operation would block.
    std::size_t bytes = 0;
    /// Set if the peer closed its side (read) or the connection is broken (read and write).
    bool closed = false;
    /// Set if the connection was reset or timed out instead of being closed by the peer.
    bool failed = false;
};

/// TCP options that bound the time until a dead peer is detected.
struct liveness_limits {
    /// The connection fails if sent bytes stay unacknowledged for longer (TCP_USER_TIMEOUT).
    base::duration unacknowledged_timeout = std::chrono::seconds(3);
    /// Idle time before the first keep-alive probe, rounded up to seconds.
    base::duration keepalive_idle = std::chrono::seconds(2);
    /// Time between two keep-alive probes, rounded up to seconds.
    base::duration keepalive_interval = std::chrono::seconds(1);
    /// Number of unanswered keep-alive probes after which the connection fails.
    int keepalive_probes = 3;
};

/// Creates a non-blocking socket that listens for TCP connections on `local`.
/// Errors: `address_in_use`; `socket_failure`, also if `local` is not an IPv4 address.
base::result<descriptor> listen_on(const decision::endpoint& local);
/// Accepts one pending connection without blocking. Returns a closed descriptor if none is pending.
/// Error: `socket_failure` if the process or the system is out of descriptors or memory.
base::result<descriptor> accept_from(const descriptor& listener);
/// Starts a non-blocking connect. The socket becomes writable when the attempt ends; `connect_succeeded` then
/// returns its result. Error: `socket_failure`, also if `remote` is not an IPv4 address.
base::result<descriptor> connect_to(const decision::endpoint& remote);
/// Returns true if the connect that was started with `connect_to` succeeded. Pre-condition: the socket is
/// writable.
bool connect_succeeded(const descriptor& socket);
/// Sets the options of `limits` on a TCP socket. An option that the system refuses is ignored.
void set_liveness_options(const descriptor& socket, const liveness_limits& limits);

/// Reads up to `size` bytes into `buffer` without blocking.
io_result read_some(const descriptor& socket, char* buffer, std::size_t size);
/// Writes as many of `bytes` as the socket accepts without blocking. Does not raise SIGPIPE.
io_result write_some(const descriptor& socket, std::string_view bytes);
/// Closes the sending side of the connection.
void shutdown_write(const descriptor& socket);
/// Returns true if the connection is broken, or the peer closed its side and all received bytes were read.
bool peer_closed(const descriptor& socket);
/// Returns the IPv4 address of the peer in host byte order; 0 if the socket is not connected.
std::uint32_t peer_ipv4(const descriptor& socket);
/// Returns true if the connection is open and has no unread bytes, so that a request may be sent on it.
bool is_idle(const descriptor& socket);

} // namespace bluebell::http
