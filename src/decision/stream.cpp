#include "decision/stream.h"

namespace bluebell::decision {

base::attempt_number answer_stream::begin(const base::upstream_id& target) {
    number_ += base::attempt_number(1);
    running_ = true;
    target_ = target;
    return number_;
}

next_step answer_stream::end(const attempt_end& how, bool repeatable) {
    running_ = false;
    delivered_ += how.delivered;
    if (how.status == attempt_status::completed) {
        return {next_step::kind::finish, {outcome::ran, how.cause}};
    }
    failed_on_.push_back(target_);
    if (how.status == attempt_status::not_sent) {
        return retry_or(reached_upstream_ ? outcome::outcome_unknown : outcome::not_run, how);
    }
    reached_upstream_ = true;
    if (!repeatable || how.status == attempt_status::cancelled) {
        return {next_step::kind::finish, {outcome::outcome_unknown, how.cause}};
    }
    return retry_or(outcome::outcome_unknown, how);
}

next_step answer_stream::retry_or(outcome otherwise, const attempt_end& how) const {
    if (number_.value() >= attempt_limit) {
        return {next_step::kind::finish, {otherwise, how.cause}};
    }
    return {next_step::kind::retry, {otherwise, how.cause}};
}

} // namespace bluebell::decision
