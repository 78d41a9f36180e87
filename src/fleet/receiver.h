#pragma once

#include "base/worker.h"
#include "decision/event.h"
#include "fleet/codec.h"
#include "fleet/sink.h"
#include "fleet/traffic.h"

#include <memory>
#include <string>

namespace bluebell::fleet {

/// Receives control messages over UDP, decodes them and passes them to the decider.
/// Thread safety: `run` is called by one thread; `interrupt` by any.
class receiver final : public base::worker {
public:
    /// Pre-condition: `counts` outlives the worker. `local` is an IPv4 address and port.
    receiver(decision::endpoint local, const codec& format, std::unique_ptr<message_sink> sink,
             traffic& counts);

    [[nodiscard]] std::string name() const override { return "receiver"; }
    /// Throws `std::runtime_error` if the socket cannot be opened or fails.
    void run(base::stop_signal& stop) override;

private:
    void take(const std::string& bytes, const decision::endpoint& from);

    const decision::endpoint local_;
    const codec codec_;
    const std::unique_ptr<message_sink> sink_;
    traffic& counts_;
};

} // namespace bluebell::fleet
