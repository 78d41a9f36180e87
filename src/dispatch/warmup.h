#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"
#include "dispatch/catalogue.h"
#include "dispatch/roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace bluebell::dispatch {

/// Requests that an upstream may get for one of this route: the request, and before a resumable stream the
/// question for the start time of the process.
std::uint32_t upstream_requests(const route& matched);

/// Upstreams that are cold, and when this router may send each of them a request.
///
/// A cold upstream takes few requests from all routers together. Time is divided into turns, and each turn of
/// an upstream belongs to one router, chosen by rendezvous hashing of the upstream and the number of the turn
/// over the routers; that router may send one request in it. No message is needed, and routers that disagree
/// on few members rarely take the same turn. Before a resumable stream, the relay may ask the upstream for
/// its start time, which counts as a request too; in pools with such routes, turns are twice as long and
/// worth two requests. Only pools with a warm-up rate are concerned; upstreams of others are never cold.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class warmup_limits {
public:
    /// Share of the bound that turns use at most; the rest covers routers that disagree on members or time.
    static constexpr double max_bound_share = 0.6;
    /// A router that is neither listed nor live keeps its turns for this long, so that the halves of a
    /// divided fleet do not take the same ones.
    static constexpr base::duration router_memory = std::chrono::seconds(30);
    /// Time after the first list of routers, or after a growth by more than `max_growth`, during which
    /// nothing is sent to cold upstreams: a router that knows only a part of the fleet would take turns of
    /// others. Routers that start together enter the list within a second, and gossip reaches all of them in
    /// another.
    static constexpr base::duration settle_time = std::chrono::seconds(2);
    static constexpr double max_growth = 1.1;
    /// An entry that states no coldness ends one that was found by other means only if it is received this
    /// much later; an earlier one may have been written before.
    static constexpr base::duration entry_delay = std::chrono::seconds(1);
    /// How long the upstreams of a data centre are cold after its evacuation, at most. Entries may show the
    /// coldness that arose meanwhile only later.
    static constexpr base::duration return_time = std::chrono::seconds(2);
    /// How long the start time of an upstream that is not listed any more is remembered.
    static constexpr base::duration unlisted_memory = std::chrono::minutes(10);

    /// `self` is this router, `unix_time` the time since the epoch at `now`. Only the differences between the
    /// routers' clocks matter.
    warmup_limits(base::vm_id self, base::duration unix_time, base::time_point now);

    /// Sets the bound on the requests that a cold upstream gets in one second: its rate times `overshoot`,
    /// and `slack` besides.
    void set_bounds(double overshoot, double slack);
    /// Takes the warm-up times and rates of the pools.
    void set_catalogue(const catalogue& current, base::time_point now);
    /// Takes the routers that are listed or live; `list_read` is set once the list was read. To be called at
    /// least every few seconds.
    void set_routers(const std::vector<base::vm_id>& present, bool list_read, base::time_point now);
    /// Takes the whole list of upstreams. The first one makes cold what its entries state to be cold, and
    /// nothing else.
    void set_list(const std::vector<upstream_entry>& entries, base::time_point now);
    /// Takes changes of the list, which were written shortly before.
    void apply(const std::vector<upstream_change>& changes, base::time_point now);
    /// Records that an answer of the upstream stated that it is cold for `left`. Ignored if the list shows
    /// another start time.
    void record_statement(const base::upstream_id& upstream, std::int64_t started_ms, base::duration left,
                          base::time_point now);
    /// Records that a connection to the upstream failed or broke, so that its process may have started again.
    void record_connection_failure(const base::upstream_id& upstream, base::time_point now);
    /// Records that the evacuation of the data centre has ended.
    void data_centre_returned(const base::data_centre_id& data_centre, base::time_point now);
    /// Takes a report of a peer. Findings on other processes of an upstream are ignored.
    void receive_report(const decision::warmup_report& report, base::time_point now);
    /// Ends what is over. To be called every few ten milliseconds.
    void update(base::time_point now);

    /// What this router found by itself; empty if it has nothing to report.
    [[nodiscard]] decision::warmup_report own_report(base::time_point now) const;
    /// For a delegate: that and what its routers found, and what other delegates reported if `for_reporters`
    /// is set.
    [[nodiscard]] decision::warmup_report aggregated_report(bool for_reporters, base::time_point now) const;

    /// Returns true if the upstream is not cold, or if this router's turn leaves room for `requests`.
    [[nodiscard]] bool may_send(const base::upstream_id& upstream, std::uint32_t requests,
                                base::time_point now);
    /// Records that `requests` are sent to the upstream. Pre-condition: `may_send` was called for the same
    /// time.
    void record_sent(const base::upstream_id& upstream, std::uint32_t requests);

    /// Returns true if a pool has a warm-up rate, or an upstream still counts as cold.
    [[nodiscard]] bool active() const { return !pools_.empty() || cold_count_ > 0; }
    /// Returns true if the upstream was cold at the last update, or has become cold since.
    [[nodiscard]] bool cold(const base::upstream_id& upstream) const;
    /// Number of cold upstreams.
    [[nodiscard]] std::size_t cold_count() const { return cold_count_; }
    /// Number of routers among which the turns are divided.
    [[nodiscard]] std::size_t router_count() const { return routers_.size(); }
    /// Requests that were sent to cold upstreams.
    [[nodiscard]] std::uint64_t sent_count() const { return sent_count_; }
    /// How often a cold upstream was passed over since it was not this router's turn.
    [[nodiscard]] std::uint64_t skipped_count() const { return skipped_count_; }

