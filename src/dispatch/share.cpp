#include "dispatch/share.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bluebell::dispatch {
namespace {

/// Asked over served from which on capacity counts as short. Requests in a queue for a moment stay below.
constexpr double shortage = 1.05;
/// Service below this is forgotten, in tokens.
constexpr double negligible = 1;
/// Weight at which the origin of time moves on: e^10, after 20 s.
constexpr double longest_weight = 22026;

} // namespace

double fair_share::weight(base::time_point now) const {
    return origin_ ? std::exp(std::chrono::duration<double>(now - *origin_).count() /
                              std::chrono::duration<double>(decay_time).count())
                   : 1;
}

/// Keeps weights within the range of numbers; forgets what has become negligible.
void fair_share::rebase(base::time_point now) {
    const double factor = weight(now);
    if (origin_ && factor < longest_weight) {
        return;
    }
    origin_ = now;
    fleet_.clear();
    const auto rescale = [&](rates& accounts) {
        for (auto entry = accounts.begin(); entry != accounts.end();) {
            rate& value = entry->second;
            value.served /= factor;
            value.requested /= factor;
            if (value.requested < negligible && value.served < negligible) {
                entry = accounts.erase(entry);
                continue;
            }
            rate& sum = fleet_[entry->first];
            sum.served += value.served;
            sum.requested += value.requested;
            ++entry;
        }
    };
    rescale(own_);
    for (auto& [peer, report] : peers_) {
        rescale(report.accounts);
    }
}

void fair_share::record_request(const base::client_account_id& account, base::cost amount, base::time_point now) {
    rebase(now);
    const double added = amount.value() * weight(now);
    own_[account].requested += added;
    fleet_[account].requested += added;
}

void fair_share::record_service(const base::client_account_id& account, base::cost amount, base::time_point now) {
    rebase(now);
    const double added = amount.value() * weight(now);
    own_[account].served += added;
    fleet_[account].served += added;
}

void fair_share::receive_report(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                         base::time_point now) {
    rebase(now);
    peer_report& known = peers_[from];
    known.received_at = now;
    const double factor = weight(now);
    for (const decision::account_work& work : accounts) {
        rate& last = known.accounts[work.account];
        subtract_from_fleet({{work.account, last}});
        last = {work.served.value() * factor, work.requested.value() * factor};
        rate& sum = fleet_[work.account];
        sum.served += last.served;
        sum.requested += last.requested;
    }
}

void fair_share::subtract_from_fleet(const rates& accounts) {
    for (const auto& [account, value] : accounts) {
        rate& sum = fleet_[account];
        sum.served = std::max(0.0, sum.served - value.served);
        sum.requested = std::max(0.0, sum.requested - value.requested);
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
    std::vector<decision::account_work> told;
    const double factor = weight(now);
    for (const auto& [account, value] : own_) {
        const double served = value.served / factor;
        const double asked = value.requested / factor;
        if (asked >= negligible || served >= negligible) {
            told.push_back({account, base::cost(served), base::cost(asked)});
        }
    }
    return told;
}

std::vector<decision::account_work> fair_share::aggregated_work(const std::set<base::vm_id>& without,
                                                       base::time_point now) {
    rebase(now);
    const double factor = weight(now);
    std::vector<decision::account_work> told;
    for (const auto& [account, value] : fleet_) {
        rate rest = value;
        for (const base::vm_id& vm : without) {
            const auto report = peers_.find(vm);
            if (report == peers_.end()) {
                continue;
            }
            const auto reported = report->second.accounts.find(account);
            if (reported != report->second.accounts.end()) {
                rest.served -= reported->second.served;
                rest.requested -= reported->second.requested;
            }
        }
        const double served = std::max(0.0, rest.served) / factor;
        const double asked = std::max(0.0, rest.requested) / factor;
        if (asked >= negligible || served >= negligible) {
            told.push_back({account, base::cost(served), base::cost(asked)});
        }
    }
    return told;
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
    double served = 0;
    std::vector<double> asked;
    double asked_sum = 0;
    for (const auto& [account, value] : fleet_) {
        served += value.served;
        asked.push_back(value.requested);
        asked_sum += value.requested;
    }
    pressure_ = served > 0 ? asked_sum / served : 1;
    fair_level_ = std::numeric_limits<double>::infinity();
    if (pressure_ < shortage) {
        return;
    }
    std::sort(asked.begin(), asked.end());
    double left = served;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= even) {
            fair_level_ = even;
            return;
        }
        left -= asked[i];
    }
}

double fair_share::relative_service(const base::client_account_id& account) const {
    const auto found = fleet_.find(account);
    if (found == fleet_.end() || std::isinf(fair_level_) || fair_level_ <= 0) {
        return 0;
    }
    return found->second.served / fair_level_;
}

} // namespace bluebell::dispatch
