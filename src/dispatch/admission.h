#pragma once

#include "base/clock.h"
#include "base/id.h"

#include <map>
#include <memory>

namespace bluebell::dispatch {

/// Shares of the accounts' requests that every router admits while the engines are overloaded. The same share
/// holds at all routers, so that it does not matter where the callers of an account arrive.
/// Thread safety: immutable, so that any thread may read it.
class admission_table {
public:
    using shares = std::map<base::client_account_id, double>;

    explicit admission_table(shares limited) : limited_(std::move(limited)) {}

    /// Share of the account's requests to admit, from zero to one.
    [[nodiscard]] double share(const base::client_account_id& account) const {
        const auto found = limited_.find(account);
        return found == limited_.end() ? 1 : found->second;
    }

private:
    /// Accounts whose share is less than one.
    const shares limited_;
};

/// Null while every request is admitted.
using admission_table_ptr = std::shared_ptr<const admission_table>;

} // namespace bluebell::dispatch
