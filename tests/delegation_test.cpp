#include "dispatch/delegation.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace {

using namespace bluebell;
using namespace bluebell::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::data_centre_id north("north");
const base::data_centre_id south("south");
const base::pool_id model_pool("model");

std::vector<decision::member_info> make_members(int count) {
    std::vector<decision::member_info> members;
    for (int i = 0; i < count; ++i) {
        decision::member_info member;
        member.vm = base::vm_id("r" + std::to_string(i));
        member.data_centre = i % 2 == 0 ? north : south;
        member.cpu_cores = 0.12;
        members.push_back(member);
    }
    return members;
}

/// Routers that exchange messages in memory, and a store that answers the routers which watch it.
class fleet {
public:
    explicit fleet(int count) {
        for (int i = 0; i < count; ++i) {
            listed_.push_back(entry(i));
        }
        for (int i = 0; i < count; ++i) {
            dispatcher_settings settings;
            settings.member.self = listed_[static_cast<std::size_t>(i)].vm;
            settings.member.incarnation = base::incarnation(1);
            settings.member.address = listed_[static_cast<std::size_t>(i)].control;
            settings.member.seed = static_cast<std::uint64_t>(i) + 1;
            settings.data_centre = listed_[static_cast<std::size_t>(i)].data_centre;
            settings.cpu_cores = listed_[static_cast<std::size_t>(i)].cpu_cores;
            settings.seed = settings.member.seed;
            settings_.push_back(settings);
            routers_.push_back(std::make_unique<router>(settings, now_));
            routers_.back()->decisions.handle(relay_started{}, now_);
            routers_.back()->decisions.handle(peers_read{listed_}, now_);
            confirm(*routers_.back());
        }
    }

