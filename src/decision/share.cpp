#include "decision/share.h"

#include <algorithm>
#include <cmath>

namespace bluebell::decision {
namespace {

/// Splits entries into messages that fit a datagram.
template <typename Message, typename Entry>
void append_batches(std::vector<outgoing>& messages, const std::map<base::vm_id, std::vector<Entry>>& entries,
                    std::size_t per_message) {
    for (const auto& [to, list] : entries) {
        for (std::size_t first = 0; first < list.size(); first += per_message) {
            const std::size_t last = std::min(list.size(), first + per_message);
            Message body;
            body.entries.assign(list.begin() + static_cast<std::ptrdiff_t>(first),
                                list.begin() + static_cast<std::ptrdiff_t>(last));
            messages.push_back(outgoing{to, std::move(body)});
        }
    }
}

/// Calls `send` for the destinations in rotation, starting after `last`, until the rate limit is reached.
template <typename Value, typename Send>
void send_in_turn(const std::map<base::vm_id, Value>& waiting, base::vm_id& last, rate_limit& limit,
                  const Send& send) {
    auto position = waiting.upper_bound(last);
    for (std::size_t i = 0; i < waiting.size() && limit.available(); ++i) {
        position = position == waiting.end() ? waiting.begin() : position;
        limit.take();
        last = position->first;
        send(position->first, position->second);
        ++position;
    }
}

} // namespace

void service_tracker::configure(std::shared_ptr<const fleet_config> config) {
    config_ = std::move(config);
}

base::weight service_tracker::weight_of(const base::client_account_id& account) const {
    if (config_) {
        const auto found = config_->accounts.find(account);
        if (found != config_->accounts.end()) {
            return found->second.share;
        }
    }
    return base::weight(1.0);
}

base::normalised_cost service_tracker::service_of(const account_state& state) {
    return state.known_total + (state.own_total - state.known_part) + state.unconfirmed_raise;
}

base::normalised_cost service_tracker::normalised_service(const share_key& key) const {
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? virtual_time(key.pool) : service_of(found->second);
}

base::cost service_tracker::expected_cost(const share_key& key, base::cost hint) const {
    const auto found = accounts_.find(key);
    if (found == accounts_.end() || found->second.hinted_cost_sum <= 0) {
        return hint;
    }
    const double ratio = found->second.measured_cost_sum / found->second.hinted_cost_sum;
    return hint * std::clamp(ratio, options_.min_hint_factor, options_.max_hint_factor);
}

void service_tracker::raise_to_virtual_time(const share_key& key, account_state& state) {
    const base::normalised_cost floor = virtual_time(key.pool);
    if (service_of(state) < floor) {
        state.unconfirmed_raise += floor - service_of(state);
    }
}

void service_tracker::set_backlogged(const share_key& key, bool backlogged) {
    account_state& state = accounts_[key];
    if (state.backlogged == backlogged) {
        return;
    }
    state.backlogged = backlogged;
    if (backlogged && !state.others_backlogged) {
        raise_to_virtual_time(key, state);
    }
    unacknowledged_.insert(key);
    if (backlogged && !state.confirmed_backlogged) {
        urgent_.insert(key);
    }
}

void service_tracker::add_service(const share_key& key, account_state& state, base::normalised_cost amount) {
    state.own_total += amount;
    unacknowledged_.insert(key);
}

charge service_tracker::charge_start(const share_key& key, base::cost hint) {
    charge running{key, hint, expected_cost(key, hint), weight_of(key.account)};
    add_service(key, accounts_[key], running.charged / running.weight);
    return running;
}

bool service_tracker::charge_progress(charge& running, base::cost spent) {
    if (spent <= running.charged) {
        return false;
    }
    add_service(running.key, accounts_[running.key], (spent - running.charged) / running.weight);
    running.charged = spent;
    return true;
}

void service_tracker::charge_end(charge& running, base::cost spent) {
    account_state& state = accounts_[running.key];
    add_service(running.key, state, (spent - running.charged) / running.weight);
    running.charged = spent;
    state.measured_cost_sum = options_.hint_decay * state.measured_cost_sum + spent.value();
    state.hinted_cost_sum = options_.hint_decay * state.hinted_cost_sum + running.hint.value();
}

base::normalised_cost service_tracker::virtual_time(const base::pool_id& pool) const {
    const auto found = virtual_times_.find(pool);
    return found == virtual_times_.end() ? base::normalised_cost() : found->second;
}

bool service_tracker::advance_virtual_time(const base::pool_id& pool, base::normalised_cost to) {
    base::normalised_cost& time = virtual_times_[pool];
    const bool first = time == base::normalised_cost() && to > time;
    time = std::max(time, to);
    if (!first) {
        return false;
    }
    // A router that has just started may learn the virtual time only after its first requests arrived.
    for (auto& [key, state] : accounts_) {
        if (key.pool == pool && state.backlogged && !state.total_received) {
            raise_to_virtual_time(key, state);
        }
    }
    return true;
}

bool service_tracker::merge(const usage_total_entry& entry, const message_header& header) {
    const auto found = accounts_.find(share_key{entry.pool, entry.account});
    if (found == accounts_.end()) {
        return false;
    }
    account_state& state = found->second;
    if (header.incarnation == state.owner_incarnation && header.sequence <= state.owner_sequence) {
        return false;
    }
    state.owner_incarnation = header.incarnation;
    state.owner_sequence = header.sequence;
    state.known_total = entry.fleet_total;
    state.known_part = entry.receiver_part;
    state.confirmed_backlogged = entry.receiver_backlogged;
    state.others_backlogged = entry.others_backlogged;
    state.total_received = true;
    if (state.confirmed_backlogged || !state.backlogged) {
        state.unconfirmed_raise = base::normalised_cost();
    }
    if (state.own_total == state.known_part && state.backlogged == state.confirmed_backlogged) {
        unacknowledged_.erase(found->first);
    }
    return true;
}

void service_tracker::report_all() {
    for (auto& [key, state] : accounts_) {
        if (state.backlogged) {
            state.confirmed_backlogged = false;
            state.owner_incarnation = base::incarnation();
            unacknowledged_.insert(key);
        }
    }
}

usage_entry service_tracker::make_report(const share_key& key, const account_state& state) const {
    return usage_entry{key.pool,         key.account,
                       state.own_total,  state.known_total + state.unconfirmed_raise,
                       state.known_part, state.backlogged};
}

bool service_tracker::report_due(const share_key& key, const account_state& state,
                                 base::time_point now) const {
    const bool unconfirmed = state.backlogged != state.confirmed_backlogged;
    if (now - state.reported_at >=
        (unconfirmed ? options_.repeat_interval : options_.small_change_interval)) {
        return true;
    }
    const auto pool = config_->pools.find(key.pool);
    const double quantum =
        pool == config_->pools.end() ? 0 : options_.report_threshold * pool->second.default_cost.value();
    return std::abs((state.own_total - state.reported_total).value()) >= quantum;
}

std::vector<outgoing> service_tracker::collect(const owner_lookup& owner_of, base::time_point now) {
    std::vector<outgoing> messages;
    std::map<base::vm_id, std::vector<share_key>> due;
    if (now - last_report_at_ >= options_.report_interval) {
        last_report_at_ = now;
        for (const share_key& key : unacknowledged_) {
            if (urgent_.count(key) > 0 || report_due(key, accounts_[key], now)) {
                due[owner_of(key)].push_back(key);
            }
        }
    } else {
        for (const share_key& key : urgent_) {
            due[owner_of(key)].push_back(key);
        }
    }
    std::map<base::vm_id, std::vector<usage_entry>> entries;
    limit_.refill(now);
    send_in_turn(due, last_owner_, limit_, [&](const base::vm_id& to, const std::vector<share_key>& keys) {
        for (const share_key& key : keys) {
            account_state& state = accounts_[key];
            state.reported_at = now;
            state.reported_total = state.own_total;
            urgent_.erase(key);
            entries[to].push_back(make_report(key, state));
        }
    });
    append_batches<usage>(messages, entries, options_.entries_per_message);
    return messages;
}

void usage_owner::receive(const message_header& header, const usage& body,
                          const std::function<base::normalised_cost(const base::pool_id&)>& virtual_time,
                          base::time_point now) {
    for (const usage_entry& entry : body.entries) {
        merge(header, entry, virtual_time(entry.pool), now);
    }
}

bool usage_owner::others_backlogged(const account_total& account, const base::vm_id& member) {
    return std::any_of(account.parts.begin(), account.parts.end(),
                       [&](const auto& entry) { return entry.first != member && entry.second.backlogged; });
}

void usage_owner::merge(const message_header& header, const usage_entry& entry,
                        base::normalised_cost virtual_time, base::time_point now) {
    const share_key key{entry.pool, entry.account};
    const auto [position, created] = accounts_.try_emplace(key);
    account_total& account = position->second;
    if (created) {
        account.created_at = now;
    }
    const auto [location, first] = account.parts.try_emplace(header.sender);
    router_part& from = location->second;
    if (first || header.incarnation > from.incarnation) {
        if (now - account.created_at <= options_.owner_learning_time) {
            account.total = std::max(account.total, entry.known_total);
        }
        from = router_part{header.incarnation, 0, entry.known_part, false, false, {}, {}};
    } else if (header.incarnation < from.incarnation || header.sequence <= from.sequence) {
        return;
    }
    const bool was_idle = !from.backlogged && !others_backlogged(account, header.sender);
    account.total += entry.own_total - from.counted_total;
    // A new usage owner takes the total from the reports, since it cannot know whether the account was idle.
    if (was_idle && entry.backlogged && !created) {
        account.total = std::max(account.total, virtual_time);
    }
    from.sequence = header.sequence;
    from.counted_total = entry.own_total;
    from.backlogged = entry.backlogged;
    from.answer_pending = true;
    changed_.insert(key);
}

void usage_owner::lose_member(const base::vm_id& member) {
    for (auto& [key, account] : accounts_) {
        const auto found = account.parts.find(member);
        if (found != account.parts.end()) {
            found->second.backlogged = false;
        }
    }
}

bool usage_owner::answer_due(const share_key& key, const account_total& account,
                             const router_part& member_part, base::time_point now) const {
    if (member_part.answer_pending) {
        return true;
    }
    if (!member_part.backlogged) {
        return false;
    }
    const auto cost = default_costs_.find(key.pool);
    const double quantum =
        cost == default_costs_.end() ? 0 : options_.answer_threshold * cost->second.value();
    return std::abs((account.total - member_part.answered_total).value()) >= quantum ||
           now - member_part.answered_at >= options_.small_change_interval;
}

std::vector<outgoing> usage_owner::collect(base::time_point now) {
    std::vector<outgoing> messages;
    if (changed_.empty() || now - last_answer_at_ < options_.report_interval) {
        return messages;
    }
    last_answer_at_ = now;
    std::map<base::vm_id, std::vector<share_key>> due;
    for (auto position = changed_.begin(); position != changed_.end();) {
        account_total& account = accounts_[*position];
        bool all_sent = true;
        for (auto& [member, member_part] : account.parts) {
            if (answer_due(*position, account, member_part, now)) {
                due[member].push_back(*position);
            }
            all_sent = all_sent && !member_part.answer_pending &&
                       (!member_part.backlogged || member_part.answered_total == account.total);
        }
        position = all_sent ? changed_.erase(position) : std::next(position);
    }
    std::map<base::vm_id, std::vector<usage_total_entry>> entries;
    limit_.refill(now);
    send_in_turn(due, last_member_, limit_, [&](const base::vm_id& to, const std::vector<share_key>& keys) {
        for (const share_key& key : keys) {
            account_total& account = accounts_[key];
            router_part& member_part = account.parts[to];
            member_part.answer_pending = false;
            member_part.answered_at = now;
            member_part.answered_total = account.total;
            entries[to].push_back(usage_total_entry{key.pool, key.account, account.total,
                                                    member_part.counted_total, member_part.backlogged,
                                                    others_backlogged(account, to)});
        }
    });
    append_batches<usage_total>(messages, entries, options_.entries_per_message);
    return messages;
}

std::optional<base::normalised_cost> usage_owner::total(const share_key& key) const {
    const auto found = accounts_.find(key);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    return found->second.total;
}

} // namespace bluebell::decision
