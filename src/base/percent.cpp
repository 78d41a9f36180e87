#include "base/percent.h"

#include <cctype>

namespace bluebell::base {

std::string percent_encode(std::string_view text, std::string_view kept) {
    constexpr const char* digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-_.~";
    std::string encoded;
    for (const char c : text) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || unreserved.find(c) != std::string_view::npos ||
            kept.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
    return encoded;
}

} // namespace bluebell::base
