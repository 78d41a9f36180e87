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

using output_archive = cereal::PortableBinaryOutputArchive;
using input_archive = cereal::PortableBinaryInputArchive;

constexpr std::uint16_t magic = 0xb1de;
constexpr std::uint8_t format_version = 1;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_address_bytes = 45; // longest text form of an IPv6 address
/// Stands in place of the length of an address and means that the four bytes of an IPv4 address follow.
constexpr std::uint8_t packed_ipv4_marker = 255;
constexpr std::size_t max_virtual_times = 16;
constexpr std::size_t max_acknowledgement_bytes = 256; // 2,048 members
/// A datagram cannot hold more entries, because each takes at least four bytes.
constexpr std::size_t max_list_entries = max_datagram_bytes / 4;
/// Parts of one update of the list of upstreams: enough for a list of several thousand.
constexpr std::uint32_t max_update_parts = 1024;
constexpr std::uint32_t max_slots = 1'000'000;
constexpr unsigned varint_bits = 7;
constexpr std::uint8_t varint_continuation = 0x80;

/// Reports a failure inside this file; never leaves the codec.
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

/// A stream buffer of one datagram; the stream fails when it is full.
class datagram_writer final : public std::streambuf {
public:
    datagram_writer() { setp(bytes_.data(), bytes_.data() + bytes_.size()); }
    [[nodiscard]] std::string bytes() const { return {pbase(), pptr()}; }

private:
    std::array<char, max_datagram_bytes> bytes_{};
};

