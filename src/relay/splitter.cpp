#include "relay/splitter.h"

#include <charconv>
#include <optional>

namespace bluebell::relay {
namespace {

constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data:";

/// The fields of an event that matter for its position in the stream.
struct event_fields {
    std::optional<std::string_view> id;
    bool has_data = false;
};

event_fields parse_event(std::string_view event) {
    event_fields fields;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        fields.has_data = fields.has_data || line.substr(0, data_field.size()) == data_field;
        if (line.substr(0, id_field.size()) == id_field) {
            line.remove_prefix(id_field.size());
            while (!line.empty() && (line.front() == ' ')) {
                line.remove_prefix(1);
            }
            while (!line.empty() && (line.back() == '\r')) {
                line.remove_suffix(1);
            }
            fields.id = line;
        }
    }
    return fields;
}

std::optional<std::uint64_t> parse_number(std::string_view id) {
    std::uint64_t number = 0;
    const std::from_chars_result parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == id.data() + id.size();
    return whole ? std::optional<std::uint64_t>(number) : std::nullopt;
}

bool follows(std::string_view id, std::string_view last_id) {
    const std::optional<std::uint64_t> number = parse_number(id);
    const std::optional<std::uint64_t> last_number = parse_number(last_id);
    return number && last_number ? *number > *last_number : id != last_id;
}

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
        out_of_order_ = !record_event(std::string_view(pending_).substr(consumed, end - consumed));
        if (out_of_order_) {
            break;
        }
        consumed = end;
    }
    std::string whole = pending_.substr(0, consumed);
    pending_.erase(0, consumed);
    // The end of an event has at most four bytes; three of them may have arrived already.
    scan_start_ = pending_.size() < 3 ? 0 : pending_.size() - 3;
    return whole;
}

bool event_splitter::record_event(std::string_view event) {
    const event_fields fields = parse_event(event);
    const bool has_id = fields.id && !fields.id->empty();
    if (order_required_ && has_id && !follows(*fields.id, last_id_)) {
        return false;
    }
    if (fields.has_data) {
        ++event_count_;
    }
    if (has_id) {
        last_id_ = std::string(*fields.id);
        position_known_ = true;
    } else if (fields.has_data) {
        position_known_ = false;
    }
    return true;
}

} // namespace bluebell::relay
