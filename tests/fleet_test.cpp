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

constexpr base::duration test_timeout = 5s;
constexpr std::size_t ping_kind = 0;

/// Returns a loopback endpoint whose port was free at the time of the call.
decision::endpoint free_endpoint() {
    fleet::udp_socket probe({"127.0.0.1", 0});
    return probe.local();
}

bool wait_until(const std::function<bool()>& condition) {
    for (base::duration waited{}; waited < test_timeout; waited += 5ms) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

decision::envelope ping_from(const std::string& vm, std::size_t updates = 0) {
    decision::envelope message;
    message.header.sender = base::vm_id(vm);
    decision::ping body;
    body.nonce = 7;
    for (std::size_t i = 0; i < updates; ++i) {
        decision::member_update update;
        update.vm = base::vm_id("vm-" + std::to_string(i));
        body.updates.push_back(update);
    }
    message.body = body;
    return message;
}

/// A receiver and a sender under their supervisor, as in the router.
struct fleet_subtree {
    explicit fleet_subtree(std::size_t capacity)
        : events(capacity), tree("fleet", base::restart_strategy::one_for_one, {}, time) {
        const fleet::codec codec("oslo");
        tree.add(std::make_unique<fleet::receiver>(local, codec, fleet::sink_to(events), received_traffic));
        tree.add(std::make_unique<fleet::sender>(codec, datagrams, sent_traffic));
        tree.start([this](const base::error&) { failed = true; });
    }
    void send(decision::envelope message, const decision::endpoint& to) {
        const base::push_result pushed = datagrams.push({to, std::move(message)}, test_timeout);
        REQUIRE(pushed == base::push_result::pushed);
    }

    base::steady_clock time;
    decision::endpoint local = free_endpoint();
    base::ring<decision::event> events;
    base::ring<decision::datagram> datagrams{16};
    fleet::traffic received_traffic;
    fleet::traffic sent_traffic;
    std::atomic<bool> failed{false};
    base::supervisor tree;
};

} // namespace

TEST_CASE("a message reaches another router in one datagram or in several") {
    fleet_subtree sending(64);
    fleet_subtree receiving(64);
    // The receiver thread may not have bound its port yet, so the first message is repeated until it arrives.
    REQUIRE(wait_until([&] {
        sending.send(ping_from("vm-a"), receiving.local);
        return receiving.events.pop(20ms).has_value();
    }));
    sending.send(ping_from("vm-a", 200), receiving.local);
    std::size_t updates = 0;
    while (updates < 200) {
        const std::optional<decision::event> event = receiving.events.pop(test_timeout);
        REQUIRE(event);
        const auto& received = std::get<decision::message_received>(*event);
        CHECK(received.payload.header.sender == base::vm_id("vm-a"));
        CHECK(received.from.address == "127.0.0.1");
        updates += std::get<decision::ping>(received.payload.body).updates.size();
    }
    CHECK(updates == 200);
    CHECK(receiving.received_traffic.of_kind(ping_kind).messages >= 3);
    // The sender counts a datagram after passing it to the network, so its count may lag.
    CHECK(wait_until(
        [&] { return receiving.received_traffic.total().bytes <= sending.sent_traffic.total().bytes; }));
    CHECK(receiving.received_traffic.total().bytes > 0);
}

TEST_CASE("invalid datagrams are counted by error code and do not stop the receiver") {
    fleet_subtree receiving(64);
    fleet::udp_socket socket;
    const std::string foreign_datagram = fleet::codec("mekong-south").encode(ping_from("vm-x")).value();
    const std::string valid_datagram = fleet::codec("oslo").encode(ping_from("vm-x")).value();
    CHECK(wait_until([&] {
        static_cast<void>(socket.send(valid_datagram, receiving.local));
        return receiving.events.pop(20ms).has_value();
    }));
    CHECK(socket.send(foreign_datagram, receiving.local));
    CHECK(socket.send(valid_datagram.substr(0, 5), receiving.local));
    CHECK(socket.send(std::string(2000, 'x'), receiving.local));
    CHECK(socket.send("", receiving.local));
    CHECK(socket.send(valid_datagram, receiving.local));
    CHECK(receiving.events.pop(test_timeout));
    CHECK(wait_until(
        [&] { return receiving.received_traffic.errors(base::error_code::message_truncated) == 2; }));
    CHECK(receiving.received_traffic.errors(base::error_code::message_wrong_fleet) == 1);
    CHECK(receiving.received_traffic.errors(base::error_code::message_oversized) == 1);
    CHECK_FALSE(receiving.failed);
}

TEST_CASE("messages are dropped and counted when the ring of events is full") {
    fleet_subtree receiving(2);
    fleet::udp_socket socket;
    const std::string valid_datagram = fleet::codec("oslo").encode(ping_from("vm-x")).value();
    CHECK(wait_until([&] {
        static_cast<void>(socket.send(valid_datagram, receiving.local));
        return receiving.received_traffic.dropped() > 0;
    }));
    CHECK(receiving.events.size() == 2);
}

TEST_CASE("a receiver fails while its port is in use and runs once the port is free") {
    auto bound_socket = std::make_unique<fleet::udp_socket>(decision::endpoint{"127.0.0.1", 0});
    base::ring<decision::event> events(4);
    fleet::traffic received_traffic;
    fleet::receiver receiver(bound_socket->local(), fleet::codec("oslo"), fleet::sink_to(events),
                             received_traffic);
    base::stop_signal stop;
    CHECK_THROWS_WITH(receiver.run(stop), Catch::StartsWith("address_in_use"));
    bound_socket.reset();
    stop.request();
    CHECK_NOTHROW(receiver.run(stop));
}

TEST_CASE("an invalid address does not stop the sender") {
    fleet_subtree sending(4);
    sending.send(ping_from("vm-a"), {"no-address", 1});
    sending.send(ping_from("vm-a"), sending.local);
    CHECK(wait_until([&] { return sending.sent_traffic.total().messages == 1; }));
    CHECK(sending.sent_traffic.errors(base::error_code::socket_failure) == 1);
    CHECK_FALSE(sending.failed);
}