/// A stream buffer that reads from a datagram without copying it.
class datagram_reader final : public std::streambuf {
public:
    explicit datagram_reader(std::string_view bytes) {
        // std::streambuf requires mutable pointers; the get area is never written to.
        char* const begin = const_cast<char*>(bytes.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Numbers.

void write(output_archive& out, std::uint64_t value) {
    while (value >= varint_continuation) {
        out(static_cast<std::uint8_t>((value & (varint_continuation - 1U)) | varint_continuation));
        value >>= varint_bits;
    }
    out(static_cast<std::uint8_t>(value));
}

void read(input_archive& in, std::uint64_t& value) {
    value = 0;
    for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits; shift += varint_bits) {
        std::uint8_t byte = 0;
        in(byte);
        value |= static_cast<std::uint64_t>(byte & (varint_continuation - 1U)) << shift;
        if ((byte & varint_continuation) == 0) {
            return;
        }
    }
    fail_malformed("integer has too many bytes");
}

template <typename Number>
Number read_bounded(input_archive& in) {
    std::uint64_t value = 0;
    read(in, value);
    if (value > std::numeric_limits<Number>::max()) {
        fail_malformed("integer is out of range");
    }
    return static_cast<Number>(value);
}

void write(output_archive& out, double value) {
    if (!std::isfinite(value)) {
        fail_malformed("number is not finite");
    }
    out(value);
}

void read(input_archive& in, double& value) {
    in(value);
    if (!std::isfinite(value)) {
        fail_malformed("number is not finite");
    }
}

void write(output_archive& out, bool value) {
    out(static_cast<std::uint8_t>(value));
}

template <typename Enum>
void write_enum(output_archive& out, Enum value) {
    out(static_cast<std::uint8_t>(value));
}

template <typename Enum>
void read_enum(input_archive& in, Enum& value, Enum last) {
    std::uint8_t byte = 0;
    in(byte);
    if (byte > static_cast<std::uint8_t>(last)) {
        fail_malformed("enumerator is out of range");
    }
    value = static_cast<Enum>(byte);
}

void read(input_archive& in, bool& value) {
    std::uint8_t byte = 0;
    in(byte);
    if (byte > 1) {
        fail_malformed("flag is neither 0 nor 1");
    }
    value = byte == 1;
}

template <typename Tag, typename Rep>
void write(output_archive& out, const base::quantity<Tag, Rep>& value) {
    write(out, value.value());
}

template <typename Tag, typename Rep>
void read(input_archive& in, base::quantity<Tag, Rep>& value) {
    Rep number{};
    read(in, number);
    value = base::quantity<Tag, Rep>(number);
}

// Identifiers.

void write(output_archive& out, const std::string& text) {
    if (text.size() > max_name_bytes) {
        throw codec_failure(base::error_code::message_oversized, "name is too long for a control message");
    }
    out(static_cast<std::uint8_t>(text.size()), cereal::binary_data(text.data(), text.size()));
}

void read(input_archive& in, std::string& text, std::size_t length, std::size_t limit) {
    if (length > limit) {
        fail_malformed("text is too long");
    }
    text.resize(length);
    in(cereal::binary_data(text.data(), length));
}

void read(input_archive& in, std::string& text) {
    std::uint8_t length = 0;
    in(length);
    read(in, text, length, max_name_bytes);
}

void write(output_archive& out, const base::uint128& value) {
    out(value.high, value.low);
}

void read(input_archive& in, base::uint128& value) {
    in(value.high, value.low);
}

template <typename Tag, typename Rep>
void write(output_archive& out, const base::identifier<Tag, Rep>& id) {
    write(out, id.value());
}

template <typename Tag, typename Rep>
void read(input_archive& in, base::identifier<Tag, Rep>& id) {
    Rep value{};
    read(in, value);
    id = base::identifier<Tag, Rep>(std::move(value));
}

void read(input_archive& in, base::partition_id& id) {
    id = base::partition_id(read_bounded<std::uint16_t>(in));
}

void write(output_archive& out, const base::fingerprint& id) {
    out(id.value()); // fixed length: a varint of a hash would be longer
}

void read(input_archive& in, base::fingerprint& id) {
    std::uint64_t value = 0;
    in(value);
    id = base::fingerprint(value);
}

void write(output_archive& out, const base::stream_key& key) {
    out(key.value());
}

void read(input_archive& in, base::stream_key& key) {
    std::uint64_t value = 0;
    in(value);
    key = base::stream_key(value);
}

void write(output_archive& out, const decision::endpoint& value) {
    in_addr packed{};
    std::array<char, INET_ADDRSTRLEN> text{};
    const bool is_packed = inet_pton(AF_INET, value.address.c_str(), &packed) == 1 &&
                           inet_ntop(AF_INET, &packed, text.data(), text.size()) != nullptr &&
                           value.address == text.data();
    if (is_packed) {
        out(packed_ipv4_marker, cereal::binary_data(reinterpret_cast<const char*>(&packed), sizeof packed));
    } else {
        write(out, value.address);
    }
    out(value.port);
}

void read(input_archive& in, decision::endpoint& value) {
    std::uint8_t length = 0;
    in(length);
    if (length == packed_ipv4_marker) {
        in_addr packed{};
        std::array<char, INET_ADDRSTRLEN> text{};
        in(cereal::binary_data(reinterpret_cast<char*>(&packed), sizeof packed));
        inet_ntop(AF_INET, &packed, text.data(), text.size());
        value.address = text.data();
    } else {
        read(in, value.address, length, max_address_bytes);
    }
    in(value.port);
}

// Lists.

template <typename Entry, typename Write>
void write_list(output_archive& out, const std::vector<Entry>& entries, const Write& write_entry) {
    write(out, std::uint64_t{entries.size()});
    for (const Entry& entry : entries) {
        write_entry(entry);
    }
}

template <typename Entry, typename Read>
void read_list(input_archive& in, std::vector<Entry>& entries, std::size_t limit, const Read& read_entry) {
    std::uint64_t count = 0;
    read(in, count);
    if (count > limit) {
        fail_malformed("list is too long");
    }
    // The list grows with the entries that are read, so a false count allocates nothing.
    for (std::uint64_t i = 0; i < count; ++i) {
        Entry entry;
        read_entry(entry);
        entries.push_back(std::move(entry));
    }
}

/// Table of the distinct names in a list of entries, which refer to a name by its index.
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
    explicit name_table(input_archive& in) {
        read_list(in, names_, max_list_entries, [&in](Id& name) { read(in, name); });
    }
    void write_names(output_archive& out) const {
        write_list(out, names_, [&out](const Id& name) { write(out, name); });
    }
    void write_index(output_archive& out, const Id& name) const {
        const auto found = std::find(names_.begin(), names_.end(), name);
        write(out, static_cast<std::uint64_t>(found - names_.begin()));
    }
    void read_index(input_archive& in, Id& name) const {
        std::uint64_t index = 0;
        read(in, index);
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

void write(output_archive& out, const decision::member_update& update) {
    const bool has_address = !update.address.address.empty();
    const unsigned flags = static_cast<unsigned>(update.state) | (update.leaving ? leaving_flag : 0U) |
                           (has_address ? address_flag : 0U);
    write(out, update.vm);
    write(out, update.incarnation);
    write(out, std::uint64_t{update.refutation});
    out(static_cast<std::uint8_t>(flags));
    if (has_address) {
        write(out, update.address);
    }
    write(out, update.in_force);
}

void read(input_archive& in, decision::member_update& update) {
    std::uint8_t flags = 0;
    read(in, update.vm);
    read(in, update.incarnation);
    update.refutation = read_bounded<std::uint32_t>(in);
    in(flags);
    const unsigned state = flags & state_mask;
    if (state > static_cast<unsigned>(decision::liveness::dead) || flags > (address_flag << 1U) - 1U) {
        fail_malformed("member state is out of range");
    }
    update.state = static_cast<decision::liveness>(state);
    update.leaving = (flags & leaving_flag) != 0;
    if ((flags & address_flag) != 0) {
        read(in, update.address);
    }
    read(in, update.in_force);
}

void write_updates(output_archive& out, const std::vector<decision::member_update>& updates) {
    write_list(out, updates, [&out](const decision::member_update& update) { write(out, update); });
}

void read_updates(input_archive& in, std::vector<decision::member_update>& updates) {
    read_list(in, updates, max_list_entries, [&in](decision::member_update& update) { read(in, update); });
}

/// The length is written plus one; zero stands for all members.
void write(output_archive& out, const decision::revision_acknowledgements& value) {
    write(out, value.all ? std::uint64_t{0} : std::uint64_t{value.bits.size()} + 1);
    if (!value.all) {
        out(cereal::binary_data(value.bits.data(), value.bits.size()));
    }
}

void read(input_archive& in, decision::revision_acknowledgements& value) {
    std::uint64_t length = 0;
    read(in, length);
    if (length > max_acknowledgement_bytes + 1) {
        fail_malformed("list is too long");
    }
    value.all = length == 0;
    if (!value.all) {
        value.bits.resize(length - 1);
        in(cereal::binary_data(value.bits.data(), value.bits.size()));
    }
}

void write(output_archive& out, const decision::ping& body) {
    write(out, body.nonce);
    out(body.digest);
    write(out, body.want_table);
    write(out, body.acknowledgements);
    write_updates(out, body.updates);
}

void read(input_archive& in, decision::ping& body) {
    read(in, body.nonce);
    in(body.digest);
    read(in, body.want_table);
    read(in, body.acknowledgements);
    read_updates(in, body.updates);
}

void write(output_archive& out, const decision::ack& body) {
    write(out, body.nonce);
    out(body.digest);
    write(out, body.acknowledgements);
    write_updates(out, body.updates);
}

void read(input_archive& in, decision::ack& body) {
    read(in, body.nonce);
    in(body.digest);
    read(in, body.acknowledgements);
    read_updates(in, body.updates);
}

void write(output_archive& out, const decision::ping_request& body) {
    write(out, body.nonce);
    write(out, body.target);
}

void read(input_archive& in, decision::ping_request& body) {
    read(in, body.nonce);
    read(in, body.target);
}

void write(output_archive& out, const decision::bid& body) {
    write(out, body.pool);
    write(out, body.account);
    write(out, body.key);
    write(out, body.start_tag);
    write_list(out, body.next_keys, [&out](const base::normalised_cost& key) { write(out, key); });
    write_enum(out, body.priority);
    write(out, std::uint64_t{body.waiting});
    write(out, body.sequence);
    write(out, body.held_complete);
    const name_table<base::upstream_id> names(body.held, &decision::held_grant::upstream);
    names.write_names(out);
    write_list(out, body.held, [&](const decision::held_grant& held) {
        names.write_index(out, held.upstream);
        write(out, held.id);
    });
}

void read(input_archive& in, decision::bid& body) {
    read(in, body.pool);
    read(in, body.account);
    read(in, body.key);
    read(in, body.start_tag);
    read_list(in, body.next_keys, max_list_entries, [&in](base::normalised_cost& key) { read(in, key); });
    read_enum(in, body.priority, decision::request_class::patient);
    body.waiting = read_bounded<std::uint32_t>(in);
    read(in, body.sequence);
    read(in, body.held_complete);
    const name_table<base::upstream_id> names(in);
    read_list(in, body.held, max_list_entries, [&](decision::held_grant& held) {
        names.read_index(in, held.upstream);
        read(in, held.id);
    });
}

template <typename Grant>
void write_grant(output_archive& out, const Grant& body) {
    write(out, body.id);
    write(out, body.pool);
    write(out, body.upstream);
}

template <typename Grant>
void read_grant(input_archive& in, Grant& body) {
    read(in, body.id);
    read(in, body.pool);
    read(in, body.upstream);
}

void write(output_archive& out, const decision::grant& body) {
    write_grant(out, body);
    write(out, body.other_key.has_value());
    if (body.other_key) {
        write(out, body.other_key->value());
    }
}

void read(input_archive& in, decision::grant& body) {
    read_grant(in, body);
    bool has_key = false;
    read(in, has_key);
    if (has_key) {
        double key = 0;
        read(in, key);
        body.other_key = base::normalised_cost(key);
    }
}

void write(output_archive& out, const decision::release& body) {
    write_grant(out, body);
    write(out, body.unused);
}

void read(input_archive& in, decision::release& body) {
    read_grant(in, body);
    read(in, body.unused);
}

void write_measures(output_archive& out, const decision::usage_entry& entry) {
    write(out, entry.own_total);
    write(out, entry.known_total);
    write(out, entry.known_part);
    write(out, entry.backlogged);
}

void read_measures(input_archive& in, decision::usage_entry& entry) {
    read(in, entry.own_total);
    read(in, entry.known_total);
    read(in, entry.known_part);
    read(in, entry.backlogged);
}

void write_measures(output_archive& out, const decision::usage_total_entry& entry) {
    write(out, entry.fleet_total);
    write(out, entry.receiver_part);
    write(out, entry.receiver_backlogged);
    write(out, entry.others_backlogged);
}

void read_measures(input_archive& in, decision::usage_total_entry& entry) {
    read(in, entry.fleet_total);
    read(in, entry.receiver_part);
    read(in, entry.receiver_backlogged);
    read(in, entry.others_backlogged);
}

template <typename Entry>
void write_usage(output_archive& out, const std::vector<Entry>& entries) {
    const name_table<base::pool_id> names(entries, &Entry::pool);
    names.write_names(out);
    write_list(out, entries, [&](const Entry& entry) {
        names.write_index(out, entry.pool);
        write(out, entry.account);
        write_measures(out, entry);
    });
}

template <typename Entry>
void read_usage(input_archive& in, std::vector<Entry>& entries) {
    const name_table<base::pool_id> names(in);
    read_list(in, entries, max_list_entries, [&](Entry& entry) {
        names.read_index(in, entry.pool);
        read(in, entry.account);
        read_measures(in, entry);
    });
}

void write(output_archive& out, const decision::usage& body) {
    write_usage(out, body.entries);
}

void read(input_archive& in, decision::usage& body) {
    read_usage(in, body.entries);
}

void write(output_archive& out, const decision::usage_total& body) {
    write_usage(out, body.entries);
}

void read(input_archive& in, decision::usage_total& body) {
    read_usage(in, body.entries);
}

void write(output_archive& out, const decision::claim& body) {
    write(out, std::uint64_t{body.partition.value()});
    write(out, body.key);
    write(out, body.attempt);
}

void read(input_archive& in, decision::claim& body) {
    read(in, body.partition);
    read(in, body.key);
    read(in, body.attempt);
}

void write(output_archive& out, const decision::claim_result& body) {
    write(out, std::uint64_t{body.partition.value()});
    write(out, body.key);
    write(out, body.attempt);
    write_enum(out, body.answer);
}

void read(input_archive& in, decision::claim_result& body) {
    read(in, body.partition);
    read(in, body.key);
    read(in, body.attempt);
    read_enum(in, body.answer, decision::claim_answer::withdrawn);
}

void write(output_archive& out, const decision::settle& body) {
    write(out, std::uint64_t{body.partition.value()});
    write(out, body.key);
    write(out, body.attempt);
    write_enum(out, body.result);
}

void read(input_archive& in, decision::settle& body) {
    read(in, body.partition);
    read(in, body.key);
    read(in, body.attempt);
    read_enum(in, body.result, decision::settlement::not_run);
}

void write(output_archive& out, const decision::settle_ack& body) {
    write(out, body.key);
    write(out, body.attempt);
}

void read(input_archive& in, decision::settle_ack& body) {
    read(in, body.key);
    read(in, body.attempt);
}

void write(output_archive& out, const decision::crash_report& body) {
    write(out, body.body);
    write(out, body.upstream);
}

void read(input_archive& in, decision::crash_report& body) {
    read(in, body.body);
    read(in, body.upstream);
}

void write_measures(output_archive& out, const decision::upstream_work& work) {
    write(out, std::uint64_t{work.running});
    write(out, work.pending_tokens);
    write(out, work.memory_tokens);
    write(out, work.stored_tokens);
    write_list(out, work.prompt_parts, [&out](std::uint64_t part) { write(out, part); });
}

void read_measures(input_archive& in, decision::upstream_work& work) {
    work.running = read_bounded<std::uint32_t>(in);
    read(in, work.pending_tokens);
    read(in, work.memory_tokens);
    read(in, work.stored_tokens);
    read_list(in, work.prompt_parts, max_list_entries, [&in](std::uint64_t& part) { read(in, part); });
}

void write(output_archive& out, const decision::work_report& body) {
    write_list(out, body.upstreams, [&out](const decision::upstream_work& work) {
        write(out, work.upstream);
        write_measures(out, work);
    });
    write_list(out, body.accounts, [&out](const decision::account_work& work) {
        write(out, work.account);
        write(out, work.served);
        write(out, work.requested);
        write(out, work.recently_requested);
    });
    write(out, body.aggregated);
    write(out, body.acknowledged_sequence);
    write(out, body.upstreams_position);
}

void read(input_archive& in, decision::work_report& body) {
    read_list(in, body.upstreams, max_list_entries, [&in](decision::upstream_work& work) {
        read(in, work.upstream);
        read_measures(in, work);
    });
    read_list(in, body.accounts, max_list_entries, [&in](decision::account_work& work) {
        read(in, work.account);
        read(in, work.served);
        read(in, work.requested);
        read(in, work.recently_requested);
    });
    read(in, body.aggregated);
    read(in, body.acknowledged_sequence);
    read(in, body.upstreams_position);
}

// Ages.

using milliseconds = std::chrono::milliseconds;

/// Returns 0 for `never_confirmed`, otherwise the age in milliseconds, rounded up, plus one.
std::uint64_t encode_age(base::duration age) {
    if (age == decision::never_confirmed) {
        return 0;
    }
    const base::duration positive = std::max(age, base::duration::zero());
    return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(positive).count()) + 1;
}

base::duration decode_age(std::uint64_t packed) {
    constexpr std::uint64_t limit = std::chrono::duration_cast<milliseconds>(std::chrono::hours(24)).count();
    return packed == 0 || packed > limit ? decision::never_confirmed
                                         : base::duration(milliseconds(packed - 1));
}

void write_age(output_archive& out, base::duration age) {
    write(out, encode_age(age));
}

/// Reads an age that must be known.
void read_age(input_archive& in, base::duration& age) {
    std::uint64_t packed = 0;
    read(in, packed);
    age = decode_age(packed);
    if (age == decision::never_confirmed) {
        fail_malformed("age is missing or too large");
    }
}

void write(output_archive& out, const decision::limit_report& body) {
    write_list(out, body.limits, [&out](const decision::stated_limit& stated) {
        write(out, stated.upstream);
        write(out, static_cast<std::uint64_t>(stated.started_ms));
        write(out, stated.limit);
        write_age(out, stated.age);
    });
    write_list(out, body.demands, [&out](const decision::pool_demand& demand) {
        write(out, demand.pool);
        write(out, demand.requests);
    });
    write(out, std::uint64_t{body.routers});
    write(out, body.aggregated);
}

void read(input_archive& in, decision::limit_report& body) {
    read_list(in, body.limits, max_list_entries, [&in](decision::stated_limit& stated) {
        read(in, stated.upstream);
        std::uint64_t started_ms = 0;
        read(in, started_ms);
        stated.started_ms = static_cast<std::int64_t>(started_ms);
        read(in, stated.limit);
        read_age(in, stated.age);
    });
    read_list(in, body.demands, max_list_entries, [&in](decision::pool_demand& demand) {
        read(in, demand.pool);
        read(in, demand.requests);
    });
    body.routers = read_bounded<std::uint32_t>(in);
    read(in, body.aggregated);
}

void write(output_archive& out, const decision::crash_news& body) {
    write_list(out, body.crashes, [&out](const decision::upstream_crash& crash) {
        write(out, crash.upstream);
        write_age(out, crash.age);
        write_list(out, crash.suspects, [&out](const decision::crash_suspect& suspect) {
            write(out, suspect.request);
            write_list(out, suspect.shared_parts,
                       [&out](const base::fingerprint& part) { write(out, part); });
        });
    });
    write_list(out, body.cleared, [&out](const decision::cleared_feature& cleared) {
        write(out, cleared.feature);
        write_age(out, cleared.age);
    });
    write_list(out, body.blocked, [&out](const decision::blocked_feature& blocked) {
        write(out, blocked.feature);
        write_enum(out, blocked.kind);
        write_age(out, blocked.age);
    });
}

void read(input_archive& in, decision::crash_news& body) {
    read_list(in, body.crashes, max_list_entries, [&in](decision::upstream_crash& crash) {
        read(in, crash.upstream);
        read_age(in, crash.age);
        read_list(in, crash.suspects, max_list_entries, [&in](decision::crash_suspect& suspect) {
            read(in, suspect.request);
            read_list(in, suspect.shared_parts, max_list_entries,
                      [&in](base::fingerprint& part) { read(in, part); });
        });
    });
    read_list(in, body.cleared, max_list_entries, [&in](decision::cleared_feature& cleared) {
        read(in, cleared.feature);
        read_age(in, cleared.age);
    });
    read_list(in, body.blocked, max_list_entries, [&in](decision::blocked_feature& blocked) {
        read(in, blocked.feature);
        read_enum(in, blocked.kind, decision::feature_kind::prompt_part);
        read_age(in, blocked.age);
    });
}

void write(output_archive& out, const decision::upstream_entry& entry) {
    write(out, entry.pool);
    write(out, entry.address);
    write(out, entry.data_centre);
    write(out, static_cast<std::uint64_t>(entry.slots.value()));
    write_enum(out, entry.phase);
    write(out, static_cast<std::uint64_t>(entry.started_ms));
    write(out, entry.version);
    write_age(out, entry.warmup_left);
}

void read(input_archive& in, decision::upstream_entry& entry) {
    read(in, entry.pool);
    read(in, entry.address);
    read(in, entry.data_centre);
    const std::uint32_t slots = read_bounded<std::uint32_t>(in);
    if (slots > max_slots) {
        fail_malformed("number of slots is out of range");
    }
    entry.slots = base::slot_count(static_cast<std::int32_t>(slots));
    read_enum(in, entry.phase, decision::upstream_phase::draining);
    std::uint64_t started_ms = 0;
    read(in, started_ms);
    entry.started_ms = static_cast<std::int64_t>(started_ms);
    read(in, entry.version);
    read_age(in, entry.warmup_left);
}

void write(output_archive& out, const decision::upstream_list_update& body) {
    write(out, body.base_version);
    write(out, body.version);
    write(out, std::uint64_t{body.part});
    write(out, std::uint64_t{body.parts});
    write(out, body.store_position);
    write_list(out, body.changes, [&out](const decision::list_change& change) {
        write(out, change.id);
        write(out, change.entry.has_value());
        if (change.entry) {
            write(out, *change.entry);
        }
    });
}

void read(input_archive& in, decision::upstream_list_update& body) {
    read(in, body.base_version);
    read(in, body.version);
    body.part = read_bounded<std::uint32_t>(in);
    body.parts = read_bounded<std::uint32_t>(in);
    read(in, body.store_position);
    read_list(in, body.changes, max_list_entries, [&in](decision::list_change& change) {
        bool listed = false;
        read(in, change.id);
        read(in, listed);
        if (listed) {
            change.entry.emplace();
            change.entry->id = change.id;
            read(in, *change.entry);
        }
    });
    if (body.part >= body.parts || body.parts > max_update_parts || body.version < body.base_version) {
        fail_malformed("update has an impossible part or version");
    }
}

void write(output_archive& out, const decision::begun_streams& body) {
    const name_table<base::pool_id> pools(body.streams, &decision::begun_stream::pool);
    const name_table<base::software_version> versions(body.streams, &decision::begun_stream::version);
    pools.write_names(out);
    versions.write_names(out);
    write_list(out, body.streams, [&](const decision::begun_stream& stream) {
        write(out, stream.key);
        pools.write_index(out, stream.pool);
        versions.write_index(out, stream.version);
        write_age(out, stream.valid_for);
    });
}

void read(input_archive& in, decision::begun_streams& body) {
    const name_table<base::pool_id> pools(in);
    const name_table<base::software_version> versions(in);
    read_list(in, body.streams, max_list_entries, [&](decision::begun_stream& stream) {
        read(in, stream.key);
        pools.read_index(in, stream.pool);
        versions.read_index(in, stream.version);
        read_age(in, stream.valid_for);
    });
}

void write(output_archive& out, const decision::origin_query& body) {
    write(out, body.key);
}

void read(input_archive& in, decision::origin_query& body) {
    read(in, body.key);
}

void write(output_archive& out, const decision::origin_unknown& body) {
    write(out, body.key);
}

void read(input_archive& in, decision::origin_unknown& body) {
    read(in, body.key);
}

void write(output_archive& out, const decision::evacuation_report& body) {
    write_list(out, body.data_centres,
               [&out](const base::data_centre_id& data_centre) { write(out, data_centre); });
    write_age(out, body.age);
}

void read(input_archive& in, decision::evacuation_report& body) {
    read_list(in, body.data_centres, max_list_entries,
              [&in](base::data_centre_id& data_centre) { read(in, data_centre); });
    read_age(in, body.age);
}

void write(output_archive& out, const decision::warmup_report& body) {
    write_list(out, body.upstreams, [&out](const decision::cold_upstream& cold) {
        write(out, cold.upstream);
        write(out, static_cast<std::uint64_t>(cold.started_ms));
        write_age(out, cold.left);
    });
    write(out, body.aggregated);
}

void read(input_archive& in, decision::warmup_report& body) {
    read_list(in, body.upstreams, max_list_entries, [&in](decision::cold_upstream& cold) {
        read(in, cold.upstream);
        std::uint64_t started_ms = 0;
        read(in, started_ms);
        cold.started_ms = static_cast<std::int64_t>(started_ms);
        read_age(in, cold.left);
    });
    read(in, body.aggregated);
}

// Header.

void write(output_archive& out, const decision::message_header& header) {
    write(out, header.sender);
    write(out, header.incarnation);
    write(out, header.sequence);
    write(out, header.in_force);
    write(out, encode_age(header.confirmation_age));
    if (header.virtual_times.size() > max_virtual_times) {
        throw codec_failure(base::error_code::message_oversized, "header has too many virtual times");
    }
    write_list(out, header.virtual_times, [&out](const decision::pool_time& time) {
        write(out, time.pool);
        write(out, time.virtual_time);
    });
}

void read(input_archive& in, decision::message_header& header) {
    std::uint64_t age = 0;
    read(in, header.sender);
    read(in, header.incarnation);
    read(in, header.sequence);
    read(in, header.in_force);
    read(in, age);
    header.confirmation_age = decode_age(age);
    read_list(in, header.virtual_times, max_virtual_times, [&in](decision::pool_time& time) {
        read(in, time.pool);
        read(in, time.virtual_time);
    });
    if (header.sender.value().empty()) {
        fail_malformed("sender is empty");
    }
}

/// Reads the alternative of the message variant with index `kind`.
template <std::size_t Kind = 0>
void read_body(input_archive& in, std::size_t kind, decision::message& body) {
    if constexpr (Kind < message_kind_count) {
        if (kind == Kind) {
            read(in, body.emplace<Kind>());
        } else {
            read_body<Kind + 1>(in, kind, body);
        }
    } else {
        fail_malformed("kind of message is unknown");
    }
}

decision::envelope read_envelope(std::string_view datagram, std::uint32_t fleet) {
    datagram_reader reader(datagram);
    std::istream stream(&reader);
    input_archive in(stream, input_archive::Options::LittleEndian());
    std::uint16_t received_magic = 0;
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
    std::uint32_t received_fleet = 0;
    in(received_magic);
    if (received_magic != magic) {
        fail_malformed("datagram does not start with the magic number");
    }
    in(version);
    if (version != format_version) {
        throw codec_failure(base::error_code::message_wrong_version, "format version is not supported");
    }
    in(received_fleet);
    if (received_fleet != fleet) {
        throw codec_failure(base::error_code::message_wrong_fleet, "sender belongs to another fleet");
    }
    in(kind);
    decision::envelope envelope;
    read(in, envelope.header);
    read_body(in, kind, envelope.body);
    if (reader.remaining() > 0) {
        fail_malformed("bytes follow the message");
    }
    return envelope;
}

/// Removes the second half of a list and returns it; empty if the list has fewer than two entries.
template <typename Entry>
std::vector<Entry> split_half(std::vector<Entry>& entries) {
    const auto middle = entries.begin() + static_cast<std::ptrdiff_t>((entries.size() + 1) / 2);
    std::vector<Entry> rest(middle, entries.end());
    entries.erase(middle, entries.end());
    return rest;
}

/// Moves about half of the list of a message into a second message. Returns false if it cannot be divided.
class message_splitter {
public:
    explicit message_splitter(decision::message& rest) : rest_(rest) {}

    bool operator()(decision::ping& body) const {
        // Nonce 0 and no `want_table`: only the first part is acknowledged or answered with the member table.
        rest_ = decision::ping{0, body.digest, false, body.acknowledgements, split_half(body.updates)};
        return !std::get<decision::ping>(rest_).updates.empty();
    }
    bool operator()(decision::ack& body) const {
        rest_ = decision::ping{0, body.digest, false, body.acknowledgements, split_half(body.updates)};
        return !std::get<decision::ping>(rest_).updates.empty();
    }
    bool operator()(decision::bid& body) const {
        body.held_complete = false;
        decision::bid rest = body;
        rest.held = split_half(body.held);
        const bool divided = !rest.held.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::usage& body) const { return split_entries(body); }
    bool operator()(decision::usage_total& body) const { return split_entries(body); }
    bool operator()(decision::work_report& body) const {
        // The second part acknowledges no report, since that would count twice.
        decision::work_report rest{split_half(body.upstreams), split_half(body.accounts), body.aggregated, 0,
                                   body.upstreams_position};
        const bool divided = !rest.upstreams.empty() || !rest.accounts.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::crash_news& body) const {
        decision::crash_news rest{split_half(body.crashes), split_half(body.cleared),
                                  split_half(body.blocked)};
        const bool divided = !rest.crashes.empty() || !rest.cleared.empty() || !rest.blocked.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::limit_report& body) const {
        decision::limit_report rest{split_half(body.limits), split_half(body.demands), body.routers,
                                    body.aggregated};
        const bool divided = !rest.limits.empty() || !rest.demands.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::begun_streams& body) const {
        decision::begun_streams rest{split_half(body.streams)};
        const bool divided = !rest.streams.empty();
        rest_ = std::move(rest);
        return divided;
    }
    bool operator()(decision::warmup_report& body) const {
        decision::warmup_report rest{split_half(body.upstreams), body.aggregated};
        const bool divided = !rest.upstreams.empty();
        rest_ = std::move(rest);
        return divided;
    }
    template <typename Other>
    bool operator()(Other& /*body*/) const {
        return false;
    }

private:
    template <typename Body>
    bool split_entries(Body& body) const {
        rest_ = Body{split_half(body.entries)};
        return !std::get<Body>(rest_).entries.empty();
    }

    decision::message& rest_;
};

base::error describe(base::error_code code, const char* text) {
    return base::error{code, "datagram", text};
}

} // namespace

std::string_view message_kind_name(std::size_t kind) {
    constexpr std::array<std::string_view, message_kind_count> names{"ping",
                                                                     "ack",
                                                                     "ping_request",
                                                                     "bid",
                                                                     "grant",
                                                                     "release",
                                                                     "usage",
                                                                     "usage_total",
                                                                     "claim",
                                                                     "claim_result",
                                                                     "settle",
                                                                     "settle_ack",
                                                                     "crash_report",
                                                                     "work_report",
                                                                     "crash_news",
                                                                     "limit_report",
                                                                     "upstream_list_update",
                                                                     "begun_streams",
                                                                     "origin_query",
                                                                     "origin_unknown",
                                                                     "evacuation_report",
                                                                     "warmup_report"};
    return names.at(kind);
}

codec::codec(std::string_view fleet_name)
    : fleet_(static_cast<std::uint32_t>(base::stable_hash(fleet_name))) {}

base::result<std::string> codec::encode(const decision::envelope& envelope) const {
    try {
        datagram_writer writer;
        std::ostream stream(&writer);
        output_archive out(stream, output_archive::Options::LittleEndian());
        out(magic, format_version, fleet_, static_cast<std::uint8_t>(envelope.body.index()));
        write(out, envelope.header);
        std::visit([&out](const auto& body) { write(out, body); }, envelope.body);
        return writer.bytes();
    } catch (const codec_failure& failure) {
        return tl::unexpected(describe(failure.code(), failure.what()));
    } catch (const std::exception&) {
        return tl::unexpected(
            describe(base::error_code::message_oversized, "message does not fit into a datagram"));
    }
}

base::result<std::vector<std::string>> codec::encode_split(const decision::envelope& envelope) const {
    std::vector<std::string> datagrams;
    std::vector<decision::envelope> parts{envelope};
    while (!parts.empty()) {
        base::result<std::string> datagram = encode(parts.back());
        if (datagram) {
            datagrams.push_back(std::move(*datagram));
            parts.pop_back();
            continue;
        }
        decision::message rest;
        if (datagram.error().code != base::error_code::message_oversized ||
            !std::visit(message_splitter(rest), parts.back().body)) {
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
    } catch (const codec_failure& failure) {
        return tl::unexpected(describe(failure.code(), failure.what()));
    } catch (const cereal::Exception&) {
        return tl::unexpected(describe(base::error_code::message_truncated, "datagram ends too early"));
    } catch (const std::exception&) {
        return tl::unexpected(describe(base::error_code::message_malformed, "datagram cannot be read"));
    }
}

} // namespace bluebell::fleet
