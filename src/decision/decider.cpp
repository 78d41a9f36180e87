#include "decision/decider.h"

#include "base/guard.h"
#include "base/log.h"

#include <utility>

namespace bluebell::decision {
namespace {

/// Maximum number of events handled before the decisions are carried out; bounds the delay of the first
/// decision.
constexpr int event_batch = 64;

} // namespace

decider::decider(decider_links links, options_source options, const base::clock& time_source)
    : links_(links), make_options_(std::move(options)), clock_(time_source) {}

void decider::run(base::stop_signal& stop) {
    links_.events.reopen();
    const base::scope_guard close([this] { links_.events.close(); });
    published_view_ = {};
    links_.view.publish(std::make_shared<router_view>());
    router decisions(make_options_(), clock_.now());
    base::time_point next_tick = clock_.now();
    while (!stop.requested()) {
        handle_events(decisions);
        const base::time_point now = clock_.now();
        if (now >= next_tick) {
            decisions.tick(now);
            next_tick = now + schedule::tick_interval;
        }
        execute_output(decisions);
        publish(decisions);
    }
    decisions.depart(clock_.now());
    execute_output(decisions);
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

void decider::execute_output(router& decisions) {
    router_output output = decisions.take();
    if (output.config_in_force) {
        published_view_.config = output.config_in_force;
        links_.view.publish(std::make_shared<router_view>(published_view_));
        base::log_event(base::log_level::info, "decider", "revision_in_force",
                        {{"revision", output.config_in_force->revision.value()}});
    }
    for (transport_command& command : output.transport) {
        send_transport_command(decisions, std::move(command));
    }
    for (journal_command& command : output.journal) {
        const event rejection = queue_full_answer(command);
        if (links_.journal.try_push(std::move(command)) != base::push_result::pushed) {
            decisions.handle(rejection, clock_.now());
        }
    }
    for (finished_request& finished : output.finished) {
        finished.caller_exchange->finish(finished.final_verdict);
    }
    // The protocols repeat the remaining commands and messages, so a full ring only delays them.
    for (datagram& outbound : output.datagrams) {
        links_.datagrams.try_push(std::move(outbound));
    }
    for (release_command& command : output.release) {
        links_.release.try_push(std::move(command));
    }
    if (output.load) {
        links_.load.try_push(std::move(*output.load));
    }
}

void decider::send_transport_command(router& decisions, transport_command command) {
    const dispatch* const dispatch_command = std::get_if<dispatch>(&command);
    if (dispatch_command == nullptr) {
        // If the ring is full, the attempt ends at its deadline instead.
        links_.transport.try_push(std::move(command));
        return;
    }
    const attempt_key attempt = dispatch_command->attempt;
    if (links_.transport.try_push(std::move(command)) != base::push_result::pushed) {
        attempt_end attempt_result;
        attempt_result.status = attempt_status::not_sent;
        attempt_result.cause =
            base::error{base::error_code::queue_full, "transport", "the ring to the transport is full"};
        decisions.handle(attempt_ended{attempt, attempt_result}, clock_.now());
    }
}

void decider::publish(const router& decisions) {
    const bool ready = decisions.ready();
    const bool draining = decisions.draining();
    const bool drained = decisions.drained();
    if (ready == published_view_.ready && draining == published_view_.draining &&
        drained == published_view_.drained) {
        return;
    }
    published_view_.ready = ready;
    published_view_.draining = draining;
    published_view_.drained = drained;
    links_.view.publish(std::make_shared<router_view>(published_view_));
    base::log_event(base::log_level::info, "decider", "state_changed",
                    {{"ready", ready}, {"draining", draining}, {"drained", drained}});
}

} // namespace bluebell::decision
