#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "store/directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bluebell::store {

struct follower_settings {
    /// How long one call waits for a change. It bounds the age of the view while nothing changes.
    base::duration wait = std::chrono::seconds(1);
    /// First pause after a failure; doubles up to the longest.
    base::duration first_pause = std::chrono::milliseconds(50);
    base::duration longest_pause = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
};

/// Keeps a view of one kind of objects: reads it whole, then awaits changes, and starts over after a failure.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class follower : public base::worker {
public:
    void run(base::stop_signal& stop) final;
    void interrupt() final { source_->interrupt(); }

protected:
    /// Pre-condition: `events` and `time` outlive the worker.
    follower(std::unique_ptr<directory> source, base::ring<dispatch::event>& events, const base::clock& time,
             const follower_settings& settings);
    /// Reads everything. `after_outage` is set if calls have failed since the last success.
    virtual base::result<position> read(bool after_outage) = 0;
    /// Awaits changes after `from`.
    virtual base::result<position> await(position from) = 0;
    /// Waits for room in the ring, since the view would be wrong without the event.
    void tell(dispatch::event what);

    [[nodiscard]] directory& source() { return *source_; }
    [[nodiscard]] base::time_point now() const { return clock_.now(); }
    [[nodiscard]] base::duration wait() const { return settings_.wait; }

private:
    void note_failure(const base::error& cause);
    base::duration next_pause();

    std::unique_ptr<directory> source_;
    base::ring<dispatch::event>& events_;
    const base::clock& clock_;
    const follower_settings settings_;
    std::mt19937_64 random_;
    std::uint32_t failures_ = 0;
    /// An event found the ring closed.
    bool stale_ = false;
    std::optional<base::time_point> failing_since_;
};

/// Keeps the configuration, and confirms it at least every `wait`.
class catalogue_follower final : public follower {
public:
    catalogue_follower(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                       const base::clock& time, const follower_settings& settings)
        : follower(std::move(source), events, time, settings) {}
    [[nodiscard]] std::string name() const override { return "catalogue"; }

private:
    base::result<position> read(bool after_outage) override;
    base::result<position> await(position from) override;
};

/// Keeps the list of upstreams.
class roster_follower final : public follower {
public:
    roster_follower(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                    const base::clock& time, const follower_settings& settings)
        : follower(std::move(source), events, time, settings) {}
    [[nodiscard]] std::string name() const override { return "roster"; }

private:
    base::result<position> read(bool after_outage) override;
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
