#include "decision/router.h"
#include "store/journal.h"
#include "tests/fake.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

using base::error_code;

/// Caller of one request; records the verdict and the number of runs.
class recorded_exchange final : public exchange {
public:
    [[nodiscard]] const content& request_content() const override { return content_; }
    void begin(const answer_head& /*head*/) override {}
    [[nodiscard]] bool deliver(std::string /*bytes*/) override { return true; }
    void finish(const verdict& received_verdict) override {
        ++finish_count;
        final_verdict = received_verdict;
    }

    int finish_count = 0;
    int run_count = 0;
    /// Set if the router that had the request was killed; the caller then sees a broken connection.
    bool router_killed = false;
    verdict final_verdict;

private:
    content content_;
};
using exchange_ptr = std::shared_ptr<recorded_exchange>;

/// A request with the exchange that records its verdict.
struct sent_request {
    request attributes;
    exchange_ptr caller;
};

/// A simulated router with its journal writer and its faults.
struct node {
    base::vm_id id;
    std::unique_ptr<router> decisions;
    std::unique_ptr<store::journal_writer> writer;
    std::vector<event> queued_events;
    std::set<attempt_key> running;
    base::incarnation incarnation;
    std::shared_ptr<const fleet_config> in_force;
    base::time_point next_read_at;
    bool watches_release = false;
    bool paused = false;
    bool network_cut = false;
    bool store_cut = false;
};

/// Simulates several routers with a manual clock, one store, a network with faults, and upstreams that count
/// runs.
class router_cluster {
public:
    using upstream_function = std::function<attempt_status(const dispatch&)>;

    explicit router_cluster(std::size_t count, std::uint64_t seed = 1)
        : store(seed), random_(seed), nodes_(count) {
        config_ = std::make_shared<fleet_config>();
        config_->revision = base::revision(1);
        config_->accounts[account] = {account, base::weight(1)};
        config_->pools[pool_name] = {pool_name, pool_kind::service, base::cost(10)};
        for (int i = 0; i < 3; ++i) {
            upstream added;
            added.id = base::upstream_id("w" + std::to_string(i));
            added.pool = pool_name;
            added.slots = base::slot_count(4);
            config_->upstreams[added.id] = added;
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes_[i].id = base::vm_id("vm" + std::to_string(i));
            start(i);
        }
        run(3s);
    }

