#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"
#include "decision/message.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::decision {

/// Parameters of the fair sharing between client accounts.
struct share_options {
    /// Shortest time between two rounds of usage reports, and between two rounds of answers by a usage owner.
    base::duration report_interval = std::chrono::milliseconds(100);
    /// A changed total is sent once the change reaches this fraction of the pool's default cost at weight
    /// one; smaller changes are sent after `small_change_interval`. Unfairness between routers grows by about
    /// this amount, since a router learns of smaller changes late.
    double report_threshold = 0.25;
    double answer_threshold = 1.0;
    base::duration small_change_interval = std::chrono::seconds(1);
    /// A report that the usage owner has not answered is repeated after this time.
    base::duration repeat_interval = std::chrono::milliseconds(300);
    /// Bounds of the ratio of measured to hinted cost. The upper bound is high, since otherwise a caller
    /// would still profit from a hint of one token for a long answer.
    double min_hint_factor = 1.0 / 64.0;
    double max_hint_factor = 1024.0;
    /// Factor by which the sums of measured and of hinted cost decay with each finished request; their ratio
    /// corrects later hints.
    double hint_decay = 0.9;
    /// Maximum number of usage messages, and of answers, that a router sends per second. Others are delayed,
    /// so that control traffic does not grow with the number of active accounts.
    double messages_per_second = 16;
    /// Maximum number of entries per usage message, so that it fits a datagram.
    std::size_t entries_per_message = 12;
    /// Time during which a new usage owner accepts the highest total known to any router as the fleet total.
    base::duration owner_learning_time = std::chrono::seconds(1);
};

/// Token bucket that allows bursts of up to one second's worth.
/// Thread safety: used by one thread.
class rate_limit {
public:
    explicit rate_limit(double per_second) : rate_per_s_(per_second), tokens_(per_second) {}

    /// Adds the tokens for the time since the last call.
    void refill(base::time_point now) {
        tokens_ = std::min(rate_per_s_,
                           tokens_ + rate_per_s_ * std::chrono::duration<double>(now - refilled_at_).count());
        refilled_at_ = now;
    }
    /// Returns true if at least one token is left.
    [[nodiscard]] bool available() const { return tokens_ >= 1; }
    /// Takes one token; may overdraw by up to one second's worth.
    void take() { tokens_ = std::max(tokens_ - 1, -rate_per_s_); }

private:
    double rate_per_s_;
    double tokens_;
    base::time_point refilled_at_{};
};

/// Identifies the share of an account in a pool.
struct share_key {
    base::pool_id pool;
    base::client_account_id account;

    friend bool operator==(const share_key& a, const share_key& b) {
        return a.account == b.account && a.pool == b.pool;
    }
    friend bool operator<(const share_key& a, const share_key& b) {
        return a.pool != b.pool ? a.pool < b.pool : a.account < b.account;
    }
};

struct share_key_hash {
    std::size_t operator()(const share_key& key) const noexcept {
        return std::hash<base::client_account_id>{}(key.account) * 31 + std::hash<base::pool_id>{}(key.pool);
    }
};

/// Cost that an account has been charged for one running request.
struct charge {
    share_key key;
    base::cost hint;
    base::cost charged;
    /// Weight of the account when the request started; corrections of the charge use the same weight.
    base::weight weight{1.0};
};

/// Tracks the normalised service of the accounts as known to this router, and the virtual time of each pool.
/// Thread safety: used by one thread.
class service_tracker {
public:
    explicit service_tracker(const share_options& options)
        : options_(options), limit_(options.messages_per_second) {}

    /// Sets the configuration that weights and default costs are taken from.
    void configure(std::shared_ptr<const fleet_config> config);

    /// Returns the fleet-wide normalised service of an account, raised to the virtual time if it was idle.
    [[nodiscard]] base::normalised_cost normalised_service(const share_key& key) const;
    /// Returns the weight of an account; 1 if the configuration does not contain it.
    [[nodiscard]] base::weight weight_of(const base::client_account_id& account) const;
    /// Returns the cost that a request with this hint is charged at its start: the hint, corrected by the
    /// ratio of measured to hinted cost of earlier requests.
    [[nodiscard]] base::cost expected_cost(const share_key& key, base::cost hint) const;

    /// Sets whether requests of the account are waiting at this router. An account that was idle starts at
    /// the virtual time.
    void set_backlogged(const share_key& key, bool backlogged);

    /// Charges the expected cost at the start of a request and returns the charge.
    [[nodiscard]] charge charge_start(const share_key& key, base::cost hint);
    /// Raises the charge to `spent` if that is higher. Returns true if the charge changed.
    bool charge_progress(charge& running, base::cost spent);
    /// Corrects the charge to the measured cost and updates the ratio of measured to hinted cost.
    void charge_end(charge& running, base::cost spent);

    /// Returns the virtual time of a pool; zero if none is known yet.
    [[nodiscard]] base::normalised_cost virtual_time(const base::pool_id& pool) const;
    /// Advances the virtual time of a pool; an earlier time is ignored. Returns true if this is the first
    /// time known for the pool; accounts that were already waiting are then raised to it.
    bool advance_virtual_time(const base::pool_id& pool, base::normalised_cost to);

