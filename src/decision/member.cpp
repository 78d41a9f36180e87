#include "decision/member.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace bluebell::decision {
namespace {

/// Maximum of concurrent probes on behalf of other members. Requests beyond it are dropped, which costs the
/// requester one of its three indirect probes.
constexpr std::size_t max_relays = 256;
/// Candidates that a router without a synchronised table probes in each period.
constexpr std::size_t joining_probes = 8;
/// Consecutive digest mismatches before the table is requested. One or two occur whenever an update spreads.
constexpr std::size_t tolerated_mismatches = 4;
/// Minimum time between two requests for the table; one table of 350 members takes about 10 KB.
constexpr base::duration table_interval = std::chrono::seconds(5);
/// Number of peers to which a state change received in a message is forwarded at once, and how often in one
/// period. Forwarding keeps a refutation from arriving after the suspicion time; the limit bounds the traffic
/// of a mass change.
constexpr std::size_t forward_fanout = 2;
constexpr std::size_t forwards_per_period = 2;
/// Nonces start at a random number below this, so that an answer to an earlier incarnation does not match.
constexpr std::uint64_t nonce_start_range = 1ULL << 24U;

bool is_newer(const member_update& update, base::incarnation incarnation, std::uint32_t refutation,
              liveness state) {
    return std::make_tuple(update.incarnation.value(), update.refutation, update.state) >
           std::make_tuple(incarnation.value(), refutation, state);
}

} // namespace

std::string_view to_string(member_change_kind kind) {
    switch (kind) {
    case member_change_kind::joined:
        return "joined";
    case member_change_kind::left:
        return "left";
    case member_change_kind::restarted:
        return "restarted";
    }
    return "unknown";
}

member::member(member_settings settings, base::time_point now)
    : settings_(std::move(settings)), random_(settings_.seed), table_requested_at_(now - table_interval),
      period_end_(now), next_due_(now) {
    last_nonce_ = random_() % nonce_start_range;
    pending_updates_[settings_.self] = 0;
    views_stale_ = true;
    refresh_views();
}

void member::update_vm_list(const std::vector<vm_entry>& vms, base::time_point now) {
    for (auto& [vm, entry] : peers_) {
        entry.info.listed = false;
        entry.listed_leaving = false;
    }
    for (const vm_entry& listed_vm : vms) {
        if (listed_vm.vm == settings_.self) {
            continue;
        }
        const auto [found, added] = peers_.try_emplace(listed_vm.vm);
        peer& entry = found->second;
        if (added) {
            entry.info.vm = listed_vm.vm;
            entry.info.state = liveness::dead;
            entry.state_changed_at = now;
        }
        entry.info.listed = true;
        entry.info.data_centre = listed_vm.data_centre;
        entry.info.admin = listed_vm.admin;
        entry.info.cpu_cores = listed_vm.cpu_cores;
        entry.listed_leaving = listed_vm.leaving;
        if (!entry.is_member || entry.info.state == liveness::dead) {
            entry.info.control = listed_vm.control;
        }
    }
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const bool forget = !entry->second.info.listed && !entry->second.is_member;
        entry = forget ? peers_.erase(entry) : std::next(entry);
    }
    views_stale_ = true;
    refresh_views();
}

base::result<void> member::receive(const envelope& received, base::time_point now) {
    if (departed_) {
        return base::failure(base::error_code::draining, settings_.self.value(), "router has left");
    }
    base::result<void> admitted = admit(received, now);
    if (admitted) {
        const base::vm_id& from = received.header.sender;
        if (const ping* received_ping = std::get_if<ping>(&received.body)) {
            on_ping(received.header, *received_ping, now);
        } else if (const ack* received_ack = std::get_if<ack>(&received.body)) {
            on_ack(received.header, *received_ack, now);
        } else if (const ping_request* received_request = std::get_if<ping_request>(&received.body)) {
            on_ping_request(from, *received_request, now);
        } else if (!is_live(from)) {
            admitted = base::failure(base::error_code::message_unknown_sender, from.value(),
                                     "sender is not a live member");
        }
    }
    refresh_views();
    forward_changes();
    return admitted;
}

