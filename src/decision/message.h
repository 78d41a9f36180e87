#pragma once

#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"
#include "decision/request.h"
#include "decision/upstreams.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace bluebell::decision {

/// Control messages between routers. `fleet/codec` encodes them.

/// Liveness of a member as in SWIM.
enum class liveness { alive, suspect, dead };

/// State of a member as one router sees it; gossiped in membership messages.
struct member_update {
    base::vm_id vm;
    base::incarnation incarnation;
    /// Rises each time the member refutes a suspicion within one incarnation.
    std::uint32_t refutation = 0;
    liveness state = liveness::alive;
    /// The member is about to stop and takes no new ownership.
    bool leaving = false;
    endpoint address;
    /// Highest revision that the member is known to have in force.
    base::revision in_force;
};

/// States which live members of the sender have the revision of the header in force. The receiver can
/// interpret it only if its digest is equal, so that both number the same members.
struct revision_acknowledgements {
    bool all = false;
    /// One bit per live member in order of their ids, lowest bit first; empty if `all`.
    std::vector<std::uint8_t> bits;
};

/// Membership probe. A nonce of zero requests no acknowledgement.
struct ping {
    std::uint64_t nonce = 0;
    /// Hash of the sender's live members; differs when the tables of sender and receiver differ.
    std::uint64_t digest = 0;
    /// Requests the whole member table.
    bool want_table = false;
    revision_acknowledgements acknowledgements;
    std::vector<member_update> updates;
};

/// Answer to a `ping`, with its nonce.
struct ack {
    std::uint64_t nonce = 0;
    std::uint64_t digest = 0;
    revision_acknowledgements acknowledgements;
    std::vector<member_update> updates;
};

/// Requests that the receiver probes `target` and forwards the acknowledgement.
struct ping_request {
    std::uint64_t nonce = 0;
    base::vm_id target;
};

/// A grant that the sender uses.
struct held_grant {
    base::grant_id id;
    base::upstream_id upstream;
};

/// Waiting work of one router for one pool; `waiting` is zero if it only reports the grants in use.
struct bid {
    base::pool_id pool;
    base::client_account_id account;
    /// Lowest key among the waiting requests: normalised service minus the boost of the class.
    base::normalised_cost key;
    /// Lowest normalised service among the waiting accounts, without boost; advances the virtual time.
    base::normalised_cost start_tag;
    /// Keys of the requests that would be dispatched after the first one, in order; at most a few.
    std::vector<base::normalised_cost> next_keys;
    request_class priority = request_class::ordinary;
    std::uint32_t waiting = 0;
    /// Grants from the receiver that are in use or being returned; a full list, so that the owner can repair
    /// its table.
    std::vector<held_grant> held;
    /// False if the list is one part of several; a grant that is missing from it may still be in use.
    bool held_complete = true;
    /// Rises with each bid of the sender; the owner ignores an older bid that arrives late.
    std::uint64_t sequence = 0;
};

/// Permission to use one slot of one upstream for one request.
struct grant {
    base::grant_id id;
    base::pool_id pool;
    base::upstream_id upstream;
    /// Lowest key that another router bid. While it is fresh, the receiver may start a further request with a
    /// lower key in the same slot.
    std::optional<base::normalised_cost> other_key;
};

/// Returns a grant to its owner.
struct release {
    base::grant_id id;
    base::pool_id pool;
    base::upstream_id upstream;
    /// True if work waited but none of it may run on this upstream; the owner then offers the slot to other
    /// routers first.
    bool unused = false;
};

/// Cumulative service that the sender gave to an account in this incarnation, divided by the weight in force
/// at the time, so that a later change of the weight does not rescale past service.
struct usage_entry {
    base::pool_id pool;
    base::client_account_id account;
    base::normalised_cost own_total;
    /// Last fleet total known to the sender; a new usage owner starts from it.
    base::normalised_cost known_total;
    /// The part of `own_total` that is contained in `known_total`.
    base::normalised_cost known_part;
    /// True if the sender has waiting requests of the account.
    bool backlogged = false;
};

/// Reports service to the usage owner of the accounts.
struct usage {
    std::vector<usage_entry> entries;
};

