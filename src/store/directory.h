#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/unit.h"
#include "dispatch/catalogue.h"
#include "dispatch/event.h"
#include "dispatch/roster.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace bluebell::store {

/// Version of all objects of one kind; changes after a position can be awaited.
using position = base::quantity<struct position_tag, std::uint64_t>;

/// Result of reading the configuration, current at `as_of`.
struct catalogue_reading {
    position as_of;
    /// Null if there is no configuration yet, or if it has not changed during a wait.
    dispatch::catalogue_ptr catalogue;
};

/// The whole list of upstreams at `as_of`.
struct roster_reading {
    position as_of;
    std::vector<dispatch::upstream_entry> entries;
};

/// Changes to the list of upstreams up to `as_of`.
struct roster_changes {
    position as_of;
    std::vector<dispatch::upstream_change> changes;
};

/// Origins of streams that the routers have added to the store, in numbered batches of which the oldest are
/// replaced.
struct stored_streams {
    /// Number of the batch that comes next.
    std::uint64_t next_batch = 0;
    std::vector<decision::begun_stream> streams;
};

/// The evacuated data centres at `as_of`.
struct evacuations_reading {
    position as_of;
    std::set<base::data_centre_id> data_centres;
    /// Names of the objects that could not be read otherwise, empty if the name cannot be read either. They
    /// neither evacuate a data centre nor end an evacuation.
    std::vector<std::string> unreadable;
};

/// Changes to the evacuated data centres up to `as_of`.
struct evacuations_changes {
    position as_of;
    /// Data centres that were evacuated in between, whether or not they still are.
    std::set<base::data_centre_id> added;
    /// Any object was added, changed or removed.
    bool changed = false;
};

/// Access of the routers to the platform's store. Every call may block up to its time limit.
///
/// Errors of every call: `store_unavailable` and `store_rate_limited` (the call had no effect),
/// `store_answer_lost`, `store_malformed`. The waiting calls may also fail with `store_history_lost`; all
/// objects of the kind must then be read again.
/// Thread safety: each worker has a directory of its own; `interrupt` may be called from any thread.
class directory {
public:
    directory() = default;
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = delete;
    directory& operator=(directory&&) = delete;
    virtual ~directory() = default;

    /// Reads the configuration. The answer may be seconds old unless `exact` is set, but costs the store less
    /// then; `exact` has the same meaning in the other calls.
    virtual base::result<catalogue_reading> read_catalogue(bool exact) = 0;
    /// Returns at the first change after `from`, or without a change after `wait`.
    virtual base::result<catalogue_reading> await_catalogue(position from, base::duration wait) = 0;
    /// Reads the whole list of upstreams.
    virtual base::result<roster_reading> read_upstreams(bool exact) = 0;
    /// Returns at the first changes after `from`, or without a change after `wait`.
    virtual base::result<roster_changes> await_upstreams(position from, base::duration wait) = 0;
    /// Reads the entries of all routers.
    virtual base::result<std::vector<decision::vm_entry>> read_routers(bool exact) = 0;
    /// Adds the entry of this router, or replaces it.
    virtual base::result<void> announce_router(const decision::vm_entry& self) = 0;
    /// Reads the origins of streams that are in the store. How long each may still be resumed counts from
    /// when it was written, so that the result states rather too much.
    virtual base::result<stored_streams> read_streams() = 0;
    /// Adds a batch of origins, which replaces an old one.
    virtual base::result<void> write_streams(std::uint64_t batch,
                                             const std::vector<decision::begun_stream>& streams) = 0;
    /// Reads the evacuated data centres.
    virtual base::result<evacuations_reading> read_evacuations(bool exact) = 0;
    /// Returns at the first changes after `from`, or without a change after `wait`.
    virtual base::result<evacuations_changes> await_evacuations(position from, base::duration wait) = 0;
    /// Makes calls over connections that are opened later fail within 3 s after the other side has fallen
    /// silent, however long they may wait for a change. To be called by the thread of the worker.
    virtual void detect_silent_connections() = 0;
    /// Makes the call in progress and all later ones fail at once.
    virtual void interrupt() = 0;
};

} // namespace bluebell::store
