#pragma once

#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"
#include "decision/request.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace bluebell::decision {

/// Control messages between routers. Encoding is the business of `fleet/codec`.

enum class liveness { alive, suspect, dead };

/// What one router believes of another; spreads on membership messages.
struct member_update {
    base::vm_id vm;
    base::incarnation incarnation;
    /// Grows each time the member refutes a suspicion within one life.
    std::uint32_t refutation = 0;
    liveness state = liveness::alive;
    /// The member is about to stop and takes no new ownership.
    bool leaving = false;
    endpoint address;
    /// Highest revision that the member is known to have in force.
    base::revision in_force;
};

/// Which of the sender's live members have the revision of the header in force. The receiver can only read
/// it if its digest is equal, so that both count the same members.
struct revision_acknowledgements {
    bool all = false;
    /// One bit per live member in order of their ids, lowest bit first; empty if `all`.
    std::vector<std::uint8_t> bits;
};

/// Probe. A nonce of zero asks for no acknowledgement.
struct ping {
    std::uint64_t nonce = 0;
    /// Hash of the sender's live members; differs when the tables of sender and receiver differ.
    std::uint64_t digest = 0;
    /// Asks for the whole member table.
    bool want_table = false;
    revision_acknowledgements acknowledged;
    std::vector<member_update> updates;
};

struct ack {
    std::uint64_t nonce = 0;
    std::uint64_t digest = 0;
    revision_acknowledgements acknowledged;
    std::vector<member_update> updates;
};

/// Asks the receiver to probe `target` and to pass the acknowledgement on.
struct ping_request {
    std::uint64_t nonce = 0;
    base::vm_id target;
};

struct held_grant {
    base::grant_id id;
    base::upstream_id upstream;
};

/// Waiting work of one router for one pool; `waiting` is zero when it only reports the grants in use.
struct bid {
    base::pool_id pool;
    base::client_account_id account;
    /// Lowest key among the waiting requests: normalised service less the boost of the class.
    base::normalised_cost key;
    /// Lowest normalised service among the waiting accounts, without boost; advances the virtual time.
    base::normalised_cost start_tag;
    /// Keys of the requests that would be dispatched after the first one, in order; a few at most.
    std::vector<base::normalised_cost> next_keys;
    request_class priority = request_class::ordinary;
    std::uint32_t waiting = 0;
    /// Grants of the receiver in use or on their way back; a full list, so that the owner can repair its
    /// table.
    std::vector<held_grant> held;
    /// False if the list is one part of several; a grant that is missing from it may still be in use.
    bool held_complete = true;
    /// Start number of the bid; the owner ignores an older one that arrives late.
    std::uint64_t sequence = 0;
};

/// Permission to use one slot of one upstream once.
struct grant {
    base::grant_id id;
    base::pool_id pool;
    base::upstream_id upstream;
    /// Lowest key that another router bid; while it is fresh, the receiver may start a further request with a
    /// lower key in the same slot.
    std::optional<base::normalised_cost> other_key;
};

struct release {
    base::grant_id id;
    base::pool_id pool;
    base::upstream_id upstream;
    /// Work waited, but none that may run on this upstream; the owner offers the slot to other routers first.
    bool unused = false;
};

/// Cumulative service that the sender gave to an account in this life, divided by the weight in force at the
/// time, so that a later change of the weight does not rescale the past.
struct usage_entry {
    base::pool_id pool;
    base::client_account_id account;
    base::normalised_cost own_total;
    /// Last fleet total known to the sender; lets a new home start from it.
    base::normalised_cost known_total;
    /// The part of `own_total` that `known_total` contains.
    base::normalised_cost known_part;
    /// The sender has requests of the account waiting.
    bool backlogged = false;
};

struct usage {
    std::vector<usage_entry> entries;
};

struct usage_total_entry {
    base::pool_id pool;
    base::client_account_id account;
    base::normalised_cost fleet_total;
    /// The receiver's own total that is contained in `fleet_total`.
    base::normalised_cost receiver_part;
    /// The home counts the receiver, or another router, as backlogged with the account.
    bool receiver_backlogged = false;
    bool others_backlogged = false;
};

struct usage_total {
    std::vector<usage_total_entry> entries;
};

enum class key_state { claimed, ran, released };

struct claim {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
};

enum class claim_answer {
    granted,     ///< recorded for this attempt; it may be dispatched
    in_progress, ///< recorded for another attempt that has not ended
    already_ran, ///< another attempt ran
    not_owner,   ///< the receiver does not own the partition
    unavailable, ///< the store does not answer
    overloaded,  ///< a table of the owner is full
    withdrawn,   ///< the attempt was settled as `not_run`
};

struct claim_result {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
    claim_answer answer = claim_answer::unavailable;
};

enum class settlement { ran, not_run };

struct settle {
    base::partition_id partition;
    base::key_hash key;
    base::request_id attempt;
    settlement result = settlement::ran;
};

/// Tells the sender of `settle` that it is recorded, so that it stops repeating it.
struct settle_ack {
    base::key_hash key;
    base::request_id attempt;
};

struct crash_report {
    base::fingerprint body;
    base::upstream_id upstream;
};

/// Work that the sender has placed on one upstream.
struct upstream_work {
    base::upstream_id upstream;
    std::uint32_t running = 0;
    /// Prompt tokens of requests that have not produced a token yet.
    std::uint64_t pending_tokens = 0;
    /// Tokens of running requests in the memory of the engine, the expected answers included.
    std::uint64_t memory_tokens = 0;
    /// Tokens that the engine read and produced for the sender since the sender started.
    std::uint64_t stored_tokens = 0;
    /// Shared parts of prompts that the sender used there since its last report.
    std::vector<std::uint64_t> parts;
};

/// Service of one account at the sender, decaying with `fair_share::memory`.
struct account_work {
    base::client_account_id account;
    base::cost served;
    base::cost requested;
};

/// What the sender has in progress, or the sum over the routers that it speaks for. What it names replaces
/// what it named before.
struct work_report {
    std::vector<upstream_work> upstreams;
    std::vector<account_work> accounts;
    /// It is a sum over several routers, told by the delegate of a data centre.
    bool aggregated = false;
    /// Number of the last message with a report of the receiver, in an answer to it; zero otherwise.
    std::uint64_t acknowledged_sequence = 0;
    /// Position of the store at which the list of upstreams last changed for the sender; zero if unknown.
    std::uint64_t upstreams_position = 0;
};

using message = std::variant<ping, ack, ping_request, bid, grant, release, usage, usage_total, claim,
                             claim_result, settle, settle_ack, crash_report, work_report>;

struct pool_time {
    base::pool_id pool;
    base::normalised_cost virtual_time;
};

/// Confirmation age of a router that neither read the release head nor heard a peer that did.
constexpr base::duration never_confirmed = base::duration::max();

/// What every datagram carries beside its message.
struct message_header {
    base::vm_id sender;
    base::incarnation incarnation;
    std::uint64_t sequence = 0;
    base::revision in_force;
    /// Time since the sender, or a peer it heard, read the release head from the store.
    base::duration confirmation_age = never_confirmed;
    std::vector<pool_time> virtual_times;
};

struct envelope {
    message_header header;
    message body;
};

/// A message to one router.
struct outgoing {
    base::vm_id to;
    message body;
};

} // namespace bluebell::decision
