#pragma once

#include "base/ring.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "dispatch/dispatcher.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bluebell::dispatch {

/// State of the router that other threads read without a request to the dispatcher.
struct router_state {
    /// Null before the first configuration.
    catalogue_ptr catalogue;
    bool ready = false;
    bool draining = false;
    bool drained = false;
    /// Shares of the requests to engines that the relay admits; null if it admits all.
    admission_table_ptr admission;
    /// Shares of the requests that may leave the data centre, for metrics; null if there are none.
    crossing_shares_ptr crossing;
    /// Until when callers may take the rest of their answers; empty unless the router was asked to stop.
    std::optional<base::time_point> deliver_until;
};

/// The rings that join the dispatcher with the workers that carry out its decisions.
struct dispatch_links {
    base::ring<event>& events;
    base::ring<relay_command>& relay;
    base::ring<decision::datagram>& datagrams;
    base::ring<follow_order>& catalogue_orders;
    base::ring<follow_order>& roster_orders;
    base::ring<stream_order>& stream_orders;
    base::snapshot<router_state>& state;
    /// Null if no worker follows the evacuations.
    base::ring<follow_order>* evacuation_orders = nullptr;
};

/// The thread that owns the decisions on requests. After a restart it begins with empty state.
/// Thread safety: `run` on the thread of the worker.
class dispatch_worker final : public base::worker {
public:
    /// Returns the settings of a new dispatcher; called at each start of the worker.
    using settings_source = std::function<dispatcher_settings()>;

    /// Pre-condition: what the links refer to and `time` outlive the worker.
    dispatch_worker(dispatch_links links, settings_source settings, const base::clock& time);

    [[nodiscard]] std::string name() const override { return "dispatcher"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { links_.events.close(); }

private:
    void send_output(dispatcher& decisions);
    void publish_state(const dispatcher& decisions, base::time_point now);

    dispatch_links links_;
    settings_source settings_;
    const base::clock& clock_;
    router_state published_;
};

} // namespace bluebell::dispatch
