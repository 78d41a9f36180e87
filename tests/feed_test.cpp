#include "dispatch/feed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace {

using namespace bluebell;
using namespace bluebell::dispatch;
using std::chrono::milliseconds;

using upstream_list = std::map<base::upstream_id, upstream_entry>;

const base::vm_id delegate("delegate");
const base::vm_id router("router");
const base::incarnation first_start(7);

upstream_entry make_entry(int number, std::int64_t started_ms = 1) {
    upstream_entry entry;
    entry.id = base::upstream_id("worker-with-a-long-name-" + std::to_string(number));
    entry.pool = base::pool_id("model");
    entry.address = {"10.0.0.1", 9000};
    entry.started_ms = started_ms;
    entry.version = base::software_version("v" + std::to_string(started_ms));
    return entry;
}

upstream_list make_list(int count) {
    upstream_list list;
    for (int i = 0; i < count; ++i) {
        const upstream_entry entry = make_entry(i);
        list[entry.id] = entry;
    }
    return list;
}

/// A router that applies what it receives.
struct following_router {
    list_replica replica;
    upstream_list list;
    int whole_lists = 0;

    void receive(const decision::upstream_list_update& update, base::incarnation incarnation = first_start) {
        const std::optional<received_list_change> change = replica.receive(delegate, incarnation, update);
        if (!change) {
            return;
        }
        if (change->whole_list) {
            list.clear();
            ++whole_lists;
        }
        for (const upstream_change& one : change->changes) {
            if (one.entry) {
                list[one.id] = *one.entry;
            } else {
                list.erase(one.id);
            }
        }
    }
    [[nodiscard]] bool has(const upstream_list& expected) const {
        return std::equal(list.begin(), list.end(), expected.begin(), expected.end(),
                          [](const auto& a, const auto& b) {
                              return a.first == b.first && a.second.started_ms == b.second.started_ms &&
                                     a.second.phase == b.second.phase && a.second.version == b.second.version;
                          });
    }
};

} // namespace

TEST_CASE("a router gets the whole list once, and then only what changes") {
    base::time_point now(std::chrono::hours(1));
    list_feed feed(first_start);
    following_router follower;
    upstream_list list = make_list(100);
    feed.update(list, 500);
    feed.record_report(router, 0);
    const std::vector<decision::upstream_list_update> whole = feed.updates_for(router, now);
    CHECK(whole.size() > 1);
    for (const decision::upstream_list_update& part : whole) {
        CHECK_FALSE(follower.has(list));
        follower.receive(part);
    }
    REQUIRE(follower.has(list));
    CHECK(feed.updates_for(router, now).empty());

    list.erase(list.begin());
    list.begin()->second.phase = upstream_phase::draining;
    REQUIRE(feed.update(list, 501));
    CHECK_FALSE(feed.update(list, 502));
    const std::vector<decision::upstream_list_update> changes = feed.updates_for(router, now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].changes.size() == 2);
    follower.receive(changes[0]);
    CHECK(follower.has(list));
    CHECK(follower.whole_lists == 1);
}

TEST_CASE("an update that was lost is repeated, and later ones are not applied before it") {
    base::time_point now(std::chrono::hours(1));
    list_feed feed(first_start);
    following_router follower;
    upstream_list list = make_list(3);
    feed.update(list, 1);
    feed.record_report(router, 0);
    for (const decision::upstream_list_update& part : feed.updates_for(router, now)) {
        follower.receive(part);
    }
    feed.record_report(router, follower.replica.version(delegate));
    const upstream_list before = list;
    list.erase(list.begin());
    feed.update(list, 2);
    REQUIRE(feed.updates_for(router, now).size() == 1); // lost
    list[make_entry(7).id] = make_entry(7);
    feed.update(list, 3);
    for (const decision::upstream_list_update& part : feed.updates_for(router, now)) {
        follower.receive(part);
    }
    CHECK(follower.has(before));
    feed.record_report(router, follower.replica.version(delegate));
    CHECK(feed.updates_for(router, now).empty());
    now += list_feed::repeat_time;
    for (const decision::upstream_list_update& part : feed.updates_for(router, now)) {
        follower.receive(part);
    }
    CHECK(follower.has(list));
    CHECK(follower.whole_lists == 1);
}

