#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "store/directory.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bluebell::store {

/// The rings that join a follower with the dispatcher.
struct follower_links {
    base::ring<dispatch::event>& events;
    base::ring<dispatch::follow_order>& orders;
};

struct follower_settings {
    /// How long one call waits for a change. It bounds the age of the view while nothing changes.
    base::duration wait = std::chrono::seconds(1);
    /// First pause after a failure; doubles up to the longest.
    base::duration first_pause = std::chrono::milliseconds(50);
    base::duration longest_pause = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
};

/// Keeps a view of one kind of objects: reads it whole, then awaits changes, and starts over after a failure.
/// While it is ordered not to watch, it only reads when it is told that something newer exists.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class follower : public base::worker {
public:
    void run(base::stop_signal& stop) final;
    void interrupt() final {
        source_->interrupt();
        links_.orders.close();
    }

protected:
    /// Pre-condition: what `links` and `time` refer to outlives the worker.
    follower(std::unique_ptr<directory> source, follower_links links, const base::clock& time,
             const follower_settings& settings);
    /// Reads everything. `after_outage` is set if calls have failed since the last success.
    virtual base::result<position> read(bool after_outage, bool exact) = 0;
    /// Awaits changes after `from`.
    virtual base::result<position> await(position from) = 0;
    /// Waits for room in the ring, since the view would be wrong without the event.
    void tell(dispatch::event what);

    [[nodiscard]] directory& source() { return *source_; }
    [[nodiscard]] base::time_point now() const { return clock_.now(); }
    [[nodiscard]] base::duration wait() const { return order_.short_wait ? brief_wait : settings_.wait; }
    /// Wait of a call while other routers depend on the view.
    static constexpr base::duration brief_wait = std::chrono::milliseconds(500);
    [[nodiscard]] std::uint64_t reached_mark() const { return reached_; }
    void reached(std::uint64_t mark) { reached_ = std::max(reached_, mark); }

private:
    void take_orders(base::duration wait);
    /// Reads what is wanted while the follower does not watch.
    base::result<position> refresh(position from);
    void note_failure(const base::error& cause);
    base::duration next_pause();

    std::unique_ptr<directory> source_;
    follower_links links_;
    const base::clock& clock_;
    const follower_settings settings_;
    dispatch::follow_order order_;
    /// What the last reading contains, as `follow_order::wanted` counts it.
    std::uint64_t reached_ = 0;
    std::uint32_t stale_reads_ = 0;
    std::mt19937_64 random_;
    std::uint32_t failures_ = 0;
    /// An event found the ring closed.
    bool stale_ = false;
    std::optional<base::time_point> failing_since_;
};

/// Keeps the configuration, and confirms it at least every `wait`.
class catalogue_follower final : public follower {
public:
    catalogue_follower(std::unique_ptr<directory> source, follower_links links, const base::clock& time,
                       const follower_settings& settings)
        : follower(std::move(source), links, time, settings) {}
    [[nodiscard]] std::string name() const override { return "catalogue"; }

private:
    position take(catalogue_reading got, std::optional<base::time_point> asked);
    base::result<position> read(bool after_outage, bool exact) override;
    base::result<position> await(position from) override;
};

/// Keeps the list of upstreams.
class roster_follower final : public follower {
public:
    roster_follower(std::unique_ptr<directory> source, follower_links links, const base::clock& time,
                    const follower_settings& settings)
        : follower(std::move(source), links, time, settings) {}
    [[nodiscard]] std::string name() const override { return "roster"; }

private:
    base::result<position> read(bool after_outage, bool exact) override;
    base::result<position> await(position from) override;
};

/// Enters this router in the store and reads the entries of the others now and then.
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
    bool announce();

    std::unique_ptr<directory> source_;
    base::ring<dispatch::event>& events_;
    const decision::vm_entry self_;
    std::mt19937_64 random_;
    bool announced_ = false;
};

} // namespace bluebell::store
