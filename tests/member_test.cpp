#include "decision/member.h"
#include "tests/network.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace bluebell;
using namespace std::chrono_literals;
using decision::member_change_kind;
using tests::member_network;

namespace {

constexpr std::size_t small_fleet = 9;
constexpr std::size_t design_fleet = 350;
constexpr base::duration period = 500ms;

/// Returns a fleet whose routers agree on the members, with no recorded changes.
member_network make_converged_fleet(std::size_t count, std::uint64_t seed) {
    member_network fleet(count, seed);
    fleet.start_all();
    fleet.run_until(30s, [&] { return fleet.agreed(); });
    fleet.run(5s);
    for (member_network::node& node : fleet.nodes()) {
        node.changes.clear();
    }
    return fleet;
}

std::size_t count_changes(member_network& fleet, member_change_kind kind) {
    std::size_t count = 0;
    for (const member_network::node& node : fleet.nodes()) {
        for (const decision::member_change& change : node.changes) {
            count += change.kind == kind ? 1 : 0;
        }
    }
    return count;
}

std::set<std::size_t> first_indices(std::size_t count) {
    std::set<std::size_t> indices;
    for (std::size_t i = 0; i < count; ++i) {
        indices.insert(i);
    }
    return indices;
}

bool suspects(const member_network::node& node) {
    const std::vector<decision::member_info> all = node.table->members();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& info) { return info.state == decision::liveness::suspect; });
}

bool owned_by(const member_network::node& node, const base::vm_id& vm) {
    const std::vector<base::vm_id>& owners = node.table->owners();
    return std::find(owners.begin(), owners.end(), vm) != owners.end();
}

bool all_in_force(member_network& fleet, base::revision revision) {
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(),
                       [&](const auto& node) { return node.table->in_force() == revision; });
}

bool all_known_in_force(member_network& fleet, base::revision revision) {
    for (const member_network::node& node : fleet.nodes()) {
        for (const decision::member_info& info : node.table->members()) {
            if (info.in_force != revision) {
                return false;
            }
        }
    }
    return true;
}

std::set<std::size_t> random_side(std::size_t count, std::mt19937_64& random) {
    std::set<std::size_t> side;
    for (std::size_t i = 0; i < count; ++i) {
        if (random() % 2 == 0) {
            side.insert(i);
        }
    }
    return side;
}

void inject_fault(member_network& fleet, std::mt19937_64& random) {
    const std::size_t count = fleet.nodes().size();
    const std::size_t index = random() % count;
    member_network::node& node = fleet.at(index);
    switch (random() % 8) {
    case 0:
        fleet.kill(index);
        break;
    case 1:
        fleet.start(index); // also restarts a running router with empty memory
        break;
    case 2:
        if (node.table && !node.paused) {
            fleet.pause(index);
        }
        break;
    case 3:
        if (node.table && node.paused) {
            fleet.resume(index);
        }
        break;
    case 4:
        fleet.partition(random_side(count, random));
        break;
    case 5:
        fleet.heal();
        fleet.cut(index, random() % count);
        break;
    case 6:
        fleet.network().loss = static_cast<double>(random() % 40) / 100;
        fleet.network().duplication = static_cast<double>(random() % 40) / 100;
        break;
    default:
        fleet.show_list(random_side(count, random));
        break;
    }
}

/// Ends all faults. Dead routers stay dead and listed.
void end_faults(member_network& fleet) {
    fleet.heal();
    fleet.network() = {};
    fleet.show_list({});
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
        if (fleet.at(i).table && fleet.at(i).paused) {
            fleet.resume(i);
        }
    }
}

} // namespace

TEST_CASE("a dead router loses its ownership after probe, suspicion and gossip time") {
    for (const std::size_t count : {small_fleet, std::size_t{50}}) {
        member_network fleet = make_converged_fleet(count, 11);
        fleet.kill(2);
        const base::duration limit = count <= 16 ? 2 * period + 2100ms : 5s;
        CHECK(fleet.run_until(10s, [&] { return fleet.agreed(); }) <= limit);
        CHECK(count_changes(fleet, member_change_kind::left) == count - 1);
    }
}

