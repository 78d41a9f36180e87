#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"
#include "dispatch/roster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bluebell::dispatch {

/// The list of upstreams as a delegate passes it on to the routers that report to it.
///
/// The delegate numbers the changes of its list. Each report states the version that its sender has; the
/// delegate sends what came after it, and the whole list to a router that has none. An update that was sent
/// is repeated if reports do not confirm it for `repeat_time`. Thread safety: used by one thread.
class list_feed {
public:
    /// Time after which an update that is not confirmed is sent again. It covers a report, its way and the
    /// next report.
    static constexpr base::duration repeat_time = std::chrono::milliseconds(300);
    /// Routers that confirm nothing after this many repeats get the next one after `silent_repeat_time` only;
    /// they may run a version that does not know the message.
    static constexpr std::uint32_t max_quick_repeats = 4;
    static constexpr base::duration silent_repeat_time = std::chrono::seconds(5);

    /// Versions count from the number of this process, so that those of an earlier one are not taken for its
    /// own.
    explicit list_feed(base::incarnation process)
        : origin_(process.value()), version_(origin_), forgotten_version_(origin_) {}

    /// Takes the current list. Returns true if it differs from the one before.
    bool update(const std::map<base::upstream_id, upstream_entry>& entries, std::uint64_t store_position);
    /// Version of the list.
    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// Records the version that the report of a router states.
    void record_report(const base::vm_id& reporter, std::uint64_t version);
    /// Returns the messages that bring the router up to date; empty if it is, or if they are on their way.
    [[nodiscard]] std::vector<decision::upstream_list_update> updates_for(const base::vm_id& reporter,
                                                                          base::time_point now);
    /// Forgets the router.
    void remove_reporter(const base::vm_id& reporter) { reporters_.erase(reporter); }

private:
    /// Last state of an upstream; `entry` is empty if it is gone.
    struct versioned_change {
        std::optional<upstream_entry> entry;
        std::uint64_t version = 0;
    };
    struct reporter_state {
        std::uint64_t confirmed_version = 0;
        std::uint64_t sent_version = 0;
        base::time_point sent_at;
        std::uint32_t unconfirmed_repeats = 0;
    };
    [[nodiscard]] std::vector<decision::upstream_list_update> make_updates(std::uint64_t base_version) const;
    void forget_old_removals();

    const std::uint64_t origin_;
    std::map<base::upstream_id, versioned_change> changes_;
    std::uint64_t version_;
    /// Changes up to this version are not complete any more, since removals were forgotten.
    std::uint64_t forgotten_version_;
    std::uint64_t store_position_ = 0;
    std::map<base::vm_id, reporter_state> reporters_;
};

/// A change of the list that a router has received in full.
struct received_list_change {
    /// The changes are the whole list.
    bool whole_list = false;
    std::uint64_t store_position = 0;
    std::vector<upstream_change> changes;
};

/// The other end of a `list_feed`: puts the parts of updates together, in whatever order they arrive.
/// Thread safety: used by one thread.
class list_replica {
public:
    /// Takes an update of the delegate; `incarnation` is that of its process. Returns the changes to apply,
    /// once all parts of an update that follows on from the version of this router are there.
    [[nodiscard]] std::optional<received_list_change> receive(const base::vm_id& from,
                                                              base::incarnation incarnation,
                                                              const decision::upstream_list_update& update);
    /// Version of the list of this delegate that was applied; zero if none was.
    [[nodiscard]] std::uint64_t version(const base::vm_id& delegate) const {
        return delegate == source_.first ? version_ : 0;
    }

private:
    struct partial_update {
        std::uint64_t base_version = 0;
        std::uint64_t version = 0;
        std::uint32_t parts = 0;
        std::map<std::uint32_t, std::vector<upstream_change>> received;
    };

    std::pair<base::vm_id, base::incarnation> source_;
    std::uint64_t version_ = 0;
    partial_update partial_;
};

} // namespace bluebell::dispatch
