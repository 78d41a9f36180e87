#include "base/hash.h"
#include "base/metrics.h"
#include "base/supervisor.h"
#include "dispatch/worker.h"
#include "edge/host.h"
#include "platform/dialect.h"
#include "relay/admission.h"
#include "relay/relay.h"
#include "relay/splitter.h"
#include "wire.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sys/epoll.h>
#include <thread>

namespace {

using namespace bluebell;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::fake_server;
using tests::wire;

std::string ok_answer(const std::string& request_id, const std::string& body,
                      const std::string& extra_fields = "") {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id + "\r\nX-Response-Seal: s\r\n" + extra_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& request_id) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id +
           "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

/// An answer of an upstream about its state.
std::string state_answer(const std::string& body, const std::string& extra_fields = "") {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + extra_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(const std::string& path, const std::string& request_id,
                    const std::string& extra_fields = "", const std::string& method = "GET") {
    return method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + request_id +
           "\r\nX-Deadline-Ms: 5000\r\n" + extra_fields + "\r\n";
}

/// A relay and a dispatcher under a supervisor as in a router, with up to two upstreams that the test plays.
class router_fixture {
public:
    /// `started_ms` is the start time of the upstream processes that the list shows; zero if it shows none.
    explicit router_fixture(std::size_t max_callers = 1000, std::size_t listed_upstreams = 2,
                            std::size_t max_body_bytes = 100000, std::int64_t started_ms = 0)
        : listed_upstreams_(listed_upstreams), max_body_bytes_(max_body_bytes), started_ms_(started_ms),
          events_(1024), commands_(1024), datagrams_(64), port_(edge::free_port()),
          supervisor_("test", base::restart_strategy::one_for_one, {0, seconds(1)}, clock_) {
        dispatch::dispatcher_settings decision_settings;
        decision_settings.member.self = base::vm_id("r1");
        decision_settings.member.incarnation = base::incarnation(1);
        decision_settings.member.address = {"127.0.0.1", 1};
        decision_settings.bounds.retry_ratio = 1;
        decision_settings.bounds.retry_slack = 1000;
        supervisor_.add(std::make_unique<dispatch::dispatch_worker>(
            dispatch::dispatch_links{events_, commands_, datagrams_, follow_orders_, follow_orders_,
                                     stream_orders_, state_},
            [decision_settings] { return decision_settings; }, clock_));
        relay::relay_settings relay_settings;
        relay_settings.listen_address = {"127.0.0.1", port_};
        relay_settings.max_callers = max_callers;
        supervisor_.add(std::make_unique<relay::relay>(relay_settings, dialect_, commands_, events_, state_,
                                                       clock_, metrics_));
        supervisor_.start([](const base::error&) {});
        configure();
    }
    router_fixture(const router_fixture&) = delete;
    router_fixture& operator=(const router_fixture&) = delete;
    router_fixture(router_fixture&&) = delete;
    router_fixture& operator=(router_fixture&&) = delete;
    ~router_fixture() { supervisor_.stop(); }

    wire connect_caller() { return wire::to(port_); }
    /// Starts a planned stop and waits until the workers know of it.
    void drain() {
        events_.push(decision::drain_requested{}, seconds(1));
        for (int i = 0; i < 400 && !state_.current()->draining; ++i) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        REQUIRE(state_.current()->draining);
    }
    /// Lets the relay see a router that should get no new connections.
    void publish_not_ready() {
        std::shared_ptr<dispatch::router_state> changed =
            std::make_shared<dispatch::router_state>(*state_.current());
        changed->ready = false;
        state_.publish(changed);
    }
    /// Lets the relay admit nothing of callers without an account.
    void publish_no_share() {
        std::shared_ptr<dispatch::router_state> changed =
            std::make_shared<dispatch::router_state>(*state_.current());
        changed->admission = std::make_shared<const dispatch::admission_table>(
            dispatch::admission_table::shares{{base::client_account_id(), 0}});
        state_.publish(changed);
    }
    /// Ends the workers, as the process does once the dispatcher says that it may stop.
    void stop() { supervisor_.stop(); }
    fake_server& upstream(std::size_t i = 0) { return upstreams_.at(i); }

    [[nodiscard]] std::string metrics() const { return metrics_.text(); }

    /// Waits until any upstream is connected to and returns that connection; fails the test after 3 s.
    wire accept_any_upstream() {
        for (int i = 0; i < 300; ++i) {
            for (fake_server& candidate : upstreams_) {
                if (candidate.is_called(milliseconds(5))) {
                    return candidate.accept();
                }
            }
        }
        FAIL("no upstream was called");
        throw std::logic_error("unreachable");
    }
    [[nodiscard]] bool any_upstream_called(milliseconds timeout) const {
        for (const fake_server& candidate : upstreams_) {
            if (candidate.is_called(timeout)) {
                return true;
            }
        }
        return false;
    }

private:
    void configure() {
        std::shared_ptr<dispatch::catalogue> catalogue = std::make_shared<dispatch::catalogue>();
        catalogue->version = base::revision(1);
        const base::pool_id pool("p");
        const auto add = [&](const std::string& prefix, dispatch::route_kind kind, bool resumable) {
            dispatch::route route;
            route.id = dispatch::route_id(prefix);
            route.host = "h.example";
            route.prefix = prefix;
            route.kind = kind;
            route.timeout = milliseconds(4000);
            route.objective = milliseconds(500);
            route.max_attempts = 2;
            route.anonymous = prefix != "/keyed/";
            route.resumable = resumable;
            route.pools = {{pool, 1}};
            catalogue->routes.push_back(route);
        };
        add("/look/", dispatch::route_kind::safe, false);
        add("/order/", dispatch::route_kind::unsafe, false);
        add("/keyed/", dispatch::route_kind::unsafe, false);
        add("/text/", dispatch::route_kind::streaming, false);
        add("/long/", dispatch::route_kind::streaming, true);
        catalogue->keys["secret"] = base::client_account_id("acme");
        catalogue->pools[pool].id = pool;
        catalogue->pools[pool].max_connections = 500;
        catalogue->limits.head_bytes = 2048;
        catalogue->limits.body_bytes = max_body_bytes_;
        catalogue->limits.head_timeout = milliseconds(300);
        catalogue->limits.idle_timeout = milliseconds(1500);
        catalogue->index();
        events_.push(dispatch::catalogue_read{catalogue, clock_.now()}, seconds(1));
        dispatch::roster_read roster;
        for (std::size_t i = 0; i < listed_upstreams_; ++i) {
            dispatch::upstream_entry entry;
            entry.id = base::upstream_id("u" + std::to_string(i));
            entry.pool = pool;
            entry.address = {"127.0.0.1", upstreams_.at(i).port()};
            entry.slots = base::slot_count(50);
            entry.version = base::software_version("v1");
            entry.started_ms = started_ms_;
            roster.entries.push_back(entry);
        }
        events_.push(roster, seconds(1));
        // The stream that the request `t0` has begun may be resumed.
        events_.push(dispatch::streams_read{{{base::stream_key(base::stable_hash("t0")), pool,
                                              base::software_version("v1"), seconds(10)}}},
                     seconds(1));
        for (int i = 0; i < 400; ++i) {
            const std::shared_ptr<const dispatch::router_state> state = state_.current();
            if (state && state->ready) {
                return;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        FAIL("the router did not become ready");
    }

    const std::size_t listed_upstreams_;
    const std::size_t max_body_bytes_;
    const std::int64_t started_ms_;
    base::boot_clock clock_;
    base::metrics metrics_;
    platform::dialect dialect_;
    base::ring<dispatch::event> events_;
    base::ring<dispatch::relay_command> commands_;
    base::ring<decision::datagram> datagrams_;
    base::ring<dispatch::follow_order> follow_orders_{16};
    base::ring<dispatch::stream_order> stream_orders_{16};
    base::snapshot<dispatch::router_state> state_;
    std::array<fake_server, 2> upstreams_;
    const std::uint16_t port_;
    base::supervisor supervisor_;
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// Returns how often `part` occurs in `text`.
std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

/// Returns the values of all fields with the name in a request.
std::vector<std::string> values_of(const std::string& request_text, const std::string& name) {
    http::request_parser parser({65536, std::size_t{1} << 20U});
    REQUIRE(parser.feed(request_text));
    REQUIRE(parser.complete());
    std::vector<std::string> values;
    for (const http::field& entry : parser.take_head().fields) {
        if (http::equal_ignoring_case(entry.name, name)) {
            values.push_back(entry.value);
        }
    }
    return values;
}

/// Records the answer to a request on a link.
class answer_recorder final : public relay::link_listener {
public:
    bool on_answer_head(relay::link&, const http::response_head&) override { return true; }
    void on_answer_body(relay::link&, std::string_view bytes) override { body.append(bytes); }
    void on_answer_end(relay::link&) override { complete = true; }
    void on_failure(relay::link&, relay::link_failure cause) override { failure = cause; }

    std::string body;
    bool complete = false;
    std::optional<relay::link_failure> failure;
};

} // namespace

TEST_CASE("saturation refuses costly requests before cheap ones and outlasts the lag by the recovery time") {
    using relay::saturation;
    const auto at = [](base::duration since) { return base::time_point(std::chrono::hours(1)) + since; };
    saturation state;
    state.update(true, at({}));
    CHECK_FALSE(state.refuses(false));
    state.update(true, at(saturation::max_lag + milliseconds(1)));
    CHECK(state.refuses(false));
    CHECK_FALSE(state.refuses(true));
    CHECK(state.overloaded(at(saturation::max_lag + milliseconds(1))));
    state.update(true, at(saturation::max_lag_cheap + milliseconds(1)));
    CHECK(state.refuses(true));
    const base::duration caught_up = saturation::max_lag_cheap + milliseconds(2);
    state.update(false, at(caught_up));
    CHECK_FALSE(state.refuses(false));
    CHECK(state.overloaded(at(caught_up + milliseconds(100))));
    CHECK_FALSE(state.overloaded(at(caught_up + saturation::recovery_time)));
}

TEST_CASE(
    "the relay admits an account's share of its requests, and states a longer delay the smaller it is") {
    relay::admission gate(1);
    const auto refusals = [&](double share) {
        int count = 0;
        base::duration total{};
        for (int i = 0; i < 4000; ++i) {
            if (const std::optional<relay::refusal> refused = gate.refuse(false, share, 0)) {
                CHECK(refused->cause == base::error_code::over_fair_share);
                total += refused->retry_after;
                ++count;
            }
        }
        return std::make_pair(count / 4000.0, count == 0 ? base::duration::zero() : total / count);
    };
    CHECK(refusals(1).first == 0);
    const auto [half, short_delay] = refusals(0.5);
    const auto [most, long_delay] = refusals(0.1);
    CHECK(half == Approx(0.5).margin(0.04));
    CHECK(most == Approx(0.9).margin(0.04));
    CHECK(short_delay < long_delay);
    CHECK(refusals(0).first == 1);
}

TEST_CASE("callers that are refused because the router is behind return after one to two times the lag") {
    const base::time_point start(std::chrono::hours(1));
    constexpr std::size_t in_progress = 1000;
    relay::admission gate(1);
    gate.update(true, in_progress, start);
    for (const milliseconds lag : {milliseconds(200), milliseconds(400), milliseconds(5000)}) {
        gate.update(true, in_progress, start + lag);
        const base::duration least = std::min<base::duration>(lag, milliseconds(500));
        for (int i = 0; i < 50; ++i) {
            const std::optional<relay::refusal> refused = gate.refuse(false, 1, in_progress);
            REQUIRE(refused);
            CHECK(refused->retry_after >= least);
            CHECK(refused->retry_after <= 2 * least);
        }
    }
}

TEST_CASE("a router that stays behind takes new requests while others end, instead of refusing all") {
    base::time_point now(std::chrono::hours(1));
    relay::admission gate(1);
    std::size_t in_progress = 200;
    const auto run = [&](bool behind, int steps) {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(10);
            gate.update(behind, in_progress, now);
        }
    };
    run(true, 20);
    CHECK(gate.refuse(false, 1, in_progress));
    in_progress = 20;
    for (int second = 0; second < 5; ++second) {
        run(true, 100);
        CHECK_FALSE(gate.refuse(false, 1, in_progress));
        CHECK(gate.refuse(false, 1, 200));
    }
    CHECK(gate.refuse(true, 1, in_progress));
    run(false, 200);
    CHECK_FALSE(gate.refuse(false, 1, 200));
}

TEST_CASE(
    "a router that is not ready closes the connections of its callers after an answer, so that they reach "
    "another one") {
    router_fixture router;
    wire caller = router.connect_caller();
    router.publish_not_ready();
    caller.send(request("/keyed/1", "t1", "Authorization: Bearer unknown\r\n"));
    CHECK(caller.read_to_end().find("Connection: close") != std::string::npos);
    CHECK(caller.ended());
}

TEST_CASE("a request is forwarded without reserved and hop-by-hop fields, and its answer is returned") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(
        request("/keyed/1?x=y", "t1",
                "Authorization: Bearer secret\r\nX-Tenant: other\r\nX-Hold: 1\r\nKv-From: 1.2.3.4:5/x\r\n"
                "Connection: X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\nContent-Length: 3\r\n",
                "POST") +
        "abc");
    wire upstream = router.accept_any_upstream();
    const std::string received = upstream.read_request();
    CHECK(contains(received, "POST /keyed/1?x=y HTTP/1.1\r\n"));
    CHECK(contains(received, "X-Tenant: acme\r\n"));
    CHECK(contains(received, "X-Kept: 2\r\n"));
    CHECK(contains(received, "X-Expect-Instance: u"));
    CHECK(contains(received, "\r\n\r\nabc"));
    for (const char* const hidden : {"Bearer", "X-Hold", "Kv-From", "other", "X-Private"}) {
        CHECK_FALSE(contains(received, hidden));
    }
    upstream.send(ok_answer("t1", "answer"));
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 200"));
    CHECK(contains(answer, "X-Response-Seal: s"));
    CHECK(contains(answer, "\r\n\r\nanswer"));
}

TEST_CASE("pipelined requests are answered in order") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1") + request("/look/2", "t2"));
    wire first = router.accept_any_upstream();
    CHECK(contains(first.read_request(), "/look/1"));
    first.send(ok_answer("t1", "one", "Keep-Alive: timeout=5\r\n"));
    CHECK(contains(caller.read_answer(), "one"));
    const bool reused = first.has_more(milliseconds(200));
    wire second = reused ? std::move(first) : router.accept_any_upstream();
    CHECK(contains(second.read_request(), "/look/2"));
    second.send(ok_answer("t2", "two"));
    CHECK(contains(caller.read_answer(), "two"));
}

TEST_CASE("an answer with the id of another request is skipped") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send(ok_answer("stray", "wrong") + ok_answer("t1", "right"));
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "right"));
    CHECK_FALSE(contains(answer, "wrong"));
}

