#include "decision/router.h"
#include "store/journal.h"
#include "tests/fake.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

using base::error_code;

/// Records the verdict on one request and whether its caller still waits for it.
class recorded_exchange final : public exchange {
public:
    [[nodiscard]] const content& request_content() const override { return content_; }
    void begin(const answer_head& /*head*/) override {}
    [[nodiscard]] bool deliver(std::string /*bytes*/) override { return true; }
    void finish(const verdict& last) override {
        ++finishes;
        result = last;
    }

    int finishes = 0;
    int runs = 0;
    /// The router that had the request was killed; its caller sees a broken connection.
    bool lost = false;
    verdict result;

private:
    content content_;
};
using exchange_ptr = std::shared_ptr<recorded_exchange>;

/// A request with its way back, as the caller remembers it.
struct sent_request {
    request what;
    exchange_ptr with;
};

struct node {
    base::vm_id id;
    std::unique_ptr<router> decisions;
    std::unique_ptr<store::journal_writer> writer;
    std::vector<event> unread;
    std::set<attempt_key> running;
    base::incarnation life;
    std::shared_ptr<const fleet_config> in_force;
    base::time_point next_read;
    bool watching = false;
    bool paused = false;
    bool cut = false;
    bool store_cut = false;
};

/// Several routers with manual time over one store, a network with faults and upstreams that count runs.
class fleet {
public:
    using behaviour = std::function<attempt_status(const dispatch&)>;

    explicit fleet(std::size_t count, std::uint64_t seed = 1) : store(seed), random_(seed), nodes_(count) {
        config_ = std::make_shared<fleet_config>();
        config_->revision = base::revision(1);
        config_->accounts[account] = {account, base::weight(1)};
        config_->pools[pool_name] = {pool_name, pool_kind::service, base::cost(10)};
        for (int i = 0; i < 3; ++i) {
            upstream each;
            each.id = base::upstream_id("w" + std::to_string(i));
            each.pool = pool_name;
            each.slots = base::slot_count(4);
            config_->upstreams[each.id] = each;
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes_[i].id = base::vm_id("vm" + std::to_string(i));
            start(i);
        }
        run(3s);
    }

