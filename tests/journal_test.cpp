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

/// A writer with a fake store and a manual clock, which the pauses of the writer advance.
struct journal_fixture {
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
    journal_answered take_over(const std::string& owner, std::uint64_t incarnation = 1) {
        return run(journal_takeover{partition, base::vm_id(owner), base::incarnation(incarnation), 86400, 1});
    }
    /// Returns an update that adds one record to the tail of `last`.
    static journal_update append(const journal_answered& last, std::uint64_t key) {
        journal_update update;
        update.tail = *last.tail;
        ++update.tail.batch;
        update.tail.records.push_back(record(key));
        update.expected = last.version;
        return update;
    }
    /// Returns an update that seals the tail of `last` and merges its segments.
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

TEST_CASE("tails, segments and leases are decoded with the values that were encoded") {
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
    const base::result<lease_record> decoded_lease = store::decode_lease(store::encode_lease(lease));
    REQUIRE(decoded_lease);
    CHECK(decoded_lease->holder == lease.holder);
    CHECK(decoded_lease->generation == lease.generation);
    CHECK(decoded_lease->term == lease.term);
}

TEST_CASE("malformed, truncated, oversized and mismatched objects are refused with an error code") {
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
    journal_fixture fixture;
    fixture.store.overwrite(store::tail_name(partition), "garbage");
    const journal_answered answer = fixture.take_over("a");
    CHECK_FALSE(answer.tail);
    CHECK(answer.cause->code == base::error_code::store_malformed);
}

TEST_CASE("a takeover increments the epoch, so that the next update of the old owner fails") {
    journal_fixture fixture;
    const journal_answered first = fixture.take_over("a");
    REQUIRE_FALSE(first.cause);
    const journal_answered updated = fixture.run(journal_fixture::append(first, 1));
    const journal_answered second = fixture.take_over("b");
    REQUIRE_FALSE(second.cause);
    CHECK(second.tail->generation == updated.tail->generation + base::epoch(1));
    CHECK(second.tail->records.size() == 1);
    const journal_answered stale = fixture.run(journal_fixture::append(updated, 2));
    REQUIRE(stale.cause);
    CHECK(stale.cause->code == base::error_code::store_conflict);
    CHECK(stale.tail->owner == base::vm_id("b"));
}

TEST_CASE(
    "updates, seals and takeovers succeed after a lost answer, with and without an effect of the lost call") {
    const bool applied = GENERATE(true, false);
    journal_fixture fixture;
    int calls = 0;
    // The answer to every other call is lost, so each retry succeeds.
    fixture.store.before_call = [&] {
        const bool lose = ++calls % 2 == 1;
        fixture.store.faults.lost_after = lose && applied ? 1 : 0;
        fixture.store.faults.lost_before = lose && !applied ? 1 : 0;
    };
    const journal_answered takeover = fixture.take_over("a");
    REQUIRE_FALSE(takeover.cause);
    CHECK(takeover.tail->generation == base::epoch(1));
    const journal_answered first = fixture.run(journal_fixture::append(takeover, 1));
    REQUIRE_FALSE(first.cause);
    const journal_answered sealed = fixture.run(journal_fixture::seal(first, 1, 2));
    REQUIRE_FALSE(sealed.cause);
    const journal_answered next = fixture.take_over("b");
    REQUIRE_FALSE(next.cause);
    CHECK(next.sealed.size() == 1);
    CHECK(next.tail->records.size() == 1);
}

TEST_CASE("a takeover that races with a commit or with another takeover has one winner") {
    journal_fixture fixture;
    journal_answered old = fixture.take_over("a");
    store::journal_writer other(fixture.store, fixture.clock, {}, 2);
    int calls = 0;
    SECTION("the old owner commits between read and update: the takeover keeps its record") {
        fixture.store.before_call = [&] {
            if (++calls == 2) {
                old = std::get<journal_answered>(
                    other.carry_out(journal_fixture::append(old, 1), [](base::duration) { return true; }));
            }
        };
        const journal_answered takeover = fixture.take_over("b");
        REQUIRE_FALSE(takeover.cause);
        CHECK(takeover.tail->records.size() == 1);
    }
    SECTION("a third router takes over between read and update: the later takeover fails") {
        fixture.store.before_call = [&] {
            if (++calls == 2) {
                static_cast<void>(other.carry_out(
                    journal_takeover{partition, base::vm_id("c"), base::incarnation(1), 86400, 1},
                    [](base::duration) { return true; }));
            }
        };
        const journal_answered takeover = fixture.take_over("b");
        REQUIRE(takeover.cause);
        CHECK(takeover.cause->code == base::error_code::store_conflict);
        CHECK(takeover.tail->owner == base::vm_id("c"));
    }
}

TEST_CASE("merged segments are removed only after a tail that does not list them is committed") {
    journal_fixture fixture;
    const journal_answered one = fixture.run(journal_fixture::append(fixture.take_over("a"), 1));
    const journal_answered two = fixture.run(journal_fixture::seal(one, 1, 2));
    const journal_update stale = journal_fixture::seal(two, 2, 3);
    const journal_answered three = fixture.run(journal_fixture::append(two, 4));
    REQUIRE(fixture.run(stale).cause->code == base::error_code::store_conflict);
    fixture.writer.remove_garbage();
    const journal_answered again = fixture.take_over("b");
    REQUIRE_FALSE(again.cause);
    CHECK(again.sealed.size() == 1);
    // The takeover finds the segment that the failed update wrote, and queues it for removal.
    CHECK(fixture.writer.garbage_count() == 1);
    fixture.writer.remove_garbage();
    CHECK(fixture.store.size() == 2);
    const journal_answered merged = fixture.run(journal_fixture::seal(again, 1, 5));
    REQUIRE_FALSE(merged.cause);
    CHECK(fixture.writer.garbage_count() == 1);
    fixture.writer.remove_garbage();
    CHECK(fixture.store.size() == 2);
    CHECK(fixture.take_over("c").sealed.size() == 3);
}

TEST_CASE("during an outage, a command fails within its time budget and the following ones fail at once") {
    journal_fixture fixture;
    fixture.store.faults.outage = true;
    const base::time_point start = fixture.clock.now();
    CHECK(fixture.take_over("a").cause->code == base::error_code::store_unavailable);
    CHECK(fixture.clock.now() - start > 1s);
    CHECK(fixture.clock.now() - start <= 3s);
    const std::uint64_t reads = fixture.store.reads;
    CHECK(fixture.take_over("a").cause);
    CHECK(fixture.store.reads == reads + 1);
    fixture.store.faults.outage = false;
    CHECK_FALSE(fixture.take_over("a").cause);
}

TEST_CASE("the journal worker answers commands in order and stops promptly while the store is down") {
    const base::steady_clock time;
    base::ring<journal_command> commands(8);
    base::ring<event> events(8);
    std::unique_ptr<test::fake_store> store = std::make_unique<test::fake_store>();
    test::fake_store& fake = *store;
    store::journal_worker worker(std::move(store), time, {}, 1, commands, events);
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
    // The worker is waiting on the ring, so it does not read the flag while it is written.
    fake.faults.outage = true;
    REQUIRE(commands.push(journal_takeover{partition, base::vm_id("a"), {}, 1, 4}, 1s) ==
            base::push_result::pushed);
    std::this_thread::sleep_for(50ms);
    const base::time_point stop_requested_at = time.now();
    stop.request();
    thread.join();
    CHECK(time.now() - stop_requested_at < 1s);
}
