#include "relay/splitter.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

constexpr std::string_view id_field = "id:";

/// Returns the position after the blank line that ends the event, or npos.
std::size_t find_event_end(std::string_view text, std::size_t start) {
    for (std::size_t newline = text.find('\n', start); newline != std::string_view::npos;
         newline = text.find('\n', newline + 1)) {
        if (text.substr(newline + 1, 1) == "\n") {
            return newline + 2;
        }
        if (text.substr(newline + 1, 2) == "\r\n") {
            return newline + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t consumed = 0;
    for (std::size_t end = find_event_end(pending_, scan_start_); end != std::string::npos;
         end = find_event_end(pending_, consumed)) {
        record_event(std::string_view(pending_).substr(consumed, end - consumed));
        consumed = end;
    }
    std::string whole = pending_.substr(0, consumed);
    pending_.erase(0, consumed);
    // The end of an event has at most four bytes; three of them may have arrived already.
    scan_start_ = pending_.size() < 3 ? 0 : pending_.size() - 3;
    return whole;
}

void event_splitter::record_event(std::string_view event) {
    ++event_count_;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, id_field.size()) == id_field) {
            line.remove_prefix(id_field.size());
            while (!line.empty() && (line.front() == ' ')) {
                line.remove_prefix(1);
            }
            while (!line.empty() && (line.back() == '\r')) {
                line.remove_suffix(1);
            }
            last_id_ = std::string(line);
        }
    }
}

} // namespace bluebell::relay
