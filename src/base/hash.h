#pragma once

#include "base/id.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace bluebell::base {

/// Returns a 64-bit hash that is the same on every router and in every version of the program.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns a 128-bit hash of a sequence of texts. The boundaries between the texts affect the hash.
uint128 stable_hash_128(const std::vector<std::string_view>& texts);

/// Returns the member with the highest score for `key` (rendezvous hashing). When a member joins or leaves,
/// only its own keys change owner. Returns the empty id if there are no members.
vm_id rendezvous_owner(std::string_view key, const std::vector<vm_id>& members);

/// Returns the `count` members with the highest scores for `key`, highest first; all members if there are
/// fewer.
std::vector<vm_id> rendezvous_owners(std::string_view key, const std::vector<vm_id>& members,
                                     std::size_t count);

} // namespace bluebell::base
