#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/upstreams.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bluebell::dispatch {

using upstream_change = decision::list_change;
using decision::upstream_entry;
using decision::upstream_phase;

/// List of the upstreams that the store shows. Their entries in the store expire during an outage of the
/// store.
///
/// An entry that is missing after an outage is kept for `reentry_time` after the store is back, since a live
/// upstream needs that long to register itself again.
/// Thread safety: used by one thread.
class roster {
public:
    /// How long after an outage missing entries are kept.
    static constexpr base::duration reentry_time = std::chrono::seconds(2);

    /// Replaces the whole list. `after_outage` is set if the store did not answer for a while before this
    /// list.
    void replace(std::vector<upstream_entry> entries, bool after_outage, base::time_point now);
    /// Applies changes in order. Upstreams removed soon after an outage are kept as in `replace`.
    void apply(const std::vector<upstream_change>& changes, base::time_point now);
    /// Marks an upstream as draining for as long as this process of it runs, whatever phase its entry shows.
    /// Returns false if it is marked already.
    bool mark_leaving(const base::upstream_id& upstream, std::int64_t started_ms);
    /// Drops missing entries whose `reentry_time` is over. Returns true if any was dropped.
    bool expire(base::time_point now);

    /// Upstreams of all phases, including missing ones that are still kept.
    [[nodiscard]] const std::map<base::upstream_id, upstream_entry>& entries() const { return entries_; }
    /// Upstreams of a pool that take new work, in order of their ids.
    [[nodiscard]] const std::vector<base::upstream_id>& ready(const base::pool_id& pool) const;
    /// Returns the entry of an upstream; null if it is not listed.
    [[nodiscard]] const upstream_entry* find(const base::upstream_id& id) const;

private:
    void store(upstream_entry entry);
    void rebuild_ready();

    std::map<base::upstream_id, upstream_entry> entries_;
    /// Upstreams that are missing since an outage, and until when their entries are kept.
    std::map<base::upstream_id, base::time_point> missing_until_;
    /// Start times of the upstreams that said that they leave. Kept while an entry is missing, since it may
    /// appear again.
    std::map<base::upstream_id, std::int64_t> leaving_;
    /// Removals before this time may be caused by the outage.
    base::time_point grace_end_;
    std::map<base::pool_id, std::vector<base::upstream_id>> ready_;
};

} // namespace bluebell::dispatch