void member::forward_changes() {
    if (std::exchange(state_changed_, false) && forwards_left_ > 0) {
        --forwards_left_;
        for (const base::vm_id& vm : random_peers(forward_fanout)) {
            send_ping(vm, 0, false);
        }
    }
}

base::result<void> member::admit(const envelope& received, base::time_point now) {
    const message_header& header = received.header;
    if (header.sender == settings_.self) {
        return base::failure(base::error_code::message_unknown_sender, header.sender.value(),
                             "sender has the id of this router");
    }
    const auto found = peers_.find(header.sender);
    if (found == peers_.end()) {
        return admit_unknown_sender(received, now);
    }
    peer& sender = found->second;
    if (sender.is_member && header.incarnation < sender.info.incarnation) {
        if (std::holds_alternative<ping>(received.body)) {
            // Shows a router whose wall clock was set back which incarnation it has to exceed.
            outgoing_.push_back({header.sender, make_ack(0, {update_about(header.sender)})});
        }
        return base::failure(base::error_code::message_stale_incarnation, header.sender.value(),
                             "a later incarnation of the sender is known");
    }
    if (!sender.is_member || sender.info.incarnation < header.incarnation) {
        admit_new_incarnation(sender, header, now);
    }
    raise_in_force(sender, header.in_force);
    return {};
}

base::result<void> member::admit_unknown_sender(const envelope& received, base::time_point now) {
    // A new VM may be missing from a VM list that is out of date; it introduces itself with the first update
    // of its ping.
    const ping* received_ping = std::get_if<ping>(&received.body);
    const bool introduced = received_ping != nullptr && !received_ping->updates.empty() &&
                            received_ping->updates.front().vm == received.header.sender &&
                            received_ping->updates.front().incarnation == received.header.incarnation;
    if (!introduced) {
        return base::failure(base::error_code::message_unknown_sender, received.header.sender.value(),
                             "sender is neither listed nor a member");
    }
    merge_peer(received_ping->updates.front(), now);
    return {};
}

void member::admit_new_incarnation(peer& sender, const message_header& header, base::time_point now) {
    member_update update;
    update.vm = header.sender;
    update.incarnation = header.incarnation;
    update.address = sender.info.control;
    update.in_force = header.in_force;
    apply_update(sender, update, now);
}

void member::on_ping(const message_header& header, const ping& received, base::time_point now) {
    const base::vm_id& from = header.sender;
    merge(received.updates, now);
    update_address(header, received.updates);
    const bool introduced = !received.updates.empty() && received.updates.front().vm == from;
    if (received.nonce != 0) {
        ack answer = make_ack(received.nonce, select_updates(from));
        if (introduced) {
            answer.updates.insert(answer.updates.begin(), update_about(settings_.self));
        }
        outgoing_.push_back({from, std::move(answer)});
    }
    if (received.want_table) {
        send_table(from);
    }
    compare_tables(header, received.digest, received.acknowledgements, now);
}

/// Updates the control address of the sender from its own update. A restarted router may listen on another
/// port, but the first message of its new incarnation may be of any kind and carry no address, so the old
/// address is kept until the router states the new one itself.
void member::update_address(const message_header& header, const std::vector<member_update>& updates) {
    const auto sender = peers_.find(header.sender);
    if (sender == peers_.end()) {
        return;
    }
    for (const member_update& update : updates) {
        if (update.vm == header.sender && update.incarnation == header.incarnation &&
            !update.address.address.empty() && update.address != sender->second.info.control) {
            sender->second.info.control = update.address;
            pending_updates_[update.vm] = 0;
        }
    }
}

void member::on_ack(const message_header& header, const ack& received, base::time_point now) {
    merge(received.updates, now);
    update_address(header, received.updates);
    const auto answered_probe = std::find_if(probes_.begin(), probes_.end(), [&](const probe& open_probe) {
        return open_probe.nonce == received.nonce;
    });
    if (received.nonce != 0 && answered_probe != probes_.end()) {
        const auto target = peers_.find(answered_probe->target);
        if (target != peers_.end()) {
            target->second.info.last_heard = answered_probe->sent_at;
        }
        record_ack(peers_.at(header.sender), header, answered_probe->sent_at);
        probes_.erase(answered_probe);
    }
    forward_ack(received.nonce);
    if (received.nonce != 0) {
        compare_tables(header, received.digest, received.acknowledgements, now);
    }
}

