// Evacuations of data centres: what the store and other routers show, who is told, and the effect on
// requests.
#include "base/log.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// Interval of the reports of evacuations.
constexpr base::duration report_interval = std::chrono::seconds(1);
/// Time after which the report of a change is repeated, since a datagram may be lost.
constexpr base::duration repeat_time = std::chrono::milliseconds(150);
/// How long a router that has just started waits for the first view before it is ready all the same.
constexpr base::duration first_view_timeout = std::chrono::seconds(1);

double to_ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void dispatcher::on(const evacuations_read& reading) {
    if (!evacuations_enabled()) {
        return;
    }
    counters_["evacuation/unreadable"] = reading.unreadable;
    const bool changed = evacuations_.record_own({reading.data_centres, reading.confirmed_at}, now_);
    if (apply_evacuations() || changed) {
        report_evacuation_change();
    }
}

void dispatcher::receive(const base::vm_id& from, const decision::evacuation_report& report) {
    if (!evacuations_enabled()) {
        return;
    }
    evacuations_.record_peer(
        from, {{report.data_centres.begin(), report.data_centres.end()}, now_ - report.age}, now_);
    if (apply_evacuations()) {
        report_evacuation_change();
    }
}

/// Puts changes of the evacuations into effect. Returns true if there were any.
bool dispatcher::apply_evacuations() {
    const std::vector<evacuation_change> changes = evacuations_.take_changes();
    for (const evacuation_change& change : changes) {
        ++counters_[change.in_force ? "evacuation/in_force" : "evacuation/lifted"];
        if (!change.in_force) {
            // Entries may show only later that an upstream has become cold in the meantime.
            warmup_.data_centre_returned(change.data_centre, now_);
        }
        base::log_event(log_level::info, "dispatcher",
                        change.in_force ? "evacuation_in_force" : "evacuation_lifted",
                        {{"data_centre", change.data_centre.value()},
                         {"source", change.source.value().empty() ? "store" : change.source.value()},
                         {"age_ms", to_ms(change.age)}});
    }
    if (changes.empty()) {
        return false;
    }
    placement_.set_evacuated(evacuations_.data_centres());
    apply_roster();
    return true;
}

/// Without evacuations nothing is known of them, also after a reload of the settings.
void dispatcher::forget_evacuations() {
    for (const base::data_centre_id& data_centre : evacuations_.data_centres()) {
        warmup_.data_centre_returned(data_centre, now_);
    }
    evacuations_ = {};
    evacuation_repeat_.reset();
    placement_.set_evacuated({});
    apply_roster();
}

void dispatcher::report_evacuation_change() {
    send_evacuations();
    next_evacuation_report_ = now_ + report_interval;
    evacuation_repeat_ = now_ + repeat_time;
}

/// Routers that do not watch the store have nothing to tell that their delegate does not tell.
bool dispatcher::reports_evacuations() const {
    return evacuations_enabled() && roster_order_.watch && evacuations_.known();
}

base::time_point dispatcher::evacuations_due() const {
    return reports_evacuations()
               ? std::min(next_evacuation_report_, evacuation_repeat_.value_or(base::time_point::max()))
               : base::time_point::max();
}

/// Sends the reports that are due.
void dispatcher::repeat_evacuations() {
    send_evacuations();
    if (evacuation_repeat_ && *evacuation_repeat_ <= now_) {
        evacuation_repeat_.reset();
    }
    if (next_evacuation_report_ <= now_) {
        next_evacuation_report_ = now_ + report_interval;
    }
}

/// Each router passes on what it has read itself. Only a delegate also passes on what it has heard, and only
/// to routers that pass on nothing: each hop adds the time of its way to the confirmation, so that views
/// which go round would never age.
void dispatcher::send_evacuations() {
    if (!reports_evacuations()) {
        return;
    }
    if (delegation_.is_delegate()) {
        for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
            send_evacuations_to(reporter);
        }
    }
    if (!evacuations_.own()) {
        return;
    }
    if (delegation_.is_delegate()) {
        for (const base::vm_id& delegate : delegation_.other_delegates()) {
            send_evacuation_view(delegate, *evacuations_.own());
        }
    } else if (delegation_.needed()) {
        send_evacuation_view(delegation_.delegate(), *evacuations_.own());
    } else {
        for (const base::vm_id& peer : members_.live()) {
            if (peer != members_.self()) {
                send_evacuation_view(peer, *evacuations_.own());
            }
        }
    }
}

/// Tells a router that reports to this delegate everything that decides on the evacuations in force.
void dispatcher::send_evacuations_to(const base::vm_id& reporter) {
    if (!reports_evacuations()) {
        return;
    }
    for (const evacuation_view& view : evacuations_.decisive()) {
        send_evacuation_view(reporter, view);
    }
}

void dispatcher::send_evacuation_view(const base::vm_id& to, const evacuation_view& view) {
    decision::evacuation_report report;
    report.data_centres.assign(view.data_centres.begin(), view.data_centres.end());
    report.age = std::max(now_ - view.confirmed_at, base::duration::zero());
    send_to(to, std::move(report));
}

/// The follower of the evacuations watches wherever that of the upstreams does. Positions of the upstreams
/// mean nothing to it.
void dispatcher::update_evacuation_order(const follow_order& roster_order) {
    if (evacuations_enabled()) {
        output_.evacuation_order = roster_order;
        output_.evacuation_order->required_position = 0;
    }
}

/// A router that has just started may not know an evacuation that all others know.
bool dispatcher::awaits_evacuations(base::time_point now) const {
    return evacuations_enabled() && !evacuations_.own() && !evacuations_.known() &&
           now - started_at_ < first_view_timeout;
}

bool dispatcher::refuse_if_evacuated(session& request) {
    if (!placement_.evacuated(request.pool)) {
        return false;
    }
    refuse(request, error_code::no_upstream);
    return true;
}

decision::state_section dispatcher::evacuation_state(base::time_point now) const {
    decision::state_section section{"evacuations", {}};
    for (const base::data_centre_id& data_centre : evacuations_.data_centres()) {
        const base::time_point since = evacuations_.since(data_centre).value_or(now);
        const base::time_point confirmed = evacuations_.confirmed_at(data_centre).value_or(now);
        section.values.push_back(
            {data_centre.value(), "{\"for_ms\":" + std::to_string(to_ms(now - since)) +
                                      ",\"age_ms\":" + std::to_string(to_ms(now - confirmed)) + '}'});
    }
    return section;
}

} // namespace bluebell::dispatch
