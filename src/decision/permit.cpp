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
    while (oldest_ < ended_at_.size() && now - ended_at_[oldest_].first > memory) {
        ids_.erase(ended_at_[oldest_].second);
        ++oldest_;
    }
    if (oldest_ * 2 > ended_at_.size()) {
        ended_at_.erase(ended_at_.begin(), ended_at_.begin() + static_cast<std::ptrdiff_t>(oldest_));
        oldest_ = 0;
    }
    if (ids_.insert(id).second) {
        ended_at_.emplace_back(now, id);
    }
}

permit_owner::permit_owner(base::vm_id self, base::incarnation incarnation, const permit_options& options)
    : self_(std::move(self)), options_(options),
      // Grant ids of different owners and incarnations differ, so that a release never frees the slot of
      // another grant. The incarnation is part of the hashed text: used as a seed it cancelled out against
      // similar names ("vm0", 1 and "vm1", 2).
      id_base_(base::stable_hash(self_.value() + '/' + std::to_string(incarnation.value()))
               << id_counter_bits) {}

void permit_owner::set_owned(const std::vector<upstream>& owned, base::time_point now, bool learn) {
    std::map<base::upstream_id, slot_state> kept;
    pools_.clear();
    for (const upstream& entry : owned) {
        const auto found = upstreams_.find(entry.id);
        slot_state state;
        if (found != upstreams_.end() && found->second.settings.pool == entry.pool) {
            state = found->second;
        } else {
            state.learning_until = learn ? now + options_.learning_time : now;
        }
        state.settings = entry;
        state.stopped = stopped_.count(entry.id) > 0;
        pools_[entry.pool].push_back(entry.id);
        kept.emplace(entry.id, std::move(state));
    }
    for (auto position = grants_.begin(); position != grants_.end();) {
        if (kept.count(position->second.upstream) == 0) {
            by_holder_[position->second.holder].erase(position->first);
            position = grants_.erase(position);
        } else {
            ++position;
        }
    }
    upstreams_ = std::move(kept);
    for (auto position = bids_.begin(); position != bids_.end();) {
        position = pools_.count(position->first) == 0 ? bids_.erase(position) : std::next(position);
    }
}

