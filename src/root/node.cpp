#include "root/node.h"

#include "base/ini.h"
#include "edge/admin.h"
#include "fleet/receiver.h"
#include "fleet/sender.h"
#include "relay/ops.h"
#include "root/identity.h"
#include "store/follower.h"

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
/// Part of the revocation bound that a confirmation of the configuration may be old. The rest covers the way
/// of a request to its upstream.
constexpr double freshness_share = 0.7;
/// Part of the drain bound that a delegate's view may be old before its routers ask the store themselves. A
/// view ages up to two waits of the delegate's calls, and the way of a report and its answer.
constexpr double delegate_share = 0.75;
/// Descriptors that are not for callers: the store, logs, datagrams and connections to upstreams.
constexpr std::int64_t reserved_descriptors = 1200;
/// Part of the memory that bodies of requests in progress may take.
constexpr std::uint64_t body_memory_part = 6;
/// Time before the end of the grace period at which a drain gives up waiting; the workers need some of it.
constexpr base::duration stop_margin = std::chrono::milliseconds(1000);

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
        ranged_setting("bounds", "stop", setting_type::time_span, "8s", "2s", "1h",
                       "time from the signal to stop until the process is killed"),
        ranged_setting("schedule", "report_interval", setting_type::time_span, "100ms", "20ms", "5s",
                       "interval of the reports of work in progress to the other routers"),
        base::log_level_setting(),
    };
}

node_options to_options(const base::settings& from) {
    node_options to;
    to.vm = base::vm_id(from.text("vm", "name"));
    to.data_centre = base::data_centre_id(from.text("vm", "data_centre"));
    to.fleet = from.text("fleet", "name");
    to.callers = to_endpoint(from.endpoint("listen", "callers"));
    to.ops = to_endpoint(from.endpoint("listen", "ops"));
    to.ready_path = from.text("listen", "ready_path");
    to.control = to_endpoint(from.endpoint("listen", "control"));
    to.store = to_endpoint(from.endpoint("store", "address"));
    to.store_timeout = from.time("store", "timeout");
    to.catalogue_wait = from.time("store", "configuration_wait");
    to.roster_wait = from.time("store", "upstreams_wait");
    to.memory = from.bytes("limits", "memory");
    to.descriptors = from.integer("limits", "descriptors");
    to.processor = from.decimal("limits", "processor");
    to.connect_timeout = from.time("upstream", "connect_timeout");
    to.revocation = from.time("bounds", "revocation");
    to.retry_ratio = from.decimal("bounds", "retry_ratio");
    to.retry_slack = from.decimal("bounds", "retry_slack");
    to.drain = from.time("bounds", "drain");
    to.stop_limit = from.time("bounds", "stop");
    to.report_interval = from.time("schedule", "report_interval");
    to.log = base::log_level_of(from.text("log", "level"));
    return to;
}

dispatch::dispatcher_bounds to_bounds(const node_options& from) {
    dispatch::dispatcher_bounds made;
    made.max_confirmation_age = std::chrono::duration_cast<base::duration>(from.revocation * freshness_share);
    made.retry_ratio = from.retry_ratio;
    made.retry_slack = from.retry_slack;
    made.report_interval = from.report_interval;
    made.max_delegate_view_age = std::chrono::duration_cast<base::duration>(from.drain * delegate_share);
    made.max_drain_time = from.stop_limit - stop_margin;
    return made;
}

/// Whether a running process can take over everything that differs.
bool same_after_reload(const node_options& a, const node_options& b) {
    const auto fixed = [](const node_options& of) {
        return std::tie(of.vm, of.data_centre, of.fleet, of.callers, of.ops, of.ready_path, of.control,
                        of.store, of.store_timeout, of.catalogue_wait, of.roster_wait, of.memory,
                        of.descriptors, of.processor, of.connect_timeout);
    };
    return fixed(a) == fixed(b);
}

} // namespace

const std::vector<base::setting_spec>& node_schema() {
    static const std::vector<base::setting_spec> schema = make_schema();
    return schema;
}

tl::expected<node_options, std::vector<base::error>> read_node_options(std::istream& in,
                                                                       const std::string& file) {
    const base::result<base::ini_file> text = base::read_ini(in, file);
    if (!text) {
        return tl::unexpected<std::vector<base::error>>({text.error()});
    }
    const tl::expected<base::settings, std::vector<base::error>> values =
        base::settings::check(*text, node_schema());
    if (!values) {
        return tl::unexpected<std::vector<base::error>>(values.error());
    }
    return to_options(*values);
}

