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
constexpr base::duration warm_up_time = 5s;
constexpr base::duration measured_time = 10s;
constexpr base::duration run_time = 2500ms;
constexpr base::duration progress_interval = 100ms;
constexpr int requests_per_s = 15;
constexpr std::size_t backlogged_accounts = 7;
/// Slots of the peers' upstreams that the router may hold: `free_slots` is more than its bids ask for,
/// `scarce_slots` with the router's own slots fewer than the load needs.
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
    decision::request request;
    request.id = base::request_id(base::uint128{0, number});
    request.account = account_name(account);
    request.pool = pool_name(account);
    request.hint = base::cost(300);
    request.arrived = now;
    request.deadline = now + 1h;
    return request;
}

struct traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;

    void add(const fleet::codec& codec, const decision::envelope& envelope) {
        const base::result<std::vector<std::string>> encoded = codec.encode_split(envelope);
        if (!encoded) {
            throw std::runtime_error("a message could not be encoded");
        }
        for (const std::string& datagram : *encoded) {
            ++messages;
            bytes += datagram.size() + packet_bytes;
        }
    }
};

struct closed_gate final : decision::start_gate {
    [[nodiscard]] bool can_start(const base::upstream_id& /*upstream*/) const override { return false; }
};

/// Fair sharing and permits of one router at the design size. No peer answers, so the traffic includes every
/// repetition.
class isolated_schedule {
public:
    explicit isolated_schedule(std::size_t accounts) : config_(make_config(accounts, design_workers)) {
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

    /// Adds waiting requests. Returns the processor time of one in seconds.
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
        double processor_time = 0;
        const auto ticks = measured_time / tick;
        for (std::int64_t i = 0; i < ticks; ++i) {
            clock_.advance(tick);
            const double before = thread_seconds();
            schedule_.tick(clock_.now());
            const decision::schedule_output output = schedule_.take_output();
            processor_time += thread_seconds() - before;
            for (const decision::outgoing& message : output.messages) {
                sent.add(codec_, {header(), message.body});
            }
        }
        const double time = std::chrono::duration<double>(measured_time).count();
        figures.push_back({"messages sent", "1/s per node", static_cast<double>(sent.messages) / time});
        figures.push_back({"bytes sent", "B/s per node", static_cast<double>(sent.bytes) / time});
        figures.push_back(
            {"processor time of a tick", "us", processor_time / static_cast<double>(ticks) * 1e6});
        figures.push_back({"processor time of all ticks", "% of core", 100 * processor_time / time});
    }

    double configure_seconds = 0;

private:
    decision::message_header header() {
        decision::message_header result;
        result.sender = router_name(0);
        result.incarnation = base::incarnation(1'790'000'000'000);
        result.sequence = 100'000'000;
        result.in_force = base::revision(40'000);
        result.confirmation_age = 2s;
        result.virtual_times = schedule_.virtual_times();
        return result;
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
        isolated_schedule simulated(size);
        const double scheduled = allocated_bytes();
        std::vector<figure> figures{
            {"memory of the configuration", "KB per node", (configured - start) / 1000},
            {"memory of the schedule besides", "KB per node",
             (scheduled - configured - (configured - start)) / 1000},
            {"put a configuration in force", "ms", simulated.configure_seconds * 1000}};
        simulated.add_waiting(backlogged_accounts * 4, backlogged_accounts);
        simulated.run(figures);
        return figures;
    }
};

class backlogged final : public role {
public:
    [[nodiscard]] std::string name() const override { return "backlogged"; }
    [[nodiscard]] std::string size_name() const override { return "backlogged"; }
    [[nodiscard]] std::vector<std::size_t> own_sizes() const override { return {7, 70, 700, 2400}; }

    std::vector<figure> measure(std::size_t size) override {
        isolated_schedule simulated(design_accounts);
        const double before = allocated_bytes();
        const double processor_time = simulated.add_waiting(size, size);
        std::vector<figure> figures{
            {"memory with one request each", "KB per node", (allocated_bytes() - before) / 1000},
            {"processor time of an arrival", "us", processor_time * 1e6}};
        simulated.run(figures);
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
        isolated_schedule simulated(design_accounts);
        const double before = allocated_bytes();
        const double processor_time = simulated.add_waiting(size, waiting_accounts);
        std::vector<figure> figures{{"memory", "KB per node", (allocated_bytes() - before) / 1000},
                                    {"processor time of an arrival", "us", processor_time * 1e6}};
        simulated.run(figures);
        return figures;
    }
};

/// One router of a fleet whose other members only answer: probes with an acknowledgement, bids with a grant
/// while slots are free, usage reports with a total. The numbers of accounts and workers are proportional to
/// the fleet.
class composed final : public role {
public:
    [[nodiscard]] std::string name() const override { return "router"; }

    std::vector<figure> measure(std::size_t nodes) override {
        std::vector<figure> figures;
        const double start = allocated_bytes();
        fixture simulated(nodes);
        simulated.run(warm_up_time, 0);
        if (!simulated.router.ready()) {
            throw std::runtime_error("the router did not become ready");
        }
        figures.push_back({"memory idle", "KB per node", (allocated_bytes() - start) / 1000});
        simulated.measure("idle", 0, figures);
        simulated.run(warm_up_time, requests_per_s);
        simulated.measure("slots free", requests_per_s, figures);
        simulated.slots = scarce_slots;
        simulated.run(warm_up_time, requests_per_s);
        simulated.measure("slots taken", requests_per_s, figures);
        figures.push_back({"memory loaded", "KB per node", (allocated_bytes() - start) / 1000});
        return figures;
    }

private:
    struct fixture {
        struct attempt {
            decision::attempt_key key;
            base::time_point started;
        };

