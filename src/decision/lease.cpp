#include "decision/lease.h"

#include <utility>

namespace bluebell::decision {

lease_keeper::lease_keeper(base::pool_id pool, base::vm_id self, base::incarnation incarnation,
                           lease_settings settings)
    : pool_(std::move(pool)), self_(std::move(self)), incarnation_(incarnation), settings_(settings) {}

std::vector<lease_command> lease_keeper::set_wanted(bool wanted, base::time_point now) {
    wanted_ = wanted;
    return tick(now);
}

std::vector<lease_command> lease_keeper::tick(base::time_point now) {
    if (in_flight_ && now - in_flight_->sent_at > settings_.answer_timeout) {
        in_flight_.reset();
        store_state_known_ = false;
    }
    std::vector<lease_command> commands;
    if (!in_flight_) {
        if (std::optional<lease_command> command = next_command(now)) {
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

std::optional<lease_command> lease_keeper::next_command(base::time_point now) {
    if (!wanted_ && !may_hold_) {
        return std::nullopt;
    }
    if (!store_state_known_) {
        return now >= next_read_ ? std::optional<lease_command>(issue_read(now)) : std::nullopt;
    }
    if (!wanted_) {
        // No order is sent under the lease from here on, so the next holder need not wait.
        hold_.reset();
        return issue_write(base::vm_id(), stored_->generation, now);
    }
    if (is_holder()) {
        return now >= next_renewal_
                   ? std::optional<lease_command>(issue_write(self_, stored_->generation, now))
                   : std::nullopt;
    }
    if (is_free(now)) {
        return issue_write(self_, (stored_ ? stored_->generation : base::epoch()) + base::epoch(1), now);
    }
    return now >= next_read_ ? std::optional<lease_command>(issue_read(now)) : std::nullopt;
}

lease_command lease_keeper::issue_read(base::time_point now) {
    in_flight_ = command_in_flight{next_ticket_++, now, std::nullopt};
    return lease_read{pool_, in_flight_->ticket};
}

lease_command lease_keeper::issue_write(const base::vm_id& holder, base::epoch generation,
                                        base::time_point now) {
    lease_record record{pool_, holder, incarnation_, generation, ++last_write_number_, settings_.term};
    may_hold_ = true;
    in_flight_ = command_in_flight{next_ticket_++, now, record};
    return lease_update{std::move(record), version_, in_flight_->ticket};
}

bool lease_keeper::is_holder() const {
    return stored_ && stored_->holder == self_ && stored_->incarnation == incarnation_;
}

bool lease_keeper::is_free(base::time_point now) const {
    return !stored_ || stored_->holder.value().empty() ||
           now - version_first_seen_ >= stored_->term + settings_.safety_margin;
}

std::vector<lease_command> lease_keeper::on_answer(const lease_answered& answer, base::time_point now) {
    if (!in_flight_ || in_flight_->ticket != answer.ticket) {
        return {};
    }
    const command_in_flight finished_command = *in_flight_;
    in_flight_.reset();
    if (!answer.cause && finished_command.written) {
        version_ = answer.version;
        version_first_seen_ = now;
        on_write_confirmed(*finished_command.written, finished_command.sent_at, now);
    } else if (!answer.cause || answer.cause->code == base::error_code::store_conflict) {
        on_lease_read(answer, now);
    } else {
        store_state_known_ = false;
        next_read_ = now + settings_.retry_interval;
    }
    return tick(now);
}

void lease_keeper::on_write_confirmed(const lease_record& record, base::time_point sent,
                                      base::time_point now) {
    store_state_known_ = true;
    stored_ = record;
    next_read_ = now + settings_.poll_interval;
    if (record.holder != self_) {
        may_hold_ = false;
        return;
    }
    next_renewal_ = sent + settings_.renewal_interval;
    if (!hold_ || hold_->generation != record.generation) {
        hold_ = lease_hold{pool_, record.generation, now, {}};
    }
    hold_->act_before = sent + record.term - settings_.safety_margin;
}

void lease_keeper::on_lease_read(const lease_answered& answer, base::time_point now) {
    // Versions are never reused: the same version means that nothing was written in between.
    if (!stored_ || answer.version != version_) {
        version_first_seen_ = now;
    }
    store_state_known_ = true;
    stored_ = answer.record;
    version_ = answer.version;
    next_read_ = now + settings_.poll_interval;
    if (is_holder()) {
        // An earlier write took effect although its answer was lost. Its term is not counted; instead the
        // lease is renewed at once.
        next_renewal_ = now;
        return;
    }
    hold_.reset();
    may_hold_ = false;
}

std::optional<lease_hold> lease_keeper::held(base::time_point now) const {
    return wanted_ && hold_ && now < hold_->act_before ? hold_ : std::nullopt;
}

} // namespace bluebell::decision
