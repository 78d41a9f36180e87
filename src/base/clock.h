#pragma once

#include <chrono>
#include <mutex>

namespace bluebell::base {

/// Monotonic time; never wall-clock time, which may jump.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::nanoseconds;

/// Source of monotonic time.
/// Thread safety: implementations may be called from any thread.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    [[nodiscard]] virtual time_point now() const = 0;
};

class steady_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// A clock that a test moves by hand. Starts at one hour, so that subtracting a timeout stays positive.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override {
        const std::lock_guard<std::mutex> lock(mutex_);
        return now_;
    }

    void advance(duration step) {
        const std::lock_guard<std::mutex> lock(mutex_);
        now_ += step;
    }

private:
    mutable std::mutex mutex_;
    time_point now_{std::chrono::hours(1)};
};

} // namespace bluebell::base
