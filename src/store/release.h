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

/// Fetches the release in force of another router.
/// Thread safety: one instance is used by one thread.
class config_peer {
public:
    config_peer() = default;
    config_peer(const config_peer&) = delete;
    config_peer& operator=(const config_peer&) = delete;
    config_peer(config_peer&&) = delete;
    config_peer& operator=(config_peer&&) = delete;
    virtual ~config_peer() = default;

    /// The text of `GET /config` at the admin address; `parse_config` reads it. Error: `store_unavailable`.
    virtual base::result<std::string> fetch(const decision::endpoint& admin) = 0;
};

class http_config_peer final : public config_peer {
public:
    explicit http_config_peer(call_limits limits) : limits_(limits) {}
    base::result<std::string> fetch(const decision::endpoint& admin) override;

private:
    call_limits limits_;
};

struct release_timing {
    /// Time between reads of a router that is no watcher, +-20%.
    base::duration poll = std::chrono::seconds(30);
    /// Length of one watch. It bounds the age of a confirmation and the time until a command is seen, and
    /// each watcher costs the store one call per slice.
    base::duration watch_slice = std::chrono::milliseconds(500);
    /// Time until the next read after a failure, +-50%.
    base::duration retry = std::chrono::seconds(2);
    /// Time between the first and the second read, which confirms the first.
    base::duration second_read = std::chrono::milliseconds(200);
    /// How long after a failure of the store a peer is asked first.
    base::duration distrust = std::chrono::seconds(10);
};

/// Reads the release in force from the store, or from a peer when the store does not answer, and tells the
/// decider. A stop drops the commands that were not taken yet; a failure keeps them.
class release_worker final : public base::worker {
public:
    /// `seed` spreads the reads of the routers. The rings and the clock outlive the worker.
    release_worker(std::unique_ptr<object_store> store, std::unique_ptr<config_peer> peer,
                   base::ring<decision::release_command>& commands, base::ring<decision::event>& events,
                   const base::clock& time, std::uint64_t seed, release_timing timing);

    [[nodiscard]] std::string name() const override { return "release"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { commands_.close(); }

private:
    void handle(const decision::fetch_release& command);
    void handle(const decision::watch_release& command) { watcher_ = command.enabled; }
    void handle(const decision::config_requested& command);

    [[nodiscard]] bool can_watch() const;
    void read_store();
    void watch_store();
    void take_head(const base::result<stored_object>& object, base::time_point read_at);
    base::result<base::revision> take_object(const stored_object& object);
    void ask_peer(const decision::endpoint& admin);
    void report(base::revision rev, decision::config_source source, base::time_point read_at);
    void report_failure(const base::error& cause);
    void push(decision::event what);
    [[nodiscard]] base::revision known() const;
    base::duration jittered(base::duration mean, double spread);

    std::unique_ptr<object_store> store_;
    std::unique_ptr<config_peer> peer_;
    base::ring<decision::release_command>& commands_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    std::mt19937_64 random_;
    release_timing timing_;

    std::shared_ptr<const config_image> image_;
    /// Version of the head that `image_` was read from; zero if it came from a peer.
    base::object_version version_;
    bool watcher_ = false;
    /// The first read may be stale; it counts only after the second one.
    std::uint64_t reads_ = 0;
    base::time_point next_read_;
    /// A watch that ended early without news is not repeated before this time.
    base::time_point next_watch_;
    std::optional<base::time_point> failed_at_;
};

} // namespace bluebell::store
