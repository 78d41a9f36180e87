#include "decision/order.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

bool may_send(const order& what, base::time_point now) {
    return now < what.send_before;
}

order_book::order_book(order_settings settings) : settings_(settings) {}

void order_book::configure(const std::vector<upstream>& upstreams) {
    std::map<base::upstream_id, target> kept;
    for (const upstream& config : upstreams) {
        const auto present = targets_.find(config.id);
        target& entry = kept[config.id];
        if (present != targets_.end()) {
            entry = std::move(present->second);
        }
        entry.config = config;
    }
    targets_.swap(kept);
}

void order_book::declare(const base::upstream_id& id, engine_state desired) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.desired == desired) {
        return;
    }
    found->second.desired = std::move(desired);
    found->second.sent.reset();
}

void order_book::observed(const base::upstream_id& id, const engine_state& actual) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.actual = actual;
    }
}

void order_book::refused(base::epoch fence) {
    refused_ = std::max(refused_, fence);
}

bool order_book::allowed(const target& to, const lease_hold& hold, base::time_point now) const {
    if (!to.desired || to.desired == to.actual || to.config.state != upstream_state::active) {
        return false;
    }
    if (!to.config.checks_fence && now < hold.acquired + settings_.quiet) {
        return false;
    }
    // A new epoch sends at once, so that upstreams that check tokens learn it.
    return !to.sent || to.sent_under != hold.generation || now >= *to.sent + settings_.repeat;
}

std::vector<order> order_book::due(const std::optional<lease_hold>& hold, base::time_point now) {
    std::vector<order> orders;
    if (!hold || now >= hold->act_before || hold->generation <= refused_) {
        return orders;
    }
    for (auto& [id, to] : targets_) {
        if (allowed(to, *hold, now)) {
            to.sent = now;
            to.sent_under = hold->generation;
            orders.push_back(
                {to.config.pool, id, to.config.address, *to.desired, hold->generation, hold->act_before});
        }
    }
    return orders;
}

std::size_t order_book::pending() const {
    return static_cast<std::size_t>(std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.desired && entry.second.desired != entry.second.actual;
    }));
}

} // namespace bluebell::decision
