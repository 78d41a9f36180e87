#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "decision/command.h"
#include "fleet/codec.h"
#include "fleet/traffic.h"

#include <string>

namespace bluebell::fleet {

class udp_socket;

/// Encodes the control messages of the decider and sends them over UDP. A message that cannot be sent is
/// counted and dropped, because the protocols repeat control messages.
/// Thread safety: `run` is called by one thread; `interrupt` by any thread.
class sender final : public base::worker {
public:
    /// Pre-condition: `datagrams` and `counts` outlive the worker.
    sender(const codec& message_codec, base::ring<decision::datagram>& datagrams, traffic& counters);

    [[nodiscard]] std::string name() const override { return "sender"; }
    /// Throws `std::runtime_error` if no socket can be opened.
    void run(base::stop_signal& stop) override;

private:
    void send(udp_socket& socket, const decision::datagram& datagram);

    const codec codec_;
    base::ring<decision::datagram>& datagrams_;
    traffic& counters_;
};

} // namespace bluebell::fleet
