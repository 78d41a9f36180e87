#include "decision/release.h"
#include "tests/property.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;
using base::error_code;
using base::revision;

namespace {

const base::time_point start{1h};

upstream_change add_upstream(const std::string& name, const std::string& pool, std::uint16_t port) {
    upstream_change item;
    item.id = base::upstream_id(name);
    item.pool = base::pool_id(pool);
    item.data_centre = base::data_centre_id("dc-1");
    item.address = endpoint{"127.0.0.1", port};
    item.place = "note:" + std::to_string(port);
    return item;
}

upstream_change withdraw_upstream(const std::string& name) {
    upstream_change item;
    item.kind = change_kind::withdraw;
    item.id = base::upstream_id(name);
    return item;
}

pool_change pool_item(change_kind kind, const std::string& name) {
    pool_change item;
    item.kind = kind;
    item.id = base::pool_id(name);
    return item;
}

account_change account_item(change_kind kind, const std::string& name, double share) {
    account_change item;
    item.kind = kind;
    item.id = base::client_account_id(name);
    if (kind != change_kind::withdraw) {
        item.share = base::weight(share);
    }
    return item;
}

release_note empty_note() {
    release_note note;
    note.author = base::operator_id("ingrid");
    return note;
}

/// Pool `text` with the upstreams `text-0` to `text-(count-1)`.
fleet_config text_fleet(std::uint16_t count) {
    release_note note = empty_note();
    note.pools.push_back(pool_item(change_kind::add, "text"));
    for (std::uint16_t i = 0; i < count; ++i) {
        note.upstreams.push_back(add_upstream("text-" + std::to_string(i), "text", 9000 + i));
    }
    REQUIRE(validate(note, fleet_config{}).empty());
    return apply(note, fleet_config{});
}

std::vector<error_code> codes(const std::vector<base::error>& faults) {
    std::vector<error_code> found;
    for (const base::error& fault : faults) {
        found.push_back(fault.code);
    }
    return found;
}

std::shared_ptr<const fleet_config> config_of(std::uint64_t rev) {
    fleet_config config;
    config.revision = revision(rev);
    return std::make_shared<const fleet_config>(config);
}

release_read store_read(std::uint64_t rev, std::uint64_t config_rev, base::time_point read_at = start) {
    return {revision(rev), config_rev == 0 ? nullptr : config_of(config_rev), config_source::store, read_at};
}

upstream departing_upstream() {
    upstream target;
    target.state = upstream_state::departing;
    return target;
}

} // namespace

TEST_CASE("every fault of a note is reported at once, so that no fault waits behind another") {
    const fleet_config current = text_fleet(2);
    release_note note = empty_note();
    note.base_revision = revision(7);
    note.accounts.push_back(account_item(change_kind::add, "bad name", 0));
    note.accounts.push_back(account_item(change_kind::change, "nobody", 2));
    note.pools.push_back(pool_item(change_kind::withdraw, "text"));
    note.pools.push_back(pool_item(change_kind::add, "text"));
    note.upstreams.push_back(withdraw_upstream("text-0"));
    note.upstreams.push_back(add_upstream("text-9", "nowhere", 9000));
    CHECK(codes(validate(note, current)) ==
          std::vector<error_code>{error_code::note_conflict,        // base_revision
                                  error_code::note_invalid_value,   // "bad name"
                                  error_code::note_unknown_name,    // nobody
                                  error_code::note_duplicate_name,  // text twice
                                  error_code::note_invalid_value,   // share 0
                                  error_code::note_contradiction,   // text still has text-1
                                  error_code::note_unknown_name,    // nowhere
                                  error_code::note_contradiction}); // address of text-0, still departing
    for (const base::error& fault : validate(note, current)) {
        CHECK_FALSE(fault.text.empty());
    }
    CHECK(codes(validate(empty_note(), current)) == std::vector<error_code>{error_code::note_malformed});
}

TEST_CASE("an upstream cannot change its address or pool, which a router that is cut off would not learn") {
    release_note note = empty_note();
    upstream_change change;
    change.kind = change_kind::change;
    change.id = base::upstream_id("text-0");
    change.address = endpoint{"127.0.0.1", 9999};
    note.upstreams.push_back(change);
    CHECK(codes(validate(note, text_fleet(1))) == std::vector<error_code>{error_code::note_invalid_value});
}

