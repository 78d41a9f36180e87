#include "decision/drain.h"
#include "decision/retry.h"
#include "decision/stream.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

const base::time_point start_time{std::chrono::hours(1)};
const base::pool_id pool_name{"text"};
const base::upstream_id upstream_1{"w1"};
const base::upstream_id upstream_2{"w2"};

attempt_end end_with(attempt_status status, std::uint64_t delivered = 0) {
    return {status, base::cost(1), base::byte_count(delivered), std::nullopt};
}

} // namespace

TEST_CASE("a non-repeatable request that an upstream had is never run again") {
    for (const attempt_status status : {attempt_status::interrupted, attempt_status::silent}) {
        answer_stream stream;
        static_cast<void>(stream.begin(upstream_1));
        const next_step step = stream.end(end_with(status), false);
        CHECK(step.action == next_step::kind::finish);
        CHECK(step.final_verdict.result == outcome::outcome_unknown);
    }
}

TEST_CASE("a request that never reached an upstream may be retried and is not_run when given up") {
    answer_stream stream;
    next_step step;
    for (std::uint32_t i = 0; i < answer_stream::attempt_limit; ++i) {
        static_cast<void>(stream.begin(upstream_1));
        step = stream.end(end_with(attempt_status::not_sent), false);
    }
    CHECK(step.action == next_step::kind::finish);
    CHECK(step.final_verdict.result == outcome::not_run);
}

TEST_CASE("a request given up after one attempt that may have run is never reported as not_run") {
    answer_stream stream;
    static_cast<void>(stream.begin(upstream_1));
    REQUIRE(stream.end(end_with(attempt_status::interrupted), true).action == next_step::kind::retry);
    next_step step;
    for (std::uint32_t i = 1; i < answer_stream::attempt_limit; ++i) {
        static_cast<void>(stream.begin(upstream_2));
        step = stream.end(end_with(attempt_status::not_sent), true);
    }
    CHECK(step.final_verdict.result == outcome::outcome_unknown);
}

TEST_CASE("a broken stream resumes from what the caller has, on another upstream") {
    answer_stream stream;
    static_cast<void>(stream.begin(upstream_1));
    REQUIRE(stream.end(end_with(attempt_status::interrupted, 100), true).action == next_step::kind::retry);
    CHECK(stream.delivered() == base::byte_count(100));
    CHECK(stream.failed_upstreams() == std::vector<base::upstream_id>{upstream_1});
    static_cast<void>(stream.begin(upstream_2));
    REQUIRE(stream.end(end_with(attempt_status::silent, 50), true).action == next_step::kind::retry);
    CHECK(stream.delivered() == base::byte_count(150));
}

TEST_CASE("the late end of an earlier attempt is not taken for that of the current one") {
    answer_stream stream;
    const base::attempt_number early = stream.begin(upstream_1);
    REQUIRE(stream.end(end_with(attempt_status::silent), true).action == next_step::kind::retry);
    CHECK_FALSE(stream.is_current(early));
    const base::attempt_number late = stream.begin(upstream_2);
    CHECK_FALSE(stream.is_current(early));
    CHECK(stream.is_current(late));
}

TEST_CASE("a failing pool gets at most a tenth of its first attempts as retries") {
    retry_budget budget({0.1, 1.0});
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.count_first_attempt(pool_name, start_time);
        allowed += budget.try_take(pool_name, start_time) ? 1 : 0;
    }
    CHECK(allowed == 100);
}

TEST_CASE("a pool without first attempts can retry once a second, and no more") {
    retry_budget budget({0.1, 1.0});
    int allowed = 0;
    for (int elapsed_s = 0; elapsed_s < 100; ++elapsed_s) {
        for (int i = 0; i < 5; ++i) {
            allowed += budget.try_take(pool_name, start_time + std::chrono::seconds(elapsed_s)) ? 1 : 0;
        }
    }
    CHECK(allowed == 100);
}

TEST_CASE("a request that completed after its first crash is not blocked by the next one") {
    // Such a request only shared upstreams with a poison request when they crashed.
    crash_table table({});
    const base::fingerprint harmless(9);
    table.add_report({harmless, upstream_1}, start_time);
    table.on_completed(harmless, start_time);
    table.add_report({harmless, upstream_2}, start_time);
    CHECK_FALSE(table.is_blocked(harmless, start_time));
    table.add_report({harmless, upstream_1}, start_time);
    REQUIRE(table.is_blocked(harmless, start_time));
    table.on_completed(harmless, start_time); // an existing block is kept
    CHECK(table.is_blocked(harmless, start_time));
}

TEST_CASE("many bodies that crashed once do not evict a blocked one") {
    crash_table table({2, 10min, 16});
    const base::fingerprint poison(1);
    table.add_report({poison, upstream_1}, start_time);
    table.add_report({poison, upstream_2}, start_time);
    for (std::uint64_t i = 100; i < 1000; ++i) {
        table.add_report({base::fingerprint(i), upstream_1}, start_time);
    }
    CHECK(table.is_blocked(poison, start_time));
    CHECK(table.size() == 16);
}

TEST_CASE("a request that crashed two upstreams is blocked, also when a peer saw one of the crashes") {
    crash_table table({});
    const base::fingerprint body(7);
    CHECK(table.add_report({body, upstream_1}, start_time));
    CHECK_FALSE(table.is_blocked(body, start_time));
    CHECK_FALSE(table.add_report({body, upstream_1}, start_time)); // repeated report of the same crash
    CHECK_FALSE(table.is_blocked(body, start_time));
    CHECK(table.add_report({body, upstream_2}, start_time + 1s));
    CHECK(table.is_blocked(body, start_time + 1s));
    CHECK_FALSE(table.is_blocked(base::fingerprint(8), start_time + 1s));
    CHECK_FALSE(table.is_blocked(body, start_time + 10min));
    table.tick(start_time + 11min);
    CHECK(table.size() == 0);
}

TEST_CASE("the crash table stays bounded when every body differs") {
    crash_table table({2, 10min, 16});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        table.add_report({base::fingerprint(i), upstream_1}, start_time);
    }
    CHECK(table.size() == 16);
}

TEST_CASE("a drain waits for requests in progress and refuses waiting ones only after its limit") {
    drain stop({60s, 1s});
    CHECK_FALSE(stop.tick(0, start_time));
    CHECK(stop.state() == drain_state::serving);
    stop.begin(start_time);
    CHECK_FALSE(stop.tick(3, start_time + 59s));
    CHECK(stop.tick(3, start_time + 60s));
    CHECK_FALSE(stop.tick(1, start_time + 2h)); // running requests are not cancelled
    CHECK(stop.state() == drain_state::finishing);
    CHECK_FALSE(stop.tick(0, start_time + 2h));
    CHECK(stop.state() == drain_state::drained);
}

TEST_CASE("an idle router stays up until the load balancer can see that it is not ready") {
    drain stop({60s, 1s});
    stop.begin(start_time);
    CHECK_FALSE(stop.tick(0, start_time + 999ms));
    CHECK(stop.state() == drain_state::draining);
    CHECK_FALSE(stop.tick(0, start_time + 1s));
    CHECK(stop.state() == drain_state::drained);
}
