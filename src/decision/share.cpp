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

/// Calls `send` for the destinations after `last`, in turn, as far as the limit allows.
template <typename Value, typename Send>
void in_turn(const std::map<base::vm_id, Value>& waiting, base::vm_id& last, rate_limit& limit,
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

void share::configure(std::shared_ptr<const fleet_config> config) {
    config_ = std::move(config);
}

base::weight share::weight_of(const base::client_account_id& account) const {
    if (config_) {
        const auto found = config_->accounts.find(account);
        if (found != config_->accounts.end()) {
            return found->second.share;
        }
    }
    return base::weight(1.0);
}

base::normalised_cost share::level(const account_state& state) {
    return state.known_total + (state.own_total - state.known_part) + state.lift;
}

base::normalised_cost share::normalised(const share_key& key) const {
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? virtual_time(key.pool) : level(found->second);
}

base::cost share::expected(const share_key& key, base::cost hint) const {
    const auto found = accounts_.find(key);
    if (found == accounts_.end() || found->second.hint_sum <= 0) {
        return hint;
    }
    const double ratio = found->second.real_sum / found->second.hint_sum;
    return hint * std::clamp(ratio, options_.lowest_hint_factor, options_.highest_hint_factor);
}

void share::lift_to_virtual_time(const share_key& key, account_state& state) {
    const base::normalised_cost floor = virtual_time(key.pool);
    if (level(state) < floor) {
        state.lift += floor - level(state);
    }
}

void share::set_backlogged(const share_key& key, bool backlogged) {
    account_state& state = accounts_[key];
    if (state.backlogged == backlogged) {
        return;
    }
    state.backlogged = backlogged;
    if (backlogged && !state.others_backlogged) {
        lift_to_virtual_time(key, state);
    }
    dirty_.insert(key);
    if (backlogged && !state.home_backlogged) {
        urgent_.insert(key);
    }
}

void share::add(const share_key& key, account_state& state, base::normalised_cost amount) {
    state.own_total += amount;
    dirty_.insert(key);
}

charge share::start(const share_key& key, base::cost hint) {
    charge running{key, hint, expected(key, hint), weight_of(key.account)};
    add(key, accounts_[key], running.charged / running.share);
    return running;
}

bool share::progress(charge& running, base::cost spent) {
    if (spent <= running.charged) {
        return false;
    }
    add(running.of, accounts_[running.of], (spent - running.charged) / running.share);
    running.charged = spent;
    return true;
}

void share::finish(charge& running, base::cost spent) {
    account_state& state = accounts_[running.of];
    add(running.of, state, (spent - running.charged) / running.share);
    running.charged = spent;
    state.real_sum = options_.hint_memory * state.real_sum + spent.value();
    state.hint_sum = options_.hint_memory * state.hint_sum + running.hint.value();
}

base::normalised_cost share::virtual_time(const base::pool_id& pool) const {
    const auto found = times_.find(pool);
    return found == times_.end() ? base::normalised_cost() : found->second;
}

bool share::advance(const base::pool_id& pool, base::normalised_cost to) {
    base::normalised_cost& time = times_[pool];
    const bool first = time == base::normalised_cost() && to > time;
    time = std::max(time, to);
    if (!first) {
        return false;
    }
    // A router that has just started learns the virtual time after its first requests arrived.
    for (auto& [key, state] : accounts_) {
        if (key.pool == pool && state.backlogged && !state.heard) {
            lift_to_virtual_time(key, state);
        }
    }
    return true;
}

bool share::merge(const usage_total_entry& entry, const message_header& header) {
    const auto found = accounts_.find(share_key{entry.pool, entry.account});
    if (found == accounts_.end()) {
        return false;
    }
    account_state& state = found->second;
    if (header.incarnation == state.home_life && header.sequence <= state.home_sequence) {
        return false;
    }
    state.home_life = header.incarnation;
    state.home_sequence = header.sequence;
    state.known_total = entry.fleet_total;
    state.known_part = entry.receiver_part;
    state.home_backlogged = entry.receiver_backlogged;
    state.others_backlogged = entry.others_backlogged;
    state.heard = true;
    if (state.home_backlogged || !state.backlogged) {
        state.lift = base::normalised_cost();
    }
    if (state.own_total == state.known_part && state.backlogged == state.home_backlogged) {
        dirty_.erase(found->first);
    }
    return true;
}

void share::report_again() {
    for (auto& [key, state] : accounts_) {
        if (state.backlogged) {
            state.home_backlogged = false;
            state.home_life = base::incarnation();
            dirty_.insert(key);
        }
    }
}

usage_entry share::report_of(const share_key& key, const account_state& state) const {
    return usage_entry{key.pool,         key.account,     state.own_total, state.known_total + state.lift,
                       state.known_part, state.backlogged};
}

bool share::report_due(const share_key& key, const account_state& state, base::time_point now) const {
    const bool told_late = state.backlogged != state.home_backlogged;
    if (now - state.reported >= (told_late ? options_.repeat_interval : options_.small_change_interval)) {
        return true;
    }
    const auto pool = config_->pools.find(key.pool);
    const double quantum =
        pool == config_->pools.end() ? 0 : options_.report_quantum * pool->second.default_cost.value();
    return std::abs((state.own_total - state.reported_total).value()) >= quantum;
}

std::vector<outgoing> share::collect(const home_of& home, base::time_point now) {
    std::vector<outgoing> messages;
    std::map<base::vm_id, std::vector<share_key>> due;
    if (now - last_report_ >= options_.report_interval) {
        last_report_ = now;
        for (const share_key& key : dirty_) {
            if (urgent_.count(key) > 0 || report_due(key, accounts_[key], now)) {
                due[home(key)].push_back(key);
            }
        }
    } else {
        for (const share_key& key : urgent_) {
            due[home(key)].push_back(key);
        }
    }
    std::map<base::vm_id, std::vector<usage_entry>> entries;
    limit_.refill(now);
    in_turn(due, last_home_, limit_, [&](const base::vm_id& to, const std::vector<share_key>& keys) {
        for (const share_key& key : keys) {
            account_state& state = accounts_[key];
            state.reported = now;
            state.reported_total = state.own_total;
            urgent_.erase(key);
            entries[to].push_back(report_of(key, state));
        }
    });
    append_batches<usage>(messages, entries, options_.entries_per_message);
    return messages;
}

void home::receive(const message_header& header, const usage& body,
                   const std::function<base::normalised_cost(const base::pool_id&)>& virtual_time,
                   base::time_point now) {
    for (const usage_entry& entry : body.entries) {
        merge(header, entry, virtual_time(entry.pool), now);
    }
}

bool home::backlogged_beside(const account_total& account, const base::vm_id& member) {
    return std::any_of(account.parts.begin(), account.parts.end(),
                       [&](const auto& item) { return item.first != member && item.second.backlogged; });
}

void home::merge(const message_header& header, const usage_entry& entry, base::normalised_cost virtual_time,
                 base::time_point now) {
    const share_key key{entry.pool, entry.account};
    const auto [position, created] = accounts_.try_emplace(key);
    account_total& account = position->second;
    if (created) {
        account.created = now;
    }
    const auto [place, first] = account.parts.try_emplace(header.sender);
    part& from = place->second;
    if (first || header.incarnation > from.life) {
        if (now - account.created <= options_.home_learning) {
            account.total = std::max(account.total, entry.known_total);
        }
        from = part{header.incarnation, 0, entry.known_part, false, false, {}, {}};
    } else if (header.incarnation < from.life || header.sequence <= from.sequence) {
        return;
    }
    const bool was_idle = !from.backlogged && !backlogged_beside(account, header.sender);
    account.total += entry.own_total - from.counted;
    // A new home takes the level from the reports, since it cannot know whether the account was idle.
    if (was_idle && entry.backlogged && !created) {
        account.total = std::max(account.total, virtual_time);
    }
    from.sequence = header.sequence;
    from.counted = entry.own_total;
    from.backlogged = entry.backlogged;
    from.answer_due = true;
    changed_.insert(key);
}

void home::lose_member(const base::vm_id& member) {
    for (auto& [key, account] : accounts_) {
        const auto found = account.parts.find(member);
        if (found != account.parts.end()) {
            found->second.backlogged = false;
        }
    }
}

bool home::answer_due(const share_key& key, const account_total& account, const part& item,
                      base::time_point now) const {
    if (item.answer_due) {
        return true;
    }
    if (!item.backlogged) {
        return false;
    }
    const auto cost = default_costs_.find(key.pool);
    const double quantum = cost == default_costs_.end() ? 0 : options_.answer_quantum * cost->second.value();
    return std::abs((account.total - item.answered_total).value()) >= quantum ||
           now - item.answered >= options_.small_change_interval;
}

std::vector<outgoing> home::collect(base::time_point now) {
    std::vector<outgoing> messages;
    if (changed_.empty() || now - last_answer_ < options_.report_interval) {
        return messages;
    }
    last_answer_ = now;
    std::map<base::vm_id, std::vector<share_key>> due;
    for (auto position = changed_.begin(); position != changed_.end();) {
        account_total& account = accounts_[*position];
        bool all_told = true;
        for (auto& [member, item] : account.parts) {
            if (answer_due(*position, account, item, now)) {
                due[member].push_back(*position);
            }
            all_told =
                all_told && !item.answer_due && (!item.backlogged || item.answered_total == account.total);
        }
        position = all_told ? changed_.erase(position) : std::next(position);
    }
    std::map<base::vm_id, std::vector<usage_total_entry>> entries;
    limit_.refill(now);
    in_turn(due, last_member_, limit_, [&](const base::vm_id& to, const std::vector<share_key>& keys) {
        for (const share_key& key : keys) {
            account_total& account = accounts_[key];
            part& item = account.parts[to];
            item.answer_due = false;
            item.answered = now;
            item.answered_total = account.total;
            entries[to].push_back(usage_total_entry{key.pool, key.account, account.total, item.counted,
                                                    item.backlogged, backlogged_beside(account, to)});
        }
    });
    append_batches<usage_total>(messages, entries, options_.entries_per_message);
    return messages;
}

std::optional<base::normalised_cost> home::total(const share_key& key) const {
    const auto found = accounts_.find(key);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    return found->second.total;
}

} // namespace bluebell::decision
