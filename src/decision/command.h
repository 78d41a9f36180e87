#pragma once

#include "decision/event.h"

#include <memory>
#include <string>
#include <variant>

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
    std::shared_ptr<exchange> with;
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
    struct sealed_segment {
        segment_name name;
        std::vector<journal_record> records;
    };
    std::optional<sealed_segment> seal;
};

/// Reads the tail, raises its epoch for the new owner by a conditional update and reads the segments.
struct journal_takeover {
    base::partition_id partition;
    base::vm_id new_owner;
    /// Segments whose newest record is older are left out.
    std::uint32_t oldest_s = 0;
};

using journal_command = std::variant<journal_update, journal_takeover>;

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
    envelope what;
};

} // namespace bluebell::decision
