#include "upstream/wire.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace bluebell::upstream {
namespace {

using base::error_code;
using base::failure;

constexpr std::size_t longest_head = 32768;
constexpr std::uint64_t longest_chunk = 1ULL << 40U;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

tl::unexpected<base::error> malformed(const char* text) {
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

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool parse_number(std::string_view text, int radix, std::uint64_t& value) {
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, radix);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::string one_line(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
    return text;
}

} // namespace

std::string format_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::vector<decision::field>& fields, const std::string& body) {
    std::string text = one_line(method) + ' ' + one_line(target) + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const decision::field& each : fields) {
        text += one_line(each.name) + ": " + one_line(each.value) + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    return text + body;
}

base::result<void> answer_parser::feed(std::string_view bytes, std::string& body) {
    while (!bytes.empty() && !done()) {
        if (stage_ == stage::sized_body || stage_ == stage::chunk_data) {
            const std::size_t count = std::min<std::uint64_t>(left_, bytes.size());
            body += bytes.substr(0, count);
            bytes.remove_prefix(count);
            left_ -= count;
            if (left_ == 0) {
                stage_ = stage_ == stage::sized_body ? stage::done : stage::chunk_end;
            }
            continue;
        }
        const base::result<bool> complete = take_line(bytes);
        if (!complete) {
            return tl::unexpected<base::error>(complete.error());
        }
        if (!*complete) {
            return {};
        }
        const bool in_head = stage_ == stage::status_line || stage_ == stage::fields;
        const base::result<void> taken = in_head ? take_head_line() : take_frame_line();
        if (!taken) {
            return taken;
        }
        line_.clear();
    }
    return {};
}

base::result<bool> answer_parser::take_line(std::string_view& bytes) {
    const std::size_t end = bytes.find('\n');
    const std::size_t count = end == std::string_view::npos ? bytes.size() : end + 1;
    if (line_.size() + count > longest_head) {
        return malformed("a line of the answer is too long");
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

base::result<void> answer_parser::take_head_line() {
    head_size_ += line_.size();
    if (head_size_ > longest_head) {
        return malformed("the head of the answer is too long");
    }
    if (stage_ == stage::fields) {
        return line_.empty() ? end_head() : take_field();
    }
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_digits = 3;
    std::uint64_t status = 0;
    if (line_.compare(0, version.size(), version) != 0 || line_.size() < status_at + status_digits ||
        !parse_number(std::string_view(line_).substr(status_at, status_digits), decimal, status)) {
        return malformed("the answer has no status line");
    }
    head_ = decision::answer_head{static_cast<int>(status), {}};
    stage_ = stage::fields;
    return {};
}

base::result<void> answer_parser::take_field() {
    const std::string_view line = line_;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return malformed("a field of the answer has no name");
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (same_name(name, "Transfer-Encoding")) {
        if (!same_name(value, "chunked")) {
            return malformed("the transfer coding is not supported");
        }
        chunked_ = true;
    } else if (same_name(name, "Content-Length")) {
        std::uint64_t length = 0;
        if (!parse_number(value, decimal, length) || (sized_ && length != left_)) {
            return malformed("the length of the answer is not a number");
        }
        sized_ = true;
        left_ = length;
    }
    head_.fields.push_back({std::string(name), std::string(value)});
    return {};
}

base::result<void> answer_parser::end_head() {
    if (head_.status < first_final_status) {
        stage_ = stage::status_line; // an interim answer; the final one follows
        return {};
    }
    if (!expect_body_ || head_.status == status_no_content || head_.status == status_not_modified) {
        stage_ = stage::done;
    } else if (chunked_) {
        stage_ = stage::chunk_size;
    } else if (sized_) {
        stage_ = left_ > 0 ? stage::sized_body : stage::done;
    } else {
        return malformed("the answer states no length");
    }
    return {};
}

base::result<void> answer_parser::take_chunk_size() {
    const std::string_view size = trimmed(std::string_view(line_).substr(0, line_.find(';')));
    if (!parse_number(size, hexadecimal, left_) || left_ > longest_chunk) {
        return malformed("the size of a chunk is not a number");
    }
    stage_ = left_ > 0 ? stage::chunk_data : stage::trailers;
    return {};
}

base::result<void> answer_parser::take_frame_line() {
    if (stage_ == stage::chunk_size) {
        return take_chunk_size();
    }
    if (stage_ == stage::chunk_end) {
        if (!line_.empty()) {
            return malformed("a chunk is longer than its size");
        }
        stage_ = stage::chunk_size;
    } else if (line_.empty()) {
        stage_ = stage::done; // after the trailers
    }
    return {};
}

} // namespace bluebell::upstream
