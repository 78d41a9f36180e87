#include "bench/fleet.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace bluebell;
using bench::mode;

constexpr char usage[] = R"(Measures fair sharing and permits against baselines, from a fixed seed.

Usage:
  measure [--csv] [--seconds N] [--seed N] [--only NAME]
  measure --cost

Options:
  --csv        Write CSV instead of a table.
  --seconds N  Simulated time of each run [default: 90].
  --seed N     Seed of arrivals, costs, hints and message delays [default: 1].
  --only NAME  Run one scenario.
  --cost       Measure the processor time of one router at design size instead.
)";

/// Every account except the last four offers more than its fair share.
double mixed(int account, double) {
    return account < 12 ? 1.6 : 0.5;
}

int anywhere(int, double draw, int routers) {
    return static_cast<int>(draw * routers);
}

std::vector<bench::scenario> scenarios() {
    std::vector<bench::scenario> all;
    all.push_back({"even", anywhere, mixed});
    all.push_back({"uniform", anywhere, mixed, -1, false, false, true});
    all.push_back({"low-load", anywhere, [](int, double) { return 0.85; }});
    all.push_back({"one-router", [](int, double, int) { return 0; }, mixed});
    // All requests of an account arrive at one router, which a few accounts share.
    all.push_back(
        {"by-account", [](int account, double, int routers) { return account % 4 % routers; }, mixed});
    all.push_back({"uneven", anywhere, [](int account, double time) {
                       const bool on = static_cast<int>(time / 5) % 4 != account % 4;
                       return account < 4 ? 1.2 : on ? 2.0 : 0.0;
                   }});
    all.push_back({"flood",
                   [](int account, double draw, int routers) {
                       return account == 5 ? 0 : anywhere(account, draw, routers);
                   },
                   [](int account, double) { return account == 5  ? 60.0
                                                    : account < 4 ? 1.3
                                                                  : 0.9; }});
    all.push_back({"false-hints", anywhere, mixed, 6});
    all.push_back({"router-loss", anywhere, mixed, -1, true});
    all.push_back({"service", anywhere, mixed, -1, false, true});
    return all;
}

const char* name_of(mode dispatch_mode) {
    return dispatch_mode == mode::shared    ? "shared"
           : dispatch_mode == mode::central ? "central"
                                            : "independent";
}

constexpr const char* columns[] = {"gap",   "gap_x", "busy%",   "busy_x", "urg50", "urg95",
                                   "ord50", "ord95", "pat50",   "pat95",  "B/n/s", "msg/n/s",
                                   "bid",   "grant", "release", "usage",  "total", "work"};

void print(bool csv, const std::string& deployment, const std::string& scenario, mode dispatch_mode,
           const bench::figures& result, const bench::figures& central) {
    std::vector<double> values{result.gap, result.gap / central.gap, 100 * result.busy,
                               result.busy / central.busy};
    for (const auto& of_class : result.wait_ms) {
        values.insert(values.end(), of_class.begin(), of_class.end());
    }
    values.push_back(result.bytes_per_node_second);
    values.push_back(result.messages_per_node_second);
    values.insert(values.end(), result.bytes_by_type.begin(), result.bytes_by_type.end());
    values.push_back(result.work);
    std::printf(csv ? "%s,%s,%s" : "%-12s %-11s %-11s", deployment.c_str(), scenario.c_str(),
                name_of(dispatch_mode));
    for (std::size_t i = 0; i < values.size(); ++i) {
        const int digits = i == 1 || i == 3 ? 3 : i == 2 ? 2 : 0;
        std::printf(csv ? ",%.*f" : " %7.*f", digits, values[i]);
    }
    std::puts("");
}

void print_title(bool csv) {
    std::printf(csv ? "%s,%s,%s" : "%-12s %-11s %-11s", "deployment", "scenario", "mode");
    for (const char* column : columns) {
        std::printf(csv ? ",%s" : " %7s", column);
    }
    std::puts("");
}

struct closed_gate final : decision::start_gate {
    [[nodiscard]] bool can_start(const base::upstream_id&) const override { return false; }
};