    /// Starts or restarts a router with empty state.
    void start(std::size_t index) {
        node& target = nodes_[index];
        kill(index);
        target.incarnation = base::incarnation(++start_count_);
        target.paused = false;
        target.in_force.reset();
        target.next_read_at = clock.now() + 30s;
        target.watches_release = false;
        router_options options;
        options.self = options.member.self = target.id;
        options.incarnation = options.member.incarnation = target.incarnation;
        options.member.address = address_of(index);
        options.seed = options.member.seed = random_();
        options.claims.partitions = options.journal.partitions = 4;
        options.drain.limit = 5s;
        options.drain.grace = grace;
        options.retry = retry;
        target.decisions = std::make_unique<router>(options, clock.now());
        store::journal_settings settings;
        settings.budget = 0ms;
        target.writer = std::make_unique<store::journal_writer>(store, clock, settings, random_());
        target.decisions->handle(vms_listed{vm_list()}, clock.now());
        read_release(index);
        read_release(index);
    }
    void kill(std::size_t index) {
        node& target = nodes_[index];
        target.decisions.reset();
        target.queued_events.clear();
        target.running.clear();
        for (sent_request& sent : sent_) {
            if (router_of_request_[sent.attributes.id] == index && sent.caller->finish_count == 0) {
                sent.caller->router_killed = true;
            }
        }
    }
    /// Reads the release head from the store, or from a peer if the store does not answer.
    void read_release(std::size_t index, const std::optional<endpoint>& peer = {}) {
        nodes_[index].next_read_at = clock.now() + 30s;
        if (!store.faults.outage && !nodes_[index].store_cut) {
            deliver_after(20ms, index,
                          release_read{config_->revision, config_, config_source::store, clock.now()});
        } else if (peer) {
            const node& peer_node = nodes_[index_of(*peer)];
            if (peer_node.in_force && peer_node.decisions && !peer_node.paused && !peer_node.network_cut &&
                !nodes_[index].network_cut) {
                deliver_after(20ms, index,
                              release_read{peer_node.in_force->revision, peer_node.in_force,
                                           config_source::peer, clock.now()});
            }
        }
    }
    /// Publishes a new revision, which watching routers read at once.
    void publish(const std::function<void(fleet_config&)>& change) {
        config_ = std::make_shared<fleet_config>(*config_);
        config_->revision += base::revision(1);
        change(*config_);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].watches_release) {
                read_release(i);
            }
        }
    }

    sent_request send(std::size_t index, std::optional<std::uint64_t> key = {}, std::uint64_t body = 0,
                      base::duration limit = 20s) {
        sent_request sent;
        sent.attributes.id = base::request_id(base::uint128{7, ++requests_});
        sent.attributes.account = account;
        sent.attributes.pool = pool_name;
        sent.attributes.hint = base::cost(10);
        sent.attributes.arrived = clock.now();
        sent.attributes.deadline = clock.now() + limit;
        sent.attributes.body_fingerprint = base::fingerprint(body == 0 ? 1000 + requests_ : body);
        if (key) {
            sent.attributes.repeatable = false;
            sent.attributes.key = base::key_hash(base::uint128{*key * 0x9e3779b97f4a7c15ULL, *key});
        }
        sent.caller = std::make_shared<recorded_exchange>();
        sent_.push_back(sent);
        router_of_request_[sent.attributes.id] = index;
        deliver(index, request_arrived{sent.attributes, sent.caller});
        return sent;
    }
    /// Delivers an event to a router, or queues it while the router is paused.
    void deliver(std::size_t index, const event& input) {
        node& target = nodes_[index];
        if (!target.decisions) {
            return;
        }
        if (target.paused) {
            target.queued_events.push_back(input);
            return;
        }
        target.decisions->handle(input, clock.now());
        carry_out(index);
    }
    /// Ends the pause of a router and delivers the queued events.
    void resume(std::size_t index) {
        nodes_[index].paused = false;
        for (const event& queued : std::exchange(nodes_[index].queued_events, {})) {
            deliver(index, queued);
        }
    }
    void run(base::duration time) {
        for (const base::time_point end = clock.now() + time; clock.now() < end;) {
            clock.advance(schedule::tick_interval);
            while (!scheduled_actions_.empty() && scheduled_actions_.begin()->first <= clock.now()) {
                const std::function<void()> action = scheduled_actions_.begin()->second;
                scheduled_actions_.erase(scheduled_actions_.begin());
                action();
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].decisions && !nodes_[i].paused) {
                    nodes_[i].decisions->tick(clock.now());
                    carry_out(i);
                    if (clock.now() >= nodes_[i].next_read_at) {
                        read_release(i);
                    }
                }
            }
        }
    }
    /// Ends all faults and restarts the routers that were killed.
    void heal() {
        store.faults = {};
        loss_rate = duplication_rate = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].network_cut = nodes_[i].store_cut = false;
            if (!nodes_[i].decisions) {
                start(i);
            }
            resume(i);
        }
    }
    /// Checks the invariants that hold after any sequence of events: one verdict per request, no run of a
    /// request that is reported as `not_run`, at most one run per key, and ascending revisions.
    /// Pre-condition: every deadline has passed.
    void check() const {
        for (const sent_request& sent : sent_) {
            CAPTURE(sent.attributes.id);
            CHECK(sent.caller->finish_count == (sent.caller->router_killed ? 0 : 1));
            if (sent.caller->finish_count > 0 && sent.caller->final_verdict.result == outcome::not_run) {
                CHECK(sent.caller->run_count == 0);
            }
        }
        for (const auto& [key, runs] : runs_by_key) {
            CAPTURE(key);
            CHECK(runs <= 1);
        }
        CHECK(regressions == 0);
    }
    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }

    const base::client_account_id account{"acme"};
    const base::pool_id pool_name{"posting"};
    base::manual_clock clock;
    test::fake_store store;
    retry_settings retry;
    /// Time from the signal to stop until the process is killed, of routers that are started.
    base::duration grace = 24h;
    double loss_rate = 0;
    double duplication_rate = 0;
    base::duration service_time = 100ms;
    upstream_function run_on_upstream = [](const dispatch&) { return attempt_status::completed; };
    /// Cause of interrupted attempts.
    error_code interruption_cause = error_code::upstream_closed_connection;
    std::map<base::key_hash, int> runs_by_key;
    std::map<base::upstream_id, std::vector<base::time_point>> starts_by_upstream;
    int regressions = 0;

