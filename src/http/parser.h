#pragma once

#include "base/error.h"
#include "decision/exchange.h"

#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bluebell::http {

using decision::field;

/// Limits on what a peer may send.
struct message_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = std::size_t{1} << 20U;
};

struct request_head {
    std::string method;
    /// Path with query, as received.
    std::string target;
    std::vector<field> fields;
    bool keep_alive = true;

    /// First value of a field, compared without regard to case; null if there is none.
    [[nodiscard]] const std::string* find(std::string_view name) const;
};

struct response_head {
    int status = 200;
    std::vector<field> fields;
    bool keep_alive = true;
    /// Set if the length of the body is known from the head.
    std::optional<std::uint64_t> length;

    [[nodiscard]] const std::string* find(std::string_view name) const;
};

/// Looks a field up without regard to case. Null if there is none.
const std::string* find_field(const std::vector<field>& fields, std::string_view name);
bool equal_ignoring_case(std::string_view a, std::string_view b);
/// Whether a field concerns one connection only and is not passed on.
bool hop_by_hop(std::string_view name);
/// Whether a field may have this name.
bool is_token(std::string_view name);
/// The usual reason phrase, or "Unknown".
std::string_view reason_phrase(int status);

/// Common part of the two parsers: collects the fields and counts the bytes of the head.
class message_parser {
public:
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) = delete;
    message_parser& operator=(message_parser&&) = delete;
    virtual ~message_parser() = default;

    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool head_complete() const { return head_complete_; }
    [[nodiscard]] bool complete() const { return complete_; }

protected:
    message_parser(http_parser_type type, message_limits limits);
    void reset();
    /// Feeds the library; returns the bytes used up to the end of the message or the first error.
    std::size_t execute(std::string_view bytes);
    virtual int on_head() = 0;
    virtual int on_body(std::string_view bytes) = 0;
    virtual void on_target(std::string_view bytes);

    http_parser parser_{};
    message_limits limits_;
    std::vector<field> fields_;
    bool started_ = false;
    bool head_complete_ = false;
    bool complete_ = false;
    bool head_too_large_ = false;

private:
    friend struct parser_callbacks;
    bool count_head(std::size_t bytes);

    const http_parser_type type_;
    std::size_t head_bytes_ = 0;
    bool value_seen_ = true;
};

/// Reads one request after the other from a caller's connection.
/// Thread safety: used by one thread.
class request_parser final : public message_parser {
public:
    explicit request_parser(message_limits limits) : message_parser(HTTP_REQUEST, limits) {}

    /// Takes bytes of the current request and returns how many belong to it; the rest is part of the next.
    /// Errors: `malformed_request`, `header_too_large`, `body_too_large`. After an error the connection is
    /// of no further use.
    base::result<std::size_t> feed(std::string_view bytes);
    /// Makes ready for the next request. Pre-condition: `complete()`.
    void prepare_next(message_limits limits);

    /// Pre-condition: `complete()`; the parts are moved out.
    [[nodiscard]] request_head take_head();
    [[nodiscard]] std::string take_body() { return std::exchange(body_, {}); }
    /// The caller waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;

private:
    int on_head() override;
    int on_body(std::string_view bytes) override;
    void on_target(std::string_view bytes) override { target_.append(bytes); }

    std::string target_;
    std::string body_;
    bool body_too_large_ = false;
};

/// Reads the answers of one upstream connection.
/// Thread safety: used by one thread.
class response_parser final : public message_parser {
public:
    response_parser() : message_parser(HTTP_RESPONSE, response_limits) {}

    /// Makes ready for the answer to a request. `expect_body` is false for HEAD.
    void prepare_next(bool expect_body);
    /// Takes bytes, appends what belongs to the body to `body` and returns how many bytes belong to the
    /// answer. Error: `upstream_malformed_answer`.
    base::result<std::size_t> feed(std::string_view bytes, std::string& body);
    /// The peer closed its side. Completes an answer whose end is the end of its connection.
    void end_of_input();

    /// Pre-condition: `head_complete()`.
    [[nodiscard]] const response_head& head() const { return head_; }

private:
    int on_head() override;
    int on_body(std::string_view bytes) override;

    static constexpr message_limits response_limits{65536, SIZE_MAX};
    response_head head_;
    std::string* body_ = nullptr;
    bool expect_body_ = true;
};

} // namespace bluebell::http
