#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "dispatch/event.h"
#include "http/parser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::relay {

/// The parts of a caller's request that the decisions need.
struct request_info {
    /// Id that the caller gave the request; may be empty.
    std::string caller_request_id;
    std::string host;
    /// API key of the caller; empty if it sent none.
    std::string api_key;
    /// How long the caller waits for the answer, if stated.
    std::optional<base::duration> caller_timeout;
    /// Id of the event after which the caller wants its stream to go on; empty for a whole stream.
    std::string resume_after;
    /// Id of the caller's request that brought the first event of the stream that it resumes; empty if not
    /// stated.
    std::string resumed_request;
    dispatch::prompt_info prompt;
};

/// What the router adds to a request for one attempt at an upstream.
struct attempt_info {
    base::upstream_id upstream;
    /// The engine from which the upstream is to copy the prompt parts that its cache lacks; empty if none.
    std::optional<decision::endpoint> copy_source;
    /// Account of the caller; empty if the caller needs none.
    base::client_account_id account;
    /// Time until the deadline of the request; negative if it has passed.
    base::duration time_left{};
    /// Id of the last event that the caller has, after which the upstream is to go on; empty if it has none.
    std::string resume_after;
};

/// What the head of an upstream's answer states.
struct answer_info {
    /// Id of the request that it answers, if stated.
    std::optional<std::string> request_id;
    /// Set if the upstream states that it did not run the request.
    bool not_run = false;
    /// Set if another upstream has the address now.
    bool misdirected = false;
    /// Set if the status implies that the request did not run, but the upstream does not state it.
    bool unconfirmed_not_run = false;
    /// Set if the answer carries the mark of an upstream.
    bool from_upstream = false;
    /// Load that the upstream reports, if any.
    std::optional<dispatch::load_report> load;
    /// How long the upstream keeps an idle connection open, if stated.
    std::optional<base::duration> idle_timeout;
    dispatch::upstream_statement statement;
};

/// Translates between HTTP messages of callers and upstreams and the types of the relay. Only implementations
/// know the names and formats of fields; the relay and the decisions do not.
/// Thread safety: implementations are immutable and may be used by any thread.
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    dialect(dialect&&) = delete;
    dialect& operator=(dialect&&) = delete;
    virtual ~dialect() = default;

    /// Reads a caller's request. Error: `malformed_request` if a required field is missing or a field cannot
    /// be read.
    [[nodiscard]] virtual base::result<request_info> read_request(const http::request_head& head) const = 0;
    /// Returns the fields of the request to an upstream, without hop-by-hop fields.
    [[nodiscard]] virtual std::vector<http::field> request_fields(const http::request_head& head,
                                                                  const attempt_info& attempt) const = 0;
    /// Reads the head of an upstream's answer.
    [[nodiscard]] virtual answer_info read_answer(const http::response_head& head) const = 0;
    /// Returns a request that asks an upstream about its state. Nothing runs there for it.
    [[nodiscard]] virtual std::string state_request(const decision::endpoint& upstream) const = 0;
    /// Reads the start time of the upstream process, in ms, from the body of the answer to a state request.
    /// Empty if it cannot be read.
    [[nodiscard]] virtual std::optional<std::int64_t> read_start_time(const std::string& state) const = 0;
    /// Returns the fields of an upstream's answer that are forwarded to the caller.
    [[nodiscard]] virtual std::vector<http::field> answer_fields(const http::response_head& head) const = 0;
    /// Returns the fields of an answer that the router makes itself. `retry_after` is the time after which
    /// the caller may retry, if any.
    [[nodiscard]] virtual std::vector<http::field>
    refusal_fields(const std::string& request_id, std::optional<base::duration> retry_after) const = 0;
};

} // namespace bluebell::relay
