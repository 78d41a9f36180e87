#include "decision/claim.h"
#include "store/journal.h"
#include "tests/fake.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t node_count = 4;
constexpr std::uint64_t key_count = 8;
constexpr std::uint16_t partition_count = 2;

base::vm_id vm(std::size_t index) {
    return base::vm_id("vm" + std::to_string(index));
}

owner_settings small_owner() {
    owner_settings settings;
    settings.partitions = partition_count;
    settings.tail_records = 4;
    settings.merge_fan_in = 3;
    settings.deposed_pause = 100ms;
    settings.answer_limit = 2s;
    return settings;
}

client_settings small_client() {
    client_settings settings;
    settings.partitions = partition_count;
    return settings;
}

/// One router: its decision modules, its journal worker and the rings between them.
struct node {
    base::vm_id id;
    std::uint64_t life = 0;
    bool paused = false;
    std::unique_ptr<claim_client> client;
    std::unique_ptr<claim_owner> owner;
    std::unique_ptr<store::journal_writer> writer;
    std::deque<journal_command> commands;
    std::deque<journal_answered> answers;
    std::set<base::request_id> granted;
    std::set<base::request_id> running;
    /// Claims whose settlement is not acknowledged, with their keys.
    std::map<base::request_id, base::key_hash> open;
};

struct packet {
    base::vm_id from;
    base::vm_id to;
    message body;
};

/// Several routers over one store and a network that loses, repeats and reorders. Records what really runs.
class fleet {
public:
    fleet() {
        for (std::size_t i = 0; i < node_count; ++i) {
            nodes_[i].id = vm(i);
            start(nodes_[i]);
        }
        store_.before_call = [this] { interleave(); };
    }

    /// One action of a schedule, with faults. All choices follow from `code`.
    void step(std::uint32_t code) {
        random_.seed(code);
        node& at = nodes_[pick(node_count)];
        switch (pick(20)) {
        case 0:
        case 1:
        case 2:
            submit(at, base::key_hash(base::uint128{pick(key_count), 7}), 5s);
            break;
        case 3:
        case 4:
        case 5:
        case 6:
        case 7:
            deliver_any();
            break;
        case 8:
        case 9:
        case 10:
            work(at);
            break;
        case 11:
        case 12:
            time_.advance(std::chrono::milliseconds(pick(400)));
            tick(at);
            break;
        case 13:
        case 14:
            dispatch_one(at);
            break;
        case 15:
            end_one(at);
            break;
        case 16:
            withdraw_one(at);
            break;
        case 17:
            change_members(at);
            break;
        case 18:
            at.paused = !at.paused;
            break;
        default:
            disturb(at);
            break;
        }
    }

    /// Ends all faults, delivers everything that is on its way and lets every claim end.
    void heal() {
        store_.faults = {};
        std::vector<base::vm_id> all;
        for (node& at : nodes_) {
            at.paused = false;
            all.push_back(at.id);
        }
        for (node& at : nodes_) {
            take(at, at.client->members_changed(all, time_.now()));
            take(at, at.owner->members_changed(all, time_.now()));
        }
        while (!zombies_.empty()) {
            run_zombie();
        }
        settle_down(60s);
    }

    void settle_down(base::duration how_long) {
        for (const base::time_point end = time_.now() + how_long; time_.now() < end; time_.advance(50ms)) {
            store_.land();
            for (node& at : nodes_) {
                tick(at);
                at.writer->remove_garbage();
                while (!at.commands.empty() || !at.answers.empty()) {
                    work(at);
                }
                while (!at.granted.empty()) {
                    run(at, *at.granted.begin());
                }
                while (!at.running.empty()) {
                    finish(at, *at.running.begin(), outcome::ran);
                }
            }
            std::vector<packet> now;
            now.swap(network_);
            for (const packet& what : now) {
                deliver(what);
            }
        }
    }