void member::record_ack(peer& sender, const message_header& header, base::time_point sent) {
    sender.info.last_heard = sent;
    peer_heard_ = std::max(peer_heard_.value_or(sent), sent);
    if (header.confirmation_age != never_confirmed) {
        const base::time_point confirmed = sent - header.confirmation_age;
        sender.info.head_confirmed_at =
            std::max(sender.info.head_confirmed_at.value_or(confirmed), confirmed);
        peer_confirmed_ = std::max(peer_confirmed_.value_or(confirmed), confirmed);
    }
}

void member::forward_ack(std::uint64_t nonce) {
    const auto found = std::find_if(relayed_probes_.begin(), relayed_probes_.end(),
                                    [&](const relayed_probe& relayed) { return relayed.nonce == nonce; });
    if (found != relayed_probes_.end()) {
        outgoing_.push_back({found->origin, make_ack(found->origin_nonce, select_updates(found->origin))});
        relayed_probes_.erase(found);
    }
}

void member::on_ping_request(const base::vm_id& from, const ping_request& received, base::time_point now) {
    relayed_probes_.erase(
        std::remove_if(relayed_probes_.begin(), relayed_probes_.end(),
                       [&](const relayed_probe& relayed) { return relayed.expires_at <= now; }),
        relayed_probes_.end());
    if (relayed_probes_.size() >= max_relays || peers_.count(received.target) == 0) {
        return;
    }
    relayed_probes_.push_back({++last_nonce_, from, received.nonce, now + settings_.probe_period});
    send_ping(received.target, last_nonce_, false);
}

void member::compare_tables(const message_header& header, std::uint64_t peer_digest,
                            const revision_acknowledgements& peer_acknowledgements, base::time_point now) {
    refresh_views();
    if (peer_digest == digest_) {
        merge_acknowledgements(header.in_force, peer_acknowledgements);
        count_pending_as_sent();
        synchronised_ = true;
        digest_mismatches_ = 0;
        return;
    }
    ++digest_mismatches_;
    if (digest_mismatches_ >= tolerated_mismatches && pending_updates_.empty() &&
        now - table_requested_at_ >= table_interval) {
        table_requested_at_ = now;
        digest_mismatches_ = 0;
        send_ping(header.sender, 0, true);
    }
}

/// Counts every pending update as sent once more, since a peer with the same table already has it. This ends
/// the gossip early after a mass change. Up to `updates_per_message` updates are exempt and sent in full,
/// because a refutation that misses a router causes a false death: without the exemption there were 90 false
/// deaths at 10% loss in a minute with 350 members, with it 1.
void member::count_pending_as_sent() {
    if (pending_updates_.size() <= settings_.updates_per_message) {
        return;
    }
    const std::size_t limit = spread_limit();
    for (auto update = pending_updates_.begin(); update != pending_updates_.end();) {
        update = ++update->second >= limit ? pending_updates_.erase(update) : std::next(update);
    }
}

void member::merge(const std::vector<member_update>& updates, base::time_point now) {
    for (const member_update& update : updates) {
        if (update.vm == settings_.self) {
            merge_self(update);
        } else {
            merge_peer(update, now);
        }
    }
}

void member::merge_self(const member_update& update) {
    const bool remembered_later =
        update.incarnation > settings_.incarnation ||
        (update.incarnation == settings_.incarnation && update.refutation > refutation_);
    const bool suspected = update.incarnation == settings_.incarnation && update.refutation == refutation_ &&
                           update.state != liveness::alive;
    if (remembered_later) {
        // Peers remember a state that this process never had, so the state belongs to an earlier start.
        settings_.incarnation = update.incarnation + base::incarnation(1);
        refutation_ = 0;
    } else if (suspected) {
        ++refutation_;
    } else {
        return;
    }
    views_stale_ = true;
    pending_updates_[settings_.self] = 0;
    gossip_now(settings_.gossip_fanout);
}

