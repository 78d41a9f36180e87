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
constexpr std::size_t segment_name_bytes = 21; // encoded size
constexpr base::duration shortest_term = std::chrono::seconds(1);
constexpr base::duration longest_term = std::chrono::minutes(1);
/// Longest wait on a ring, which bounds the delay of a stop.
constexpr base::duration ring_timeout = std::chrono::milliseconds(200);

enum class object_kind : std::uint8_t { tail = 1, segment = 2, lease = 3 };

using archive_writer = cereal::PortableBinaryOutputArchive;

/// Reads fields and checks each length against the remaining bytes, so that a malformed length cannot cause a
/// large allocation.
class archive_reader {
public:
    explicit archive_reader(std::string_view bytes) : stream_(std::string(bytes)), archive_(stream_) {}

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
        if (value > remaining_bytes() / item_bytes) {
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
        if (remaining_bytes() != 0) {
            throw std::runtime_error("bytes follow the last field");
        }
    }

private:
    std::size_t remaining_bytes() {
        const std::streampos at = stream_.tellg();
        stream_.seekg(0, std::ios::end);
        const std::streampos end = stream_.tellg();
        stream_.seekg(at);
        return static_cast<std::size_t>(end - at);
    }

    std::istringstream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

void write_uint128(archive_writer& out, const base::uint128& value) {
    out(value.high, value.low);
}

void write_text(archive_writer& out, const std::string& value) {
    out(static_cast<std::uint32_t>(value.size()));
    out(cereal::binary_data(value.data(), value.size()));
}

void write_records(archive_writer& out, const std::vector<decision::journal_record>& records) {
    out(static_cast<std::uint32_t>(records.size()));
    for (const decision::journal_record& record : records) {
        write_uint128(out, record.key.value());
        write_uint128(out, record.attempt.value());
        out(static_cast<std::uint8_t>(record.state), record.written_s);
    }
}

std::vector<decision::journal_record> read_records(archive_reader& in) {
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

/// Encodes an object: header, the fields that `body` writes, checksum.
template <typename Body>
std::string encode(object_kind kind, const Body& body) {
    std::ostringstream stream;
    {
        archive_writer out(stream);
        out(magic, format_version, static_cast<std::uint8_t>(kind));
        body(out);
    }
    const std::uint64_t checksum = base::stable_hash(stream.str());
    {
        archive_writer out(stream);
        out(checksum);
    }
    return stream.str();
}

/// Checks header and checksum and reads the fields with `body`. cereal throws if the input is too short.
template <typename T, typename Body>
base::result<T> decode(object_kind kind, const std::string& place, std::string_view bytes, const Body& body) {
    if (bytes.size() > store_value_limit) {
        return base::failure(base::error_code::value_too_large, place, "the object exceeds 1 MB");
    }
    try {
        if (bytes.size() <= checksum_bytes + 1) {
            throw std::runtime_error("the object is too short");
        }
        // The checksum is an archive of its own, which starts with a byte-order mark of one byte.
        const std::string_view content = bytes.substr(0, bytes.size() - checksum_bytes - 1);
        archive_reader checksum_reader(bytes.substr(content.size()));
        if (checksum_reader.number<std::uint64_t>() != base::stable_hash(content)) {
            throw std::runtime_error("the checksum does not match");
        }
        archive_reader in(content);
        if (in.number<std::uint32_t>() != magic || in.number<std::uint8_t>() != format_version ||
            in.number<std::uint8_t>() != static_cast<std::uint8_t>(kind)) {
            throw std::runtime_error("unknown kind or version of object");
        }
        T value = body(in);
        in.expect_end();
        return value;
    } catch (const std::exception& exception) {
        return base::failure(base::error_code::store_malformed, place, exception.what());
    }
}

void write_segment_name(archive_writer& out, const decision::segment_name& name) {
    out(name.generation.value(), name.number, name.newest_s, name.count, name.level);
}

decision::segment_name read_segment_name(archive_reader& in) {
    decision::segment_name name;
    name.generation = base::epoch(in.number<std::uint64_t>());
    name.number = in.number<std::uint32_t>();
    name.newest_s = in.number<std::uint32_t>();
    name.count = in.number<std::uint32_t>();
    name.level = in.number<std::uint8_t>();
    return name;
}

decision::journal_tail read_tail(archive_reader& in) {
    decision::journal_tail tail;
    tail.partition = base::partition_id(in.number<std::uint16_t>());
    tail.owner = base::vm_id(in.text());
    tail.incarnation = base::incarnation(in.number<std::uint64_t>());
    tail.generation = base::epoch(in.number<std::uint64_t>());
    tail.batch = in.number<std::uint64_t>();
    tail.clock_s = in.number<std::uint32_t>();
    tail.records = read_records(in);
    const std::size_t count = in.count(segment_name_bytes);
    for (std::size_t i = 0; i < count; ++i) {
        tail.segments.push_back(read_segment_name(in));
    }
    return tail;
}

decision::lease_record read_lease_record(archive_reader& in) {
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

/// Decodes a tail and checks that it is the one of `partition`.
base::result<decision::journal_tail> decode_tail_of(base::partition_id partition, const std::string& bytes) {
    base::result<decision::journal_tail> tail = decode_tail(bytes);
    if (tail && tail->partition != partition) {
        return base::failure(base::error_code::store_malformed, "tail", "the tail is of another partition");
    }
    return tail;
}

/// Returns true if the error means that the store failed to serve the call, not that one object is faulty.
bool is_outage(base::error_code code) {
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
    // Pool names may contain characters that are not valid in object names.
    return base::object_name("lease/" + base::to_hex(base::stable_hash_128({pool.value()})));
}

std::string encode_tail(const decision::journal_tail& tail) {
    return encode(object_kind::tail, [&](archive_writer& out) {
        out(tail.partition.value());
        write_text(out, tail.owner.value());
        out(tail.incarnation.value(), tail.generation.value(), tail.batch, tail.clock_s);
        write_records(out, tail.records);
        out(static_cast<std::uint32_t>(tail.segments.size()));
        for (const decision::segment_name& name : tail.segments) {
            write_segment_name(out, name);
        }
    });
}

base::result<decision::journal_tail> decode_tail(std::string_view bytes) {
    return decode<decision::journal_tail>(object_kind::tail, "tail", bytes, read_tail);
}

std::string encode_segment(const std::vector<decision::journal_record>& records) {
    return encode(object_kind::segment, [&](archive_writer& out) { write_records(out, records); });
}

base::result<std::vector<decision::journal_record>> decode_segment(std::string_view bytes) {
    return decode<std::vector<decision::journal_record>>(object_kind::segment, "segment", bytes,
                                                         read_records);
}

std::string encode_lease(const decision::lease_record& record) {
    return encode(object_kind::lease, [&](archive_writer& out) {
        write_text(out, record.pool.value());
        write_text(out, record.holder.value());
        out(record.incarnation.value(), record.generation.value(), record.write_number,
            static_cast<std::int64_t>(record.term.count()));
    });
}

base::result<decision::lease_record> decode_lease(std::string_view bytes) {
    return decode<decision::lease_record>(object_kind::lease, "lease", bytes, read_lease_record);
}

/// Limits the retries of one command to its time budget and pauses before each.
class journal_writer::retry_budget {
public:
    retry_budget(journal_writer& writer, const pause_function& pause)
        : writer_(writer), pause_(pause), next_pause_(writer.settings_.first_pause),
          deadline_(writer.clock_.now() +
                    (writer.store_failed_ ? base::duration{} : writer.settings_.budget)) {}

    /// Waits before the next attempt; returns false if there must not be one.
    bool wait_for_retry() {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        const base::duration wait =
            std::chrono::duration_cast<base::duration>(next_pause_ * jitter(writer_.random_));
        if (writer_.clock_.now() + wait >= deadline_) {
            return false;
        }
        next_pause_ = std::min(next_pause_ * 2, writer_.settings_.longest_pause);
        return !pause_(wait);
    }

private:
    journal_writer& writer_;
    const pause_function& pause_;
    base::duration next_pause_;
    const base::time_point deadline_;
};

journal_writer::journal_writer(object_store& store, const base::clock& clock, journal_settings settings,
                               std::uint64_t seed)
    : store_(store), clock_(clock), settings_(settings), random_(seed) {}

decision::event journal_writer::carry_out(const decision::journal_command& command,
                                          const pause_function& pause) {
    retry_budget retries(*this, pause);
    std::optional<base::error> cause;
    decision::event answer;
    const auto set_answer = [&](auto result) {
        cause = result.cause;
        answer = std::move(result);
    };
    if (const auto* change = std::get_if<decision::journal_update>(&command)) {
        set_answer(update(*change, retries));
    } else if (const auto* takeover = std::get_if<decision::journal_takeover>(&command)) {
        set_answer(take_over(*takeover, retries));
    } else if (const auto* query = std::get_if<decision::lease_read>(&command)) {
        set_answer(read_lease(*query, retries));
    } else {
        set_answer(write_lease(std::get<decision::lease_update>(command), retries));
    }
    store_failed_ = cause && is_outage(cause->code);
    return answer;
}

base::result<stored_object> journal_writer::read(const base::object_name& name, retry_budget& retries) {
    for (;;) {
        base::result<stored_object> found = store_.read(name);
        if (found || !is_outage(found.error().code) || !retries.wait_for_retry()) {
            return found;
        }
    }
}

journal_writer::write_result journal_writer::write(const base::object_name& name, const std::string& value,
                                                   base::object_version expected, retry_budget& retries) {
    // A conditional update can be repeated after a lost answer, since it takes effect at most once. If the
    // first one did, the repetition conflicts and the object is read back and compared.
    bool may_have_applied = false;
    for (;;) {
        base::result<base::object_version> version = store_.update(name, value, expected);
        if (version) {
            return {version, std::nullopt};
        }
        if (version.error().code == base::error_code::store_conflict) {
            break;
        }
        may_have_applied = may_have_applied || version.error().code == base::error_code::store_answer_lost;
        if (!is_outage(version.error().code) || !retries.wait_for_retry()) {
            if (may_have_applied) {
                version.error().code = base::error_code::store_answer_lost;
            }
            return {version, std::nullopt};
        }
    }
    base::result<stored_object> found = read(name, retries);
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
                             retry_budget& retries) {
    const base::result<stored_object> object = read(segment_object(partition, name), retries);
    if (!object) {
        return tl::unexpected<base::error>(object.error());
    }
    return decode_segment(object->value);
}

base::result<void> journal_writer::seal(const decision::journal_update& command, retry_budget& retries) {
    const base::partition_id partition = command.tail.partition;
    std::vector<decision::journal_record> records = command.seal->records;
    for (const decision::segment_name& name : command.merged) {
        const base::result<std::vector<decision::journal_record>> part =
            read_segment(partition, name, retries);
        if (!part) {
            return tl::unexpected<base::error>(part.error());
        }
        records.insert(records.end(), part->begin(), part->end());
    }
    const std::string value = encode_segment(decision::merge_records(std::move(records), command.oldest_s));
    const base::object_name name = segment_object(partition, command.seal->name);
    const write_result written = write(name, value, base::object_version(), retries);
    if (!written.version) {
        return tl::unexpected<base::error>(written.version.error());
    }
    return {};
}

decision::journal_answered journal_writer::update(const decision::journal_update& command,
                                                  retry_budget& retries) {
    decision::journal_answered answer;
    answer.partition = command.tail.partition;
    answer.ticket = command.ticket;
    const base::object_name name = tail_name(answer.partition);
    std::optional<stored_object> found;
    if (command.seal) {
        const base::result<void> sealed = seal(command, retries);
        if (!sealed) {
            answer.cause = sealed.error();
            if (is_outage(sealed.error().code)) {
                return answer;
            }
            // If a segment is missing or has other content, the tail has changed since `command` was issued.
            base::result<stored_object> current = read(name, retries);
            if (!current || current->version == command.expected) {
                return answer;
            }
            found = std::move(*current);
        }
    }
    if (!found) {
        write_result written = write(name, encode_tail(command.tail), command.expected, retries);
        if (written.version) {
            answer.tail = command.tail;
            answer.version = *written.version;
            queue_for_removal(answer.partition, command.merged);
            queue_for_removal(answer.partition, command.expired);
            return answer;
        }
        answer.cause = written.version.error();
        found = std::move(written.existing);
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
                                                     retry_budget& retries) {
    decision::journal_answered answer;
    answer.partition = command.partition;
    answer.ticket = command.ticket;
    const base::object_name name = tail_name(command.partition);
    base::result<stored_object> current = read(name, retries);
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
            // Another router took over in the meantime. Giving way keeps two routers from contending for the
            // partition in a tight loop.
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
        write_result written = write(name, encode_tail(tail), expected, retries);
        if (written.version) {
            answer.cause.reset();
            answer.tail = std::move(tail);
            answer.version = *written.version;
            base::result<std::vector<decision::journal_record>> sealed = read_segments(
                *answer.tail, decision::oldest_retained_s(answer.tail->clock_s, command.retention_s),
                retries);
            if (sealed) {
                answer.sealed = std::move(*sealed);
                queue_unlisted_segments(*answer.tail);
            } else {
                answer.cause = sealed.error();
            }
            return answer;
        }
        answer.cause = written.version.error();
        if (!written.existing) {
            answer.tail.reset();
            return answer;
        }
        current = std::move(*written.existing);
    }
    return answer;
}

base::result<std::vector<decision::journal_record>>
journal_writer::read_segments(const decision::journal_tail& tail, std::uint32_t oldest_s,
                              retry_budget& retries) {
    std::vector<decision::journal_record> records;
    for (const decision::segment_name& name : tail.segments) {
        if (name.newest_s < oldest_s) {
            continue;
        }
        base::result<std::vector<decision::journal_record>> part =
            read_segment(tail.partition, name, retries);
        if (!part) {
            if (part.error().code == base::error_code::store_not_found) {
                part.error().code = base::error_code::store_malformed;
            }
            return part;
        }
        records.insert(records.end(), part->begin(), part->end());
    }
    return records;
}

void journal_writer::queue_unlisted_segments(const decision::journal_tail& tail) {
    const base::result<std::vector<base::object_name>> present = store_.list(segment_prefix(tail.partition));
    if (!present) {
        return;
    }
    // An unlisted segment is garbage: this generation has not written one yet, and an earlier owner can no
    // longer commit one.
    std::set<base::object_name> listed;
    for (const decision::segment_name& name : tail.segments) {
        listed.insert(segment_object(tail.partition, name));
    }
    for (const base::object_name& name : *present) {
        if (listed.count(name) == 0 && garbage_.size() < settings_.max_garbage) {
            garbage_.push_back(name);
        }
    }
}

void journal_writer::queue_for_removal(base::partition_id partition,
                                       const std::vector<decision::segment_name>& names) {
    for (const decision::segment_name& name : names) {
        if (garbage_.size() < settings_.max_garbage) {
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

decision::lease_answered journal_writer::read_lease(const decision::lease_read& command,
                                                    retry_budget& retries) {
    decision::lease_answered answer;
    answer.pool = command.pool;
    answer.ticket = command.ticket;
    const base::result<stored_object> found = read(lease_name(command.pool), retries);
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
                                                     retry_budget& retries) {
    decision::lease_answered answer;
    answer.pool = command.record.pool;
    answer.ticket = command.ticket;
    const write_result written =
        write(lease_name(answer.pool), encode_lease(command.record), command.expected, retries);
    if (written.version) {
        answer.record = command.record;
        answer.version = *written.version;
        return answer;
    }
    answer.cause = written.version.error();
    if (written.existing) {
        const base::result<decision::lease_record> record = decode_lease(written.existing->value);
        if (!record) {
            answer.cause = record.error();
            return answer;
        }
        answer.record = *record;
        answer.version = written.existing->version;
    }
    return answer;
}

journal_worker::journal_worker(std::unique_ptr<object_store> store, const base::clock& clock,
                               journal_settings settings, std::uint64_t seed,
                               base::ring<decision::journal_command>& commands,
                               base::ring<decision::event>& events)
    : store_(std::move(store)), clock_(clock), settings_(settings), seed_(seed), commands_(commands),
      events_(events) {}

void journal_worker::run(base::stop_signal& stop) {
    journal_writer writer(*store_, clock_, settings_, seed_);
    const journal_writer::pause_function pause = [&](base::duration wait) { return stop.wait_for(wait); };
    while (!stop.requested()) {
        const std::optional<decision::journal_command> command = commands_.pop(ring_timeout);
        if (!command) {
            writer.remove_garbage();
            // `pop` on a closed ring returns at once, so wait here until the stop is requested.
            if (commands_.closed() && stop.wait_for(ring_timeout)) {
                return;
            }
            continue;
        }
        const decision::event answer = writer.carry_out(*command, pause);
        if (writer.garbage_count() > settings_.max_garbage / 2) {
            writer.remove_garbage();
        }
        while (!stop.requested() && events_.push(answer, ring_timeout) == base::push_result::full) {
        }
    }
}

} // namespace bluebell::store
