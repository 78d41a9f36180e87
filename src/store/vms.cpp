#include "store/vms.h"

#include "base/log.h"

#include <utility>

namespace bluebell::store {
namespace {

constexpr base::duration push_timeout = std::chrono::seconds(1);
constexpr double jitter = 0.2; // +-20%, so that 350 routers do not poll at the same time

} // namespace

vms_worker::vms_worker(std::unique_ptr<vm_list> list, base::ring<decision::event>& events, std::uint64_t seed,
                       base::duration interval)
    : list_(std::move(list)), events_(events), random_(seed), interval_(interval) {}

void vms_worker::run(base::stop_signal& stop) {
    std::uniform_real_distribution<double> factor(1 - jitter, 1 + jitter);
    do {
        poll();
    } while (!stop.wait_for(std::chrono::duration_cast<base::duration>(interval_ * factor(random_))));
}

void vms_worker::poll() {
    base::result<std::vector<decision::vm_entry>> vms = list_->read();
    if (!vms) {
        base::log_event(base::log_level::warning, "vms", "list_failed",
                        {{"code", to_string(vms.error().code)}, {"cause", vms.error().text}});
        return;
    }
    if (events_.push(decision::vms_listed{std::move(*vms)}, push_timeout) == base::push_result::full) {
        base::log_event(base::log_level::warning, "vms", "event_dropped");
    }
}

} // namespace bluebell::store
