#include "decision/permit.h"

#include "base/hash.h"

#include <algorithm>

namespace bluebell::decision {
namespace {

constexpr unsigned id_counter_bits = 32;

/// Key of the i-th request that a bidder would dispatch.
base::normalised_cost key_at(const std::vector<base::normalised_cost>& keys, std::size_t i) {
    return keys.empty() ? base::normalised_cost() : keys[std::min(i, keys.size() - 1)];
}

} // namespace

void ended_grants::add(base::grant_id id, base::time_point now, base::duration memory) {
    while (oldest_ < order_.size() && now - order_[oldest_].first > memory) {
        ids_.erase(order_[oldest_].second);
        ++oldest_;
    }
    if (oldest_ * 2 > order_.size()) {
        order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(oldest_));
        oldest_ = 0;
    }
    if (ids_.insert(id).second) {
        order_.emplace_back(now, id);
    }
}

permit_owner::permit_owner(base::vm_id self, base::incarnation life, const permit_options& options)
    : self_(std::move(self)), options_(options),
      // Ids of different owners and lives differ, so that a release never frees the slot of another grant.
      // The life is part of the text: as a seed it cancels out against similar names ("vm0", 1 and "vm1", 2).
      id_base_(base::stable_hash(self_.value() + '/' + std::to_string(life.value())) << id_counter_bits) {}

void permit_owner::set_owned(const std::vector<upstream>& owned, base::time_point now, bool learn) {
    std::map<base::upstream_id, slot_state> kept;
    pools_.clear();
    for (const upstream& item : owned) {
        const auto found = slots_.find(item.id);
        slot_state state;
        if (found != slots_.end() && found->second.what.pool == item.pool) {
            state = found->second;
        } else {
            state.learning_until = learn ? now + options_.learning : now;
        }
        state.what = item;
        state.stopped = stopped_.count(item.id) > 0;
        pools_[item.pool].push_back(item.id);
        kept.emplace(item.id, std::move(state));
    }
    for (auto position = grants_.begin(); position != grants_.end();) {
        if (kept.count(position->second.upstream) == 0) {
            by_holder_[position->second.holder].erase(position->first);
            position = grants_.erase(position);
        } else {
            ++position;
        }
    }
    slots_ = std::move(kept);
    for (auto position = bids_.begin(); position != bids_.end();) {
        position = pools_.count(position->first) == 0 ? bids_.erase(position) : std::next(position);
    }
}

void permit_owner::set_visible(std::size_t visible, std::size_t listed) {
    if (visible < listed && visible != visible_) {
        for (auto& [id, state] : slots_) {
            state.allowed = state.used;
        }
    }
    visible_ = visible;
    listed_ = std::max(visible, listed);
}

void permit_owner::lose_member(const base::vm_id& member, base::time_point now) {
    for (auto& [pool, bids] : bids_) {
        bids.erase(member);
    }
    const auto found = by_holder_.find(member);
    if (found == by_holder_.end()) {
        return;
    }
    const std::set<base::grant_id> ids = found->second;
    for (const base::grant_id& id : ids) {
        drop(grants_.find(id), now);
    }
    by_holder_.erase(member);
}

void permit_owner::drop(std::unordered_map<base::grant_id, outstanding_grant>::iterator position,
                        base::time_point now) {
    const auto slots = slots_.find(position->second.upstream);
    if (slots != slots_.end()) {
        change_used(slots->second, -1, now);
    }
    by_holder_[position->second.holder].erase(position->first);
    grants_.erase(position);
}

void permit_owner::adopt(const base::vm_id& holder, const held_grant& held, const base::pool_id& pool,
                         base::time_point now) {
    const auto slots = slots_.find(held.upstream);
    if (slots == slots_.end() || grants_.count(held.id) > 0) {
        return;
    }
    change_used(slots->second, 1, now);
    grants_.emplace(held.id, outstanding_grant{held.upstream, pool, holder, now, true, now, 0});
    by_holder_[holder].insert(held.id);
}

/// Makes the table agree with the list of a bidder: grants that it lists count, grants that it had time to
/// list and does not have are free. One part of a divided list does not show what the bidder lacks.
void permit_owner::repair(const base::vm_id& from, const bid& body, base::time_point now) {
    std::set<base::grant_id> listed;
    for (const held_grant& held : body.held) {
        listed.insert(held.id);
        const auto found = grants_.find(held.id);
        if (found != grants_.end()) {
            found->second.confirmed = true;
            found->second.checked = now;
            found->second.questions = 0;
        } else if (!ended_.contains(held.id)) {
            adopt(from, held, body.pool, now);
        }
    }
    if (!body.held_complete) {
        return;
    }
    std::vector<base::grant_id> gone;
    for (const base::grant_id& id : by_holder_[from]) {
        const outstanding_grant& item = grants_.at(id);
        if (item.pool == body.pool && listed.count(id) == 0 &&
            (item.confirmed || now - item.checked > options_.flight_limit)) {
            gone.push_back(id);
        }
    }
    for (const base::grant_id& id : gone) {
        ++returned_;
        drop(grants_.find(id), now);
    }
}

