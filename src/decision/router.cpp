#include "decision/router.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

using base::error;
using base::error_code;

namespace {

/// Returns an upstream that is not departing. `confirmation::may_send` for it says whether this router may
/// send any new work.
const upstream& any_active_upstream() {
    static const upstream any;
    return any;
}

std::string json_number(std::uint64_t value) {
    return std::to_string(value);
}

std::string member_json(const member_info& info) {
    std::string state = "alive";
    if (info.state != liveness::alive) {
        state = info.state == liveness::suspect ? "suspect" : "dead";
    }
    return "{\"state\":" + base::json_quote(state) + ",\"leaving\":" + (info.leaving ? "true" : "false") +
           ",\"listed\":" + (info.listed ? "true" : "false") +
           ",\"revision\":" + json_number(info.in_force.value()) +
           ",\"admin\":" + base::json_quote(to_string(info.admin)) + '}';
}

std::string_view drain_state_name(drain_state state) {
    switch (state) {
    case drain_state::serving:
        return "serving";
    case drain_state::draining:
        return "draining";
    case drain_state::finishing:
        return "finishing";
    case drain_state::answered:
        return "answered";
    case drain_state::drained:
        return "drained";
    }
    return "serving";
}

} // namespace

router::router(const router_options& options, base::time_point now)
    : options_(options), now_(now), members_(options.member, now),
      schedule_(options.self, options.incarnation, options.schedule, *this), claim_client_(options.claims),
      claim_owner_(options.self, options.incarnation, options.journal, options.seed),
      crash_table_(options.crashes), retry_budget_(options.retry),
      lifecycle_(schedule_, claim_client_, crash_table_, retry_budget_), drain_(options.drain) {
    update_members();
}

void router::handle(const event& input, base::time_point now) {
    now_ = now;
    std::visit([this](const auto& alternative) { on(alternative); }, input);
    collect_output();
}

void router::tick(base::time_point now) {
    now_ = now;
    members_.tick(now);
    update_send_permissions();
    schedule_.tick(now);
    lifecycle_.apply(claim_client_.tick(now), now);
    apply(claim_owner_.tick(now));
    crash_table_.tick(now);
    if (confirmation_.read_due(has_departing_upstream_, now)) {
        output_.release.emplace_back(fetch_release{release_gate_.in_force(), std::nullopt});
    }
    if (drain_.tick(lifecycle_.size() + claim_client_.size(), now)) {
        lifecycle_.refuse_waiting(error_code::draining, now);
    }
    if (drain_.answers_due(now)) {
        lifecycle_.answer_open(error_code::draining, now);
    }
    collect_output();
}

router_output router::take() {
    return std::exchange(output_, {});
}

bool router::can_start(const base::upstream_id& id) const {
    const std::shared_ptr<const fleet_config>& config = release_gate_.config();
    if (!config) {
        return false;
    }
    const auto found = config->upstreams.find(id);
    return found != config->upstreams.end() &&
           confirmation_.may_send(found->second, now_) == send_permission::allowed;
}

bool router::isolated() const {
    return confirmation_.may_send(any_active_upstream(), now_) == send_permission::isolated;
}

std::optional<error> router::refusal_reason() const {
    if (drain_.state() != drain_state::serving) {
        return error{error_code::draining, "", "the router is draining; send the request to another one"};
    }
    if (!release_gate_.ready()) {
        return error{error_code::not_ready, "", "the router has no confirmed configuration yet"};
    }
    if (isolated()) {
        return error{error_code::router_isolated, "", "the router reaches neither the store nor its peers"};
    }
    return std::nullopt;
}

bool router::ready() const {
    return !refusal_reason();
}

bool router::drained() const {
    return drain_.state() == drain_state::drained;
}

void router::depart(base::time_point now) {
    now_ = now;
    members_.depart(now);
    collect_output();
}

void router::on(const request_arrived& arrival) {
    if (std::optional<error> cause = refusal_reason()) {
        lifecycle_.refuse(arrival, std::move(*cause));
        return;
    }
    lifecycle_.arrive(arrival, now_);
}

void router::on(const caller_gone& disconnect) {
    lifecycle_.handle_caller_gone(disconnect.id, now_);
}

