#include "store/journal.h"

#include "base/hash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstdio>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bluebell::store {
namespace {

constexpr std::uint32_t magic = 0x62626a31; // "bbj1"
constexpr std::uint8_t format_version = 1;
constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t segment_name_bytes = 21;
constexpr base::duration shortest_term = std::chrono::seconds(1);
constexpr base::duration longest_term = std::chrono::minutes(1);
/// Upper bound of the wait on a ring, and so of the time to notice a stop.
constexpr base::duration ring_wait = std::chrono::milliseconds(200);

enum class object_kind : std::uint8_t { tail = 1, segment = 2, lease = 3 };

using writer = cereal::PortableBinaryOutputArchive;

/// Reads fields and checks each length against the bytes that are left, so that a malformed length cannot
/// make the router allocate memory.
class reader {
public:
    explicit reader(std::string_view bytes) : stream_(std::string(bytes)), archive_(stream_) {}

    template <typename T>
    T number() {
        T value{};
        archive_(value);
        return value;
    }
    base::uint128 uint128() {
        base::uint128 value;
        archive_(value.high, value.low);
        return value;
    }
    std::size_t count(std::size_t item_bytes) {
        const std::size_t value = number<std::uint32_t>();
        if (value > left() / item_bytes) {
            throw std::runtime_error("a count exceeds the size of the object");
        }
        return value;
    }
    std::string text() {
        std::string value(count(1), '\0');
        archive_(cereal::binary_data(value.data(), value.size()));
        return value;
    }
    void expect_end() {
        if (left() != 0) {
            throw std::runtime_error("bytes follow the last field");
        }
    }

private:
    std::size_t left() {
        const std::streampos at = stream_.tellg();
        stream_.seekg(0, std::ios::end);
        const std::streampos end = stream_.tellg();
        stream_.seekg(at);
        return static_cast<std::size_t>(end - at);
    }

