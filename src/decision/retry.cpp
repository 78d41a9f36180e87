#include "decision/retry.h"

#include <algorithm>

namespace bluebell::decision {

retry_budget::history& retry_budget::advance(const base::pool_id& pool, base::time_point now) {
    history& counted = pools_[pool];
    const std::chrono::seconds second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    while (!counted.empty() && second - counted.front().second >= window) {
        counted.pop_front();
    }
    if (counted.empty() || counted.back().second != second) {
        counted.push_back({second, 0, 0});
    }
    return counted;
}

void retry_budget::first_attempt(const base::pool_id& pool, base::time_point now) {
    ++advance(pool, now).back().first_attempts;
}

bool retry_budget::take(const base::pool_id& pool, base::time_point now) {
    history& counted = advance(pool, now);
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    for (const cell& each : counted) {
        first_attempts += each.first_attempts;
        retries += each.retries;
    }
    const double allowed = std::max(settings_.ratio * static_cast<double>(first_attempts),
                                    settings_.minimum_per_s * static_cast<double>(window.count()));
    if (static_cast<double>(retries) + 1.0 > allowed) {
        return false;
    }
    ++counted.back().retries;
    return true;
}

bool crash_table::report(const crash_report& what, base::time_point now) {
    const auto [found, added] = entries_.try_emplace(what.body);
    if (added) {
        order_.push_back(what.body);
    }
    const auto [crash, fresh] = found->second.crashes.try_emplace(what.upstream, now);
    const bool unknown = fresh || !counts(crash->second, now);
    if (unknown) {
        crash->second = now;
    }
    if (order_.size() > settings_.capacity) {
        drop_one(now);
    }
    return unknown;
}

/// A flood of bodies that crashed once must not push a blocked one out.
void crash_table::drop_one(base::time_point now) {
    const auto found = std::find_if(order_.begin(), order_.end(),
                                    [&](const base::fingerprint& body) { return !blocked(body, now); });
    const auto dropped = found == order_.end() ? order_.begin() : found;
    entries_.erase(*dropped);
    order_.erase(dropped);
}

void crash_table::completed(const base::fingerprint& body, base::time_point now) {
    if (entries_.count(body) == 0 || blocked(body, now)) {
        return;
    }
    entries_.erase(body);
    order_.erase(std::remove(order_.begin(), order_.end(), body), order_.end());
}

bool crash_table::blocked(const base::fingerprint& body, base::time_point now) const {
    return reports(body, now).size() >= settings_.distinct_upstreams;
}

std::vector<crash_report> crash_table::reports(const base::fingerprint& body, base::time_point now) const {
    std::vector<crash_report> counting;
    const auto found = entries_.find(body);
    if (found == entries_.end()) {
        return counting;
    }
    for (const auto& [upstream, reported] : found->second.crashes) {
        if (counts(reported, now)) {
            counting.push_back({body, upstream});
        }
    }
    return counting;
}

void crash_table::tick(base::time_point now) {
    // In order of the first report; an entry that was refreshed later is found when its turn comes.
    while (!order_.empty() && reports(order_.front(), now).empty()) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace bluebell::decision
