#include "root/options.h"

#include "base/ini.h"

#include <sstream>
#include <utility>

namespace bluebell::root {
namespace {

using base::error_code;
using base::setting_spec;
using base::setting_type;

std::vector<setting_spec> make_schema() {
    return {
        base::required_setting("vm", "name", setting_type::text, "name of this VM, unique in the fleet"),
        base::required_setting("vm", "data_centre", setting_type::text, "data centre of this VM"),
        base::text_setting("vm", "region", "default", "region of the data centre"),
        base::required_setting("fleet", "name", setting_type::text,
                               "name of the fleet; control messages of other fleets are dropped"),
        base::required_setting("listen", "callers", setting_type::address,
                               "where callers send requests (TCP)"),
        base::required_setting("listen", "admin", setting_type::address,
                               "health, metrics, dump and drain (TCP)"),
        base::required_setting("listen", "control", setting_type::address, "messages between routers (UDP)"),
        base::required_setting("store", "address", setting_type::address, "the platform's object API"),
        base::ranged_setting("store", "timeout", setting_type::time_span, "2s", "100ms", "30s",
                             "longest wait for one call to the object API"),
        base::ranged_setting("limits", "requests", setting_type::integer, "200", "1", "2000",
                             "requests in progress; each holds one thread"),
        base::ranged_setting("limits", "body", setting_type::bytes, "1MiB", "1KiB", "16MiB",
                             "largest request body"),
        base::ranged_setting("limits", "account_queue", setting_type::integer, "64", "1", "10000",
                             "waiting requests of one client account for one pool"),
        base::ranged_setting("limits", "queue_bytes", setting_type::bytes, "64MiB", "1MiB", "512MiB",
                             "bodies of all waiting requests"),
        base::ranged_setting("limits", "deadline", setting_type::time_span, "2min", "1s", "1h",
                             "longest time from arrival to the end of the answer"),
        base::ranged_setting("schedule", "report_interval", setting_type::time_span, "100ms", "20ms", "2s",
                             "interval of service reports to the homes of client accounts"),
        base::ranged_setting("schedule", "bid_interval", setting_type::time_span, "200ms", "20ms", "2s",
                             "interval at which standing bids are repeated"),
        base::ranged_setting("schedule", "bid_fanout", setting_type::integer, "8", "1", "64",
                             "owners of upstreams that one pool's bid goes to"),
        base::ranged_setting("claims", "partitions", setting_type::integer, "64", "1", "1024",
                             "parts of the key space; must be the same on every router and must not change"),
        base::ranged_setting("claims", "spacing", setting_type::time_span, "20ms", "5ms", "2s",
                             "shortest interval between two journal writes of one partition"),
        base::ranged_setting("claims", "retention", setting_type::time_span, "24h", "1h", "168h",
                             "how long an idempotency key is remembered"),
        base::ranged_setting("upstream", "connect_timeout", setting_type::time_span, "1s", "50ms", "30s",
                             "longest wait for a connection to an upstream"),
        base::ranged_setting("upstream", "first_byte_timeout", setting_type::time_span, "30s", "100ms",
                             "10min", "longest wait for the first byte of an answer"),
        base::ranged_setting("upstream", "between_bytes_timeout", setting_type::time_span, "10s", "100ms",
                             "10min", "longest silence within an answer"),
        base::ranged_setting("drain", "limit", setting_type::time_span, "1min", "1s", "1h",
                             "how long a stop waits for waiting requests"),
        base::ranged_setting("drain", "grace", setting_type::time_span, "24h", "1s", "24h",
                             "time from the signal to stop until the process is killed"),
        base::log_level_setting(),
    };
}

options to_options(const base::settings& values) {
    options result;
    result.vm = base::vm_id(values.text("vm", "name"));
    result.data_centre = base::data_centre_id(values.text("vm", "data_centre"));
    result.region = values.text("vm", "region");
    result.fleet = values.text("fleet", "name");
    result.callers = values.endpoint("listen", "callers");
    result.admin = values.endpoint("listen", "admin");
    result.control = values.endpoint("listen", "control");
    result.store = values.endpoint("store", "address");
    result.store_timeout = values.time("store", "timeout");
    result.requests = values.integer("limits", "requests");
    result.body = values.bytes("limits", "body");
    result.account_queue = values.integer("limits", "account_queue");
    result.queue_bytes = values.bytes("limits", "queue_bytes");
    result.deadline = values.time("limits", "deadline");
    result.report_interval = values.time("schedule", "report_interval");
    result.bid_interval = values.time("schedule", "bid_interval");
    result.bid_fanout = values.integer("schedule", "bid_fanout");
    result.partitions = values.integer("claims", "partitions");
    result.claim_spacing = values.time("claims", "spacing");
    result.claim_retention = values.time("claims", "retention");
    result.connect_timeout = values.time("upstream", "connect_timeout");
    result.first_byte_timeout = values.time("upstream", "first_byte_timeout");
    result.between_bytes_timeout = values.time("upstream", "between_bytes_timeout");
    result.drain_limit = values.time("drain", "limit");
    result.stop_grace = values.time("drain", "grace");
    result.log = base::log_level_of(values.text("log", "level"));
    return result;
}

/// Returns an error for each pair of values that are in range but contradict each other.
std::vector<base::error> find_contradictions(const base::settings& values, const options& parsed) {
    std::vector<base::error> errors;
    if (parsed.first_byte_timeout > parsed.deadline) {
        errors.push_back({error_code::settings_contradiction, values.place("upstream", "first_byte_timeout"),
                          "[upstream] first_byte_timeout exceeds [limits] deadline"});
    }
    if (parsed.body > parsed.queue_bytes) {
        errors.push_back({error_code::settings_contradiction, values.place("limits", "body"),
                          "[limits] body exceeds [limits] queue_bytes"});
    }
    if (parsed.callers.port != 0 && parsed.callers.port == parsed.admin.port &&
        parsed.callers.ip == parsed.admin.ip) {
        errors.push_back({error_code::settings_contradiction, values.place("listen", "admin"),
                          "[listen] admin and callers are the same address"});
    }
    return errors;
}

} // namespace

const std::vector<setting_spec>& option_schema() {
    static const std::vector<setting_spec> schema = make_schema();
    return schema;
}

tl::expected<options, std::vector<base::error>> read_options(std::istream& in, const std::string& file) {
    const base::result<base::ini_file> ini = base::read_ini(in, file);
    if (!ini) {
        return tl::unexpected<std::vector<base::error>>({ini.error()});
    }
    const tl::expected<base::settings, std::vector<base::error>> values =
        base::settings::check(*ini, option_schema());
    if (!values) {
        return tl::unexpected<std::vector<base::error>>(values.error());
    }
    options parsed = to_options(*values);
    std::vector<base::error> contradictions = find_contradictions(*values, parsed);
    if (!contradictions.empty()) {
        return tl::unexpected<std::vector<base::error>>(std::move(contradictions));
    }
    return parsed;
}

std::string describe_options() {
    return base::describe_settings(option_schema());
}

} // namespace bluebell::root
