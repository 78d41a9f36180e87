#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bluebell::decision {

/// The lease of one pool as stored. An empty holder means that the lease was handed back.
struct lease_record {
    base::pool_id pool;
    base::vm_id holder;
    /// Incarnation of the holder; distinguishes a restarted router from its earlier incarnations.
    base::incarnation incarnation;
    /// Raised by each acquisition and kept by renewals; the fencing token of orders.
    base::epoch generation;
    /// Number of the write within the incarnation of the holder. No two writes are equal, so a write that
    /// takes effect late is not mistaken for a later one, whose term would be counted from a later time.
    std::uint64_t write_number = 0;
    base::duration term{};
};

/// Command: reads the lease of a pool.
struct lease_read {
    base::pool_id pool;
    std::uint64_t ticket = 0;
};

/// Command: replaces the lease if it still has version `expected`.
struct lease_update {
    lease_record record;
    base::object_version expected;
    std::uint64_t ticket = 0;
};

using lease_command = std::variant<lease_read, lease_update>;

/// Answer to a `lease_read` or `lease_update`.
struct lease_answered {
    base::pool_id pool;
    std::uint64_t ticket = 0;
    /// The lease that the store now holds; empty with version zero if the object does not exist.
    std::optional<lease_record> record;
    base::object_version version;
    /// `store_conflict` if another write came first; the fields above then hold what it wrote. With any other
    /// cause the state of the store is unknown.
    std::optional<base::error> cause;
};

struct lease_settings {
    /// Time for which an acquisition or a renewal is valid, counted from before the write was sent.
    base::duration term = std::chrono::seconds(6);
    /// Subtracted from the term by the holder and added to it by others. Covers the difference in clock rate
    /// between routers and the time from a check to its effect.
    base::duration safety_margin = std::chrono::seconds(1);
    /// Interval between renewals by the holder.
    base::duration renewal_interval = std::chrono::seconds(2);
    /// Interval between reads of a lease that another router holds.
    base::duration poll_interval = std::chrono::seconds(2);
    /// Interval between commands while the store does not answer.
    base::duration retry_interval = std::chrono::milliseconds(500);
    /// A command that is not answered within this time is given up; its late answer is ignored.
    base::duration answer_timeout = std::chrono::seconds(30);
};

/// The attributes of a held lease that the sender of orders needs.
struct lease_hold {
    base::pool_id pool;
    /// Fencing token.
    base::epoch generation;
    /// Time at which the acquisition was confirmed; the quiet period of upstreams that do not check fencing
    /// tokens starts here.
    base::time_point acquired_at;
    /// The holder may act under the lease only before this time.
    base::time_point act_before;
};

/// Acquires and renews the lease of one pool. Issues at most one store command at a time.
/// Thread safety: used by one thread.
class lease_keeper {
public:
    /// Pre-conditions: `incarnation` is not used by any other keeper of `self` for the pool; `safety_margin`
    /// is smaller than `term`.
    lease_keeper(base::pool_id pool, base::vm_id self, base::incarnation incarnation,
                 lease_settings settings);

    /// Sets whether this router should hold the lease. A holder that no longer should hold it hands it back.
    /// Returns the commands to issue.
    [[nodiscard]] std::vector<lease_command> set_wanted(bool wanted, base::time_point now);
    /// Processes the answer to a command and returns the commands to issue. Answers to earlier commands are
    /// ignored.
    [[nodiscard]] std::vector<lease_command> on_answer(const lease_answered& answer, base::time_point now);
    /// Returns the commands that are due.
    [[nodiscard]] std::vector<lease_command> tick(base::time_point now);

    /// Returns the lease while it may be acted on; empty otherwise.
    [[nodiscard]] std::optional<lease_hold> held(base::time_point now) const;

private:
    struct command_in_flight {
        std::uint64_t ticket = 0;
        /// Time just before the command was sent; the term counts from here.
        base::time_point sent_at;
        std::optional<lease_record> written;
    };

    [[nodiscard]] std::optional<lease_command> next_command(base::time_point now);
    [[nodiscard]] lease_command issue_read(base::time_point now);
    [[nodiscard]] lease_command issue_write(const base::vm_id& holder, base::epoch generation,
                                            base::time_point now);
    [[nodiscard]] bool is_holder() const;
    [[nodiscard]] bool is_free(base::time_point now) const;
    void on_write_confirmed(const lease_record& record, base::time_point sent, base::time_point now);
    void on_lease_read(const lease_answered& answer, base::time_point now);

    const base::pool_id pool_;
    const base::vm_id self_;
    const base::incarnation incarnation_;
    const lease_settings settings_;
    bool wanted_ = false;
    /// True if the store may hold a write of this router.
    bool may_hold_ = false;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t last_write_number_ = 0;
    std::optional<command_in_flight> in_flight_;
    /// False if the state of the store is unknown, because a write of this router whose answer was lost may
    /// have changed it.
    bool store_state_known_ = false;
    /// The lease as last read or written, its version, and the time at which this version was first seen.
    std::optional<lease_record> stored_;
    base::object_version version_;
    base::time_point version_first_seen_;
    base::time_point next_read_;
    base::time_point next_renewal_;
    std::optional<lease_hold> hold_;
};

} // namespace bluebell::decision
