/// Measures store calls, claim latency and control bytes of at-most-once execution. Runs the decision modules
/// and journal writers with a manual clock over an in-memory store. Prints CSV.

#include "decision/claim.h"
#include "store/journal.h"
#include "tests/fake.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace bluebell;
using namespace bluebell::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t router_count = 8;
constexpr std::uint16_t partition_count = 64;
constexpr base::duration step = 1ms;
constexpr base::duration one_way_delay = 1500us;
/// Duration of one store call from another data centre.
constexpr base::duration store_call_time = 5ms;
constexpr base::duration run_time = 500ms;
constexpr base::duration warm_up_time = 5s;
constexpr base::duration measured_time = 30s;
/// Estimated bytes of IP and UDP headers, message header and framing; the benchmark does not use the codec.
constexpr std::size_t datagram_overhead = 96;

std::size_t message_bytes(const message& body) {
    if (std::holds_alternative<claim>(body)) {
        return 34;
    }
    return std::holds_alternative<settle_ack>(body) ? 32 : 35;
}

struct packet {
    base::time_point due;
    base::vm_id from;
    std::size_t to = 0;
    message body;
};

struct delivered_later {
    bool operator()(const packet& a, const packet& b) const { return a.due > b.due; }
};

struct router {
    std::unique_ptr<claim_client> client;
    std::unique_ptr<claim_owner> owner;
    std::unique_ptr<store::journal_writer> writer;
    std::deque<journal_command> commands;
    std::deque<std::pair<base::time_point, journal_answered>> answers;
    base::time_point worker_free;
    std::deque<std::pair<base::time_point, base::request_id>> running;
    /// Bytes and number of the messages that the partition owner received and sent.
    std::uint64_t owner_bytes = 0;
    std::uint64_t owner_messages = 0;
};

class simulation {
public:
    simulation(base::duration spacing, double rate, std::size_t tail_records) : rate_(rate) {
        std::vector<base::vm_id> members;
        for (std::size_t i = 0; i < router_count; ++i) {
            members.emplace_back("vm" + std::to_string(i));
        }
        for (std::size_t i = 0; i < router_count; ++i) {
            owner_settings settings;
            settings.min_write_interval = spacing;
            settings.tail_records = tail_records;
            router& current = routers_[i];
            current.client = std::make_unique<claim_client>(client_settings{});
            current.owner = std::make_unique<claim_owner>(members[i], base::incarnation(1), settings, i);
            current.writer =
                std::make_unique<store::journal_writer>(store_, clock_, store::journal_settings{}, i);
            apply(i, current.client->members_changed(members, clock_.now()));
            apply(i, current.owner->members_changed(members, clock_.now()));
        }
    }

    void run() {
        const base::time_point start = clock_.now();
        advance_until(start + warm_up_time);
        latencies_.clear();
        refused_ = 0;
        const std::uint64_t reads = store_.reads;
        const std::uint64_t writes = store_.writes;
        const std::uint64_t bytes = store_.bytes_written;
        std::uint64_t owner_bytes = 0;
        std::uint64_t owner_messages = 0;
        for (router& current : routers_) {
            current.owner_bytes = 0;
            current.owner_messages = 0;
        }
        advance_until(start + warm_up_time + measured_time);
        for (const router& current : routers_) {
            owner_bytes += current.owner_bytes;
            owner_messages += current.owner_messages;
        }
        const double seconds = std::chrono::duration<double>(measured_time).count();
        std::sort(latencies_.begin(), latencies_.end());
        std::printf("%.0f,%.0f,%.1f,%.1f,%.1f,%.1f,%.1f,%.0f,%.0f,%.1f\n", rate_,
                    static_cast<double>(refused_), quantile(0.5), quantile(0.95), quantile(0.99),
                    static_cast<double>(store_.writes - writes) / seconds,
                    static_cast<double>(store_.reads - reads) / seconds,
                    static_cast<double>(store_.bytes_written - bytes) / seconds / partition_count,
                    static_cast<double>(owner_bytes) / seconds / partition_count,
                    static_cast<double>(owner_messages) / seconds / partition_count);
    }

private:
    [[nodiscard]] double quantile(double part) const {
        if (latencies_.empty()) {
            return 0;
        }
        const std::size_t index = static_cast<std::size_t>(part * static_cast<double>(latencies_.size() - 1));
        return std::chrono::duration<double, std::milli>(latencies_[index]).count();
    }

