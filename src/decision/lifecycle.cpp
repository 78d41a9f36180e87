#include "decision/lifecycle.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

using base::error;
using base::error_code;

namespace {

constexpr const char* stop_text = "the router stops before the request could start";

/// Returns true if the upstream closed the connection during the attempt. Other causes of an interruption,
/// such as a malformed answer, do not show that the upstream crashed.
bool looks_like_crash(const attempt_end& result) {
    return result.status == attempt_status::interrupted && result.cause &&
           result.cause->code == error_code::upstream_closed_connection;
}

} // namespace

lifecycle::lifecycle(schedule& schedule, claim_client& claims, crash_table& crashes, retry_budget& budget)
    : schedule_(schedule), claim_client_(claims), crash_table_(crashes), retry_budget_(budget) {}

void lifecycle::refuse(const request_arrived& arrival, error cause) {
    output_.finished.push_back({arrival.caller_exchange, {outcome::not_run, std::move(cause)}});
}

void lifecycle::arrive(const request_arrived& arrival, base::time_point now) {
    const request& attributes = arrival.attributes;
    if (requests_.count(attributes.id) > 0) {
        refuse(arrival, {error_code::invalid_field, "id", "the request id is in use"});
        return;
    }
    if (attributes.repeatable) {
        entry& tracked = requests_[attributes.id];
        tracked.attributes = attributes;
        tracked.caller_exchange = arrival.caller_exchange;
        enqueue(tracked, now);
        return;
    }
    if (!attributes.key) {
        refuse(arrival, {error_code::idempotency_key_required, "Idempotency-Key",
                         "a non-repeatable request needs an idempotency key"});
        return;
    }
    // The key is claimed before the request is queued, so that no slot is held while the journal is written.
    base::result<client_actions> claimed =
        claim_client_.submit(attributes.id, *attributes.key, attributes.deadline, now);
    if (!claimed) {
        refuse(arrival, claimed.error());
        return;
    }
    entry& tracked = requests_[attributes.id];
    tracked.attributes = attributes;
    tracked.caller_exchange = arrival.caller_exchange;
    tracked.current_phase = phase::claiming;
    apply(std::move(*claimed), now);
}

void lifecycle::enqueue(entry& tracked, base::time_point now) {
    const base::request_id id = tracked.attributes.id;
    if (refusal_) {
        finish_not_run(requests_.find(id), {*refusal_, "", stop_text}, now);
        return;
    }
    if (crash_table_.is_blocked(tracked.attributes.body_fingerprint, now)) {
        finish_not_run(requests_.find(id),
                       {error_code::poison_request, "", "upstreams crashed while they ran this request"},
                       now);
        return;
    }
    tracked.current_phase = phase::queued;
    base::result<void> queued = schedule_.enqueue(tracked.attributes, now, tracked.stream.failed_upstreams());
    if (!queued) {
        finish_not_run(requests_.find(id), queued.error(), now);
    }
}

void lifecycle::handle_caller_gone(const base::request_id& id, base::time_point now) {
    const entry_map::iterator it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    entry& tracked = it->second;
    tracked.caller_disconnected = true;
    if (tracked.current_phase == phase::running) {
        // A non-repeatable request runs to its end, so that its outcome is recorded.
        if (tracked.attributes.repeatable) {
            cancel_attempt(tracked);
        }
        return;
    }
    finish_not_run(it, {error_code::caller_gone, "", "the caller closed its connection"}, now);
}

void lifecycle::record_progress(const attempt_progress& progress, base::time_point now) {
    const entry_map::iterator it = requests_.find(progress.attempt.id);
    if (it != requests_.end() && it->second.stream.is_current(progress.attempt.number)) {
        schedule_.progress(progress.attempt.id, progress.spent, now);
    }
}

void lifecycle::end_attempt(const attempt_ended& ending, base::time_point now) {
    const entry_map::iterator it = requests_.find(ending.attempt.id);
    if (it == requests_.end() || !it->second.stream.is_current(ending.attempt.number)) {
        return;
    }
    entry& tracked = it->second;
    --running_count_;
    schedule_.end(tracked.attributes.id, ending.result.spent, now);
    if (looks_like_crash(ending.result)) {
        report_crash(tracked, now);
    } else if (ending.result.status == attempt_status::completed) {
        crash_table_.on_completed(tracked.attributes.body_fingerprint, now);
    }
    const next_step step = tracked.stream.end(ending.result, tracked.attributes.repeatable);
    const bool retry = step.action == next_step::kind::retry && !tracked.caller_disconnected &&
                       now < tracked.attributes.deadline && has_untried_upstream(tracked) &&
                       retry_budget_.try_take(tracked.attributes.pool, now);
    if (!retry) {
        finish(it, step.final_verdict, now);
        return;
    }
    if (!tracked.attributes.repeatable) {
        claim_client_.on_not_sent(tracked.attributes.id);
    }
    enqueue(tracked, now);
}

bool lifecycle::has_untried_upstream(const entry& tracked) const {
    const std::vector<base::upstream_id>& tried = tracked.stream.failed_upstreams();
    return std::any_of(config_->upstreams.begin(), config_->upstreams.end(), [&](const auto& candidate) {
        return candidate.second.pool == tracked.attributes.pool &&
               std::find(tried.begin(), tried.end(), candidate.first) == tried.end();
    });
}

void lifecycle::report_crash(const entry& tracked, base::time_point now) {
    const crash_report report{tracked.attributes.body_fingerprint, tracked.target};
    if (crash_table_.add_report(report, now)) {
        output_.crashes.push_back(report);
    }
}

