#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace bluebell::base {

/// Tells one thread to stop.
/// Thread safety: every method may be called from any thread.
class stop_signal {
public:
    void request() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            requested_ = true;
        }
        changed_.notify_all();
    }
    void reset() {
        const std::lock_guard<std::mutex> lock(mutex_);
        requested_ = false;
    }
    [[nodiscard]] bool requested() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return requested_;
    }
    /// Sleeps up to `timeout`; returns true as soon as the stop is requested.
    bool wait_for(duration timeout) {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, timeout, [this] { return requested_; });
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool requested_ = false;
};

/// One duty that runs on a thread of its own.
class worker {
public:
    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;
    virtual ~worker() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// Does the work until `stop` is requested. Called again after a failure, so it builds its state anew.
    /// Leaving by an exception, or returning before the stop, counts as a failure.
    virtual void run(stop_signal& stop) = 0;

    /// Wakes `run` if it waits on something other than `stop`. Called from another thread after `stop` was
    /// requested; must be harmless when `run` is not running.
    virtual void interrupt() {}
};

} // namespace bluebell::base
