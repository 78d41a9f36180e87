#pragma once

namespace bluebell::dispatch {

/// Factor by which the bound on accounts that are ahead is raised while engines have room; one from
/// `full_engine_load` on.
///
/// Answers the load of accounts that get little for other reasons than full engines: their callers meet
/// routers at their processor limit, or upstreams crash under their requests. Holding the others back to
/// their level then leaves engines idle and helps nobody. The fuller the engines are, the more does what one
/// account is left out of go to another, so the factor falls with the square of the load. `engine_load` is
/// the mean load of the engines, from zero to one.
[[nodiscard]] double service_bound_relief(double engine_load);

/// Load of the engines from which on the bound holds unchanged.
constexpr double full_engine_load = 0.9;

} // namespace bluebell::dispatch
