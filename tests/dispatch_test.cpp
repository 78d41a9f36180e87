#include "dispatch/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

namespace {

using namespace bluebell;
using namespace bluebell::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::pool_id model_pool("model");
const base::pool_id plain_pool("plain");

route make_route(const std::string& prefix, route_kind kind, const base::pool_id& pool) {
    route made;
    made.id = route_id(prefix);
    made.host = "h.example";
    made.prefix = prefix;
    made.kind = kind;
    made.timeout = seconds(10);
    made.objective = milliseconds(400);
    made.max_attempts = 2;
    made.pools = {{pool, 1}};
    return made;
}

std::shared_ptr<catalogue> make_catalogue(std::uint64_t version) {
    std::shared_ptr<catalogue> made = std::make_shared<catalogue>();
    made->version = base::revision(version);
    made->routes = {make_route("/text/", route_kind::streaming, model_pool),
                    make_route("/order/", route_kind::unsafe, plain_pool),
                    make_route("/look/", route_kind::safe, plain_pool)};
    made->routes[1].anonymous = true;
    made->routes[2].anonymous = true;
    pool model;
    model.id = model_pool;
    model.max_connections = 100;
    model.engine = engine_traits{base::slot_count(10), token_count(100000)};
    pool plain;
    plain.id = plain_pool;
    made->pools = {{model_pool, model}, {plain_pool, plain}};
    made->keys = {{"key-a", base::client_account_id("a")}, {"key-b", base::client_account_id("b")}};
    made->tokens_per_s = 50000;
    made->index();
    return made;
}

upstream_entry make_upstream(const std::string& name, const base::pool_id& pool, int slots) {
    upstream_entry made;
    made.id = base::upstream_id(name);
    made.pool = pool;
    made.address = {"127.0.0.1", 9000};
    made.data_centre = base::data_centre_id("x");
    made.slots = base::slot_count(slots);
    return made;
}

/// A dispatcher with configuration and upstreams, driven by a clock of the test.
class bench {
public:
    explicit bench(std::vector<upstream_entry> upstreams = {make_upstream("m1", model_pool, 10),
                                                            make_upstream("m2", model_pool, 10),
                                                            make_upstream("p1", plain_pool, 4),
                                                            make_upstream("p2", plain_pool, 4)})
        : decisions_(settings(), now_) {
        tell(catalogue_read{make_catalogue(1), now_});
        tell(roster_read{std::move(upstreams), false, 1, now_});
    }

    static dispatcher_settings settings() {
        dispatcher_settings made;
        made.member.self = base::vm_id("r1");
        made.member.incarnation = base::incarnation(1);
        made.member.address = {"127.0.0.1", 7000};
        made.data_centre = base::data_centre_id("x");
        made.bounds.max_confirmation_age = seconds(3);
        made.bounds.retry_ratio = 0.2;
        made.bounds.retry_slack = 100;
        return made;
    }

    void tell(const event& what) {
        decisions_.handle(what, now_);
        collect();
    }
    void pass(base::duration time) {
        const base::time_point end = now_ + time;
        while (now_ < end) {
            now_ = std::min(end, now_ + milliseconds(5));
            decisions_.tick(now_);
            collect();
        }
    }
    session_id request(const std::string& path, const std::string& key = "", std::int64_t prompt = 1000,
                       std::uint64_t part = 7) {
        request_read read;
        read.id = session_id(++last_);
        read.host = "h.example";
        read.path = path;
        read.key = key;
        read.caller_timeout = seconds(10);
        read.prompt.prompt_tokens = token_count(prompt);
        read.prompt.max_output_tokens = token_count(100);
        read.prompt.parts = {{part_id(part), token_count(prompt / 2)},
                             {part_id(1000 + last_), token_count(prompt / 2)}};
        read.fingerprint = base::fingerprint(last_);
        read.arrived = now_;
        tell(read);
        return read.id;
    }
    void over(session_id id, attempt_outcome how, int status = 200) {
        const send_request* const order = sent(id);
        REQUIRE(order != nullptr);
        attempt_finished told;
        told.id = id;
        told.attempt = order->attempt;
        told.outcome = how;
        told.status = status;
        tell(told);
    }

