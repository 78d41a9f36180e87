#include "fleet/sender.h"

#include "base/log.h"
#include "fleet/socket.h"

namespace bluebell::fleet {
namespace {

/// Longest time from the request to stop until the worker notices it.
constexpr base::duration pop_wait = std::chrono::milliseconds(200);

} // namespace

sender::sender(const codec& format, base::ring<decision::datagram>& datagrams, traffic& counts)
    : codec_(format), datagrams_(datagrams), counts_(counts) {}

void sender::run(base::stop_signal& stop) {
    udp_socket socket;
    while (!stop.requested()) {
        if (datagrams_.closed()) {
            // `pop` on a closed ring returns at once; what is left is still sent.
            if (datagrams_.size() == 0) {
                stop.wait_for(pop_wait);
                continue;
            }
        }
        const std::optional<decision::datagram> next = datagrams_.pop(pop_wait);
        if (next) {
            send(socket, *next);
        }
    }
}

void sender::send(udp_socket& socket, const decision::datagram& what) {
    const base::result<std::vector<std::string>> parts = codec_.encode_split(what.payload);
    if (!parts) {
        counts_.add_error(parts.error().code);
        base::log_event(base::log_level::error, "sender", "message_not_encoded",
                        {{"kind", message_kind_name(what.payload.body.index())},
                         {"code", base::to_string(parts.error().code)}});
        return;
    }
    for (const std::string& part : *parts) {
        const base::result<void> sent = socket.send(part, what.to);
        if (sent) {
            counts_.add(what.payload.body.index(), part.size());
        } else {
            counts_.add_error(sent.error().code);
            base::log_event(base::log_level::warning, "sender", "datagram_not_sent",
                            {{"to", what.to.address}, {"cause", sent.error().text}});
        }
    }
}

} // namespace bluebell::fleet
