#include "dispatch/roster.h"

#include <iterator>
#include <set>
#include <utility>

namespace bluebell::dispatch {

void roster::replace(std::vector<upstream_entry> entries, bool after_outage, base::time_point now) {
    if (after_outage) {
        grace_end_ = now + reentry_time;
    }
    std::set<base::upstream_id> listed;
    for (upstream_entry& entry : entries) {
        const base::upstream_id id = entry.id;
        listed.insert(id);
        missing_until_.erase(id);
        store(std::move(entry));
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (listed.count(entry->first) != 0) {
            ++entry;
        } else if (now < grace_end_) {
            missing_until_.emplace(entry->first, grace_end_);
            ++entry;
        } else {
            missing_until_.erase(entry->first);
            entry = entries_.erase(entry);
        }
    }
    rebuild_ready();
}

void roster::apply(const std::vector<upstream_change>& changes, base::time_point now) {
    for (const upstream_change& change : changes) {
        if (change.entry) {
            missing_until_.erase(change.id);
            store(*change.entry);
        } else if (now < grace_end_ && entries_.count(change.id) != 0) {
            missing_until_.emplace(change.id, grace_end_);
        } else {
            entries_.erase(change.id);
            missing_until_.erase(change.id);
        }
    }
    rebuild_ready();
}

bool roster::mark_leaving(const base::upstream_id& upstream, std::int64_t started_ms) {
    const auto [marked, added] = leaving_.try_emplace(upstream, started_ms);
    if (!added && marked->second >= started_ms) {
        return false;
    }
    marked->second = started_ms;
    const auto entry = entries_.find(upstream);
    if (entry != entries_.end() && entry->second.started_ms == started_ms) {
        entry->second.phase = upstream_phase::draining;
        rebuild_ready();
    }
    return true;
}

/// Adds or replaces an entry.
void roster::store(upstream_entry entry) {
    const auto marked = leaving_.find(entry.id);
    if (marked != leaving_.end() && marked->second == entry.started_ms) {
        entry.phase = upstream_phase::draining;
    } else if (marked != leaving_.end() && marked->second < entry.started_ms) {
        leaving_.erase(marked);
    }
    entries_[entry.id] = std::move(entry);
}

bool roster::expire(base::time_point now) {
    bool dropped = false;
    for (auto lapsed = missing_until_.begin(); lapsed != missing_until_.end();) {
        if (now < lapsed->second) {
            ++lapsed;
            continue;
        }
        entries_.erase(lapsed->first);
        lapsed = missing_until_.erase(lapsed);
        dropped = true;
    }
    if (dropped) {
        rebuild_ready();
    }
    return dropped;
}

const std::vector<base::upstream_id>& roster::ready(const base::pool_id& pool) const {
    static const std::vector<base::upstream_id> none;
    const auto found = ready_.find(pool);
    return found == ready_.end() ? none : found->second;
}

const upstream_entry* roster::find(const base::upstream_id& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void roster::rebuild_ready() {
    ready_.clear();
    for (const auto& [id, entry] : entries_) {
        if (entry.phase == upstream_phase::ready) {
            ready_[entry.pool].push_back(id);
        }
    }
}

} // namespace bluebell::dispatch
