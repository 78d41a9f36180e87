#include "decision/stream.h"

namespace bluebell::decision {

base::attempt_number answer_stream::begin(const base::upstream_id& target) {
    attempt_number_ += base::attempt_number(1);
    running_ = true;
    current_upstream_ = target;
    return attempt_number_;
}

next_step answer_stream::end(const attempt_end& attempt_result, bool repeatable) {
    running_ = false;
    delivered_ += attempt_result.delivered;
    if (attempt_result.status == attempt_status::completed) {
        return {next_step::kind::finish, {outcome::ran, attempt_result.cause}};
    }
    failed_upstreams_.push_back(current_upstream_);
    if (attempt_result.status == attempt_status::not_sent) {
        return retry_or_finish(reached_upstream_ ? outcome::outcome_unknown : outcome::not_run,
                               attempt_result);
    }
    reached_upstream_ = true;
    if (!repeatable || attempt_result.status == attempt_status::cancelled) {
        return {next_step::kind::finish, {outcome::outcome_unknown, attempt_result.cause}};
    }
    return retry_or_finish(outcome::outcome_unknown, attempt_result);
}

next_step answer_stream::retry_or_finish(outcome final_outcome, const attempt_end& attempt_result) const {
    if (attempt_number_.value() >= attempt_limit) {
        return {next_step::kind::finish, {final_outcome, attempt_result.cause}};
    }
    return {next_step::kind::retry, {final_outcome, attempt_result.cause}};
}

} // namespace bluebell::decision
