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

} // namespace

void fair_share::decay(rate& value, base::time_point now) {
    if (now > value.at) {
        const double factor = std::exp(-std::chrono::duration<double>(now - value.at).count() /
                                       std::chrono::duration<double>(memory).count());
        value.served *= factor;
        value.asked *= factor;
        value.at = now;
    }
}

fair_share::rate& fair_share::touch(const base::client_account_id& account, base::time_point now) {
    const auto [found, added] = own_.try_emplace(account);
    if (added) {
        found->second.at = now;
    }
    decay(found->second, now);
    return found->second;
}

void fair_share::ask(const base::client_account_id& account, base::cost amount, base::time_point now) {
    touch(account, now).asked += amount.value();
}

void fair_share::serve(const base::client_account_id& account, base::cost amount, base::time_point now) {
    touch(account, now).served += amount.value();
}

void fair_share::receive(const base::vm_id& from, const std::vector<decision::account_work>& accounts,
                         base::time_point now) {
    peer_report& known = peers_[from];
    known.at = now;
    for (const decision::account_work& work : accounts) {
        known.accounts[work.account] = {work.served.value(), work.asked.value(), now};
    }
}

std::vector<decision::account_work> fair_share::own(base::time_point now) {
    std::vector<decision::account_work> told;
    for (auto entry = own_.begin(); entry != own_.end();) {
        decay(entry->second, now);
        if (entry->second.asked < negligible && entry->second.served < negligible) {
            entry = own_.erase(entry);
            continue;
        }
        told.push_back({entry->first, base::cost(entry->second.served), base::cost(entry->second.asked)});
        ++entry;
    }
    return told;
}

void fair_share::update(base::time_point now) {
    fleet_.clear();
    for (auto& [account, value] : own_) {
        decay(value, now);
        fleet_[account] = value;
    }
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (now - peer->second.at > report_life) {
            peer = peers_.erase(peer);
            continue;
        }
        for (auto& [account, value] : peer->second.accounts) {
            decay(value, now);
            rate& sum = fleet_[account];
            sum.served += value.served;
            sum.asked += value.asked;
        }
        ++peer;
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
