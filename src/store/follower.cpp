#include "store/follower.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::store {
namespace {

/// Interval between reads of the other routers' entries. It may be long, since a router that starts later
/// announces itself to the others.
constexpr base::duration peer_interval = std::chrono::seconds(20);
/// Number and interval of reads after the start. They are more frequent because routers that start together
/// add their entries within a second.
constexpr int start_reads = 3;
constexpr base::duration start_interval = std::chrono::seconds(2);
constexpr base::duration first_retry = std::chrono::milliseconds(200);
constexpr base::duration longest_retry = std::chrono::seconds(3);
constexpr base::duration ring_timeout = std::chrono::seconds(1);
/// Inexact reads that may return less than the wanted version before an exact one is made, and the pause
/// between them.
constexpr std::uint32_t max_inexact_reads = 3;
constexpr base::duration stale_pause = std::chrono::milliseconds(150);
/// Longest wait for an order while nothing needs to be read.
constexpr base::duration idle_wait = std::chrono::seconds(1);
/// Entries expire after three missed heartbeats, so none expires during an outage shorter than this.
constexpr base::duration short_outage = std::chrono::seconds(1);

/// Readings that confirm one after a change, or after the watch has begun anew.
constexpr int confirmation_count = 2;

/// Returns a random duration between half of `value` and `value`, to desynchronise the routers.
base::duration jittered(base::duration value, std::mt19937_64& random) {
    return value -
           base::duration(std::uniform_int_distribution<base::duration::rep>(0, value.count() / 2)(random));
}

} // namespace

follower::follower(std::unique_ptr<directory> source, follower_links links, const base::clock& clock,
                   const follower_settings& settings)
    : source_(std::move(source)), links_(links), clock_(clock), settings_(settings), random_(settings.seed) {}

void follower::receive_orders(base::duration wait) {
    while (const std::optional<dispatch::follow_order> next = links_.orders.pop(wait)) {
        order_ = *next;
        wait = base::duration::zero();
    }
}

base::result<position> follower::refresh(position from) {
    base::result<position> result = read(false, stale_reads_ >= max_inexact_reads);
    // An inexact answer may be older than the wanted version; after some of them, an exact one is requested.
    if (result && newest_read_ < order_.required_position) {
        ++stale_reads_;
        receive_orders(stale_pause);
    } else {
        stale_reads_ = 0;
    }
    // Changes are awaited from the returned position, so an inexact answer must not move it back.
    return result ? base::result<position>(std::max(*result, from)) : result;
}

void follower::run(base::stop_signal& stop) {
    std::optional<position> current;
    if (links_.orders.closed()) {
        links_.orders.reopen();
    }
    order_ = {};
    order_.watch = settings_.exact_start;
    exact_read_ = false;
    while (!stop.requested()) {
        receive_orders(base::duration::zero());
        const bool idle = current && !order_.watch;
        if (idle && newest_read_ >= order_.required_position) {
            receive_orders(idle_wait);
            continue;
        }
        const bool outage = failing_since_ && now() - *failing_since_ >= short_outage;
        const bool exact = order_.watch || settings_.exact_start;
        base::result<position> result = idle                     ? refresh(*current)
                                        : current && exact_read_ ? await(*current)
                                                                 : read(outage, exact);
        if (result) {
            exact_read_ = exact_read_ || (!idle && exact);
            if (failing_since_) {
                base::log_event(
                    base::log_level::info, name(), "store_regained",
                    {{"failures", failures_},
                     {"after_s", std::chrono::duration<double>(now() - *failing_since_).count()}});
            }
            failures_ = 0;
            failing_since_.reset();
            current = *result;
            if (std::exchange(resync_needed_, false)) {
                current.reset();
                stop.wait_for(settings_.first_pause);
            }
            continue;
        }
        current.reset();
        if (result.error().code == base::error_code::store_history_lost) {
            base::log_event(base::log_level::info, name(), "history_lost", {});
            continue;
        }
        record_failure(result.error());
        stop.wait_for(next_pause());
    }
}

void follower::record_failure(const base::error& cause) {
    if (!failing_since_) {
        failing_since_ = now();
    }
    ++failures_;
    if ((failures_ & (failures_ - 1)) != 0) {
        return; // log only failures 1, 2, 4, 8, ...: one line at the loss, and fewer while it lasts
    }
    base::log_event(base::log_level::warning, name(), "store_failed",
                    {{"code", base::to_string(cause.code)}, {"text", cause.text}, {"failures", failures_}});
}

base::duration follower::next_pause() {
    constexpr std::uint32_t max_doublings = 6;
    const std::uint32_t doublings = std::min(failures_ - 1, max_doublings);
    const base::duration longest =
        order_.has_delegate ? settings_.longest_delegated_pause : settings_.longest_pause;
    return jittered(std::min(settings_.first_pause * (1U << doublings), longest), random_);
}

void follower::push_event(dispatch::event event) {
    const base::push_result push_status = links_.events.push(std::move(event), ring_timeout);
    if (push_status == base::push_result::full) {
        throw base::fatal_error(
            {base::error_code::worker_failed, name(), "the dispatcher does not read its event ring"});
    }
    if (push_status == base::push_result::closed) {
        // The dispatcher is restarting and needs all objects again.
        resync_needed_ = true;
    }
}

