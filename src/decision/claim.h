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

/// Returns the partition of a key. Pre-condition: `partitions` is greater than zero and the same on all
/// routers.
base::partition_id partition_of(const base::key_hash& key, std::uint16_t partitions);
/// Returns the router that should own a partition; empty if `live` is empty.
base::vm_id partition_owner(base::partition_id partition, const std::vector<base::vm_id>& live);

struct client_settings {
    std::uint16_t partitions = 64;
    /// First interval between repeats of an unanswered message; doubles with each repeat up to
    /// `max_resend_interval`.
    base::duration resend_interval = std::chrono::milliseconds(200);
    base::duration max_resend_interval = std::chrono::seconds(5);
    /// A claim that is not answered within this time is withdrawn.
    base::duration answer_timeout = std::chrono::seconds(10);
    /// After an owner has reported the store unavailable, new claims of the partition are refused without
    /// asking the owner for this long.
    base::duration outage_pause = std::chrono::milliseconds(500);
    /// Maximum number of claims between submission and the acknowledgement of their settlement.
    std::size_t max_attempts = 16384;
    /// Maximum number of settlements that one tick repeats; bounds the control traffic after an outage.
    std::size_t max_repeats_per_tick = 64;
};

/// A claim that was not granted, with the verdict for the caller.
struct claim_ended {
    base::request_id attempt;
    verdict final_verdict;
};

/// What the caller of a `claim_client` has to do next.
struct client_actions {
    std::vector<outgoing> messages;
    /// Attempts that may now be dispatched; each is listed once.
    std::vector<base::request_id> granted;
    /// Attempts that were not granted and never will be.
    std::vector<claim_ended> ended;
};

/// Claims keys from partition owners before dispatch and settles the claims afterwards: the entry-router side
/// of at-most-once execution. An attempt is identified by the id of its request, which no other request may
/// use. Messages may be addressed to this router itself. Thread safety: used by one thread.
class claim_client {
public:
    explicit claim_client(client_settings settings);

    /// Sets the live members: this router included, leaving members excluded.
    [[nodiscard]] client_actions members_changed(const std::vector<base::vm_id>& live, base::time_point now);

    /// Claims the key of a non-repeatable request. A later result lists the attempt in `granted` or `ended`,
    /// at the latest at `deadline`. Errors, each meaning that the request did not run and that the attempt is
    /// not recorded here: `queue_full`, `store_unavailable`, `not_ready` (no live members),
    /// `deadline_exceeded`. Pre-condition: `attempt` was never submitted before.
    [[nodiscard]] base::result<client_actions> submit(const base::request_id& attempt,
                                                      const base::key_hash& key, base::time_point deadline,
                                                      base::time_point now);

    /// Processes the owner's answer to a claim. Answers to attempts that do not wait for one are ignored.
    [[nodiscard]] client_actions on_claim_result(const claim_result& answer, base::time_point now);
    /// The owner has recorded the settlement; the attempt is removed.
    void on_settle_ack(const settle_ack& ack);

    /// Marks a granted attempt as dispatched; called immediately before it is put on a connection. Returns
    /// false if it must not be sent: it is not granted, is already dispatched, was withdrawn or its deadline
    /// has passed.
    [[nodiscard]] bool dispatch(const base::request_id& attempt, base::time_point now);
    /// The dispatched attempt was not put on any connection, or the connection was refused. The attempt is
    /// granted again: the caller dispatches it anew or withdraws it.
    void on_not_sent(const base::request_id& attempt);
    /// The dispatched attempt ended with `result`. `outcome_unknown` leaves the key claimed, so that no
    /// repeat ever runs.
    [[nodiscard]] client_actions on_attempt_ended(const base::request_id& attempt, outcome result,
                                                  base::time_point now);
    /// Withdraws an attempt that is not dispatched; it is never dispatched afterwards. Returns false, without
    /// effect, if it is dispatched, unknown or settled as `ran`. The caller of this method answers the
    /// request.
    [[nodiscard]] bool withdraw(const base::request_id& attempt, base::time_point now,
                                client_actions& actions);

    /// Resends unanswered messages and ends claims whose deadline has passed. To be called at least every
    /// `resend_interval`.
    [[nodiscard]] client_actions tick(base::time_point now);

    /// Number of claims that wait for an answer.
    [[nodiscard]] std::size_t waiting() const;
    /// Number of all attempts whose settlement is not acknowledged; zero means that a stop loses nothing.
    [[nodiscard]] std::size_t size() const { return attempts_.size(); }

private:
    enum class phase { waiting, granted, dispatched, settling };
    struct attempt_state {
        base::key_hash key;
        base::partition_id partition;
        phase current_phase = phase::waiting;
        settlement result = settlement::not_run;
        base::time_point submitted_at;
        base::time_point deadline;
        base::time_point next_send_at;
        base::duration resend_interval{};
    };

