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

/// Largest value that the object store takes.
constexpr std::size_t store_value_limit = 1000000;

base::object_name tail_name(base::partition_id partition);
base::object_name segment_object(base::partition_id partition, const decision::segment_name& name);
base::object_name lease_name(const base::pool_id& pool);

/// Stored forms: cereal portable binary with magic, version and checksum.
/// Errors of the decoders: `value_too_large`, `store_malformed`.
std::string encode_tail(const decision::journal_tail& tail);
base::result<decision::journal_tail> decode_tail(std::string_view bytes);
std::string encode_segment(const std::vector<decision::journal_record>& records);
base::result<std::vector<decision::journal_record>> decode_segment(std::string_view bytes);
std::string encode_lease(const decision::lease_record& record);
base::result<decision::lease_record> decode_lease(std::string_view bytes);

struct journal_settings {
    /// Retries of one command start no later than this after its start.
    base::duration budget = std::chrono::seconds(3);
    base::duration first_pause = std::chrono::milliseconds(20);
    base::duration longest_pause = std::chrono::milliseconds(500);
    /// Conflicts with the commits of the old owner after which a takeover gives up.
    std::size_t takeover_rounds = 16;
    /// Segments that wait for their removal; more are left to the next takeover.
    std::size_t garbage = 256;
};

/// Carries out journal and lease commands on the object store, one at a time.
/// Thread safety: used by one thread.
class journal_writer {
public:
    /// Sleeps for the given time; returns true if the work has to stop.
    using pause_function = std::function<bool(base::duration)>;

    /// `store` and `time` must outlive the writer.
    journal_writer(object_store& store, const base::clock& time, journal_settings settings,
                   std::uint64_t seed);

    /// The answer to `command`: a `journal_answered` or a `lease_answered`. Retries within the budget; after
    /// a command that the store did not answer, the next ones get a single try until one succeeds.
    [[nodiscard]] decision::event carry_out(const decision::journal_command& command,
                                            const pause_function& pause);
    /// Removes one segment that no tail lists any more, if there is one. Failures are ignored: an object that
    /// stays costs only space.
    void remove_garbage();
    [[nodiscard]] std::size_t garbage() const { return garbage_.size(); }

private:
    struct write_end {
        base::result<base::object_version> version;
        /// The object that came first, after `store_conflict`.
        std::optional<stored_object> found;
    };
    class retry_limit;

    decision::journal_answered update(const decision::journal_update& command, retry_limit& left);
    decision::journal_answered take_over(const decision::journal_takeover& command, retry_limit& left);
    decision::lease_answered read_lease(const decision::lease_read& command, retry_limit& left);
    decision::lease_answered write_lease(const decision::lease_update& command, retry_limit& left);

    base::result<stored_object> read(const base::object_name& name, retry_limit& left);
    write_end write(const base::object_name& name, const std::string& value, base::object_version expected,
                    retry_limit& left);
    base::result<void> seal(const decision::journal_update& command, retry_limit& left);
    base::result<std::vector<decision::journal_record>>
    read_segment(base::partition_id partition, const decision::segment_name& name, retry_limit& left);
    base::result<std::vector<decision::journal_record>>
    read_segments(const decision::journal_tail& tail, std::uint32_t oldest_s, retry_limit& left);
    void find_garbage(const decision::journal_tail& tail);
    void discard(base::partition_id partition, const std::vector<decision::segment_name>& names);

    object_store& store_;
    const base::clock& clock_;
    const journal_settings settings_;
    std::mt19937_64 random_;
    bool store_failed_ = false;
    std::deque<base::object_name> garbage_;
};

/// The thread that carries out the decider's journal commands and pushes the answers into its event ring.
class journal final : public base::worker {
public:
    /// The rings and the clock must outlive the worker.
    journal(std::unique_ptr<object_store> store, const base::clock& time, journal_settings settings,
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
