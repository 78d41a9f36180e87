#include "dispatch/delegation.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
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
    std::vector<decision::member_info> all;
    for (int i = 0; i < count; ++i) {
        decision::member_info each;
        each.vm = base::vm_id("r" + std::to_string(i));
        each.data_centre = i % 2 == 0 ? north : south;
        each.cpu_cores = 0.12;
        all.push_back(each);
    }
    return all;
}

/// Routers that exchange messages in memory, with a store that answers those which watch it.
class fleet {
public:
    explicit fleet(int count) {
        std::vector<decision::vm_entry> listed;
        for (int i = 0; i < count; ++i) {
            listed.push_back(entry(i));
        }
        for (int i = 0; i < count; ++i) {
            dispatcher_settings settings;
            settings.member.self = listed[static_cast<std::size_t>(i)].vm;
            settings.member.incarnation = base::incarnation(1);
            settings.member.address = listed[static_cast<std::size_t>(i)].control;
            settings.member.seed = static_cast<std::uint64_t>(i) + 1;
            settings.data_centre = listed[static_cast<std::size_t>(i)].data_centre;
            settings.cpu_cores = listed[static_cast<std::size_t>(i)].cpu_cores;
            settings.seed = settings.member.seed;
            routers_.push_back(std::make_unique<router>(settings, now_));
            routers_.back()->decisions.handle(peers_read{listed}, now_);
            confirm(*routers_.back());
        }
    }

    /// Lets time pass in steps of 5 ms. Messages take one step.
    void pass(base::duration time) {
        const base::time_point end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            const std::vector<decision::datagram> arriving = std::exchange(under_way_, {});
            for (const decision::datagram& each : arriving) {
                const std::size_t to = each.to.port;
                if (to < routers_.size() && lost_.count(to) == 0) {
                    routers_[to]->decisions.handle(decision::message_received{each.payload, {}}, now_);
                }
            }
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                if (lost_.count(i) == 0) {
                    step(*routers_[i]);
                }
            }
        }
    }

    void lose(std::size_t index) { lost_.insert(index); }
    void publish(std::uint64_t version) { version_ = version; }
    /// The router places a request of `prompt` tokens on an engine.
    bool place(std::size_t index, std::int64_t prompt, std::uint64_t part) {
        request_read read;
        read.id = session_id(++last_);
        read.host = "h.example";
        read.path = "/text/1";
        read.key = "key";
        read.caller_timeout = seconds(10);
        read.prompt.prompt_tokens = token_count(prompt);
        read.prompt.max_output_tokens = token_count(10);
        read.prompt.parts = {{part_id(part), token_count(prompt / 2)},
                             {part_id(1000 + last_), token_count(prompt / 2)}};
        read.arrived = now_;
        router& at = *routers_[index];
        at.sends = 0;
        at.decisions.handle(read, now_);
        collect(at);
        return at.sends > 0;
    }
    /// Routers that watch the store themselves.
    [[nodiscard]] std::set<std::size_t> watching() const {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (lost_.count(i) == 0 && routers_[i]->order.watch) {
                found.insert(i);
            }
        }
        return found;
    }
    [[nodiscard]] bool all_ready() const {
        bool ready = true;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            ready = ready && (lost_.count(i) != 0 || routers_[i]->decisions.ready(now_));
        }
        return ready;
    }
    [[nodiscard]] std::size_t calls() const { return calls_; }
    [[nodiscard]] std::size_t with_version(std::uint64_t version) const {
        return static_cast<std::size_t>(std::count_if(
            routers_.begin(), routers_.end(), [&](const auto& each) { return each->has == version; }));
    }

