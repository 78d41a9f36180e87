#include "edge/host.h"
#include "standin/objects.h"
#include "store/http.h"

#include "base/guard.h"

#include <array>
#include <catch2/catch.hpp>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <thread>

using namespace bluebell;
using namespace bluebell::store;
using namespace std::chrono_literals;
using base::error_code;
using base::object_name;
using base::object_version;

namespace {

constexpr call_limits test_limits{200ms, 300ms};

decision::endpoint loopback(std::uint16_t port) {
    return {"127.0.0.1", port};
}

standin::object_fault losing_answers(std::uint32_t count) {
    standin::object_fault fault;
    fault.lose_answers = count;
    return fault;
}

template <typename T>
error_code code_of(const base::result<T>& failed) {
    REQUIRE_FALSE(failed);
    return failed.error().code;
}

} // namespace

TEST_CASE(
    "a conditional update with an outdated version is refused, so that a deposed writer cannot commit") {
    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    const object_name name("dir/a b%");
    const base::result<object_version> first = store.update(name, "one", object_version(0));
    REQUIRE(first);
    CHECK(code_of(store.update(name, "again", object_version(0))) == error_code::store_conflict);
    const base::result<object_version> second = store.update(name, "two", *first);
    REQUIRE(second);
    CHECK(code_of(store.update(name, "late", *first)) == error_code::store_conflict);
    CHECK(store.read(name)->value == "two");
    CHECK(store.read(name)->version == *second);
    CHECK(store.list("dir/")->front() == name);
    CHECK(code_of(store.remove(name, *first)) == error_code::store_conflict);
    REQUIRE(store.remove(name, *second));
    CHECK(code_of(store.read(name)) == error_code::store_not_found);
    const base::result<object_version> again = store.update(name, "three", object_version(0));
    REQUIRE(again);
    CHECK(*again > *second);
}

TEST_CASE("an update whose answer is lost is reported as such and not sent again over a new connection") {
    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    const base::result<object_version> first = store.update(object_name("a"), "one", object_version(0));
    REQUIRE(first);
    REQUIRE(store.read(object_name("a"))); // leaves a persistent connection open
    server.table().inject(losing_answers(1));
    CHECK(code_of(store.update(object_name("a"), "two", *first)) == error_code::store_answer_lost);
    CHECK(server.table().counters().writes == 2);
    CHECK(store.read(object_name("a"))->value == "two");
}

TEST_CASE(
    "an update is reported as unavailable only after a failed connect, when it cannot have had an effect") {
    http_object_store refused(loopback(edge::free_port()), test_limits);
    CHECK(code_of(refused.update(object_name("a"), "one", object_version(0))) ==
          error_code::store_unavailable);

    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    standin::object_fault fault;
    fault.outage = true;
    server.table().inject(fault);
    CHECK(code_of(store.update(object_name("a"), "one", object_version(0))) == error_code::store_answer_lost);
    CHECK(code_of(store.read(object_name("a"))) == error_code::store_unavailable);
}

TEST_CASE(
    "a server that accepts a connection and never answers does not block the caller beyond the time limits") {
    const std::uint16_t port = edge::free_port();
    const cxxtools::net::TcpServer silent("127.0.0.1", port);
    http_object_store store(loopback(port), test_limits);
    const base::time_point start = std::chrono::steady_clock::now();
    CHECK(code_of(store.update(object_name("a"), "one", object_version(0))) == error_code::store_answer_lost);
    // Larger than the socket buffers, so that the time limit expires while the request is being sent.
    CHECK(code_of(store.update(object_name("a"), std::string(64U << 20U, 'x'), object_version(0))) ==
          error_code::store_answer_lost);
    CHECK(std::chrono::steady_clock::now() - start < 5s);
}

TEST_CASE("a connection that timed out is not used again") {
    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    REQUIRE(store.update(object_name("a"), "one", object_version(0)));
    REQUIRE(store.read(object_name("a")));
    standin::object_fault silent;
    silent.silent = true;
    server.table().inject(silent);
    CHECK(code_of(store.read(object_name("a"))) == error_code::store_unavailable);
    server.table().inject({});
    CHECK(store.read(object_name("a"))->value == "one");
}

