#pragma once

#include "base/clock.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>

namespace bluebell::relay {

/// Bounds the time that an event loop spends on bodies in very small chunks, whose parsing costs much more
/// than that of other bytes. It answers 100 callers with 400,000 chunks of one byte each, which kept a loop
/// behind for seconds, so that it refused ordinary requests. Thread safety: used by one thread.
class work_budget {
public:
    /// Share of the time that such bodies may take; a single one in calm conditions arrives at a quarter of
    /// the speed of the processor, some megabytes per second.
    static constexpr int time_divisor = 4;
    /// Time that may be taken at once after a pause. Together with one read it stays well below the lag at
    /// which an event loop refuses requests (`saturation::max_lag`).
    static constexpr base::duration max_saved = std::chrono::milliseconds(20);

    /// Takes the time that a read took, which ended at `now`. The budget may become negative.
    void spend(base::duration work, base::time_point now) {
        refill(now);
        saved_ -= work;
    }
    /// Returns true if another such body may be read.
    [[nodiscard]] bool available(base::time_point now) {
        refill(now);
        return saved_ > base::duration::zero();
    }
    /// Returns the time until `available` is true again.
    [[nodiscard]] base::duration time_until_available(base::time_point now) const {
        const base::duration lacking = -saved_ * time_divisor + base::duration(1) - (now - refilled_at_);
        return std::max(lacking, base::duration::zero());
    }

private:
    void refill(base::time_point now) {
        saved_ = std::min(saved_ + (now - refilled_at_) / time_divisor, max_saved);
        refilled_at_ = now;
    }

    base::duration saved_ = max_saved;
    base::time_point refilled_at_;
};

/// A connection whose reading can be deferred.
class paced_reader {
public:
    paced_reader() = default;
    paced_reader(const paced_reader&) = delete;
    paced_reader& operator=(const paced_reader&) = delete;
    paced_reader(paced_reader&&) = delete;
    paced_reader& operator=(paced_reader&&) = delete;
    virtual ~paced_reader() = default;

    /// Called when it is the connection's turn to read again. Must not destroy the reader.
    virtual void resume_reading() = 0;
    /// Returns true from `read_pacer::defer` until `resume_reading`.
    [[nodiscard]] bool deferred() const { return place_.has_value(); }

private:
    friend class read_pacer;
    std::optional<std::list<paced_reader*>::iterator> place_;
};

/// Lets connections with bodies in very small chunks read in turns, within a `work_budget`.
/// Thread safety: used by one thread.
class read_pacer {
public:
    /// Records a read that took `work` and ended at `now`. Returns true if the connection has to wait for its
    /// turn, which `resume_reading` announces.
    [[nodiscard]] bool defer(paced_reader& reader, base::duration work, base::time_point now) {
        budget_.spend(work, now);
        if (waiting_.empty() && budget_.available(now)) {
            return false;
        }
        reader.place_ = waiting_.insert(waiting_.end(), &reader);
        return true;
    }
    /// Forgets a reader. Does nothing if it does not wait.
    void remove(paced_reader& reader) {
        if (reader.place_) {
            waiting_.erase(*std::exchange(reader.place_, std::nullopt));
        }
    }
    /// Gives the next readers their turn, if there is time for them. To be called once in each round of the
    /// loop.
    void run(base::time_point now) {
        for (int i = 0; i < turns_per_round && !waiting_.empty() && budget_.available(now); ++i) {
            paced_reader& next = *waiting_.front();
            remove(next);
            next.resume_reading();
        }
    }
    /// Returns the time until `run` has something to do; empty if no reader waits.
    [[nodiscard]] std::optional<base::duration> wait_time(base::time_point now) const {
        return waiting_.empty() ? std::nullopt
                                : std::optional<base::duration>(budget_.time_until_available(now));
    }

private:
    /// Few enough that their reads do not exceed `work_budget::max_saved`, which is known only afterwards.
    static constexpr int turns_per_round = 4;

    work_budget budget_;
    std::list<paced_reader*> waiting_;
};

} // namespace bluebell::relay
