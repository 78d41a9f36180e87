#include "decision/claim.h"

#include "base/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bluebell::decision {
namespace {

constexpr base::duration expiry_interval = std::chrono::minutes(1);

verdict not_run_verdict(base::error_code code, std::string text) {
    return {outcome::not_run, base::error{code, "claim", std::move(text)}};
}

std::uint32_t whole_seconds(base::duration value) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(value).count());
}

/// Adds a record, or replaces that of the same key and attempt.
void put_record(std::vector<journal_record>& records, const journal_record& record) {
    for (journal_record& existing : records) {
        if (existing.key == record.key && existing.attempt == record.attempt) {
            existing = record;
            return;
        }
    }
    records.push_back(record);
}

std::uint32_t newest_written_s(const std::vector<journal_record>& records) {
    std::uint32_t latest = 0;
    for (const journal_record& record : records) {
        latest = std::max(latest, record.written_s);
    }
    return latest;
}

} // namespace

base::partition_id partition_of(const base::key_hash& key, std::uint16_t partitions) {
    return base::partition_id(static_cast<std::uint16_t>(key.value().high % partitions));
}

base::vm_id partition_owner(base::partition_id partition, const std::vector<base::vm_id>& live) {
    return base::rendezvous_owner("partition/" + std::to_string(partition.value()), live);
}

event queue_full_answer(const journal_command& command) {
    const base::error cause{base::error_code::queue_full, "journal", "the journal worker is behind"};
    if (const auto* update = std::get_if<journal_update>(&command)) {
        return journal_answered{update->tail.partition, update->ticket, std::nullopt, {}, {}, cause};
    }
    if (const auto* takeover = std::get_if<journal_takeover>(&command)) {
        return journal_answered{takeover->partition, takeover->ticket, std::nullopt, {}, {}, cause};
    }
    if (const auto* write = std::get_if<lease_update>(&command)) {
        return lease_answered{write->record.pool, write->ticket, std::nullopt, {}, cause};
    }
    const lease_read& read = std::get<lease_read>(command);
    return lease_answered{read.pool, read.ticket, std::nullopt, {}, cause};
}

// ---- claim_client ----

claim_client::claim_client(client_settings settings)
    : settings_(settings), outage_until_(settings.partitions) {}

client_actions claim_client::members_changed(const std::vector<base::vm_id>& live, base::time_point now) {
    std::vector<base::vm_id> owners;
    for (std::uint16_t i = 0; i < settings_.partitions && !live.empty(); ++i) {
        owners.push_back(partition_owner(base::partition_id(i), live));
    }
    owners.swap(owners_);
    client_actions actions;
    for (auto& [attempt, state] : attempts_) {
        const std::size_t index = state.partition.value();
        const bool same_owner = !owners.empty() && !owners_.empty() && owners[index] == owners_[index];
        if (same_owner || state.current_phase == phase::granted || state.current_phase == phase::dispatched) {
            continue;
        }
        state.resend_interval = settings_.resend_interval;
        state.next_send_at = now;
        if (state.current_phase == phase::waiting) {
            send(attempt, state, now, actions);
        }
    }
    return actions;
}

base::result<client_actions> claim_client::submit(const base::request_id& attempt, const base::key_hash& key,
                                                  base::time_point deadline, base::time_point now) {
    const base::partition_id partition = partition_of(key, settings_.partitions);
    if (attempts_.size() >= settings_.max_attempts) {
        return base::failure(base::error_code::queue_full, "claim", "too many claims are in progress");
    }
    if (owners_.empty()) {
        return base::failure(base::error_code::not_ready, "claim", "no live member is known");
    }
    if (now >= deadline) {
        return base::failure(base::error_code::deadline_exceeded, "claim", "the deadline has passed");
    }
    if (now < outage_until_[partition.value()]) {
        return base::failure(base::error_code::store_unavailable, "claim", "the store does not answer");
    }
    attempt_state new_state;
    new_state.key = key;
    new_state.partition = partition;
    new_state.submitted_at = now;
    new_state.deadline = deadline;
    new_state.resend_interval = settings_.resend_interval;
    client_actions actions;
    send(attempt, new_state, now, actions);
    attempts_.emplace(attempt, new_state);
    return actions;
}