TEST_CASE("the rest of an answer that timed out is not read as the answer to the next call") {
    const std::uint16_t port = edge::free_port();
    cxxtools::net::TcpServer listener("127.0.0.1", port);
    std::thread server([&] {
        cxxtools::net::TcpSocket stalled(listener);
        const std::string part = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 6\r\n\r\nsta";
        const std::string rest = "led";
        const std::string answer = "HTTP/1.1 200 OK\r\nETag: \"2\"\r\nContent-Length: 3\r\n\r\n";
        stalled.write(part.data(), part.size());
        std::this_thread::sleep_for(2 * test_limits.answer);
        try {
            stalled.write(rest.data(), rest.size());
            stalled.write((answer + "old").data(), answer.size() + 3);
        } catch (const std::exception&) {
            // The client has closed the connection.
        }
        try {
            cxxtools::net::TcpSocket next(listener);
            std::array<char, 1024> request{};
            next.read(request.data(), request.size());
            next.write((answer + "new").data(), answer.size() + 3);
        } catch (const cxxtools::net::AcceptTerminated&) {
            // The client never connected again.
        }
    });
    http_object_store store(loopback(port), test_limits);
    CHECK(code_of(store.read(object_name("a"))) == error_code::store_unavailable);
    std::this_thread::sleep_for(2 * test_limits.answer);
    const base::result<stored_object> next = store.read(object_name("a"));
    CHECK(next.value_or(stored_object{}).value == "new");
    listener.terminateAccept();
    server.join();
}

TEST_CASE("a watch returns at a change or at its timeout, and sends the value only after a change") {
    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    const base::result<object_version> first = store.update(object_name("a"), "one", object_version(0));
    REQUIRE(first);
    const std::uint64_t bytes = server.table().counters().bytes_out;
    CHECK(store.watch(object_name("a"), *first, 50ms)->version == *first);
    // An unchanged value must not be sent again, since each watcher calls twice a second.
    CHECK(server.table().counters().bytes_out == bytes);
    CHECK(store.watch(object_name("a"), object_version(0), 50ms)->value == "one");
    std::thread writer([&] {
        std::this_thread::sleep_for(50ms);
        server.table().write("a", "two", std::nullopt);
    });
    const base::time_point start = std::chrono::steady_clock::now();
    CHECK(store.watch(object_name("a"), *first, 20s)->value == "two");
    CHECK(std::chrono::steady_clock::now() - start < 10s);
    writer.join();
}

TEST_CASE("values above 1 MB and calls above the rate limit are refused with separate error codes") {
    standin::object_server server(0);
    http_object_store store(loopback(server.port()), test_limits);
    CHECK(store.update(object_name("a"), std::string(1U << 20U, 'x'), object_version(0)));
    CHECK(code_of(store.update(object_name("b"), std::string((1U << 20U) + 1, 'x'), object_version(0))) ==
          error_code::value_too_large);
    standin::object_fault limited;
    limited.reads_per_s = 1;
    limited.writes_per_s = 1;
    server.table().inject(limited);
    REQUIRE(store.read(object_name("a")));
    CHECK(code_of(store.read(object_name("a"))) == error_code::store_rate_limited);
    REQUIRE(store.update(object_name("c"), "one", object_version(0)));
    CHECK(code_of(store.update(object_name("d"), "one", object_version(0))) ==
          error_code::store_rate_limited);
}

TEST_CASE("the VM list is decoded with the encoded values, and a list with a malformed entry is refused as a "
          "whole") {
    standin::object_server server(0);
    http_vm_list list(loopback(server.port()), test_limits);
    CHECK(list.read()->empty());
    decision::vm_entry entry{base::vm_id("vm-1"), base::data_centre_id("dc-1"), loopback(7001),
                             loopback(8001), true};
    server.table().store_vms(encode_vms({entry}));
    const base::result<std::vector<decision::vm_entry>> read = list.read();
    REQUIRE(read);
    REQUIRE(read->size() == 1);
    CHECK(read->front().vm == entry.vm);
    CHECK(read->front().control == entry.control);
    CHECK(read->front().admin == entry.admin);
    CHECK(read->front().leaving);
    server.table().store_vms(R"({"vms":[{"vm":"vm-1","data_centre":"d","control":"7001","admin":"x"}]})");
    CHECK(code_of(list.read()) == error_code::store_malformed);
    server.table().store_vms("{");
    CHECK(code_of(list.read()) == error_code::store_malformed);
}

TEST_CASE("a list of VMs or objects that is nested too deeply does not end the process") {
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    CHECK(code_of(decode_vms(R"({"vms":)" + deep + "}")) == error_code::store_malformed);
    CHECK(code_of(decode_vms("//\"\n{\"vms\":" + deep + "}")) == error_code::store_malformed);
}
