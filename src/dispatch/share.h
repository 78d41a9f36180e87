#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/message.h"
#include "dispatch/admission.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebell::dispatch {

/// The account that is served worst, measured by its share: what it was served over the lesser of what it
/// requested and what the best served account got. Costs are decayed sums over the fleet.
struct worst_served_account {
    base::client_account_id account;
    base::cost served;
    base::cost requested;
    /// The account that was served most, and its service.
    base::client_account_id best_served;
    base::cost greatest_service;
    double share = 1;
};

/// Service that decisions compare that of an account with, as decayed costs. Infinite while the capacity
/// suffices for all.
struct service_levels {
    /// Level at which the accounts use up what the fleet serves.
    base::cost fair;
    /// Level at which they would use up the throughput that the operator states; zero if that is unknown.
    base::cost stated;
    /// Service to which accounts beyond it are held.
    base::cost bound;
};

/// Max-min fair shares of the engines' throughput among client accounts over the whole fleet.
///
/// Every router counts the cost that each account requested and was served, with exponential decay, and
/// reports it to the others. The fair level is the service at which the capacity is used up if every account
/// gets what it requests, but no more than the level. Accounts above it have to leave capacity to the others.
/// Thread safety: used by one thread.
class fair_share {
public:
    /// Time constant of the decay; half of the window over which the operator evaluates fairness.
    static constexpr base::duration decay_time = std::chrono::seconds(2);
    /// Time constant of the requested costs that admission depends on. Shorter, since admission has to follow
    /// a flood before it has filled the engines.
    static constexpr base::duration recent_decay_time = std::chrono::milliseconds(500);
    /// Samples of what accounts request, and the time between two. Their span is about the age of the reports
    /// of a large fleet: callers that move to another router count at both for that long.
    static constexpr std::size_t demand_samples = 4;
    static constexpr base::duration demand_sample_interval = std::chrono::milliseconds(100);
    /// The report of a peer that has been silent for longer than this is dropped.
    static constexpr base::duration report_timeout = std::chrono::seconds(2);

    /// Least service of a backlogged account that other accounts may cause, as a share of what is due to it:
    /// the lesser of what it requests and what the best served account gets.
    static constexpr double min_service_ratio = 0.7;
    /// Service from which on an account that was below `min_service_ratio` has caught up. Higher, so that the
    /// others are held steadily and not by turns.
    static constexpr double caught_up_ratio = 0.8;
    /// How long an account may stay below `min_service_ratio` before the others are held back; requests wait
    /// that long for room.
    static constexpr base::duration catch_up_time = std::chrono::milliseconds(300);

    /// Sets the throughput of all engines that the operator states, in tokens per second. Zero if unknown.
    void set_stated_throughput(double tokens_per_s) { stated_throughput_ = tokens_per_s; }

    /// Counts a request of the account, whether or not it is served.
    void record_request(const base::client_account_id& account, base::cost amount, base::time_point now);
    /// Counts the return of a refused caller, whose request was counted before.
    void record_return(const base::client_account_id& account, base::cost amount, base::time_point now);
    /// Counts service that this router gave to the account.
    void record_service(const base::client_account_id& account, base::cost amount, base::time_point now);
    /// Takes back service that this router counted at `counted_at`, since the request did not run.
    void withdraw_service(const base::client_account_id& account, base::cost amount,
                          base::time_point counted_at, base::time_point now);
    /// Takes a report of a peer. For each account that it names, it replaces what the peer reported before.
    /// `near` is true if it is on the work of this data centre.
    void receive_report(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                        base::time_point now, bool near = true);
    /// Removes what a peer reported.
    void drop_peer(const base::vm_id& peer);
    /// Requested and served cost at this router, for its reports.
    [[nodiscard]] std::vector<decision::account_work> own_work(base::time_point now);
    /// Requested and served cost in the fleet less what the routers of `without` reported, of the accounts in
    /// `only` unless that is null.
    [[nodiscard]] std::vector<decision::account_work>
    aggregated_work(const std::set<base::vm_id>& without, base::time_point now,
                    const std::set<base::client_account_id>* only = nullptr);

    /// Sets the number of routers: the more there are, the smaller a change at one of them has to be
    /// reported.
    void set_fleet_size(std::size_t routers) { fleet_size_ = std::max<std::size_t>(routers, 1); }
    /// Returns true if the costs of an account have changed so much since they were last reported that other
    /// routers should not wait for the next report: those of this router, or for a delegate those of the
    /// fleet.
    [[nodiscard]] bool has_news(bool delegate) const {
        return delegate ? !fleet_changes_.empty() : !own_changes_.empty();
    }
    /// Returns true if a change is so large that it is probably the beginning of a flood.
    [[nodiscard]] bool has_urgent_news(bool delegate) const {
        return delegate ? urgent_fleet_change_ : urgent_own_change_;
    }
    /// Requested and served cost at this router of the accounts that have changed so much.
    [[nodiscard]] std::vector<decision::account_work> take_own_news(base::time_point now);
    /// The accounts whose costs in the fleet have changed so much; true for those that changed in this data
    /// centre.
    [[nodiscard]] std::map<base::client_account_id, bool> take_fleet_changes(base::time_point now);
    /// Records that the costs of all accounts in the fleet are reported.
    void record_forwarded(base::time_point now);

