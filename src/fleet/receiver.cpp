#include "fleet/receiver.h"

#include "base/log.h"
#include "fleet/socket.h"

#include <stdexcept>
#include <utility>

namespace bluebell::fleet {
namespace {

/// Longest wait for a datagram, and so the longest time until a stop request is noticed.
constexpr base::duration max_receive_wait = std::chrono::milliseconds(200);

} // namespace

receiver::receiver(decision::endpoint local, const codec& message_codec, std::unique_ptr<message_sink> sink,
                   traffic& counters)
    : local_(std::move(local)), codec_(message_codec), sink_(std::move(sink)), counters_(counters) {}

void receiver::run(base::stop_signal& stop) {
    udp_socket socket(local_);
    while (!stop.requested()) {
        const base::result<std::optional<received_datagram>> received =
            socket.receive(max_datagram_bytes, max_receive_wait);
        if (!received) {
            throw std::runtime_error(received.error().location + ": " + received.error().text);
        }
        if (received->has_value()) {
            process((*received)->bytes, (*received)->from);
        }
    }
}

void receiver::process(const std::string& bytes, const decision::endpoint& from) {
    base::result<decision::envelope> decoded = codec_.decode(bytes);
    if (!decoded) {
        counters_.add_error(decoded.error().code);
        base::log_event(base::log_level::warning, "receiver", "datagram_refused",
                        {{"from", from.address},
                         {"code", base::to_string(decoded.error().code)},
                         {"bytes", bytes.size()}});
        return;
    }
    counters_.add(decoded->body.index(), bytes.size());
    if (!sink_->offer({std::move(*decoded), from})) {
        counters_.add_dropped();
    }
}

} // namespace bluebell::fleet