void claim_client::send(const base::request_id& attempt, attempt_state& state, base::time_point now,
                        client_actions& actions) const {
    state.next_send_at = now + state.resend_interval;
    state.resend_interval = std::min(state.resend_interval * 2, settings_.max_resend_interval);
    if (owners_.empty()) {
        return;
    }
    const base::vm_id& owner = owners_[state.partition.value()];
    if (state.current_phase == phase::waiting) {
        actions.messages.push_back({owner, claim{state.partition, state.key, attempt}});
    } else {
        actions.messages.push_back({owner, settle{state.partition, state.key, attempt, state.result}});
    }
}

void claim_client::begin_settling(const base::request_id& attempt, attempt_state& state, settlement result,
                                  base::time_point now, client_actions& actions) const {
    state.current_phase = phase::settling;
    state.result = result;
    state.resend_interval = settings_.resend_interval;
    send(attempt, state, now, actions);
}

void claim_client::refuse(const base::request_id& attempt, attempt_state& state, const verdict& final_verdict,
                          base::time_point now, client_actions& actions) const {
    // A copy of the claim may still be in the network and would take the key when it arrives. The settlement
    // makes the owner remember that this attempt has ended, so it is sent even if the owner said that it
    // recorded nothing.
    begin_settling(attempt, state, settlement::not_run, now, actions);
    actions.ended.push_back({attempt, final_verdict});
}

void claim_client::grant_claim(const base::request_id& attempt, attempt_state& state, base::time_point now,
                               client_actions& actions) const {
    if (now >= state.deadline) {
        refuse(attempt, state,
               not_run_verdict(base::error_code::deadline_exceeded, "claimed after the deadline"), now,
               actions);
        return;
    }
    state.current_phase = phase::granted;
    actions.granted.push_back(attempt);
}

client_actions claim_client::on_claim_result(const claim_result& answer, base::time_point now) {
    client_actions actions;
    const auto found = attempts_.find(answer.attempt);
    if (found == attempts_.end() || found->second.current_phase != phase::waiting ||
        found->second.key != answer.key) {
        return actions;
    }
    const base::request_id attempt = answer.attempt;
    attempt_state& state = found->second;
    switch (answer.answer) {
    case claim_answer::granted:
        grant_claim(attempt, state, now, actions);
        break;
    case claim_answer::in_progress:
        refuse(attempt, state,
               {outcome::outcome_unknown, base::error{base::error_code::key_in_progress, "Idempotency-Key",
                                                      "a request with this key is in progress"}},
               now, actions);
        break;
    case claim_answer::already_ran:
        // `ran` is final for the key, so no copy of this claim can take the key.
        attempts_.erase(found);
        actions.ended.push_back(
            {attempt,
             {outcome::ran, base::error{base::error_code::key_already_ran, "Idempotency-Key",
                                        "a request with this key ran before; its answer is not kept"}}});
        break;
    case claim_answer::not_owner:
        break; // the next repeat goes to the owner known by then
    case claim_answer::unavailable:
        outage_until_[state.partition.value()] = now + settings_.outage_pause;
        refuse(attempt, state,
               not_run_verdict(base::error_code::store_unavailable, "the claim cannot be recorded"), now,
               actions);
        break;
    case claim_answer::overloaded:
        refuse(attempt, state,
               not_run_verdict(base::error_code::queue_full, "the partition owner is overloaded"), now,
               actions);
        break;
    case claim_answer::withdrawn:
        refuse(attempt, state,
               not_run_verdict(base::error_code::internal_failure, "the attempt was withdrawn"), now,
               actions);
        break;
    }
    return actions;
}

void claim_client::on_settle_ack(const settle_ack& ack) {
    const auto found = attempts_.find(ack.attempt);
    if (found != attempts_.end() && found->second.current_phase == phase::settling) {
        attempts_.erase(found);
    }
}

bool claim_client::dispatch(const base::request_id& attempt, base::time_point now) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.current_phase != phase::granted ||
        now >= found->second.deadline) {
        return false;
    }
    found->second.current_phase = phase::dispatched;
    return true;
}

void claim_client::on_not_sent(const base::request_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end() && found->second.current_phase == phase::dispatched) {
        found->second.current_phase = phase::granted;
    }
}

client_actions claim_client::on_attempt_ended(const base::request_id& attempt, outcome result,
                                              base::time_point now) {
    client_actions actions;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.current_phase != phase::dispatched) {
        return actions;
    }
    if (result == outcome::outcome_unknown) {
        attempts_.erase(found);
        return actions;
    }
    begin_settling(attempt, found->second, result == outcome::ran ? settlement::ran : settlement::not_run,
                   now, actions);
    return actions;
}

