#include "bench/role.h"
#include "tests/network.h"

#include <algorithm>

namespace bluebell::bench {
namespace {

using namespace std::chrono_literals;
using tests::member_network;

constexpr std::uint64_t seed = 4711;
constexpr base::duration warm_up_time = 30s;
constexpr base::duration measured_time = 30s;
constexpr base::duration convergence_limit = 60s;
constexpr std::size_t pools = 9; // models in steady use at the design size

double seconds(base::duration time) {
    return std::chrono::duration<double>(time).count();
}

void reset(member_network& fleet) {
    for (member_network::node& node : fleet.nodes()) {
        node.sent = {};
    }
}

member_network::traffic mean_traffic(member_network& fleet) {
    member_network::traffic sum;
    for (const member_network::node& node : fleet.nodes()) {
        sum.messages += node.sent.messages;
        sum.bytes += node.sent.bytes;
    }
    return {sum.messages / fleet.nodes().size(), sum.bytes / fleet.nodes().size()};
}

bool all_in_force(member_network& fleet, base::revision revision) {
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(),
                       [&](const auto& node) { return node.table->in_force() == revision; });
}

bool all_known_in_force(member_network& fleet, base::revision revision) {
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto& node) {
        const std::vector<decision::member_info> all = node.table->members();
        return std::all_of(all.begin(), all.end(),
                           [&](const auto& info) { return info.in_force == revision; });
    });
}

class membership final : public role {
public:
    [[nodiscard]] std::string name() const override { return "membership"; }

    std::vector<figure> measure(std::size_t nodes) override {
        member_network fleet(nodes, seed);
        fleet.use_codec(true);
        for (std::size_t i = 0; i < pools; ++i) {
            fleet.virtual_times().push_back(
                {base::pool_id("model-" + std::to_string(i)), base::normalised_cost(1e9)});
        }
        fleet.start_all();
        std::vector<figure> figures;
        figures.push_back({"join of the whole fleet", "s",
                           seconds(fleet.run_until(convergence_limit, [&] { return fleet.agreed(); }))});
        figures.push_back({"bytes until all have joined", "KB per node",
                           static_cast<double>(mean_traffic(fleet).bytes) / 1000});
        fleet.run(warm_up_time);
        measure_steady(fleet, figures);
        measure_revision(fleet, figures);
        measure_loss_of_node(fleet, figures);
        measure_memory(fleet, figures);
        return figures;
    }

private:
    static void measure_steady(member_network& fleet, std::vector<figure>& figures) {
        reset(fleet);
        const double before = thread_seconds();
        fleet.run(measured_time);
        const double processor_time = thread_seconds() - before;
        const member_network::traffic sent = mean_traffic(fleet);
        const double time = seconds(measured_time);
        figures.push_back({"messages sent", "1/s per node", static_cast<double>(sent.messages) / time});
        figures.push_back({"bytes sent", "B/s per node", static_cast<double>(sent.bytes) / time});
        // Includes the simulated network, which costs about as much as the membership tables.
        figures.push_back({"processor time", "% of core per node",
                           100 * processor_time / time / static_cast<double>(fleet.nodes().size())});
    }

    static void measure_revision(member_network& fleet, std::vector<figure>& figures) {
        const base::revision revision(2);
        reset(fleet);
        const base::time_point start = fleet.now();
        fleet.at(0).table->put_in_force(revision, start);
        fleet.flush(0);
        const auto elapsed = [&] { return seconds(fleet.now() - start); };
        fleet.run_until(convergence_limit, [&] { return all_in_force(fleet, revision); });
        figures.push_back({"revision in force on all", "s", elapsed()});
        fleet.run_until(convergence_limit, [&] { return all_known_in_force(fleet, revision); });
        figures.push_back({"revision of all known to all", "s", elapsed()});
        fleet.run(std::max(base::duration::zero(), 10s - (fleet.now() - start)));
        figures.push_back({"bytes in 10 s after a revision", "B/s per node",
                           static_cast<double>(mean_traffic(fleet).bytes) / elapsed()});
    }

    static void measure_loss_of_node(member_network& fleet, std::vector<figure>& figures) {
        const auto agreed = [&] { return fleet.agreed(); };
        fleet.kill(1);
        figures.push_back(
            {"lost node known to all", "s", seconds(fleet.run_until(convergence_limit, agreed))});
        fleet.start(1);
        figures.push_back(
            {"restarted node known to all", "s", seconds(fleet.run_until(convergence_limit, agreed))});
    }

    static void measure_memory(member_network& fleet, std::vector<figure>& figures) {
        const double before = allocated_bytes();
        const auto nodes = static_cast<double>(fleet.nodes().size());
        for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
            fleet.kill(i);
        }
        figures.push_back(
            {"memory of the table", "KB per node", (before - allocated_bytes()) / nodes / 1000});
    }
};

} // namespace

std::unique_ptr<role> make_membership() {
    return std::make_unique<membership>();
}

} // namespace bluebell::bench
