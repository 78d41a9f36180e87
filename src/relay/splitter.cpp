#include "relay/splitter.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

constexpr std::string_view id_field = "id:";

/// Position after the blank line that ends the event, or npos.
std::size_t end_of_event(std::string_view text, std::size_t from) {
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n") {
            return at + 2;
        }
        if (text.substr(at + 1, 2) == "\r\n") {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t done = 0;
    for (std::size_t end = end_of_event(pending_, scanned_); end != std::string::npos;
         end = end_of_event(pending_, done)) {
        note_event(std::string_view(pending_).substr(done, end - done));
        done = end;
    }
    std::string whole = pending_.substr(0, done);
    pending_.erase(0, done);
    // The end of an event has at most four bytes, of which all but the last may have been seen.
    scanned_ = pending_.size() < 3 ? 0 : pending_.size() - 3;
    return whole;
}

void event_splitter::note_event(std::string_view event) {
    ++events_;
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
