#pragma once

#include "decision/schedule.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bluebell::bench {

/// How requests get to upstreams.
enum class mode {
    shared,      ///< routers with bids, grants and homes
    central,     ///< one queue with the same order and no message delay
    independent, ///< each router picks the least loaded worker from lagging load reports
};

struct deployment {
    std::string name;
    int routers = 9;
    int workers = 20;
    int slots = 4;
    base::duration delay{};
    /// Cost that one slot produces per second.
    double slot_rate = 240;
    double mean_cost = 600;
};

/// How load falls on accounts and routers.
struct scenario {
    std::string name;
    /// Router that takes a request of an account; `draw` is uniform in [0, 1).
    std::function<int(int account, double draw, int routers)> place;
    /// Offered load of each account relative to its fair share.
    std::function<double(int account, double time_s)> offered;
    /// Account that hints one token for every request, or -1.
    int false_hints = -1;
    bool lose_router = false;
    /// Requests are short calls of a plain service on three workers.
    bool service = false;
    /// Every request is ordinary, of the same cost and with an exact hint, so that differences in the order
    /// are not hidden by those of the requests.
    bool uniform = false;
};

struct figures {
    /// Greatest change of the difference in normalised service of two accounts while both were backlogged.
    double gap = 0;
    /// Busy slot-time over slot-time while work waits.
    double busy = 0;
    /// First waits in ms: median and 95th percentile of each class.
    std::array<std::array<double, 2>, 3> wait_ms{};
    double bytes_per_node_second = 0;
    double messages_per_node_second = 0;
    /// Bytes per node and second of bids, grants, releases, usage and usage totals.
    std::array<double, 5> bytes_by_type{};
    /// Work done, in requests of mean cost.
    double work = 0;
};

/// Size of a control message in cereal's portable binary form with IP and UDP headers: eight bytes for a
/// length, a number or an id, one for a flag, four for a variant index.
std::size_t estimated_bytes(const decision::message& body, std::size_t header_pools);

/// Drives schedules with a manual clock and an ordered queue of timed calls.
/// Thread safety: used by one thread.
class fleet {
public:
    fleet(deployment where, scenario what, mode how, std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    figures run(base::duration length);

private:
    struct router;
    struct job {
        decision::request what;
        int account = 0;
        double cost = 0;
        int worker = -1;
        int at = 0;
        base::time_point started{};
    };
    struct worker {
        std::set<base::request_id> running;
        std::vector<base::request_id> waiting;
    };
    struct timed {
        base::time_point at;
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const timed& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(base::duration delay, std::function<void()> call);
    void start_router(int index);
    void arrive_next(int account);
    void submit(job added);
    void pump(int index);
    void send(int from, decision::outgoing&& message);
    void run_on(const base::request_id& id, int index);
    void finish(const base::request_id& id, std::uint64_t life);
    void poll_load();
    void advance_all();
    void account_time();
    void sample();
    void lose(int index);
    void tell_members();
    [[nodiscard]] double delivered(const job& of) const;

    deployment where_;
    scenario what_;
    mode how_;
    /// Message delays draw from their own generator, so that every mode gets the same load.
    std::mt19937_64 delays_;
    std::vector<std::mt19937_64> loads_;
    base::manual_clock clock_;
    base::time_point start_;
    std::priority_queue<timed> events_;
    std::uint64_t order_ = 0;
    std::shared_ptr<decision::fleet_config> config_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<worker> workers_;
    std::map<base::request_id, job> jobs_;
    std::uint64_t next_id_ = 0;
    std::uint64_t lives_ = 1;
    std::vector<double> weights_;
    std::vector<double> served_;
    std::vector<int> waiting_;
    int waiting_total_ = 0;
    int running_total_ = 0;
    base::time_point counted_{};
    double busy_time_ = 0;
    double slot_time_ = 0;
    std::vector<std::vector<std::array<double, 2>>> ranges_;
    std::array<std::vector<double>, 3> waits_;
    figures result_;
    double bytes_ = 0;
    double messages_ = 0;
};

} // namespace bluebell::bench
