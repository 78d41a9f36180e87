#include "decision/retry.h"

#include <algorithm>

namespace bluebell::decision {

retry_budget::history& retry_budget::current_history(const base::pool_id& pool, base::time_point now) {
    history& counts = pools_[pool];
    const std::chrono::seconds second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    while (!counts.empty() && second - counts.front().second >= window) {
        counts.pop_front();
    }
    if (counts.empty() || counts.back().second != second) {
        counts.push_back({second, 0, 0});
    }
    return counts;
}

void retry_budget::count_first_attempt(const base::pool_id& pool, base::time_point now) {
    ++current_history(pool, now).back().first_attempts;
}

bool retry_budget::try_take(const base::pool_id& pool, base::time_point now) {
    history& counts = current_history(pool, now);
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    for (const second_counts& entry : counts) {
        first_attempts += entry.first_attempts;
        retries += entry.retries;
    }
    const double allowed = std::max(settings_.ratio * static_cast<double>(first_attempts),
                                    settings_.minimum_per_s * static_cast<double>(window.count()));
    if (static_cast<double>(retries) + 1.0 > allowed) {
        return false;
    }
    ++counts.back().retries;
    return true;
}

bool crash_table::add_report(const crash_report& received, base::time_point now) {
    const auto [found, added] = entries_.try_emplace(received.body);
    if (added) {
        insertion_order_.push_back(received.body);
    }
    const auto [crash, added_crash] = found->second.crashes.try_emplace(received.upstream, now);
    const bool is_new = added_crash || !is_recent(crash->second, now);
    if (is_new) {
        crash->second = now;
    }
    if (insertion_order_.size() > settings_.capacity) {
        evict_one(now);
    }
    return is_new;
}

/// Evicts the oldest fingerprint that is not blocked, so that many bodies that crashed once do not displace a
/// blocked one. If all are blocked, evicts the oldest.
void crash_table::evict_one(base::time_point now) {
    const auto found = std::find_if(insertion_order_.begin(), insertion_order_.end(),
                                    [&](const base::fingerprint& body) { return !is_blocked(body, now); });
    const auto dropped = found == insertion_order_.end() ? insertion_order_.begin() : found;
    entries_.erase(*dropped);
    insertion_order_.erase(dropped);
}

void crash_table::on_completed(const base::fingerprint& body, base::time_point now) {
    if (entries_.count(body) == 0 || is_blocked(body, now)) {
        return;
    }
    entries_.erase(body);
    insertion_order_.erase(std::remove(insertion_order_.begin(), insertion_order_.end(), body),
                           insertion_order_.end());
}

bool crash_table::is_blocked(const base::fingerprint& body, base::time_point now) const {
    return recent_reports(body, now).size() >= settings_.distinct_upstreams;
}

std::vector<crash_report> crash_table::recent_reports(const base::fingerprint& body,
                                                      base::time_point now) const {
    std::vector<crash_report> recent;
    const auto found = entries_.find(body);
    if (found == entries_.end()) {
        return recent;
    }
    for (const auto& [upstream, reported] : found->second.crashes) {
        if (is_recent(reported, now)) {
            recent.push_back({body, upstream});
        }
    }
    return recent;
}

void crash_table::tick(base::time_point now) {
    // The list is in order of the first report; an entry with a later report is removed when it reaches the
    // front.
    while (!insertion_order_.empty() && recent_reports(insertion_order_.front(), now).empty()) {
        entries_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

} // namespace bluebell::decision
