#include "dispatch/attempts.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace bluebell::dispatch {
namespace {

/// Timeouts at first attempts are shorter than the usual one by up to this share of it.
constexpr double timeout_spread = 0.16;
/// Distinct timeouts, and requests with one timeout, from which on the counts are halved. So the rare ones go
/// and a usual timeout that has changed is found.
constexpr std::size_t max_timeouts = 64;
constexpr std::uint32_t max_count = 256;

} // namespace

base::duration attempt_estimate::record(base::duration timeout) {
    if (++counts_[timeout] > max_count || counts_.size() > max_timeouts) {
        for (auto entry = counts_.begin(); entry != counts_.end();) {
            entry->second /= 2;
            entry = entry->second == 0 ? counts_.erase(entry) : std::next(entry);
        }
    }
    const auto usual = std::max_element(counts_.begin(), counts_.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (usual == counts_.end() || usual->second < 2) {
        return base::duration::zero();
    }
    const base::duration missing = usual->first - timeout;
    return missing > usual->first * timeout_spread ? missing : base::duration::zero();
}

} // namespace bluebell::dispatch