private:
    static endpoint address_of(std::size_t index) { return {"10.0.0." + std::to_string(index + 1), 7000}; }
    static std::size_t index_of(const endpoint& address) { return std::stoul(address.address.substr(7)) - 1; }
    [[nodiscard]] std::vector<vm_entry> vm_list() const {
        std::vector<vm_entry> entries;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            entries.push_back({base::vm_id("vm" + std::to_string(i)), base::data_centre_id("dc"),
                               address_of(i), address_of(i), false});
        }
        return entries;
    }
    bool random_chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    void run_after(base::duration delay, std::function<void()> action) {
        scheduled_actions_.emplace(clock.now() + delay, std::move(action));
    }
    /// Delivers an event after a delay, unless the router is restarted by then.
    void deliver_after(base::duration delay, std::size_t index, const event& input) {
        run_after(delay, [this, index, input, started_incarnation = nodes_[index].incarnation] {
            if (nodes_[index].incarnation == started_incarnation) {
                deliver(index, input);
            }
        });
    }
    void carry_out(std::size_t index) {
        node& target = nodes_[index];
        router_output output = target.decisions->take();
        if (output.config_in_force) {
            regressions +=
                target.in_force && output.config_in_force->revision <= target.in_force->revision ? 1 : 0;
            target.in_force = output.config_in_force;
        }
        for (const finished_request& finished : output.finished) {
            finished.caller_exchange->finish(finished.final_verdict);
        }
        for (const transport_command& command : output.transport) {
            std::visit([this, index](const auto& alternative) { handle_command(index, alternative); },
                       command);
        }
        for (const journal_command& command : output.journal) {
            write_journal(index, command);
        }
        for (const datagram& outbound : output.datagrams) {
            transmit(index, outbound);
        }
        for (const release_command& command : output.release) {
            if (const auto* const fetch = std::get_if<fetch_release>(&command)) {
                read_release(index, fetch->peer);
            } else if (const auto* const watch = std::get_if<watch_release>(&command)) {
                target.watches_release = watch->enabled;
            }
        }
    }
    void write_journal(std::size_t index, const journal_command& command) {
        run_after(5ms, [this, index, command, started_incarnation = nodes_[index].incarnation] {
            const bool outage = store.faults.outage;
            store.faults.outage = outage || nodes_[index].store_cut;
            const event answer =
                nodes_[index].writer->carry_out(command, [](base::duration) { return true; });
            store.faults.outage = outage;
            if (nodes_[index].incarnation == started_incarnation) {
                deliver_after(5ms, index, answer);
            }
        });
    }
    void transmit(std::size_t from, const datagram& outbound) {
        const std::size_t to = index_of(outbound.to);
        for (int copies = random_chance(duplication_rate) ? 2 : 1; copies > 0; --copies) {
            const base::duration delay = std::chrono::microseconds(500 + random_() % 20000);
            if (nodes_[from].network_cut || random_chance(loss_rate)) {
                continue;
            }
            run_after(delay, [this, to, outbound, from] {
                if (!nodes_[to].network_cut) {
                    deliver(to, message_received{outbound.payload, address_of(from)});
                }
            });
        }
    }
    void handle_command(std::size_t index, const dispatch& command) {
        const attempt_status status = run_on_upstream(command);
        nodes_[index].running.insert(command.attempt);
        if (status != attempt_status::not_sent) {
            ++dynamic_cast<recorded_exchange&>(*command.caller_exchange).run_count;
            starts_by_upstream[command.target.id].push_back(clock.now());
            for (const sent_request& sent : sent_) {
                if (sent.attributes.id == command.attempt.id && sent.attributes.key) {
                    ++runs_by_key[*sent.attributes.key];
                }
            }
        }
        run_after(service_time,
                  [this, index, status, attempt = command.attempt] { end(index, attempt, status); });
    }
    void handle_command(std::size_t index, const cancel_attempt& command) {
        end(index, command.attempt, attempt_status::cancelled);
    }
    void end(std::size_t index, const attempt_key& attempt, attempt_status status) {
        if (nodes_[index].running.erase(attempt) > 0) {
            deliver_after(0ms, index, attempt_progress{attempt, base::cost(5)});
            attempt_end result{status, base::cost(10), {}, {}};
            if (status == attempt_status::interrupted) {
                result.cause = base::error{interruption_cause, "", "injected"};
            }
            deliver_after(1ms, index, attempt_ended{attempt, result});
        }
    }

    std::mt19937_64 random_;
    std::shared_ptr<fleet_config> config_;
    std::vector<node> nodes_;
    std::multimap<base::time_point, std::function<void()>> scheduled_actions_;
    std::vector<sent_request> sent_;
    std::map<base::request_id, std::size_t> router_of_request_;
    std::uint64_t start_count_ = 0;
    std::uint64_t requests_ = 0;
};

} // namespace

