#pragma once

#include "base/error.h"
#include "decision/event.h"
#include "decision/request.h"

#include <optional>
#include <vector>

namespace bluebell::decision {

/// Decision on a request after one of its attempts ended.
struct next_step {
    enum class kind {
        finish, ///< end the answer with `final_verdict`
        retry,  ///< queue the request again; the next attempt resumes from the delivered offset
    };
    kind action = kind::finish;
    /// The verdict if the request is not attempted again.
    verdict final_verdict;
};

/// Counts the attempts of one request and the part of its answer that the caller already has.
/// Thread safety: used by one thread.
class answer_stream {
public:
    /// Starts the next attempt and returns its number.
    base::attempt_number begin(const base::upstream_id& target);

    /// Number of the running attempt, or of the last one if none runs; zero before the first.
    [[nodiscard]] base::attempt_number current() const { return attempt_number_; }
    [[nodiscard]] bool running() const { return running_; }
    /// Number of bytes of the answer that the caller has; the next attempt resumes from this offset.
    [[nodiscard]] base::byte_count delivered() const { return delivered_; }
    /// Upstreams on which an attempt failed; a retry avoids them.
    [[nodiscard]] const std::vector<base::upstream_id>& failed_upstreams() const { return failed_upstreams_; }

    /// Returns true if an upstream received the request in some attempt, so that it may have run.
    [[nodiscard]] bool reached_upstream() const { return reached_upstream_; }

    /// Returns true if `number` is the running attempt. Reports of earlier attempts are ignored, so that late
    /// output is never counted for a later attempt.
    [[nodiscard]] bool is_current(base::attempt_number number) const {
        return running_ && number == attempt_number_;
    }

    /// Ends the running attempt. A non-repeatable request that an upstream received is never run again.
    /// Pre-condition: `running()`.
    [[nodiscard]] next_step end(const attempt_end& attempt_result, bool repeatable);

    /// Maximum number of attempts of one request, also if it is repeatable.
    static constexpr std::uint32_t attempt_limit = 4;

private:
    /// Returns a retry, or the end with `final_outcome` if the attempt limit is reached.
    [[nodiscard]] next_step retry_or_finish(outcome final_outcome, const attempt_end& attempt_result) const;

    base::attempt_number attempt_number_;
    bool running_ = false;
    base::upstream_id current_upstream_;
    base::byte_count delivered_;
    std::vector<base::upstream_id> failed_upstreams_;
    bool reached_upstream_ = false;
};

} // namespace bluebell::decision
