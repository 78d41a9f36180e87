#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"

#include <optional>

namespace bluebell::decision {

/// Priority class of a request.
enum class request_class { urgent, ordinary, patient };

/// What the caller may conclude about the execution of its request.
enum class outcome {
    ran,             ///< it ran; the answer is complete
    not_run,         ///< it did not run and will not run
    outcome_unknown, ///< it may have run
};

std::string_view to_string(request_class value);
std::string_view to_string(outcome value);

/// Attributes of a request on which decisions are based. The body stays with the transport.
struct request {
    base::request_id id;
    base::client_account_id account;
    base::pool_id pool;
    request_class priority = request_class::ordinary;
    /// False for requests that must run at most once; `key` is then set.
    bool repeatable = true;
    std::optional<base::key_hash> key;
    /// Cost estimate of the caller, or the default of the pool.
    base::cost hint;
    base::fingerprint body_fingerprint;
    base::byte_count body_size;
    base::time_point arrived;
    base::time_point deadline;
};

/// How one attempt on an upstream ended.
enum class attempt_status {
    completed,   ///< the whole answer arrived
    not_sent,    ///< no byte of the request was put on a connection, or the connection was refused
    interrupted, ///< the connection broke while the upstream had the request
    silent,      ///< a time limit expired while the upstream had the request
    cancelled,   ///< ended by a `cancel_attempt` command
};

/// Result of one attempt.
struct attempt_end {
    attempt_status status = attempt_status::completed;
    /// Measured cost of the attempt so far.
    base::cost spent;
    /// Bytes of the answer that this attempt passed on to the caller.
    base::byte_count delivered;
    std::optional<base::error> cause;
};

/// Final result of a request.
struct verdict {
    outcome result = outcome::ran;
    std::optional<base::error> cause;
};

} // namespace bluebell::decision