std::size_t permit_owner::count_pending(const base::vm_id& from, const base::pool_id& pool) const {
    const auto found = by_holder_.find(from);
    if (found == by_holder_.end()) {
        return 0;
    }
    std::size_t pending = 0;
    for (const base::grant_id& id : found->second) {
        const outstanding_grant& item = grants_.at(id);
        pending += !item.confirmed && item.pool == pool ? 1 : 0;
    }
    return pending;
}

void permit_owner::receive(const base::vm_id& from, base::incarnation life, const bid& body,
                           base::time_point now) {
    if (pools_.count(body.pool) == 0) {
        return;
    }
    standing_bid& standing = bids_[body.pool][from];
    // The parts of a divided bid have the same sequence.
    const bool repeated = body.sequence == standing.sequence && body.held_complete;
    if (life < standing.life || (life == standing.life && (body.sequence < standing.sequence || repeated))) {
        return;
    }
    repair(from, body, now);
    standing.life = life;
    standing.sequence = body.sequence;
    standing.keys.assign(1, body.key);
    standing.keys.insert(standing.keys.end(), body.next_keys.begin(), body.next_keys.end());
    standing.start_tag = body.start_tag;
    standing.waiting = body.waiting;
    standing.pending = count_pending(from, body.pool);
    standing.received = now;
}

void permit_owner::receive(const base::vm_id& from, const release& body, base::time_point now) {
    const auto found = grants_.find(body.id);
    if (found == grants_.end()) {
        ended_.add(body.id, now, options_.ended_memory);
        return;
    }
    if (found->second.holder != from) {
        return;
    }
    if (body.unused) {
        standing_bid& standing = bids_[body.pool][from];
        standing.unused_until[body.upstream] = now + options_.unused_hold;
        // The request still waits, so that another upstream may serve it before the next bid.
        if (!found->second.confirmed && standing.pending > 0) {
            --standing.pending;
        }
    }
    drop(found, now);
    ended_.add(body.id, now, options_.ended_memory);
}

void permit_owner::change_used(slot_state& state, std::int32_t by, base::time_point now) const {
    while (!state.history.empty() && now - state.history.front().first > options_.load_lifetime) {
        state.history.pop_front();
    }
    state.history.emplace_back(now, state.used);
    state.used += by;
}

std::int32_t permit_owner::used_at(const slot_state& state, base::time_point at) const {
    // The owner hears of a start before and of an end after the upstream does.
    const base::time_point first = at - options_.flight_limit / 2;
    const base::time_point last = at + options_.flight_limit / 2;
    std::int32_t most = 0;
    base::time_point from{};
    for (const auto& [until, used] : state.history) {
        if (until >= first && from <= last) {
            most = std::max(most, used);
        }
        from = until;
    }
    return from <= last ? std::max(most, state.used) : most;
}

std::int32_t permit_owner::partition_share(const slot_state& state) const {
    const double part = static_cast<double>(visible_) / static_cast<double>(listed_);
    return std::max(1, static_cast<std::int32_t>(part * state.what.slots.value()));
}

std::int32_t permit_owner::limit(const slot_state& state) const {
    if (visible_ >= listed_) {
        return state.what.slots.value();
    }
    return std::clamp(state.allowed, partition_share(state), std::max(1, state.what.slots.value()));
}

/// In a partition the limit doubles with each report that shows no use by others and falls back at once, so
/// that two sides that both find the upstream idle do not fill it at the same time.
void permit_owner::report_load(const base::upstream_id& id, const upstream_load& load,
                               base::time_point read_at, base::time_point now) {
    const auto found = slots_.find(id);
    if (found == slots_.end() || read_at <= found->second.read_at || now - read_at > options_.load_lifetime) {
        return;
    }
    slot_state& state = found->second;
    const auto running = static_cast<std::int32_t>(load.running + load.waiting);
    state.allowed = running > used_at(state, read_at) ? 0 : 2 * limit(state);
    state.read_at = read_at;
}

