#include "decision/config.h"

#include <charconv>

namespace bluebell::decision {
namespace {

constexpr int address_parts = 4;

/// Takes a number of at most `limit` without leading zeros from the front of `text`.
std::optional<unsigned> take_number(std::string_view& text, unsigned limit) {
    unsigned value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::size_t digits = static_cast<std::size_t>(parsed.ptr - text.data());
    if (parsed.ec != std::errc() || value > limit || (digits > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    text.remove_prefix(digits);
    return value;
}

} // namespace

std::string to_string(const endpoint& value) {
    return value.address + ':' + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = text;
    for (int part = 1; part <= address_parts; ++part) {
        const char separator = part == address_parts ? ':' : '.';
        if (!take_number(rest, 255) || rest.empty() || rest.front() != separator) {
            return std::nullopt;
        }
        rest.remove_prefix(1);
    }
    const std::optional<unsigned> port = take_number(rest, 65535);
    if (!port || *port == 0 || !rest.empty()) {
        return std::nullopt;
    }
    return endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

} // namespace bluebell::decision
