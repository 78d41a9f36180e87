#pragma once

#include "base/unit.h"

#include <cstdint>
#include <string_view>

namespace bluebell::upstream {

/// Size and digest of the part of an answer that a caller received, to check that a repeated answer starts
/// with the same bytes. Thread safety: a value type.
class delivered_prefix {
public:
    /// Appends bytes to the prefix.
    void add(std::string_view bytes);
    /// Returns the size in bytes.
    [[nodiscard]] std::uint64_t size() const { return size_; }

    friend bool operator==(const delivered_prefix& a, const delivered_prefix& b) {
        return a.size_ == b.size_ && a.digest_ == b.digest_;
    }

private:
    std::uint64_t size_ = 0;
    /// Polynomial hash with a fixed odd base modulo 2^61 - 1. It does not depend on how the bytes were split,
    /// and takes 8 bytes, whereas the streaming state of xxhash takes 576.
    std::uint64_t digest_ = 0;
};

} // namespace bluebell::upstream
