#include "bench/role.h"
#include "fleet/codec.h"
#include "fleet/socket.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace bluebell::bench {
namespace {

using namespace decision;

constexpr int repetitions = 20'000;
constexpr base::duration datagram_wait = std::chrono::seconds(1);

/// Returns a message of each kind with names of typical length. Lists have one entry, `held` has two.
std::vector<message> typical_messages() {
    const base::pool_id pool("model-3");
    const base::client_account_id account("account-01234");
    const base::upstream_id upstream("worker-123");
    const base::key_hash key(base::uint128{~0ULL, ~0ULL});
    const base::request_id attempt(base::uint128{~0ULL, ~0ULL});
    const base::partition_id partition(63);
    const base::grant_id grant_id(1'000'000);
    member_update update;
    update.vm = base::vm_id("vm-1234");
    update.incarnation = base::incarnation(1'790'000'000'000);
    update.address = {"10.20.30.40", 7000};
    update.in_force = base::revision(40'000);
    bid waiting;
    waiting.pool = pool;
    waiting.account = account;
    waiting.next_keys.assign(3, {});
    waiting.waiting = 100;
    waiting.held.assign(2, {grant_id, upstream});
    waiting.sequence = 1'000'000;
    return {ping{10'000'000, 1, false, {true, {}}, {update}},
            ack{10'000'000, 1, {true, {}}, {update}},
            ping_request{10'000'000, update.vm},
            waiting,
            grant{grant_id, pool, upstream, base::normalised_cost(1e9)},
            release{grant_id, pool, upstream},
            usage{{{pool, account, {}, {}, {}, true}}},
            usage_total{{{pool, account, {}, {}, true, true}}},
            claim{partition, key, attempt},
            claim_result{partition, key, attempt, claim_answer::granted},
            settle{partition, key, attempt, settlement::ran},
            settle_ack{key, attempt},
            crash_report{base::fingerprint(~0ULL), upstream}};
}

envelope typical_envelope(message body) {
    envelope result;
    result.header.sender = base::vm_id("vm-1234");
    result.header.incarnation = base::incarnation(1'790'000'000'000);
    result.header.sequence = 100'000'000;
    result.header.in_force = base::revision(40'000);
    result.header.confirmation_age = std::chrono::seconds(2);
    result.body = std::move(body);
    return result;
}

/// Size and processor time of control messages. The figures are the same at each size, since a message does
/// not grow with the fleet.
class messages final : public role {
public:
    [[nodiscard]] std::string name() const override { return "messages"; }

    std::vector<figure> measure(std::size_t /*nodes*/) override {
        const fleet::codec codec("fleet");
        std::vector<figure> figures;
        for (const message& body : typical_messages()) {
            const std::string datagram = codec.encode(typical_envelope(body)).value();
            figures.push_back({std::string(fleet::message_kind_name(body.index())), "B",
                               static_cast<double>(datagram.size())});
        }
        envelope timed = typical_envelope(ping_request{});
        const std::size_t without = codec.encode(timed).value().size();
        timed.header.virtual_times.assign(1, {base::pool_id("model-3"), {}});
        figures.push_back({"each virtual time in a header", "B",
                           static_cast<double>(codec.encode(timed).value().size() - without)});
        measure_codec(codec, figures);
        measure_socket(codec, figures);
        return figures;
    }

private:
    static void measure_codec(const fleet::codec& codec, std::vector<figure>& figures) {
        const envelope ping_envelope = typical_envelope(typical_messages().at(0));
        const std::string datagram = codec.encode(ping_envelope).value();
        std::size_t checksum = 0;
        const double start = thread_seconds();
        for (int i = 0; i < repetitions; ++i) {
            checksum += codec.encode(ping_envelope).value().size();
        }
        const double encoded = thread_seconds();
        for (int i = 0; i < repetitions; ++i) {
            checksum += codec.decode(datagram).value().body.index();
        }
        const double decoded = thread_seconds();
        if (checksum == 0) {
            throw std::logic_error("nothing was encoded");
        }
        figures.push_back({"encode a ping", "us", (encoded - start) / repetitions * 1e6});
        figures.push_back({"decode a ping", "us", (decoded - encoded) / repetitions * 1e6});
    }

    static void measure_socket(const fleet::codec& codec, std::vector<figure>& figures) {
        const std::string datagram = codec.encode(typical_envelope(typical_messages().at(0))).value();
        fleet::udp_socket in({"127.0.0.1", 0});
        fleet::udp_socket out;
        const decision::endpoint to = in.local();
        const double start = thread_seconds();
        for (int i = 0; i < repetitions; ++i) {
            if (!out.send(datagram, to) || !in.receive(fleet::max_datagram_bytes, datagram_wait)) {
                throw std::runtime_error("loopback socket failed");
            }
        }
        figures.push_back(
            {"send and receive a datagram", "us", (thread_seconds() - start) / repetitions * 1e6});
    }
};

} // namespace

std::unique_ptr<role> make_messages() {
    return std::make_unique<messages>();
}

} // namespace bluebell::bench