void lifecycle::apply(client_actions actions, base::time_point now) {
    for (outgoing& outbound : actions.messages) {
        output_.messages.push_back(std::move(outbound));
    }
    for (const base::request_id& id : actions.granted) {
        const entry_map::iterator it = requests_.find(id);
        if (it != requests_.end() && it->second.current_phase == phase::claiming) {
            enqueue(it->second, now);
        }
    }
    for (claim_ended& claim_end : actions.ended) {
        const entry_map::iterator it = requests_.find(claim_end.attempt);
        if (it == requests_.end() || it->second.current_phase == phase::running) {
            continue;
        }
        schedule_.cancel(claim_end.attempt, now);
        output_.finished.push_back({it->second.caller_exchange, std::move(claim_end.final_verdict)});
        requests_.erase(it);
    }
}

void lifecycle::apply(schedule_output& output, base::time_point now) {
    for (const started_request& started : output.started) {
        start(started, now);
    }
    for (refused_request& refused : output.refused) {
        const entry_map::iterator it = requests_.find(refused.attributes.id);
        if (it != requests_.end()) {
            finish_not_run(it, std::move(refused.cause), now);
        }
    }
    for (outgoing& outbound : output.messages) {
        output_.messages.push_back(std::move(outbound));
    }
}

void lifecycle::start(const started_request& started, base::time_point now) {
    const entry_map::iterator it = requests_.find(started.attributes.id);
    if (it == requests_.end()) {
        schedule_.end(started.attributes.id, base::cost(0), now);
        return;
    }
    entry& tracked = it->second;
    const std::map<base::upstream_id, upstream>::const_iterator target =
        config_->upstreams.find(started.target);
    if (target == config_->upstreams.end()) {
        schedule_.end(tracked.attributes.id, base::cost(0), now);
        enqueue(tracked, now);
        return;
    }
    if (!tracked.attributes.repeatable && !claim_client_.dispatch(tracked.attributes.id, now)) {
        // The claim was withdrawn in the meantime; the claim client reports its end.
        schedule_.end(tracked.attributes.id, base::cost(0), now);
        finish_not_run(it, {error_code::deadline_exceeded, "", "the claim of the key ended before a start"},
                       now);
        return;
    }
    if (tracked.stream.current().value() == 0) {
        retry_budget_.count_first_attempt(tracked.attributes.pool, now);
    }
    tracked.current_phase = phase::running;
    tracked.target = started.target;
    ++running_count_;
    const base::attempt_number number = tracked.stream.begin(started.target);
    const std::map<base::pool_id, pool>::const_iterator pool_entry =
        config_->pools.find(tracked.attributes.pool);
    dispatch command;
    command.attempt = {tracked.attributes.id, number};
    command.target = target->second;
    command.kind = pool_entry == config_->pools.end() ? pool_kind::service : pool_entry->second.kind;
    command.resume_from = tracked.stream.delivered();
    command.repeatable = tracked.attributes.repeatable;
    command.deadline = tracked.attributes.deadline;
    command.caller_exchange = tracked.caller_exchange;
    output_.transport.emplace_back(std::move(command));
}

void lifecycle::cancel_attempt(const entry& tracked) {
    output_.transport.emplace_back(
        decision::cancel_attempt{{tracked.attributes.id, tracked.stream.current()}});
}

void lifecycle::finish(entry_map::iterator it, verdict final_verdict, base::time_point now) {
    entry& tracked = it->second;
    if (!tracked.attributes.repeatable) {
        apply(claim_client_.on_attempt_ended(tracked.attributes.id, final_verdict.result, now), now);
    }
    output_.finished.push_back({tracked.caller_exchange, std::move(final_verdict)});
    requests_.erase(it);
}

void lifecycle::finish_not_run(entry_map::iterator it, error cause, base::time_point now) {
    entry& tracked = it->second;
    schedule_.cancel(tracked.attributes.id, now);
    // An upstream may have run an earlier attempt of a request that waits for a retry.
    const bool may_have_run = tracked.stream.reached_upstream();
    if (!tracked.attributes.repeatable) {
        client_actions actions;
        static_cast<void>(claim_client_.withdraw(tracked.attributes.id, now, actions));
        apply(std::move(actions), now);
    }
    output_.finished.push_back(
        {tracked.caller_exchange,
         {may_have_run ? outcome::outcome_unknown : outcome::not_run, std::move(cause)}});
    requests_.erase(it);
}

void lifecycle::refuse_waiting(error_code code, base::time_point now) {
    refusal_ = code;
    std::vector<base::request_id> waiting;
    for (const auto& [id, tracked] : requests_) {
        if (tracked.current_phase != phase::running) {
            waiting.push_back(id);
        }
    }
    for (const base::request_id& id : waiting) {
        const entry_map::iterator it = requests_.find(id);
        if (it != requests_.end()) {
            finish_not_run(it, {code, "", stop_text}, now);
        }
    }
}

void lifecycle::answer_open(error_code code, base::time_point now) {
    refuse_waiting(code, now);
    while (!requests_.empty()) {
        const entry_map::iterator it = requests_.begin();
        entry& tracked = it->second;
        --running_count_;
        schedule_.end(tracked.attributes.id, base::cost(0), now);
        if (tracked.attributes.repeatable) {
            cancel_attempt(tracked);
        }
        finish(it,
               {outcome::outcome_unknown, error{code, "", "the router stops before the answer is complete"}},
               now);
    }
}

lifecycle_output lifecycle::take() {
    return std::exchange(output_, {});
}

} // namespace bluebell::decision
