#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "upstream/attempt.h"

#include <cxxtools/selector.h>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bluebell::upstream {

/// Carries out the calls to upstreams. One thread runs every call in one selector.
///
/// Reports `attempt_progress` while an answer arrives, which is dropped when the ring of events is full, and
/// exactly one `attempt_ended` per `dispatch`, which is never dropped. While such a report waits for room no
/// further command is taken.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class transport final : public base::worker {
public:
    /// Pre-condition: the rings and `time` outlive the worker; no other consumer takes from `commands`.
    transport(base::ring<decision::transport_command>& commands, base::ring<decision::event>& events,
              const base::clock& time, attempt_limits limits);
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    transport(transport&&) = delete;
    transport& operator=(transport&&) = delete;
    ~transport() override;

    [[nodiscard]] std::string name() const override { return "transport"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { selector_.wake(); }

private:
    class stream_cancel;
    struct remembered_prefix {
        delivered_prefix prefix;
        base::time_point expires;
    };

    void take_commands();
    void start(decision::dispatch order);
    void cancel(const decision::attempt_key& key);
    /// Checks time limits and reports progress.
    void tend();
    void reap();
    void retire(attempt& ended);
    void flush_reports();
    void abandon();
    [[nodiscard]] base::duration wait_time() const;
    [[nodiscard]] delivered_prefix recall(const decision::dispatch& order);
    void remember(const attempt& ended);

    base::ring<decision::transport_command>& commands_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    const attempt_limits limits_;
    cxxtools::Selector selector_;
    std::map<decision::attempt_key, std::unique_ptr<attempt>> attempts_;
    std::map<base::request_id, remembered_prefix> prefixes_;
    std::vector<std::unique_ptr<stream_cancel>> stream_cancels_;
    std::deque<decision::attempt_ended> reports_;
    base::time_point next_limit_ = base::time_point::max();
};

} // namespace bluebell::upstream
