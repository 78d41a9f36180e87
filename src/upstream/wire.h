#pragma once

#include "base/error.h"
#include "decision/exchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::upstream {

/// The text of an HTTP/1.1 request that closes its connection. Line breaks in fields are replaced by spaces.
std::string format_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::vector<decision::field>& fields, const std::string& body);

/// Reads an HTTP/1.1 answer from parts of any size. The client of cxxtools 3.0 is not used because it reports
/// a complete chunked answer as broken when its last chunk and its end arrive in one read. Thread safety:
/// used by one thread.
class answer_parser {
public:
    /// `expect_body` is false for the answer to HEAD.
    explicit answer_parser(bool expect_body) : expect_body_(expect_body) {}

    /// Takes bytes and appends what belongs to the body to `body`. Bytes after the end are ignored.
    /// Errors: `upstream_malformed_answer`, also for an answer whose end only the end of the connection would
    /// tell, because that could not be told from a lost connection.
    base::result<void> feed(std::string_view bytes, std::string& body);

    [[nodiscard]] bool head_complete() const { return stage_ > stage::fields; }
    /// Pre-condition: `head_complete()`.
    [[nodiscard]] const decision::answer_head& head() const { return head_; }
    [[nodiscard]] bool done() const { return stage_ == stage::done; }

private:
    enum class stage { status_line, fields, sized_body, chunk_size, chunk_data, chunk_end, trailers, done };

    /// Takes one line off `bytes`; false if it is not complete yet.
    base::result<bool> take_line(std::string_view& bytes);
    base::result<void> take_head_line();
    base::result<void> take_field();
    base::result<void> end_head();
    base::result<void> take_chunk_size();
    base::result<void> take_frame_line();

    const bool expect_body_;
    stage stage_ = stage::status_line;
    std::string line_;
    std::size_t head_size_ = 0;
    decision::answer_head head_;
    bool chunked_ = false;
    bool sized_ = false;
    std::uint64_t left_ = 0;
};

} // namespace bluebell::upstream
