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

/// The part that an engine plays in its pool, for example "decode".
using engine_role = base::identifier<struct engine_role_tag, std::string>;
/// Name and version of a model or adapter that an engine can load.
using artefact_id = base::identifier<struct artefact_tag, std::string>;

/// The state that an engine should have. An order declares the whole state, so repeating it changes nothing.
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
    /// The lease allows sending the order only before this time.
    base::time_point send_before;
};

/// Returns true if the order may still be sent. The sender checks this immediately before it writes the order
/// to the connection.
bool may_send(const order& candidate, base::time_point now);

struct order_settings {
    /// Time between an acquisition and the first order to an upstream that does not check fencing tokens: an
    /// order that the previous holder checked in time may still be in transit.
    base::duration quiet_period = std::chrono::seconds(6);
    /// Interval between repeats of an order until the load report shows its effect.
    base::duration repeat_interval = std::chrono::seconds(2);
};

/// Decides which orders of one pool may be sent, and with which fencing token.
/// Thread safety: used by one thread.
class order_book {
public:
    explicit order_book(order_settings settings);

    /// Sets the upstreams of the pool. Orders for other upstreams are dropped, and departing upstreams get
    /// none.
    void configure(const std::vector<upstream>& upstreams);
    /// Sets the state that an upstream should have. Unknown upstreams are ignored.
    void set_desired(const base::upstream_id& id, engine_state desired);
    /// Records the state that the load report of an upstream shows. Unknown upstreams are ignored.
    void on_load_report(const base::upstream_id& id, const engine_state& actual);
    /// Records that an upstream refused an order because of its fencing token. No order is sent under this or
    /// an older epoch again.
    void on_fence_refused(base::epoch fence);

    /// Returns the orders to send now under `hold` and counts them as sent. `hold` is empty while this router
    /// may not act on the lease.
    [[nodiscard]] std::vector<order> take_due(const std::optional<lease_hold>& hold, base::time_point now);

    /// Number of upstreams whose state differs from the desired one.
    [[nodiscard]] std::size_t pending_count() const;

private:
    struct target {
        upstream config;
        std::optional<engine_state> desired;
        std::optional<engine_state> actual;
        std::optional<base::time_point> last_sent_at;
        base::epoch last_fence;
    };

    [[nodiscard]] bool is_due(const target& entry, const lease_hold& hold, base::time_point now) const;

    const order_settings settings_;
    std::map<base::upstream_id, target> targets_;
    base::epoch highest_refused_;
};

} // namespace bluebell::decision
