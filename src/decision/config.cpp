#include "decision/config.h"

#include <charconv>

namespace bluebell::decision {
namespace {

constexpr int address_octets = 4;

/// Parses a decimal number at the front of `text` and removes it. Returns nothing, and leaves `text` as it
/// was, if there is none, if it has leading zeros or if it exceeds `limit`.
std::optional<unsigned> consume_number(std::string_view& text, unsigned limit) {
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
    std::string_view remaining = text;
    for (int octet = 1; octet <= address_octets; ++octet) {
        const char separator = octet == address_octets ? ':' : '.';
        if (!consume_number(remaining, 255) || remaining.empty() || remaining.front() != separator) {
            return std::nullopt;
        }
        remaining.remove_prefix(1);
    }
    const std::optional<unsigned> port = consume_number(remaining, 65535);
    if (!port || *port == 0 || !remaining.empty()) {
        return std::nullopt;
    }
    return endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

} // namespace bluebell::decision
