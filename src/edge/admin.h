#pragma once

#include "base/supervisor.h"
#include "base/worker.h"
#include "decision/event.h"
#include "edge/host.h"
#include "edge/operations.h"

#include <string>

namespace bluebell::edge {

/// Options of `admin`.
struct admin_options {
    decision::endpoint address;
    /// Requests in progress at the same time; each holds one thread.
    unsigned threads = 4;
};

/// Returns a supervisor and its children as a JSON object with `name`, `state`, `restarts` and `children`.
std::string to_json(const base::child_report& report);
/// Returns a JSON object with one member for each section.
std::string to_json(const decision::state_report& report);

/// HTTP server for operators and for peers that fetch the configuration: `/healthz`, `/readyz`, `/metrics`,
/// `/dump`, `/status`, `/config`, `/config/CHUNK` and `POST /drain`.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class admin final : public base::worker {
public:
    /// Pre-condition: `of` outlives the worker.
    admin(admin_options options, operations& router_operations);

    [[nodiscard]] std::string name() const override { return "admin"; }
    /// Throws `std::exception` if the address cannot be listened on.
    void run(base::stop_signal& stop) override;
    void interrupt() override;

private:
    const admin_options options_;
    operations& operations_;
    host_runner host_;
};

} // namespace bluebell::edge
