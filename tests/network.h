#pragma once

#include "decision/member.h"
#include "fleet/codec.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bluebell::tests {

/// Network between member tables with manual time, for tests and measurements: delay, loss, duplication,
/// partitions, pauses and restarts from a fixed seed.
class member_network {
public:
    struct conditions {
        base::duration one_way = std::chrono::milliseconds(2);
        base::duration jitter = std::chrono::milliseconds(1);
        /// Chance that a datagram is lost or arrives twice.
        double loss = 0.0;
        double duplication = 0.0;
        /// Time a router takes to fetch a revision that it heard of.
        base::duration fetch = std::chrono::milliseconds(100);
    };
    struct traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    struct node {
        decision::vm_entry entry;
        std::unique_ptr<decision::member> table;
        decision::member_settings settings;
        bool paused = false;
        std::vector<decision::envelope> unread;
        base::revision fetching;
        std::uint64_t sequence = 0;
        traffic sent;
        std::vector<decision::member_change> changes;
    };

    member_network(std::size_t count, std::uint64_t seed, decision::member_settings settings = {})
        : random_(seed), settings_(std::move(settings)), codec_("test"), nodes_(count) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes_[i].entry.vm = base::vm_id("vm-" + std::to_string(1000 + i));
            nodes_[i].entry.control = {"10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200),
                                       7000};
            listed_.push_back(nodes_[i].entry);
        }
    }

    /// Starts or restarts a router with empty memory and the present VM list.
    void start(std::size_t index) {
        node& each = nodes_[index];
        each.settings = settings_;
        each.settings.self = each.entry.vm;
        each.settings.address = each.entry.control;
        each.settings.incarnation =
            base::incarnation(1'790'000'000'000 + static_cast<std::uint64_t>(++starts_));
        each.settings.seed = random_();
        restart_as(index, each.settings.incarnation);
    }
    void restart_as(std::size_t index, base::incarnation life) {
        node& each = nodes_[index];
        each.settings.incarnation = life;
        each.table = std::make_unique<decision::member>(each.settings, now_);
        each.table->list(listed_, now_);
        each.paused = false;
        each.unread.clear();
        each.fetching = {};
        schedule_tick(index);
    }
    void start_all() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            start(i);
        }
    }
    void kill(std::size_t index) { nodes_[index].table.reset(); }
    void pause(std::size_t index) { nodes_[index].paused = true; }
    /// The router notices the time, then reads what its socket kept, which is the worse order.
    void resume(std::size_t index) {
        node& each = nodes_[index];
        each.paused = false;
        tick(index);
        for (const decision::envelope& what : std::exchange(each.unread, {})) {
            deliver(index, what);
        }
    }
    /// Datagrams pass only between routers on the same side.
    void partition(const std::set<std::size_t>& side) { side_ = side; }
    /// Datagrams between two routers are lost, in both directions.
    void cut(std::size_t a, std::size_t b) { cut_.insert({std::min(a, b), std::max(a, b)}); }
    void heal() {
        side_.clear();
        cut_.clear();
    }
    /// The VM list without the routers in `missing`, told to every router.
    void show_list(const std::set<std::size_t>& missing) {
        listed_.clear();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (missing.count(i) == 0) {
                listed_.push_back(nodes_[i].entry);
            }
        }
        for (node& each : nodes_) {
            if (each.table) {
                each.table->list(listed_, now_);
            }
        }
    }

    void run(base::duration time) {
        run_until(time, [] { return false; });
    }
    /// Runs until `done` or for `limit`; returns the time it took. `done` is checked every 10 ms.
    base::duration run_until(base::duration limit, const std::function<bool()>& done) {
        const base::time_point start = now_;
        while (now_ - start < limit && !done()) {
            const base::time_point stop = std::min(start + limit, now_ + std::chrono::milliseconds(10));
            while (!events_.empty() && events_.top().at <= stop) {
                const happening next = events_.top();
                events_.pop();
                now_ = std::max(now_, next.at);
                next.act();
            }
            now_ = stop;
        }
        return now_ - start;
    }
    /// Every running router has exactly the running ones as live members.
    [[nodiscard]] bool agreed() const {
        std::vector<base::vm_id> up;
        for (const node& each : nodes_) {
            if (each.table) {
                up.push_back(each.entry.vm);
            }
        }
        for (const node& each : nodes_) {
            if (each.table && each.table->live() != up) {
                return false;
            }
        }
        return true;
    }
    /// Sends what a table has to send. For calls that a test makes on a table itself.
    void flush(std::size_t index) {
        node& each = nodes_[index];
        for (decision::outgoing& message : each.table->take_outgoing()) {
            send(index, std::move(message));
        }
        for (const decision::member_change& change : each.table->take_changes()) {
            each.changes.push_back(change);
        }
    }

    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }
    [[nodiscard]] std::vector<node>& nodes() { return nodes_; }
    [[nodiscard]] base::time_point now() const { return now_; }
    [[nodiscard]] conditions& network() { return conditions_; }
    /// Virtual times that every header carries.
    [[nodiscard]] std::vector<decision::pool_time>& virtual_times() { return virtual_times_; }
    /// Sends every message as datagrams, as between processes, and counts their bytes.
    void use_codec(bool on) { use_codec_ = on; }

