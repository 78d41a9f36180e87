#include "decision/router.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

using base::error;
using base::error_code;

namespace {

/// An upstream that is not departing, to ask whether this router may send new work at all.
const upstream& any_active_upstream() {
    static const upstream any;
    return any;
}

std::string number(std::uint64_t value) {
    return std::to_string(value);
}

std::string member_json(const member_info& info) {
    std::string state = "alive";
    if (info.state != liveness::alive) {
        state = info.state == liveness::suspect ? "suspect" : "dead";
    }
    return "{\"state\":" + base::json_quote(state) + ",\"leaving\":" + (info.leaving ? "true" : "false") +
           ",\"listed\":" + (info.listed ? "true" : "false") +
           ",\"revision\":" + number(info.in_force.value()) +
           ",\"admin\":" + base::json_quote(to_string(info.admin)) + '}';
}

std::string_view name_of(drain_state state) {
    switch (state) {
    case drain_state::serving:
        return "serving";
    case drain_state::draining:
        return "draining";
    case drain_state::finishing:
        return "finishing";
    case drain_state::drained:
        return "drained";
    }
    return "serving";
}

} // namespace

router::router(const router_options& options, base::time_point now)
    : options_(options), now_(now), members_(options.member, now),
      schedule_(options.self, options.incarnation, options.schedule, *this), claims_(options.claims),
      journal_(options.self, options.incarnation, options.journal, options.seed), crashes_(options.crashes),
      budget_(options.retry), requests_(schedule_, claims_, crashes_, budget_), drain_(options.drain) {
    update_members();
}

void router::handle(const event& what, base::time_point now) {
    now_ = now;
    std::visit([this](const auto& each) { on(each); }, what);
    collect();
}

void router::tick(base::time_point now) {
    now_ = now;
    members_.tick(now);
    update_permissions();
    schedule_.tick(now);
    requests_.apply(claims_.tick(now), now);
    apply(journal_.tick(now));
    crashes_.tick(now);
    if (confirmation_.read_due(has_departing_, now)) {
        output_.release.emplace_back(fetch_release{gate_.in_force(), std::nullopt});
    }
    if (drain_.tick(requests_.size() + claims_.size(), now)) {
        requests_.refuse_waiting(error_code::draining, now);
    }
    collect();
}

router_output router::take() {
    return std::exchange(output_, {});
}

