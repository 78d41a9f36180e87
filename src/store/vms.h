#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "decision/event.h"
#include "store/store.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace bluebell::store {

/// Polls the VM list of the platform and passes it to the decider as `vms_listed` events. While the list
/// cannot be read, no event is sent and the decider keeps using the last list.
class vms_worker final : public base::worker {
public:
    /// `seed` initialises the random variation of `interval`, which desynchronises the routers.
    /// Pre-condition: `events` outlives the worker.
    vms_worker(std::unique_ptr<vm_list> list, base::ring<decision::event>& events, std::uint64_t seed,
               base::duration interval = std::chrono::seconds(2));

    [[nodiscard]] std::string name() const override { return "vms"; }
    void run(base::stop_signal& stop) override;

private:
    void poll();

    std::unique_ptr<vm_list> list_;
    base::ring<decision::event>& events_;
    std::mt19937_64 random_;
    base::duration interval_;
};

} // namespace bluebell::store
