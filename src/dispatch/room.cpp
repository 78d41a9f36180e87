#include "dispatch/room.h"

#include <algorithm>

namespace bluebell::dispatch {
namespace {

/// Largest factor. The bound leaves accounts that are ahead 1/0.7 of what the worst served one gets, which
/// may become 1/0.56: an account has to get half of what the best served one gets, however much room there
/// is.
constexpr double max_relief = 1.25;
/// Keeps the quotient finite.
constexpr double min_load = 0.1;

} // namespace

double service_bound_relief(double engine_load) {
    const double ratio = full_engine_load / std::clamp(engine_load, min_load, full_engine_load);
    return std::min(ratio * ratio, max_relief);
}

} // namespace bluebell::dispatch
