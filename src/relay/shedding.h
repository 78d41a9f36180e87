#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bluebell::relay {

/// Network address of a caller, without its port.
enum class peer_address : std::uint32_t {};

/// A request that is still arriving.
struct unfinished_request {
    peer_address peer{};
    /// Bytes held for it.
    std::size_t bytes = 0;
    /// Time since it last grew by a considerable part (`shedding::progress_bytes`).
    base::duration without_progress{};
};

/// Decides which requests that are still arriving are refused, if their bytes are needed. It answers a crowd
/// of callers whose bodies stop short of their end, or arrive faster than requests end (60 bodies of 4 MB at
/// a router with 88 MB).
///
/// A request without progress goes before one with progress. Within both groups the one goes first whose size
/// times the number of unfinished requests of its caller is the largest. Small requests do not go as long as
/// all of them together hold no more than a reserve, so that a crowd of large ones does not take it.
/// Thread safety: used by one thread.
class shedding {
public:
    /// Time without progress after which a request counts as stalled.
    static constexpr base::duration stalled_after = std::chrono::seconds(1);
    /// Growth that counts as progress; single bytes do not.
    static constexpr std::size_t progress_bytes = 4096;
    /// Largest size of a small request.
    static constexpr std::size_t small_bytes = std::size_t{64} << 10U;

    /// `reserve` is the number of bytes kept for small requests.
    explicit shedding(std::size_t reserve) : reserve_(reserve) {}

    /// Returns the indices of the requests to refuse, in this order, so that at least `needed` bytes are
    /// given back if that is possible.
    [[nodiscard]] std::vector<std::size_t> choose(const std::vector<unfinished_request>& requests,
                                                  std::size_t needed) const;
    /// Returns the indices of up to `count` requests without progress to refuse, in this order, if
    /// connections are needed. Here the caller with the most unfinished requests goes first, whatever their
    /// size.
    [[nodiscard]] static std::vector<std::size_t>
    choose_stalled(const std::vector<unfinished_request>& requests, std::size_t count);

private:
    const std::size_t reserve_;
};

} // namespace bluebell::relay