TEST_CASE("a duplicate answer on an idle upstream connection is dropped") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send(ok_answer("t1", "one", "Keep-Alive: timeout=5\r\n"));
    CHECK(contains(caller.read_answer(), "one"));
    upstream.send(ok_answer("t1", "again"));
    CHECK_FALSE(caller.has_more(milliseconds(100)));
    caller.send(request("/look/2", "t2"));
    wire next = router.accept_any_upstream();
    CHECK(contains(next.read_request(), "/look/2"));
    next.send(ok_answer("t2", "two"));
    CHECK(contains(caller.read_answer(), "two"));
}

TEST_CASE("an earlier refusal that is repeated on a kept connection is not taken for the answer") {
    router_fixture router(1000, 1);
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send(ok_answer("t1", "one", "Keep-Alive: timeout=9\r\n"));
    CHECK(contains(caller.read_answer(), "one"));
    caller.send(request("/order/2", "t2", "Content-Length: 0\r\n", "POST"));
    REQUIRE(contains(upstream.read_request(), "/order/2"));
    const bool misdirected = GENERATE(true, false);
    const std::string status = misdirected ? "421 Misdirected" : "503 No";
    upstream.send("HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    if (GENERATE(true, false)) {
        std::this_thread::sleep_for(milliseconds(50));
        upstream.send(ok_answer("t2", "two"));
        CHECK(contains(caller.read_answer(), "two"));
    } else {
        upstream.close();
        CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
    }
}

