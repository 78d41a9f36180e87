#include "dispatch/limits.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>

namespace bluebell::dispatch {
namespace {

double to_seconds(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Time without a statement after which a limit ends.
base::duration max_silence_of(base::request_rate rate) {
    if (rate.value() * to_seconds(request_limits::max_silence) < request_limits::silent_requests) {
        return request_limits::max_silence;
    }
    const std::chrono::duration<double> due(request_limits::silent_requests / rate.value());
    return std::max(std::chrono::duration_cast<base::duration>(due), request_limits::min_silence);
}

} // namespace

double request_limits::decaying_count::value_at(base::time_point now) const {
    return value * std::exp(-to_seconds(now - at) / to_seconds(decay_time));
}

void request_limits::set_roster(const roster& list) {
    entries_ = list.entries();
    for (auto known = limits_.begin(); known != limits_.end();) {
        const auto entry = entries_.find(known->first);
        const bool current = entry != entries_.end() && entry->second.started_ms == known->second.started_ms;
        known = current ? std::next(known) : limits_.erase(known);
    }
    for (auto ended = ended_at_.begin(); ended != ended_at_.end();) {
        ended = entries_.count(ended->first) != 0 ? std::next(ended) : ended_at_.erase(ended);
    }
}

void request_limits::record_request(const base::pool_id& pool, base::time_point now) {
    decaying_count& demand = demands_[pool];
    demand = {demand.value_at(now) + 1, now};
}

void request_limits::record_statement(const base::upstream_id& upstream, std::int64_t started_ms,
                                      const std::optional<base::request_rate>& rate, base::time_point now) {
    const auto entry = entries_.find(upstream);
    if (entry == entries_.end() || entry->second.started_ms != started_ms) {
        return;
    }
    if (rate) {
        return renew(entry->second, *rate, now, now);
    }
    const auto known = limits_.find(upstream);
    if (known != limits_.end()) {
        known->second.ends_at = std::min(known->second.ends_at, known->second.stated_at + hold_time);
    }
}

void request_limits::renew(const upstream_entry& upstream, base::request_rate rate,
                           base::time_point stated_at, base::time_point now) {
    const auto ended = ended_at_.find(upstream.id);
    if (ended != ended_at_.end() && stated_at <= ended->second) {
        return;
    }
    const auto [found, added] = limits_.try_emplace(upstream.id);
    limit& renewed = found->second;
    if (!added && stated_at <= renewed.stated_at) {
        return;
    }
    if (added) {
        base::log_event(base::log_level::info, "dispatcher", "upstream_limited",
                        {{"upstream", upstream.id.value()},
                         {"requests_per_s", rate.value()},
                         {"heard", stated_at == now ? "own" : "peer"}});
        renewed.pool = upstream.pool;
        renewed.started_ms = upstream.started_ms;
        // The routers of a fleet start at different credits, so that they do not all send at once.
        renewed.credit = std::uniform_real_distribution<double>(0, 1)(random_);
        renewed.credited_at = now;
    }
    renewed.stated_at = stated_at;
    renewed.ends_at = base::time_point::max();
    if (added || renewed.rate != rate) {
        add_credit(renewed, now);
        renewed.rate = rate;
        renewed.part = rate * demand_share(renewed.pool, now);
    }
}

void request_limits::receive_report(const base::vm_id& from, const decision::limit_report& report,
                                    base::time_point now) {
    peer_report& known = peers_[from];
    known.received_at = now;
    known.routers = std::max(report.routers, 1U);
    for (const decision::pool_demand& demand : report.demands) {
        known.demands[demand.pool] = std::max(demand.requests, 0.0);
    }
    for (const decision::stated_limit& stated : report.limits) {
        const auto entry = entries_.find(stated.upstream);
        if (entry != entries_.end() && entry->second.started_ms == stated.started_ms) {
            renew(entry->second, stated.limit, now - stated.age, now);
        }
    }
}

void request_limits::drop_peer(const base::vm_id& peer) {
    peers_.erase(peer);
}

void request_limits::update(base::time_point now) {
    for (auto report = peers_.begin(); report != peers_.end();) {
        const bool silent = now - report->second.received_at > report_timeout;
        report = silent ? peers_.erase(report) : std::next(report);
    }
    std::map<base::pool_id, double> shares;
    for (auto known = limits_.begin(); known != limits_.end();) {
        limit& limited = known->second;
        if (now >= limited.ends_at || now - limited.stated_at > max_silence_of(limited.rate)) {
            end_limit(known++, now);
            continue;
        }
        add_credit(limited, now);
        const auto [share, added] = shares.try_emplace(limited.pool, 0);
        if (added) {
            share->second = demand_share(limited.pool, now);
        }
        limited.part = limited.rate * share->second;
        ++known;
    }
}

void request_limits::end_limit(std::map<base::upstream_id, limit>::iterator ended, base::time_point now) {
    base::log_event(base::log_level::info, "dispatcher", "upstream_limit_over",
                    {{"upstream", ended->first.value()},
                     {"requests_per_s", ended->second.rate.value()},
                     {"since_statement_ms",
                      std::chrono::duration<double, std::milli>(now - ended->second.stated_at).count()}});
    ended_at_[ended->first] = now;
    limits_.erase(ended);
}

double request_limits::own_demand(const base::pool_id& pool, base::time_point now) const {
    const auto found = demands_.find(pool);
    return found == demands_.end() ? 0 : found->second.value_at(now);
}

double request_limits::demand_share(const base::pool_id& pool, base::time_point now) const {
    const double own = own_demand(pool, now);
    double reported = own;
    double reporters = 1;
    for (const auto& [vm, report] : peers_) {
        const auto demand = report.demands.find(pool);
        reported += demand == report.demands.end() ? 0 : demand->second;
        reporters += report.routers;
    }
    const double routers = std::max(static_cast<double>(fleet_size_), reporters);
    return reported > 0 ? own / (reported * routers / reporters) : 1 / routers;
}

std::vector<decision::stated_limit> request_limits::stated_limits(base::time_point now) const {
    std::vector<decision::stated_limit> stated;
    for (const auto& [upstream, limited] : limits_) {
        stated.push_back({upstream, limited.started_ms, limited.rate, now - limited.stated_at});
    }
    return stated;
}

decision::limit_report request_limits::own_report(base::time_point now) const {
    decision::limit_report report{stated_limits(now), {}, 1, false};
    for (const auto& [pool, demand] : demands_) {
        report.demands.push_back({pool, demand.value_at(now)});
    }
    return report;
}

decision::limit_report request_limits::aggregated_report(const std::set<base::vm_id>& without,
                                                         base::time_point now) const {
    decision::limit_report report{stated_limits(now), {}, 1, true};
    std::map<base::pool_id, double> sums;
    for (const auto& [pool, demand] : demands_) {
        sums[pool] += demand.value_at(now);
    }
    for (const auto& [vm, peer] : peers_) {
        if (without.count(vm) != 0) {
            continue;
        }
        report.routers += peer.routers;
        for (const auto& [pool, requests] : peer.demands) {
            sums[pool] += requests;
        }
    }
    for (const auto& [pool, requests] : sums) {
        report.demands.push_back({pool, requests});
    }
    return report;
}

void request_limits::add_credit(limit& limited, base::time_point now) const {
    limited.credit += limited.part.value() * to_seconds(now - limited.credited_at);
    limited.credited_at = now;
    const double excess = limited.credit - (1 + limited.part.value() * to_seconds(burst_time));
    if (excess > 0) {
        limited.credit -= std::ceil(excess);
    }
}

bool request_limits::may_send(const base::upstream_id& upstream, base::time_point now) {
    const auto found = limits_.find(upstream);
    if (found == limits_.end()) {
        return true;
    }
    add_credit(found->second, now);
    return found->second.credit >= 1;
}

void request_limits::record_sent(const base::upstream_id& upstream) {
    const auto found = limits_.find(upstream);
    if (found != limits_.end()) {
        found->second.credit -= 1;
    }
}

} // namespace bluebell::dispatch