void permit_owner::set_visible_members(std::size_t visible, std::size_t listed) {
    if (visible < listed && visible != visible_) {
        for (auto& [id, state] : upstreams_) {
            state.partition_limit = state.used;
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
        remove_grant(grants_.find(id), now);
    }
    by_holder_.erase(member);
}

void permit_owner::remove_grant(std::unordered_map<base::grant_id, outstanding_grant>::iterator position,
                                base::time_point now) {
    const auto slots = upstreams_.find(position->second.upstream);
    if (slots != upstreams_.end()) {
        change_used(slots->second, -1, now);
    }
    by_holder_[position->second.holder].erase(position->first);
    grants_.erase(position);
}

void permit_owner::adopt(const base::vm_id& holder, const held_grant& held, const base::pool_id& pool,
                         base::time_point now) {
    const auto slots = upstreams_.find(held.upstream);
    if (slots == upstreams_.end() || grants_.count(held.id) > 0) {
        return;
    }
    change_used(slots->second, 1, now);
    grants_.emplace(held.id, outstanding_grant{held.upstream, pool, holder, now, true, now, 0});
    by_holder_[holder].insert(held.id);
}

/// Reconciles the table with the grants that a bidder lists as held: listed grants are counted, and grants
/// that it had time to list but did not are reclaimed. A part of a divided list does not show which grants
/// are missing, so it reclaims none.
void permit_owner::reconcile(const base::vm_id& from, const bid& body, base::time_point now) {
    std::set<base::grant_id> listed;
    for (const held_grant& held : body.held) {
        listed.insert(held.id);
        const auto found = grants_.find(held.id);
        if (found != grants_.end()) {
            found->second.confirmed = true;
            found->second.checked_at = now;
            found->second.questions = 0;
        } else if (!ended_.contains(held.id)) {
            adopt(from, held, body.pool, now);
        }
    }
    if (!body.held_complete) {
        return;
    }
    std::vector<base::grant_id> missing;
    for (const base::grant_id& id : by_holder_[from]) {
        const outstanding_grant& entry = grants_.at(id);
        if (entry.pool == body.pool && listed.count(id) == 0 &&
            (entry.confirmed || now - entry.checked_at > options_.round_trip_limit)) {
            missing.push_back(id);
        }
    }
    for (const base::grant_id& id : missing) {
        ++returned_;
        remove_grant(grants_.find(id), now);
    }
}

std::size_t permit_owner::count_unseen(const base::vm_id& from, const base::pool_id& pool) const {
    const auto found = by_holder_.find(from);
    if (found == by_holder_.end()) {
        return 0;
    }
    std::size_t unseen = 0;
    for (const base::grant_id& id : found->second) {
        const outstanding_grant& entry = grants_.at(id);
        unseen += !entry.confirmed && entry.pool == pool ? 1 : 0;
    }
    return unseen;
}

void permit_owner::receive(const base::vm_id& from, base::incarnation incarnation, const bid& body,
                           base::time_point now) {
    if (pools_.count(body.pool) == 0) {
        return;
    }
    standing_bid& standing = bids_[body.pool][from];
    // The parts of a divided bid have the same sequence number.
    const bool repeated = body.sequence == standing.sequence && body.held_complete;
    if (incarnation < standing.incarnation ||
        (incarnation == standing.incarnation && (body.sequence < standing.sequence || repeated))) {
        return;
    }
    reconcile(from, body, now);
    standing.incarnation = incarnation;
    standing.sequence = body.sequence;
    standing.keys.assign(1, body.key);
    standing.keys.insert(standing.keys.end(), body.next_keys.begin(), body.next_keys.end());
    standing.start_tag = body.start_tag;
    standing.waiting = body.waiting;
    standing.unseen_grants = count_unseen(from, body.pool);
    standing.received_at = now;
}

void permit_owner::receive(const base::vm_id& from, const release& body, base::time_point now) {
    const auto found = grants_.find(body.id);
    if (found == grants_.end()) {
        ended_.add(body.id, now, options_.ended_grant_lifetime);
        return;
    }
    if (found->second.holder != from) {
        return;
    }
    if (body.unused) {
        standing_bid& standing = bids_[body.pool][from];
        standing.skipped_until[body.upstream] = now + options_.unused_skip_time;
        // The request is still waiting, so a slot of another upstream may be granted for it before the next
        // bid.
        if (!found->second.confirmed && standing.unseen_grants > 0) {
            --standing.unseen_grants;
        }
    }
    remove_grant(found, now);
    ended_.add(body.id, now, options_.ended_grant_lifetime);
}

void permit_owner::change_used(slot_state& state, std::int32_t change, base::time_point now) const {
    while (!state.used_history.empty() && now - state.used_history.front().first > options_.load_lifetime) {
        state.used_history.pop_front();
    }
    state.used_history.emplace_back(now, state.used);
    state.used += change;
}

std::int32_t permit_owner::used_at(const slot_state& state, base::time_point time) const {
    // The owner counts a slot before the request starts at the upstream, and until after it ended there.
    const base::time_point first = time - options_.round_trip_limit / 2;
    const base::time_point last = time + options_.round_trip_limit / 2;
    std::int32_t highest = 0;
    base::time_point from{};
    for (const auto& [until, used] : state.used_history) {
        if (until >= first && from <= last) {
            highest = std::max(highest, used);
        }
        from = until;
    }
    return from <= last ? std::max(highest, state.used) : highest;
}

std::int32_t permit_owner::partition_share(const slot_state& state) const {
    const double part = static_cast<double>(visible_) / static_cast<double>(listed_);
    return std::max(1, static_cast<std::int32_t>(part * state.settings.slots.value()));
}

std::int32_t permit_owner::slot_limit(const slot_state& state) const {
    if (visible_ >= listed_) {
        return state.settings.slots.value();
    }
    return std::clamp(state.partition_limit, partition_share(state),
                      std::max(1, state.settings.slots.value()));
}

/// In a partition, the limit doubles with each report that shows no use by others and falls back at once
/// otherwise, so that two sides that both find the upstream idle do not fill it at the same time.
void permit_owner::report_load(const base::upstream_id& id, const upstream_load& load,
                               base::time_point read_at, base::time_point now) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() || read_at <= found->second.load_read_at ||
        now - read_at > options_.load_lifetime) {
        return;
    }
    slot_state& state = found->second;
    const auto running = static_cast<std::int32_t>(load.running + load.waiting);
    state.partition_limit = running > used_at(state, read_at) ? 0 : 2 * slot_limit(state);
    state.load_read_at = read_at;
}

void permit_owner::stop_upstream(const base::upstream_id& id, bool stop) {
    if (stop) {
        stopped_.insert(id);
    } else {
        stopped_.erase(id);
    }
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end()) {
        found->second.stopped = stop;
    }
}