    /// Starts or restarts a router with empty memory.
    void start(std::size_t index) {
        node& at = nodes_[index];
        kill(index);
        at.life = base::incarnation(++starts_);
        at.paused = false;
        at.in_force.reset();
        at.next_read = clock.now() + 30s;
        at.watching = false;
        router_options options;
        options.self = options.member.self = at.id;
        options.incarnation = options.member.incarnation = at.life;
        options.member.address = address_of(index);
        options.seed = options.member.seed = random_();
        options.claims.partitions = options.journal.partitions = 4;
        options.drain.limit = 5s;
        options.retry = retry;
        at.decisions = std::make_unique<router>(options, clock.now());
        store::journal_settings settings;
        settings.budget = 0ms;
        at.writer = std::make_unique<store::journal_writer>(store, clock, settings, random_());
        at.decisions->handle(vms_listed{listed()}, clock.now());
        read_release(index);
        read_release(index);
    }
    void kill(std::size_t index) {
        node& at = nodes_[index];
        at.decisions.reset();
        at.unread.clear();
        at.running.clear();
        for (sent_request& each : sent_) {
            if (origin_[each.what.id] == index && each.with->finishes == 0) {
                each.with->lost = true;
            }
        }
    }
    /// From the store, or from a peer when the store does not answer.
    void read_release(std::size_t index, const std::optional<endpoint>& peer = {}) {
        nodes_[index].next_read = clock.now() + 30s;
        if (!store.faults.outage && !nodes_[index].store_cut) {
            tell_after(20ms, index,
                       release_read{config_->revision, config_, config_source::store, clock.now()});
        } else if (peer) {
            const node& from = nodes_[index_of(*peer)];
            if (from.in_force && from.decisions && !from.paused && !from.cut && !nodes_[index].cut) {
                tell_after(
                    20ms, index,
                    release_read{from.in_force->revision, from.in_force, config_source::peer, clock.now()});
            }
        }
    }
    void publish(const std::function<void(fleet_config&)>& change) {
        config_ = std::make_shared<fleet_config>(*config_);
        config_->revision += base::revision(1);
        change(*config_);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].watching) {
                read_release(i);
            }
        }
    }

    sent_request send(std::size_t index, std::optional<std::uint64_t> key = {}, std::uint64_t body = 0,
                      base::duration limit = 20s) {
        sent_request made;
        made.what.id = base::request_id(base::uint128{7, ++requests_});
        made.what.account = account;
        made.what.pool = pool_name;
        made.what.hint = base::cost(10);
        made.what.arrived = clock.now();
        made.what.deadline = clock.now() + limit;
        made.what.body_fingerprint = base::fingerprint(body == 0 ? 1000 + requests_ : body);
        if (key) {
            made.what.repeatable = false;
            made.what.key = base::key_hash(base::uint128{*key * 0x9e3779b97f4a7c15ULL, *key});
        }
        made.with = std::make_shared<recorded_exchange>();
        sent_.push_back(made);
        origin_[made.what.id] = index;
        tell(index, request_arrived{made.what, made.with});
        return made;
    }
    /// An event reaches a router; it stays unread while the router is paused.
    void tell(std::size_t index, const event& what) {
        node& at = nodes_[index];
        if (!at.decisions) {
            return;
        }
        if (at.paused) {
            at.unread.push_back(what);
            return;
        }
        at.decisions->handle(what, clock.now());
        carry_out(index);
    }
    void resume(std::size_t index) {
        nodes_[index].paused = false;
        for (const event& each : std::exchange(nodes_[index].unread, {})) {
            tell(index, each);
        }
    }
    void run(base::duration time) {
        for (const base::time_point end = clock.now() + time; clock.now() < end;) {
            clock.advance(schedule::tick_interval);
            while (!due_.empty() && due_.begin()->first <= clock.now()) {
                const std::function<void()> act = due_.begin()->second;
                due_.erase(due_.begin());
                act();
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].decisions && !nodes_[i].paused) {
                    nodes_[i].decisions->tick(clock.now());
                    carry_out(i);
                    if (clock.now() >= nodes_[i].next_read) {
                        read_release(i);
                    }
                }
            }
        }
    }
    /// Ends all faults.
    void heal() {
        store.faults = {};
        loss = duplication = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].cut = nodes_[i].store_cut = false;
            if (!nodes_[i].decisions) {
                start(i);
            }
            resume(i);
        }
    }
    /// The invariants that hold after any schedule. Pre-condition: every deadline has passed.
    void check() const {
        for (const sent_request& each : sent_) {
            CAPTURE(each.what.id);
            CHECK(each.with->finishes == (each.with->lost ? 0 : 1));
            if (each.with->finishes > 0 && each.with->result.result == outcome::not_run) {
                CHECK(each.with->runs == 0);
            }
        }
        for (const auto& [key, runs] : key_runs) {
            CAPTURE(key);
            CHECK(runs <= 1);
        }
        CHECK(regressions == 0);
    }
    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }

    const base::client_account_id account{"acme"};
    const base::pool_id pool_name{"posting"};
    base::manual_clock clock;
    test::fake_store store;
    retry_settings retry;
    double loss = 0;
    double duplication = 0;
    base::duration service = 100ms;
    behaviour upstreams = [](const dispatch&) { return attempt_status::completed; };
    /// Cause that an interrupted attempt states.
    error_code interruption = error_code::upstream_closed_connection;
    std::map<base::key_hash, int> key_runs;
    std::map<base::upstream_id, std::vector<base::time_point>> starts;
    int regressions = 0;

