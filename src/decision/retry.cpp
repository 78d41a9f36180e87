#include "decision/retry.h"

#include <algorithm>

namespace bluebell::decision {

retry_budget::bucket& retry_budget::refill(const base::pool_id& pool, base::time_point now) {
    const auto [found, added] = buckets_.try_emplace(pool, bucket{settings_.burst, now});
    bucket& pool_bucket = found->second;
    if (!added) {
        const double elapsed_s = std::chrono::duration<double>(now - pool_bucket.filled).count();
        pool_bucket.tokens =
            std::min(settings_.burst, pool_bucket.tokens + elapsed_s * settings_.minimum_per_s);
        pool_bucket.filled = now;
    }
    return pool_bucket;
}

void retry_budget::first_attempt(const base::pool_id& pool, base::time_point now) {
    bucket& pool_bucket = refill(pool, now);
    pool_bucket.tokens = std::min(settings_.burst, pool_bucket.tokens + settings_.ratio);
}

bool retry_budget::take(const base::pool_id& pool, base::time_point now) {
    bucket& pool_bucket = refill(pool, now);
    if (pool_bucket.tokens < 1.0) {
        return false;
    }
    pool_bucket.tokens -= 1.0;
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
        entries_.erase(order_.front());
        order_.pop_front();
    }
    return unknown;
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
