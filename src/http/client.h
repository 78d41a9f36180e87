#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "decision/config.h"
#include "http/parser.h"
#include "http/socket.h"

#include <atomic>
#include <string>

namespace bluebell::http {

struct response {
    response_head head;
    std::string body;
};

/// Calls of one server over one kept connection, one after the other.
/// Thread safety: used by one thread, except `interrupt`.
class client {
public:
    /// Throws `base::fatal_error` if no descriptor is left.
    client(decision::endpoint server, const base::clock& time);

    /// Sends a request and waits up to `timeout` for the whole answer. A connection on which a call failed
    /// is not used again. Errors: `store_unavailable` (nothing was sent), `store_answer_lost` (the request
    /// may have been carried out), `store_malformed`.
    base::result<response> call(const std::string& method, const std::string& target, const std::string& body,
                                base::duration timeout);
    /// Ends a call in progress and all later ones.
    void interrupt();

private:
    base::result<void> connect(base::time_point deadline);
    base::result<void> send(std::string_view bytes, base::time_point deadline);
    base::result<response> receive(base::time_point deadline);
    [[nodiscard]] bool wait(short events, base::time_point deadline) const;

    const decision::endpoint server_;
    const base::clock& clock_;
    descriptor socket_;
    /// Readable once the client is interrupted.
    descriptor interruption_;
    std::atomic<bool> interrupted_{false};
};

} // namespace bluebell::http
