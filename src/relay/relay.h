#pragma once

#include "base/metrics.h"
#include "base/ring.h"
#include "base/snapshot.h"
#include "base/worker.h"
#include "dispatch/event.h"
#include "dispatch/worker.h"
#include "relay/admission.h"
#include "relay/caller.h"
#include "relay/dialect.h"
#include "relay/link.h"
#include "relay/memory.h"
#include "relay/pacing.h"
#include "relay/poller.h"
#include "relay/server.h"
#include "relay/shedding.h"
#include "relay/splitter.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::relay {

/// Settings of the data path.
struct relay_settings {
    /// Address on which callers connect.
    decision::endpoint listen_address;
    /// Maximum number of open connections of callers.
    std::size_t max_callers = 2000;
    /// Maximum total size of the bodies of requests in progress, in bytes; above it requests are refused.
    std::size_t max_body_bytes = std::size_t{24} << 20U;
    /// Bounds of all bytes held for callers and upstreams.
    memory_limits memory;
    link_limits upstream_limits;
    /// Data centre of this VM.
    base::data_centre_id data_centre;
    /// Seed of random decisions; differs between routers.
    std::uint64_t seed = 1;
};

/// The data path: one thread that owns the connections of callers and the connections to upstreams. It reads
/// requests, reports each to the dispatcher over a ring, executes its commands, and forwards answers. Both
/// sides are on one thread, because a ring between them would cost two wake-ups for each event of a stream.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class relay final : public base::worker, private request_handler, private link_listener {
public:
    /// Pre-condition: the references outlive the worker.
    relay(relay_settings settings, const dialect& message_dialect,
          base::ring<dispatch::relay_command>& commands, base::ring<dispatch::event>& events,
          const base::snapshot<dispatch::router_state>& state, const base::clock& clock,
          base::metrics& metrics);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    relay(relay&&) = delete;
    relay& operator=(relay&&) = delete;
    ~relay() override;

    [[nodiscard]] std::string name() const override { return "relay"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override { poller_.wake(); }
    /// Returns true while new connections should go to other routers. May be called from any thread.
    [[nodiscard]] bool overloaded() const { return overloaded_; }

private:
    /// One request in progress.
    struct exchange {
        explicit exchange(memory_account& memory)
            : request_charge(memory, held_class::requests),
              upstream_charge(memory, held_class::upstream_requests),
              answer_charge(memory, held_class::buffered_answers) {}

        memory_charge request_charge;
        memory_charge upstream_charge;
        memory_charge answer_charge;
        dispatch::session_id id;
        caller* caller_connection = nullptr;
        http::request_head head;
        std::string body;
        request_info request;
        dispatch::send_request command;
        link* upstream_link = nullptr;
        base::time_point received_at;
        /// Set once the head of an answer was sent to the caller.
        bool head_sent = false;
        /// Set once the time to the first event was recorded in the metrics.
        bool first_event_observed = false;
        /// Set while the upstream is asked which of its processes the connection leads to.
        bool checking_process = false;
        /// Set unless the upstream does not say which of its processes it is.
        bool process_known = true;
        /// Set once the first event of a resumable stream was reported.
        bool stream_begun = false;
        /// Set once a part of the body was forwarded in this attempt.
        bool attempt_body_started = false;
        /// Number of whole events of the answer before this attempt.
        std::uint32_t earlier_events = 0;
        /// When the last part of the answer was forwarded in this attempt, and the longest time between two
        /// parts.
        base::time_point last_part_at;
        base::duration longest_pause{};
        answer_info answer;
        /// Time that the connection of this attempt took to be established; empty if it was open before.
        std::optional<base::duration> connect_time;
        /// Bytes of the current attempt that were passed to the upstream, and from it.
        std::size_t sent_bytes = 0;
        std::size_t received_bytes = 0;
        http::response_head answer_head;
        /// Body of an answer that is not forwarded yet.
        std::string buffered;
        /// Set while the answer is buffered instead of forwarded.
        bool buffering = false;
        event_splitter splitter;
    };

    void on_request(caller& connection, http::request_head head, std::string body) override;
    void on_caller_left(caller& connection) override;
    void on_caller_writable(caller& connection) override;
    void make_room(caller& connection, std::size_t bytes) override;
    void on_unfinished_refused(caller& connection, base::error_code cause) override;
    [[nodiscard]] dispatch::caller_limits limits() const override;
    [[nodiscard]] bool closes_after_request() const override;

    void on_request_sent(link& connection) override;
    bool on_answer_head(link& connection, const http::response_head& head) override;
    void on_answer_body(link& connection, std::string_view bytes) override;
    void on_answer_end(link& connection) override;
    void on_failure(link& connection, link_failure failure) override;

    /// Ends every request that is still open with what is known of it.
    void answer_open_requests();
    /// Lets callers take the rest of their answers, for as long as a planned stop leaves time.
    void deliver_answers();
    /// Returns true if an upstream may have got the request.
    [[nodiscard]] static bool reached_upstream(const exchange& session);
    /// Why requests are refused or ended when the relay stops.
    [[nodiscard]] base::error_code stop_cause() const;
    void execute_commands();
    void execute(const dispatch::send_request& command);
    void execute(const dispatch::release_answer& command);
    void execute(const dispatch::end_request& command);
    void execute(const dispatch::retire_upstream& command);
    /// Returns a usable or a new connection to the target of the exchange; null if the limit of connections
    /// is reached. A new one is closed if the connect fails at once.
    link* connection_for(const exchange& session);
    /// Returns true if the answer is one to the current request of the connection.
    [[nodiscard]] static bool answers_request(const link& connection, const exchange& session,
                                              const answer_info& info, bool success);
    [[nodiscard]] std::string request_text(const exchange& session) const;
    /// Returns true if the upstream has to be asked which of its processes the connection leads to.
    [[nodiscard]] static bool needs_process_check(const exchange& session, const link& connection);
    /// Sends the request if the connection leads to the process that the list shows.
    void finish_process_check(exchange& session, link& connection);
    /// Sends the request on a connection.
    void send_request_text(exchange& session, link& connection);
    /// Ends an attempt of which no byte was sent.
    void report_unsent(exchange& session);
    /// Sends the head of a streamed answer to the caller.
    void begin_stream(exchange& session);
    /// Sends a part of the body to the caller; of a resumable stream, complete events only.
    void forward_body(exchange& session, std::string_view bytes);
    /// Closes the connection of an attempt whose answer cannot be passed on, and reports its end.
    void abandon_attempt(exchange& session);
    /// Returns true if the body of the answer is a stream of events.
    [[nodiscard]] static bool carries_events(const exchange& session);
    /// Sends the buffered answer to the caller and removes the exchange.
    void deliver_buffered(exchange& session);
    /// Reports to the dispatcher, and once to the metrics, that the caller gets the first part of an answer.
    void report_answer_started(exchange& session);
    /// Reports to the dispatcher what an upstream states about itself, if that is news.
    void report_statement(const dispatch::upstream_entry& upstream,
                          const dispatch::upstream_statement& statement);
    /// Counts the bytes of the current attempt if its upstream is in another data centre.
    void count_crossing(exchange& session);
    /// Reports the end of the current attempt to the dispatcher.
    void report_attempt_finished(exchange& session, dispatch::attempt_outcome outcome,
                                 bool connection_tried = true);
    /// Removes the exchange. An attempt in progress is cancelled by closing its connection.
    void remove_exchange(exchange& session);
    /// Account that holds the API key; empty if none does.
    [[nodiscard]] base::client_account_id account_of(const std::string& key) const;
    void refuse(caller& connection, const request_info& request, int status, base::error_code cause,
                std::optional<base::duration> retry_after = std::nullopt);
    /// Queues an event for the dispatcher and calls `flush_events`.
    void push_event(dispatch::event event);
    /// Moves queued events to the ring while it has room.
    void flush_events();
    /// Returns true if the route of the request is a streaming one, which a model engine serves.
    [[nodiscard]] bool needs_engine(const std::string& host, const std::string& target) const;
    void update_saturation();
    /// Returns true if there is no room for the body of a request that was read.
    [[nodiscard]] bool lacks_room(std::size_t body_bytes) const;
    /// Charges what the exchange holds of an answer.
    static void charge_answer(exchange& session);
    /// Sets the gauges of the held bytes at most every `memory_report_interval`.
    void report_memory(base::time_point now);
    /// Share of the requests of its account that are admitted.
    [[nodiscard]] double admitted_share(const request_info& request) const;
    /// Counts a refused model request for the fair shares.
    void count_refused(const request_info& request);
    /// Reports the counted requests to the dispatcher at most every `refusal_report_interval`.
    void report_refused(base::time_point now);
    void remove_closed(base::time_point now);
    exchange* find(dispatch::session_id id);
    exchange* exchange_of(const caller& connection);
    exchange* exchange_of(const link& connection);
    [[nodiscard]] base::duration wait_time() const;

    const relay_settings settings_;
    const dialect& dialect_;
    base::ring<dispatch::relay_command>& commands_;
    base::ring<dispatch::event>& events_;
    const base::snapshot<dispatch::router_state>& state_;
    const base::clock& clock_;
    base::metrics& metrics_;
    poller poller_;
    timer_queue timers_;
    memory_account memory_;
    read_pacer pacing_;
    const shedding shedding_;
    /// Held bytes below which no room is made again, after there was nothing to give back.
    std::size_t next_shedding_bytes_ = 0;
    base::time_point next_memory_report_;
    caller_context loop_;
    std::unique_ptr<server> server_;
    std::unordered_map<dispatch::session_id, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<const caller*, dispatch::session_id> session_by_caller_;
    std::map<base::upstream_id, std::vector<std::unique_ptr<link>>> links_;
    /// Events that did not fit into the ring; empty unless the ring is full.
    std::deque<dispatch::event> pending_events_;
    std::uint64_t last_session_id_ = 0;
    std::size_t body_bytes_ = 0;
    bool was_draining_ = false;
    /// The relay has been told to stop and takes no more requests.
    bool stopping_ = false;
    admission admission_;
    std::atomic<bool> overloaded_{false};
    /// Last report of what an upstream states about itself.
    struct reported_statement {
        std::int64_t started_ms = 0;
        dispatch::upstream_statement statement;
        base::time_point reported_at;
    };
    /// Upstreams whose last statement was not empty.
    std::map<base::upstream_id, reported_statement> statements_;
    dispatch::requests_refused refused_;
    base::time_point next_refusal_report_;
    base::time_point next_removal_;
    /// Removals of the poller at the last `remove_closed`.
    std::uint64_t handled_removals_ = 0;
};

} // namespace bluebell::relay
