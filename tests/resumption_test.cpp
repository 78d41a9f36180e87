#include "dispatch/dispatcher.h"
#include "dispatch/origins.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace {

using namespace bluebell;
using namespace bluebell::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::pool_id model_pool("model");
const base::pool_id other_pool("other");
/// The smallest fleet with delegates, and one without.
constexpr std::size_t large_fleet = 18;
constexpr std::size_t small_fleet = 3;

/// One route of resumable streams.
std::shared_ptr<catalogue> make_catalogue(std::uint64_t version, const std::vector<weighted_pool>& pools) {
    std::shared_ptr<catalogue> result = std::make_shared<catalogue>();
    result->version = base::revision(version);
    route streams;
    streams.id = route_id("streams");
    streams.host = "h.example";
    streams.prefix = "/text/";
    streams.kind = route_kind::streaming;
    streams.resumable = true;
    streams.anonymous = true;
    streams.timeout = seconds(10);
    streams.objective = milliseconds(400);
    streams.max_attempts = 2;
    streams.pools = pools;
    result->routes = {streams};
    for (const base::pool_id& id : {model_pool, other_pool}) {
        pool engines;
        engines.id = id;
        engines.max_connections = 100;
        engines.engine = engine_traits{base::slot_count(10), token_count(100000)};
        result->pools[id] = engines;
    }
    result->tokens_per_s = 50000;
    result->index();
    return result;
}

upstream_entry make_upstream(const std::string& name, const std::string& version,
                             const base::pool_id& pool = model_pool) {
    upstream_entry result;
    result.id = base::upstream_id(name);
    result.pool = pool;
    result.address = {"127.0.0.1", 9000};
    result.data_centre = base::data_centre_id("x");
    result.slots = base::slot_count(10);
    result.version = base::software_version(version);
    return result;
}

/// Routers that exchange messages in memory, and the origins that their store holds.
class fleet {
public:
    explicit fleet(std::size_t count, std::vector<upstream_entry> upstreams)
        : upstreams_(std::move(upstreams)), stopped_(count) {
        for (std::size_t i = 0; i < count; ++i) {
            decision::vm_entry entry;
            entry.vm = base::vm_id("r" + std::to_string(100 + i));
            entry.control = {"127.0.0.1", static_cast<std::uint16_t>(i)};
            entry.data_centre = base::data_centre_id(i % 2 == 0 ? "x" : "y");
            entry.cpu_cores = i < 2 ? 1 : 0.5;
            listed_.push_back(entry);
        }
        routers_.resize(count);
        start_all();
    }

