#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "decision/command.h"
#include "fleet/codec.h"
#include "fleet/traffic.h"

#include <string>

namespace bluebell::fleet {

class udp_socket;

/// Encodes the control messages of the decider and sends them over UDP. What cannot be sent is counted and
/// dropped; control messages are repeated by their protocols.
/// Thread safety: `run` is called by one thread; `interrupt` by any.
class sender final : public base::worker {
public:
    /// Pre-condition: `datagrams` and `counts` outlive the worker.
    sender(const codec& format, base::ring<decision::datagram>& datagrams, traffic& counts);

    [[nodiscard]] std::string name() const override { return "sender"; }
    /// Throws `std::runtime_error` if no socket can be opened.
    void run(base::stop_signal& stop) override;

private:
    void send(udp_socket& socket, const decision::datagram& what);

    const codec codec_;
    base::ring<decision::datagram>& datagrams_;
    traffic& counts_;
};

} // namespace bluebell::fleet
