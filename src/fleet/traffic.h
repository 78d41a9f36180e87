#pragma once

#include "base/error.h"
#include "fleet/codec.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace bluebell::fleet {

/// Counters of one direction of control traffic. They never decrease and survive a restart of their worker.
/// Thread safety: every method may be called from any thread.
class traffic {
public:
    /// Number and size of messages.
    struct count {
        std::uint64_t messages = 0;
        /// Bytes of the datagrams, without the headers of IP and UDP.
        std::uint64_t bytes = 0;
    };

    /// Counts a datagram. Pre-condition: `kind` is less than `message_kind_count`.
    void add(std::size_t kind, std::size_t bytes) {
        messages_.at(kind).fetch_add(1, std::memory_order_relaxed);
        bytes_.at(kind).fetch_add(bytes, std::memory_order_relaxed);
    }
    /// Counts an error.
    void add_error(base::error_code code) {
        errors_.at(static_cast<std::size_t>(code)).fetch_add(1, std::memory_order_relaxed);
    }
    /// Counts a message that was dropped because a ring was full.
    void add_dropped() { dropped_.fetch_add(1, std::memory_order_relaxed); }

    /// Returns the counts of one kind. Pre-condition: `kind` is less than `message_kind_count`.
    [[nodiscard]] count of_kind(std::size_t kind) const { return {messages_.at(kind), bytes_.at(kind)}; }
    /// Returns the counts of all kinds.
    [[nodiscard]] count total() const {
        count sum;
        for (std::size_t kind = 0; kind < message_kind_count; ++kind) {
            sum.messages += messages_.at(kind);
            sum.bytes += bytes_.at(kind);
        }
        return sum;
    }
    /// Returns the number of errors with this code.
    [[nodiscard]] std::uint64_t errors(base::error_code code) const {
        return errors_.at(static_cast<std::size_t>(code));
    }
    /// Returns the number of dropped messages.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    static constexpr std::size_t error_code_count =
        static_cast<std::size_t>(base::error_code::restart_intensity_exceeded) + 1;

    std::array<std::atomic<std::uint64_t>, message_kind_count> messages_{};
    std::array<std::atomic<std::uint64_t>, message_kind_count> bytes_{};
    std::array<std::atomic<std::uint64_t>, error_code_count> errors_{};
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace bluebell::fleet