    /// Advances the time in steps of 5 ms. A message arrives one step after it was sent.
    void advance(base::duration time) {
        const base::time_point end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            const std::vector<decision::datagram> arriving = std::exchange(in_transit_, {});
            for (const decision::datagram& datagram : arriving) {
                const std::size_t to = datagram.to.port;
                if (list_updates_lost_ &&
                    std::holds_alternative<decision::upstream_list_update>(datagram.payload.body)) {
                    continue;
                }
                if (to < routers_.size() && stopped_.count(to) == 0) {
                    routers_[to]->decisions.handle(decision::message_received{datagram.payload, {}}, now_);
                }
            }
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                if (stopped_.count(i) == 0) {
                    step(*routers_[i]);
                }
            }
        }
    }

    void stop(std::size_t index) { stopped_.insert(index); }
    /// Replaces the router by one that knows nothing.
    void restart(std::size_t index) {
        settings_[index].member.incarnation = base::incarnation(2);
        routers_[index] = std::make_unique<router>(settings_[index], now_);
        routers_[index]->decisions.handle(relay_started{}, now_);
        routers_[index]->decisions.handle(peers_read{listed_}, now_);
        confirm(*routers_[index]);
    }
    void publish(std::uint64_t version) { version_ = version; }
    /// Replaces the only upstream.
    void replace_upstream(const std::string& name) {
        upstream_ = name;
        ++list_position_;
    }
    /// Gives the router an outdated list with one upstream.
    void answer_outdated(std::size_t index, const std::string& name, std::uint64_t position) {
        upstream_entry engine;
        engine.id = base::upstream_id(name);
        engine.pool = model_pool;
        routers_[index]->decisions.handle(roster_read{{engine}, false, position, std::nullopt}, now_);
    }
    void lose_list_updates() { list_updates_lost_ = true; }
    /// Routers that know the upstream and no other.
    [[nodiscard]] std::size_t count_with_upstream(const std::string& name) {
        std::size_t count = 0;
        for (const auto& member : routers_) {
            const decision::state_report state = member->decisions.report(now_);
            const auto section = std::find_if(state.begin(), state.end(),
                                              [](const auto& one) { return one.name == "upstreams"; });
            count += section->values.size() == 1 && section->values[0].name == name ? 1 : 0;
        }
        return count;
    }
    /// Reads of the list of upstreams by routers that do not watch the store.
    [[nodiscard]] std::size_t list_reads() const { return list_reads_; }
    /// Sends a request of `prompt` tokens to the router. Returns true if the router placed it on an engine.
    bool place_request(std::size_t index, std::int64_t prompt, std::uint64_t part,
                       const std::string& key = "key") {
        router& entry_router = *routers_[index];
        entry_router.sends = 0;
        entry_router.decisions.handle(make_request(prompt, part, key), now_);
        collect(entry_router);
        return entry_router.sends > 0;
    }
    /// Sends a request with the part to the first router. Returns true if it is placed within `time`.
    bool place_request_within(milliseconds time, std::uint64_t part, const std::string& key) {
        if (place_request(0, 100, part, key)) {
            return true;
        }
        advance(time);
        return routers_[0]->sends > 0;
    }
    /// Sends two requests with the part to the router, and breaks the connections of both.
    void crash_engine(std::size_t index, std::uint64_t part) {
        router& entry_router = *routers_[index];
        const std::array<request_read, 2> requests{make_request(100, part), make_request(100, part)};
        for (const request_read& read : requests) {
            entry_router.decisions.handle(read, now_);
        }
        collect(entry_router);
        for (const request_read& read : requests) {
            attempt_finished broken;
            broken.id = read.id;
            broken.attempt = 1;
            broken.outcome = attempt_outcome::lost;
            entry_router.decisions.handle(broken, now_);
        }
        collect(entry_router);
    }
    /// Returns true if the router refuses a request with the part, because engines crash under it.
    bool blocks(std::size_t index, std::uint64_t part) {
        routers_[index]->decisions.handle(make_request(100, part), now_);
        const dispatcher_output output = routers_[index]->decisions.take_output();
        return std::any_of(output.relay.begin(), output.relay.end(), [](const relay_command& command) {
            const end_request* const end = std::get_if<end_request>(&command);
            return end != nullptr && end->cause == base::error_code::poison_request;
        });
    }
    request_read make_request(std::int64_t prompt, std::uint64_t part, const std::string& key = "key") {
        request_read read;
        read.id = session_id(++last_id_);
        read.host = "h.example";
        read.path = "/text/1";
        read.key = key;
        read.caller_timeout = seconds(10);
        read.prompt.prompt_tokens = token_count(prompt);
        read.prompt.max_output_tokens = token_count(10);
        read.prompt.parts = {{part_id(part), token_count(prompt / 2)},
                             {part_id(1000 + last_id_), token_count(prompt / 2)}};
        read.fingerprint = base::fingerprint(last_id_);
        read.arrived = now_;
        return read;
    }
    /// Indices of the routers that watch the store themselves.
    [[nodiscard]] std::set<std::size_t> watching() const {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (stopped_.count(i) == 0 && routers_[i]->order.watch) {
                found.insert(i);
            }
        }
        return found;
    }
    [[nodiscard]] bool all_ready() const {
        bool ready = true;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            ready = ready && (stopped_.count(i) != 0 || routers_[i]->decisions.ready(now_));
        }
        return ready;
    }
    [[nodiscard]] std::size_t store_calls() const { return store_calls_; }
    [[nodiscard]] std::size_t count_with_version(std::uint64_t version) const {
        return static_cast<std::size_t>(
            std::count_if(routers_.begin(), routers_.end(),
                          [&](const auto& member) { return member->version == version; }));
    }