void permit_owner::stop_upstream(const base::upstream_id& id, bool stop) {
    if (stop) {
        stopped_.insert(id);
    } else {
        stopped_.erase(id);
    }
    const auto found = slots_.find(id);
    if (found != slots_.end()) {
        found->second.stopped = stop;
    }
}

permit_owner::slot_state* permit_owner::free_upstream(const base::pool_id& pool, const gate& may_start,
                                                      const std::set<base::upstream_id>& skipped,
                                                      base::time_point now) {
    slot_state* best = nullptr;
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return best;
    }
    for (const base::upstream_id& id : found->second) {
        slot_state& state = slots_.at(id);
        if (now - state.read_at > options_.load_lifetime) {
            state.allowed = 0;
        }
        const std::int32_t free = limit(state) - state.used;
        if (free > 0 && !state.stopped && now >= state.learning_until && skipped.count(id) == 0 &&
            (best == nullptr || free > limit(*best) - best->used) && may_start(id)) {
            best = &state;
        }
    }
    return best;
}

bool permit_owner::held_back(const base::pool_id& pool, const base::vm_id& bidder,
                             const base::upstream_id& id, base::time_point now) const {
    const auto bids = bids_.find(pool);
    if (bids == bids_.end()) {
        return false;
    }
    const auto found = bids->second.find(bidder);
    if (found == bids->second.end()) {
        return false;
    }
    const auto until = found->second.unused_until.find(id);
    return until != found->second.unused_until.end() && now < until->second;
}

base::vm_id permit_owner::lowest_bidder(const base::pool_id& pool, const demand& local,
                                        const base::upstream_id& id, base::time_point now) const {
    base::vm_id best;
    std::optional<base::normalised_cost> lowest;
    if (local.waiting > 0 && !held_back(pool, self_, id, now)) {
        best = self_;
        lowest = key_at(local.keys, 0);
    }
    const auto bids = bids_.find(pool);
    if (bids == bids_.end()) {
        return best;
    }
    for (const auto& [bidder, standing] : bids->second) {
        if (standing.waiting <= standing.pending || held_back(pool, bidder, id, now)) {
            continue;
        }
        const base::normalised_cost key = key_at(standing.keys, standing.pending);
        if (!lowest || key < *lowest) {
            best = bidder;
            lowest = key;
        }
    }
    return best;
}

std::optional<base::normalised_cost> permit_owner::lowest_key(const base::pool_id& pool,
                                                              const base::vm_id& beside) const {
    std::optional<base::normalised_cost> lowest;
    const auto bids = bids_.find(pool);
    if (bids != bids_.end()) {
        for (const auto& [bidder, standing] : bids->second) {
            if (bidder != beside && standing.waiting > standing.pending) {
                const base::normalised_cost key = key_at(standing.keys, standing.pending);
                lowest = std::min(lowest.value_or(key), key);
            }
        }
    }
    return lowest;
}

std::optional<decided_grant> permit_owner::next(const base::pool_id& pool, const demand& local,
                                                const gate& may_start, base::time_point now) {
    std::set<base::upstream_id> skipped;
    for (slot_state* free = free_upstream(pool, may_start, skipped, now); free != nullptr;
         free = free_upstream(pool, may_start, skipped, now)) {
        const base::vm_id to = lowest_bidder(pool, local, free->what.id, now);
        if (to.value().empty()) {
            skipped.insert(free->what.id);
            continue;
        }
        std::optional<base::normalised_cost> tag;
        if (local.waiting > 0) {
            tag = local.start_tag;
        }
        for (const auto& [bidder, standing] : bids_[pool]) {
            if (standing.waiting > standing.pending && (!tag || standing.start_tag < *tag)) {
                tag = standing.start_tag;
            }
        }
        const base::grant_id id(id_base_ | ++next_id_);
        change_used(*free, 1, now);
        grants_.emplace(id, outstanding_grant{free->what.id, pool, to, now, to == self_, now, 0});
        by_holder_[to].insert(id);
        if (to != self_) {
            ++bids_[pool][to].pending;
        }
        std::optional<base::normalised_cost> other = lowest_key(pool, to);
        if (to != self_ && local.waiting > 0) {
            other = std::min(other.value_or(local.keys.front()), local.keys.front());
        }
        return decided_grant{to, grant{id, pool, free->what.id, other},
                             tag.value_or(base::normalised_cost())};
    }
    return std::nullopt;
}