void member::merge_peer(const member_update& update, base::time_point now) {
    auto found = peers_.find(update.vm);
    if (found == peers_.end()) {
        if (update.state == liveness::dead || update.address.address.empty()) {
            return;
        }
        found = peers_.try_emplace(update.vm).first;
        found->second.info.vm = update.vm;
        found->second.info.state = liveness::dead;
        found->second.state_changed_at = now;
    }
    peer& entry = found->second;
    if (!entry.is_member ? update.state != liveness::dead
                         : is_newer(update, entry.info.incarnation, entry.refutation, entry.info.state)) {
        apply_update(entry, update, now);
    } else if (entry.is_member && update.incarnation == entry.info.incarnation) {
        raise_in_force(entry, update.in_force);
    }
}

void member::apply_update(peer& entry, const member_update& update, base::time_point now) {
    const bool was_live = entry.is_member && entry.info.state != liveness::dead;
    const bool restarted = entry.is_member && update.incarnation > entry.info.incarnation;
    entry.is_member = true;
    entry.info.in_force = restarted ? update.in_force : std::max(entry.info.in_force, update.in_force);
    entry.info.incarnation = update.incarnation;
    entry.refutation = update.refutation;
    entry.announced_leaving = update.leaving;
    if (!update.address.address.empty()) {
        entry.info.control = update.address;
    }
    if (was_live && restarted && update.state != liveness::dead) {
        changes_.push_back({member_change_kind::restarted, update.vm, update.incarnation});
    }
    change_state(entry, update.state, now);
    pending_updates_[update.vm] = 0;
}

void member::change_state(peer& entry, liveness state, base::time_point now) {
    const bool was_live = entry.info.state != liveness::dead;
    const bool is_live_now = state != liveness::dead;
    entry.info.state = state;
    entry.state_changed_at = now;
    views_stale_ = true;
    state_changed_ = true;
    if (was_live != is_live_now) {
        changes_.push_back({is_live_now ? member_change_kind::joined : member_change_kind::left,
                            entry.info.vm, entry.info.incarnation});
    }
}

void member::tick(base::time_point now) {
    if (departed_) {
        next_due_ = now + settings_.probe_period;
        return;
    }
    if (now - next_due_ > settings_.ack_timeout) {
        reset_timers_after_pause(now);
    }
    send_indirect_probes(now);
    expire_suspects(now);
    if (now >= period_end_) {
        fail_probes(now);
        remove_dead(now);
        start_period(now);
    }
    next_due_ = earliest_due();
    refresh_views();
    forward_changes();
}

void member::reset_timers_after_pause(base::time_point now) {
    probes_.clear();
    for (auto& [vm, entry] : peers_) {
        if (entry.info.state == liveness::suspect) {
            entry.state_changed_at = now;
        }
    }
}

void member::start_period(base::time_point now) {
    period_end_ = now + settings_.probe_period;
    forwards_left_ = forwards_per_period;
    bool want_table = !synchronised_;
    for (const base::vm_id& target : next_probe_targets()) {
        probes_.push_back({++last_nonce_, target, now, false});
        send_ping(target, last_nonce_, std::exchange(want_table, false));
    }
}

std::vector<base::vm_id> member::next_probe_targets() {
    std::vector<base::vm_id> targets;
    if (peers_.size() < settings_.probe_all_limit) {
        for (const auto& [vm, entry] : peers_) {
            targets.push_back(vm);
        }
        std::shuffle(targets.begin(), targets.end(), random_);
        return targets;
    }
    targets = pick_candidates(synchronised_ ? 1 : joining_probes);
    if (const std::optional<base::vm_id> live = next_live_peer()) {
        targets.push_back(*live);
    }
    return targets;
}

