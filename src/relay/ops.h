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

struct ops_settings {
    decision::endpoint listen;
    std::string ready_path = "/ready";
};

/// Answers the balancer's question for readiness, and gives operators metrics and the state of the process.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class ops final : public base::worker, private request_handler {
public:
    using text_source = std::function<std::string()>;
    using condition = std::function<bool()>;

    /// A router that is `overloaded` is not ready.
    /// Pre-condition: `state` and `time` outlive the worker; the functions may be called by its thread.
    ops(ops_settings settings, const base::snapshot<dispatch::router_state>& state, condition overloaded,
        text_source metrics, text_source dump, const base::clock& time);
    ops(const ops&) = delete;
    ops& operator=(const ops&) = delete;
    ops(ops&&) = delete;
    ops& operator=(ops&&) = delete;
    ~ops() override;

    [[nodiscard]] std::string name() const override { return "ops"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { poller_.wake(); }

private:
    void on_request(caller& from, http::request_head head, std::string body) override;
    void on_caller_left(caller& /*from*/) override {}
    [[nodiscard]] dispatch::caller_limits limits() const override { return {}; }
    [[nodiscard]] bool closing() const override { return false; }

    const ops_settings settings_;
    const base::snapshot<dispatch::router_state>& state_;
    condition overloaded_;
    text_source metrics_;
    text_source dump_;
    const base::clock& clock_;
    poller poller_;
    timer_queue timers_;
    loop_context loop_;
};

} // namespace bluebell::relay