private:
    static endpoint address_of(std::size_t index) { return {"10.0.0." + std::to_string(index + 1), 7000}; }
    static std::size_t index_of(const endpoint& address) { return std::stoul(address.address.substr(7)) - 1; }
    [[nodiscard]] std::vector<vm_entry> listed() const {
        std::vector<vm_entry> all;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            all.push_back({base::vm_id("vm" + std::to_string(i)), base::data_centre_id("dc"), address_of(i),
                           address_of(i), false});
        }
        return all;
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    void after(base::duration delay, std::function<void()> act) {
        due_.emplace(clock.now() + delay, std::move(act));
    }
    /// Tells a router later, unless it was restarted by then.
    void tell_after(base::duration delay, std::size_t index, const event& what) {
        after(delay, [this, index, what, life = nodes_[index].life] {
            if (nodes_[index].life == life) {
                tell(index, what);
            }
        });
    }
    void carry_out(std::size_t index) {
        node& at = nodes_[index];
        router_output output = at.decisions->take();
        if (output.config_in_force) {
            regressions += at.in_force && output.config_in_force->revision <= at.in_force->revision ? 1 : 0;
            at.in_force = output.config_in_force;
        }
        for (const finished_request& each : output.finished) {
            each.caller_exchange->finish(each.final_verdict);
        }
        for (const transport_command& each : output.transport) {
            std::visit([this, index](const auto& what) { upstream_gets(index, what); }, each);
        }
        for (const journal_command& each : output.journal) {
            write_journal(index, each);
        }
        for (const datagram& each : output.datagrams) {
            transmit(index, each);
        }
        for (const release_command& each : output.release) {
            if (const auto* const fetch = std::get_if<fetch_release>(&each)) {
                read_release(index, fetch->peer);
            } else if (const auto* const watch = std::get_if<watch_release>(&each)) {
                at.watching = watch->enabled;
            }
        }
    }
    void write_journal(std::size_t index, const journal_command& command) {
        after(5ms, [this, index, command, life = nodes_[index].life] {
            const bool outage = store.faults.outage;
            store.faults.outage = outage || nodes_[index].store_cut;
            const event answer =
                nodes_[index].writer->carry_out(command, [](base::duration) { return true; });
            store.faults.outage = outage;
            if (nodes_[index].life == life) {
                tell_after(5ms, index, answer);
            }
        });
    }
    void transmit(std::size_t from, const datagram& sent) {
        const std::size_t to = index_of(sent.to);
        for (int copies = chance(duplication) ? 2 : 1; copies > 0; --copies) {
            const base::duration delay = std::chrono::microseconds(500 + random_() % 20000);
            if (nodes_[from].cut || chance(loss)) {
                continue;
            }
            after(delay, [this, to, sent, from] {
                if (!nodes_[to].cut) {
                    tell(to, message_received{sent.payload, address_of(from)});
                }
            });
        }
    }
    void upstream_gets(std::size_t index, const dispatch& order) {
        const attempt_status status = upstreams(order);
        nodes_[index].running.insert(order.attempt);
        if (status != attempt_status::not_sent) {
            ++dynamic_cast<recorded_exchange&>(*order.caller_exchange).runs;
            starts[order.target.id].push_back(clock.now());
            for (const sent_request& each : sent_) {
                if (each.what.id == order.attempt.id && each.what.key) {
                    ++key_runs[*each.what.key];
                }
            }
        }
        after(service, [this, index, status, attempt = order.attempt] { end(index, attempt, status); });
    }
    void upstream_gets(std::size_t index, const cancel_attempt& order) {
        end(index, order.attempt, attempt_status::cancelled);
    }
    void end(std::size_t index, const attempt_key& attempt, attempt_status status) {
        if (nodes_[index].running.erase(attempt) > 0) {
            tell_after(0ms, index, attempt_progress{attempt, base::cost(5)});
            attempt_end how{status, base::cost(10), {}, {}};
            if (status == attempt_status::interrupted) {
                how.cause = base::error{interruption, "", "injected"};
            }
            tell_after(1ms, index, attempt_ended{attempt, how});
        }
    }

    std::mt19937_64 random_;
    std::shared_ptr<fleet_config> config_;
    std::vector<node> nodes_;
    std::multimap<base::time_point, std::function<void()>> due_;
    std::vector<sent_request> sent_;
    std::map<base::request_id, std::size_t> origin_;
    std::uint64_t starts_ = 0;
    std::uint64_t requests_ = 0;
};

} // namespace