    void send(const base::request_id& attempt, attempt_state& state, base::time_point now,
              client_actions& actions) const;
    void begin_settling(const base::request_id& attempt, attempt_state& state, settlement result,
                        base::time_point now, client_actions& actions) const;
    void refuse(const base::request_id& attempt, attempt_state& state, const verdict& final_verdict,
                base::time_point now, client_actions& actions) const;
    void grant_claim(const base::request_id& attempt, attempt_state& state, base::time_point now,
                     client_actions& actions) const;
    void check_timeouts(const base::request_id& attempt, attempt_state& state, base::time_point now,
                        client_actions& actions) const;

    const client_settings settings_;
    /// Owner of each partition according to this router's view of the members.
    std::vector<base::vm_id> owners_;
    std::vector<base::time_point> outage_until_;
    std::map<base::request_id, attempt_state> attempts_;
    /// The attempt that the last tick examined last; the next tick resumes after it, so that a bounded number
    /// of repeats per tick reaches all settlements.
    base::request_id resend_cursor_;
};

struct owner_settings {
    std::uint16_t partitions = 64;
    /// Minimum interval between the starts of two writes of a partition: 20 ms today, 250 ms at full size.
    base::duration min_write_interval = std::chrono::milliseconds(20);
    /// Number of records above which the tail is sealed; 55 records are 2 KB.
    std::size_t tail_records = 55;
    /// Maximum number of records in a merged segment: 518 KB, half of what the store accepts.
    std::size_t segment_records = 14000;
    /// Number of segments of one level that are merged into one of the next level.
    std::size_t merge_fan_in = 8;
    /// Maximum number of messages of one partition that wait for a commit.
    std::size_t max_waiting = 512;
    /// Number of keys and released attempts in memory per partition above which new keys are refused. At
    /// about 100 B each, 64 partitions on one router need 64 MB at most.
    std::size_t max_keys = 10000;
    /// Like `max_keys`, for releases of unknown keys: above this number they are acknowledged without being
    /// recorded, and a late copy of the released claim could block its key until the retention ends.
    std::size_t max_releases = 12000;
    /// Time for which records are kept. Must exceed the longest deadline of a request.
    base::duration retention = std::chrono::hours(24);
    /// A write that takes longer counts as a store outage: claims are refused instead of waiting.
    base::duration write_timeout = std::chrono::milliseconds(1500);
    /// A command that is not answered within this time is given up; its late answer is ignored.
    base::duration answer_timeout = std::chrono::seconds(20);
    /// Interval between attempts to write during a store outage.
    base::duration store_probe_interval = std::chrono::seconds(1);
    /// A router that lost a partition which it should own waits between one and two times this long before it
    /// takes the partition back, so that two routers with different views of the members do not depose each
    /// other without pause.
    base::duration deposed_pause = std::chrono::seconds(1);
};

/// What the caller of a `claim_owner` has to do next.
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

/// Records claims and settlements in the tails of the partitions that this router owns, and answers only
/// after the commit: the owner side of at-most-once execution. A partition is taken over when the first
/// message for it arrives, so that a router with a wrong view of the members deposes no other owner unless it
/// is asked. Thread safety: used by one thread.
class claim_owner {
public:
    /// Pre-condition: `incarnation` was never used by another `claim_owner` of `self`, also not in this
    /// process.
    claim_owner(base::vm_id self, base::incarnation incarnation, owner_settings settings, std::uint64_t seed);

    /// Sets the live members: this router included, leaving members excluded.
    [[nodiscard]] owner_actions members_changed(const std::vector<base::vm_id>& live, base::time_point now);
    /// Processes a claim from router `from`; the answer may come with a later call, after the commit.
    [[nodiscard]] owner_actions on_claim(const claim& received, const base::vm_id& from,
                                         base::time_point now);
    /// Processes a settlement from router `from`; it is acknowledged after the commit.
    [[nodiscard]] owner_actions on_settle(const settle& received, const base::vm_id& from,
                                          base::time_point now);
    /// Processes the answer to a command. The caller answers a command that the ring to the journal worker
    /// does not accept with `queue_full_answer`.
    [[nodiscard]] owner_actions on_journal_answer(const journal_answered& answer, base::time_point now);
    /// Starts the writes whose `min_write_interval` has passed, and refuses claims that wait too long. To be
    /// called at least every `min_write_interval`.
    [[nodiscard]] owner_actions tick(base::time_point now);

