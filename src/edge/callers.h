#pragma once

#include "base/metrics.h"
#include "base/ring.h"
#include "base/worker.h"
#include "decision/event.h"
#include "edge/admission.h"
#include "edge/bodies.h"
#include "edge/directory.h"
#include "edge/host.h"
#include "edge/source.h"

#include <atomic>
#include <memory>
#include <string>

namespace bluebell::edge {

/// Options of `callers`.
struct callers_options {
    decision::endpoint address;
    /// Requests that may wait or run at the same time; each holds one thread. Further ones are refused at
    /// once, and those of an account that holds most of them before.
    unsigned admission_limit = 256;
    base::byte_count body_limit{1024UL * 1024UL};
    /// Bytes of all bodies that are still arriving. A body beyond it is dropped and its request refused.
    base::byte_count unfinished_limit{64UL * 1024UL * 1024UL};
    /// Maximum size of an answer that is not streamed. The ring to the thread of a request holds 8 MB.
    base::byte_count answer_limit{8UL * 1024UL * 1024UL};
    base::duration request_deadline = std::chrono::seconds(600);
    /// Time after the deadline for which a request still waits for the decider.
    base::duration grace = std::chrono::seconds(2);
    /// Longest pause within the bytes of a request.
    base::duration read_timeout = std::chrono::seconds(20);
    /// Longest time that one write to a caller may block.
    base::duration write_timeout = std::chrono::seconds(10);
    /// Time for which a stop waits for requests in progress.
    base::duration stop_limit = std::chrono::seconds(30);
};

/// State shared by the threads of requests. The referenced objects outlive the worker.
struct callers_context {
    const callers_options& options;
    const directory& config;
    id_source& ids;
    base::ring<decision::event>& events;
    const base::clock& clock;
    base::metrics& metrics;
    admission& room;
    body_account& unfinished_bodies;
    /// Time from which requests in progress are given up; `time_point::max()` unless the worker is stopping.
    std::atomic<base::time_point>& give_up_time;
};

/// HTTP front end for callers. Sends a `request_arrived` to the decider for each request and writes the
/// answer to the caller as it arrives. A caller is answered at the latest `grace` after its deadline,
/// whatever the decider does.
///
/// A closed ring of events means that the decider is gone: requests in progress then end with `not_run` if
/// they were never sent, and otherwise with `outcome_unknown`. `interrupt` lets requests in progress finish
/// for `stop_limit` and refuses new ones. Thread safety: `run` on the thread of the worker; `interrupt` from
/// any thread.
class callers final : public base::worker {
public:
    /// Pre-condition: the references outlive the worker.
    callers(callers_options options, const directory& config, id_source& ids,
            base::ring<decision::event>& events, const base::clock& clock, base::metrics& metrics);

    [[nodiscard]] std::string name() const override { return "callers"; }
    /// Throws `std::exception` if the address cannot be listened on.
    void run(base::stop_signal& stop) override;
    void interrupt() override;

private:
    const callers_options options_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    admission room_;
    body_account unfinished_bodies_;
    std::atomic<base::time_point> give_up_time_{base::time_point::max()};
    const callers_context context_;
    host_runner host_;
};

} // namespace bluebell::edge
