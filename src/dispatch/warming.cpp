// Cold upstreams: who counts as a router, what is reported, and the dump.
#include "dispatch/dispatcher.h"

namespace bluebell::dispatch {
namespace {

/// Interval at which the routers among which turns are divided are looked up; well below the time for which a
/// silent one keeps its turns.
constexpr base::duration router_update_interval = std::chrono::milliseconds(500);

} // namespace

void dispatcher::update_warmup() {
    if (!warmup_.active()) {
        return;
    }
    warmup_.update(now_);
    if (now_ < next_router_update_) {
        return;
    }
    next_router_update_ = now_ + router_update_interval;
    std::vector<base::vm_id> present;
    for (const decision::member_info& member : members_.members()) {
        if (member.listed || member.state != decision::liveness::dead) {
            present.push_back(member.vm);
        }
    }
    warmup_.set_routers(present, peers_known_, now_);
}

/// A process whose connection failed or broke may have started again. An answer that reports a failure shows
/// that it has not.
void dispatcher::record_broken_process(const session& request, const attempt_finished& attempt) {
    const bool broken = attempt.outcome == attempt_outcome::unsent ||
                        attempt.outcome == attempt_outcome::lost || attempt.outcome == attempt_outcome::cut;
    if (broken && attempt.connection_tried) {
        warmup_.record_connection_failure(request.target, now_);
    }
}

/// While any upstream is cold other than by its entry, sends the findings to the routers that also get the
/// work.
void dispatcher::send_warmup() {
    if (warmup_.cold_count() == 0) {
        return;
    }
    if (delegation_.is_delegate()) {
        const decision::warmup_report for_reporters = warmup_.aggregated_report(true, now_);
        if (!for_reporters.upstreams.empty()) {
            for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
                send_to(reporter, for_reporters);
            }
        }
        const decision::warmup_report for_delegates = warmup_.aggregated_report(false, now_);
        if (!for_delegates.upstreams.empty()) {
            for (const base::vm_id& delegate : delegation_.other_delegates()) {
                send_to(delegate, for_delegates);
            }
        }
        return;
    }
    const decision::warmup_report report = warmup_.own_report(now_);
    if (report.upstreams.empty()) {
        return;
    }
    if (delegation_.needed()) {
        return send_to(delegation_.delegate(), report);
    }
    for (const base::vm_id& peer : members_.live()) {
        if (peer != members_.self()) {
            send_to(peer, report);
        }
    }
}

void dispatcher::receive_warmup(const decision::envelope& received) {
    const decision::warmup_report& report = std::get<decision::warmup_report>(received.body);
    if (!foreign_aggregate(received.header.sender, report.aggregated)) {
        warmup_.receive_report(report, now_);
    }
}

decision::state_section dispatcher::warmup_state() const {
    return {"warmup",
            {{"cold_upstreams", std::to_string(warmup_.cold_count())},
             {"routers", std::to_string(warmup_.router_count())},
             {"sent_in_turns", std::to_string(warmup_.sent_count())},
             {"skipped", std::to_string(warmup_.skipped_count())}}};
}

} // namespace bluebell::dispatch
