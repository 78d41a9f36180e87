#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ring.h"
#include "base/worker.h"
#include "decision/command.h"
#include "decision/event.h"
#include "store/store.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::store {

/// Largest value that the object store accepts, in bytes.
constexpr std::size_t store_value_limit = 1000000;

/// Names of the stored objects: the tail of a partition, a segment of it, and the lease of a pool.
base::object_name tail_name(base::partition_id partition);
base::object_name segment_object(base::partition_id partition, const decision::segment_name& name);
base::object_name lease_name(const base::pool_id& pool);

/// Encoders and decoders of the stored objects, as cereal portable binary with magic number, format version
/// and checksum. Errors of the decoders: `value_too_large`, `store_malformed`.
std::string encode_tail(const decision::journal_tail& tail);
base::result<decision::journal_tail> decode_tail(std::string_view bytes);
std::string encode_segment(const std::vector<decision::journal_record>& records);
base::result<std::vector<decision::journal_record>> decode_segment(std::string_view bytes);
std::string encode_lease(const decision::lease_record& record);
base::result<decision::lease_record> decode_lease(std::string_view bytes);

/// Limits of `journal_writer`.
struct journal_settings {
    /// Time after the start of a command during which its calls are retried.
    base::duration budget = std::chrono::seconds(3);
    /// Pause before the first retry, +-50%; doubles with each retry up to `longest_pause`.
    base::duration first_pause = std::chrono::milliseconds(20);
    base::duration longest_pause = std::chrono::milliseconds(500);
    /// Attempts of a takeover that conflict with commits of the old owner before it fails.
    std::size_t takeover_rounds = 16;
    /// Longest queue of segments to remove; the next takeover finds the segments that exceed it.
    std::size_t max_garbage = 256;
};

/// Executes journal and lease commands on the object store, one at a time.
/// Thread safety: one instance is used by one thread.
class journal_writer {
public:
    /// Sleeps for the given time; returns true if a stop was requested.
    using pause_function = std::function<bool(base::duration)>;

    /// Pre-condition: `store` and `clock` outlive the writer. `seed` initialises the variation of pauses.
    journal_writer(object_store& store, const base::clock& clock, journal_settings settings,
                   std::uint64_t seed);

    /// Executes `command` and returns the `journal_answered` or `lease_answered` event. Retries within the
    /// time budget; after a command that failed because of an outage of the store, calls are tried only once
    /// until a command succeeds.
    [[nodiscard]] decision::event carry_out(const decision::journal_command& command,
                                            const pause_function& pause);
    /// Removes one segment that no tail lists any more, if one is queued. Failures are ignored, since a
    /// remaining object only takes up space.
    void remove_garbage();
    /// Returns the number of segments queued for removal.
    [[nodiscard]] std::size_t garbage_count() const { return garbage_.size(); }

private:
    /// Outcome of a conditional update.
    struct write_result {
        base::result<base::object_version> version;
        /// The stored object, after `store_conflict`.
        std::optional<stored_object> existing;
    };
    class retry_budget;

    /// Executes one command; the answer has a cause unless it succeeded.
    decision::journal_answered update(const decision::journal_update& command, retry_budget& retries);
    decision::journal_answered take_over(const decision::journal_takeover& command, retry_budget& retries);
    decision::lease_answered read_lease(const decision::lease_read& command, retry_budget& retries);
    decision::lease_answered write_lease(const decision::lease_update& command, retry_budget& retries);

    /// Reads an object; repeats the call during an outage of the store.
    base::result<stored_object> read(const base::object_name& name, retry_budget& retries);
    /// Updates an object if its version is `expected`; resolves lost answers by reading the object back.
    write_result write(const base::object_name& name, const std::string& value, base::object_version expected,
                       retry_budget& retries);
    /// Writes the segment of `command`, with the records of the segments to merge.
    base::result<void> seal(const decision::journal_update& command, retry_budget& retries);
    base::result<std::vector<decision::journal_record>>
    read_segment(base::partition_id partition, const decision::segment_name& name, retry_budget& retries);
    base::result<std::vector<decision::journal_record>>
    read_segments(const decision::journal_tail& tail, std::uint32_t oldest_s, retry_budget& retries);
    /// Queues the stored segments of the partition that `tail` does not list for removal.
    void queue_unlisted_segments(const decision::journal_tail& tail);
    void queue_for_removal(base::partition_id partition, const std::vector<decision::segment_name>& names);

    object_store& store_;
    const base::clock& clock_;
    const journal_settings settings_;
    std::mt19937_64 random_;
    /// Set while the last command failed because of an outage of the store.
    bool store_failed_ = false;
    /// Segments to remove, oldest first.
    std::deque<base::object_name> garbage_;
};

/// Worker that executes the decider's journal commands and pushes the answers into its event ring.
class journal_worker final : public base::worker {
public:
    /// Pre-condition: the rings and the clock outlive the worker.
    journal_worker(std::unique_ptr<object_store> store, const base::clock& clock, journal_settings settings,
                   std::uint64_t seed, base::ring<decision::journal_command>& commands,
                   base::ring<decision::event>& events);

    [[nodiscard]] std::string name() const override { return "journal"; }
    void run(base::stop_signal& stop) override;

private:
    std::unique_ptr<object_store> store_;
    const base::clock& clock_;
    const journal_settings settings_;
    const std::uint64_t seed_;
    base::ring<decision::journal_command>& commands_;
    base::ring<decision::event>& events_;
};

} // namespace bluebell::store