    std::istringstream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

void put_wide(writer& out, const base::uint128& value) {
    out(value.high, value.low);
}

void put_text(writer& out, const std::string& value) {
    out(static_cast<std::uint32_t>(value.size()));
    out(cereal::binary_data(value.data(), value.size()));
}

void put_records(writer& out, const std::vector<decision::journal_record>& records) {
    out(static_cast<std::uint32_t>(records.size()));
    for (const decision::journal_record& record : records) {
        put_wide(out, record.key.value());
        put_wide(out, record.attempt.value());
        out(static_cast<std::uint8_t>(record.state), record.written_s);
    }
}

std::vector<decision::journal_record> take_records(reader& in) {
    const std::size_t count = in.count(decision::journal_record_bytes);
    std::vector<decision::journal_record> records;
    records.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        decision::journal_record record;
        record.key = base::key_hash(in.uint128());
        record.attempt = base::request_id(in.uint128());
        const std::uint8_t state = in.number<std::uint8_t>();
        if (state > static_cast<std::uint8_t>(decision::key_state::released)) {
            throw std::runtime_error("unknown key state");
        }
        record.state = static_cast<decision::key_state>(state);
        record.written_s = in.number<std::uint32_t>();
        records.push_back(record);
    }
    return records;
}

/// Frames what `body` writes.
template <typename Body>
std::string encode(object_kind kind, const Body& body) {
    std::ostringstream stream;
    {
        writer out(stream);
        out(magic, format_version, static_cast<std::uint8_t>(kind));
        body(out);
    }
    const std::uint64_t checksum = base::stable_hash(stream.str());
    {
        writer out(stream);
        out(checksum);
    }
    return stream.str();
}

/// Checks the frame and lets `body` read the fields. cereal reports a short input by an exception.
template <typename T, typename Body>
base::result<T> decode(object_kind kind, const std::string& place, std::string_view bytes, const Body& body) {
    if (bytes.size() > store_value_limit) {
        return base::failure(base::error_code::value_too_large, place, "the object exceeds 1 MB");
    }
    try {
        if (bytes.size() <= checksum_bytes + 1) {
            throw std::runtime_error("the object is too short");
        }
        // The trailing archive starts with its own byte-order mark.
        const std::string_view content = bytes.substr(0, bytes.size() - checksum_bytes - 1);
        reader sum(bytes.substr(content.size()));
        if (sum.number<std::uint64_t>() != base::stable_hash(content)) {
            throw std::runtime_error("the checksum does not match");
        }
        reader in(content);
        if (in.number<std::uint32_t>() != magic || in.number<std::uint8_t>() != format_version ||
            in.number<std::uint8_t>() != static_cast<std::uint8_t>(kind)) {
            throw std::runtime_error("unknown kind or version of object");
        }
        T value = body(in);
        in.expect_end();
        return value;
    } catch (const std::exception& caught) {
        return base::failure(base::error_code::store_malformed, place, caught.what());
    }
}

void put_segment_name(writer& out, const decision::segment_name& name) {
    out(name.generation.value(), name.number, name.newest_s, name.count, name.level);
}

decision::segment_name take_segment_name(reader& in) {
    decision::segment_name name;
    name.generation = base::epoch(in.number<std::uint64_t>());
    name.number = in.number<std::uint32_t>();
    name.newest_s = in.number<std::uint32_t>();
    name.count = in.number<std::uint32_t>();
    name.level = in.number<std::uint8_t>();
    return name;
}

decision::journal_tail take_tail(reader& in) {
    decision::journal_tail tail;
    tail.partition = base::partition_id(in.number<std::uint16_t>());
    tail.owner = base::vm_id(in.text());
    tail.incarnation = base::incarnation(in.number<std::uint64_t>());
    tail.generation = base::epoch(in.number<std::uint64_t>());
    tail.batch = in.number<std::uint64_t>();
    tail.clock_s = in.number<std::uint32_t>();
    tail.records = take_records(in);
    const std::size_t count = in.count(segment_name_bytes);
    for (std::size_t i = 0; i < count; ++i) {
        tail.segments.push_back(take_segment_name(in));
    }
    return tail;
}

decision::lease_record take_lease(reader& in) {
    decision::lease_record record;
    record.pool = base::pool_id(in.text());
    record.holder = base::vm_id(in.text());
    record.incarnation = base::incarnation(in.number<std::uint64_t>());
    record.generation = base::epoch(in.number<std::uint64_t>());
    record.write_number = in.number<std::uint64_t>();
    record.term = base::duration(in.number<std::int64_t>());
    if (record.term < shortest_term || record.term > longest_term) {
        throw std::runtime_error("the term of the lease is out of range");
    }
    return record;
}

/// The tail stored under the name of `partition`.
base::result<decision::journal_tail> decode_tail_of(base::partition_id partition, const std::string& bytes) {
    base::result<decision::journal_tail> tail = decode_tail(bytes);
    if (tail && tail->partition != partition) {
        return base::failure(base::error_code::store_malformed, "tail", "the tail is of another partition");
    }
    return tail;
}

/// True if the store itself did not answer, as opposed to a fault of one object.
bool outage(base::error_code code) {
    return code == base::error_code::store_unavailable || code == base::error_code::store_answer_lost ||
           code == base::error_code::store_rate_limited;
}

std::string segment_prefix(base::partition_id partition) {
    return "journal/" + std::to_string(partition.value()) + "/segment/";
}

} // namespace

base::object_name tail_name(base::partition_id partition) {
    return base::object_name("journal/" + std::to_string(partition.value()) + "/tail");
}

base::object_name segment_object(base::partition_id partition, const decision::segment_name& name) {
    return base::object_name(segment_prefix(partition) + std::to_string(name.generation.value()) + "-" +
                             std::to_string(name.number));
}

base::object_name lease_name(const base::pool_id& pool) {
    // Pool names may contain characters that object names do not take.
    return base::object_name("lease/" + base::to_hex(base::stable_hash_128({pool.value()})));
}

std::string encode_tail(const decision::journal_tail& tail) {
    return encode(object_kind::tail, [&](writer& out) {
        out(tail.partition.value());
        put_text(out, tail.owner.value());
        out(tail.incarnation.value(), tail.generation.value(), tail.batch, tail.clock_s);
        put_records(out, tail.records);
        out(static_cast<std::uint32_t>(tail.segments.size()));
        for (const decision::segment_name& name : tail.segments) {
            put_segment_name(out, name);
        }
    });
}

base::result<decision::journal_tail> decode_tail(std::string_view bytes) {
    return decode<decision::journal_tail>(object_kind::tail, "tail", bytes, take_tail);
}

