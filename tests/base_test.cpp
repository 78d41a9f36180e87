#include "base/id.h"
#include "base/ring.h"
#include "base/supervisor.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace bluebell::base;
using namespace std::chrono_literals;

namespace {

/// Worker that throws on its first `failures` runs and then runs until it is stopped.
class flaky_worker final : public worker {
public:
    flaky_worker(std::string name, std::atomic<int>& starts, int failures)
        : name_(std::move(name)), starts_(starts), failures_(failures) {}
    [[nodiscard]] std::string name() const override { return name_; }
    void run(stop_signal& stop) override {
        if (starts_++ < failures_) {
            throw std::runtime_error("injected");
        }
        while (!stop.wait_for(1s)) {
        }
    }

private:
    std::string name_;
    std::atomic<int>& starts_;
    int failures_;
};

bool wait_until(const std::function<bool()>& condition) {
    for (int i = 0; i < 500; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

} // namespace

TEST_CASE("a full ring refuses a value instead of growing") {
    ring<int> values(2);
    CHECK(values.try_push(1) == push_result::pushed);
    CHECK(values.try_push(2) == push_result::pushed);
    CHECK(values.try_push(3) == push_result::full);
    CHECK(values.push(3, 1ms) == push_result::full);
    CHECK(values.pop(0ms) == 1);
    CHECK(values.push(3, 1ms) == push_result::pushed);
    CHECK(values.pop(0ms) == 2);
    CHECK(values.pop(0ms) == 3);
    CHECK_FALSE(values.pop(1ms));
}

TEST_CASE("closing a ring wakes a blocked consumer and producer, and keeps values already accepted") {
    ring<int> empty(1);
    std::thread consumer([&] { CHECK_FALSE(empty.pop(60s)); });
    ring<int> full(1);
    REQUIRE(full.try_push(7) == push_result::pushed);
    std::thread producer([&] { CHECK(full.push(8, 60s) == push_result::closed); });
    std::this_thread::sleep_for(20ms);
    empty.close();
    full.close();
    consumer.join();
    producer.join();
    CHECK(full.pop(0ms) == 7);
    CHECK_FALSE(full.pop(60s));
}

TEST_CASE("values pass a ring between threads without loss or reordering") {
    constexpr int count = 20000;
    ring<int> values(16);
    std::thread producer([&] {
        for (int i = 0; i < count; ++i) {
            REQUIRE(values.push(i, 60s) == push_result::pushed);
        }
    });
    for (int i = 0; i < count; ++i) {
        REQUIRE(values.pop(60s) == i);
    }
    producer.join();
}

TEST_CASE("one_for_one restarts only the failed worker") {
    const steady_clock time;
    std::atomic<int> first{0};
    std::atomic<int> second{0};
    supervisor tree("tree", restart_strategy::one_for_one, {5, 10s}, time);
    tree.add(std::make_unique<flaky_worker>("first", first, 2));
    tree.add(std::make_unique<flaky_worker>("second", second, 0));
    tree.start([](const error&) { FAIL("must not escalate"); });
    // The second worker may start after the restarts of the first one.
    CHECK(wait_until([&] { return first == 3 && second == 1; }));
    CHECK(tree.report().restarts == 2);
    tree.stop();
    CHECK(second == 1);
    CHECK(tree.report().state == child_state::stopped);
}

TEST_CASE("rest_for_one also restarts the workers started after the failed one") {
    const steady_clock time;
    std::atomic<int> before{0};
    std::atomic<int> failing{0};
    std::atomic<int> after{0};
    supervisor tree("tree", restart_strategy::rest_for_one, {5, 10s}, time);
    tree.add(std::make_unique<flaky_worker>("before", before, 0));
    tree.add(std::make_unique<flaky_worker>("failing", failing, 1));
    tree.add(std::make_unique<flaky_worker>("after", after, 0));
    tree.start([](const error&) { FAIL("must not escalate"); });
    CHECK(wait_until([&] { return failing == 2 && after == 2; }));
    CHECK(before == 1);
    tree.stop();
}

TEST_CASE("repeated failures of a worker escalate through its supervisor to the root") {
    const steady_clock time;
    std::atomic<int> starts{0};
    std::atomic<int> escalations{0};
    std::unique_ptr<supervisor> inner =
        std::make_unique<supervisor>("inner", restart_strategy::one_for_one, restart_limit{2, 10s}, time);
    inner->add(std::make_unique<flaky_worker>("failing", starts, 1000));
    supervisor root("root", restart_strategy::one_for_one, {1, 10s}, time);
    root.add(std::move(inner));
    root.start([&](const error& cause) {
        CHECK(cause.code == error_code::restart_intensity_exceeded);
        ++escalations;
    });
    CHECK(wait_until([&] { return escalations == 1; }));
    CHECK(starts == 6); // (1 start + 2 restarts) for each of the two starts of the inner supervisor
    root.stop();
}

TEST_CASE("the hexadecimal form of a 128-bit id is parsed back, and malformed text is rejected") {
    const uint128 value{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
    uint128 parsed;
    REQUIRE(from_hex(to_hex(value), parsed));
    CHECK(parsed == value);
    CHECK_FALSE(from_hex("12", parsed));
    CHECK_FALSE(from_hex(std::string(32, 'g'), parsed));
    CHECK(parsed == value);
}
