#pragma once

#include <utility>

namespace bluebell::base {

/// Runs an action when the scope ends, unless dismissed.
/// Thread safety: used by one thread.
template <typename Action>
class scope_guard {
public:
    /// Pre-condition: `action` does not throw.
    explicit scope_guard(Action action) : action_(std::move(action)) {}
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;
    scope_guard(scope_guard&&) = delete;
    scope_guard& operator=(scope_guard&&) = delete;
    ~scope_guard() {
        if (armed_) {
            action_();
        }
    }

    /// Cancels the action.
    void dismiss() { armed_ = false; }

private:
    Action action_;
    bool armed_ = true;
};

} // namespace bluebell::base
