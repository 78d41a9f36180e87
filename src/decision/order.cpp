#include "decision/order.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

bool may_send(const order& candidate, base::time_point now) {
    return now < candidate.send_before;
}

order_book::order_book(order_settings settings) : settings_(settings) {}

void order_book::configure(const std::vector<upstream>& upstreams) {
    std::map<base::upstream_id, target> updated;
    for (const upstream& config : upstreams) {
        const auto previous = targets_.find(config.id);
        target& entry = updated[config.id];
        if (previous != targets_.end()) {
            entry = std::move(previous->second);
        }
        entry.config = config;
    }
    targets_.swap(updated);
}

void order_book::set_desired(const base::upstream_id& id, engine_state desired) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.desired == desired) {
        return;
    }
    found->second.desired = std::move(desired);
    found->second.last_sent_at.reset();
}

void order_book::on_load_report(const base::upstream_id& id, const engine_state& actual) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.actual = actual;
    }
}

void order_book::on_fence_refused(base::epoch fence) {
    highest_refused_ = std::max(highest_refused_, fence);
}

bool order_book::is_due(const target& entry, const lease_hold& hold, base::time_point now) const {
    if (!entry.desired || entry.desired == entry.actual || entry.config.state != upstream_state::active) {
        return false;
    }
    if (!entry.config.checks_fence && now < hold.acquired_at + settings_.quiet_period) {
        return false;
    }
    // Orders are sent at once under a new epoch, so that upstreams that check fencing tokens learn it.
    return !entry.last_sent_at || entry.last_fence != hold.generation ||
           now >= *entry.last_sent_at + settings_.repeat_interval;
}

std::vector<order> order_book::take_due(const std::optional<lease_hold>& hold, base::time_point now) {
    std::vector<order> orders;
    if (!hold || now >= hold->act_before || hold->generation <= highest_refused_) {
        return orders;
    }
    for (auto& [id, entry] : targets_) {
        if (is_due(entry, *hold, now)) {
            entry.last_sent_at = now;
            entry.last_fence = hold->generation;
            orders.push_back({entry.config.pool, id, entry.config.address, *entry.desired, hold->generation,
                              hold->act_before});
        }
    }
    return orders;
}

std::size_t order_book::pending_count() const {
    return static_cast<std::size_t>(std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.desired && entry.second.desired != entry.second.actual;
    }));
}

} // namespace bluebell::decision
