#include "store/follower.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::store {
namespace {

/// Interval between two looks at the entries of the other routers; those that start later introduce
/// themselves.
constexpr base::duration peer_interval = std::chrono::seconds(20);
/// Reads after the start, and their interval: routers that start together enter
/// themselves within a second.
constexpr int start_reads = 3;
constexpr base::duration start_interval = std::chrono::seconds(2);
constexpr base::duration first_retry = std::chrono::milliseconds(200);
constexpr base::duration longest_retry = std::chrono::seconds(3);
constexpr base::duration ring_wait = std::chrono::seconds(1);
/// Cheap reads that may turn out older than what is wanted before an exact one, and the pause between two.
constexpr std::uint32_t cheap_reads = 3;
constexpr base::duration stale_pause = std::chrono::milliseconds(150);
/// Longest wait for an order while there is nothing to read.
constexpr base::duration idle_wait = std::chrono::seconds(1);
/// An outage shorter than this does not let entries lapse, which takes three missed heartbeats.
constexpr base::duration short_outage = std::chrono::seconds(1);

/// A random part of half of `value` is left out, so that routers do not call in step.
base::duration jittered(base::duration value, std::mt19937_64& random) {
    return value -
           base::duration(std::uniform_int_distribution<base::duration::rep>(0, value.count() / 2)(random));
}

} // namespace

follower::follower(std::unique_ptr<directory> source, follower_links links, const base::clock& time,
                   const follower_settings& settings)
    : source_(std::move(source)), links_(links), clock_(time), settings_(settings), random_(settings.seed) {}

void follower::take_orders(base::duration wait) {
    while (const std::optional<dispatch::follow_order> next = links_.orders.pop(wait)) {
        order_ = *next;
        wait = base::duration::zero();
    }
}

/// The cheap answers may be older than what is wanted; an exact one is asked for in the end.
base::result<position> follower::refresh(position from) {
    base::result<position> got = read(false, stale_reads_ >= cheap_reads);
    if (got && reached_ < order_.required_position) {
        ++stale_reads_;
        take_orders(stale_pause);
    } else {
        stale_reads_ = 0;
    }
    // A cheap answer must not move the position back from which changes are awaited.
    return got ? base::result<position>(std::max(*got, from)) : got;
}

void follower::run(base::stop_signal& stop) {
    std::optional<position> at;
    if (links_.orders.closed()) {
        links_.orders.reopen();
    }
    order_ = {};
    while (!stop.requested()) {
        take_orders(base::duration::zero());
        const bool idle = at && !order_.watch;
        if (idle && reached_ >= order_.required_position) {
            take_orders(idle_wait);
            continue;
        }
        const bool outage = failing_since_ && now() - *failing_since_ >= short_outage;
        base::result<position> got = idle ? refresh(*at) : at ? await(*at) : read(outage, true);
        if (got) {
            if (failing_since_) {
                base::log_event(
                    base::log_level::info, name(), "store_regained",
                    {{"failures", failures_},
                     {"after_s", std::chrono::duration<double>(now() - *failing_since_).count()}});
            }
            failures_ = 0;
            failing_since_.reset();
            at = *got;
            if (std::exchange(stale_, false)) {
                at.reset();
                stop.wait_for(settings_.first_pause);
            }
            continue;
        }
        at.reset();
        if (got.error().code == base::error_code::store_history_lost) {
            base::log_event(base::log_level::info, name(), "history_lost", {});
            continue;
        }
        note_failure(got.error());
        stop.wait_for(next_pause());
    }
}

void follower::note_failure(const base::error& cause) {
    if (!failing_since_) {
        failing_since_ = now();
    }
    ++failures_;
    if ((failures_ & (failures_ - 1)) != 0) {
        return; // one line at the loss, and ever fewer while it lasts
    }
    base::log_event(base::log_level::warning, name(), "store_failed",
                    {{"code", base::to_string(cause.code)}, {"text", cause.text}, {"failures", failures_}});
}