private:
    struct happening {
        base::time_point at;
        std::uint64_t number = 0;
        std::function<void()> act;
        friend bool operator<(const happening& a, const happening& b) {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    void schedule(base::time_point at, std::function<void()> act) {
        events_.push({at, ++event_number_, std::move(act)});
    }
    void schedule_tick(std::size_t index) {
        const decision::member* table = nodes_[index].table.get();
        schedule(table->next_due(), [this, index, table] {
            node& each = nodes_[index];
            if (each.table.get() == table && !each.paused && table->next_due() <= now_) {
                tick(index);
            }
        });
    }
    void tick(std::size_t index) {
        nodes_[index].table->tick(now_);
        flush(index);
        schedule_tick(index);
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share; }
    void send(std::size_t from, decision::outgoing message) {
        node& sender = nodes_[from];
        decision::envelope what;
        what.header.sender = sender.entry.vm;
        what.header.incarnation = sender.table->incarnation();
        what.header.sequence = ++sender.sequence;
        what.header.in_force = sender.table->in_force();
        what.header.confirmation_age = std::chrono::seconds(1);
        what.header.virtual_times = virtual_times_;
        what.body = std::move(message.body);
        ++sender.sent.messages;
        const auto to = static_cast<std::size_t>(std::stoi(message.to.value().substr(3)) - 1000);
        if (!use_codec_) {
            transmit(from, to, [this, to, what] { arrive(to, what); });
            return;
        }
        const base::result<std::vector<std::string>> datagrams = codec_.encode_split(what);
        for (const std::string& datagram : datagrams.value()) {
            sender.sent.bytes += datagram.size();
            transmit(from, to, [this, to, datagram] { arrive(to, codec_.decode(datagram).value()); });
        }
    }
    void transmit(std::size_t from, std::size_t to, const std::function<void()>& arrival) {
        const bool separated = !side_.empty() && side_.count(from) != side_.count(to);
        if (separated || cut_.count({std::min(from, to), std::max(from, to)}) > 0) {
            return;
        }
        const int copies = (chance(conditions_.loss) ? 0 : 1) + (chance(conditions_.duplication) ? 1 : 0);
        for (int i = 0; i < copies; ++i) {
            const double wait = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
            const base::duration delay =
                conditions_.one_way + std::chrono::duration_cast<base::duration>(conditions_.jitter * wait);
            schedule(now_ + delay, arrival);
        }
    }
    void arrive(std::size_t to, const decision::envelope& what) {
        if (nodes_[to].paused) {
            nodes_[to].unread.push_back(what);
        } else {
            deliver(to, what);
        }
    }
    void deliver(std::size_t to, const decision::envelope& what) {
        node& receiver = nodes_[to];
        if (!receiver.table) {
            return;
        }
        static_cast<void>(receiver.table->receive(what, now_));
        flush(to);
        const base::revision heard = what.header.in_force;
        if (heard > receiver.table->in_force() && heard > receiver.fetching) {
            receiver.fetching = heard;
            schedule(now_ + conditions_.fetch, [this, to, heard] {
                if (nodes_[to].table) {
                    nodes_[to].table->put_in_force(heard, now_);
                    flush(to);
                }
            });
        }
    }

    std::mt19937_64 random_;
    decision::member_settings settings_;
    conditions conditions_;
    fleet::codec codec_;
    bool use_codec_ = false;
    std::vector<decision::pool_time> virtual_times_;
    std::vector<node> nodes_;
    std::vector<decision::vm_entry> listed_;
    std::set<std::size_t> side_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::priority_queue<happening> events_;
    std::uint64_t event_number_ = 0;
    std::uint64_t starts_ = 0;
    base::time_point now_{std::chrono::hours(1)};
};

} // namespace bluebell::tests