    /// The last order to send a request, and its end; null if there is none.
    const send_request* sent(session_id id) const { return last_of<send_request>(id); }
    const end_request* ended(session_id id) const { return last_of<end_request>(id); }
    const release_answer* released(session_id id) const { return last_of<release_answer>(id); }
    std::size_t sends() const {
        return static_cast<std::size_t>(
            std::count_if(orders_.begin(), orders_.end(), [](const relay_command& each) {
                return std::holds_alternative<send_request>(each);
            }));
    }

    [[nodiscard]] const std::vector<decision::datagram>& datagrams() const { return datagrams_; }
    dispatcher& decisions() { return decisions_; }
    base::time_point now() const { return now_; }

private:
    void collect() {
        dispatcher_output output = decisions_.take_output();
        for (relay_command& each : output.relay) {
            orders_.push_back(std::move(each));
        }
        for (decision::datagram& each : output.datagrams) {
            datagrams_.push_back(std::move(each));
        }
    }
    template <typename Order>
    const Order* last_of(session_id id) const {
        for (auto each = orders_.rbegin(); each != orders_.rend(); ++each) {
            const Order* const order = std::get_if<Order>(&*each);
            if (order != nullptr && order->id == id) {
                return order;
            }
        }
        return nullptr;
    }

    base::time_point now_ = base::time_point(std::chrono::hours(1));
    dispatcher decisions_;
    std::vector<relay_command> orders_;
    std::vector<decision::datagram> datagrams_;
    std::uint64_t last_ = 0;
};

/// The first message of a router that has just started.
decision::envelope greeting() {
    decision::envelope hello;
    hello.header.sender = base::vm_id("r2");
    hello.header.incarnation = base::incarnation(1);
    decision::member_update self;
    self.vm = base::vm_id("r2");
    self.incarnation = base::incarnation(1);
    self.address = {"127.0.0.1", 7002};
    hello.body = decision::ping{1, 0, false, {}, {self}};
    return hello;
}

} // namespace

TEST_CASE("the route with the longest prefix of the host is chosen, without port, case or query") {
    catalogue routes;
    routes.routes = {make_route("/", route_kind::safe, plain_pool),
                     make_route("/a/", route_kind::safe, plain_pool),
                     make_route("/a/b/", route_kind::safe, plain_pool)};
    routes.index();
    REQUIRE(routes.match("H.EXAMPLE:80", "/a/b/c?d=/x/") != nullptr);
    CHECK(routes.match("H.EXAMPLE:80", "/a/b/c?d=/x/")->prefix == "/a/b/");
    CHECK(routes.match("h.example", "/a/b")->prefix == "/a/");
    CHECK(routes.match("h.example", "/ab/")->prefix == "/");
    CHECK(routes.match("other.example", "/a/") == nullptr);
}

TEST_CASE("entries that lapse in an outage are kept for two seconds after it, and only then") {
    const base::time_point start(std::chrono::hours(1));
    roster list;
    const upstream_entry one = make_upstream("u1", plain_pool, 1);
    const upstream_entry two = make_upstream("u2", plain_pool, 1);
    list.replace({one, two}, false, start);
    list.replace({one}, true, start + seconds(10));
    CHECK(list.ready(plain_pool).size() == 2);
    SECTION("one that does not come back is gone") {
        CHECK_FALSE(list.expire(start + seconds(11)));
        CHECK(list.expire(start + seconds(12)));
        CHECK(list.ready(plain_pool).size() == 1);
    }
    SECTION("one that comes back stays") {
        list.apply({{two.id, two}}, start + seconds(11));
        CHECK_FALSE(list.expire(start + seconds(13)));
        CHECK(list.ready(plain_pool).size() == 2);
    }
    SECTION("without an outage it is gone at once") {
        list.apply({{one.id, std::nullopt}}, start + seconds(20));
        CHECK(list.find(one.id) == nullptr);
    }
}

TEST_CASE("an upstream that drains is not ready") {
    roster list;
    upstream_entry one = make_upstream("u1", plain_pool, 1);
    list.replace({one}, false, {});
    one.phase = upstream_phase::draining;
    list.apply({{one.id, one}}, {});
    CHECK(list.ready(plain_pool).empty());
    CHECK(list.find(one.id) != nullptr);
}

