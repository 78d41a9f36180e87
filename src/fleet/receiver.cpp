#include "fleet/receiver.h"

#include "base/log.h"
#include "fleet/socket.h"

#include <stdexcept>
#include <utility>

namespace bluebell::fleet {
namespace {

/// Longest time from the request to stop until the worker notices it.
constexpr base::duration receive_wait = std::chrono::milliseconds(200);

} // namespace

receiver::receiver(decision::endpoint local, const codec& format, std::unique_ptr<message_sink> sink,
                   traffic& counts)
    : local_(std::move(local)), codec_(format), sink_(std::move(sink)), counts_(counts) {}

void receiver::run(base::stop_signal& stop) {
    udp_socket socket(local_);
    while (!stop.requested()) {
        const base::result<std::optional<received_datagram>> received =
            socket.receive(max_datagram_bytes, receive_wait);
        if (!received) {
            throw std::runtime_error(received.error().location + ": " + received.error().text);
        }
        if (received->has_value()) {
            take((*received)->bytes, (*received)->from);
        }
    }
}

void receiver::take(const std::string& bytes, const decision::endpoint& from) {
    base::result<decision::envelope> decoded = codec_.decode(bytes);
    if (!decoded) {
        counts_.add_error(decoded.error().code);
        base::log_event(base::log_level::warning, "receiver", "datagram_refused",
                        {{"from", from.address},
                         {"code", base::to_string(decoded.error().code)},
                         {"bytes", bytes.size()}});
        return;
    }
    counts_.add(decoded->body.index(), bytes.size());
    if (!sink_->offer({std::move(*decoded), from})) {
        counts_.add_dropped();
    }
}

} // namespace bluebell::fleet
