#include "upstream/wire.h"

#include "http/status.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace bluebell::upstream {
namespace {

using base::error_code;
using base::failure;

/// Limit of the head of an answer, and of each line outside the body.
constexpr std::size_t max_head_bytes = 32768;
constexpr std::uint64_t max_chunk_bytes = 1ULL << 40U;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

tl::unexpected<base::error> malformed_answer(const char* text) {
    return failure(error_code::upstream_malformed_answer, "", text);
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t\r";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool equal_names(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool parse_number(std::string_view text, int radix, std::uint64_t& value) {
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, radix);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::string without_line_breaks(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
    return text;
}

} // namespace

std::string format_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::vector<decision::field>& fields, const std::string& body) {
    std::string text = without_line_breaks(method) + ' ' + without_line_breaks(target) +
                       " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const decision::field& field : fields) {
        text += without_line_breaks(field.name) + ": " + without_line_breaks(field.value) + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    return text + body;
}

base::result<void> answer_parser::feed(std::string_view bytes, std::string& body) {
    while (!bytes.empty() && !done()) {
        if (stage_ == stage::sized_body || stage_ == stage::chunk_data) {
            const std::size_t count = std::min<std::uint64_t>(remaining_bytes_, bytes.size());
            body += bytes.substr(0, count);
            bytes.remove_prefix(count);
            remaining_bytes_ -= count;
            if (remaining_bytes_ == 0) {
                stage_ = stage_ == stage::sized_body ? stage::done : stage::chunk_end;
            }
            continue;
        }
        const base::result<bool> complete = read_line(bytes);
        if (!complete) {
            return tl::unexpected<base::error>(complete.error());
        }
        if (!*complete) {
            return {};
        }
        const bool in_head = stage_ == stage::status_line || stage_ == stage::fields;
        const base::result<void> parsed = in_head ? parse_head_line() : parse_framing_line();
        if (!parsed) {
            return parsed;
        }
        line_.clear();
    }
    return {};
}

base::result<bool> answer_parser::read_line(std::string_view& bytes) {
    const std::size_t end = bytes.find('\n');
    const std::size_t count = end == std::string_view::npos ? bytes.size() : end + 1;
    if (line_.size() + count > max_head_bytes) {
        return malformed_answer("a line of the answer is too long");
    }
    line_ += bytes.substr(0, count);
    bytes.remove_prefix(count);
    if (end == std::string_view::npos) {
        return false;
    }
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') {
        line_.pop_back();
    }
    return true;
}

base::result<void> answer_parser::parse_head_line() {
    head_size_ += line_.size();
    if (head_size_ > max_head_bytes) {
        return malformed_answer("the head of the answer is too long");
    }
    if (stage_ == stage::fields) {
        return line_.empty() ? begin_body() : parse_field();
    }
    const std::optional<int> status = http::parse_status(line_);
    if (!status) {
        return malformed_answer("the answer has no valid status line");
    }
    head_ = decision::answer_head{*status, {}};
    stage_ = stage::fields;
    return {};
}

base::result<void> answer_parser::parse_field() {
    const std::string_view line = line_;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return malformed_answer("a field of the answer has no name");
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equal_names(name, "Transfer-Encoding")) {
        if (!equal_names(value, "chunked")) {
            return malformed_answer("the transfer coding is not supported");
        }
        chunked_ = true;
    } else if (equal_names(name, "Content-Length")) {
        std::uint64_t length = 0;
        if (!parse_number(value, decimal, length) || (has_content_length_ && length != remaining_bytes_)) {
            return malformed_answer("the length of the answer is not a number");
        }
        has_content_length_ = true;
        remaining_bytes_ = length;
    }
    head_.fields.push_back({std::string(name), std::string(value)});
    return {};
}

base::result<void> answer_parser::begin_body() {
    if (head_.status < first_final_status) {
        stage_ = stage::status_line; // interim answer; the final one follows
        return {};
    }
    if (!expect_body_ || head_.status == status_no_content || head_.status == status_not_modified) {
        stage_ = stage::done;
    } else if (chunked_) {
        stage_ = stage::chunk_size;
    } else if (has_content_length_) {
        stage_ = remaining_bytes_ > 0 ? stage::sized_body : stage::done;
    } else {
        return malformed_answer("the answer states no length");
    }
    return {};
}

base::result<void> answer_parser::parse_chunk_size() {
    const std::string_view size = trimmed(std::string_view(line_).substr(0, line_.find(';')));
    if (!parse_number(size, hexadecimal, remaining_bytes_) || remaining_bytes_ > max_chunk_bytes) {
        return malformed_answer("the size of a chunk is not a number");
    }
    stage_ = remaining_bytes_ > 0 ? stage::chunk_data : stage::trailers;
    return {};
}

base::result<void> answer_parser::parse_framing_line() {
    if (stage_ == stage::chunk_size) {
        return parse_chunk_size();
    }
    if (stage_ == stage::chunk_end) {
        if (!line_.empty()) {
            return malformed_answer("a chunk is longer than its size");
        }
        stage_ = stage::chunk_size;
    } else if (line_.empty()) {
        stage_ = stage::done; // after the trailers
    }
    return {};
}

} // namespace bluebell::upstream