struct usage_total_entry {
    base::pool_id pool;
    base::client_account_id account;
    base::normalised_cost fleet_total;
    /// The own total of the receiver that is contained in `fleet_total`.
    base::normalised_cost receiver_part;
    /// True if the usage owner counts the receiver, or another router, as backlogged with the account.
    bool receiver_backlogged = false;
    bool others_backlogged = false;
};

/// Answer of the usage owner to a `usage`.
struct usage_total {
    std::vector<usage_total_entry> entries;
};

/// State of one attempt to claim a key, as recorded in the journal.
enum class key_state { claimed, ran, released };

/// Claims an idempotency key for an attempt; sent to the partition owner.
struct claim {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
};

/// Answer of the partition owner to a claim.
enum class claim_answer {
    granted,     ///< recorded for this attempt; it may be dispatched
    in_progress, ///< recorded for another attempt that has not ended
    already_ran, ///< another attempt ran
    not_owner,   ///< the receiver does not own the partition
    unavailable, ///< the store does not answer
    overloaded,  ///< a table of the owner is full
    withdrawn,   ///< the attempt was settled as `not_run`
};

/// Answer to a `claim`.
struct claim_result {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
    claim_answer answer = claim_answer::unavailable;
};

/// Result of an attempt that the key is settled with.
enum class settlement { ran, not_run };

/// Reports the result of a claimed attempt to the partition owner; repeated until acknowledged.
struct settle {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
    settlement result = settlement::ran;
};

/// Acknowledges a `settle` once it is recorded, so that the sender stops repeating it.
struct settle_ack {
    base::key_hash key;
    base::request_id attempt;
};

/// Reports that an upstream failed while it ran a request with this body.
struct crash_report {
    base::fingerprint body;
    base::upstream_id upstream;
};

/// What identifies a request that may have crashed an upstream.
struct crash_suspect {
    /// Equal for repetitions of the same request.
    base::fingerprint request;
    /// Parts of the prompt that other requests may share, in the order of the prompt.
    std::vector<base::fingerprint> shared_parts;
};

/// Crash of an upstream with the requests that waited there for an answer.
struct upstream_crash {
    base::upstream_id upstream;
    /// Time since the crash.
    base::duration age{};
    std::vector<crash_suspect> suspects;
};

/// A suspected request or part of a prompt that an upstream has answered.
struct cleared_feature {
    base::fingerprint feature;
    /// Time since the answer.
    base::duration age{};
};

/// Kinds of features of a request.
enum class feature_kind { request, prompt_part };

/// A request or part of a prompt that must not run, since upstreams crash under it.
struct blocked_feature {
    base::fingerprint feature;
    feature_kind kind = feature_kind::request;
    /// Time since the last crash that counted against it.
    base::duration age{};
};

/// What the sender knows of crashes and of requests that cause them.
struct crash_news {
    std::vector<upstream_crash> crashes;
    std::vector<cleared_feature> cleared;
    std::vector<blocked_feature> blocked;
};

/// Work that the sender has placed on one upstream.
struct upstream_work {
    base::upstream_id upstream;
    /// Number of requests in progress.
    std::uint32_t running = 0;
    /// Prompt tokens of requests that have not produced a token yet.
    std::uint64_t pending_tokens = 0;
    /// Tokens that running requests occupy in the memory of the engine, expected answers included.
    std::uint64_t memory_tokens = 0;
    /// Tokens that the engine read and produced for the sender since the sender started.
    std::uint64_t stored_tokens = 0;
    /// Hashes of the shared prompt parts that the sender used there since its last report.
    std::vector<std::uint64_t> prompt_parts;
};

/// Costs that one account requested and was served at the sender. They decay exponentially with the time
/// constant `dispatch::fair_share::decay_time`.
struct account_work {
    base::client_account_id account;
    base::cost served;
    base::cost requested;
    /// As `requested`, with the time constant `dispatch::fair_share::recent_decay_time`, and scaled so that
    /// both are the same under a constant load.
    base::cost recently_requested;
};