    /// Starts every router anew, with nothing but what the store holds.
    void start_all() {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            start(i);
        }
        advance(seconds(1));
    }
    void stop(std::size_t index) { stopped_[index] = true; }
    /// Replaces the upstreams that the store lists.
    void list(std::vector<upstream_entry> upstreams) {
        upstreams_ = std::move(upstreams);
        ++list_position_;
        for (const std::unique_ptr<router>& member : routers_) {
            member->decisions.handle(roster_read{upstreams_, false, list_position_, now_}, now_);
        }
    }
    /// Puts a configuration in force that sends the requests of the route to these pools.
    void route_to(const std::vector<weighted_pool>& pools) {
        for (const std::unique_ptr<router>& member : routers_) {
            member->decisions.handle(catalogue_read{make_catalogue(2, pools), now_}, now_);
        }
    }
    void set_store_readable(bool readable) { store_readable_ = readable; }
    /// Origins that were written to the store.
    [[nodiscard]] std::size_t stored() const { return stored_.size(); }

    /// Sends a request to the router: a new stream, or one that resumes `stream` if that is not empty.
    session_id request(std::size_t index, const std::string& id, const std::string& stream = "") {
        request_read read;
        read.id = session_id(++last_id_);
        read.caller_request_id = id;
        read.host = "h.example";
        read.path = "/text/1";
        read.caller_timeout = seconds(10);
        read.prompt.prompt_tokens = token_count(100);
        read.prompt.max_output_tokens = token_count(50);
        read.resumes = !stream.empty();
        read.stream = key_of(stream.empty() ? id : stream);
        read.fingerprint = base::fingerprint(last_id_);
        read.arrived = now_;
        routers_[index]->decisions.handle(read, now_);
        collect(*routers_[index]);
        return read.id;
    }
    /// The first event of the stream is passed on at the router.
    void begin(std::size_t index, session_id id, bool process_known = true) {
        const send_request* const order = sent(id);
        REQUIRE(order != nullptr);
        routers_[index]->decisions.handle(answer_started{id, order->attempt}, now_);
        routers_[index]->decisions.handle(stream_began{id, order->attempt, process_known}, now_);
    }
    /// Starts a stream at the router. Returns the version that it began at.
    std::string stream(std::size_t index, const std::string& id) {
        const session_id session = request(index, id);
        begin(index, session);
        return sent(session)->target.version.value();
    }
    /// Tells the router, in the name of the next one, what its accounts request and get.
    void report(std::size_t index, std::vector<decision::account_work> accounts) {
        decision::envelope message;
        message.header.sender = listed_[index + 1].vm;
        message.header.incarnation = base::incarnation(index + 2);
        message.header.sequence = 1'000'000 + ++last_id_;
        message.body = decision::work_report{{}, std::move(accounts), false, 0, 0};
        routers_[index]->decisions.handle(decision::message_received{message, {}}, now_);
    }
    /// Share of the requests of callers without an account that the router admits.
    [[nodiscard]] double admitted_share(std::size_t index) const {
        const admission_table_ptr& table = routers_[index]->decisions.admission();
        return table ? table->share(base::client_account_id()) : 1;
    }
    /// The answer to the request ends at the router.
    void finish(std::size_t index, session_id id) {
        attempt_finished finished;
        finished.id = id;
        finished.attempt = sent(id)->attempt;
        finished.status = 200;
        routers_[index]->decisions.handle(finished, now_);
        collect(*routers_[index]);
    }
    [[nodiscard]] const send_request* sent(session_id id) const {
        const auto found = sent_.find(id);
        return found == sent_.end() ? nullptr : &found->second;
    }
    [[nodiscard]] const end_request* ended(session_id id) const {
        const auto found = ended_.find(id);
        return found == ended_.end() ? nullptr : &found->second;
    }

    void advance(base::duration time) {
        const base::time_point end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            for (const decision::datagram& datagram : std::exchange(in_transit_, {})) {
                const std::size_t to = datagram.to.port;
                if (to < routers_.size() && !stopped_[to]) {
                    routers_[to]->decisions.handle(decision::message_received{datagram.payload, {}}, now_);
                }
            }
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                if (!stopped_[i]) {
                    routers_[i]->decisions.tick(now_);
                    collect(*routers_[i]);
                }
            }
        }
    }
    static base::stream_key key_of(const std::string& id) {
        return base::stream_key(std::hash<std::string>{}(id));
    }

private:
    struct router {
        router(const dispatcher_settings& settings, base::time_point now) : decisions(settings, now) {}
        dispatcher decisions;
    };

    void start(std::size_t index) {
        dispatcher_settings settings;
        settings.member.self = listed_[index].vm;
        settings.member.incarnation = base::incarnation(++incarnation_);
        settings.member.address = listed_[index].control;
        settings.member.seed = index + 1;
        settings.data_centre = listed_[index].data_centre;
        settings.cpu_cores = listed_[index].cpu_cores;
        settings.seed = index + 1;
        stopped_[index] = false;
        routers_[index] = std::make_unique<router>(settings, now_);
        dispatcher& decisions = routers_[index]->decisions;
        decisions.handle(relay_started{}, now_);
        decisions.handle(catalogue_read{make_catalogue(1, {{model_pool, 1}}), now_}, now_);
        decisions.handle(roster_read{upstreams_, false, list_position_, now_}, now_);
        decisions.handle(peers_read{listed_}, now_);
    }
    void collect(router& member) {
        dispatcher_output output = member.decisions.take_output();
        for (const relay_command& command : output.relay) {
            if (const send_request* const order = std::get_if<send_request>(&command)) {
                sent_[order->id] = *order;
            } else if (const end_request* const end = std::get_if<end_request>(&command)) {
                ended_[end->id] = *end;
            }
        }
        in_transit_.insert(in_transit_.end(), output.datagrams.begin(), output.datagrams.end());
        if (output.streams_order) {
            stored_.insert(stored_.end(), output.streams_order->write.begin(),
                           output.streams_order->write.end());
            if (output.streams_order->read && store_readable_) {
                member.decisions.handle(streams_read{stored_}, now_);
            }
        }
    }

    base::time_point now_ = base::time_point(std::chrono::hours(1));
    std::vector<upstream_entry> upstreams_;
    std::uint64_t list_position_ = 1;
    std::vector<decision::vm_entry> listed_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<bool> stopped_;
    std::vector<decision::datagram> in_transit_;
    std::vector<decision::begun_stream> stored_;
    bool store_readable_ = true;
    std::map<session_id, send_request> sent_;
    std::map<session_id, end_request> ended_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t last_id_ = 0;
};

