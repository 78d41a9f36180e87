#include "http/socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bluebell::http {
namespace {

/// Pending connections of a listener; many callers reconnect at the same time after an outage.
constexpr int listen_backlog = 1024;

template <typename Value>
void set_option(const descriptor& socket, int level, int name, Value value) {
    // Errors are ignored: without the option a dead peer is only detected later.
    static_cast<void>(setsockopt(socket.fd(), level, name, &value, sizeof value));
}

/// Makes an error from errno.
base::error system_error(base::error_code code, const decision::endpoint& peer) {
    return {code, decision::to_string(peer), std::strerror(errno)};
}

/// Returns false if `from` is not an IPv4 address.
bool to_sockaddr(const decision::endpoint& from, sockaddr_in& to) {
    to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(from.port);
    return inet_pton(AF_INET, from.address.c_str(), &to.sin_addr) == 1;
}

} // namespace

descriptor::descriptor(descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

descriptor& descriptor::operator=(descriptor&& other) noexcept {
    if (this != &other) {
        close();
        fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
}

void descriptor::close() {
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

base::result<descriptor> listen_on(const decision::endpoint& local) {
    sockaddr_in address{};
    if (!to_sockaddr(local, address)) {
        return base::failure(base::error_code::socket_failure, local.address, "not an IPv4 address");
    }
    descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.open()) {
        return tl::unexpected<base::error>(system_error(base::error_code::socket_failure, local));
    }
    set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(socket.fd(), listen_backlog) != 0) {
        return tl::unexpected<base::error>(system_error(
            errno == EADDRINUSE ? base::error_code::address_in_use : base::error_code::socket_failure,
            local));
    }
    return socket;
}

base::result<descriptor> accept_from(const descriptor& listener) {
    descriptor socket(accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.open()) {
        set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
        return socket;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        return base::failure(base::error_code::socket_failure, "accept", std::strerror(errno));
    }
    return descriptor();
}

base::result<descriptor> connect_to(const decision::endpoint& remote) {
    sockaddr_in address{};
    if (!to_sockaddr(remote, address)) {
        return base::failure(base::error_code::socket_failure, remote.address, "not an IPv4 address");
    }
    descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.open()) {
        return tl::unexpected<base::error>(system_error(base::error_code::socket_failure, remote));
    }
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        return tl::unexpected<base::error>(system_error(base::error_code::socket_failure, remote));
    }
    return socket;
}

bool connect_succeeded(const descriptor& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

void set_liveness_options(const descriptor& socket, const liveness_limits& limits) {
    const auto seconds = [](base::duration value) {
        return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(value).count());
    };
    const auto unacknowledged_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(limits.unacknowledged_timeout).count();
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(unacknowledged_ms));
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds(limits.keepalive_idle));
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds(limits.keepalive_interval));
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, limits.keepalive_probes);
}

io_result read_some(const descriptor& socket, char* buffer, std::size_t size) {
    const ssize_t count = recv(socket.fd(), buffer, size, 0);
    if (count > 0) {
        return {static_cast<std::size_t>(count), false, false};
    }
    if (count == 0) {
        return {0, true, false};
    }
    const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return {0, !would_block, !would_block};
}

io_result write_some(const descriptor& socket, std::string_view bytes) {
    const ssize_t count = send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count >= 0) {
        return {static_cast<std::size_t>(count), false, false};
    }
    const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    // Linux reports EPIPE for a reset that follows the peer's orderly close (tcp_reset in CLOSE_WAIT).
    return {0, !would_block, !would_block && errno != EPIPE};
}

void shutdown_write(const descriptor& socket) {
    shutdown(socket.fd(), SHUT_WR);
}

bool peer_closed(const descriptor& socket) {
    char byte = 0;
    const ssize_t count = recv(socket.fd(), &byte, 1, MSG_PEEK);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::uint32_t peer_ipv4(const descriptor& socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const bool known = getpeername(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
                       address.sin_family == AF_INET;
    return known ? ntohl(address.sin_addr.s_addr) : 0;
}

bool is_idle(const descriptor& socket) {
    char byte = 0;
    const ssize_t count = recv(socket.fd(), &byte, 1, MSG_PEEK);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace bluebell::http