private:
    struct router {
        router(const dispatcher_settings& settings, base::time_point now) : decisions(settings, now) {}
        dispatcher decisions;
        follow_order order;
        follow_order list_order;
        std::uint64_t version = 0;
        std::uint64_t list_position = 0;
        base::time_point next_call;
        int sends = 0;
    };

    static decision::vm_entry entry(int i) {
        decision::vm_entry result;
        result.vm = base::vm_id("r" + std::to_string(i));
        result.data_centre = i % 2 == 0 ? north : south;
        result.control = {"10.0.0.1", static_cast<std::uint16_t>(i)};
        result.cpu_cores = 0.12;
        return result;
    }

    [[nodiscard]] catalogue_ptr make_catalogue() const {
        std::shared_ptr<catalogue> result = std::make_shared<catalogue>();
        result->version = base::revision(version_);
        route text;
        text.id = route_id("text");
        text.host = "h.example";
        text.prefix = "/text/";
        text.kind = route_kind::streaming;
        text.objective = milliseconds(400);
        text.pools = {{model_pool, 1}};
        result->routes = {text};
        pool model;
        model.id = model_pool;
        model.engine = engine_traits{base::slot_count(10), token_count(100000), 0};
        result->pools = {{model_pool, model}};
        result->keys = {{"key", base::client_account_id("a")}, {"key-b", base::client_account_id("b")}};
        result->tokens_per_s = 50000;
        result->index();
        return result;
    }

    void confirm(router& target) {
        ++store_calls_;
        target.decisions.handle(catalogue_read{target.version < version_ ? make_catalogue() : nullptr, now_},
                                now_);
        target.version = version_;
        upstream_entry engine;
        engine.id = base::upstream_id(upstream_);
        engine.pool = model_pool;
        engine.address = {"127.0.0.1", 9000};
        engine.slots = base::slot_count(10);
        target.decisions.handle(roster_read{{engine}, false, list_position_, now_}, now_);
        target.list_position = list_position_;
    }

    void step(router& target) {
        target.decisions.tick(now_);
        collect(target);
        const bool list_behind = target.list_position < target.list_order.required_position;
        list_reads_ += list_behind ? 1 : 0;
        const bool behind = target.version < target.order.required_position || list_behind;
        if ((target.order.watch && now_ >= target.next_call) || behind) {
            target.next_call = now_ + milliseconds(600);
            confirm(target);
            collect(target);
        }
    }

    void collect(router& source) {
        dispatcher_output output = source.decisions.take_output();
        if (output.catalogue_order) {
            source.order = *output.catalogue_order;
        }
        if (output.roster_order) {
            source.list_order = *output.roster_order;
        }
        for (decision::datagram& command : output.datagrams) {
            in_transit_.push_back(std::move(command));
        }
        source.sends += static_cast<int>(
            std::count_if(output.relay.begin(), output.relay.end(), [](const relay_command& command) {
                return std::holds_alternative<send_request>(command);
            }));
    }

    base::time_point now_ = base::time_point(std::chrono::hours(1));
    std::vector<decision::vm_entry> listed_;
    std::vector<dispatcher_settings> settings_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<decision::datagram> in_transit_;
    std::set<std::size_t> stopped_;
    std::uint64_t version_ = 1;
    std::string upstream_ = "m1";
    std::uint64_t list_position_ = 1;
    std::size_t list_reads_ = 0;
    bool list_updates_lost_ = false;
    std::uint64_t last_id_ = 0;
    std::size_t store_calls_ = 0;
};

} // namespace

TEST_CASE("all routers choose the same delegates, and small fleets need none") {
    const base::time_point now(seconds(100));
    std::vector<decision::member_info> members = make_members(20);
    std::set<base::vm_id> chosen;
    for (const decision::member_info& member : members) {
        delegation view(member.vm, member.data_centre, 0.12);
        view.update(members, now);
        REQUIRE(view.needed());
        chosen.insert(view.delegate());
        chosen.insert(view.other_delegates().begin(), view.other_delegates().end());
        CHECK(view.other_delegates().size() == 1);
    }
    CHECK(chosen.size() == 2);
    members[6].cpu_cores = 0.5;
    delegation strong(base::vm_id("r0"), north, 0.12);
    strong.update(members, now);
    CHECK(strong.delegate() == base::vm_id("r6"));
    strong.update(make_members(16), now);
    CHECK_FALSE(strong.needed());
}

TEST_CASE("a delegate that does not answer is excluded for a while") {
    const std::vector<decision::member_info> members = make_members(20);
    base::time_point now(seconds(100));
    delegation view(base::vm_id("r1"), south, 0.01);
    view.update(members, now);
    const base::vm_id first = view.delegate();
    REQUIRE(first != base::vm_id("r1"));
    view.record_sent_report(7, now);
    CHECK_FALSE(view.record_answer(base::vm_id("r3") == first ? base::vm_id("r5") : base::vm_id("r3"), 7));
    CHECK_FALSE(view.record_answer(first, 6));
    CHECK(view.record_answer(first, 7) == now);
    view.record_sent_report(8, now);
    now += delegation::answer_timeout + milliseconds(1);
    view.update(members, now);
    CHECK(view.delegate() != first);
    now += delegation::exclusion_time;
    view.update(members, now);
    CHECK(view.delegate() == first);
}