        explicit fixture(std::size_t count) : nodes(count) {
            decision::vms_listed listed;
            for (std::size_t i = 0; i < nodes; ++i) {
                listed.vms.push_back({router_name(i),
                                      base::data_centre_id("data-centre-" + std::to_string(i % data_centres)),
                                      address(i), address(i), false});
            }
            router.handle(std::move(listed), clock.now());
            const auto scaled = [this](std::size_t all) {
                return std::max(pools, all * nodes / design_routers);
            };
            config = make_config(scaled(design_accounts), scaled(design_workers));
            backlog = std::min(backlogged_accounts, config->accounts.size());
            for (const auto& [id, entry] : config->upstreams) {
                free[entry.pool].push_back(id);
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
            decision::router_options result;
            result.self = router_name(0);
            result.incarnation = base::incarnation(1);
            result.member.self = result.self;
            result.member.incarnation = result.incarnation;
            result.member.address = address(0);
            return result;
        }

        void read_release() {
            router.handle(decision::release_read{base::revision(1), config, decision::config_source::store,
                                                 clock.now()},
                          clock.now());
        }

        void receive(std::size_t from, decision::message body) {
            decision::message_received received;
            received.payload.header.sender = router_name(from);
            received.payload.header.incarnation = base::incarnation(1);
            received.payload.header.sequence = ++sequence;
            received.payload.header.in_force = base::revision(1);
            received.payload.header.confirmation_age = 1s;
            received.payload.body = std::move(body);
            received.from = address(from);
            router.handle(received, clock.now());
        }

        [[nodiscard]] std::optional<decision::message> grant_of(const base::pool_id& pool) {
            const std::vector<base::upstream_id>& all = free[pool];
            const base::grant_id id(++grants);
            granted.insert(id);
            return decision::grant{id, pool, all[grants % all.size()], {}};
        }

        /// Returns a peer's answer to a message. The cost of the peer's own decisions is not measured.
        [[nodiscard]] std::optional<decision::message> answer(const decision::message& body) {
            if (const auto* ping = std::get_if<decision::ping>(&body)) {
                decision::ack reply;
                reply.nonce = ping->nonce;
                reply.digest = ping->digest;
                return ping->nonce == 0 ? std::nullopt : std::optional<decision::message>(reply);
            }
            if (const auto* bid = std::get_if<decision::bid>(&body)) {
                return bid->waiting > 0 && granted.size() < slots ? grant_of(bid->pool) : std::nullopt;
            }
            if (const auto* release = std::get_if<decision::release>(&body)) {
                // With all slots taken, the next grant follows the release of a slot.
                const bool next =
                    granted.erase(release->id) > 0 && granted.size() + 1 == slots && !release->unused;
                return next ? grant_of(release->pool) : std::nullopt;
            }
            if (const auto* usage = std::get_if<decision::usage>(&body)) {
                decision::usage_total reply;
                for (const decision::usage_entry& entry : usage->entries) {
                    reply.entries.push_back({entry.pool, entry.account, entry.own_total, entry.own_total,
                                             entry.backlogged, false});
                }
                return reply;
            }
            return std::nullopt;
        }

        void step(int load, std::int64_t index) {
            clock.advance(tick);
            const double before = thread_seconds();
            if (load > 0 && index % (1s / tick / load) == 0) {
                ++requests;
                decision::request request = make_request(requests, requests % backlog, clock.now());
                router.handle(decision::request_arrived{std::move(request), nullptr}, clock.now());
            }
            while (!running.empty() && running.front().started + run_time <= clock.now()) {
                const decision::attempt_key key = running.front().key;
                running.pop_front();
                decision::attempt_end end;
                end.spent = base::cost(300);
                router.handle(decision::attempt_ended{key, end}, clock.now());
                ++ended;
            }
            if (index % (progress_interval / tick) == 0) {
                for (const attempt& entry : running) {
                    const double progress = std::chrono::duration<double>(clock.now() - entry.started) /
                                            std::chrono::duration<double>(run_time);
                    router.handle(decision::attempt_progress{entry.key, base::cost(300 * progress)},
                                  clock.now());
                }
            }
            // A peer probes this router twice a second.
            if (nodes > 1 && index % (500ms / tick) == 0) {
                receive(1 + static_cast<std::size_t>(index) % (nodes - 1), decision::ping{});
            }
            router.tick(clock.now());
            const decision::router_output out = router.take();
            processor_time += thread_seconds() - before;
            apply_output(out);
        }

        void apply_output(const decision::router_output& out) {
            for (const decision::transport_command& entry : out.transport) {
                if (const auto* started = std::get_if<decision::dispatch>(&entry)) {
                    running.push_back({started->attempt, clock.now()});
                }
            }
            for (const decision::datagram& entry : out.datagrams) {
                sent.add(codec, entry.payload);
                const std::optional<decision::message> reply = answer(entry.payload.body);
                if (reply) {
                    const double before = thread_seconds();
                    receive(index_of(entry.to), *reply);
                    processor_time += thread_seconds() - before;
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
            processor_time = 0;
            ended = 0;
            run(measured_time, load);
            const double time = std::chrono::duration<double>(measured_time).count();
            figures.push_back(
                {"messages sent, " + state, "1/s per node", static_cast<double>(sent.messages) / time});
            figures.push_back(
                {"bytes sent, " + state, "B/s per node", static_cast<double>(sent.bytes) / time});
            figures.push_back({"decider, " + state, "% of core", 100 * processor_time / time});
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
        double processor_time = 0;
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
