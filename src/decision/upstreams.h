#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"

#include <cstdint>
#include <optional>

namespace bluebell::decision {

/// Phase of an upstream; only a ready one gets new work.
enum class upstream_phase { ready, draining };

/// Entry of one upstream in the list of upstreams.
struct upstream_entry {
    base::upstream_id id;
    base::pool_id pool;
    endpoint address;
    base::data_centre_id data_centre;
    base::slot_count slots{1};
    upstream_phase phase = upstream_phase::ready;
    /// Start time of the upstream process in ms; distinguishes a restarted upstream, which may keep its id,
    /// from the earlier process.
    std::int64_t started_ms = 0;
    /// Software of the upstream process; empty if it is not known.
    base::software_version version;
    /// How much longer the upstream is cold, as of the writing of the entry; zero if it is warm.
    base::duration warmup_left{};
};

/// One change of the list of upstreams. `entry` is empty if the upstream is gone, or if its new entry is not
/// readable.
struct list_change {
    base::upstream_id id;
    std::optional<upstream_entry> entry;
};

} // namespace bluebell::decision
