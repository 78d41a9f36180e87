#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::base {

/// Name and labels of one time series. Label values must come from closed sets (classes, outcomes, codes),
/// never from callers, so that the number of series stays bounded.
struct metric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;

    friend bool operator<(const metric& a, const metric& b) {
        return a.name != b.name ? a.name < b.name : a.labels < b.labels;
    }
};

/// Registry of counters, gauges and histograms of durations. A series is created on its first use.
/// Thread safety: every method may be called from any thread.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;
    ~metrics();

    /// Adds `count` to a counter.
    void add(const metric& series, std::uint64_t count = 1);
    /// Sets a gauge.
    void set(const metric& series, double value);
    /// Adds a duration to a histogram in seconds.
    void observe(const metric& series, duration value);

    /// Returns all series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

    /// Maximum number of series of each kind. Updates of further series are dropped and counted in
    /// `bluebell_metrics_dropped_total`.
    static constexpr std::size_t series_limit = 1024;

private:
    struct duration_histogram;
    /// Returns the value of a series, which is created if necessary; null if the limit is reached.
    template <typename Value>
    Value* find_or_add(std::map<metric, Value>& table, const metric& series);

    mutable std::mutex mutex_;
    std::map<metric, std::uint64_t> counters_;
    std::map<metric, double> gauges_;
    std::map<metric, duration_histogram> histograms_;
    std::uint64_t dropped_updates_ = 0;
};

} // namespace bluebell::base
