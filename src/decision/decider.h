#pragma once

#include "base/ring.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "decision/router.h"

#include <cstddef>
#include <functional>
#include <string>

namespace bluebell::decision {

/// State of the router that other threads may read without a request to the decider.
struct router_view {
    /// Null before the first configuration.
    std::shared_ptr<const fleet_config> config;
    bool ready = false;
    bool drained = false;
    bool draining = false;
};

/// Rings between the decider and the workers that carry out its decisions, and the published view.
struct decider_links {
    base::ring<event>& events;
    base::ring<transport_command>& transport;
    base::ring<datagram>& datagrams;
    base::ring<journal_command>& journal;
    base::ring<release_command>& release;
    base::ring<watch_load>& load;
    base::snapshot<router_view>& view;
};

/// Worker that makes all decisions of the router. `run` closes the ring of events when it returns, so that no
/// thread waits for a decider that has ended; after a restart it begins with empty state.
/// Thread safety: `run` is called on the thread of the worker.
class decider final : public base::worker {
public:
    /// Returns the options of the router. Called for each start, since each start needs its own incarnation.
    using options_source = std::function<router_options()>;

    /// Pre-condition: the objects to which `links` refers and `time_source` outlive the worker.
    decider(decider_links links, options_source options, const base::clock& time_source);

    [[nodiscard]] std::string name() const override { return "decider"; }
    void run(base::stop_signal& stop) override;

private:
    void handle_events(router& decisions);
    /// Pushes the decisions to the rings of the workers. If the ring for a dispatch or journal command is
    /// full, the router gets the event of a failed command instead.
    void execute_output(router& decisions);
    void send_transport_command(router& decisions, transport_command command);
    void publish(const router& decisions);

    decider_links links_;
    options_source make_options_;
    const base::clock& clock_;
    router_view published_view_;
};

} // namespace bluebell::decision
