#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <limits>
#include <sstream>

namespace bluebell::base {
namespace {

using bounds = boost::histogram::axis::variable<double>;
using histogram = decltype(boost::histogram::make_histogram(std::declval<bounds>()));

/// Upper bounds in seconds. They include the limits that the service is measured against: 53 ms between
/// tokens and 1.1 s to the first one.
const std::vector<double>& upper_bounds() {
    static const std::vector<double> values = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.053, 0.1, 0.2,
                                               0.5,    1.1,   2,     5,     10,   30,   60,    300, 1800};
    return values;
}

/// The default of six digits would round byte counts above 1 MB, and with them their rates.
constexpr int digits = std::numeric_limits<double>::digits10;

/// Boost's bins are closed below; the first one starts at zero.
histogram empty_histogram() {
    std::vector<double> edges = {0.0};
    edges.insert(edges.end(), upper_bounds().begin(), upper_bounds().end());
    return boost::histogram::make_histogram(bounds(edges));
}

std::string quoted(const std::string& value) {
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

std::string label_text(const metric& series, const std::string& bound = "") {
    std::string text;
    for (const std::pair<std::string, std::string>& label : series.labels) {
        text += (text.empty() ? "" : ",") + label.first + '=' + quoted(label.second);
    }
    if (!bound.empty()) {
        text += (text.empty() ? "le=" : ",le=") + quoted(bound);
    }
    return text.empty() ? text : '{' + text + '}';
}

void type_line(std::ostream& out, std::string& last, const std::string& name, const char* type) {
    if (name != last) {
        out << "# TYPE " << name << ' ' << type << '\n';
        last = name;
    }
}

} // namespace

struct metrics::distribution {
    histogram counts = empty_histogram();
    double sum = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

template <typename Value>
Value* metrics::slot(std::map<metric, Value>& table, const metric& series) {
    const typename std::map<metric, Value>::iterator found = table.find(series);
    if (found != table.end()) {
        return &found->second;
    }
    if (table.size() >= series_limit) {
        ++dropped_;
        return nullptr;
    }
    return &table[series];
}

void metrics::add(const metric& series, std::uint64_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::uint64_t* const value = slot(counters_, series)) {
        *value += count;
    }
}

void metrics::set(const metric& series, double value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (double* const gauge = slot(gauges_, series)) {
        *gauge = value;
    }
}

void metrics::observe(const metric& series, duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (distribution* const kept = slot(distributions_, series)) {
        kept->counts(seconds);
        kept->sum += seconds;
    }
}

std::string metrics::text() const {
    std::ostringstream out;
    out.precision(digits);
    std::string last;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::pair<const metric, std::uint64_t>& each : counters_) {
        type_line(out, last, each.first.name, "counter");
        out << each.first.name << label_text(each.first) << ' ' << each.second << '\n';
    }
    for (const std::pair<const metric, double>& each : gauges_) {
        type_line(out, last, each.first.name, "gauge");
        out << each.first.name << label_text(each.first) << ' ' << each.second << '\n';
    }
    for (const std::pair<const metric, distribution>& each : distributions_) {
        type_line(out, last, each.first.name, "histogram");
        // Index -1 holds values below zero, which a clock that stands still cannot produce.
        double total = each.second.counts.at(-1);
        for (std::size_t i = 0; i < upper_bounds().size(); ++i) {
            total += each.second.counts.at(static_cast<int>(i));
            std::ostringstream bound;
            bound << upper_bounds()[i];
            out << each.first.name << "_bucket" << label_text(each.first, bound.str()) << ' ' << total
                << '\n';
        }
        total += each.second.counts.at(static_cast<int>(upper_bounds().size()));
        out << each.first.name << "_bucket" << label_text(each.first, "+Inf") << ' ' << total << '\n'
            << each.first.name << "_sum" << label_text(each.first) << ' ' << each.second.sum << '\n'
            << each.first.name << "_count" << label_text(each.first) << ' ' << total << '\n';
    }
    type_line(out, last, "bluebell_metrics_dropped_total", "counter");
    out << "bluebell_metrics_dropped_total " << dropped_ << '\n';
    return out.str();
}

} // namespace bluebell::base
