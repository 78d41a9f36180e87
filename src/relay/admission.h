#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "relay/concurrency.h"
#include "relay/saturation.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace bluebell::relay {

/// A refusal of a request that no upstream has got.
struct refusal {
    base::error_code cause = base::error_code::queue_full;
    /// Time after which the caller may retry.
    base::duration retry_after{};
};

/// Decides which requests the relay refuses by itself, before the dispatcher hears of them.
/// Thread safety: used by one thread.
class admission {
public:
    explicit admission(std::uint64_t seed) : random_(seed) {}

    /// Records the result of a wait of the event loop, as `saturation::update`, and the number of requests in
    /// progress.
    void update(bool behind, std::size_t in_progress, base::time_point now);
    /// Decides on a request that was read, with `in_progress` others. `cheap` is true for requests that cost
    /// little; `share` is the share of its account's requests that are admitted, one for such requests.
    [[nodiscard]] std::optional<refusal> refuse(bool cheap, double share, std::size_t in_progress);
    [[nodiscard]] const saturation& loop_saturation() const { return saturation_; }

private:
    [[nodiscard]] base::duration share_retry_delay(double share);

    saturation saturation_;
    concurrency_limit concurrency_;
    std::mt19937_64 random_;
};

} // namespace bluebell::relay
