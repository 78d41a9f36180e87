#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace bluebell::decision {

struct retry_settings {
    /// Retries per first attempt.
    double ratio = 0.1;
    /// Retries per second that are always allowed, so that a pool with little traffic can retry at all.
    double minimum_per_s = 1.0;
};

/// Limits the retries of each pool to the greater of a share of its first attempts and a fixed rate, counted
/// over a sliding window, so that a failing pool does not get further load from retries. Thread safety: used
/// by one thread.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings) : settings_(settings) {}

    /// Sets the retries per first attempt.
    void set_ratio(double ratio) { settings_.ratio = ratio; }
    /// Sets the retries per second that are always allowed, as the share of this router changes.
    void set_minimum_rate(double per_s) { settings_.minimum_per_s = per_s; }
    /// Counts the first attempt of a request.
    void count_first_attempt(const base::pool_id& pool, base::time_point now);
    /// Takes one retry from the budget. Returns false if none is left.
    [[nodiscard]] bool try_take(const base::pool_id& pool, base::time_point now);

    /// Length of the sliding window.
    static constexpr std::chrono::seconds window{10};

private:
    /// Attempts within one second.
    struct second_counts {
        std::chrono::seconds second{};
        std::uint64_t first_attempts = 0;
        std::uint64_t retries = 0;
    };
    using history = std::deque<second_counts>;
    /// Drops the seconds that have left the window and returns the history, whose last element counts the
    /// present second.
    history& current_history(const base::pool_id& pool, base::time_point now);

    retry_settings settings_;
    std::map<base::pool_id, history> pools_;
};

struct crash_settings {
    /// Number of distinct upstreams that must have failed while they ran a request before the request is
    /// blocked.
    std::size_t distinct_upstreams = 2;
    /// Time for which a report counts and a block lasts.
    base::duration report_lifetime = std::chrono::minutes(10);
    /// Maximum number of fingerprints; the oldest that is not blocked is evicted first.
    std::size_t capacity = 4096;
};

/// Detects requests that crash one upstream after another, by their fingerprint: a hash that the front end
/// computes over the identity of the caller and the request, including its body. Reports of peers count as
/// well, so that a caller that repeats the request at another router is recognised. Thread safety: used by
/// one thread.
class crash_table {
public:
    explicit crash_table(crash_settings settings) : settings_(settings) {}

    /// Adds a report. Returns true if it was not known yet, so that it is to be passed on to peers.
    bool add_report(const crash_report& received, base::time_point now);
    /// Records that a request with this body ran to its end and therefore did not cause earlier crashes:
    /// requests that run beside a poison request lose their connection as well. A block stays.
    void on_completed(const base::fingerprint& body, base::time_point now);
    /// Returns true if requests with this body must not run.
    [[nodiscard]] bool is_blocked(const base::fingerprint& body, base::time_point now) const;
    /// Returns the reports of a fingerprint that still count, for a peer that is about to run it.
    [[nodiscard]] std::vector<crash_report> recent_reports(const base::fingerprint& body,
                                                           base::time_point now) const;
    /// Removes the fingerprints whose reports no longer count.
    void tick(base::time_point now);
    /// Number of fingerprints with reports.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::map<base::upstream_id, base::time_point> crashes;
    };
    void evict_one(base::time_point now);
    [[nodiscard]] bool is_recent(base::time_point reported, base::time_point now) const {
        return now - reported < settings_.report_lifetime;
    }

    crash_settings settings_;
    std::unordered_map<base::fingerprint, entry> entries_;
    std::deque<base::fingerprint> insertion_order_;
};

} // namespace bluebell::decision
