#include "decision/permit.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};
const base::pool_id text("text");
const base::upstream_id worker("worker");
const base::vm_id self("vm-self");
const base::vm_id near("vm-near");
const base::vm_id far("vm-far");
const base::incarnation incarnation(1);
const demand no_demand;

const permit_owner::gate allow_all = [](const base::upstream_id&) { return true; };

upstream worker_with(std::int32_t slots) {
    upstream result;
    result.id = worker;
    result.pool = text;
    result.slots = base::slot_count(slots);
    return result;
}

permit_owner owner_with(std::int32_t slots) {
    permit_owner owner(self, incarnation, permit_options{});
    owner.set_owned({worker_with(slots)}, start, false);
    return owner;
}

bid bid_of(double key, std::uint32_t waiting, std::uint64_t sequence, std::vector<held_grant> held = {}) {
    bid result;
    result.pool = text;
    result.key = base::normalised_cost(key);
    result.start_tag = result.key;
    result.waiting = waiting;
    result.sequence = sequence;
    result.held = std::move(held);
    return result;
}

demand local_work(double key) {
    demand work;
    work.waiting = 1;
    work.keys = {base::normalised_cost(key)};
    return work;
}

std::optional<decided_grant> next(permit_owner& owner, base::time_point now = start,
                                  const demand& local = no_demand) {
    return owner.next_grant(text, local, allow_all, now);
}

release release_of(const decided_grant& issued) {
    return release{issued.permit.id, text, worker};
}

} // namespace

TEST_CASE("a slot is granted to the lowest key, local or remote") {
    permit_owner owner = owner_with(3);
    owner.receive(near, incarnation, bid_of(20, 1, 1), start);
    owner.receive(far, incarnation, bid_of(10, 1, 1), start);
    CHECK(next(owner, start, local_work(15))->holder == far);
    CHECK(next(owner, start, local_work(15))->holder == self);
    CHECK(next(owner)->holder == near);
    CHECK_FALSE(next(owner));
}

TEST_CASE("no slot is granted twice, even if releases are repeated or forged") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 9, 1), start);
    const decided_grant first = *next(owner);
    CHECK_FALSE(next(owner));
    owner.receive(far, release_of(first), start);
    CHECK_FALSE(next(owner));
    owner.receive(near, release_of(first), start);
    CHECK(next(owner));
    owner.receive(near, release_of(first), start);
    CHECK_FALSE(next(owner));
    CHECK(owner.used(worker) == 1);
}

TEST_CASE("a bidder gets no more grants than it has requests waiting") {
    permit_owner owner = owner_with(9);
    owner.receive(near, incarnation, bid_of(1, 2, 1), start);
    CHECK(next(owner));
    const decided_grant second = *next(owner);
    CHECK_FALSE(next(owner));
    // One of the two grants is still in flight when the bidder sends its next bid.
    owner.receive(near, incarnation, bid_of(1, 2, 2, {{second.permit.id, worker}}), start);
    CHECK(next(owner));
    CHECK_FALSE(next(owner));
}

TEST_CASE("an old bid that arrives late does not replace a newer one") {
    permit_owner owner = owner_with(9);
    owner.receive(near, incarnation, bid_of(1, 0, 2), start);
    owner.receive(near, incarnation, bid_of(1, 5, 1), start);
    CHECK_FALSE(next(owner));
    owner.receive(near, base::incarnation(2), bid_of(1, 1, 1), start);
    CHECK(next(owner));
}

TEST_CASE("a lost grant is reclaimed and one in use is not") {
    permit_owner owner = owner_with(2);
    owner.receive(near, incarnation, bid_of(1, 2, 1), start);
    CHECK(next(owner));
    const decided_grant used = *next(owner);
    owner.receive(near, incarnation, bid_of(1, 1, 2, {{used.permit.id, worker}}), start + 100ms);
    CHECK(owner.used(worker) == 2);
    owner.receive(near, incarnation, bid_of(1, 1, 3, {{used.permit.id, worker}}), start + 300ms);
    CHECK(owner.used(worker) == 1);
    CHECK(next(owner, start + 300ms));
}