void router::on(const attempt_progress& progress) {
    lifecycle_.record_progress(progress, now_);
}

void router::on(const attempt_ended& ending) {
    lifecycle_.end_attempt(ending, now_);
}

void router::on(const message_received& received) {
    const message_header& header = received.payload.header;
    const base::result<void> accepted = members_.receive(received.payload, now_);
    if (!accepted) {
        ++dropped_messages_[accepted.error().code];
        return;
    }
    update_confirmation();
    schedule_.merge_virtual_times(header.virtual_times);
    if (std::optional<fetch_release> fetch =
            release_gate_.on_peer_revision(header.in_force, members_.admin_address(header.sender), now_)) {
        output_.release.emplace_back(std::move(*fetch));
    }
    deliver(header, received.payload.body);
}

/// Updates the confirmation age from contact with peers. Only answered probes count as contact, because a
/// router that was paused reads datagrams of unknown age from its socket.
void router::update_confirmation() {
    const std::optional<base::time_point> last_heard = members_.last_peer_contact();
    if (!last_heard) {
        return;
    }
    base::duration age = confirmation::unconfirmed_age;
    const std::optional<base::time_point> last_confirmed = members_.last_peer_confirmation();
    // A peer that knows a higher revision does not confirm the revision of this router.
    if (last_confirmed && members_.newest_revision_holder().in_force <= release_gate_.in_force()) {
        age = std::max(base::duration::zero(), *last_heard - *last_confirmed);
    }
    confirmation_.on_peer_message(*last_heard, release_gate_.in_force(), age, release_gate_.in_force());
}

void router::on(const release_read& head_read) {
    const bool changed = release_gate_.on_release_read(head_read);
    confirmation_.on_release_read(head_read, release_gate_.in_force());
    if (changed) {
        put_in_force();
    }
}

void router::put_in_force() {
    const std::shared_ptr<const fleet_config>& config = release_gate_.config();
    lifecycle_.configure(config);
    schedule_.configure(config, now_);
    members_.put_in_force(release_gate_.in_force(), now_);
    has_departing_upstream_ =
        std::any_of(config->upstreams.begin(), config->upstreams.end(),
                    [](const auto& entry) { return entry.second.state == upstream_state::departing; });
    polled_upstreams_.clear();
    update_load_watch();
    output_.config_in_force = config;
    update_send_permissions();
}

void router::on(const store_failed& /*failure*/) {
    ++store_failures_;
}

void router::on(const vms_listed& listing) {
    listed_peer_count_ = static_cast<std::size_t>(
        std::count_if(listing.vms.begin(), listing.vms.end(),
                      [this](const vm_entry& entry) { return entry.vm != options_.self; }));
    members_.update_vm_list(listing.vms, now_);
    update_members();
}

void router::on(const load_reported& load_report) {
    schedule_.report_load(load_report.upstream, load_report.load, load_report.read_at, now_);
}

void router::on(const journal_answered& answer) {
    apply(claim_owner_.on_journal_answer(answer, now_));
}

void router::on(const lease_answered& /*answer*/) {}

void router::on(const drain_requested& request) {
    drain_.begin(request.signalled_at.value_or(now_));
    members_.announce_leaving(now_);
}

void router::on(const report_requested& report_request) {
    report_request.reply->try_push(report());
}

void router::deliver(const message_header& header, const message& body) {
    std::visit([this, &header](const auto& content) { receive(header, content); }, body);
}

void router::receive(const message_header& /*header*/, const ping& /*body*/) {}
void router::receive(const message_header& /*header*/, const ack& /*body*/) {}
void router::receive(const message_header& /*header*/, const ping_request& /*body*/) {}
void router::receive(const message_header& header, const bid& body) {
    schedule_.receive(header, body, now_);
}
void router::receive(const message_header& header, const grant& body) {
    schedule_.receive(header, body, now_);
}
void router::receive(const message_header& header, const release& body) {
    schedule_.receive(header, body, now_);
}
void router::receive(const message_header& header, const usage& body) {
    schedule_.receive(header, body, now_);
}
void router::receive(const message_header& header, const usage_total& body) {
    schedule_.receive(header, body, now_);
}
void router::receive(const message_header& header, const claim& body) {
    apply(claim_owner_.on_claim(body, header.sender, now_));
}
void router::receive(const message_header& /*header*/, const claim_result& body) {
    lifecycle_.apply(claim_client_.on_claim_result(body, now_), now_);
}
void router::receive(const message_header& header, const settle& body) {
    apply(claim_owner_.on_settle(body, header.sender, now_));
}
void router::receive(const message_header& /*header*/, const settle_ack& body) {
    claim_client_.on_settle_ack(body);
}
void router::receive(const message_header& /*header*/, const crash_report& body) {
    if (crash_table_.add_report(body, now_)) {
        forward_crash_report(body);
    }
}

