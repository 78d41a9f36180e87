#include "upstream/prefix.h"

namespace bluebell::upstream {
namespace {

constexpr std::uint64_t modulus = (1ULL << 61U) - 1;
constexpr std::uint64_t multiplier = 0x1b873593cc9e2d51ULL % modulus;
constexpr std::uint64_t low_half = 0xffffffffULL;

/// Returns a * b modulo 2^61 - 1. Multiplies 32-bit halves, so that no 128-bit type is needed.
std::uint64_t multiply(std::uint64_t a, std::uint64_t b) {
    const std::uint64_t a_high = a >> 32U;
    const std::uint64_t a_low = a & low_half;
    const std::uint64_t b_high = b >> 32U;
    const std::uint64_t b_low = b & low_half;
    const std::uint64_t middle = a_high * b_low + b_high * a_low; // below 2^62
    // 2^64 is congruent to 8 and 2^61 to 1.
    std::uint64_t sum = a_high * b_high * 8 + (middle >> 29U) + ((middle << 32U) & modulus);
    const std::uint64_t low = a_low * b_low;
    sum = (sum & modulus) + (sum >> 61U) + (low & modulus) + (low >> 61U);
    sum = (sum & modulus) + (sum >> 61U);
    return sum >= modulus ? sum - modulus : sum;
}

} // namespace

void delivered_prefix::add(std::string_view bytes) {
    for (const char c : bytes) {
        digest_ = multiply(digest_, multiplier) + static_cast<unsigned char>(c) + 1;
    }
    size_ += bytes.size();
}

} // namespace bluebell::upstream
