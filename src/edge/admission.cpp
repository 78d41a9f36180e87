#include "edge/admission.h"

namespace bluebell::edge {
namespace {

/// Places that an account may hold for each one that is free. Alone, an account gets up to four fifths.
constexpr unsigned max_held_per_free_place = 4;

} // namespace

bool admission::enter(const base::client_account_id& account) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const unsigned free = limit_ - in_progress_;
    const auto found = held_.find(account);
    const unsigned held = found == held_.end() ? 0 : found->second;
    if (held >= max_held_per_free_place * free) {
        return false;
    }
    ++held_[account];
    ++in_progress_;
    return true;
}

void admission::leave(const base::client_account_id& account) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = held_.find(account);
    if (--found->second == 0) {
        held_.erase(found);
    }
    --in_progress_;
}

} // namespace bluebell::edge
