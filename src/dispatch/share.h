#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebell::dispatch {

/// Max-min fair shares of the engines' throughput among client accounts over the whole fleet.
///
/// Every router counts what it served and was asked for, with exponential forgetting, and tells the others.
/// The level is the service at which capacity is used up if every account gets the lesser of what it asks
/// and the level. Accounts above it have to leave room for the others.
/// Thread safety: used by one thread.
class fair_share {
public:
    /// Time constant of forgetting; half of the window over which the operator judges fairness.
    static constexpr base::duration decay_time = std::chrono::seconds(2);
    /// A peer's report is dropped after this silence.
    static constexpr base::duration report_timeout = std::chrono::seconds(2);

    void record_request(const base::client_account_id& account, base::cost amount, base::time_point now);
    void record_service(const base::client_account_id& account, base::cost amount, base::time_point now);
    void receive_report(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                 base::time_point now);
    void drop_peer(const base::vm_id& peer);
    /// This router's part, for the peers.
    [[nodiscard]] std::vector<decision::account_work> own_work(base::time_point now);

    /// The fleet's part less that of `without`.
    [[nodiscard]] std::vector<decision::account_work> aggregated_work(const std::set<base::vm_id>& without,
                                                             base::time_point now);

    /// Brings the level up to date; to be called every few ten milliseconds.
    void update(base::time_point now);
    /// Fleet service of the account over its fair level: below one it is owed service, above it is ahead.
    /// Zero while capacity suffices for all.
    [[nodiscard]] double relative_service(const base::client_account_id& account) const;
    /// What was asked over what was served; above one the engines are overloaded.
    [[nodiscard]] double pressure() const { return pressure_; }

private:
    /// Amounts are kept as if they had been seen at `origin_`, so that forgetting takes no work.
    struct rate {
        double served = 0;
        double requested = 0;
    };
    using rates = std::map<base::client_account_id, rate>;
    struct peer_report {
        rates accounts;
        base::time_point received_at;
    };
    /// What an amount of one is worth at `origin_` if it is seen now.
    [[nodiscard]] double weight(base::time_point now) const;
    void rebase(base::time_point now);
    void subtract_from_fleet(const rates& accounts);

    std::optional<base::time_point> origin_;
    rates own_;
    std::map<base::vm_id, peer_report> peers_;
    /// Sums over the fleet.
    rates fleet_;
    double fair_level_ = 0;
    double pressure_ = 1;
};

} // namespace bluebell::dispatch
