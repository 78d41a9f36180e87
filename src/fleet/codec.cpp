#include "fleet/codec.h"

#include "base/hash.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <istream>
#include <limits>
#include <ostream>
#include <streambuf>
#include <utility>

namespace bluebell::fleet {
namespace {

using output = cereal::PortableBinaryOutputArchive;
using input = cereal::PortableBinaryInputArchive;

constexpr std::uint16_t magic = 0xb1de;
constexpr std::uint8_t format_version = 1;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_address_bytes = 45; // longest text form of an IPv6 address
constexpr std::uint8_t packed_address = 255;  // in place of the length: four bytes of IPv4 follow
constexpr std::size_t max_virtual_times = 16;
constexpr std::size_t max_acknowledgement_bytes = 256; // 2,048 members
/// No entry is shorter than four bytes, so a datagram cannot hold more.
constexpr std::size_t max_list = max_datagram_bytes / 4;
constexpr unsigned varint_bits = 7;
constexpr std::uint8_t varint_more = 0x80;

/// Thrown inside this file only.
class codec_failure : public std::runtime_error {
public:
    codec_failure(base::error_code code, const char* text) : std::runtime_error(text), code_(code) {}
    [[nodiscard]] base::error_code code() const { return code_; }

private:
    base::error_code code_;
};

[[noreturn]] void fail_malformed(const char* text) {
    throw codec_failure(base::error_code::message_malformed, text);
}

/// Writes into a fixed array; the stream fails when it is full.
class datagram_writer final : public std::streambuf {
public:
    datagram_writer() { setp(bytes_.data(), bytes_.data() + bytes_.size()); }
    [[nodiscard]] std::string written() const { return {pbase(), pptr()}; }

private:
    std::array<char, max_datagram_bytes> bytes_{};
};

class datagram_reader final : public std::streambuf {
public:
    explicit datagram_reader(std::string_view bytes) {
        // The interface of std::streambuf wants mutable pointers; the get area is never written.
        char* const begin = const_cast<char*>(bytes.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Numbers.

void put(output& out, std::uint64_t value) {
    while (value >= varint_more) {
        out(static_cast<std::uint8_t>((value & (varint_more - 1U)) | varint_more));
        value >>= varint_bits;
    }
    out(static_cast<std::uint8_t>(value));
}

void take(input& in, std::uint64_t& value) {
    value = 0;
    for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits; shift += varint_bits) {
        std::uint8_t byte = 0;
        in(byte);
        value |= static_cast<std::uint64_t>(byte & (varint_more - 1U)) << shift;
        if ((byte & varint_more) == 0) {
            return;
        }
    }
    fail_malformed("integer has too many bytes");
}

template <typename Number>
Number take_bounded(input& in) {
    std::uint64_t value = 0;
    take(in, value);
    if (value > std::numeric_limits<Number>::max()) {
        fail_malformed("integer is out of range");
    }
    return static_cast<Number>(value);
}

void put(output& out, double value) {
    if (!std::isfinite(value)) {
        fail_malformed("number is not finite");
    }
    out(value);
}

void take(input& in, double& value) {
    in(value);
    if (!std::isfinite(value)) {
        fail_malformed("number is not finite");
    }
}

void put(output& out, bool value) {
    out(static_cast<std::uint8_t>(value));
}

template <typename Enum>
void put_enum(output& out, Enum value) {
    out(static_cast<std::uint8_t>(value));
}

template <typename Enum>
void take_enum(input& in, Enum& value, Enum last) {
    std::uint8_t byte = 0;
    in(byte);
    if (byte > static_cast<std::uint8_t>(last)) {
        fail_malformed("enumerator is out of range");
    }
    value = static_cast<Enum>(byte);
}

void take(input& in, bool& value) {
    std::uint8_t byte = 0;
    in(byte);
    if (byte > 1) {
        fail_malformed("flag is neither 0 nor 1");
    }
    value = byte == 1;
}

template <typename Tag, typename Rep>
void put(output& out, const base::quantity<Tag, Rep>& value) {
    put(out, value.value());
}

template <typename Tag, typename Rep>
void take(input& in, base::quantity<Tag, Rep>& value) {
    Rep number{};
    take(in, number);
    value = base::quantity<Tag, Rep>(number);
}

// Identifiers.

void put(output& out, const std::string& text) {
    if (text.size() > max_name_bytes) {
        throw codec_failure(base::error_code::message_oversized, "name is too long for a control message");
    }
    out(static_cast<std::uint8_t>(text.size()), cereal::binary_data(text.data(), text.size()));
}

void take(input& in, std::string& text, std::size_t length, std::size_t limit) {
    if (length > limit) {
        fail_malformed("text is too long");
    }
    text.resize(length);
    in(cereal::binary_data(text.data(), length));
}

void take(input& in, std::string& text) {
    std::uint8_t length = 0;
    in(length);
    take(in, text, length, max_name_bytes);
}

void put(output& out, const base::uint128& value) {
    out(value.high, value.low);
}

void take(input& in, base::uint128& value) {
    in(value.high, value.low);
}

template <typename Tag, typename Rep>
void put(output& out, const base::identifier<Tag, Rep>& id) {
    put(out, id.value());
}

template <typename Tag, typename Rep>
void take(input& in, base::identifier<Tag, Rep>& id) {
    Rep value{};
    take(in, value);
    id = base::identifier<Tag, Rep>(std::move(value));
}

void take(input& in, base::partition_id& id) {
    id = base::partition_id(take_bounded<std::uint16_t>(in));
}

void put(output& out, const base::fingerprint& id) {
    out(id.value()); // a hash; a variable length would take more
}

void take(input& in, base::fingerprint& id) {
    std::uint64_t value = 0;
    in(value);
    id = base::fingerprint(value);
}

void put(output& out, const decision::endpoint& value) {
    in_addr packed{};
    std::array<char, INET_ADDRSTRLEN> text{};
    const bool is_packed = inet_pton(AF_INET, value.address.c_str(), &packed) == 1 &&
                           inet_ntop(AF_INET, &packed, text.data(), text.size()) != nullptr &&
                           value.address == text.data();
    if (is_packed) {
        out(packed_address, cereal::binary_data(reinterpret_cast<const char*>(&packed), sizeof packed));
    } else {
        put(out, value.address);
    }
    out(value.port);
}

void take(input& in, decision::endpoint& value) {
    std::uint8_t length = 0;
    in(length);
    if (length == packed_address) {
        in_addr packed{};
        std::array<char, INET_ADDRSTRLEN> text{};
        in(cereal::binary_data(reinterpret_cast<char*>(&packed), sizeof packed));
        inet_ntop(AF_INET, &packed, text.data(), text.size());
        value.address = text.data();
    } else {
        take(in, value.address, length, max_address_bytes);
    }
    in(value.port);
}

// Lists.

template <typename Entry, typename Put>
void put_list(output& out, const std::vector<Entry>& entries, const Put& put_entry) {
    put(out, std::uint64_t{entries.size()});
    for (const Entry& entry : entries) {
        put_entry(entry);
    }
}

template <typename Entry, typename Take>
void take_list(input& in, std::vector<Entry>& entries, std::size_t limit, const Take& take_entry) {
    std::uint64_t count = 0;
    take(in, count);
    if (count > limit) {
        fail_malformed("list is too long");
    }
    // Grows with what is really there, so that a false count costs nothing.
    for (std::uint64_t i = 0; i < count; ++i) {
        Entry entry;
        take_entry(entry);
        entries.push_back(std::move(entry));
    }
}

/// The different names in a list of entries; entries refer to them by index.
template <typename Id>
class name_table {
public:
    template <typename Entry>
    name_table(const std::vector<Entry>& entries, Id Entry::*name) {
        for (const Entry& entry : entries) {
            if (std::find(names_.begin(), names_.end(), entry.*name) == names_.end()) {
                names_.push_back(entry.*name);
            }
        }
    }
    explicit name_table(input& in) {
        take_list(in, names_, max_list, [&in](Id& name) { take(in, name); });
    }
    void write(output& out) const {
        put_list(out, names_, [&out](const Id& name) { put(out, name); });
    }
    void write_index(output& out, const Id& name) const {
        const auto found = std::find(names_.begin(), names_.end(), name);
        put(out, static_cast<std::uint64_t>(found - names_.begin()));
    }
    void read_index(input& in, Id& name) const {
        std::uint64_t index = 0;
        take(in, index);
        if (index >= names_.size()) {
            fail_malformed("name index is out of range");
        }
        name = names_[index];
    }

private:
    std::vector<Id> names_;
};

// Messages.

constexpr std::uint8_t state_mask = 0x03;
constexpr std::uint8_t leaving_flag = 0x04;
constexpr std::uint8_t address_flag = 0x08;

void put(output& out, const decision::member_update& update) {
    const bool has_address = !update.address.address.empty();
    const unsigned flags = static_cast<unsigned>(update.state) | (update.leaving ? leaving_flag : 0U) |
                           (has_address ? address_flag : 0U);
    put(out, update.vm);
    put(out, update.incarnation);
    put(out, std::uint64_t{update.refutation});
    out(static_cast<std::uint8_t>(flags));
    if (has_address) {
        put(out, update.address);
    }
    put(out, update.in_force);
}

void take(input& in, decision::member_update& update) {
    std::uint8_t flags = 0;
    take(in, update.vm);
    take(in, update.incarnation);
    update.refutation = take_bounded<std::uint32_t>(in);
    in(flags);
    const unsigned state = flags & state_mask;
    if (state > static_cast<unsigned>(decision::liveness::dead) || flags > (address_flag << 1U) - 1U) {
        fail_malformed("member state is out of range");
    }
    update.state = static_cast<decision::liveness>(state);
    update.leaving = (flags & leaving_flag) != 0;
    if ((flags & address_flag) != 0) {
        take(in, update.address);
    }
    take(in, update.in_force);
}

void put_updates(output& out, const std::vector<decision::member_update>& updates) {
    put_list(out, updates, [&out](const decision::member_update& update) { put(out, update); });
}

void take_updates(input& in, std::vector<decision::member_update>& updates) {
    take_list(in, updates, max_list, [&in](decision::member_update& update) { take(in, update); });
}

/// Length of the bitmap and one more; zero stands for all members.
void put(output& out, const decision::revision_acknowledgements& value) {
    put(out, value.all ? std::uint64_t{0} : std::uint64_t{value.bits.size()} + 1);
    if (!value.all) {
        out(cereal::binary_data(value.bits.data(), value.bits.size()));
    }
}

void take(input& in, decision::revision_acknowledgements& value) {
    std::uint64_t length = 0;
    take(in, length);
    if (length > max_acknowledgement_bytes + 1) {
        fail_malformed("list is too long");
    }
    value.all = length == 0;
    if (!value.all) {
        value.bits.resize(length - 1);
        in(cereal::binary_data(value.bits.data(), value.bits.size()));
    }
}

void put(output& out, const decision::ping& body) {
    put(out, body.nonce);
    out(body.digest);
    put(out, body.want_table);
    put(out, body.acknowledgements);
    put_updates(out, body.updates);
}

void take(input& in, decision::ping& body) {
    take(in, body.nonce);
    in(body.digest);
    take(in, body.want_table);
    take(in, body.acknowledgements);
    take_updates(in, body.updates);
}

void put(output& out, const decision::ack& body) {
    put(out, body.nonce);
    out(body.digest);
    put(out, body.acknowledgements);
    put_updates(out, body.updates);
}

void take(input& in, decision::ack& body) {
    take(in, body.nonce);
    in(body.digest);
    take(in, body.acknowledgements);
    take_updates(in, body.updates);
}

void put(output& out, const decision::ping_request& body) {
    put(out, body.nonce);
    put(out, body.target);
}

void take(input& in, decision::ping_request& body) {
    take(in, body.nonce);
    take(in, body.target);
}

void put(output& out, const decision::bid& body) {
    put(out, body.pool);
    put(out, body.account);
    put(out, body.key);
    put(out, body.start_tag);
    put_list(out, body.next_keys, [&out](const base::normalised_cost& key) { put(out, key); });
    put_enum(out, body.priority);
    put(out, std::uint64_t{body.waiting});
    put(out, body.sequence);
    put(out, body.held_complete);
    const name_table<base::upstream_id> names(body.held, &decision::held_grant::upstream);
    names.write(out);
    put_list(out, body.held, [&](const decision::held_grant& held) {
        names.write_index(out, held.upstream);
        put(out, held.id);
    });
}

void take(input& in, decision::bid& body) {
    take(in, body.pool);
    take(in, body.account);
    take(in, body.key);
    take(in, body.start_tag);
    take_list(in, body.next_keys, max_list, [&in](base::normalised_cost& key) { take(in, key); });
    take_enum(in, body.priority, decision::request_class::patient);
    body.waiting = take_bounded<std::uint32_t>(in);
    take(in, body.sequence);
    take(in, body.held_complete);
    const name_table<base::upstream_id> names(in);
    take_list(in, body.held, max_list, [&](decision::held_grant& held) {
        names.read_index(in, held.upstream);
        take(in, held.id);
    });
}

template <typename Grant>
void put_grant(output& out, const Grant& body) {
    put(out, body.id);
    put(out, body.pool);
    put(out, body.upstream);
}

template <typename Grant>
void take_grant(input& in, Grant& body) {
    take(in, body.id);
    take(in, body.pool);
    take(in, body.upstream);
}

void put(output& out, const decision::grant& body) {
    put_grant(out, body);
    put(out, body.other_key.has_value());
    if (body.other_key) {
        put(out, body.other_key->value());
    }
}

void take(input& in, decision::grant& body) {
    take_grant(in, body);
    bool has_key = false;
    take(in, has_key);
    if (has_key) {
        double key = 0;
        take(in, key);
        body.other_key = base::normalised_cost(key);
    }
}

void put(output& out, const decision::release& body) {
    put_grant(out, body);
    put(out, body.unused);
}

void take(input& in, decision::release& body) {
    take_grant(in, body);
    take(in, body.unused);
}

void put_rest(output& out, const decision::usage_entry& entry) {
    put(out, entry.own_total);
    put(out, entry.known_total);
    put(out, entry.known_part);
    put(out, entry.backlogged);
}

void take_rest(input& in, decision::usage_entry& entry) {
    take(in, entry.own_total);
    take(in, entry.known_total);
    take(in, entry.known_part);
    take(in, entry.backlogged);
}

void put_rest(output& out, const decision::usage_total_entry& entry) {
    put(out, entry.fleet_total);
    put(out, entry.receiver_part);
    put(out, entry.receiver_backlogged);
    put(out, entry.others_backlogged);
}

void take_rest(input& in, decision::usage_total_entry& entry) {
    take(in, entry.fleet_total);
    take(in, entry.receiver_part);
    take(in, entry.receiver_backlogged);
    take(in, entry.others_backlogged);
}

template <typename Entry>
void put_usage(output& out, const std::vector<Entry>& entries) {
    const name_table<base::pool_id> names(entries, &Entry::pool);
    names.write(out);
    put_list(out, entries, [&](const Entry& entry) {
        names.write_index(out, entry.pool);
        put(out, entry.account);
        put_rest(out, entry);
    });
}

template <typename Entry>
void take_usage(input& in, std::vector<Entry>& entries) {
    const name_table<base::pool_id> names(in);
    take_list(in, entries, max_list, [&](Entry& entry) {
        names.read_index(in, entry.pool);
        take(in, entry.account);
        take_rest(in, entry);
    });
}

void put(output& out, const decision::usage& body) {
    put_usage(out, body.entries);
}

void take(input& in, decision::usage& body) {
    take_usage(in, body.entries);
}

void put(output& out, const decision::usage_total& body) {
    put_usage(out, body.entries);
}

void take(input& in, decision::usage_total& body) {
    take_usage(in, body.entries);
}

void put(output& out, const decision::claim& body) {
    put(out, std::uint64_t{body.partition.value()});
    put(out, body.key);
    put(out, body.attempt);
}

void take(input& in, decision::claim& body) {
    take(in, body.partition);
    take(in, body.key);
    take(in, body.attempt);
}

void put(output& out, const decision::claim_result& body) {
    put(out, std::uint64_t{body.partition.value()});
    put(out, body.key);
    put(out, body.attempt);
    put_enum(out, body.answer);
}

void take(input& in, decision::claim_result& body) {
    take(in, body.partition);
    take(in, body.key);
    take(in, body.attempt);
    take_enum(in, body.answer, decision::claim_answer::withdrawn);
}

void put(output& out, const decision::settle& body) {
    put(out, std::uint64_t{body.partition.value()});
    put(out, body.key);
    put(out, body.attempt);
    put_enum(out, body.result);
}

void take(input& in, decision::settle& body) {
    take(in, body.partition);
    take(in, body.key);
    take(in, body.attempt);
    take_enum(in, body.result, decision::settlement::not_run);
}

void put(output& out, const decision::settle_ack& body) {
    put(out, body.key);
    put(out, body.attempt);
}

void take(input& in, decision::settle_ack& body) {
    take(in, body.key);
    take(in, body.attempt);
}

void put(output& out, const decision::crash_report& body) {
    put(out, body.body);
    put(out, body.upstream);
}

void take(input& in, decision::crash_report& body) {
    take(in, body.body);
    take(in, body.upstream);
}

void put_rest(output& out, const decision::upstream_work& work) {
    put(out, std::uint64_t{work.running});
    put(out, work.pending_tokens);
    put(out, work.memory_tokens);
    put(out, work.stored_tokens);
    put_list(out, work.prompt_parts, [&out](std::uint64_t part) { put(out, part); });
}

void take_rest(input& in, decision::upstream_work& work) {
    work.running = take_bounded<std::uint32_t>(in);
    take(in, work.pending_tokens);
    take(in, work.memory_tokens);
    take(in, work.stored_tokens);
    take_list(in, work.prompt_parts, max_list, [&in](std::uint64_t& part) { take(in, part); });
}

void put(output& out, const decision::work_report& body) {
    put_list(out, body.upstreams, [&out](const decision::upstream_work& work) {
        put(out, work.upstream);
        put_rest(out, work);
    });
    put_list(out, body.accounts, [&out](const decision::account_work& work) {
        put(out, work.account);
        put(out, work.served);
        put(out, work.requested);
    });
    put(out, body.aggregated);
    put(out, body.acknowledged_sequence);
    put(out, body.upstreams_position);
}

void take(input& in, decision::work_report& body) {
    take_list(in, body.upstreams, max_list, [&in](decision::upstream_work& work) {
        take(in, work.upstream);
        take_rest(in, work);
    });
    take_list(in, body.accounts, max_list, [&in](decision::account_work& work) {
        take(in, work.account);
        take(in, work.served);
        take(in, work.requested);
    });
    take(in, body.aggregated);
    take(in, body.acknowledged_sequence);
    take(in, body.upstreams_position);
}

// Header.

using milliseconds = std::chrono::milliseconds;

/// Zero for "never", otherwise milliseconds rounded up and one more.
std::uint64_t packed_age(base::duration age) {
    if (age == decision::never_confirmed) {
        return 0;
    }
    const base::duration positive = std::max(age, base::duration::zero());
    return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(positive).count()) + 1;
}

base::duration unpacked_age(std::uint64_t packed) {
    constexpr std::uint64_t limit = std::chrono::duration_cast<milliseconds>(std::chrono::hours(24)).count();
    return packed == 0 || packed > limit ? decision::never_confirmed
                                         : base::duration(milliseconds(packed - 1));
}

void put(output& out, const decision::message_header& header) {
    put(out, header.sender);
    put(out, header.incarnation);
    put(out, header.sequence);
    put(out, header.in_force);
    put(out, packed_age(header.confirmation_age));
    if (header.virtual_times.size() > max_virtual_times) {
        throw codec_failure(base::error_code::message_oversized, "header has too many virtual times");
    }
    put_list(out, header.virtual_times, [&out](const decision::pool_time& time) {
        put(out, time.pool);
        put(out, time.virtual_time);
    });
}

void take(input& in, decision::message_header& header) {
    std::uint64_t age = 0;
    take(in, header.sender);
    take(in, header.incarnation);
    take(in, header.sequence);
    take(in, header.in_force);
    take(in, age);
    header.confirmation_age = unpacked_age(age);
    take_list(in, header.virtual_times, max_virtual_times, [&in](decision::pool_time& time) {
        take(in, time.pool);
        take(in, time.virtual_time);
    });
    if (header.sender.value().empty()) {
        fail_malformed("sender is empty");
    }
}

/// Reads the alternative with index `kind` of the message variant.
template <std::size_t Kind = 0>
void take_body(input& in, std::size_t kind, decision::message& body) {
    if constexpr (Kind < message_kind_count) {
        if (kind == Kind) {
            take(in, body.emplace<Kind>());
        } else {
            take_body<Kind + 1>(in, kind, body);
        }
    } else {
        fail_malformed("kind of message is unknown");
    }
}

decision::envelope read_envelope(std::string_view datagram, std::uint32_t fleet) {
    datagram_reader reader(datagram);
    std::istream stream(&reader);
    input in(stream, input::Options::LittleEndian());
    std::uint16_t found_magic = 0;
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
    std::uint32_t found_fleet = 0;
    in(found_magic);
    if (found_magic != magic) {
        fail_malformed("datagram does not start with the magic number");
    }
    in(version);
    if (version != format_version) {
        throw codec_failure(base::error_code::message_wrong_version, "format version is not supported");
    }
    in(found_fleet);
    if (found_fleet != fleet) {
        throw codec_failure(base::error_code::message_wrong_fleet, "sender belongs to another fleet");
    }
    in(kind);
    decision::envelope what;
    take(in, what.header);
    take_body(in, kind, what.body);
    if (reader.remaining() > 0) {
        fail_malformed("bytes follow the message");
    }
    return what;
}

/// Moves the second half of the list out. Empty if there are fewer than two entries.
template <typename Entry>
std::vector<Entry> take_half(std::vector<Entry>& entries) {
    const auto middle = entries.begin() + static_cast<std::ptrdiff_t>((entries.size() + 1) / 2);
    std::vector<Entry> rest(middle, entries.end());
    entries.erase(middle, entries.end());
    return rest;
}

/// Moves about half of a message with a list into a second one. False if it cannot be divided.
class message_halver {
public:
    explicit message_halver(decision::message& rest) : rest_(rest) {}

