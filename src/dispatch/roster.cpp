#include "dispatch/roster.h"

#include <iterator>
#include <set>
#include <utility>

namespace bluebell::dispatch {

void roster::replace(std::vector<upstream_entry> entries, bool after_outage, base::time_point now) {
    if (after_outage) {
        grace_end_ = now + return_time;
    }
    std::set<base::upstream_id> listed;
    for (upstream_entry& entry : entries) {
        const base::upstream_id id = entry.id;
        listed.insert(id);
        lapsed_.erase(id);
        entries_[id] = std::move(entry);
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (listed.count(entry->first) != 0) {
            ++entry;
        } else if (now < grace_end_) {
            lapsed_.emplace(entry->first, grace_end_);
            ++entry;
        } else {
            lapsed_.erase(entry->first);
            entry = entries_.erase(entry);
        }
    }
    refresh();
}

void roster::apply(const std::vector<upstream_change>& changes, base::time_point now) {
    for (const upstream_change& change : changes) {
        if (change.entry) {
            lapsed_.erase(change.id);
            entries_[change.id] = *change.entry;
        } else if (now < grace_end_ && entries_.count(change.id) != 0) {
            lapsed_.emplace(change.id, grace_end_);
        } else {
            entries_.erase(change.id);
            lapsed_.erase(change.id);
        }
    }
    refresh();
}

bool roster::expire(base::time_point now) {
    bool dropped = false;
    for (auto lapsed = lapsed_.begin(); lapsed != lapsed_.end();) {
        if (now < lapsed->second) {
            ++lapsed;
            continue;
        }
        entries_.erase(lapsed->first);
        lapsed = lapsed_.erase(lapsed);
        dropped = true;
    }
    if (dropped) {
        refresh();
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

void roster::refresh() {
    ready_.clear();
    for (const auto& [id, entry] : entries_) {
        if (entry.phase == upstream_phase::ready) {
            ready_[entry.pool].push_back(id);
        }
    }
}

} // namespace bluebell::dispatch