TEST_CASE("the fair level leaves small accounts alone and evens out the large ones") {
    const base::time_point now(std::chrono::hours(1));
    fair_share share;
    const base::client_account_id small("small");
    const base::client_account_id large("large");
    const base::client_account_id other("other");
    share.record_request(small, base::cost(100), now);
    share.record_service(small, base::cost(100), now);
    share.record_request(large, base::cost(2000), now);
    share.record_service(large, base::cost(800), now);
    share.receive_report(base::vm_id("r2"), {{other, base::cost(200), base::cost(1000)}}, now);
    share.update(now);
    CHECK(share.pressure() > 1);
    // Capacity of 1,100: 100 for the small one and 500 for each of the others.
    CHECK(share.relative_service(small) == Approx(0.2));
    CHECK(share.relative_service(large) == Approx(1.6));
    CHECK(share.relative_service(other) == Approx(0.4));
}

TEST_CASE("no account is ahead of its share while capacity suffices") {
    const base::time_point now(std::chrono::hours(1));
    fair_share share;
    share.record_request(base::client_account_id("a"), base::cost(1000), now);
    share.record_service(base::client_account_id("a"), base::cost(1000), now);
    share.update(now);
    CHECK(share.relative_service(base::client_account_id("a")) == 0);
}

TEST_CASE("a silent router's reports are dropped") {
    const base::time_point now(std::chrono::hours(1));
    fair_share share;
    share.receive_report(base::vm_id("r2"), {{base::client_account_id("a"), base::cost(1), base::cost(1000)}}, now);
    share.update(now + fair_share::report_timeout + milliseconds(1));
    CHECK(share.pressure() == 1);
}

TEST_CASE("the prefill model follows the median and not the longest waits") {
    prefill_model model;
    model.set_prior(20);
    for (int i = 0; i < 3000; ++i) {
        const std::int64_t work = 1000 + 2000 * (i % 5);
        const bool stuck = i % 10 == 0;
        model.observe(token_count(work), milliseconds(stuck ? 5000 : 30 + work / 50));
    }
    const double predicted =
        std::chrono::duration<double, std::milli>(model.predict(token_count(5000))).count();
    CHECK(predicted > 110);
    CHECK(predicted < 160);
}

TEST_CASE("the older a part is in tokens stored, the less likely it is still kept") {
    part_cache cache;
    const token_count room(1000);
    cache.touch(part_id(1));
    cache.add_stored(token_count(500));
    CHECK(cache.hit_probability(part_id(1), room) == 1);
    cache.add_stored(token_count(500));
    CHECK(cache.hit_probability(part_id(1), room) == Approx(0.5));
    cache.add_stored(token_count(500));
    CHECK(cache.hit_probability(part_id(1), room) == 0);
    CHECK(cache.hit_probability(part_id(2), room) == 0);
    CHECK(cache.hit_probability(part_id(1), token_count(0)) == 0);
}

TEST_CASE("requests that share a part go to the engine that keeps it") {
    bench router;
    const session_id first = router.request("/text/1", "key-a", 4000, 42);
    REQUIRE(router.sent(first) != nullptr);
    const base::upstream_id kept = router.sent(first)->target.id;
    router.tell(answer_started{first, 1});
    for (int i = 0; i < 5; ++i) {
        const session_id next = router.request("/text/1", "key-a", 4000, 42);
        REQUIRE(router.sent(next) != nullptr);
        CHECK(router.sent(next)->target.id == kept);
        router.tell(answer_started{next, 1});
    }
}