    bool operator()(decision::ping& body) const {
        // Only the first part is to be acknowledged or answered with the table.
        rest_ = decision::ping{0, body.digest, false, body.acknowledgements, take_half(body.updates)};
        return !std::get<decision::ping>(rest_).updates.empty();
    }
    bool operator()(decision::ack& body) const {
        rest_ = decision::ping{0, body.digest, false, body.acknowledgements, take_half(body.updates)};
        return !std::get<decision::ping>(rest_).updates.empty();
    }
    bool operator()(decision::bid& body) const {
        body.held_complete = false;
        decision::bid rest = body;
        rest.held = take_half(body.held);
        const bool divided = !rest.held.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::usage& body) const { return halve_entries(body); }
    bool operator()(decision::usage_total& body) const { return halve_entries(body); }
    bool operator()(decision::work_report& body) const {
        decision::work_report rest{take_half(body.upstreams), take_half(body.accounts), body.aggregated, 0,
                                   0};
        const bool divided = !rest.upstreams.empty() || !rest.accounts.empty();
        rest_ = std::move(rest);
        return divided;
    }
    template <typename Other>
    bool operator()(Other& /*body*/) const {
        return false;
    }

private:
    template <typename Body>
    bool halve_entries(Body& body) const {
        rest_ = Body{take_half(body.entries)};
        return !std::get<Body>(rest_).entries.empty();
    }