TEST_CASE("a router does not lose a request between arrival and verdict") {
    router_cluster cluster(3);
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 30; ++i) {
        sent.push_back(cluster.send(i % 3));
        sent.push_back(cluster.send(i % 3, i + 1));
    }
    cluster.run(25s);
    for (const sent_request& entry : sent) {
        CHECK(entry.caller->final_verdict.result == outcome::ran);
        CHECK(entry.caller->run_count == 1);
    }
    cluster.check();
}

TEST_CASE("a request repeated at another router does not run twice under any fault of the first router") {
    const int fault = GENERATE(0, 1, 2, 3, 4, 5, 6, 7);
    // Before the reply to the claim, before the dispatch, during the run, and after the end.
    const base::duration delay = GENERATE(1ms, 20ms, 50ms, 100ms, 150ms, 400ms);
    CAPTURE(fault, delay.count());
    router_cluster cluster(3, 11);
    for (std::uint64_t key = 1; key <= 4; ++key) {
        static_cast<void>(cluster.send(0, key));
    }
    cluster.run(delay);
    switch (fault) {
    case 0:
        break;
    case 1:
        cluster.kill(0);
        break;
    case 2:
        cluster.at(0).paused = true;
        break;
    case 3:
        cluster.start(0);
        break;
    case 4:
        cluster.at(0).network_cut = true;
        break;
    case 5:
        cluster.at(0).network_cut = cluster.at(0).store_cut = true;
        break;
    case 6:
        cluster.store.faults.outage = true;
        break;
    default:
        cluster.store.faults.lost_after = 0.5;
        break;
    }
    for (const base::duration pause : {200ms, 6000ms, 30000ms}) {
        for (std::uint64_t key = 1; key <= 4; ++key) {
            static_cast<void>(cluster.send(1, key));
            static_cast<void>(cluster.send(2, key));
        }
        cluster.run(pause);
    }
    cluster.heal();
    cluster.run(10s);
    for (std::uint64_t key = 1; key <= 4; ++key) {
        static_cast<void>(cluster.send(0, key));
    }
    cluster.run(25s);
    cluster.check();
    // The keys that a restarted router had claimed stay claimed, so that no router may run them.
    if (fault != 1 && fault != 3) {
        CHECK(cluster.runs_by_key.size() == 4);
    }
}

TEST_CASE("a router that resumes after a pause does not dispatch requests accepted before it") {
    router_cluster cluster(3, 12);
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::not_sent; };
    for (std::uint64_t key = 1; key <= 6; ++key) {
        static_cast<void>(cluster.send(key % 3, key, 0, 5s));
    }
    cluster.run(15ms);
    cluster.at(0).paused = true;
    cluster.run(30s);
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::completed; };
    cluster.resume(0);
    cluster.run(25s);
    cluster.check();
    CHECK(cluster.runs_by_key.empty());
}

