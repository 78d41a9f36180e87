#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/command.h"
#include "decision/event.h"
#include "decision/journal.h"
#include "decision/message.h"
#include "decision/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bluebell::decision {

/// The partition of a key. Pre-condition: `partitions` is greater than zero and the same on all routers.
base::partition_id partition_of(const base::key_hash& key, std::uint16_t partitions);
/// The router that should own a partition; empty if there are no members.
base::vm_id partition_owner(base::partition_id partition, const std::vector<base::vm_id>& live);

struct client_settings {
    std::uint16_t partitions = 64;
    /// First interval between repeats of an unanswered message; doubles up to `resend_limit`.
    base::duration resend = std::chrono::milliseconds(200);
    base::duration resend_limit = std::chrono::seconds(5);
    /// A claim without an answer for this long is withdrawn.
    base::duration answer_limit = std::chrono::seconds(10);
    /// After an owner reported the store unavailable, new claims of the partition are refused for this long
    /// without asking.
    base::duration outage_pause = std::chrono::milliseconds(500);
    /// Claims from submission to the acknowledgement of their settlement.
    std::size_t attempts = 16384;
    /// Settlements repeated by one tick; bounds the control traffic after an outage.
    std::size_t repeats = 64;
};

/// The caller's verdict on a claim that was not granted.
struct claim_ended {
    base::request_id attempt;
    verdict what;
};

struct client_actions {
    std::vector<outgoing> messages;
    /// Claims that may now be dispatched; each attempt is listed once.
    std::vector<base::request_id> granted;
    /// Claims that were not granted and never will be.
    std::vector<claim_ended> ended;
};

/// Entry side of at-most-once execution: claims keys from partition owners before dispatch and settles them
/// afterwards. An attempt is identified by the id of its request, which no other request may use.
/// Messages may be addressed to this router itself. Thread safety: used by one thread.
class claim_client {
public:
    explicit claim_client(client_settings settings);

    /// Live members, this router included, without those that leave.
    [[nodiscard]] client_actions members_changed(const std::vector<base::vm_id>& live, base::time_point now);

    /// Claims the key of a non-repeatable request. `granted` or `ended` names it later, at the latest at
    /// `deadline`. Errors, each meaning that the request did not run and is not known here: `queue_full`,
    /// `store_unavailable`, `not_ready` (no live members), `deadline_exceeded`.
    /// Pre-condition: `attempt` was never submitted before.
    [[nodiscard]] base::result<client_actions> submit(const base::request_id& attempt,
                                                      const base::key_hash& key, base::time_point deadline,
                                                      base::time_point now);

    [[nodiscard]] client_actions on_result(const claim_result& answer, base::time_point now);
    void on_settled(const settle_ack& ack);

    /// To be called immediately before a granted attempt is put on a connection. True if it may be; false if
    /// it is not granted, is already dispatched or was withdrawn.
    [[nodiscard]] bool dispatch(const base::request_id& attempt, base::time_point now);
    /// The dispatched attempt was not put on any connection, or the connection was refused. It is granted
    /// again: dispatch it anew or withdraw it.
    void not_sent(const base::request_id& attempt);
    /// The dispatched attempt ended. `unknown` leaves the key claimed, so that no repeat ever runs.
    [[nodiscard]] client_actions ended(const base::request_id& attempt, outcome result, base::time_point now);
    /// Gives up an attempt that is not dispatched; it is never dispatched afterwards. Returns false, without
    /// effect, if it is dispatched. The caller of this method answers the request.
    [[nodiscard]] bool withdraw(const base::request_id& attempt, base::time_point now,
                                client_actions& actions);

    /// Repeats, deadlines. To be called at least every `resend`.
    [[nodiscard]] client_actions tick(base::time_point now);

    /// Claims that are not granted yet.
    [[nodiscard]] std::size_t waiting() const;
    /// All claims up to the acknowledgement of their settlement; zero means that a stop loses nothing.
    [[nodiscard]] std::size_t size() const { return attempts_.size(); }

private:
    enum class phase { waiting, granted, dispatched, settling };
    struct attempt_state {
        base::key_hash key;
        base::partition_id partition;
        phase at = phase::waiting;
        settlement result = settlement::not_run;
        base::time_point submitted;
        base::time_point deadline;
        base::time_point next_send;
        base::duration interval{};
    };

