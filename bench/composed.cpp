#include "bench/role.h"
#include "decision/router.h"
#include "fleet/codec.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t design_routers = 350;
constexpr std::size_t design_workers = 730;
constexpr std::size_t design_accounts = 24'000;
constexpr std::size_t pools = 9;
constexpr std::size_t data_centres = 7;
/// IP and UDP headers.
constexpr std::size_t packet_bytes = 28;
constexpr base::duration tick = decision::schedule::tick_interval;
constexpr base::duration settle_time = 5s;
constexpr base::duration measured_time = 10s;
constexpr base::duration run_time = 2500ms;
constexpr base::duration progress_interval = 100ms;
constexpr int requests_per_s = 15;
constexpr std::size_t backlogged_accounts = 7;
/// More than bids ask for; and, with the own ones, fewer than the load needs.
constexpr std::size_t free_slots = 1000;
constexpr std::size_t scarce_slots = 20;

base::pool_id pool_name(std::size_t index) {
    return base::pool_id("model-" + std::to_string(index % pools));
}

base::client_account_id account_name(std::size_t index) {
    return base::client_account_id("account-" + std::to_string(index));
}

base::vm_id router_name(std::size_t index) {
    return base::vm_id("entry-" + std::to_string(index));
}

std::shared_ptr<decision::fleet_config> make_config(std::size_t accounts, std::size_t workers) {
    const std::shared_ptr<decision::fleet_config> config = std::make_shared<decision::fleet_config>();
    config->revision = base::revision(1);
    for (std::size_t i = 0; i < pools; ++i) {
        config->pools[pool_name(i)] =
            decision::pool{pool_name(i), decision::pool_kind::model, base::cost(300)};
    }
    for (std::size_t i = 0; i < accounts; ++i) {
        config->accounts[account_name(i)] = decision::client_account{account_name(i), base::weight(1)};
    }
    for (std::size_t i = 0; i < workers; ++i) {
        decision::upstream item;
        item.id = base::upstream_id("worker-" + std::to_string(i));
        item.pool = pool_name(i);
        item.slots = base::slot_count(8);
        config->upstreams[item.id] = item;
    }
    return config;
}

decision::request make_request(std::uint64_t number, std::size_t account, base::time_point now) {
    decision::request what;
    what.id = base::request_id(base::uint128{0, number});
    what.account = account_name(account);
    what.pool = pool_name(account);
    what.hint = base::cost(300);
    what.arrived = now;
    what.deadline = now + 1h;
    return what;
}

struct traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;

    void add(const fleet::codec& codec, const decision::envelope& what) {
        const base::result<std::vector<std::string>> encoded = codec.encode_split(what);
        if (!encoded) {
            throw std::runtime_error("a message could not be encoded");
        }
        for (const std::string& each : *encoded) {
            ++messages;
            bytes += each.size() + packet_bytes;
        }
    }
};

struct closed_gate final : decision::start_gate {
    [[nodiscard]] bool can_start(const base::upstream_id& /*upstream*/) const override { return false; }
};

/// Fair sharing and permits of one of the routers at the design size, none of whose peers answers: the
/// traffic then includes every repetition.
class lone_schedule {
public:
    explicit lone_schedule(std::size_t accounts) : config_(make_config(accounts, design_workers)) {
        decision::schedule_members members;
        members.listed_count = design_routers;
        for (std::size_t i = 0; i < design_routers; ++i) {
            members.live.push_back(router_name(i));
        }
        schedule_.set_members(members, clock_.now());
        const double before = thread_seconds();
        schedule_.configure(config_, clock_.now());
        configure_seconds = thread_seconds() - before;
    }

    /// Processor time of each request in seconds.
    double add_waiting(std::size_t requests, std::size_t accounts) {
        const double before = thread_seconds();
        for (std::size_t i = 0; i < requests; ++i) {
            if (!schedule_.enqueue(make_request(i, i % accounts, clock_.now()), clock_.now())) {
                throw std::runtime_error("a request was refused");
            }
        }
        return (thread_seconds() - before) / static_cast<double>(requests);
    }

