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
    settings.answer_timeout = 2s;
    return settings;
}

client_settings small_client() {
    client_settings settings;
    settings.partitions = partition_count;
    return settings;
}

/// One router: its decision modules, its journal worker and the queues between them.
struct node {
    base::vm_id id;
    std::uint64_t incarnation = 0;
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

/// Several routers over one store and a network that loses, repeats and reorders messages. Records which
/// attempts run.
class fleet {
public:
    fleet() {
        for (std::size_t i = 0; i < node_count; ++i) {
            nodes_[i].id = vm(i);
            start(nodes_[i]);
        }
        store_.before_call = [this] { interleave(); };
    }

    /// Runs one action of a schedule, possibly a fault. All choices follow from `code`.
    void step(std::uint32_t code) {
        random_.seed(code);
        node& router = nodes_[pick(node_count)];
        switch (pick(20)) {
        case 0:
        case 1:
        case 2:
            submit(router, base::key_hash(base::uint128{pick(key_count), 7}), 5s);
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
            work(router);
            break;
        case 11:
        case 12:
            time_.advance(std::chrono::milliseconds(pick(400)));
            tick(router);
            break;
        case 13:
        case 14:
            dispatch_one(router);
            break;
        case 15:
            end_one(router);
            break;
        case 16:
            withdraw_one(router);
            break;
        case 17:
            change_members(router);
            break;
        case 18:
            router.paused = !router.paused;
            break;
        default:
            disturb(router);
            break;
        }
    }

    /// Ends all faults, delivers all messages in transit and lets every claim end.
    void heal() {
        store_.faults = {};
        std::vector<base::vm_id> all;
        for (node& router : nodes_) {
            router.paused = false;
            all.push_back(router.id);
        }
        for (node& router : nodes_) {
            take(router, router.client->members_changed(all, time_.now()));
            take(router, router.owner->members_changed(all, time_.now()));
        }
        while (!late_commands_.empty()) {
            run_late_command();
        }
        settle_down(60s);
    }

    void settle_down(base::duration how_long) {
        for (const base::time_point end = time_.now() + how_long; time_.now() < end; time_.advance(50ms)) {
            store_.apply_delayed_write();
            for (node& router : nodes_) {
                tick(router);
                router.writer->remove_garbage();
                while (!router.commands.empty() || !router.answers.empty()) {
                    work(router);
                }
                while (!router.granted.empty()) {
                    run(router, *router.granted.begin());
                }
                while (!router.running.empty()) {
                    finish(router, *router.running.begin(), outcome::ran);
                }
            }
            std::vector<packet> now;
            now.swap(network_);
            for (const packet& what : now) {
                deliver(what);
            }
        }
    }

