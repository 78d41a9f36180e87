// Exchange of work reports and of the list of upstreams between the dispatchers of the fleet.
#include "base/hash.h"
#include "base/log.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Interval at which a delegate sends aggregated reports.
constexpr base::duration digest_interval = std::chrono::milliseconds(150);
/// Shortest interval between two reports of changed accounts. Until the other routers know of a flood, it
/// takes the room that engines have.
constexpr base::duration news_interval = std::chrono::milliseconds(30);
/// The same while an account changes so much that a flood has probably begun; at a delegate, no shorter than
/// this time for each of its reporters, which bounds its datagrams to 4,000 a second.
constexpr base::duration urgent_news_interval = std::chrono::milliseconds(5);
constexpr base::duration reporter_news_time = std::chrono::microseconds(250);
/// Shortest interval at which a delegate passes on changes of the list of upstreams.
constexpr base::duration list_update_interval = std::chrono::milliseconds(20);
/// How long a router waits for changes that its delegate knows before it reads the store. It covers a lost
/// update and its repetition.
constexpr base::duration list_update_timeout = std::chrono::milliseconds(700);

} // namespace

void dispatcher::receive_report(const decision::envelope& received) {
    const decision::work_report& report = std::get<decision::work_report>(received.body);
    const base::vm_id& from = received.header.sender;
    const bool from_delegate = from == delegation_.delegate();
    if (foreign_aggregate(from, report.aggregated)) {
        return;
    }
    if (delegation_.is_delegate() && !report.aggregated) {
        if (delegation_.record_reporter(from, received.header.sequence, now_)) {
            send_cached_parts(from);
            send_evacuations_to(from);
        }
        feed_.record_report(from, report.upstreams_position);
        send_list_updates_to(from);
    }
    const forward_scope scope =
        report.aggregated ? forward_scope::own_data_centre : forward_scope::everywhere;
    placement_.receive_report(from, report.upstreams, now_,
                              delegation_.is_delegate() ? scope : forward_scope::none);
    fair_share_.receive_report(from, report.accounts, now_, !report.aggregated);
    news_received_ = news_received_ || (report.upstreams.empty() && !report.accounts.empty());
    if (!report.aggregated || !from_delegate) {
        return;
    }
    const std::optional<base::time_point> sent_at =
        delegation_.record_answer(from, report.acknowledged_sequence);
    if (sent_at && received.header.confirmation_age != decision::never_confirmed) {
        confirm_version(received.header.in_force, *sent_at - received.header.confirmation_age);
    }
    reported_list_position_ = std::max(reported_list_position_, report.upstreams_position);
}

/// In a fleet with delegates, a router that is none has the sums of all data centres from its own delegate,
/// which drops those of a data centre that has fallen silent.
void dispatcher::record_sums_ages() {
    if (!placement_.any_capacity_varies()) {
        return;
    }
    const bool follows_delegate = delegation_.needed() && !delegation_.is_delegate();
    for (const decision::member_info& member : members_.members()) {
        if (member.vm == members_.self() || (follows_delegate && member.state != decision::liveness::alive)) {
            continue;
        }
        const base::vm_id& reporter = follows_delegate ? delegation_.delegate() : member.vm;
        if (const std::optional<base::time_point> received_at = placement_.last_report(reporter)) {
            placement_.record_sums(member.data_centre, *received_at);
        }
    }
}

void dispatcher::publish_crossing_shares() {
    std::vector<crossing_share> shares = placement_.crossings().shares();
    if (crossing_shares_ ? *crossing_shares_ != shares : !shares.empty()) {
        crossing_shares_ = std::make_shared<const std::vector<crossing_share>>(std::move(shares));
    }
}

decision::state_section dispatcher::crossing_section() const {
    decision::state_section section{"crossing", {}};
    for (const crossing_share& known : placement_.crossings().shares()) {
        const std::string name = known.pool.value() + "/" + known.to.value();
        section.values.push_back({name + "/share", known.share ? std::to_string(*known.share) : "null"});
        section.values.push_back(
            {name + "/reason", '"' + std::string(dispatch::to_string(known.reason)) + '"'});
    }
    for (const auto& [data_centre, time] : placement_.crossings().round_trips()) {
        section.values.push_back({"round_trip_ms/" + data_centre.value(),
                                  std::to_string(std::chrono::duration<double, std::milli>(time).count())});
    }
    return section;
}

std::uint64_t dispatcher::overdue_list_position() {
    if (reported_list_position_ <= roster_position_) {
        list_behind_since_.reset();
        return 0;
    }
    list_behind_since_ = list_behind_since_.value_or(now_);
    if (now_ - *list_behind_since_ < list_update_timeout) {
        return 0;
    }
    if (roster_order_.required_position < reported_list_position_) {
        base::log_event(base::log_level::info, "dispatcher", "list_update_overdue",
                        {{"delegate", delegation_.delegate().value()},
                         {"position", roster_position_},
                         {"reported_position", reported_list_position_},
                         {"version", replica_.version(delegation_.delegate())}});
    }
    return reported_list_position_;
}

base::time_point dispatcher::list_updates_due() const {
    return list_changed_ && delegation_.is_delegate() ? next_list_update_ : base::time_point::max();
}

void dispatcher::send_list_updates() {
    next_list_update_ = now_ + list_update_interval;
    for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
        send_list_updates_to(reporter);
    }
}

void dispatcher::send_list_updates_to(const base::vm_id& reporter) {
    if (std::exchange(list_changed_, false)) {
        feed_.update(roster_.entries(), roster_position_);
    }
    for (decision::upstream_list_update& update : feed_.updates_for(reporter, now_)) {
        send_to(reporter, std::move(update));
    }
}