    /// Empty if every claim ended and no key is held by an attempt that is over.
    std::string stuck() {
        for (const node& at : nodes_) {
            if (at.client->size() != 0) {
                return at.id.value() + " has claims that did not end";
            }
        }
        for (std::uint64_t i = 0; i < key_count; ++i) {
            const base::key_hash key(base::uint128{i, 7});
            if (executed_.count(key) != 0 || tainted_.count(key) != 0) {
                continue;
            }
            submit(nodes_[0], key, 10s);
            settle_down(5s);
            if (executed_.count(key) == 0) {
                return "key " + std::to_string(i) + " is held by an attempt that is over";
            }
        }
        return {};
    }

    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] std::size_t executions() const { return executed_.size(); }
    [[nodiscard]] owner_counters counters() const {
        owner_counters sum = past_;
        for (const node& at : nodes_) {
            add(sum, at.owner->counters());
        }
        return sum;
    }
    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }
    test::fake_store& store() { return store_; }
    base::manual_clock& time() { return time_; }

    void submit(node& at, const base::key_hash& key, base::duration limit) {
        const base::request_id attempt(base::uint128{0xabc, ++last_attempt_});
        base::result<client_actions> done = at.client->submit(attempt, key, time_.now() + limit, time_.now());
        if (done) {
            at.open[attempt] = key;
            take(at, std::move(*done));
        } else {
            over_.insert(attempt);
        }
    }

    void restart(node& at) {
        // What the worker still has to do may be carried out by the dying process at any later time.
        for (journal_command& command : at.commands) {
            zombies_.push_back(std::move(command));
        }
        for (const auto& [attempt, key] : at.open) {
            tainted_.insert(key);
        }
        add(past_, at.owner->counters());
        const std::uint64_t life = at.life;
        const base::vm_id id = at.id;
        at = node{};
        at.id = id;
        at.life = life;
        start(at);
    }

private:
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool chance(std::uint64_t percent) { return pick(100) < percent; }

    void start(node& at) {
        ++at.life;
        at.client = std::make_unique<claim_client>(small_client());
        at.owner = std::make_unique<claim_owner>(at.id, base::incarnation(at.life), small_owner(), at.life);
        store::journal_settings settings;
        settings.budget = 60ms;
        at.writer = std::make_unique<store::journal_writer>(store_, time_, settings, at.life);
        std::vector<base::vm_id> all;
        for (std::size_t i = 0; i < node_count; ++i) {
            all.push_back(vm(i));
        }
        take(at, at.client->members_changed(all, time_.now()));
        take(at, at.owner->members_changed(all, time_.now()));
    }

    void take(node& at, client_actions actions) {
        for (outgoing& out : actions.messages) {
            network_.push_back({at.id, out.to, std::move(out.body)});
        }
        for (const base::request_id& attempt : actions.granted) {
            at.granted.insert(attempt);
        }
        for (const claim_ended& end : actions.ended) {
            over_.insert(end.attempt);
            if (end.what.result == outcome::ran) {
                check(executed_.count(at.open[end.attempt]) != 0, "answered `ran` for a key that never ran");
                at.open.erase(end.attempt);
            }
        }
    }

    void take(node& at, owner_actions actions) {
        for (outgoing& out : actions.messages) {
            network_.push_back({at.id, out.to, std::move(out.body)});
        }
        for (journal_command& command : actions.commands) {
            if (store_.faults.delayed > 0 && chance(3)) {
                at.answers.push_back(std::get<journal_answered>(refused_command(command)));
            } else {
                at.commands.push_back(std::move(command));
            }
        }
    }

public:
    static void add(owner_counters& sum, const owner_counters& part) {
        sum.seals += part.seals;
        sum.takeovers += part.takeovers;
        sum.deposed += part.deposed;
        sum.failures += part.failures;
    }

