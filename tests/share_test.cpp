#include "decision/share.h"
#include "tests/property.h"

#include <catch2/catch.hpp>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t property_seed = 7;
constexpr int property_cases = 60;

const base::time_point start{1h};
const share_key key{base::pool_id("text"), base::client_account_id("small")};
const base::vm_id owner_vm("vm-home");

std::shared_ptr<fleet_config> config_with(double weight) {
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
    config->pools[key.pool] = pool{key.pool, pool_kind::model, base::cost(100)};
    config->accounts[key.account] = client_account{key.account, base::weight(weight)};
    return config;
}

message_header make_header(const std::string& sender, std::uint64_t incarnation, std::uint64_t sequence) {
    message_header header;
    header.sender = base::vm_id(sender);
    header.incarnation = base::incarnation(incarnation);
    header.sequence = sequence;
    return header;
}

usage report(double own, double known, double part, bool backlogged = true) {
    return usage{{usage_entry{key.pool, key.account, base::normalised_cost(own), base::normalised_cost(known),
                              base::normalised_cost(part), backlogged}}};
}

base::normalised_cost zero_time(const base::pool_id&) {
    return base::normalised_cost();
}

double total(const usage_owner& owner) {
    return owner.total(key)->value();
}

} // namespace

TEST_CASE("an account that was idle earns no credit") {
    service_tracker local(share_options{});
    local.configure(config_with(1));
    local.advance_virtual_time(key.pool, base::normalised_cost(500));
    local.set_backlogged(key, true);
    CHECK(local.normalised_service(key).value() == 500);

    usage_owner totals(share_options{});
    totals.receive(make_header("a", 1, 1), report(10, 0, 0), zero_time, start);
    totals.receive(make_header("a", 1, 2), report(10, 0, 0, false), zero_time, start);
    const auto time = [](const base::pool_id&) { return base::normalised_cost(500); };
    totals.receive(make_header("a", 1, 3), report(10, 10, 10), time, start);
    CHECK(total(totals) == 500);
}

TEST_CASE("an account that waits at another router is not raised again") {
    usage_owner totals(share_options{});
    const auto time = [](const base::pool_id&) { return base::normalised_cost(500); };
    totals.receive(make_header("a", 1, 1), report(10, 0, 0), zero_time, start);
    totals.receive(make_header("b", 1, 1), report(5, 0, 0), time, start);
    CHECK(total(totals) == 15);
    totals.lose_member(base::vm_id("a"));
    totals.receive(make_header("b", 1, 2), report(5, 0, 0, false), time, start);
    totals.receive(make_header("b", 1, 3), report(5, 0, 0), time, start);
    CHECK(total(totals) == 500);
}

TEST_CASE("a router that starts with requests waiting raises them when it learns the virtual time") {
    service_tracker local(share_options{});
    local.configure(config_with(1));
    local.set_backlogged(key, true);
    CHECK(local.normalised_service(key).value() == 0);
    CHECK(local.advance_virtual_time(key.pool, base::normalised_cost(300)));
    CHECK(local.normalised_service(key).value() == 300);
    CHECK_FALSE(local.advance_virtual_time(key.pool, base::normalised_cost(400)));
    CHECK(local.normalised_service(key).value() == 300);
}

TEST_CASE("false hints stop paying off after the first requests") {
    service_tracker local(share_options{});
    local.configure(config_with(2));
    charge running = local.charge_start(key, base::cost(1));
    CHECK(running.charged.value() == 1);
    CHECK(local.charge_progress(running, base::cost(40)));
    CHECK(local.normalised_service(key).value() == 20);
    local.charge_end(running, base::cost(200));
    CHECK(local.normalised_service(key).value() == 100);
    CHECK(local.expected_cost(key, base::cost(1)).value() == Approx(200));
    // A request that cost less than it was charged is credited with the difference.
    charge cheap = local.charge_start(key, base::cost(1));
    local.charge_end(cheap, base::cost(100));
    CHECK(local.normalised_service(key).value() == Approx(150));
}

