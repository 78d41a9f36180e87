#include "decision/drain.h"

#include <algorithm>

namespace bluebell::decision {
namespace {

/// Open requests are answered this part of the grace before its end, and at most `max_answer_margin` before.
/// An answer that is cut before the last sixth of the grace counts as lost.
constexpr int answer_margin_divisor = 8;
constexpr base::duration max_answer_margin = std::chrono::seconds(1);
/// Waiting requests are refused after this part of the time until open requests are answered, if that is
/// before the limit: those that start last need the rest.
constexpr int waiting_divisor = 2;
/// Part of the margin in which claims are settled; in the other part the process ends.
constexpr int settle_divisor = 2;

} // namespace

base::duration answer_margin(base::duration grace) {
    return std::min(max_answer_margin, grace / answer_margin_divisor);
}

void drain::begin(base::time_point now) {
    if (state_ == drain_state::serving) {
        state_ = drain_state::draining;
        started_at_ = now;
    }
}

base::time_point drain::answer_at() const {
    return *started_at_ + settings_.grace - answer_margin(settings_.grace);
}

bool drain::tick(std::size_t in_progress, base::time_point now) {
    if (state_ == drain_state::serving || state_ == drain_state::drained) {
        return false;
    }
    const base::time_point settled_at = answer_at() + answer_margin(settings_.grace) / settle_divisor;
    const bool noticed = now - *started_at_ >= settings_.unready_period || state_ == drain_state::answered;
    if ((in_progress == 0 && noticed) || (state_ == drain_state::answered && now >= settled_at)) {
        state_ = drain_state::drained;
        return false;
    }
    const base::duration waiting_limit =
        std::min(settings_.limit, (answer_at() - *started_at_) / waiting_divisor);
    if (state_ == drain_state::draining && now - *started_at_ >= waiting_limit) {
        state_ = drain_state::finishing;
        return true;
    }
    return false;
}

bool drain::answers_due(base::time_point now) {
    const bool open = state_ == drain_state::draining || state_ == drain_state::finishing;
    if (!open || now < answer_at()) {
        return false;
    }
    state_ = drain_state::answered;
    return true;
}

} // namespace bluebell::decision