base::duration follower::next_pause() {
    const std::uint32_t doublings = std::min(failures_, 5U) - 1;
    return jittered(std::min(settings_.first_pause * (1U << doublings), settings_.longest_pause), random_);
}

void follower::tell(dispatch::event what) {
    const base::push_result pushed = links_.events.push(std::move(what), ring_wait);
    if (pushed == base::push_result::full) {
        throw base::fatal_error({base::error_code::worker_failed, name(), "the dispatcher takes no events"});
    }
    if (pushed == base::push_result::closed) {
        // The dispatcher is about to start again and needs everything anew.
        stale_ = true;
    }
}

base::result<position> catalogue_follower::read(bool /*after_outage*/, bool exact) {
    const base::time_point asked = now();
    base::result<catalogue_reading> got = source().read_catalogue(exact);
    if (!got) {
        return tl::unexpected(got.error());
    }
    return take(std::move(*got), exact ? std::optional<base::time_point>(asked) : std::nullopt);
}

base::result<position> catalogue_follower::await(position from) {
    const base::time_point asked = now();
    base::result<catalogue_reading> got = source().await_catalogue(from, wait());
    if (!got) {
        return tl::unexpected(got.error());
    }
    return take(std::move(*got), asked);
}

position catalogue_follower::take(catalogue_reading got, std::optional<base::time_point> asked) {
    if (got.value) {
        reached(got.value->version.value());
    }
    tell(dispatch::catalogue_read{std::move(got.value), asked});
    return got.at;
}

base::result<position> roster_follower::read(bool after_outage, bool exact) {
    const base::time_point asked = now();
    base::result<roster_reading> got = source().read_upstreams(exact);
    if (!got) {
        return tl::unexpected(got.error());
    }
    // An old list must not bring back upstreams that are gone.
    const bool older = got->at.value() < reached_mark();
    reached(got->at.value());
    if (!older) {
        tell(dispatch::roster_read{std::move(got->entries), after_outage, got->at.value(),
                                   exact ? std::optional<base::time_point>(asked) : std::nullopt});
    }
    return got->at;
}

base::result<position> roster_follower::await(position from) {
    const base::time_point asked = now();
    base::result<roster_changes> got = source().await_upstreams(from, wait());
    if (!got) {
        return tl::unexpected(got.error());
    }
    reached(got->at.value());
    tell(dispatch::roster_changed{std::move(got->changes), got->at.value(), asked});
    return got->at;
}

registrar::registrar(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                     decision::vm_entry self, std::uint64_t seed)
    : source_(std::move(source)), events_(events), self_(std::move(self)), random_(seed) {}

bool registrar::announce() {
    const base::result<void> entered = source_->announce_router(self_);
    if (!entered) {
        base::log_event(base::log_level::warning, name(), "not_entered",
                        {{"code", base::to_string(entered.error().code)}, {"text", entered.error().text}});
    }
    return entered.has_value();
}

void registrar::run(base::stop_signal& stop) {
    base::duration pause = first_retry;
    int reads = 0;
    while (!stop.requested()) {
        announced_ = announced_ || announce();
        const bool starting = reads < start_reads;
        // The list between the first and the last reading of the start may be old.
        const bool exact = reads == 0 || reads == start_reads - 1;
        base::result<std::vector<decision::vm_entry>> peers = source_->read_routers(exact);
        if (peers) {
            events_.push(dispatch::peers_read{std::move(*peers)}, ring_wait);
            reads += announced_ && starting ? 1 : 0;
        }
        const bool done = announced_ && peers;
        if (!done) {
            stop.wait_for(jittered(pause, random_));
            pause = std::min(pause * 2, longest_retry);
        } else {
            stop.wait_for(jittered(starting ? start_interval : peer_interval, random_));
            pause = first_retry;
        }
    }
}

} // namespace bluebell::store
