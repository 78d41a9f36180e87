#pragma once

#include "base/settings.h"
#include "base/unit.h"
#include "decision/config.h"

#include <cstdint>

namespace bluebell::root {

/// Seed from the system's source of randomness.
std::uint64_t system_seed();

/// Start number of a router: wall clock in microseconds, so that a restarted process has a higher one without
/// any memory. Peers correct it if the wall clock was set back.
base::incarnation new_life();

decision::endpoint to_endpoint(const base::address& from);

} // namespace bluebell::root