/// Applies what the delegate passes on, unless this router has read a newer list itself.
void dispatcher::receive_list_update(const decision::envelope& received) {
    if (delegation_.is_delegate() || received.header.sender != delegation_.delegate()) {
        return;
    }
    std::optional<received_list_change> change =
        replica_.receive(received.header.sender, received.header.incarnation,
                         std::get<decision::upstream_list_update>(received.body));
    if (!change || change->store_position < roster_position_) {
        return;
    }
    if (!change->whole_list) {
        return on(roster_changed{std::move(change->changes), change->store_position, std::nullopt});
    }
    roster_read whole;
    whole.store_position = change->store_position;
    for (upstream_change& listed : change->changes) {
        if (listed.entry) {
            whole.entries.push_back(std::move(*listed.entry));
        }
    }
    on(whole);
}

void dispatcher::send_report() {
    if (delegation_.is_delegate()) {
        return send_aggregated_reports();
    }
    const decision::work_report report{placement_.own_work(now_), fair_share_.own_work(now_), false, 0,
                                       replica_.version(delegation_.delegate())};
    if (delegation_.needed()) {
        send_to(delegation_.delegate(), report);
        delegation_.record_sent_report(sequence_, now_);
        return;
    }
    for (const base::vm_id& peer : members_.live()) {
        if (peer != members_.self()) {
            send_to(peer, report);
        }
    }
}

/// Sends each reporter the work of all other routers, and the delegates of the other data centres the work of
/// this data centre.
void dispatcher::send_aggregated_reports() {
    if (now_ < next_aggregated_report_) {
        return;
    }
    next_aggregated_report_ = now_ + digest_interval;
    fair_share_.record_forwarded(now_);
    placement_.begin_aggregation(now_);
    for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
        const std::set<base::vm_id> without{reporter};
        send_to(reporter, decision::work_report{
                              placement_.aggregated_work(without, forward_scope::own_data_centre),
                              fair_share_.aggregated_work(without, now_), true, sequence, roster_position_});
    }
    for (const base::vm_id& delegate : delegation_.other_delegates()) {
        send_to(delegate,
                decision::work_report{
                    placement_.aggregated_work(delegation_.other_delegates(), forward_scope::everywhere),
                    fair_share_.aggregated_work(delegation_.other_delegates(), now_), true, 0, 0});
    }
    placement_.end_aggregation();
}

base::time_point dispatcher::news_due() const {
    const bool delegate = delegation_.is_delegate();
    if (!delegation_.needed() || !(news_received_ || fair_share_.has_news(delegate))) {
        return base::time_point::max();
    }
    const bool urgent = news_received_ || fair_share_.has_urgent_news(delegate);
    const base::duration reporters_time =
        reporter_news_time * static_cast<base::duration::rep>(delegation_.reporter_count());
    return last_share_update_ +
           (urgent ? std::min(news_interval, std::max(urgent_news_interval, reporters_time)) : news_interval);
}

/// Reports the accounts that have changed much, between the reports of all work.
void dispatcher::send_news() {
    news_received_ = false;
    if (!delegation_.is_delegate()) {
        std::vector<decision::account_work> news = fair_share_.take_own_news(now_);
        if (!news.empty()) {
            send_to(delegation_.delegate(),
                    decision::work_report{
                        {}, std::move(news), false, 0, replica_.version(delegation_.delegate())});
            delegation_.record_sent_report(sequence_, now_);
        }
        return;
    }
    std::set<base::client_account_id> changed;
    std::set<base::client_account_id> changed_near;
    for (const auto& [account, near] : fair_share_.take_fleet_changes(now_)) {
        changed.insert(account);
        if (near) {
            changed_near.insert(account);
        }
    }
    if (changed.empty()) {
        return;
    }
    for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
        send_to(reporter, decision::work_report{{},
                                                fair_share_.aggregated_work({reporter}, now_, &changed),
                                                true,
                                                sequence,
                                                roster_position_});
    }
    if (changed_near.empty()) {
        return;
    }
    const std::set<base::vm_id>& others = delegation_.other_delegates();
    for (const base::vm_id& delegate : others) {
        send_to(delegate, decision::work_report{
                              {}, fair_share_.aggregated_work(others, now_, &changed_near), true, 0, 0});
    }
}

/// Such a sender disagrees on the delegates. The same sums arrive from the delegate that this router knows.
bool dispatcher::foreign_aggregate(const base::vm_id& from, bool aggregated) const {
    return aggregated && !(delegation_.is_delegate() ? delegation_.other_delegates().count(from) != 0
                                                     : from == delegation_.delegate());
}

void dispatcher::send_to(const base::vm_id& to, decision::message body) {
    if (const std::optional<decision::endpoint> address = members_.control_address(to)) {
        output_.datagrams.push_back({*address, {make_header(), std::move(body)}});
    }
}

/// Sends a router that has just started the cached parts of the engines, if this router is chosen for it.
void dispatcher::inform_newcomer(const base::vm_id& newcomer) {
    std::vector<base::vm_id> others = members_.live();
    others.erase(std::remove(others.begin(), others.end(), newcomer), others.end());
    // In a fleet with delegates, the delegate of the newcomer sends them after its first report.
    if (!delegation_.needed() && base::rendezvous_owner(newcomer.value(), others) == members_.self()) {
        send_cached_parts(newcomer);
    }
}

void dispatcher::send_cached_parts(const base::vm_id& newcomer) {
    const std::set<base::vm_id> without{newcomer};
    for (decision::upstream_work& work :
         placement_.work_with_cached_parts(delegation_.is_delegate() ? &without : nullptr)) {
        send_to(newcomer, decision::work_report{{std::move(work)}, {}, delegation_.is_delegate(), 0, 0});
    }
}

} // namespace bluebell::dispatch
