#include "decision/claim.h"

#include "base/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bluebell::decision {
namespace {

constexpr base::duration expiry_interval = std::chrono::minutes(1);

verdict refusal(base::error_code code, std::string text) {
    return {outcome::not_run, base::error{code, "claim", std::move(text)}};
}

std::uint32_t whole_seconds(base::duration value) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(value).count());
}

/// Adds a record, or replaces that of the same key and attempt.
void put_record(std::vector<journal_record>& records, const journal_record& record) {
    for (journal_record& present : records) {
        if (present.key == record.key && present.attempt == record.attempt) {
            present = record;
            return;
        }
    }
    records.push_back(record);
}

std::uint32_t newest(const std::vector<journal_record>& records) {
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

event refused_command(const journal_command& command) {
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

// ---- entry side ----

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
        const bool same = !owners.empty() && !owners_.empty() && owners[index] == owners_[index];
        if (same || state.at == phase::granted || state.at == phase::dispatched) {
            continue;
        }
        state.interval = settings_.resend;
        state.next_send = now;
        if (state.at == phase::waiting) {
            send(attempt, state, now, actions);
        }
    }
    return actions;
}

base::result<client_actions> claim_client::submit(const base::request_id& attempt, const base::key_hash& key,
                                                  base::time_point deadline, base::time_point now) {
    const base::partition_id partition = partition_of(key, settings_.partitions);
    if (attempts_.size() >= settings_.attempts) {
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
    attempt_state state;
    state.key = key;
    state.partition = partition;
    state.submitted = now;
    state.deadline = deadline;
    state.interval = settings_.resend;
    client_actions actions;
    send(attempt, state, now, actions);
    attempts_.emplace(attempt, state);
    return actions;
}

void claim_client::send(const base::request_id& attempt, attempt_state& state, base::time_point now,
                        client_actions& actions) const {
    state.next_send = now + state.interval;
    state.interval = std::min(state.interval * 2, settings_.resend_limit);
    if (owners_.empty()) {
        return;
    }
    const base::vm_id& owner = owners_[state.partition.value()];
    if (state.at == phase::waiting) {
        actions.messages.push_back({owner, claim{state.partition, state.key, attempt}});
    } else {
        actions.messages.push_back({owner, settle{state.partition, state.key, attempt, state.result}});
    }
}

void claim_client::begin_settling(const base::request_id& attempt, attempt_state& state, settlement result,
                                  base::time_point now, client_actions& actions) const {
    state.at = phase::settling;
    state.result = result;
    state.interval = settings_.resend;
    send(attempt, state, now, actions);
}

void claim_client::refuse(const base::request_id& attempt, attempt_state& state, const verdict& what,
                          base::time_point now, client_actions& actions) const {
    // A copy of the claim may still be on its way and would take the key. The settlement makes the owner
    // remember that this attempt is over, so it is sent even if the owner said that it recorded nothing.
    begin_settling(attempt, state, settlement::not_run, now, actions);
    actions.ended.push_back({attempt, what});
}

void claim_client::grant_claim(const base::request_id& attempt, attempt_state& state, base::time_point now,
                               client_actions& actions) const {
    if (now >= state.deadline) {
        refuse(attempt, state, refusal(base::error_code::deadline_exceeded, "claimed after the deadline"),
               now, actions);
        return;
    }
    state.at = phase::granted;
    actions.granted.push_back(attempt);
}

client_actions claim_client::on_result(const claim_result& answer, base::time_point now) {
    client_actions actions;
    const auto found = attempts_.find(answer.attempt);
    if (found == attempts_.end() || found->second.at != phase::waiting || found->second.key != answer.key) {
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
        // `ran` is final for the key, so that no copy of this claim can take it.
        attempts_.erase(found);
        actions.ended.push_back(
            {attempt,
             {outcome::ran, base::error{base::error_code::key_already_ran, "Idempotency-Key",
                                        "a request with this key ran before; its answer is not kept"}}});
        break;
    case claim_answer::not_owner:
        break; // the next repeat goes to the owner that is known by then
    case claim_answer::unavailable:
        outage_until_[state.partition.value()] = now + settings_.outage_pause;
        refuse(attempt, state, refusal(base::error_code::store_unavailable, "the claim cannot be recorded"),
               now, actions);
        break;
    case claim_answer::overloaded:
        refuse(attempt, state, refusal(base::error_code::queue_full, "the partition owner is overloaded"),
               now, actions);
        break;
    case claim_answer::withdrawn:
        refuse(attempt, state, refusal(base::error_code::internal_failure, "the attempt was withdrawn"), now,
               actions);
        break;
    }
    return actions;
}

void claim_client::on_settled(const settle_ack& ack) {
    const auto found = attempts_.find(ack.attempt);
    if (found != attempts_.end() && found->second.at == phase::settling) {
        attempts_.erase(found);
    }
}

bool claim_client::dispatch(const base::request_id& attempt, base::time_point now) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.at != phase::granted || now >= found->second.deadline) {
        return false;
    }
    found->second.at = phase::dispatched;
    return true;
}

