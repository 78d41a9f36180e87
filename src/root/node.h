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

/// Everything that the settings file of a node says.
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
    base::duration catalogue_wait{};
    base::duration roster_wait{};
    base::byte_count memory;
    std::int64_t descriptors = 0;
    /// In cores.
    double processor = 1;
    base::duration connect_timeout{};
    base::duration revocation{};
    double retry_ratio = 0;
    double retry_slack = 0;
    base::duration report_interval{};
    base::duration stop_limit{};
    base::duration drain{};
    base::log_level log = base::log_level::info;
};

const std::vector<base::setting_spec>& node_schema();
/// Reads and checks a settings file. Returns all faults at once.
tl::expected<node_options, std::vector<base::error>> read_node_options(std::istream& in,
                                                                       const std::string& file);

/// The outside systems of a node, behind their adapters.
struct node_adapters {
    /// Makes the connection of one worker to the store.
    std::function<std::unique_ptr<store::directory>(const base::clock&)> directory;
    const relay::dialect& speech;
};

/// A router whose configuration and upstreams are kept by the platform: rings, workers and the supervisor
/// tree over them.
/// Thread safety: `start` and `stop` by one thread; the rest by any.
class node final : public process {
public:
    /// Pre-condition: what the adapters refer to outlives the node.
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
    /// Bounds, the report interval and the log level hold at once, everything else from the next start.
    void reload(const settings_file& file, const std::string& text) override;
    std::string dump_text() override;

private:
    void add_store();
    void add_fleet();
    void add_dispatch();
    void add_relay();
    [[nodiscard]] std::unique_ptr<base::supervisor> subtree(const std::string& name) const;
    [[nodiscard]] dispatch::dispatcher_settings dispatcher_options() const;
    base::result<decision::state_report> status();
    std::string metrics_text();

    const node_options settings_;
    /// The settings of the last reload, or those of the start.
    base::snapshot<node_options> in_force_;
    const node_adapters adapters_;
    base::boot_clock clock_;
    base::metrics metrics_;
    fleet::codec codec_;
    fleet::traffic received_;
    fleet::traffic sent_;
    base::snapshot<dispatch::router_state> state_;
    base::ring<dispatch::event> events_;
    base::ring<dispatch::relay_command> commands_;
    base::ring<decision::datagram> datagrams_;
    base::ring<dispatch::follow_order> catalogue_orders_;
    base::ring<dispatch::follow_order> roster_orders_;
    std::atomic<bool> failed_{false};
    base::supervisor root_;
};

} // namespace bluebell::root
