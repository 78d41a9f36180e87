#include "decision/drain.h"
#include "decision/retry.h"
#include "decision/stream.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::hours(1)};
const base::pool_id text{"text"};
const base::upstream_id first{"w1"};
const base::upstream_id second{"w2"};

attempt_end end_with(attempt_status status, std::uint64_t delivered = 0) {
    return {status, base::cost(1), base::byte_count(delivered), std::nullopt};
}

} // namespace

TEST_CASE("a non-repeatable request that an upstream had is never run again") {
    for (const attempt_status status : {attempt_status::interrupted, attempt_status::silent}) {
        answer_stream stream;
        static_cast<void>(stream.begin(first));
        const next_step step = stream.end(end_with(status), false);
        CHECK(step.what == next_step::kind::finish);
        CHECK(step.last.result == outcome::outcome_unknown);
    }
}

TEST_CASE("a request that never reached an upstream may be retried and is not_run when given up") {
    answer_stream stream;
    next_step step;
    for (std::uint32_t i = 0; i < answer_stream::attempt_limit; ++i) {
        static_cast<void>(stream.begin(first));
        step = stream.end(end_with(attempt_status::not_sent), false);
    }
    CHECK(step.what == next_step::kind::finish);
    CHECK(step.last.result == outcome::not_run);
}

TEST_CASE("a request given up after one attempt that may have run is never reported as not_run") {
    answer_stream stream;
    static_cast<void>(stream.begin(first));
    REQUIRE(stream.end(end_with(attempt_status::interrupted), true).what == next_step::kind::retry);
    next_step step;
    for (std::uint32_t i = 1; i < answer_stream::attempt_limit; ++i) {
        static_cast<void>(stream.begin(second));
        step = stream.end(end_with(attempt_status::not_sent), true);
    }
    CHECK(step.last.result == outcome::outcome_unknown);
}

TEST_CASE("a broken stream resumes from what the caller has, on another upstream") {
    answer_stream stream;
    static_cast<void>(stream.begin(first));
    REQUIRE(stream.end(end_with(attempt_status::interrupted, 100), true).what == next_step::kind::retry);
    CHECK(stream.delivered() == base::byte_count(100));
    CHECK(stream.failed_on() == std::vector<base::upstream_id>{first});
    static_cast<void>(stream.begin(second));
    REQUIRE(stream.end(end_with(attempt_status::silent, 50), true).what == next_step::kind::retry);
    CHECK(stream.delivered() == base::byte_count(150));
}

TEST_CASE("the late end of an earlier attempt is not taken for the current one") {
    answer_stream stream;
    const base::attempt_number early = stream.begin(first);
    REQUIRE(stream.end(end_with(attempt_status::silent), true).what == next_step::kind::retry);
    CHECK_FALSE(stream.is_current(early));
    const base::attempt_number late = stream.begin(second);
    CHECK_FALSE(stream.is_current(early));
    CHECK(stream.is_current(late));
}

TEST_CASE("a failing pool gets at most a tenth of its first attempts as retries") {
    retry_budget budget({0.1, 1.0});
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.count_first_attempt(text, start);
        allowed += budget.try_take(text, start) ? 1 : 0;
    }
    CHECK(allowed == 100);
}

TEST_CASE("a quiet pool can still retry once a second, and no more") {
    retry_budget budget({0.1, 1.0});
    int allowed = 0;
    for (int second = 0; second < 100; ++second) {
        for (int i = 0; i < 5; ++i) {
            allowed += budget.try_take(text, start + std::chrono::seconds(second)) ? 1 : 0;
        }
    }
    CHECK(allowed == 100);
}

TEST_CASE("requests beside a poison request are not blocked once they completed elsewhere") {
    crash_table table({});
    const base::fingerprint innocent(9);
    table.add_report({innocent, first}, start);
    table.on_completed(innocent, start);
    table.add_report({innocent, second}, start);
    CHECK_FALSE(table.is_blocked(innocent, start));
    table.add_report({innocent, first}, start);
    REQUIRE(table.is_blocked(innocent, start));
    table.on_completed(innocent, start); // a block stays
    CHECK(table.is_blocked(innocent, start));
}

TEST_CASE("a flood of bodies that crashed once does not push out a blocked one") {
    crash_table table({2, 10min, 16});
    const base::fingerprint poison(1);
    table.add_report({poison, first}, start);
    table.add_report({poison, second}, start);
    for (std::uint64_t i = 100; i < 1000; ++i) {
        table.add_report({base::fingerprint(i), first}, start);
    }
    CHECK(table.is_blocked(poison, start));
    CHECK(table.size() == 16);
}

TEST_CASE("a request that crashed two upstreams is blocked, also when a peer saw one of the crashes") {
    crash_table table({});
    const base::fingerprint body(7);
    CHECK(table.add_report({body, first}, start));
    CHECK_FALSE(table.is_blocked(body, start));
    CHECK_FALSE(table.add_report({body, first}, start)); // the same crash heard again
    CHECK_FALSE(table.is_blocked(body, start));
    CHECK(table.add_report({body, second}, start + 1s));
    CHECK(table.is_blocked(body, start + 1s));
    CHECK_FALSE(table.is_blocked(base::fingerprint(8), start + 1s));
    CHECK_FALSE(table.is_blocked(body, start + 10min));
    table.tick(start + 11min);
    CHECK(table.size() == 0);
}

TEST_CASE("the crash table stays bounded when every body differs") {
    crash_table table({2, 10min, 16});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        table.add_report({base::fingerprint(i), first}, start);
    }
    CHECK(table.size() == 16);
}

TEST_CASE("a drain waits for requests in progress and refuses waiting ones only after its limit") {
    drain stop({60s, 1s});
    CHECK_FALSE(stop.tick(0, start));
    CHECK(stop.state() == drain_state::serving);
    stop.begin(start);
    CHECK_FALSE(stop.tick(3, start + 59s));
    CHECK(stop.tick(3, start + 60s));
    CHECK_FALSE(stop.tick(1, start + 2h)); // running requests are not cut
    CHECK(stop.state() == drain_state::finishing);
    CHECK_FALSE(stop.tick(0, start + 2h));
    CHECK(stop.state() == drain_state::drained);
}

TEST_CASE("an idle router stays up until the balancer has seen that it is not ready") {
    drain stop({60s, 1s});
    stop.begin(start);
    CHECK_FALSE(stop.tick(0, start + 999ms));
    CHECK(stop.state() == drain_state::draining);
    CHECK_FALSE(stop.tick(0, start + 1s));
    CHECK(stop.state() == drain_state::drained);
}
