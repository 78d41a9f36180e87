#include "fleet/sender.h"

#include "base/log.h"
#include "fleet/socket.h"

namespace bluebell::fleet {
namespace {

/// Longest wait for a datagram, and so the longest time until a stop request is noticed.
constexpr base::duration max_pop_wait = std::chrono::milliseconds(200);

} // namespace

sender::sender(const codec& message_codec, base::ring<decision::datagram>& datagrams, traffic& counters)
    : codec_(message_codec), datagrams_(datagrams), counters_(counters) {}

void sender::run(base::stop_signal& stop) {
    udp_socket socket;
    while (!stop.requested()) {
        if (datagrams_.closed()) {
            // `pop` on a closed ring returns at once, so wait here when it is empty. Remaining datagrams are
            // still sent.
            if (datagrams_.size() == 0) {
                stop.wait_for(max_pop_wait);
                continue;
            }
        }
        const std::optional<decision::datagram> datagram = datagrams_.pop(max_pop_wait);
        if (datagram) {
            send(socket, *datagram);
        }
    }
}

void sender::send(udp_socket& socket, const decision::datagram& datagram) {
    const base::result<std::vector<std::string>> parts = codec_.encode_split(datagram.payload);
    if (!parts) {
        counters_.add_error(parts.error().code);
        base::log_event(base::log_level::error, "sender", "message_not_encoded",
                        {{"kind", message_kind_name(datagram.payload.body.index())},
                         {"code", base::to_string(parts.error().code)}});
        return;
    }
    for (const std::string& part : *parts) {
        const base::result<void> result = socket.send(part, datagram.to);
        if (result) {
            counters_.add(datagram.payload.body.index(), part.size());
        } else {
            counters_.add_error(result.error().code);
            base::log_event(base::log_level::warning, "sender", "datagram_not_sent",
                            {{"to", datagram.to.address}, {"cause", result.error().text}});
        }
    }
}

} // namespace bluebell::fleet