bool claim_client::withdraw(const base::request_id& attempt, base::time_point now, client_actions& actions) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.current_phase == phase::dispatched) {
        return false;
    }
    if (found->second.current_phase == phase::settling) {
        return found->second.result == settlement::not_run;
    }
    begin_settling(attempt, found->second, settlement::not_run, now, actions);
    return true;
}

void claim_client::check_timeouts(const base::request_id& attempt, attempt_state& state, base::time_point now,
                                  client_actions& actions) const {
    if (now >= state.deadline) {
        refuse(attempt, state,
               not_run_verdict(base::error_code::deadline_exceeded, "not claimed before the deadline"), now,
               actions);
    } else if (now - state.submitted_at >= settings_.answer_timeout) {
        refuse(attempt, state,
               not_run_verdict(base::error_code::store_unavailable, "the claim was not answered"), now,
               actions);
    } else if (now >= state.next_send_at) {
        send(attempt, state, now, actions);
    }
}

client_actions claim_client::tick(base::time_point now) {
    client_actions actions;
    for (auto& [attempt, state] : attempts_) {
        if (state.current_phase == phase::waiting) {
            check_timeouts(attempt, state, now, actions);
        }
    }
    auto next = attempts_.upper_bound(resend_cursor_);
    std::size_t repeats = 0;
    for (std::size_t i = 0; i < attempts_.size() && repeats < settings_.max_repeats_per_tick; ++i, ++next) {
        if (next == attempts_.end()) {
            next = attempts_.begin();
        }
        if (next->second.current_phase == phase::settling && now >= next->second.next_send_at) {
            send(next->first, next->second, now, actions);
            ++repeats;
        }
        resend_cursor_ = next->first;
    }
    return actions;
}

std::size_t claim_client::waiting() const {
    return static_cast<std::size_t>(std::count_if(attempts_.begin(), attempts_.end(), [](const auto& entry) {
        return entry.second.current_phase == phase::waiting;
    }));
}

// ---- claim_owner ----

claim_owner::claim_owner(base::vm_id self, base::incarnation incarnation, owner_settings settings,
                         std::uint64_t seed)
    : self_(std::move(self)), incarnation_(incarnation), settings_(settings), random_(seed),
      partitions_(settings.partitions) {
    for (std::uint16_t i = 0; i < settings_.partitions; ++i) {
        partitions_[i].id = base::partition_id(i);
    }
}

namespace {

template <typename Released>
auto position_of(Released& released, const base::request_id& attempt) {
    return std::lower_bound(
        released.begin(), released.end(), attempt,
        [](const auto& existing, const base::request_id& wanted) { return existing.attempt < wanted; });
}

} // namespace

bool claim_owner::key_entry::has_released(const base::request_id& attempt) const {
    const auto found = position_of(released, attempt);
    return found != released.end() && found->attempt == attempt;
}

void claim_owner::key_entry::add_released(const base::request_id& attempt, std::uint32_t written_s) {
    const auto found = position_of(released, attempt);
    if (found == released.end() || found->attempt != attempt) {
        released.insert(found, {attempt, written_s});
    }
}

void claim_owner::key_entry::remove_released(const base::request_id& attempt) {
    const auto found = position_of(released, attempt);
    if (found != released.end() && found->attempt == attempt) {
        released.erase(found);
    }
}

owner_actions claim_owner::members_changed(const std::vector<base::vm_id>& live, base::time_point now) {
    owner_actions actions;
    for (partition& part : partitions_) {
        part.assigned = !live.empty() && partition_owner(part.id, live) == self_;
        if (part.assigned) {
            start_command(part, now, actions);
        } else if (!part.in_flight) {
            give_up_partition(part, actions);
        }
    }
    return actions;
}

owner_actions claim_owner::on_claim(const claim& received, const base::vm_id& from, base::time_point now) {
    return handle_message(received.partition, {from, received.key, received.attempt, std::nullopt, now}, now);
}

owner_actions claim_owner::on_settle(const settle& received, const base::vm_id& from, base::time_point now) {
    return handle_message(received.partition, {from, received.key, received.attempt, received.result, now},
                          now);
}