TEST_CASE("peers learn the new incarnation of a restarted router at once") {
    member_network fleet = make_converged_fleet(small_fleet, 12);
    fleet.kill(2);
    fleet.run(300ms);
    fleet.start(2);
    fleet.run(100ms);
    CHECK(fleet.agreed());
    CHECK(count_changes(fleet, member_change_kind::restarted) == small_fleet - 1);
    CHECK(count_changes(fleet, member_change_kind::left) == 0);
}

TEST_CASE(
    "the address of a router that restarts on another port is updated although the VM list is out of date") {
    const base::time_point start{1h};
    decision::member_settings settings;
    settings.self = base::vm_id("self");
    settings.incarnation = base::incarnation(1);
    settings.address = {"127.0.0.1", 1};
    decision::member table(settings, start);
    const base::vm_id other("other");
    const decision::endpoint before{"127.0.0.1", 2};
    const decision::endpoint after{"127.0.0.1", 3};
    table.update_vm_list({{other, base::data_centre_id("dc"), before, before, false}}, start);
    const auto introduce = [&](std::uint64_t incarnation, const decision::endpoint& address) {
        decision::member_update own;
        own.vm = other;
        own.incarnation = base::incarnation(incarnation);
        own.address = address;
        decision::message_header header;
        header.sender = other;
        header.incarnation = own.incarnation;
        decision::ping probe;
        probe.nonce = 7;
        probe.updates = {own};
        return decision::envelope{header, probe};
    };
    REQUIRE(table.receive(introduce(1, before), start));
    REQUIRE(table.control_address(other) == before);
    // The first message of the new incarnation carries no address.
    decision::envelope first_message = introduce(2, after);
    first_message.body = decision::settle_ack{};
    REQUIRE(table.receive(first_message, start));
    REQUIRE(table.receive(introduce(2, after), start));
    CHECK(table.control_address(other) == after);
}

TEST_CASE("a router that restarts with a lower incarnation after its clock was set back is admitted") {
    member_network fleet = make_converged_fleet(small_fleet, 13);
    const base::incarnation before = fleet.at(2).table->incarnation();
    fleet.kill(2);
    fleet.restart_as(2, before - base::incarnation(1000));
    fleet.run(100ms);
    CHECK(fleet.agreed());
    CHECK(fleet.at(2).table->incarnation() > before);
}

TEST_CASE("loss and duplication do not drop a live router") {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        member_network fleet = make_converged_fleet(small_fleet, seed);
        fleet.network().loss = 0.1;
        fleet.network().duplication = 0.1;
        fleet.run(60s);
        CHECK(count_changes(fleet, member_change_kind::left) == 0);
        CHECK(fleet.agreed());
    }
}

TEST_CASE("live routers agree again after heavy loss") {
    member_network fleet = make_converged_fleet(small_fleet, 14);
    fleet.network().loss = 0.6;
    fleet.run(60s);
    fleet.network().loss = 0.0;
    CHECK(fleet.run_until(30s, [&] { return fleet.agreed(); }) <= 10 * period);
}

TEST_CASE("a cut link between two routers does not make either suspected") {
    // Both routers reach the seven others, which probe on their behalf.
    member_network fleet = make_converged_fleet(small_fleet, 15);
    fleet.cut(0, 1);
    const auto suspected = [&] { return std::any_of(fleet.nodes().begin(), fleet.nodes().end(), suspects); };
    CHECK(fleet.run_until(30s, suspected) == 30s);
}

TEST_CASE("both sides of a healed partition agree again") {
    for (const std::size_t count : {std::size_t{2}, small_fleet, std::size_t{50}}) {
        member_network fleet = make_converged_fleet(count, 16);
        fleet.partition(first_indices(count / 2));
        fleet.run(20s);
        CHECK(fleet.at(0).table->live().size() == count / 2);
        CHECK(fleet.at(0).table->known_count() == count);
        fleet.heal();
        CHECK(fleet.run_until(30s, [&] { return fleet.agreed(); }) <= 10 * period);
    }
}

