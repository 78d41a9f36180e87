#pragma once

#include <chrono>
#include <ctime>
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

/// Monotonic time that stands still while the machine is suspended.
class steady_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// Monotonic time that advances while the machine is suspended; for limits on the age of information.
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override {
        timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
    }
};

/// Clock that a test advances explicitly. It starts at one hour, so that time points minus a timeout stay
/// positive.
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
