#pragma once

#include "base/supervisor.h"
#include "base/worker.h"
#include "decision/event.h"
#include "edge/host.h"
#include "edge/operations.h"

#include <string>

namespace bluebell::edge {

struct admin_options {
    decision::endpoint address;
    unsigned threads = 4;
};

std::string to_json(const base::child_report& report);
/// An object with one member per section.
std::string to_json(const decision::state_report& report);

/// HTTP server for operators and for peers that fetch the configuration: `/healthz`, `/readyz`, `/metrics`,
/// `/dump`, `/status`, `/config`, `/config/CHUNK` and `POST /drain`.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class admin final : public base::worker {
public:
    /// Pre-condition: `of` outlives the worker.
    admin(admin_options options, operations& of);

    [[nodiscard]] std::string name() const override { return "admin"; }
    /// Throws if the address cannot be listened on.
    void run(base::stop_signal& stop) override;
    void interrupt() override;

private:
    const admin_options options_;
    operations& operations_;
    host_runner host_;
};

} // namespace bluebell::edge