TEST_CASE("a resumed router refutes its own death and suspects no peer because of its pause") {
    member_network fleet = make_converged_fleet(small_fleet, 17);
    fleet.network().one_way = 240ms; // probes are open for most of a period
    fleet.run(1s);
    fleet.pause(4);
    fleet.run(10s);
    CHECK_FALSE(fleet.at(0).table->is_live(fleet.at(4).entry.vm));
    fleet.resume(4);
    CHECK_FALSE(suspects(fleet.at(4)));
    fleet.run(3 * period);
    CHECK(fleet.agreed());
    CHECK(fleet.at(4).changes.empty());
}

TEST_CASE("datagrams that waited in the socket of a paused router do not look fresh") {
    member_network fleet = make_converged_fleet(small_fleet, 18);
    const decision::member& table = *fleet.at(4).table;
    fleet.network().one_way = 240ms; // answers to open probes wait in the socket
    fleet.run(1s);
    fleet.pause(4);
    const base::time_point paused = fleet.now();
    fleet.run(10s);
    for (const decision::envelope& envelope : std::exchange(fleet.at(4).unread, {})) {
        static_cast<void>(fleet.at(4).table->receive(envelope, fleet.now()));
    }
    CHECK(table.last_peer_contact().value() <= paused);
    CHECK(table.last_peer_confirmation().value() <=
          paused - 1s); // every header states a confirmation age of 1 s
}

TEST_CASE("an outdated VM list neither hides a new router nor keeps or drops one") {
    member_network fleet(small_fleet, 19);
    fleet.show_list({8});
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.start(i);
    }
    fleet.run(2s);
    fleet.show_list({});
    fleet.start(8); // knows the others, whose list does not contain it
    fleet.show_list({8, 3});
    fleet.run(2 * period);
    CHECK(fleet.agreed());
    fleet.run(90s);
    CHECK(fleet.agreed()); // 3 is missing from the list and alive
    fleet.show_list({});
    fleet.kill(8);
    fleet.run(4s);
    CHECK(fleet.agreed()); // 8 is listed and dead
    fleet.show_list({8});
    fleet.run(61s);
    CHECK(fleet.at(0).table->members().size() == small_fleet - 1);
}

TEST_CASE("a leaving VM gets no ownership and departs without waiting for the suspicion time") {
    member_network fleet = make_converged_fleet(small_fleet, 20);
    const base::vm_id leaving = fleet.at(1).entry.vm;
    const base::vm_id listed = fleet.at(5).entry.vm;
    fleet.at(1).table->announce_leaving(fleet.now());
    fleet.flush(1);
    fleet.at(5).entry.leaving = true;
    fleet.show_list({});
    fleet.run(100ms);
    for (const member_network::node& node : fleet.nodes()) {
        CHECK_FALSE(owned_by(node, leaving));
        CHECK((!owned_by(node, listed) || node.entry.vm == listed));
        CHECK(node.table->is_live(leaving));
    }
    fleet.at(1).table->depart(fleet.now());
    fleet.flush(1);
    fleet.run(100ms);
    CHECK_FALSE(fleet.at(0).table->is_live(leaving));
}

TEST_CASE("messages of unknown routers, of earlier incarnations and of dead routers are refused with "
          "distinct errors") {
    member_network fleet = make_converged_fleet(3, 21);
    decision::member& table = *fleet.at(0).table;
    decision::envelope envelope;
    envelope.body = decision::release{};
    envelope.header.sender = base::vm_id("vm-9999");
    CHECK(table.receive(envelope, fleet.now()).error().code == base::error_code::message_unknown_sender);
    envelope.header.sender = fleet.at(1).entry.vm;
    envelope.header.incarnation = fleet.at(1).table->incarnation();
    CHECK(table.receive(envelope, fleet.now()));
    envelope.header.incarnation = base::incarnation(1);
    CHECK(table.receive(envelope, fleet.now()).error().code == base::error_code::message_stale_incarnation);
    envelope.header.incarnation = fleet.at(1).table->incarnation();
    envelope.header.incarnation = fleet.at(1).table->incarnation() + base::incarnation(1);
    CHECK(table.receive(envelope, fleet.now())); // a restart is detected from any kind of message
    CHECK(table.take_changes().at(0).kind == member_change_kind::restarted);
    fleet.kill(1);
    fleet.run(4s);
    CHECK(table.receive(envelope, fleet.now()).error().code == base::error_code::message_unknown_sender);
}