TEST_CASE("a request without an id gets a connection of its own, so that an answer without one is its own") {
    router_fixture router(1000, 1);
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send(ok_answer("t1", "one", "Keep-Alive: timeout=9\r\n"));
    CHECK(contains(caller.read_answer(), "one"));
    caller.send("GET /look/2 HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 5000\r\n\r\n");
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send("HTTP/1.1 400 No id\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
    CHECK(contains(caller.read_answer(), "HTTP/1.1 400"));
}

TEST_CASE("a truncated answer to a safe request is replaced by a second attempt") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\nContent-Length: 9\r\n\r\npart");
    first.close();
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send(ok_answer("t1", "complete"));
    CHECK(contains(caller.read_answer(), "complete"));
}

TEST_CASE("an unsafe request whose upstream connection is reset gets 502 and is not retried") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.reset();
    CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
    CHECK_FALSE(router.any_upstream_called(milliseconds(100)));
}

TEST_CASE("a successful answer without the mark of an upstream becomes 502") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nContent-Length: 2\r\n\r\nno");
    CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
}

TEST_CASE("a 503 that does not state that the request was not run becomes 502") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send("HTTP/1.1 503 No\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "X-Response-Seal"));
}

TEST_CASE("an unsafe request that an upstream did not run is sent to another upstream") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send(ok_answer("t1", "done"));
    CHECK(contains(caller.read_answer(), "done"));
}

TEST_CASE("an upstream's limit of its request rate is taken from any answer and is not passed on") {
    const platform::dialect dialect;
    http::response_head head;
    const auto stated = [&](const std::string& value) {
        head.fields = {{"Server-Limit", value}};
        return dialect.read_answer(head).statement;
    };
    CHECK(stated("4.9").request_limit == base::request_rate(4.9));
    CHECK(stated("0").request_limit == base::request_rate(0));
    for (const char* const malformed : {"", "-1", "nan", "inf", "1e999", "5/s", "five"}) {
        CHECK_FALSE(stated(malformed).request_limit);
        CHECK(stated(malformed).malformed);
    }
    CHECK(dialect.answer_fields(head).empty());

    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/look/1", "t1"));
    wire first = router.accept_any_upstream();
    first.read_request();
    // Both upstreams take no request any more; the first one says so in a refusal.
    first.send("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n");
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send(ok_answer("t1", "done", "Server-Limit: 0\r\n"));
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "done"));
    CHECK_FALSE(contains(answer, "Server-Limit"));
    std::this_thread::sleep_for(milliseconds(50));
    caller.send(request("/look/2", "t2"));
    CHECK(contains(caller.read_answer(), "HTTP/1.1 503"));
}

