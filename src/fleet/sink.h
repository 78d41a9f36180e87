#pragma once

#include "base/ring.h"
#include "decision/event.h"

#include <memory>
#include <utility>

namespace bluebell::fleet {

/// Takes the messages that were received.
class message_sink {
public:
    message_sink() = default;
    message_sink(const message_sink&) = delete;
    message_sink& operator=(const message_sink&) = delete;
    message_sink(message_sink&&) = delete;
    message_sink& operator=(message_sink&&) = delete;
    virtual ~message_sink() = default;

    /// Returns false if there is no room. Does not block.
    virtual bool offer(decision::message_received what) = 0;
};

/// Passes messages on to a ring of events, one kind of which is a received message.
template <typename Event>
class ring_sink final : public message_sink {
public:
    explicit ring_sink(base::ring<Event>& events) : events_(events) {}
    bool offer(decision::message_received what) override {
        return events_.try_push(Event(std::move(what))) == base::push_result::pushed;
    }

private:
    base::ring<Event>& events_;
};

/// Pre-condition: `events` outlives the sink.
template <typename Event>
std::unique_ptr<message_sink> sink_to(base::ring<Event>& events) {
    return std::make_unique<ring_sink<Event>>(events);
}

} // namespace bluebell::fleet
