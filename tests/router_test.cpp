#include "decision/router.h"
#include "platform/journal.h"
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

/// Records the verdict on one request and whether its caller still waits for it.
class recorded_exchange final : public exchange {
public:
    [[nodiscard]] const content& request_content() const override { return content_; }
    void begin(const answer_head& /*head*/) override {}
    [[nodiscard]] bool deliver(std::string /*bytes*/) override { return true; }
    void finish(const verdict& last) override {
        ++finishes;
        result = last;
    }

    int finishes = 0;
    int runs = 0;
    /// The router that had the request was killed; its caller sees a broken connection.
    bool lost = false;
    verdict result;

private:
    content content_;
};
using exchange_ptr = std::shared_ptr<recorded_exchange>;

/// A request with its way back, as the caller remembers it.
struct sent_request {
    request what;
    exchange_ptr with;
};

struct node {
    base::vm_id id;
    std::unique_ptr<router> decisions;
    std::unique_ptr<platform::journal_writer> writer;
    std::vector<event> unread;
    std::set<attempt_key> running;
    base::incarnation life;
    base::revision highest;
    bool paused = false;
    bool cut = false;
    bool store_cut = false;
};

/// Several routers with manual time over one store, a network with faults and upstreams that count runs.
class fleet {
public:
    using behaviour = std::function<attempt_status(const dispatch&)>;

    explicit fleet(std::size_t count, std::uint64_t seed = 1) : store(seed), random_(seed), nodes_(count) {
        config_ = std::make_shared<fleet_config>();
        config_->rev = base::revision(1);
        config_->accounts[account] = {account, base::weight(1)};
        config_->pools[pool_name] = {pool_name, pool_kind::service, base::cost(10)};
        for (int i = 0; i < 3; ++i) {
            upstream each;
            each.id = base::upstream_id("w" + std::to_string(i));
            each.pool = pool_name;
            each.slots = base::slot_count(4);
            config_->upstreams[each.id] = each;
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes_[i].id = base::vm_id("vm" + std::to_string(i));
            start(i);
        }
        run(3s);
    }

    /// Starts or restarts a router with empty memory.
    void start(std::size_t index) {
        node& at = nodes_[index];
        kill(index);
        at.life = base::incarnation(++starts_);
        at.paused = false;
        at.highest = {};
        router_options options;
        options.self = options.member.self = at.id;
        options.life = options.member.life = at.life;
        options.member.address = address_of(index);
        options.seed = options.member.seed = random_();
        options.claims.partitions = options.journal.partitions = 4;
        options.drain.limit = 5s;
        options.retry = retry;
        at.decisions = std::make_unique<router>(options, clock.now());
        platform::journal_settings settings;
        settings.budget = 0ms;
        at.writer = std::make_unique<platform::journal_writer>(store, clock, settings, random_());
        at.decisions->handle(vms_listed{listed()}, clock.now());
        read_release(index);
        read_release(index);
    }
    void kill(std::size_t index) {
        node& at = nodes_[index];
        at.decisions.reset();
        at.unread.clear();
        at.running.clear();
        for (sent_request& each : sent_) {
            if (origin_[each.what.id] == index && each.with->finishes == 0) {
                each.with->lost = true;
            }
        }
    }
    void publish(const std::function<void(fleet_config&)>& change) {
        config_ = std::make_shared<fleet_config>(*config_);
        config_->rev += base::revision(1);
        change(*config_);
    }