std::optional<base::vm_id> member::next_live_peer() {
    // Probing in random order without repetition bounds the time until each peer is probed.
    for (std::size_t tries = 0; tries < 2; ++tries) {
        while (!probe_order_.empty()) {
            const base::vm_id vm = probe_order_.back();
            probe_order_.pop_back();
            if (vm != settings_.self && is_live(vm)) {
                return vm;
            }
        }
        probe_order_ = live_;
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

std::vector<base::vm_id> member::pick_candidates(std::size_t count) {
    std::vector<base::vm_id> all;
    for (const auto& [vm, entry] : peers_) {
        if (entry.info.state == liveness::dead) {
            all.push_back(vm);
        }
    }
    std::vector<base::vm_id> picked;
    std::sample(all.begin(), all.end(), std::back_inserter(picked), count, random_);
    return picked;
}

void member::send_indirect_probes(base::time_point now) {
    for (probe& open : probes_) {
        if (open.indirect_sent || now - open.sent_at < settings_.ack_timeout || !is_live(open.target)) {
            continue;
        }
        open.indirect_sent = true;
        std::size_t request_count = 0;
        for (const base::vm_id& helper : random_peers(settings_.indirect_probes + 1)) {
            if (helper != open.target && request_count < settings_.indirect_probes) {
                outgoing_.push_back({helper, ping_request{open.nonce, open.target}});
                ++request_count;
            }
        }
    }
}

void member::fail_probes(base::time_point now) {
    for (const probe& open : std::exchange(probes_, {})) {
        const auto found = peers_.find(open.target);
        if (found == peers_.end() || found->second.info.state != liveness::alive) {
            continue;
        }
        change_state(found->second, liveness::suspect, now);
        pending_updates_[open.target] = 0;
        // Pings the suspect at once with the suspicion, so that it can refute it within the suspicion time.
        send_ping(open.target, 0, false);
    }
}

void member::expire_suspects(base::time_point now) {
    for (auto& [vm, entry] : peers_) {
        if (entry.info.state == liveness::suspect &&
            now - entry.state_changed_at >= settings_.suspicion_time) {
            change_state(entry, liveness::dead, now);
            pending_updates_[vm] = 0;
        }
    }
}

void member::remove_dead(base::time_point now) {
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const peer& candidate = entry->second;
        const bool forget = candidate.info.state == liveness::dead && !candidate.info.listed &&
                            now - candidate.state_changed_at >= settings_.dead_retention;
        entry = forget ? peers_.erase(entry) : std::next(entry);
    }
}

base::time_point member::earliest_due() const {
    base::time_point due = period_end_;
    for (const probe& open : probes_) {
        if (!open.indirect_sent && is_live(open.target)) {
            due = std::min(due, open.sent_at + settings_.ack_timeout);
        }
    }
    for (const auto& [vm, entry] : peers_) {
        if (entry.info.state == liveness::suspect) {
            due = std::min(due, entry.state_changed_at + settings_.suspicion_time);
        }
    }
    return due;
}

void member::put_in_force(base::revision revision, base::time_point /*now*/) {
    if (revision <= in_force_) {
        return;
    }
    in_force_ = revision;
    acknowledgements_stale_ = true;
    gossip_now(settings_.gossip_fanout);
}

void member::announce_leaving(base::time_point /*now*/) {
    if (std::exchange(leaving_, true)) {
        return;
    }
    ++refutation_;
    views_stale_ = true;
    pending_updates_[settings_.self] = 0;
    gossip_now(settings_.gossip_fanout);
    refresh_views();
}

void member::depart(base::time_point /*now*/) {
    if (std::exchange(departed_, true)) {
        return;
    }
    views_stale_ = true;
    pending_updates_[settings_.self] = 0;
    gossip_now(settings_.probe_all_limit);
    probes_.clear();
    relayed_probes_.clear();
}

void member::gossip_now(std::size_t fanout) {
    for (const base::vm_id& vm : random_peers(fanout)) {
        send_ping(vm, 0, false);
    }
}

void member::send_ping(const base::vm_id& to, std::uint64_t nonce, bool want_table) {
    ping probe_message = make_ping(nonce, select_updates(to));
    probe_message.want_table = want_table;
    if (!is_live(to)) {
        probe_message.updates.insert(probe_message.updates.begin(), update_about(settings_.self));
    }
    outgoing_.push_back({to, std::move(probe_message)});
}

void member::send_table(const base::vm_id& to) {
    std::vector<member_update> part{update_about(settings_.self)};
    for (const auto& [vm, entry] : peers_) {
        if (entry.is_member) {
            part.push_back(update_about(vm));
        }
        if (part.size() >= settings_.updates_per_message) {
            outgoing_.push_back({to, make_ping(0, std::exchange(part, {}))});
        }
    }
    if (!part.empty()) {
        outgoing_.push_back({to, make_ping(0, std::move(part))});
    }
}

std::vector<member_update> member::select_updates(const base::vm_id& to) {
    std::vector<member_update> updates;
    const auto receiver = peers_.find(to);
    if (receiver != peers_.end() && receiver->second.is_member &&
        receiver->second.info.state != liveness::alive) {
        updates.push_back(update_about(to)); // gives the receiver the chance to refute
    }
    using pending_entry = std::map<base::vm_id, std::size_t>::iterator;
    std::vector<pending_entry> least_sent;
    for (auto entry = pending_updates_.begin(); entry != pending_updates_.end(); ++entry) {
        least_sent.push_back(entry);
    }
    // Updates with equal counts are shuffled; otherwise every router would send the same few updates first.
    std::shuffle(least_sent.begin(), least_sent.end(), random_);
    const std::size_t count = std::min(settings_.updates_per_message, least_sent.size());
    std::partial_sort(least_sent.begin(), least_sent.begin() + static_cast<std::ptrdiff_t>(count),
                      least_sent.end(),
                      [](const pending_entry& a, const pending_entry& b) { return a->second < b->second; });
    least_sent.resize(count);
    const std::size_t limit = spread_limit();
    for (const pending_entry& entry : least_sent) {
        if (entry->first != to) {
            updates.push_back(update_about(entry->first));
        }
        if (++entry->second >= limit) {
            pending_updates_.erase(entry);
        }
    }
    return updates;
}

member_update member::update_about(const base::vm_id& vm) const {
    member_update update;
    update.vm = vm;
    if (vm == settings_.self) {
        update.incarnation = settings_.incarnation;
        update.refutation = refutation_;
        update.state = departed_ ? liveness::dead : liveness::alive;
        update.leaving = leaving_;
        update.address = settings_.address;
        update.in_force = in_force_;
        return update;
    }
    const auto found = peers_.find(vm);
    if (found != peers_.end()) {
        const peer& entry = found->second;
        update.incarnation = entry.info.incarnation;
        update.refutation = entry.refutation;
        update.state = entry.info.state;
        update.leaving = entry.announced_leaving;
        update.address = entry.info.control;
        update.in_force = entry.info.in_force;
    }
    return update;
}

std::size_t member::spread_limit() const {
    if (live_.size() <= settings_.probe_all_limit) {
        return 2 * live_.size(); // two messages to each member, about one period
    }
    const double digits = std::ceil(std::log10(static_cast<double>(live_.size()) + 1.0));
    return settings_.retransmit_factor * std::max<std::size_t>(1, static_cast<std::size_t>(digits));
}

ping member::make_ping(std::uint64_t nonce, std::vector<member_update> updates) {
    refresh_views();
    return {nonce, digest_, false, current_acknowledgements(), std::move(updates)};
}

ack member::make_ack(std::uint64_t nonce, std::vector<member_update> updates) {
    refresh_views();
    return {nonce, digest_, current_acknowledgements(), std::move(updates)};
}

std::uint64_t member::compute_digest() const {
    std::uint64_t combined = 0;
    const auto add = [&combined](const base::vm_id& vm, base::incarnation incarnation,
                                 std::uint64_t refutation) {
        combined ^= base::stable_hash(vm.value(), incarnation.value() * 31 + refutation);
    };
    add(settings_.self, settings_.incarnation, refutation_);
    for (const auto& [vm, entry] : peers_) {
        if (entry.info.state != liveness::dead) {
            add(vm, entry.info.incarnation, entry.refutation);
        }
    }
    return combined;
}

base::revision member::in_force_of(const base::vm_id& vm) const {
    return vm == settings_.self ? in_force_ : peers_.at(vm).info.in_force;
}

void member::raise_in_force(peer& entry, base::revision revision) {
    if (revision > entry.info.in_force) {
        entry.info.in_force = revision;
        acknowledgements_stale_ = true;
    }
}

const revision_acknowledgements& member::current_acknowledgements() {
    if (!std::exchange(acknowledgements_stale_, false)) {
        return acknowledgements_;
    }
    acknowledgements_.all = true;
    acknowledgements_.bits.assign((live_.size() + 7) / 8, 0);
    for (std::size_t i = 0; i < live_.size(); ++i) {
        if (in_force_of(live_[i]) >= in_force_) {
            acknowledgements_.bits[i / 8] =
                static_cast<std::uint8_t>(acknowledgements_.bits[i / 8] | (1U << (i % 8)));
        } else {
            acknowledgements_.all = false;
        }
    }
    if (acknowledgements_.all) {
        acknowledgements_.bits.clear();
    }
    return acknowledgements_;
}

void member::merge_acknowledgements(base::revision revision,
                                    const revision_acknowledgements& peer_acknowledgements) {
    if (current_acknowledgements().all && revision <= in_force_) {
        return;
    }
    if (!peer_acknowledgements.all && peer_acknowledgements.bits.size() != (live_.size() + 7) / 8) {
        return;
    }
    for (std::size_t i = 0; i < live_.size(); ++i) {
        const bool acknowledged =
            peer_acknowledgements.all || ((peer_acknowledgements.bits[i / 8] >> (i % 8)) & 1U) != 0;
        if (acknowledged && live_[i] != settings_.self) {
            raise_in_force(peers_.at(live_[i]), revision);
        }
    }
}

std::vector<outgoing> member::take_outgoing() {
    return std::exchange(outgoing_, {});
}

std::vector<member_change> member::take_changes() {
    return std::exchange(changes_, {});
}

bool member::is_live(const base::vm_id& vm) const {
    const auto found = peers_.find(vm);
    return vm == settings_.self || (found != peers_.end() && found->second.info.state != liveness::dead);
}

std::optional<endpoint> member::control_address(const base::vm_id& vm) const {
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.info.control.address.empty()) {
        return std::nullopt;
    }
    return found->second.info.control;
}

