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

struct load_options {
    /// Time between two polls of an upstream. A call that takes longer is given up.
    base::duration period = std::chrono::milliseconds(500);
};

/// Reads the body of `GET /load`. Error: `upstream_malformed_answer`.
base::result<decision::upstream_load> parse_load(const std::string& text);

/// Polls `GET /load` of the upstreams that the last `watch_load` named and reports each answer as
/// `load_reported`. An upstream that does not answer is not reported; a report that finds the ring of events
/// full is dropped, because the next one replaces it. Thread safety: `run` on the thread of the worker;
/// `interrupt` from any thread.
class load final : public base::worker {
public:
    /// Pre-condition: the rings and `time` outlive the worker; no other consumer takes from `orders`.
    load(base::ring<decision::watch_load>& orders, base::ring<decision::event>& events,
         const base::clock& time, load_options options);
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    load(load&&) = delete;
    load& operator=(load&&) = delete;
    ~load() override;

    [[nodiscard]] std::string name() const override { return "load"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { selector_.wake(); }

private:
    class poll;

    void take_orders();
    void begin_polls();
    void collect();

    base::ring<decision::watch_load>& orders_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    const load_options options_;
    cxxtools::Selector selector_;
    std::vector<decision::upstream> watched_;
    std::vector<std::unique_ptr<poll>> polls_;
    base::time_point next_poll_;
};

} // namespace bluebell::upstream
