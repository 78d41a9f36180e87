#include "dispatch/evacuation.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {

bool evacuations::record_own(evacuation_view view, base::time_point now) {
    const bool changed = !own_ || own_->data_centres != view.data_centres;
    own_ = std::move(view);
    record(base::vm_id(), *own_, now);
    return changed;
}

void evacuations::record_peer(const base::vm_id& from, evacuation_view view, base::time_point now) {
    // A peer cannot have confirmed its view later than now.
    view.confirmed_at = std::min(view.confirmed_at, now);
    record(from, view, now);
}

void evacuations::record(const base::vm_id& from, const evacuation_view& view, base::time_point now) {
    const base::duration age = now - view.confirmed_at;
    for (const base::data_centre_id& data_centre : view.data_centres) {
        const auto known = in_force_.find(data_centre);
        if (known != in_force_.end()) {
            if (known->second.shown.confirmed_at < view.confirmed_at) {
                known->second.shown = view;
            }
        } else if (!newest_ || newest_->confirmed_at < view.confirmed_at + lift_margin) {
            in_force_.emplace(data_centre, evacuation{now, view});
            ended_.erase(data_centre);
            changes_.push_back({data_centre, true, from, age});
        }
    }
    if (age > max_lifting_age) {
        return;
    }
    for (auto known = in_force_.begin(); known != in_force_.end();) {
        const bool lifted = view.data_centres.count(known->first) == 0 &&
                            view.confirmed_at >= known->second.shown.confirmed_at + lift_margin;
        if (!lifted) {
            ++known;
            continue;
        }
        ended_[known->first] = now;
        changes_.push_back({known->first, false, from, age});
        known = in_force_.erase(known);
    }
    if (!newest_ || newest_->confirmed_at < view.confirmed_at) {
        newest_ = view;
    }
    for (auto ended = ended_.begin(); ended != ended_.end();) {
        ended = now - ended->second > end_memory ? ended_.erase(ended) : std::next(ended);
    }
}

std::vector<evacuation_change> evacuations::take_changes() {
    return std::exchange(changes_, {});
}

std::set<base::data_centre_id> evacuations::data_centres() const {
    std::set<base::data_centre_id> result;
    for (const auto& [data_centre, known] : in_force_) {
        result.insert(data_centre);
    }
    return result;
}

std::optional<base::time_point> evacuations::since(const base::data_centre_id& data_centre) const {
    const auto found = in_force_.find(data_centre);
    return found == in_force_.end() ? std::nullopt : std::optional<base::time_point>(found->second.since);
}

std::optional<base::time_point> evacuations::confirmed_at(const base::data_centre_id& data_centre) const {
    const auto found = in_force_.find(data_centre);
    return found == in_force_.end() ? std::nullopt
                                    : std::optional<base::time_point>(found->second.shown.confirmed_at);
}

std::optional<base::time_point> evacuations::ended_at(const base::data_centre_id& data_centre,
                                                      base::time_point now) const {
    const auto found = ended_.find(data_centre);
    return found == ended_.end() || now - found->second > end_memory
               ? std::nullopt
               : std::optional<base::time_point>(found->second);
}

std::vector<evacuation_view> evacuations::decisive() const {
    std::vector<evacuation_view> views;
    if (newest_) {
        views.push_back(*newest_);
    }
    for (const auto& [data_centre, known] : in_force_) {
        const bool shown = std::any_of(views.begin(), views.end(), [&id = data_centre](const auto& view) {
            return view.data_centres.count(id) != 0;
        });
        if (!shown) {
            views.push_back(known.shown);
        }
    }
    return views;
}

} // namespace bluebell::dispatch
