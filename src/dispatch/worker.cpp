#include "dispatch/worker.h"

#include "base/guard.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Events that are handled before the resulting commands are sent; bounds the delay of the first one.
constexpr int max_event_batch = 64;
/// How long a command may wait for space in the ring to the relay.
constexpr base::duration command_timeout = std::chrono::milliseconds(100);
/// Longest time between two checks of the readiness, which changes as the view ages without any event.
constexpr base::duration max_wait = std::chrono::milliseconds(250);

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
            std::clamp(decisions.next_due() - clock_.now(), base::duration::zero(), max_wait);
        std::optional<event> next = links_.events.pop(wait);
        for (int i = 0; next && i < max_event_batch; ++i) {
            decisions.handle(*next, clock_.now());
            next = links_.events.pop(base::duration::zero());
        }
        if (next) {
            decisions.handle(*next, clock_.now());
        }
        const base::time_point now = clock_.now();
        decisions.tick(now);
        send_output(decisions);
        publish_state(decisions, now);
    }
}

void dispatch_worker::send_output(dispatcher& decisions) {
    dispatcher_output output = decisions.take_output();
    if (output.in_force) {
        published_.catalogue = output.in_force;
        links_.state.publish(std::make_shared<router_state>(published_));
    }
    for (relay_command& command : output.relay) {
        if (links_.relay.push(std::move(command), command_timeout) != base::push_result::pushed) {
            throw base::fatal_error(
                {base::error_code::worker_failed, "dispatcher", "the relay takes no orders"});
        }
    }
    // The ring is closed while the follower restarts; orders are repeated.
    if (output.catalogue_order) {
        links_.catalogue_orders.try_push(std::move(*output.catalogue_order));
    }
    if (output.roster_order) {
        links_.roster_orders.try_push(std::move(*output.roster_order));
    }
    if (output.evacuation_order && links_.evacuation_orders != nullptr) {
        links_.evacuation_orders->try_push(std::move(*output.evacuation_order));
    }
    if (output.streams_order) {
        links_.stream_orders.try_push(std::move(*output.streams_order));
    }
    // A report that is lost here is replaced by the next one.
    for (decision::datagram& datagram : output.datagrams) {
        links_.datagrams.try_push(std::move(datagram));
    }
}

void dispatch_worker::publish_state(const dispatcher& decisions, base::time_point now) {
    const bool ready = decisions.ready(now);
    const bool draining = decisions.draining();
    const bool drained = decisions.drained(now);
    const std::optional<drain_plan> plan = decisions.stop_plan();
    const std::optional<base::time_point> deliver_until =
        plan ? std::optional<base::time_point>(plan->deliver_until()) : std::nullopt;
    if (ready == published_.ready && draining == published_.draining && drained == published_.drained &&
        deliver_until == published_.deliver_until) {
        if (decisions.admission() != published_.admission ||
            decisions.crossing_shares() != published_.crossing) {
            published_.admission = decisions.admission();
            published_.crossing = decisions.crossing_shares();
            links_.state.publish(std::make_shared<router_state>(published_));
        }
        return;
    }
    published_.admission = decisions.admission();
    published_.crossing = decisions.crossing_shares();
    published_.ready = ready;
    published_.draining = draining;
    published_.drained = drained;
    published_.deliver_until = deliver_until;
    links_.state.publish(std::make_shared<router_state>(published_));
    base::log_event(base::log_level::info, "dispatcher", "state_changed",
                    {{"ready", ready}, {"draining", draining}, {"drained", drained}});
}

} // namespace bluebell::dispatch
