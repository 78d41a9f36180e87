#include "base/metrics.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace bluebell::base;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("no update is lost when threads update the same series concurrently") {
    metrics registry;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&registry] {
            for (int n = 0; n < 1000; ++n) {
                registry.add({"requests_total", {{"class", "urgent"}}});
                registry.observe({"seconds", {}}, 1ms);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(
        contains(registry.text(), "# TYPE requests_total counter\nrequests_total{class=\"urgent\"} 4000\n"));
    CHECK(contains(registry.text(), "seconds_count 4000\n"));
}

TEST_CASE("buckets are cumulative and hold the values outside the bounds") {
    metrics registry;
    for (const duration value : {duration(100us), duration(50ms), duration(1s), duration(2h)}) {
        registry.observe({"wait_seconds", {{"class", "patient"}}}, value);
    }
    const std::string text = registry.text();
    CHECK(contains(text, "# TYPE wait_seconds histogram\n"));
    CHECK(contains(text, "wait_seconds_bucket{class=\"patient\",le=\"0.0005\"} 1\n"));
    CHECK(contains(text, "wait_seconds_bucket{class=\"patient\",le=\"0.053\"} 2\n"));
    CHECK(contains(text, "wait_seconds_bucket{class=\"patient\",le=\"1.1\"} 3\n"));
    CHECK(contains(text, "wait_seconds_bucket{class=\"patient\",le=\"1800\"} 3\n"));
    CHECK(contains(text, "wait_seconds_bucket{class=\"patient\",le=\"+Inf\"} 4\n"));
    CHECK(contains(text, "wait_seconds_sum{class=\"patient\"} 7201.05"));
}

TEST_CASE("label values cannot break the text format") {
    metrics registry;
    registry.set({"level", {{"name", "a\"b\\c\nd"}}}, 2.5);
    CHECK(contains(registry.text(), "# TYPE level gauge\nlevel{name=\"a\\\"b\\\\c\\nd\"} 2.5\n"));
}

TEST_CASE("a large value keeps its digits, so that rates of byte counts are right") {
    metrics registry;
    registry.set({"bytes", {}}, 1234567891);
    CHECK(contains(registry.text(), "bytes 1234567891\n"));
}

TEST_CASE("the number of series stays bounded") {
    metrics registry;
    for (std::size_t i = 0; i < metrics::series_limit + 10; ++i) {
        registry.add({"n_total", {{"i", std::to_string(i)}}});
    }
    CHECK(contains(registry.text(), "bluebell_metrics_dropped_total 10\n"));
}