TEST_CASE("a change of weight does not rescale the past of an account") {
    service_tracker local(share_options{});
    local.configure(config_with(1));
    charge running = local.charge_start(key, base::cost(100));
    local.configure(config_with(4));
    local.charge_end(running, base::cost(200));
    CHECK(local.normalised_service(key).value() == 200);
    charge next = local.charge_start(key, base::cost(100));
    CHECK(local.normalised_service(key).value() == Approx(200 + next.charged.value() / 4));
}

TEST_CASE("a restarted router neither loses nor doubles reported service") {
    usage_owner totals(share_options{});
    totals.receive(make_header("a", 1, 1), report(100, 0, 0), zero_time, start);
    totals.receive(make_header("a", 2, 1), report(30, 0, 0), zero_time, start);
    CHECK(total(totals) == 130);
    totals.receive(make_header("a", 1, 9), report(500, 0, 0), zero_time, start);
    CHECK(total(totals) == 130);
}

TEST_CASE("a new usage owner starts from the totals that routers know and adds only service not contained in "
          "them") {
    usage_owner totals(share_options{});
    totals.receive(make_header("a", 1, 1), report(120, 1000, 100), zero_time, start);
    CHECK(total(totals) == 1020);
    totals.receive(make_header("b", 1, 1), report(65, 1000, 60), zero_time, start);
    CHECK(total(totals) == 1025);
    // After the learning time, the total that a router knows no longer changes the total of the owner.
    totals.receive(make_header("c", 1, 1), report(0, 9000, 0), zero_time, start + 1min);
    CHECK(total(totals) == 1025);
}

TEST_CASE("lost, repeated and reordered reports and answers leave no difference at the end") {
    CHECK(tests::holds(
        property_seed,
        [] {
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
            usage_owner totals(share_options{});
            service_tracker local(share_options{});
            local.configure(config_with(1));
            local.set_backlogged(key, true);
            base::time_point now = start;
            std::uint64_t sequence = 0;
            std::vector<std::pair<message_header, usage>> sent;
            double spent = 0;
            const auto exchange = [&](bool lose) {
                now += 2s;
                for (const outgoing& item : local.collect([](const share_key&) { return owner_vm; }, now)) {
                    sent.emplace_back(make_header("a", 1, ++sequence), std::get<usage>(item.body));
                    if (!lose) {
                        totals.receive(sent.back().first, sent.back().second, zero_time, now);
                    }
                }
                for (const outgoing& item : totals.collect(now)) {
                    for (const usage_total_entry& entry : std::get<usage_total>(item.body).entries) {
                        if (!lose) {
                            local.merge(entry, make_header("vm-home", 1, ++sequence));
                        }
                    }
                }
            };
            for (const int step : steps) {
                charge running = local.charge_start(key, base::cost(10));
                local.charge_end(running, base::cost(step));
                spent += step;
                exchange(step % 3 == 0);
                if (!sent.empty() && step % 2 == 0) {
                    const auto& old = sent[static_cast<std::size_t>(step) % sent.size()];
                    totals.receive(old.first, old.second, zero_time, now);
                }
            }
            exchange(false);
            exchange(false);
            RC_ASSERT(std::abs(total(totals) - spent) < 1e-6);
            RC_ASSERT(std::abs(local.normalised_service(key).value() - spent) < 1e-6);
            RC_ASSERT(local.collect([](const share_key&) { return owner_vm; }, now + 2s).empty());
        },
        property_cases));
}

TEST_CASE("reports to usage owners that do not answer stay within the rate limit") {
    std::shared_ptr<fleet_config> config = config_with(1);
    service_tracker local(share_options{});
    local.configure(config);
    for (int i = 0; i < 500; ++i) {
        local.set_backlogged({key.pool, base::client_account_id("account-" + std::to_string(i))}, true);
    }
    std::set<base::vm_id> contacted;
    std::size_t messages = 0;
    const auto home_of = [](const share_key& owner) { return base::vm_id("home-" + owner.account.value()); };
    for (base::time_point now = start; now < start + 40s; now += 10ms) {
        for (const outgoing& item : local.collect(home_of, now)) {
            contacted.insert(item.to);
            ++messages;
        }
    }
    CHECK(messages <= std::size_t{41} * 16);
    CHECK(contacted.size() == 500);
}
