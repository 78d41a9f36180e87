#pragma once

#include "base/metrics.h"
#include "base/ring.h"
#include "base/snapshot.h"
#include "base/supervisor.h"
#include "decision/decider.h"
#include "edge/directory.h"
#include "edge/operations.h"
#include "edge/source.h"
#include "fleet/codec.h"
#include "fleet/traffic.h"
#include "root/options.h"
#include "root/process.h"

#include <atomic>
#include <memory>
#include <string>

namespace bluebell::root {

/// A complete `bluebelld` router: the rings, the workers and the supervisor tree that runs them. The tree has
/// the branches store, fleet, decision, upstream and edge, started in this order.
/// Thread safety: `start`, `stop` and `drain` are called by one thread; the `directory` and `operations`
/// interfaces by any.
class daemon final : public process, private edge::directory, private edge::operations {
public:
    /// Builds the tree without starting it.
    explicit daemon(options settings);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;
    ~daemon() override;

    void start() override;
    /// Stops the branches in reverse order. Requests in progress end first, within the stop limit of the
    /// edge.
    void stop() override;
    /// Starts a graceful stop and returns at once.
    void drain() override;
    [[nodiscard]] bool drained() const override;
    /// Returns true once the root supervisor has given up because its children kept failing.
    [[nodiscard]] bool failed() const override { return failed_; }

    [[nodiscard]] const options& settings() const { return settings_; }
    /// Checks `text` and logs the result. No setting of this program changes before the next start.
    void reload(const settings_file& file, const std::string& text) override;
    /// Returns the supervisor tree and the state of the router as JSON.
    std::string dump_text() override;

private:
    [[nodiscard]] std::shared_ptr<const decision::fleet_config> lookup() const override;
    [[nodiscard]] base::result<void> readiness() const override;
    [[nodiscard]] base::child_report tree() const override { return root_.report(); }
    base::result<decision::state_report> dump() override;
    base::result<decision::state_report> status() override;
    std::string metrics() override;
    base::result<std::string> config(const std::string& chunk) override;

    void add_store();
    void add_fleet();
    void add_decision();
    void add_upstream();
    void add_edge();
    [[nodiscard]] std::unique_ptr<base::supervisor> make_subtree(const std::string& name) const;
    [[nodiscard]] decision::router_options router_settings() const;
    [[nodiscard]] decision::state_section ring_section() const;
    void set_gauges(const decision::state_report& report);

    options settings_;
    base::steady_clock clock_;
    base::metrics metrics_;
    fleet::codec codec_;
    fleet::traffic received_traffic_;
    fleet::traffic sent_traffic_;
    edge::random_source request_ids_;
    base::snapshot<decision::router_view> view_;
    base::ring<decision::event> events_;
    base::ring<decision::transport_command> transport_commands_;
    base::ring<decision::datagram> datagrams_;
    base::ring<decision::journal_command> journal_commands_;
    base::ring<decision::release_command> release_commands_;
    base::ring<decision::watch_load> load_commands_;
    std::atomic<bool> failed_{false};
    base::supervisor root_;
};

} // namespace bluebell::root