std::set<base::pool_id> permit_owner::tick(base::time_point now, std::vector<outgoing>& questions) {
    std::set<base::pool_id> ready;
    for (auto& [pool, bids] : bids_) {
        for (auto& [bidder, standing] : bids) {
            if (now - standing.received > options_.bid_lifetime) {
                standing.waiting = 0;
            }
            if (standing.waiting > 0) {
                ready.insert(pool);
            }
        }
    }
    std::vector<base::grant_id> late;
    for (auto& [id, item] : grants_) {
        const bool asked = item.questions > 0 || !item.confirmed;
        const base::duration limit = asked ? options_.take_up_limit : options_.listed_limit;
        if (item.holder == self_ || now - item.checked < limit) {
            continue;
        }
        item.checked = now;
        if (item.questions++ < options_.question_limit) {
            questions.push_back(outgoing{item.holder, grant{id, item.pool, item.upstream, std::nullopt}});
        } else {
            late.push_back(id);
        }
    }
    for (const base::grant_id& id : late) {
        ++returned_;
        ready.insert(grants_.at(id).pool);
        drop(grants_.find(id), now);
    }
    return ready;
}

std::int32_t permit_owner::used(const base::upstream_id& id) const {
    const auto found = slots_.find(id);
    return found == slots_.end() ? 0 : found->second.used;
}

permit_bidder::permit_bidder(base::vm_id self, const permit_options& options)
    : self_(std::move(self)), options_(options), limit_(options.bids_per_second) {}

void permit_bidder::set_owners(const std::map<base::upstream_id, upstream>& upstreams,
                               const std::map<base::upstream_id, base::vm_id>& owners) {
    owner_of_ = owners;
    std::map<base::pool_id, pool_state> pools;
    for (const auto& [id, what] : upstreams) {
        pool_state& state = pools[what.pool];
        const base::vm_id& owner = owners.at(id);
        if (owner != self_ && state.owners.count(owner) == 0) {
            state.owners.emplace(owner, owner_state{});
            state.order.push_back(owner);
        }
    }
    for (auto& [pool, state] : pools) {
        state.order =
            base::rendezvous_owners(self_.value() + "/" + pool.value(), state.order, state.order.size());
    }
    pools_ = std::move(pools);
    for (auto& [id, item] : held_) {
        const auto owner = owner_of_.find(item.what.upstream);
        item.owner = owner == owner_of_.end() ? base::vm_id() : owner->second;
        const auto pool = pools_.find(item.what.pool);
        if (pool != pools_.end()) {
            const auto state = pool->second.owners.find(item.owner);
            if (state != pool->second.owners.end()) {
                state->second.held.insert(id);
                state->second.unconfirmed = true;
            }
        }
    }
    bid_again();
}

const base::vm_id& permit_bidder::owner_of(const base::upstream_id& upstream) const {
    static const base::vm_id none;
    const auto found = owner_of_.find(upstream);
    return found == owner_of_.end() ? none : found->second;
}

grant_state permit_bidder::hold(const base::vm_id& from, const grant& what) {
    if (ended_.contains(what.id)) {
        return grant_state::ended;
    }
    const auto [position, created] = held_.emplace(what.id, held_state{what, from});
    const auto pool = pools_.find(what.pool);
    if (pool != pools_.end()) {
        // A former owner may repeat a grant that has moved on; `drop` clears the list of the present one
        // only.
        const auto owner = pool->second.owners.find(position->second.owner);
        if (owner != pool->second.owners.end()) {
            owner->second.held.insert(what.id);
            owner->second.unconfirmed = true;
            owner->second.granted += created ? 1 : 0;
            touch(what.pool);
        }
    }
    return created ? grant_state::taken : grant_state::held;
}

base::vm_id permit_bidder::drop(base::grant_id id, base::time_point now) {
    const auto found = held_.find(id);
    if (found == held_.end()) {
        return {};
    }
    const held_state item = found->second;
    held_.erase(found);
    ended_.add(id, now, options_.ended_memory);
    const auto pool = pools_.find(item.what.pool);
    if (pool != pools_.end()) {
        const auto owner = pool->second.owners.find(item.owner);
        if (owner != pool->second.owners.end()) {
            owner->second.held.erase(id);
            owner->second.list_due = true;
            active_.insert(item.what.pool);
        }
    }
    return item.owner;
}

std::vector<std::pair<base::pool_id, held_grant>> permit_bidder::held_of(const base::vm_id& owner) const {
    std::vector<std::pair<base::pool_id, held_grant>> list;
    for (const auto& [id, item] : held_) {
        if (item.owner == owner) {
            list.emplace_back(item.what.pool, held_grant{id, item.what.upstream});
        }
    }
    return list;
}

void permit_bidder::touch(const base::pool_id& pool) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        found->second.touched = true;
        active_.insert(pool);
    }
}

void permit_bidder::bid_again() {
    for (auto& [pool, state] : pools_) {
        state.touched = true;
        active_.insert(pool);
    }
}

