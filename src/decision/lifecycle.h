#pragma once

#include "decision/claim.h"
#include "decision/command.h"
#include "decision/retry.h"
#include "decision/schedule.h"
#include "decision/stream.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bluebell::decision {

/// A request whose answer is complete; the caller is to get the final verdict.
struct finished_request {
    std::shared_ptr<exchange> caller_exchange;
    verdict final_verdict;
};

/// Decisions since the previous call of `lifecycle::take`.
struct lifecycle_output {
    std::vector<transport_command> transport;
    std::vector<finished_request> finished;
    /// Claims, settlements and crash reports.
    std::vector<outgoing> messages;
    /// Crashes detected by this router, to be reported to its peers.
    std::vector<crash_report> crashes;
};

/// Drives each request of this router from arrival to its verdict: claim, queue, dispatch, retry, end.
/// Every request passed to `arrive` or `refuse` is finished exactly once.
/// Thread safety: used by one thread.
class lifecycle {
public:
    /// Pre-condition: the references outlive the lifecycle.
    lifecycle(schedule& schedule, claim_client& claims, crash_table& crashes, retry_budget& budget);

    /// Sets the configuration in force. Must be called before the first `arrive`.
    void configure(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }

    /// Accepts a request: claims its key if it is not repeatable, otherwise queues it. Refuses a request
    /// whose id is in use or whose key is missing.
    void arrive(const request_arrived& arrival, base::time_point now);
    /// Finishes a request that was not accepted as `not_run`.
    void refuse(const request_arrived& arrival, base::error cause);
    /// Cancels the request of a caller that closed its connection. A non-repeatable request that runs is not
    /// cancelled, so that its outcome is recorded. Unknown ids are ignored.
    void handle_caller_gone(const base::request_id& id, base::time_point now);
    /// Charges the cost of the running attempt so far. Reports of other attempts are ignored.
    void record_progress(const attempt_progress& progress, base::time_point now);
    /// Retries or finishes the request of an attempt that ended. Reports of other attempts are ignored.
    void end_attempt(const attempt_ended& ending, base::time_point now);

    /// Carries out the results of the claim client.
    void apply(client_actions actions, base::time_point now);
    /// Starts, refuses and forwards what the schedule decided.
    void apply(schedule_output& output, base::time_point now);

    /// Refuses every request that is not dispatched, with `code`, and from now on every one that would have
    /// to wait again. Used when the drain limit has passed.
    void refuse_waiting(base::error_code code, base::time_point now);
    /// Ends every request with `code`: `outcome_unknown` if an upstream may have run it, otherwise `not_run`.
    /// Used when the process is about to end.
    void answer_open(base::error_code code, base::time_point now);

    /// Returns and clears the decisions made since the previous call.
    [[nodiscard]] lifecycle_output take();
    /// Number of unfinished requests, running or waiting.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    /// Number of requests with an attempt in progress.
    [[nodiscard]] std::size_t running() const { return running_count_; }

private:
    enum class phase { claiming, queued, running };
    struct entry {
        request attributes;
        std::shared_ptr<exchange> caller_exchange;
        phase current_phase = phase::queued;
        answer_stream stream;
        base::upstream_id target;
        bool caller_disconnected = false;
    };
    using entry_map = std::unordered_map<base::request_id, entry>;

    void enqueue(entry& tracked, base::time_point now);
    void start(const started_request& started, base::time_point now);
    void cancel_attempt(const entry& tracked);
    /// Finishes a request whose last attempt has ended.
    void finish(entry_map::iterator it, verdict final_verdict, base::time_point now);
    /// Finishes a request that is not dispatched now and will not be dispatched again.
    void finish_not_run(entry_map::iterator it, base::error cause, base::time_point now);
    /// Returns true if the pool has an upstream on which the request has not failed. Without one, a retry
    /// would wait in the queue until its deadline.
    [[nodiscard]] bool has_untried_upstream(const entry& tracked) const;
    void report_crash(const entry& tracked, base::time_point now);

    schedule& schedule_;
    claim_client& claim_client_;
    crash_table& crash_table_;
    retry_budget& retry_budget_;
    std::shared_ptr<const fleet_config> config_;
    entry_map requests_;
    std::size_t running_count_ = 0;
    /// Why requests may not wait any more; empty before the drain limit.
    std::optional<base::error_code> refusal_;
    lifecycle_output output_;
};

} // namespace bluebell::decision
