#include "dispatch/feed.h"

#include <algorithm>
#include <tuple>

namespace bluebell::dispatch {
namespace {

/// Largest estimated size of the changes of one message, which has to fit into a datagram.
constexpr std::size_t max_part_bytes = 900;
/// Estimated size of an entry beside its names.
constexpr std::size_t entry_bytes = 32;
/// Removed upstreams that are remembered for routers that still list them.
constexpr std::size_t max_removals = 1000;

std::size_t estimated_bytes(const upstream_change& change) {
    return entry_bytes + change.id.value().size() +
           (change.entry ? change.entry->pool.value().size() + change.entry->data_centre.value().size() +
                               change.entry->address.address.size() + change.entry->version.value().size()
                         : 0);
}

bool equal(const upstream_entry& a, const upstream_entry& b) {
    return std::tie(a.id, a.pool, a.address, a.data_centre, a.slots, a.phase, a.started_ms, a.version,
                    a.warmup_left) == std::tie(b.id, b.pool, b.address, b.data_centre, b.slots, b.phase,
                                               b.started_ms, b.version, b.warmup_left);
}

} // namespace

bool list_feed::update(const std::map<base::upstream_id, upstream_entry>& entries,
                       std::uint64_t store_position) {
    const std::uint64_t next_version = version_ + 1;
    bool changed = version_ == origin_;
    for (const auto& [id, entry] : entries) {
        versioned_change& known = changes_[id];
        if (!known.entry || !equal(*known.entry, entry)) {
            known = {entry, next_version};
            changed = true;
        }
    }
    for (auto& [id, known] : changes_) {
        if (known.entry && entries.count(id) == 0) {
            known = {std::nullopt, next_version};
            changed = true;
        }
    }
    store_position_ = store_position;
    if (changed) {
        version_ = next_version;
        forget_old_removals();
    }
    return changed;
}

void list_feed::forget_old_removals() {
    std::vector<std::pair<std::uint64_t, base::upstream_id>> removals;
    for (const auto& [id, known] : changes_) {
        if (!known.entry) {
            removals.emplace_back(known.version, id);
        }
    }
    if (removals.size() <= max_removals) {
        return;
    }
    std::sort(removals.begin(), removals.end());
    removals.resize(removals.size() - max_removals);
    for (const auto& [version, id] : removals) {
        forgotten_version_ = std::max(forgotten_version_, version);
        changes_.erase(id);
    }
}

void list_feed::record_report(const base::vm_id& reporter, std::uint64_t version) {
    reporter_state& state = reporters_[reporter];
    if (version > state.confirmed_version) {
        state.unconfirmed_repeats = 0;
    }
    // A router that has started again has no version, and one that has not noticed that this process is new
    // has the version of an earlier one.
    state.confirmed_version = version > origin_ && version <= version_ ? version : 0;
    if (state.confirmed_version > state.sent_version) {
        state.sent_version = state.confirmed_version;
    }
}

std::vector<decision::upstream_list_update> list_feed::updates_for(const base::vm_id& reporter,
                                                                   base::time_point now) {
    const auto found = reporters_.find(reporter);
    if (found == reporters_.end() || version_ == origin_) {
        return {};
    }
    reporter_state& state = found->second;
    const bool silent = state.unconfirmed_repeats >= max_quick_repeats;
    const bool repeat = state.confirmed_version < state.sent_version &&
                        now - state.sent_at >= (silent ? silent_repeat_time : repeat_time);
    const std::uint64_t base_version = repeat ? state.confirmed_version : state.sent_version;
    if (base_version == version_ || (silent && !repeat)) {
        return {};
    }
    state.unconfirmed_repeats += repeat ? 1 : 0;
    state.sent_version = version_;
    state.sent_at = now;
    return make_updates(base_version < forgotten_version_ ? 0 : base_version);
}

std::vector<decision::upstream_list_update> list_feed::make_updates(std::uint64_t base_version) const {
    std::vector<decision::upstream_list_update> updates(1);
    std::size_t bytes = 0;
    for (const auto& [id, known] : changes_) {
        const bool needed = base_version == 0 ? known.entry.has_value() : known.version > base_version;
        if (!needed) {
            continue;
        }
        upstream_change change{id, known.entry};
        const std::size_t size = estimated_bytes(change);
        if (bytes + size > max_part_bytes) {
            updates.emplace_back();
            bytes = 0;
        }
        bytes += size;
        updates.back().changes.push_back(std::move(change));
    }
    for (std::size_t i = 0; i < updates.size(); ++i) {
        updates[i].base_version = base_version;
        updates[i].version = version_;
        updates[i].part = static_cast<std::uint32_t>(i);
        updates[i].parts = static_cast<std::uint32_t>(updates.size());
        updates[i].store_position = store_position_;
    }
    return updates;
}

std::optional<received_list_change> list_replica::receive(const base::vm_id& from,
                                                          base::incarnation incarnation,
                                                          const decision::upstream_list_update& update) {
    if (from == source_.first && incarnation < source_.second) {
        return std::nullopt;
    }
    if (source_ != std::make_pair(from, incarnation)) {
        source_ = {from, incarnation};
        version_ = 0;
        partial_ = {};
    }
    // Changes since an older version than this router's contain what it has, and are harmless.
    const bool follows_on = update.base_version <= version_ && update.version > version_;
    if (!follows_on) {
        return std::nullopt;
    }
    if (partial_.base_version != update.base_version || partial_.version != update.version ||
        partial_.parts != update.parts) {
        if (update.version < partial_.version) {
            return std::nullopt;
        }
        partial_ = {update.base_version, update.version, update.parts, {}};
    }
    partial_.received[update.part] = update.changes;
    if (partial_.received.size() < partial_.parts) {
        return std::nullopt;
    }
    received_list_change complete{update.base_version == 0, update.store_position, {}};
    for (const auto& [part, changes] : partial_.received) {
        complete.changes.insert(complete.changes.end(), changes.begin(), changes.end());
    }
    version_ = update.version;
    partial_ = {};
    return complete;
}

} // namespace bluebell::dispatch
