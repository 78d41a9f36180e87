#pragma once

#include "base/unit.h"

#include <atomic>
#include <cstddef>

namespace bluebell::edge {

/// Bounds the bytes of bodies that are still arriving, over all connections. A part beyond the bound is kept
/// for small bodies, so that a crowd of large ones does not take it. Thread safety: any thread.
class body_account {
public:
    /// Largest size of a small body in bytes.
    static constexpr std::size_t small_bytes = std::size_t{64} << 10U;

    explicit body_account(base::byte_count limit) : limit_(limit.value()) {}
    body_account(const body_account&) = delete;
    body_account& operator=(const body_account&) = delete;
    body_account(body_account&&) = delete;
    body_account& operator=(body_account&&) = delete;
    ~body_account() = default;

    /// Bytes held now.
    [[nodiscard]] std::size_t held() const { return held_; }

private:
    friend class body_charge;

    /// The reserve for small bodies as a part of the limit.
    static constexpr std::size_t reserve_divisor = 8;

    const std::size_t limit_;
    std::atomic<std::size_t> held_{0};
};

/// Owns the bytes of one body in an account and gives them back on destruction.
/// Thread safety: used by one thread at a time.
class body_charge {
public:
    /// Pre-condition: `account` outlives the charge.
    explicit body_charge(body_account& account) : account_(account) {}
    body_charge(const body_charge&) = delete;
    body_charge& operator=(const body_charge&) = delete;
    body_charge(body_charge&&) = delete;
    body_charge& operator=(body_charge&&) = delete;
    ~body_charge() { release(); }

    /// Adds bytes of a body whose whole size is `announced`. Returns false if there is no room for them; then
    /// nothing was added.
    [[nodiscard]] bool add(std::size_t bytes, std::size_t announced) {
        const std::size_t reserve =
            announced <= body_account::small_bytes ? account_.limit_ / body_account::reserve_divisor : 0;
        if (account_.held_.fetch_add(bytes) + bytes > account_.limit_ + reserve) {
            account_.held_.fetch_sub(bytes);
            return false;
        }
        bytes_ += bytes;
        return true;
    }
    /// Gives all bytes back.
    void release() {
        account_.held_.fetch_sub(bytes_);
        bytes_ = 0;
    }

private:
    body_account& account_;
    std::size_t bytes_ = 0;
};

} // namespace bluebell::edge
