#include "store/journal.h"
#include "tests/fake.h"

#include <catch2/catch.hpp>
#include <memory>
#include <thread>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

const base::partition_id partition(3);

journal_record record(std::uint64_t key, key_state state = key_state::claimed) {
    return {base::key_hash(base::uint128{key, 1}), base::request_id(base::uint128{key, 2}), state, 100};
}

journal_tail sample_tail() {
    journal_tail tail;
    tail.partition = partition;
    tail.owner = base::vm_id("a");
    tail.incarnation = base::incarnation(5);
    tail.generation = base::epoch(7);
    tail.batch = 9;
    tail.clock_s = 1000;
    tail.records = {record(1), record(2, key_state::ran), record(3, key_state::released)};
    tail.segments = {{base::epoch(6), 4, 900, 50, 1}};
    return tail;
}

/// A writer with a store and a clock that its pauses move.
struct rig {
    base::manual_clock clock;
    test::fake_store store;
    store::journal_writer writer{store, clock, {}, 1};

    template <typename Command>
    journal_answered run(const Command& command) {
        return std::get<journal_answered>(writer.carry_out(command, [this](base::duration wait) {
            clock.advance(wait);
            return false;
        }));
    }
    journal_answered take_over(const std::string& who, std::uint64_t life = 1) {
        return run(journal_takeover{partition, base::vm_id(who), base::incarnation(life), 86400, 1});
    }
    /// An update that adds one record to the tail of `last`.
    static journal_update append(const journal_answered& last, std::uint64_t key) {
        journal_update update;
        update.tail = *last.tail;
        ++update.tail.batch;
        update.tail.records.push_back(record(key));
        update.expected = last.version;
        return update;
    }
    /// An update that seals the tail of `last` and merges its segments.
    static journal_update seal(const journal_answered& last, std::uint32_t number, std::uint64_t key) {
        journal_update update = append(last, key);
        update.seal = journal_segment{{last.tail->generation, number, 100, 1, 1}, last.tail->records};
        update.merged = last.tail->segments;
        update.tail.records = {record(key)};
        update.tail.segments = {update.seal->name};
        return update;
    }
};

} // namespace

TEST_CASE("stored objects read back as written") {
    const journal_tail tail = sample_tail();
    const base::result<journal_tail> read = store::decode_tail(store::encode_tail(tail));
    REQUIRE(read);
    CHECK(same_update(*read, tail));
    CHECK(read->records == tail.records);
    CHECK(read->segments == tail.segments);
    CHECK(read->clock_s == tail.clock_s);
    CHECK(store::decode_segment(store::encode_segment(tail.records)).value() == tail.records);
    const lease_record lease{
        base::pool_id("p"), base::vm_id("a"), base::incarnation(2), base::epoch(3), 4, 6s};
    const base::result<lease_record> held = store::decode_lease(store::encode_lease(lease));
    REQUIRE(held);
    CHECK(held->holder == lease.holder);
    CHECK(held->generation == lease.generation);
    CHECK(held->term == lease.term);
}

TEST_CASE("malformed, cut, oversized or foreign objects are typed errors and never crash") {
    const std::string good = store::encode_tail(sample_tail());
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string flipped = good;
        flipped[i] = static_cast<char>(flipped[i] ^ 0x41);
        CHECK_FALSE(store::decode_tail(flipped));
        const base::result<journal_tail> cut = store::decode_tail(good.substr(0, i));
        REQUIRE_FALSE(cut);
        CHECK(cut.error().code == base::error_code::store_malformed);
    }
    CHECK_FALSE(store::decode_segment(good));
    CHECK(store::decode_tail(std::string(store::store_value_limit + 1, 'x')).error().code ==
          base::error_code::value_too_large);
    rig at;
    at.store.overwrite(store::tail_name(partition), "garbage");
    const journal_answered answer = at.take_over("a");
    CHECK_FALSE(answer.tail);
    CHECK(answer.cause->code == base::error_code::store_malformed);
}

TEST_CASE("a takeover raises the epoch, so that the update of the old owner fails") {
    rig at;
    const journal_answered first = at.take_over("a");
    REQUIRE_FALSE(first.cause);
    const journal_answered held = at.run(rig::append(first, 1));
    const journal_answered second = at.take_over("b");
    REQUIRE_FALSE(second.cause);
    CHECK(second.tail->generation == held.tail->generation + base::epoch(1));
    CHECK(second.tail->records.size() == 1);
    const journal_answered stale = at.run(rig::append(held, 2));
    REQUIRE(stale.cause);
    CHECK(stale.cause->code == base::error_code::store_conflict);
    CHECK(stale.tail->owner == base::vm_id("b"));
}

