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

/// Number of tokens; prompts, answers and memory of engines are counted in them.
using token_count = base::quantity<struct token_tag, std::int64_t>;
/// Milliseconds of an engine's time.
using engine_ms = base::quantity<struct engine_ms_tag, double>;
using route_id = base::identifier<struct route_tag, std::string>;

/// What may be repeated on a route.
enum class route_kind {
    safe,      ///< may run more than once
    unsafe,    ///< runs at most once
    streaming, ///< a stream of events; runs at most once unless the route may be resumed
};

struct weighted_pool {
    base::pool_id pool;
    double weight = 1;
};

struct route {
    route_id id;
    std::string host;
    std::string prefix;
    route_kind kind = route_kind::unsafe;
    /// Longest time that a request is kept waiting.
    base::duration timeout = std::chrono::seconds(30);
    /// An answer, or the first event of a stream, within this time has its full value.
    base::duration objective = std::chrono::seconds(1);
    /// Upstreams that one request may be sent to.
    std::uint32_t max_attempts = 1;
    /// Zero is the most urgent.
    int priority = 0;
    /// Needs no key.
    bool anonymous = false;
    /// A broken stream may be continued after its last whole event.
    bool resumable = false;
    std::vector<weighted_pool> pools;

    /// The request may run more than once.
    [[nodiscard]] bool repeatable() const {
        return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
    }
};

/// Properties of the engines of a pool.
struct engine_traits {
    base::slot_count slots{1};
    /// Memory for running requests and cached prompt parts.
    token_count memory;
    /// Prompt tokens a ms that an engine can copy from the memory of another one; zero if it cannot.
    double copied_tokens_per_ms = 0;
};

struct pool {
    base::pool_id id;
    /// Connections that one upstream takes from all routers together.
    std::uint32_t max_connections = 64;
    std::optional<engine_traits> engine;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = std::size_t{1} << 20U;
    base::duration head_timeout = std::chrono::seconds(3);
    base::duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the configuration, immutable once built.
/// Thread safety: may be read from any thread.
class catalogue {
public:
    base::revision version;
    std::vector<route> routes;
    std::map<base::pool_id, pool> pools;
    /// Keys of callers and the accounts that hold them.
    std::unordered_map<std::string, base::client_account_id> keys;
    caller_limits limits;
    /// Throughput of all engines together: each token read counts once, each token generated twice.
    double tokens_per_s = 0;

    /// To be called once all routes are in place.
    void index();
    /// The route of `host` with the longest prefix of `path`; null if there is none. `host` may have a port;
    /// `path` may have a query.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const pool* find(const base::pool_id& id) const;
    /// The engines of a pool; null if it is a plain service or unknown.
    [[nodiscard]] const engine_traits* engine(const base::pool_id& id) const;

private:
    /// From `HOST PREFIX` to the position in `routes`.
    std::unordered_map<std::string, std::size_t> by_prefix_;
};

using catalogue_ptr = std::shared_ptr<const catalogue>;

/// Host of a `Host` field in lower case, without port.
std::string normalise_host(std::string_view host);

} // namespace bluebell::dispatch
