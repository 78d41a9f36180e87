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

struct share_options {
    /// Shortest time between two reports to the same home, and between two answers of a home.
    base::duration report_interval = std::chrono::milliseconds(100);
    /// A change of a total is told once it reaches this part of the pool's default cost at weight one,
    /// smaller ones after `small_change_interval`. What a router learns late widens the gap by about this
    /// much.
    double report_threshold = 0.25;
    double answer_threshold = 1.0;
    base::duration small_change_interval = std::chrono::seconds(1);
    /// A report that the home has not answered is repeated after this time.
    base::duration repeat_interval = std::chrono::milliseconds(300);
    /// Bounds of the ratio of real to hinted cost. The upper bound is wide, since a hint of one token for a
    /// long answer would otherwise still pay off.
    double min_hint_factor = 1.0 / 64.0;
    double max_hint_factor = 1024.0;
    /// Weight that the past keeps in the ratio with each finished request.
    double hint_decay = 0.9;
    /// Most usage messages, and most answers, that a router sends per second; further ones wait their turn,
    /// so that control traffic does not grow with the active accounts.
    double messages_per_second = 16;
    /// Keeps a usage message below the size of a datagram.
    std::size_t entries_per_message = 12;
    /// How long a new home takes the highest total that routers know for the real one.
    base::duration owner_learning_time = std::chrono::seconds(1);
};

/// Limits a rate, with bursts of one second's worth.
/// Thread safety: used by one thread.
class rate_limit {
public:
    explicit rate_limit(double per_second) : rate_per_s_(per_second), tokens_(per_second) {}

    void refill(base::time_point now) {
        tokens_ = std::min(rate_per_s_,
                           tokens_ + rate_per_s_ * std::chrono::duration<double>(now - refilled_at_).count());
        refilled_at_ = now;
    }
    [[nodiscard]] bool available() const { return tokens_ >= 1; }
    /// Takes one; may overdraw by a second's worth.
    void take() { tokens_ = std::max(tokens_ - 1, -rate_per_s_); }

private:
    double rate_per_s_;
    double tokens_;
    base::time_point refilled_at_{};
};

/// Names one share: an account within a pool.
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

/// What one running request has been charged.
struct charge {
    share_key key;
    base::cost hint;
    base::cost charged;
    /// Weight at the start; corrections use the same one.
    base::weight weight{1.0};
};

/// Normalised service of the accounts as this router knows it, and the virtual time of each pool.
/// Thread safety: used by one thread.
class service_tracker {
public:
    explicit service_tracker(const share_options& options)
        : options_(options), limit_(options.messages_per_second) {}

    void configure(std::shared_ptr<const fleet_config> config);

    /// Fleet-wide normalised service, raised to the virtual time if the account was idle.
    [[nodiscard]] base::normalised_cost normalised_service(const share_key& key) const;
    [[nodiscard]] base::weight weight_of(const base::client_account_id& account) const;
    /// Cost that a request with this hint is charged at its start.
    [[nodiscard]] base::cost expected_cost(const share_key& key, base::cost hint) const;

    /// Tells that requests of the account wait here, or no longer do. An account that was idle starts at the
    /// virtual time.
    void set_backlogged(const share_key& key, bool backlogged);

    /// Charges the expected cost at the start of a request.
    [[nodiscard]] charge charge_start(const share_key& key, base::cost hint);
    /// Raises the charge to `spent` if it is higher. Returns whether anything was charged.
    bool charge_progress(charge& running, base::cost spent);
    /// Corrects the charge to the real cost and learns from the hint.
    void charge_end(charge& running, base::cost spent);

    [[nodiscard]] base::normalised_cost virtual_time(const base::pool_id& pool) const;
    /// Moves the virtual time forward, never back. Returns true if the pool had none before, so that accounts
    /// already waiting were raised to it.
    bool advance_virtual_time(const base::pool_id& pool, base::normalised_cost to);

    /// Merges the fleet total that the home sent. Returns false if it is late or the account is not in use.
    bool merge(const usage_total_entry& entry, const message_header& header);
    /// Reports to every home again, after homes may have moved.
    void report_all();

    using owner_lookup = std::function<base::vm_id(const share_key&)>;
    /// Usage reports that are due at `now`; unanswered ones are repeated.
    [[nodiscard]] std::vector<outgoing> collect(const owner_lookup& owner_of, base::time_point now);

    [[nodiscard]] std::size_t accounts() const { return accounts_.size(); }

private:
    struct account_state {
        base::normalised_cost own_total;
        base::normalised_cost known_total;
        base::normalised_cost known_part;
        /// Raise to the virtual time that the home has not confirmed yet.
        base::normalised_cost unconfirmed_raise;
        bool backlogged = false;
        bool others_backlogged = false;
        /// What the home last said about `backlogged`.
        bool confirmed_backlogged = false;
        bool total_received = false;
        /// When and with which total the last report left.
        base::time_point reported_at{};
        base::normalised_cost reported_total;
        base::incarnation owner_incarnation;
        std::uint64_t owner_sequence = 0;
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
    /// Accounts whose state differs from what their home acknowledged.
    std::set<share_key> unacknowledged_;
    /// Accounts that became backlogged; their reports do not wait, since the home decides on the raise.
    std::set<share_key> urgent_;
    base::time_point last_report_at_{};
    rate_limit limit_;
    /// Homes take turns when the limit holds reports back.
    base::vm_id last_owner_;
};

/// The home side: adds up the service of the accounts whose home is this router.
/// Thread safety: used by one thread.
class usage_owner {
public:
    explicit usage_owner(const share_options& options)
        : options_(options), limit_(options.messages_per_second) {}

    /// Merges a report. `virtual_time` raises an account that was idle on all routers.
    void receive(const message_header& header, const usage& body,
                 const std::function<base::normalised_cost(const base::pool_id&)>& virtual_time,
                 base::time_point now);
    /// Forgets that a lost router has requests waiting; its service remains counted.
    void lose_member(const base::vm_id& member);
    /// Answers that are due at `now`.
    [[nodiscard]] std::vector<outgoing> collect(base::time_point now);
    /// Sets the cost that quantums of the pool refer to.
    void set_default_cost(const base::pool_id& pool, base::cost value) { default_costs_[pool] = value; }

    /// Empty if nothing was reported.
    [[nodiscard]] std::optional<base::normalised_cost> total(const share_key& key) const;
    [[nodiscard]] std::size_t accounts() const { return accounts_.size(); }

private:
    struct router_part {
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        base::normalised_cost counted_total;
        bool backlogged = false;
        bool answer_pending = false;
        /// When and with which total the last answer left.
        base::time_point answered_at{};
        base::normalised_cost answered_total;
    };
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
    std::set<share_key> changed_;
    base::time_point last_answer_at_{};
    rate_limit limit_;
    base::vm_id last_member_;
};

} // namespace bluebell::decision