TEST_CASE("a drain cancels no running request and refuses waiting ones only at its limit") {
    router_cluster cluster(2, 13);
    cluster.service_time = 2s;
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 60; ++i) {
        sent.push_back(cluster.send(0, i % 2 == 0 ? std::optional<std::uint64_t>(i + 1) : std::nullopt));
    }
    cluster.run(500ms);
    cluster.deliver(0, drain_requested{});
    CHECK_FALSE(cluster.at(0).decisions->ready());
    const sent_request late = cluster.send(0);
    CHECK(late.caller->final_verdict.cause->code == error_code::draining);
    cluster.run(4s);
    CHECK_FALSE(cluster.at(0).decisions->drained());
    cluster.run(6s);
    std::size_t ran = 0;
    for (const sent_request& entry : sent) {
        const verdict& last = entry.caller->final_verdict;
        ran += last.result == outcome::ran ? 1 : 0;
        CHECK((last.result == outcome::ran || last.cause->code == error_code::draining));
        CHECK(entry.caller->run_count == (last.result == outcome::ran ? 1 : 0));
    }
    CHECK(ran >= 24);
    CHECK(ran < sent.size());
    CHECK(cluster.at(0).decisions->drained());
    cluster.check();
}

TEST_CASE("a drain starts no request again after its limit") {
    const bool keyed = GENERATE(false, true);
    router_cluster cluster(1, 15);
    cluster.service_time = 3s;
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::not_sent; };
    const sent_request sent = cluster.send(0, keyed ? std::optional<std::uint64_t>(1) : std::nullopt);
    cluster.run(100ms);
    cluster.deliver(0, drain_requested{}); // its limit is 5 s
    cluster.run(3s);                       // the first attempt has ended, the second one runs
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::completed; };
    CHECK(sent.caller->finish_count == 0);
    cluster.run(4s); // the second attempt has ended after the limit
    CHECK(sent.caller->finish_count == 1);
    CHECK(sent.caller->final_verdict.result == outcome::not_run);
    CHECK(sent.caller->run_count == 0);
    cluster.check();
}

TEST_CASE("a drain answers every request before a short grace ends") {
    router_cluster cluster(1, 16);
    cluster.grace = 2s;
    cluster.start(0);
    cluster.run(3s);
    cluster.service_time = 15s;
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 20; ++i) {
        sent.push_back(cluster.send(0, i % 2 == 0 ? std::optional<std::uint64_t>(i + 1) : std::nullopt));
    }
    cluster.run(500ms);
    cluster.deliver(0, drain_requested{});
    cluster.run(1s);
    std::size_t running = 0;
    for (const sent_request& entry : sent) {
        running += entry.caller->finish_count == 0 ? 1 : 0;
        CHECK((entry.caller->run_count == 1) == (entry.caller->finish_count == 0));
    }
    CHECK(running == 12);
    cluster.run(667ms);
    CHECK_FALSE(cluster.at(0).decisions->drained());
    cluster.run(200ms);
    for (const sent_request& entry : sent) {
        const bool ran = entry.caller->run_count == 1;
        CHECK(entry.caller->finish_count == 1);
        CHECK(entry.caller->final_verdict.result == (ran ? outcome::outcome_unknown : outcome::not_run));
        CHECK((entry.caller->final_verdict.cause &&
               entry.caller->final_verdict.cause->code == error_code::draining));
    }
    CHECK(cluster.at(0).decisions->drained());
    cluster.run(25s);
    cluster.check();
}

TEST_CASE("a draining router serves its waiting requests before the limit") {
    router_cluster cluster(2, 14);
    for (std::uint64_t i = 0; i < 60; ++i) {
        static_cast<void>(cluster.send(0));
    }
    cluster.deliver(0, drain_requested{});
    cluster.run(4s);
    CHECK(cluster.at(0).decisions->drained());
    cluster.run(20s);
    cluster.check();
    std::size_t runs = 0;
    for (const auto& [id, times] : cluster.starts_by_upstream) {
        runs += times.size();
    }
    CHECK(runs == 60);
}