    sent_request send(std::size_t index, std::optional<std::uint64_t> key = {}, std::uint64_t body = 0,
                      base::duration limit = 20s) {
        sent_request made;
        made.what.id = base::request_id(base::wide{7, ++requests_});
        made.what.account = account;
        made.what.pool = pool_name;
        made.what.hint = base::cost(10);
        made.what.arrived = clock.now();
        made.what.deadline = clock.now() + limit;
        made.what.body_fingerprint = base::fingerprint(body == 0 ? 1000 + requests_ : body);
        if (key) {
            made.what.repeatable = false;
            made.what.key = base::key_hash(base::wide{*key * 0x9e3779b97f4a7c15ULL, *key});
        }
        made.with = std::make_shared<recorded_exchange>();
        sent_.push_back(made);
        origin_[made.what.id] = index;
        tell(index, request_arrived{made.what, made.with});
        return made;
    }
    /// An event reaches a router; it stays unread while the router is paused.
    void tell(std::size_t index, const event& what) {
        node& at = nodes_[index];
        if (!at.decisions) {
            return;
        }
        if (at.paused) {
            at.unread.push_back(what);
            return;
        }
        at.decisions->handle(what, clock.now());
        carry_out(index);
    }
    void resume(std::size_t index) {
        nodes_[index].paused = false;
        for (const event& each : std::exchange(nodes_[index].unread, {})) {
            tell(index, each);
        }
    }
    void run(base::duration time) {
        for (const base::time_point end = clock.now() + time; clock.now() < end;) {
            clock.advance(schedule::tick_interval);
            while (!due_.empty() && due_.begin()->first <= clock.now()) {
                const std::function<void()> act = due_.begin()->second;
                due_.erase(due_.begin());
                act();
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].decisions && !nodes_[i].paused) {
                    nodes_[i].decisions->tick(clock.now());
                    carry_out(i);
                }
            }
        }
    }
    /// Ends all faults.
    void heal() {
        store.faults = {};
        loss = duplication = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].cut = nodes_[i].store_cut = false;
            if (!nodes_[i].decisions) {
                start(i);
            }
            resume(i);
        }
    }
    /// The invariants that hold after any schedule. Pre-condition: every deadline has passed.
    void check() const {
        for (const sent_request& each : sent_) {
            CAPTURE(each.what.id);
            CHECK(each.with->finishes == (each.with->lost ? 0 : 1));
            if (each.with->finishes > 0 && each.with->result.result == outcome::not_run) {
                CHECK(each.with->runs == 0);
            }
        }
        for (const auto& [key, runs] : key_runs) {
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
    double loss = 0;
    double duplication = 0;
    base::duration service = 100ms;
    behaviour upstreams = [](const dispatch&) { return attempt_status::completed; };
    std::map<base::key_hash, int> key_runs;
    std::map<base::upstream_id, std::vector<base::time_point>> starts;
    int regressions = 0;

private:
    static endpoint address_of(std::size_t index) { return {"10.0.0." + std::to_string(index + 1), 7000}; }
    [[nodiscard]] std::vector<vm_entry> listed() const {
        std::vector<vm_entry> all;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            all.push_back({base::vm_id("vm" + std::to_string(i)), base::data_centre_id("dc"), address_of(i),
                           address_of(i), false});
        }
        return all;
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    void after(base::duration delay, std::function<void()> act) {
        due_.emplace(clock.now() + delay, std::move(act));
    }
    /// Tells a router later, unless it was restarted by then.
    void tell_after(base::duration delay, std::size_t index, const event& what) {
        after(delay, [this, index, what, life = nodes_[index].life] {
            if (nodes_[index].life == life) {
                tell(index, what);
            }
        });
    }
    void read_release(std::size_t index) {
        if (!store.faults.outage && !nodes_[index].store_cut) {
            tell_after(20ms, index, release_read{config_->rev, config_, config_source::store, clock.now()});
        }
    }
    void carry_out(std::size_t index) {
        node& at = nodes_[index];
        router_output output = at.decisions->take();
        if (output.in_force) {
            regressions += output.in_force->rev < at.highest ? 1 : 0;
            at.highest = std::max(at.highest, output.in_force->rev);
        }
        for (const finished_request& each : output.finished) {
            each.with->finish(each.last);
        }
        for (const transport_command& each : output.transport) {
            std::visit([this, index](const auto& what) { upstream_gets(index, what); }, each);
        }
        for (const journal_command& each : output.journal) {
            write_journal(index, each);
        }
        for (const datagram& each : output.datagrams) {
            transmit(index, each);
        }
        for (const release_command& each : output.release) {
            if (std::holds_alternative<fetch_release>(each)) {
                read_release(index);
            }
        }
    }
    void write_journal(std::size_t index, const journal_command& command) {
        after(5ms, [this, index, command, life = nodes_[index].life] {
            const bool outage = store.faults.outage;
            store.faults.outage = outage || nodes_[index].store_cut;
            const event answer =
                nodes_[index].writer->carry_out(command, [](base::duration) { return true; });
            store.faults.outage = outage;
            if (nodes_[index].life == life) {
                tell_after(5ms, index, answer);
            }
        });
    }
    void transmit(std::size_t from, const datagram& sent) {
        const std::size_t to = std::stoul(sent.to.address.substr(7)) - 1;
        for (int copies = chance(duplication) ? 2 : 1; copies > 0; --copies) {
            const base::duration delay = std::chrono::microseconds(500 + random_() % 20000);
            if (nodes_[from].cut || chance(loss)) {
                continue;
            }
            after(delay, [this, to, sent, from] {
                if (!nodes_[to].cut) {
                    tell(to, message_received{sent.what, address_of(from)});
                }
            });
        }
    }
    void upstream_gets(std::size_t index, const dispatch& order) {
        const attempt_status status = upstreams(order);
        nodes_[index].running.insert(order.attempt);
        if (status != attempt_status::not_sent) {
            ++dynamic_cast<recorded_exchange&>(*order.with).runs;
            starts[order.target.id].push_back(clock.now());
            for (const sent_request& each : sent_) {
                if (each.what.id == order.attempt.id && each.what.key) {
                    ++key_runs[*each.what.key];
                }
            }
        }
        after(service, [this, index, status, attempt = order.attempt] { end(index, attempt, status); });
    }
    void upstream_gets(std::size_t index, const cancel_attempt& order) {
        end(index, order.attempt, attempt_status::cancelled);
    }
    void end(std::size_t index, const attempt_key& attempt, attempt_status status) {
        if (nodes_[index].running.erase(attempt) > 0) {
            tell_after(0ms, index, attempt_progress{attempt, base::cost(5)});
            tell_after(1ms, index, attempt_ended{attempt, {status, base::cost(10), {}, {}}});
        }
    }

    std::mt19937_64 random_;
    std::shared_ptr<fleet_config> config_;
    std::vector<node> nodes_;
    std::multimap<base::time_point, std::function<void()>> due_;
    std::vector<sent_request> sent_;
    std::map<base::request_id, std::size_t> origin_;
    std::uint64_t starts_ = 0;
    std::uint64_t requests_ = 0;
};

} // namespace

TEST_CASE("a router does not lose a request between arrival and verdict") {
    fleet all(3);
    std::vector<sent_request> sent;
    for (std::uint64_t i = 0; i < 30; ++i) {
        sent.push_back(all.send(i % 3));
        sent.push_back(all.send(i % 3, i + 1));
    }
    all.run(25s);
    for (const sent_request& each : sent) {
        CHECK(each.with->result.result == outcome::ran);
        CHECK(each.with->runs == 1);
    }
    all.check();
}