TEST_CASE("a shared part that only a busy engine keeps is copied from there instead of read again") {
    upstream_entry first_engine = make_upstream("m1", model_pool, 10);
    upstream_entry second_engine = make_upstream("m2", model_pool, 10);
    first_engine.address.port = 9001;
    second_engine.address.port = 9002;
    const auto donor_of_second_request = [&](double copied_tokens_per_ms) {
        bench router({first_engine, second_engine});
        const std::shared_ptr<catalogue> copying = make_catalogue(2);
        copying->pools.at(model_pool).engine->copied_tokens_per_ms = copied_tokens_per_ms;
        router.tell(catalogue_read{copying, router.now()});
        const session_id first = router.request("/text/1", "key-a", 8000, 42);
        REQUIRE(router.sent(first) != nullptr);
        CHECK_FALSE(router.sent(first)->copy_source);
        // The first one has not begun, so its engine is still busy reading.
        const session_id second = router.request("/text/1", "key-a", 8000, 42);
        const send_request* const order = router.sent(second);
        const bool elsewhere =
            order != nullptr && order->target.address != router.sent(first)->target.address;
        CHECK(elsewhere == (copied_tokens_per_ms > 0));
        if (elsewhere) {
            CHECK(order->copy_source == router.sent(first)->target.address);
        }
    };
    donor_of_second_request(280);
    donor_of_second_request(0);
}

TEST_CASE("a part that a running request uses is kept, and ages from the end of the request") {
    placement engines(base::data_centre_id("x"), 1);
    engines.set_catalogue(make_catalogue(1));
    roster list;
    list.replace({make_upstream("m1", model_pool, 10)}, false, base::time_point());
    engines.set_roster(list);
    placement_choice choice;
    choice.upstream = base::upstream_id("m1");
    const auto run = [&](std::uint64_t part) {
        prompt_info prompt;
        prompt.prompt_tokens = token_count(50000);
        prompt.parts = {{part_id(part), token_count(25000)}, {part_id(1000 + part), token_count(25000)}};
        engines.record_sent(choice, {1, prompt.prompt_tokens, prompt.prompt_tokens}, prompt);
        return prompt;
    };
    const prompt_info first = run(1);
    for (std::uint64_t other = 2; other < 8; ++other) {
        engines.record_finished(choice.upstream, {1, {}, token_count(50000)}, run(other));
    }
    engines.record_finished(choice.upstream, {1, {}, token_count(50000)}, first);
    const std::vector<std::uint64_t> kept = engines.work_with_cached_parts().at(0).parts;
    CHECK(std::count(kept.begin(), kept.end(), 1) == 1);
    CHECK(std::count(kept.begin(), kept.end(), 2) == 0);
}

TEST_CASE("requests beyond the engines' slots wait and are refused as not run with a time to come back") {
    bench router;
    std::vector<session_id> all;
    for (int i = 0; i < 40; ++i) {
        all.push_back(router.request("/text/1", "key-a", 200, 100 + static_cast<std::uint64_t>(i)));
    }
    CHECK(router.sends() <= 20);
    router.pass(milliseconds(300));
    std::size_t refused = 0;
    for (const session_id id : all) {
        const end_request* const end = router.ended(id);
        if (end != nullptr) {
            ++refused;
            CHECK(router.sent(id) == nullptr);
            CHECK(end->status == 503);
            CHECK(end->retry_after.has_value());
        }
    }
    CHECK(refused >= 20);
}

TEST_CASE("a slot that becomes free goes to a waiting request") {
    bench router({make_upstream("m1", model_pool, 2)});
    const session_id first = router.request("/text/1", "key-a", 200, 1);
    const session_id second = router.request("/text/1", "key-a", 200, 2);
    const session_id third = router.request("/text/1", "key-a", 200, 3);
    REQUIRE(router.sent(first) != nullptr);
    REQUIRE(router.sent(third) == nullptr);
    router.tell(answer_started{first, 1});
    router.over(first, attempt_outcome::delivered);
    router.pass(milliseconds(20));
    CHECK((router.sent(second) != nullptr || router.sent(third) != nullptr));
}

TEST_CASE("unknown hosts and paths get 404, unknown keys 401, and both 503 while the view is old") {
    bench router;
    CHECK(router.ended(router.request("/none/"))->status == 404);
    CHECK(router.ended(router.request("/text/1", "key-x"))->status == 401);
    CHECK(router.ended(router.request("/text/1"))->status == 401);
    router.pass(seconds(4));
    CHECK(router.ended(router.request("/none/"))->status == 503);
    CHECK(router.ended(router.request("/text/1", "key-x"))->status == 503);
}

