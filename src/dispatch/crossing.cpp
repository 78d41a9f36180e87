#include "dispatch/crossing.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Length of the windows whose minima are smoothed, and the weight of one of them.
constexpr base::duration round_trip_window = std::chrono::seconds(2);
constexpr double round_trip_gain = 0.5;
/// Time until a slot is free in a data centre whose slots are all in use, and the occupancy from which on
/// requests begin to find none.
constexpr base::duration full_slots_wait = std::chrono::milliseconds(120);
constexpr double slots_knee = 0.7;
/// Speed of the correction in 1/s, relative to a scale of all that a change moves. The sums are up to 0.5 s
/// old and are used every 0.1 s; with 0.6 s of delay an integrating correction is stable up to 2.6/s, and
/// does not overshoot up to 0.6/s.
constexpr double correction_per_s = 0.5;
/// A share falls this much faster than it rises: requests that cross without need wait longer than at home,
/// since routers know the load of another data centre later (27 instead of 43 ms at half load in
/// tests/crossing_test).
constexpr double fall_factor = 2;
/// Waiting saved beyond the cost of crossing above which a share rises, and below which it falls: this time,
/// or this part of the waiting, whichever is more. Smaller differences come and go with single requests, and
/// old sums show them too late.
constexpr base::duration min_gain = std::chrono::milliseconds(10);
constexpr double min_gain_share = 0.2;
/// Waiting below this counts as this much when a difference is related to it.
constexpr base::duration min_waiting = std::chrono::milliseconds(20);
/// Extra cost of a data centre whose sums have expired: its upstreams look idle because nobody reports. About
/// the time until a stream of a full engine ends.
constexpr base::duration unknown_load_penalty = std::chrono::milliseconds(120);
/// Weight of one request in the smoothed bytes and in the used part of a share.
constexpr double bytes_gain = 0.02;
constexpr double use_gain = 0.02;
/// A share rises no further than this beyond a multiple of what is used of it. The rest of a larger one would
/// only be used by many requests at once, when outdated sums show an idle data centre.
constexpr double max_unused_share = 0.1;
constexpr double max_use_factor = 1.5;
/// Longest time between two updates that counts.
constexpr base::duration max_step = std::chrono::milliseconds(500);
/// A change of a share is logged if it is at least this large or from or to zero, once in this time.
constexpr double logged_change = 0.05;
constexpr base::duration log_interval = std::chrono::seconds(1);
constexpr double bytes_per_gigabyte = 1e9;
constexpr double seconds_per_hour = 3600;

double to_seconds(base::duration value) {
    return std::chrono::duration<double>(value).count();
}

base::duration to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

/// Time in s that a request is expected to wait there.
double waiting(const data_centre_load& load) {
    const double full = std::clamp((load.occupancy - slots_knee) / (1 - slots_knee), 0.0, 1.0);
    return to_seconds(load.pending_time) + full * to_seconds(full_slots_wait);
}

} // namespace

std::string_view to_string(share_change value) {
    switch (value) {
    case share_change::started:
        return "started";
    case share_change::waiting:
        return "waiting";
    case share_change::balanced:
        return "balanced";
    case share_change::expired:
        return "expired";
    case share_change::unavailable:
        return "unavailable";
    }
    return "unknown";
}

bool crossing::selection::allows(const base::data_centre_id& data_centre) const {
    if (everywhere_ || data_centre == owner_->own_ || (drawn_ != nullptr && data_centre == *drawn_)) {
        return true;
    }
    const auto state = owner_->pools_.find(*pool_);
    if (state == owner_->pools_.end()) {
        return true;
    }
    const auto known = state->second.pairs.find(data_centre);
    return known == state->second.pairs.end() || !known->second.controlled;
}

