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

/// Part of a release note: the change of one client account. Fields that are not set keep their value, or
/// take the default of a new account. `location` is the position of this part in the note, for error
/// messages.
struct account_change {
    change_kind kind = change_kind::add;
    base::client_account_id id;
    std::optional<base::weight> share;
    std::string location;
};

/// Part of a release note: the change of one pool. Fields that are not set keep their value, or take the
/// default of a new pool.
struct pool_change {
    change_kind kind = change_kind::add;
    base::pool_id id;
    std::optional<pool_kind> type;
    std::optional<base::cost> default_cost;
    std::string location;
};

/// Part of a release note: the change of one upstream. Fields that are not set keep their value, or take the
/// default of a new upstream.
struct upstream_change {
    change_kind kind = change_kind::add;
    base::upstream_id id;
    std::optional<base::pool_id> pool;
    std::optional<base::data_centre_id> data_centre;
    std::optional<endpoint> address;
    std::optional<base::slot_count> slots;
    std::optional<bool> checks_fence;
    std::optional<bool> can_resume;
    std::string location;
};

/// A set of configuration changes that an operator submits.
struct release_note {
    base::operator_id author;
    std::string title;
    /// The revision on which the operator based the note; the note is refused if another one is in force.
    std::optional<base::revision> base_revision;
    std::vector<account_change> accounts;
    std::vector<pool_change> pools;
    std::vector<upstream_change> upstreams;
    std::string location;
};

/// An accepted change, as the release head lists it.
struct release_change {
    base::revision revision;
    base::operator_id author;
    base::change_id change;
    std::string title;
};

/// Returns every error of the note against the configuration in force; empty if the note can be applied.
std::vector<base::error> validate(const release_note& note, const fleet_config& current);

/// Returns the configuration after the note, with the next revision. A withdrawn upstream that is active
/// becomes `departing`; one that is departing is removed. A withdrawn pool stays as long as it has upstreams.
/// Pre-condition: `validate` returned no error.
fleet_config apply(const release_note& note, const fleet_config& current);

/// Returns the withdrawals of the note that `current` has not completed, as the note of the second revision.
/// Empty if there are none.
std::optional<release_note> remaining_withdrawals(const release_note& note, const fleet_config& current);

/// Returns the revision that every router must have in force before the note may be applied: the latest one
/// that marked an upstream as departing that the note removes. Empty if it removes none.
std::optional<base::revision> revision_to_acknowledge(const release_note& note, const fleet_config& current);

/// Returns the error for an operator whose change conflicts with `winner`, which was accepted first.
base::error describe_conflict(const release_change& winner);

/// Maximum length of the name of a client account, pool or upstream, so that control messages fit into a
/// datagram.
constexpr std::size_t name_limit = 64;
/// Largest share of a client account.
constexpr double share_limit = 1e6;
/// Largest default cost of a pool.
constexpr double default_cost_limit = 1e9;
/// Largest number of slots of an upstream.
constexpr std::int32_t slots_limit = 4096;

/// Decides which configuration is in force. It never returns to a lower revision, whatever the order in which
/// the store and peers answer. Thread safety: used by the decider's thread.
class release_gate {
public:
    /// Processes a read of the release head. Returns true if a new configuration came into force.
    bool on_release_read(const release_read& read_result);

    /// Processes the revision in a message header. Returns a fetch if the peer has a higher revision and no
    /// fetch was ordered in the last `fetch_interval`.
    std::optional<fetch_release> on_peer_revision(base::revision peer_in_force,
                                                  const std::optional<endpoint>& peer_admin,
                                                  base::time_point now);

    /// Revision in force; zero before the first configuration.
    [[nodiscard]] base::revision in_force() const;
    /// Configuration in force; empty before the first one.
    [[nodiscard]] const std::shared_ptr<const fleet_config>& config() const { return config_; }
    /// True as soon as two sources agreed on a configuration and no higher revision was known by then. One
    /// source is not enough: a read at start may be stale, and a restarted router has no memory that would
    /// show it.
    [[nodiscard]] bool ready() const { return ready_; }

    /// Minimum time between two fetches.
    static constexpr base::duration fetch_interval = std::chrono::seconds(1);

private:
    void record_seen_revision(base::revision seen);

    std::shared_ptr<const fleet_config> config_;
    base::revision highest_known_;
    std::optional<base::time_point> last_fetch_at_;
    bool ready_ = false;
};

/// The answer to whether new work may be sent to an upstream, and the reason if not.
enum class send_permission {
    allowed,
    isolated,    ///< no contact with the store or a peer within the limit
    unconfirmed, ///< the upstream is departing and the configuration is not confirmed
};

/// Tracks when this router or a peer last confirmed that the store holds no higher revision than the one in
/// force. Thread safety: used by the decider's thread.
class confirmation {
public:
    /// Sets the number of other routers: those in the VM list and those that sent a message since it was last
    /// read. Routers that membership declares dead count too: in a partition all others seem dead, and
    /// exactly then the router must detect that it is isolated.
    void set_known_peers(std::size_t count) { known_peers_ = count; }

    /// Processes a read of the release head. `in_force` is the revision after `release_gate::on_release_read`
    /// processed the same event. A read with another revision is stale, or its configuration could not be
    /// obtained; it proves only contact with the store.
    void on_release_read(const release_read& read_result, base::revision in_force);

    /// Processes the header of a message from a peer. `arrived` is the earliest time at which the message can
    /// have arrived, so that time spent in buffers counts as age; `peer_in_force` and `peer_age` are from the
    /// header.
    void on_peer_message(base::time_point arrived, base::revision peer_in_force, base::duration peer_age,
                         base::revision in_force);

    /// Time since the revision in force was last confirmed, for message headers; at most `unconfirmed_age`.
    [[nodiscard]] base::duration age(base::time_point now) const;

    /// Returns whether new work may be sent to the upstream now.
    [[nodiscard]] send_permission may_send(const upstream& target, base::time_point now) const;

    /// Returns true if the store should be read at once because a limit would otherwise expire. The caller
    /// passes the result on as a `fetch_release` of the revision in force. Repeats after `read_interval` at
    /// the earliest.
    [[nodiscard]] bool read_due(bool has_departing, base::time_point now);

    /// Time without contact after which rule (a) stops all new work, and confirmation age at which rule (b)
    /// stops new work on departing upstreams.
    static constexpr base::duration limit = std::chrono::seconds(3);
    /// Half of `limit`, so that a read with its own timeout can still end within it.
    static constexpr base::duration read_interval = std::chrono::milliseconds(1500);
    /// Age that stands for "never confirmed".
    static constexpr base::duration unconfirmed_age = std::chrono::hours(1);

private:
    std::size_t known_peers_ = 0;
    std::optional<base::time_point> last_contact_at_;
    std::optional<base::time_point> confirmed_at_;
    std::optional<base::time_point> read_ordered_at_;
};

} // namespace bluebell::decision
