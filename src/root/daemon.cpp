#include "root/daemon.h"

#include "edge/admin.h"
#include "edge/callers.h"
#include "fleet/receiver.h"
#include "fleet/sender.h"
#include "root/identity.h"
#include "store/http.h"
#include "store/journal.h"
#include "store/release.h"
#include "store/vms.h"
#include "upstream/load.h"
#include "upstream/transport.h"

#include <chrono>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>

namespace bluebell::root {
namespace {

constexpr std::size_t event_capacity = 8192;
constexpr std::size_t datagram_capacity = 4096;
constexpr std::size_t journal_capacity = 256;
constexpr std::size_t release_capacity = 64;
constexpr std::size_t load_capacity = 4;
constexpr base::duration report_timeout = std::chrono::seconds(1);
constexpr base::duration config_timeout = std::chrono::seconds(2);
constexpr base::restart_limit subtree_limit{5, std::chrono::seconds(10)};
constexpr base::restart_limit root_limit{5, std::chrono::minutes(1)};

template <typename T>
decision::state_value ring_depth(const std::string& name, const base::ring<T>& ring) {
    return {name, "{\"size\":" + std::to_string(ring.size()) +
                      ",\"capacity\":" + std::to_string(ring.capacity()) + '}'};
}

/// Returns the value of a gauge for a JSON number, and 0 or 1 for a boolean. Other values appear in the dump
/// only and give no gauge.
std::optional<double> gauge_value(const std::string& json) {
    if (json == "true" || json == "false") {
        return json == "true" ? 1 : 0;
    }
    try {
        std::size_t parsed_size = 0;
        const double number = std::stod(json, &parsed_size);
        return parsed_size == json.size() ? std::optional<double>(number) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

/// Returns the metric of a value of the state report. A value named `NAME/POOL` becomes a series with a pool
/// label, since a metric name can contain neither the slash nor every character of a pool name.
base::metric gauge_name(const std::string& section, const std::string& value) {
    const std::size_t slash = value.find('/');
    base::metric series{"bluebell_" + section + '_' + value.substr(0, slash), {}};
    if (slash != std::string::npos) {
        series.name += "_by_pool";
        series.labels.emplace_back("pool", value.substr(slash + 1));
    }
    return series;
}

} // namespace

daemon::daemon(options settings)
    : settings_(std::move(settings)), codec_(settings_.fleet), request_ids_(system_seed(), system_seed()),
      events_(event_capacity), transport_commands_(static_cast<std::size_t>(settings_.requests) * 2),
      datagrams_(datagram_capacity), journal_commands_(journal_capacity), release_commands_(release_capacity),
      load_commands_(load_capacity), root_("root", base::restart_strategy::rest_for_one, root_limit, clock_) {
    add_store();
    add_fleet();
    add_decision();
    add_upstream();
    add_edge();
}

daemon::~daemon() {
    stop();
}

std::unique_ptr<base::supervisor> daemon::make_subtree(const std::string& name) const {
    return std::make_unique<base::supervisor>(name, base::restart_strategy::one_for_one, subtree_limit,
                                              clock_);
}

void daemon::add_store() {
    const decision::endpoint store = to_endpoint(settings_.store);
    store::call_limits limits;
    limits.answer = settings_.store_timeout;
    std::unique_ptr<base::supervisor> supervisor = make_subtree("store");
    supervisor->add(std::make_unique<store::release_worker>(
        std::make_unique<store::http_object_store>(store, limits),
        std::make_unique<store::http_config_peer>(limits), release_commands_, events_, clock_, system_seed(),
        store::release_timing{}));
    supervisor->add(std::make_unique<store::vms_worker>(std::make_unique<store::http_vm_list>(store, limits),
                                                        events_, system_seed()));
    supervisor->add(std::make_unique<store::journal_worker>(
        std::make_unique<store::http_object_store>(store, limits), clock_, store::journal_settings{},
        system_seed(), journal_commands_, events_));
    root_.add(std::move(supervisor));
}

void daemon::add_fleet() {
    std::unique_ptr<base::supervisor> supervisor = make_subtree("fleet");
    supervisor->add(std::make_unique<fleet::receiver>(to_endpoint(settings_.control), codec_,
                                                      fleet::sink_to(events_), received_traffic_));
    supervisor->add(std::make_unique<fleet::sender>(codec_, datagrams_, sent_traffic_));
    root_.add(std::move(supervisor));
}

void daemon::add_decision() {
    // A restart limit of 0 passes every failure on to the root, which restarts upstream and edge as well.
    std::unique_ptr<base::supervisor> supervisor =
        std::make_unique<base::supervisor>("decision", base::restart_strategy::one_for_one,
                                           base::restart_limit{0, std::chrono::seconds(10)}, clock_);
    supervisor->add(std::make_unique<decision::decider>(
        decision::decider_links{events_, transport_commands_, datagrams_, journal_commands_,
                                release_commands_, load_commands_, view_},
        [this] { return router_settings(); }, clock_));
    root_.add(std::move(supervisor));
}

void daemon::add_upstream() {
    upstream::attempt_limits limits;
    limits.connect = settings_.connect_timeout;
    limits.first_byte = settings_.first_byte_timeout;
    limits.between_bytes = settings_.between_bytes_timeout;
    std::unique_ptr<base::supervisor> supervisor = make_subtree("upstream");
    supervisor->add(std::make_unique<upstream::transport>(transport_commands_, events_, clock_, limits));
    supervisor->add(std::make_unique<upstream::load_poller>(load_commands_, events_, clock_,
                                                            upstream::load_poller_options{}));
    root_.add(std::move(supervisor));
}

void daemon::add_edge() {
    edge::callers_options listener;
    listener.address = to_endpoint(settings_.callers);
    listener.admission_limit = static_cast<unsigned>(settings_.requests);
    listener.body_limit = settings_.body;
    listener.unfinished_limit = settings_.queue_bytes;
    listener.request_deadline = settings_.deadline;
    std::unique_ptr<base::supervisor> supervisor = make_subtree("edge");
    supervisor->add(std::make_unique<edge::admin>(edge::admin_options{to_endpoint(settings_.admin)},
                                                  static_cast<edge::operations&>(*this)));
    supervisor->add(std::make_unique<edge::callers>(listener, static_cast<const edge::directory&>(*this),
                                                    request_ids_, events_, clock_, metrics_));
    root_.add(std::move(supervisor));
}

decision::router_options daemon::router_settings() const {
    decision::router_options router;
    router.self = settings_.vm;
    router.incarnation = new_incarnation();
    router.seed = system_seed();
    router.member.self = settings_.vm;
    router.member.incarnation = router.incarnation;
    router.member.address = to_endpoint(settings_.control);
    router.member.seed = system_seed();
    router.schedule.share.report_interval = settings_.report_interval;
    router.schedule.queue.max_per_account = static_cast<std::size_t>(settings_.account_queue);
    router.schedule.queue.max_body_bytes = settings_.queue_bytes;
    router.schedule.permit.bid_interval = settings_.bid_interval;
    router.schedule.permit.bid_fanout = static_cast<std::size_t>(settings_.bid_fanout);
    router.claims.partitions = static_cast<std::uint16_t>(settings_.partitions);
    router.journal.partitions = router.claims.partitions;
    router.journal.min_write_interval = settings_.claim_spacing;
    router.journal.retention = settings_.claim_retention;
    router.drain.limit = settings_.drain_limit;
    router.drain.grace = settings_.stop_grace;
    return router;
}

void daemon::start() {
    root_.start([this](const base::error&) { failed_ = true; });
}

void daemon::stop() {
    root_.stop();
}

void daemon::drain() {
    events_.push(decision::drain_requested{clock_.now()}, report_timeout);
}

bool daemon::drained() const {
    const std::shared_ptr<const decision::router_view> view = view_.current();
    return view && view->drained;
}

std::shared_ptr<const decision::fleet_config> daemon::lookup() const {
    const std::shared_ptr<const decision::router_view> view = view_.current();
    return view ? view->config : nullptr;
}

base::result<void> daemon::readiness() const {
    const std::shared_ptr<const decision::router_view> view = view_.current();
    if (view && view->ready) {
        return {};
    }
    if (view && view->draining) {
        return base::failure(base::error_code::draining, "", "the router is draining");
    }
    return base::failure(base::error_code::not_ready, "",
                         "no confirmed configuration, or neither store nor peers are reached");
}

base::result<decision::state_report> daemon::status() {
    return decision::request_report(events_, report_timeout);
}

base::result<decision::state_report> daemon::dump() {
    base::result<decision::state_report> report = status();
    if (report) {
        report->push_back(ring_section());
    }
    return report;
}

decision::state_section daemon::ring_section() const {
    return {"rings",
            {ring_depth("events", events_), ring_depth("transport", transport_commands_),
             ring_depth("datagrams", datagrams_), ring_depth("journal", journal_commands_),
             ring_depth("release", release_commands_), ring_depth("load", load_commands_)}};
}

void daemon::reload(const settings_file& file, const std::string& text) {
    std::istringstream in(text);
    const tl::expected<options, std::vector<base::error>> parsed = read_options(in, file.path());
    // Every setting of this program takes effect at the next start.
    report_reload(true, parsed ? std::vector<base::error>() : parsed.error());
}

std::string daemon::dump_text() {
    const base::result<decision::state_report> report = dump();
    return "{\"tree\":" + edge::to_json(root_.report()) +
           (report ? ",\"state\":" + edge::to_json(*report) : std::string()) + '}';
}

void daemon::set_gauges(const decision::state_report& report) {
    for (const decision::state_section& section : report) {
        for (const decision::state_value& value : section.values) {
            if (const std::optional<double> number = gauge_value(value.json)) {
                metrics_.set(gauge_name(section.name, value.name), *number);
            }
        }
    }
}

std::string daemon::metrics() {
    if (const base::result<decision::state_report> report = status()) {
        set_gauges(*report);
    }
    for (std::size_t kind = 0; kind < fleet::message_kind_count; ++kind) {
        const std::string name(fleet::message_kind_name(kind));
        metrics_.set({"bluebell_control_sent_messages", {{"kind", name}}},
                     static_cast<double>(sent_traffic_.of_kind(kind).messages));
        metrics_.set({"bluebell_control_sent_bytes", {{"kind", name}}},
                     static_cast<double>(sent_traffic_.of_kind(kind).bytes));
        metrics_.set({"bluebell_control_received_bytes", {{"kind", name}}},
                     static_cast<double>(received_traffic_.of_kind(kind).bytes));
    }
    return metrics_.text();
}

base::result<std::string> daemon::config(const std::string& chunk) {
    if (!chunk.empty()) {
        return base::failure(base::error_code::store_not_found, chunk, "chunks are part of /config");
    }
    const std::shared_ptr<base::ring<std::string>> reply = std::make_shared<base::ring<std::string>>(1);
    release_commands_.push(decision::config_requested{reply}, report_timeout);
    std::optional<std::string> text = reply->pop(config_timeout);
    if (!text || text->empty()) {
        return base::failure(base::error_code::not_ready, "release", "no configuration in force yet");
    }
    return std::move(*text);
}

} // namespace bluebell::root
