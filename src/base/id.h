#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bluebell::base {

/// Identifier of one kind of object; identifiers of different kinds do not convert to each other.
/// Thread safety: a value type, as for the representation.
template <typename Tag, typename Rep>
class identifier {
public:
    using rep = Rep;

    identifier() = default;
    explicit identifier(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] const Rep& value() const { return value_; }

    friend bool operator==(const identifier& a, const identifier& b) { return a.value_ == b.value_; }
    friend bool operator!=(const identifier& a, const identifier& b) { return !(a == b); }
    friend bool operator<(const identifier& a, const identifier& b) { return a.value_ < b.value_; }
    friend std::ostream& operator<<(std::ostream& out, const identifier& id) { return out << id.value_; }

private:
    Rep value_{};
};

/// 128 bits, for random identifiers and hashes.
struct uint128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const uint128& a, const uint128& b) { return a.high == b.high && a.low == b.low; }
    friend bool operator<(const uint128& a, const uint128& b) {
        return a.high != b.high ? a.high < b.high : a.low < b.low;
    }
};

/// Returns 32 lower-case hexadecimal digits.
std::string to_hex(const uint128& value);
/// Parses the format of `to_hex`. If `text` is malformed, returns false and leaves `value` unchanged.
bool from_hex(const std::string& text, uint128& value);
std::ostream& operator<<(std::ostream& out, const uint128& value);

using client_account_id = identifier<struct client_account_tag, std::string>;
using upstream_id = identifier<struct upstream_tag, std::string>;
/// Name of the model or plain service that a set of upstreams serves.
using pool_id = identifier<struct pool_tag, std::string>;
using vm_id = identifier<struct vm_tag, std::string>;
using data_centre_id = identifier<struct data_centre_tag, std::string>;
using operator_id = identifier<struct operator_tag, std::string>;
/// Random identifier of one attempt to change the configuration.
using change_id = identifier<struct change_tag, std::string>;
/// Name of an object in the object store.
using object_name = identifier<struct object_name_tag, std::string>;
using request_id = identifier<struct request_tag, uint128>;
/// Hash of client account, pool and idempotency key.
using key_hash = identifier<struct key_hash_tag, uint128>;
/// Hash of the identity of the caller and of the request: of client account, pool, method, path and body in
/// src/edge, of API key, request target and body in src/relay.
using fingerprint = identifier<struct fingerprint_tag, std::uint64_t>;
/// Version of the software that an upstream runs. Versions have no order.
using software_version = identifier<struct software_version_tag, std::string>;
/// Hash of the id of the caller's request that brought the first event of a stream.
using stream_key = identifier<struct stream_key_tag, std::uint64_t>;
using grant_id = identifier<struct grant_tag, std::uint64_t>;
using partition_id = identifier<struct partition_tag, std::uint16_t>;

} // namespace bluebell::base

template <>
struct std::hash<bluebell::base::uint128> {
    std::size_t operator()(const bluebell::base::uint128& value) const noexcept {
        return static_cast<std::size_t>(value.high ^ (value.low * 0x9e3779b97f4a7c15ULL));
    }
};

template <typename Tag, typename Rep>
struct std::hash<bluebell::base::identifier<Tag, Rep>> {
    std::size_t operator()(const bluebell::base::identifier<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value());
    }
};
