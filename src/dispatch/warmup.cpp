#include "dispatch/warmup.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace bluebell::dispatch {
namespace {

/// Longest turn; a lower rate is raised to one request in this time.
constexpr base::duration max_turn = std::chrono::hours(1);
/// Part of a turn in which its request may be sent, for each request of the bound, up to the whole turn. With
/// turns at 0.6 of the bound, one more request than the bound then takes longer than a second.
constexpr double send_window_per_request = 0.3;
/// A peer's finding that prolongs the coldness by less than this is a repetition.
constexpr base::duration repetition_tolerance = std::chrono::milliseconds(200);

double to_ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

base::duration to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::uint32_t upstream_requests(const route& matched) {
    return matched.kind == route_kind::streaming && matched.resumable ? 2 : 1;
}

base::time_point warmup_limits::upstream_state::cold_until() const {
    return std::max({entry_until, found_until, reported_until, forwarded_until, returned_until});
}

warmup_limits::warmup_limits(base::vm_id self, base::duration unix_time, base::time_point now)
    : self_(std::move(self)), unix_time_(unix_time), started_at_(now) {}

void warmup_limits::set_bounds(double overshoot, double slack) {
    overshoot_ = overshoot;
    slack_ = slack;
    set_turns();
}

void warmup_limits::set_catalogue(const catalogue& current, base::time_point now) {
    pools_.clear();
    for (const auto& [id, pool_entry] : current.pools) {
        if (pool_entry.warmup_rate > base::request_rate()) {
            pools_[id] = {pool_entry.warmup_time, pool_entry.warmup_rate, 1, {}, {}};
        }
    }
    for (const route& known : current.routes) {
        for (const weighted_pool& target : known.pools) {
            const auto turns = pools_.find(target.pool);
            if (turns != pools_.end()) {
                turns->second.requests_per_turn =
                    std::max(turns->second.requests_per_turn, upstream_requests(known));
            }
        }
    }
    set_turns();
    for (auto& [id, state] : upstreams_) {
        mark(id, state, "entry", now);
    }
}

/// Bounds below three requests leave no room for two turns whose requests are sent at the end of one and at
/// the start of the next, so the window is shorter there.
void warmup_limits::set_turns() {
    for (auto& [id, turns] : pools_) {
        const double bound =
            std::max(1.0, std::floor((turns.rate.value() * overshoot_ + slack_) / turns.requests_per_turn));
        const double rate = std::min(turns.rate.value() / turns.requests_per_turn, max_bound_share * bound);
        const double window = std::min(1.0, send_window_per_request * bound);
        turns.length =
            std::clamp(to_duration(std::min(1 / rate, std::chrono::duration<double>(max_turn).count())),
                       base::duration(std::chrono::microseconds(1)), max_turn);
        turns.send_window = std::chrono::duration_cast<base::duration>(turns.length * window);
    }
}

void warmup_limits::set_routers(const std::vector<base::vm_id>& present, bool list_read,
                                base::time_point now) {
    for (const base::vm_id& vm : present) {
        present_at_[vm] = now;
    }
    present_at_[self_] = now;
    for (auto known = present_at_.begin(); known != present_at_.end();) {
        known = now - known->second > router_memory ? present_at_.erase(known) : std::next(known);
    }
    const std::size_t before = routers_.size();
    const bool changed =
        !std::equal(routers_.begin(), routers_.end(), present_at_.begin(), present_at_.end(),
                    [](const base::vm_id& vm, const auto& known) { return vm == known.first; });
    if (changed) {
        routers_.clear();
        for (const auto& [vm, at] : present_at_) {
            routers_.push_back(vm);
        }
        ++view_;
    }
    const bool first_list = list_read && settled_at_ == base::time_point::max();
    const bool grown = static_cast<double>(routers_.size()) > static_cast<double>(before) * max_growth;
    if (first_list || (grown && list_read)) {
        settled_at_ = now + settle_time;
    }
}

void warmup_limits::set_list(const std::vector<upstream_entry>& entries, base::time_point now) {
    std::set<base::upstream_id> listed;
    for (const upstream_entry& entry : entries) {
        listed.insert(entry.id);
        record_entry(entry, false, now);
    }
    list_read_ = true;
    for (const auto& [id, state] : upstreams_) {
        if (listed.count(id) == 0) {
            record_removal(id, now);
        }
    }
}

void warmup_limits::apply(const std::vector<upstream_change>& changes, base::time_point now) {
    for (const upstream_change& change : changes) {
        if (change.entry) {
            record_entry(*change.entry, true, now);
        } else {
            record_removal(change.id, now);
        }
    }
}

void warmup_limits::record_entry(const upstream_entry& entry, bool change, base::time_point now) {
    const auto [found, added] = upstreams_.try_emplace(entry.id);
    upstream_state& state = found->second;
    const bool other_process = !added && state.started_ms != entry.started_ms;
    if (added) {
        state.hash = base::stable_hash(entry.id.value());
    }
    state.pool = entry.pool;
    state.data_centre = entry.data_centre;
    state.started_ms = entry.started_ms;
    state.unlisted_at = base::time_point::max();
    const bool stated = entry.warmup_left > base::duration::zero();
    state.entry_until = stated ? now + entry.warmup_left : base::time_point();
    if (stated) {
        mark(entry.id, state, "entry", now);
    }
    if (other_process || (added && list_read_)) {
        state.reported_until = state.forwarded_until = base::time_point();
        if (const pool_turns* const turns = turns_of(state)) {
            record_finding(entry.id, state, turns->warmup_time, other_process ? "restarted" : "new", now);
        }
        return;
    }
    if (stated || !change) {
        return;
    }
    if (now - state.found_at >= entry_delay) {
        state.found_until = base::time_point();
    }
    if (now - state.reported_at >= entry_delay) {
        state.reported_until = state.forwarded_until = base::time_point();
    }
}

void warmup_limits::record_removal(const base::upstream_id& upstream, base::time_point now) {
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.unlisted_at = std::min(found->second.unlisted_at, now);
    }
}

