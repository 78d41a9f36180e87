#include "dispatch/share.h"

#include "dispatch/room.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <memory>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Pressure from which on the capacity counts as insufficient. Requests that are queued only briefly stay
/// below it.
constexpr double overload_pressure = 1.05;
/// Accounts whose decayed costs are below this many tokens are forgotten.
constexpr double negligible_tokens = 1;
/// Share of the stated throughput that is admitted however full the engines are, and of its part of that
/// throughput, or of the fair level if none is stated, that no account has to leave to others.
constexpr double guaranteed_share = 0.5;
/// Admitted requests, as a multiple of what the engines can serve. Above one, since some of those that are
/// admitted wait for their cached parts and are refused.
constexpr double admission_margin = 1.15;
/// Load below which engines are not assumed to have more room.
constexpr double min_engine_load = 0.3;
/// Accounts that request less than this share of the fair level do not hold others back.
constexpr double min_compared_share = 0.5;
/// Share of the bound up to which accounts may get whatever engines have room for, so that they catch up.
constexpr double unbounded_share = 0.8;
/// Share of the bound that accounts beyond it are left, however far they are ahead: what they got while the
/// others wanted less is not held against them for longer.
constexpr double least_bounded_share = 0.85;
/// Change of the costs of an account that is reported at once, as a share of what all accounts request or, if
/// that is more, of the stated throughput.
constexpr double news_share = 0.02;
/// A change of this many times that size is urgent.
constexpr double urgent_news_factor = 2;
/// Shortest time over which the demand of an account is estimated; over less, few requests would look like a
/// flood.
constexpr base::duration min_demand_span = std::chrono::milliseconds(100);
/// Weight at which the origin of time is moved: e^10, reached after 20 s.
constexpr double max_weight = 22026;