base::result<position> catalogue_follower::read(bool /*after_outage*/, bool exact) {
    const base::time_point requested_at = now();
    base::result<catalogue_reading> result = source().read_catalogue(exact);
    if (!result) {
        return tl::unexpected(result.error());
    }
    return publish(std::move(*result), exact ? std::optional<base::time_point>(requested_at) : std::nullopt);
}

base::result<position> catalogue_follower::await(position from) {
    const base::time_point requested_at = now();
    base::result<catalogue_reading> result = source().await_catalogue(from, wait());
    if (!result) {
        return tl::unexpected(result.error());
    }
    return publish(std::move(*result), requested_at);
}

position catalogue_follower::publish(catalogue_reading reading,
                                     std::optional<base::time_point> requested_at) {
    if (reading.catalogue) {
        record_read(reading.catalogue->version.value());
    }
    push_event(dispatch::catalogue_read{std::move(reading.catalogue), requested_at});
    return reading.as_of;
}

base::result<position> roster_follower::read(bool after_outage, bool exact) {
    const base::time_point requested_at = now();
    base::result<roster_reading> result = source().read_upstreams(exact);
    if (!result) {
        return tl::unexpected(result.error());
    }
    // An outdated list must not restore upstreams that have been removed.
    const bool older = result->as_of.value() < newest_read();
    record_read(result->as_of.value());
    if (!older) {
        push_event(
            dispatch::roster_read{std::move(result->entries), after_outage, result->as_of.value(),
                                  exact ? std::optional<base::time_point>(requested_at) : std::nullopt});
    }
    return result->as_of;
}

base::result<position> roster_follower::await(position from) {
    const base::time_point requested_at = now();
    base::result<roster_changes> result = source().await_upstreams(from, wait());
    if (!result) {
        return tl::unexpected(result.error());
    }
    record_read(result->as_of.value());
    push_event(dispatch::roster_changed{std::move(result->changes), result->as_of.value(), requested_at});
    return result->as_of;
}

base::result<position> evacuation_follower::read(bool /*after_outage*/, bool exact) {
    // A connection that was opened before stays as it is, and only the first call opens one.
    source().detect_silent_connections();
    confirmations_due_ = confirmation_count;
    return publish(exact);
}

base::result<position> evacuation_follower::await(position from) {
    const base::time_point requested_at = now();
    if (requested_at - answered_at_ > first_confirmation_wait) {
        confirmations_due_ = confirmation_count; // it has not watched for a while
    }
    const base::duration longest = confirmations_due_ == confirmation_count ? first_confirmation_wait
                                   : confirmations_due_ > 0                 ? second_confirmation_wait
                                                                            : wait();
    base::result<evacuations_changes> changes = source().await_evacuations(from, std::min(longest, wait()));
    answered_at_ = now();
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    if (changes->as_of < from) {
        return base::failure(base::error_code::store_history_lost, name(),
                             "the store has gone back to an earlier position");
    }
    if (!changes->changed && confirmations_due_ == 0) {
        push_event(dispatch::evacuations_read{current_, requested_at, unreadable_});
        return changes->as_of;
    }
    confirmations_due_ = changes->changed ? confirmation_count : confirmations_due_ - 1;
    base::result<position> result = publish(true);
    if (!result && !changes->added.empty()) {
        // Without the reading nothing may be lifted, but what was evacuated may stand by now.
        current_.insert(changes->added.begin(), changes->added.end());
        push_event(dispatch::evacuations_read{current_, answered_at_, unreadable_});
    }
    return result;
}

base::result<position> evacuation_follower::publish(bool exact) {
    const base::time_point requested_at = now();
    base::result<evacuations_reading> reading = source().read_evacuations(exact);
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    for (const std::string& unreadable : reading->unreadable) {
        const base::data_centre_id data_centre(unreadable);
        if (current_.count(data_centre) != 0) {
            reading->data_centres.insert(data_centre);
        }
    }
    answered_at_ = now();
    current_ = std::move(reading->data_centres);
    unreadable_ = reading->unreadable.size();
    push_event(dispatch::evacuations_read{current_, exact ? requested_at : requested_at - max_inexact_age,
                                          unreadable_});
    return reading->as_of;
}

registrar::registrar(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                     decision::vm_entry self, std::uint64_t seed)
    : source_(std::move(source)), events_(events), self_(std::move(self)), random_(seed) {}

bool registrar::announce() {
    const base::result<void> announced = source_->announce_router(self_);
    if (!announced) {
        base::log_event(
            base::log_level::warning, name(), "not_entered",
            {{"code", base::to_string(announced.error().code)}, {"text", announced.error().text}});
    }
    return announced.has_value();
}

void registrar::run(base::stop_signal& stop) {
    base::duration pause = first_retry;
    int reads = 0;
    while (!stop.requested()) {
        announced_ = announced_ || announce();
        const bool starting = reads < start_reads;
        // The first read comes after this router's own entry. If it is exact, of two routers that start
        // together one sees the other, and gossip does the rest.
        base::result<std::vector<decision::vm_entry>> peers = source_->read_routers(reads == 0);
        if (peers) {
            events_.push(dispatch::peers_read{std::move(*peers)}, ring_timeout);
            reads += announced_ && starting ? 1 : 0;
        }
        const bool complete = announced_ && peers;
        if (!complete) {
            stop.wait_for(jittered(pause, random_));
            pause = std::min(pause * 2, longest_retry);
        } else {
            stop.wait_for(jittered(starting ? start_interval : peer_interval, random_));
            pause = first_retry;
        }
    }
}

} // namespace bluebell::store
