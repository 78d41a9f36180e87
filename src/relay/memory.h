#pragma once

#include "base/unit.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace bluebell::relay {

/// What the bytes that a data path holds belong to.
enum class held_class {
    heads,             ///< heads of requests that are still arriving
    unfinished_bodies, ///< bodies of requests that are still arriving
    requests,          ///< heads and bodies of requests in progress
    upstream_requests, ///< requests that are being sent to upstreams
    buffered_answers,  ///< answers, or parts of events, that are not forwarded yet
    later_requests,    ///< bytes that arrived behind a request in progress
    unsent_answers,    ///< answers that wait to be sent to callers
};
constexpr std::size_t held_class_count = 7;

/// Returns the name of a class for metrics.
std::string_view to_string(held_class kind);

/// Bounds of the bytes that a data path holds.
struct memory_limits {
    /// All classes together.
    std::size_t total = std::size_t{102} << 20U;
    /// Heads and bodies of requests that are still arriving.
    std::size_t unfinished = std::size_t{51} << 20U;
    /// Bytes behind requests in progress; above it reading them pauses.
    std::size_t later_requests = std::size_t{12} << 20U;
    /// Unsent bytes of one connection, and of all, above which reading from the upstream pauses.
    std::size_t unsent_each = std::size_t{4} << 20U;
    std::size_t unsent_total = std::size_t{25} << 20U;
};

/// Returns the bounds for a process with this memory. The rest is for the program and its state, for copies
/// made while a buffer grows, and for what the allocator cannot use.
memory_limits limits_for(base::byte_count process_memory);

/// Sums of the bytes that a data path holds for callers and upstreams. Only `memory_charge` changes them.
/// Thread safety: used by one thread.
class memory_account {
public:
    memory_account() : memory_account(memory_limits()) {}
    explicit memory_account(const memory_limits& limits) : limits_(limits) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    memory_account(memory_account&&) = delete;
    memory_account& operator=(memory_account&&) = delete;
    ~memory_account() = default;

    [[nodiscard]] const memory_limits& limits() const { return limits_; }
    /// Bytes held of one class.
    [[nodiscard]] std::size_t held(held_class kind) const { return held_[static_cast<std::size_t>(kind)]; }
    /// Bytes held of all classes.
    [[nodiscard]] std::size_t total() const { return total_; }
    /// Bytes held of requests that are still arriving.
    [[nodiscard]] std::size_t unfinished() const {
        return held(held_class::heads) + held(held_class::unfinished_bodies);
    }

private:
    friend class memory_charge;

    const memory_limits limits_;
    std::array<std::size_t, held_class_count> held_{};
    std::size_t total_ = 0;
};

/// Owns a number of bytes in an account and gives them back on destruction. The bytes are those of one
/// buffer. Thread safety: as the account.
class memory_charge {
public:
    /// Pre-condition: `account` outlives the charge.
    memory_charge(memory_account& account, held_class kind) : account_(account), kind_(kind) {}
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&&) = delete;
    memory_charge& operator=(memory_charge&&) = delete;
    ~memory_charge() { set(0); }

    /// Sets the size of the buffer in bytes.
    void set(std::size_t bytes) {
        // The differences wrap around where the buffer shrinks, which is defined for unsigned numbers.
        const std::size_t change = bytes - bytes_;
        account_.held_[static_cast<std::size_t>(kind_)] += change;
        account_.total_ += change;
        bytes_ = bytes;
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    memory_account& account_;
    const held_class kind_;
    std::size_t bytes_ = 0;
};

} // namespace bluebell::relay
