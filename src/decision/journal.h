#pragma once

#include "base/id.h"
#include "base/unit.h"
#include "decision/message.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bluebell::decision {

/// One record of the claim journal: the state of one attempt to claim one key. `ran` and `released` are final
/// for the attempt, so records can be read in any order. A key has at most one attempt that is not released.
struct journal_record {
    base::key_hash key;
    base::request_id attempt;
    key_state state = key_state::claimed;
    /// Journal time of the write in seconds; only used to expire old records.
    std::uint32_t written_s = 0;

    friend bool operator==(const journal_record& a, const journal_record& b) {
        return a.key == b.key && a.attempt == b.attempt && a.state == b.state && a.written_s == b.written_s;
    }
};

/// Size of one record in the store: key, attempt, state and time.
constexpr std::size_t journal_record_bytes = 37;

/// Name and attributes of a segment, a sealed and immutable part of the journal of one partition.
struct segment_name {
    base::epoch generation;
    std::uint32_t number = 0;
    /// Journal time of the newest record in seconds.
    std::uint32_t newest_s = 0;
    /// Number of records.
    std::uint32_t count = 0;
    /// Number of times that the records were merged into a larger segment.
    std::uint8_t level = 0;

    friend bool operator==(const segment_name& a, const segment_name& b) {
        return a.generation == b.generation && a.number == b.number && a.newest_s == b.newest_s &&
               a.count == b.count && a.level == b.level;
    }
};

struct journal_segment {
    segment_name name;
    std::vector<journal_record> records;
};

/// The object that the owner of a partition updates conditionally; its update is the commit point of every
/// claim.
struct journal_tail {
    base::partition_id partition;
    base::vm_id owner;
    /// Incarnation of the owner; distinguishes a restarted router from its earlier incarnations.
    base::incarnation incarnation;
    base::epoch generation;
    /// Rises with each update that the owner issues in this generation; no number is used for two contents.
    std::uint64_t batch = 0;
    /// Journal time of the write in seconds: the sum of the monotonic time of all owners. Time without an
    /// owner does not count, so records are kept for at least the retention whatever the wall clocks do.
    std::uint32_t clock_s = 0;
    std::vector<journal_record> records;
    std::vector<segment_name> segments;
};

/// Returns true if both tails were issued as the same update by the same router process.
bool same_update(const journal_tail& a, const journal_tail& b);

/// Returns one record for each attempt and key, without those written before `oldest_s`. `ran` takes
/// precedence over `released`, and both over `claimed`.
std::vector<journal_record> merge_records(std::vector<journal_record> records, std::uint32_t oldest_s);

/// Returns the earliest journal time in seconds that the retention keeps.
std::uint32_t oldest_retained_s(std::uint32_t clock_s, std::uint32_t retention_s);

} // namespace bluebell::decision
