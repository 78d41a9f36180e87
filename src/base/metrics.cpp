#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <limits>
#include <sstream>

namespace bluebell::base {
namespace {

using bucket_axis = boost::histogram::axis::variable<double>;
using histogram = decltype(boost::histogram::make_histogram(std::declval<bucket_axis>()));

/// Upper bounds of the buckets, in seconds. They include the latency objectives of the service: 53 ms between
/// tokens and 1.1 s to the first token.
const std::vector<double>& upper_bounds() {
    static const std::vector<double> values = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.053, 0.1, 0.2,
                                               0.5,    1.1,   2,     5,     10,   30,   60,    300, 1800};
    return values;
}

/// Number of significant digits. The default of six would round byte counts above 1 MB, and so distort their
/// rates.
constexpr int value_precision = std::numeric_limits<double>::digits10;

/// Returns a histogram whose first bin starts at zero. The bins of Boost include their lower bound.
histogram empty_histogram() {
    std::vector<double> edges = {0.0};
    edges.insert(edges.end(), upper_bounds().begin(), upper_bounds().end());
    return boost::histogram::make_histogram(bucket_axis(edges));
}

std::string quote_label_value(const std::string& value) {
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text + '"';
}

std::string format_labels(const metric& series, const std::string& bound = "") {
    std::string text;
    for (const std::pair<std::string, std::string>& label : series.labels) {
        text += (text.empty() ? "" : ",") + label.first + '=' + quote_label_value(label.second);
    }
    if (!bound.empty()) {
        text += (text.empty() ? "le=" : ",le=") + quote_label_value(bound);
    }
    return text.empty() ? text : '{' + text + '}';
}

void write_type_line(std::ostream& out, std::string& last_name, const std::string& name, const char* type) {
    if (name != last_name) {
        out << "# TYPE " << name << ' ' << type << '\n';
        last_name = name;
    }
}

} // namespace

struct metrics::duration_histogram {
    histogram counts = empty_histogram();
    double sum = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

template <typename Value>
Value* metrics::find_or_add(std::map<metric, Value>& table, const metric& series) {
    const typename std::map<metric, Value>::iterator found = table.find(series);
    if (found != table.end()) {
        return &found->second;
    }
    if (table.size() >= series_limit) {
        ++dropped_updates_;
        return nullptr;
    }
    return &table[series];
}

void metrics::add(const metric& series, std::uint64_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::uint64_t* const value = find_or_add(counters_, series)) {
        *value += count;
    }
}

void metrics::set(const metric& series, double value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (double* const gauge = find_or_add(gauges_, series)) {
        *gauge = value;
    }
}

void metrics::observe(const metric& series, duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (duration_histogram* const entry = find_or_add(histograms_, series)) {
        entry->counts(seconds);
        entry->sum += seconds;
    }
}

std::string metrics::text() const {
    std::ostringstream out;
    out.precision(value_precision);
    std::string last_name;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::pair<const metric, std::uint64_t>& entry : counters_) {
        write_type_line(out, last_name, entry.first.name, "counter");
        out << entry.first.name << format_labels(entry.first) << ' ' << entry.second << '\n';
    }
    for (const std::pair<const metric, double>& entry : gauges_) {
        write_type_line(out, last_name, entry.first.name, "gauge");
        out << entry.first.name << format_labels(entry.first) << ' ' << entry.second << '\n';
    }
    for (const std::pair<const metric, duration_histogram>& entry : histograms_) {
        write_type_line(out, last_name, entry.first.name, "histogram");
        // Index -1 is the underflow bin for durations below zero, which a monotonic clock does not produce.
        double total = entry.second.counts.at(-1);
        for (std::size_t i = 0; i < upper_bounds().size(); ++i) {
            total += entry.second.counts.at(static_cast<int>(i));
            std::ostringstream bound;
            bound << upper_bounds()[i];
            out << entry.first.name << "_bucket" << format_labels(entry.first, bound.str()) << ' ' << total
                << '\n';
        }
        total += entry.second.counts.at(static_cast<int>(upper_bounds().size()));
        out << entry.first.name << "_bucket" << format_labels(entry.first, "+Inf") << ' ' << total << '\n'
            << entry.first.name << "_sum" << format_labels(entry.first) << ' ' << entry.second.sum << '\n'
            << entry.first.name << "_count" << format_labels(entry.first) << ' ' << total << '\n';
    }
    write_type_line(out, last_name, "bluebell_metrics_dropped_total", "counter");
    out << "bluebell_metrics_dropped_total " << dropped_updates_ << '\n';
    return out.str();
}

} // namespace bluebell::base
