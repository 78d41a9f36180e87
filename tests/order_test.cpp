#include "decision/order.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::hours(1)};
const base::upstream_id checking("checking");
const base::upstream_id ignoring("ignoring");
const engine_state wanted{engine_role("decode"), {artefact_id("model-7")}};

order_book make_book() {
    order_book book(order_settings{});
    std::vector<upstream> upstreams(2);
    upstreams[0].id = checking;
    upstreams[1].id = ignoring;
    upstreams[1].checks_fence = false;
    book.configure(upstreams);
    book.set_desired(checking, wanted);
    book.set_desired(ignoring, wanted);
    return book;
}

lease_hold hold_at(base::time_point acquired, std::uint64_t generation = 1) {
    return {base::pool_id("p"), base::epoch(generation), acquired, acquired + 5s};
}

} // namespace

TEST_CASE("no order is sent without a lease, after its end or under a refused fencing token") {
    order_book book = make_book();
    CHECK(book.take_due(std::nullopt, start).empty());
    CHECK(book.take_due(hold_at(start), start + 5s).empty());
    const std::vector<order> orders = book.take_due(hold_at(start), start);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fence == base::epoch(1));
    CHECK(may_send(orders[0], start + 4999ms));
    CHECK_FALSE(may_send(orders[0], start + 5s));
    book.on_fence_refused(base::epoch(2));
    CHECK(book.take_due(hold_at(start, 2), start + 2s).empty());
    CHECK(book.take_due(hold_at(start, 3), start + 2s).size() == 1);
}

TEST_CASE("an upstream that does not check fencing tokens gets its first order after the quiet period") {
    order_book book = make_book();
    lease_hold hold = hold_at(start);
    hold.act_before = start + 60s;
    REQUIRE(book.take_due(hold, start).size() == 1);
    CHECK(book.take_due(hold, start + 5999ms).size() == 1); // the repeat to the checking upstream
    const std::vector<order> late = book.take_due(hold, start + 6s);
    REQUIRE(late.size() == 1);
    CHECK(late[0].upstream == ignoring);
}

TEST_CASE("an order is repeated until the load report shows its effect, and at once under a new epoch") {
    order_book book = make_book();
    lease_hold hold = hold_at(start);
    hold.act_before = start + 60s;
    REQUIRE(book.take_due(hold, start).size() == 1);
    CHECK(book.take_due(hold, start + 1999ms).empty());
    CHECK(book.take_due(hold, start + 2s).size() == 1);
    hold.generation = base::epoch(2);
    CHECK(book.take_due(hold, start + 2100ms).size() == 1);
    book.on_load_report(checking, wanted);
    CHECK(book.take_due(hold, start + 5s).empty());
    CHECK(book.pending_count() == 1);
    book.on_load_report(checking, engine_state{});
    CHECK(book.take_due(hold, start + 5s).size() == 1);
}
