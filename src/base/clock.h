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

class steady_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// Monotonic time that goes on while the machine is suspended, for limits on the age of what is known.
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override {
        timespec read{};
        clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
    }
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