/// Takes a smaller value at once, since nothing can be faster than the link, and a larger one gradually.
void crossing::record_round_trip(const base::data_centre_id& data_centre, base::duration time,
                                 base::time_point now) {
    const auto [found, added] =
        round_trips_.try_emplace(data_centre, round_trip{time, time, now + round_trip_window});
    if (added) {
        return;
    }
    round_trip& known = found->second;
    if (now >= known.window_end) {
        known.smoothed += std::chrono::duration_cast<base::duration>((known.window_minimum - known.smoothed) *
                                                                     round_trip_gain);
        known.window_minimum = time;
        known.window_end = now + round_trip_window;
    }
    known.window_minimum = std::min(known.window_minimum, time);
    known.smoothed = std::min(known.smoothed, time);
}

void crossing::record_sums(const base::data_centre_id& data_centre, base::time_point received_at) {
    base::time_point& latest = sums_received_at_.try_emplace(data_centre, received_at).first->second;
    latest = std::max(latest, received_at);
}

std::optional<base::duration> crossing::sums_age(const base::data_centre_id& data_centre,
                                                 base::time_point now) const {
    const auto found = sums_received_at_.find(data_centre);
    return found == sums_received_at_.end() ? std::nullopt
                                            : std::optional<base::duration>(now - found->second);
}

/// Returns true if no data centre's sums are current, the own one's included: then this router is cut off or
/// has just started, and what it sees says nothing about a single data centre.
bool crossing::sums_lost(base::time_point now) const {
    return std::none_of(sums_received_at_.begin(), sums_received_at_.end(),
                        [&](const auto& received) { return now - received.second <= sums_timeout; });
}

base::duration crossing::bytes_cost(double bytes) const {
    return to_duration(bytes / bytes_per_gigabyte * prices_.per_gigabyte /
                       (prices_.per_waiting_hour / seconds_per_hour));
}

base::duration crossing::extra_round_trip(const base::data_centre_id& data_centre) const {
    const auto measured = round_trips_.find(data_centre);
    if (data_centre == own_ || measured == round_trips_.end()) {
        return base::duration::zero();
    }
    const auto own = round_trips_.find(own_);
    const base::duration within = own == round_trips_.end() ? base::duration::zero() : own->second.smoothed;
    return std::max(measured->second.smoothed - within, base::duration::zero());
}

base::duration crossing::cost(const base::data_centre_id& data_centre, base::byte_count bytes) const {
    if (data_centre == own_) {
        return base::duration::zero();
    }
    const base::duration known_cost =
        round_trips_.count(data_centre) == 0
            ? fixed_penalty
            : extra_round_trip(data_centre) + bytes_cost(static_cast<double>(bytes.value()));
    return known_cost + (expired_.count(data_centre) == 0 ? base::duration::zero() : unknown_load_penalty);
}