TEST_CASE("an upstream that says in any answer that it leaves gets no further request, and its idle "
          "connection ends") {
    router_fixture router(1000, 1);
    wire caller = router.connect_caller();
    const std::string leaving = "Server-Leaving: 1\r\nKeep-Alive: timeout=9\r\n";
    const std::string mark = "X-Attempt-Id: t1\r\nX-Response-Seal: s\r\n";
    const bool stream = GENERATE(true, false);
    caller.send(request(stream ? "/text/1" : "/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    SECTION("a success") {
        upstream.send("HTTP/1.1 200 OK\r\n" + mark + leaving + "Content-Length: 0\r\n\r\n");
    }
    SECTION("a failure") {
        upstream.send("HTTP/1.1 500 Failed\r\n" + mark + leaving + "Content-Length: 0\r\n\r\n");
    }
    SECTION("a refusal") {
        upstream.send("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n" + mark + leaving +
                      "Content-Length: 0\r\n\r\n");
    }
    SECTION("an answer whose body never ends, to a caller that leaves") {
        upstream.send("HTTP/1.1 200 OK\r\n" + mark + leaving + "Transfer-Encoding: chunked\r\n\r\n" +
                      chunk("id: 1\n\n"));
        std::this_thread::sleep_for(milliseconds(50));
        caller.close();
    }
    upstream.read_to_end();
    CHECK(upstream.ended());
    wire next = router.connect_caller();
    next.send(request("/order/2", "t2", "Content-Length: 0\r\n", "POST"));
    CHECK(contains(next.read_answer(), "HTTP/1.1 503"));
    CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
}

TEST_CASE("an upstream that refuses with a time to come back gets nothing before, also if the request went "
          "elsewhere") {
    const platform::dialect dialect;
    http::response_head head;
    head.status = 503;
    const auto pause = [&](const std::string& value) {
        head.fields = {{"Retry-After", value}};
        return dialect.read_answer(head).statement;
    };
    CHECK(pause("2").pause == seconds(2));
    CHECK(pause("0.25").pause == milliseconds(250));
    CHECK_FALSE(pause("0").pause);
    CHECK_FALSE(pause("0").malformed);
    CHECK(pause("1e300").pause == std::chrono::hours(24));
    for (const char* const malformed : {"", "-1", "nan", "soon", "Fri, 04 Dec 2026 23:37:19 GMT"}) {
        CHECK_FALSE(pause(malformed).pause);
        CHECK(pause(malformed).malformed);
    }
    head.status = 200;
    CHECK(pause("2").empty());

    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send("HTTP/1.1 503 No\r\nX-Attempt-Id: t1\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n"
               "Keep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n");
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send(ok_answer("t1", "one", "Keep-Alive: timeout=9\r\n"));
    CHECK(contains(caller.read_answer(), "one"));
    std::this_thread::sleep_for(milliseconds(100)); // longer than any pause after a refusal without a time
    for (int i = 0; i < 10; ++i) {
        const std::string id = "n" + std::to_string(i);
        caller.send(request("/order/" + id, id, "Content-Length: 0\r\n", "POST"));
        CHECK(contains(second.read_request(), "/order/" + id));
        second.send(ok_answer(id, id, "Keep-Alive: timeout=9\r\n"));
        CHECK(contains(caller.read_answer(), id));
    }
    CHECK_FALSE(first.has_more(milliseconds(1)));
}

TEST_CASE("an answer that arrives before the whole request was sent is forwarded") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string body(90000, 'b');
    caller.send(request("/order/1", "t1", "Content-Length: 90000\r\n", "POST") + body);
    wire upstream = router.accept_any_upstream();
    upstream.read_until([](const std::string& text) { return contains(text, "\r\n\r\n"); });
    upstream.send("HTTP/1.1 400 Bad\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n"
                  "Keep-Alive: timeout=9\r\n\r\n");
    CHECK(contains(caller.read_answer(), "HTTP/1.1 400"));
}

TEST_CASE("an answer without a length is complete if its connection was closed, not reset") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n\r\nunframed");
    const bool orderly = GENERATE(true, false);
    if (orderly) {
        upstream.close();
        CHECK(contains(caller.read_answer(), "unframed"));
    } else {
        std::this_thread::sleep_for(milliseconds(50));
        upstream.reset();
        CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
    }
}

// Guards against a part of an answer that passes for the whole one: the failed write of the request took the
// error of the reset off the socket, and the end of the input then looked like an orderly close.
TEST_CASE("an answer without a length is cut by a reset while the request is still being sent") {
    constexpr std::size_t upload_bytes = std::size_t{8} << 20U; // more than the buffers of both sockets hold
    router_fixture router(1000, 2, upload_bytes);
    wire caller = router.connect_caller();
    const std::string kind = GENERATE(as<std::string>(), "/order/1", "/look/1", "/text/1", "/long/1");
    const bool streaming = kind == "/text/1" || kind == "/long/1";
    const std::string status = GENERATE(as<std::string>(), "200 OK", "404 Not Found");
    // Without events; with one that is passed on; and more than the relay buffers of other answers.
    const std::string sent_part =
        GENERATE(as<std::string>(), "", "id: 1\ndata: a\n\n", std::string(300000, 'x'));
    caller.send(request(kind, "t1", "Content-Length: " + std::to_string(upload_bytes) + "\r\n", "POST") +
                std::string(upload_bytes, 'b'));
    wire upstream = router.accept_any_upstream();
    upstream.read_until([](const std::string& text) { return contains(text, "\r\n\r\n"); });
    upstream.send("HTTP/1.1 " + status + "\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n" +
                  (streaming ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n") + sent_part);
    std::this_thread::sleep_for(milliseconds(50));
    upstream.reset();
    const bool passed_on = sent_part.size() > std::size_t{256} << 10U;
    if (kind == "/long/1" || (kind == "/look/1" && !passed_on)) {
        wire second = router.accept_any_upstream();
        second.reset();
    }
    const std::string answer = caller.read_answer();
    // Either a refusal of the router, or a part of the answer that has no end.
    CHECK((contains(answer, "HTTP/1.1 502") || (caller.ended() && !contains(answer, "\r\n0\r\n\r\n"))));
    CHECK_FALSE((contains(answer, "X-Response-Seal") && contains(answer, "Content-Length")));
}

// Guards against a reset that is noticed by a write: what is read afterwards looks like an orderly end.
TEST_CASE("a failed write ends an answer without a length unless the upstream had ended it before") {
    base::boot_clock clock;
    relay::poller poller;
    relay::timer_queue timers;
    const relay::loop_context loop{poller, timers, clock};
    const relay::link_limits limits;
    fake_server server;
    dispatch::upstream_entry target;
    target.id = base::upstream_id("u");
    target.address = {"127.0.0.1", server.port()};
    relay::link connection(target, limits, loop);
    wire upstream = server.accept();
    answer_recorder recorder;
    connection.start(dispatch::session_id(1), std::string(std::size_t{8} << 20U, 'b'), true, recorder);
    upstream.send("HTTP/1.1 200 OK\r\n\r\npart");
    while (recorder.body != "part") {
        poller.wait(milliseconds(10));
    }
    upstream.send(" two");
    const bool ended = GENERATE(true, false);
    if (ended) {
        upstream.end_sending();
    }
    upstream.close(); // resets the connection, since bytes of the request are unread
    std::this_thread::sleep_for(milliseconds(50));
    while (!recorder.complete && !recorder.failure) {
        connection.on_ready(EPOLLOUT);
    }
    CHECK(recorder.body == "part two");
    CHECK(recorder.complete == ended);
    CHECK(recorder.failure.has_value() != ended);
}

// An upstream may answer before it has read the request and close its side, while it reads on.
TEST_CASE("an early answer without a length is complete once the upstream closes its side") {
    constexpr std::size_t upload_bytes = std::size_t{8} << 20U;
    router_fixture router(1000, 2, upload_bytes);
    wire caller = router.connect_caller();
    caller.send(
        request("/order/1", "t1", "Content-Length: " + std::to_string(upload_bytes) + "\r\n", "POST") +
        std::string(upload_bytes, 'b'));
    wire upstream = router.accept_any_upstream();
    upstream.read_until([](const std::string& text) { return contains(text, "\r\n\r\n"); });
    const std::string body(GENERATE(1, 100000, 400000), 'x');
    upstream.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n\r\n" + body);
    upstream.end_sending();
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 200"));
    CHECK(count_of(answer, "x") >= body.size());
}

// Guards against a spoiled status line that callers get as an answer, with the mark of an upstream.
TEST_CASE("an answer without a status of HTTP is replaced by another upstream's, or by 502") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string path = GENERATE(as<std::string>(), "/order/1", "/look/1", "/text/1", "/long/1");
    const std::string status =
        GENERATE(as<std::string>(), "000 Unknown", "2 0 OK", "099 OK", "0200 OK", "700 OK");
    const std::string interim = GENERATE(as<std::string>(), "", "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send(request(path, "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send(interim + "HTTP/1.1 " + status +
               "\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
    const bool repeatable = path == "/look/1" || path == "/long/1";
    if (repeatable) {
        wire second = router.accept_any_upstream();
        second.read_request();
        second.send(ok_answer("t1", "id: 1\ndata: a\n\n"));
        CHECK(contains(caller.read_answer(), "data: a"));
    } else {
        const std::string answer = caller.read_answer();
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK_FALSE(contains(answer, "X-Response-Seal"));
        CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
    }
}

TEST_CASE("bytes without end that are no answer close the upstream connection") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    const std::string filler(65536, 'x');
    std::string start;
    std::string repeated = filler;
    SECTION("in the status line") {
        start = "HTTP/1.1 200 ";
    }
    SECTION("in a field") {
        start = "HTTP/1.1 200 OK\r\nX-Filler: ";
    }
    SECTION("in many fields") {
        start = "HTTP/1.1 200 OK\r\n";
        repeated = "X-Filler: " + filler + "\r\n";
    }
    SECTION("in interim answers") {
        repeated = "HTTP/1.1 100 Continue\r\nX-Filler: " + std::string(5000, 'x') + "\r\n\r\n";
    }
    SECTION("in a body without the mark of an upstream") {
        start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\n\r\n";
    }
    SECTION("in a body that is not run by its status alone") {
        start = "HTTP/1.1 503 No\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n\r\n";
    }
    SECTION("in the answer to another request") {
        start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n\r\n";
    }
    SECTION("in the parameters of a chunk") {
        start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n1;";
    }
    upstream.send(start);
    const base::time_point started_at = base::boot_clock().now();
    std::size_t sent = 0;
    while (!upstream.broken() && base::boot_clock().now() - started_at < seconds(3)) {
        upstream.send(repeated);
        sent += repeated.size();
    }
    CHECK(upstream.broken());
    CHECK(sent < std::size_t{32} << 20U);
    CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
}

TEST_CASE("an event without end cuts its stream instead of filling the memory") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n"
                  "Content-Type: text/event-stream\r\n\r\ndata: ");
    const std::string filler(65536, 'x');
    std::size_t sent = 0;
    while (!upstream.broken() && sent < std::size_t{64} << 20U) {
        upstream.send(filler);
        sent += filler.size();
    }
    CHECK(upstream.broken());
}

