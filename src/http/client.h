#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"
#include "http/parser.h"
#include "http/socket.h"

#include <atomic>
#include <optional>
#include <string>

namespace bluebell::http {

/// Answer to a call, read in full.
struct response {
    response_head head;
    std::string body;
};

/// HTTP client of one server. Sends one request at a time over a persistent connection.
/// Thread safety: used by one thread, except `interrupt`.
class client {
public:
    /// Does not connect yet. Throws `base::fatal_error` if the process is out of file descriptors.
    client(decision::endpoint server, const base::clock& time);

    /// Sends a request and blocks up to `timeout` for the complete answer. A connection on which a call
    /// failed is closed; the next call opens a new one. Errors: `store_unavailable` (nothing was sent),
    /// `store_answer_lost` (the server may have executed the request), `store_malformed`.
    base::result<response> call(const std::string& method, const std::string& target, const std::string& body,
                                base::duration timeout);
    /// Makes connections that are opened later fail once the server is silent for as long as `limits` states.
    void set_liveness(const liveness_limits& limits) { liveness_ = limits; }
    /// Makes a call in progress and all later calls fail. May be called from any thread.
    void interrupt();

private:
    base::result<void> connect(base::time_point deadline);
    base::result<void> send(std::string_view bytes, base::time_point deadline);
    base::result<response> receive(base::time_point deadline);
    /// Blocks until the socket has one of `events`. Returns false at the deadline or on interruption.
    [[nodiscard]] bool wait(short events, base::time_point deadline) const;

    const decision::endpoint server_;
    const base::clock& clock_;
    descriptor socket_;
    std::optional<liveness_limits> liveness_;
    /// An eventfd(2) that becomes readable when the client is interrupted.
    descriptor interrupt_event_;
    std::atomic<bool> interrupted_{false};
};

} // namespace bluebell::http