std::optional<endpoint> member::admin_address(const base::vm_id& vm) const {
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.info.admin.address.empty()) {
        return std::nullopt;
    }
    return found->second.info.admin;
}

std::vector<base::vm_id> member::random_peers(std::size_t count) {
    std::vector<base::vm_id> picked;
    std::sample(live_.begin(), live_.end(), std::back_inserter(picked), count + 1, random_);
    std::shuffle(picked.begin(), picked.end(), random_);
    picked.erase(std::remove(picked.begin(), picked.end(), settings_.self), picked.end());
    picked.resize(std::min(count, picked.size()));
    return picked;
}

std::size_t member::known_count() const {
    std::size_t count = 1;
    for (const auto& [vm, entry] : peers_) {
        const bool listed = entry.info.listed && !entry.listed_leaving;
        count += listed || entry.info.state != liveness::dead ? 1 : 0;
    }
    return count;
}

bool member::knows_peers() const {
    return !peers_.empty();
}

member_info member::newest_revision_holder() const {
    member_info best = self_info();
    for (const auto& [vm, entry] : peers_) {
        if (entry.info.in_force > best.in_force) {
            best = entry.info;
        }
    }
    return best;
}

std::vector<member_info> member::members() const {
    std::vector<member_info> all{self_info()};
    for (const auto& [vm, entry] : peers_) {
        all.push_back(entry.info);
        all.back().leaving = entry.listed_leaving || entry.announced_leaving;
    }
    std::sort(all.begin(), all.end(), [](const member_info& a, const member_info& b) { return a.vm < b.vm; });
    return all;
}

member_info member::self_info() const {
    member_info info;
    info.vm = settings_.self;
    info.incarnation = settings_.incarnation;
    info.state = departed_ ? liveness::dead : liveness::alive;
    info.leaving = leaving_;
    info.listed = true;
    info.control = settings_.address;
    info.in_force = in_force_;
    return info;
}

void member::refresh_views() {
    if (!std::exchange(views_stale_, false)) {
        return;
    }
    digest_ = compute_digest();
    acknowledgements_stale_ = true;
    live_ = {settings_.self};
    owners_.clear();
    if (!leaving_) {
        owners_.push_back(settings_.self);
    }
    for (const auto& [vm, entry] : peers_) {
        if (entry.info.state != liveness::dead) {
            live_.push_back(vm);
            if (!entry.listed_leaving && !entry.announced_leaving) {
                owners_.push_back(vm);
            }
        }
    }
    std::sort(live_.begin(), live_.end());
    std::sort(owners_.begin(), owners_.end());
    if (owners_.empty()) {
        owners_ = live_;
    }
}

} // namespace bluebell::decision