std::vector<upstream_entry> two_versions() {
    return {make_upstream("a", "v1"), make_upstream("b", "v1"), make_upstream("c", "v2"),
            make_upstream("d", "v2")};
}

const stream_origin first_origin{model_pool, base::software_version("v1")};
const stream_origin second_origin{model_pool, base::software_version("v2")};

} // namespace

TEST_CASE("a resumed stream goes on at the version that began it, whichever router took it up") {
    const std::size_t routers = GENERATE(small_fleet, large_fleet);
    fleet routed(routers, two_versions());
    std::set<std::string> versions;
    for (std::size_t i = 0; i < 6; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::string version = routed.stream(i % routers, id);
        versions.insert(version);
        routed.advance(milliseconds(150));
        const session_id resumed = routed.request((i + 1) % routers, "again-" + id, id);
        routed.advance(milliseconds(20));
        REQUIRE(routed.sent(resumed) != nullptr);
        CHECK(routed.sent(resumed)->target.version.value() == version);
    }
    CHECK(versions.size() == 2);
}

TEST_CASE("a resumed stream goes on after the router that began it has been killed") {
    const std::size_t routers = GENERATE(small_fleet, large_fleet);
    fleet routed(routers, two_versions());
    const std::size_t began = routers - 1;
    const std::string version = routed.stream(began, "s");
    routed.advance(milliseconds(150));
    routed.stop(began);
    const session_id resumed = routed.request(2, "again", "s");
    routed.advance(milliseconds(20));
    REQUIRE(routed.sent(resumed) != nullptr);
    CHECK(routed.sent(resumed)->target.version.value() == version);
}

TEST_CASE("a resumed stream goes on after all routers have been killed at once, by what the store holds") {
    const std::size_t routers = GENERATE(small_fleet, large_fleet);
    fleet routed(routers, two_versions());
    const std::string version = routed.stream(1, "s");
    routed.advance(seconds(1));
    CHECK(routed.stored() > 0);
    routed.start_all();
    const session_id resumed = routed.request(routers - 1, "again", "s");
    routed.advance(milliseconds(20));
    REQUIRE(routed.sent(resumed) != nullptr);
    CHECK(routed.sent(resumed)->target.version.value() == version);
}

TEST_CASE("a resumed stream whose origin was lost with all routers is refused at once and not run") {
    const std::size_t routers = GENERATE(small_fleet, large_fleet);
    // One version is listed, which says nothing of those that have left.
    fleet routed(routers, {make_upstream("a", "v1"), make_upstream("b", "v1")});
    routed.stream(1, "s");
    routed.advance(milliseconds(10));
    routed.start_all();
    const session_id resumed = routed.request(routers - 1, "again", "s");
    routed.advance(milliseconds(20));
    CHECK(routed.sent(resumed) == nullptr);
    REQUIRE(routed.ended(resumed) != nullptr);
    CHECK(routed.ended(resumed)->status == 503);
    CHECK(routed.ended(resumed)->cause == base::error_code::stream_unknown);
    CHECK_FALSE(routed.ended(resumed)->retry_after);
}

TEST_CASE("a resumed stream is refused at once when the upstreams of its version have left") {
    fleet routed(small_fleet, {make_upstream("a", "v1"), make_upstream("b", "v1")});
    routed.stream(0, "s");
    routed.advance(milliseconds(150));
    routed.list({make_upstream("c", "v2"), make_upstream("d", "v2")});
    const session_id resumed = routed.request(1, "again", "s");
    CHECK(routed.sent(resumed) == nullptr);
    REQUIRE(routed.ended(resumed) != nullptr);
    CHECK(routed.ended(resumed)->status == 503);
    CHECK(routed.ended(resumed)->cause == base::error_code::stream_version_gone);
    CHECK_FALSE(routed.ended(resumed)->retry_after);
}

