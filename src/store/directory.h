#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/unit.h"
#include "dispatch/catalogue.h"
#include "dispatch/event.h"
#include "dispatch/roster.h"

#include <vector>

namespace bluebell::store {

/// Version of a whole kind of objects, from which changes can be awaited.
using position = base::quantity<struct position_tag, std::uint64_t>;

struct catalogue_reading {
    position at;
    /// Null if there is no configuration yet, or if it has not changed.
    dispatch::catalogue_ptr value;
};

struct roster_reading {
    position at;
    std::vector<dispatch::upstream_entry> entries;
};

struct roster_changes {
    position at;
    std::vector<dispatch::upstream_change> changes;
};

/// What the routers read from and write to the platform's store. Every call may block up to its time limit.
///
/// Errors of every call: `store_unavailable` and `store_rate_limited` (nothing was done),
/// `store_answer_lost`, `store_malformed`; of the waiting ones also `store_history_lost`, after which the
/// whole kind has to be read again.
/// Thread safety: each worker has a directory of its own; `interrupt` may be called from any thread.
class directory {
public:
    directory() = default;
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = delete;
    directory& operator=(directory&&) = delete;
    virtual ~directory() = default;

    /// An answer that is not `exact` may be seconds old and costs less; the same for the other lists.
    virtual base::result<catalogue_reading> read_catalogue(bool exact) = 0;
    /// Returns at the first change after `from`, or unchanged after `wait`.
    virtual base::result<catalogue_reading> await_catalogue(position from, base::duration wait) = 0;
    virtual base::result<roster_reading> read_upstreams(bool exact) = 0;
    virtual base::result<roster_changes> await_upstreams(position from, base::duration wait) = 0;
    virtual base::result<std::vector<decision::vm_entry>> read_routers(bool exact) = 0;
    /// Enters this router, or replaces its entry.
    virtual base::result<void> announce_router(const decision::vm_entry& self) = 0;
    /// Ends a call in progress and all later ones.
    virtual void interrupt() = 0;
};

} // namespace bluebell::store