TEST_CASE("a grant of a silent holder is asked for and then reclaimed") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 1, 1), start);
    const decided_grant issued = *next(owner);
    std::vector<outgoing> questions;
    for (int i = 1; i <= 4; ++i) {
        owner.tick(start + i * 250ms, questions);
        REQUIRE(questions.size() == static_cast<std::size_t>(i));
        CHECK(std::get<grant>(questions.back().body).id == issued.permit.id);
        CHECK(owner.used(worker) == 1);
    }
    owner.tick(start + 1250ms, questions);
    CHECK(owner.used(worker) == 0);
    // The holder was only unreachable: its next list makes the owner count the slot again.
    owner.receive(near, incarnation, bid_of(1, 0, 2, {{issued.permit.id, worker}}), start + 2s);
    CHECK(owner.used(worker) == 1);
}

TEST_CASE("a lost release is repaired by the next list") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 1, 1), start);
    const decided_grant issued = *next(owner);
    owner.receive(near, incarnation, bid_of(1, 0, 2, {{issued.permit.id, worker}}), start + 50ms);
    owner.receive(near, incarnation, bid_of(1, 0, 3), start + 500ms);
    CHECK(owner.used(worker) == 0);
}

TEST_CASE("a list divided over several datagrams reclaims no grant in use") {
    permit_owner owner = owner_with(2);
    owner.receive(near, incarnation, bid_of(1, 2, 1), start);
    const decided_grant first = *next(owner);
    const decided_grant second = *next(owner);
    for (const base::grant_id id : {first.permit.id, second.permit.id}) {
        bid part = bid_of(1, 1, 2, {{id, worker}});
        part.held_complete = false;
        owner.receive(near, incarnation, part, start + 1s);
    }
    CHECK_FALSE(next(owner, start + 1s));
    CHECK(owner.used(worker) == 2);
    // Both parts confirmed their grants, so a later complete list without one of them reclaims it at once.
    owner.receive(near, incarnation, bid_of(1, 1, 3, {{first.permit.id, worker}}), start + 2s);
    CHECK(owner.used(worker) == 1);
}

TEST_CASE("a list that was sent before a release does not occupy the slot again") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 1, 1), start);
    const decided_grant issued = *next(owner);
    owner.receive(near, release_of(issued), start + 10ms);
    owner.receive(near, incarnation, bid_of(1, 0, 2, {{issued.permit.id, worker}}), start + 11ms);
    CHECK(owner.used(worker) == 0);
}

TEST_CASE("a new owner learns what is in use before it grants") {
    permit_owner owner(self, incarnation, permit_options{});
    owner.set_owned({worker_with(2)}, start);
    owner.receive(near, incarnation, bid_of(1, 3, 1, {{base::grant_id(77), worker}}), start + 10ms);
    CHECK_FALSE(next(owner, start + 199ms));
    CHECK(next(owner, start + 200ms));
    CHECK_FALSE(next(owner, start + 200ms));
    owner.receive(near, release{base::grant_id(77), text, worker}, start + 300ms);
    CHECK(next(owner, start + 300ms));
}

TEST_CASE("the slots of a lost router are reclaimed and it gets no more") {
    permit_owner owner = owner_with(2);
    owner.receive(near, incarnation, bid_of(1, 9, 1), start);
    CHECK(next(owner));
    CHECK(next(owner));
    owner.lose_member(near, start);
    CHECK(owner.used(worker) == 0);
    CHECK_FALSE(next(owner));
}

TEST_CASE("an upstream that moves to another owner is removed with its grants") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 9, 1), start);
    CHECK(next(owner));
    owner.set_owned({}, start);
    CHECK(owner.outstanding() == 0);
    CHECK_FALSE(next(owner));
}

TEST_CASE("the sides of a partition do not overload an upstream together") {
    permit_owner owner = owner_with(6);
    owner.set_visible_members(3, 9);
    owner.receive(near, incarnation, bid_of(1, 99, 1), start);
    CHECK(next(owner));
    CHECK(next(owner));
    CHECK_FALSE(next(owner));
    // A load report shows no use by the other side, so the limit doubles.
    const auto report = [&](std::uint32_t running, base::time_point at) {
        owner.report_load(worker, upstream_load{running, 0, base::slot_count(6)}, at, at);
    };
    report(2, start + 1s);
    CHECK(next(owner, start + 1s));
    CHECK(next(owner, start + 1s));
    CHECK_FALSE(next(owner, start + 1s));
    // The next report shows work of the other side.
    report(6, start + 2s);
    CHECK_FALSE(next(owner, start + 2s));
    report(4, start + 3s);
    owner.set_visible_members(9, 9);
    CHECK(next(owner, start + 3s));
}

