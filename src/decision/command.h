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

// Commands of the decider. Each kind has a bounded ring to the worker that carries it out.

/// Starts an attempt on an upstream; the transport replies with one `attempt_ended`.
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

/// Cancels an attempt; the transport replies with `attempt_ended` unless it has already done so.
struct cancel_attempt {
    attempt_key attempt;
};

using transport_command = std::variant<dispatch, cancel_attempt>;

/// Replaces the tail of a partition if its version is still `expected`. `seal` is written as an immutable
/// segment first.
struct journal_update {
    journal_tail tail;
    base::object_version expected;
    /// Name of the new segment and the records that move to it from the tail.
    std::optional<journal_segment> seal;
    /// Segments whose records are merged into the new one. They are removed after the commit.
    std::vector<segment_name> merged;
    /// Segments that the new tail no longer lists because they expired. They are removed after the commit.
    std::vector<segment_name> expired;
    /// Records written before this journal time, in seconds, are left out of the merged segment.
    std::uint32_t oldest_s = 0;
    /// Copied into the reply.
    std::uint64_t ticket = 0;
};

/// Reads the tail, raises its epoch for the new owner by a conditional update and reads the segments.
struct journal_takeover {
    base::partition_id partition;
    base::vm_id new_owner;
    base::incarnation incarnation;
    /// Retention in seconds. Segments whose newest record is older than the journal time of the tail minus
    /// this value are left out.
    std::uint32_t retention_s = 0;
    /// Copied into the reply.
    std::uint64_t ticket = 0;
};

/// Commands of the journal worker, which carries them out in order.
using journal_command = std::variant<journal_update, journal_takeover, lease_read, lease_update>;

/// Fetches a release after a control message announced its revision.
struct fetch_release {
    base::revision at_least;
    /// Admin address of a router that has the release; used if the store does not answer.
    std::optional<endpoint> peer;
};

/// Starts or stops the watch on the release head.
struct watch_release {
    bool enabled = false;
};

/// Requests the release in force in the format of `GET /config`; the reply is empty if there is none yet.
struct config_requested {
    std::shared_ptr<base::ring<std::string>> reply;
};

using release_command = std::variant<fetch_release, watch_release, config_requested>;

/// Replaces the set of upstreams whose load is polled.
struct watch_load {
    std::vector<upstream> upstreams;
};

/// A control message and its destination.
struct datagram {
    endpoint to;
    envelope payload;
};

} // namespace bluebell::decision
