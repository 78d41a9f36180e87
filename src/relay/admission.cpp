#include "relay/admission.h"

#include <algorithm>

namespace bluebell::relay {
namespace {

/// Largest minimum retry delay stated to callers whose requests are refused because the router is behind.
constexpr base::duration max_overload_retry_delay = std::chrono::milliseconds(500);

} // namespace

std::optional<refusal> admission::refuse(bool cheap) {
    if (!saturation_.refuses(cheap)) {
        return std::nullopt;
    }
    // Reading a request takes processor time also if it is refused: callers that return at once keep the
    // router behind.
    const base::duration delay = std::min(saturation_.lag(), max_overload_retry_delay);
    std::uniform_int_distribution<base::duration::rep> jitter(0, delay.count());
    return refusal{base::error_code::queue_full, delay + base::duration(jitter(random_))};
}

} // namespace bluebell::relay