TEST_CASE("events are forwarded as they arrive, and a broken stream gets no final chunk") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/text/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send(stream_head("t1") + chunk("id: 1\ndata: a\n\n"));
    CHECK(contains(caller.read_until([](const std::string& text) { return contains(text, "data: a\n\n"); }),
                   "data: a\n\n"));
    upstream.reset();
    const std::string rest = caller.read_to_end();
    CHECK(caller.ended());
    CHECK_FALSE(contains(rest, "0\r\n\r\n"));
}

TEST_CASE("a stream that ends inside an event is cut, with and without chunks") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/text/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    const bool chunked = GENERATE(true, false);
    const bool whole = GENERATE(true, false);
    const std::string type =
        GENERATE(as<std::string>(), "text/event-stream", "Text/Event-Stream; charset=UTF-8");
    const std::string events = whole ? "id: 1\ndata: a\n\n" : "id: 1\ndata: a\n\nid: 2\ndata: b";
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\nContent-Type: " + type + "\r\n";
    if (chunked) {
        upstream.send(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events) + "0\r\n\r\n");
    } else {
        upstream.send(head + "\r\n" + events);
        upstream.close();
    }
    const std::string answer =
        caller.read_until([](const std::string& text) { return contains(text, "\r\n0\r\n\r\n"); });
    CHECK(contains(answer, "data: a\n\n"));
    CHECK(contains(answer, "\r\n0\r\n\r\n") == whole);
    CHECK(caller.ended() != whole);
}

// Guards against an empty stream that looks complete: an upstream that ends after the head of an answer
// without a length closes its connection like one that has sent everything.
TEST_CASE("a stream without a length that ends before its first event is cut") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string path = GENERATE(as<std::string>(), "/text/1", "/long/1");
    const std::string position = GENERATE(as<std::string>(), "", "Last-Event-Id: 4\r\nResumes: t0\r\n");
    const std::string type = GENERATE(as<std::string>(), "", "Content-Type: text/event-stream\r\n");
    const std::string comment = GENERATE(as<std::string>(), "", ": ready\n\n");
    const bool has_length = GENERATE(true, false);
    caller.send(request(path, "t1", position + "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n" + type +
               (has_length ? "Content-Length: 0\r\n\r\n" : "\r\n" + comment));
    first.close();
    const bool resumed = path == "/long/1" && !has_length;
    if (resumed) {
        wire second = router.accept_any_upstream();
        CHECK(values_of(second.read_request(), "Last-Event-Id").size() == (position.empty() ? 0 : 1));
        second.send(stream_head("t1") + chunk("id: 5\ndata: 5\n\n") + "0\r\n\r\n");
    }
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "data: 5\n\n") == resumed);
    CHECK(contains(answer, "\r\n0\r\n\r\n") == (resumed || has_length));
    CHECK(caller.ended() != (resumed || has_length));
}

