#include "base/supervisor.h"
#include "fleet/receiver.h"
#include "fleet/sender.h"
#include "fleet/socket.h"

#include <catch2/catch.hpp>
#include <functional>
#include <thread>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr base::duration time_limit = 5s;
constexpr std::size_t ping_kind = 0;

/// A port that was free a moment ago.
decision::endpoint free_endpoint() {
    fleet::udp_socket probe({"127.0.0.1", 0});
    return probe.local();
}

bool eventually(const std::function<bool()>& condition) {
    for (base::duration waited{}; waited < time_limit; waited += 5ms) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

decision::envelope ping_from(const std::string& vm, std::size_t updates = 0) {
    decision::envelope what;
    what.header.sender = base::vm_id(vm);
    decision::ping body;
    body.nonce = 7;
    for (std::size_t i = 0; i < updates; ++i) {
        decision::member_update update;
        update.vm = base::vm_id("vm-" + std::to_string(i));
        body.updates.push_back(update);
    }
    what.body = body;
    return what;
}

/// Receiver and sender under their supervisor, as in the router.
struct fleet_subtree {
    explicit fleet_subtree(std::size_t capacity)
        : events(capacity), tree("fleet", base::restart_strategy::one_for_one, {}, time) {
        const fleet::codec codec("oslo");
        tree.add(std::make_unique<fleet::receiver>(local, codec, fleet::sink_to(events), in));
        tree.add(std::make_unique<fleet::sender>(codec, datagrams, out));
        tree.start([this](const base::error&) { failed = true; });
    }
    void send(decision::envelope what, const decision::endpoint& to) {
        const base::push_result pushed = datagrams.push({to, std::move(what)}, time_limit);
        REQUIRE(pushed == base::push_result::pushed);
    }

    base::steady_clock time;
    decision::endpoint local = free_endpoint();
    base::ring<decision::event> events;
    base::ring<decision::datagram> datagrams{16};
    fleet::traffic in;
    fleet::traffic out;
    std::atomic<bool> failed{false};
    base::supervisor tree;
};

} // namespace

TEST_CASE("a message of one router does not fail to reach another, in one datagram or several") {
    fleet_subtree a(64);
    fleet_subtree b(64);
    // The port is bound by a thread that may not have come to it yet.
    REQUIRE(eventually([&] {
        a.send(ping_from("vm-a"), b.local);
        return b.events.pop(20ms).has_value();
    }));
    a.send(ping_from("vm-a", 200), b.local);
    std::size_t updates = 0;
    while (updates < 200) {
        const std::optional<decision::event> event = b.events.pop(time_limit);
        REQUIRE(event);
        const auto& received = std::get<decision::message_received>(*event);
        CHECK(received.payload.header.sender == base::vm_id("vm-a"));
        CHECK(received.from.address == "127.0.0.1");
        updates += std::get<decision::ping>(received.payload.body).updates.size();
    }
    CHECK(updates == 200);
    CHECK(b.in.of_kind(ping_kind).messages >= 3);
    // The sender counts a datagram after it has handed it to the network.
    CHECK(eventually([&] { return b.in.total().bytes <= a.out.total().bytes; }));
    CHECK(b.in.total().bytes > 0);
}

TEST_CASE("bad datagrams are counted by type and do not stop the receiver") {
    fleet_subtree b(64);
    fleet::udp_socket raw;
    const std::string foreign = fleet::codec("mekong-south").encode(ping_from("vm-x")).value();
    const std::string good = fleet::codec("oslo").encode(ping_from("vm-x")).value();
    CHECK(eventually([&] {
        static_cast<void>(raw.send(good, b.local));
        return b.events.pop(20ms).has_value();
    }));
    CHECK(raw.send(foreign, b.local));
    CHECK(raw.send(good.substr(0, 5), b.local));
    CHECK(raw.send(std::string(2000, 'x'), b.local));
    CHECK(raw.send("", b.local));
    CHECK(raw.send(good, b.local));
    CHECK(b.events.pop(time_limit));
    CHECK(eventually([&] { return b.in.errors(base::error_code::message_truncated) == 2; }));
    CHECK(b.in.errors(base::error_code::message_wrong_fleet) == 1);
    CHECK(b.in.errors(base::error_code::message_oversized) == 1);
    CHECK_FALSE(b.failed);
}

TEST_CASE("a decider that does not keep up makes messages drop instead of memory grow") {
    fleet_subtree b(2);
    fleet::udp_socket raw;
    const std::string good = fleet::codec("oslo").encode(ping_from("vm-x")).value();
    CHECK(eventually([&] {
        static_cast<void>(raw.send(good, b.local));
        return b.in.dropped() > 0;
    }));
    CHECK(b.events.size() == 2);
}

TEST_CASE("a receiver restarts when its port is free again") {
    auto taken = std::make_unique<fleet::udp_socket>(decision::endpoint{"127.0.0.1", 0});
    base::ring<decision::event> events(4);
    fleet::traffic in;
    fleet::receiver work(taken->local(), fleet::codec("oslo"), fleet::sink_to(events), in);
    base::stop_signal stop;
    CHECK_THROWS_WITH(work.run(stop), Catch::StartsWith("address_in_use"));
    taken.reset();
    stop.request();
    CHECK_NOTHROW(work.run(stop));
}

TEST_CASE("an address that is not one does not stop the sender") {
    fleet_subtree a(4);
    a.send(ping_from("vm-a"), {"no-address", 1});
    a.send(ping_from("vm-a"), a.local);
    CHECK(eventually([&] { return a.out.total().messages == 1; }));
    CHECK(a.out.errors(base::error_code::socket_failure) == 1);
    CHECK_FALSE(a.failed);
}
