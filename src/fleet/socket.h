#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"

#include <cxxtools/net/net.h>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::fleet {

struct received_datagram {
    std::string bytes;
    decision::endpoint from;
};

/// UDP socket for IPv4. `cxxtools::net::UdpReceiver` keeps the sender's address to itself and
/// `cxxtools::net::UdpSender` is connected to one receiver, so this adds the two calls that they lack to the
/// descriptor that `cxxtools::net::Socket` owns.
/// Thread safety: used by one thread.
class udp_socket : private cxxtools::net::Socket {
public:
    /// Opens a socket on a port chosen by the system. Throws `std::runtime_error` (socket_failure) on
    /// failure.
    udp_socket();
    /// Opens a socket on `local`. Throws `std::runtime_error` (address_in_use, socket_failure) on failure.
    explicit udp_socket(const decision::endpoint& local);

    /// The address that the socket is bound to; port 0 in the constructor lets the system choose one.
    [[nodiscard]] decision::endpoint local() const;

    /// Waits up to `timeout`, rounded up to milliseconds, for a datagram. Empty on timeout. A datagram of
    /// more than `limit` bytes is returned with `limit` + 1 bytes. Error: `socket_failure`.
    base::result<std::optional<received_datagram>> receive(std::size_t limit, base::duration timeout);

    /// Sends without waiting. Errors: `socket_failure` (also if `to` is not an IPv4 address).
    base::result<void> send(std::string_view datagram, const decision::endpoint& to);
};

} // namespace bluebell::fleet
