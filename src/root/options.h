#pragma once

#include "base/id.h"
#include "base/log.h"
#include "base/settings.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::root {

/// Everything that the settings file of `bluebelld` says.
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
    std::int64_t requests = 0;
    base::byte_count body;
    std::int64_t account_queue = 0;
    base::byte_count queue_bytes;
    base::duration deadline{};
    base::duration report_interval{};
    base::duration bid_interval{};
    std::int64_t bid_fanout = 0;
    std::int64_t partitions = 0;
    base::duration claim_spacing{};
    base::duration claim_retention{};
    base::duration connect_timeout{};
    base::duration first_byte_timeout{};
    base::duration between_bytes_timeout{};
    base::duration drain_limit{};
    base::log_level log = base::log_level::info;
};

/// The schema of the settings file; `docs/settings.md` lists the same keys.
const std::vector<base::setting_spec>& option_schema();

/// Reads and checks a settings file. Returns all faults at once.
tl::expected<options, std::vector<base::error>> read_options(std::istream& in, const std::string& file);

/// The schema as the table in `docs/settings.md`.
std::string describe_options();

} // namespace bluebell::root
