#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/config.h"
#include "decision/lease.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebell::decision {

using engine_role = base::identifier<struct engine_role_tag, std::string>;
/// Name and version of a model or adapter that an engine can load.
using artefact_id = base::identifier<struct artefact_tag, std::string>;

/// The state that an engine should have. Orders declare the whole state, so repeating one changes nothing.
struct engine_state {
    engine_role role;
    std::set<artefact_id> loaded;

    friend bool operator==(const engine_state& a, const engine_state& b) {
        return a.role == b.role && a.loaded == b.loaded;
    }
    friend bool operator!=(const engine_state& a, const engine_state& b) { return !(a == b); }
};

/// One order to one engine.
struct order {
    base::pool_id pool;
    base::upstream_id upstream;
    endpoint address;
    engine_state desired;
    /// Fencing token: the epoch of the lease.
    base::epoch fence;
    /// The lease that stands behind the order allows sending before this time only.
    base::time_point send_before;
};

/// Re-check that the sender makes immediately before it writes the order to the connection.
bool may_send(const order& what, base::time_point now);

struct order_settings {
    /// Wait after an acquisition before the first order to an upstream that does not check fencing tokens: an
    /// order that the old holder checked in time may still be on its way.
    base::duration quiet = std::chrono::seconds(6);
    /// Interval between repeats of an order until the load report shows its effect.
    base::duration repeat = std::chrono::seconds(2);
};

/// Decides which orders of one pool may be sent, and with which fencing token.
/// Thread safety: used by one thread.
class order_book {
public:
    explicit order_book(order_settings settings);

    /// The upstreams of the pool; orders to others are dropped, and departing ones get none.
    void configure(const std::vector<upstream>& upstreams);
    /// Sets the state that an upstream should have.
    void declare(const base::upstream_id& id, engine_state desired);
    /// The state that the load report of an upstream shows.
    void observed(const base::upstream_id& id, const engine_state& actual);
    /// An upstream refused an order because of its fencing token. No order is sent under this or an older
    /// epoch again.
    void refused(base::epoch fence);

    /// Orders to send now under `hold`, which is empty while this router may not act on the lease.
    [[nodiscard]] std::vector<order> due(const std::optional<lease_hold>& hold, base::time_point now);

    /// Upstreams whose state differs from the declared one.
    [[nodiscard]] std::size_t pending() const;

private:
    struct target {
        upstream config;
        std::optional<engine_state> desired;
        std::optional<engine_state> actual;
        std::optional<base::time_point> sent;
        base::epoch sent_under;
    };

    [[nodiscard]] bool allowed(const target& to, const lease_hold& hold, base::time_point now) const;

    const order_settings settings_;
    std::map<base::upstream_id, target> targets_;
    base::epoch refused_;
};

} // namespace bluebell::decision