/// Measures one of 350 routers in front of 730 workers of 9 pools. The waiting requests of the `backlogged`
/// accounts are spread over the pools.
void print_cost(int configured, int backlogged) {
    constexpr int routers = 350;
    constexpr int workers = 730;
    constexpr int pools = 9;
    constexpr int ticks = 2000;
    const std::shared_ptr<decision::fleet_config> config = std::make_shared<decision::fleet_config>();
    const auto pool_name = [](int i) { return base::pool_id("model-" + std::to_string(i % pools)); };
    for (int i = 0; i < pools; ++i) {
        config->pools[pool_name(i)] =
            decision::pool{pool_name(i), decision::pool_kind::model, base::cost(300)};
    }
    for (int i = 0; i < configured; ++i) {
        const base::client_account_id id("account-" + std::to_string(i));
        config->accounts[id] = decision::client_account{id, base::weight(1)};
    }
    for (int i = 0; i < workers; ++i) {
        decision::upstream item;
        item.id = base::upstream_id("worker-" + std::to_string(i));
        item.pool = pool_name(i);
        item.slots = base::slot_count(8);
        config->upstreams[item.id] = item;
    }
    decision::schedule_members members;
    members.listed_count = routers;
    for (int i = 0; i < routers; ++i) {
        members.live.push_back(base::vm_id("entry-" + std::to_string(i)));
    }
    base::manual_clock clock;
    const closed_gate gate;
    decision::schedule schedule(members.live.front(), base::incarnation(1), decision::schedule_options{},
                                gate);
    schedule.set_members(members, clock.now());
    const base::steady_clock wall_clock;
    const base::time_point before = wall_clock.now();
    schedule.configure(config, clock.now());
    const double configure_ms = std::chrono::duration<double, std::milli>(wall_clock.now() - before).count();
    for (int i = 0; i < backlogged * 4; ++i) {
        decision::request request;
        request.id = base::request_id(base::uint128{0, static_cast<std::uint64_t>(i)});
        request.account = base::client_account_id("account-" + std::to_string(i % backlogged));
        request.pool = pool_name(i % backlogged);
        request.deadline = clock.now() + std::chrono::hours(1);
        static_cast<void>(schedule.enqueue(request, clock.now()));
    }
    std::size_t messages = 0;
    double bytes = 0;
    const base::time_point first = wall_clock.now();
    for (int i = 0; i < ticks; ++i) {
        clock.advance(decision::schedule::tick_interval);
        schedule.tick(clock.now());
        for (const decision::outgoing& item : schedule.take_output().messages) {
            ++messages;
            bytes +=
                static_cast<double>(bench::estimated_bytes(item.body, decision::schedule::max_header_pools));
        }
    }
    const double tick_us =
        std::chrono::duration<double, std::micro>(wall_clock.now() - first).count() / ticks;
    const double seconds = std::chrono::duration<double>(ticks * decision::schedule::tick_interval).count();
    std::printf(
        "accounts %6d  backlogged %5d  configure %6.1f ms  tick %7.1f us  core %5.2f %%  %5.0f msg/s  "
        "%6.0f B/s\n",
        configured, backlogged, configure_ms, tick_us, tick_us / 100, static_cast<double>(messages) / seconds,
        bytes / seconds);
}

} // namespace

int main(int argc, char** argv) {
    const std::map<std::string, docopt::value> options =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, "");
    if (options.at("--cost").asBool()) {
        for (const int configured : {2400, 24000}) {
            for (const int backlogged : {7, 70, 700}) {
                print_cost(configured, backlogged);
            }
        }
        return 0;
    }
    const bool csv = options.at("--csv").asBool();
    const base::duration length = std::chrono::seconds(options.at("--seconds").asLong());
    const std::uint64_t seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    const std::vector<bench::deployment> deployments{
        {"oslo", 9, 20, 4, std::chrono::microseconds(1500)},
        {"mekong-south", 9, 20, 4, std::chrono::microseconds(500)},
    };
    print_title(csv);
    for (const bench::deployment& deployment : deployments) {
        for (const bench::scenario& scenario : scenarios()) {
            if (options.at("--only") && options.at("--only").asString() != scenario.name) {
                continue;
            }
            bench::figures central;
            for (const mode dispatch_mode : {mode::central, mode::shared, mode::independent}) {
                const bench::figures result =
                    bench::fleet(deployment, scenario, dispatch_mode, seed).run(length);
                central = dispatch_mode == mode::central ? result : central;
                print(csv, deployment.name, scenario.name, dispatch_mode, result, central);
            }
        }
    }
    return 0;
}
