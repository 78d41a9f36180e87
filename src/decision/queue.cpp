#include "decision/queue.h"

#include <algorithm>

namespace bluebell::decision {
namespace {

/// Accounts that are looked at for a request that may run on a given upstream; only retries avoid one.
constexpr std::size_t max_search = 32;

bool may_run(const waiting_request& waiting, const base::upstream_id& target) {
    return std::find(waiting.avoid.begin(), waiting.avoid.end(), target) == waiting.avoid.end();
}

} // namespace

void queue::set_boost(const base::pool_id& pool, base::normalised_cost boost) {
    pool_lines& lines = pools_[pool];
    if (lines.boost == boost) {
        return;
    }
    lines.boost = boost;
    for (auto& [account, of] : lines.lines) {
        unrank(lines, account, of);
        enrank(lines, account, of);
    }
}

base::normalised_cost queue::boost_of(const pool_lines& pool, std::size_t of_class) {
    return pool.boost * (1.0 - static_cast<double>(of_class));
}

void queue::unrank(pool_lines& pool, const base::client_account_id& account, const line& of) {
    pool.by_key.erase(rank(of.key, account));
    pool.by_service.erase(rank(of.normalised, account));
}

/// Chooses the class that goes next and puts the account in order. The key has the boost of the most urgent
/// class. Within the account a class waits at most until the router started the difference of the boosts for
/// it, so that urgent work does not starve the rest; the service of other routers does not count, or every
/// router would give each class its turn and urgent work would wait for all of them.
void queue::enrank(pool_lines& pool, const base::client_account_id& account, line& of) {
    std::optional<double> lowest;
    std::optional<base::normalised_cost> boost;
    for (std::size_t i = 0; i < class_count; ++i) {
        if (!of.classes[i].empty()) {
            boost = boost.value_or(boost_of(pool, i));
            const double tag = of.tags[i].value() - boost_of(pool, i).value();
            if (!lowest || tag < *lowest) {
                lowest = tag;
                of.next_class = i;
            }
        }
    }
    of.key = of.normalised - boost.value_or(base::normalised_cost());
    pool.by_key.emplace(of.key, account);
    pool.by_service.emplace(of.normalised, account);
}

base::result<void> queue::push(waiting_request added, base::normalised_cost normalised) {
    const share_key key{added.what.pool, added.what.account};
    if (waiting(key) >= options_.max_per_account) {
        return base::failure(base::error_code::queue_full, key.account.value(),
                             "too many requests of this client account are waiting");
    }
    if (body_bytes_ + added.what.body_size > options_.max_body_bytes) {
        return base::failure(base::error_code::queue_full, key.pool.value(),
                             "the bodies of the waiting requests fill the memory set aside for them");
    }
    pool_lines& pool = pools_[key.pool];
    const auto [found, created] = pool.lines.try_emplace(key.account);
    line& of = found->second;
    if (!created) {
        unrank(pool, key.account, of);
    }
    const std::size_t of_class = static_cast<std::size_t>(added.what.priority);
    waiting_list& list = of.classes[of_class];
    if (list.empty()) {
        of.tags[of_class] = of.passed;
    }
    body_bytes_ += added.what.body_size;
    deadlines_.emplace(added.what.deadline, added.what.id);
    const base::request_id id = added.what.id;
    list.push_back(std::move(added));
    places_.emplace(id, place{key, of_class, std::prev(list.end())});
    ++of.waiting;
    ++pool.waiting;
    of.normalised = normalised;
    enrank(pool, key.account, of);
    return {};
}

waiting_request queue::take(const place& from) {
    pool_lines& pool = pools_[from.key.pool];
    line& of = pool.lines[from.key.account];
    waiting_list& list = of.classes[from.of_class];
    unrank(pool, from.key.account, of);
    waiting_request taken = std::move(*from.position);
    const bool was_first = from.position == list.begin();
    list.erase(from.position);
    if (was_first) {
        of.tags[from.of_class] = of.passed;
    }
    body_bytes_ -= taken.what.body_size;
    deadlines_.erase({taken.what.deadline, taken.what.id});
    --pool.waiting;
    if (--of.waiting == 0) {
        pool.lines.erase(from.key.account);
    } else {
        enrank(pool, from.key.account, of);
    }
    return taken;
}

std::optional<waiting_request> queue::remove(const base::request_id& id) {
    const auto found = places_.find(id);
    if (found == places_.end()) {
        return std::nullopt;
    }
    const place from = found->second;
    places_.erase(found);
    return take(from);
}

std::optional<waiting_request> queue::take_for_start(const base::request_id& id) {
    const place from = places_.at(id);
    const request& what = from.position->what;
    pools_[from.key.pool].lines[from.key.account].passed += what.hint;
    return remove(base::request_id(id));
}

std::optional<waiting_request> queue::pop(const base::pool_id& pool, const base::upstream_id& target) {
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return std::nullopt;
    }
    std::size_t searched = 0;
    for (const rank& next : found->second.by_key) {
        const line& of = found->second.lines.at(next.second);
        const waiting_request& first = of.classes[of.next_class].front();
        if (may_run(first, target)) {
            return take_for_start(first.what.id);
        }
        for (const waiting_list& list : of.classes) {
            if (!list.empty() && may_run(list.front(), target)) {
                return take_for_start(list.front().what.id);
            }
        }
        if (++searched == max_search) {
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

void queue::reprice(const share_key& key, base::normalised_cost normalised) {
    const auto pool = pools_.find(key.pool);
    if (pool == pools_.end()) {
        return;
    }
    const auto found = pool->second.lines.find(key.account);
    if (found == pool->second.lines.end() || found->second.normalised == normalised) {
        return;
    }
    unrank(pool->second, key.account, found->second);
    found->second.normalised = normalised;
    enrank(pool->second, key.account, found->second);
}

std::vector<candidate> queue::first(const base::pool_id& pool, std::size_t count) const {
    std::vector<candidate> candidates;
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return candidates;
    }
    for (const rank& next : found->second.by_key) {
        if (candidates.size() == count) {
            break;
        }
        const line& of = found->second.lines.at(next.second);
        const request& head = of.classes[of.next_class].front().what;
        candidates.push_back(candidate{next.second, of.key, head.priority, head.hint, of.waiting});
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

std::size_t queue::waiting(const base::pool_id& pool) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.waiting;
}

std::size_t queue::waiting(const share_key& key) const {
    const auto pool = pools_.find(key.pool);
    if (pool == pools_.end()) {
        return 0;
    }
    const auto found = pool->second.lines.find(key.account);
    return found == pool->second.lines.end() ? 0 : found->second.waiting;
}

std::vector<base::client_account_id> queue::accounts(const base::pool_id& pool) const {
    std::vector<base::client_account_id> names;
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        for (const auto& [account, of] : found->second.lines) {
            names.push_back(account);
        }
    }
    return names;
}

} // namespace bluebell::decision
