#pragma once

#include "base/ring.h"
#include "decision/event.h"

#include <memory>
#include <utility>

namespace bluebell::fleet {

/// Accepts received messages.
class message_sink {
public:
    message_sink() = default;
    message_sink(const message_sink&) = delete;
    message_sink& operator=(const message_sink&) = delete;
    message_sink(message_sink&&) = delete;
    message_sink& operator=(message_sink&&) = delete;
    virtual ~message_sink() = default;

    /// Passes on a message. Returns false if there is no room. Does not block.
    virtual bool offer(decision::message_received message) = 0;
};

/// Pushes messages into a ring of events. `Event` is constructible from `decision::message_received`.
template <typename Event>
class ring_sink final : public message_sink {
public:
    explicit ring_sink(base::ring<Event>& events) : events_(events) {}
    bool offer(decision::message_received message) override {
        return events_.try_push(Event(std::move(message))) == base::push_result::pushed;
    }

private:
    base::ring<Event>& events_;
};

/// Returns a sink that pushes messages into `events`. Pre-condition: `events` outlives the sink.
template <typename Event>
std::unique_ptr<message_sink> sink_to(base::ring<Event>& events) {
    return std::make_unique<ring_sink<Event>>(events);
}

} // namespace bluebell::fleet