/// Service at which the accounts use up `capacity` if each gets what it requests, but no more than that;
/// infinite if they request less than the capacity. Pre-condition: `requested` is sorted.
double max_min_level(const std::vector<double>& requested, double capacity) {
    double remaining = capacity;
    for (std::size_t i = 0; i < requested.size(); ++i) {
        const double equal_share = remaining / static_cast<double>(requested.size() - i);
        if (requested[i] >= equal_share) {
            return equal_share;
        }
        remaining -= requested[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

double fair_share::weight(base::time_point now) const {
    return origin_ ? std::exp(std::chrono::duration<double>(now - *origin_).count() /
                              std::chrono::duration<double>(decay_time).count())
                   : 1;
}

double fair_share::recent_weight(base::time_point now) const {
    return origin_ ? std::exp(std::chrono::duration<double>(now - *origin_) / recent_decay_time) : 1;
}

/// Moves the origin of time to `now` when the weights would grow too large, and forgets accounts whose costs
/// have become negligible.
void fair_share::rebase(base::time_point now) {
    const double factor = weight(now);
    if (origin_ && factor < max_weight) {
        return;
    }
    const double recent_factor = recent_weight(now);
    origin_ = now;
    fair_level_ /= factor;
    stated_level_ /= factor;
    service_bound_ /= factor;
    for (auto& [account, sums] : fleet_) {
        static_cast<rate&>(sums) = {};
    }
    const auto rescale = [&](auto& accounts, double factor_of_recent) {
        for (auto entry = accounts.begin(); entry != accounts.end();) {
            rate& account_rate = entry->second;
            account_rate.served /= factor;
            account_rate.requested /= factor;
            account_rate.recently_requested /= factor_of_recent;
            if (account_rate.requested < negligible_tokens && account_rate.served < negligible_tokens) {
                entry = accounts.erase(entry);
                continue;
            }
            rate& sum = fleet_[entry->first];
            sum.served += account_rate.served;
            sum.requested += account_rate.requested;
            ++entry;
        }
    };
    rescale(own_, recent_factor);
    for (auto& [peer, report] : peers_) {
        rescale(report.accounts, factor);
        for (const auto& [account, account_rate] : report.accounts) {
            fleet_[account].recently_requested += account_rate.recently_requested;
        }
    }
    for (auto entry = fleet_.begin(); entry != fleet_.end();) {
        const bool forgotten = entry->second.served <= 0 && entry->second.requested <= 0;
        entry = forgotten ? fleet_.erase(entry) : std::next(entry);
    }
}

void fair_share::record_request(const base::client_account_id& account, base::cost amount,
                                base::time_point now) {
    rebase(now);
    const double added = amount.value() * weight(now);
    own_[account].requested += added;
    fleet_[account].requested += added;
    record_return(account, amount, now);
}

void fair_share::record_return(const base::client_account_id& account, base::cost amount,
                               base::time_point now) {
    rebase(now);
    // Makes the decayed costs of a constant load the same for both time constants.
    constexpr double scale =
        std::chrono::duration<double>(decay_time) / std::chrono::duration<double>(recent_decay_time);
    fleet_.try_emplace(account);
    own_[account].recently_requested += amount.value() * scale * recent_weight(now);
    track_change(account, true, true, now);
}

void fair_share::record_service(const base::client_account_id& account, base::cost amount,
                                base::time_point now) {
    rebase(now);
    const double added = amount.value() * weight(now);
    own_[account].served += added;
    fleet_[account].served += added;
    track_change(account, true, true, now);
}

void fair_share::withdraw_service(const base::client_account_id& account, base::cost amount,
                                  base::time_point counted_at, base::time_point now) {
    rebase(now);
    const double decay = std::exp(-std::chrono::duration<double>(now - counted_at) / decay_time);
    const double removed = std::min(amount.value() * decay * weight(now), own_[account].served);
    own_[account].served -= removed;
    fleet_[account].served = std::max(0.0, fleet_[account].served - removed);
}

void fair_share::receive_report(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                                base::time_point now, bool near) {
    rebase(now);
    peer_report& report = peers_[from];
    report.received_at = now;
    const double factor = weight(now);
    for (const decision::account_work& work : accounts) {
        rate& reported = report.accounts[work.account];
        subtract_from_fleet({{work.account, reported}});
        reported = {work.served.value() * factor, work.requested.value() * factor,
                    work.recently_requested.value() * factor};
        fleet_rate& sum = fleet_[work.account];
        sum.served += reported.served;
        sum.requested += reported.requested;
        sum.recently_requested += reported.recently_requested;
        track_change(work.account, false, near, now);
    }
}

fair_share::reported_costs fair_share::own_costs(const base::client_account_id& account,
                                                 base::time_point now) const {
    const auto own = own_.find(account);
    return own == own_.end()
               ? reported_costs{}
               : reported_costs{own->second.served / weight(now), own_recent_requests(account, now)};
}

fair_share::reported_costs fair_share::fleet_costs(const base::client_account_id& account, const rate& sums,
                                                   base::time_point now) const {
    return {sums.served / weight(now), fleet_recent_requests(account, sums, now)};
}

void fair_share::track_change(const base::client_account_id& account, bool own, bool near,
                              base::time_point now) {
    const auto differ = [](const reported_costs& a, const reported_costs& b, double threshold) {
        return std::abs(a.served - b.served) > threshold ||
               std::abs(a.recently_requested - b.recently_requested) > threshold;
    };
    const fleet_rate& sums = fleet_[account];
    const reported_costs in_fleet = fleet_costs(account, sums, now);
    if (differ(in_fleet, sums.reported, news_threshold_)) {
        bool& changed_near = fleet_changes_[account];
        changed_near = changed_near || near;
        urgent_fleet_change_ =
            urgent_fleet_change_ || differ(in_fleet, sums.reported, urgent_news_factor * news_threshold_);
    }
    if (!own) {
        return;
    }
    const double own_threshold = news_threshold_ / std::sqrt(static_cast<double>(fleet_size_));
    const reported_costs here = own_costs(account, now);
    const reported_costs& reported_here = own_[account].reported;
    if (differ(here, reported_here, own_threshold)) {
        own_changes_.insert(account);
        urgent_own_change_ =
            urgent_own_change_ || differ(here, reported_here, urgent_news_factor * own_threshold);
    }
}

std::vector<decision::account_work> fair_share::take_own_news(base::time_point now) {
    rebase(now);
    urgent_own_change_ = false;
    std::vector<decision::account_work> news;
    const double factor = weight(now);
    for (const base::client_account_id& account : std::exchange(own_changes_, {})) {
        own_rate& own = own_[account];
        own.reported = own_costs(account, now);
        news.push_back({account, base::cost(own.reported.served), base::cost(own.requested / factor),
                        base::cost(own.reported.recently_requested)});
    }
    return news;
}

std::map<base::client_account_id, bool> fair_share::take_fleet_changes(base::time_point now) {
    rebase(now);
    for (const auto& [account, near] : fleet_changes_) {
        fleet_rate& sums = fleet_[account];
        sums.reported = fleet_costs(account, sums, now);
    }
    urgent_fleet_change_ = false;
    return std::exchange(fleet_changes_, {});
}

void fair_share::record_forwarded(base::time_point now) {
    rebase(now);
    for (auto& [account, sums] : fleet_) {
        sums.reported = fleet_costs(account, sums, now);
    }
    fleet_changes_.clear();
    urgent_fleet_change_ = false;
}

void fair_share::subtract_from_fleet(const rates& accounts) {
    for (const auto& [account, account_rate] : accounts) {
        rate& sum = fleet_[account];
        sum.served = std::max(0.0, sum.served - account_rate.served);
        sum.requested = std::max(0.0, sum.requested - account_rate.requested);
        sum.recently_requested = std::max(0.0, sum.recently_requested - account_rate.recently_requested);
    }
}

void fair_share::drop_peer(const base::vm_id& peer) {
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        subtract_from_fleet(found->second.accounts);
        peers_.erase(found);
    }
}

std::vector<decision::account_work> fair_share::own_work(base::time_point now) {
    rebase(now);
    std::vector<decision::account_work> work;
    const double factor = weight(now);
    own_changes_.clear();
    urgent_own_change_ = false;
    for (auto& [account, account_rate] : own_) {
        account_rate.reported = own_costs(account, now);
        const double served = account_rate.served / factor;
        const double requested = account_rate.requested / factor;
        if (requested >= negligible_tokens || served >= negligible_tokens) {
            work.push_back({account, base::cost(served), base::cost(requested),
                            base::cost(own_recent_requests(account, now))});
        }
    }
    return work;
}

std::vector<decision::account_work>
fair_share::aggregated_work(const std::set<base::vm_id>& without, base::time_point now,
                            const std::set<base::client_account_id>* only) {
    rebase(now);
    const double factor = weight(now);
    std::vector<decision::account_work> work;
    for (const auto& [account, account_rate] : fleet_) {
        if (only != nullptr && only->count(account) == 0) {
            continue;
        }
        rate remaining = account_rate;
        for (const base::vm_id& vm : without) {
            const auto report = peers_.find(vm);
            if (report == peers_.end()) {
                continue;
            }
            const auto reported = report->second.accounts.find(account);
            if (reported != report->second.accounts.end()) {
                remaining.served -= reported->second.served;
                remaining.requested -= reported->second.requested;
                remaining.recently_requested -= reported->second.recently_requested;
            }
        }
        const double served = std::max(0.0, remaining.served) / factor;
        const double requested = std::max(0.0, remaining.requested) / factor;
        if (requested >= negligible_tokens || served >= negligible_tokens) {
            const double recent = std::max(0.0, remaining.recently_requested) / factor;
            work.push_back({account, base::cost(served), base::cost(requested),
                            base::cost(recent + own_recent_requests(account, now))});
        }
    }
    return work;
}

void fair_share::update(base::time_point now) {
    rebase(now);
    std::vector<base::vm_id> silent;
    for (const auto& [vm, report] : peers_) {
        if (now - report.received_at > report_timeout) {
            silent.push_back(vm);
        }
    }
    for (const base::vm_id& vm : silent) {
        drop_peer(vm);
    }
    sample_requests(now);
    double served = 0;
    double requested_sum = 0;
    double recent_sum = 0;
    std::vector<double> requested;
    requested.reserve(fleet_.size());
    for (const auto& [account, account_rate] : fleet_) {
        served += account_rate.served;
        requested_sum += account_rate.requested;
        recent_sum += fleet_recent_requests(account, account_rate, now);
        requested.push_back(account_rate.requested);
    }
    pressure_ = served > 0 ? requested_sum / served : 1;
    const double stated_capacity =
        stated_throughput_ * std::chrono::duration<double>(decay_time).count() * weight(now);
    news_threshold_ = news_share * std::max(recent_sum, stated_capacity / weight(now));
    fair_level_ = std::numeric_limits<double>::infinity();
    stated_level_ = std::numeric_limits<double>::infinity();
    service_bound_ = std::numeric_limits<double>::infinity();
    if (!overloaded()) {
        behind_since_.clear();
        return;
    }
    std::sort(requested.begin(), requested.end());
    fair_level_ = max_min_level(requested, served);
    stated_level_ = stated_capacity > 0 ? max_min_level(requested, stated_capacity) : 0;
    const double guaranteed = guaranteed_share * (stated_capacity > 0 ? stated_level_ : fair_level_);
    // The fair level alone bounds no gap: it follows what was served, and what an account cannot use of its
    // share goes to the others.
    service_bound_ = std::max(find_least_service(guaranteed, now) / min_service_ratio, guaranteed);
}

double fair_share::own_recent_requests(const base::client_account_id& account, base::time_point now) const {
    const auto own = own_.find(account);
    return own == own_.end() ? 0 : own->second.recently_requested / recent_weight(now);
}

double fair_share::fleet_recent_requests(const base::client_account_id& account, const rate& sums,
                                         base::time_point now) const {
    return own_recent_requests(account, now) + sums.recently_requested / weight(now);
}

void fair_share::sample_requests(base::time_point now) {
    const std::size_t newest = (oldest_sample_ + demand_samples - 1) % demand_samples;
    if (sampled_at_[newest] && now - *sampled_at_[newest] < demand_sample_interval) {
        return;
    }
    for (auto& [account, sums] : fleet_) {
        sums.earlier_requested[oldest_sample_] = fleet_recent_requests(account, sums, now);
    }
    sampled_at_[oldest_sample_] = now;
    oldest_sample_ = (oldest_sample_ + 1) % demand_samples;
}

double fair_share::demand(const base::client_account_id& account, const fleet_rate& sums,
                          base::time_point now) const {
    const double recent = fleet_recent_requests(account, sums, now);
    double greatest = recent;
    if (!sampled_at_[oldest_sample_]) {
        return greatest;
    }
    for (std::size_t i = 0; i < demand_samples; ++i) {
        if (now - *sampled_at_[i] < min_demand_span) {
            continue;
        }
        const double decay =
            std::exp(-std::chrono::duration<double>(now - *sampled_at_[i]) / recent_decay_time);
        greatest = std::max(greatest, (recent - sums.earlier_requested[i] * decay) / (1 - decay));
    }
    return greatest;
}

admission_table_ptr fair_share::admission(double engine_load, base::time_point now, bool by_room) const {
    const double relief = by_room ? service_bound_relief(engine_load) : 1;
    const double factor = weight(now);
    double served = 0;
    std::map<base::client_account_id, double> requested;
    std::vector<double> sorted;
    for (const auto& [account, account_rate] : fleet_) {
        served += account_rate.served / factor;
        const double amount = demand(account, account_rate, now);
        requested[account] = amount;
        sorted.push_back(amount);
    }
    std::sort(sorted.begin(), sorted.end());
    const double stated_capacity = stated_throughput_ * std::chrono::duration<double>(decay_time).count();
    const double load = std::max(engine_load, min_engine_load);
    // The square makes the engines fill up again after a time in which too little was admitted.
    const double capacity =
        std::max(admission_margin * served / (load * load), guaranteed_share * stated_capacity);
    const double level = max_min_level(sorted, capacity);
    admission_table::shares limited;
    for (const auto& [account, amount] : requested) {
        const double allowed = std::min(level, relief * bounded_service(fleet_.at(account)) / factor);
        if (amount > allowed) {
            limited[account] = allowed / amount;
        }
    }
    return limited.empty() ? nullptr : std::make_shared<const admission_table>(std::move(limited));
}

double fair_share::bounded_service(const rate& account) const {
    if (account.served <= unbounded_share * service_bound_) {
        return std::numeric_limits<double>::infinity();
    }
    // What the account got beyond the bound is taken off for as long as it is in the sums.
    const double remaining = 2 * service_bound_ - account.served;
    return std::max({remaining, least_bounded_share * service_bound_, guaranteed_share * stated_level_});
}

double fair_share::find_least_service(double guaranteed, base::time_point now) {
    double greatest = 0;
    for (const auto& [account, account_rate] : fleet_) {
        greatest = std::max(greatest, account_rate.served);
    }
    double least = std::numeric_limits<double>::infinity();
    std::map<base::client_account_id, base::time_point> behind_since;
    for (const auto& [account, account_rate] : fleet_) {
        const double due = std::min(account_rate.requested, greatest);
        const auto known = behind_since_.find(account);
        const double ratio = known == behind_since_.end() ? min_service_ratio : caught_up_ratio;
        // Holding others back does not help an account that requests less than what they are left in any
        // case.
        if (account_rate.requested < std::max(min_compared_share * fair_level_, guaranteed) ||
            account_rate.served >= ratio * due) {
            continue;
        }
        const base::time_point since = known == behind_since_.end() ? now : known->second;
        behind_since.emplace(account, since);
        if (now - since >= catch_up_time) {
            least = std::min(least, account_rate.served);
        }
    }
    behind_since_ = std::move(behind_since);
    return least;
}

bool fair_share::overloaded() const {
    return pressure_ >= overload_pressure;
}

std::optional<worst_served_account> fair_share::worst_served(base::time_point now) const {
    double greatest = 0;
    base::client_account_id best_served;
    for (const auto& [account, account_rate] : fleet_) {
        if (account_rate.served > greatest) {
            greatest = account_rate.served;
            best_served = account;
        }
    }
    const double factor = weight(now);
    std::optional<worst_served_account> worst;
    for (const auto& [account, account_rate] : fleet_) {
        const double reference = std::min(account_rate.requested, greatest);
        if (reference < negligible_tokens * factor) {
            continue;
        }
        const double share = account_rate.served / reference;
        if (!worst || share < worst->share) {
            worst = {account,
                     base::cost(account_rate.served / factor),
                     base::cost(account_rate.requested / factor),
                     best_served,
                     base::cost(greatest / factor),
                     share};
        }
    }
    return worst;
}

service_levels fair_share::levels(base::time_point now) const {
    const double factor = weight(now);
    return {base::cost(fair_level_ / factor), base::cost(stated_level_ / factor),
            base::cost(service_bound_ / factor)};
}

std::optional<base::duration> fair_share::oldest_report_age(base::time_point now) const {
    std::optional<base::duration> oldest;
    for (const auto& [vm, report] : peers_) {
        oldest = std::max(oldest.value_or(base::duration::zero()), now - report.received_at);
    }
    return oldest;
}

bool fair_share::exceeds_service_bound(const base::client_account_id& account) const {
    const auto found = fleet_.find(account);
    return found != fleet_.end() && found->second.served > service_bound_;
}

double fair_share::relative_service(const base::client_account_id& account) const {
    const auto found = fleet_.find(account);
    if (found == fleet_.end() || std::isinf(fair_level_) || fair_level_ <= 0) {
        return 0;
    }
    return found->second.served / fair_level_;
}

} // namespace bluebell::dispatch