TEST_CASE("a router does not lose a request between arrival and verdict") {
    fleet all(3);
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 30; ++i) {
        sent.push_back(all.send(i % 3));
        sent.push_back(all.send(i % 3, i + 1));
    }
    all.run(25s);
    for (const sent_request& each : sent) {
        CHECK(each.with->result.result == outcome::ran);
        CHECK(each.with->runs == 1);
    }
    all.check();
}

TEST_CASE("a request repeated at another router does not run twice, whatever happens to the first one") {
    const int fault = GENERATE(0, 1, 2, 3, 4, 5, 6, 7);
    // Before the claim is answered, before dispatch, while it runs, after its end.
    const base::duration when = GENERATE(1ms, 20ms, 50ms, 100ms, 150ms, 400ms);
    CAPTURE(fault, when.count());
    fleet all(3, 11);
    for (std::uint64_t key = 1; key <= 4; ++key) {
        static_cast<void>(all.send(0, key));
    }
    all.run(when);
    switch (fault) {
    case 0:
        break;
    case 1:
        all.kill(0);
        break;
    case 2:
        all.at(0).paused = true;
        break;
    case 3:
        all.start(0);
        break;
    case 4:
        all.at(0).cut = true;
        break;
    case 5:
        all.at(0).cut = all.at(0).store_cut = true;
        break;
    case 6:
        all.store.faults.outage = true;
        break;
    default:
        all.store.faults.lost_after = 0.5;
        break;
    }
    for (const base::duration pause : {200ms, 6000ms, 30000ms}) {
        for (std::uint64_t key = 1; key <= 4; ++key) {
            static_cast<void>(all.send(1, key));
            static_cast<void>(all.send(2, key));
        }
        all.run(pause);
    }
    all.heal();
    all.run(10s);
    for (std::uint64_t key = 1; key <= 4; ++key) {
        static_cast<void>(all.send(0, key));
    }
    all.run(25s);
    all.check();
    // The claims of a router that lost its memory stay claimed; nobody may run these keys any more.
    if (fault != 1 && fault != 3) {
        CHECK(all.key_runs.size() == 4);
    }
}

TEST_CASE("a paused router that wakes does not dispatch what it had promised before") {
    fleet all(3, 12);
    all.upstreams = [](const dispatch&) { return attempt_status::not_sent; };
    for (std::uint64_t key = 1; key <= 6; ++key) {
        static_cast<void>(all.send(key % 3, key, 0, 5s));
    }
    all.run(15ms);
    all.at(0).paused = true;
    all.run(30s);
    all.upstreams = [](const dispatch&) { return attempt_status::completed; };
    all.resume(0);
    all.run(25s);
    all.check();
    CHECK(all.key_runs.empty());
}

TEST_CASE("a drain cuts no request in progress and refuses waiting ones only at its limit") {
    fleet all(2, 13);
    all.service = 2s;
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 60; ++i) {
        sent.push_back(all.send(0, i % 2 == 0 ? std::optional<std::uint64_t>(i + 1) : std::nullopt));
    }
    all.run(500ms);
    all.tell(0, drain_requested{});
    CHECK_FALSE(all.at(0).decisions->ready());
    const sent_request late = all.send(0);
    CHECK(late.with->result.cause->code == error_code::draining);
    all.run(4s);
    CHECK_FALSE(all.at(0).decisions->drained());
    all.run(6s);
    std::size_t ran = 0;
    for (const sent_request& each : sent) {
        const verdict& last = each.with->result;
        ran += last.result == outcome::ran ? 1 : 0;
        CHECK((last.result == outcome::ran || last.cause->code == error_code::draining));
        CHECK(each.with->runs == (last.result == outcome::ran ? 1 : 0));
    }
    CHECK(ran >= 24);
    CHECK(ran < sent.size());
    CHECK(all.at(0).decisions->drained());
    all.check();
}

