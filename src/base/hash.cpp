#include "base/hash.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace bluebell::base {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint128 stable_hash_128(const std::vector<std::string_view>& texts) {
    uint128 combined;
    for (const std::string_view text : texts) {
        // The previous result is the seed of the next hash, so that ("ab", "c") and ("a", "bc") differ.
        const XXH128_hash_t text_hash = XXH3_128bits_withSeed(text.data(), text.size(), combined.low + 1);
        combined = uint128{text_hash.high64 ^ (combined.high * 0x9e3779b97f4a7c15ULL), text_hash.low64};
    }
    return combined;
}

vm_id rendezvous_owner(std::string_view key, const std::vector<vm_id>& members) {
    vm_id best;
    std::uint64_t best_score = 0;
    const std::uint64_t seed = stable_hash(key);
    for (const vm_id& member : members) {
        const std::uint64_t score = stable_hash(member.value(), seed);
        if (best.value().empty() || score > best_score || (score == best_score && member < best)) {
            best = member;
            best_score = score;
        }
    }
    return best;
}

std::vector<vm_id> rendezvous_owners(std::string_view key, const std::vector<vm_id>& members,
                                     std::size_t count) {
    const std::uint64_t seed = stable_hash(key);
    std::vector<std::pair<std::uint64_t, vm_id>> scored_members;
    scored_members.reserve(members.size());
    for (const vm_id& member : members) {
        scored_members.emplace_back(stable_hash(member.value(), seed), member);
    }
    std::sort(scored_members.begin(), scored_members.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<vm_id> owners;
    for (std::size_t i = 0; i < std::min(count, scored_members.size()); ++i) {
        owners.push_back(scored_members[i].second);
    }
    return owners;
}

} // namespace bluebell::base
