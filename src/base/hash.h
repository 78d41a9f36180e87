#pragma once

#include "base/id.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace bluebell::base {

/// 64-bit hash that is the same on every router and in every version.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// 128-bit hash of several texts; the boundaries between them count.
uint128 stable_hash_128(const std::vector<std::string_view>& texts);

/// Rendezvous hashing: the member with the highest score for `key`. Only the keys of a member that joins or
/// leaves change hands. Returns the empty id if there are no members.
vm_id rendezvous_owner(std::string_view key, const std::vector<vm_id>& members);

/// The `count` members with the highest scores, best first.
std::vector<vm_id> rendezvous_owners(std::string_view key, const std::vector<vm_id>& members,
                                     std::size_t count);

} // namespace bluebell::base