TEST_CASE("an isolated router starts no request after 3 s and refuses with router_isolated") {
    router_cluster cluster(3, 15);
    for (std::uint64_t i = 0; i < 200; ++i) {
        static_cast<void>(cluster.send(0));
    }
    cluster.service_time = 1s;
    cluster.at(0).network_cut = cluster.at(0).store_cut = true;
    cluster.run(4s);
    // The last contact of the router is at most one probe period before the cut.
    CHECK_FALSE(cluster.at(0).decisions->ready());
    cluster.starts_by_upstream.clear();
    const sent_request refused = cluster.send(0);
    CHECK(refused.caller->final_verdict.cause->code == error_code::router_isolated);
    cluster.run(10s);
    CHECK(cluster.starts_by_upstream.empty());
    cluster.heal();
    cluster.run(10s);
    CHECK(cluster.at(0).decisions->ready());
    CHECK_FALSE(cluster.starts_by_upstream.empty());
    cluster.check();
}

TEST_CASE("a departing upstream gets no new work 5 s after its removal under any partition") {
    const int cuts = GENERATE(0, 1, 2, 3, 4);
    CAPTURE(cuts);
    router_cluster cluster(3, 16);
    const base::upstream_id leaving("w1");
    cluster.publish(
        [&](fleet_config& config) { config.upstreams[leaving].state = upstream_state::departing; });
    cluster.run(5s); // every router acknowledges the first revision before the second is published
    cluster.at(0).network_cut = cuts == 1 || cuts == 3;
    cluster.at(0).store_cut = cuts == 2 || cuts == 3;
    cluster.store.faults.outage = cuts == 4;
    cluster.publish([&](fleet_config& config) { config.upstreams.erase(leaving); });
    const base::time_point accepted = cluster.clock.now();
    for (int i = 0; i < 100; ++i) {
        for (std::size_t index = 0; index < 3; ++index) {
            static_cast<void>(cluster.send(index));
        }
        cluster.run(100ms);
    }
    for (const base::time_point& start : cluster.starts_by_upstream[leaving]) {
        CHECK(start - accepted <= 5s);
    }
    CHECK_FALSE(cluster.starts_by_upstream[base::upstream_id("w0")].empty());
    cluster.run(21s);
    cluster.check();
}

TEST_CASE("in a store outage repeatable requests run and non-repeatable ones are refused as not_run") {
    router_cluster cluster(3, 17);
    cluster.run(2s);
    cluster.store.faults.outage = true;
    cluster.run(10s);
    const sent_request repeatable = cluster.send(0);
    const sent_request once = cluster.send(1, 1);
    cluster.run(15s);
    CHECK(repeatable.caller->final_verdict.result == outcome::ran);
    CHECK(once.caller->final_verdict.result == outcome::not_run);
    CHECK(once.caller->run_count == 0);
    cluster.heal();
    cluster.run(10s);
    const sent_request again = cluster.send(2, 1);
    cluster.run(10s);
    CHECK(again.caller->final_verdict.result == outcome::ran);
    cluster.check();
}

TEST_CASE("a revision reaches every router within 5 s and never goes back") {
    router_cluster cluster(5, 18);
    cluster.loss_rate = 0.1;
    cluster.duplication_rate = 0.1;
    for (std::uint64_t expected_revision = 2; expected_revision < 12; ++expected_revision) {
        // Only one router reads the release from the store; the others learn of it from messages.
        for (std::size_t i = 0; i < 5; ++i) {
            cluster.at(i).watches_release = i == expected_revision % 5;
            cluster.at(i).next_read_at = cluster.clock.now() + 1h;
        }
        cluster.publish([](fleet_config&) {});
        cluster.run(5s);
        for (std::size_t i = 0; i < 5; ++i) {
            CHECK(cluster.at(i).in_force->revision == base::revision(expected_revision));
        }
    }
    cluster.check();
}

