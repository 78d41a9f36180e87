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
    /// Sets the id after which the stream goes on. Pre-condition: nothing was fed.
    void start_after(const std::string& id) { last_id_ = id; }
    /// From now on, `feed` holds back an event whose id does not follow the one before, and all after it. Ids
    /// that are numbers increase, other ids differ from the one before.
    void require_order() { order_required_ = true; }
    /// Appends bytes to the stream and returns the events that they complete.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Drops what was fed but not returned, before the stream goes on from another source.
    void drop_partial() {
        pending_.clear();
        scan_start_ = 0;
        out_of_order_ = false;
    }
    /// Returns the value of the last `id` field of a complete event, or the id of `start_after`; empty if
    /// there was none.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    /// Returns true if the stream can go on after `last_id`: no event without an id followed it.
    [[nodiscard]] bool position_known() const { return position_known_; }
    /// Returns true if an event was held back since its id does not follow `last_id`.
    [[nodiscard]] bool out_of_order() const { return out_of_order_; }
    /// Returns the number of complete events with data.
    [[nodiscard]] std::uint32_t event_count() const { return event_count_; }
    /// Returns true if bytes of an incomplete event are buffered. Blank lines belong to no event.
    [[nodiscard]] bool has_partial_event() const {
        return pending_.find_first_not_of("\r\n") != std::string::npos;
    }
    /// Number of buffered bytes.
    [[nodiscard]] std::size_t partial_bytes() const { return pending_.size(); }

private:
    /// Returns false if the event is to be held back.
    bool record_event(std::string_view event);

    std::string pending_;
    /// Position in `pending_` from which the end of an event is searched.
    std::size_t scan_start_ = 0;
    std::string last_id_;
    bool position_known_ = true;
    bool order_required_ = false;
    bool out_of_order_ = false;
    std::uint32_t event_count_ = 0;
};

} // namespace bluebell::relay