private:
    void tick(node& at) {
        if (!at.paused) {
            take(at, at.client->tick(time_.now()));
            take(at, at.owner->tick(time_.now()));
        }
    }

    void deliver_any() {
        if (network_.empty()) {
            return;
        }
        const std::size_t index = pick(network_.size());
        const packet what = network_[index];
        if (!chance(20)) {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (!chance(15)) {
            deliver(what);
        }
    }

    void deliver(const packet& what) {
        const auto to =
            std::find_if(nodes_.begin(), nodes_.end(), [&](const node& n) { return n.id == what.to; });
        if (to->paused) {
            return;
        }
        if (const auto* asked = std::get_if<claim>(&what.body)) {
            take(*to, to->owner->on_claim(*asked, what.from, time_.now()));
        } else if (const auto* settled = std::get_if<settle>(&what.body)) {
            take(*to, to->owner->on_settle(*settled, what.from, time_.now()));
        } else if (const auto* answer = std::get_if<claim_result>(&what.body)) {
            take(*to, to->client->on_result(*answer, time_.now()));
        } else if (const auto* ack = std::get_if<settle_ack>(&what.body)) {
            to->client->on_settled(*ack);
            to->open.erase(ack->attempt);
        }
    }

    /// The journal worker carries out a command, or the decider takes an answer.
    void work(node& at) {
        if (!at.answers.empty() && (at.commands.empty() || chance(50))) {
            if (!at.paused) {
                const journal_answered answer = std::move(at.answers.front());
                at.answers.pop_front();
                take(at, at.owner->on_answer(answer, time_.now()));
            }
        } else if (!at.commands.empty()) {
            const journal_command command = std::move(at.commands.front());
            at.commands.pop_front();
            const std::uint64_t life = at.life;
            const event answer = carry_out(*at.writer, command);
            if (at.life == life) {
                at.answers.push_back(std::get<journal_answered>(answer));
            }
        }
    }

    event carry_out(store::journal_writer& writer, const journal_command& command) {
        return writer.carry_out(command, [this](base::duration wait) {
            time_.advance(wait);
            return false;
        });
    }

    void run_zombie() {
        const journal_command command = std::move(zombies_.front());
        zombies_.pop_front();
        store::journal_writer writer(store_, time_, {}, 1);
        static_cast<void>(carry_out(writer, command));
    }

    /// Another router's worker acts between two calls of the one that is at work.
    void interleave() {
        if (interleaving_ || !chance(10)) {
            return;
        }
        interleaving_ = true;
        node& at = nodes_[pick(node_count)];
        if (!zombies_.empty()) {
            run_zombie();
        } else if (at.answers.empty() && !at.commands.empty()) {
            work(at);
        }
        interleaving_ = false;
    }

    void dispatch_one(node& at) {
        if (at.paused || at.granted.empty()) {
            return;
        }
        const base::request_id attempt =
            *std::next(at.granted.begin(), static_cast<std::ptrdiff_t>(pick(at.granted.size())));
        if (!chance(25)) {
            run(at, attempt);
        } else if (at.client->dispatch(attempt, time_.now())) {
            // The upstream refuses the connection.
            if (chance(50)) {
                at.client->not_sent(attempt);
            } else {
                at.granted.erase(attempt);
                over_.insert(attempt);
                take(at, at.client->ended(attempt, outcome::not_run, time_.now()));
            }
        }
    }

    void run(node& at, const base::request_id attempt) {
        at.granted.erase(attempt);
        if (!at.client->dispatch(attempt, time_.now())) {
            client_actions actions;
            if (at.client->withdraw(attempt, time_.now(), actions)) {
                over_.insert(attempt);
            }
            take(at, std::move(actions));
            return;
        }
        check(over_.count(attempt) == 0, "an attempt ran after it was answered");
        const auto [entry, first] = executed_.emplace(at.open[attempt], attempt);
        check(first || entry->second == attempt, "two attempts of one key ran");
        at.running.insert(attempt);
    }

    void end_one(node& at) {
        if (!at.paused && !at.running.empty()) {
            finish(at, *at.running.begin(), chance(80) ? outcome::ran : outcome::outcome_unknown);
        }
    }

    void finish(node& at, const base::request_id attempt, outcome result) {
        at.running.erase(attempt);
        take(at, at.client->ended(attempt, result, time_.now()));
    }

    void withdraw_one(node& at) {
        if (at.paused || at.open.empty()) {
            return;
        }
        const auto which = std::next(at.open.begin(), static_cast<std::ptrdiff_t>(pick(at.open.size())));
        client_actions actions;
        if (at.client->withdraw(which->first, time_.now(), actions)) {
            over_.insert(which->first);
        }
        take(at, std::move(actions));
    }

    void change_members(node& at) {
        std::vector<base::vm_id> live;
        for (const node& other : nodes_) {
            if (other.id == at.id || chance(60)) {
                live.push_back(other.id);
            }
        }
        take(at, at.client->members_changed(live, time_.now()));
        take(at, at.owner->members_changed(live, time_.now()));
    }

    void disturb(node& at) {
        switch (pick(6)) {
        case 5:
            // The worker fails and loses the command, which takes effect later or not at all.
            if (!at.commands.empty()) {
                zombies_.push_back(std::move(at.commands.front()));
                at.commands.pop_front();
            }
            break;
        case 0:
            restart(at);
            break;
        case 1:
            // Often enough that the few tries of a command all fail after one of them took effect.
            store_.faults = {chance(20), 0.1, 0.2, 0.4, 0.3};
            break;
        case 2:
            store_.faults = {};
            break;
        case 3:
            store_.land();
            break;
        default:
            if (!zombies_.empty()) {
                run_zombie();
            }
            break;
        }
    }

    void check(bool held, const std::string& text) {
        if (!held && violation_.empty()) {
            violation_ = text;
        }
    }

    base::manual_clock time_;
    test::fake_store store_{11};
    std::mt19937_64 random_{1};
    std::vector<packet> network_;
    std::deque<journal_command> zombies_;
    bool interleaving_ = false;
    std::uint64_t last_attempt_ = 0;
    std::map<base::key_hash, base::request_id> executed_;
    /// Attempts that a caller was given an answer for although they did not run.
    std::set<base::request_id> over_;
    /// Keys that a router had claimed when it lost its memory.
    std::set<base::key_hash> tainted_;
    std::string violation_;
    owner_counters past_;
    std::array<node, node_count> nodes_;
};