    /// Number of partitions that this router owns as far as it knows.
    [[nodiscard]] std::size_t owned_partitions() const;
    /// Number of keys and released attempts in memory.
    [[nodiscard]] std::size_t key_count() const;
    [[nodiscard]] const owner_counters& counters() const { return counters_; }

private:
    struct released_attempt {
        base::request_id attempt;
        std::uint32_t written_s = 0;
    };
    /// The committed state of a key.
    struct key_entry {
        /// Record of the attempt that holds the key, if any; a released attempt does not.
        std::optional<journal_record> holder;
        /// Released attempts of the key, sorted by attempt.
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
        /// The result of a settlement; empty for a claim.
        std::optional<settlement> result;
        base::time_point arrived_at;
    };
    enum class phase {
        idle,        ///< not owned
        taking_over, ///< a takeover is in flight
        owned,
    };
    struct command_in_flight {
        std::uint64_t ticket = 0;
        base::time_point sent_at;
    };
    struct partition {
        base::partition_id id;
        /// True if this router is the owner according to its view of the members.
        bool assigned = false;
        phase current_phase = phase::idle;
        std::optional<command_in_flight> in_flight;
        /// The last tail that is known to be in the store, and its version.
        journal_tail tail;
        base::object_version version;
        /// The last batch and segment numbers issued, those of updates with unknown outcome included.
        std::uint64_t last_batch = 0;
        std::uint32_t last_segment = 0;
        std::unordered_map<base::key_hash, key_entry> keys;
        /// Sum of the sizes of all entries in `keys`.
        std::size_t entry_count = 0;
        std::deque<waiting_message> waiting;
        base::time_point next_write;
        /// Until this time no command is issued and claims are answered with `blocked_answer`.
        base::time_point blocked_until;
        claim_answer blocked_answer = claim_answer::not_owner;
        /// Time of the takeover, at which the journal time was `clock_base_s`.
        base::time_point clock_base_time;
        std::uint32_t clock_base_s = 0;
        base::time_point next_expiry;
    };
    using staged_records = std::vector<journal_record>;

    /// Answers a message from the committed state, refuses it or queues it for the next write.
    [[nodiscard]] owner_actions handle_message(base::partition_id id, waiting_message pending,
                                               base::time_point now);
    /// Returns the reason why a claim cannot wait for a commit now; empty if it can.
    [[nodiscard]] std::optional<claim_answer> refusal_reason(const partition& part,
                                                             base::time_point now) const;
    [[nodiscard]] bool store_unavailable(base::time_point now) const;
    /// Returns the answer that the committed state gives; empty if a write is needed first.
    [[nodiscard]] std::optional<message> resolve(const partition& part, const waiting_message& pending);
    [[nodiscard]] std::optional<claim_answer> resolve_claim(const partition& part,
                                                            const waiting_message& pending) const;
    [[nodiscard]] bool resolve_settle(const partition& part, const waiting_message& pending);
    void enqueue(partition& part, waiting_message pending, owner_actions& actions);

    void start_command(partition& part, base::time_point now, owner_actions& actions);
    [[nodiscard]] std::optional<journal_command> next_command(partition& part, base::time_point now);
    [[nodiscard]] journal_update build_update(partition& part, const staged_records& staged,
                                              base::time_point now);
    void seal_tail(partition& part, journal_update& update);
    /// Adds the record that a waiting message requires, given the committed state and the records staged
    /// before it.
    static void stage_message(const partition& part, const waiting_message& pending, std::uint32_t now_s,
                              staged_records& staged);
    [[nodiscard]] std::uint32_t journal_time(const partition& part, base::time_point now) const;
    [[nodiscard]] std::uint32_t retention_s() const;

    void on_update_answer(partition& part, const journal_answered& answer, base::time_point now,
                          owner_actions& actions);
    void on_takeover_answer(partition& part, const journal_answered& answer, base::time_point now,
                            owner_actions& actions);
    void adopt_tail(partition& part, const journal_answered& answer);
    void apply_record(partition& part, const journal_record& record);
    void on_deposed(partition& part, base::time_point now, owner_actions& actions);
    void on_command_failed(partition& part, const base::error& cause, base::time_point now,
                           owner_actions& actions);
    void give_up_partition(partition& part, owner_actions& actions) const;
    void answer_committed(partition& part, owner_actions& actions);
    void refuse_claims(partition& part, claim_answer reason, base::time_point arrived_until,
                       owner_actions& actions) const;
    void expire_records(partition& part, base::time_point now) const;

    const base::vm_id self_;
    const base::incarnation incarnation_;
    const owner_settings settings_;
    std::mt19937_64 random_;
    std::vector<partition> partitions_;
    std::uint64_t next_ticket_ = 1;
    std::size_t commands_in_flight_ = 0;
    /// True if the last command failed. Until one succeeds, a single command at a time probes the store, the
    /// next one at `next_store_probe_`, and claims are refused.
    bool store_failed_ = false;
    base::time_point next_store_probe_;
    owner_counters counters_;
};

/// Returns the answer to a journal command that could not be handed to the worker, with cause `queue_full`.
event queue_full_answer(const journal_command& command);

} // namespace bluebell::decision