    void send(const base::request_id& attempt, attempt_state& state, base::time_point now,
              client_actions& actions) const;
    void begin_settling(const base::request_id& attempt, attempt_state& state, settlement result,
                        base::time_point now, client_actions& actions) const;
    void refuse(const base::request_id& attempt, attempt_state& state, const verdict& what,
                base::time_point now, client_actions& actions) const;
    void grant_claim(const base::request_id& attempt, attempt_state& state, base::time_point now,
                     client_actions& actions) const;
    void expire(const base::request_id& attempt, attempt_state& state, base::time_point now,
                client_actions& actions) const;

    const client_settings settings_;
    /// Owner of each partition as this router sees the members.
    std::vector<base::vm_id> owners_;
    std::vector<base::time_point> outage_until_;
    std::map<base::request_id, attempt_state> attempts_;
    /// Where the next tick resumes, so that a bounded number of repeats reaches all settlements.
    base::request_id cursor_;
};

struct owner_settings {
    std::uint16_t partitions = 64;
    /// Shortest interval between the starts of two writes of a partition: 20 ms today, 250 ms at full size.
    base::duration spacing = std::chrono::milliseconds(20);
    /// Records in the tail above which it is sealed; 55 records are 2 KB.
    std::size_t tail_records = 55;
    /// Records in the largest merged segment: 518 KB, half of what the store takes.
    std::size_t segment_records = 14000;
    /// Segments of one level that are merged into one of the next.
    std::size_t merge_fan_in = 8;
    /// Messages of one partition that wait for a commit.
    std::size_t waiting = 512;
    /// Keys and released attempts in memory per partition above which new keys are refused. At about 100 B
    /// each, 64 partitions on one router need 64 MB at most.
    std::size_t keys = 10000;
    /// As `keys`, for releases of unknown keys: above it they are acknowledged without being recorded, and a
    /// late copy of the released claim could block its key until the retention ends.
    std::size_t releases = 12000;
    /// Must exceed the longest deadline of a request.
    base::duration retention = std::chrono::hours(24);
    /// A write that takes longer counts as a store outage: claims are refused instead of waiting.
    base::duration write_limit = std::chrono::milliseconds(1500);
    /// A command without an answer for this long is given up; its late answer is ignored.
    base::duration answer_limit = std::chrono::seconds(20);
    /// Interval between attempts to write during an outage.
    base::duration outage_pause = std::chrono::seconds(1);
    /// A router that lost a partition which it should own waits this long, and up to twice this long, before
    /// it takes the partition back, so that two routers with different views do not alternate at full speed.
    base::duration deposed_pause = std::chrono::seconds(1);
};

struct owner_actions {
    std::vector<outgoing> messages;
    std::vector<journal_command> commands;
};

/// Counters of the partition owner, for metrics.
struct owner_counters {
    std::uint64_t writes = 0;
    std::uint64_t seals = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t deposed = 0;
    std::uint64_t failures = 0;
    std::uint64_t refused = 0;
    /// Settlements that contradict the journal: `ran` for a key that another attempt holds.
    std::uint64_t contradictions = 0;
};

/// Owner side of at-most-once execution: records claims and settlements in the tails of the partitions that
/// this router owns, and answers only after the commit. A partition is taken over when the first message for
/// it arrives, so that a router with a wrong view of the members deposes nobody unless it is asked.
/// Thread safety: used by one thread.
class claim_owner {
public:
    /// Pre-condition: `life` was never used by another `claim_owner` of `self`, also not in this process.
    claim_owner(base::vm_id self, base::incarnation life, owner_settings settings, std::uint64_t seed);

    /// Live members, this router included, without those that leave.
    [[nodiscard]] owner_actions members_changed(const std::vector<base::vm_id>& live, base::time_point now);
    [[nodiscard]] owner_actions on_claim(const claim& what, const base::vm_id& from, base::time_point now);
    [[nodiscard]] owner_actions on_settle(const settle& what, const base::vm_id& from, base::time_point now);
    /// A command that the ring to the journal worker does not take is answered with `refused_command`.
    [[nodiscard]] owner_actions on_answer(const journal_answered& answer, base::time_point now);
    /// Starts the writes whose spacing has passed. To be called at least every `spacing`.
    [[nodiscard]] owner_actions tick(base::time_point now);

    /// Partitions that this router owns as far as it knows.
    [[nodiscard]] std::size_t owned() const;
    /// Keys in memory.
    [[nodiscard]] std::size_t keys() const;
    [[nodiscard]] const owner_counters& counters() const { return counters_; }

private:
    struct released_attempt {
        base::request_id attempt;
        std::uint32_t written_s = 0;
    };
    /// What is committed for a key.
    struct key_entry {
        /// The attempt that is not released, if any.
        std::optional<journal_record> holder;
        /// Sorted by attempt.
        std::vector<released_attempt> released;

