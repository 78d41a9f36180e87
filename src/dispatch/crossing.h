#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "base/unit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace bluebell::dispatch {

/// What a byte that crosses costs against a caller's waiting. Both prices are in the same currency.
struct crossing_prices {
    /// Price of a gigabyte (10^9 bytes) between data centres; not negative.
    double per_gigabyte = 0.02;
    /// Worth of an hour of a caller's waiting; greater than zero.
    double per_waiting_hour = 4;
};

/// Load of the usable upstreams of one pool in one data centre, as the sums of placed work show it.
struct data_centre_load {
    /// Slots of the usable upstreams.
    double slots = 0;
    /// Share of the slots in use, from zero to one.
    double occupancy = 0;
    /// Mean time until an upstream has worked off what is pending there.
    base::duration pending_time{};
};

/// Why a share has changed.
enum class share_change {
    started,     ///< the first sums of the data centre have arrived
    waiting,     ///< requests wait longer here than crossing costs
    balanced,    ///< crossing saves less than it costs
    expired,     ///< the sums of the data centre are too old
    unavailable, ///< the data centre has no usable upstream
};
std::string_view to_string(share_change value);

/// Share of the requests for a pool that may go to another data centre.
struct crossing_share {
    base::pool_id pool;
    base::data_centre_id to;
    /// From zero to one; empty while the fixed penalty holds, since no sums are known.
    std::optional<double> share;
    share_change reason = share_change::started;

    friend bool operator==(const crossing_share& a, const crossing_share& b) {
        return a.pool == b.pool && a.to == b.to && a.share == b.share && a.reason == b.reason;
    }
};
using crossing_shares_ptr = std::shared_ptr<const std::vector<crossing_share>>;

/// Decides when leaving the data centre pays off for a request, and how many requests may do so.
///
/// All routers of a data centre know the same sums, which are up to half a second old, and would otherwise
/// all move to the same upstreams at once. Therefore each request draws which other data centre it may
/// consider, by shares that change by a bounded amount per second.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class crossing {
public:
    /// Extra cost of another data centre while no round trip to it was measured; covers the bytes as well.
    static constexpr base::duration fixed_penalty = std::chrono::milliseconds(4);
    /// Sums that are older than this show nothing. The reports of a silent router are dropped at this age.
    static constexpr base::duration sums_timeout = std::chrono::milliseconds(1500);
    /// Sums that are older than this let no share rise. Regular ones are up to 0.5 s old.
    static constexpr base::duration late_sums_age = std::chrono::milliseconds(700);
    /// Largest change of a share in one second, and its fall once the sums have expired.
    static constexpr double max_change_per_s = 0.25;
    static constexpr double expiry_per_s = 2;

    /// Data centres that one request may consider. Valid until the next call of a non-const method of the
    /// `crossing` that made it.
    class selection {
    public:
        /// Returns true if the request may go to the data centre.
        [[nodiscard]] bool allows(const base::data_centre_id& data_centre) const;

    private:
        friend class crossing;
        const crossing* owner_ = nullptr;
        const base::pool_id* pool_ = nullptr;
        /// Data centre that was drawn; null for none.
        const base::data_centre_id* drawn_ = nullptr;
        /// The own data centre has no usable upstream.
        bool everywhere_ = false;
    };

    /// `own` is the data centre of this router.
    crossing(base::data_centre_id own, std::uint64_t seed) : own_(std::move(own)), random_(seed) {}

    void set_prices(const crossing_prices& prices) { prices_ = prices; }
    /// Records a measured round trip to an upstream in the data centre.
    void record_round_trip(const base::data_centre_id& data_centre, base::duration time,
                           base::time_point now);
    /// Records when the work that routers of the data centre have placed was last reported.
    void record_sums(const base::data_centre_id& data_centre, base::time_point received_at);
    /// Takes the loads of all data centres with usable upstreams of the pool and corrects the shares. To be
    /// called every few ten to few hundred milliseconds.
    void update(const base::pool_id& pool, const std::map<base::data_centre_id, data_centre_load>& loads,
                base::time_point now);

    /// Time that an upstream in the data centre has to save to be worth the crossing of a request with
    /// `bytes`, its answer included. Zero for the own data centre; large where the load is not known any
    /// more.
    [[nodiscard]] base::duration cost(const base::data_centre_id& data_centre, base::byte_count bytes) const;
    /// Measured round trip beyond that within the own data centre; zero while none was measured.
    [[nodiscard]] base::duration extra_round_trip(const base::data_centre_id& data_centre) const;
    /// Draws which data centres a request with `bytes` may consider.
    [[nodiscard]] selection select(const base::pool_id& pool, base::byte_count bytes);

    /// Records that a request for the pool is sent to the data centre.
    void record_sent(const base::pool_id& pool, const base::data_centre_id& data_centre);

    /// Shares of all pools that were updated, for metrics and the dump.
    [[nodiscard]] std::vector<crossing_share> shares() const;
    /// Measured round trips, smoothed, by data centre.
    [[nodiscard]] std::map<base::data_centre_id, base::duration> round_trips() const;

private:
    /// Smoothed minimum of the round trips to one data centre.
    struct round_trip {
        base::duration smoothed{};
        base::duration window_minimum{};
        base::time_point window_end;
    };
    struct pair {
        /// The sums of the data centre were known at some time, so that the share holds.
        bool controlled = false;
        double share = 0;
        /// Smoothed share of this router's requests that went there.
        double used = 0;
        share_change reason = share_change::started;
        double logged_share = 0;
        base::time_point logged_at;
    };
    struct pool_state {
        bool own_usable = false;
        std::map<base::data_centre_id, pair> pairs;
        /// Smoothed bytes of a request and its answer.
        double typical_bytes = 0;
        std::optional<base::time_point> updated_at;
    };

    [[nodiscard]] base::duration bytes_cost(double bytes) const;
    [[nodiscard]] std::optional<base::duration> sums_age(const base::data_centre_id& data_centre,
                                                         base::time_point now) const;
    [[nodiscard]] bool sums_lost(base::time_point now) const;
    static void log_change(const base::pool_id& pool, const base::data_centre_id& to, pair& changed,
                           base::time_point now);

    const base::data_centre_id own_;
    std::mt19937_64 random_;
    crossing_prices prices_;
    std::map<base::data_centre_id, round_trip> round_trips_;
    std::map<base::data_centre_id, base::time_point> sums_received_at_;
    /// Data centres whose sums had expired at the last update.
    std::set<base::data_centre_id> expired_;
    std::map<base::pool_id, pool_state> pools_;
};

} // namespace bluebell::dispatch