TEST_CASE("a request that resumes a stream which nobody has begun is refused and not run") {
    fleet routed(small_fleet, two_versions());
    const session_id resumed = routed.request(0, "again", "never-begun");
    CHECK(routed.sent(resumed) == nullptr);
    REQUIRE(routed.ended(resumed) != nullptr);
    CHECK(routed.ended(resumed)->status == 503);
}

TEST_CASE("a stream of an upstream that does not say which process it is cannot be resumed") {
    fleet routed(small_fleet, two_versions());
    const session_id first = routed.request(0, "s");
    routed.begin(0, first, false);
    routed.advance(milliseconds(150));
    const session_id resumed = routed.request(0, "again", "s");
    CHECK(routed.sent(resumed) == nullptr);
    CHECK(routed.ended(resumed) != nullptr);
}

TEST_CASE("a resumed stream waits briefly for a router that has not read the store yet, and may return") {
    fleet routed(small_fleet, two_versions());
    routed.stream(1, "s");
    routed.advance(seconds(1));
    routed.set_store_readable(false);
    routed.start_all();
    const session_id resumed = routed.request(0, "again", "s");
    CHECK(routed.ended(resumed) == nullptr);
    routed.advance(milliseconds(250));
    CHECK(routed.sent(resumed) == nullptr);
    REQUIRE(routed.ended(resumed) != nullptr);
    CHECK(routed.ended(resumed)->status == 503);
    CHECK(routed.ended(resumed)->retry_after);
}

TEST_CASE("a resumed stream stays at the service that began it, or is refused if its route has left that") {
    fleet routed(small_fleet, {make_upstream("a", "v1"), make_upstream("b", "v1", other_pool)});
    routed.stream(0, "s");
    routed.advance(milliseconds(150));
    routed.route_to({{model_pool, 1}, {other_pool, 1000}});
    const session_id resumed = routed.request(1, "again", "s");
    REQUIRE(routed.sent(resumed) != nullptr);
    CHECK(routed.sent(resumed)->target.pool == model_pool);
    const bool listed = GENERATE(true, false);
    fleet moved(small_fleet, {make_upstream("a", "v1"), make_upstream("b", "v1", other_pool)});
    moved.stream(0, "s");
    moved.advance(milliseconds(150));
    moved.route_to(listed ? std::vector<weighted_pool>{{model_pool, 0}, {other_pool, 1}}
                          : std::vector<weighted_pool>{{other_pool, 1}});
    const session_id refused = moved.request(1, "again", "s");
    CHECK(moved.sent(refused) == nullptr);
    CHECK(moved.ended(refused) != nullptr);
}

// Guards against resumed streams that are refused more often than new ones begin.
TEST_CASE("a resumed stream gets the next room on an engine before new ones that wait for longer") {
    fleet routed(small_fleet, {make_upstream("a", "v1")});
    routed.stream(1, "s");
    routed.advance(milliseconds(150));
    std::vector<session_id> running;
    session_id waiting;
    for (int i = 0; i < 20; ++i) {
        const session_id next = routed.request(0, "new-" + std::to_string(i));
        if (routed.sent(next) == nullptr) {
            waiting = next;
            break;
        }
        running.push_back(next);
    }
    REQUIRE(routed.sent(waiting) == nullptr);
    std::vector<session_id> resumed;
    for (int i = 0; i < 5; ++i) {
        resumed.push_back(routed.request(0, "again-" + std::to_string(i), "s"));
    }
    REQUIRE(routed.sent(resumed.back()) == nullptr);
    routed.advance(milliseconds(100));
    routed.finish(0, running.front());
    routed.advance(milliseconds(20));
    CHECK(std::any_of(resumed.begin(), resumed.end(),
                      [&](session_id id) { return routed.sent(id) != nullptr; }));
    CHECK(routed.sent(waiting) == nullptr);
    // The new one has waited for too long by now, a resumed one not.
    routed.advance(milliseconds(300));
    CHECK(routed.ended(waiting) != nullptr);
    CHECK(routed.ended(resumed.back()) == nullptr);
}

