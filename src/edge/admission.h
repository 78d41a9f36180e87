#pragma once

#include "base/id.h"

#include <map>
#include <mutex>

namespace bluebell::edge {

/// Bounds the requests in progress, in total and by account. What an account may hold depends on the places
/// that are free, so that accounts which flood the router leave some to the others.
/// Thread safety: any thread.
class admission {
public:
    explicit admission(unsigned limit) : limit_(limit) {}

    /// Takes a place for a request of the account. Returns false if the request is to be refused.
    [[nodiscard]] bool enter(const base::client_account_id& account);
    /// Returns a place. Pre-condition: `enter` returned true for a request of the account.
    void leave(const base::client_account_id& account);

private:
    const unsigned limit_;
    std::mutex mutex_;
    unsigned in_progress_ = 0;
    /// Accounts with at least one request in progress.
    std::map<base::client_account_id, unsigned> held_;
};

} // namespace bluebell::edge
