#include "decision/drain.h"

namespace bluebell::decision {

void drain::begin(base::time_point now) {
    if (state_ == drain_state::serving) {
        state_ = drain_state::draining;
        started_at_ = now;
    }
}

bool drain::tick(std::size_t in_progress, base::time_point now) {
    if (state_ == drain_state::serving || state_ == drain_state::drained) {
        return false;
    }
    if (in_progress == 0 && now - *started_at_ >= settings_.unready_period) {
        state_ = drain_state::drained;
        return false;
    }
    if (state_ == drain_state::draining && now - *started_at_ >= settings_.limit) {
        state_ = drain_state::finishing;
        return true;
    }
    return false;
}

} // namespace bluebell::decision