    /// Returns an error if a claim did not end or a key is still held by an attempt that ended; empty
    /// otherwise.
    std::string find_stuck_claim() {
        for (const node& router : nodes_) {
            if (router.client->size() != 0) {
                return router.id.value() + " has claims that did not end";
            }
        }
        for (std::uint64_t i = 0; i < key_count; ++i) {
            const base::key_hash key(base::uint128{i, 7});
            if (executed_.count(key) != 0 || unresolved_keys_.count(key) != 0) {
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
        owner_counters sum = earlier_counters_;
        for (const node& router : nodes_) {
            add(sum, router.owner->counters());
        }
        return sum;
    }
    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }
    test::fake_store& store() { return store_; }
    base::manual_clock& time() { return time_; }

    void submit(node& router, const base::key_hash& key, base::duration limit) {
        const base::request_id attempt(base::uint128{0xabc, ++last_attempt_});
        base::result<client_actions> done =
            router.client->submit(attempt, key, time_.now() + limit, time_.now());
        if (done) {
            router.open[attempt] = key;
            take(router, std::move(*done));
        } else {
            ended_.insert(attempt);
        }
    }

    void restart(node& router) {
        // The dying process may still carry out the queued commands at any later time.
        for (journal_command& command : router.commands) {
            late_commands_.push_back(std::move(command));
        }
        for (const auto& [attempt, key] : router.open) {
            unresolved_keys_.insert(key);
        }
        add(earlier_counters_, router.owner->counters());
        const std::uint64_t incarnation = router.incarnation;
        const base::vm_id id = router.id;
        router = node{};
        router.id = id;
        router.incarnation = incarnation;
        start(router);
    }

private:
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool chance(std::uint64_t percent) { return pick(100) < percent; }

    void start(node& router) {
        ++router.incarnation;
        router.client = std::make_unique<claim_client>(small_client());
        router.owner = std::make_unique<claim_owner>(router.id, base::incarnation(router.incarnation),
                                                     small_owner(), router.incarnation);
        store::journal_settings settings;
        settings.budget = 60ms;
        router.writer = std::make_unique<store::journal_writer>(store_, time_, settings, router.incarnation);
        std::vector<base::vm_id> all;
        for (std::size_t i = 0; i < node_count; ++i) {
            all.push_back(vm(i));
        }
        take(router, router.client->members_changed(all, time_.now()));
        take(router, router.owner->members_changed(all, time_.now()));
    }

    void take(node& router, client_actions actions) {
        for (outgoing& out : actions.messages) {
            network_.push_back({router.id, out.to, std::move(out.body)});
        }
        for (const base::request_id& attempt : actions.granted) {
            router.granted.insert(attempt);
        }
        for (const claim_ended& end : actions.ended) {
            ended_.insert(end.attempt);
            if (end.final_verdict.result == outcome::ran) {
                check(executed_.count(router.open[end.attempt]) != 0,
                      "answered `ran` for a key that never ran");
                router.open.erase(end.attempt);
            }
        }
    }

    void take(node& router, owner_actions actions) {
        for (outgoing& out : actions.messages) {
            network_.push_back({router.id, out.to, std::move(out.body)});
        }
        for (journal_command& command : actions.commands) {
            if (store_.faults.delayed > 0 && chance(3)) {
                router.answers.push_back(std::get<journal_answered>(queue_full_answer(command)));
            } else {
                router.commands.push_back(std::move(command));
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
    void tick(node& router) {
        if (!router.paused) {
            take(router, router.client->tick(time_.now()));
            take(router, router.owner->tick(time_.now()));
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
            take(*to, to->client->on_claim_result(*answer, time_.now()));
        } else if (const auto* ack = std::get_if<settle_ack>(&what.body)) {
            to->client->on_settle_ack(*ack);
            to->open.erase(ack->attempt);
        }
    }

    /// The journal worker carries out a command, or the decider processes an answer.
    void work(node& router) {
        if (!router.answers.empty() && (router.commands.empty() || chance(50))) {
            if (!router.paused) {
                const journal_answered answer = std::move(router.answers.front());
                router.answers.pop_front();
                take(router, router.owner->on_journal_answer(answer, time_.now()));
            }
        } else if (!router.commands.empty()) {
            const journal_command command = std::move(router.commands.front());
            router.commands.pop_front();
            const std::uint64_t incarnation = router.incarnation;
            const event answer = carry_out(*router.writer, command);
            if (router.incarnation == incarnation) {
                router.answers.push_back(std::get<journal_answered>(answer));
            }
        }
    }

    event carry_out(store::journal_writer& writer, const journal_command& command) {
        return writer.carry_out(command, [this](base::duration wait) {
            time_.advance(wait);
            return false;
        });
    }

    void run_late_command() {
        const journal_command command = std::move(late_commands_.front());
        late_commands_.pop_front();
        store::journal_writer writer(store_, time_, {}, 1);
        static_cast<void>(carry_out(writer, command));
    }

    /// Lets another router's worker act between two store calls of the active worker.
    void interleave() {
        if (interleaving_ || !chance(10)) {
            return;
        }
        interleaving_ = true;
        node& router = nodes_[pick(node_count)];
        if (!late_commands_.empty()) {
            run_late_command();
        } else if (router.answers.empty() && !router.commands.empty()) {
            work(router);
        }
        interleaving_ = false;
    }

    void dispatch_one(node& router) {
        if (router.paused || router.granted.empty()) {
            return;
        }
        const base::request_id attempt =
            *std::next(router.granted.begin(), static_cast<std::ptrdiff_t>(pick(router.granted.size())));
        if (!chance(25)) {
            run(router, attempt);
        } else if (router.client->dispatch(attempt, time_.now())) {
            // The upstream refuses the connection.
            if (chance(50)) {
                router.client->on_not_sent(attempt);
            } else {
                router.granted.erase(attempt);
                ended_.insert(attempt);
                take(router, router.client->on_attempt_ended(attempt, outcome::not_run, time_.now()));
            }
        }
    }

    void run(node& router, const base::request_id attempt) {
        router.granted.erase(attempt);
        if (!router.client->dispatch(attempt, time_.now())) {
            client_actions actions;
            if (router.client->withdraw(attempt, time_.now(), actions)) {
                ended_.insert(attempt);
            }
            take(router, std::move(actions));
            return;
        }
        check(ended_.count(attempt) == 0, "an attempt ran after it was answered");
        const auto [entry, first] = executed_.emplace(router.open[attempt], attempt);
        check(first || entry->second == attempt, "two attempts of one key ran");
        router.running.insert(attempt);
    }

    void end_one(node& router) {
        if (!router.paused && !router.running.empty()) {
            finish(router, *router.running.begin(), chance(80) ? outcome::ran : outcome::outcome_unknown);
        }
    }

    void finish(node& router, const base::request_id attempt, outcome result) {
        router.running.erase(attempt);
        take(router, router.client->on_attempt_ended(attempt, result, time_.now()));
    }

    void withdraw_one(node& router) {
        if (router.paused || router.open.empty()) {
            return;
        }
        const auto which =
            std::next(router.open.begin(), static_cast<std::ptrdiff_t>(pick(router.open.size())));
        client_actions actions;
        if (router.client->withdraw(which->first, time_.now(), actions)) {
            ended_.insert(which->first);
        }
        take(router, std::move(actions));
    }

    void change_members(node& router) {
        std::vector<base::vm_id> live;
        for (const node& other : nodes_) {
            if (other.id == router.id || chance(60)) {
                live.push_back(other.id);
            }
        }
        take(router, router.client->members_changed(live, time_.now()));
        take(router, router.owner->members_changed(live, time_.now()));
    }

    void disturb(node& router) {
        switch (pick(6)) {
        case 5:
            // The worker fails and loses the command, which takes effect later or not at all.
            if (!router.commands.empty()) {
                late_commands_.push_back(std::move(router.commands.front()));
                router.commands.pop_front();
            }
            break;
        case 0:
            restart(router);
            break;
        case 1:
            // Frequent enough that all retries of a command fail after one of them took effect.
            store_.faults = {chance(20), 0.1, 0.2, 0.4, 0.3};
            break;
        case 2:
            store_.faults = {};
            break;
        case 3:
            store_.apply_delayed_write();
            break;
        default:
            if (!late_commands_.empty()) {
                run_late_command();
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
    std::deque<journal_command> late_commands_;
    bool interleaving_ = false;
    std::uint64_t last_attempt_ = 0;
    std::map<base::key_hash, base::request_id> executed_;
    /// Attempts whose caller got an answer although they did not run.
    std::set<base::request_id> ended_;
    /// Keys that a router had claimed when it restarted and lost its memory.
    std::set<base::key_hash> unresolved_keys_;
    std::string violation_;
    owner_counters earlier_counters_;
    std::array<node, node_count> nodes_;
};

struct totals {
    std::size_t executions = 0;
    owner_counters counters;
};

/// Runs a schedule of faults, then a period without faults. Returns the first error; empty if there is none.
std::string run_schedule(const std::vector<std::uint32_t>& schedule, totals& sum) {
    fleet all;
    for (const std::uint32_t code : schedule) {
        all.step(code);
    }
    all.heal();
    std::string fault = all.violation();
    if (fault.empty()) {
        fault = all.find_stuck_claim();
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

/// A single owner whose commands are carried out when the test requests it.
struct single_owner {
    single_owner(const std::string& name, std::uint64_t incarnation, test::fake_store& store,
                 const base::manual_clock& clock, owner_settings settings = small_owner())
        : time(clock), spacing(settings.min_write_interval),
          owner(base::vm_id(name), base::incarnation(incarnation), settings, incarnation),
          writer(store, clock, {}, incarnation) {
        take(owner.members_changed({base::vm_id(name)}, time.now()));
    }

    void take(owner_actions actions) {
        for (journal_command& command : actions.commands) {
            commands.push_back(std::move(command));
        }
        for (const outgoing& out : actions.messages) {
            last_answer = out.body;
            ++answer_count;
        }
    }
    void send(const message& what) {
        last_answer = {};
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
            take(owner.on_journal_answer(std::get<journal_answered>(answer), time.now()));
        }
    }
    /// Returns the answer to a claim after all commits that it requires.
    claim_answer claimed(const message& what, base::manual_clock& clock) {
        send(what);
        for (int i = 0; i < 3; ++i) {
            work();
            clock.advance(spacing);
            take(owner.tick(time.now()));
        }
        work();
        return std::get<claim_result>(last_answer).answer;
    }
    bool settled(const message& what, base::manual_clock& clock) {
        send(what);
        work();
        clock.advance(spacing);
        take(owner.tick(time.now()));
        work();
        return std::holds_alternative<settle_ack>(last_answer);
    }

    const base::manual_clock& time;
    const base::duration spacing;
    claim_owner owner;
    store::journal_writer writer;
    std::deque<journal_command> commands;
    message last_answer;
    std::size_t answer_count = 0;
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

/// Faults: lost, repeated and reordered messages, pauses, restarts and store faults.
TEST_CASE("under random faults no key runs twice and every claim ends") {
    totals sum;
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        const std::string fault = run_schedule(random_schedule(seed, 200 + seed % 600), sum);
        INFO(fault);
        REQUIRE(fault.empty());
    }
    // Checks that the schedules cover the cases that they are meant to test.
    CHECK(sum.executions > 3000);
    CHECK(sum.counters.deposed > 2000);
    CHECK(sum.counters.seals > 3000);
    CHECK(sum.counters.failures > 3000);
}

/// rapidcheck shrinks a schedule that fails.
TEST_CASE("no key runs twice under generated schedules") {
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
    // Two tails and, since three segments are merged into one, a few segments of each level.
    CHECK(all.store().size() < 30);
}

TEST_CASE("a claim is answered only after its commit, and again when the answer was lost") {
    base::manual_clock clock;
    test::fake_store store;
    single_owner owner("a", 1, store, clock);
    owner.send(claim_of(1, 1));
    CHECK(owner.answer_count == 0);
    owner.work();
    CHECK(owner.answer_count == 0); // the takeover is done, the write waits for its spacing
    clock.advance(20ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.answer_count == 0);
    owner.work();
    CHECK(std::get<claim_result>(owner.last_answer).answer == claim_answer::granted);
    CHECK(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    CHECK(owner.settled(settle_of(1, 1, settlement::ran), clock));
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::already_ran);
}

TEST_CASE("a paused owner or an earlier incarnation of an owner cannot commit after a takeover") {
    const std::string successor = GENERATE("a", "b");
    base::manual_clock clock;
    test::fake_store store;
    single_owner paused("a", 1, store, clock);
    REQUIRE(paused.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    single_owner next(successor, 2, store, clock);
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    for (std::uint64_t key = 2; key < 20; ++key) {
        REQUIRE(next.claimed(claim_of(key, key), clock) == claim_answer::granted);
    }
    CHECK(paused.claimed(claim_of(2, 99), clock) == claim_answer::not_owner);
    CHECK(paused.owner.counters().deposed == 1);
    CHECK(paused.owner.owned_partitions() == 0);
    CHECK(paused.claimed(claim_of(50, 50), clock) == claim_answer::not_owner);
    CHECK(next.claimed(claim_of(21, 21), clock) == claim_answer::granted);
}

TEST_CASE("a late copy of a withdrawn claim neither takes the key nor disturbs its new holder") {
    base::manual_clock clock;
    test::fake_store store;
    single_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    REQUIRE(owner.settled(settle_of(1, 1, settlement::not_run), clock));
    CHECK(owner.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::granted);
    CHECK(owner.settled(settle_of(1, 1, settlement::not_run), clock));
    CHECK(owner.claimed(claim_of(1, 3), clock) == claim_answer::in_progress);
    single_owner next("b", 1, store, clock);
    CHECK(next.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(next.settled(settle_of(1, 2, settlement::not_run), clock));
    CHECK(next.claimed(claim_of(1, 1), clock) == claim_answer::withdrawn);
    CHECK(
        next.settled(settle_of(2, 1, settlement::not_run), clock)); // the settlement arrived before its claim
    CHECK(next.claimed(claim_of(2, 1), clock) == claim_answer::withdrawn);
    CHECK(next.claimed(claim_of(2, 2), clock) == claim_answer::granted);
    REQUIRE(next.settled(settle_of(2, 2, settlement::ran), clock));
    CHECK(next.settled(settle_of(2, 2, settlement::not_run), clock)); // contradicts `ran` and has no effect
    CHECK(next.claimed(claim_of(2, 3), clock) == claim_answer::already_ran);
}

TEST_CASE("during a store outage claims are refused at once and one probe at a time detects its end") {
    base::manual_clock clock;
    test::fake_store store;
    single_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    store.faults.outage = true;
    CHECK(owner.claimed(claim_of(2, 2), clock) == claim_answer::unavailable);
    owner.send(claim_of(3, 3));
    CHECK(owner.commands.empty());
    CHECK(std::get<claim_result>(owner.last_answer).answer == claim_answer::unavailable);
    store.faults.outage = false;
    clock.advance(1s);
    CHECK(owner.claimed(claim_of(4, 4), clock) == claim_answer::granted);
    SECTION("a store that does not answer within the write timeout counts as unavailable") {
        owner.send(claim_of(5, 5));
        REQUIRE(owner.commands.size() == 1);
        clock.advance(1600ms);
        owner.take(owner.owner.tick(clock.now()));
        CHECK(std::get<claim_result>(owner.last_answer).answer == claim_answer::unavailable);
        owner.send(claim_of(6, 6));
        CHECK(std::get<claim_result>(owner.last_answer).answer == claim_answer::unavailable);
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
    settings.min_write_interval = 250ms;
    settings.max_waiting = 10;
    settings.max_keys = 15;
    single_owner owner("a", 1, store, clock, settings);
    REQUIRE(owner.claimed(claim_of(0, 1), clock) == claim_answer::granted);
    clock.advance(250ms);
    const std::uint64_t before = owner.owner.counters().writes;
    for (std::uint64_t key = 1; key <= 12; ++key) {
        owner.send(claim_of(key, 1));
    }
    CHECK(std::get<claim_result>(owner.last_answer).answer == claim_answer::overloaded);
    owner.work();
    clock.advance(249ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.owner.counters().writes == before + 1);
    clock.advance(1ms);
    owner.take(owner.owner.tick(clock.now()));
    CHECK(owner.owner.counters().writes == before + 2);
    owner.work();
    CHECK(owner.owner.key_count() == 11);
    for (std::uint64_t key = 20; key < 24; ++key) {
        clock.advance(250ms);
        CHECK(owner.claimed(claim_of(key, 1), clock) == claim_answer::granted);
    }
    clock.advance(250ms);
    CHECK(owner.claimed(claim_of(30, 1), clock) == claim_answer::overloaded);
}

TEST_CASE("records are kept for the retention, also across owners, and expire after it") {
    base::manual_clock clock;
    test::fake_store store;
    single_owner owner("a", 1, store, clock);
    REQUIRE(owner.claimed(claim_of(1, 1), clock) == claim_answer::granted);
    clock.advance(23h);
    CHECK(owner.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    CHECK(owner.claimed(claim_of(2, 1), clock) == claim_answer::granted);
    single_owner next("b", 1, store, clock);
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::in_progress);
    clock.advance(2h);
    next.take(next.owner.tick(clock.now()));
    CHECK(next.claimed(claim_of(1, 2), clock) == claim_answer::granted);
    CHECK(next.claimed(claim_of(2, 2), clock) == claim_answer::in_progress);
}

TEST_CASE("the claim client repeats claims, follows the owner and keeps deadlines") {
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
        return client.on_claim_result({partition, key, attempt, answer}, clock.now());
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
        CHECK(client.on_attempt_ended(attempt, outcome::ran, clock.now()).messages.size() == 1);
        clock.advance(200ms);
        CHECK(client.tick(clock.now()).messages.size() == 1);
        client.on_settle_ack({key, attempt});
        CHECK(client.size() == 0);
    }
    SECTION("a grant after the withdrawal has no effect") {
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
        CHECK(late.ended[0].final_verdict.result == outcome::not_run);
        CHECK(late.ended[0].final_verdict.cause->code == base::error_code::deadline_exceeded);
    }
    SECTION("the owner's answer decides the verdict") {
        const auto [answer, result] =
            GENERATE(table<claim_answer, outcome>({{claim_answer::in_progress, outcome::outcome_unknown},
                                                   {claim_answer::already_ran, outcome::ran},
                                                   {claim_answer::unavailable, outcome::not_run},
                                                   {claim_answer::overloaded, outcome::not_run}}));
        const client_actions end = answered(answer);
        REQUIRE(end.ended.size() == 1);
        CHECK(end.ended[0].final_verdict.result == result);
        CHECK(answered(claim_answer::granted).granted.empty());
        const base::request_id other(base::uint128{1, 2});
        CHECK(client.submit(other, key, clock.now() + 1s, clock.now()).has_value() ==
              (answer != claim_answer::unavailable));
    }
}
