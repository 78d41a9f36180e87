#include "dispatch/worker.h"

#include "base/guard.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Events that are handled before the decisions are carried out; bounds the delay of the first one.
constexpr int event_batch = 64;
/// How long an order may wait for room in the ring of the relay.
constexpr base::duration order_wait = std::chrono::milliseconds(100);
/// Longest time without a look at the readiness, which changes as the view ages.
constexpr base::duration longest_wait = std::chrono::milliseconds(250);

} // namespace

dispatch_worker::dispatch_worker(dispatch_links links, settings_source settings, const base::clock& time)
    : links_(links), settings_(std::move(settings)), clock_(time) {}

void dispatch_worker::run(base::stop_signal& stop) {
    if (links_.events.closed()) {
        links_.events.reopen();
    }
    const base::scope_guard close([this] { links_.events.close(); });
    published_ = {};
    links_.state.publish(std::make_shared<router_state>());
    dispatcher decisions(settings_(), clock_.now());
    while (!stop.requested()) {
        const base::duration wait =
            std::clamp(decisions.next_due() - clock_.now(), base::duration::zero(), longest_wait);
        std::optional<event> next = links_.events.pop(wait);
        for (int i = 0; next && i < event_batch; ++i) {
            decisions.handle(*next, clock_.now());
            next = links_.events.pop(base::duration::zero());
        }
        if (next) {
            decisions.handle(*next, clock_.now());
        }
        const base::time_point now = clock_.now();
        decisions.tick(now);
        carry_out(decisions);
        publish(decisions, now);
    }
}

void dispatch_worker::carry_out(dispatcher& decisions) {
    dispatcher_output output = decisions.take_output();
    if (output.in_force) {
        published_.catalogue = output.in_force;
        links_.state.publish(std::make_shared<router_state>(published_));
    }
    for (relay_command& command : output.relay) {
        if (links_.relay.push(std::move(command), order_wait) != base::push_result::pushed) {
            throw base::fatal_error(
                {base::error_code::worker_failed, "dispatcher", "the relay takes no orders"});
        }
    }
    // Closed while the follower starts again; it watches until it is told otherwise.
    if (output.catalogue_order) {
        links_.catalogue_orders.try_push(std::move(*output.catalogue_order));
    }
    if (output.roster_order) {
        links_.roster_orders.try_push(std::move(*output.roster_order));
    }
    // The next report replaces one that is lost.
    for (decision::datagram& sent : output.datagrams) {
        links_.datagrams.try_push(std::move(sent));
    }
}

void dispatch_worker::publish(const dispatcher& decisions, base::time_point now) {
    const bool ready = decisions.ready(now);
    const bool draining = decisions.draining();
    const bool drained = decisions.drained(now);
    if (ready == published_.ready && draining == published_.draining && drained == published_.drained) {
        return;
    }
    published_.ready = ready;
    published_.draining = draining;
    published_.drained = drained;
    links_.state.publish(std::make_shared<router_state>(published_));
    base::log_event(base::log_level::info, "dispatcher", "state_changed",
                    {{"ready", ready}, {"draining", draining}, {"drained", drained}});
}

} // namespace bluebell::dispatch
