#pragma once

#include "base/ring.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "decision/router.h"

#include <cstddef>
#include <functional>
#include <string>

namespace bluebell::decision {

/// What other threads may read without asking the decider.
struct router_view {
    /// Null before the first configuration.
    std::shared_ptr<const fleet_config> config;
    bool ready = false;
    bool drained = false;
    bool draining = false;
};

/// The rings that join the decider with the workers that carry out its decisions.
struct decider_links {
    base::ring<event>& events;
    base::ring<transport_command>& transport;
    base::ring<datagram>& datagrams;
    base::ring<journal_command>& journal;
    base::ring<release_command>& release;
    base::ring<watch_load>& load;
    base::snapshot<router_view>& view;
};

/// The thread that owns every decision of the router. It closes the ring of events when it ends, so that
/// nothing waits for a decider that is gone; after a restart it begins with empty state.
/// Thread safety: `run` on the thread of the worker.
class decider final : public base::worker {
public:
    /// Makes the options of the router, anew for each start, since each needs a life of its own.
    using options_source = std::function<router_options()>;

    /// Pre-condition: what the links refer to and `time` outlive the worker.
    decider(decider_links links, options_source options, const base::clock& time);

    [[nodiscard]] std::string name() const override { return "decider"; }
    void run(base::stop_signal& stop) override;

private:
    void handle_events(router& decisions);
    /// Hands decisions to the workers. A full ring is answered like the failure that it stands for.
    void carry_out(router& decisions);
    void hand_over(router& decisions, transport_command command);
    void publish(const router& decisions);

    decider_links links_;
    options_source options_;
    const base::clock& clock_;
    router_view published_;
};

} // namespace bluebell::decision