owner_actions claim_owner::handle_message(base::partition_id id, waiting_message pending,
                                          base::time_point now) {
    owner_actions actions;
    if (partition_of(pending.key, settings_.partitions) != id) {
        ++counters_.refused;
        return actions;
    }
    partition& part = partitions_[id.value()];
    if (std::optional<message> answer = resolve(part, pending)) {
        actions.messages.push_back({pending.from, std::move(*answer)});
        return actions;
    }
    const std::optional<claim_answer> reason = refusal_reason(part, now);
    if (reason && (!pending.result || !part.assigned)) {
        // The sender of a settlement repeats it, if need be to the new owner.
        if (!pending.result) {
            ++counters_.refused;
            actions.messages.push_back(
                {pending.from, claim_result{id, pending.key, pending.attempt, *reason}});
        }
        return actions;
    }
    enqueue(part, std::move(pending), actions);
    start_command(part, now, actions);
    return actions;
}

bool claim_owner::store_unavailable(base::time_point now) const {
    return store_failed_ && (commands_in_flight_ > 0 || now < next_store_probe_);
}

std::optional<claim_answer> claim_owner::refusal_reason(const partition& part, base::time_point now) const {
    if (!part.assigned) {
        return claim_answer::not_owner;
    }
    if (now < part.blocked_until) {
        return part.blocked_answer;
    }
    if (store_unavailable(now) ||
        (part.in_flight && now - part.in_flight->sent_at > settings_.write_timeout)) {
        return claim_answer::unavailable;
    }
    return std::nullopt;
}

void claim_owner::enqueue(partition& part, waiting_message pending, owner_actions& actions) {
    for (waiting_message& existing : part.waiting) {
        if (existing.key == pending.key && existing.attempt == pending.attempt &&
            existing.result == pending.result) {
            existing.from = pending.from;
            return;
        }
    }
    if (part.waiting.size() < settings_.max_waiting) {
        part.waiting.push_back(std::move(pending));
    } else if (!pending.result) {
        ++counters_.refused;
        actions.messages.push_back(
            {pending.from, claim_result{part.id, pending.key, pending.attempt, claim_answer::overloaded}});
    }
}

std::optional<message> claim_owner::resolve(const partition& part, const waiting_message& pending) {
    if (part.current_phase != phase::owned) {
        return std::nullopt;
    }
    if (pending.result) {
        if (resolve_settle(part, pending)) {
            return settle_ack{pending.key, pending.attempt};
        }
    } else if (const std::optional<claim_answer> answer = resolve_claim(part, pending)) {
        return claim_result{part.id, pending.key, pending.attempt, *answer};
    }
    return std::nullopt;
}

std::optional<claim_answer> claim_owner::resolve_claim(const partition& part,
                                                       const waiting_message& pending) const {
    const auto found = part.keys.find(pending.key);
    if (found != part.keys.end()) {
        const key_entry& committed = found->second;
        if (committed.has_released(pending.attempt)) {
            return claim_answer::withdrawn;
        }
        if (committed.holder && committed.holder->state == key_state::ran) {
            return claim_answer::already_ran;
        }
        if (committed.holder) {
            // A repeated claim of the holder is granted again, since its answer was lost. Only one router
            // knows the attempt, and it dispatches it once.
            return committed.holder->attempt == pending.attempt ? claim_answer::granted
                                                                : claim_answer::in_progress;
        }
    }
    if (part.entry_count >= settings_.max_keys) {
        return claim_answer::overloaded;
    }
    return std::nullopt;
}

bool claim_owner::resolve_settle(const partition& part, const waiting_message& pending) {
    const auto found = part.keys.find(pending.key);
    if (found == part.keys.end()) {
        return *pending.result == settlement::not_run && part.entry_count >= settings_.max_releases &&
               !part.in_flight;
    }
    const std::optional<journal_record>& holder = found->second.holder;
    const bool is_holder = holder && holder->attempt == pending.attempt;
    if (*pending.result == settlement::not_run) {
        return found->second.has_released(pending.attempt) || (is_holder && holder->state == key_state::ran);
    }
    if (holder && !is_holder) {
        ++counters_.contradictions;
        return true;
    }
    return is_holder && holder->state == key_state::ran;
}

