#include "dispatch/attribution.h"

#include <catch2/catch.hpp>

namespace {

using namespace bluebell;
using bluebell::dispatch::crash_attribution;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const base::time_point start(std::chrono::hours(1));

base::upstream_id upstream(int i) {
    return base::upstream_id("u" + std::to_string(i));
}

/// Suspect with a request of its own and two shared parts.
decision::crash_suspect suspect(std::uint64_t request, std::uint64_t opening, std::uint64_t part) {
    return {base::fingerprint(1'000'000 + request), {base::fingerprint(opening), base::fingerprint(part)}};
}

constexpr std::uint64_t opening = 1;
constexpr std::uint64_t harmful = 666;

/// Adds crashes `first` to `last`, 300 ms apart, each under a request with the harmful part. A request with
/// part 50 waits beside every other one.
void crash_often(crash_attribution& crashes, int first, int last) {
    for (int i = first; i <= last; ++i) {
        const base::time_point now = start + milliseconds(300) * i;
        const std::uint64_t request = 10 * static_cast<std::uint64_t>(i);
        crashes.add_crash(upstream(i), now, {suspect(request, opening, harmful)}, now);
        if (i % 2 == 0) {
            crashes.add_crash(upstream(i), now, {suspect(request + 1, opening, 50)}, now);
        }
        static_cast<void>(crashes.update(now));
    }
}

} // namespace

TEST_CASE("what waited beside a harmful part is not blocked with it") {
    crash_attribution crashes;
    crash_often(crashes, 1, 3);
    crashes.add_success(suspect(1, opening, 51), start + seconds(1), start + seconds(1));
    crash_often(crashes, 4, 9);
    CHECK(crashes.is_blocked(suspect(900, 2, harmful)));
    CHECK_FALSE(crashes.is_blocked(suspect(901, opening, 50)));
    CHECK_FALSE(crashes.is_blocked(suspect(902, opening, 51)));
}

TEST_CASE("a part that an upstream answered after the crashes is not blocked, and a block of it is lifted") {
    crash_attribution crashes;
    crash_often(crashes, 1, 3);
    const bool early = GENERATE(true, false);
    const base::time_point answered_at = start + (early ? milliseconds(950) : milliseconds(3000));
    static_cast<void>(crashes.update(answered_at));
    REQUIRE(crashes.is_blocked(suspect(900, 2, harmful)) == !early);
    crashes.add_success(suspect(900, 2, harmful), answered_at, answered_at);
    static_cast<void>(crashes.update(answered_at + seconds(1)));
    CHECK_FALSE(crashes.is_blocked(suspect(901, 2, harmful)));
}

TEST_CASE("the parts of one request that is repeated are not blocked with the request") {
    crash_attribution crashes;
    for (int i = 1; i <= 6; ++i) {
        const base::time_point now = start + seconds(i);
        crashes.add_crash(upstream(i), now, {suspect(7, opening, 50)}, now);
        static_cast<void>(crashes.update(now));
    }
    CHECK(crashes.is_blocked(suspect(7, opening, 50)));
    CHECK_FALSE(crashes.is_blocked(suspect(8, opening, 50)));
}

TEST_CASE("crashes that several routers saw in part add up, and a peer's block holds everywhere") {
    crash_attribution first;
    crash_attribution second;
    const auto exchange = [&](base::time_point now) {
        second.merge(first.news(now), now);
        first.merge(second.news(now), now);
    };
    for (int i = 1; i <= 4; ++i) {
        const base::time_point now = start + milliseconds(300) * i;
        crash_attribution& observer = i % 2 == 0 ? first : second;
        const std::uint64_t request = static_cast<std::uint64_t>(i);
        observer.add_crash(upstream(i), now, {suspect(request, 100 + request, harmful)}, now);
        exchange(now + milliseconds(20));
        static_cast<void>(first.update(now + milliseconds(20)));
    }
    REQUIRE(first.is_blocked(suspect(9, 2, harmful)));
    CHECK_FALSE(second.is_blocked(suspect(9, 2, harmful)));
    exchange(start + seconds(10));
    CHECK(second.update(start + seconds(10)).size() == 1);
    CHECK(second.is_blocked(suspect(9, 2, harmful)));
    // A success at one router lifts the block at both.
    second.add_success(suspect(10, 2, harmful), start + seconds(11), start + seconds(11));
    exchange(start + seconds(11) + milliseconds(500));
    CHECK_FALSE(first.is_blocked(suspect(9, 2, harmful)));
}

TEST_CASE("a block ends with the lifetime of its last crash, and the state stays bounded") {
    crash_attribution crashes;
    crash_often(crashes, 1, 2000);
    CHECK(crashes.is_blocked(suspect(900, 2, harmful)));
    const base::time_point later = start + minutes(21);
    static_cast<void>(crashes.update(later));
    CHECK_FALSE(crashes.is_blocked(suspect(900, 2, harmful)));
    CHECK_FALSE(crashes.has_suspects());
    const decision::crash_news news = crashes.news(later);
    CHECK(news.crashes.empty());
    CHECK(news.blocked.empty());
}
