#pragma once

#include "base/metrics.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "dispatch/worker.h"
#include "relay/caller.h"
#include "relay/poller.h"
#include "relay/server.h"

#include <functional>
#include <memory>
#include <string>

namespace bluebell::relay {

/// Settings of the operations server.
struct ops_settings {
    decision::endpoint listen_address;
    /// Path of the readiness check.
    std::string ready_path = "/ready";
};

/// HTTP server for operations: readiness check of the load balancer, metrics, dump of the process state.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class ops final : public base::worker, private request_handler {
public:
    using text_source = std::function<std::string()>;
    using predicate = std::function<bool()>;

    /// The readiness check fails while `overloaded` returns true. `metrics` and `dump` return the bodies for
    /// `/metrics` (Prometheus text) and `/dump` (JSON).
    /// Pre-condition: `state` and `clock` outlive the worker; the functions may be called by its thread.
    ops(ops_settings settings, const base::snapshot<dispatch::router_state>& state, predicate overloaded,
        text_source metrics, text_source dump, const base::clock& clock);
    ops(const ops&) = delete;
    ops& operator=(const ops&) = delete;
    ops(ops&&) = delete;
    ops& operator=(ops&&) = delete;
    ~ops() override;

    [[nodiscard]] std::string name() const override { return "ops"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { poller_.wake(); }

private:
    void on_request(caller& connection, http::request_head head, std::string body) override;
    void on_caller_left(caller& /*connection*/) override {}
    [[nodiscard]] dispatch::caller_limits limits() const override;
    [[nodiscard]] bool closes_after_request() const override { return false; }

    const ops_settings settings_;
    const base::snapshot<dispatch::router_state>& state_;
    predicate overloaded_;
    text_source metrics_;
    text_source dump_;
    const base::clock& clock_;
    poller poller_;
    timer_queue timers_;
    /// Not the account of the data path, which another thread uses: this server has few connections, and its
    /// requests have no bodies.
    memory_account memory_;
    read_pacer pacing_;
    caller_context loop_;
};

} // namespace bluebell::relay