void warmup_limits::record_statement(const base::upstream_id& upstream, std::int64_t started_ms,
                                     base::duration left, base::time_point now) {
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end() && found->second.started_ms == started_ms) {
        record_finding(upstream, found->second, left, "stated", now);
    }
}

void warmup_limits::record_connection_failure(const base::upstream_id& upstream, base::time_point now) {
    const auto found = upstreams_.find(upstream);
    const pool_turns* const turns = found == upstreams_.end() ? nullptr : turns_of(found->second);
    if (turns != nullptr) {
        record_finding(upstream, found->second, turns->warmup_time, "connection_failed", now);
    }
}

void warmup_limits::record_finding(const base::upstream_id& id, upstream_state& state, base::duration left,
                                   std::string_view reason, base::time_point now) {
    state.found_at = now;
    state.found_until = std::max(state.found_until, now + left);
    mark(id, state, reason, now);
}

void warmup_limits::data_centre_returned(const base::data_centre_id& data_centre, base::time_point now) {
    for (auto& [id, state] : upstreams_) {
        const pool_turns* const turns = state.data_centre == data_centre ? turns_of(state) : nullptr;
        if (turns != nullptr) {
            state.returned_until = now + std::min(return_time, turns->warmup_time);
            mark(id, state, "data_centre_returned", now);
        }
    }
}

void warmup_limits::receive_report(const decision::warmup_report& report, base::time_point now) {
    for (const decision::cold_upstream& reported : report.upstreams) {
        const auto found = upstreams_.find(reported.upstream);
        if (found == upstreams_.end() || found->second.started_ms != reported.started_ms) {
            continue;
        }
        upstream_state& state = found->second;
        const base::time_point until = now + reported.left;
        const base::time_point known = std::max(state.reported_until, state.forwarded_until);
        if (known <= now || until > known + repetition_tolerance) {
            state.reported_at = now;
        }
        base::time_point& target = report.aggregated ? state.forwarded_until : state.reported_until;
        target = std::max(target, until);
        mark(found->first, state, "reported", now);
    }
}

/// Takes note that the upstream has become cold, if it has and its pool is concerned.
void warmup_limits::mark(const base::upstream_id& id, upstream_state& state, std::string_view reason,
                         base::time_point now) {
    if (state.cold || state.cold_until() <= now || turns_of(state) == nullptr) {
        return;
    }
    state.cold = true;
    ++cold_count_;
    base::log_event(base::log_level::info, "dispatcher", "upstream_cold",
                    {{"upstream", id.value()},
                     {"reason", reason},
                     {"left_ms", to_ms(state.cold_until() - now)},
                     {"started_ms", static_cast<long long>(state.started_ms)}});
}