permit_owner::slot_state* permit_owner::find_free_upstream(const base::pool_id& pool, const gate& may_start,
                                                           const std::set<base::upstream_id>& skipped,
                                                           base::time_point now) {
    slot_state* best = nullptr;
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return best;
    }
    for (const base::upstream_id& id : found->second) {
        slot_state& state = upstreams_.at(id);
        if (now - state.load_read_at > options_.load_lifetime) {
            state.partition_limit = 0;
        }
        const std::int32_t free = slot_limit(state) - state.used;
        if (free > 0 && !state.stopped && now >= state.learning_until && skipped.count(id) == 0 &&
            (best == nullptr || free > slot_limit(*best) - best->used) && may_start(id)) {
            best = &state;
        }
    }
    return best;
}

bool permit_owner::is_skipped(const base::pool_id& pool, const base::vm_id& bidder,
                              const base::upstream_id& id, base::time_point now) const {
    const auto bids = bids_.find(pool);
    if (bids == bids_.end()) {
        return false;
    }
    const auto found = bids->second.find(bidder);
    if (found == bids->second.end()) {
        return false;
    }
    const auto until = found->second.skipped_until.find(id);
    return until != found->second.skipped_until.end() && now < until->second;
}

base::vm_id permit_owner::lowest_bidder(const base::pool_id& pool, const demand& local,
                                        const base::upstream_id& id, base::time_point now) const {
    base::vm_id best;
    std::optional<base::normalised_cost> lowest;
    if (local.waiting > 0 && !is_skipped(pool, self_, id, now)) {
        best = self_;
        lowest = key_at(local.keys, 0);
    }
    const auto bids = bids_.find(pool);
    if (bids == bids_.end()) {
        return best;
    }
    for (const auto& [bidder, standing] : bids->second) {
        if (standing.waiting <= standing.unseen_grants || is_skipped(pool, bidder, id, now)) {
            continue;
        }
        const base::normalised_cost key = key_at(standing.keys, standing.unseen_grants);
        if (!lowest || key < *lowest) {
            best = bidder;
            lowest = key;
        }
    }
    return best;
}

std::optional<base::normalised_cost> permit_owner::lowest_key(const base::pool_id& pool,
                                                              const base::vm_id& except) const {
    std::optional<base::normalised_cost> lowest;
    const auto bids = bids_.find(pool);
    if (bids != bids_.end()) {
        for (const auto& [bidder, standing] : bids->second) {
            if (bidder != except && standing.waiting > standing.unseen_grants) {
                const base::normalised_cost key = key_at(standing.keys, standing.unseen_grants);
                lowest = std::min(lowest.value_or(key), key);
            }
        }
    }
    return lowest;
}

std::optional<decided_grant> permit_owner::next_grant(const base::pool_id& pool, const demand& local,
                                                      const gate& may_start, base::time_point now) {
    std::set<base::upstream_id> skipped;
    for (slot_state* free = find_free_upstream(pool, may_start, skipped, now); free != nullptr;
         free = find_free_upstream(pool, may_start, skipped, now)) {
        const base::vm_id to = lowest_bidder(pool, local, free->settings.id, now);
        if (to.value().empty()) {
            skipped.insert(free->settings.id);
            continue;
        }
        std::optional<base::normalised_cost> tag;
        if (local.waiting > 0) {
            tag = local.start_tag;
        }
        for (const auto& [bidder, standing] : bids_[pool]) {
            if (standing.waiting > standing.unseen_grants && (!tag || standing.start_tag < *tag)) {
                tag = standing.start_tag;
            }
        }
        const base::grant_id id(id_base_ | ++next_id_);
        change_used(*free, 1, now);
        grants_.emplace(id, outstanding_grant{free->settings.id, pool, to, now, to == self_, now, 0});
        by_holder_[to].insert(id);
        if (to != self_) {
            ++bids_[pool][to].unseen_grants;
        }
        std::optional<base::normalised_cost> other = lowest_key(pool, to);
        if (to != self_ && local.waiting > 0) {
            other = std::min(other.value_or(local.keys.front()), local.keys.front());
        }
        return decided_grant{to, grant{id, pool, free->settings.id, other},
                             tag.value_or(base::normalised_cost())};
    }
    return std::nullopt;
}

std::set<base::pool_id> permit_owner::tick(base::time_point now, std::vector<outgoing>& questions) {
    std::set<base::pool_id> ready;
    for (auto& [pool, bids] : bids_) {
        for (auto& [bidder, standing] : bids) {
            if (now - standing.received_at > options_.bid_lifetime) {
                standing.waiting = 0;
            }
            if (standing.waiting > 0) {
                ready.insert(pool);
            }
        }
    }
    std::vector<base::grant_id> late;
    for (auto& [id, entry] : grants_) {
        const bool questioned = entry.questions > 0 || !entry.confirmed;
        const base::duration timeout = questioned ? options_.confirmation_timeout : options_.listing_timeout;
        if (entry.holder == self_ || now - entry.checked_at < timeout) {
            continue;
        }
        entry.checked_at = now;
        if (entry.questions++ < options_.max_questions) {
            questions.push_back(outgoing{entry.holder, grant{id, entry.pool, entry.upstream, std::nullopt}});
        } else {
            late.push_back(id);
        }
    }
    for (const base::grant_id& id : late) {
        ++returned_;
        ready.insert(grants_.at(id).pool);
        remove_grant(grants_.find(id), now);
    }
    return ready;
}