TEST_CASE("a lost answer is resolved for updates, seals and takeovers, before and after the effect") {
    const bool landed = GENERATE(true, false);
    rig at;
    int calls = 0;
    // Every first try is lost; the second one gets through.
    at.store.before_call = [&] {
        const bool lose = ++calls % 2 == 1;
        at.store.faults.lost_after = lose && landed ? 1 : 0;
        at.store.faults.lost_before = lose && !landed ? 1 : 0;
    };
    const journal_answered taken = at.take_over("a");
    REQUIRE_FALSE(taken.cause);
    CHECK(taken.tail->generation == base::epoch(1));
    const journal_answered first = at.run(rig::append(taken, 1));
    REQUIRE_FALSE(first.cause);
    const journal_answered sealed = at.run(rig::seal(first, 1, 2));
    REQUIRE_FALSE(sealed.cause);
    const journal_answered next = at.take_over("b");
    REQUIRE_FALSE(next.cause);
    CHECK(next.sealed.size() == 1);
    CHECK(next.tail->records.size() == 1);
}

TEST_CASE("a takeover that races with commits and with another takeover has one winner") {
    rig at;
    journal_answered old = at.take_over("a");
    store::journal_writer other(at.store, at.clock, {}, 2);
    int calls = 0;
    SECTION("the old owner commits between read and update: its record is taken along") {
        at.store.before_call = [&] {
            if (++calls == 2) {
                old = std::get<journal_answered>(
                    other.carry_out(rig::append(old, 1), [](base::duration) { return true; }));
            }
        };
        const journal_answered taken = at.take_over("b");
        REQUIRE_FALSE(taken.cause);
        CHECK(taken.tail->records.size() == 1);
    }
    SECTION("a third router takes over between read and update: the later one gives way") {
        at.store.before_call = [&] {
            if (++calls == 2) {
                static_cast<void>(other.carry_out(
                    journal_takeover{partition, base::vm_id("c"), base::incarnation(1), 86400, 1},
                    [](base::duration) { return true; }));
            }
        };
        const journal_answered taken = at.take_over("b");
        REQUIRE(taken.cause);
        CHECK(taken.cause->code == base::error_code::store_conflict);
        CHECK(taken.tail->owner == base::vm_id("c"));
    }
}

TEST_CASE("merged segments stay until the tail without them is committed, and are then removed") {
    rig at;
    const journal_answered one = at.run(rig::append(at.take_over("a"), 1));
    const journal_answered two = at.run(rig::seal(one, 1, 2));
    const journal_update stale = rig::seal(two, 2, 3);
    const journal_answered three = at.run(rig::append(two, 4));
    REQUIRE(at.run(stale).cause->code == base::error_code::store_conflict);
    at.writer.remove_garbage();
    const journal_answered again = at.take_over("b");
    REQUIRE_FALSE(again.cause);
    CHECK(again.sealed.size() == 1);
    // The segment that the failed update left behind is found by the takeover and removed.
    CHECK(at.writer.garbage() == 1);
    at.writer.remove_garbage();
    CHECK(at.store.size() == 2);
    const journal_answered merged = at.run(rig::seal(again, 1, 5));
    REQUIRE_FALSE(merged.cause);
    CHECK(at.writer.garbage() == 1);
    at.writer.remove_garbage();
    CHECK(at.store.size() == 2);
    CHECK(at.take_over("c").sealed.size() == 3);
}

TEST_CASE("an outage ends a command within its budget, and the next ones fail at once") {
    rig at;
    at.store.faults.outage = true;
    const base::time_point start = at.clock.now();
    CHECK(at.take_over("a").cause->code == base::error_code::store_unavailable);
    CHECK(at.clock.now() - start > 1s);
    CHECK(at.clock.now() - start <= 3s);
    const std::uint64_t reads = at.store.reads;
    CHECK(at.take_over("a").cause);
    CHECK(at.store.reads == reads + 1);
    at.store.faults.outage = false;
    CHECK_FALSE(at.take_over("a").cause);
}

TEST_CASE("the journal thread answers commands in order and stops while the store is down") {
    const base::steady_clock time;
    base::ring<journal_command> commands(8);
    base::ring<event> events(8);
    std::unique_ptr<test::fake_store> store = std::make_unique<test::fake_store>();
    test::fake_store& faults = *store;
    store::journal worker(std::move(store), time, {}, 1, commands, events);
    base::stop_signal stop;
    std::thread thread([&] { worker.run(stop); });
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
        REQUIRE(commands.push(journal_takeover{partition, base::vm_id("a"), {}, 1, ticket}, 1s) ==
                base::push_result::pushed);
        const std::optional<event> answer = events.pop(5s);
        REQUIRE(answer);
        CHECK(std::get<journal_answered>(*answer).ticket == ticket);
        CHECK(std::get<journal_answered>(*answer).tail->generation == base::epoch(ticket));
    }
    // The thread waits on the ring here, so that the flag is not written while it is read.
    faults.faults.outage = true;
    REQUIRE(commands.push(journal_takeover{partition, base::vm_id("a"), {}, 1, 4}, 1s) ==
            base::push_result::pushed);
    std::this_thread::sleep_for(50ms);
    const base::time_point asked = time.now();
    stop.request();
    thread.join();
    CHECK(time.now() - asked < 1s);
}
