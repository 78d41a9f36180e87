#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::dispatch {

enum class upstream_phase { ready, draining };

/// What an upstream says of itself.
struct upstream_entry {
    base::upstream_id id;
    base::pool_id pool;
    decision::endpoint address;
    base::data_centre_id data_centre;
    base::slot_count slots{1};
    upstream_phase phase = upstream_phase::ready;
    /// Start of the process; an upstream that starts again may keep its id.
    std::int64_t started_ms = 0;
};

/// One change of the list of upstreams; empty `entry` means that the upstream is gone, or that what stands
/// in its place cannot be read.
struct upstream_change {
    base::upstream_id id;
    std::optional<upstream_entry> entry;
};

/// The upstreams that may be given work, from entries that lapse while their store is away.
///
/// An entry that is missing after an outage of the store is kept for `return_time` after the store is back,
/// since a live upstream needs that long to enter itself again.
/// Thread safety: used by one thread.
class roster {
public:
    static constexpr base::duration reentry_time = std::chrono::seconds(2);

    /// Replaces the whole list. `after_outage` is set if the store did not answer for a while before.
    void replace(std::vector<upstream_entry> entries, bool after_outage, base::time_point now);
    void apply(const std::vector<upstream_change>& changes, base::time_point now);
    /// Drops entries whose time to come back is over. Returns true if any was dropped.
    bool expire(base::time_point now);

    [[nodiscard]] const std::map<base::upstream_id, upstream_entry>& entries() const { return entries_; }
    /// Upstreams of a pool that take new work.
    [[nodiscard]] const std::vector<base::upstream_id>& ready(const base::pool_id& pool) const;
    [[nodiscard]] const upstream_entry* find(const base::upstream_id& id) const;

private:
    void rebuild_ready();

    std::map<base::upstream_id, upstream_entry> entries_;
    /// Entries that are missing since an outage, and until when they are kept.
    std::map<base::upstream_id, base::time_point> missing_until_;
    /// Removals before this time may be due to the outage.
    base::time_point grace_end_;
    std::map<base::pool_id, std::vector<base::upstream_id>> ready_;
};

} // namespace bluebell::dispatch