std::int32_t permit_owner::used(const base::upstream_id& id) const {
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? 0 : found->second.used;
}

permit_bidder::permit_bidder(base::vm_id self, const permit_options& options)
    : self_(std::move(self)), options_(options), bid_rate_(options.bids_per_second) {}

void permit_bidder::set_owners(const std::map<base::upstream_id, upstream>& upstreams,
                               const std::map<base::upstream_id, base::vm_id>& owners) {
    upstream_owners_ = owners;
    std::map<base::pool_id, pool_state> pools;
    for (const auto& [id, settings] : upstreams) {
        pool_state& state = pools[settings.pool];
        const base::vm_id& owner = owners.at(id);
        if (owner != self_ && state.owners.count(owner) == 0) {
            state.owners.emplace(owner, owner_state{});
            state.owner_order.push_back(owner);
        }
    }
    for (auto& [pool, state] : pools) {
        state.owner_order = base::rendezvous_owners(self_.value() + "/" + pool.value(), state.owner_order,
                                                    state.owner_order.size());
    }
    pools_ = std::move(pools);
    for (auto& [id, entry] : held_grants_) {
        const auto owner = upstream_owners_.find(entry.permit.upstream);
        entry.owner = owner == upstream_owners_.end() ? base::vm_id() : owner->second;
        const auto pool = pools_.find(entry.permit.pool);
        if (pool != pools_.end()) {
            const auto state = pool->second.owners.find(entry.owner);
            if (state != pool->second.owners.end()) {
                state->second.held_grants.insert(id);
                state->second.unconfirmed = true;
            }
        }
    }
    mark_all_changed();
}

const base::vm_id& permit_bidder::owner_of(const base::upstream_id& upstream) const {
    static const base::vm_id none;
    const auto found = upstream_owners_.find(upstream);
    return found == upstream_owners_.end() ? none : found->second;
}

grant_state permit_bidder::accept(const base::vm_id& from, const grant& permit) {
    if (ended_.contains(permit.id)) {
        return grant_state::ended;
    }
    const auto [position, created] = held_grants_.emplace(permit.id, held_state{permit, from});
    const auto pool = pools_.find(permit.pool);
    if (pool != pools_.end()) {
        // A former owner may repeat a grant whose upstream has moved to another owner. `end_grant` removes it
        // only from the list of the current owner, so it must not be added to the list of the former one.
        const auto owner = pool->second.owners.find(position->second.owner);
        if (owner != pool->second.owners.end()) {
            owner->second.held_grants.insert(permit.id);
            owner->second.unconfirmed = true;
            owner->second.grants_since_bid += created ? 1 : 0;
            mark_changed(permit.pool);
        }
    }
    return created ? grant_state::taken : grant_state::held;
}

base::vm_id permit_bidder::end_grant(base::grant_id id, base::time_point now) {
    const auto found = held_grants_.find(id);
    if (found == held_grants_.end()) {
        return {};
    }
    const held_state ended = found->second;
    held_grants_.erase(found);
    ended_.add(id, now, options_.ended_grant_lifetime);
    const auto pool = pools_.find(ended.permit.pool);
    if (pool != pools_.end()) {
        const auto owner = pool->second.owners.find(ended.owner);
        if (owner != pool->second.owners.end()) {
            owner->second.held_grants.erase(id);
            owner->second.list_due = true;
            active_pools_.insert(ended.permit.pool);
        }
    }
    return ended.owner;
}

std::vector<std::pair<base::pool_id, held_grant>> permit_bidder::grants_from(const base::vm_id& owner) const {
    std::vector<std::pair<base::pool_id, held_grant>> list;
    for (const auto& [id, entry] : held_grants_) {
        if (entry.owner == owner) {
            list.emplace_back(entry.permit.pool, held_grant{id, entry.permit.upstream});
        }
    }
    return list;
}

void permit_bidder::mark_changed(const base::pool_id& pool) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        found->second.changed = true;
        active_pools_.insert(pool);
    }
}