private:
    struct router {
        router(const dispatcher_settings& settings, base::time_point now) : decisions(settings, now) {}
        dispatcher decisions;
        follow_order order;
        std::uint64_t has = 0;
        base::time_point next_call;
        int sends = 0;
    };

    static decision::vm_entry entry(int i) {
        decision::vm_entry made;
        made.vm = base::vm_id("r" + std::to_string(i));
        made.data_centre = i % 2 == 0 ? north : south;
        made.control = {"10.0.0.1", static_cast<std::uint16_t>(i)};
        made.cpu_cores = 0.12;
        return made;
    }

    [[nodiscard]] catalogue_ptr make_catalogue() const {
        std::shared_ptr<catalogue> made = std::make_shared<catalogue>();
        made->version = base::revision(version_);
        route text;
        text.id = route_id("text");
        text.host = "h.example";
        text.prefix = "/text/";
        text.kind = route_kind::streaming;
        text.objective = milliseconds(400);
        text.pools = {{model_pool, 1}};
        made->routes = {text};
        pool model;
        model.id = model_pool;
        model.engine = engine_traits{base::slot_count(10), token_count(100000), 0};
        made->pools = {{model_pool, model}};
        made->keys = {{"key", base::client_account_id("a")}};
        made->tokens_per_s = 50000;
        made->index();
        return made;
    }

    void confirm(router& at) {
        ++calls_;
        at.decisions.handle(catalogue_read{at.has < version_ ? make_catalogue() : nullptr, now_}, now_);
        at.has = version_;
        upstream_entry engine;
        engine.id = base::upstream_id("m1");
        engine.pool = model_pool;
        engine.address = {"127.0.0.1", 9000};
        engine.slots = base::slot_count(10);
        at.decisions.handle(roster_read{{engine}, false, 1, now_}, now_);
    }

    void step(router& at) {
        at.decisions.tick(now_);
        collect(at);
        const bool behind = at.has < at.order.required_position;
        if ((at.order.watch && now_ >= at.next_call) || behind) {
            at.next_call = now_ + milliseconds(600);
            confirm(at);
            collect(at);
        }
    }

    void collect(router& at) {
        dispatcher_output output = at.decisions.take_output();
        if (output.catalogue_order) {
            at.order = *output.catalogue_order;
        }
        for (decision::datagram& each : output.datagrams) {
            under_way_.push_back(std::move(each));
        }
        at.sends += static_cast<int>(
            std::count_if(output.relay.begin(), output.relay.end(), [](const relay_command& each) {
                return std::holds_alternative<send_request>(each);
            }));
    }

    base::time_point now_ = base::time_point(std::chrono::hours(1));
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<decision::datagram> under_way_;
    std::set<std::size_t> lost_;
    std::uint64_t version_ = 1;
    std::uint64_t last_ = 0;
    std::size_t calls_ = 0;
};

} // namespace

TEST_CASE("all routers choose the same delegates, and small fleets have none") {
    const base::time_point now(seconds(100));
    std::vector<decision::member_info> members = make_members(20);
    std::set<base::vm_id> chosen;
    for (const decision::member_info& each : members) {
        delegation view(each.vm, each.data_centre, 0.12);
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

TEST_CASE("a delegate that does not answer is passed over for a while") {
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
    all.pass(seconds(10));
    CHECK(all.watching().size() == 2);
    const std::size_t before = all.calls();
    all.pass(seconds(10));
    CHECK(all.all_ready());
    // Two delegates with a call in 600 ms each.
    CHECK(all.calls() - before <= 40);
}

TEST_CASE("a new configuration reaches every router through the delegates") {
    fleet all(24);
    all.pass(seconds(10));
    all.publish(2);
    all.pass(milliseconds(1200));
    CHECK(all.with_version(2) == 24);
}

TEST_CASE("routers that lose their delegate ask the store themselves and stay ready") {
    fleet all(24);
    all.pass(seconds(10));
    for (const std::size_t each : all.watching()) {
        all.lose(each);
    }
    for (int i = 0; i < 40; ++i) {
        all.pass(milliseconds(100));
        CHECK(all.all_ready());
    }
    all.pass(seconds(12));
    CHECK(all.watching().size() == 2);
}

TEST_CASE("work that one router places counts against the engine at all others") {
    fleet all(24);
    all.pass(seconds(10));
    // A router of each data centre fills half of the only engine.
    for (std::uint64_t i = 0; i < 5; ++i) {
        CHECK(all.place(2, 200, 100 + i));
        CHECK(all.place(3, 200, 200 + i));
    }
    all.pass(milliseconds(900));
    for (const std::size_t each : {4U, 5U, 10U, 11U}) {
        CHECK_FALSE(all.place(each, 200, 300 + each));
    }
}
