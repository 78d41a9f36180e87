#pragma once

#include "base/error.h"
#include "decision/message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::fleet {

/// A datagram of this size fits into one Ethernet frame with tunnel headers, so that it is not fragmented.
constexpr std::size_t max_datagram_bytes = 1200;
/// Number of kinds of control messages.
constexpr std::size_t message_kind_count = std::variant_size_v<decision::message>;

/// Returns the name of a kind of control message by its index in `decision::message`.
/// Pre-condition: `kind` is less than `message_kind_count`.
std::string_view message_kind_name(std::size_t kind);

/// Encodes control messages into datagrams and decodes them: cereal portable binary, integers of variable
/// length, repeated names once per message. Thread safety: immutable; may be used by any thread. Nothing is
/// thrown past its interface.
class codec {
public:
    /// Datagrams of fleets with other names are refused, for example after a company was split in two.
    explicit codec(std::string_view fleet_name);

    /// Encodes a message into one datagram. Errors: `message_oversized` if the datagram or a name in it would
    /// be too long, `message_malformed` if a number is not finite.
    [[nodiscard]] base::result<std::string> encode(const decision::envelope& envelope) const;

    /// Encodes a message like `encode`, but splits the list of a message that is too long over several
    /// datagrams. The parts of a split bid have `held_complete` cleared. Error `message_oversized` if one
    /// entry alone is too long.
    [[nodiscard]] base::result<std::vector<std::string>>
    encode_split(const decision::envelope& envelope) const;

    /// Decodes a datagram. Errors: `message_oversized`, `message_truncated`, `message_malformed`,
    /// `message_wrong_version`, `message_wrong_fleet`. The allocated memory is bounded by the size of the
    /// datagram, whatever its length fields state.
    [[nodiscard]] base::result<decision::envelope> decode(std::string_view datagram) const;

private:
    std::uint32_t fleet_ = 0;
};

} // namespace bluebell::fleet
