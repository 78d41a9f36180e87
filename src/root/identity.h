#pragma once

#include "base/settings.h"
#include "base/unit.h"
#include "decision/config.h"

#include <cstdint>

namespace bluebell::root {

/// Returns a 64-bit seed from the random source of the system.
std::uint64_t system_seed();

/// Returns an incarnation for a router that starts: the wall clock in microseconds, so that a restarted
/// process gets a higher one without stored state. Peers correct it if the wall clock was set back.
base::incarnation new_incarnation();

/// Converts an address of the settings file.
decision::endpoint to_endpoint(const base::address& address);

} // namespace bluebell::root
