#pragma once

#include "base/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::standin {

/// How a stand-in misbehaves.
enum class fault_kind {
    crash,  ///< closes the connection and stops serving for `time`
    silent, ///< accepts the request and never answers
    late,   ///< answers after `time`
    cut     ///< closes the connection after `bytes` of the answer
};

/// A fault that a stand-in applies to the next requests that match it.
struct fault {
    fault_kind kind = fault_kind::crash;
    /// The fault applies to requests whose body contains this text; empty for every request.
    std::string marker;
    /// Number of requests that the fault still applies to.
    std::uint32_t times = 1;
    /// Length of a `crash` or delay of a `late` answer.
    base::duration time = std::chrono::seconds(1);
    /// Bytes of the answer that are sent before a `cut`.
    std::uint64_t bytes = 0;
};

/// The faults that a test has set at a stand-in.
/// Thread safety: every method may be called from any thread.
class fault_table {
public:
    /// Adds a fault after those that are already set.
    void add(fault next) {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults_.push_back(std::move(next));
    }
    /// Removes all faults and ends a crash.
    void clear() {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults_.clear();
        down_until_ = {};
    }
    /// Returns the first fault that applies to a request with this body and counts the request. A crash
    /// starts here.
    std::optional<fault> take(const std::string& body) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (fault& entry : faults_) {
            if (entry.times > 0 && body.find(entry.marker) != std::string::npos) {
                --entry.times;
                if (entry.kind == fault_kind::crash) {
                    down_until_ = std::chrono::steady_clock::now() + entry.time;
                }
                return entry;
            }
        }
        return std::nullopt;
    }
    /// Returns true while a crash is in effect.
    [[nodiscard]] bool down() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::chrono::steady_clock::now() < down_until_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<fault> faults_;
    base::time_point down_until_{};
};

} // namespace bluebell::standin