/// Ignores work reports. They are exchanged by routers that place work without permits; this router shares
/// capacity by permits.
void router::receive(const message_header& /*header*/, const work_report& /*body*/) {}
void router::receive(const message_header& /*header*/, const crash_news& /*body*/) {}
void router::receive(const message_header& /*header*/, const limit_report& /*body*/) {}
void router::receive(const message_header& /*header*/, const upstream_list_update& /*body*/) {}
void router::receive(const message_header& /*header*/, const begun_streams& /*body*/) {}
void router::receive(const message_header& /*header*/, const origin_query& /*body*/) {}
void router::receive(const message_header& /*header*/, const origin_unknown& /*body*/) {}

void router::receive(const message_header& /*header*/, const evacuation_report& /*body*/) {}

void router::receive(const message_header& /*header*/, const warmup_report& /*body*/) {}

/// Forwards a crash report to a few random peers. Each router forwards a report once, so that it spreads to
/// all routers.
void router::forward_crash_report(const crash_report& crash) {
    for (const base::vm_id& peer : members_.random_peers(crash_fanout)) {
        send({peer, crash});
    }
}

void router::update_members() {
    const std::vector<base::vm_id>& owners = members_.owners();
    schedule_.set_members({members_.live(), owners, members_.known_count()}, now_);
    lifecycle_.apply(claim_client_.members_changed(owners, now_), now_);
    apply(claim_owner_.members_changed(owners, now_));
    confirmation_.set_known_peers(std::max(listed_peer_count_, members_.live().size() - 1));
    update_watch();
    update_load_watch();
}

/// Has the load of the owned upstreams polled. Only the owner of an upstream needs its load; if every router
/// polled every upstream, 350 routers and 730 upstreams would make 511,000 calls a second.
void router::update_load_watch() {
    if (!release_gate_.config()) {
        return;
    }
    watch_load load_watch;
    std::vector<base::upstream_id> owned;
    for (const auto& [id, upstream_entry] : release_gate_.config()->upstreams) {
        if (schedule::owner_of(id, members_.owners()) == options_.self) {
            load_watch.upstreams.push_back(upstream_entry);
            owned.push_back(id);
        }
    }
    if (owned != polled_upstreams_) {
        polled_upstreams_ = std::move(owned);
        output_.load = std::move(load_watch);
    }
}

/// Starts or stops the watch on the release head. Only one router of each data centre watches it, since each
/// waiting watch counts as a call on the store; the other routers learn of a new revision from its messages.
void router::update_watch() {
    std::vector<base::vm_id> local_routers;
    base::data_centre_id own_data_centre;
    const std::vector<member_info> members = members_.members();
    for (const member_info& info : members) {
        if (info.vm == options_.self) {
            own_data_centre = info.data_centre;
        }
    }
    for (const member_info& info : members) {
        if (info.data_centre == own_data_centre && info.state != liveness::dead) {
            local_routers.push_back(info.vm);
        }
    }
    const std::vector<base::vm_id> watchers =
        base::rendezvous_owners("release watch", local_routers, release_watchers);
    const bool should_watch = std::find(watchers.begin(), watchers.end(), options_.self) != watchers.end();
    if (should_watch != watches_release_) {
        watches_release_ = should_watch;
        output_.release.emplace_back(watch_release{should_watch});
    }
}

