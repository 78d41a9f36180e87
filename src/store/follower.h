#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "store/directory.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bluebell::store {

/// Rings that connect a follower with the dispatcher.
struct follower_links {
    base::ring<dispatch::event>& events;
    base::ring<dispatch::follow_order>& orders;
};

/// Intervals of a follower.
struct follower_settings {
    /// Longest wait of one call for a change. It bounds the age of the view while nothing changes.
    base::duration wait = std::chrono::seconds(1);
    /// The same while other routers depend on the view.
    base::duration short_wait = std::chrono::milliseconds(500);
    /// Make the first read an exact one, and watch until an order states otherwise.
    bool exact_start = true;
    /// Pause after the first failure; doubles with each further one up to `longest_pause`.
    base::duration first_pause = std::chrono::milliseconds(50);
    base::duration longest_pause = std::chrono::milliseconds(500);
    /// The same while another router reads the store for this one.
    base::duration longest_delegated_pause = std::chrono::seconds(2);
    /// Initialises the random variation of the pauses.
    std::uint64_t seed = 1;
};

/// Keeps the dispatcher's view of one kind of objects up to date: reads all objects, then awaits changes, and
/// starts over after a failure. While an order disables watching, it reads only if an order asks for more.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class follower : public base::worker {
public:
    void run(base::stop_signal& stop) final;
    void interrupt() final {
        source_->interrupt();
        links_.orders.close();
    }

protected:
    /// Pre-condition: the rings of `links` and the clock outlive the worker.
    follower(std::unique_ptr<directory> source, follower_links links, const base::clock& clock,
             const follower_settings& settings);
    /// Reads all objects and returns their position. `after_outage` is set if calls have failed for a while
    /// since the last success; unless `exact` is set, the answer may be seconds old.
    virtual base::result<position> read(bool after_outage, bool exact) = 0;
    /// Awaits changes after `from` and returns the new position.
    virtual base::result<position> await(position from) = 0;
    /// Pushes an event; waits for space in the ring, since a lost event would make the dispatcher's view
    /// wrong. Throws `base::fatal_error` if there is still none after a time limit.
    void push_event(dispatch::event event);

    [[nodiscard]] directory& source() { return *source_; }
    [[nodiscard]] base::time_point now() const { return clock_.now(); }
    /// Returns the longest wait of the next call for a change.
    [[nodiscard]] base::duration wait() const {
        return order_.short_wait ? settings_.short_wait : settings_.wait;
    }
    /// Returns the newest version or position read so far, in the unit of `follow_order::required_position`.
    [[nodiscard]] std::uint64_t newest_read() const { return newest_read_; }
    /// Records that the view contains this version or position.
    void record_read(std::uint64_t mark) { newest_read_ = std::max(newest_read_, mark); }

private:
    /// Takes the newest order from the ring; waits at most `wait` for one.
    void receive_orders(base::duration wait);
    /// Reads all objects while watching is disabled, and returns the later of `from` and the position read.
    base::result<position> refresh(position from);
    /// Counts the failure and logs it with decreasing frequency.
    void record_failure(const base::error& cause);
    /// Returns the pause after the last failure.
    base::duration next_pause();

    std::unique_ptr<directory> source_;
    follower_links links_;
    const base::clock& clock_;
    const follower_settings settings_;
    dispatch::follow_order order_;
    std::uint64_t newest_read_ = 0;
    /// All objects were read exactly, so that changes can be awaited from there.
    bool exact_read_ = false;
    std::uint32_t stale_reads_ = 0;
    std::mt19937_64 random_;
    std::uint32_t failures_ = 0;
    /// Set if an event was not delivered because the ring was closed.
    bool resync_needed_ = false;
    std::optional<base::time_point> failing_since_;
};

/// Follows the configuration and confirms it at least once per `follower_settings::wait` while it watches.
class catalogue_follower final : public follower {
public:
    catalogue_follower(std::unique_ptr<directory> source, follower_links links, const base::clock& clock,
                       const follower_settings& settings)
        : follower(std::move(source), links, clock, settings) {}
    [[nodiscard]] std::string name() const override { return "catalogue"; }

private:
    /// Sends the reading to the dispatcher and returns its position. `requested_at` is empty for an inexact
    /// reading.
    position publish(catalogue_reading reading, std::optional<base::time_point> requested_at);
    base::result<position> read(bool after_outage, bool exact) override;
    base::result<position> await(position from) override;
};

/// Follows the list of upstreams.
class roster_follower final : public follower {
public:
    roster_follower(std::unique_ptr<directory> source, follower_links links, const base::clock& clock,
                    const follower_settings& settings)
        : follower(std::move(source), links, clock, settings) {}
    [[nodiscard]] std::string name() const override { return "roster"; }

private:
    base::result<position> read(bool after_outage, bool exact) override;
    base::result<position> await(position from) override;
};

/// Follows the evacuated data centres.
///
/// An evacuation is lifted by a view that was confirmed `dispatch::evacuations::lift_margin` after the last
/// one that showed it. A waiting call confirms only the time when it began, so after each reading of the
/// whole kind the follower reads it again before it waits for long.
class evacuation_follower final : public follower {
public:
    /// Waits after a reading of the whole kind, each followed by another reading. The first one is longer
    /// than the margin; the second one covers a message of another router that took longer than the rest.
    static constexpr base::duration first_confirmation_wait = std::chrono::milliseconds(1200);
    static constexpr base::duration second_confirmation_wait = std::chrono::seconds(3);
    /// How much older than its request an inexact answer may be.
    static constexpr base::duration max_inexact_age = std::chrono::seconds(15);

    evacuation_follower(std::unique_ptr<directory> source, follower_links links, const base::clock& clock,
                        const follower_settings& settings)
        : follower(std::move(source), links, clock, settings) {}
    [[nodiscard]] std::string name() const override { return "evacuations"; }

private:
    base::result<position> read(bool after_outage, bool exact) override;
    base::result<position> await(position from) override;
    /// Reads the whole kind and publishes it.
    base::result<position> publish(bool exact);

    std::set<base::data_centre_id> current_;
    std::size_t unreadable_ = 0;
    /// When the store last answered.
    base::time_point answered_at_;
    /// Readings that are still to confirm the last one.
    int confirmations_due_ = 0;
};

/// Adds the entry of this router to the store and periodically reads the entries of the other routers.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class registrar final : public base::worker {
public:
    /// Pre-condition: `events` outlives the worker.
    registrar(std::unique_ptr<directory> source, base::ring<dispatch::event>& events, decision::vm_entry self,
              std::uint64_t seed);
    [[nodiscard]] std::string name() const override { return "registrar"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { source_->interrupt(); }

private:
    /// Writes the entry; returns false after a failure.
    bool announce();

    std::unique_ptr<directory> source_;
    base::ring<dispatch::event>& events_;
    const decision::vm_entry self_;
    std::mt19937_64 random_;
    bool announced_ = false;
};

} // namespace bluebell::store
