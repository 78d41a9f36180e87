#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "dispatch/event.h"
#include "http/parser.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::relay {

/// What a caller's request says, as far as decisions need it.
struct request_info {
    /// Id that the caller gave the request; may be empty.
    std::string caller_request_id;
    std::string host;
    std::string key;
    std::optional<base::duration> caller_timeout;
    dispatch::prompt_info prompt;
};

/// What is added to a request on its way to an upstream.
struct attempt_info {
    base::upstream_id upstream;
    /// Where the upstream is to copy parts of the prompt from that it does not keep.
    std::optional<decision::endpoint> copy_source;
    /// Empty if the caller needs no account.
    base::client_account_id account;
    base::duration time_left{};
    /// Continue the stream after this event.
    std::optional<std::string> resume_after;
};

/// What an upstream's answer says beside its body.
struct answer_info {
    /// The id of the request that it answers, if stated.
    std::optional<std::string> request_id;
    /// The upstream states that it did not run the request.
    bool not_run = false;
    /// Another upstream has the address.
    bool misdirected = false;
    /// The status promises that the request did not run, without the upstream saying so.
    bool unconfirmed_not_run = false;
    /// Carries the mark of an answer that an upstream made.
    bool from_upstream = false;
    std::optional<dispatch::load_report> load;
    /// How long the upstream keeps an idle connection.
    std::optional<base::duration> idle_timeout;
};

/// The names and forms that callers and upstreams use in their messages. The relay and the decisions know
/// none of them.
/// Thread safety: implementations are immutable and may be used by any thread.
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    dialect(dialect&&) = delete;
    dialect& operator=(dialect&&) = delete;
    virtual ~dialect() = default;

    /// Error: `malformed_request` if a field cannot be read.
    [[nodiscard]] virtual base::result<request_info> read_request(const http::request_head& head) const = 0;
    /// Fields of the request to an upstream, without those of the connection.
    [[nodiscard]] virtual std::vector<http::field> request_fields(const http::request_head& head,
                                                                  const attempt_info& attempt) const = 0;
    [[nodiscard]] virtual answer_info read_answer(const http::response_head& head) const = 0;
    /// Fields of an upstream's answer that the caller gets.
    [[nodiscard]] virtual std::vector<http::field> answer_fields(const http::response_head& head) const = 0;
    /// Fields of an answer that the router makes itself.
    [[nodiscard]] virtual std::vector<http::field>
    refusal_fields(const std::string& trace, std::optional<base::duration> retry_after) const = 0;
};

} // namespace bluebell::relay