std::string encode_segment(const std::vector<decision::journal_record>& records) {
    return encode(object_kind::segment, [&](writer& out) { put_records(out, records); });
}

base::result<std::vector<decision::journal_record>> decode_segment(std::string_view bytes) {
    return decode<std::vector<decision::journal_record>>(object_kind::segment, "segment", bytes,
                                                         take_records);
}

std::string encode_lease(const decision::lease_record& record) {
    return encode(object_kind::lease, [&](writer& out) {
        put_text(out, record.pool.value());
        put_text(out, record.holder.value());
        out(record.incarnation.value(), record.generation.value(), record.write_number,
            static_cast<std::int64_t>(record.term.count()));
    });
}

base::result<decision::lease_record> decode_lease(std::string_view bytes) {
    return decode<decision::lease_record>(object_kind::lease, "lease", bytes, take_lease);
}

/// Pauses between the tries of one command, within its budget.
class journal_writer::retry_limit {
public:
    retry_limit(journal_writer& owner, const pause_function& pause)
        : owner_(owner), pause_(pause), next_(owner.settings_.first_pause),
          end_(owner.clock_.now() + (owner.store_failed_ ? base::duration{} : owner.settings_.budget)) {}

    /// Waits before the next try; false if there is none.
    bool again() {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        const base::duration wait =
            std::chrono::duration_cast<base::duration>(next_ * jitter(owner_.random_));
        if (owner_.clock_.now() + wait >= end_) {
            return false;
        }
        next_ = std::min(next_ * 2, owner_.settings_.longest_pause);
        return !pause_(wait);
    }

private:
    journal_writer& owner_;
    const pause_function& pause_;
    base::duration next_;
    const base::time_point end_;
};

journal_writer::journal_writer(object_store& store, const base::clock& time, journal_settings settings,
                               std::uint64_t seed)
    : store_(store), clock_(time), settings_(settings), random_(seed) {}

decision::event journal_writer::carry_out(const decision::journal_command& command,
                                          const pause_function& pause) {
    retry_limit left(*this, pause);
    std::optional<base::error> cause;
    decision::event answer;
    const auto keep = [&](auto done) {
        cause = done.cause;
        answer = std::move(done);
    };
    if (const auto* change = std::get_if<decision::journal_update>(&command)) {
        keep(update(*change, left));
    } else if (const auto* takeover = std::get_if<decision::journal_takeover>(&command)) {
        keep(take_over(*takeover, left));
    } else if (const auto* query = std::get_if<decision::lease_read>(&command)) {
        keep(read_lease(*query, left));
    } else {
        keep(write_lease(std::get<decision::lease_update>(command), left));
    }
    store_failed_ = cause && outage(cause->code);
    return answer;
}

base::result<stored_object> journal_writer::read(const base::object_name& name, retry_limit& left) {
    for (;;) {
        base::result<stored_object> found = store_.read(name);
        if (found || !outage(found.error().code) || !left.again()) {
            return found;
        }
    }
}

journal_writer::write_end journal_writer::write(const base::object_name& name, const std::string& value,
                                                base::object_version expected, retry_limit& left) {
    // The same conditional update can be repeated after a lost answer: it takes effect once at most, and if
    // the first one did, the conflict leads to reading back.
    bool may_have_landed = false;
    for (;;) {
        base::result<base::object_version> version = store_.update(name, value, expected);
        if (version) {
            return {version, std::nullopt};
        }
        if (version.error().code == base::error_code::store_conflict) {
            break;
        }
        may_have_landed = may_have_landed || version.error().code == base::error_code::store_answer_lost;
        if (!outage(version.error().code) || !left.again()) {
            if (may_have_landed) {
                version.error().code = base::error_code::store_answer_lost;
            }
            return {version, std::nullopt};
        }
    }
    base::result<stored_object> found = read(name, left);
    if (!found) {
        return {tl::unexpected<base::error>(found.error()), std::nullopt};
    }
    if (found->value == value) {
        return {found->version, std::nullopt};
    }
    return {base::failure(base::error_code::store_conflict, name.value(), "another write came first"),
            std::move(*found)};
}

base::result<std::vector<decision::journal_record>>
journal_writer::read_segment(base::partition_id partition, const decision::segment_name& name,
                             retry_limit& left) {
    const base::result<stored_object> object = read(segment_object(partition, name), left);
    if (!object) {
        return tl::unexpected<base::error>(object.error());
    }
    return decode_segment(object->value);
}

