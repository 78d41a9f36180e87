#include "decision/queue.h"
#include "tests/property.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t property_seed = 7;
constexpr int property_cases = 100;

const base::time_point start{1h};
const base::pool_id text("text");
const base::upstream_id worker("worker");

waiting_request make_request(std::uint64_t id, const std::string& account,
                             request_class priority = request_class::ordinary) {
    waiting_request result;
    result.attributes.id = base::request_id(base::uint128{0, id});
    result.attributes.account = base::client_account_id(account);
    result.attributes.pool = text;
    result.attributes.priority = priority;
    result.attributes.hint = base::cost(10);
    result.attributes.body_size = base::byte_count(100);
    result.attributes.deadline = start + 1h;
    return result;
}

std::uint64_t pop_id(queue& from) {
    const std::optional<waiting_request> next = from.pop(text, worker);
    return next ? next->attributes.id.value().low : 0;
}

} // namespace

TEST_CASE("a flooding account fills only its own queue") {
    queue_options options;
    options.max_per_account = 2;
    queue waiting(options);
    CHECK(waiting.push(make_request(1, "flood"), base::normalised_cost(0)));
    CHECK(waiting.push(make_request(2, "flood"), base::normalised_cost(0)));
    const base::result<void> refused = waiting.push(make_request(3, "flood"), base::normalised_cost(0));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == base::error_code::queue_full);
    CHECK(refused.error().location == "flood");
    CHECK(waiting.push(make_request(4, "small"), base::normalised_cost(0)));
}

TEST_CASE("large bodies do not exhaust the memory of the router") {
    queue_options options;
    options.max_body_bytes = base::byte_count(250);
    queue waiting(options);
    CHECK(waiting.push(make_request(1, "a"), base::normalised_cost(0)));
    CHECK(waiting.push(make_request(2, "b"), base::normalised_cost(0)));
    CHECK(waiting.push(make_request(3, "c"), base::normalised_cost(0)).error().code ==
          base::error_code::queue_full);
    CHECK(waiting.remove(base::request_id(base::uint128{0, 1})));
    CHECK(waiting.push(make_request(3, "c"), base::normalised_cost(0)));
}

TEST_CASE("a request past its deadline or removed by its caller is not started") {
    queue waiting(queue_options{});
    waiting_request soon = make_request(1, "a");
    soon.attributes.deadline = start + 1s;
    CHECK(waiting.push(soon, base::normalised_cost(0)));
    CHECK(waiting.push(make_request(2, "a"), base::normalised_cost(0)));
    CHECK(waiting.push(make_request(3, "a"), base::normalised_cost(0)));
    CHECK(waiting.expire(start).empty());
    REQUIRE(waiting.expire(start + 1s).size() == 1);
    CHECK(waiting.remove(base::request_id(base::uint128{0, 2})));
    CHECK_FALSE(waiting.remove(base::request_id(base::uint128{0, 2})));
    CHECK(pop_id(waiting) == 3);
    CHECK(pop_id(waiting) == 0);
    CHECK(waiting.body_bytes() == base::byte_count(0));
}

TEST_CASE("urgent work is preferred only by a bounded boost") {
    queue waiting(queue_options{});
    waiting.set_boost(text, base::normalised_cost(50));
    CHECK(waiting.push(make_request(1, "low"), base::normalised_cost(0)));
    CHECK(waiting.push(make_request(2, "near", request_class::urgent), base::normalised_cost(49)));
    CHECK(waiting.push(make_request(3, "far", request_class::urgent), base::normalised_cost(51)));
    CHECK(waiting.push(make_request(4, "late", request_class::patient), base::normalised_cost(-40)));
    CHECK(pop_id(waiting) == 2);
    CHECK(pop_id(waiting) == 1);
    CHECK(pop_id(waiting) == 3);
    CHECK(pop_id(waiting) == 4);
}

TEST_CASE("urgent work of an account does not starve its patient work") {
    queue waiting(queue_options{});
    waiting.set_boost(text, base::normalised_cost(50));
    CHECK(waiting.push(make_request(1, "a", request_class::patient), base::normalised_cost(0)));
    std::uint64_t id = 2;
    int before = 0;
    CHECK(waiting.push(make_request(id, "a", request_class::urgent), base::normalised_cost(0)));
    for (std::uint64_t next = pop_id(waiting); next != 1; next = pop_id(waiting)) {
        REQUIRE(++before <= 11);
        CHECK(waiting.push(make_request(++id, "a", request_class::urgent), base::normalised_cost(0)));
    }
    CHECK(before == 11);
}

TEST_CASE("a retry does not run on an upstream that it must avoid") {
    queue waiting(queue_options{});
    waiting_request retry = make_request(1, "a");
    retry.avoid.push_back(worker);
    CHECK(waiting.push(retry, base::normalised_cost(0)));
    CHECK(waiting.push(make_request(2, "b"), base::normalised_cost(5)));
    CHECK(pop_id(waiting) == 2);
    CHECK(pop_id(waiting) == 0);
    CHECK(waiting.pop(text, base::upstream_id("other")));
}

TEST_CASE("the order and the bounds hold after any sequence of changes") {
    CHECK(tests::holds(
        property_seed,
        [] {
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 1000)));
            queue waiting(queue_options{});
            waiting.set_boost(text, base::normalised_cost(30));
            std::map<std::uint64_t, waiting_request> model;
            std::map<std::string, double> service;
            std::uint64_t id = 0;
            for (const auto& [kind, value] : steps) {
                const std::string account(1, static_cast<char>('a' + value % 5));
                if (kind == 0 || kind == 1) {
                    waiting_request added =
                        make_request(++id, account, static_cast<request_class>(value % 3));
                    model.emplace(id, added);
                    RC_ASSERT(waiting.push(added, base::normalised_cost(service[account])).has_value());
                } else if (kind == 2) {
                    service[account] += value % 17;
                    waiting.set_service({text, base::client_account_id(account)},
                                        base::normalised_cost(service[account]));
                } else if (!model.empty() && value % 2 == 0) {
                    const std::uint64_t removed_id = 1 + static_cast<std::uint64_t>(value) % id;
                    RC_ASSERT(waiting.remove(base::request_id(base::uint128{0, removed_id})).has_value() ==
                              (model.erase(removed_id) == 1));
                } else if (!model.empty()) {
                    std::map<std::string, double> keys;
                    for (const auto& [number, item] : model) {
                        const std::string& name = item.attributes.account.value();
                        const double key =
                            service[name] - 30 * (1 - static_cast<int>(item.attributes.priority));
                        keys[name] = keys.count(name) > 0 ? std::min(keys[name], key) : key;
                    }
                    const std::uint64_t next = pop_id(waiting);
                    RC_ASSERT(model.count(next) == 1U);
                    const double key = keys[model.at(next).attributes.account.value()];
                    for (const auto& [name, other] : keys) {
                        RC_ASSERT(key <= other);
                    }
                    model.erase(next);
                }
                RC_ASSERT(waiting.size() == model.size());
                RC_ASSERT(waiting.waiting_count(text) == model.size());
                RC_ASSERT(waiting.body_bytes().value() == 100 * model.size());
            }
        },
        property_cases));
}
