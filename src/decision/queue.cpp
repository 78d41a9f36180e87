#include "decision/queue.h"

#include <algorithm>

namespace bluebell::decision {
namespace {

/// Maximum number of accounts searched for a request that may run on a given upstream; only retries exclude
/// an upstream.
constexpr std::size_t max_searched_accounts = 32;

bool may_run(const waiting_request& waiting, const base::upstream_id& target) {
    return std::find(waiting.avoid.begin(), waiting.avoid.end(), target) == waiting.avoid.end();
}

} // namespace

void queue::set_boost(const base::pool_id& pool, base::normalised_cost boost) {
    pool_queue& pool_entry = pools_[pool];
    if (pool_entry.boost == boost) {
        return;
    }
    pool_entry.boost = boost;
    for (auto& [account, entry] : pool_entry.accounts) {
        remove_from_order(pool_entry, account, entry);
        insert_into_order(pool_entry, account, entry);
    }
}

base::normalised_cost queue::boost_of(const pool_queue& pool, std::size_t class_index) {
    return pool.boost * (1.0 - static_cast<double>(class_index));
}

void queue::remove_from_order(pool_queue& pool, const base::client_account_id& account,
                              const account_queue& entry) {
    pool.by_key.erase(order_entry(entry.key, account));
    pool.by_service.erase(order_entry(entry.normalised, account));
}

/// Selects the class that the account dispatches next and inserts the account into the order. The key
/// includes the boost of the most urgent waiting class. Within an account, a class waits at most until this
/// router has started work of the account worth the difference of the boosts, so that urgent requests do not
/// starve the others. Service by other routers does not count: otherwise every router would give each class
/// its turn, and urgent requests would wait for all of these turns.
void queue::insert_into_order(pool_queue& pool, const base::client_account_id& account,
                              account_queue& entry) {
    std::optional<double> lowest;
    std::optional<base::normalised_cost> boost;
    for (std::size_t i = 0; i < class_count; ++i) {
        if (!entry.classes[i].empty()) {
            boost = boost.value_or(boost_of(pool, i));
            const double tag = entry.start_tags[i].value() - boost_of(pool, i).value();
            if (!lowest || tag < *lowest) {
                lowest = tag;
                entry.next_class = i;
            }
        }
    }
    entry.key = entry.normalised - boost.value_or(base::normalised_cost());
    pool.by_key.emplace(entry.key, account);
    pool.by_service.emplace(entry.normalised, account);
}

base::result<void> queue::push(waiting_request added, base::normalised_cost normalised) {
    const share_key key{added.attributes.pool, added.attributes.account};
    if (waiting_count(key) >= options_.max_per_account) {
        return base::failure(base::error_code::queue_full, key.account.value(),
                             "too many requests of this client account are waiting");
    }
    if (body_bytes_ + added.attributes.body_size > options_.max_body_bytes) {
        return base::failure(base::error_code::queue_full, key.pool.value(),
                             "the bodies of the waiting requests fill the memory set aside for them");
    }
    pool_queue& pool = pools_[key.pool];
    const auto [found, created] = pool.accounts.try_emplace(key.account);
    account_queue& entry = found->second;
    if (!created) {
        remove_from_order(pool, key.account, entry);
    }
    const std::size_t class_index = static_cast<std::size_t>(added.attributes.priority);
    request_list& list = entry.classes[class_index];
    if (list.empty()) {
        entry.start_tags[class_index] = entry.started_cost;
    }
    body_bytes_ += added.attributes.body_size;
    deadlines_.emplace(added.attributes.deadline, added.attributes.id);
    const base::request_id id = added.attributes.id;
    list.push_back(std::move(added));
    locations_.emplace(id, request_location{key, class_index, std::prev(list.end())});
    ++entry.waiting;
    ++pool.waiting;
    entry.normalised = normalised;
    insert_into_order(pool, key.account, entry);
    return {};
}

waiting_request queue::extract(const request_location& location) {
    pool_queue& pool = pools_[location.key.pool];
    account_queue& entry = pool.accounts[location.key.account];
    request_list& list = entry.classes[location.class_index];
    remove_from_order(pool, location.key.account, entry);
    waiting_request taken = std::move(*location.position);
    const bool was_first = location.position == list.begin();
    list.erase(location.position);
    if (was_first) {
        entry.start_tags[location.class_index] = entry.started_cost;
    }
    body_bytes_ -= taken.attributes.body_size;
    deadlines_.erase({taken.attributes.deadline, taken.attributes.id});
    --pool.waiting;
    if (--entry.waiting == 0) {
        pool.accounts.erase(location.key.account);
    } else {
        insert_into_order(pool, location.key.account, entry);
    }
    return taken;
}

std::optional<waiting_request> queue::remove(const base::request_id& id) {
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return std::nullopt;
    }
    const request_location location = found->second;
    locations_.erase(found);
    return extract(location);
}

