#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace bluebell::base {

/// Requests one thread to stop.
/// Thread safety: every method may be called from any thread.
class stop_signal {
public:
    /// Requests the stop and wakes `wait_for`.
    void request() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            requested_ = true;
        }
        request_condition_.notify_all();
    }
    /// Withdraws the request, for the next run.
    void reset() {
        const std::lock_guard<std::mutex> lock(mutex_);
        requested_ = false;
    }
    [[nodiscard]] bool requested() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return requested_;
    }
    /// Waits up to `timeout`. Returns true as soon as the stop is requested, false on timeout.
    bool wait_for(duration timeout) {
        std::unique_lock<std::mutex> lock(mutex_);
        return request_condition_.wait_for(lock, timeout, [this] { return requested_; });
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable request_condition_;
    bool requested_ = false;
};

/// A duty that runs on its own thread.
class worker {
public:
    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;
    virtual ~worker() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// Does the work until `stop` is requested. It is called again after a failure, so it must not rely on
    /// state of an earlier run. An exception, or a return before the stop is requested, counts as a failure.
    virtual void run(stop_signal& stop) = 0;

    /// Wakes `run` if it waits for something other than `stop`. Called from another thread after `stop` was
    /// requested; must have no effect if `run` is not running.
    virtual void interrupt() {}
};

} // namespace bluebell::base