    /// Merges a fleet total sent by the usage owner. Returns false if it is outdated or the account is
    /// unknown.
    bool merge(const usage_total_entry& entry, const message_header& header);
    /// Marks all backlogged accounts to be reported again, after their usage owners may have changed.
    void report_all();

    using owner_lookup = std::function<base::vm_id(const share_key&)>;
    /// Returns the usage reports that are due at `now`, including repetitions of unanswered ones.
    [[nodiscard]] std::vector<outgoing> collect(const owner_lookup& owner_of, base::time_point now);

    [[nodiscard]] std::size_t accounts() const { return accounts_.size(); }

private:
    struct account_state {
        /// Cumulative service by this router, as in `usage_entry`.
        base::normalised_cost own_total;
        /// Last fleet total of the usage owner, and the part of `own_total` that it contains.
        base::normalised_cost known_total;
        base::normalised_cost known_part;
        /// Raise to the virtual time that the usage owner has not confirmed yet.
        base::normalised_cost unconfirmed_raise;
        bool backlogged = false;
        /// The usage owner counts another router as backlogged with the account.
        bool others_backlogged = false;
        /// Value of `backlogged` that the usage owner last confirmed.
        bool confirmed_backlogged = false;
        bool total_received = false;
        /// Time and own total of the last report.
        base::time_point reported_at{};
        base::normalised_cost reported_total;
        base::incarnation owner_incarnation;
        std::uint64_t owner_sequence = 0;
        /// Decaying sums over finished requests.
        double measured_cost_sum = 0;
        double hinted_cost_sum = 0;
    };

    [[nodiscard]] static base::normalised_cost service_of(const account_state& state);
    void raise_to_virtual_time(const share_key& key, account_state& state);
    void add_service(const share_key& key, account_state& state, base::normalised_cost amount);
    [[nodiscard]] bool report_due(const share_key& key, const account_state& state,
                                  base::time_point now) const;
    [[nodiscard]] usage_entry make_report(const share_key& key, const account_state& state) const;

    share_options options_;
    std::shared_ptr<const fleet_config> config_;
    std::unordered_map<share_key, account_state, share_key_hash> accounts_;
    std::map<base::pool_id, base::normalised_cost> virtual_times_;
    /// Accounts whose state differs from what their usage owner acknowledged.
    std::set<share_key> unacknowledged_;
    /// Accounts that became backlogged. They are reported without delay, since the usage owner decides
    /// whether to raise them to the virtual time.
    std::set<share_key> urgent_;
    base::time_point last_report_at_{};
    rate_limit limit_;
    /// Last usage owner that a report was sent to; when the rate limit delays reports, owners are served in
    /// rotation.
    base::vm_id last_owner_;
};

/// Adds up the reported service of the accounts whose usage owner is this router.
/// Thread safety: used by one thread.
class usage_owner {
public:
    explicit usage_owner(const share_options& options)
        : options_(options), limit_(options.messages_per_second) {}

    /// Merges a usage report. An account that was idle on all routers is raised to the pool's `virtual_time`.
    void receive(const message_header& header, const usage& body,
                 const std::function<base::normalised_cost(const base::pool_id&)>& virtual_time,
                 base::time_point now);
    /// Marks all accounts of a lost router as not backlogged there; its service remains counted.
    void lose_member(const base::vm_id& member);
    /// Returns the answers that are due at `now`.
    [[nodiscard]] std::vector<outgoing> collect(base::time_point now);
    /// Sets the default cost of a pool, to which `answer_threshold` refers.
    void set_default_cost(const base::pool_id& pool, base::cost value) { default_costs_[pool] = value; }

    /// Returns the fleet-wide normalised service of an account; empty if none was reported.
    [[nodiscard]] std::optional<base::normalised_cost> total(const share_key& key) const;
    [[nodiscard]] std::size_t accounts() const { return accounts_.size(); }

private:
    /// State of one reporting router for one account.
    struct router_part {
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        /// Own total of the router that the fleet total contains.
        base::normalised_cost counted_total;
        bool backlogged = false;
        bool answer_pending = false;
        /// Time and fleet total of the last answer.
        base::time_point answered_at{};
        base::normalised_cost answered_total;
    };
    /// Fleet total of one account in one pool.
    struct account_total {
        base::normalised_cost total;
        base::time_point created_at{};
        std::map<base::vm_id, router_part> parts;
    };

    void merge(const message_header& header, const usage_entry& entry, base::normalised_cost virtual_time,
               base::time_point now);
    [[nodiscard]] static bool others_backlogged(const account_total& account, const base::vm_id& member);

    share_options options_;
    std::unordered_map<share_key, account_total, share_key_hash> accounts_;
    [[nodiscard]] bool answer_due(const share_key& key, const account_total& account,
                                  const router_part& member_part, base::time_point now) const;

    std::map<base::pool_id, base::cost> default_costs_;
    /// Accounts with answers that may be due.
    std::set<share_key> changed_;
    base::time_point last_answer_at_{};
    rate_limit limit_;
    /// Last router that an answer was sent to; when the rate limit delays answers, routers are served in
    /// rotation.
    base::vm_id last_member_;
};

} // namespace bluebell::decision