TEST_CASE("an upstream is never removed by one revision, and the second one names what to acknowledge") {
    const fleet_config before = text_fleet(1);
    release_note note = empty_note();
    note.upstreams.push_back(withdraw_upstream("text-0"));
    note.pools.push_back(pool_item(change_kind::withdraw, "text"));
    REQUIRE(validate(note, before).empty());
    CHECK_FALSE(revision_to_acknowledge(note, before));

    const fleet_config marked = apply(note, before);
    REQUIRE(marked.upstreams.size() == 1);
    CHECK(marked.upstreams.begin()->second.state == upstream_state::departing);
    CHECK(marked.pools.size() == 1);
    const std::optional<release_note> rest = remaining_withdrawals(note, marked);
    REQUIRE(rest);
    CHECK(validate(*rest, marked).empty());
    CHECK(revision_to_acknowledge(*rest, marked) == marked.revision);

    const fleet_config removed = apply(*rest, marked);
    CHECK(removed.upstreams.empty());
    CHECK(removed.pools.empty());
    CHECK_FALSE(remaining_withdrawals(note, removed));
}

TEST_CASE("valid notes in any sequence never leave an upstream without pool or two with one address") {
    const bool ok = tests::holds(11, [] {
        fleet_config config;
        const int notes = *rc::gen::inRange(1, 20);
        for (int i = 0; i < notes; ++i) {
            release_note note = empty_note();
            const int changes = *rc::gen::inRange(1, 5);
            for (int c = 0; c < changes; ++c) {
                const std::string name = std::to_string(*rc::gen::inRange(0, 4));
                const std::string pool = "p" + std::to_string(*rc::gen::inRange(0, 3));
                const change_kind kind =
                    *rc::gen::element(change_kind::add, change_kind::change, change_kind::withdraw);
                if (*rc::gen::arbitrary<bool>()) {
                    note.pools.push_back(pool_item(kind, pool));
                } else if (kind == change_kind::add) {
                    const int port = *rc::gen::inRange(9000, 9004);
                    note.upstreams.push_back(add_upstream(name, pool, static_cast<std::uint16_t>(port)));
                } else if (kind == change_kind::withdraw) {
                    note.upstreams.push_back(withdraw_upstream(name));
                }
            }
            if (validate(note, config).empty()) {
                const revision before = config.revision;
                config = apply(note, config);
                RC_ASSERT(config.revision == before + revision(1));
            }
            std::set<endpoint> addresses;
            for (const auto& entry : config.upstreams) {
                RC_ASSERT(config.pools.count(entry.second.pool) == 1U);
                RC_ASSERT(addresses.insert(entry.second.address).second);
                RC_ASSERT(entry.first == entry.second.id);
            }
        }
    });
    CHECK(ok);
}

TEST_CASE("a company split by successive notes ends with exactly the assigned upstreams and accounts") {
    const bool ok = tests::holds(12, [] {
        const std::vector<bool> to_south =
            *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
        fleet_config north = text_fleet(12);
        fleet_config south = text_fleet(0);
        std::set<base::upstream_id> expected_north;
        std::set<base::upstream_id> expected_south;
        for (std::size_t i = 0; i < to_south.size(); ++i) {
            const std::string name = "text-" + std::to_string(i);
            (to_south[i] ? expected_south : expected_north).insert(base::upstream_id(name));
            if (!to_south[i]) {
                continue;
            }
            release_note hand_over = empty_note();
            hand_over.upstreams.push_back(withdraw_upstream(name));
            for (std::optional<release_note> step = hand_over; step;
                 step = remaining_withdrawals(hand_over, north)) {
                RC_ASSERT(validate(*step, north).empty());
                north = apply(*step, north);
            }
            release_note take_over = empty_note();
            take_over.upstreams.push_back(add_upstream(name, "text", static_cast<std::uint16_t>(9000 + i)));
            RC_ASSERT(validate(take_over, south).empty());
            south = apply(take_over, south);
        }
        const auto names = [](const fleet_config& config) {
            std::set<base::upstream_id> found;
            for (const auto& entry : config.upstreams) {
                found.insert(entry.first);
            }
            return found;
        };
        RC_ASSERT(names(north) == expected_north);
        RC_ASSERT(names(south) == expected_south);
    });
    CHECK(ok);
}

