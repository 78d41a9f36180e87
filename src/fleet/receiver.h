#pragma once

#include "base/worker.h"
#include "decision/event.h"
#include "fleet/codec.h"
#include "fleet/sink.h"
#include "fleet/traffic.h"

#include <memory>
#include <string>

namespace bluebell::fleet {

/// Receives control messages over UDP, decodes them and offers them to the sink. Counts and drops datagrams
/// that cannot be decoded, and messages for which the sink has no room. Thread safety: `run` is called by one
/// thread; `interrupt` by any thread.
class receiver final : public base::worker {
public:
    /// Pre-condition: `counts` outlives the worker. `local` is an IPv4 address and port.
    receiver(decision::endpoint local, const codec& message_codec, std::unique_ptr<message_sink> sink,
             traffic& counters);

    [[nodiscard]] std::string name() const override { return "receiver"; }
    /// Throws `std::runtime_error` if the socket cannot be opened or fails.
    void run(base::stop_signal& stop) override;

private:
    void process(const std::string& bytes, const decision::endpoint& from);

    const decision::endpoint local_;
    const codec codec_;
    const std::unique_ptr<message_sink> sink_;
    traffic& counters_;
};

} // namespace bluebell::fleet