TEST_CASE("a router without a confirmed view refuses keys and serves what needs none") {
    bench router;
    router.pass(seconds(4));
    const session_id keyed = router.request("/text/1", "key-a");
    REQUIRE(router.ended(keyed) != nullptr);
    CHECK(router.ended(keyed)->status == 503);
    CHECK(router.ended(keyed)->cause == base::error_code::router_isolated);
    CHECK(router.sent(router.request("/order/1")) != nullptr);
    router.tell(catalogue_read{nullptr, router.now()});
    CHECK(router.sent(router.request("/text/1", "key-a")) != nullptr);
}

TEST_CASE("changed bounds hold at once") {
    bench router;
    router.pass(milliseconds(2900));
    CHECK(router.sent(router.request("/text/1", "key-a")) != nullptr);
    dispatcher_bounds bounds = bench::settings().bounds;
    bounds.max_confirmation_age = seconds(1);
    router.tell(bounds);
    const session_id late = router.request("/text/1", "key-a");
    REQUIRE(router.ended(late) != nullptr);
    CHECK(router.ended(late)->status == 503);
}

TEST_CASE("a confirmation counts from the time that it was asked for") {
    bench router;
    const base::time_point asked = router.now();
    router.pass(seconds(4));
    router.tell(catalogue_read{nullptr, asked});
    CHECK(router.ended(router.request("/text/1", "key-a"))->status == 503);
}

TEST_CASE("an older configuration never replaces a newer one") {
    bench router;
    std::shared_ptr<catalogue> newer = make_catalogue(5);
    newer->keys.erase("key-a");
    router.tell(catalogue_read{newer, router.now()});
    router.tell(catalogue_read{make_catalogue(4), router.now()});
    CHECK(router.ended(router.request("/text/1", "key-a"))->status == 401);
}

TEST_CASE("a request that must not run twice is not sent again after its connection broke") {
    bench router;
    const session_id id = router.request("/order/1");
    router.over(id, attempt_outcome::lost, 0);
    CHECK(router.sends() == 1);
    REQUIRE(router.ended(id) != nullptr);
    CHECK(router.ended(id)->status == 502);
}

TEST_CASE("a request that must not run twice is sent again if it surely did not run") {
    bench router;
    for (const attempt_outcome how :
         {attempt_outcome::unsent, attempt_outcome::refused, attempt_outcome::misdirected}) {
        const session_id id = router.request("/order/1");
        const base::upstream_id first = router.sent(id)->target.id;
        router.over(id, how, 503);
        CHECK(router.sent(id)->attempt == 2);
        CHECK(router.sent(id)->target.id != first);
        router.over(id, attempt_outcome::delivered);
        router.pass(seconds(3));
        router.tell(catalogue_read{nullptr, router.now()});
    }
}

TEST_CASE("a request that may have run is never said not to have run, whatever its last attempt was") {
    bench router;
    const session_id id = router.request("/look/1");
    router.over(id, attempt_outcome::lost, 0);
    router.over(id, attempt_outcome::unsent, 0);
    // A further attempt may still follow, since the second one reached no upstream.
    while (router.ended(id) == nullptr) {
        const std::uint32_t attempt = router.sent(id)->attempt;
        router.over(id, attempt_outcome::unsent, 0);
        REQUIRE((router.ended(id) != nullptr || router.sent(id)->attempt > attempt));
    }
    CHECK(router.ended(id)->status == 502);
    CHECK_FALSE(router.ended(id)->retry_after);
}

TEST_CASE("a failure held back is replaced once and passed on in the end") {
    bench router;
    const session_id id = router.request("/look/1");
    REQUIRE(router.sent(id)->hold_failures);
    router.over(id, attempt_outcome::held, 500);
    CHECK(router.sent(id)->attempt == 2);
    CHECK_FALSE(router.sent(id)->hold_failures);
    router.over(id, attempt_outcome::delivered, 500);
    CHECK(router.ended(id) == nullptr);
    CHECK(router.decisions().sessions() == 0);
}