base::result<void> journal_writer::seal(const decision::journal_update& command, retry_limit& left) {
    const base::partition_id partition = command.tail.partition;
    std::vector<decision::journal_record> records = command.seal->records;
    for (const decision::segment_name& name : command.merged) {
        const base::result<std::vector<decision::journal_record>> part = read_segment(partition, name, left);
        if (!part) {
            return tl::unexpected<base::error>(part.error());
        }
        records.insert(records.end(), part->begin(), part->end());
    }
    const std::string value = encode_segment(decision::merge_records(std::move(records), command.oldest_s));
    const base::object_name name = segment_object(partition, command.seal->name);
    const write_end end = write(name, value, base::object_version(), left);
    if (!end.version) {
        return tl::unexpected<base::error>(end.version.error());
    }
    return {};
}

decision::journal_answered journal_writer::update(const decision::journal_update& command,
                                                  retry_limit& left) {
    decision::journal_answered answer;
    answer.partition = command.tail.partition;
    answer.ticket = command.ticket;
    const base::object_name name = tail_name(answer.partition);
    std::optional<stored_object> found;
    if (command.seal) {
        const base::result<void> sealed = seal(command, left);
        if (!sealed) {
            answer.cause = sealed.error();
            if (outage(sealed.error().code)) {
                return answer;
            }
            // A segment that is gone or that exists with other content means that the tail has changed since.
            base::result<stored_object> current = read(name, left);
            if (!current || current->version == command.expected) {
                return answer;
            }
            found = std::move(*current);
        }
    }
    if (!found) {
        write_end end = write(name, encode_tail(command.tail), command.expected, left);
        if (end.version) {
            answer.tail = command.tail;
            answer.version = *end.version;
            discard(answer.partition, command.merged);
            discard(answer.partition, command.expired);
            return answer;
        }
        answer.cause = end.version.error();
        found = std::move(end.found);
    }
    if (found) {
        base::result<decision::journal_tail> tail = decode_tail_of(answer.partition, found->value);
        if (!tail) {
            answer.cause = tail.error();
            return answer;
        }
        answer.tail = std::move(*tail);
        answer.version = found->version;
    }
    return answer;
}

decision::journal_answered journal_writer::take_over(const decision::journal_takeover& command,
                                                     retry_limit& left) {
    decision::journal_answered answer;
    answer.partition = command.partition;
    answer.ticket = command.ticket;
    const base::object_name name = tail_name(command.partition);
    base::result<stored_object> current = read(name, left);
    for (std::size_t round = 0; round < settings_.takeover_rounds; ++round) {
        decision::journal_tail tail;
        tail.partition = command.partition;
        base::object_version expected;
        if (current) {
            base::result<decision::journal_tail> stored = decode_tail_of(command.partition, current->value);
            if (!stored) {
                answer.cause = stored.error();
                return answer;
            }
            tail = std::move(*stored);
            expected = current->version;
        } else if (current.error().code != base::error_code::store_not_found) {
            answer.cause = current.error();
            return answer;
        }
        if (round > 0 && answer.tail && tail.generation != answer.tail->generation) {
            // Another router took over meanwhile; contending for the partition at full speed helps neither.
            answer.tail = std::move(tail);
            answer.version = expected;
            return answer;
        }
        answer.tail = tail;
        answer.version = expected;
        tail.owner = command.new_owner;
        tail.incarnation = command.incarnation;
        tail.generation += base::epoch(1);
        tail.batch = 0;
        write_end end = write(name, encode_tail(tail), expected, left);
        if (end.version) {
            answer.cause.reset();
            answer.tail = std::move(tail);
            answer.version = *end.version;
            base::result<std::vector<decision::journal_record>> sealed = read_segments(
                *answer.tail, decision::oldest_retained_s(answer.tail->clock_s, command.retention_s), left);
            if (sealed) {
                answer.sealed = std::move(*sealed);
                find_garbage(*answer.tail);
            } else {
                answer.cause = sealed.error();
            }
            return answer;
        }
        answer.cause = end.version.error();
        if (!end.found) {
            answer.tail.reset();
            return answer;
        }
        current = std::move(*end.found);
    }
    return answer;
}

