#pragma once

#include "base/metrics.h"
#include "base/ring.h"
#include "base/worker.h"
#include "decision/event.h"
#include "edge/directory.h"
#include "edge/host.h"
#include "edge/source.h"

#include <atomic>
#include <memory>
#include <string>

namespace bluebell::edge {

struct callers_options {
    decision::endpoint address;
    /// Requests that wait or run at the same time; each holds a thread. Further ones are refused at once.
    unsigned admission_limit = 256;
    base::byte_count body_limit{1024UL * 1024UL};
    /// Longest answer that is passed on as a whole. The ring to the thread of a request holds 8 MB.
    base::byte_count answer_limit{8UL * 1024UL * 1024UL};
    base::duration request_deadline = std::chrono::seconds(600);
    /// How much longer than the deadline a caller waits for the decider.
    base::duration grace = std::chrono::seconds(2);
    base::duration read_timeout = std::chrono::seconds(20);
    base::duration write_timeout = std::chrono::seconds(10);
    /// How long a stop waits for requests in progress.
    base::duration stop_limit = std::chrono::seconds(30);
};

/// What the threads of requests share. The references outlive the worker.
struct callers_context {
    const callers_options& options;
    const directory& config;
    id_source& ids;
    base::ring<decision::event>& events;
    const base::clock& time;
    base::metrics& metrics;
    std::atomic<unsigned>& in_progress;
    /// Time from which requests in progress are given up; the maximum while none are.
    std::atomic<base::time_point>& give_up_at;
};

/// HTTP front end for callers. Turns each request into a `request_arrived` and writes the answer as it
/// arrives. A caller is answered by its deadline plus a grace time at the latest, whatever the decider does.
///
/// A closed ring of events means that the decider is gone: requests in progress then end with the outcome
/// that is known. `interrupt` lets requests in progress finish for `stop_limit` and refuses new ones. Thread
/// safety: `run` on the thread of the worker; `interrupt` and `in_progress` from any thread.
class callers final : public base::worker {
public:
    /// Pre-condition: the references outlive the worker.
    callers(callers_options options, const directory& config, id_source& ids,
            base::ring<decision::event>& events, const base::clock& time, base::metrics& metrics);

    [[nodiscard]] std::string name() const override { return "callers"; }
    /// Throws if the address cannot be listened on.
    void run(base::stop_signal& stop) override;
    void interrupt() override;

    [[nodiscard]] unsigned in_progress() const { return in_progress_; }

private:
    const callers_options options_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    std::atomic<unsigned> in_progress_{0};
    std::atomic<base::time_point> give_up_at_{base::time_point::max()};
    const callers_context context_;
    host_runner host_;
};

} // namespace bluebell::edge
