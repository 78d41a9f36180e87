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

/// How requests are assigned to upstreams.
enum class mode {
    shared,      ///< routers with bids, grants and usage owners
    central,     ///< one router, so one queue with the same order and no message delay
    independent, ///< each router picks the least loaded worker from lagging load reports
};

/// Size and speed of a simulated fleet with one pool.
struct deployment {
    std::string name;
    int routers = 9;
    int workers = 20;
    /// Slots of each worker.
    int slots = 4;
    /// One-way delay of a message.
    base::duration delay{};
    /// Cost that one slot produces per second.
    double slot_rate = 240;
    double mean_cost = 600;
};

/// Distribution of the load over accounts and routers.
struct scenario {
    std::string name;
    /// Returns the index of the router that receives a request of an account; `draw` is uniform in [0, 1).
    std::function<int(int account, double draw, int routers)> place;
    /// Returns the offered load of an account relative to its fair share.
    std::function<double(int account, double time_s)> offered;
    /// Account that gives a hint of one token for every request, or -1.
    int false_hint_account = -1;
    /// Router 0 fails after a third of the run and restarts after two thirds; in mode `shared` only.
    bool lose_router = false;
    /// Requests are short calls to a plain service on three workers.
    bool service = false;
    /// Every request is of the ordinary class and has an exact hint, so that differences in the order are not
    /// hidden by differences between requests.
    bool uniform = false;
};

/// Results of a run.
struct figures {
    /// Largest change of the difference in normalised service between two accounts while both were
    /// backlogged.
    double gap = 0;
    /// Fraction of slot time that is busy while work waits.
    double busy = 0;
    /// Waits until the first start in ms: median and 95th percentile of each class.
    std::array<std::array<double, 2>, 3> wait_ms{};
    double bytes_per_node_second = 0;
    double messages_per_node_second = 0;
    /// Bytes per node and second of bids, grants, releases, usage and usage totals.
    std::array<double, 5> bytes_by_type{};
    /// Work done, in requests of mean cost.
    double work = 0;
};

/// Returns the size of a control message in cereal's portable binary form with IP and UDP headers: eight
/// bytes for a length, a number or an id, one for a flag, four for a variant index.
std::size_t estimated_bytes(const decision::message& body, std::size_t header_pools);

/// Simulates a fleet: runs the schedules of its routers with a manual clock and an ordered queue of timed
/// calls.
/// Thread safety: used by one thread.
class fleet {
public:
    /// `seed` determines arrivals, costs, hints and message delays.
    fleet(deployment size, scenario load, mode dispatch_mode, std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Runs for a simulated time. Call once.
    figures run(base::duration length);

private:
    struct router;
    struct request_state {
        decision::request request;
        int account = 0;
        double cost = 0;
        /// -1 while the request waits.
        int worker_index = -1;
        int router_index = 0;
        base::time_point started{};
    };
    struct worker {
        std::set<base::request_id> running;
        std::vector<base::request_id> waiting;
    };
    struct timed_call {
        base::time_point time;
        std::uint64_t number = 0;
        std::function<void()> call;
        bool operator<(const timed_call& other) const {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    void call_after(base::duration delay, std::function<void()> call);
    void start_router(int index);
    void schedule_arrival(int account);
    void submit(request_state state);
    void process_output(int index);
    void send(int from, decision::outgoing&& message);
    void start_on_worker(const base::request_id& id, int index);
    void finish(const base::request_id& id, std::uint64_t incarnation);
    void poll_load();
    void report_progress();
    void account_slot_time();
    void sample_gap();
    void fail_router(int index);
    void update_members();
    [[nodiscard]] double delivered(const request_state& entry) const;

    deployment deployment_;
    scenario scenario_;
    mode mode_;
    /// Message delays have their own generator, so that every mode gets the same load.
    std::mt19937_64 delay_random_;
    std::vector<std::mt19937_64> load_random_;
    base::manual_clock clock_;
    base::time_point start_;
    std::priority_queue<timed_call> events_;
    std::uint64_t last_call_number_ = 0;
    std::shared_ptr<decision::fleet_config> config_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<worker> workers_;
    std::map<base::request_id, request_state> requests_;
    std::uint64_t next_id_ = 0;
    std::uint64_t last_incarnation_ = 1;
    std::vector<double> weights_;
    std::vector<double> served_;
    std::vector<int> waiting_;
    int waiting_total_ = 0;
    int running_total_ = 0;
    base::time_point accounted_until_{};
    double busy_time_ = 0;
    double slot_time_ = 0;
    std::vector<std::vector<std::array<double, 2>>> difference_ranges_;
    std::array<std::vector<double>, 3> first_waits_ms_;
    figures result_;
    double bytes_ = 0;
    double messages_ = 0;
};

} // namespace bluebell::bench