TEST_CASE("a stopped or vetoed upstream gets no grant") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 1, 1), start);
    owner.stop_upstream(worker, true);
    CHECK_FALSE(next(owner));
    owner.stop_upstream(worker, false);
    CHECK_FALSE(owner.next_grant(
        text, no_demand, [](const base::upstream_id&) { return false; }, start));
    CHECK(next(owner));
}

TEST_CASE("a slot that a bidder cannot use goes to others first") {
    permit_owner owner = owner_with(1);
    owner.receive(near, incarnation, bid_of(1, 5, 1), start);
    owner.receive(far, incarnation, bid_of(2, 5, 1), start);
    const decided_grant issued = *next(owner);
    REQUIRE(issued.holder == near);
    owner.receive(near, release{issued.permit.id, text, worker, true}, start);
    CHECK(next(owner)->holder == far);
}

TEST_CASE("an upstream that a bidder cannot use does not keep another one from it until the next bid") {
    permit_owner owner(self, incarnation, permit_options{});
    upstream other = worker_with(1);
    other.id = base::upstream_id("other");
    owner.set_owned({worker_with(1), other}, start, false);
    owner.receive(near, incarnation, bid_of(1, 1, 1), start);
    const decided_grant issued = *next(owner);
    owner.receive(near, release{issued.permit.id, text, issued.permit.upstream, true}, start);
    const std::optional<decided_grant> second = next(owner);
    REQUIRE(second);
    CHECK(second->permit.upstream != issued.permit.upstream);
}

TEST_CASE("grants of owners with similar names and start numbers do not get the same ids") {
    std::set<base::grant_id> ids;
    for (std::uint64_t i = 0; i < 40; ++i) {
        permit_owner owner(base::vm_id("vm" + std::to_string(i % 10)), base::incarnation(i),
                           permit_options{});
        owner.set_owned({worker_with(1)}, start, false);
        owner.receive(near, incarnation, bid_of(1, 1, 1), start);
        ids.insert(next(owner)->permit.id);
    }
    CHECK(ids.size() == 40);
}

TEST_CASE("a bidder reports new work at once and does not repeat unchanged demand") {
    permit_bidder bidder(self, permit_options{});
    bidder.set_owners({{worker, worker_with(1)}}, {{worker, near}});
    demand work = local_work(10);
    work.key_step = base::normalised_cost(100);
    const permit_bidder::demand_lookup current = [&](const base::pool_id&) { return work; };
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start).size() == 1);
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start + 100ms).empty());
    work.keys = {base::normalised_cost(-50)};
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start + 110ms).size() == 1);
    const base::duration interval = permit_options{}.bid_interval;
    CHECK(bidder.collect(current, start + 109ms + interval).empty());
    CHECK(bidder.collect(current, start + 115ms + interval).size() == 1);
    work = demand{};
    bidder.mark_changed(text);
    const std::vector<outgoing> last = bidder.collect(current, start + 200ms + interval);
    REQUIRE(last.size() == 1);
    CHECK(std::get<bid>(last.front().body).waiting == 0);
    CHECK(bidder.collect(current, start + 5s).empty());
}

TEST_CASE("more work and used-up grants are reported at once, so that no slot waits for a repetition") {
    permit_bidder bidder(self, permit_options{});
    bidder.set_owners({{worker, worker_with(1)}}, {{worker, near}});
    demand work = local_work(10);
    work.key_step = base::normalised_cost(100);
    const permit_bidder::demand_lookup current = [&](const base::pool_id&) { return work; };
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start).size() == 1);
    work.waiting = 2;
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start + 1ms).size() == 1);
    work.waiting = 9;
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start + 2ms).size() == 1);
    for (std::uint64_t id = 1; id <= 9; ++id) {
        CHECK(bidder.collect(current, start + 3ms).empty());
        bidder.accept(near, grant{base::grant_id(id), text, worker, std::nullopt});
    }
    CHECK(bidder.collect(current, start + 3ms).size() == 1);
}

