#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::relay {

/// Splits a stream of server-sent events into complete events and keeps the id of the last one, so that the
/// stream can be resumed after it.
/// Thread safety: used by one thread.
class event_splitter {
public:
    /// Appends bytes to the stream and returns the events that they complete.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Drops an event that has arrived only in part.
    void drop_partial() {
        pending_.clear();
        scan_start_ = 0;
    }
    /// Returns the value of the last `id` field of a complete event; empty if there was none.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    /// Returns the number of complete events.
    [[nodiscard]] std::uint32_t event_count() const { return event_count_; }
    /// Returns true if bytes of an incomplete event are buffered. Blank lines belong to no event.
    [[nodiscard]] bool has_partial_event() const {
        return pending_.find_first_not_of("\r\n") != std::string::npos;
    }
    /// Number of buffered bytes.
    [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }

private:
    void record_event(std::string_view event);

    std::string pending_;
    /// Position in `pending_` from which the end of an event is searched.
    std::size_t scan_start_ = 0;
    std::string last_id_;
    std::uint32_t event_count_ = 0;
};

} // namespace bluebell::relay