TEST_CASE("a draining router serves its waiting requests before the limit") {
    fleet all(2, 14);
    for (std::uint64_t i = 0; i < 60; ++i) {
        static_cast<void>(all.send(0));
    }
    all.tell(0, drain_requested{});
    all.run(4s);
    CHECK(all.at(0).decisions->drained());
    all.run(20s);
    all.check();
    std::size_t runs = 0;
    for (const auto& [id, times] : all.starts) {
        runs += times.size();
    }
    CHECK(runs == 60);
}

TEST_CASE("an isolated router starts nothing after 3 s and refuses with its own code") {
    fleet all(3, 15);
    for (std::uint64_t i = 0; i < 200; ++i) {
        static_cast<void>(all.send(0));
    }
    all.service = 1s;
    all.at(0).cut = all.at(0).store_cut = true;
    all.run(4s);
    // Its last contact is at most a probe period before the cut.
    CHECK_FALSE(all.at(0).decisions->ready());
    all.starts.clear();
    const sent_request refused = all.send(0);
    CHECK(refused.with->result.cause->code == error_code::router_isolated);
    all.run(10s);
    CHECK(all.starts.empty());
    all.heal();
    all.run(10s);
    CHECK(all.at(0).decisions->ready());
    CHECK_FALSE(all.starts.empty());
    all.check();
}

TEST_CASE("a departing upstream gets no new work 5 s after its release, whatever is cut") {
    const int cuts = GENERATE(0, 1, 2, 3, 4);
    CAPTURE(cuts);
    fleet all(3, 16);
    const base::upstream_id leaving("w1");
    all.publish([&](fleet_config& to) { to.upstreams[leaving].state = upstream_state::departing; });
    all.run(5s); // each router acknowledges before the second revision
    all.at(0).cut = cuts == 1 || cuts == 3;
    all.at(0).store_cut = cuts == 2 || cuts == 3;
    all.store.faults.outage = cuts == 4;
    all.publish([&](fleet_config& to) { to.upstreams.erase(leaving); });
    const base::time_point accepted = all.clock.now();
    for (int i = 0; i < 100; ++i) {
        for (std::size_t at = 0; at < 3; ++at) {
            static_cast<void>(all.send(at));
        }
        all.run(100ms);
    }
    for (const base::time_point& each : all.starts[leaving]) {
        CHECK(each - accepted <= 5s);
    }
    CHECK_FALSE(all.starts[base::upstream_id("w0")].empty());
    all.run(21s);
    all.check();
}

TEST_CASE("a store outage with peers stops neither repeatable work nor the typed refusal of the rest") {
    fleet all(3, 17);
    all.run(2s);
    all.store.faults.outage = true;
    all.run(10s);
    const sent_request repeatable = all.send(0);
    const sent_request once = all.send(1, 1);
    all.run(15s);
    CHECK(repeatable.with->result.result == outcome::ran);
    CHECK(once.with->result.result == outcome::not_run);
    CHECK(once.with->runs == 0);
    all.heal();
    all.run(10s);
    const sent_request again = all.send(2, 1);
    all.run(10s);
    CHECK(again.with->result.result == outcome::ran);
    all.check();
}

TEST_CASE("a revision reaches every router within 5 s and never goes back") {
    fleet all(5, 18);
    all.loss = 0.1;
    all.duplication = 0.1;
    for (std::uint64_t rev = 2; rev < 12; ++rev) {
        // Only one router sees the release by itself.
        for (std::size_t i = 0; i < 5; ++i) {
            all.at(i).watching = i == rev % 5;
            all.at(i).next_read = all.clock.now() + 1h;
        }
        all.publish([](fleet_config&) {});
        all.run(5s);
        for (std::size_t i = 0; i < 5; ++i) {
            CHECK(all.at(i).in_force->revision == base::revision(rev));
        }
    }
    all.check();
}

