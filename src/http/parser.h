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

/// Maximum sizes of a message from a peer, in bytes.
struct message_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = std::size_t{1} << 20U;
};

/// Request line and fields of a request.
struct request_head {
    std::string method;
    /// Path with query, as received.
    std::string target;
    std::vector<field> fields;
    /// Set if the connection may carry further requests.
    bool keep_alive = true;

    /// Returns the first value of the field `name`, compared without regard to case, or null.
    [[nodiscard]] const std::string* find(std::string_view name) const;
};

/// Status line and fields of a response.
struct response_head {
    int status = 200;
    std::vector<field> fields;
    /// Set if the connection may carry further requests.
    bool keep_alive = true;
    /// Value of Content-Length in bytes; empty if the head does not state it.
    std::optional<std::uint64_t> length;

    /// Returns the first value of the field `name`, compared without regard to case, or null.
    [[nodiscard]] const std::string* find(std::string_view name) const;
};

/// Returns the first value of the field `name`, compared without regard to case, or null.
const std::string* find_field(const std::vector<field>& fields, std::string_view name);
/// Compares two ASCII texts without regard to case.
bool equal_ignoring_case(std::string_view a, std::string_view b);
/// Returns true if the field concerns one connection only and must not be forwarded.
bool hop_by_hop(std::string_view name);
/// Returns true if `name` is a valid field name (a token of RFC 9110).
bool is_token(std::string_view name);
/// Returns the standard reason phrase of a status code, or "Unknown".
std::string_view reason_phrase(int status);

/// Common base of the two parsers. Collects the fields and limits the size of the head.
class message_parser {
public:
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) = delete;
    message_parser& operator=(message_parser&&) = delete;
    virtual ~message_parser() = default;

    /// Returns true once the first byte of the message was parsed.
    [[nodiscard]] bool started() const { return started_; }
    /// Returns true once the start line and all fields were parsed.
    [[nodiscard]] bool head_complete() const { return head_complete_; }
    /// Returns true once the whole message was parsed.
    [[nodiscard]] bool complete() const { return complete_; }
    /// Returns about how many bytes the start line and the fields take in memory.
    [[nodiscard]] std::size_t held_head_bytes() const {
        return head_bytes_ + fields_.size() * field_overhead;
    }

protected:
    message_parser(http_parser_type type, message_limits limits);
    /// Prepares for the next message.
    void reset();
    /// Passes bytes to the library. Returns how many it parsed, up to the end of the message or an error.
    std::size_t execute(std::string_view bytes);
    /// Called when the head is complete. Returns 0, or another value that the library takes for
    /// `on_headers_complete`: 1 means that no body follows, -1 is an error.
    virtual int on_head() = 0;
    /// Called for each part of the body. Returns 0, or another value for an error.
    virtual int on_body(std::string_view bytes) = 0;
    /// Called for the size of each chunk, in bytes; the last one is empty. Returns as `on_body`.
    virtual int on_chunk(std::uint64_t bytes);
    /// Called for each part of the request target.
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
    /// Adds to the size of the head. Returns false if it exceeds the limit.
    bool add_head_bytes(std::size_t bytes);

    /// Bytes that a field takes besides its text: the object, and what the allocator adds to its two texts. A
    /// head within its limit may consist of thousands of fields of one byte each.
    static constexpr std::size_t field_overhead = sizeof(field) + 32;

    const http_parser_type type_;
    std::size_t head_bytes_ = 0;
    /// Set if the next name starts a new field; false while the parts of a name arrive.
    bool value_started_ = true;
};

/// Parses the requests of a caller's connection, one at a time.
/// Thread safety: used by one thread.
class request_parser final : public message_parser {
public:
    explicit request_parser(message_limits limits) : message_parser(HTTP_REQUEST, limits) {}

    /// Parses bytes of the current request and returns how many belong to it; the rest belongs to the next
    /// one. Errors: `malformed_request`, `header_too_large`, `body_too_large`. After an error the parser
    /// cannot be used for this connection any more.
    base::result<std::size_t> feed(std::string_view bytes);
    /// Prepares for the next request. Pre-condition: `complete()`.
    void prepare_next(message_limits limits);

    /// Moves the head out. Pre-condition: `complete()`.
    [[nodiscard]] request_head take_head();
    /// Moves the body out. Pre-condition: `complete()`.
    [[nodiscard]] std::string take_body() { return std::exchange(body_, {}); }
    /// Returns the number of bytes of the body that were parsed and not taken.
    [[nodiscard]] std::size_t body_bytes() const { return body_.size(); }
    /// Returns the number of chunks of the current request.
    [[nodiscard]] std::uint64_t chunk_count() const { return chunk_count_; }
    /// Releases what was parsed of the current request, which is refused. `feed` must not be called any more.
    void discard();
    /// Returns true if the caller waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;

private:
    int on_head() override;
    int on_body(std::string_view bytes) override;
    int on_chunk(std::uint64_t bytes) override;
    void on_target(std::string_view bytes) override { target_.append(bytes); }

    std::string target_;
    std::string body_;
    std::uint64_t chunk_count_ = 0;
    bool body_too_large_ = false;
};

/// Parses the answers of an upstream's connection, one at a time.
/// Thread safety: used by one thread.
class response_parser final : public message_parser {
public:
    response_parser() : message_parser(HTTP_RESPONSE, response_limits) {}

    /// Prepares for the answer to a request. `expect_body` is false for HEAD.
    void prepare_next(bool expect_body);
    /// Parses bytes, appends decoded body bytes to `body` and returns how many bytes belong to the answer.
    /// Error: `upstream_malformed_answer`, also for a status that HTTP does not have (see `parse_status`).
    base::result<std::size_t> feed(std::string_view bytes, std::string& body);
    /// Reports that the peer closed its side. Completes an answer that is delimited by the end of the
    /// connection.
    void end_of_input();

    /// Pre-condition: `head_complete()`.
    [[nodiscard]] const response_head& head() const { return head_; }

private:
    int on_head() override;
    int on_body(std::string_view bytes) override;
    void record_status_line(std::string_view bytes);

    static constexpr message_limits response_limits{65536, SIZE_MAX};
    /// Start of the status line, of which the library reads no more than the number.
    std::string status_line_;
    response_head head_;
    std::string* body_ = nullptr;
    bool expect_body_ = true;
};

} // namespace bluebell::http
