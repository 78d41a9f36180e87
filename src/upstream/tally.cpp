#include "upstream/tally.h"

#include <charconv>
#include <cmath>

namespace bluebell::upstream {
namespace {

constexpr std::string_view data_prefix = "data:";
constexpr std::string_view end_record = "data: [DONE]";
constexpr double bytes_per_token = 4;
constexpr std::string_view total_tokens_member = "\"total_tokens\":";

} // namespace

void event_counter::add(std::string_view bytes) {
    for (const char c : bytes) {
        if (c == '\n') {
            matched_characters_ = 0;
            inside_event_ = inside_event_ && !line_empty_;
            line_empty_ = true;
            continue;
        }
        if (c != '\r') {
            line_empty_ = false;
            inside_event_ = true;
        }
        if (matched_characters_ >= end_record.size()) {
            continue;
        }
        if (c != end_record[matched_characters_]) {
            matched_characters_ = end_record.size();
            continue;
        }
        ++matched_characters_;
        if (matched_characters_ == data_prefix.size()) {
            ++count_;
        } else if (matched_characters_ == end_record.size()) {
            --count_;
        }
    }
}

base::cost prompt_estimate(std::size_t body_bytes) {
    return base::cost(std::floor(static_cast<double>(body_bytes) / bytes_per_token));
}

base::cost stated_usage(std::string_view answer) {
    // The member comes last in an answer; searching backwards skips the same text in the generated content.
    const std::size_t found = answer.rfind(total_tokens_member);
    if (found == std::string_view::npos) {
        return {};
    }
    std::uint64_t tokens = 0;
    const char* const first = answer.data() + found + total_tokens_member.size();
    std::from_chars(first, answer.data() + answer.size(), tokens);
    return base::cost(static_cast<double>(tokens));
}

} // namespace bluebell::upstream
