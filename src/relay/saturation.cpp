#include "relay/saturation.h"

namespace bluebell::relay {

void saturation::update(bool behind, base::time_point now) {
    if (!behind) {
        behind_since_.reset();
        lag_ = {};
        return;
    }
    if (!behind_since_) {
        behind_since_ = now;
    }
    lag_ = now - *behind_since_;
    if (lag_ > max_lag) {
        overloaded_until_ = now + recovery_time;
    }
}

} // namespace bluebell::relay
