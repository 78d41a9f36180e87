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

/// Sends requests to upstreams and delivers their answers. One thread runs all attempts in one selector.
///
/// Reports `attempt_progress` while an answer arrives, and exactly one `attempt_ended` for each `dispatch`.
/// If the ring of events is full, `attempt_progress` is dropped; `attempt_ended` is kept until there is room,
/// and no further command is taken in the meantime. Thread safety: `run` on the thread of the worker;
/// `interrupt` from any thread.
class transport final : public base::worker {
public:
    /// Pre-condition: the rings and `clock` outlive the worker; no other consumer takes from `commands`.
    transport(base::ring<decision::transport_command>& commands, base::ring<decision::event>& events,
              const base::clock& clock, attempt_limits limits);
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
    /// Delivered part of an interrupted answer, kept for the next attempt of the request.
    struct remembered_prefix {
        delivered_prefix prefix;
        base::software_version version;
        base::time_point expiry_time;
    };

    void take_commands();
    void start(decision::dispatch command);
    void cancel(const decision::attempt_key& key);
    /// Ends attempts whose time limit has expired, and reports the progress of the others.
    void check_attempts();
    /// Removes ended attempts and reports their ends.
    void collect_ended_attempts();
    /// Queues the report of an ended attempt, cancels its stream at the engine if necessary, and remembers
    /// what was delivered.
    void report_end(attempt& ended);
    /// Pushes queued reports into the ring of events while it has room.
    void flush_ends();
    /// Ends and reports all attempts in progress.
    void abandon_attempts();
    [[nodiscard]] base::duration wait_time() const;
    /// Removes the remembered prefix of a request. Returns it if the command resumes the answer, otherwise an
    /// empty one.
    [[nodiscard]] remembered_prefix take_prefix(const decision::dispatch& command);
    void remember_prefix(const attempt& ended);

    base::ring<decision::transport_command>& commands_;
    base::ring<decision::event>& events_;
    const base::clock& clock_;
    const attempt_limits limits_;
    cxxtools::Selector selector_;
    std::map<decision::attempt_key, std::unique_ptr<attempt>> attempts_;
    std::map<base::request_id, remembered_prefix> prefixes_;
    std::vector<std::unique_ptr<stream_cancel>> stream_cancels_;
    std::deque<decision::attempt_ended> pending_ends_;
    base::time_point next_limit_ = base::time_point::max();
};

} // namespace bluebell::upstream