TEST_CASE("retries stop when the fleet's budget is used up") {
    bench router;
    std::size_t again = 0;
    for (int i = 0; i < 200; ++i) {
        const session_id id = router.request("/look/1");
        if (router.sent(id) == nullptr) {
            continue;
        }
        router.over(id, attempt_outcome::held, 500);
        again += router.sent(id)->attempt == 2 ? 1 : 0;
        if (router.sent(id)->attempt == 2) {
            router.over(id, attempt_outcome::delivered, 500);
        }
    }
    CHECK(again > 0);
    CHECK(again <= 200 * 0.2 + 100);
}

TEST_CASE("a broken stream is continued elsewhere only where the route allows it") {
    bench router;
    std::shared_ptr<catalogue> resumable = make_catalogue(2);
    const bool allowed = GENERATE(true, false);
    resumable->routes[0].resumable = allowed;
    router.tell(catalogue_read{resumable, router.now()});
    const session_id id = router.request("/text/1", "key-a");
    router.tell(answer_started{id, 1});
    router.over(id, attempt_outcome::cut);
    CHECK((router.sent(id)->attempt == 2) == allowed);
    CHECK((router.ended(id) == nullptr) == allowed);
}

TEST_CASE("a request that crashed three upstreams is not sent to a fourth one") {
    bench router({make_upstream("p1", plain_pool, 4), make_upstream("p2", plain_pool, 4),
                  make_upstream("p3", plain_pool, 4), make_upstream("p4", plain_pool, 4)});
    const base::fingerprint print(99);
    // A router that follows a delegate sees whole lists instead of changes.
    const bool whole_lists = GENERATE(false, true);
    std::vector<upstream_entry> entries{
        make_upstream("p1", plain_pool, 4), make_upstream("p2", plain_pool, 4),
        make_upstream("p3", plain_pool, 4), make_upstream("p4", plain_pool, 4)};
    for (std::uint64_t i = 0; i < 3; ++i) {
        request_read read;
        read.id = session_id(500 + i);
        read.host = "h.example";
        read.path = "/order/1";
        read.fingerprint = print;
        read.arrived = router.now();
        router.tell(read);
        const send_request* const order = router.sent(read.id);
        REQUIRE(order != nullptr);
        const base::upstream_id crashed = order->target.id;
        router.over(read.id, attempt_outcome::lost, 0);
        // The crash shows as the removal of its entry.
        entries.erase(std::remove_if(entries.begin(), entries.end(),
                                     [&](const upstream_entry& each) { return each.id == crashed; }),
                      entries.end());
        if (whole_lists) {
            router.tell(roster_read{entries, false, 2 + i, std::nullopt});
        } else {
            router.tell(roster_changed{{{crashed, std::nullopt}}, 1, std::nullopt});
        }
    }
    request_read again;
    again.id = session_id(600);
    again.host = "h.example";
    again.path = "/order/1";
    again.fingerprint = print;
    again.arrived = router.now();
    router.tell(again);
    CHECK(router.sent(again.id) == nullptr);
    CHECK(router.ended(again.id)->cause == base::error_code::poison_request);
}

TEST_CASE("lost answers without a crash do not mark a request as harmful") {
    bench router;
    for (std::uint64_t i = 0; i < 5; ++i) {
        request_read read;
        read.id = session_id(500 + i);
        read.host = "h.example";
        read.path = "/order/1";
        read.fingerprint = base::fingerprint(99);
        read.arrived = router.now();
        router.tell(read);
        REQUIRE(router.sent(read.id) != nullptr);
        router.over(read.id, attempt_outcome::lost, 0);
    }
}

TEST_CASE("requests end at the deadline: not run while they wait, unknown once they were sent") {
    bench router({make_upstream("p1", plain_pool, 4)});
    const session_id sent = router.request("/order/1");
    router.pass(seconds(10) + milliseconds(20));
    REQUIRE(router.ended(sent) != nullptr);
    CHECK(router.ended(sent)->status == 504);
    CHECK(router.decisions().sessions() == 0);
}

TEST_CASE("an upstream that leaves gets no new work") {
    bench router;
    upstream_entry leaving = make_upstream("p1", plain_pool, 4);
    leaving.phase = upstream_phase::draining;
    router.tell(roster_changed{{{leaving.id, leaving}}, 1, std::nullopt});
    for (int i = 0; i < 8; ++i) {
        const session_id id = router.request("/order/1");
        REQUIRE(router.sent(id) != nullptr);
        CHECK(router.sent(id)->target.id != leaving.id);
    }
}