TEST_CASE("a request that crashed two upstreams does not crash a third, also at another router") {
    fleet all(3, 19);
    all.upstreams = [](const dispatch&) { return attempt_status::interrupted; };
    const sent_request first = all.send(0, {}, 42);
    all.run(2s);
    CHECK(first.with->runs == 2);
    CHECK(first.with->result.cause->code == error_code::poison_request);
    CHECK(first.with->result.result == outcome::outcome_unknown);
    const sent_request again = all.send(1, {}, 42);
    const sent_request third = all.send(2, 5, 42);
    all.run(2s);
    for (const sent_request& each : {again, third}) {
        CHECK(each.with->runs == 0);
        CHECK(each.with->result.cause->code == error_code::poison_request);
    }
    all.check();
}

TEST_CASE("an interruption without a closed connection is not taken for a crash") {
    fleet all(3, 19);
    all.interruption = error_code::upstream_malformed_answer;
    all.upstreams = [](const dispatch&) { return attempt_status::interrupted; };
    const sent_request first = all.send(0, {}, 42);
    all.run(4s);
    CHECK(first.with->result.cause->code != error_code::poison_request);
    all.upstreams = [](const dispatch&) { return attempt_status::completed; };
    const sent_request again = all.send(1, {}, 42);
    all.run(2s);
    CHECK(again.with->result.result == outcome::ran);
    all.check();
}

TEST_CASE("a non-repeatable request that an upstream had is not retried, and one not sent is") {
    fleet all(2, 20);
    all.upstreams = [](const dispatch&) { return attempt_status::silent; };
    const sent_request reached = all.send(0, 1);
    all.run(2s);
    CHECK(reached.with->result.result == outcome::outcome_unknown);
    std::set<base::upstream_id> tried;
    all.upstreams = [&](const dispatch& order) {
        tried.insert(order.target.id);
        return tried.size() == 1 ? attempt_status::not_sent : attempt_status::completed;
    };
    const sent_request refused = all.send(1, 2);
    all.run(2s);
    CHECK(refused.with->result.result == outcome::ran);
    CHECK(tried.size() == 2);
    all.check();
}

TEST_CASE("a failing pool gets no more retries than its budget") {
    fleet all(2, 21);
    all.service = 5ms;
    int orders = 0;
    all.upstreams = [&](const dispatch&) {
        ++orders;
        return attempt_status::silent;
    };
    for (int i = 0; i < 400; ++i) {
        static_cast<void>(all.send(i % 2));
        all.run(10ms);
    }
    all.run(21s);
    // A tenth of 400, and at two routers 10 saved up and 1 a second for 4 s.
    CHECK(orders <= 400 + 40 + 2 * (10 + 4));
    CHECK(orders > 400);
    all.check();
}

TEST_CASE("late and crossed ends of attempts do not change the verdict on another one") {
    fleet all(1, 22);
    all.service = 1s;
    int orders = 0;
    std::vector<attempt_key> keys;
    all.upstreams = [&](const dispatch& order) {
        keys.push_back(order.attempt);
        return ++orders == 1 ? attempt_status::silent : attempt_status::completed;
    };
    const sent_request one = all.send(0);
    all.run(1500ms);
    REQUIRE(keys.size() == 2);
    const attempt_end completed{attempt_status::completed, base::cost(1), {}, {}};
    all.tell(0, attempt_ended{keys[0], completed});
    all.tell(0, attempt_ended{{keys[0].id, base::attempt_number(9)}, completed});
    all.tell(0, attempt_ended{{base::request_id(base::uint128{1, 1}), base::attempt_number(1)}, completed});
    CHECK(one.with->finishes == 0);
    all.run(2s);
    CHECK(one.with->finishes == 1);
    all.tell(0, attempt_ended{keys[1], completed});
    all.tell(0, attempt_progress{keys[1], base::cost(1000)});
    all.run(20s);
    all.check();
}