void warmup_limits::mark_warm(const base::upstream_id& id, upstream_state& state) {
    state.cold = false;
    --cold_count_;
    base::log_event(base::log_level::info, "dispatcher", "upstream_warm", {{"upstream", id.value()}});
}

void warmup_limits::update(base::time_point now) {
    for (auto known = upstreams_.begin(); known != upstreams_.end();) {
        upstream_state& state = known->second;
        if (state.cold && (state.cold_until() <= now || turns_of(state) == nullptr)) {
            mark_warm(known->first, state);
        }
        const bool forgotten =
            state.unlisted_at != base::time_point::max() && now - state.unlisted_at > unlisted_memory;
        known = forgotten && !state.cold ? upstreams_.erase(known) : std::next(known);
    }
}

decision::warmup_report warmup_limits::own_report(base::time_point now) const {
    decision::warmup_report report;
    if (cold_count_ == 0) {
        return report;
    }
    for (const auto& [id, state] : upstreams_) {
        if (state.cold && state.found_until > now) {
            report.upstreams.push_back({id, state.started_ms, state.found_until - now});
        }
    }
    return report;
}

/// What a delegate passes on is not sent on by those that receive it, so no finding circulates.
decision::warmup_report warmup_limits::aggregated_report(bool for_reporters, base::time_point now) const {
    decision::warmup_report report{{}, true};
    if (cold_count_ == 0) {
        return report;
    }
    for (const auto& [id, state] : upstreams_) {
        base::time_point until = std::max(state.found_until, state.reported_until);
        if (for_reporters) {
            until = std::max(until, state.forwarded_until);
        }
        if (state.cold && until > now) {
            report.upstreams.push_back({id, state.started_ms, until - now});
        }
    }
    return report;
}

const warmup_limits::pool_turns* warmup_limits::turns_of(const upstream_state& state) const {
    const auto found = pools_.find(state.pool);
    return found == pools_.end() ? nullptr : &found->second;
}

/// Stops at the first router with a higher score, which is among the first few for most turns.
bool warmup_limits::owns_turn(const upstream_state& state) const {
    const std::uint64_t key = state.hash + static_cast<std::uint64_t>(state.turn);
    const std::uint64_t own = base::stable_hash(self_.value(), key);
    return std::none_of(routers_.begin(), routers_.end(), [&](const base::vm_id& router) {
        const std::uint64_t score = base::stable_hash(router.value(), key);
        return score > own || (score == own && router < self_);
    });
}

bool warmup_limits::may_send(const base::upstream_id& upstream, std::uint32_t requests,
                             base::time_point now) {
    if (cold_count_ == 0) {
        return true;
    }
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !found->second.cold || found->second.cold_until() <= now) {
        return true;
    }
    upstream_state& state = found->second;
    const pool_turns* const turns = turns_of(state);
    if (turns == nullptr) {
        return true;
    }
    if (now < settled_at_) {
        ++skipped_count_;
        return false;
    }
    // The turns of different upstreams start at different times, so that requests spread.
    const base::duration time = unix_time_ + (now - started_at_) +
                                base::duration(static_cast<base::duration::rep>(
                                    state.hash % static_cast<std::uint64_t>(turns->length.count())));
    const std::int64_t turn = time / turns->length;
    if (turn != state.turn || state.view != view_) {
        state.sent = turn == state.turn ? state.sent : 0;
        state.turn = turn;
        state.view = view_;
        state.owned = owns_turn(state);
    }
    const bool may = state.owned && state.sent + requests <= turns->requests_per_turn &&
                     time % turns->length < turns->send_window;
    skipped_count_ += may ? 0 : 1;
    return may;
}

void warmup_limits::record_sent(const base::upstream_id& upstream, std::uint32_t requests) {
    const auto found = cold_count_ == 0 ? upstreams_.end() : upstreams_.find(upstream);
    if (found != upstreams_.end() && found->second.cold) {
        found->second.sent += requests;
        ++sent_count_;
    }
}

bool warmup_limits::cold(const base::upstream_id& upstream) const {
    if (cold_count_ == 0) {
        return false;
    }
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.cold;
}

} // namespace bluebell::dispatch
