#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::relay {

/// Divides a stream of server-sent events into whole events and remembers the id of the last one.
/// Thread safety: used by one thread.
class event_splitter {
public:
    /// Takes bytes and returns the whole events that are complete with them.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Drops an event that has only arrived in part.
    void drop_partial() {
        pending_.clear();
        scanned_ = 0;
    }
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    [[nodiscard]] std::uint32_t events() const { return events_; }
    [[nodiscard]] bool partial() const { return !pending_.empty(); }

private:
    void note_event(std::string_view event);

    std::string pending_;
    std::size_t scanned_ = 0;
    std::string last_id_;
    std::uint32_t events_ = 0;
};

} // namespace bluebell::relay