TEST_CASE("a caller that leaves ends its request once, in each phase") {
    const base::duration when = GENERATE(0ms, 10ms, 20ms, 40ms, 60ms, 100ms, 150ms, 1200ms);
    const bool repeatable = GENERATE(true, false);
    const bool busy = GENERATE(true, false);
    CAPTURE(when.count(), repeatable, busy);
    fleet all(2, 23);
    all.service = 1s;
    for (int i = 0; busy && i < 12; ++i) {
        static_cast<void>(all.send(0));
    }
    all.run(50ms);
    const sent_request left = all.send(0, repeatable ? std::nullopt : std::optional<std::uint64_t>(1));
    all.run(when);
    all.tell(0, caller_gone{left.what.id});
    all.tell(0, caller_gone{left.what.id});
    if (busy && when < 1s) {
        CHECK(left.with->finishes == 1);
        CHECK(left.with->result.result == outcome::not_run);
    }
    all.run(50ms);
    // A repeatable request is cancelled; a non-repeatable one that runs ends by itself.
    CHECK((left.with->finishes == 1 || !repeatable));
    all.run(3s);
    if (!repeatable) {
        const sent_request again = all.send(1, 1);
        all.run(3s);
        // A key that was given up before its dispatch is free; one that ran is not.
        CHECK(again.with->runs + left.with->runs == 1);
        CHECK(again.with->result.result == outcome::ran);
    }
    all.run(20s);
    all.check();
    CHECK(all.at(0).decisions->report().size() == 5);
}

TEST_CASE("every accepted request gets exactly one verdict under random faults") {
    constexpr std::uint64_t schedules = 300;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        fleet all(3, seed);
        all.loss = 0.05 * static_cast<double>(random() % 4);
        all.duplication = 0.05 * static_cast<double>(random() % 4);
        all.upstreams = [&random](const dispatch&) {
            const std::uint64_t roll = random() % 20;
            return roll < 14    ? attempt_status::completed
                   : roll < 16  ? attempt_status::not_sent
                   : roll == 16 ? attempt_status::silent
                   : roll == 17 ? attempt_status::interrupted
                                : attempt_status::completed;
        };
        std::vector<std::pair<std::size_t, sent_request>> sent;
        for (int step = 0; step < 60; ++step) {
            const std::size_t index = random() % 3;
            node& at = all.at(index);
            switch (random() % 14) {
            case 0:
                all.start(index);
                break;
            case 1:
                all.kill(index);
                break;
            case 2:
                at.paused = true;
                break;
            case 3:
                all.resume(index);
                break;
            case 4:
                at.cut = !at.cut;
                break;
            case 5:
                at.store_cut = !at.store_cut;
                break;
            case 6:
                all.store.faults.outage = random() % 3 == 0;
                all.store.faults.lost_after = 0.2 * static_cast<double>(random() % 2);
                all.store.faults.delayed = 0.2 * static_cast<double>(random() % 2);
                all.store.land();
                break;
            case 7:
                all.publish([](fleet_config&) {});
                break;
            case 8:
                if (!sent.empty()) {
                    const auto& [origin, gone] = sent[random() % sent.size()];
                    all.tell(origin, caller_gone{gone.what.id});
                }
                break;
            case 9:
                if (random() % 4 == 0) {
                    all.tell(index, drain_requested{});
                }
                break;
            default:
                if (at.decisions) {
                    const bool once = random() % 2 == 0;
                    sent.emplace_back(
                        index,
                        all.send(index, once ? std::optional<std::uint64_t>(1 + random() % 8) : std::nullopt,
                                 0, 5s));
                }
                break;
            }
            all.run(std::chrono::milliseconds(random() % 400));
        }
        all.heal();
        all.run(12s);
        all.check();
    }
}