    void run(std::vector<figure>& figures) {
        traffic sent;
        double used = 0;
        const auto ticks = measured_time / tick;
        for (std::int64_t i = 0; i < ticks; ++i) {
            clock_.advance(tick);
            const double before = thread_seconds();
            schedule_.tick(clock_.now());
            const decision::schedule_output decided = schedule_.take_output();
            used += thread_seconds() - before;
            for (const decision::outgoing& each : decided.messages) {
                sent.add(codec_, {header(), each.body});
            }
        }
        const double time = std::chrono::duration<double>(measured_time).count();
        figures.push_back({"messages sent", "1/s per node", static_cast<double>(sent.messages) / time});
        figures.push_back({"bytes sent", "B/s per node", static_cast<double>(sent.bytes) / time});
        figures.push_back({"processor time of a tick", "us", used / static_cast<double>(ticks) * 1e6});
        figures.push_back({"processor time of all ticks", "% of core", 100 * used / time});
    }

    double configure_seconds = 0;

private:
    decision::message_header header() {
        decision::message_header what;
        what.sender = router_name(0);
        what.incarnation = base::incarnation(1'790'000'000'000);
        what.sequence = 100'000'000;
        what.in_force = base::revision(40'000);
        what.confirmation_age = 2s;
        what.virtual_times = schedule_.virtual_times();
        return what;
    }

    base::manual_clock clock_;
    closed_gate gate_;
    fleet::codec codec_{"fleet"};
    std::shared_ptr<const decision::fleet_config> config_;
    decision::schedule schedule_{router_name(0), base::incarnation(1), decision::schedule_options{}, gate_};
};

class accounts final : public role {
public:
    [[nodiscard]] std::string name() const override { return "accounts"; }
    [[nodiscard]] std::string size_name() const override { return "accounts"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {2400, 8000, 24'000}; }

    std::vector<figure> measure(std::size_t size) override {
        const double start = allocated_bytes();
        const std::shared_ptr<const decision::fleet_config> config = make_config(size, design_workers);
        const double configured = allocated_bytes();
        lone_schedule one(size);
        const double scheduled = allocated_bytes();
        std::vector<figure> figures{
            {"memory of the configuration", "KB per node", (configured - start) / 1000},
            {"memory of the schedule besides", "KB per node",
             (scheduled - configured - (configured - start)) / 1000},
            {"put a configuration in force", "ms", one.configure_seconds * 1000}};
        one.add_waiting(backlogged_accounts * 4, backlogged_accounts);
        one.run(figures);
        return figures;
    }
};

class backlogged final : public role {
public:
    [[nodiscard]] std::string name() const override { return "backlogged"; }
    [[nodiscard]] std::string size_name() const override { return "backlogged"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {7, 70, 700, 2400}; }

    std::vector<figure> measure(std::size_t size) override {
        lone_schedule one(design_accounts);
        const double before = allocated_bytes();
        const double used = one.add_waiting(size, size);
        std::vector<figure> figures{
            {"memory with one request each", "KB per node", (allocated_bytes() - before) / 1000},
            {"processor time of an arrival", "us", used * 1e6}};
        one.run(figures);
        figures.push_back({"memory after 10 s", "KB per node", (allocated_bytes() - before) / 1000});
        return figures;
    }
};

class waiting final : public role {
public:
    [[nodiscard]] std::string name() const override { return "waiting"; }
    [[nodiscard]] std::string size_name() const override { return "waiting"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {700, 7000, 28'000}; }

    std::vector<figure> measure(std::size_t size) override {
        constexpr std::size_t waiting_accounts = 700;
        lone_schedule one(design_accounts);
        const double before = allocated_bytes();
        const double used = one.add_waiting(size, waiting_accounts);
        std::vector<figure> figures{{"memory", "KB per node", (allocated_bytes() - before) / 1000},
                                    {"processor time of an arrival", "us", used * 1e6}};
        one.run(figures);
        return figures;
    }
};

/// One router of a fleet whose other members only answer: probes, bids with a grant while slots are free,
/// reports with a total. Accounts and workers grow with the fleet as at the design size.
class composed final : public role {
public:
    [[nodiscard]] std::string name() const override { return "router"; }

    std::vector<figure> measure(std::size_t nodes) override {
        std::vector<figure> figures;
        const double start = allocated_bytes();
        bed one(nodes);
        one.run(settle_time, 0);
        if (!one.router.ready()) {
            throw std::runtime_error("the router did not become ready");
        }
        figures.push_back({"memory idle", "KB per node", (allocated_bytes() - start) / 1000});
        one.measure("idle", 0, figures);
        one.run(settle_time, requests_per_s);
        one.measure("slots free", requests_per_s, figures);
        one.slots = scarce_slots;
        one.run(settle_time, requests_per_s);
        one.measure("slots taken", requests_per_s, figures);
        figures.push_back({"memory loaded", "KB per node", (allocated_bytes() - start) / 1000});
        return figures;
    }

private:
    struct bed {
        struct attempt {
            decision::attempt_key key;
            base::time_point started;
        };

        explicit bed(std::size_t count) : nodes(count) {
            decision::vms_listed listed;
            for (std::size_t i = 0; i < nodes; ++i) {
                listed.vms.push_back({router_name(i),
                                      base::data_centre_id("data-centre-" + std::to_string(i % data_centres)),
                                      address(i), address(i), false});
            }
            router.handle(std::move(listed), clock.now());
            const auto part = [this](std::size_t all) {
                return std::max(pools, all * nodes / design_routers);
            };
            config = make_config(part(design_accounts), part(design_workers));
            backlog = std::min(backlogged_accounts, config->accounts.size());
            for (const auto& [id, each] : config->upstreams) {
                free[each.pool].push_back(id);
            }
            for (std::size_t i = 1; i < nodes; ++i) {
                receive(i, decision::ping{});
            }
            read_release();
            clock.advance(tick);
            read_release();
        }

        static decision::endpoint address(std::size_t index) {
            return {"10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7000};
        }

        static decision::router_options options() {
            decision::router_options what;
            what.self = router_name(0);
            what.incarnation = base::incarnation(1);
            what.member.self = what.self;
            what.member.incarnation = what.incarnation;
            what.member.address = address(0);
            return what;
        }

        void read_release() {
            router.handle(decision::release_read{base::revision(1), config, decision::config_source::store,
                                                 clock.now()},
                          clock.now());
        }

        void receive(std::size_t from, decision::message body) {
            decision::message_received what;
            what.payload.header.sender = router_name(from);
            what.payload.header.incarnation = base::incarnation(1);
            what.payload.header.sequence = ++sequence;
            what.payload.header.in_force = base::revision(1);
            what.payload.header.confirmation_age = 1s;
            what.payload.body = std::move(body);
            what.from = address(from);
            router.handle(what, clock.now());
        }

        [[nodiscard]] std::optional<decision::message> grant_of(const base::pool_id& pool) {
            const std::vector<base::upstream_id>& all = free[pool];
            const base::grant_id id(++grants);
            granted.insert(id);
            return decision::grant{id, pool, all[grants % all.size()], {}};
        }

        /// What the peer does with a message; the cost of its own decisions is not part of the measurement.
        [[nodiscard]] std::optional<decision::message> answer(const decision::message& body) {
            if (const auto* probed = std::get_if<decision::ping>(&body)) {
                decision::ack back;
                back.nonce = probed->nonce;
                back.digest = probed->digest;
                return probed->nonce == 0 ? std::nullopt : std::optional<decision::message>(back);
            }
            if (const auto* asked = std::get_if<decision::bid>(&body)) {
                return asked->waiting > 0 && granted.size() < slots ? grant_of(asked->pool) : std::nullopt;
            }
            if (const auto* freed = std::get_if<decision::release>(&body)) {
                // With all slots taken, the next grant follows the release of a slot.
                const bool next =
                    granted.erase(freed->id) > 0 && granted.size() + 1 == slots && !freed->unused;
                return next ? grant_of(freed->pool) : std::nullopt;
            }
            if (const auto* told = std::get_if<decision::usage>(&body)) {
                decision::usage_total back;
                for (const decision::usage_entry& each : told->entries) {
                    back.entries.push_back(
                        {each.pool, each.account, each.own_total, each.own_total, each.backlogged, false});
                }
                return back;
            }
            return std::nullopt;
        }

        void step(int load, std::int64_t index) {
            clock.advance(tick);
            const double before = thread_seconds();
            if (load > 0 && index % (1s / tick / load) == 0) {
                ++requests;
                decision::request what = make_request(requests, requests % backlog, clock.now());
                router.handle(decision::request_arrived{std::move(what), nullptr}, clock.now());
            }
            while (!running.empty() && running.front().started + run_time <= clock.now()) {
                const decision::attempt_key key = running.front().key;
                running.pop_front();
                decision::attempt_end how;
                how.spent = base::cost(300);
                router.handle(decision::attempt_ended{key, how}, clock.now());
                ++ended;
            }
            if (index % (progress_interval / tick) == 0) {
                for (const attempt& each : running) {
                    const double part = std::chrono::duration<double>(clock.now() - each.started) /
                                        std::chrono::duration<double>(run_time);
                    router.handle(decision::attempt_progress{each.key, base::cost(300 * part)}, clock.now());
                }
            }
            // A peer's probe twice a second.
            if (nodes > 1 && index % (500ms / tick) == 0) {
                receive(1 + static_cast<std::size_t>(index) % (nodes - 1), decision::ping{});
            }
            router.tick(clock.now());
            const decision::router_output out = router.take();
            used += thread_seconds() - before;
            carry_out(out);
        }

        void carry_out(const decision::router_output& out) {
            for (const decision::transport_command& each : out.transport) {
                if (const auto* started = std::get_if<decision::dispatch>(&each)) {
                    running.push_back({started->attempt, clock.now()});
                }
            }
            for (const decision::datagram& each : out.datagrams) {
                sent.add(codec, each.payload);
                const std::optional<decision::message> back = answer(each.payload.body);
                if (back) {
                    const double before = thread_seconds();
                    receive(index_of(each.to), *back);
                    used += thread_seconds() - before;
                }
            }
        }

        static std::size_t index_of(const decision::endpoint& to) {
            const std::size_t last = to.address.rfind('.');
            const std::size_t third = to.address.rfind('.', last - 1);
            return std::stoul(to.address.substr(third + 1)) * 200 + std::stoul(to.address.substr(last + 1));
        }

        void run(base::duration length, int load) {
            for (std::int64_t i = 0; i < length / tick; ++i) {
                step(load, i);
            }
        }

        void measure(const std::string& state, int load, std::vector<figure>& figures) {
            sent = {};
            used = 0;
            ended = 0;
            run(measured_time, load);
            const double time = std::chrono::duration<double>(measured_time).count();
            figures.push_back(
                {"messages sent, " + state, "1/s per node", static_cast<double>(sent.messages) / time});
            figures.push_back(
                {"bytes sent, " + state, "B/s per node", static_cast<double>(sent.bytes) / time});
            figures.push_back({"decider, " + state, "% of core", 100 * used / time});
            if (load > 0) {
                figures.push_back(
                    {"requests ended, " + state, "1/s per node", static_cast<double>(ended) / time});
            }
        }

        std::size_t nodes;
        base::manual_clock clock;
        fleet::codec codec{"fleet"};
        std::shared_ptr<const decision::fleet_config> config;
        decision::router router{options(), clock.now()};
        std::map<base::pool_id, std::vector<base::upstream_id>> free;
        std::deque<attempt> running;
        std::size_t backlog = 1;
        /// Slots of the peers' upstreams that this router may hold.
        std::size_t slots = free_slots;
        std::set<base::grant_id> granted;
        traffic sent;
        std::size_t ended = 0;
        double used = 0;
        std::uint64_t sequence = 0;
        std::uint64_t grants = 0;
        std::uint64_t requests = 0;
    };
};

} // namespace

std::unique_ptr<role> make_accounts() {
    return std::make_unique<accounts>();
}

std::unique_ptr<role> make_backlogged() {
    return std::make_unique<backlogged>();
}

std::unique_ptr<role> make_waiting() {
    return std::make_unique<waiting>();
}

std::unique_ptr<role> make_composed() {
    return std::make_unique<composed>();
}

} // namespace bluebell::bench