void claim_client::not_sent(const base::request_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end() && found->second.at == phase::dispatched) {
        found->second.at = phase::granted;
    }
}

client_actions claim_client::ended(const base::request_id& attempt, outcome result, base::time_point now) {
    client_actions actions;
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.at != phase::dispatched) {
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
    if (found == attempts_.end() || found->second.at == phase::dispatched) {
        return false;
    }
    if (found->second.at == phase::settling) {
        return found->second.result == settlement::not_run;
    }
    begin_settling(attempt, found->second, settlement::not_run, now, actions);
    return true;
}

void claim_client::expire(const base::request_id& attempt, attempt_state& state, base::time_point now,
                          client_actions& actions) const {
    if (now >= state.deadline) {
        refuse(attempt, state,
               refusal(base::error_code::deadline_exceeded, "not claimed before the deadline"), now, actions);
    } else if (now - state.submitted >= settings_.answer_limit) {
        refuse(attempt, state, refusal(base::error_code::store_unavailable, "the claim was not answered"),
               now, actions);
    } else if (now >= state.next_send) {
        send(attempt, state, now, actions);
    }
}

client_actions claim_client::tick(base::time_point now) {
    client_actions actions;
    for (auto& [attempt, state] : attempts_) {
        if (state.at == phase::waiting) {
            expire(attempt, state, now, actions);
        }
    }
    auto next = attempts_.upper_bound(cursor_);
    std::size_t repeats = 0;
    for (std::size_t i = 0; i < attempts_.size() && repeats < settings_.repeats; ++i, ++next) {
        if (next == attempts_.end()) {
            next = attempts_.begin();
        }
        if (next->second.at == phase::settling && now >= next->second.next_send) {
            send(next->first, next->second, now, actions);
            ++repeats;
        }
        cursor_ = next->first;
    }
    return actions;
}

std::size_t claim_client::waiting() const {
    return static_cast<std::size_t>(std::count_if(attempts_.begin(), attempts_.end(), [](const auto& entry) {
        return entry.second.at == phase::waiting;
    }));
}

// ---- owner side ----

claim_owner::claim_owner(base::vm_id self, base::incarnation life, owner_settings settings,
                         std::uint64_t seed)
    : self_(std::move(self)), life_(life), settings_(settings), random_(seed),
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
        [](const auto& present, const base::request_id& wanted) { return present.attempt < wanted; });
}

} // namespace

bool claim_owner::key_entry::has_released(const base::request_id& attempt) const {
    const auto at = position_of(released, attempt);
    return at != released.end() && at->attempt == attempt;
}

void claim_owner::key_entry::add_released(const base::request_id& attempt, std::uint32_t written_s) {
    const auto at = position_of(released, attempt);
    if (at == released.end() || at->attempt != attempt) {
        released.insert(at, {attempt, written_s});
    }
}

void claim_owner::key_entry::remove_released(const base::request_id& attempt) {
    const auto at = position_of(released, attempt);
    if (at != released.end() && at->attempt == attempt) {
        released.erase(at);
    }
}

owner_actions claim_owner::members_changed(const std::vector<base::vm_id>& live, base::time_point now) {
    owner_actions actions;
    for (partition& part : partitions_) {
        part.assigned = !live.empty() && partition_owner(part.id, live) == self_;
        if (part.assigned) {
            start(part, now, actions);
        } else if (!part.in_flight) {
            hand_back(part, actions);
        }
    }
    return actions;
}