void router::update_send_permissions() {
    schedule_.hold_starts(isolated() || !release_gate_.config(), now_);
    if (!has_departing_upstream_) {
        return;
    }
    for (const auto& [id, upstream_entry] : release_gate_.config()->upstreams) {
        if (upstream_entry.state == upstream_state::departing) {
            schedule_.stop_upstream(
                id, confirmation_.may_send(upstream_entry, now_) != send_permission::allowed, now_);
        }
    }
}

void router::apply(owner_actions actions) {
    for (outgoing& outbound : actions.messages) {
        send(std::move(outbound));
    }
    for (journal_command& command : actions.commands) {
        output_.journal.push_back(std::move(command));
    }
}

/// Moves the decisions of the modules to `output_` and delivers messages of this router to itself until none
/// is left.
void router::collect_output() {
    bool pending = true;
    while (pending) {
        if (!members_.take_changes().empty()) {
            update_members();
        }
        for (outgoing& outbound : members_.take_outgoing()) {
            send(std::move(outbound));
        }
        schedule_output scheduled = schedule_.take_output();
        lifecycle_.apply(scheduled, now_);
        lifecycle_output decided = lifecycle_.take();
        pending = !scheduled.started.empty() || !scheduled.refused.empty() || !decided.messages.empty() ||
                  !decided.finished.empty() || !local_messages_.empty();
        collect_output(std::move(decided));
        while (!local_messages_.empty()) {
            const message body = std::move(local_messages_.front());
            local_messages_.pop_front();
            deliver(header(), body);
        }
    }
}

void router::collect_output(lifecycle_output decided) {
    for (transport_command& command : decided.transport) {
        output_.transport.push_back(std::move(command));
    }
    for (finished_request& finished : decided.finished) {
        output_.finished.push_back(std::move(finished));
    }
    for (outgoing& outbound : decided.messages) {
        send(std::move(outbound));
    }
    for (const crash_report& crash : decided.crashes) {
        forward_crash_report(crash);
    }
}

void router::send(outgoing outbound) {
    if (outbound.to == options_.self) {
        local_messages_.push_back(std::move(outbound.body));
        return;
    }
    const std::optional<endpoint> destination = members_.control_address(outbound.to);
    if (destination) {
        output_.datagrams.push_back({*destination, {header(), std::move(outbound.body)}});
    }
}

message_header router::header() {
    message_header header;
    header.sender = options_.self;
    header.incarnation = members_.incarnation();
    header.sequence = ++last_sequence_;
    header.in_force = release_gate_.in_force();
    header.confirmation_age = confirmation_.age(now_);
    header.virtual_times = schedule_.virtual_times();
    return header;
}

state_report router::report() const {
    state_section self{
        "router",
        {{"vm", base::json_quote(options_.self.value())},
         {"revision", json_number(release_gate_.in_force().value())},
         {"ready", ready() ? "true" : "false"},
         {"state", base::json_quote(drain_state_name(drain_.state()))},
         {"isolated", isolated() ? "true" : "false"},
         {"confirmation_age_ms",
          json_number(static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(confirmation_.age(now_)).count()))},
         {"requests", json_number(lifecycle_.size())},
         {"running", json_number(lifecycle_.running())},
         {"claims", json_number(claim_client_.size())},
         {"crash_fingerprints", json_number(crash_table_.size())},
         {"store_failures", json_number(store_failures_)}}};
    state_section members{"members", {}};
    for (const member_info& info : members_.members()) {
        members.values.push_back({info.vm.value(), member_json(info)});
    }
    const owner_counters& counters = claim_owner_.counters();
    state_section journal{"journal",
                          {{"partitions", json_number(claim_owner_.owned_partitions())},
                           {"keys", json_number(claim_owner_.key_count())},
                           {"writes", json_number(counters.writes)},
                           {"takeovers", json_number(counters.takeovers)},
                           {"deposed", json_number(counters.deposed)},
                           {"failures", json_number(counters.failures)},
                           {"refused", json_number(counters.refused)}}};
    state_section dropped{"dropped_messages", {}};
    for (const auto& [code, count] : dropped_messages_) {
        dropped.values.push_back({std::string(base::to_string(code)), json_number(count)});
    }
    return {std::move(self),
            std::move(members),
            {"schedule", schedule_.report()},
            std::move(journal),
            std::move(dropped)};
}

} // namespace bluebell::decision
