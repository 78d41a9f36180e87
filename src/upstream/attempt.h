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

/// Time limits of an attempt. The deadline of the request applies as well.
struct attempt_limits {
    /// Until the connection is up and the request is on it.
    base::duration connect = std::chrono::milliseconds(1000);
    /// Until the first byte of a streamed answer.
    base::duration first_byte = std::chrono::seconds(30);
    /// Until the first byte of an answer that is produced as a whole.
    base::duration whole_answer = std::chrono::seconds(300);
    base::duration between_bytes = std::chrono::seconds(10);
    /// Shortest time between two progress reports.
    base::duration progress = std::chrono::milliseconds(100);
};

/// One call to one upstream on a connection of its own, carried out by the selector's thread. Connections are
/// not reused: at the design size a router makes about 15 calls a second, and a fresh connection can neither
/// have gone silent nor carry the late answer of another request.
/// Thread safety: used by the selector's thread only.
class attempt final : public call_listener {
public:
    /// Pre-condition: `selector` and `time` outlive the attempt. `prefix` is what the caller already has.
    attempt(decision::dispatch order, delivered_prefix prefix, const attempt_limits& limits,
            cxxtools::SelectorBase& selector, const base::clock& time);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    attempt(attempt&&) = delete;
    attempt& operator=(attempt&&) = delete;
    ~attempt() override = default;

    /// Called once.
    void start();
    void cancel();
    /// Ends the attempt because the transport stops or failed.
    void abandon();
    /// Ends the attempt if a time limit has passed.
    void expire();
    /// The earliest time at which a limit may pass.
    [[nodiscard]] base::time_point next_limit() const;

    [[nodiscard]] bool ended() const { return end_.has_value(); }
    /// Pre-condition: `ended()`.
    [[nodiscard]] const decision::attempt_end& end() const { return *end_; }
    [[nodiscard]] const decision::dispatch& order() const { return order_; }
    /// Whether the engine may still be generating and has to be told to stop.
    [[nodiscard]] bool left_running() const;
    /// The cost so far, if the last report is old enough and the cost has grown.
    std::optional<base::cost> take_progress();
    [[nodiscard]] const delivered_prefix& prefix() const { return prefix_; }

    /// Name of the stream at the engine.
    [[nodiscard]] static std::string stream_name(const decision::attempt_key& key);

private:
    void on_head(const decision::answer_head& head) override;
    void on_body(const std::string& bytes) override;
    void on_complete() override;
    void on_failure(const base::error& cause) override;

    [[nodiscard]] std::string request_text() const;
    [[nodiscard]] bool engine_resumes() const;
    /// Takes bytes of the answer: skips what the caller has and passes the rest on.
    void accept(std::string_view bytes);
    void flush();
    void begin_answer();
    void finish(decision::attempt_status status, std::optional<base::error> cause);
    [[nodiscard]] base::cost spent() const;
    [[nodiscard]] base::time_point limit() const;

    decision::dispatch order_;
    delivered_prefix prefix_;
    const attempt_limits limits_;
    const base::clock& clock_;
    cxxtools::SelectorBase& selector_;
    std::unique_ptr<call> call_;
    decision::answer_head head_;
    base::time_point started_;
    base::time_point last_byte_;
    base::time_point last_report_;
    base::cost last_reported_;
    bool begun_ = false;
    bool streamed_ = false;
    /// Bytes still to be compared with what the caller has.
    std::uint64_t to_skip_ = 0;
    delivered_prefix repeated_;
    std::string pending_;
    std::uint64_t delivered_ = 0;
    std::uint64_t received_ = 0;
    event_counter events_;
    base::cost stated_;
    std::optional<decision::attempt_end> end_;
};

} // namespace bluebell::upstream
