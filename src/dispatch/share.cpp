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
                              std::chrono::duration<double>(memory).count())
                   : 1;
}

/// Keeps weights within the range of numbers; forgets what has become negligible.
void fair_share::move_origin(base::time_point now) {
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
            value.asked /= factor;
            if (value.asked < negligible && value.served < negligible) {
                entry = accounts.erase(entry);
                continue;
            }
            rate& sum = fleet_[entry->first];
            sum.served += value.served;
            sum.asked += value.asked;
            ++entry;
        }
    };
    rescale(own_);
    for (auto& [peer, report] : peers_) {
        rescale(report.accounts);
    }
}

void fair_share::ask(const base::client_account_id& account, base::cost amount, base::time_point now) {
    move_origin(now);
    const double added = amount.value() * weight(now);
    own_[account].asked += added;
    fleet_[account].asked += added;
}

void fair_share::serve(const base::client_account_id& account, base::cost amount, base::time_point now) {
    move_origin(now);
    const double added = amount.value() * weight(now);
    own_[account].served += added;
    fleet_[account].served += added;
}

void fair_share::receive(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                         base::time_point now) {
    move_origin(now);
    peer_report& known = peers_[from];
    known.at = now;
    const double factor = weight(now);
    for (const decision::account_work& work : accounts) {
        rate& last = known.accounts[work.account];
        withdraw({{work.account, last}});
        last = {work.served.value() * factor, work.requested.value() * factor};
        rate& sum = fleet_[work.account];
        sum.served += last.served;
        sum.asked += last.asked;
    }
}

void fair_share::withdraw(const rates& accounts) {
    for (const auto& [account, value] : accounts) {
        rate& sum = fleet_[account];
        sum.served = std::max(0.0, sum.served - value.served);
        sum.asked = std::max(0.0, sum.asked - value.asked);
    }
}

void fair_share::drop(const base::vm_id& peer) {
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        withdraw(found->second.accounts);
        peers_.erase(found);
    }
}

std::vector<decision::account_work> fair_share::own(base::time_point now) {
    move_origin(now);
    std::vector<decision::account_work> told;
    const double factor = weight(now);
    for (const auto& [account, value] : own_) {
        const double served = value.served / factor;
        const double asked = value.asked / factor;
        if (asked >= negligible || served >= negligible) {
            told.push_back({account, base::cost(served), base::cost(asked)});
        }
    }
    return told;
}

std::vector<decision::account_work> fair_share::digest(const std::set<base::vm_id>& without,
                                                       base::time_point now) {
    move_origin(now);
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
                rest.asked -= reported->second.asked;
            }
        }
        const double served = std::max(0.0, rest.served) / factor;
        const double asked = std::max(0.0, rest.asked) / factor;
        if (asked >= negligible || served >= negligible) {
            told.push_back({account, base::cost(served), base::cost(asked)});
        }
    }
    return told;
}

void fair_share::update(base::time_point now) {
    move_origin(now);
    std::vector<base::vm_id> silent;
    for (const auto& [vm, report] : peers_) {
        if (now - report.at > report_life) {
            silent.push_back(vm);
        }
    }
    for (const base::vm_id& vm : silent) {
        drop(vm);
    }
    double served = 0;
    std::vector<double> asked;
    double asked_sum = 0;
    for (const auto& [account, value] : fleet_) {
        served += value.served;
        asked.push_back(value.asked);
        asked_sum += value.asked;
    }
    pressure_ = served > 0 ? asked_sum / served : 1;
    level_ = std::numeric_limits<double>::infinity();
    if (pressure_ < shortage) {
        return;
    }
    std::sort(asked.begin(), asked.end());
    double left = served;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= even) {
            level_ = even;
            return;
        }
        left -= asked[i];
    }
}

double fair_share::position(const base::client_account_id& account) const {
    const auto found = fleet_.find(account);
    if (found == fleet_.end() || std::isinf(level_) || level_ <= 0) {
        return 0;
    }
    return found->second.served / level_;
}

} // namespace bluebell::dispatch
