// What upstreams state about themselves in their answers: that they leave, pauses, limits of their request
// rate.
#include "base/log.h"
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// Largest random part by which a pause that an upstream states is prolonged.
constexpr double pause_spread = 0.1;
/// Largest random part by which the time at which refused callers are to return is put off.
constexpr double max_return_spread = 0.25;

double to_ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

base::duration scaled(base::duration value, double factor) {
    return std::chrono::duration_cast<base::duration>(value * factor);
}

} // namespace

void dispatcher::on(const upstream_stated& stated) {
    if (stated.statement.malformed) {
        base::log_event(log_level::warning, "dispatcher", "malformed_statement",
                        {{"upstream", stated.upstream.value()}});
    }
    if (stated.statement.malformed_load) {
        ++counters_["stated/malformed_load"];
        if (malformed_loads_.insert(stated.upstream).second) {
            base::log_event(log_level::warning, "dispatcher", "malformed_load",
                            {{"upstream", stated.upstream.value()}});
        }
    }
    if (stated.statement.pause) {
        pause_upstream(stated);
    }
    if (stated.statement.leaving && roster_.mark_leaving(stated.upstream, stated.started_ms)) {
        ++counters_["stated/leaving"];
        base::log_event(log_level::info, "dispatcher", "upstream_leaving",
                        {{"upstream", stated.upstream.value()}});
        apply_roster();
    }
    limits_.record_statement(stated.upstream, stated.started_ms, stated.statement.request_limit, now_);
    if (stated.statement.warmup_left) {
        warmup_.record_statement(stated.upstream, stated.started_ms, *stated.statement.warmup_left, now_);
    }
}

/// The pause is prolonged by a random part, so that the routers do not return all at once.
void dispatcher::pause_upstream(const upstream_stated& stated) {
    const upstream_entry* const entry = roster_.find(stated.upstream);
    if (entry == nullptr || entry->started_ms != stated.started_ms) {
        return;
    }
    base::duration longest_timeout{};
    if (catalogue_) {
        for (const route& known : catalogue_->routes) {
            longest_timeout = std::max(longest_timeout, known.timeout);
        }
    }
    const base::duration pause = std::min(*stated.statement.pause, longest_timeout);
    const double spread = std::uniform_real_distribution<double>(0, pause_spread)(random_);
    placement_.pause(stated.upstream, scaled(pause, 1 + spread), now_);
    ++counters_["stated/pause"];
    base::log_event(log_level::info, "dispatcher", "upstream_paused",
                    {{"upstream", stated.upstream.value()},
                     {"stated_ms", to_ms(*stated.statement.pause)},
                     {"for_ms", to_ms(pause)}});
}

/// What upstreams state counts only if one of them would have taken the request otherwise.
dispatcher::placement_limit dispatcher::find_limit(const session& request,
                                                   const placement_options& options) const {
    if (options.without_limits && admit(request, *options.without_limits)) {
        return placement_limit::rate_limit;
    }
    if (options.without_statements && admit(request, *options.without_statements)) {
        return placement_limit::pause;
    }
    if (options.best) {
        return placement_limit::delay;
    }
    return options.reachable ? placement_limit::capacity : placement_limit::unavailable;
}

bool dispatcher::refuse_if_paused(session& request) {
    const std::optional<pool_pause> pause = placement_.pause_of(request.pool, now_);
    if (!pause || pause->remaining <= max_queue_time(request) - (now_ - request.arrived)) {
        return false;
    }
    if (!pause->stated) {
        refuse(request, error_code::queue_full);
        return true;
    }
    const double spread = std::uniform_real_distribution<double>(0, max_return_spread)(random_);
    end_session(request, 503, error_code::queue_full, scaled(pause->remaining, 1 + spread));
    return true;
}

/// While any limit is in force, sends the limits and the demand to the routers that also get the work.
void dispatcher::send_limits() {
    if (limits_.count() == 0) {
        return;
    }
    if (delegation_.is_delegate()) {
        for (const auto& [reporter, sequence] : delegation_.reporters(now_)) {
            send_to(reporter, limits_.aggregated_report({reporter}, now_));
        }
        for (const base::vm_id& delegate : delegation_.other_delegates()) {
            send_to(delegate, limits_.aggregated_report(delegation_.other_delegates(), now_));
        }
        return;
    }
    const decision::limit_report report = limits_.own_report(now_);
    if (delegation_.needed()) {
        return send_to(delegation_.delegate(), report);
    }
    for (const base::vm_id& peer : members_.live()) {
        if (peer != members_.self()) {
            send_to(peer, report);
        }
    }
}

void dispatcher::receive_limits(const decision::envelope& received) {
    const decision::limit_report& report = std::get<decision::limit_report>(received.body);
    if (!foreign_aggregate(received.header.sender, report.aggregated)) {
        limits_.receive_report(received.header.sender, report, now_);
    }
}

} // namespace bluebell::dispatch