TEST_CASE("a resumable stream continues at another upstream after its last complete event") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send(stream_head("t1") + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"));
    caller.read_until([](const std::string& text) { return contains(text, "data: a\n\n"); });
    first.reset();
    wire second = router.accept_any_upstream();
    CHECK(contains(second.read_request(), "Last-Event-Id: 1\r\n"));
    second.send(stream_head("t1") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    const std::string rest =
        caller.read_until([](const std::string& text) { return contains(text, "0\r\n\r\n"); });
    CHECK(contains(rest, "id: 2\ndata: b\n\n"));
    CHECK_FALSE(contains(rest, "HTTP/1.1"));
    CHECK(rest.find("id: 2") == rest.rfind("id: 2"));
}

// Guards against events that come twice: a caller resumes its stream, the upstream breaks off before it has
// sent a whole event, and the next upstream is not told where to go on.
TEST_CASE("a stream that the caller resumed goes on where the caller asked, however far an upstream came") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string path = GENERATE(as<std::string>(), "/long/1", "/look/1");
    caller.send(request(path, "t1", "last-event-id: 12\r\nResumes: t0\r\nContent-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    CHECK(values_of(first.read_request(), "Last-Event-Id") == std::vector<std::string>{"12"});
    const bool chunked = GENERATE(true, false);
    const std::string head = chunked ? stream_head("t1")
                                     : "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n"
                                       "Content-Type: text/event-stream\r\n\r\n";
    const auto part = [chunked](const std::string& text) { return chunked ? chunk(text) : text; };
    std::string position = "12";
    SECTION("before its answer") {}
    SECTION("inside the head of its answer") {
        first.send(head.substr(0, 20));
    }
    SECTION("after the head") {
        first.send(head);
    }
    SECTION("inside its first event") {
        first.send(head + part("id: 13\ndata: wor"));
    }
    SECTION("inside its second event") {
        first.send(head + part("id: 13\ndata: 13\n\nid: 14\nda"));
        // Only the events of a stream are passed on before the answer is complete.
        position = path == "/long/1" ? "13" : "12";
    }
    std::this_thread::sleep_for(milliseconds(50));
    first.reset();
    wire second = router.accept_any_upstream();
    CHECK(values_of(second.read_request(), "Last-Event-Id") == std::vector<std::string>{position});
    second.send(head +
                part(position == "12" ? "id: 13\ndata: 13\n\nid: 14\ndata: 14\n\n" : "id: 14\ndata: 14\n\n") +
                (chunked ? "0\r\n\r\n" : ""));
    second.close();
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 200"));
    CHECK(count_of(answer, "id: 13\n") == 1);
    CHECK(count_of(answer, "id: 14\n") == 1);
    CHECK_FALSE(caller.ended());
}

TEST_CASE("a request that resumes an unknown stream gets a refusal at once that it did not run") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string named = GENERATE(as<std::string>(), "", "Resumes: t9\r\n");
    caller.send(request("/long/1", "t1", "Last-Event-Id: 12\r\n" + named + "Content-Length: 0\r\n", "POST"));
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 503"));
    CHECK_FALSE(contains(answer, "Retry-After"));
    CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
}

// Guards against callers that lose the part of a stream which they have, while new streams begin.
TEST_CASE("overload that refuses new streams lets resumed ones go on") {
    router_fixture router;
    router.publish_no_share();
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    CHECK(contains(caller.read_answer(), "HTTP/1.1 503"));
    caller.send(
        request("/long/1", "t2", "Last-Event-Id: 12\r\nResumes: t0\r\nContent-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    CHECK(contains(upstream.read_request(), "Last-Event-Id: 12\r\n"));
    upstream.send(stream_head("t2") + chunk("id: 13\ndata: 13\n\n") + "0\r\n\r\n");
    CHECK(contains(caller.read_answer(), "data: 13\n\n"));
}

// Guards against streams joined of two versions: an upstream came back under its id, newer than the list
// shows.
TEST_CASE("a stream begins only at the process that the list shows") {
    router_fixture router(1000, 2, 100000, 1700000000123);
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    CHECK(contains(first.read_request(), "GET /api/report HTTP/1.1\r\n"));
    SECTION("another process has come up under its id") {
        first.send(state_answer(R"({"born":1700000009999,"active":0})"));
        CHECK(first.read_to_end().empty());
    }
    SECTION("the connection is reset") {
        first.reset();
    }
    SECTION("a late answer to another request precedes the state") {
        first.send(ok_answer("t7", R"({"born":1700000000123})") + state_answer(R"({"born":1700000009999})"));
        CHECK(first.read_to_end().empty());
    }
    SECTION("the upstream closes the connection after it") {
        first.send(state_answer(R"({"born":1700000000123})", "Connection: close\r\n"));
    }
    wire second = router.accept_any_upstream();
    CHECK(contains(second.read_request(), "GET /api/report HTTP/1.1\r\n"));
    second.send(state_answer(R"({"born":1700000000123})"));
    CHECK(contains(second.read_request(), "POST /long/1 HTTP/1.1\r\n"));
    second.send(stream_head("t1") + chunk("id: 1\ndata: 1\n\n") + "0\r\n\r\n");
    CHECK(contains(caller.read_answer(), "data: 1\n\n"));
    caller.send(request("/long/1", "t2", "Content-Length: 0\r\n", "POST"));
    // The connection leads to the same process for as long as it is open.
    CHECK(contains(second.read_request(), "POST /long/1 HTTP/1.1\r\n"));
}

TEST_CASE("a stream of an upstream that does not say which process it is begins, but is not continued") {
    router_fixture router(1000, 2, 100000, 1700000000123);
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    const std::string state =
        GENERATE(as<std::string>(), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", state_answer("{}"),
                 state_answer("[1"), state_answer(R"({"born":"x"})"));
    first.send(state);
    CHECK(contains(first.read_request(), "POST /long/1 HTTP/1.1\r\n"));
    first.send(stream_head("t1") + chunk("id: 1\ndata: 1\n\n"));
    caller.read_until([](const std::string& text) { return contains(text, "data: 1\n\n"); });
    first.reset();
    caller.read_to_end();
    CHECK(caller.ended());
    CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
}

TEST_CASE("a resumed stream does not go on at an upstream that does not say which process it is") {
    router_fixture router(1000, 2, 100000, 1700000000123);
    wire caller = router.connect_caller();
    caller.send(
        request("/long/1", "t1", "Last-Event-Id: 12\r\nResumes: t0\r\nContent-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    CHECK(first.read_to_end().empty());
    wire second = router.accept_any_upstream();
    second.read_request();
    second.send(state_answer(R"({"born":1700000000123})"));
    CHECK(contains(second.read_request(), "Last-Event-Id: 12\r\n"));
    second.send(stream_head("t1") + chunk("id: 13\ndata: 13\n\n") + "0\r\n\r\n");
    CHECK(contains(caller.read_answer(), "data: 13\n\n"));
}

TEST_CASE("only streams that may be resumed ask which process the connection leads to") {
    router_fixture router(1000, 2, 100000, 1700000000123);
    wire caller = router.connect_caller();
    const std::string path = GENERATE(as<std::string>(), "/text/1", "/look/1", "/order/1");
    caller.send(request(path, "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    CHECK(contains(first.read_request(), "POST " + path));
}

// Guards against events that come twice: an upstream that does not know the position begins the stream anew.
TEST_CASE("an upstream that does not go on after the last event of a stream adds nothing to it") {
    router_fixture router;
    wire caller = router.connect_caller();
    const bool resumed_by_caller = GENERATE(true, false);
    caller.send(request("/long/1", "t1",
                        std::string(resumed_by_caller ? "Last-Event-Id: 2\r\nResumes: t0\r\n" : "") +
                            "Content-Length: 0\r\n",
                        "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    if (!resumed_by_caller) {
        first.send(stream_head("t1") + chunk("id: 1\ndata: 1\n\n") + chunk("id: 2\ndata: 2\n\n"));
        caller.read_until([](const std::string& text) { return contains(text, "data: 2\n\n"); });
        first.reset();
    }
    wire second = resumed_by_caller ? std::move(first) : router.accept_any_upstream();
    const std::string repeated = GENERATE(as<std::string>(), "id: 2\ndata: 2\n\n", "id: 1\ndata: 1\n\n");
    second.send(stream_head("t1") + chunk(repeated) + chunk("id: 3\ndata: 3\n\n") + "0\r\n\r\n");
    std::string rest;
    if (resumed_by_caller) {
        wire third = router.accept_any_upstream();
        CHECK(values_of(third.read_request(), "Last-Event-Id") == std::vector<std::string>{"2"});
        third.send(stream_head("t1") + chunk("id: 3\ndata: 3\n\n") + "0\r\n\r\n");
        rest = caller.read_answer();
        CHECK(contains(rest, "data: 3\n\n"));
    } else {
        rest = caller.read_to_end();
        CHECK(caller.ended());
        CHECK_FALSE(contains(rest, "0\r\n\r\n"));
    }
    CHECK_FALSE(contains(rest, "data: 1\n"));
    CHECK_FALSE(contains(rest, "data: 2\n"));
}

// Guards against events that come twice: after an event without an id, no position can be named.
TEST_CASE("a stream is not continued after an event without an id") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    const std::string start = GENERATE(as<std::string>(), "", "id: 1\ndata: 1\n\n");
    first.send(stream_head("t1") + chunk(start + "data: 2\n\n"));
    caller.read_until([](const std::string& text) { return contains(text, "data: 2\n\n"); });
    first.reset();
    const std::string rest = caller.read_to_end();
    CHECK(caller.ended());
    CHECK_FALSE(contains(rest, "0\r\n\r\n"));
    CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
}

TEST_CASE("an error that answers the continuation of a stream stays out of the stream and cuts it") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/long/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire first = router.accept_any_upstream();
    first.read_request();
    first.send(stream_head("t1") + chunk("id: 1\ndata: a\n\n"));
    caller.read_until([](const std::string& text) { return contains(text, "data: a\n\n"); });
    first.reset();
    wire second = router.accept_any_upstream();
    second.read_request();
    const std::string mark = "X-Attempt-Id: t1\r\nX-Response-Seal: s\r\n";
    const std::string text = "error text\n\n";
    const std::string length = "Content-Length: " + std::to_string(text.size()) + "\r\n";
    std::string answer;
    SECTION("with a length") {
        answer = "HTTP/1.1 500 Failed\r\n" + mark + length + "\r\n" + text;
    }
    SECTION("with neither a length nor chunks") {
        answer = "HTTP/1.1 500 Failed\r\n" + mark + "\r\n" + text;
    }
    SECTION("in chunks, as a stream") {
        answer = "HTTP/1.1 500 Failed\r\n" + mark +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text) +
                 "0\r\n\r\n";
    }
    SECTION("without the mark of an upstream") {
        answer = "HTTP/1.1 500 Failed\r\n" + length + "\r\n" + text;
    }
    SECTION("as not run") {
        answer = "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n" + mark + length + "\r\n" + text;
    }
    SECTION("as a success that is no stream") {
        answer = "HTTP/1.1 200 OK\r\n" + mark + "Content-Type: text/plain\r\n" + length + "\r\n" + text;
    }
    SECTION("broken off in its head") {
        answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Resp";
    }
    second.send(answer);
    second.close();
    const std::string rest = caller.read_to_end();
    CHECK(caller.ended());
    CHECK_FALSE(contains(rest, "error text"));
    CHECK_FALSE(contains(rest, "HTTP/1.1"));
    CHECK_FALSE(contains(rest, "0\r\n\r\n"));
}

TEST_CASE("an answer that ends inside its head is no answer") {
    router_fixture router;
    wire caller = router.connect_caller();
    const std::string path = GENERATE(as<std::string>(), "/order/1", "/text/1", "/long/1");
    caller.send(request(path, "t1", "Content-Length: 0\r\n", "POST"));
    const std::string head = GENERATE(
        as<std::string>(), "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Seal: s\r\n\r");
    // A stream that may be resumed is sent to a second upstream.
    for (int attempt = 0; attempt < (path == "/long/1" ? 2 : 1); ++attempt) {
        wire upstream = router.accept_any_upstream();
        upstream.read_request();
        upstream.send(head);
        upstream.close();
    }
    CHECK(contains(caller.read_answer(), "HTTP/1.1 502"));
}

TEST_CASE("the upstream connection is closed when the caller disconnects, before or after the first event") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/text/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    if (GENERATE(true, false)) {
        upstream.send(stream_head("t1") + chunk("id: 1\n\n"));
        caller.read_until([](const std::string& text) { return contains(text, "id: 1"); });
    }
    caller.close();
    upstream.read_to_end();
    CHECK(upstream.ended());
}

TEST_CASE("a slow caller causes backpressure on the upstream and receives every byte") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/text/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    const std::string event = "data: " + std::string(8000, 'x') + "\n\n";
    constexpr int events = 1500;
    std::thread writer([&] {
        upstream.send(stream_head("t1"));
        for (int i = 0; i < events; ++i) {
            upstream.send(chunk(event));
        }
        upstream.send("0\r\n\r\n");
    });
    std::this_thread::sleep_for(milliseconds(300));
    std::size_t read = 0;
    std::string tail;
    while (tail.size() < 5 || tail.substr(tail.size() - 5) != "0\r\n\r\n") {
        const std::string part = caller.read_until([](const std::string& text) { return !text.empty(); });
        if (part.empty()) {
            break;
        }
        read += part.size();
        tail = (tail + part).substr(std::max<std::size_t>((tail + part).size(), 5) - 5);
    }
    writer.join();
    CHECK(read > event.size() * events);
    CHECK(tail == "0\r\n\r\n");
}

TEST_CASE("oversized, malformed and incomplete requests get a 4xx status and the connection is closed") {
    router_fixture router;
    const auto answer_to = [&](const std::string& bytes) {
        wire caller = router.connect_caller();
        caller.send(bytes);
        const std::string answer = caller.read_to_end();
        CHECK(caller.ended());
        return answer;
    };
    CHECK(contains(answer_to(request("/look/1", "t", "X: " + std::string(3000, 'a') + "\r\n")), "431"));
    CHECK(contains(answer_to(request("/order/1", "t", "Content-Length: 100001\r\n", "POST")), "413"));
    CHECK(contains(answer_to("nonsense\r\n\r\n"), "400"));
    CHECK(contains(answer_to("GET /look/1 HTTP/1.1\r\nHost:"), "408"));
    CHECK(contains(
        answer_to(request("/order/1", "t", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "POST") +
                  "0\r\n\r\n"),
        "400"));
    CHECK_FALSE(router.any_upstream_called(milliseconds(50)));
}

TEST_CASE("a request that the upstream never answers gets 504 at the timeout of its route") {
    router_fixture router;
    wire caller = router.connect_caller();
    const base::time_point started_at = base::boot_clock().now();
    caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    const std::string answer =
        caller.read_until([](const std::string& text) { return contains(text, "\r\n\r\n"); });
    const std::string complete_answer = answer.empty() ? caller.read_answer() : answer;
    CHECK(contains(complete_answer, "HTTP/1.1 504"));
    CHECK(base::boot_clock().now() - started_at < milliseconds(4500));
    upstream.read_to_end();
    CHECK(upstream.ended());
}

TEST_CASE("a request whose caller has already disconnected is not sent to an upstream") {
    router_fixture router;
    {
        wire caller = router.connect_caller();
        caller.send(request("/order/1", "t1", "Content-Length: 0\r\n", "POST"));
        caller.close();
    }
    CHECK_FALSE(router.any_upstream_called(milliseconds(200)));
    // The relay must drop the request before it starts an exchange, which would be counted as `caller_left`.
    CHECK_FALSE(contains(router.metrics(), "caller_left"));
}

TEST_CASE("idle connections are evicted for new callers when the connection limit is reached") {
    router_fixture router(20);
    std::vector<wire> idle;
    for (int i = 0; i < 20; ++i) {
        idle.push_back(router.connect_caller());
    }
    std::this_thread::sleep_for(milliseconds(150));
    wire caller = router.connect_caller();
    caller.send(request("/none/", "t1"));
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 404"));
    CHECK(contains(answer, "Connection: close"));
}

TEST_CASE("an idle caller connection is closed after the idle timeout") {
    router_fixture router;
    wire caller = router.connect_caller();
    CHECK(caller.read_to_end().empty());
    CHECK(caller.ended());
}

TEST_CASE("the event splitter finds the same events for every split of the input") {
    const std::string stream = "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        relay::event_splitter splitter;
        std::string whole = splitter.feed(std::string_view(stream).substr(0, split));
        whole += splitter.feed(std::string_view(stream).substr(split));
        REQUIRE(whole == stream.substr(0, stream.size() - 8));
        REQUIRE(splitter.last_id() == "2");
        REQUIRE(splitter.event_count() == 2);
        REQUIRE(splitter.has_partial_event());
    }
}

TEST_CASE("the event splitter holds back what does not follow, and knows whether the position is known") {
    relay::event_splitter splitter;
    splitter.start_after("9");
    splitter.require_order();
    CHECK(splitter.feed("id: 10\ndata: a\n\n: comment\n\nid: 10\ndata: b\n\nid: 11\ndata: c\n\n") ==
          "id: 10\ndata: a\n\n: comment\n\n");
    CHECK(splitter.out_of_order());
    CHECK(splitter.position_known());
    CHECK(splitter.last_id() == "10");
    splitter.drop_partial();
    CHECK_FALSE(splitter.out_of_order());
    CHECK(splitter.feed("id: 11\ndata: c\n\ndata: d\n\n") == "id: 11\ndata: c\n\ndata: d\n\n");
    CHECK_FALSE(splitter.position_known());
    CHECK(splitter.feed("id: x\ndata: e\n\nid: y\ndata: f\n\nid: y\ndata: g\n\n") ==
          "id: x\ndata: e\n\nid: y\ndata: f\n\n");
    CHECK(splitter.out_of_order());
    CHECK(splitter.position_known());
}

TEST_CASE("a stop answers a request that an upstream still runs instead of closing its connection") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    router.drain();
    router.stop();
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 504"));
    CHECK(contains(answer, "X-Attempt-Id: t1"));
    CHECK_FALSE(contains(answer, "Retry-After"));
}

TEST_CASE("a stop answers a request that never reached an upstream as not run") {
    router_fixture router(1000, 0);
    wire caller = router.connect_caller();
    caller.send(request("/order/1", "t1"));
    std::this_thread::sleep_for(milliseconds(50)); // less than a request waits for an upstream
    router.stop();
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "HTTP/1.1 503"));
    CHECK(contains(answer, "X-Attempt-Id: t1"));
    CHECK(contains(answer, "Retry-After"));
}

