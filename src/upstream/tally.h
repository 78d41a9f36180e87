#pragma once

#include "base/unit.h"

#include <cstdint>
#include <string_view>

namespace bluebell::upstream {

/// Counts the generated events of a stream of server-sent events while its parts arrive; `[DONE]` does not
/// count. Thread safety: used by one thread.
class event_counter {
public:
    void add(std::string_view bytes);
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    std::uint64_t count_ = 0;
    /// Characters of the current line that match the record `[DONE]`; all of its size after the first
    /// difference.
    std::size_t matched_ = 0;
};

/// Estimate of the prompt tokens of a request body: about four bytes per token.
base::cost prompt_estimate(std::size_t body_bytes);

/// `usage.total_tokens` of a complete answer in JSON, or zero if it does not state it.
base::cost stated_usage(std::string_view answer);

} // namespace bluebell::upstream
