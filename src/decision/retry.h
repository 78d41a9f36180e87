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
    /// Retries a second that are always allowed, so that a quiet pool can retry at all.
    double minimum_per_s = 1.0;
};

/// Limits the retries of each pool to the greater of a share of its first attempts and a fixed rate, counted
/// over a sliding window, so that a failing pool is not loaded further by retries.
/// Thread safety: used by one thread.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings) : settings_(settings) {}

    /// Sets the retries per first attempt.
    void set_ratio(double ratio) { settings_.ratio = ratio; }
    /// Sets the retries a second that are always allowed, as the share of this router changes.
    void set_minimum(double per_s) { settings_.minimum_per_s = per_s; }
    void first_attempt(const base::pool_id& pool, base::time_point now);
    /// Takes one retry from the budget; false if none is left.
    [[nodiscard]] bool take(const base::pool_id& pool, base::time_point now);

    static constexpr std::chrono::seconds window{10};

private:
    /// Counts of one second.
    struct cell {
        std::chrono::seconds second{};
        std::uint64_t first_attempts = 0;
        std::uint64_t retries = 0;
    };
    using history = std::deque<cell>;
    history& advance(const base::pool_id& pool, base::time_point now);

    retry_settings settings_;
    std::map<base::pool_id, history> pools_;
};

struct crash_settings {
    /// Distinct upstreams that must have failed while they ran a request before it is blocked.
    std::size_t distinct_upstreams = 2;
    /// How long reports count, and how long a block lasts.
    base::duration memory = std::chrono::minutes(10);
    /// Fingerprints remembered; the oldest that is not blocked is dropped first.
    std::size_t capacity = 4096;
};

/// Recognises requests that crash one upstream after another, by the fingerprint of their body. Reports of
/// peers count as well, so that a caller that repeats the request at another router is recognised.
/// Thread safety: used by one thread.
class crash_table {
public:
    explicit crash_table(crash_settings settings) : settings_(settings) {}

    /// Takes a report. Returns true if it was not known yet, so that it is to be passed on to peers.
    bool report(const crash_report& what, base::time_point now);
    /// A request with this body ran to its end, so it was not the cause of earlier crashes: requests that run
    /// beside a poison request lose their connection as well. A block stays.
    void completed(const base::fingerprint& body, base::time_point now);
    [[nodiscard]] bool blocked(const base::fingerprint& body, base::time_point now) const;
    /// Reports of a fingerprint that still count, for a peer that is about to run it.
    [[nodiscard]] std::vector<crash_report> reports(const base::fingerprint& body,
                                                    base::time_point now) const;
    void tick(base::time_point now);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::map<base::upstream_id, base::time_point> crashes;
    };
    void drop_one(base::time_point now);
    [[nodiscard]] bool counts(base::time_point reported, base::time_point now) const {
        return now - reported < settings_.memory;
    }

    crash_settings settings_;
    std::unordered_map<base::fingerprint, entry> entries_;
    std::deque<base::fingerprint> order_;
};

} // namespace bluebell::decision
