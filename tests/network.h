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

/// Simulated network between member tables with manual time, for tests and measurements: delay, loss,
/// duplication, partitions, pauses and restarts from a fixed seed.
class member_network {
public:
    struct conditions {
        base::duration one_way = std::chrono::milliseconds(2);
        base::duration jitter = std::chrono::milliseconds(1);
        /// Probabilities that a datagram is lost and that it arrives twice.
        double loss = 0.0;
        double duplication = 0.0;
        /// Time that a router takes to fetch a revision after it learned of it from a message.
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
            vm_list_.push_back(nodes_[i].entry);
        }
    }

    /// Starts or restarts a router with empty memory and the current VM list.
    void start(std::size_t index) {
        node& router = nodes_[index];
        router.settings = settings_;
        router.settings.self = router.entry.vm;
        router.settings.address = router.entry.control;
        router.settings.incarnation =
            base::incarnation(1'790'000'000'000 + static_cast<std::uint64_t>(++starts_));
        router.settings.seed = random_();
        restart_as(index, router.settings.incarnation);
    }
    void restart_as(std::size_t index, base::incarnation incarnation) {
        node& router = nodes_[index];
        router.settings.incarnation = incarnation;
        router.table = std::make_unique<decision::member>(router.settings, now_);
        router.table->update_vm_list(vm_list_, now_);
        router.paused = false;
        router.unread.clear();
        router.fetching = {};
        schedule_tick(index);
    }
    void start_all() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            start(i);
        }
    }
    void kill(std::size_t index) { nodes_[index].table.reset(); }
    void pause(std::size_t index) { nodes_[index].paused = true; }
    /// Resumes a paused router. It runs its timers before it reads the datagrams kept by its socket, which is
    /// the worse order.
    void resume(std::size_t index) {
        node& router = nodes_[index];
        router.paused = false;
        tick(index);
        for (const decision::envelope& received : std::exchange(router.unread, {})) {
            deliver(index, received);
        }
    }
    /// Partitions the network: datagrams pass only between routers on the same side.
    void partition(const std::set<std::size_t>& side) { partition_side_ = side; }
    /// Cuts a link: datagrams between the two routers are lost in both directions.
    void cut(std::size_t a, std::size_t b) { cut_links_.insert({std::min(a, b), std::max(a, b)}); }
    void heal() {
        partition_side_.clear();
        cut_links_.clear();
    }
    /// Gives every router the VM list without the routers in `missing`.
    void show_list(const std::set<std::size_t>& missing) {
        vm_list_.clear();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (missing.count(i) == 0) {
                vm_list_.push_back(nodes_[i].entry);
            }
        }
        for (node& router : nodes_) {
            if (router.table) {
                router.table->update_vm_list(vm_list_, now_);
            }
        }
    }

    void run(base::duration time) {
        run_until(time, [] { return false; });
    }
    /// Runs until `done` returns true or for `limit`; returns the elapsed time. `done` is checked every 10
    /// ms.
    base::duration run_until(base::duration limit, const std::function<bool()>& done) {
        const base::time_point start = now_;
        while (now_ - start < limit && !done()) {
            const base::time_point stop = std::min(start + limit, now_ + std::chrono::milliseconds(10));
            while (!events_.empty() && events_.top().at <= stop) {
                const scheduled_event next = events_.top();
                events_.pop();
                now_ = std::max(now_, next.at);
                next.action();
            }
            now_ = stop;
        }
        return now_ - start;
    }
    /// Returns true if the live members of every running router are exactly the running routers.
    [[nodiscard]] bool agreed() const {
        std::vector<base::vm_id> up;
        for (const node& router : nodes_) {
            if (router.table) {
                up.push_back(router.entry.vm);
            }
        }
        for (const node& router : nodes_) {
            if (router.table && router.table->live() != up) {
                return false;
            }
        }
        return true;
    }
    /// Sends the queued messages of a table and records its changes. Called after a test calls a method of
    /// the table itself.
    void flush(std::size_t index) {
        node& router = nodes_[index];
        for (decision::outgoing& message : router.table->take_outgoing()) {
            send(index, std::move(message));
        }
        for (const decision::member_change& change : router.table->take_changes()) {
            router.changes.push_back(change);
        }
    }

    [[nodiscard]] node& at(std::size_t index) { return nodes_[index]; }
    [[nodiscard]] std::vector<node>& nodes() { return nodes_; }
    [[nodiscard]] base::time_point now() const { return now_; }
    [[nodiscard]] conditions& network() { return conditions_; }
    /// Virtual times carried by every header.
    [[nodiscard]] std::vector<decision::pool_time>& virtual_times() { return virtual_times_; }
    /// Encodes every message into datagrams, as between processes, and counts their bytes.
    void use_codec(bool on) { use_codec_ = on; }

