#pragma once

#include "base/log.h"
#include "base/metrics.h"
#include "base/ring.h"
#include "base/settings.h"
#include "base/snapshot.h"
#include "base/supervisor.h"
#include "dispatch/worker.h"
#include "fleet/codec.h"
#include "fleet/traffic.h"
#include "relay/dialect.h"
#include "relay/relay.h"
#include "root/process.h"
#include "store/directory.h"

#include <atomic>
#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <vector>

namespace bluebell::root {

/// The settings of a node, one field for each key of `node_schema`, which describes the keys and their
/// ranges.
struct node_options {
    base::vm_id vm;
    base::data_centre_id data_centre;
    std::string fleet;
    decision::endpoint callers;
    decision::endpoint ops;
    std::string ready_path;
    decision::endpoint control;
    decision::endpoint store;
    base::duration store_timeout{};
    /// Longest time that a call to the store waits for a change of the catalogue.
    base::duration catalogue_wait{};
    /// Longest time that a call to the store waits for a change of the roster.
    base::duration roster_wait{};
    /// Memory of the process.
    base::byte_count memory;
    /// File descriptors of the process.
    std::int64_t descriptors = 0;
    /// Processor time of the VM in cores.
    double processor = 1;
    base::duration connect_timeout{};
    /// Longest time for which a revoked key is still accepted.
    base::duration revocation{};
    /// Retries of the fleet for each request of a pool within ten seconds.
    double retry_ratio = 0;
    /// Retries of the fleet that a pool may have beyond `retry_ratio`.
    double retry_slack = 0;
    base::duration report_interval{};
    /// Time after the start during which the list of routers still grows.
    base::duration peers_wait{};
    /// Time from the signal to stop until the process is killed.
    base::duration stop_limit{};
    /// Longest time for which a departing upstream still gets new work.
    base::duration drain{};
    /// Longest time until an evacuation of a data centre is in force; zero if there are no evacuations.
    base::duration evacuation{};
    /// Requests that a cold upstream may get in a second, as a multiple of its rate, and besides.
    double warmup_overshoot = 1;
    double warmup_slack = 0;
    /// Price of a gigabyte between data centres, and worth of an hour of a caller's waiting, in one currency.
    double crossing_price_per_gb = 0.02;
    double crossing_waiting_price = 4;
    base::log_level log = base::log_level::info;
};

/// Returns the schema of the settings file. `docs/settings.md` lists the same keys.
const std::vector<base::setting_spec>& node_schema();
/// Reads and checks a settings file; `file` is its name in error locations. Returns every error found in the
/// values; a file that cannot be parsed gives one error.
tl::expected<node_options, std::vector<base::error>> read_node_options(std::istream& in,
                                                                       const std::string& file);

/// Adapters for the systems outside a node: the platform's store, and the HTTP dialect of callers and
/// upstreams.
struct node_adapters {
    /// Creates the store connection of one worker.
    std::function<std::unique_ptr<store::directory>(const base::clock&)> directory;
    const relay::dialect& dialect;
};

/// A router whose configuration and upstreams the platform manages: the rings, the workers and the supervisor
/// tree that runs them.
/// Thread safety: `start` and `stop` are called by one thread, the other functions by any.
class node final : public process {
public:
    /// Builds the tree without starting it. Pre-condition: the objects that the adapters refer to outlive the
    /// node.
    node(node_options settings, node_adapters adapters);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node() override;

    void start() override;
    void stop() override;
    void drain() override;
    [[nodiscard]] bool drained() const override;
    [[nodiscard]] bool failed() const override { return failed_; }
    /// Applies bounds, the report interval and the log level at once; other settings take effect at the next
    /// start.
    void reload(const settings_file& file, const std::string& text) override;
    std::string dump_text() override;

private:
    void add_store();
    void add_fleet();
    void add_dispatch();
    void add_relay();
    [[nodiscard]] std::unique_ptr<base::supervisor> make_subtree(const std::string& name) const;
    [[nodiscard]] dispatch::dispatcher_settings dispatcher_options() const;
    base::result<decision::state_report> status();
    std::string metrics_text();

    const node_options settings_;
    /// The options of the last reload, or those of the start.
    base::snapshot<node_options> reloaded_options_;
    const node_adapters adapters_;
    base::boot_clock clock_;
    /// Unix time at the zero of `clock_`. It is read once, so that a jump of the wall clock has no effect.
    const base::duration unix_time_at_zero_ =
        std::chrono::system_clock::now().time_since_epoch() - clock_.now().time_since_epoch();
    base::metrics metrics_;
    fleet::codec codec_;
    fleet::traffic received_traffic_;
    fleet::traffic sent_traffic_;
    base::snapshot<dispatch::router_state> state_;
    base::ring<dispatch::event> events_;
    base::ring<dispatch::relay_command> commands_;
    base::ring<decision::datagram> datagrams_;
    base::ring<dispatch::follow_order> catalogue_orders_;
    base::ring<dispatch::follow_order> roster_orders_;
    base::ring<dispatch::follow_order> evacuation_orders_;
    base::ring<dispatch::stream_order> stream_orders_;
    std::atomic<bool> failed_{false};
    base::supervisor root_;
};

} // namespace bluebell::root
