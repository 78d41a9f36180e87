#pragma once

#include "decision/event.h"
#include "decision/lease.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::decision {

/// What the decider orders. Each kind of command has its bounded ring to the worker that carries it out.

/// Starts an attempt on an upstream; the transport answers with one `attempt_ended`.
struct dispatch {
    attempt_key attempt;
    upstream target;
    pool_kind kind = pool_kind::model;
    /// Bytes of the answer that the caller already has from an earlier attempt.
    base::byte_count resume_from;
    bool repeatable = true;
    base::time_point deadline;
    std::shared_ptr<exchange> caller_exchange;
};

/// Ends an attempt; the transport answers with `attempt_ended` unless it already did.
struct cancel_attempt {
    attempt_key attempt;
};

using transport_command = std::variant<dispatch, cancel_attempt>;

/// Conditionally replaces the tail of a partition. `seal` is written as an immutable segment before.
struct journal_update {
    journal_tail tail;
    base::object_version expected;
    /// Name of the new segment and the records that leave the tail.
    std::optional<journal_segment> seal;
    /// Segments whose records are merged into the new one. They are removed after the commit.
    std::vector<segment_name> merged;
    /// Segments that the new tail no longer lists because they expired. They are removed after the commit.
    std::vector<segment_name> expired;
    /// Records written before are left out of the merged segment.
    std::uint32_t oldest_s = 0;
    /// Repeated in the answer.
    std::uint64_t ticket = 0;
};

/// Reads the tail, raises its epoch for the new owner by a conditional update and reads the segments.
struct journal_takeover {
    base::partition_id partition;
    base::vm_id new_owner;
    base::incarnation incarnation;
    /// Segments whose newest record is older than this before the journal time of the tail are left out.
    std::uint32_t retention_s = 0;
    /// Repeated in the answer.
    std::uint64_t ticket = 0;
};

/// What the journal worker carries out, one after the other.
using journal_command = std::variant<journal_update, journal_takeover, lease_read, lease_update>;

/// Fetches a revision that a control message told of.
struct fetch_release {
    base::revision at_least;
    /// Admin address of a router that has it, for when the store does not answer.
    std::optional<endpoint> peer;
};

/// Whether this router is one of those that hold a watch on the release head.
struct watch_release {
    bool enabled = false;
};

/// Asks for the release in force in the form of `GET /config`; the reply is empty if there is none yet.
struct config_requested {
    std::shared_ptr<base::ring<std::string>> reply;
};

using release_command = std::variant<fetch_release, watch_release, config_requested>;

/// Which upstreams the load poller asks.
struct watch_load {
    std::vector<upstream> upstreams;
};

/// A datagram and its destination.
struct datagram {
    endpoint to;
    envelope payload;
};

} // namespace bluebell::decision
