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
    upstream_change change;
    change.id = base::upstream_id(name);
    change.pool = base::pool_id(pool);
    change.data_centre = base::data_centre_id("dc-1");
    change.address = endpoint{"127.0.0.1", port};
    change.location = "note:" + std::to_string(port);
    return change;
}

upstream_change withdraw_upstream(const std::string& name) {
    upstream_change change;
    change.kind = change_kind::withdraw;
    change.id = base::upstream_id(name);
    return change;
}

pool_change pool_item(change_kind kind, const std::string& name) {
    pool_change change;
    change.kind = kind;
    change.id = base::pool_id(name);
    return change;
}

account_change account_item(change_kind kind, const std::string& name, double share) {
    account_change change;
    change.kind = kind;
    change.id = base::client_account_id(name);
    if (kind != change_kind::withdraw) {
        change.share = base::weight(share);
    }
    return change;
}

release_note empty_note() {
    release_note note;
    note.author = base::operator_id("ingrid");
    return note;
}

/// Returns a fleet with the pool `text` and the upstreams `text-0` to `text-(count-1)`.
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

std::shared_ptr<const fleet_config> config_of(std::uint64_t revision_number) {
    fleet_config config;
    config.revision = revision(revision_number);
    return std::make_shared<const fleet_config>(config);
}

release_read store_read(std::uint64_t revision_number, std::uint64_t config_rev,
                        base::time_point read_at = start) {
    return {revision(revision_number), config_rev == 0 ? nullptr : config_of(config_rev),
            config_source::store, read_at};
}

upstream departing_upstream() {
    upstream target;
    target.state = upstream_state::departing;
    return target;
}

} // namespace