owner_actions claim_owner::on_claim(const claim& what, const base::vm_id& from, base::time_point now) {
    return accept(what.partition, {from, what.key, what.attempt, std::nullopt, now}, now);
}

owner_actions claim_owner::on_settle(const settle& what, const base::vm_id& from, base::time_point now) {
    return accept(what.partition, {from, what.key, what.attempt, what.result, now}, now);
}

owner_actions claim_owner::accept(base::partition_id id, waiting_message what, base::time_point now) {
    owner_actions actions;
    if (partition_of(what.key, settings_.partitions) != id) {
        ++counters_.refused;
        return actions;
    }
    partition& part = partitions_[id.value()];
    if (std::optional<message> answer = resolve(part, what)) {
        actions.messages.push_back({what.from, std::move(*answer)});
        return actions;
    }
    const std::optional<claim_answer> why = obstacle(part, now);
    if (why && (!what.result || !part.assigned)) {
        // A settlement is repeated by its sender, to the new owner if need be.
        if (!what.result) {
            ++counters_.refused;
            actions.messages.push_back({what.from, claim_result{id, what.key, what.attempt, *why}});
        }
        return actions;
    }
    enqueue(part, std::move(what), actions);
    start(part, now, actions);
    return actions;
}

bool claim_owner::store_out(base::time_point now) const {
    return store_failed_ && (in_flight_ > 0 || now < probe_at_);
}

std::optional<claim_answer> claim_owner::obstacle(const partition& part, base::time_point now) const {
    if (!part.assigned) {
        return claim_answer::not_owner;
    }
    if (now < part.blocked_until) {
        return part.blocked_answer;
    }
    if (store_out(now) || (part.in_flight && now - part.in_flight->sent > settings_.write_limit)) {
        return claim_answer::unavailable;
    }
    return std::nullopt;
}

void claim_owner::enqueue(partition& part, waiting_message what, owner_actions& actions) {
    for (waiting_message& present : part.waiting) {
        if (present.key == what.key && present.attempt == what.attempt && present.result == what.result) {
            present.from = what.from;
            return;
        }
    }
    if (part.waiting.size() < settings_.waiting) {
        part.waiting.push_back(std::move(what));
    } else if (!what.result) {
        ++counters_.refused;
        actions.messages.push_back(
            {what.from, claim_result{part.id, what.key, what.attempt, claim_answer::overloaded}});
    }
}

std::optional<message> claim_owner::resolve(const partition& part, const waiting_message& what) {
    if (part.at != phase::owned) {
        return std::nullopt;
    }
    if (what.result) {
        if (resolve_settle(part, what)) {
            return settle_ack{what.key, what.attempt};
        }
    } else if (const std::optional<claim_answer> answer = resolve_claim(part, what)) {
        return claim_result{part.id, what.key, what.attempt, *answer};
    }
    return std::nullopt;
}

std::optional<claim_answer> claim_owner::resolve_claim(const partition& part,
                                                       const waiting_message& what) const {
    const auto found = part.keys.find(what.key);
    if (found != part.keys.end()) {
        const key_entry& entry = found->second;
        if (entry.has_released(what.attempt)) {
            return claim_answer::withdrawn;
        }
        if (entry.holder && entry.holder->state == key_state::ran) {
            return claim_answer::already_ran;
        }
        if (entry.holder) {
            // The claim of the same attempt is granted again: its answer was lost. Only one router knows the
            // attempt, and it dispatches it once.
            return entry.holder->attempt == what.attempt ? claim_answer::granted : claim_answer::in_progress;
        }
    }
    if (part.entries >= settings_.keys) {
        return claim_answer::overloaded;
    }
    return std::nullopt;
}

bool claim_owner::resolve_settle(const partition& part, const waiting_message& what) {
    const auto found = part.keys.find(what.key);
    if (found == part.keys.end()) {
        return *what.result == settlement::not_run && part.entries >= settings_.releases && !part.in_flight;
    }
    const std::optional<journal_record>& holder = found->second.holder;
    const bool holds = holder && holder->attempt == what.attempt;
    if (*what.result == settlement::not_run) {
        return found->second.has_released(what.attempt) || (holds && holder->state == key_state::ran);
    }
    if (holder && !holds) {
        ++counters_.contradictions;
        return true;
    }
    return holds && holder->state == key_state::ran;
}