TEST_CASE("live routers agree after any random schedule of faults") {
    constexpr std::uint64_t schedules = 60;
    base::duration longest{};
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(seed);
        member_network fleet(2 + random() % 39, seed);
        fleet.start_all();
        for (int step = 0; step < 40; ++step) {
            inject_fault(fleet, random);
            fleet.run(std::chrono::milliseconds(random() % 2000));
        }
        end_faults(fleet);
        INFO("seed " << seed << " with " << fleet.nodes().size() << " routers");
        const base::duration took = fleet.run_until(60s, [&] { return fleet.agreed(); });
        longest = std::max(longest, took);
        CHECK(took <= 20 * period);
        fleet.run(10s);
        CHECK(fleet.agreed());
    }
    INFO("longest " << std::chrono::duration<double>(longest).count() << " s");
    CHECK(longest <= 20 * period);
}

TEST_CASE("a member table that stays different from its peers' is repaired") {
    member_network fleet = make_converged_fleet(3, 24);
    decision::member& table = *fleet.at(0).table;
    decision::envelope envelope;
    envelope.header.sender = fleet.at(1).entry.vm;
    envelope.header.incarnation = fleet.at(1).table->incarnation();
    decision::ping body;
    body.digest = 1;
    envelope.body = body;
    for (int i = 0; i < 4; ++i) {
        CHECK(table.receive(envelope, fleet.now()));
    }
    const std::vector<decision::outgoing> asked = table.take_outgoing();
    REQUIRE(asked.size() == 1);
    CHECK(std::get<decision::ping>(asked.at(0).body).want_table);
    decision::ping request;
    request.want_table = true;
    envelope.body = request;
    CHECK(table.receive(envelope, fleet.now()));
    CHECK(std::get<decision::ping>(table.take_outgoing().at(0).body).updates.size() == 3);
}

TEST_CASE("under loss a revision reaches every router and every acknowledgement reaches status") {
    member_network fleet = make_converged_fleet(small_fleet, 22);
    fleet.network().loss = 0.2;
    fleet.at(0).table->put_in_force(base::revision(7), fleet.now());
    fleet.flush(0);
    CHECK(fleet.run_until(10s, [&] { return all_in_force(fleet, base::revision(7)); }) < 2s);
    CHECK(fleet.run_until(10s, [&] { return all_known_in_force(fleet, base::revision(7)); }) < 3s);
}

TEST_CASE("350 routers stay within the limits for a revision, for detection and for traffic") {
    member_network fleet = make_converged_fleet(design_fleet, 23);
    fleet.network().loss = 0.02;
    fleet.network().fetch = 500ms;
    fleet.run(20s);
    fleet.use_codec(true);
    const base::time_point start = fleet.now();
    for (member_network::node& node : fleet.nodes()) {
        node.sent = {};
    }
    fleet.at(0).table->put_in_force(base::revision(7), fleet.now());
    fleet.flush(0);
    CHECK(fleet.run_until(10s, [&] { return all_in_force(fleet, base::revision(7)); }) <= 5s);
    CHECK(fleet.run_until(10s, [&] { return all_known_in_force(fleet, base::revision(7)); }) <= 5s);
    fleet.kill(5);
    CHECK(fleet.run_until(10s, [&] { return fleet.agreed(); }) <= 7s);
    fleet.run(2s);
    const double seconds = std::chrono::duration<double>(fleet.now() - start).count();
    std::uint64_t most = 0;
    for (const member_network::node& node : fleet.nodes()) {
        most = std::max(most, node.sent.bytes);
    }
    CHECK(static_cast<double>(most) / seconds < 2000.0);
}