bool router::can_start(const base::upstream_id& id) const {
    const std::shared_ptr<const fleet_config>& config = gate_.config();
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

std::optional<error> router::refusal() const {
    if (drain_.state() != drain_state::serving) {
        return error{error_code::draining, "", "the router is draining; send the request to another one"};
    }
    if (!gate_.ready()) {
        return error{error_code::not_ready, "", "the router has no confirmed configuration yet"};
    }
    if (isolated()) {
        return error{error_code::router_isolated, "", "the router reaches neither the store nor its peers"};
    }
    return std::nullopt;
}

bool router::ready() const {
    return !refusal();
}

bool router::drained() const {
    return drain_.state() == drain_state::drained;
}

void router::depart(base::time_point now) {
    now_ = now;
    members_.depart(now);
    collect();
}

void router::on(const request_arrived& what) {
    if (std::optional<error> cause = refusal()) {
        requests_.refuse(what, std::move(*cause));
        return;
    }
    requests_.arrive(what, now_);
}

void router::on(const caller_gone& what) {
    requests_.caller_gone(what.id, now_);
}

void router::on(const attempt_progress& what) {
    requests_.progress(what, now_);
}

void router::on(const attempt_ended& what) {
    requests_.ended(what, now_);
}

void router::on(const message_received& what) {
    const message_header& header = what.payload.header;
    const base::result<void> accepted = members_.receive(what.payload, now_);
    if (!accepted) {
        ++dropped_[accepted.error().code];
        return;
    }
    learn_from_peers();
    schedule_.observe(header.virtual_times);
    if (std::optional<fetch_release> fetch =
            gate_.on_peer_revision(header.in_force, members_.admin_address(header.sender), now_)) {
        output_.release.emplace_back(std::move(*fetch));
    }
    deliver(header, what.payload.body);
}

/// A paused router reads datagrams of unknown age from its socket, so only what the member table derived from
/// answered probes counts as contact.
void router::learn_from_peers() {
    const std::optional<base::time_point> heard = members_.last_peer_contact();
    if (!heard) {
        return;
    }
    base::duration age = confirmation::unconfirmed_age;
    const std::optional<base::time_point> confirmed = members_.last_peer_confirmation();
    // A peer that knows a higher revision does not confirm this router's one.
    if (confirmed && members_.newest_revision_holder().in_force <= gate_.in_force()) {
        age = std::max(base::duration::zero(), *heard - *confirmed);
    }
    confirmation_.on_peer_message(*heard, gate_.in_force(), age, gate_.in_force());
}

void router::on(const release_read& what) {
    const bool changed = gate_.on_release_read(what);
    confirmation_.on_release_read(what, gate_.in_force());
    if (changed) {
        put_in_force();
    }
}

void router::put_in_force() {
    const std::shared_ptr<const fleet_config>& config = gate_.config();
    requests_.configure(config);
    schedule_.configure(config, now_);
    members_.put_in_force(gate_.in_force(), now_);
    has_departing_ = std::any_of(config->upstreams.begin(), config->upstreams.end(), [](const auto& each) {
        return each.second.state == upstream_state::departing;
    });
    polled_.clear();
    update_load_watch();
    output_.in_force = config;
    update_permissions();
}

void router::on(const store_failed& /*what*/) {
    ++store_failures_;
}

void router::on(const vms_listed& what) {
    listed_peers_ = static_cast<std::size_t>(std::count_if(
        what.vms.begin(), what.vms.end(), [this](const vm_entry& each) { return each.vm != options_.self; }));
    members_.update_vm_list(what.vms, now_);
    update_members();
}

void router::on(const load_reported& what) {
    schedule_.report_load(what.upstream, what.load, what.read_at, now_);
}

void router::on(const journal_answered& what) {
    apply(journal_.on_journal_answer(what, now_));
}

void router::on(const lease_answered& /*what*/) {}

void router::on(const drain_requested& /*what*/) {
    drain_.begin(now_);
    members_.announce_leaving(now_);
}

void router::on(const report_requested& what) {
    what.reply->try_push(report());
}

void router::deliver(const message_header& header, const message& body) {
    std::visit([this, &header](const auto& each) { receive(header, each); }, body);
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
    apply(journal_.on_claim(body, header.sender, now_));
}
void router::receive(const message_header& /*header*/, const claim_result& body) {
    requests_.apply(claims_.on_claim_result(body, now_), now_);
}
void router::receive(const message_header& header, const settle& body) {
    apply(journal_.on_settle(body, header.sender, now_));
}
void router::receive(const message_header& /*header*/, const settle_ack& body) {
    claims_.on_settle_ack(body);
}
void router::receive(const message_header& /*header*/, const crash_report& body) {
    if (crashes_.add_report(body, now_)) {
        spread(body);
    }
}

/// Passes a crash report on to a few peers; each router does so once, so that all hear of it.
/// Capacity is shared by permits here; the routers that place work without them exchange these reports.
void router::receive(const message_header& /*header*/, const work_report& /*body*/) {}

void router::spread(const crash_report& what) {
    for (const base::vm_id& peer : members_.random_peers(crash_fanout)) {
        send({peer, what});
    }
}

void router::update_members() {
    const std::vector<base::vm_id>& owners = members_.owners();
    schedule_.set_members({members_.live(), owners, members_.known_count()}, now_);
    requests_.apply(claims_.members_changed(owners, now_), now_);
    apply(journal_.members_changed(owners, now_));
    confirmation_.set_known_peers(std::max(listed_peers_, members_.live().size() - 1));
    update_watch();
    update_load_watch();
}

/// Only the owner of an upstream needs its load. If every router polled every upstream, 350 routers and 730
/// upstreams would make 511,000 calls a second.
void router::update_load_watch() {
    if (!gate_.config()) {
        return;
    }
    watch_load watched;
    std::vector<base::upstream_id> own;
    for (const auto& [id, each] : gate_.config()->upstreams) {
        if (schedule::owner_of(id, members_.owners()) == options_.self) {
            watched.upstreams.push_back(each);
            own.push_back(id);
        }
    }
    if (own != polled_) {
        polled_ = std::move(own);
        output_.load = std::move(watched);
    }
}

/// One router of each data centre holds a watch on the release head, since each waiting watch counts as a
/// call on the store; the others hear of a new revision from it.
void router::update_watch() {
    std::vector<base::vm_id> neighbours;
    base::data_centre_id here;
    const std::vector<member_info> members = members_.members();
    for (const member_info& each : members) {
        if (each.vm == options_.self) {
            here = each.data_centre;
        }
    }
    for (const member_info& each : members) {
        if (each.data_centre == here && each.state != liveness::dead) {
            neighbours.push_back(each.vm);
        }
    }
    const std::vector<base::vm_id> chosen =
        base::rendezvous_owners("release watch", neighbours, release_watchers);
    const bool watch = std::find(chosen.begin(), chosen.end(), options_.self) != chosen.end();
    if (watch != watching_) {
        watching_ = watch;
        output_.release.emplace_back(watch_release{watch});
    }
}

void router::update_permissions() {
    schedule_.hold_starts(isolated() || !gate_.config(), now_);
    if (!has_departing_) {
        return;
    }
    for (const auto& [id, each] : gate_.config()->upstreams) {
        if (each.state == upstream_state::departing) {
            schedule_.stop_upstream(id, confirmation_.may_send(each, now_) != send_permission::allowed, now_);
        }
    }
}

void router::apply(owner_actions actions) {
    for (outgoing& sent : actions.messages) {
        send(std::move(sent));
    }
    for (journal_command& command : actions.commands) {
        output_.journal.push_back(std::move(command));
    }
}

/// Gathers what the modules decided, and delivers messages to this router itself until none is left.
void router::collect() {
    bool more = true;
    while (more) {
        if (!members_.take_changes().empty()) {
            update_members();
        }
        for (outgoing& sent : members_.take_outgoing()) {
            send(std::move(sent));
        }
        schedule_output scheduled = schedule_.take();
        requests_.apply(scheduled, now_);
        lifecycle_output decided = requests_.take();
        more = !scheduled.started.empty() || !scheduled.refused.empty() || !decided.messages.empty() ||
               !decided.finished.empty() || !own_messages_.empty();
        collect(std::move(decided));
        while (!own_messages_.empty()) {
            const message body = std::move(own_messages_.front());
            own_messages_.pop_front();
            deliver(header(), body);
        }
    }
}

void router::collect(lifecycle_output decided) {
    for (transport_command& command : decided.transport) {
        output_.transport.push_back(std::move(command));
    }
    for (finished_request& finished : decided.finished) {
        output_.finished.push_back(std::move(finished));
    }
    for (outgoing& sent : decided.messages) {
        send(std::move(sent));
    }
    for (const crash_report& crash : decided.crashes) {
        spread(crash);
    }
}

void router::send(outgoing what) {
    if (what.to == options_.self) {
        own_messages_.push_back(std::move(what.body));
        return;
    }
    const std::optional<endpoint> to = members_.control_address(what.to);
    if (to) {
        output_.datagrams.push_back({*to, {header(), std::move(what.body)}});
    }
}

message_header router::header() {
    message_header header;
    header.sender = options_.self;
    header.incarnation = members_.incarnation();
    header.sequence = ++sequence_;
    header.in_force = gate_.in_force();
    header.confirmation_age = confirmation_.age(now_);
    header.virtual_times = schedule_.virtual_times();
    return header;
}

state_report router::report() const {
    state_section self{
        "router",
        {{"vm", base::json_quote(options_.self.value())},
         {"revision", number(gate_.in_force().value())},
         {"ready", ready() ? "true" : "false"},
         {"state", base::json_quote(name_of(drain_.state()))},
         {"isolated", isolated() ? "true" : "false"},
         {"confirmation_age_ms",
          number(static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(confirmation_.age(now_)).count()))},
         {"requests", number(requests_.size())},
         {"running", number(requests_.running())},
         {"claims", number(claims_.size())},
         {"crash_fingerprints", number(crashes_.size())},
         {"store_failures", number(store_failures_)}}};
    state_section members{"members", {}};
    for (const member_info& each : members_.members()) {
        members.values.push_back({each.vm.value(), member_json(each)});
    }
    const owner_counters& counters = journal_.counters();
    state_section journal{"journal",
                          {{"partitions", number(journal_.owned_partitions())},
                           {"keys", number(journal_.key_count())},
                           {"writes", number(counters.writes)},
                           {"takeovers", number(counters.takeovers)},
                           {"deposed", number(counters.deposed)},
                           {"failures", number(counters.failures)},
                           {"refused", number(counters.refused)}}};
    state_section dropped{"dropped_messages", {}};
    for (const auto& [code, count] : dropped_) {
        dropped.values.push_back({std::string(base::to_string(code)), number(count)});
    }
    return {std::move(self),
            std::move(members),
            {"schedule", schedule_.report()},
            std::move(journal),
            std::move(dropped)};
}

} // namespace bluebell::decision