TEST_CASE("a request that crashed two upstreams is blocked at every router") {
    router_cluster cluster(3, 19);
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::interrupted; };
    const sent_request first = cluster.send(0, {}, 42);
    cluster.run(2s);
    CHECK(first.caller->run_count == 2);
    CHECK(first.caller->final_verdict.cause->code == error_code::poison_request);
    CHECK(first.caller->final_verdict.result == outcome::outcome_unknown);
    const sent_request again = cluster.send(1, {}, 42);
    const sent_request third = cluster.send(2, 5, 42);
    cluster.run(2s);
    for (const sent_request& entry : {again, third}) {
        CHECK(entry.caller->run_count == 0);
        CHECK(entry.caller->final_verdict.cause->code == error_code::poison_request);
    }
    cluster.check();
}

TEST_CASE("an interruption without a closed connection is not taken for a crash") {
    router_cluster cluster(3, 19);
    cluster.interruption_cause = error_code::upstream_malformed_answer;
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::interrupted; };
    const sent_request first = cluster.send(0, {}, 42);
    cluster.run(4s);
    CHECK(first.caller->final_verdict.cause->code != error_code::poison_request);
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::completed; };
    const sent_request again = cluster.send(1, {}, 42);
    cluster.run(2s);
    CHECK(again.caller->final_verdict.result == outcome::ran);
    cluster.check();
}

TEST_CASE("a non-repeatable request is retried only if it was not sent to an upstream") {
    router_cluster cluster(2, 20);
    cluster.run_on_upstream = [](const dispatch&) { return attempt_status::silent; };
    const sent_request reached = cluster.send(0, 1);
    cluster.run(2s);
    CHECK(reached.caller->final_verdict.result == outcome::outcome_unknown);
    std::set<base::upstream_id> tried;
    cluster.run_on_upstream = [&](const dispatch& order) {
        tried.insert(order.target.id);
        return tried.size() == 1 ? attempt_status::not_sent : attempt_status::completed;
    };
    const sent_request refused = cluster.send(1, 2);
    cluster.run(2s);
    CHECK(refused.caller->final_verdict.result == outcome::ran);
    CHECK(tried.size() == 2);
    cluster.check();
}

TEST_CASE("a failing pool gets no more retries than its budget") {
    router_cluster cluster(2, 21);
    cluster.service_time = 5ms;
    int orders = 0;
    cluster.run_on_upstream = [&](const dispatch&) {
        ++orders;
        return attempt_status::silent;
    };
    for (int i = 0; i < 400; ++i) {
        static_cast<void>(cluster.send(i % 2));
        cluster.run(10ms);
    }
    cluster.run(21s);
    // Budget: a tenth of 400 first attempts and, for each of two routers, 10 saved and 1 per second for 4 s.
    CHECK(orders <= 400 + 40 + 2 * (10 + 4));
    CHECK(orders > 400);
    cluster.check();
}

TEST_CASE("late or unknown ends of attempts do not change the verdict on a request") {
    router_cluster cluster(1, 22);
    cluster.service_time = 1s;
    int orders = 0;
    std::vector<attempt_key> keys;
    cluster.run_on_upstream = [&](const dispatch& order) {
        keys.push_back(order.attempt);
        return ++orders == 1 ? attempt_status::silent : attempt_status::completed;
    };
    const sent_request one = cluster.send(0);
    cluster.run(1500ms);
    REQUIRE(keys.size() == 2);
    const attempt_end completed{attempt_status::completed, base::cost(1), {}, {}};
    cluster.deliver(0, attempt_ended{keys[0], completed});
    cluster.deliver(0, attempt_ended{{keys[0].id, base::attempt_number(9)}, completed});
    cluster.deliver(
        0, attempt_ended{{base::request_id(base::uint128{1, 1}), base::attempt_number(1)}, completed});
    CHECK(one.caller->finish_count == 0);
    cluster.run(2s);
    CHECK(one.caller->finish_count == 1);
    cluster.deliver(0, attempt_ended{keys[1], completed});
    cluster.deliver(0, attempt_progress{keys[1], base::cost(1000)});
    cluster.run(20s);
    cluster.check();
}