TEST_CASE("a draining router is not ready, takes requests until balancers have noticed, and then ends") {
    bench router;
    CHECK(router.decisions().ready(router.now()));
    router.tell(decision::drain_requested{});
    CHECK_FALSE(router.decisions().ready(router.now()));
    const session_id early = router.request("/order/1");
    CHECK(router.sent(early) != nullptr);
    router.pass(milliseconds(3100));
    const session_id tardy = router.request("/order/1");
    CHECK(router.ended(tardy)->status == 503);
    router.pass(milliseconds(200));
    CHECK_FALSE(router.decisions().drained(router.now()));
    router.over(early, attempt_outcome::delivered);
    CHECK(router.decisions().drained(router.now()));
}

TEST_CASE("reports of other routers count against an engine's slots") {
    bench router({make_upstream("m1", model_pool, 10)});
    const decision::envelope hello = greeting();
    router.tell(decision::message_received{hello, {}});
    decision::envelope report;
    report.header = hello.header;
    report.body = decision::work_report{{{base::upstream_id("m1"), 10, 0, 1000, 0, {}}}, {}, false, 0, 0};
    router.tell(decision::message_received{report, {}});
    router.pass(milliseconds(120));
    router.tell(decision::message_received{report, {}});
    CHECK(router.sent(router.request("/text/1", "key-a", 200)) == nullptr);
}

TEST_CASE("a router that joins is told which parts the engines keep") {
    bench router;
    const session_id id = router.request("/text/1", "key-a", 4000, 42);
    REQUIRE(router.sent(id) != nullptr);
    router.tell(decision::message_received{greeting(), {}});
    const bool told = std::any_of(
        router.datagrams().begin(), router.datagrams().end(), [&](const decision::datagram& each) {
            const decision::work_report* const report =
                std::get_if<decision::work_report>(&each.payload.body);
            return report != nullptr && report->upstreams.size() == 1 &&
                   report->upstreams[0].upstream == router.sent(id)->target.id &&
                   std::count(report->upstreams[0].parts.begin(), report->upstreams[0].parts.end(), 42U) == 1;
        });
    CHECK(told);
}

namespace {

/// Tokens served to each of two accounts in six seconds, after two of warm-up, by engines that serve each
/// request in half a second. Every 50 ms key-b sends one request and key-a twenty.
std::map<std::string, double> serve_flood(bench& router) {
    constexpr int steps = 160;
    constexpr int warm_up = 40;
    std::map<std::string, double> served;
    std::deque<std::pair<base::time_point, session_id>> running;
    std::vector<std::pair<std::string, session_id>> waiting;
    std::uint64_t part = 1000;
    for (int step = 0; step < steps; ++step) {
        for (int i = 0; i < 21; ++i) {
            const std::string key = i == 10 ? "key-b" : "key-a";
            waiting.emplace_back(key, router.request("/text/1", key, 200, ++part));
        }
        router.pass(milliseconds(50));
        router.tell(catalogue_read{nullptr, router.now()});
        std::vector<std::pair<std::string, session_id>> still;
        for (const auto& [key, id] : waiting) {
            if (router.sent(id) != nullptr) {
                running.emplace_back(router.now() + milliseconds(450), id);
                router.tell(answer_started{id, 1});
                served[key] += step < warm_up ? 0 : 1;
            } else if (router.ended(id) == nullptr) {
                still.emplace_back(key, id);
            }
        }
        waiting = std::move(still);
        while (!running.empty() && running.front().first <= router.now()) {
            router.over(running.front().second, attempt_outcome::delivered);
            running.pop_front();
        }
    }
    return served;
}

} // namespace

TEST_CASE("a small account gets at least half of what it asks for, or of what a flood gets") {
    bench router;
    std::map<std::string, double> served = serve_flood(router);
    // One request every 50 ms for six seconds.
    constexpr double asked = 120;
    CHECK(served["key-a"] > 0);
    CHECK(served["key-b"] >= std::min(asked, served["key-a"]) / 2);
}