void claim_owner::start(partition& part, base::time_point now, owner_actions& actions) {
    if (part.in_flight || part.waiting.empty() || !part.assigned || now < part.next_write ||
        now < part.blocked_until || store_out(now)) {
        return;
    }
    if (std::optional<journal_command> command = next_command(part, now)) {
        part.in_flight = command_in_flight{next_ticket_++, now};
        part.next_write = now + settings_.spacing;
        ++in_flight_;
        actions.commands.push_back(std::move(*command));
    }
}

std::optional<journal_command> claim_owner::next_command(partition& part, base::time_point now) {
    if (part.at == phase::idle) {
        part.at = phase::taking;
        ++counters_.takeovers;
        return journal_takeover{part.id, self_, life_, retention_s(), next_ticket_};
    }
    const std::uint32_t now_s = journal_time(part, now);
    staged_records staged;
    for (const waiting_message& what : part.waiting) {
        stage_message(part, what, now_s, staged);
    }
    if (staged.empty()) {
        return std::nullopt;
    }
    ++counters_.writes;
    return build_update(part, staged, now);
}

void claim_owner::stage_message(const partition& part, const waiting_message& what, std::uint32_t now_s,
                                staged_records& staged) {
    const auto found = part.keys.find(what.key);
    const journal_record* holder = nullptr;
    bool released = false;
    if (found != part.keys.end()) {
        holder = found->second.holder ? &*found->second.holder : nullptr;
        released = found->second.has_released(what.attempt);
    }
    for (const journal_record& record : staged) {
        if (record.key != what.key) {
            continue;
        }
        if (record.state != key_state::released) {
            holder = &record;
        } else {
            released = released || record.attempt == what.attempt;
            if (holder != nullptr && holder->attempt == record.attempt) {
                holder = nullptr;
            }
        }
    }
    const bool holds = holder != nullptr && holder->attempt == what.attempt;
    if (!what.result) {
        if (!released && holder == nullptr) {
            put_record(staged, {what.key, what.attempt, key_state::claimed, now_s});
        }
    } else if (*what.result == settlement::not_run) {
        // Only the attempt's own claim is released. If another attempt holds the key, the record just makes
        // late copies of this attempt's claim void.
        if (!holds || holder->state != key_state::ran) {
            put_record(staged, {what.key, what.attempt, key_state::released, now_s});
        }
    } else if (holder == nullptr || holds) {
        put_record(staged, {what.key, what.attempt, key_state::ran, now_s});
    }
}

std::uint32_t claim_owner::journal_time(const partition& part, base::time_point now) const {
    return part.clock_base_s + whole_seconds(now - part.clock_from);
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
    update.tail.batch = ++part.batch;
    update.tail.clock_s = journal_time(part, now);
    update.oldest_s = oldest_kept(update.tail.clock_s, retention_s());
    if (!update.tail.records.empty() && update.tail.records.size() + staged.size() > settings_.tail_records) {
        add_seal(part, update);
    }
    for (const journal_record& record : staged) {
        put_record(update.tail.records, record);
    }
    return update;
}

void claim_owner::add_seal(partition& part, journal_update& update) {
    ++counters_.seals;
    std::vector<segment_name>& segments = update.tail.segments;
    const auto live = std::stable_partition(segments.begin(), segments.end(), [&](const segment_name& name) {
        return name.newest_s >= update.oldest_s;
    });
    update.expired.assign(live, segments.end());
    segments.erase(live, segments.end());

    journal_segment sealed;
    sealed.records.swap(update.tail.records);
    sealed.name = {part.tail.generation, ++part.segment, newest(sealed.records),
                   static_cast<std::uint32_t>(sealed.records.size()), 0};
    // Segments grow by merging as in a log-structured tree: each record is written again once per level and
    // the tail lists at most `merge_fan_in` segments of a level.
    for (;;) {
        std::size_t run = 0;
        std::size_t count = sealed.name.count;
        while (run < segments.size() && segments[segments.size() - 1 - run].level == sealed.name.level) {
            count += segments[segments.size() - 1 - run].count;
            ++run;
        }
        if (run + 1 < settings_.merge_fan_in || count > settings_.segment_records) {
            break;
        }
        for (; run > 0; --run) {
            sealed.name.newest_s = std::max(sealed.name.newest_s, segments.back().newest_s);
            update.merged.push_back(segments.back());
            segments.pop_back();
        }
        sealed.name.count = static_cast<std::uint32_t>(count);
        ++sealed.name.level;
    }
    segments.push_back(sealed.name);
    update.seal = std::move(sealed);
}