base::result<std::vector<decision::journal_record>>
journal_writer::read_segments(const decision::journal_tail& tail, std::uint32_t oldest_s, retry_limit& left) {
    std::vector<decision::journal_record> all;
    for (const decision::segment_name& name : tail.segments) {
        if (name.newest_s < oldest_s) {
            continue;
        }
        base::result<std::vector<decision::journal_record>> part = read_segment(tail.partition, name, left);
        if (!part) {
            if (part.error().code == base::error_code::store_not_found) {
                part.error().code = base::error_code::store_malformed;
            }
            return part;
        }
        all.insert(all.end(), part->begin(), part->end());
    }
    return all;
}

void journal_writer::find_garbage(const decision::journal_tail& tail) {
    const base::result<std::vector<base::object_name>> present = store_.list(segment_prefix(tail.partition));
    if (!present) {
        return;
    }
    // No segment of this generation exists yet, and an earlier owner cannot commit one any more.
    std::set<base::object_name> listed;
    for (const decision::segment_name& name : tail.segments) {
        listed.insert(segment_object(tail.partition, name));
    }
    for (const base::object_name& name : *present) {
        if (listed.count(name) == 0 && garbage_.size() < settings_.garbage) {
            garbage_.push_back(name);
        }
    }
}

void journal_writer::discard(base::partition_id partition, const std::vector<decision::segment_name>& names) {
    for (const decision::segment_name& name : names) {
        if (garbage_.size() < settings_.garbage) {
            garbage_.push_back(segment_object(partition, name));
        }
    }
}

void journal_writer::remove_garbage() {
    if (garbage_.empty() || store_failed_) {
        return;
    }
    const base::object_name name = std::move(garbage_.front());
    garbage_.pop_front();
    const base::result<stored_object> object = store_.read(name);
    if (object) {
        static_cast<void>(store_.remove(name, object->version));
    }
}

decision::lease_answered journal_writer::read_lease(const decision::lease_read& command, retry_limit& left) {
    decision::lease_answered answer;
    answer.pool = command.pool;
    answer.ticket = command.ticket;
    const base::result<stored_object> found = read(lease_name(command.pool), left);
    if (!found) {
        if (found.error().code != base::error_code::store_not_found) {
            answer.cause = found.error();
        }
        return answer;
    }
    const base::result<decision::lease_record> record = decode_lease(found->value);
    if (!record) {
        answer.cause = record.error();
        return answer;
    }
    answer.record = *record;
    answer.version = found->version;
    return answer;
}

decision::lease_answered journal_writer::write_lease(const decision::lease_update& command,
                                                     retry_limit& left) {
    decision::lease_answered answer;
    answer.pool = command.record.pool;
    answer.ticket = command.ticket;
    const write_end end =
        write(lease_name(answer.pool), encode_lease(command.record), command.expected, left);
    if (end.version) {
        answer.record = command.record;
        answer.version = *end.version;
        return answer;
    }
    answer.cause = end.version.error();
    if (end.found) {
        const base::result<decision::lease_record> record = decode_lease(end.found->value);
        if (!record) {
            answer.cause = record.error();
            return answer;
        }
        answer.record = *record;
        answer.version = end.found->version;
    }
    return answer;
}

journal::journal(std::unique_ptr<object_store> store, const base::clock& time, journal_settings settings,
                 std::uint64_t seed, base::ring<decision::journal_command>& commands,
                 base::ring<decision::event>& events)
    : store_(std::move(store)), clock_(time), settings_(settings), seed_(seed), commands_(commands),
      events_(events) {}

void journal::run(base::stop_signal& stop) {
    journal_writer writer(*store_, clock_, settings_, seed_);
    const journal_writer::pause_function pause = [&](base::duration wait) { return stop.wait_for(wait); };
    while (!stop.requested()) {
        const std::optional<decision::journal_command> command = commands_.pop(ring_wait);
        if (!command) {
            writer.remove_garbage();
            // A closed ring returns at once, also before the stop is requested.
            if (commands_.closed() && stop.wait_for(ring_wait)) {
                return;
            }
            continue;
        }
        const decision::event answer = writer.carry_out(*command, pause);
        if (writer.garbage() > settings_.garbage / 2) {
            writer.remove_garbage();
        }
        while (!stop.requested() && events_.push(answer, ring_wait) == base::push_result::full) {
        }
    }
}

} // namespace bluebell::store
