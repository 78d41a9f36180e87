#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"

#include <cxxtools/net/net.h>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::fleet {

/// A datagram and the address of its sender.
struct received_datagram {
    std::string bytes;
    decision::endpoint from;
};

/// UDP socket for IPv4. `cxxtools::net::UdpReceiver` does not tell the sender's address, and
/// `cxxtools::net::UdpSender` is connected to one receiver, so this class adds both calls to the descriptor
/// of `cxxtools::net::Socket`. Thread safety: used by one thread.
class udp_socket : private cxxtools::net::Socket {
public:
    /// Opens a socket on a port chosen by the system. Throws `std::runtime_error` (socket_failure) on
    /// failure.
    udp_socket();
    /// Opens a socket on `local`. Throws `std::runtime_error` (address_in_use, socket_failure) on failure.
    explicit udp_socket(const decision::endpoint& local);

    /// Returns the address that the socket is bound to, or an empty endpoint on failure; port 0 in the
    /// constructor lets the system choose one.
    [[nodiscard]] decision::endpoint local() const;

    /// Waits up to `timeout`, rounded up to milliseconds, for a datagram. Returns nothing on timeout. A
    /// datagram of more than `limit` bytes is returned with `limit` + 1 bytes. Error: `socket_failure`.
    base::result<std::optional<received_datagram>> receive(std::size_t limit, base::duration timeout);

    /// Sends a datagram without waiting. Error: `socket_failure` (also if `to` is not an IPv4 address).
    base::result<void> send(std::string_view datagram, const decision::endpoint& to);
};

} // namespace bluebell::fleet