// Guards against accounts that get far more than others while their broken streams are taken up again.
TEST_CASE("resumed streams of an account that floods are admitted by the square root of its share") {
    fleet routed(small_fleet, {make_upstream("a", "v1")});
    routed.stream(1, "s");
    routed.advance(milliseconds(150));
    while (routed.sent(routed.request(0, "new")) != nullptr) {
    }
    const base::client_account_id flooding;
    for (int i = 0; i < 10; ++i) {
        routed.report(
            0, {{flooding, base::cost(8000), base::cost(90000), base::cost(90000)},
                {base::client_account_id("small"), base::cost(2000), base::cost(3000), base::cost(3000)}});
        routed.advance(milliseconds(50));
    }
    const double share = routed.admitted_share(0);
    REQUIRE(share < 0.6);
    constexpr int count = 1000;
    int refused = 0;
    for (int i = 0; i < count; ++i) {
        const session_id resumed = routed.request(0, "again", "s");
        const end_request* const end = routed.ended(resumed);
        refused += end != nullptr && end->cause == base::error_code::over_fair_share ? 1 : 0;
        CHECK((end == nullptr || end->retry_after));
    }
    const double admitted = 1 - static_cast<double>(refused) / count;
    CHECK(admitted > std::sqrt(share) * 0.9);
    CHECK(admitted < std::sqrt(share) * 1.1);
}

TEST_CASE("origins are reported twice, and not once their stream has ended") {
    stream_origins origins;
    const base::time_point now(std::chrono::hours(1));
    origins.record_own(base::stream_key(1), first_origin, now + seconds(5), now);
    CHECK(origins.take_news(now).size() == 1);
    CHECK(origins.take_news(now).size() == 1);
    CHECK(origins.take_news(now).empty());
    origins.record_own(base::stream_key(2), first_origin, now + seconds(5), now);
    origins.record_end(base::stream_key(2));
    CHECK(origins.take_news(now).empty());
    CHECK(origins.find(base::stream_key(2)) != nullptr);
    CHECK(origins.own(now).size() == 1);
}

TEST_CASE("a stream that two reports place at different versions is unknown for good") {
    stream_origins origins;
    const base::time_point now(std::chrono::hours(1));
    origins.record_own(base::stream_key(1), first_origin, now + seconds(5), now);
    origins.record({{base::stream_key(1), model_pool, second_origin.version, seconds(5)}}, now);
    CHECK(origins.find(base::stream_key(1)) == nullptr);
    origins.record({{base::stream_key(1), model_pool, first_origin.version, seconds(5)}}, now);
    CHECK(origins.find(base::stream_key(1)) == nullptr);
    CHECK_FALSE(origins.report(base::stream_key(1), now));
}

TEST_CASE("origins are kept as long as their caller may resume, and no longer") {
    stream_origins origins;
    const base::time_point now(std::chrono::hours(1));
    origins.record_own(base::stream_key(1), first_origin, now + seconds(5), now);
    origins.record({{base::stream_key(2), model_pool, first_origin.version, seconds(9)}}, now);
    origins.expire(now + seconds(4));
    CHECK(origins.size() == 2);
    CHECK(origins.report(base::stream_key(2), now + seconds(4))->valid_for == seconds(5));
    origins.expire(now + seconds(5));
    CHECK(origins.find(base::stream_key(1)) == nullptr);
    CHECK(origins.find(base::stream_key(2)) != nullptr);
}

TEST_CASE("a router that begins to write origins writes all but those that it read from the store") {
    stream_origins origins;
    const base::time_point now(std::chrono::hours(1));
    origins.record_own(base::stream_key(1), first_origin, now + seconds(5), now);
    origins.record({{base::stream_key(2), model_pool, first_origin.version, seconds(9)}}, now);
    origins.record_stored({{base::stream_key(3), model_pool, first_origin.version, seconds(9)}}, now);
    CHECK(origins.take_unwritten(now).empty());
    CHECK(origins.set_writer(true));
    CHECK_FALSE(origins.set_writer(true));
    CHECK(origins.take_unwritten(now).size() == 2);
    CHECK(origins.take_unwritten(now).empty());
}