TEST_CASE("a router that never confirms is not sent the list again and again") {
    base::time_point now(std::chrono::hours(1));
    list_feed feed(first_start);
    feed.update(make_list(20), 1);
    std::size_t messages = 0;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(100);
        feed.record_report(router, 0);
        messages += feed.updates_for(router, now).empty() ? 0 : 1;
    }
    CHECK(messages <= 2 + list_feed::max_quick_repeats + milliseconds(10000) / list_feed::silent_repeat_time);
}

TEST_CASE("after a restart of the delegate or of the router, the router gets the whole list") {
    base::time_point now(std::chrono::hours(1));
    upstream_list list = make_list(5);
    list_feed feed(first_start);
    following_router follower;
    feed.update(list, 1);
    feed.record_report(router, 0);
    const std::vector<decision::upstream_list_update> stale = feed.updates_for(router, now);
    follower.receive(stale.at(0));

    const base::incarnation second_start(5000);
    list_feed restarted(second_start);
    list.erase(list.begin());
    restarted.update(list, 2);
    restarted.record_report(router, follower.replica.version(delegate));
    now += list_feed::repeat_time;
    for (int i = 0; i < 2; ++i) {
        for (const decision::upstream_list_update& part : restarted.updates_for(router, now)) {
            follower.receive(part, second_start);
        }
        restarted.record_report(router, follower.replica.version(delegate));
        now += list_feed::repeat_time;
    }
    CHECK(follower.has(list));
    // A late datagram of the earlier process restores nothing.
    follower.receive(stale.at(0));
    CHECK(follower.has(list));

    following_router fresh;
    restarted.record_report(router, 0);
    now += list_feed::repeat_time;
    for (const decision::upstream_list_update& part : restarted.updates_for(router, now)) {
        fresh.receive(part, second_start);
    }
    CHECK(fresh.has(list));
}

TEST_CASE("a router never goes back to an older list, whatever is lost, repeated, delayed or reordered") {
    const std::uint64_t seed = GENERATE(range(1, 41));
    std::mt19937_64 random(seed);
    const auto chance = [&](double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    };
    base::time_point now(std::chrono::hours(1));
    list_feed feed(first_start);
    following_router follower;
    upstream_list list = make_list(40);
    std::map<std::uint64_t, upstream_list> history;
    std::vector<decision::upstream_list_update> in_transit;
    std::uint64_t applied = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(20);
        const bool still_changing = step < 400;
        if (still_changing && chance(0.3)) {
            const int number = std::uniform_int_distribution<int>(0, 59)(random);
            const upstream_entry entry = make_entry(number, step);
            if (chance(0.4)) {
                list.erase(entry.id);
            } else {
                list[entry.id] = entry;
            }
        }
        feed.update(list, static_cast<std::uint64_t>(step));
        history[feed.version()] = list;
        if (step % 5 == 0) {
            feed.record_report(router, follower.replica.version(delegate));
        }
        for (decision::upstream_list_update& update : feed.updates_for(router, now)) {
            if (!still_changing || chance(0.8)) {
                in_transit.push_back(update);
            }
            if (chance(0.1)) {
                in_transit.push_back(std::move(update));
            }
        }
        std::shuffle(in_transit.begin(), in_transit.end(), random);
        while (!in_transit.empty() && chance(0.6)) {
            follower.receive(in_transit.back());
            in_transit.pop_back();
        }
        const std::uint64_t version = follower.replica.version(delegate);
        REQUIRE(version >= applied);
        applied = version;
        if (version > 0) {
            REQUIRE(follower.has(history.at(version)));
        }
    }
    CHECK(follower.has(list));
}
