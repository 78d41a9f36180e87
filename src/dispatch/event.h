#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/ring.h"
#include "decision/event.h"
#include "decision/message.h"
#include "dispatch/catalogue.h"
#include "dispatch/crossing.h"
#include "dispatch/roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::dispatch {

/// Number of a request within one process.
using session_id = base::identifier<struct session_tag, std::uint64_t>;
/// Hash of a prompt part; equal parts have equal ids.
using part_id = base::identifier<struct part_tag, std::uint64_t>;

/// Part of a prompt that an engine may still have cached from an earlier request.
struct prompt_part {
    part_id id;
    token_count tokens;
};

/// Attributes of a model request that the placement depends on.
struct prompt_info {
    /// In the order of the prompt. Requests may share all parts but the last.
    std::vector<prompt_part> parts;
    /// Length of the whole prompt.
    token_count prompt_tokens;
    token_count max_output_tokens;
    /// Rough estimate of the length of the answer, made by the caller.
    std::optional<token_count> output_tokens_hint;
};

/// Estimated cost of a model request in the service of its account, in tokens: those read count once, those
/// generated twice.
base::cost model_request_cost(const prompt_info& prompt);

// Events that the dispatcher handles. Each arrives over the bounded ring of events.

/// A complete request was read from a caller.
struct request_read {
    session_id id;
    /// Id that the caller gave the request, for logs.
    std::string caller_request_id;
    std::string host;
    std::string path;
    /// Key of the caller; empty if it sent none.
    std::string key;
    /// How long the caller waits for the answer; empty if the request does not state it.
    std::optional<base::duration> caller_timeout;
    prompt_info prompt;
    /// The caller has a part of a stream and wants the rest.
    bool resumes = false;
    /// The stream that it resumes, or else the one that this request may begin; empty if the caller does not
    /// name it.
    std::optional<base::stream_key> stream;
    /// Hash of caller, path and body; identifies repetitions of the same request.
    base::fingerprint fingerprint;
    base::time_point arrived;
};

/// Cost of the model requests, by account, that the relay itself has refused since the last such event.
struct requests_refused {
    std::map<base::client_account_id, base::cost> requested;
};

/// The caller closed its connection before its request ended.
struct caller_left {
    session_id id;
};

/// Load that an upstream reports beside an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::slot_count slots;
    /// How long work takes there now; empty if the upstream does not state it.
    std::optional<base::pace_percent> pace = std::nullopt;
};

enum class attempt_outcome {
    delivered,   ///< the whole answer was passed on
    held,        ///< a whole answer that reports a failure is held back by the relay
    refused,     ///< the upstream states that it did not run the request
    misdirected, ///< another upstream has the address
    unsent,      ///< no connection to the listed process; no byte of the request was sent
    lost,        ///< the connection ended before any of the answer was passed on
    garbled,     ///< bytes that are no complete answer, none of which was passed on
    cut,         ///< the answer ended early after a part of it was passed on
};
std::string_view to_string(attempt_outcome value);

/// The first event of a stream, or the head of another answer, has arrived.
struct answer_started {
    session_id id;
    std::uint32_t attempt = 0;
    /// Load that the upstream states in the head of the answer.
    std::optional<load_report> load = std::nullopt;
    /// Time that the connection took to be established, if it is a new one.
    std::optional<base::duration> connect_time = std::nullopt;
};

/// The first event of a resumable stream is passed on to the caller.
struct stream_began {
    session_id id;
    std::uint32_t attempt = 0;
    /// False if the upstream does not say whether it is the process that the list shows.
    bool process_known = true;
};

/// What an upstream states about itself in the head of an answer.
struct upstream_statement {
    /// It ends soon and takes no new requests.
    bool leaving = false;
    /// Time for which it wants no request from this router, more than zero; empty if it states none.
    std::optional<base::duration> pause;
    /// Requests that it takes from all routers together; empty if it states no limit.
    std::optional<base::request_rate> request_limit;
    /// A field was not readable and counts as missing.
    bool malformed = false;
    /// How much longer it is cold, more than zero; empty if it states none.
    std::optional<base::duration> warmup_left = std::nullopt;
    /// The load beside the answer was not readable and counts as missing.
    bool malformed_load = false;

    [[nodiscard]] bool empty() const { return *this == upstream_statement(); }
    friend bool operator==(const upstream_statement& a, const upstream_statement& b) {
        return a.leaving == b.leaving && a.pause == b.pause && a.request_limit == b.request_limit &&
               a.warmup_left == b.warmup_left && a.malformed == b.malformed &&
               a.malformed_load == b.malformed_load;
    }
};

/// An upstream has changed its statement, or has repeated one that is not empty. Repetitions are reported
/// from time to time only.
struct upstream_stated {
    base::upstream_id upstream;
    /// Start time of the upstream process that the request was meant for.
    std::int64_t started_ms = 0;
    upstream_statement statement;
};

/// An attempt has ended.
struct attempt_finished {
    session_id id;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::delivered;
    /// HTTP status of the answer; zero if there was none.
    int status = 0;
    std::optional<load_report> load;
    /// Events of a stream that were passed on in this and earlier attempts.
    std::uint32_t events = 0;
    /// False if the caller has an event without an id, so that a stream cannot go on after it.
    bool position_known = true;
    /// Longest time between two parts of the answer in this attempt.
    base::duration longest_pause{};
    /// False if no connection was tried, since this router has as many to the upstream as it may.
    bool connection_tried = true;
};