    void advance_until(base::time_point end) {
        std::exponential_distribution<double> gap(rate_);
        while (clock_.now() < end) {
            clock_.advance(step);
            while (next_arrival_ <= clock_.now()) {
                submit();
                next_arrival_ =
                    std::max(next_arrival_, clock_.now() - step) +
                    std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(random_)));
            }
            deliver();
            for (std::size_t i = 0; i < router_count; ++i) {
                advance(i);
            }
        }
    }

    void submit() {
        const std::size_t entry = random_() % router_count;
        const base::request_id attempt(base::uint128{random_(), random_()});
        const base::key_hash key(base::uint128{random_(), random_()});
        base::result<client_actions> actions =
            routers_[entry].client->submit(attempt, key, clock_.now() + 1min, clock_.now());
        if (actions) {
            submitted_[attempt] = clock_.now();
            apply(entry, std::move(*actions));
        } else {
            ++refused_;
        }
    }

    void deliver() {
        while (!network_.empty() && network_.top().due <= clock_.now()) {
            const packet received = network_.top();
            network_.pop();
            router& to = routers_[received.to];
            if (const auto* asked = std::get_if<claim>(&received.body)) {
                count(to, received.body);
                apply(received.to, to.owner->on_claim(*asked, received.from, clock_.now()));
            } else if (const auto* settled = std::get_if<settle>(&received.body)) {
                count(to, received.body);
                apply(received.to, to.owner->on_settle(*settled, received.from, clock_.now()));
            } else if (const auto* answer = std::get_if<claim_result>(&received.body)) {
                apply(received.to, to.client->on_claim_result(*answer, clock_.now()));
            } else {
                to.client->on_settle_ack(std::get<settle_ack>(received.body));
            }
        }
    }

    void advance(std::size_t index) {
        router& current = routers_[index];
        const base::time_point now = clock_.now();
        while (!current.running.empty() && current.running.front().first <= now) {
            apply(index, current.client->on_attempt_ended(current.running.front().second, outcome::ran, now));
            current.running.pop_front();
        }
        // The journal worker is one thread, so its store calls run one after another. The answer to a command
        // arrives after all its calls.
        while (!current.commands.empty() && current.worker_free <= now) {
            const std::uint64_t calls = store_.reads + store_.writes;
            const event answer =
                current.writer->carry_out(current.commands.front(), [](base::duration) { return true; });
            current.commands.pop_front();
            current.worker_free =
                now + store_call_time * static_cast<int>(store_.reads + store_.writes - calls);
            current.answers.emplace_back(current.worker_free, std::get<journal_answered>(answer));
        }
        if (current.commands.empty() && current.worker_free <= now) {
            current.writer->remove_garbage();
        }
        while (!current.answers.empty() && current.answers.front().first <= now) {
            const journal_answered answer = std::move(current.answers.front().second);
            current.answers.pop_front();
            apply(index, current.owner->on_journal_answer(answer, now));
        }
        apply(index, current.owner->tick(now));
        apply(index, current.client->tick(now));
    }

    static void count(router& owner, const message& body) {
        owner.owner_bytes += datagram_overhead + message_bytes(body);
        ++owner.owner_messages;
    }

    void send(std::size_t from, outgoing& out) {
        const std::size_t to = static_cast<std::size_t>(std::stoul(out.to.value().substr(2)));
        network_.push({clock_.now() + one_way_delay, base::vm_id("vm" + std::to_string(from)), to,
                       std::move(out.body)});
    }

    void apply(std::size_t index, client_actions actions) {
        for (outgoing& out : actions.messages) {
            send(index, out);
        }
        for (const base::request_id& attempt : actions.granted) {
            latencies_.push_back(clock_.now() - submitted_[attempt]);
            submitted_.erase(attempt);
            if (routers_[index].client->dispatch(attempt, clock_.now())) {
                routers_[index].running.emplace_back(clock_.now() + run_time, attempt);
            }
        }
        refused_ += actions.ended.size();
    }

    void apply(std::size_t index, owner_actions actions) {
        for (outgoing& out : actions.messages) {
            count(routers_[index], out.body);
            send(index, out);
        }
        for (journal_command& command : actions.commands) {
            routers_[index].commands.push_back(std::move(command));
        }
    }

    const double rate_;
    base::manual_clock clock_;
    test::fake_store store_;
    std::mt19937_64 random_{42};
    std::array<router, router_count> routers_;
    std::priority_queue<packet, std::vector<packet>, delivered_later> network_;
    std::unordered_map<base::request_id, base::time_point> submitted_;
    std::vector<base::duration> latencies_;
    std::uint64_t refused_ = 0;
    base::time_point next_arrival_ = clock_.now();
};

} // namespace

int main() {
    std::printf("spacing_ms,tail_records,claims_per_s,refused,p50_ms,p95_ms,p99_ms,store_writes_per_s,"
                "store_reads_per_s,store_bytes_per_s_per_partition,message_bytes_per_s_per_partition,"
                "messages_per_s_per_partition\n");
    for (const base::duration spacing : {base::duration(20ms), base::duration(250ms)}) {
        for (const std::size_t tail_records : {std::size_t(55), std::size_t(220)}) {
            for (const double rate : {10.0, 100.0, 1000.0}) {
                std::printf("%lld,%zu,",
                            static_cast<long long>(
                                std::chrono::duration_cast<std::chrono::milliseconds>(spacing).count()),
                            tail_records);
                simulation(spacing, rate, tail_records).run();
            }
        }
    }
}
