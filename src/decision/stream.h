#pragma once

#include "base/error.h"
#include "decision/event.h"
#include "decision/request.h"

#include <optional>
#include <vector>

namespace bluebell::decision {

/// What follows after an attempt ended.
struct next_step {
    enum class kind {
        finish, ///< answer the caller with `last`
        retry,  ///< queue the request again; the next attempt resumes from the delivered offset
    };
    kind what = kind::finish;
    verdict last;
};

/// Attempts of one request and the part of its answer that the caller already has.
/// Thread safety: used by one thread.
class answer_stream {
public:
    /// Starts the next attempt and returns its number.
    base::attempt_number begin(const base::upstream_id& target);

    /// Number of the attempt that runs now, or of the last one; zero before the first.
    [[nodiscard]] base::attempt_number current() const { return number_; }
    [[nodiscard]] bool running() const { return running_; }
    /// Bytes of the answer that the caller has; the next attempt resumes from there.
    [[nodiscard]] base::byte_count delivered() const { return delivered_; }
    /// Upstreams that failed this request; a retry avoids them.
    [[nodiscard]] const std::vector<base::upstream_id>& failed_on() const { return failed_on_; }

    /// An upstream had the request in some attempt, so it may have run.
    [[nodiscard]] bool reached_upstream() const { return reached_upstream_; }

    /// Whether a report on the attempt `number` is of the one that runs now. Reports of earlier attempts are
    /// ignored, so that late output is never counted for a later attempt.
    [[nodiscard]] bool is_current(base::attempt_number number) const { return running_ && number == number_; }

    /// Takes the end of the running attempt. A non-repeatable request that an upstream had is never run
    /// again. Pre-condition: `running()`.
    [[nodiscard]] next_step end(const attempt_end& how, bool repeatable);

    /// Attempts after which a request is given up even if it may be repeated.
    static constexpr std::uint32_t attempt_limit = 4;

private:
    [[nodiscard]] next_step retry_or(outcome otherwise, const attempt_end& how) const;

    base::attempt_number number_;
    bool running_ = false;
    base::upstream_id target_;
    base::byte_count delivered_;
    std::vector<base::upstream_id> failed_on_;
    bool reached_upstream_ = false;
};

} // namespace bluebell::decision
