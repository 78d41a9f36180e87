#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace bluebell::base {

/// Publishes immutable values from one thread to others. A value stays valid for a reader that holds it, also
/// after a newer one is published.
/// Thread safety: every method may be called from any thread.
template <typename T>
class snapshot {
public:
    /// Replaces the current value.
    void publish(std::shared_ptr<const T> value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        value_ = std::move(value);
    }

    /// Null before the first `publish`.
    [[nodiscard]] std::shared_ptr<const T> current() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return value_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_;
};

} // namespace bluebell::base