void claim_owner::start_command(partition& part, base::time_point now, owner_actions& actions) {
    if (part.in_flight || part.waiting.empty() || !part.assigned || now < part.next_write ||
        now < part.blocked_until || store_unavailable(now)) {
        return;
    }
    if (std::optional<journal_command> command = next_command(part, now)) {
        part.in_flight = command_in_flight{next_ticket_++, now};
        part.next_write = now + settings_.min_write_interval;
        ++commands_in_flight_;
        actions.commands.push_back(std::move(*command));
    }
}

std::optional<journal_command> claim_owner::next_command(partition& part, base::time_point now) {
    if (part.current_phase == phase::idle) {
        part.current_phase = phase::taking_over;
        ++counters_.takeovers;
        return journal_takeover{part.id, self_, incarnation_, retention_s(), next_ticket_};
    }
    const std::uint32_t now_s = journal_time(part, now);
    staged_records staged;
    for (const waiting_message& pending : part.waiting) {
        stage_message(part, pending, now_s, staged);
    }
    if (staged.empty()) {
        return std::nullopt;
    }
    ++counters_.writes;
    return build_update(part, staged, now);
}

void claim_owner::stage_message(const partition& part, const waiting_message& pending, std::uint32_t now_s,
                                staged_records& staged) {
    const auto found = part.keys.find(pending.key);
    const journal_record* holder = nullptr;
    bool released = false;
    if (found != part.keys.end()) {
        holder = found->second.holder ? &*found->second.holder : nullptr;
        released = found->second.has_released(pending.attempt);
    }
    for (const journal_record& record : staged) {
        if (record.key != pending.key) {
            continue;
        }
        if (record.state != key_state::released) {
            holder = &record;
        } else {
            released = released || record.attempt == pending.attempt;
            if (holder != nullptr && holder->attempt == record.attempt) {
                holder = nullptr;
            }
        }
    }
    const bool is_holder = holder != nullptr && holder->attempt == pending.attempt;
    if (!pending.result) {
        if (!released && holder == nullptr) {
            put_record(staged, {pending.key, pending.attempt, key_state::claimed, now_s});
        }
    } else if (*pending.result == settlement::not_run) {
        // Only the attempt's own claim is released. If another attempt holds the key, the record just makes
        // late copies of this attempt's claim void.
        if (!is_holder || holder->state != key_state::ran) {
            put_record(staged, {pending.key, pending.attempt, key_state::released, now_s});
        }
    } else if (holder == nullptr || is_holder) {
        put_record(staged, {pending.key, pending.attempt, key_state::ran, now_s});
    }
}

std::uint32_t claim_owner::journal_time(const partition& part, base::time_point now) const {
    return part.clock_base_s + whole_seconds(now - part.clock_base_time);
}

std::uint32_t claim_owner::retention_s() const {
    return whole_seconds(settings_.retention);
}

journal_update claim_owner::build_update(partition& part, const staged_records& staged,
                                         base::time_point now) {
    journal_update update;
    update.ticket = next_ticket_;
    update.expected = part.version;
    update.tail = part.tail;
    update.tail.batch = ++part.last_batch;
    update.tail.clock_s = journal_time(part, now);
    update.oldest_s = oldest_retained_s(update.tail.clock_s, retention_s());
    if (!update.tail.records.empty() && update.tail.records.size() + staged.size() > settings_.tail_records) {
        seal_tail(part, update);
    }
    for (const journal_record& record : staged) {
        put_record(update.tail.records, record);
    }
    return update;
}

void claim_owner::seal_tail(partition& part, journal_update& update) {
    ++counters_.seals;
    std::vector<segment_name>& segments = update.tail.segments;
    const auto first_expired =
        std::stable_partition(segments.begin(), segments.end(),
                              [&](const segment_name& name) { return name.newest_s >= update.oldest_s; });
    update.expired.assign(first_expired, segments.end());
    segments.erase(first_expired, segments.end());

    journal_segment sealed;
    sealed.records.swap(update.tail.records);
    sealed.name = {part.tail.generation, ++part.last_segment, newest_written_s(sealed.records),
                   static_cast<std::uint32_t>(sealed.records.size()), 0};
    // Segments grow by merging as in a log-structured tree: each record is rewritten once per level, and the
    // tail lists at most `merge_fan_in` segments of a level.
    for (;;) {
        std::size_t run_length = 0;
        std::size_t record_count = sealed.name.count;
        while (run_length < segments.size() &&
               segments[segments.size() - 1 - run_length].level == sealed.name.level) {
            record_count += segments[segments.size() - 1 - run_length].count;
            ++run_length;
        }
        if (run_length + 1 < settings_.merge_fan_in || record_count > settings_.segment_records) {
            break;
        }
        for (; run_length > 0; --run_length) {
            sealed.name.newest_s = std::max(sealed.name.newest_s, segments.back().newest_s);
            update.merged.push_back(segments.back());
            segments.pop_back();
        }
        sealed.name.count = static_cast<std::uint32_t>(record_count);
        ++sealed.name.level;
    }
    segments.push_back(sealed.name);
    update.seal = std::move(sealed);
}

