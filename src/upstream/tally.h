#pragma once

#include "base/unit.h"

#include <cstdint>
#include <string_view>

namespace bluebell::upstream {

/// Counts the `data:` lines of a stream of server-sent events, which may arrive in parts of any size. The
/// final record `[DONE]` is not counted. Thread safety: used by one thread.
class event_counter {
public:
    /// Processes the next bytes of the stream.
    void add(std::string_view bytes);
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /// Returns true if the last event has not ended with a blank line.
    [[nodiscard]] bool inside_event() const { return inside_event_; }

private:
    std::uint64_t count_ = 0;
    bool line_empty_ = true;
    bool inside_event_ = false;
    /// Number of leading characters of the current line that match `data: [DONE]`; the size of that record
    /// after the first mismatch.
    std::size_t matched_characters_ = 0;
};

/// Returns an estimate of the prompt tokens in a request body, at four bytes per token.
base::cost prompt_estimate(std::size_t body_bytes);

/// Returns `usage.total_tokens` of a complete JSON answer, or zero if the answer does not state it.
base::cost stated_usage(std::string_view answer);

} // namespace bluebell::upstream
