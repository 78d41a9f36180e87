#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "decision/event.h"
#include "fleet/codec.h"
#include "fleet/traffic.h"

#include <string>

namespace bluebell::fleet {

/// Receives control messages over UDP, decodes them and passes them to the decider.
/// Thread safety: `run` is called by one thread; `interrupt` by any.
class receiver final : public base::worker {
public:
    /// Pre-condition: `events` and `counts` outlive the worker. `local` is an IPv4 address and port.
    receiver(decision::endpoint local, const codec& format, base::ring<decision::event>& events,
             traffic& counts);

    [[nodiscard]] std::string name() const override { return "receiver"; }
    /// Throws `std::runtime_error` if the socket cannot be opened or fails.
    void run(base::stop_signal& stop) override;

private:
    void take(const std::string& bytes, const decision::endpoint& from);

    const decision::endpoint local_;
    const codec codec_;
    base::ring<decision::event>& events_;
    traffic& counts_;
};

} // namespace bluebell::fleet