owner_actions claim_owner::on_journal_answer(const journal_answered& answer, base::time_point now) {
    owner_actions actions;
    if (answer.partition.value() >= partitions_.size()) {
        return actions;
    }
    partition& part = partitions_[answer.partition.value()];
    if (!part.in_flight || part.in_flight->ticket != answer.ticket) {
        return actions;
    }
    part.in_flight.reset();
    --commands_in_flight_;
    if (part.current_phase == phase::taking_over) {
        on_takeover_answer(part, answer, now, actions);
    } else {
        on_update_answer(part, answer, now, actions);
    }
    if (!part.assigned) {
        give_up_partition(part, actions);
    }
    start_command(part, now, actions);
    return actions;
}

void claim_owner::on_update_answer(partition& part, const journal_answered& answer, base::time_point now,
                                   owner_actions& actions) {
    if (!answer.tail) {
        on_command_failed(part, answer.cause.value_or(base::error{}), now, actions);
        return;
    }
    store_failed_ = false;
    if (answer.tail->owner != self_ || answer.tail->incarnation != incarnation_ ||
        answer.tail->generation != part.tail.generation) {
        on_deposed(part, now, actions);
        return;
    }
    // The tail of this generation in the store is authoritative. If an earlier update wrote it whose answer
    // was lost, the messages that it does not contain stay queued for the next update.
    adopt_tail(part, answer);
    answer_committed(part, actions);
}

void claim_owner::on_takeover_answer(partition& part, const journal_answered& answer, base::time_point now,
                                     owner_actions& actions) {
    part.current_phase = phase::idle;
    if (!answer.tail || (answer.cause && answer.cause->code != base::error_code::store_conflict)) {
        on_command_failed(part, answer.cause.value_or(base::error{}), now, actions);
        return;
    }
    store_failed_ = false;
    if (answer.cause || answer.tail->owner != self_ || answer.tail->incarnation != incarnation_) {
        on_deposed(part, now, actions);
        return;
    }
    part.current_phase = phase::owned;
    part.last_batch = answer.tail->batch;
    part.last_segment = 0;
    part.clock_base_s = answer.tail->clock_s;
    part.clock_base_time = now;
    part.next_expiry = now + expiry_interval;
    const std::uint32_t oldest_s = oldest_retained_s(part.clock_base_s, retention_s());
    for (const journal_record& record : answer.sealed) {
        if (record.written_s >= oldest_s) {
            apply_record(part, record);
        }
    }
    adopt_tail(part, answer);
    answer_committed(part, actions);
}

void claim_owner::adopt_tail(partition& part, const journal_answered& answer) {
    part.tail = *answer.tail;
    part.version = answer.version;
    const std::uint32_t oldest_s = oldest_retained_s(part.tail.clock_s, retention_s());
    for (const journal_record& record : part.tail.records) {
        if (record.written_s >= oldest_s) {
            apply_record(part, record);
        }
    }
}

void claim_owner::apply_record(partition& part, const journal_record& record) {
    key_entry& entry = part.keys[record.key];
    part.entry_count -= entry.size();
    const bool is_holder = entry.holder && entry.holder->attempt == record.attempt;
    const bool holder_ran = entry.holder && entry.holder->state == key_state::ran;
    if (record.state == key_state::released) {
        // `ran` prevails over a late release of the same attempt.
        if (!is_holder || !holder_ran) {
            entry.add_released(record.attempt, record.written_s);
        }
        if (is_holder && !holder_ran) {
            entry.holder.reset();
        }
    } else if (record.state == key_state::ran || !entry.has_released(record.attempt)) {
        entry.remove_released(record.attempt);
        // If another attempt holds the key without having run, its release is read later from the same merged
        // segment.
        if (!holder_ran) {
            entry.holder = record;
        }
    }
    part.entry_count += entry.size();
}