struct totals {
    std::size_t executions = 0;
    owner_counters counters;
};

/// Runs a schedule of faults, then a time without faults. Returns what went wrong.
std::string run_schedule(const std::vector<std::uint32_t>& schedule, totals& sum) {
    fleet all;
    for (const std::uint32_t code : schedule) {
        all.step(code);
    }
    all.heal();
    std::string fault = all.violation();
    if (fault.empty()) {
        fault = all.stuck();
    }
    sum.executions += all.executions();
    fleet::add(sum.counters, all.counters());
    return fault.empty() ? all.violation() : fault;
}

std::vector<std::uint32_t> random_schedule(std::uint32_t seed, std::size_t length) {
    std::mt19937 random(seed);
    std::vector<std::uint32_t> schedule(length);
    std::generate(schedule.begin(), schedule.end(), random);
    return schedule;
}

/// One owner whose commands are carried out when the test says so.
struct lone_owner {
    lone_owner(const std::string& name, std::uint64_t life, test::fake_store& store,
               const base::manual_clock& clock, owner_settings settings = small_owner())
        : time(clock), spacing(settings.spacing),
          owner(base::vm_id(name), base::incarnation(life), settings, life), writer(store, clock, {}, life) {
        take(owner.members_changed({base::vm_id(name)}, time.now()));
    }

    void take(owner_actions actions) {
        for (journal_command& command : actions.commands) {
            commands.push_back(std::move(command));
        }
        for (const outgoing& out : actions.messages) {
            last = out.body;
            ++sent;
        }
    }
    void ask(const message& what) {
        last = {};
        if (const auto* asked = std::get_if<claim>(&what)) {
            take(owner.on_claim(*asked, base::vm_id("entry"), time.now()));
        } else {
            take(owner.on_settle(std::get<settle>(what), base::vm_id("entry"), time.now()));
        }
    }
    void work() {
        while (!commands.empty()) {
            const journal_command command = std::move(commands.front());
            commands.pop_front();
            const event answer = writer.carry_out(command, [](base::duration) { return true; });
            take(owner.on_answer(std::get<journal_answered>(answer), time.now()));
        }
    }
    /// The answer to a claim, with all commits that it takes.
    claim_answer claimed(const message& what, base::manual_clock& clock) {
        ask(what);
        for (int i = 0; i < 3; ++i) {
            work();
            clock.advance(spacing);
            take(owner.tick(time.now()));
        }
        work();
        return std::get<claim_result>(last).answer;
    }
    bool settled(const message& what, base::manual_clock& clock) {
        ask(what);
        work();
        clock.advance(spacing);
        take(owner.tick(time.now()));
        work();
        return std::holds_alternative<settle_ack>(last);
    }