/// Work that the sender has in progress, or the sum over the routers that it reports for. For each upstream
/// and account that it contains, it replaces what the sender reported before.
struct work_report {
    std::vector<upstream_work> upstreams;
    std::vector<account_work> accounts;
    /// True if the report adds up several routers; sent by the delegate of a data centre.
    bool aggregated = false;
    /// In an answer to a report: the sequence number of the last message with a report of the receiver; zero
    /// otherwise.
    std::uint64_t acknowledged_sequence = 0;
    /// In an aggregated report: the store position at which the list of upstreams last changed for the
    /// sender. In a report to a delegate: the version of that delegate's list that the sender has. Zero if
    /// there is none.
    std::uint64_t upstreams_position = 0;
};

/// Changes of the list of upstreams that a delegate passes on, or one of several parts of them.
struct upstream_list_update {
    /// Version of the sender's list to which the changes apply; zero if they are the whole list.
    std::uint64_t base_version = 0;
    /// Version after the changes. Versions count the changes that one process of the sender has made.
    std::uint64_t version = 0;
    /// Number of this part, from zero on, and of all parts. They count only together.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// Store position at which the list last changed for the sender.
    std::uint64_t store_position = 0;
    std::vector<list_change> changes;
};

/// Limit of its request rate that an upstream stated.
struct stated_limit {
    base::upstream_id upstream;
    /// Start time of the upstream process, in ms.
    std::int64_t started_ms = 0;
    base::request_rate limit;
    /// Time since the last statement.
    base::duration age{};
};

/// Requests that the sender has had for a pool; decays exponentially.
struct pool_demand {
    base::pool_id pool;
    double requests = 0;
};

/// Limits that upstreams state, and the demand by which the routers divide them. For each pool that it
/// contains, it replaces what the sender reported before.
struct limit_report {
    std::vector<stated_limit> limits;
    std::vector<pool_demand> demands;
    /// Number of routers whose demand is contained.
    std::uint32_t routers = 1;
    /// True if the report adds up several routers; sent by the delegate of a data centre.
    bool aggregated = false;
};

/// A stream that has begun and that its caller may still resume.
struct begun_stream {
    base::stream_key key;
    /// Service and software at which it began; it may go on only there.
    base::pool_id pool;
    base::software_version version;
    /// How long its caller may still resume it.
    base::duration valid_for{};
};

/// Streams that the sender knows the origin of: those that have begun there, or the answer to a query.
struct begun_streams {
    std::vector<begun_stream> streams;
};

/// Asks a router that holds the origins of all streams for one of them.
struct origin_query {
    base::stream_key key;
};

/// Answer to an `origin_query`: the sender does not know the stream.
struct origin_unknown {
    base::stream_key key;
};

/// The data centres that operators have evacuated, as the sender knows them from the store.
struct evacuation_report {
    std::vector<base::data_centre_id> data_centres;
    /// Time since the store was certainly in this state.
    base::duration age{};
};

/// An upstream that is cold.
struct cold_upstream {
    base::upstream_id upstream;
    /// Start time of the upstream process, in ms.
    std::int64_t started_ms = 0;
    /// How much longer it is cold.
    base::duration left{};
};

/// Upstreams that the sender has found to be cold other than by the list of upstreams.
struct warmup_report {
    std::vector<cold_upstream> upstreams;
    /// True if the report adds up several routers; sent by the delegate of a data centre.
    bool aggregated = false;
};

using message = std::variant<ping, ack, ping_request, bid, grant, release, usage, usage_total, claim,
                             claim_result, settle, settle_ack, crash_report, work_report, crash_news,
                             limit_report, upstream_list_update, begun_streams, origin_query, origin_unknown,
                             evacuation_report, warmup_report>;

/// Virtual time of a pool.
struct pool_time {
    base::pool_id pool;
    base::normalised_cost virtual_time;
};

/// Confirmation age of a router that has neither read the release head nor received a message of a peer
/// that did.
constexpr base::duration never_confirmed = base::duration::max();

/// Header of every datagram.
struct message_header {
    base::vm_id sender;
    base::incarnation incarnation;
    std::uint64_t sequence = 0;
    base::revision in_force;
    /// Time since the sender, or a peer whose message it received, read the release head from the store.
    base::duration confirmation_age = never_confirmed;
    std::vector<pool_time> virtual_times;
};

/// A message with its header.
struct envelope {
    message_header header;
    message body;
};

/// A message to be sent, with its destination.
struct outgoing {
    base::vm_id to;
    message body;
};

} // namespace bluebell::decision
