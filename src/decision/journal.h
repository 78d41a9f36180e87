#pragma once

#include "base/id.h"
#include "base/unit.h"
#include "decision/message.h"

#include <cstdint>
#include <vector>

namespace bluebell::decision {

/// One line of the claim journal.
struct journal_record {
    base::key_hash key;
    base::request_id attempt;
    key_state state = key_state::claimed;
    /// Seconds since 1970 at the owner that wrote it; only used to expire old records.
    std::uint32_t written_s = 0;
};

/// Names a sealed, immutable part of the journal of one partition.
struct segment_name {
    base::epoch generation;
    std::uint32_t number = 0;
    std::uint32_t newest_s = 0;
};

/// The object that the owner of a partition updates conditionally; the commit point of every claim.
struct journal_tail {
    base::partition_id partition;
    base::vm_id owner;
    base::epoch generation;
    /// Grows by one with each committed update of this generation.
    std::uint64_t batch = 0;
    std::vector<journal_record> records;
    std::vector<segment_name> segments;
};

} // namespace bluebell::decision