TEST_CASE("in a large fleet only the delegates watch the store, and every view stays fresh") {
    fleet all(24);
    all.advance(seconds(10));
    CHECK(all.watching().size() == 2);
    const std::size_t before = all.store_calls();
    all.advance(seconds(10));
    CHECK(all.all_ready());
    // Each of the two delegates makes one call per 600 ms.
    CHECK(all.store_calls() - before <= 40);
}

TEST_CASE("a new configuration reaches every router through the delegates") {
    fleet all(24);
    all.advance(seconds(10));
    all.publish(2);
    all.advance(milliseconds(1200));
    CHECK(all.count_with_version(2) == 24);
}

TEST_CASE(
    "a change of the upstreams reaches every router through the delegates, and nobody else reads the store") {
    fleet all(60);
    all.advance(seconds(10));
    REQUIRE(all.count_with_upstream("m1") == 60);
    const std::size_t before = all.store_calls();
    all.replace_upstream("m2");
    all.advance(milliseconds(700));
    CHECK(all.count_with_upstream("m2") == 60);
    CHECK(all.list_reads() == 0);
    // Each of the two delegates makes one call per 600 ms.
    CHECK(all.store_calls() - before <= 4);
}

TEST_CASE("a router that restarts gets the list of upstreams from its delegate") {
    fleet all(60);
    all.advance(seconds(10));
    all.replace_upstream("m2");
    all.advance(seconds(1));
    all.restart(11);
    all.replace_upstream("m3");
    all.advance(seconds(2));
    CHECK(all.count_with_upstream("m3") == 60);
}

TEST_CASE("routers that do not get the changes which their delegate knows read the store") {
    fleet all(24);
    all.advance(seconds(10));
    all.lose_list_updates();
    all.replace_upstream("m2");
    all.advance(seconds(2));
    CHECK(all.count_with_upstream("m2") == 24);
    CHECK(all.list_reads() == 22);
}

TEST_CASE("an outdated list of upstreams from the store does not undo what the delegate has passed on") {
    fleet all(24);
    all.advance(seconds(10));
    all.replace_upstream("m2");
    all.advance(seconds(1));
    REQUIRE(all.count_with_upstream("m2") == 24);
    all.answer_outdated(5, "m1", 1);
    CHECK(all.count_with_upstream("m2") == 24);
}

TEST_CASE("routers that lose their delegate ask the store themselves and stay ready") {
    fleet all(24);
    all.advance(seconds(10));
    for (const std::size_t delegate : all.watching()) {
        all.stop(delegate);
    }
    for (int i = 0; i < 40; ++i) {
        all.advance(milliseconds(100));
        CHECK(all.all_ready());
    }
    all.advance(seconds(12));
    CHECK(all.watching().size() == 2);
}

TEST_CASE("work that one router places counts against the capacity of the engine at all others") {
    fleet all(24);
    all.advance(seconds(10));
    // One router of each data centre fills half of the only engine.
    for (std::uint64_t i = 0; i < 5; ++i) {
        CHECK(all.place_request(2, 200, 100 + i));
        CHECK(all.place_request(3, 200, 200 + i));
    }
    all.advance(milliseconds(900));
    for (const std::size_t index : {4U, 5U, 10U, 11U}) {
        CHECK_FALSE(all.place_request(index, 200, 300 + index));
    }
}

TEST_CASE(
    "a part that crashes engines is blocked at every router of a large fleet, also at one that restarts") {
    fleet routers(60);
    routers.advance(seconds(2));
    for (std::size_t crash = 0; crash < 4; ++crash) {
        routers.crash_engine(7 * crash, 666);
        routers.advance(milliseconds(1100));
    }
    routers.advance(seconds(2));
    std::size_t blocking = 0;
    for (std::size_t i = 0; i < 60; ++i) {
        blocking += routers.blocks(i, 666) ? 1 : 0;
    }
    CHECK(blocking == 60);
    routers.restart(11);
    routers.advance(seconds(3));
    CHECK(routers.blocks(11, 666));
}

TEST_CASE("in a large fleet an account far below its share finds room on engines that a flood has filled") {
    fleet routers(20);
    routers.advance(seconds(2));
    for (int i = 0; i < 40; ++i) {
        routers.place_request(0, 100, 10);
    }
    routers.advance(milliseconds(500));
    CHECK_FALSE(routers.place_request_within(milliseconds(150), 100, "key"));
    CHECK(routers.place_request_within(milliseconds(150), 101, "key-b"));
}
