#include "decision/decider.h"

#include "base/guard.h"
#include "base/log.h"

#include <utility>

namespace bluebell::decision {
namespace {

/// Events that are handled before the decisions are carried out; bounds the delay of the first one.
constexpr int event_batch = 64;

} // namespace

decider::decider(decider_links links, options_source options, const base::clock& time)
    : links_(links), options_(std::move(options)), clock_(time) {}

void decider::run(base::stop_signal& stop) {
    links_.events.reopen();
    const base::scope_guard close([this] { links_.events.close(); });
    published_ = {};
    links_.view.publish(std::make_shared<router_view>());
    router decisions(options_(), clock_.now());
    base::time_point next_tick = clock_.now();
    while (!stop.requested()) {
        handle_events(decisions);
        const base::time_point now = clock_.now();
        if (now >= next_tick) {
            decisions.tick(now);
            next_tick = now + schedule::tick_interval;
        }
        carry_out(decisions);
        publish(decisions);
    }
    decisions.depart(clock_.now());
    carry_out(decisions);
}

void decider::handle_events(router& decisions) {
    std::optional<event> next = links_.events.pop(schedule::tick_interval);
    for (int i = 0; next && i < event_batch; ++i) {
        decisions.handle(*next, clock_.now());
        next = links_.events.pop(base::duration::zero());
    }
    if (next) {
        decisions.handle(*next, clock_.now());
    }
}

void decider::carry_out(router& decisions) {
    router_output output = decisions.take();
    if (output.in_force) {
        published_.config = output.in_force;
        links_.view.publish(std::make_shared<router_view>(published_));
        base::log_event(base::log_level::info, "decider", "revision_in_force",
                        {{"revision", output.in_force->revision.value()}});
    }
    for (transport_command& command : output.transport) {
        hand_over(decisions, std::move(command));
    }
    for (journal_command& command : output.journal) {
        const event refused = queue_full_answer(command);
        if (links_.journal.try_push(std::move(command)) != base::push_result::pushed) {
            decisions.handle(refused, clock_.now());
        }
    }
    for (finished_request& finished : output.finished) {
        finished.caller_exchange->finish(finished.last);
    }
    // The rest is repeated by its protocol, so a full ring only delays it.
    for (datagram& sent : output.datagrams) {
        links_.datagrams.try_push(std::move(sent));
    }
    for (release_command& command : output.release) {
        links_.release.try_push(std::move(command));
    }
    if (output.load) {
        links_.load.try_push(std::move(*output.load));
    }
}

void decider::hand_over(router& decisions, transport_command command) {
    const dispatch* const order = std::get_if<dispatch>(&command);
    if (order == nullptr) {
        // Without the cancellation the attempt ends by its deadline.
        links_.transport.try_push(std::move(command));
        return;
    }
    const attempt_key attempt = order->attempt;
    if (links_.transport.try_push(std::move(command)) != base::push_result::pushed) {
        attempt_end end;
        end.status = attempt_status::not_sent;
        end.cause =
            base::error{base::error_code::queue_full, "transport", "the ring to the transport is full"};
        decisions.handle(attempt_ended{attempt, end}, clock_.now());
    }
}

void decider::publish(const router& decisions) {
    const bool ready = decisions.ready();
    const bool draining = decisions.draining();
    const bool drained = decisions.drained();
    if (ready == published_.ready && draining == published_.draining && drained == published_.drained) {
        return;
    }
    published_.ready = ready;
    published_.draining = draining;
    published_.drained = drained;
    links_.view.publish(std::make_shared<router_view>(published_));
    base::log_event(base::log_level::info, "decider", "state_changed",
                    {{"ready", ready}, {"draining", draining}, {"drained", drained}});
}

} // namespace bluebell::decision
