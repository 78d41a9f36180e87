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

/// A request whose answer is to be ended.
struct finished_request {
    std::shared_ptr<exchange> caller_exchange;
    verdict last;
};

struct lifecycle_output {
    std::vector<transport_command> transport;
    std::vector<finished_request> finished;
    /// Claims, settlements and crash reports.
    std::vector<outgoing> messages;
    /// Crashes seen here, to be told to peers.
    std::vector<crash_report> crashes;
};

/// Carries each request of this router from arrival to its verdict: claim, queue, dispatch, retry, end.
/// Every request that `arrive` took is finished exactly once.
/// Thread safety: used by one thread.
class lifecycle {
public:
    /// Pre-condition: the references outlive the lifecycle.
    lifecycle(schedule& schedule, claim_client& claims, crash_table& crashes, retry_budget& budget);

    void configure(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }

    void arrive(const request_arrived& what, base::time_point now);
    void refuse(const request_arrived& what, base::error cause);
    void caller_gone(const base::request_id& id, base::time_point now);
    void progress(const attempt_progress& what, base::time_point now);
    void ended(const attempt_ended& what, base::time_point now);

    void apply(client_actions actions, base::time_point now);
    void apply(schedule_output& output, base::time_point now);

    /// Refuses everything that is not dispatched; for the drain limit.
    void refuse_waiting(base::error_code code, base::time_point now);

    [[nodiscard]] lifecycle_output take();
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    [[nodiscard]] std::size_t running() const { return running_; }

private:
    enum class phase { claiming, queued, running };
    struct entry {
        request what;
        std::shared_ptr<exchange> with;
        phase at = phase::queued;
        answer_stream stream;
        base::upstream_id target;
        bool caller_left = false;
    };
    using entry_map = std::unordered_map<base::request_id, entry>;

    void enqueue(entry& waiting, base::time_point now);
    void start(const started_request& started, base::time_point now);
    void cancel_attempt(const entry& running);
    /// Ends a request whose last attempt has ended.
    void finish(entry_map::iterator it, verdict last, base::time_point now);
    /// Ends a request that is not dispatched and never will be.
    void finish_not_run(entry_map::iterator it, base::error cause, base::time_point now);
    [[nodiscard]] bool has_untried_upstream(const entry& failed) const;
    void report_crash(const entry& broken, base::time_point now);

    schedule& schedule_;
    claim_client& claims_;
    crash_table& crashes_;
    retry_budget& budget_;
    std::shared_ptr<const fleet_config> config_;
    entry_map requests_;
    std::size_t running_ = 0;
    lifecycle_output output_;
};

} // namespace bluebell::decision
