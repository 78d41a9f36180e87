#include "relay/saturation.h"

namespace bluebell::relay {

void saturation::note(bool behind, base::time_point now) {
    if (!behind) {
        behind_since_.reset();
        behind_ = {};
        return;
    }
    if (!behind_since_) {
        behind_since_ = now;
    }
    behind_ = now - *behind_since_;
    if (behind_ > tolerated) {
        avoid_until_ = now + recovery;
    }
}

} // namespace bluebell::relay