private:
    /// Turns of the cold upstreams of a pool.
    struct pool_turns {
        base::duration warmup_time{};
        base::request_rate rate{};
        std::uint32_t requests_per_turn = 1;
        base::duration length{};
        /// Time from the start of a turn in which its request may be sent.
        base::duration send_window{};
    };
    struct upstream_state {
        base::pool_id pool;
        base::data_centre_id data_centre;
        std::int64_t started_ms = 0;
        /// When the entry was removed from the list; `max` while it is listed.
        base::time_point unlisted_at = base::time_point::max();
        /// Until when it is cold by its entry, by this router's findings, by those of routers that report to
        /// this one, by what a delegate passed on, and after an evacuation.
        base::time_point entry_until;
        base::time_point found_until;
        base::time_point reported_until;
        base::time_point forwarded_until;
        base::time_point returned_until;
        /// When this router, and when another one, last found it to be cold.
        base::time_point found_at;
        base::time_point reported_at;
        bool cold = false;
        std::uint64_t hash = 0;
        /// The last turn that was looked at, under which view of the routers, and whose it is.
        std::int64_t turn = -1;
        std::uint64_t view = 0;
        bool owned = false;
        /// Requests that were sent in it.
        std::uint32_t sent = 0;

        [[nodiscard]] base::time_point cold_until() const;
    };

    void set_turns();
    void record_entry(const upstream_entry& entry, bool change, base::time_point now);
    void record_removal(const base::upstream_id& upstream, base::time_point now);
    void record_finding(const base::upstream_id& id, upstream_state& state, base::duration left,
                        std::string_view reason, base::time_point now);
    void mark(const base::upstream_id& id, upstream_state& state, std::string_view reason,
              base::time_point now);
    void mark_warm(const base::upstream_id& id, upstream_state& state);
    [[nodiscard]] const pool_turns* turns_of(const upstream_state& state) const;
    [[nodiscard]] bool owns_turn(const upstream_state& state) const;

    const base::vm_id self_;
    const base::duration unix_time_;
    const base::time_point started_at_;
    double overshoot_ = 1;
    double slack_ = 0;
    std::map<base::pool_id, pool_turns> pools_;
    std::map<base::upstream_id, upstream_state> upstreams_;
    bool list_read_ = false;
    std::size_t cold_count_ = 0;
    /// Last time at which each router was listed or live.
    std::map<base::vm_id, base::time_point> present_at_;
    /// The others among which the turns are divided, and this router.
    std::vector<base::vm_id> routers_;
    std::uint64_t view_ = 0;
    base::time_point settled_at_ = base::time_point::max();
    std::uint64_t sent_count_ = 0;
    std::uint64_t skipped_count_ = 0;
};

} // namespace bluebell::dispatch
