#pragma once

#include "base/error.h"
#include "decision/message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::fleet {

/// Fits into one Ethernet frame with room for tunnel headers, so that datagrams are not fragmented.
constexpr std::size_t max_datagram_bytes = 1200;
constexpr std::size_t message_kind_count = std::variant_size_v<decision::message>;

/// Name of a kind of control message by its index in `decision::message`.
/// Pre-condition: `kind` is less than `message_kind_count`.
std::string_view message_kind_name(std::size_t kind);

/// Turns control messages into datagrams and back: cereal portable binary, integers of variable length,
/// repeated names once per message.
/// Thread safety: immutable; may be used by any thread. Nothing is thrown past its interface.
class codec {
public:
    /// Datagrams of fleets with other names are refused, as after the split of a company in two.
    explicit codec(std::string_view fleet_name);

    /// Errors: `message_oversized` if the datagram or a name in it would be too long, `message_malformed` if
    /// a number is not finite.
    [[nodiscard]] base::result<std::string> encode(const decision::envelope& what) const;

    /// As `encode`, but divides the list of a message that is too long over several datagrams. The parts of a
    /// bid have `held_complete` cleared. Error `message_oversized` if one entry alone is too long.
    [[nodiscard]] base::result<std::vector<std::string>> encode_split(const decision::envelope& what) const;

    /// Errors: `message_oversized`, `message_truncated`, `message_malformed`, `message_wrong_version`,
    /// `message_wrong_fleet`. Allocates no more than the datagram can justify, whatever its length fields
    /// say.
    [[nodiscard]] base::result<decision::envelope> decode(std::string_view datagram) const;

private:
    std::uint32_t fleet_ = 0;
};

} // namespace bluebell::fleet
