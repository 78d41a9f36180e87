#include "upstream/load.h"
#include "base/supervisor.h"
#include "bench/role.h"
#include "standin/echo.h"

#include <stdexcept>
#include <sys/resource.h>
#include <thread>

namespace bluebell::bench {
namespace {

using namespace std::chrono_literals;

constexpr base::duration settle_time = 1s;
constexpr base::duration measured_time = 2s;
constexpr std::size_t event_capacity = 16384;
constexpr unsigned service_threads = 64;

double process_seconds() {
    rusage processor_time{};
    getrusage(RUSAGE_SELF, &processor_time);
    return static_cast<double>(processor_time.ru_utime.tv_sec + processor_time.ru_stime.tv_sec) +
           static_cast<double>(processor_time.ru_utime.tv_usec + processor_time.ru_stime.tv_usec) / 1e6;
}

std::size_t drain_events(base::ring<decision::event>& events) {
    std::size_t count = 0;
    while (events.pop(base::duration::zero())) {
        ++count;
    }
    return count;
}

/// The poller of load reports, in real time over loopback. One stand-in answers for all upstreams.
class load_polls final : public role {
public:
    [[nodiscard]] std::string name() const override { return "load"; }
    [[nodiscard]] std::string size_name() const override { return "upstreams"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {23, 180, 730}; }

    std::vector<figure> measure(std::size_t size) override {
        standin::service_options options;
        options.slots = service_threads;
        standin::service service(options);
        service.start();
        decision::watch_load order;
        for (std::size_t i = 0; i < size; ++i) {
            decision::upstream item;
            item.id = base::upstream_id("worker-" + std::to_string(i));
            item.address = service.address();
            order.upstreams.push_back(item);
        }
        base::steady_clock time;
        base::ring<decision::watch_load> orders(1);
        base::ring<decision::event> events(event_capacity);
        base::supervisor tree("bench", base::restart_strategy::one_for_one, {}, time);
        tree.add(
            std::make_unique<upstream::load_poller>(orders, events, time, upstream::load_poller_options{}));
        tree.start([](const base::error&) {});
        orders.try_push(std::move(order));
        std::this_thread::sleep_for(settle_time);
        drain_events(events);
        const double before = process_seconds();
        std::this_thread::sleep_for(measured_time);
        const double processor_time = process_seconds() - before;
        const std::size_t reports = drain_events(events);
        tree.stop();
        const double seconds = std::chrono::duration<double>(measured_time).count();
        return {{"reports", "1/s per node", static_cast<double>(reports) / seconds},
                {"processor time with upstreams", "% of core", 100 * processor_time / seconds}};
    }
};

} // namespace

std::unique_ptr<role> make_load() {
    return std::make_unique<load_polls>();
}

} // namespace bluebell::bench
