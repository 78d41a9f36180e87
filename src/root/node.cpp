#include "root/node.h"

#include "base/ini.h"
#include "edge/admin.h"
#include "fleet/receiver.h"
#include "fleet/sender.h"
#include "relay/ops.h"
#include "root/identity.h"
#include "store/follower.h"
#include "store/recorder.h"

#include <chrono>
#include <optional>
#include <sstream>
#include <tuple>
#include <utility>

namespace bluebell::root {
namespace {

using base::ranged_setting;
using base::required_setting;
using base::setting_type;

constexpr std::size_t event_capacity = 4096;
constexpr std::size_t command_capacity = 4096;
constexpr std::size_t datagram_capacity = 1024;
constexpr std::size_t order_capacity = 64;
constexpr base::duration report_timeout = std::chrono::seconds(1);
constexpr base::restart_limit subtree_limit{5, std::chrono::seconds(10)};
constexpr base::restart_limit root_limit{5, std::chrono::minutes(1)};
/// Largest age of a confirmation of the configuration, as a fraction of the revocation bound. The rest covers
/// the way of a request to its upstream.
constexpr double freshness_share = 0.7;
/// Largest age of a delegate's view, as a fraction of the drain bound, before the routers of its data centre
/// read the store themselves. A view ages by up to two waiting calls of the delegate, plus the round trip of
/// a report.
constexpr double delegate_share = 0.75;
/// Longest wait of a delegate's calls for a change, as a fraction of the drain bound.
constexpr double delegate_wait_share = 0.25;
/// Longest wait of a call for a change of the evacuations. They are rare, and a silent connection is noticed
/// by itself, so that the calls need not be short.
constexpr base::duration evacuation_wait = std::chrono::seconds(10);
/// Descriptors kept for the store, logs, datagrams and connections to upstreams; the rest is for callers.
constexpr std::int64_t reserved_descriptors = 1200;
/// The bodies of requests in progress may take up to the process memory divided by this number.
constexpr std::uint64_t body_memory_divisor = 6;

std::vector<base::setting_spec> make_schema() {
    return {
        required_setting("vm", "name", setting_type::text, "name of this VM, unique in the fleet"),
        required_setting("vm", "data_centre", setting_type::text, "data centre of this VM"),
        base::text_setting("fleet", "name", "bluebelldale",
                           "name of the fleet; control messages of other fleets are dropped"),
        required_setting("listen", "callers", setting_type::address, "where callers send requests (TCP)"),
        required_setting("listen", "ops", setting_type::address, "readiness, metrics and dump (TCP)"),
        base::text_setting("listen", "ready_path", "/ready", "path of the balancer's question for readiness"),
        required_setting("listen", "control", setting_type::address, "messages between routers (UDP)"),
        required_setting("store", "address", setting_type::address, "the platform's store"),
        ranged_setting("store", "timeout", setting_type::time_span, "1200ms", "100ms", "30s",
                       "longest wait for one call to the store, beyond the time that it waits for a change"),
        ranged_setting("store", "configuration_wait", setting_type::time_span, "1500ms", "100ms", "10s",
                       "how long a call waits for a change of the configuration; bounds the view's age"),
        ranged_setting("store", "upstreams_wait", setting_type::time_span, "3s", "100ms", "10s",
                       "how long a call waits for a change of the upstreams"),
        ranged_setting("limits", "memory", setting_type::bytes, "256MiB", "32MiB", "65536MiB",
                       "memory of the process"),
        ranged_setting("limits", "descriptors", setting_type::integer, "4096", "1500", "1000000",
                       "file descriptors of the process"),
        ranged_setting(
            "limits", "processor", setting_type::decimal, "1", "0.001", "1024",
            "processor time of the VM in cores; routers with more of it speak for a data centre first"),
        ranged_setting("upstream", "connect_timeout", setting_type::time_span, "500ms", "20ms", "10s",
                       "longest wait for a connection to an upstream"),
        ranged_setting("bounds", "revocation", setting_type::time_span, "5s", "500ms", "1h",
                       "a key that was taken away is not accepted any more after this time"),
        ranged_setting("bounds", "retry_ratio", setting_type::decimal, "0.1", "0", "10",
                       "retries of the fleet for each request of a pool within ten seconds"),
        ranged_setting("bounds", "retry_slack", setting_type::decimal, "10", "0", "100000",
                       "retries of the fleet that a pool may have besides"),
        ranged_setting("bounds", "drain", setting_type::time_span, "2s", "500ms", "1h",
                       "an upstream that leaves gets no new work after this time"),
        ranged_setting("bounds", "stop", setting_type::time_span, "8s", "500ms", "1h",
                       "time from the signal to stop until the process is killed"),
        ranged_setting(
            "bounds", "evacuation", setting_type::time_span, "0ms", "0ms", "1h",
            "a data centre that operators evacuate gets no new work after this time; 0ms if there are "
            "no evacuations"),
        ranged_setting("bounds", "warmup_overshoot", setting_type::decimal, "1", "1", "10",
                       "requests that a cold upstream may get in one second, as a multiple of its rate"),
        ranged_setting("bounds", "warmup_slack", setting_type::decimal, "0", "0", "100000",
                       "requests that a cold upstream may get in one second besides"),
        ranged_setting("crossing", "price_per_gb", setting_type::decimal, "0.02", "0", "1000",
                       "price of a gigabyte between data centres, in any currency"),
        ranged_setting("crossing", "waiting_price_per_hour", setting_type::decimal, "4", "0.001", "1000000",
                       "worth of an hour of a caller's waiting, in the same currency"),
        ranged_setting("schedule", "report_interval", setting_type::time_span, "100ms", "20ms", "5s",
                       "interval of the reports of work in progress to the other routers"),
        ranged_setting(
            "schedule", "peers_wait", setting_type::time_span, "0ms", "0ms", "10s",
            "how long after the start the list of routers still grows, since all start at once; in a "
            "large fleet a router watches the store only if it finds no delegate until then"),
        base::log_level_setting(),
    };
}

node_options to_options(const base::settings& values) {
    node_options result;
    result.vm = base::vm_id(values.text("vm", "name"));
    result.data_centre = base::data_centre_id(values.text("vm", "data_centre"));
    result.fleet = values.text("fleet", "name");
    result.callers = to_endpoint(values.endpoint("listen", "callers"));
    result.ops = to_endpoint(values.endpoint("listen", "ops"));
    result.ready_path = values.text("listen", "ready_path");
    result.control = to_endpoint(values.endpoint("listen", "control"));
    result.store = to_endpoint(values.endpoint("store", "address"));
    result.store_timeout = values.time("store", "timeout");
    result.catalogue_wait = values.time("store", "configuration_wait");
    result.roster_wait = values.time("store", "upstreams_wait");
    result.memory = values.bytes("limits", "memory");
    result.descriptors = values.integer("limits", "descriptors");
    result.processor = values.decimal("limits", "processor");
    result.connect_timeout = values.time("upstream", "connect_timeout");
    result.revocation = values.time("bounds", "revocation");
    result.retry_ratio = values.decimal("bounds", "retry_ratio");
    result.retry_slack = values.decimal("bounds", "retry_slack");
    result.drain = values.time("bounds", "drain");
    result.stop_limit = values.time("bounds", "stop");
    result.evacuation = values.time("bounds", "evacuation");
    result.warmup_overshoot = values.decimal("bounds", "warmup_overshoot");
    result.warmup_slack = values.decimal("bounds", "warmup_slack");
    result.crossing_price_per_gb = values.decimal("crossing", "price_per_gb");
    result.crossing_waiting_price = values.decimal("crossing", "waiting_price_per_hour");
    result.report_interval = values.time("schedule", "report_interval");
    result.peers_wait = values.time("schedule", "peers_wait");
    result.log = base::log_level_of(values.text("log", "level"));
    return result;
}

dispatch::dispatcher_bounds to_bounds(const node_options& settings) {
    dispatch::dispatcher_bounds bounds;
    bounds.max_confirmation_age =
        std::chrono::duration_cast<base::duration>(settings.revocation * freshness_share);
    bounds.retry_ratio = settings.retry_ratio;
    bounds.retry_slack = settings.retry_slack;
    bounds.report_interval = settings.report_interval;
    bounds.max_delegate_view_age =
        std::chrono::duration_cast<base::duration>(settings.drain * delegate_share);
    bounds.grace = settings.stop_limit;
    bounds.evacuation = settings.evacuation;
    bounds.warmup_overshoot = settings.warmup_overshoot;
    bounds.warmup_slack = settings.warmup_slack;
    bounds.crossing = {settings.crossing_price_per_gb, settings.crossing_waiting_price};
    return bounds;
}

/// Returns whether a running process can apply every difference between two versions of the settings.
bool can_apply_without_restart(const node_options& current, const node_options& updated) {
    const auto fixed_settings = [](const node_options& settings) {
        return std::tie(settings.vm, settings.data_centre, settings.fleet, settings.callers, settings.ops,
                        settings.ready_path, settings.control, settings.store, settings.store_timeout,
                        settings.catalogue_wait, settings.roster_wait, settings.memory, settings.descriptors,
                        settings.processor, settings.connect_timeout, settings.peers_wait);
    };
    // Whether a worker follows the evacuations is decided at the start.
    const bool same_workers =
        (current.evacuation > base::duration::zero()) == (updated.evacuation > base::duration::zero());
    return same_workers && fixed_settings(current) == fixed_settings(updated);
}

} // namespace

const std::vector<base::setting_spec>& node_schema() {
    static const std::vector<base::setting_spec> schema = make_schema();
    return schema;
}

tl::expected<node_options, std::vector<base::error>> read_node_options(std::istream& in,
                                                                       const std::string& file) {
    const base::result<base::ini_file> ini = base::read_ini(in, file);
    if (!ini) {
        return tl::unexpected<std::vector<base::error>>({ini.error()});
    }
    const tl::expected<base::settings, std::vector<base::error>> values =
        base::settings::check(*ini, node_schema());
    if (!values) {
        return tl::unexpected<std::vector<base::error>>(values.error());
    }
    return to_options(*values);
}

node::node(node_options settings, node_adapters adapters)
    : settings_(std::move(settings)), adapters_(std::move(adapters)), codec_(settings_.fleet),
      events_(event_capacity), commands_(command_capacity), datagrams_(datagram_capacity),
      catalogue_orders_(order_capacity), roster_orders_(order_capacity), evacuation_orders_(order_capacity),
      stream_orders_(order_capacity),
      root_("root", base::restart_strategy::rest_for_one, root_limit, clock_) {
    reloaded_options_.publish(std::make_shared<const node_options>(settings_));
    // The other branches supply the dispatcher with its input, so they are added after it and restart with
    // it.
    add_dispatch();
    add_fleet();
    add_store();
    add_relay();
}

node::~node() {
    stop();
}

std::unique_ptr<base::supervisor> node::make_subtree(const std::string& name) const {
    return std::make_unique<base::supervisor>(name, base::restart_strategy::one_for_one, subtree_limit,
                                              clock_);
}

void node::add_store() {
    decision::vm_entry self;
    self.vm = settings_.vm;
    self.data_centre = settings_.data_centre;
    self.control = settings_.control;
    self.admin = settings_.ops;
    self.cpu_cores = settings_.processor;
    store::follower_settings catalogue;
    catalogue.wait = settings_.catalogue_wait;
    catalogue.short_wait = std::chrono::duration_cast<base::duration>(settings_.drain * delegate_wait_share);
    catalogue.exact_start = false;
    catalogue.seed = system_seed();
    store::follower_settings roster = catalogue;
    roster.wait = settings_.roster_wait;
    roster.seed = system_seed();
    std::unique_ptr<base::supervisor> supervisor = make_subtree("store");
    supervisor->add(std::make_unique<store::catalogue_follower>(
        adapters_.directory(clock_), store::follower_links{events_, catalogue_orders_}, clock_, catalogue));
    supervisor->add(std::make_unique<store::roster_follower>(
        adapters_.directory(clock_), store::follower_links{events_, roster_orders_}, clock_, roster));
    if (settings_.evacuation > base::duration::zero()) {
        store::follower_settings evacuations = roster;
        evacuations.wait = evacuations.short_wait = evacuation_wait;
        evacuations.seed = system_seed();
        supervisor->add(std::make_unique<store::evacuation_follower>(
            adapters_.directory(clock_), store::follower_links{events_, evacuation_orders_}, clock_,
            evacuations));
    }
    supervisor->add(
        std::make_unique<store::registrar>(adapters_.directory(clock_), events_, self, system_seed()));
    supervisor->add(std::make_unique<store::stream_recorder>(adapters_.directory(clock_), events_,
                                                             stream_orders_, system_seed()));
    root_.add(std::move(supervisor));
}

void node::add_fleet() {
    std::unique_ptr<base::supervisor> supervisor = make_subtree("fleet");
    supervisor->add(std::make_unique<fleet::receiver>(settings_.control, codec_, fleet::sink_to(events_),
                                                      received_traffic_));
    supervisor->add(std::make_unique<fleet::sender>(codec_, datagrams_, sent_traffic_));
    root_.add(std::move(supervisor));
}

void node::add_dispatch() {
    // A restart limit of 0 passes every failure on to the root, which restarts the relay as well.
    std::unique_ptr<base::supervisor> supervisor =
        std::make_unique<base::supervisor>("dispatch", base::restart_strategy::one_for_one,
                                           base::restart_limit{0, std::chrono::seconds(10)}, clock_);
    supervisor->add(std::make_unique<dispatch::dispatch_worker>(
        dispatch::dispatch_links{
            events_, commands_, datagrams_, catalogue_orders_, roster_orders_, stream_orders_, state_,
            settings_.evacuation > base::duration::zero() ? &evacuation_orders_ : nullptr},
        [this] { return dispatcher_options(); }, clock_));
    root_.add(std::move(supervisor));
}

void node::add_relay() {
    relay::relay_settings relay_options;
    relay_options.seed = system_seed();
    relay_options.listen_address = settings_.callers;
    relay_options.data_centre = settings_.data_centre;
    relay_options.max_callers = static_cast<std::size_t>(settings_.descriptors - reserved_descriptors);
    relay_options.max_body_bytes = settings_.memory.value() / body_memory_divisor;
    relay_options.memory = relay::limits_for(settings_.memory);
    relay_options.upstream_limits.connect_timeout = settings_.connect_timeout;
    std::unique_ptr<base::supervisor> supervisor = make_subtree("relay");
    std::unique_ptr<relay::relay> relay_worker = std::make_unique<relay::relay>(
        relay_options, adapters_.dialect, commands_, events_, state_, clock_, metrics_);
    // The supervisor owns both workers and stops `ops` first, so the reference in its callback stays valid.
    const relay::relay& data_path = *relay_worker;
    supervisor->add(std::move(relay_worker));
    supervisor->add(std::make_unique<relay::ops>(
        relay::ops_settings{settings_.ops, settings_.ready_path}, state_,
        [&data_path] { return data_path.overloaded(); }, [this] { return metrics_text(); },
        [this] { return dump_text(); }, clock_));
    root_.add(std::move(supervisor));
}

dispatch::dispatcher_settings node::dispatcher_options() const {
    const std::shared_ptr<const node_options> current = reloaded_options_.current();
    dispatch::dispatcher_settings dispatcher;
    dispatcher.member.self = settings_.vm;
    dispatcher.member.incarnation = new_incarnation();
    dispatcher.member.address = settings_.control;
    dispatcher.member.seed = system_seed();
    dispatcher.data_centre = settings_.data_centre;
    dispatcher.cpu_cores = settings_.processor;
    dispatcher.peers_wait = settings_.peers_wait;
    dispatcher.bounds = to_bounds(*current);
    dispatcher.unix_time_at_start = unix_time_at_zero_ + clock_.now().time_since_epoch();
    dispatcher.seed = system_seed();
    return dispatcher;
}

void node::reload(const settings_file& file, const std::string& text) {
    std::istringstream in(text);
    const tl::expected<node_options, std::vector<base::error>> parsed = read_node_options(in, file.path());
    if (!parsed) {
        return report_reload(false, parsed.error());
    }
    report_reload(!can_apply_without_restart(*reloaded_options_.current(), *parsed), {});
    reloaded_options_.publish(std::make_shared<const node_options>(*parsed));
    base::set_log_level(parsed->log);
    events_.push(to_bounds(*parsed), report_timeout);
}

void node::start() {
    root_.start([this](const base::error&) { failed_ = true; });
}

void node::stop() {
    root_.stop();
}

void node::drain() {
    events_.push(decision::drain_requested{clock_.now()}, report_timeout);
}

bool node::drained() const {
    const std::shared_ptr<const dispatch::router_state> state = state_.current();
    return state && state->drained;
}

base::result<decision::state_report> node::status() {
    return decision::request_report(events_, report_timeout);
}

std::string node::dump_text() {
    const base::result<decision::state_report> report = status();
    return "{\"tree\":" + edge::to_json(root_.report()) +
           (report ? ",\"state\":" + edge::to_json(*report) : std::string()) + '}';
}

std::string node::metrics_text() {
    metrics_.set({"bluebell_log_lines_dropped", {}}, static_cast<double>(base::dropped_log_lines()));
    const std::shared_ptr<const dispatch::router_state> state = state_.current();
    if (state && state->crossing) {
        // A series cannot be removed, so a data centre without a share shows -1.
        for (const dispatch::crossing_share& known : *state->crossing) {
            metrics_.set({"bluebell_crossing_share",
                          {{"pool", known.pool.value()}, {"data_centre", known.to.value()}}},
                         known.share.value_or(-1));
        }
    }
    for (std::size_t kind = 0; kind < fleet::message_kind_count; ++kind) {
        const std::string name(fleet::message_kind_name(kind));
        metrics_.set({"bluebell_control_sent_messages", {{"kind", name}}},
                     static_cast<double>(sent_traffic_.of_kind(kind).messages));
        metrics_.set({"bluebell_control_sent_bytes", {{"kind", name}}},
                     static_cast<double>(sent_traffic_.of_kind(kind).bytes));
    }
    return metrics_.text();
}

} // namespace bluebell::root
