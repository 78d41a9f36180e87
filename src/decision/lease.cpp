#include "decision/lease.h"

#include <utility>

namespace bluebell::decision {

lease_keeper::lease_keeper(base::pool_id pool, base::vm_id self, base::incarnation life,
                           lease_settings settings)
    : pool_(std::move(pool)), self_(std::move(self)), life_(life), settings_(settings) {}

std::vector<lease_command> lease_keeper::want(bool wanted, base::time_point now) {
    wanted_ = wanted;
    return tick(now);
}

std::vector<lease_command> lease_keeper::tick(base::time_point now) {
    if (in_flight_ && now - in_flight_->sent > settings_.answer_limit) {
        in_flight_.reset();
        known_ = false;
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
    if (!known_) {
        return now >= next_read_ ? std::optional<lease_command>(read(now)) : std::nullopt;
    }
    if (!wanted_) {
        // Nothing is sent under the lease from here on, so that the next holder need not wait.
        hold_.reset();
        return write(base::vm_id(), stored_->generation, now);
    }
    if (own()) {
        return now >= next_renewal_ ? std::optional<lease_command>(write(self_, stored_->generation, now))
                                    : std::nullopt;
    }
    if (free_to_take(now)) {
        return write(self_, (stored_ ? stored_->generation : base::epoch()) + base::epoch(1), now);
    }
    return now >= next_read_ ? std::optional<lease_command>(read(now)) : std::nullopt;
}

lease_command lease_keeper::read(base::time_point now) {
    in_flight_ = command_in_flight{next_ticket_++, now, std::nullopt};
    return lease_read{pool_, in_flight_->ticket};
}

lease_command lease_keeper::write(const base::vm_id& holder, base::epoch generation, base::time_point now) {
    lease_record record{pool_, holder, life_, generation, ++writes_, settings_.term};
    may_hold_ = true;
    in_flight_ = command_in_flight{next_ticket_++, now, record};
    return lease_update{std::move(record), version_, in_flight_->ticket};
}

bool lease_keeper::own() const {
    return stored_ && stored_->holder == self_ && stored_->incarnation == life_;
}

bool lease_keeper::free_to_take(base::time_point now) const {
    return !stored_ || stored_->holder.value().empty() ||
           now - version_since_ >= stored_->term + settings_.margin;
}

std::vector<lease_command> lease_keeper::answered(const lease_answered& answer, base::time_point now) {
    if (!in_flight_ || in_flight_->ticket != answer.ticket) {
        return {};
    }
    const command_in_flight done = *in_flight_;
    in_flight_.reset();
    if (!answer.cause && done.written) {
        version_ = answer.version;
        version_since_ = now;
        confirmed(*done.written, done.sent, now);
    } else if (!answer.cause || answer.cause->code == base::error_code::store_conflict) {
        seen(answer, now);
    } else {
        known_ = false;
        next_read_ = now + settings_.retry;
    }
    return tick(now);
}

void lease_keeper::confirmed(const lease_record& record, base::time_point sent, base::time_point now) {
    known_ = true;
    stored_ = record;
    next_read_ = now + settings_.poll;
    if (record.holder != self_) {
        may_hold_ = false;
        return;
    }
    next_renewal_ = sent + settings_.renewal;
    if (!hold_ || hold_->generation != record.generation) {
        hold_ = lease_hold{pool_, record.generation, now, {}};
    }
    hold_->act_before = sent + record.term - settings_.margin;
}

void lease_keeper::seen(const lease_answered& answer, base::time_point now) {
    // Versions are never used twice: the same version means that nothing was written in between.
    if (!stored_ || answer.version != version_) {
        version_since_ = now;
    }
    known_ = true;
    stored_ = answer.record;
    version_ = answer.version;
    next_read_ = now + settings_.poll;
    if (own()) {
        // An earlier write took effect although its answer was lost. Its term is not counted; the lease is
        // renewed at once instead.
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