        [[nodiscard]] bool has_released(const base::request_id& attempt) const;
        void add_released(const base::request_id& attempt, std::uint32_t written_s);
        void remove_released(const base::request_id& attempt);
        [[nodiscard]] std::size_t size() const { return released.size() + (holder ? 1 : 0); }
    };
    struct waiting_message {
        base::vm_id from;
        base::key_hash key;
        base::request_id attempt;
        /// Empty for a claim.
        std::optional<settlement> result;
        base::time_point arrived;
    };
    enum class phase {
        idle,   ///< not owned
        taking, ///< takeover in flight
        owned,
    };
    struct command_in_flight {
        std::uint64_t ticket = 0;
        base::time_point sent;
    };
    struct partition {
        base::partition_id id;
        /// The members as this router sees them make it the owner.
        bool assigned = false;
        phase at = phase::idle;
        std::optional<command_in_flight> in_flight;
        /// Last tail known to be in the store, and its version.
        journal_tail tail;
        base::object_version version;
        /// Last batch and segment numbers issued; they also count updates whose fate is not known.
        std::uint64_t batch = 0;
        std::uint32_t segment = 0;
        std::unordered_map<base::key_hash, key_entry> keys;
        /// Sum of the sizes of all entries in `keys`.
        std::size_t entries = 0;
        std::deque<waiting_message> waiting;
        base::time_point next_write;
        /// No command is issued and claims get `blocked_answer` until then.
        base::time_point blocked_until;
        claim_answer blocked_answer = claim_answer::not_owner;
        /// Time at which the journal time was `tail.clock_s` of the takeover.
        base::time_point clock_from;
        std::uint32_t clock_base_s = 0;
        base::time_point next_expiry;
    };
    using staged_records = std::vector<journal_record>;

    [[nodiscard]] owner_actions accept(base::partition_id id, waiting_message what, base::time_point now);
    /// Why a claim cannot wait for a commit now.
    [[nodiscard]] std::optional<claim_answer> obstacle(const partition& part, base::time_point now) const;
    [[nodiscard]] bool store_out(base::time_point now) const;
    /// The answer that the committed state gives, or empty if a write is needed first.
    [[nodiscard]] std::optional<message> resolve(const partition& part, const waiting_message& what);
    [[nodiscard]] std::optional<claim_answer> resolve_claim(const partition& part,
                                                            const waiting_message& what) const;
    [[nodiscard]] bool resolve_settle(const partition& part, const waiting_message& what);
    void enqueue(partition& part, waiting_message what, owner_actions& actions);

    void start(partition& part, base::time_point now, owner_actions& actions);
    [[nodiscard]] std::optional<journal_command> next_command(partition& part, base::time_point now);
    [[nodiscard]] journal_update build_update(partition& part, const staged_records& staged,
                                              base::time_point now);
    void add_seal(partition& part, journal_update& update);
    /// Adds the record that `what` asks for, on top of the committed state and what is staged already.
    static void stage_message(const partition& part, const waiting_message& what, std::uint32_t now_s,
                              staged_records& staged);
    [[nodiscard]] std::uint32_t journal_time(const partition& part, base::time_point now) const;
    [[nodiscard]] std::uint32_t retention_s() const;

    void answered_update(partition& part, const journal_answered& answer, base::time_point now,
                         owner_actions& actions);
    void answered_takeover(partition& part, const journal_answered& answer, base::time_point now,
                           owner_actions& actions);
    void adopt(partition& part, const journal_answered& answer);
    void apply(partition& part, const journal_record& record);
    void depose(partition& part, base::time_point now, owner_actions& actions);
    void fail(partition& part, const base::error& cause, base::time_point now, owner_actions& actions);
    void hand_back(partition& part, owner_actions& actions) const;
    void answer_resolved(partition& part, owner_actions& actions);
    void refuse_claims(partition& part, claim_answer why, base::time_point arrived_until,
                       owner_actions& actions) const;
    void expire(partition& part, base::time_point now) const;

    const base::vm_id self_;
    const base::incarnation life_;
    const owner_settings settings_;
    std::mt19937_64 random_;
    std::vector<partition> partitions_;
    std::uint64_t next_ticket_ = 1;
    std::size_t in_flight_ = 0;
    /// The last command failed. Until one succeeds, a single command at a time probes the store, the next one
    /// at `probe_at_`, and claims are refused meanwhile.
    bool store_failed_ = false;
    base::time_point probe_at_;
    owner_counters counters_;
};

/// The answer to a journal command that could not be handed to the worker, with cause `queue_full`.
event refused_command(const journal_command& command);

} // namespace bluebell::decision