std::optional<waiting_request> queue::extract_for_start(const base::request_id& id) {
    const request_location location = locations_.at(id);
    const request& attributes = location.position->attributes;
    pools_[location.key.pool].accounts[location.key.account].started_cost += attributes.hint;
    return remove(base::request_id(id));
}

std::optional<waiting_request> queue::pop(const base::pool_id& pool, const base::upstream_id& target) {
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return std::nullopt;
    }
    std::size_t searched = 0;
    for (const order_entry& next : found->second.by_key) {
        const account_queue& entry = found->second.accounts.at(next.second);
        const waiting_request& first = entry.classes[entry.next_class].front();
        if (may_run(first, target)) {
            return extract_for_start(first.attributes.id);
        }
        for (const request_list& list : entry.classes) {
            if (!list.empty() && may_run(list.front(), target)) {
                return extract_for_start(list.front().attributes.id);
            }
        }
        if (++searched == max_searched_accounts) {
            break;
        }
    }
    return std::nullopt;
}

std::vector<waiting_request> queue::expire(base::time_point now) {
    std::vector<waiting_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const base::request_id id = deadlines_.begin()->second;
        expired.push_back(*remove(id));
    }
    return expired;
}

void queue::set_service(const share_key& key, base::normalised_cost normalised) {
    const auto pool = pools_.find(key.pool);
    if (pool == pools_.end()) {
        return;
    }
    const auto found = pool->second.accounts.find(key.account);
    if (found == pool->second.accounts.end() || found->second.normalised == normalised) {
        return;
    }
    remove_from_order(pool->second, key.account, found->second);
    found->second.normalised = normalised;
    insert_into_order(pool->second, key.account, found->second);
}

std::vector<candidate> queue::first_accounts(const base::pool_id& pool, std::size_t count) const {
    std::vector<candidate> candidates;
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return candidates;
    }
    for (const order_entry& next : found->second.by_key) {
        if (candidates.size() == count) {
            break;
        }
        const account_queue& entry = found->second.accounts.at(next.second);
        const request& first = entry.classes[entry.next_class].front().attributes;
        candidates.push_back(candidate{next.second, entry.key, first.priority, first.hint, entry.waiting});
    }
    return candidates;
}

std::optional<base::normalised_cost> queue::lowest_service(const base::pool_id& pool) const {
    const auto found = pools_.find(pool);
    if (found == pools_.end() || found->second.by_service.empty()) {
        return std::nullopt;
    }
    return found->second.by_service.begin()->first;
}

std::size_t queue::waiting_count(const base::pool_id& pool) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.waiting;
}

std::size_t queue::waiting_count(const share_key& key) const {
    const auto pool = pools_.find(key.pool);
    if (pool == pools_.end()) {
        return 0;
    }
    const auto found = pool->second.accounts.find(key.account);
    return found == pool->second.accounts.end() ? 0 : found->second.waiting;
}

std::vector<base::client_account_id> queue::waiting_accounts(const base::pool_id& pool) const {
    std::vector<base::client_account_id> names;
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        for (const auto& [account, entry] : found->second.accounts) {
            names.push_back(account);
        }
    }
    return names;
}

} // namespace bluebell::decision