private:
    struct scheduled_event {
        base::time_point at;
        std::uint64_t number = 0;
        std::function<void()> action;
        friend bool operator<(const scheduled_event& a, const scheduled_event& b) {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    void schedule(base::time_point at, std::function<void()> action) {
        events_.push({at, ++event_number_, std::move(action)});
    }
    void schedule_tick(std::size_t index) {
        const decision::member* table = nodes_[index].table.get();
        schedule(table->next_due(), [this, index, table] {
            node& router = nodes_[index];
            if (router.table.get() == table && !router.paused && table->next_due() <= now_) {
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
        decision::envelope envelope;
        envelope.header.sender = sender.entry.vm;
        envelope.header.incarnation = sender.table->incarnation();
        envelope.header.sequence = ++sender.sequence;
        envelope.header.in_force = sender.table->in_force();
        envelope.header.confirmation_age = std::chrono::seconds(1);
        envelope.header.virtual_times = virtual_times_;
        envelope.body = std::move(message.body);
        ++sender.sent.messages;
        const auto to = static_cast<std::size_t>(std::stoi(message.to.value().substr(3)) - 1000);
        if (!use_codec_) {
            transmit(from, to, [this, to, envelope] { arrive(to, envelope); });
            return;
        }
        const base::result<std::vector<std::string>> datagrams = codec_.encode_split(envelope);
        for (const std::string& datagram : datagrams.value()) {
            sender.sent.bytes += datagram.size();
            transmit(from, to, [this, to, datagram] { arrive(to, codec_.decode(datagram).value()); });
        }
    }
    void transmit(std::size_t from, std::size_t to, const std::function<void()>& arrival) {
        const bool separated =
            !partition_side_.empty() && partition_side_.count(from) != partition_side_.count(to);
        if (separated || cut_links_.count({std::min(from, to), std::max(from, to)}) > 0) {
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
    void arrive(std::size_t to, const decision::envelope& received) {
        if (nodes_[to].paused) {
            nodes_[to].unread.push_back(received);
        } else {
            deliver(to, received);
        }
    }
    void deliver(std::size_t to, const decision::envelope& received) {
        node& receiver = nodes_[to];
        if (!receiver.table) {
            return;
        }
        static_cast<void>(receiver.table->receive(received, now_));
        flush(to);
        const base::revision peer_revision = received.header.in_force;
        if (peer_revision > receiver.table->in_force() && peer_revision > receiver.fetching) {
            receiver.fetching = peer_revision;
            schedule(now_ + conditions_.fetch, [this, to, peer_revision] {
                if (nodes_[to].table) {
                    nodes_[to].table->put_in_force(peer_revision, now_);
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
    std::vector<decision::vm_entry> vm_list_;
    std::set<std::size_t> partition_side_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::priority_queue<scheduled_event> events_;
    std::uint64_t event_number_ = 0;
    std::uint64_t starts_ = 0;
    base::time_point now_{std::chrono::hours(1)};
};

} // namespace bluebell::tests