TEST_CASE("validation reports all errors of a note at once") {
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

/// A router that is cut off would not learn the new address or pool and would continue to use the old one.
TEST_CASE("the address and pool of an upstream cannot change") {
    release_note note = empty_note();
    upstream_change change;
    change.kind = change_kind::change;
    change.id = base::upstream_id("text-0");
    change.address = endpoint{"127.0.0.1", 9999};
    note.upstreams.push_back(change);
    CHECK(codes(validate(note, text_fleet(1))) == std::vector<error_code>{error_code::note_invalid_value});
}

TEST_CASE("an upstream is removed in two revisions, and the second requires that the first is acknowledged") {
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
    const std::optional<release_note> remaining = remaining_withdrawals(note, marked);
    REQUIRE(remaining);
    CHECK(validate(*remaining, marked).empty());
    CHECK(revision_to_acknowledge(*remaining, marked) == marked.revision);

    const fleet_config removed = apply(*remaining, marked);
    CHECK(removed.upstreams.empty());
    CHECK(removed.pools.empty());
    CHECK_FALSE(remaining_withdrawals(note, removed));
}

TEST_CASE("any sequence of valid notes leaves each upstream with a pool and a unique address") {
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

TEST_CASE("upstreams moved between two fleets by successive notes end up exactly as assigned") {
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

TEST_CASE("the revision in force never decreases, whatever the order and staleness of reads") {
    const bool ok = tests::holds(13, [] {
        release_gate gate;
        revision highest_config;
        const std::vector<int> revisions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int revision_number : revisions) {
            const revision before = gate.in_force();
            if (*rc::gen::arbitrary<bool>()) {
                gate.on_peer_revision(revision(static_cast<std::uint64_t>(revision_number)), std::nullopt,
                                      start);
                RC_ASSERT(gate.in_force() == before);
                continue;
            }
            release_read read_result = store_read(static_cast<std::uint64_t>(revision_number),
                                                  static_cast<std::uint64_t>(revision_number));
            read_result.source = *rc::gen::element(config_source::store, config_source::peer);
            const bool changed = gate.on_release_read(read_result);
            highest_config = std::max(highest_config, read_result.revision);
            RC_ASSERT(gate.in_force() >= before);
            RC_ASSERT(gate.in_force() == highest_config);
            RC_ASSERT(changed == (gate.in_force() != before));
        }
    });
    CHECK(ok);
}

TEST_CASE("a restarted router is not ready after a single read, which may be stale") {
    release_gate gate;
    CHECK(gate.on_release_read(store_read(6, 6)));
    CHECK_FALSE(gate.ready());
    SECTION("a second read of the same revision confirms it") {
        CHECK_FALSE(gate.on_release_read(store_read(6, 6)));
        CHECK(gate.ready());
    }
    SECTION("a peer with the same revision confirms it") {
        CHECK_FALSE(gate.on_peer_revision(revision(6), std::nullopt, start));
        CHECK(gate.ready());
    }
    SECTION("a peer with an older revision confirms nothing") {
        CHECK_FALSE(gate.on_peer_revision(revision(5), std::nullopt, start));
        CHECK_FALSE(gate.ready());
    }
    SECTION("a newer revision at a peer is fetched, and further stale reads do not make the router ready") {
        const endpoint admin{"127.0.0.1", 8001};
        const std::optional<fetch_release> fetch = gate.on_peer_revision(revision(7), admin, start);
        REQUIRE(fetch);
        CHECK(fetch->at_least == revision(7));
        CHECK(fetch->peer == admin);
        CHECK_FALSE(gate.on_peer_revision(revision(7), admin, start + 900ms));
        CHECK(gate.on_peer_revision(revision(7), admin, start + 1s));
        gate.on_release_read(store_read(6, 6));
        CHECK_FALSE(gate.ready());
        CHECK(gate.on_release_read(store_read(7, 7)));
        CHECK(gate.ready());
    }
}

TEST_CASE("an isolated router sends no new work after 3 s; a router without peers continues") {
    confirmation state;
    const upstream active;
    state.set_known_peers(2);
    CHECK(state.may_send(active, start) == send_permission::isolated);
    state.on_release_read(store_read(3, 3, start), revision(3));
    CHECK(state.may_send(active, start + 2999ms) == send_permission::allowed);
    CHECK(state.may_send(active, start + 3s) == send_permission::isolated);
    state.on_peer_message(start + 3s, revision(2), 0s, revision(3));
    CHECK(state.may_send(active, start + 5999ms) == send_permission::allowed);
    CHECK(state.may_send(active, start + 6s) == send_permission::isolated);
    state.set_known_peers(0);
    CHECK(state.may_send(active, start + 24h) == send_permission::allowed);
    CHECK(state.may_send(departing_upstream(), start + 24h) == send_permission::unconfirmed);
}

TEST_CASE("during a store outage with peers only departing upstreams get no new work") {
    confirmation state;
    state.set_known_peers(2);
    state.on_release_read(store_read(3, 3, start), revision(3));
    for (base::duration passed = 0s; passed < 60s; passed += 500ms) {
        // The confirmation of the peers is as old as that of this router, since none of them reads the store.
        state.on_peer_message(start + passed, revision(3), passed, revision(3));
        CHECK(state.may_send(upstream{}, start + passed) == send_permission::allowed);
        const send_permission expected =
            passed < 3s ? send_permission::allowed : send_permission::unconfirmed;
        CHECK(state.may_send(departing_upstream(), start + passed) == expected);
    }
}

TEST_CASE("neither a stale read nor a peer with another revision renews the confirmation") {
    confirmation state;
    state.set_known_peers(1);
    state.on_release_read(store_read(3, 3, start), revision(3));
    const base::time_point later = start + 10s;
    state.on_release_read(store_read(2, 3, later), revision(3));
    state.on_peer_message(later, revision(2), 0s, revision(3));
    state.on_peer_message(later, revision(4), 0s, revision(3));
    CHECK(state.age(later) == 10s);
    CHECK(state.may_send(departing_upstream(), later) == send_permission::unconfirmed);
    state.on_peer_message(later, revision(3), 1s, revision(3));
    CHECK(state.age(later) == 1s);
    CHECK(state.may_send(departing_upstream(), later) == send_permission::allowed);
}

TEST_CASE("a confirmation passed between routers is never younger than the read that it is based on") {
    const bool ok = tests::holds(14, [] {
        std::vector<confirmation> routers(5);
        base::time_point now = start;
        std::optional<base::time_point> newest_read;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            confirmation& receiver = routers[*rc::gen::inRange<std::size_t>(0, 5)];
            if (*rc::gen::inRange(0, 5) == 0) {
                receiver.on_release_read(store_read(3, 3, now), revision(3));
                newest_read = now;
            } else {
                const confirmation& sender = routers[*rc::gen::inRange<std::size_t>(0, 5)];
                receiver.on_peer_message(now, revision(3), sender.age(now), revision(3));
            }
            for (const confirmation& router : routers) {
                RC_ASSERT(!newest_read || router.age(now) >= now - *newest_read);
                RC_ASSERT(newest_read || router.age(now) == confirmation::unconfirmed_age);
            }
        }
    });
    CHECK(ok);
}

TEST_CASE("no router sends to an upstream later than 3 s after its withdrawal") {
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
                    // The read was sent some time before its answer arrived.
                    const base::time_point read_at =
                        now - std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
                    const revision head(read_at < withdrawn ? 3 : 4);
                    receiver.in_force = std::max(receiver.in_force, head);
                    receiver.state.on_release_read({head, nullptr, config_source::store, read_at},
                                                   receiver.in_force);
                } else {
                    const router& sender = routers[*rc::gen::inRange<std::size_t>(0, 5)];
                    receiver.state.on_peer_message(now, sender.in_force, sender.state.age(now),
                                                   receiver.in_force);
                }
                for (const router& router_state : routers) {
                    const bool sends =
                        router_state.in_force == revision(3) &&
                        router_state.state.may_send(departing_upstream(), now) == send_permission::allowed;
                    RC_ASSERT(!sends || now < withdrawn + 3s);
                }
            }
        },
        1000);
    CHECK(ok);
}

TEST_CASE("a read is due before a limit expires, and not more often than the read interval") {
    confirmation state;
    state.on_release_read(store_read(3, 3, start), revision(3));
    CHECK_FALSE(state.read_due(true, start + 1s));
    state.on_peer_message(start + 2s, revision(2), 0s, revision(3));
    CHECK_FALSE(state.read_due(false, start + 2s));
    CHECK(state.read_due(true, start + 2s));
    CHECK_FALSE(state.read_due(true, start + 3s));
    CHECK(state.read_due(false, start + 3500ms));
}

TEST_CASE("a conflict error names the operator, change and revision that were accepted first") {
    const base::error conflict =
        describe_conflict({revision(12), base::operator_id("ingrid"), base::change_id("c-1"), "Add text-2"});
    CHECK(conflict.code == error_code::note_conflict);
    CHECK(conflict.location == "revision 12");
    CHECK(conflict.text.find("ingrid") != std::string::npos);
    CHECK(conflict.text.find("c-1") != std::string::npos);
}
