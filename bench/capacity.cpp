#include "bench/role.h"

#include <cstdio>
#include <ctime>
#include <docopt/docopt.h>
#include <iostream>
#include <malloc.h>
#include <map>
#include <sstream>

namespace bluebell::bench {

double thread_seconds() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

double allocated_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace bluebell::bench

namespace {

using namespace bluebell;
using bench::figure;

constexpr char usage[] = R"(Measures what each role of a router needs at several sizes of the fleet.

Usage:
  capacity [--csv] [--sizes LIST] [--only ROLE]

Options:
  --csv         Write CSV instead of a table.
  --sizes LIST  Numbers of routers [default: 9,16,50,150,350].
  --only ROLE   Measure one role.

The slope is the growth for each further router, by least squares over the sizes above 16. Up to 16 routers
every router probes every other, so that smaller fleets follow another line. Other roles name their own sizes
(accounts, waiting requests), and all of them count.
)";

std::vector<std::unique_ptr<bench::role>> roles() {
    std::vector<std::unique_ptr<bench::role>> all;
    all.push_back(bench::make_membership());
    all.push_back(bench::make_messages());
    all.push_back(bench::make_accounts());
    all.push_back(bench::make_backlogged());
    all.push_back(bench::make_waiting());
    all.push_back(bench::make_sharing());
    all.push_back(bench::make_load());
    all.push_back(bench::make_composed());
    return all;
}

std::vector<std::size_t> parse_sizes(const std::string& list) {
    std::vector<std::size_t> sizes;
    std::istringstream in(list);
    for (std::string size; std::getline(in, size, ',');) {
        sizes.push_back(std::stoul(size));
    }
    return sizes;
}

/// Up to this number of routers every router probes every other.
constexpr std::size_t probe_all_limit = 16;

/// Returns the least-squares slope of the values over the sizes larger than `above`.
double slope(const std::vector<std::size_t>& sizes, const std::vector<double>& values, std::size_t above) {
    double count = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        if (sizes[i] <= above) {
            continue;
        }
        const auto size = static_cast<double>(sizes[i]);
        ++count;
        x += size;
        y += values[i];
        xx += size * size;
        xy += size * values[i];
    }
    const double spread = count * xx - x * x;
    return spread == 0 ? 0 : (count * xy - x * y) / spread;
}

void print_title(bool csv, const bench::role& role, const std::vector<std::size_t>& sizes) {
    std::printf(csv ? "%s,%s,%s" : "%-11s %-31s %-19s", "role", ("by " + role.size_name()).c_str(), "unit");
    for (const std::size_t size : sizes) {
        std::printf(csv ? ",n=%s" : " %10s", std::to_string(size).c_str());
    }
    std::printf(csv ? ",%s\n" : " %11s\n", "slope");
}

void print_row(bool csv, const std::string& role, const figure& row, const std::vector<double>& values,
               double growth) {
    std::printf(csv ? "%s,%s,%s" : "%-11s %-31s %-19s", role.c_str(), row.name.c_str(), row.unit.c_str());
    for (const double value : values) {
        std::printf(csv ? ",%.6g" : " %10.4g", value);
    }
    std::printf(csv ? ",%.6g\n" : " %11.3g\n", growth);
}

void measure(bench::role& role, bool csv, const std::vector<std::size_t>& routers) {
    const bool has_own_sizes = !role.own_sizes().empty();
    const std::vector<std::size_t> sizes = has_own_sizes ? role.own_sizes() : routers;
    std::vector<figure> rows;
    std::vector<std::vector<double>> values;
    for (const std::size_t size : sizes) {
        rows = role.measure(size);
        values.resize(rows.size());
        for (std::size_t i = 0; i < rows.size(); ++i) {
            values[i].push_back(rows[i].value);
        }
    }
    print_title(csv, role, sizes);
    for (std::size_t i = 0; i < rows.size(); ++i) {
        print_row(csv, role.name(), rows[i], values[i],
                  slope(sizes, values[i], has_own_sizes ? 0 : probe_all_limit));
    }
}

} // namespace

int main(int argc, char** argv) {
    const std::map<std::string, docopt::value> options =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, "");
    const bool csv = options.at("--csv").asBool();
    const std::vector<std::size_t> sizes = parse_sizes(options.at("--sizes").asString());
    for (const std::unique_ptr<bench::role>& role : roles()) {
        if (!options.at("--only") || options.at("--only").asString() == role->name()) {
            measure(*role, csv, sizes);
        }
    }
    return 0;
}