TEST_CASE("a disconnected caller ends its request once, in each phase") {
    const base::duration delay = GENERATE(0ms, 10ms, 20ms, 40ms, 60ms, 100ms, 150ms, 1200ms);
    const bool repeatable = GENERATE(true, false);
    const bool busy = GENERATE(true, false);
    CAPTURE(delay.count(), repeatable, busy);
    router_cluster cluster(2, 23);
    cluster.service_time = 1s;
    for (int i = 0; busy && i < 12; ++i) {
        static_cast<void>(cluster.send(0));
    }
    cluster.run(50ms);
    const sent_request left = cluster.send(0, repeatable ? std::nullopt : std::optional<std::uint64_t>(1));
    cluster.run(delay);
    cluster.deliver(0, caller_gone{left.attributes.id});
    cluster.deliver(0, caller_gone{left.attributes.id});
    if (busy && delay < 1s) {
        CHECK(left.caller->finish_count == 1);
        CHECK(left.caller->final_verdict.result == outcome::not_run);
    }
    cluster.run(50ms);
    // A running repeatable request is cancelled; a running non-repeatable one runs to its end.
    CHECK((left.caller->finish_count == 1 || !repeatable));
    cluster.run(3s);
    if (!repeatable) {
        const sent_request again = cluster.send(1, 1);
        cluster.run(3s);
        // A key whose request was withdrawn before the dispatch can run again; one that ran cannot.
        CHECK(again.caller->run_count + left.caller->run_count == 1);
        CHECK(again.caller->final_verdict.result == outcome::ran);
    }
    cluster.run(20s);
    cluster.check();
    CHECK(cluster.at(0).decisions->report().size() == 5);
}

TEST_CASE("every accepted request gets exactly one verdict under random faults") {
    constexpr std::uint64_t schedules = 300;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        router_cluster cluster(3, seed);
        cluster.loss_rate = 0.05 * static_cast<double>(random() % 4);
        cluster.duplication_rate = 0.05 * static_cast<double>(random() % 4);
        cluster.run_on_upstream = [&random](const dispatch&) {
            const std::uint64_t roll = random() % 20;
            return roll < 14    ? attempt_status::completed
                   : roll < 16  ? attempt_status::not_sent
                   : roll == 16 ? attempt_status::silent
                   : roll == 17 ? attempt_status::interrupted
                                : attempt_status::completed;
        };
        std::vector<std::pair<std::size_t, sent_request>> sent;
        for (int step = 0; step < 60; ++step) {
            const std::size_t index = random() % 3;
            node& target = cluster.at(index);
            switch (random() % 14) {
            case 0:
                cluster.start(index);
                break;
            case 1:
                cluster.kill(index);
                break;
            case 2:
                target.paused = true;
                break;
            case 3:
                cluster.resume(index);
                break;
            case 4:
                target.network_cut = !target.network_cut;
                break;
            case 5:
                target.store_cut = !target.store_cut;
                break;
            case 6:
                cluster.store.faults.outage = random() % 3 == 0;
                cluster.store.faults.lost_after = 0.2 * static_cast<double>(random() % 2);
                cluster.store.faults.delayed = 0.2 * static_cast<double>(random() % 2);
                cluster.store.apply_delayed_write();
                break;
            case 7:
                cluster.publish([](fleet_config&) {});
                break;
            case 8:
                if (!sent.empty()) {
                    const auto& [origin, gone] = sent[random() % sent.size()];
                    cluster.deliver(origin, caller_gone{gone.attributes.id});
                }
                break;
            case 9:
                if (random() % 4 == 0) {
                    cluster.deliver(index, drain_requested{});
                }
                break;
            default:
                if (target.decisions) {
                    const bool once = random() % 2 == 0;
                    sent.emplace_back(
                        index,
                        cluster.send(index,
                                     once ? std::optional<std::uint64_t>(1 + random() % 8) : std::nullopt, 0,
                                     5s));
                }
                break;
            }
            cluster.run(std::chrono::milliseconds(random() % 400));
        }
        cluster.heal();
        cluster.run(12s);
        cluster.check();
    }
}
