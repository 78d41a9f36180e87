#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/message.h"
#include "dispatch/roster.h"

#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace bluebell::dispatch {

/// Limits of their request rate that upstreams state, and this router's part of each.
///
/// A limit holds for all routers together. They tell each other the limits and how many requests each has for
/// a pool, and take parts in proportion to these, so that no round trip is needed. A router may send when its
/// part has grown to a whole request. What it does not use within `burst_time` expires; otherwise the routers
/// of a large fleet would save up a request each, together far more than the limit.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class request_limits {
public:
    /// Time constant of the decay of demands.
    static constexpr base::duration decay_time = std::chrono::seconds(2);
    /// The report of a peer that has been silent for longer than this is dropped.
    static constexpr base::duration report_timeout = std::chrono::seconds(2);
    /// Time for which an unused part of a limit is kept.
    static constexpr base::duration burst_time = std::chrono::seconds(1);
    /// A limit holds for at least this long after each statement. Answers on other connections that state
    /// none may be older.
    static constexpr base::duration hold_time = std::chrono::milliseconds(500);
    /// A limit ends without a further answer of the upstream after the time in which this many requests are
    /// due, within the bounds below.
    static constexpr double silent_requests = 3;
    static constexpr base::duration min_silence = std::chrono::seconds(3);
    static constexpr base::duration max_silence = std::chrono::seconds(15);

    explicit request_limits(std::uint64_t seed) : random_(seed) {}

    /// Sets the number of routers. Those that have not reported yet are taken to have an average demand.
    void set_fleet_size(std::size_t routers) { fleet_size_ = routers; }
    /// Takes the list of upstreams. Forgets the limits of those that are gone or have restarted.
    void set_roster(const roster& list);
    /// Counts a request for the pool.
    void record_request(const base::pool_id& pool, base::time_point now);
    /// Records that an answer of the upstream stated this limit, or none. Ignored if the roster lists another
    /// start time.
    void record_statement(const base::upstream_id& upstream, std::int64_t started_ms,
                          const std::optional<base::request_rate>& limit, base::time_point now);
    /// Takes a report of a peer.
    void receive_report(const base::vm_id& from, const decision::limit_report& report, base::time_point now);
    /// Removes what a peer reported of its demand.
    void drop_peer(const base::vm_id& peer);
    /// Ends limits that are not stated any more, drops reports of silent peers and divides the limits anew.
    /// To be called every few ten milliseconds.
    void update(base::time_point now);

    /// Number of limits in force; routers report only while there are any.
    [[nodiscard]] std::size_t count() const { return limits_.size(); }
    /// Limits in force and the demand at this router.
    [[nodiscard]] decision::limit_report own_report(base::time_point now) const;
    /// Limits in force and the demand in the fleet less what the routers of `without` reported.
    [[nodiscard]] decision::limit_report aggregated_report(const std::set<base::vm_id>& without,
                                                           base::time_point now) const;

    /// Returns true if this router may send a request to the upstream.
    [[nodiscard]] bool may_send(const base::upstream_id& upstream, base::time_point now);
    /// Records that a request is sent to the upstream.
    void record_sent(const base::upstream_id& upstream);

private:
    struct limit {
        base::request_rate rate;
        base::pool_id pool;
        std::int64_t started_ms = 0;
        base::time_point stated_at;
        /// When the limit ends if it is not stated again; set by an answer that states none.
        base::time_point ends_at = base::time_point::max();
        /// Rate at which this router may send.
        base::request_rate part;
        /// Requests that this router may send; counted up with time.
        double credit = 0;
        base::time_point credited_at;
    };
    struct peer_report {
        std::map<base::pool_id, double> demands;
        /// Number of routers whose demand is contained.
        std::uint32_t routers = 1;
        base::time_point received_at;
    };
    /// Number that decays exponentially since `at`.
    struct decaying_count {
        double value = 0;
        base::time_point at;

        [[nodiscard]] double value_at(base::time_point now) const;
    };
    /// Adds the limit, or renews it if `stated_at` is later than the last statement.
    void renew(const upstream_entry& upstream, base::request_rate rate, base::time_point stated_at,
               base::time_point now);
    void end_limit(std::map<base::upstream_id, limit>::iterator ended, base::time_point now);
    [[nodiscard]] double own_demand(const base::pool_id& pool, base::time_point now) const;
    /// This router's share of the requests for the pool.
    [[nodiscard]] double demand_share(const base::pool_id& pool, base::time_point now) const;
    [[nodiscard]] std::vector<decision::stated_limit> stated_limits(base::time_point now) const;
    void add_credit(limit& limited, base::time_point now) const;

    std::mt19937_64 random_;
    std::size_t fleet_size_ = 1;
    std::map<base::upstream_id, upstream_entry> entries_;
    std::map<base::upstream_id, limit> limits_;
    /// When limits of listed upstreams ended; reports on earlier statements are ignored.
    std::map<base::upstream_id, base::time_point> ended_at_;
    std::map<base::pool_id, decaying_count> demands_;
    std::map<base::vm_id, peer_report> peers_;
};

} // namespace bluebell::dispatch