bid permit_bidder::make_bid(const base::pool_id& pool, const owner_state& to, const demand& work) {
    bid body;
    body.pool = pool;
    body.account = work.account;
    body.key = key_at(work.keys, 0);
    body.start_tag = work.start_tag;
    if (!work.keys.empty()) {
        body.next_keys.assign(work.keys.begin() + 1, work.keys.end());
    }
    body.priority = work.priority;
    body.waiting = static_cast<std::uint32_t>(work.waiting);
    for (const base::grant_id& id : to.held) {
        body.held.push_back(held_grant{id, held_.at(id).what.upstream});
    }
    body.sequence = ++sequence_;
    return body;
}

base::duration permit_bidder::repetition() const {
    std::size_t pairs = 0;
    for (const base::pool_id& pool : active_) {
        const auto found = pools_.find(pool);
        pairs += found == pools_.end() ? 0 : std::min(found->second.order.size(), found->second.standing + 1);
    }
    const auto spread = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(static_cast<double>(pairs) / options_.bids_per_second));
    return std::clamp(spread, options_.bid_interval, options_.longest_bid_interval);
}

bool permit_bidder::bid_due(const owner_state& to, const demand& work, bool standing,
                            base::time_point now) const {
    const base::duration since = now - to.sent;
    if (to.unconfirmed && since >= options_.take_up_limit / 2) {
        return true;
    }
    if (work.waiting == 0) {
        return (to.told_waiting && since >= options_.bid_change_interval) ||
               ((!to.held.empty() || to.list_due) && since >= repetition());
    }
    if (to.told_waiting) {
        const base::normalised_cost key = key_at(work.keys, 0);
        const bool exhausted = to.granted >= to.told_count;
        const bool more = work.waiting > to.told_count && to.told_count < options_.few_waiting;
        const bool lower = key < to.told_key - work.step * options_.key_drop;
        const bool higher = key > to.told_key + work.step * options_.key_rise;
        const bool changed = lower || (higher && since >= options_.bid_raise_interval);
        if (exhausted || (standing && (more || (changed && limit_.available())))) {
            return true;
        }
    } else if (standing) {
        return true;
    }
    return (standing || !to.held.empty() || to.list_due) && since >= repetition();
}

void permit_bidder::collect_pool(const base::pool_id& pool, pool_state& state, const demand& work,
                                 base::time_point now, std::vector<outgoing>& messages) {
    state.touched = false;
    if (now - state.rotated >= options_.bid_interval) {
        state.rotated = now;
        ++state.rotation;
    }
    const double affordable = options_.bids_per_second *
                              std::chrono::duration<double>(options_.longest_bid_interval).count() /
                              static_cast<double>(active_.size());
    const std::size_t wanted =
        std::min(work.waiting / options_.waiting_per_owner, static_cast<std::size_t>(affordable));
    state.standing = std::min(state.order.size(), std::max(options_.bid_fanout, wanted));
    const std::size_t rest = std::max<std::size_t>(state.order.size() - state.standing, 1);
    for (std::size_t i = 0; i < state.order.size(); ++i) {
        owner_state& to = state.owners.at(state.order[i]);
        const bool standing = i < state.standing || i - state.standing == state.rotation % rest;
        if (bid_due(to, work, standing, now)) {
            limit_.take();
            messages.push_back(outgoing{state.order[i], make_bid(pool, to, work)});
            to.sent = now;
            to.told_waiting = work.waiting > 0;
            to.told_count = work.waiting;
            to.told_key = key_at(work.keys, 0);
            to.granted = 0;
            to.unconfirmed = false;
            to.list_due = false;
        }
    }
}

std::vector<outgoing> permit_bidder::collect(const demand_of& current, base::time_point now) {
    std::vector<outgoing> messages;
    limit_.refill(now);
    for (auto position = active_.begin(); position != active_.end();) {
        const auto found = pools_.find(*position);
        if (found == pools_.end()) {
            position = active_.erase(position);
            continue;
        }
        pool_state& state = found->second;
        if (!state.touched && now - state.checked < options_.check_interval) {
            ++position;
            continue;
        }
        state.checked = now;
        const demand work = current(*position);
        collect_pool(*position, state, work, now, messages);
        const bool busy =
            work.waiting > 0 || state.touched ||
            std::any_of(state.owners.begin(), state.owners.end(), [](const auto& item) {
                return item.second.told_waiting || item.second.list_due || !item.second.held.empty();
            });
        position = busy ? std::next(position) : active_.erase(position);
    }
    return messages;
}

} // namespace bluebell::decision
