#include "relay/memory.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

/// Shares of the memory of the process, as divisors. At 88 MiB the account has 35 MiB and unfinished requests
/// 17 MiB, so that four of the largest (4 MiB) may arrive at the same time.
constexpr std::size_t total_numerator = 2;
constexpr std::size_t total_divisor = 5;
constexpr std::size_t unfinished_divisor = 5;
constexpr std::size_t later_divisor = 20;
constexpr std::size_t unsent_divisor = 10;
constexpr std::size_t unsent_each_divisor = 64;
/// More for one caller that reads slowly only lets the answer of its upstream end earlier.
constexpr std::size_t max_unsent_each = std::size_t{4} << 20U;

} // namespace

std::string_view to_string(held_class kind) {
    switch (kind) {
    case held_class::heads:
        return "heads";
    case held_class::unfinished_bodies:
        return "unfinished_bodies";
    case held_class::requests:
        return "requests";
    case held_class::upstream_requests:
        return "upstream_requests";
    case held_class::buffered_answers:
        return "buffered_answers";
    case held_class::later_requests:
        return "later_requests";
    case held_class::unsent_answers:
        return "unsent_answers";
    }
    return "unknown";
}

memory_limits limits_for(base::byte_count process_memory) {
    const std::size_t memory = process_memory.value();
    memory_limits limits;
    limits.total = memory / total_divisor * total_numerator;
    limits.unfinished = memory / unfinished_divisor;
    limits.later_requests = memory / later_divisor;
    limits.unsent_total = memory / unsent_divisor;
    limits.unsent_each = std::min(memory / unsent_each_divisor, max_unsent_each);
    return limits;
}

} // namespace bluebell::relay
