#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace bluebell::base {

/// Result of adding a value to a ring.
enum class push_result { pushed, full, closed };

/// Bounded queue between threads. Waiting threads block on a condition variable and never spin.
/// Values already in the ring can still be popped after `close`.
/// Thread safety: every method may be called from any thread.
template <typename T>
class ring {
public:
    /// Pre-condition: `capacity` is greater than zero.
    explicit ring(std::size_t capacity) : slots_(capacity) {}
    ring(const ring&) = delete;
    ring& operator=(const ring&) = delete;
    ring(ring&&) = delete;
    ring& operator=(ring&&) = delete;
    ~ring() = default;

    /// Adds a value if there is room; does not block. `value` is moved from only if the result is `pushed`.
    push_result try_push(T&& value) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (closed_) {
                return push_result::closed;
            }
            if (size_ == slots_.size()) {
                return push_result::full;
            }
            append(std::move(value));
        }
        not_empty_.notify_one();
        return push_result::pushed;
    }

    /// Adds a value; waits up to `timeout` for room.
    push_result push(T value, duration timeout) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            not_full_.wait_for(lock, timeout, [this] { return closed_ || size_ < slots_.size(); });
            if (closed_) {
                return push_result::closed;
            }
            if (size_ == slots_.size()) {
                return push_result::full;
            }
            append(std::move(value));
        }
        not_empty_.notify_one();
        return push_result::pushed;
    }

    /// Sets a function that is called after each push, for a consumer that waits on a selector instead of
    /// `pop`. An empty function removes it. The function runs under the lock of the ring, so that it is no
    /// longer in use after its removal; it must not block or call the ring.
    void on_push(std::function<void()> callback) {
        const std::lock_guard<std::mutex> lock(mutex_);
        push_callback_ = std::move(callback);
    }

    /// Removes and returns the oldest value; waits up to `timeout` for one. Returns nothing on timeout, or if
    /// the ring is closed and empty.
    std::optional<T> pop(duration timeout) {
        std::optional<T> taken;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            not_empty_.wait_for(lock, timeout, [this] { return closed_ || size_ > 0; });
            if (size_ == 0) {
                return taken;
            }
            taken.emplace(std::move(*slots_[head_]));
            slots_[head_].reset();
            head_ = (head_ + 1) % slots_.size();
            --size_;
        }
        not_full_.notify_one();
        return taken;
    }

    /// Rejects further values and wakes every waiting thread.
    void close() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            closed_ = true;
        }
        not_empty_.notify_all();
        not_full_.notify_all();
    }

    /// Removes all values and accepts new ones again; for a consumer that is restarted.
    void reopen() {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (std::optional<T>& slot : slots_) {
            slot.reset();
        }
        head_ = 0;
        size_ = 0;
        closed_ = false;
    }

    [[nodiscard]] bool closed() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return closed_;
    }
    [[nodiscard]] std::size_t size() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return size_;
    }
    [[nodiscard]] std::size_t capacity() const { return slots_.size(); }

private:
    void append(T&& value) {
        slots_[(head_ + size_) % slots_.size()].emplace(std::move(value));
        ++size_;
        if (push_callback_) {
            push_callback_();
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    std::condition_variable not_full_;
    std::vector<std::optional<T>> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool closed_ = false;
    std::function<void()> push_callback_;
};

} // namespace bluebell::base
