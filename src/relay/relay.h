#pragma once

#include "base/metrics.h"
#include "base/ring.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "dispatch/event.h"
#include "dispatch/worker.h"
#include "relay/caller.h"
#include "relay/dialect.h"
#include "relay/link.h"
#include "relay/poller.h"
#include "relay/saturation.h"
#include "relay/server.h"
#include "relay/splitter.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::relay {

struct relay_settings {
    decision::endpoint callers;
    std::size_t max_callers = 2000;
    /// Bodies of requests in progress; beyond it further requests are refused.
    std::size_t body_bytes = std::size_t{24} << 20U;
    link_limits upstreams;
};

/// The data path: one thread that owns the connections of callers and to upstreams. It reads requests, asks
/// the dispatcher over a ring what to do with each, and passes answers on as they arrive. Both ends are on
/// one thread, because each ring between them would cost two wake-ups for every event of a stream.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class relay final : public base::worker, private request_handler, private link_listener {
public:
    /// Pre-condition: what is passed by reference outlives the worker.
    relay(relay_settings settings, const dialect& speech, base::ring<dispatch::relay_command>& commands,
          base::ring<dispatch::event>& events, const base::snapshot<dispatch::router_state>& state,
          const base::clock& time, base::metrics& metrics);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    relay(relay&&) = delete;
    relay& operator=(relay&&) = delete;
    ~relay() override;

    [[nodiscard]] std::string name() const override { return "relay"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { poller_.wake(); }
    /// New connections should go to other routers. May be called from any thread.
    [[nodiscard]] bool overloaded() const { return overloaded_; }

private:
    /// One request in progress.
    struct exchange {
        dispatch::session_id id;
        caller* from = nullptr;
        http::request_head head;
        std::string body;
        request_info facts;
        dispatch::send_request order;
        link* via = nullptr;
        base::time_point read;
        bool answer_begun = false;
        bool began_told = false;
        bool attempt_began = false;
        /// When the last part of the answer was passed on in this attempt, and the longest time between two.
        base::time_point last_part;
        base::duration longest_pause{};
        answer_info answer;
        http::response_head answer_head;
        /// Body of an answer that is not passed on yet.
        std::string kept;
        bool keeping = false;
        event_splitter events;
    };

    void on_request(caller& from, http::request_head head, std::string body) override;
    void on_caller_left(caller& from) override;
    void on_caller_writable(caller& from) override;
    [[nodiscard]] dispatch::caller_limits limits() const override;
    [[nodiscard]] bool closes_after_request() const override;

    bool on_answer_head(link& from, const http::response_head& head) override;
    void on_answer_body(link& from, std::string_view bytes) override;
    void on_answer_end(link& from) override;
    void on_failure(link& from, link_failure how) override;

    void take_commands();
    void carry_out(const dispatch::send_request& order);
    void carry_out(const dispatch::release_answer& order);
    void carry_out(const dispatch::end_request& order);
    void carry_out(const dispatch::retire_upstream& order);
    link* connection_for(const dispatch::send_request& order);
    [[nodiscard]] std::string request_text(const exchange& of) const;
    void begin_stream(exchange& of);
    void pass_on(exchange& of, std::string_view bytes);
    void deliver_kept(exchange& of);
    void tell_began(exchange& of);
    void over(exchange& of, dispatch::attempt_outcome how);
    void finish(exchange& of);
    void refuse(caller& from, const std::string& trace, int status, base::error_code cause,
                std::optional<base::duration> retry_after = std::nullopt);
    void push(dispatch::event what);
    void flush_events();
    /// The request would be answered by a stream of a model engine.
    [[nodiscard]] bool needs_engine(const std::string& host, const std::string& target) const;
    void note_saturation();
    void remove_closed(base::time_point now);
    exchange* find(dispatch::session_id id);
    exchange* of(const caller& from);
    exchange* of(const link& from);
    [[nodiscard]] base::duration wait_time() const;

    const relay_settings settings_;
    const dialect& speech_;
    base::ring<dispatch::relay_command>& commands_;
    base::ring<dispatch::event>& events_;
    const base::snapshot<dispatch::router_state>& state_;
    const base::clock& clock_;
    base::metrics& metrics_;
    poller poller_;
    timer_queue timers_;
    loop_context loop_;
    std::unique_ptr<server> server_;
    std::unordered_map<dispatch::session_id, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<const caller*, dispatch::session_id> by_caller_;
    std::map<base::upstream_id, std::vector<std::unique_ptr<link>>> links_;
    /// Events on their way to the ring; stays empty unless the ring is full.
    std::deque<dispatch::event> backlog_;
    std::uint64_t last_id_ = 0;
    std::size_t body_bytes_ = 0;
    bool was_draining_ = false;
    saturation saturation_;
    std::atomic<bool> overloaded_{false};
    base::time_point next_reap_;
    std::uint64_t reaped_removals_ = 0;
    std::mt19937_64 random_;
};

} // namespace bluebell::relay