/// The configuration was read, or confirmed to be unchanged.
struct catalogue_read {
    /// Null if the configuration is unchanged.
    catalogue_ptr new_catalogue;
    /// Time just before the confirming call was sent; empty if the answer may have been outdated.
    std::optional<base::time_point> requested_at;
};

/// The whole list of upstreams was read.
struct roster_read {
    std::vector<upstream_entry> entries;
    /// The store did not answer for a while before this reading.
    bool after_outage = false;
    /// Position of the store that the list belongs to.
    std::uint64_t store_position = 0;
    /// Time just before the confirming call was sent; empty if the answer may have been outdated.
    std::optional<base::time_point> requested_at;
};

/// The store reported changes of the list of upstreams; empty `changes` only confirm the list.
struct roster_changed {
    std::vector<upstream_change> changes;
    /// Position of the store after the changes.
    std::uint64_t store_position = 0;
    /// Time just before the confirming call was sent; empty if the answer may have been outdated.
    std::optional<base::time_point> requested_at;
};

/// The list of routers that are registered in the store was read.
struct peers_read {
    std::vector<decision::vm_entry> peers;
};

/// The origins of streams that the store holds were read.
struct streams_read {
    std::vector<decision::begun_stream> streams;
};

/// The data centres that operators have evacuated were read; they replace those read before.
struct evacuations_read {
    std::set<base::data_centre_id> data_centres;
    /// Earliest time at which the store may have been in this state.
    base::time_point confirmed_at;
    /// Objects of the store that could not be read as an evacuation, at the last reading.
    std::size_t unreadable = 0;
};

/// Limits that may change while the router runs.
struct dispatcher_bounds {
    /// Highest confirmation age of the configuration at which keys are accepted.
    base::duration max_confirmation_age = std::chrono::milliseconds(3500);
    /// Retries of the whole fleet within `decision::retry_budget::window`: a share of the requests
    /// (`retry_ratio`) and a fixed number (`retry_slack`).
    double retry_ratio = 0.1;
    double retry_slack = 10;
    base::duration report_interval = std::chrono::milliseconds(100);
    /// Age of the view confirmed by the delegate from which on a router reads the store itself.
    base::duration max_delegate_view_age = std::chrono::milliseconds(1500);
    /// Time from the signal to stop until the process is killed.
    base::duration grace = std::chrono::seconds(8);
    /// Bound within which an evacuation of a data centre is in force; zero if there are no evacuations.
    base::duration evacuation{};
    /// Requests that a cold upstream may get in one second: its rate times `warmup_overshoot`, and
    /// `warmup_slack` besides.
    double warmup_overshoot = 1;
    double warmup_slack = 0;
    crossing_prices crossing;
};

/// The relay accepts connections and has no request in progress; those that it had before are lost.
struct relay_started {};

using event = std::variant<relay_started, dispatcher_bounds, request_read, requests_refused, caller_left,
                           answer_started, stream_began, upstream_stated, attempt_finished, catalogue_read,
                           roster_read, roster_changed, peers_read, streams_read, evacuations_read,
                           decision::message_received, decision::drain_requested, decision::report_requested>;

// Commands that the dispatcher issues to the relay and to the followers of the store.

/// Sends a request to an upstream.
struct send_request {
    session_id id;
    std::uint32_t attempt = 0;
    upstream_entry target;
    /// Engine that has more of the prompt cached, from which the target copies it.
    std::optional<decision::endpoint> copy_source;
    /// Empty if the route needs no key.
    base::client_account_id account;
    base::time_point deadline;
    bool streaming = false;
    /// Pass on whole events only, so that another upstream can continue the stream.
    bool resumable = false;
    /// The caller has a part of the stream. Only the process that the target's entry shows may go on with it.
    bool continues_stream = false;
    /// The request may run more than once. If not set, it is only sent on connections that are certainly
    /// open.
    bool repeatable = false;
    /// Report an answer that states a failure, and wait for the next command for the request
    /// before passing it on.
    bool hold_failures = false;
    /// Connections to the target that this router may have.
    std::uint32_t max_connections = 1;
};

/// Passes the held answer on to the caller.
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

/// Instructs a follower how to keep its view of the store up to date.
struct follow_order {
    /// Wait for changes at the store; otherwise read only until `required_position` is reached.
    bool watch = true;
    /// Shorten the wait of each call, since other routers depend on the view.
    bool short_wait = true;
    /// Another router reads the store for this one as soon as it can, so that attempts to reach it may be
    /// rarer.
    bool has_delegate = false;
    /// Version of the configuration, or position of the list of upstreams, that is known to exist and has to
    /// be read.
    std::uint64_t required_position = 0;

    friend bool operator==(const follow_order& a, const follow_order& b) {
        return a.watch == b.watch && a.short_wait == b.short_wait && a.has_delegate == b.has_delegate &&
               a.required_position == b.required_position;
    }
};

/// Reads the origins of streams from the store, or adds some to it.
struct stream_order {
    bool read = false;
    std::vector<decision::begun_stream> write;
};

using relay_command = std::variant<send_request, release_answer, end_request, retire_upstream>;

} // namespace bluebell::dispatch