TEST_CASE("the revision in force never goes back, whatever the order and staleness of reads") {
    const bool ok = tests::holds(13, [] {
        release_gate gate;
        revision highest_config;
        const std::vector<int> revisions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int rev : revisions) {
            const revision before = gate.in_force();
            if (*rc::gen::arbitrary<bool>()) {
                gate.heard(revision(static_cast<std::uint64_t>(rev)), std::nullopt, start);
                RC_ASSERT(gate.in_force() == before);
                continue;
            }
            release_read what = store_read(static_cast<std::uint64_t>(rev), static_cast<std::uint64_t>(rev));
            what.source = *rc::gen::element(config_source::store, config_source::peer);
            const bool changed = gate.read(what);
            highest_config = std::max(highest_config, what.revision);
            RC_ASSERT(gate.in_force() >= before);
            RC_ASSERT(gate.in_force() == highest_config);
            RC_ASSERT(changed == (gate.in_force() != before));
        }
    });
    CHECK(ok);
}

TEST_CASE("a restarted router is not ready on one read, which may be stale") {
    release_gate gate;
    CHECK(gate.read(store_read(6, 6)));
    CHECK_FALSE(gate.ready());
    SECTION("a second read of the same revision confirms it") {
        CHECK_FALSE(gate.read(store_read(6, 6)));
        CHECK(gate.ready());
    }
    SECTION("a peer with the same revision confirms it") {
        CHECK_FALSE(gate.heard(revision(6), std::nullopt, start));
        CHECK(gate.ready());
    }
    SECTION("a peer that lags behind confirms nothing") {
        CHECK_FALSE(gate.heard(revision(5), std::nullopt, start));
        CHECK_FALSE(gate.ready());
    }
    SECTION("a peer that is ahead is fetched from, and further stale reads do not make the router ready") {
        const endpoint admin{"127.0.0.1", 8001};
        const std::optional<fetch_release> fetch = gate.heard(revision(7), admin, start);
        REQUIRE(fetch);
        CHECK(fetch->at_least == revision(7));
        CHECK(fetch->peer == admin);
        CHECK_FALSE(gate.heard(revision(7), admin, start + 900ms));
        CHECK(gate.heard(revision(7), admin, start + 1s));
        gate.read(store_read(6, 6));
        CHECK_FALSE(gate.ready());
        CHECK(gate.read(store_read(7, 7)));
        CHECK(gate.ready());
    }
}

TEST_CASE("an isolated router sends nothing new after 3 s, and one that knows no other goes on") {
    confirmation state;
    const upstream active;
    state.set_known_peers(2);
    CHECK(state.may_send(active, start) == send_permission::isolated);
    state.read(store_read(3, 3, start), revision(3));
    CHECK(state.may_send(active, start + 2999ms) == send_permission::allowed);
    CHECK(state.may_send(active, start + 3s) == send_permission::isolated);
    state.heard(start + 3s, revision(2), 0s, revision(3));
    CHECK(state.may_send(active, start + 5999ms) == send_permission::allowed);
    CHECK(state.may_send(active, start + 6s) == send_permission::isolated);
    state.set_known_peers(0);
    CHECK(state.may_send(active, start + 24h) == send_permission::allowed);
    CHECK(state.may_send(departing_upstream(), start + 24h) == send_permission::unconfirmed);
}

TEST_CASE("in a store outage with peers work goes on, except for departing upstreams") {
    confirmation state;
    state.set_known_peers(2);
    state.read(store_read(3, 3, start), revision(3));
    for (base::duration passed = 0s; passed < 60s; passed += 500ms) {
        // The peers' confirmation is as old as ours, since none of them reads the store.
        state.heard(start + passed, revision(3), passed, revision(3));
        CHECK(state.may_send(upstream{}, start + passed) == send_permission::allowed);
        const send_permission expected =
            passed < 3s ? send_permission::allowed : send_permission::unconfirmed;
        CHECK(state.may_send(departing_upstream(), start + passed) == expected);
    }
}

