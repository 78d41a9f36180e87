#pragma once

#include "base/id.h"
#include "base/log.h"
#include "base/settings.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::root {

/// The settings of `bluebelld`, one field for each key of `option_schema`, which describes the keys and their
/// ranges.
struct options {
    base::vm_id vm;
    base::data_centre_id data_centre;
    std::string region;
    std::string fleet;
    base::address callers;
    base::address admin;
    base::address control;
    base::address store;
    base::duration store_timeout{};
    /// Largest number of requests in progress.
    std::int64_t requests = 0;
    /// Largest request body.
    base::byte_count body;
    /// Largest number of waiting requests of one client account for one pool.
    std::int64_t account_queue = 0;
    /// Largest total size of the bodies of all waiting requests.
    base::byte_count queue_bytes;
    /// Longest time from the arrival of a request to the end of its answer.
    base::duration deadline{};
    base::duration report_interval{};
    base::duration bid_interval{};
    /// Number of upstream owners that the bid of one pool is sent to.
    std::int64_t bid_fanout = 0;
    /// Number of partitions of the idempotency keys; must be the same on every router and must not change.
    std::int64_t partitions = 0;
    /// Shortest interval between two journal writes of one partition.
    base::duration claim_spacing{};
    base::duration claim_retention{};
    base::duration connect_timeout{};
    base::duration first_byte_timeout{};
    base::duration between_bytes_timeout{};
    /// How long a graceful stop waits for waiting requests.
    base::duration drain_limit{};
    /// Time from the signal to stop until the process is killed.
    base::duration stop_grace{};
    base::log_level log = base::log_level::info;
};

/// Returns the schema of the settings file. `docs/settings.md` lists the same keys.
const std::vector<base::setting_spec>& option_schema();

/// Reads and checks a settings file; `file` is its name in error locations. Returns every error found in the
/// values; a file that cannot be parsed gives one error.
tl::expected<options, std::vector<base::error>> read_options(std::istream& in, const std::string& file);

/// Returns the schema as the table in `docs/settings.md`.
std::string describe_options();

} // namespace bluebell::root