void claim_owner::on_deposed(partition& part, base::time_point now, owner_actions& actions) {
    ++counters_.deposed;
    give_up_partition(part, actions);
    std::uniform_real_distribution<double> jitter(1.0, 2.0);
    part.blocked_until =
        now + std::chrono::duration_cast<base::duration>(settings_.deposed_pause * jitter(random_));
    part.blocked_answer = claim_answer::not_owner;
}

void claim_owner::on_command_failed(partition& part, const base::error& cause, base::time_point now,
                                    owner_actions& actions) {
    ++counters_.failures;
    refuse_claims(part, claim_answer::unavailable, now, actions);
    if (cause.code == base::error_code::store_malformed || cause.code == base::error_code::store_not_found ||
        cause.code == base::error_code::value_too_large) {
        // The objects of this partition are at fault; the store itself answers.
        part.blocked_until = now + settings_.store_probe_interval;
        part.blocked_answer = claim_answer::unavailable;
        return;
    }
    store_failed_ = true;
    next_store_probe_ = now + settings_.store_probe_interval;
}

void claim_owner::give_up_partition(partition& part, owner_actions& actions) const {
    refuse_claims(part, claim_answer::not_owner, base::time_point::max(), actions);
    part.waiting.clear();
    part.current_phase = phase::idle;
    part.keys.clear();
    part.entry_count = 0;
    part.tail = {};
}

void claim_owner::answer_committed(partition& part, owner_actions& actions) {
    std::deque<waiting_message> remaining;
    for (waiting_message& pending : part.waiting) {
        if (std::optional<message> answer = resolve(part, pending)) {
            actions.messages.push_back({pending.from, std::move(*answer)});
        } else {
            remaining.push_back(std::move(pending));
        }
    }
    part.waiting.swap(remaining);
}

void claim_owner::refuse_claims(partition& part, claim_answer reason, base::time_point arrived_until,
                                owner_actions& actions) const {
    std::deque<waiting_message> remaining;
    for (waiting_message& pending : part.waiting) {
        if (pending.result || pending.arrived_at > arrived_until) {
            remaining.push_back(std::move(pending));
        } else {
            actions.messages.push_back(
                {pending.from, claim_result{part.id, pending.key, pending.attempt, reason}});
        }
    }
    part.waiting.swap(remaining);
}

owner_actions claim_owner::tick(base::time_point now) {
    owner_actions actions;
    for (partition& part : partitions_) {
        if (part.in_flight && now - part.in_flight->sent_at > settings_.answer_timeout) {
            part.in_flight.reset();
            --commands_in_flight_;
            if (part.current_phase == phase::taking_over) {
                part.current_phase = phase::idle;
            }
            on_command_failed(part, {base::error_code::store_answer_lost, "journal", "no answer"}, now,
                              actions);
        }
        if (!part.waiting.empty()) {
            refuse_claims(part, claim_answer::unavailable, now - settings_.write_timeout, actions);
            start_command(part, now, actions);
        }
        if (part.current_phase == phase::owned && now >= part.next_expiry) {
            expire_records(part, now);
        }
    }
    return actions;
}

void claim_owner::expire_records(partition& part, base::time_point now) const {
    part.next_expiry = now + expiry_interval;
    const std::uint32_t oldest_s = oldest_retained_s(journal_time(part, now), retention_s());
    for (auto position = part.keys.begin(); position != part.keys.end();) {
        key_entry& entry = position->second;
        part.entry_count -= entry.size();
        if (entry.holder && entry.holder->written_s < oldest_s) {
            entry.holder.reset();
        }
        entry.released.erase(
            std::remove_if(entry.released.begin(), entry.released.end(),
                           [&](const released_attempt& r) { return r.written_s < oldest_s; }),
            entry.released.end());
        part.entry_count += entry.size();
        position = entry.size() == 0 ? part.keys.erase(position) : std::next(position);
    }
}

std::size_t claim_owner::owned_partitions() const {
    return static_cast<std::size_t>(
        std::count_if(partitions_.begin(), partitions_.end(),
                      [](const partition& p) { return p.current_phase == phase::owned; }));
}

std::size_t claim_owner::key_count() const {
    std::size_t total = 0;
    for (const partition& part : partitions_) {
        total += part.entry_count;
    }
    return total;
}

} // namespace bluebell::decision
