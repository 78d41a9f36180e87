#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bluebell::dispatch {

/// Number of tokens: the unit of prompts, answers and the memory of engines.
using token_count = base::quantity<struct token_tag, std::int64_t>;
/// Milliseconds of processing time of an engine.
using engine_ms = base::quantity<struct engine_ms_tag, double>;
using route_id = base::identifier<struct route_tag, std::string>;

/// Whether a request on a route may run more than once.
enum class route_kind {
    safe,      ///< the request may run more than once
    unsafe,    ///< the request runs at most once
    streaming, ///< the answer is a stream of events; runs at most once unless the route is resumable
};

/// A pool and its weight in the random choice among the pools of a route.
struct weighted_pool {
    base::pool_id pool;
    double weight = 1;
};

/// Rules for the requests of one host under one path prefix.
struct route {
    route_id id;
    std::string host;
    /// Ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::unsafe;
    /// Longest pause between two events of a stream that its caller accepts; zero if it accepts any.
    base::duration max_pause{};
    /// Longest time from the arrival of a request to the end of its answer.
    base::duration timeout = std::chrono::seconds(30);
    /// Latency objective: an answer, or the first event of a stream, has its full value within this time.
    base::duration objective = std::chrono::seconds(1);
    /// Upper bound of the upstreams that one request may be sent to.
    std::uint32_t max_attempts = 1;
    /// Priority; zero is the most urgent.
    int priority = 0;
    /// Requests need no key.
    bool anonymous = false;
    /// A broken stream may be continued on another upstream after its last whole event.
    bool resumable = false;
    std::vector<weighted_pool> pools;

    /// Returns true if a request on this route may run more than once.
    [[nodiscard]] bool repeatable() const {
        return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
    }
};

/// Properties of the engines of a pool.
struct engine_traits {
    /// Requests that an engine runs at the same time.
    base::slot_count slots{1};
    /// Memory for running requests and cached prompt parts.
    token_count memory;
    /// Prompt tokens per ms that an engine can copy from the memory of another one; zero if it cannot.
    double copied_tokens_per_ms = 0;
};

/// Upstreams that serve the same requests.
struct pool {
    base::pool_id id;
    /// Connections that one upstream accepts from all routers together.
    std::uint32_t max_connections = 64;
    /// Empty if the upstreams are plain services.
    std::optional<engine_traits> engine;
    /// How long an upstream is cold after it has started.
    base::duration warmup_time{};
    /// Requests that a cold upstream takes from all routers together; zero if cold upstreams are not limited.
    base::request_rate warmup_rate{};
};

/// Limits on the size of requests, and on the time that a caller may take to send one.
struct caller_limits {
    /// Largest size of a request head.
    std::size_t head_bytes = 16384;
    /// Largest size of a request body.
    std::size_t body_bytes = std::size_t{1} << 20U;
    /// Longest time until the head of a request is complete.
    base::duration head_timeout = std::chrono::seconds(3);
    /// Longest time that a connection may be idle between requests.
    base::duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the configuration, immutable once built.
/// Thread safety: may be read from any thread.
class catalogue {
public:
    base::revision version;
    std::vector<route> routes;
    std::map<base::pool_id, pool> pools;
    /// Account of each caller key.
    std::unordered_map<std::string, base::client_account_id> keys;
    caller_limits limits;
    /// Throughput of all engines together. A token read counts once, a token generated twice.
    double tokens_per_s = 0;

    /// Builds the index that `match` uses. To be called once all routes are in place.
    void index();
    /// Returns the route of `host` with the longest prefix of `path`; null if there is none. `host` may
    /// include a port; `path` may include a query.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    /// Returns the pool; null if it is unknown.
    [[nodiscard]] const pool* find(const base::pool_id& id) const;
    /// Returns the properties of the engines of a pool; null if the pool has plain services or is unknown.
    [[nodiscard]] const engine_traits* engine(const base::pool_id& id) const;

private:
    /// Maps `HOST PREFIX` to the index in `routes`.
    std::unordered_map<std::string, std::size_t> by_prefix_;
};

using catalogue_ptr = std::shared_ptr<const catalogue>;

/// Returns the host of a `Host` header field in lower case, without port.
std::string normalise_host(std::string_view host);

} // namespace bluebell::dispatch