owner_actions claim_owner::on_answer(const journal_answered& answer, base::time_point now) {
    owner_actions actions;
    if (answer.partition.value() >= partitions_.size()) {
        return actions;
    }
    partition& part = partitions_[answer.partition.value()];
    if (!part.in_flight || part.in_flight->ticket != answer.ticket) {
        return actions;
    }
    part.in_flight.reset();
    --in_flight_;
    if (part.at == phase::taking) {
        answered_takeover(part, answer, now, actions);
    } else {
        answered_update(part, answer, now, actions);
    }
    if (!part.assigned) {
        hand_back(part, actions);
    }
    start(part, now, actions);
    return actions;
}

void claim_owner::answered_update(partition& part, const journal_answered& answer, base::time_point now,
                                  owner_actions& actions) {
    if (!answer.tail) {
        fail(part, answer.cause.value_or(base::error{}), now, actions);
        return;
    }
    store_failed_ = false;
    if (answer.tail->owner != self_ || answer.tail->life != life_ ||
        answer.tail->generation != part.tail.generation) {
        depose(part, now, actions);
        return;
    }
    // Whatever tail of this generation stands in the store is the truth. If it is that of an earlier update
    // whose answer was lost, the messages that it does not contain stay in the queue for the next one.
    adopt(part, answer);
    answer_resolved(part, actions);
}

void claim_owner::answered_takeover(partition& part, const journal_answered& answer, base::time_point now,
                                    owner_actions& actions) {
    part.at = phase::idle;
    if (!answer.tail || (answer.cause && answer.cause->code != base::error_code::store_conflict)) {
        fail(part, answer.cause.value_or(base::error{}), now, actions);
        return;
    }
    store_failed_ = false;
    if (answer.cause || answer.tail->owner != self_ || answer.tail->life != life_) {
        depose(part, now, actions);
        return;
    }
    part.at = phase::owned;
    part.batch = answer.tail->batch;
    part.segment = 0;
    part.clock_base_s = answer.tail->clock_s;
    part.clock_from = now;
    part.next_expiry = now + expiry_interval;
    const std::uint32_t oldest_s = oldest_kept(part.clock_base_s, retention_s());
    for (const journal_record& record : answer.sealed) {
        if (record.written_s >= oldest_s) {
            apply(part, record);
        }
    }
    adopt(part, answer);
    answer_resolved(part, actions);
}

void claim_owner::adopt(partition& part, const journal_answered& answer) {
    part.tail = *answer.tail;
    part.version = answer.version;
    const std::uint32_t oldest_s = oldest_kept(part.tail.clock_s, retention_s());
    for (const journal_record& record : part.tail.records) {
        if (record.written_s >= oldest_s) {
            apply(part, record);
        }
    }
}

void claim_owner::apply(partition& part, const journal_record& record) {
    key_entry& entry = part.keys[record.key];
    part.entries -= entry.size();
    const bool holds = entry.holder && entry.holder->attempt == record.attempt;
    const bool held_by_run = entry.holder && entry.holder->state == key_state::ran;
    if (record.state == key_state::released) {
        // `ran` prevails over a late release of the same attempt.
        if (!holds || !held_by_run) {
            entry.add_released(record.attempt, record.written_s);
        }
        if (holds && !held_by_run) {
            entry.holder.reset();
        }
    } else if (record.state == key_state::ran || !entry.has_released(record.attempt)) {
        entry.remove_released(record.attempt);
        // Another holder that did not run is one whose release is read later, from the same merged segment.
        if (!held_by_run) {
            entry.holder = record;
        }
    }
    part.entries += entry.size();
}

