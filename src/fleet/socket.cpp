#include "fleet/socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>

namespace bluebell::fleet {
namespace {

bool to_socket_address(const decision::endpoint& endpoint, sockaddr_in& address) {
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    return inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1;
}

decision::endpoint to_endpoint(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

std::string describe(base::error_code code, const decision::endpoint& endpoint) {
    const int cause = errno;
    return std::string(base::to_string(code)) + ": " + endpoint.address + ":" +
           std::to_string(endpoint.port) + ": " + std::strerror(cause);
}

} // namespace

udp_socket::udp_socket() : cxxtools::net::Socket(AF_INET, SOCK_DGRAM, 0) {}

udp_socket::udp_socket(const decision::endpoint& local) : udp_socket() {
    sockaddr_in address{};
    if (!to_socket_address(local, address)) {
        errno = EINVAL;
        throw std::runtime_error(describe(base::error_code::socket_failure, local));
    }
    if (::bind(getFd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const bool in_use = errno == EADDRINUSE;
        throw std::runtime_error(
            describe(in_use ? base::error_code::address_in_use : base::error_code::socket_failure, local));
    }
}

decision::endpoint udp_socket::local() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(getFd(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return {};
    }
    return to_endpoint(address);
}

base::result<std::optional<received_datagram>> udp_socket::receive(std::size_t limit,
                                                                   base::duration timeout) {
    const auto timeout_ms = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    pollfd descriptor{getFd(), POLLIN, 0};
    const int ready = ::poll(&descriptor, 1, static_cast<int>(timeout_ms.count()));
    if (ready == 0 || (ready < 0 && errno == EINTR)) {
        return std::optional<received_datagram>();
    }
    std::string bytes(limit + 1, '\0');
    sockaddr_in address{};
    socklen_t address_size = sizeof address;
    const ssize_t size = ready < 0 ? -1
                                   : ::recvfrom(getFd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                                reinterpret_cast<sockaddr*>(&address), &address_size);
    if (size < 0) {
        // The system may discard a datagram with a bad checksum between poll and recvfrom.
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
            return std::optional<received_datagram>();
        }
        return base::failure(base::error_code::socket_failure, "recvfrom", std::strerror(errno));
    }
    bytes.resize(static_cast<std::size_t>(size));
    return std::make_optional(received_datagram{std::move(bytes), to_endpoint(address)});
}

base::result<void> udp_socket::send(std::string_view datagram, const decision::endpoint& to) {
    sockaddr_in address{};
    if (!to_socket_address(to, address)) {
        return base::failure(base::error_code::socket_failure, to.address, "not an IPv4 address");
    }
    const ssize_t size = ::sendto(getFd(), datagram.data(), datagram.size(), MSG_DONTWAIT,
                                  reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (size < 0) {
        return base::failure(base::error_code::socket_failure, to.address, std::strerror(errno));
    }
    return {};
}

} // namespace bluebell::fleet
