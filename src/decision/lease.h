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

/// The lease of one pool as it stands in the store. An empty holder means that it was handed back.
struct lease_record {
    base::pool_id pool;
    base::vm_id holder;
    /// Start number of the holder, which tells a restarted router from its former self.
    base::incarnation incarnation;
    /// Raised by each acquisition, kept by renewals; the fencing token of orders.
    base::epoch generation;
    /// Number of the write within the life of the holder. No two writes are equal, so a write that lands late
    /// is not mistaken for a later one, whose term would be counted from a later time.
    std::uint64_t renewal = 0;
    base::duration term{};
};

/// Reads the lease of a pool.
struct lease_read {
    base::pool_id pool;
    std::uint64_t ticket = 0;
};

/// Replaces the lease if it still has version `expected`.
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
    /// The lease as it now stands in the store; empty with version zero if the object does not exist.
    std::optional<lease_record> record;
    base::object_version version;
    /// `store_conflict` if another write came first; the fields above then tell what it wrote. With any other
    /// cause the state of the store is not known.
    std::optional<base::error> cause;
};

struct lease_settings {
    base::duration term = std::chrono::seconds(6);
    /// Covers the difference in clock rate between routers and the time from a check to its effect.
    base::duration margin = std::chrono::seconds(1);
    base::duration renewal = std::chrono::seconds(2);
    /// Interval between reads of a lease that another router holds.
    base::duration poll = std::chrono::seconds(2);
    /// Interval between commands while the store does not answer.
    base::duration retry = std::chrono::milliseconds(500);
    /// A command without an answer for this long is given up; its late answer is ignored.
    base::duration answer_limit = std::chrono::seconds(30);
};

/// A held lease, as far as the sender of orders has to know it.
struct lease_hold {
    base::pool_id pool;
    /// Fencing token.
    base::epoch generation;
    /// Confirmation of the acquisition; the quiet period of upstreams that do not check tokens starts here.
    base::time_point acquired;
    /// The holder acts only before this time.
    base::time_point act_before;
};

/// Acquires and renews the lease of one pool. Issues at most one store command at a time.
/// Thread safety: used by one thread.
class lease_keeper {
public:
    /// Pre-conditions: `life` is not used by any other keeper of `self` for the pool; `margin` is smaller
    /// than `term`.
    lease_keeper(base::pool_id pool, base::vm_id self, base::incarnation life, lease_settings settings);

    /// Whether this router should hold the lease. A holder that no longer should hands it back.
    [[nodiscard]] std::vector<lease_command> want(bool wanted, base::time_point now);
    [[nodiscard]] std::vector<lease_command> answered(const lease_answered& answer, base::time_point now);
    [[nodiscard]] std::vector<lease_command> tick(base::time_point now);

    /// The lease, while it may be acted on.
    [[nodiscard]] std::optional<lease_hold> held(base::time_point now) const;

private:
    struct command_in_flight {
        std::uint64_t ticket = 0;
        /// Taken before the command was sent; the term counts from here.
        base::time_point sent;
        std::optional<lease_record> written;
    };

    [[nodiscard]] std::optional<lease_command> next_command(base::time_point now);
    [[nodiscard]] lease_command read(base::time_point now);
    [[nodiscard]] lease_command write(const base::vm_id& holder, base::epoch generation,
                                      base::time_point now);
    [[nodiscard]] bool own() const;
    [[nodiscard]] bool free_to_take(base::time_point now) const;
    void confirmed(const lease_record& record, base::time_point sent, base::time_point now);
    void seen(const lease_answered& answer, base::time_point now);

    const base::pool_id pool_;
    const base::vm_id self_;
    const base::incarnation life_;
    const lease_settings settings_;
    bool wanted_ = false;
    /// A write of this router may stand in the store.
    bool may_hold_ = false;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t writes_ = 0;
    std::optional<command_in_flight> in_flight_;
    /// False if the store may have changed by a write of this router whose answer was lost.
    bool known_ = false;
    /// What the store holds as last read or written, and when this version was first seen.
    std::optional<lease_record> stored_;
    base::object_version version_;
    base::time_point version_since_;
    base::time_point next_read_;
    base::time_point next_renewal_;
    std::optional<lease_hold> hold_;
};

} // namespace bluebell::decision