node::node(node_options settings, node_adapters adapters)
    : settings_(std::move(settings)), adapters_(std::move(adapters)), codec_(settings_.fleet),
      events_(event_capacity), commands_(command_capacity), datagrams_(datagram_capacity),
      catalogue_orders_(order_capacity), roster_orders_(order_capacity),
      root_("root", base::restart_strategy::rest_for_one, root_limit, clock_) {
    in_force_.publish(std::make_shared<const node_options>(settings_));
    // The others tell the dispatcher what it has to know, so they start again after it.
    add_dispatch();
    add_fleet();
    add_store();
    add_relay();
}

node::~node() {
    stop();
}

std::unique_ptr<base::supervisor> node::subtree(const std::string& name) const {
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
    catalogue.seed = system_seed();
    store::follower_settings roster;
    roster.wait = settings_.roster_wait;
    roster.seed = system_seed();
    std::unique_ptr<base::supervisor> tree = subtree("store");
    tree->add(std::make_unique<store::catalogue_follower>(
        adapters_.directory(clock_), store::follower_links{events_, catalogue_orders_}, clock_, catalogue));
    tree->add(std::make_unique<store::roster_follower>(
        adapters_.directory(clock_), store::follower_links{events_, roster_orders_}, clock_, roster));
    tree->add(std::make_unique<store::registrar>(adapters_.directory(clock_), events_, self, system_seed()));
    root_.add(std::move(tree));
}

void node::add_fleet() {
    std::unique_ptr<base::supervisor> tree = subtree("fleet");
    tree->add(
        std::make_unique<fleet::receiver>(settings_.control, codec_, fleet::sink_to(events_), received_));
    tree->add(std::make_unique<fleet::sender>(codec_, datagrams_, sent_));
    root_.add(std::move(tree));
}

void node::add_dispatch() {
    // Without restarts of its own, a failure goes to the root, which restarts the relay as well.
    std::unique_ptr<base::supervisor> tree =
        std::make_unique<base::supervisor>("dispatch", base::restart_strategy::one_for_one,
                                           base::restart_limit{0, std::chrono::seconds(10)}, clock_);
    tree->add(std::make_unique<dispatch::dispatch_worker>(
        dispatch::dispatch_links{events_, commands_, datagrams_, catalogue_orders_, roster_orders_, state_},
        [this] { return dispatcher_options(); }, clock_));
    root_.add(std::move(tree));
}

void node::add_relay() {
    relay::relay_settings data_path;
    data_path.listen_address = settings_.callers;
    data_path.max_callers = static_cast<std::size_t>(settings_.descriptors - reserved_descriptors);
    data_path.max_body_bytes = settings_.memory.value() / body_memory_part;
    data_path.upstream_limits.connect_timeout = settings_.connect_timeout;
    std::unique_ptr<base::supervisor> tree = subtree("relay");
    std::unique_ptr<relay::relay> path = std::make_unique<relay::relay>(
        data_path, adapters_.speech, commands_, events_, state_, clock_, metrics_);
    // The tree owns both workers and stops `ops` first.
    const relay::relay& data = *path;
    tree->add(std::move(path));
    tree->add(std::make_unique<relay::ops>(
        relay::ops_settings{settings_.ops, settings_.ready_path}, state_,
        [&data] { return data.overloaded(); }, [this] { return metrics_text(); },
        [this] { return dump_text(); }, clock_));
    root_.add(std::move(tree));
}

dispatch::dispatcher_settings node::dispatcher_options() const {
    const std::shared_ptr<const node_options> now = in_force_.current();
    dispatch::dispatcher_settings made;
    made.member.self = settings_.vm;
    made.member.incarnation = new_life();
    made.member.address = settings_.control;
    made.member.seed = system_seed();
    made.data_centre = settings_.data_centre;
    made.cpu_cores = settings_.processor;
    made.bounds = to_bounds(*now);
    made.seed = system_seed();
    return made;
}

void node::reload(const settings_file& file, const std::string& text) {
    std::istringstream in(text);
    const tl::expected<node_options, std::vector<base::error>> read = read_node_options(in, file.path());
    if (!read) {
        return report_reload(false, read.error());
    }
    report_reload(!same_after_reload(*in_force_.current(), *read), {});
    in_force_.publish(std::make_shared<const node_options>(*read));
    base::set_log_level(read->log);
    events_.push(to_bounds(*read), report_timeout);
}

void node::start() {
    root_.start([this](const base::error&) { failed_ = true; });
}

void node::stop() {
    root_.stop();
}

void node::drain() {
    events_.push(decision::drain_requested{}, report_timeout);
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
    for (std::size_t kind = 0; kind < fleet::message_kind_count; ++kind) {
        const std::string name(fleet::message_kind_name(kind));
        metrics_.set({"bluebell_control_sent_messages", {{"kind", name}}},
                     static_cast<double>(sent_.of_kind(kind).messages));
        metrics_.set({"bluebell_control_sent_bytes", {{"kind", name}}},
                     static_cast<double>(sent_.of_kind(kind).bytes));
    }
    return metrics_.text();
}

} // namespace bluebell::root
