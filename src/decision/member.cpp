#include "decision/member.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace bluebell::decision {
namespace {

/// Probes made for others at one time; more are not answered, which costs the asker one of its three.
constexpr std::size_t max_relays = 256;
/// Candidates that a router without a table asks in each period.
constexpr std::size_t joining_probes = 8;
/// Differing digests in a row before the table is asked for. One or two differ whenever an update spreads.
constexpr std::size_t tolerated_mismatches = 4;
/// Least time between two requests for the table; one table of 350 members takes about 10 KB.
constexpr base::duration table_interval = std::chrono::seconds(5);
/// Peers that are told at once of a change of state that a message brought, and how often in one period.
/// Keeps a refutation from arriving after the suspicion time; the limit holds the traffic of a mass change
/// down.
constexpr std::size_t forward_fanout = 2;
constexpr std::size_t forwards_per_period = 2;
/// Nonces start at a random number below this, so that an answer to an earlier life does not fit.
constexpr std::uint64_t nonce_start_range = 1ULL << 24U;

bool is_newer(const member_update& update, base::incarnation life, std::uint32_t refutation, liveness state) {
    return std::make_tuple(update.incarnation.value(), update.refutation, update.state) >
           std::make_tuple(life.value(), refutation, state);
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
    : settings_(std::move(settings)), random_(settings_.seed), table_asked_(now - table_interval),
      period_end_(now), next_due_(now) {
    last_nonce_ = random_() % nonce_start_range;
    pending_[settings_.self] = 0;
    views_stale_ = true;
    refresh_views();
}

void member::list(const std::vector<vm_entry>& vms, base::time_point now) {
    for (auto& [vm, known] : peers_) {
        known.info.listed = false;
        known.listed_leaving = false;
    }
    for (const vm_entry& entry : vms) {
        if (entry.vm == settings_.self) {
            continue;
        }
        const auto [found, added] = peers_.try_emplace(entry.vm);
        peer& known = found->second;
        if (added) {
            known.info.vm = entry.vm;
            known.info.state = liveness::dead;
            known.changed = now;
        }
        known.info.listed = true;
        known.info.data_centre = entry.data_centre;
        known.info.admin = entry.admin;
        known.info.cpu_cores = entry.cpu_cores;
        known.listed_leaving = entry.leaving;
        if (!known.known || known.info.state == liveness::dead) {
            known.info.control = entry.control;
        }
    }
    for (auto known = peers_.begin(); known != peers_.end();) {
        const bool forget = !known->second.info.listed && !known->second.known;
        known = forget ? peers_.erase(known) : std::next(known);
    }
    views_stale_ = true;
    refresh_views();
}

base::result<void> member::receive(const envelope& what, base::time_point now) {
    if (departed_) {
        return base::failure(base::error_code::draining, settings_.self.value(), "router has left");
    }
    base::result<void> admitted = admit(what, now);
    if (admitted) {
        const base::vm_id& from = what.header.sender;
        if (const ping* probed = std::get_if<ping>(&what.body)) {
            on_ping(what.header, *probed, now);
        } else if (const ack* answer = std::get_if<ack>(&what.body)) {
            on_ack(what.header, *answer, now);
        } else if (const ping_request* asked = std::get_if<ping_request>(&what.body)) {
            on_ping_request(from, *asked, now);
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

base::result<void> member::admit(const envelope& what, base::time_point now) {
    const message_header& header = what.header;
    if (header.sender == settings_.self) {
        return base::failure(base::error_code::message_unknown_sender, header.sender.value(),
                             "sender has the name of this router");
    }
    const auto found = peers_.find(header.sender);
    if (found == peers_.end()) {
        return admit_stranger(what, now);
    }
    peer& sender = found->second;
    if (sender.known && header.incarnation < sender.info.incarnation) {
        if (std::holds_alternative<ping>(what.body)) {
            // Tells a router whose clock was set back which incarnation it has to exceed.
            outgoing_.push_back({header.sender, make_ack(0, {update_on(header.sender)})});
        }
        return base::failure(base::error_code::message_stale_incarnation, header.sender.value(),
                             "a later life of the sender is known");
    }
    if (!sender.known || sender.info.incarnation < header.incarnation) {
        admit_new_life(sender, header, now);
    }
    note_in_force(sender, header.in_force);
    return {};
}

base::result<void> member::admit_stranger(const envelope& what, base::time_point now) {
    // A new VM may be missing from the lagging list; it introduces itself by the first update of its ping.
    const ping* probed = std::get_if<ping>(&what.body);
    const bool introduced = probed != nullptr && !probed->updates.empty() &&
                            probed->updates.front().vm == what.header.sender &&
                            probed->updates.front().incarnation == what.header.incarnation;
    if (!introduced) {
        return base::failure(base::error_code::message_unknown_sender, what.header.sender.value(),
                             "sender is neither listed nor a member");
    }
    merge_peer(probed->updates.front(), now);
    return {};
}

void member::admit_new_life(peer& sender, const message_header& header, base::time_point now) {
    member_update update;
    update.vm = header.sender;
    update.incarnation = header.incarnation;
    update.address = sender.info.control;
    update.in_force = header.in_force;
    replace(sender, update, now);
}

void member::on_ping(const message_header& header, const ping& what, base::time_point now) {
    const base::vm_id& from = header.sender;
    merge(what.updates, now);
    learn_address(header, what.updates);
    const bool introduced = !what.updates.empty() && what.updates.front().vm == from;
    if (what.nonce != 0) {
        ack answer = make_ack(what.nonce, updates_for(from));
        if (introduced) {
            answer.updates.insert(answer.updates.begin(), update_on(settings_.self));
        }
        outgoing_.push_back({from, std::move(answer)});
    }
    if (what.want_table) {
        send_table(from);
    }
    compare_tables(header, what.digest, what.acknowledged, now);
}

/// A restarted router may listen on another port. The first message of its new life may be of any kind and
/// carries no address, so the old one stays until the router states the new one itself.
void member::learn_address(const message_header& header, const std::vector<member_update>& updates) {
    const auto sender = peers_.find(header.sender);
    if (sender == peers_.end()) {
        return;
    }
    for (const member_update& update : updates) {
        if (update.vm == header.sender && update.incarnation == header.incarnation &&
            !update.address.address.empty() && update.address != sender->second.info.control) {
            sender->second.info.control = update.address;
            pending_[update.vm] = 0;
        }
    }
}

void member::on_ack(const message_header& header, const ack& what, base::time_point now) {
    merge(what.updates, now);
    learn_address(header, what.updates);
    const auto answered = std::find_if(probes_.begin(), probes_.end(),
                                       [&](const probe& sent) { return sent.nonce == what.nonce; });
    if (what.nonce != 0 && answered != probes_.end()) {
        const auto target = peers_.find(answered->target);
        if (target != peers_.end()) {
            target->second.info.last_heard = answered->sent;
        }
        note_answer(peers_.at(header.sender), header, answered->sent);
        probes_.erase(answered);
    }
    pass_on_ack(what.nonce);
    if (what.nonce != 0) {
        compare_tables(header, what.digest, what.acknowledged, now);
    }
}

void member::note_answer(peer& who, const message_header& header, base::time_point sent) {
    who.info.last_heard = sent;
    peer_heard_ = std::max(peer_heard_.value_or(sent), sent);
    if (header.confirmation_age != never_confirmed) {
        const base::time_point confirmed = sent - header.confirmation_age;
        who.info.head_confirmed_at = std::max(who.info.head_confirmed_at.value_or(confirmed), confirmed);
        peer_confirmed_ = std::max(peer_confirmed_.value_or(confirmed), confirmed);
    }
}

void member::pass_on_ack(std::uint64_t nonce) {
    const auto relayed =
        std::find_if(relays_.begin(), relays_.end(), [&](const relay& made) { return made.nonce == nonce; });
    if (relayed != relays_.end()) {
        outgoing_.push_back({relayed->origin, make_ack(relayed->origin_nonce, updates_for(relayed->origin))});
        relays_.erase(relayed);
    }
}

void member::on_ping_request(const base::vm_id& from, const ping_request& what, base::time_point now) {
    relays_.erase(std::remove_if(relays_.begin(), relays_.end(),
                                 [&](const relay& made) { return made.expires <= now; }),
                  relays_.end());
    if (relays_.size() >= max_relays || peers_.count(what.target) == 0) {
        return;
    }
    relays_.push_back({++last_nonce_, from, what.nonce, now + settings_.probe_period});
    send_ping(what.target, last_nonce_, false);
}

void member::compare_tables(const message_header& header, std::uint64_t digest_there,
                            const revision_acknowledgements& acknowledged_there, base::time_point now) {
    refresh_views();
    if (digest_there == digest_) {
        merge_acknowledged(header.in_force, acknowledged_there);
        count_as_spread();
        synchronised_ = true;
        mismatches_ = 0;
        return;
    }
    ++mismatches_;
    if (mismatches_ >= tolerated_mismatches && pending_.empty() && now - table_asked_ >= table_interval) {
        table_asked_ = now;
        mismatches_ = 0;
        send_ping(header.sender, 0, true);
    }
}

/// A peer with the same table knows every pending update, which is worth as much as having sent it. This ends
/// the spreading early after a mass change. A few updates are sent in full, because a refutation that misses
/// a router costs a false death: 90 of them at 10% loss in a minute at 350 members, against 1.
void member::count_as_spread() {
    if (pending_.size() <= settings_.updates_per_message) {
        return;
    }
    const std::size_t limit = spread_limit();
    for (auto update = pending_.begin(); update != pending_.end();) {
        update = ++update->second >= limit ? pending_.erase(update) : std::next(update);
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
    const bool ahead = update.incarnation > settings_.incarnation ||
                       (update.incarnation == settings_.incarnation && update.refutation > refutation_);
    const bool accused = update.incarnation == settings_.incarnation && update.refutation == refutation_ &&
                         update.state != liveness::alive;
    if (ahead) {
        // Peers remember a state that this process never had, so it belongs to an earlier start.
        settings_.incarnation = update.incarnation + base::incarnation(1);
        refutation_ = 0;
    } else if (accused) {
        ++refutation_;
    } else {
        return;
    }
    views_stale_ = true;
    pending_[settings_.self] = 0;
    spread_at_once(settings_.spread_fanout);
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
        found->second.changed = now;
    }
    peer& known = found->second;
    if (!known.known ? update.state != liveness::dead
                     : is_newer(update, known.info.incarnation, known.refutation, known.info.state)) {
        replace(known, update, now);
    } else if (known.known && update.incarnation == known.info.incarnation) {
        note_in_force(known, update.in_force);
    }
}

void member::replace(peer& known, const member_update& update, base::time_point now) {
    const bool was_live = known.known && known.info.state != liveness::dead;
    const bool restarted = known.known && update.incarnation > known.info.incarnation;
    known.known = true;
    known.info.in_force = restarted ? update.in_force : std::max(known.info.in_force, update.in_force);
    known.info.incarnation = update.incarnation;
    known.refutation = update.refutation;
    known.announced_leaving = update.leaving;
    if (!update.address.address.empty()) {
        known.info.control = update.address;
    }
    if (was_live && restarted && update.state != liveness::dead) {
        changes_.push_back({member_change_kind::restarted, update.vm, update.incarnation});
    }
    change_state(known, update.state, now);
    pending_[update.vm] = 0;
}

void member::change_state(peer& known, liveness state, base::time_point now) {
    const bool was_live = known.info.state != liveness::dead;
    const bool is_live_now = state != liveness::dead;
    known.info.state = state;
    known.changed = now;
    views_stale_ = true;
    state_changed_ = true;
    if (was_live != is_live_now) {
        changes_.push_back({is_live_now ? member_change_kind::joined : member_change_kind::left,
                            known.info.vm, known.info.incarnation});
    }
}

void member::tick(base::time_point now) {
    if (departed_) {
        next_due_ = now + settings_.probe_period;
        return;
    }
    if (now - next_due_ > settings_.ack_timeout) {
        discount_pause(now);
    }
    send_indirect_probes(now);
    bury_suspects(now);
    if (now >= period_end_) {
        fail_probes(now);
        forget_dead(now);
        start_period(now);
    }
    next_due_ = earliest_due();
    refresh_views();
    forward_changes();
}

void member::discount_pause(base::time_point now) {
    probes_.clear();
    for (auto& [vm, known] : peers_) {
        if (known.info.state == liveness::suspect) {
            known.changed = now;
        }
    }
}

void member::start_period(base::time_point now) {
    period_end_ = now + settings_.probe_period;
    forwards_left_ = forwards_per_period;
    bool want_table = !synchronised_;
    for (const base::vm_id& target : next_targets()) {
        probes_.push_back({++last_nonce_, target, now, false});
        send_ping(target, last_nonce_, std::exchange(want_table, false));
    }
}

std::vector<base::vm_id> member::next_targets() {
    std::vector<base::vm_id> targets;
    if (peers_.size() < settings_.probe_all_limit) {
        for (const auto& [vm, known] : peers_) {
            targets.push_back(vm);
        }
        std::shuffle(targets.begin(), targets.end(), random_);
        return targets;
    }
    targets = pick_candidates(synchronised_ ? 1 : joining_probes);
    if (const std::optional<base::vm_id> live = next_live()) {
        targets.push_back(*live);
    }
    return targets;
}

std::optional<base::vm_id> member::next_live() {
    // Random order without repetition bounds the time until each peer is probed.
    for (std::size_t tries = 0; tries < 2; ++tries) {
        while (!order_.empty()) {
            const base::vm_id vm = order_.back();
            order_.pop_back();
            if (vm != settings_.self && is_live(vm)) {
                return vm;
            }
        }
        order_ = live_;
        std::shuffle(order_.begin(), order_.end(), random_);
    }
    return std::nullopt;
}

std::vector<base::vm_id> member::pick_candidates(std::size_t count) {
    std::vector<base::vm_id> all;
    for (const auto& [vm, known] : peers_) {
        if (known.info.state == liveness::dead) {
            all.push_back(vm);
        }
    }
    std::vector<base::vm_id> picked;
    std::sample(all.begin(), all.end(), std::back_inserter(picked), count, random_);
    return picked;
}

void member::send_indirect_probes(base::time_point now) {
    for (probe& open : probes_) {
        if (open.indirect || now - open.sent < settings_.ack_timeout || !is_live(open.target)) {
            continue;
        }
        open.indirect = true;
        std::size_t asked = 0;
        for (const base::vm_id& helper : random_peers(settings_.indirect_probes + 1)) {
            if (helper != open.target && asked < settings_.indirect_probes) {
                outgoing_.push_back({helper, ping_request{open.nonce, open.target}});
                ++asked;
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
        pending_[open.target] = 0;
        // The suspect hears of it at once, so that it can refute within the suspicion time.
        send_ping(open.target, 0, false);
    }
}

void member::bury_suspects(base::time_point now) {
    for (auto& [vm, known] : peers_) {
        if (known.info.state == liveness::suspect && now - known.changed >= settings_.suspicion_time) {
            change_state(known, liveness::dead, now);
            pending_[vm] = 0;
        }
    }
}

void member::forget_dead(base::time_point now) {
    for (auto known = peers_.begin(); known != peers_.end();) {
        const peer& each = known->second;
        const bool forget = each.info.state == liveness::dead && !each.info.listed &&
                            now - each.changed >= settings_.dead_retention;
        known = forget ? peers_.erase(known) : std::next(known);
    }
}

base::time_point member::earliest_due() const {
    base::time_point due = period_end_;
    for (const probe& open : probes_) {
        if (!open.indirect && is_live(open.target)) {
            due = std::min(due, open.sent + settings_.ack_timeout);
        }
    }
    for (const auto& [vm, known] : peers_) {
        if (known.info.state == liveness::suspect) {
            due = std::min(due, known.changed + settings_.suspicion_time);
        }
    }
    return due;
}

void member::put_in_force(base::revision rev, base::time_point /*now*/) {
    if (rev <= in_force_) {
        return;
    }
    in_force_ = rev;
    acknowledged_stale_ = true;
    spread_at_once(settings_.spread_fanout);
}

void member::announce_leaving(base::time_point /*now*/) {
    if (std::exchange(leaving_, true)) {
        return;
    }
    ++refutation_;
    views_stale_ = true;
    pending_[settings_.self] = 0;
    spread_at_once(settings_.spread_fanout);
    refresh_views();
}

void member::depart(base::time_point /*now*/) {
    if (std::exchange(departed_, true)) {
        return;
    }
    views_stale_ = true;
    pending_[settings_.self] = 0;
    spread_at_once(settings_.probe_all_limit);
    probes_.clear();
    relays_.clear();
}

void member::spread_at_once(std::size_t fanout) {
    for (const base::vm_id& vm : random_peers(fanout)) {
        send_ping(vm, 0, false);
    }
}

void member::send_ping(const base::vm_id& to, std::uint64_t nonce, bool want_table) {
    ping probe_message = make_ping(nonce, updates_for(to));
    probe_message.want_table = want_table;
    if (!is_live(to)) {
        probe_message.updates.insert(probe_message.updates.begin(), update_on(settings_.self));
    }
    outgoing_.push_back({to, std::move(probe_message)});
}

void member::send_table(const base::vm_id& to) {
    std::vector<member_update> part{update_on(settings_.self)};
    for (const auto& [vm, known] : peers_) {
        if (known.known) {
            part.push_back(update_on(vm));
        }
        if (part.size() >= settings_.updates_per_message) {
            outgoing_.push_back({to, make_ping(0, std::exchange(part, {}))});
        }
    }
    if (!part.empty()) {
        outgoing_.push_back({to, make_ping(0, std::move(part))});
    }
}

std::vector<member_update> member::updates_for(const base::vm_id& to) {
    std::vector<member_update> updates;
    const auto receiver = peers_.find(to);
    if (receiver != peers_.end() && receiver->second.known &&
        receiver->second.info.state != liveness::alive) {
        updates.push_back(update_on(to)); // lets it refute
    }
    using candidate = std::map<base::vm_id, std::size_t>::iterator;
    std::vector<candidate> least_sent;
    for (auto each = pending_.begin(); each != pending_.end(); ++each) {
        least_sent.push_back(each);
    }
    // Without a random order among equals every router spreads the same few updates first.
    std::shuffle(least_sent.begin(), least_sent.end(), random_);
    const std::size_t count = std::min(settings_.updates_per_message, least_sent.size());
    std::partial_sort(least_sent.begin(), least_sent.begin() + static_cast<std::ptrdiff_t>(count),
                      least_sent.end(),
                      [](const candidate& a, const candidate& b) { return a->second < b->second; });
    least_sent.resize(count);
    const std::size_t limit = spread_limit();
    for (const candidate& each : least_sent) {
        if (each->first != to) {
            updates.push_back(update_on(each->first));
        }
        if (++each->second >= limit) {
            pending_.erase(each);
        }
    }
    return updates;
}

member_update member::update_on(const base::vm_id& vm) const {
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
        const peer& known = found->second;
        update.incarnation = known.info.incarnation;
        update.refutation = known.refutation;
        update.state = known.info.state;
        update.leaving = known.announced_leaving;
        update.address = known.info.control;
        update.in_force = known.info.in_force;
    }
    return update;
}

std::size_t member::spread_limit() const {
    if (live_.size() <= settings_.probe_all_limit) {
        return 2 * live_.size(); // two messages to each member, about one period
    }
    const double digits = std::ceil(std::log10(static_cast<double>(live_.size()) + 1.0));
    return settings_.spread_factor * std::max<std::size_t>(1, static_cast<std::size_t>(digits));
}

ping member::make_ping(std::uint64_t nonce, std::vector<member_update> updates) {
    refresh_views();
    return {nonce, digest_, false, acknowledged(), std::move(updates)};
}

ack member::make_ack(std::uint64_t nonce, std::vector<member_update> updates) {
    refresh_views();
    return {nonce, digest_, acknowledged(), std::move(updates)};
}

std::uint64_t member::make_digest() const {
    std::uint64_t combined = 0;
    const auto add = [&combined](const base::vm_id& vm, base::incarnation life, std::uint64_t refutation) {
        combined ^= base::stable_hash(vm.value(), life.value() * 31 + refutation);
    };
    add(settings_.self, settings_.incarnation, refutation_);
    for (const auto& [vm, known] : peers_) {
        if (known.info.state != liveness::dead) {
            add(vm, known.info.incarnation, known.refutation);
        }
    }
    return combined;
}

base::revision member::in_force_at(const base::vm_id& vm) const {
    return vm == settings_.self ? in_force_ : peers_.at(vm).info.in_force;
}

void member::note_in_force(peer& known, base::revision rev) {
    if (rev > known.info.in_force) {
        known.info.in_force = rev;
        acknowledged_stale_ = true;
    }
}

const revision_acknowledgements& member::acknowledged() {
    if (!std::exchange(acknowledged_stale_, false)) {
        return acknowledged_;
    }
    acknowledged_.all = true;
    acknowledged_.bits.assign((live_.size() + 7) / 8, 0);
    for (std::size_t i = 0; i < live_.size(); ++i) {
        if (in_force_at(live_[i]) >= in_force_) {
            acknowledged_.bits[i / 8] =
                static_cast<std::uint8_t>(acknowledged_.bits[i / 8] | (1U << (i % 8)));
        } else {
            acknowledged_.all = false;
        }
    }
    if (acknowledged_.all) {
        acknowledged_.bits.clear();
    }
    return acknowledged_;
}

void member::merge_acknowledged(base::revision rev, const revision_acknowledgements& there) {
    if (acknowledged().all && rev <= in_force_) {
        return;
    }
    if (!there.all && there.bits.size() != (live_.size() + 7) / 8) {
        return;
    }
    for (std::size_t i = 0; i < live_.size(); ++i) {
        const bool has = there.all || ((there.bits[i / 8] >> (i % 8)) & 1U) != 0;
        if (has && live_[i] != settings_.self) {
            note_in_force(peers_.at(live_[i]), rev);
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
    for (const auto& [vm, known] : peers_) {
        const bool listed = known.info.listed && !known.listed_leaving;
        count += listed || known.info.state != liveness::dead ? 1 : 0;
    }
    return count;
}

bool member::knows_peers() const {
    return !peers_.empty();
}

member_info member::newest() const {
    member_info best = self_info();
    for (const auto& [vm, known] : peers_) {
        if (known.info.in_force > best.in_force) {
            best = known.info;
        }
    }
    return best;
}

std::vector<member_info> member::members() const {
    std::vector<member_info> all{self_info()};
    for (const auto& [vm, known] : peers_) {
        all.push_back(known.info);
        all.back().leaving = known.listed_leaving || known.announced_leaving;
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
    digest_ = make_digest();
    acknowledged_stale_ = true;
    live_ = {settings_.self};
    owners_.clear();
    if (!leaving_) {
        owners_.push_back(settings_.self);
    }
    for (const auto& [vm, known] : peers_) {
        if (known.info.state != liveness::dead) {
            live_.push_back(vm);
            if (!known.listed_leaving && !known.announced_leaving) {
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