TEST_CASE("a stop cuts a stream that has begun, so that it does not look complete") {
    router_fixture router;
    wire caller = router.connect_caller();
    caller.send(request("/text/1", "t1"));
    wire upstream = router.accept_any_upstream();
    upstream.read_request();
    upstream.send(stream_head("t1") + chunk("data: a\n\n"));
    std::string received =
        caller.read_until([](const std::string& text) { return contains(text, "data: a"); });
    router.drain();
    router.stop();
    received += caller.read_to_end();
    CHECK_FALSE(contains(received, "\r\n0\r\n"));
    CHECK_FALSE(contains(received, "HTTP/1.1 504"));
}

TEST_CASE("a stop does not cut answers that a slow caller has not taken yet") {
    constexpr int count = 80;
    const std::string body(200000, 'b'); // all answers together exceed the buffers of the sockets
    router_fixture router;
    wire caller = router.connect_caller();
    std::string requests;
    for (int i = 0; i < count; ++i) {
        requests += request("/look/" + std::to_string(i), "t" + std::to_string(i));
    }
    caller.send(requests);
    for (int i = 0; i < count; ++i) {
        wire upstream = router.accept_any_upstream();
        upstream.read_request();
        upstream.send(ok_answer("t" + std::to_string(i), body, "Connection: close\r\n"));
    }
    while (!contains(router.metrics(), "outcome=\"delivered\"} " + std::to_string(count))) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    router.drain();
    std::thread stopping([&router] { router.stop(); });
    std::this_thread::sleep_for(milliseconds(200));
    const std::string received = caller.read_to_end();
    stopping.join();
    CHECK(count_of(received, "HTTP/1.1 200") == count);
    CHECK(static_cast<std::size_t>(std::count(received.begin(), received.end(), 'b')) >=
          static_cast<std::size_t>(count) * body.size());
}