    decision::message& rest_;
};

base::error describe(base::error_code code, const char* text) {
    return base::error{code, "datagram", text};
}

} // namespace

std::string_view message_kind_name(std::size_t kind) {
    constexpr std::array<std::string_view, message_kind_count> names{
        "ping",        "ack",   "ping_request", "bid",    "grant",      "release",      "usage",
        "usage_total", "claim", "claim_result", "settle", "settle_ack", "crash_report", "work_report"};
    return names.at(kind);
}

codec::codec(std::string_view fleet_name)
    : fleet_(static_cast<std::uint32_t>(base::stable_hash(fleet_name))) {}

base::result<std::string> codec::encode(const decision::envelope& what) const {
    try {
        datagram_writer writer;
        std::ostream stream(&writer);
        output out(stream, output::Options::LittleEndian());
        out(magic, format_version, fleet_, static_cast<std::uint8_t>(what.body.index()));
        put(out, what.header);
        std::visit([&out](const auto& body) { put(out, body); }, what.body);
        return writer.written();
    } catch (const codec_failure& caught) {
        return tl::unexpected(describe(caught.code(), caught.what()));
    } catch (const std::exception&) {
        return tl::unexpected(
            describe(base::error_code::message_oversized, "message does not fit into a datagram"));
    }
}

base::result<std::vector<std::string>> codec::encode_split(const decision::envelope& what) const {
    std::vector<std::string> datagrams;
    std::vector<decision::envelope> parts{what};
    while (!parts.empty()) {
        base::result<std::string> datagram = encode(parts.back());
        if (datagram) {
            datagrams.push_back(std::move(*datagram));
            parts.pop_back();
            continue;
        }
        decision::message rest;
        if (datagram.error().code != base::error_code::message_oversized ||
            !std::visit(message_halver(rest), parts.back().body)) {
            return tl::unexpected(datagram.error());
        }
        parts.insert(parts.end() - 1, decision::envelope{parts.back().header, std::move(rest)});
    }
    return datagrams;
}

base::result<decision::envelope> codec::decode(std::string_view datagram) const {
    if (datagram.size() > max_datagram_bytes) {
        return tl::unexpected(
            describe(base::error_code::message_oversized, "datagram is longer than any sender's"));
    }
    try {
        return read_envelope(datagram, fleet_);
    } catch (const codec_failure& caught) {
        return tl::unexpected(describe(caught.code(), caught.what()));
    } catch (const cereal::Exception&) {
        return tl::unexpected(describe(base::error_code::message_truncated, "datagram ends too early"));
    } catch (const std::exception&) {
        return tl::unexpected(describe(base::error_code::message_malformed, "datagram cannot be read"));
    }
}

} // namespace bluebell::fleet
