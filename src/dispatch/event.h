#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/ring.h"
#include "decision/event.h"
#include "dispatch/catalogue.h"
#include "dispatch/roster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::dispatch {

/// Number of a request within one process.
using session_id = base::identifier<struct session_tag, std::uint64_t>;
/// Hash of a part of a prompt; equal parts have equal ids.
using part_id = base::identifier<struct part_tag, std::uint64_t>;

/// A part of a prompt that an engine may have kept from an earlier request.
struct prompt_part {
    part_id id;
    token_count tokens;
};

/// The part of a model request that placement is decided on.
struct prompt_info {
    std::vector<prompt_part> parts;
    token_count prompt_tokens;
    token_count max_output_tokens;
    /// Estimate by the caller, rough.
    std::optional<token_count> output_tokens_hint;
};

// What the dispatcher is told. Every event arrives over its bounded ring.

/// A whole request was read from a caller.
struct request_read {
    session_id id;
    /// Id that the caller gave the request, for logs.
    std::string caller_request_id;
    std::string host;
    std::string path;
    /// Key of the caller; empty if it sent none.
    std::string key;
    /// How long the caller waits; empty if it did not say.
    std::optional<base::duration> caller_timeout;
    prompt_info prompt;
    /// Hash of caller, path and body, by which a repeated request is recognised.
    base::fingerprint fingerprint;
    base::time_point arrived;
};

struct caller_left {
    session_id id;
};

/// Load that an upstream reports beside an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::slot_count slots;
};

enum class attempt_outcome {
    delivered,   ///< the whole answer was passed on
    held,        ///< a whole answer that reports a failure is held back by the relay
    refused,     ///< the upstream states that it did not run the request
    misdirected, ///< another upstream has the address
    unsent,      ///< no connection; no byte of the request was sent
    lost,        ///< the connection ended before any of the answer was passed on
    garbled,     ///< bytes that are no complete answer, none of which was passed on
    cut,         ///< the answer ended early after a part of it was passed on
};
std::string_view to_string(attempt_outcome value);

/// The first event of a stream, or the head of another answer, has arrived.
struct answer_started {
    session_id id;
    std::uint32_t attempt = 0;
};

struct attempt_finished {
    session_id id;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::delivered;
    int status = 0;
    std::optional<load_report> load;
    /// Events of a stream that were passed on in this attempt.
    std::uint32_t events = 0;
    /// Longest time between two parts of the answer in this attempt.
    base::duration longest_pause{};
};

/// The configuration was read, or confirmed unchanged.
struct catalogue_read {
    /// Null if it is unchanged.
    catalogue_ptr new_catalogue;
    /// Just before the call that confirmed it was sent; empty if the answer may have been old.
    std::optional<base::time_point> requested_at;
};

struct roster_read {
    std::vector<upstream_entry> entries;
    bool after_outage = false;
    /// Position of the store that the list belongs to.
    std::uint64_t store_position = 0;
    /// As in `catalogue_read`.
    std::optional<base::time_point> requested_at;
};

/// Changes of the list of upstreams, none of which means that it was confirmed.
struct roster_changed {
    std::vector<upstream_change> changes;
    std::uint64_t store_position = 0;
    std::optional<base::time_point> requested_at;
};

/// Routers that entered themselves in the store.
struct peers_read {
    std::vector<decision::vm_entry> peers;
};

/// Limits that may change while the router runs.
struct dispatcher_bounds {
    /// Age of the last confirmation of the configuration up to which keys are accepted.
    base::duration max_confirmation_age = std::chrono::milliseconds(3500);
    /// Retries of the whole fleet: a share of the requests and a fixed number, within
    /// `decision::retry_budget::window`.
    double retry_ratio = 0.1;
    double retry_slack = 10;
    base::duration report_interval = std::chrono::milliseconds(100);
    /// Age of a delegate's view of the store from which on a router asks the store itself.
    base::duration max_delegate_view_age = std::chrono::milliseconds(1500);
    /// How long a router that drains stays at most.
    base::duration max_drain_time = std::chrono::milliseconds(7500);
};

/// The relay has started without any request in progress; those that it had before are lost.
struct relay_started {};

using event = std::variant<relay_started, dispatcher_bounds, request_read, caller_left, answer_started,
                           attempt_finished, catalogue_read, roster_read, roster_changed, peers_read,
                           decision::message_received, decision::drain_requested, decision::report_requested>;

// What the dispatcher orders.

struct send_request {
    session_id id;
    std::uint32_t attempt = 0;
    upstream_entry target;
    /// Engine that keeps more of the prompt, from which the target is to copy it.
    std::optional<decision::endpoint> copy_source;
    /// Empty if the route needs no key.
    base::client_account_id account;
    base::time_point deadline;
    bool streaming = false;
    /// Pass on whole events only, so that the stream can be continued elsewhere.
    bool resumable = false;
    /// The request must not run twice, so it is only sent on connections that are surely open.
    bool repeatable = false;
    /// Report an answer that is a failure and wait for a verdict before passing it on.
    bool hold_failures = false;
    /// Connections to the target that this router may have.
    std::uint32_t max_connections = 1;
};

/// Passes the held answer on.
struct release_answer {
    session_id id;
};

/// Ends a request. If its answer has begun, the caller's connection is cut; otherwise the caller gets
/// `status`. An attempt in progress is cancelled.
struct end_request {
    session_id id;
    int status = 503;
    base::error_code cause = base::error_code::internal_failure;
    std::optional<base::duration> retry_after;
};

/// Closes the idle connections to an upstream that takes no more work.
struct retire_upstream {
    base::upstream_id id;
};

/// How a view of the store is to be kept.
struct follow_order {
    /// Await changes at the store; otherwise only read what is wanted.
    bool watch = true;
    /// Wait for a shorter time in each call, since others depend on the view.
    bool short_wait = true;
    /// A version of the configuration, or a position of the list of upstreams, that is known to exist.
    std::uint64_t required_position = 0;

    friend bool operator==(const follow_order& a, const follow_order& b) {
        return a.watch == b.watch && a.short_wait == b.short_wait && a.required_position == b.required_position;
    }
};

using relay_command = std::variant<send_request, release_answer, end_request, retire_upstream>;

} // namespace bluebell::dispatch
