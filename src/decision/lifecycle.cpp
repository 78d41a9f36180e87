#include "decision/lifecycle.h"

#include <algorithm>
#include <utility>

namespace bluebell::decision {

using base::error;
using base::error_code;

namespace {

/// Other causes of an interruption, such as a malformed answer, do not show that the upstream crashed.
bool looks_like_crash(const attempt_end& how) {
    return how.status == attempt_status::interrupted && how.cause &&
           how.cause->code == error_code::upstream_closed_connection;
}

} // namespace

lifecycle::lifecycle(schedule& schedule, claim_client& claims, crash_table& crashes, retry_budget& budget)
    : schedule_(schedule), claims_(claims), crashes_(crashes), budget_(budget) {}

void lifecycle::refuse(const request_arrived& what, error cause) {
    output_.finished.push_back({what.caller_exchange, {outcome::not_run, std::move(cause)}});
}

void lifecycle::arrive(const request_arrived& what, base::time_point now) {
    const request& arrived = what.what;
    if (requests_.count(arrived.id) > 0) {
        refuse(what, {error_code::invalid_field, "id", "the request id is in use"});
        return;
    }
    if (arrived.repeatable) {
        entry& added = requests_[arrived.id];
        added.what = arrived;
        added.with = what.caller_exchange;
        enqueue(added, now);
        return;
    }
    if (!arrived.key) {
        refuse(what, {error_code::idempotency_key_required, "Idempotency-Key",
                      "a non-repeatable request needs an idempotency key"});
        return;
    }
    // The claim comes before the queue, so that no slot is held while the journal is written.
    base::result<client_actions> claimed = claims_.submit(arrived.id, *arrived.key, arrived.deadline, now);
    if (!claimed) {
        refuse(what, claimed.error());
        return;
    }
    entry& added = requests_[arrived.id];
    added.what = arrived;
    added.with = what.caller_exchange;
    added.at = phase::claiming;
    apply(std::move(*claimed), now);
}

void lifecycle::enqueue(entry& waiting, base::time_point now) {
    const base::request_id id = waiting.what.id;
    if (crashes_.is_blocked(waiting.what.body_fingerprint, now)) {
        finish_not_run(requests_.find(id),
                       {error_code::poison_request, "", "upstreams crashed while they ran this request"},
                       now);
        return;
    }
    waiting.at = phase::queued;
    base::result<void> queued = schedule_.arrive(waiting.what, now, waiting.stream.failed_on());
    if (!queued) {
        finish_not_run(requests_.find(id), queued.error(), now);
    }
}

void lifecycle::caller_gone(const base::request_id& id, base::time_point now) {
    const entry_map::iterator it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    entry& left = it->second;
    left.caller_left = true;
    if (left.at == phase::running) {
        // A non-repeatable request ends by itself, so that its outcome is recorded.
        if (left.what.repeatable) {
            cancel_attempt(left);
        }
        return;
    }
    finish_not_run(it, {error_code::caller_gone, "", "the caller closed its connection"}, now);
}

void lifecycle::progress(const attempt_progress& what, base::time_point now) {
    const entry_map::iterator it = requests_.find(what.attempt.id);
    if (it != requests_.end() && it->second.stream.is_current(what.attempt.number)) {
        schedule_.progress(what.attempt.id, what.spent, now);
    }
}

void lifecycle::ended(const attempt_ended& what, base::time_point now) {
    const entry_map::iterator it = requests_.find(what.attempt.id);
    if (it == requests_.end() || !it->second.stream.is_current(what.attempt.number)) {
        return;
    }
    entry& ended = it->second;
    --running_;
    schedule_.end(ended.what.id, what.result.spent, now);
    if (looks_like_crash(what.result)) {
        report_crash(ended, now);
    } else if (what.result.status == attempt_status::completed) {
        crashes_.on_completed(ended.what.body_fingerprint, now);
    }
    const next_step step = ended.stream.end(what.result, ended.what.repeatable);
    const bool again = step.what == next_step::kind::retry && !ended.caller_left &&
                       now < ended.what.deadline && has_untried_upstream(ended) &&
                       budget_.try_take(ended.what.pool, now);
    if (!again) {
        finish(it, step.last, now);
        return;
    }
    if (!ended.what.repeatable) {
        claims_.on_not_sent(ended.what.id);
    }
    enqueue(ended, now);
}

/// Without one, a retry would wait in the queue until its deadline.
bool lifecycle::has_untried_upstream(const entry& failed) const {
    const std::vector<base::upstream_id>& tried = failed.stream.failed_on();
    return std::any_of(config_->upstreams.begin(), config_->upstreams.end(), [&](const auto& each) {
        return each.second.pool == failed.what.pool &&
               std::find(tried.begin(), tried.end(), each.first) == tried.end();
    });
}

void lifecycle::report_crash(const entry& broken, base::time_point now) {
    const crash_report report{broken.what.body_fingerprint, broken.target};
    if (crashes_.add_report(report, now)) {
        output_.crashes.push_back(report);
    }
}

void lifecycle::apply(client_actions actions, base::time_point now) {
    for (outgoing& sent : actions.messages) {
        output_.messages.push_back(std::move(sent));
    }
    for (const base::request_id& id : actions.granted) {
        const entry_map::iterator it = requests_.find(id);
        if (it != requests_.end() && it->second.at == phase::claiming) {
            enqueue(it->second, now);
        }
    }
    for (claim_ended& ended : actions.ended) {
        const entry_map::iterator it = requests_.find(ended.attempt);
        if (it == requests_.end() || it->second.at == phase::running) {
            continue;
        }
        schedule_.cancel(ended.attempt, now);
        output_.finished.push_back({it->second.with, std::move(ended.final_verdict)});
        requests_.erase(it);
    }
}

void lifecycle::apply(schedule_output& output, base::time_point now) {
    for (const started_request& started : output.started) {
        start(started, now);
    }
    for (refused_request& refused : output.refused) {
        const entry_map::iterator it = requests_.find(refused.what.id);
        if (it != requests_.end()) {
            finish_not_run(it, std::move(refused.cause), now);
        }
    }
    for (outgoing& sent : output.messages) {
        output_.messages.push_back(std::move(sent));
    }
}

void lifecycle::start(const started_request& started, base::time_point now) {
    const entry_map::iterator it = requests_.find(started.what.id);
    if (it == requests_.end()) {
        schedule_.end(started.what.id, base::cost(0), now);
        return;
    }
    entry& ready = it->second;
    const std::map<base::upstream_id, upstream>::const_iterator target =
        config_->upstreams.find(started.target);
    if (target == config_->upstreams.end()) {
        schedule_.end(ready.what.id, base::cost(0), now);
        enqueue(ready, now);
        return;
    }
    if (!ready.what.repeatable && !claims_.dispatch(ready.what.id, now)) {
        // The claim was withdrawn in the meantime; its end was or will be reported by the claim client.
        schedule_.end(ready.what.id, base::cost(0), now);
        finish_not_run(it, {error_code::deadline_exceeded, "", "the claim of the key ended before a start"},
                       now);
        return;
    }
    if (ready.stream.current().value() == 0) {
        budget_.count_first_attempt(ready.what.pool, now);
    }
    ready.at = phase::running;
    ready.target = started.target;
    ++running_;
    const base::attempt_number number = ready.stream.begin(started.target);
    const std::map<base::pool_id, pool>::const_iterator in = config_->pools.find(ready.what.pool);
    dispatch order;
    order.attempt = {ready.what.id, number};
    order.target = target->second;
    order.kind = in == config_->pools.end() ? pool_kind::service : in->second.kind;
    order.resume_from = ready.stream.delivered();
    order.repeatable = ready.what.repeatable;
    order.deadline = ready.what.deadline;
    order.caller_exchange = ready.with;
    output_.transport.emplace_back(std::move(order));
}

void lifecycle::cancel_attempt(const entry& running) {
    output_.transport.emplace_back(decision::cancel_attempt{{running.what.id, running.stream.current()}});
}

void lifecycle::finish(entry_map::iterator it, verdict last, base::time_point now) {
    entry& done = it->second;
    if (!done.what.repeatable) {
        apply(claims_.on_attempt_ended(done.what.id, last.result, now), now);
    }
    output_.finished.push_back({done.with, std::move(last)});
    requests_.erase(it);
}

void lifecycle::finish_not_run(entry_map::iterator it, error cause, base::time_point now) {
    entry& done = it->second;
    schedule_.cancel(done.what.id, now);
    // A retry that found no slot may follow an attempt that an upstream had.
    const bool reached = done.stream.reached_upstream();
    if (!done.what.repeatable) {
        client_actions actions;
        static_cast<void>(claims_.withdraw(done.what.id, now, actions));
        apply(std::move(actions), now);
    }
    output_.finished.push_back(
        {done.with, {reached ? outcome::outcome_unknown : outcome::not_run, std::move(cause)}});
    requests_.erase(it);
}

void lifecycle::refuse_waiting(error_code code, base::time_point now) {
    std::vector<base::request_id> waiting;
    for (const auto& [id, each] : requests_) {
        if (each.at != phase::running) {
            waiting.push_back(id);
        }
    }
    for (const base::request_id& id : waiting) {
        const entry_map::iterator it = requests_.find(id);
        if (it != requests_.end()) {
            finish_not_run(it, {code, "", "the router stops before the request could start"}, now);
        }
    }
}

lifecycle_output lifecycle::take() {
    return std::exchange(output_, {});
}

} // namespace bluebell::decision
