#pragma once

#include "base/unit.h"

#include <cstdint>
#include <string_view>

namespace bluebell::upstream {

/// What is remembered of the bytes that a caller received, to check that a repeated answer starts with them.
/// Thread safety: a value type.
class delivered_prefix {
public:
    void add(std::string_view bytes);
    [[nodiscard]] std::uint64_t size() const { return size_; }

    friend bool operator==(const delivered_prefix& a, const delivered_prefix& b) {
        return a.size_ == b.size_ && a.digest_ == b.digest_;
    }

private:
    std::uint64_t size_ = 0;
    /// Polynomial in a fixed odd base modulo 2^61 - 1: it does not depend on how the bytes were cut, and
    /// takes 8 bytes where the streaming state of xxhash takes 576.
    std::uint64_t digest_ = 0;
};

} // namespace bluebell::upstream