void crossing::update(const base::pool_id& pool,
                      const std::map<base::data_centre_id, data_centre_load>& loads, base::time_point now) {
    pool_state& state = pools_[pool];
    const base::duration step = std::min(now - state.updated_at.value_or(now), max_step);
    state.updated_at = now;
    const auto own = loads.find(own_);
    state.own_usable = own != loads.end();
    for (auto& [data_centre, known] : state.pairs) {
        if (loads.count(data_centre) == 0 && known.controlled) {
            known.share = 0;
            known.reason = share_change::unavailable;
            log_change(pool, data_centre, known, now);
        }
    }
    const bool lost = sums_lost(now);
    const double others = static_cast<double>(loads.size() - (state.own_usable ? 1 : 0));
    double total = 0;
    for (const auto& [data_centre, load] : loads) {
        if (data_centre == own_) {
            continue;
        }
        pair& known = state.pairs[data_centre];
        const std::optional<base::duration> age = sums_age(data_centre, now);
        expired_.erase(data_centre);
        if (lost || !age) {
            known.controlled = false;
            continue;
        }
        if (*age > sums_timeout) {
            expired_.insert(data_centre);
        }
        if (!std::exchange(known.controlled, true)) {
            known.share = 1 / others;
            known.reason = share_change::started;
        } else if (*age > sums_timeout) {
            known.share = std::max(0.0, known.share - expiry_per_s * to_seconds(step));
            known.reason = share_change::expired;
        } else if (state.own_usable) {
            const double here = waiting(own->second);
            const double there = waiting(load);
            const double gain =
                here - there -
                to_seconds(
                    cost(data_centre, base::byte_count(static_cast<std::uint64_t>(state.typical_bytes))));
            const double margin = std::max(to_seconds(min_gain), here * min_gain_share);
            // Moving a part of the requests changes the waiting at both ends. The others move requests too.
            const double scale = std::max({here, there, to_seconds(min_waiting)}) *
                                 (1 + own->second.slots / load.slots) * others;
            const double error = (gain - margin) * (gain < margin ? fall_factor : 1);
            const double limit = max_change_per_s * to_seconds(step);
            double change = std::clamp(error / scale * correction_per_s * to_seconds(step), -limit, limit);
            if (*age > late_sums_age) {
                change = std::min(change, 0.0);
            }
            known.reason = change > 0   ? share_change::waiting
                           : change < 0 ? share_change::balanced
                                        : known.reason;
            const double highest = std::max(known.share, max_unused_share + max_use_factor * known.used);
            known.share = std::clamp(known.share + change, 0.0, std::min(highest, 1.0));
        }
        total += known.share;
        log_change(pool, data_centre, known, now);
    }
    if (total > 1) {
        for (auto& [data_centre, known] : state.pairs) {
            known.share /= total;
        }
    }
}

void crossing::log_change(const base::pool_id& pool, const base::data_centre_id& to, pair& changed,
                          base::time_point now) {
    const bool moved = std::abs(changed.share - changed.logged_share) >= logged_change ||
                       (changed.share == 0) != (changed.logged_share == 0);
    if (!moved || now < changed.logged_at + log_interval) {
        return;
    }
    base::log_event(base::log_level::info, "dispatcher", "crossing_share",
                    {{"pool", pool.value()},
                     {"to", to.value()},
                     {"share", changed.share},
                     {"previous_share", changed.logged_share},
                     {"reason", to_string(changed.reason)}});
    changed.logged_share = changed.share;
    changed.logged_at = now;
}

crossing::selection crossing::select(const base::pool_id& pool, base::byte_count bytes) {
    const auto [found, added] = pools_.try_emplace(pool);
    pool_state& state = found->second;
    const double size = static_cast<double>(bytes.value());
    state.typical_bytes +=
        (added || state.typical_bytes == 0 ? 1 : bytes_gain) * (size - state.typical_bytes);
    selection result;
    result.owner_ = this;
    result.pool_ = &found->first;
    result.everywhere_ = !state.own_usable;
    double remaining = std::uniform_real_distribution<double>(0, 1)(random_);
    for (const auto& [data_centre, known] : state.pairs) {
        if (!known.controlled) {
            continue;
        }
        remaining -= known.share;
        if (remaining < 0) {
            result.drawn_ = &data_centre;
            break;
        }
    }
    return result;
}

void crossing::record_sent(const base::pool_id& pool, const base::data_centre_id& data_centre) {
    const auto state = pools_.find(pool);
    if (state == pools_.end()) {
        return;
    }
    for (auto& [other, known] : state->second.pairs) {
        known.used += use_gain * ((other == data_centre ? 1 : 0) - known.used);
    }
}

std::vector<crossing_share> crossing::shares() const {
    std::vector<crossing_share> result;
    for (const auto& [pool, state] : pools_) {
        for (const auto& [data_centre, known] : state.pairs) {
            result.push_back({pool, data_centre,
                              known.controlled ? std::optional<double>(known.share) : std::nullopt,
                              known.reason});
        }
    }
    return result;
}

std::map<base::data_centre_id, base::duration> crossing::round_trips() const {
    std::map<base::data_centre_id, base::duration> result;
    for (const auto& [data_centre, measured] : round_trips_) {
        result.emplace(data_centre, measured.smoothed);
    }
    return result;
}

} // namespace bluebell::dispatch
