#pragma once

#include "base/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::standin {

enum class fault_kind {
    crash,  ///< closes the connection and stops serving for `time`
    silent, ///< accepts the request and never answers
    late,   ///< answers after `time`
    cut     ///< closes the connection after `bytes` of the answer
};

struct fault {
    fault_kind kind = fault_kind::crash;
    /// Applies to requests whose body contains it; empty for every request.
    std::string marker;
    /// How many requests it still applies to.
    std::uint32_t times = 1;
    base::duration time = std::chrono::seconds(1);
    std::uint64_t bytes = 0;
};

/// Faults that tests order from a stand-in.
/// Thread safety: every method may be called from any thread.
class fault_table {
public:
    void add(fault next) {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults_.push_back(std::move(next));
    }
    void clear() {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults_.clear();
        down_until_ = {};
    }
    /// The fault that applies to a request with this body, counted as used.
    std::optional<fault> take(const std::string& body) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (fault& each : faults_) {
            if (each.times > 0 && body.find(each.marker) != std::string::npos) {
                --each.times;
                if (each.kind == fault_kind::crash) {
                    down_until_ = std::chrono::steady_clock::now() + each.time;
                }
                return each;
            }
        }
        return std::nullopt;
    }
    /// Whether a crash is still in effect.
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