void claim_owner::depose(partition& part, base::time_point now, owner_actions& actions) {
    ++counters_.deposed;
    hand_back(part, actions);
    std::uniform_real_distribution<double> jitter(1.0, 2.0);
    part.blocked_until =
        now + std::chrono::duration_cast<base::duration>(settings_.deposed_pause * jitter(random_));
    part.blocked_answer = claim_answer::not_owner;
}

void claim_owner::fail(partition& part, const base::error& cause, base::time_point now,
                       owner_actions& actions) {
    ++counters_.failures;
    refuse_claims(part, claim_answer::unavailable, now, actions);
    if (cause.code == base::error_code::store_malformed || cause.code == base::error_code::store_not_found ||
        cause.code == base::error_code::value_too_large) {
        // The fault is in the objects of this partition; the store itself answers.
        part.blocked_until = now + settings_.outage_pause;
        part.blocked_answer = claim_answer::unavailable;
        return;
    }
    store_failed_ = true;
    probe_at_ = now + settings_.outage_pause;
}

void claim_owner::hand_back(partition& part, owner_actions& actions) const {
    refuse_claims(part, claim_answer::not_owner, base::time_point::max(), actions);
    part.waiting.clear();
    part.at = phase::idle;
    part.keys.clear();
    part.entries = 0;
    part.tail = {};
}

void claim_owner::answer_resolved(partition& part, owner_actions& actions) {
    std::deque<waiting_message> remaining;
    for (waiting_message& what : part.waiting) {
        if (std::optional<message> answer = resolve(part, what)) {
            actions.messages.push_back({what.from, std::move(*answer)});
        } else {
            remaining.push_back(std::move(what));
        }
    }
    part.waiting.swap(remaining);
}

void claim_owner::refuse_claims(partition& part, claim_answer why, base::time_point arrived_until,
                                owner_actions& actions) const {
    std::deque<waiting_message> remaining;
    for (waiting_message& what : part.waiting) {
        if (what.result || what.arrived > arrived_until) {
            remaining.push_back(std::move(what));
        } else {
            actions.messages.push_back({what.from, claim_result{part.id, what.key, what.attempt, why}});
        }
    }
    part.waiting.swap(remaining);
}

owner_actions claim_owner::tick(base::time_point now) {
    owner_actions actions;
    for (partition& part : partitions_) {
        if (part.in_flight && now - part.in_flight->sent > settings_.answer_limit) {
            part.in_flight.reset();
            --in_flight_;
            if (part.at == phase::taking) {
                part.at = phase::idle;
            }
            fail(part, {base::error_code::store_answer_lost, "journal", "no answer"}, now, actions);
        }
        if (!part.waiting.empty()) {
            refuse_claims(part, claim_answer::unavailable, now - settings_.write_limit, actions);
            start(part, now, actions);
        }
        if (part.at == phase::owned && now >= part.next_expiry) {
            expire(part, now);
        }
    }
    return actions;
}

void claim_owner::expire(partition& part, base::time_point now) const {
    part.next_expiry = now + expiry_interval;
    const std::uint32_t oldest_s = oldest_kept(journal_time(part, now), retention_s());
    for (auto at = part.keys.begin(); at != part.keys.end();) {
        key_entry& entry = at->second;
        part.entries -= entry.size();
        if (entry.holder && entry.holder->written_s < oldest_s) {
            entry.holder.reset();
        }
        entry.released.erase(
            std::remove_if(entry.released.begin(), entry.released.end(),
                           [&](const released_attempt& r) { return r.written_s < oldest_s; }),
            entry.released.end());
        part.entries += entry.size();
        at = entry.size() == 0 ? part.keys.erase(at) : std::next(at);
    }
}

std::size_t claim_owner::owned() const {
    return static_cast<std::size_t>(std::count_if(partitions_.begin(), partitions_.end(),
                                                  [](const partition& p) { return p.at == phase::owned; }));
}

std::size_t claim_owner::keys() const {
    std::size_t total = 0;
    for (const partition& part : partitions_) {
        total += part.entries;
    }
    return total;
}

} // namespace bluebell::decision
