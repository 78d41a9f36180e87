#pragma once

#include "base/id.h"
#include "base/unit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::decision {

enum class pool_kind { model, service };

/// A client account and its share of every pool.
struct client_account {
    base::client_account_id id;
    base::weight share{1.0};
};

/// A model or plain service that a set of upstreams serves.
struct pool {
    base::pool_id id;
    pool_kind kind = pool_kind::model;
    /// Cost that is charged when the caller gives no hint.
    base::cost default_cost{256.0};
};

/// IPv4 address and port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b) {
        return a.address == b.address && a.port == b.port;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) { return !(a == b); }
    friend bool operator<(const endpoint& a, const endpoint& b) {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

/// The form `ADDRESS:PORT`.
std::string to_string(const endpoint& value);
/// Reads `ADDRESS:PORT` with a dotted IPv4 address and a port above zero. Empty if malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// `departing` is the first of the two revisions that withdraw an upstream.
enum class upstream_state { active, departing };

/// One worker process that serves one pool.
struct upstream {
    base::upstream_id id;
    base::pool_id pool;
    base::data_centre_id data_centre;
    endpoint address;
    base::slot_count slots{1};
    upstream_state state = upstream_state::active;
    /// Revision that marked the upstream as departing; zero while it is active.
    base::revision departing_since;
    /// The upstream refuses an order with an old fencing token.
    bool checks_fence = true;
    /// The upstream can continue a broken stream from an offset.
    bool can_resume = true;
};

/// The configuration that one release puts in force.
struct fleet_config {
    base::revision revision;
    std::map<base::client_account_id, client_account> accounts;
    std::map<base::pool_id, pool> pools;
    std::map<base::upstream_id, upstream> upstreams;
};

} // namespace bluebell::decision