void permit_bidder::mark_all_changed() {
    for (auto& [pool, state] : pools_) {
        state.changed = true;
        active_pools_.insert(pool);
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
    for (const base::grant_id& id : to.held_grants) {
        body.held.push_back(held_grant{id, held_grants_.at(id).permit.upstream});
    }
    body.sequence = ++sequence_;
    return body;
}

base::duration permit_bidder::repetition_interval() const {
    std::size_t pairs = 0;
    for (const base::pool_id& pool : active_pools_) {
        const auto found = pools_.find(pool);
        pairs += found == pools_.end()
                     ? 0
                     : std::min(found->second.owner_order.size(), found->second.standing_count + 1);
    }
    const auto spread = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(static_cast<double>(pairs) / options_.bids_per_second));
    return std::clamp(spread, options_.bid_interval, options_.max_bid_interval);
}

bool permit_bidder::bid_due(const owner_state& to, const demand& work, bool standing,
                            base::time_point now) const {
    const base::duration since = now - to.bid_sent_at;
    if (to.unconfirmed && since >= options_.confirmation_timeout / 2) {
        return true;
    }
    if (work.waiting == 0) {
        return (to.last_bid_had_work && since >= options_.bid_change_interval) ||
               ((!to.held_grants.empty() || to.list_due) && since >= repetition_interval());
    }
    if (to.last_bid_had_work) {
        const base::normalised_cost key = key_at(work.keys, 0);
        const bool exhausted = to.grants_since_bid >= to.last_bid_waiting;
        const bool more =
            work.waiting > to.last_bid_waiting && to.last_bid_waiting < options_.immediate_bid_limit;
        const bool lower = key < to.last_bid_key - work.key_step * options_.key_drop_threshold;
        const bool higher = key > to.last_bid_key + work.key_step * options_.key_rise_threshold;
        const bool changed = lower || (higher && since >= options_.bid_raise_interval);
        if (exhausted || (standing && (more || (changed && bid_rate_.available())))) {
            return true;
        }
    } else if (standing) {
        return true;
    }
    return (standing || !to.held_grants.empty() || to.list_due) && since >= repetition_interval();
}

void permit_bidder::collect_pool(const base::pool_id& pool, pool_state& state, const demand& work,
                                 base::time_point now, std::vector<outgoing>& messages) {
    state.changed = false;
    if (now - state.rotated_at >= options_.bid_interval) {
        state.rotated_at = now;
        ++state.rotation;
    }
    const double affordable = options_.bids_per_second *
                              std::chrono::duration<double>(options_.max_bid_interval).count() /
                              static_cast<double>(active_pools_.size());
    const std::size_t wanted =
        std::min(work.waiting / options_.waiting_per_owner, static_cast<std::size_t>(affordable));
    state.standing_count = std::min(state.owner_order.size(), std::max(options_.bid_fanout, wanted));
    const std::size_t rest = std::max<std::size_t>(state.owner_order.size() - state.standing_count, 1);
    for (std::size_t i = 0; i < state.owner_order.size(); ++i) {
        owner_state& to = state.owners.at(state.owner_order[i]);
        const bool standing = i < state.standing_count || i - state.standing_count == state.rotation % rest;
        if (bid_due(to, work, standing, now)) {
            bid_rate_.take();
            messages.push_back(outgoing{state.owner_order[i], make_bid(pool, to, work)});
            to.bid_sent_at = now;
            to.last_bid_had_work = work.waiting > 0;
            to.last_bid_waiting = work.waiting;
            to.last_bid_key = key_at(work.keys, 0);
            to.grants_since_bid = 0;
            to.unconfirmed = false;
            to.list_due = false;
        }
    }
}

std::vector<outgoing> permit_bidder::collect(const demand_lookup& current_demand, base::time_point now) {
    std::vector<outgoing> messages;
    bid_rate_.refill(now);
    for (auto position = active_pools_.begin(); position != active_pools_.end();) {
        const auto found = pools_.find(*position);
        if (found == pools_.end()) {
            position = active_pools_.erase(position);
            continue;
        }
        pool_state& state = found->second;
        if (!state.changed && now - state.checked_at < options_.check_interval) {
            ++position;
            continue;
        }
        state.checked_at = now;
        const demand work = current_demand(*position);
        collect_pool(*position, state, work, now, messages);
        const bool busy = work.waiting > 0 || state.changed ||
                          std::any_of(state.owners.begin(), state.owners.end(), [](const auto& entry) {
                              return entry.second.last_bid_had_work || entry.second.list_due ||
                                     !entry.second.held_grants.empty();
                          });
        position = busy ? std::next(position) : active_pools_.erase(position);
    }
    return messages;
}

} // namespace bluebell::decision