    const base::manual_clock& time;
    const base::duration spacing;
    claim_owner owner;
    store::journal_writer writer;
    std::deque<journal_command> commands;
    message last;
    std::size_t sent = 0;
};

message claim_of(std::uint64_t key, std::uint64_t attempt) {
    return claim{base::partition_id(0), base::key_hash(base::uint128{0, key}),
                 base::request_id(base::uint128{1, attempt})};
}

message settle_of(std::uint64_t key, std::uint64_t attempt, settlement result) {
    return settle{base::partition_id(0), base::key_hash(base::uint128{0, key}),
                  base::request_id(base::uint128{1, attempt}), result};
}

} // namespace

TEST_CASE("no key runs twice and no claim hangs under loss, repeats, pauses, restarts and store faults") {
    totals sum;
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        const std::string fault = run_schedule(random_schedule(seed, 200 + seed % 600), sum);
        INFO(fault);
        REQUIRE(fault.empty());
    }
    // The schedules reach what they are meant to test.
    CHECK(sum.executions > 3000);
    CHECK(sum.counters.deposed > 2000);
    CHECK(sum.counters.seals > 3000);
    CHECK(sum.counters.failures > 3000);
}

TEST_CASE("any generated schedule keeps a key from running twice; a failing one is shrunk") {
    rc::detail::TestParams params;
    params.seed = 17;
    params.maxSuccess = 300;
    params.maxSize = 400;
    const rc::detail::TestResult result = rc::detail::checkTestable(
        [](const std::vector<std::uint32_t>& schedule) {
            totals sum;
            const std::string fault = run_schedule(schedule, sum);
            RC_LOG() << fault;
            RC_ASSERT(fault.empty());
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("sealing and merging lose no key when every router restarts") {
    constexpr std::uint64_t many = 150;
    fleet all;
    for (int round = 0; round < 2; ++round) {
        for (std::uint64_t i = 0; i < many; ++i) {
            all.submit(all.at(i % node_count), base::key_hash(base::uint128{i, 9}), 10s);
            all.settle_down(100ms);
        }
        all.settle_down(5s);
        INFO(all.violation());
        CHECK(all.violation().empty());
        CHECK(all.executions() == many);
        for (std::size_t i = 0; i < node_count; ++i) {
            all.restart(all.at(i));
        }
    }
    CHECK(all.counters().seals > 30);
    // Two tails and, by merging three segments into one, a few segments of each level.
    CHECK(all.store().size() < 30);
}

TEST_CASE("a claim is answered only after its commit, and again when the answer was lost") {
    base::manual_clock clock;
    test::fake_store store;
    lone_owner owner("a", 1, store, clock);
    owner.ask(claim_of(1, 1));
    CHECK(owner.sent == 0);
    owner.work();
    CHECK(owner.sent == 0); // the takeover is done, the write waits for its spacing
    clock.advance(20ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.sent == 0);
    owner.work();
    CHECK(std::get<claim_result>(owner.last).answer == claim_answer::granted);
    CHECK(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    CHECK(owner.settled(settle_of(1, 1, settlement::ran), clock));
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::already_ran);
}

TEST_CASE("a paused owner, or the former life of a restarted one, cannot commit when it wakes") {
    const std::string successor = GENERATE("a", "b");
    base::manual_clock clock;
    test::fake_store store;
    lone_owner paused("a", 1, store, clock);
    REQUIRE(paused.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    lone_owner next(successor, 2, store, clock);
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    for (std::uint64_t key = 2; key < 20; ++key) {
        REQUIRE(next.claimed(claim_of(key, key), clock) == claim_answer::granted);
    }
    CHECK(paused.claimed(claim_of(2, 99), clock) == claim_answer::not_owner);
    CHECK(paused.owner.counters().deposed == 1);
    CHECK(paused.owner.owned() == 0);
    CHECK(paused.claimed(claim_of(50, 50), clock) == claim_answer::not_owner);
    CHECK(next.claimed(claim_of(21, 21), clock) == claim_answer::granted);
}

TEST_CASE("a late copy of a withdrawn claim neither takes the key nor disturbs its new holder") {
    base::manual_clock clock;
    test::fake_store store;
    lone_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    REQUIRE(owner.settled(settle_of(1, 1, settlement::not_run), clock));
    CHECK(owner.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::granted);
    CHECK(owner.settled(settle_of(1, 1, settlement::not_run), clock));
    CHECK(owner.claimed(claim_of(1, 3), clock) == claim_answer::in_progress);
    lone_owner next("b", 1, store, clock);
    CHECK(next.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(next.settled(settle_of(1, 2, settlement::not_run), clock));
    CHECK(next.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(next.settled(settle_of(2, 1, settlement::not_run), clock)); // overtook its claim
    CHECK(next.claimed(claim_of(2, 1), clock) == claim_answer::withdrawn);
    CHECK(next.claimed(claim_of(2, 2), clock) == claim_answer::granted);
    REQUIRE(next.settled(settle_of(2, 2, settlement::ran), clock));
    CHECK(next.settled(settle_of(2, 2, settlement::not_run), clock)); // contradicts, and has no effect
    CHECK(next.claimed(claim_of(2, 3), clock) == claim_answer::already_ran);
}

TEST_CASE("a store outage refuses claims at once and one probe at a time finds its end") {
    base::manual_clock clock;
    test::fake_store store;
    lone_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    store.faults.outage = true;
    CHECK(owner.claimed(claim_of(2, 2), clock) == claim_answer::unavailable);
    owner.ask(claim_of(3, 3));
    CHECK(owner.commands.empty());
    CHECK(std::get<claim_result>(owner.last).answer == claim_answer::unavailable);
    store.faults.outage = false;
    clock.advance(1s);
    CHECK(owner.claimed(claim_of(4, 4), clock) == claim_answer::granted);
    SECTION("a store that hangs counts as down after the patience") {
        owner.ask(claim_of(5, 5));
        REQUIRE(owner.commands.size() == 1);
        clock.advance(1600ms);
        owner.take(owner.owner.tick(clock.now()));
        CHECK(std::get<claim_result>(owner.last).answer == claim_answer::unavailable);
        owner.ask(claim_of(6, 6));
        CHECK(std::get<claim_result>(owner.last).answer == claim_answer::unavailable);
        owner.work(); // the write commits after all: the key is held until its attempt is settled
        CHECK(owner.claimed(claim_of(5, 7), clock) == claim_answer::in_progress);
        CHECK(owner.settled(settle_of(5, 5, settlement::not_run), clock));
        CHECK(owner.claimed(claim_of(5, 7), clock) == claim_answer::granted);
    }
}

TEST_CASE("claims share one write per spacing, and full tables refuse instead of growing") {
    base::manual_clock clock;
    test::fake_store store;
    owner_settings settings = small_owner();
    settings.spacing = 250ms;
    settings.waiting = 10;
    settings.keys = 15;
    lone_owner owner("a", 1, store, clock, settings);
    REQUIRE(owner.claimed(claim_of(0, 1), clock) == claim_answer::granted);
    clock.advance(250ms);
    const std::uint64_t before = owner.owner.counters().writes;
    for (std::uint64_t key = 1; key <= 12; ++key) {
        owner.ask(claim_of(key, 1));
    }
    CHECK(std::get<claim_result>(owner.last).answer == claim_answer::overloaded);
    owner.work();
    clock.advance(249ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.owner.counters().writes == before + 1);
    clock.advance(1ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.owner.counters().writes == before + 2);
    owner.work();
    CHECK(owner.owner.keys() == 11);
    for (std::uint64_t key = 20; key < 24; ++key) {
        clock.advance(250ms);
        CHECK(owner.claimed(claim_of(key, 1), clock) == claim_answer::granted);
    }
    clock.advance(250ms);
    CHECK(owner.claimed(claim_of(30, 1), clock) == claim_answer::overloaded);
}

TEST_CASE("records last for the retention, also across owners, and expire after it") {
    base::manual_clock clock;
    test::fake_store store;
    lone_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    clock.advance(23h);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    CHECK(owner.claimed(claim_of(2, 1), clock) == claim_answer::granted);
    lone_owner next("b", 1, store, clock);
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    clock.advance(2h);
    next.take(next.owner.tick(clock.now()));
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::granted);
    CHECK(next.claimed(claim_of(2, 2), clock) == claim_answer::in_progress);
}

TEST_CASE("the claim client repeats, follows the owner, keeps deadlines and grants only live claims") {
    const base::key_hash key(base::uint128{0, 1});
    const base::request_id attempt(base::uint128{1, 1});
    const base::partition_id partition(0);
    base::manual_clock clock;
    claim_client client(small_client());
    CHECK(client.submit(attempt, key, clock.now() + 1s, clock.now()).error().code ==
          base::error_code::not_ready);
    static_cast<void>(client.members_changed({vm(0)}, clock.now()));
    REQUIRE(client.submit(attempt, key, clock.now() + 5s, clock.now()));
    clock.advance(200ms);
    CHECK(client.tick(clock.now()).messages.size() == 1);
    const client_actions moved = client.members_changed({vm(1)}, clock.now());
    REQUIRE(moved.messages.size() == 1);
    CHECK(moved.messages[0].to == vm(1));
    const auto answered = [&](claim_answer answer) {
        return client.on_result({partition, key, attempt, answer}, clock.now());
    };
    CHECK_FALSE(client.dispatch(attempt, clock.now()));
    CHECK(answered(claim_answer::not_owner).ended.empty());
    SECTION("granted once, dispatched once, settled until acknowledged") {
        CHECK(answered(claim_answer::granted).granted.size() == 1);
        CHECK(answered(claim_answer::granted).granted.empty());
        CHECK(client.dispatch(attempt, clock.now()));
        CHECK_FALSE(client.dispatch(attempt, clock.now()));
        client_actions actions;
        CHECK_FALSE(client.withdraw(attempt, clock.now(), actions));
        CHECK(client.ended(attempt, outcome::ran, clock.now()).messages.size() == 1);
        clock.advance(200ms);
        CHECK(client.tick(clock.now()).messages.size() == 1);
        client.on_settled({key, attempt});
        CHECK(client.size() == 0);
    }
    SECTION("a grant after the withdrawal or the deadline is void") {
        client_actions actions;
        CHECK(client.withdraw(attempt, clock.now(), actions));
        CHECK(answered(claim_answer::granted).granted.empty());
        CHECK_FALSE(client.dispatch(attempt, clock.now()));
    }
    SECTION("a router paused beyond the deadline does not dispatch") {
        CHECK(answered(claim_answer::granted).granted.size() == 1);
        clock.advance(6s);
        CHECK_FALSE(client.dispatch(attempt, clock.now()));
    }
    SECTION("an unanswered claim ends with not_run at the deadline") {
        clock.advance(5s);
        const client_actions late = client.tick(clock.now());
        REQUIRE(late.ended.size() == 1);
        CHECK(late.ended[0].what.result == outcome::not_run);
        CHECK(late.ended[0].what.cause->code == base::error_code::deadline_exceeded);
    }
    SECTION("the owner's answer decides the verdict") {
        const auto [answer, result] =
            GENERATE(table<claim_answer, outcome>({{claim_answer::in_progress, outcome::outcome_unknown},
                                                   {claim_answer::already_ran, outcome::ran},
                                                   {claim_answer::unavailable, outcome::not_run},
                                                   {claim_answer::overloaded, outcome::not_run}}));
        const client_actions end = answered(answer);
        REQUIRE(end.ended.size() == 1);
        CHECK(end.ended[0].what.result == result);
        CHECK(answered(claim_answer::granted).granted.empty());
        const base::request_id other(base::uint128{1, 2});
        CHECK(client.submit(other, key, clock.now() + 1s, clock.now()).has_value() ==
              (answer != claim_answer::unavailable));
    }
}
