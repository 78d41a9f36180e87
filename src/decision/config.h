#pragma once

#include "base/id.h"
#include "base/unit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bluebell::decision {

/// A pool serves either a model or a plain service.
enum class pool_kind { model, service };

/// A client account and its relative share of every pool.
struct client_account {
    base::client_account_id id;
    base::weight share{1.0};
};

/// A model or plain service that a set of upstreams serves.
struct pool {
    base::pool_id id;
    pool_kind kind = pool_kind::model;
    /// Cost that is charged if the caller gives no hint.
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

/// Returns `ADDRESS:PORT`.
std::string to_string(const endpoint& value);
/// Parses `ADDRESS:PORT` with a dotted IPv4 address and a port above zero. Returns nothing if malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// State of an upstream in a release. An upstream is withdrawn in two revisions: the first marks it as
/// `departing`, the second removes it.
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
    /// Set if the upstream refuses a request with an old fencing token.
    bool checks_fence = true;
    /// Set if the upstream can continue an interrupted stream from an offset.
    bool can_resume = true;
};

/// Configuration of all accounts, pools and upstreams as of one release.
struct fleet_config {
    base::revision revision;
    std::map<base::client_account_id, client_account> accounts;
    std::map<base::pool_id, pool> pools;
    std::map<base::upstream_id, upstream> upstreams;
};

} // namespace bluebell::decision
