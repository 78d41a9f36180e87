#pragma once

#include "base/error.h"
#include "decision/exchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::upstream {

/// Returns the text of an HTTP/1.1 request with `Connection: close`. Line breaks in the method, target and
/// fields are replaced by spaces.
std::string format_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::vector<decision::field>& fields, const std::string& body);

/// Incremental parser of an HTTP/1.1 answer. The HTTP client of cxxtools 3.0 is not used because it reports
/// a complete chunked answer as broken when its last chunk and its end arrive in one read.
/// Thread safety: used by one thread.
class answer_parser {
public:
    /// `expect_body` is false for the answer to HEAD.
    explicit answer_parser(bool expect_body) : expect_body_(expect_body) {}

    /// Parses bytes and appends those of the body, without transfer coding, to `body`. Bytes after the end of
    /// the answer are ignored. Error: `upstream_malformed_answer`, also for an answer that is delimited only
    /// by the end of the connection, because its end looks the same as a lost connection.
    base::result<void> feed(std::string_view bytes, std::string& body);

    [[nodiscard]] bool head_complete() const { return stage_ > stage::fields; }
    /// Pre-condition: `head_complete()`.
    [[nodiscard]] const decision::answer_head& head() const { return head_; }
    /// Returns whether the whole answer was parsed.
    [[nodiscard]] bool done() const { return stage_ == stage::done; }

private:
    enum class stage { status_line, fields, sized_body, chunk_size, chunk_data, chunk_end, trailers, done };

    /// Moves the bytes of the current line from `bytes` to `line_`. Returns false if the line is not complete
    /// yet.
    base::result<bool> read_line(std::string_view& bytes);
    base::result<void> parse_head_line();
    base::result<void> parse_field();
    base::result<void> begin_body();
    base::result<void> parse_chunk_size();
    /// Parses the end of a chunk, a chunk size or a trailer.
    base::result<void> parse_framing_line();

    const bool expect_body_;
    stage stage_ = stage::status_line;
    std::string line_;
    std::size_t head_size_ = 0;
    decision::answer_head head_;
    bool chunked_ = false;
    bool has_content_length_ = false;
    /// Bytes that remain of the body or of the current chunk.
    std::uint64_t remaining_bytes_ = 0;
};

} // namespace bluebell::upstream