TEST_CASE("a repeated grant starts nothing twice") {
    permit_bidder bidder(self, permit_options{});
    bidder.set_owners({{worker, worker_with(1)}}, {{worker, near}});
    const grant issued{base::grant_id(5), text, worker, std::nullopt};
    CHECK(bidder.accept(near, issued) == grant_state::taken);
    CHECK(bidder.accept(near, issued) == grant_state::held);
    CHECK(bidder.end_grant(issued.id, start) == near);
    CHECK(bidder.accept(near, issued) == grant_state::ended);
    CHECK(bidder.end_grant(issued.id, start).value().empty());
}

TEST_CASE("a grant that a former owner repeats does not stay on a list after its end") {
    permit_bidder bidder(self, permit_options{});
    upstream other = worker_with(1);
    other.id = base::upstream_id("other");
    bidder.set_owners({{worker, worker_with(1)}, {other.id, other}}, {{worker, near}, {other.id, far}});
    const grant issued{base::grant_id(5), text, worker, std::nullopt};
    CHECK(bidder.accept(near, issued) == grant_state::taken);
    CHECK(bidder.accept(far, issued) == grant_state::held);
    CHECK(bidder.end_grant(issued.id, start) == near);
    const permit_bidder::demand_lookup current = [](const base::pool_id&) { return local_work(1); };
    for (const outgoing& item : bidder.collect(current, start + 1s)) {
        CHECK(std::get<bid>(item.body).held.empty());
    }
}

TEST_CASE("the number of bids does not grow with the number of owners") {
    permit_bidder bidder(self, permit_options{});
    std::map<base::upstream_id, upstream> upstreams;
    std::map<base::upstream_id, base::vm_id> owners;
    for (int i = 0; i < 70; ++i) {
        upstream item = worker_with(1);
        item.id = base::upstream_id("worker-" + std::to_string(i));
        upstreams[item.id] = item;
        owners[item.id] = base::vm_id("vm-" + std::to_string(i));
    }
    bidder.set_owners(upstreams, owners);
    const permit_bidder::demand_lookup current = [](const base::pool_id&) { return local_work(1); };
    bidder.mark_changed(text);
    CHECK(bidder.collect(current, start).size() == 9);
    // The rotation reaches every owner within a bounded time.
    std::set<base::vm_id> reached;
    for (base::time_point now = start; now < start + 80s; now += 10ms) {
        for (const outgoing& item : bidder.collect(current, now)) {
            reached.insert(item.to);
        }
    }
    CHECK(reached.size() == 70);
}

TEST_CASE("a bidder that ended its last grant sends one more list, in case the release got lost") {
    permit_bidder bidder(self, permit_options{});
    bidder.set_owners({{worker, worker_with(1)}}, {{worker, near}});
    const permit_bidder::demand_lookup current = [](const base::pool_id&) { return demand{}; };
    bidder.accept(near, grant{base::grant_id(5), text, worker, std::nullopt});
    CHECK(bidder.collect(current, start).size() == 1);
    bidder.end_grant(base::grant_id(5), start + 10ms);
    const std::vector<outgoing> lists = bidder.collect(current, start + 2s);
    REQUIRE(lists.size() == 1);
    CHECK(std::get<bid>(lists.front().body).held.empty());
    CHECK(bidder.collect(current, start + 10s).empty());
}

TEST_CASE("keys that change all the time do not exceed the limit of control messages") {
    permit_bidder bidder(self, permit_options{});
    bidder.set_owners({{worker, worker_with(1)}}, {{worker, near}});
    double key = 0;
    const permit_bidder::demand_lookup current = [&](const base::pool_id&) {
        demand work = local_work(key);
        work.waiting = 9;
        work.key_step = base::normalised_cost(1);
        return work;
    };
    std::size_t bids = 0;
    for (base::time_point now = start; now < start + 20s; now += 1ms) {
        key -= 10;
        bidder.mark_changed(text);
        bids += bidder.collect(current, now).size();
    }
    CHECK(bids <= std::size_t{21} * 24);
}
