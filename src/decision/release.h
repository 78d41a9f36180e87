#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/command.h"
#include "decision/config.h"
#include "decision/event.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::decision {

enum class change_kind { add, change, withdraw };

/// Part of a release note: what happens to one client account. Fields that are not set keep their value, or
/// take the default of a new account. `place` is where the note says so.
struct account_change {
    change_kind kind = change_kind::add;
    base::client_account_id id;
    std::optional<base::weight> share;
    std::string place;
};

struct pool_change {
    change_kind kind = change_kind::add;
    base::pool_id id;
    std::optional<pool_kind> type;
    std::optional<base::cost> default_cost;
    std::string place;
};

struct upstream_change {
    change_kind kind = change_kind::add;
    base::upstream_id id;
    std::optional<base::pool_id> pool;
    std::optional<base::data_centre_id> data_centre;
    std::optional<endpoint> address;
    std::optional<base::slot_count> slots;
    std::optional<bool> checks_fence;
    std::optional<bool> can_resume;
    std::string place;
};

/// What an operator wants to change.
struct release_note {
    base::operator_id author;
    std::string title;
    /// The revision that the operator looked at; the note is refused if another one is in force.
    std::optional<base::revision> base_revision;
    std::vector<account_change> accounts;
    std::vector<pool_change> pools;
    std::vector<upstream_change> upstreams;
    std::string place;
};

/// An accepted change, as the head lists it.
struct release_change {
    base::revision revision;
    base::operator_id author;
    base::change_id change;
    std::string title;
};

/// Every fault of the note against the configuration in force; empty if it can be applied.
std::vector<base::error> validate(const release_note& note, const fleet_config& current);

/// The configuration after the note, with the next revision. A withdrawn upstream that is active becomes
/// `departing`; one that is departing is removed. A withdrawn pool stays as long as it has upstreams.
/// Pre-condition: `validate` found no fault.
fleet_config apply(const release_note& note, const fleet_config& current);

/// The withdrawals of the note that `current` has not completed: the note of the second revision. Empty if
/// there are none.
std::optional<release_note> remaining_withdrawals(const release_note& note, const fleet_config& current);

/// The revision that every router must have in force before the note may be applied: the latest one that
/// marked an upstream as departing that the note removes. Empty if it removes none.
std::optional<base::revision> revision_to_acknowledge(const release_note& note, const fleet_config& current);

/// The error for an operator whose change lost against `winner`.
base::error describe_conflict(const release_change& winner);

/// Longest name of a client account, pool or upstream, so that control messages fit into a datagram.
constexpr std::size_t name_limit = 64;
constexpr double share_limit = 1e6;
constexpr double default_cost_limit = 1e9;
constexpr std::int32_t slots_limit = 4096;

/// Decides which configuration is in force. It never goes back to a lower revision, whatever the order in
/// which the store and peers answer.
/// Thread safety: used by the decider's thread.
class release_gate {
public:
    /// Returns true if a new configuration came into force.
    bool read(const release_read& what);

    /// Takes the revision of a message header. Returns a fetch if the peer has a higher revision and no fetch
    /// of it was ordered in the last `fetch_interval`.
    std::optional<fetch_release> heard(base::revision peer_in_force,
                                       const std::optional<endpoint>& peer_admin, base::time_point now);

    /// Zero before the first configuration.
    [[nodiscard]] base::revision in_force() const;
    /// Empty before the first configuration.
    [[nodiscard]] const std::shared_ptr<const fleet_config>& config() const { return config_; }
    /// True as soon as two sources agreed on a configuration and no higher revision was heard of by then. A
    /// read at start may be stale, and a restarted router has no memory that would show it.
    [[nodiscard]] bool ready() const { return ready_; }

    static constexpr base::duration fetch_interval = std::chrono::seconds(1);

private:
    void confirm(base::revision seen);

    std::shared_ptr<const fleet_config> config_;
    base::revision highest_heard_;
    std::optional<base::time_point> last_fetch_;
    bool ready_ = false;
};

/// Whether new work may go to an upstream.
enum class send_permission {
    allowed,
    isolated,    ///< neither the store nor a peer was heard lately
    unconfirmed, ///< the upstream is departing and the configuration is not confirmed
};

/// Knows when the highest revision in the store was last seen not to exceed the one in force, by this router
/// or by a peer.
/// Thread safety: used by the decider's thread.
class confirmation {
public:
    /// Number of other routers that the VM list shows, or that were heard since it was last read. Routers
    /// that membership declares dead count too: in a partition all others seem dead, and just then the router
    /// must know that it is isolated.
    void set_known_peers(std::size_t count) { known_peers_ = count; }

    /// `in_force` is the revision after `release_gate::read` took the same event. A read with another
    /// revision is stale, or its configuration could not be had; it proves contact with the store only.
    void read(const release_read& what, base::revision in_force);

    /// A message arrived from a peer. `arrived` is the earliest time at which it can have arrived, so that
    /// time spent in buffers counts as age; `peer_in_force` and `peer_age` are from its header.
    void heard(base::time_point arrived, base::revision peer_in_force, base::duration peer_age,
               base::revision in_force);

    /// Time since the revision in force was last confirmed, for message headers; `unconfirmed_age` at most.
    [[nodiscard]] base::duration age(base::time_point now) const;

    /// May new work go to the upstream now?
    [[nodiscard]] send_permission may_send(const upstream& target, base::time_point now) const;

    /// True if the store should be read at once because a limit would otherwise expire. Pass the result on as
    /// a `fetch_release` of the revision in force. Repeats after `read_interval` at the earliest.
    [[nodiscard]] bool read_due(bool has_departing, base::time_point now);

    /// Silence after which rule (a) stops all work, and age at which rule (b) stops departing upstreams.
    static constexpr base::duration limit = std::chrono::seconds(3);
    /// Half of the limit, so that a read with its own time limit can still end before it.
    static constexpr base::duration read_interval = std::chrono::milliseconds(1500);
    static constexpr base::duration unconfirmed_age = std::chrono::hours(1);

private:
    std::size_t known_peers_ = 0;
    std::optional<base::time_point> heard_at_;
    std::optional<base::time_point> confirmed_at_;
    std::optional<base::time_point> read_ordered_at_;
};

} // namespace bluebell::decision