TEST_CASE("neither a stale read nor a peer with another revision renews the confirmation") {
    confirmation state;
    state.set_known_peers(1);
    state.read(store_read(3, 3, start), revision(3));
    const base::time_point later = start + 10s;
    state.read(store_read(2, 3, later), revision(3));
    state.heard(later, revision(2), 0s, revision(3));
    state.heard(later, revision(4), 0s, revision(3));
    CHECK(state.age(later) == 10s);
    CHECK(state.may_send(departing_upstream(), later) == send_permission::unconfirmed);
    state.heard(later, revision(3), 1s, revision(3));
    CHECK(state.age(later) == 1s);
    CHECK(state.may_send(departing_upstream(), later) == send_permission::allowed);
}

TEST_CASE("confirmation passed on between routers never looks younger than the read it stems from") {
    const bool ok = tests::holds(14, [] {
        std::vector<confirmation> routers(5);
        base::time_point now = start;
        std::optional<base::time_point> newest_read;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            confirmation& receiver = routers[*rc::gen::inRange<std::size_t>(0, 5)];
            if (*rc::gen::inRange(0, 5) == 0) {
                receiver.read(store_read(3, 3, now), revision(3));
                newest_read = now;
            } else {
                const confirmation& sender = routers[*rc::gen::inRange<std::size_t>(0, 5)];
                receiver.heard(now, revision(3), sender.age(now), revision(3));
            }
            for (const confirmation& router : routers) {
                RC_ASSERT(!newest_read || router.age(now) >= now - *newest_read);
                RC_ASSERT(newest_read || router.age(now) == confirmation::unconfirmed_age);
            }
        }
    });
    CHECK(ok);
}

TEST_CASE("no router sends to a withdrawn upstream 3 s after the withdrawal, whatever it hears or misses") {
    // All routers know that the upstream is departing (revision 3); revision 4 withdraws it.
    struct router {
        confirmation state;
        revision in_force{3};
    };
    const bool ok = tests::holds(
        15,
        [] {
            std::vector<router> routers(5);
            base::time_point now = start;
            const base::time_point withdrawn = start + std::chrono::milliseconds(*rc::gen::inRange(0, 10000));
            const int steps = *rc::gen::inRange(1, 80);
            for (int i = 0; i < steps; ++i) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
                router& receiver = routers[*rc::gen::inRange<std::size_t>(0, 5)];
                receiver.state.set_known_peers(4);
                if (*rc::gen::inRange(0, 4) == 0) {
                    // The read was sent a while before its answer arrived.
                    const base::time_point read_at =
                        now - std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
                    const revision head(read_at < withdrawn ? 3 : 4);
                    receiver.in_force = std::max(receiver.in_force, head);
                    receiver.state.read({head, nullptr, config_source::store, read_at}, receiver.in_force);
                } else {
                    const router& sender = routers[*rc::gen::inRange<std::size_t>(0, 5)];
                    receiver.state.heard(now, sender.in_force, sender.state.age(now), receiver.in_force);
                }
                for (const router& any : routers) {
                    const bool sends =
                        any.in_force == revision(3) &&
                        any.state.may_send(departing_upstream(), now) == send_permission::allowed;
                    RC_ASSERT(!sends || now < withdrawn + 3s);
                }
            }
        },
        1000);
    CHECK(ok);
}

TEST_CASE("a router orders a read before a limit expires, and not more often than the interval") {
    confirmation state;
    state.read(store_read(3, 3, start), revision(3));
    CHECK_FALSE(state.read_due(true, start + 1s));
    state.heard(start + 2s, revision(2), 0s, revision(3));
    CHECK_FALSE(state.read_due(false, start + 2s));
    CHECK(state.read_due(true, start + 2s));
    CHECK_FALSE(state.read_due(true, start + 3s));
    CHECK(state.read_due(false, start + 3500ms));
}

TEST_CASE("a conflict names the operator, change and revision that won") {
    const base::error conflict =
        describe_conflict({revision(12), base::operator_id("ingrid"), base::change_id("c-1"), "Add text-2"});
    CHECK(conflict.code == error_code::note_conflict);
    CHECK(conflict.location == "revision 12");
    CHECK(conflict.text.find("ingrid") != std::string::npos);
    CHECK(conflict.text.find("c-1") != std::string::npos);
}
