#pragma once

#include "base/clock.h"
#include "decision/command.h"
#include "decision/event.h"
#include "upstream/call.h"
#include "upstream/prefix.h"
#include "upstream/tally.h"

#include <cxxtools/selector.h>
#include <memory>
#include <optional>
#include <string>

namespace bluebell::upstream {

/// Time limits of an attempt. The deadline of the request limits it as well.
struct attempt_limits {
    /// From the start until the connection is established and the request is being sent.
    base::duration connect = std::chrono::milliseconds(1000);
    /// From the start until the first byte of a streamed answer.
    base::duration first_byte = std::chrono::seconds(30);
    /// From the start until the first byte of an answer that is not streamed.
    base::duration whole_answer = std::chrono::seconds(300);
    /// Longest pause between two reads of answer bytes.
    base::duration between_bytes = std::chrono::seconds(10);
    /// Minimum time between two progress reports.
    base::duration progress_interval = std::chrono::milliseconds(100);
};

/// Sends a request to one upstream on a connection of its own and delivers the answer to the exchange of the
/// caller. Connections are not reused: at the design size a router makes about 15 calls a second, and a new
/// connection can neither have gone silent nor carry the late answer of another request.
/// Thread safety: used by the selector's thread only.
class attempt final : public call_listener {
public:
    /// `prefix` describes the part of the answer that the caller received from earlier attempts, and
    /// `version` the software that wrote it. Pre-condition: `selector` and `clock` outlive the attempt.
    attempt(decision::dispatch command, delivered_prefix prefix, base::software_version version,
            const attempt_limits& limits, cxxtools::SelectorBase& selector, const base::clock& clock);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    attempt(attempt&&) = delete;
    attempt& operator=(attempt&&) = delete;
    ~attempt() override = default;

    /// Connects and sends the request. Pre-condition: not called before.
    void start();
    /// Ends the attempt as cancelled; nothing more is delivered. Has no effect on an attempt that has ended.
    void cancel();
    /// Ends the attempt because the transport stops or has failed.
    void abandon();
    /// Ends the attempt if a time limit has passed.
    void expire();
    /// Returns the earliest time at which a time limit or the deadline may expire.
    [[nodiscard]] base::time_point next_limit() const;

    [[nodiscard]] bool ended() const { return end_.has_value(); }
    /// Pre-condition: `ended()`.
    [[nodiscard]] const decision::attempt_end& end() const { return *end_; }
    [[nodiscard]] const decision::dispatch& command() const { return command_; }
    /// Returns whether the engine may still generate for this ended attempt, so that its stream must be
    /// cancelled.
    [[nodiscard]] bool needs_stream_cancel() const;
    /// Returns the cost so far if it differs from the last report and `progress_interval` has passed since
    /// then; otherwise nothing.
    std::optional<base::cost> take_progress();
    /// Describes all answer bytes that the caller has received, including those of earlier attempts.
    [[nodiscard]] const delivered_prefix& prefix() const { return prefix_; }
    /// Software that wrote these bytes; empty if it is not known.
    [[nodiscard]] const base::software_version& version() const { return version_; }

    /// Returns the name of the stream of an attempt at the engine.
    [[nodiscard]] static std::string stream_name(const decision::attempt_key& key);

private:
    void on_head(const decision::answer_head& head) override;
    void on_body(const std::string& bytes) override;
    void on_complete() override;
    void on_failure(const base::error& cause) override;

    [[nodiscard]] std::string request_text() const;
    /// Returns true if the engine may go on after the delivered part, whose software is known.
    [[nodiscard]] bool engine_can_resume() const;
    /// Processes bytes of the answer: skips and checks what the caller has already, and delivers the rest.
    void receive(std::string_view bytes);
    /// Delivers the buffered bytes to the caller.
    void flush();
    /// Delivers the head unless an earlier part of the answer was delivered.
    void begin_answer();
    void finish(decision::attempt_status status, std::optional<base::error> cause);
    /// Returns the cost so far; zero if nothing was sent.
    [[nodiscard]] base::cost spent() const;
    /// Returns when the time limit of the current phase expires.
    [[nodiscard]] base::time_point phase_limit() const;

    decision::dispatch command_;
    delivered_prefix prefix_;
    /// Software that wrote what was delivered; empty if the engine did not state it.
    base::software_version version_;
    /// Software that writes the answer of this attempt.
    base::software_version answer_version_;
    const attempt_limits limits_;
    const base::clock& clock_;
    cxxtools::SelectorBase& selector_;
    std::unique_ptr<call> call_;
    decision::answer_head head_;
    base::time_point start_time_;
    base::time_point last_byte_time_;
    base::time_point last_progress_time_;
    base::cost last_progress_cost_;
    bool answer_begun_ = false;
    bool streamed_ = false;
    /// Remaining bytes of a repeated answer that the caller has already.
    std::uint64_t bytes_to_skip_ = 0;
    delivered_prefix repeated_prefix_;
    std::string undelivered_;
    std::uint64_t delivered_bytes_ = 0;
    std::uint64_t received_bytes_ = 0;
    event_counter event_counter_;
    base::cost stated_cost_;
    std::optional<decision::attempt_end> end_;
};

} // namespace bluebell::upstream
