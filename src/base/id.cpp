#include "base/id.h"

#include <array>
#include <cstdio>

namespace bluebell::base {
namespace {

constexpr std::size_t hex_digits_per_word = 16;

bool parse_word(const std::string& text, std::size_t offset, std::uint64_t& word) {
    std::uint64_t parsed = 0;
    for (std::size_t i = offset; i < offset + hex_digits_per_word; ++i) {
        const char digit = text[i];
        std::uint64_t nibble = 0;
        if (digit >= '0' && digit <= '9') {
            nibble = static_cast<std::uint64_t>(digit - '0');
        } else if (digit >= 'a' && digit <= 'f') {
            nibble = static_cast<std::uint64_t>(digit - 'a') + 10;
        } else {
            return false;
        }
        parsed = (parsed << 4U) | nibble;
    }
    word = parsed;
    return true;
}

} // namespace

std::string to_hex(const uint128& value) {
    std::array<char, 2 * hex_digits_per_word + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(value.high),
                  static_cast<unsigned long long>(value.low));
    return {text.data()};
}

bool from_hex(const std::string& text, uint128& value) {
    if (text.size() != 2 * hex_digits_per_word) {
        return false;
    }
    uint128 parsed;
    if (!parse_word(text, 0, parsed.high) || !parse_word(text, hex_digits_per_word, parsed.low)) {
        return false;
    }
    value = parsed;
    return true;
}

std::ostream& operator<<(std::ostream& out, const uint128& value) {
    return out << to_hex(value);
}

} // namespace bluebell::base
