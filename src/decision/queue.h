#pragma once

#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/request.h"
#include "decision/share.h"

#include <array>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::decision {

/// Bounds of the queues of one router.
struct queue_options {
    /// Maximum number of waiting requests per account and pool, so that an account that floods the router
    /// fills only its own queue.
    std::size_t max_per_account = 512;
    /// Maximum total size of the bodies of all waiting requests.
    base::byte_count max_body_bytes{std::uint64_t{48} * 1024 * 1024};
};

/// A queued request.
struct waiting_request {
    request attributes;
    /// Upstreams that must not run the request.
    std::vector<base::upstream_id> avoid;
};

/// An account with waiting requests, as ranked for dispatch.
struct candidate {
    base::client_account_id account;
    base::normalised_cost key;
    request_class priority = request_class::ordinary;
    /// Cost hint of the account's next request.
    base::cost hint;
    std::size_t waiting = 0;
};

/// Bounded queues of waiting requests per pool, account and class. Accounts are ordered by key: normalised
/// service minus the boost of the most urgent waiting class.
/// Thread safety: used by one thread.
class queue {
public:
    explicit queue(const queue_options& options) : options_(options) {}

    /// Sets the boost of `urgent` over `ordinary` and of `ordinary` over `patient`, in normalised cost.
    void set_boost(const base::pool_id& pool, base::normalised_cost boost);

    /// Adds a request. `normalised` is the normalised service of its account. Error: `queue_full` if a bound
    /// of the options is reached. Pre-condition: no request with this id is waiting.
    base::result<void> push(waiting_request added, base::normalised_cost normalised);
    /// Removes and returns a request; empty if no request with this id is waiting.
    std::optional<waiting_request> remove(const base::request_id& id);
    /// Removes and returns the request with the lowest key that may run on `target`; empty if none was found.
    std::optional<waiting_request> pop(const base::pool_id& pool, const base::upstream_id& target);
    /// Removes and returns the requests whose deadline has passed at `now`.
    std::vector<waiting_request> expire(base::time_point now);
    /// Removes and returns every request for which `predicate` is true.
    template <typename Predicate>
    std::vector<waiting_request> remove_if(Predicate predicate);

    /// Sets the normalised service of an account and reorders it. No effect if the account has no waiting
    /// requests.
    void set_service(const share_key& key, base::normalised_cost normalised);

    /// Returns at most `count` accounts with the lowest keys, in order.
    [[nodiscard]] std::vector<candidate> first_accounts(const base::pool_id& pool, std::size_t count) const;
    /// Returns the lowest normalised service among the waiting accounts of a pool; empty if none waits.
    [[nodiscard]] std::optional<base::normalised_cost> lowest_service(const base::pool_id& pool) const;
    /// Number of waiting requests of a pool.
    [[nodiscard]] std::size_t waiting_count(const base::pool_id& pool) const;
    /// Number of waiting requests of an account in a pool.
    [[nodiscard]] std::size_t waiting_count(const share_key& key) const;
    /// Number of all waiting requests.
    [[nodiscard]] std::size_t size() const { return locations_.size(); }
    /// Total size of the bodies of all waiting requests.
    [[nodiscard]] base::byte_count body_bytes() const { return body_bytes_; }
    /// Returns true if a request with this id is waiting.
    [[nodiscard]] bool contains(const base::request_id& id) const { return locations_.count(id) > 0; }
    /// Returns the accounts with waiting requests in a pool, in no particular order.
    [[nodiscard]] std::vector<base::client_account_id> waiting_accounts(const base::pool_id& pool) const;

private:
    static constexpr std::size_t class_count = 3;
    using request_list = std::list<waiting_request>;

    /// Requests of one account in one pool.
    struct account_queue {
        std::array<request_list, class_count> classes;
        /// Value of `started_cost` when the first request of the class reached the front.
        std::array<base::cost, class_count> start_tags;
        /// Sum of the cost hints of the requests that this router started since the account became
        /// backlogged.
        base::cost started_cost;
        base::normalised_cost normalised;
        base::normalised_cost key;
        std::size_t waiting = 0;
        std::size_t next_class = 0;
    };
    /// Key or normalised service, with the account.
    using order_entry = std::pair<base::normalised_cost, base::client_account_id>;
    /// Accounts with waiting requests in one pool, in two orders.
    struct pool_queue {
        base::normalised_cost boost;
        std::unordered_map<base::client_account_id, account_queue> accounts;
        std::set<order_entry> by_key;
        std::set<order_entry> by_service;
        std::size_t waiting = 0;
    };
    /// Position of a waiting request.
    struct request_location {
        share_key key;
        std::size_t class_index = 0;
        request_list::iterator position;
    };

    [[nodiscard]] static base::normalised_cost boost_of(const pool_queue& pool, std::size_t class_index);
    static void remove_from_order(pool_queue& pool, const base::client_account_id& account,
                                  const account_queue& entry);
    static void insert_into_order(pool_queue& pool, const base::client_account_id& account,
                                  account_queue& entry);
    waiting_request extract(const request_location& location);
    std::optional<waiting_request> extract_for_start(const base::request_id& id);

    queue_options options_;
    std::map<base::pool_id, pool_queue> pools_;
    std::unordered_map<base::request_id, request_location> locations_;
    std::set<std::pair<base::time_point, base::request_id>> deadlines_;
    base::byte_count body_bytes_;
};

template <typename Predicate>
std::vector<waiting_request> queue::remove_if(Predicate predicate) {
    std::vector<base::request_id> ids;
    for (const auto& [id, location] : locations_) {
        if (predicate(location.position->attributes)) {
            ids.push_back(id);
        }
    }
    std::vector<waiting_request> removed;
    for (const base::request_id& id : ids) {
        removed.push_back(*remove(id));
    }
    return removed;
}

} // namespace bluebell::decision