    /// Drops reports of silent peers and recomputes fair level and pressure. To be called every few ten
    /// milliseconds.
    void update(base::time_point now);
    /// Service of the account in the fleet divided by the fair level: below one the account got less than
    /// its fair share, above one more. Zero while the capacity suffices for all.
    [[nodiscard]] double relative_service(const base::client_account_id& account) const;
    /// Returns true if the account got so much more than a backlogged one that it gets no room for repeats.
    [[nodiscard]] bool exceeds_service_bound(const base::client_account_id& account) const;
    /// Shares of the requests to admit; null if all are admitted. Accounts that request more than a common
    /// level are held to it, and those that got so much more than a backlogged one, to the service bound,
    /// even where engines have room: what holds the other account back may be its routers. `engine_load` is
    /// the load of the engines, one where they have no room. If `by_room` is set, the service bound is raised
    /// while engines have room (`service_bound_relief`).
    [[nodiscard]] admission_table_ptr admission(double engine_load, base::time_point now,
                                                bool by_room = false) const;
    /// Requested cost divided by served cost; above one the engines are overloaded.
    [[nodiscard]] double pressure() const { return pressure_; }
    /// Returns true if the capacity does not suffice for what all accounts request.
    [[nodiscard]] bool overloaded() const;
    /// Returns the account with the least share, for logs; empty if there is no account.
    [[nodiscard]] std::optional<worst_served_account> worst_served(base::time_point now) const;

    /// Levels of the last `update`, for logs.
    [[nodiscard]] service_levels levels(base::time_point now) const;

    /// Age of the oldest report of a peer that the sums contain; in a fleet with delegates, of the last
    /// answer of the delegate. Empty if they contain none.
    [[nodiscard]] std::optional<base::duration> oldest_report_age(base::time_point now) const;

private:
    /// Costs, multiplied by `weight` of the time at which they were counted. Sums decay this way without any
    /// work.
    struct rate {
        double served = 0;
        double requested = 0;
        /// At this router, multiplied by `recent_weight`; at peers by `weight`, since they would decay
        /// between two reports otherwise.
        double recently_requested = 0;
    };
    /// Costs as they were last reported, without weight.
    struct reported_costs {
        double served = 0;
        double recently_requested = 0;
    };
    /// Costs at this router.
    struct own_rate : rate {
        reported_costs reported;
    };
    /// Costs in the fleet.
    struct fleet_rate : rate {
        reported_costs reported;
        /// Recently requested costs at the times of `sampled_at_`, without weight.
        std::array<double, demand_samples> earlier_requested{};
    };
    using rates = std::map<base::client_account_id, rate>;
    struct peer_report {
        rates accounts;
        base::time_point received_at;
    };
    /// Factor by which a cost counted at `now` outweighs one counted at `origin_`.
    [[nodiscard]] double weight(base::time_point now) const;
    /// The same for recently requested costs.
    [[nodiscard]] double recent_weight(base::time_point now) const;
    /// Recently requested cost of the account at this router.
    [[nodiscard]] double own_recent_requests(const base::client_account_id& account,
                                             base::time_point now) const;
    /// Recently requested cost of the account in the fleet.
    [[nodiscard]] double fleet_recent_requests(const base::client_account_id& account, const rate& sums,
                                               base::time_point now) const;
    /// Samples what is requested in the fleet, for `demand`.
    void sample_requests(base::time_point now);
    /// Recently requested cost of the account, or what it would be if the account had always requested as
    /// much as since the oldest sample, whichever is more. So a flood shows in full while its decayed costs
    /// still grow.
    [[nodiscard]] double demand(const base::client_account_id& account, const fleet_rate& sums,
                                base::time_point now) const;
    void rebase(base::time_point now);
    /// Adds the account to the changes that are reported at once if its costs have changed enough. `own` is
    /// true if they changed at this router, `near` if in this data centre.
    void track_change(const base::client_account_id& account, bool own, bool near, base::time_point now);
    [[nodiscard]] reported_costs own_costs(const base::client_account_id& account,
                                           base::time_point now) const;
    [[nodiscard]] reported_costs fleet_costs(const base::client_account_id& account, const rate& sums,
                                             base::time_point now) const;
    void subtract_from_fleet(const rates& accounts);
    /// Accounts that request a good part of the fair level or more and are below `min_service_ratio` of what
    /// is due to them since `catch_up_time` hold back the others, which are left `guaranteed` in any case.
    /// Returns the least service of such an account; infinite if there is none.
    [[nodiscard]] double find_least_service(double guaranteed, base::time_point now);
    /// Service that the bound leaves the account; infinite unless it is near the bound or beyond.
    [[nodiscard]] double bounded_service(const rate& account) const;

    std::optional<base::time_point> origin_;
    std::map<base::client_account_id, own_rate> own_;
    /// Times of the samples; the next one replaces the oldest.
    std::array<std::optional<base::time_point>, demand_samples> sampled_at_;
    std::size_t oldest_sample_ = 0;
    std::map<base::vm_id, peer_report> peers_;
    /// Sums over this router and its peers; of recently requested costs over the peers alone.
    std::map<base::client_account_id, fleet_rate> fleet_;
    std::size_t fleet_size_ = 1;
    /// Change of the costs of an account in the fleet that is reported at once.
    double news_threshold_ = 0;
    std::set<base::client_account_id> own_changes_;
    /// True if the costs changed in this data centre.
    std::map<base::client_account_id, bool> fleet_changes_;
    /// One of the changes that are not reported yet is urgent.
    bool urgent_own_change_ = false;
    bool urgent_fleet_change_ = false;
    double stated_throughput_ = 0;
    double fair_level_ = 0;
    double stated_level_ = 0;
    double pressure_ = 1;
    /// Backlogged accounts whose service fell below `min_service_ratio` and has not caught up, with the time
    /// since when.
    std::map<base::client_account_id, base::time_point> behind_since_;
    /// Service to which accounts beyond it are held.
    double service_bound_ = std::numeric_limits<double>::infinity();
};

} // namespace bluebell::dispatch
