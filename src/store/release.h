#pragma once

#include "base/clock.h"
#include "base/ring.h"
#include "base/worker.h"
#include "decision/command.h"
#include "decision/event.h"
#include "store/config.h"
#include "store/http.h"
#include "store/store.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bluebell::store {

/// Fetches the release in force from another router.
/// Thread safety: one instance is used by one thread.
class config_peer {
public:
    config_peer() = default;
    config_peer(const config_peer&) = delete;
    config_peer& operator=(const config_peer&) = delete;
    config_peer(config_peer&&) = delete;
    config_peer& operator=(config_peer&&) = delete;
    virtual ~config_peer() = default;

    /// Returns the answer to `GET /config` of the router with this admin address, in the format of
    /// `parse_config`. Error: `store_unavailable`.
    virtual base::result<std::string> fetch(const decision::endpoint& admin) = 0;
};

/// Fetches the release over HTTP, with a new connection for each call.
class http_config_peer final : public config_peer {
public:
    explicit http_config_peer(call_limits limits) : limits_(limits) {}
    base::result<std::string> fetch(const decision::endpoint& admin) override;

private:
    call_limits limits_;
};

/// Intervals of `release_worker`.
struct release_timing {
    /// Interval between reads of a router that does not watch the store, +-20%.
    base::duration poll = std::chrono::seconds(30);
    /// Duration of one watch call. It bounds the age of a confirmation and the delay of a command, and each
    /// watching router costs the store one call per slice.
    base::duration watch_slice = std::chrono::milliseconds(500);
    /// Delay of the next read after a failure, +-50%.
    base::duration retry = std::chrono::seconds(2);
    /// Delay between the first read and the second, which confirms it.
    base::duration second_read = std::chrono::milliseconds(200);
    /// Time after a failure of the store during which a fetch asks the peer before the store.
    base::duration peer_first_period = std::chrono::seconds(10);
};

/// Reads the release in force from the store, or from a peer when the store does not answer, and passes it to
/// the decider as events. A stop discards queued commands; a restart after a failure keeps them.
class release_worker final : public base::worker {
public:
    /// `seed` initialises the random variation of intervals, which desynchronises the routers.
    /// Pre-condition: the rings and the clock outlive the worker.
    release_worker(std::unique_ptr<object_store> store, std::unique_ptr<config_peer> peer,
                   base::ring<decision::release_command>& commands, base::ring<decision::event>& events,
                   const base::clock& clock, std::uint64_t seed, release_timing timing);

    [[nodiscard]] std::string name() const override { return "release"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { commands_.close(); }

private:
    void handle(const decision::fetch_release& command);
    void handle(const decision::watch_release& command) { watcher_ = command.enabled; }
    void handle(const decision::config_requested& command);

    /// Returns true if the worker is to watch the store, has read it twice, and the last call did not fail.
    [[nodiscard]] bool can_watch() const;
    void read_store();
    void watch_store();
    /// Loads and reports the release of a head that was requested at `read_at`; a missing head is revision
    /// zero.
    void process_head(const base::result<stored_object>& object, base::time_point read_at);
    /// Loads the release if the head has a newer revision than the known one; returns the revision of the
    /// head.
    base::result<base::revision> load_head(const stored_object& object);
    void fetch_from_peer(const decision::endpoint& admin);
    void report(base::revision revision, decision::config_source source, base::time_point read_at);
    void report_failure(const base::error& cause);
    /// Pushes an event, or logs that it was dropped because the ring stayed full.
    void push_event(decision::event event);
    /// Returns the revision of the loaded release; zero if there is none.
    [[nodiscard]] base::revision known_revision() const;
    /// Returns a random duration between `mean` * (1 - `jitter`) and `mean` * (1 + `jitter`).
    base::duration jittered(base::duration mean, double jitter);

    std::unique_ptr<object_store> store_;
    std::unique_ptr<config_peer> peer_;
    base::ring<decision::release_command>& commands_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    std::mt19937_64 random_;
    release_timing timing_;

    std::shared_ptr<const config_image> release_;
    /// Version of the head object that `release_` was read from; zero if it came from a peer.
    base::object_version head_version_;
    bool watcher_ = false;
    /// Number of successful reads. The first one may be stale; watching starts after the second.
    std::uint64_t successful_reads_ = 0;
    base::time_point next_read_;
    /// Earliest time of the next watch call, later than now if the last one returned early without a new
    /// revision.
    base::time_point next_watch_;
    /// Time of the last failure of the store; empty after a successful read.
    std::optional<base::time_point> failed_at_;
};

} // namespace bluebell::store
