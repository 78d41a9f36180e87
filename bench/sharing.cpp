#include "bench/fleet.h"
#include "bench/role.h"

namespace bluebell::bench {
namespace {

constexpr std::uint64_t seed = 1;
constexpr base::duration run_time = std::chrono::seconds(8);
constexpr std::size_t workers_per_nine_routers = 20;
/// With this number and requests of 2.5 s, 20 workers behind 9 routers serve 16 requests per second and
/// router.
constexpr int slots = 18;

/// Whole fleets of schedules with all their upstream and usage owners, one pool and 16 accounts, most of them
/// backlogged.
class sharing final : public role {
public:
    [[nodiscard]] std::string name() const override { return "sharing"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {9, 20, 40, 80}; }

    std::vector<figure> measure(std::size_t nodes) override {
        const int workers = static_cast<int>(nodes * workers_per_nine_routers / 9);
        const deployment size{"design", static_cast<int>(nodes), workers, slots,
                              std::chrono::microseconds(1500)};
        std::vector<figure> figures;
        run(
            "mixed load", size, [](int account, double) { return account < 12 ? 1.6 : 0.5; }, figures);
        run(
            "low load", size, [](int, double) { return 0.85; }, figures);
        return figures;
    }

private:
    static void run(const std::string& load, const deployment& size,
                    std::function<double(int, double)> offered, std::vector<figure>& out) {
        const scenario load_scenario{
            load, [](int, double draw, int routers) { return static_cast<int>(draw * routers); },
            std::move(offered)};
        const double before = thread_seconds();
        const figures result = fleet(size, load_scenario, mode::shared, seed).run(run_time);
        const double processor_time = thread_seconds() - before;
        const double time = std::chrono::duration<double>(run_time).count();
        out.push_back({"messages sent, " + load, "1/s per node", result.messages_per_node_second});
        out.push_back({"bytes sent, " + load, "B/s per node", result.bytes_per_node_second});
        out.push_back({"bytes of bids, " + load, "B/s per node", result.bytes_by_type[0]});
        out.push_back(
            {"bytes of usage, " + load, "B/s per node", result.bytes_by_type[3] + result.bytes_by_type[4]});
        // Includes the simulation of callers and upstreams.
        out.push_back(
            {"processor time, " + load, "% of core per node", 100 * processor_time / time / size.routers});
        out.push_back({"busy while work waits, " + load, "%", 100 * result.busy});
        out.push_back({"requests done, " + load, "1/s per node", result.work / time / size.routers});
    }
};

} // namespace

std::unique_ptr<role> make_sharing() {
    return std::make_unique<sharing>();
}

} // namespace bluebell::bench
