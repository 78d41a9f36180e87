// The part of the dispatcher that tells other routers of its work and hears of theirs.
#include "base/hash.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Interval at which a delegate tells the sums of the reports.
constexpr base::duration digest_interval = std::chrono::milliseconds(150);

} // namespace

void dispatcher::receive_report(const decision::envelope& what) {
    const decision::work_report& work = std::get<decision::work_report>(what.body);
    const base::vm_id& from = what.header.sender;
    const bool from_own = from == delegation_.delegate();
    if (work.aggregated && !(delegation_.is_delegate() ? delegation_.other_delegates().count(from) != 0 : from_own)) {
        // Routers that disagree on the delegates; what it contains arrives from the right one.
        return;
    }
    if (delegation_.is_delegate() && !work.aggregated && delegation_.record_reporter(from, what.header.sequence, now_)) {
        send_cached_parts(from);
    }
    const retelling heard = work.aggregated ? retelling::own_data_centre : retelling::everywhere;
    placement_.receive_report(from, work.upstreams, now_, delegation_.is_delegate() ? heard : retelling::none);
    fair_share_.receive_report(from, work.accounts, now_);
    if (!work.aggregated || !from_own) {
        return;
    }
    const std::optional<base::time_point> sent = delegation_.record_answer(from, work.acknowledged_sequence);
    if (sent && what.header.confirmation_age != decision::never_confirmed) {
        confirm_version(what.header.in_force, *sent - what.header.confirmation_age);
    }
    if (work.upstreams_position > roster_order_.required_position) {
        roster_order_.required_position = work.upstreams_position;
        output_.roster_order = roster_order_;
    }
}

void dispatcher::send_report() {
    if (delegation_.is_delegate()) {
        return send_aggregated_reports();
    }
    const decision::work_report told{placement_.own_work(now_), fair_share_.own_work(now_), false, 0, 0};
    if (delegation_.needed()) {
        send_to(delegation_.delegate(), told);
        delegation_.record_sent_report(sequence_, now_);
        return;
    }
    for (const base::vm_id& peer : members_.live()) {
        if (peer != members_.self()) {
            send_to(peer, told);
        }
    }
}

/// Tells each router that depends on this one what all others do, and the delegates of the other data
/// centres what this data centre does.
void dispatcher::send_aggregated_reports() {
    if (now_ < next_aggregated_report_) {
        return;
    }
    next_aggregated_report_ = now_ + digest_interval;
    placement_.begin_aggregation(now_);
    for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
        const std::set<base::vm_id> without{reporter};
        send_to(reporter, decision::work_report{placement_.aggregated_work(without, retelling::own_data_centre),
                                                fair_share_.aggregated_work(without, now_), true, sequence, roster_position_});
    }
    for (const base::vm_id& other : delegation_.other_delegates()) {
        send_to(other, decision::work_report{placement_.aggregated_work(delegation_.other_delegates(), retelling::everywhere),
                                             fair_share_.aggregated_work(delegation_.other_delegates(), now_), true, 0, 0});
    }
    placement_.end_aggregation();
}

void dispatcher::send_to(const base::vm_id& to, decision::message body) {
    if (const std::optional<decision::endpoint> address = members_.control_address(to)) {
        output_.datagrams.push_back({*address, {make_header(), std::move(body)}});
    }
}

/// One of the others tells a router that has just started which parts the engines keep.
void dispatcher::inform_newcomer(const base::vm_id& newcomer) {
    std::vector<base::vm_id> others = members_.live();
    others.erase(std::remove(others.begin(), others.end(), newcomer), others.end());
    // In a larger fleet a delegate does, at the first report.
    if (!delegation_.needed() && base::rendezvous_owner(newcomer.value(), others) == members_.self()) {
        send_cached_parts(newcomer);
    }
}

void dispatcher::send_cached_parts(const base::vm_id& newcomer) {
    const std::set<base::vm_id> without{newcomer};
    for (decision::upstream_work& work : placement_.work_with_cached_parts(delegation_.is_delegate() ? &without : nullptr)) {
        send_to(newcomer, decision::work_report{{std::move(work)}, {}, delegation_.is_delegate(), 0, 0});
    }
}

} // namespace bluebell::dispatch
