#pragma once

#include "base/clock.h"
#include "base/ring.h"
#include "base/worker.h"
#include "decision/command.h"
#include "decision/event.h"

#include <cxxtools/selector.h>
#include <memory>
#include <string>
#include <vector>

namespace bluebell::upstream {

/// Options of `load_poller`.
struct load_poller_options {
    /// Time between two polls of an upstream. A poll that takes longer is cancelled.
    base::duration period = std::chrono::milliseconds(500);
};

/// Parses the JSON body of an answer to `GET /load`. Error: `upstream_malformed_answer`.
base::result<decision::upstream_load> parse_load(const std::string& text);

/// Polls `GET /load` of the upstreams that the last `watch_load` listed and reports each answer as
/// `load_reported`. An upstream that does not answer is not reported. A report is dropped if the ring of
/// events is full, because the next one replaces it.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class load_poller final : public base::worker {
public:
    /// Pre-condition: the rings and `clock` outlive the worker; no other consumer takes from `commands`.
    load_poller(base::ring<decision::watch_load>& commands, base::ring<decision::event>& events,
                const base::clock& clock, load_poller_options options);
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;
    load_poller(load_poller&&) = delete;
    load_poller& operator=(load_poller&&) = delete;
    ~load_poller() override;

    [[nodiscard]] std::string name() const override { return "load"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { selector_.wake(); }

private:
    class poll;

    void take_commands();
    void start_polls();
    void collect_reports();

    base::ring<decision::watch_load>& commands_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    const load_poller_options options_;
    cxxtools::Selector selector_;
    std::vector<decision::upstream> watched_;
    std::vector<std::unique_ptr<poll>> polls_;
    base::time_point next_poll_time_;
};

} // namespace bluebell::upstream
