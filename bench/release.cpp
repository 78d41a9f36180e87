#include "standin/objects.h"
#include "store/config.h"

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <stdexcept>

using namespace bluebell;

namespace {

constexpr int repeats = 5;
constexpr int watchers_per_region = 3;
constexpr double seconds_per_day = 86400;
constexpr double releases_per_day = 420;
constexpr double watch_slices_per_s = 2;
constexpr double polls_per_s = 1.0 / 30;

/// Reports every release as in force, since the benchmark has no routers.
class no_routers final : public store::acknowledgements {
public:
    base::result<std::vector<base::vm_id>> behind(base::revision /*revision*/) override {
        return std::vector<base::vm_id>();
    }
};

/// Object store on the table of the stand-in, without HTTP and rate limits.
class table_store final : public store::object_store {
public:
    explicit table_store(standin::object_table& table) : table_(table) {
        standin::object_fault unlimited;
        unlimited.reads_per_s = 1000000000;
        unlimited.writes_per_s = 1000000000;
        table_.inject(unlimited);
    }
    base::result<store::stored_object> read(const base::object_name& name) override {
        const standin::object_answer answer = table_.read(name.value());
        if (answer.status != 200) {
            return base::failure(base::error_code::store_not_found, name.value(), "no such object");
        }
        table_.count_bytes(0, answer.object.value.size());
        return store::stored_object{answer.object.value, base::object_version(answer.object.version)};
    }
    base::result<base::object_version> update(const base::object_name& name, const std::string& value,
                                              base::object_version expected) override {
        table_.count_bytes(value.size(), 0);
        return base::object_version(table_.write(name.value(), value, expected.value()).object.version);
    }
    base::result<store::stored_object> watch(const base::object_name& name, base::object_version /*known*/,
                                             base::duration /*timeout*/) override {
        return read(name);
    }
    base::result<void> remove(const base::object_name& /*name*/, base::object_version /*expected*/) override {
        return {};
    }
    base::result<std::vector<base::object_name>> list(const std::string& /*prefix*/) override {
        return std::vector<base::object_name>();
    }

private:
    standin::object_table& table_;
};

/// Store calls, bytes of values and elapsed time of an operation.
struct cost {
    double calls = 0;
    double bytes = 0;
    double ms = 0;
};

cost measure(standin::object_table& table, const std::function<void()>& work) {
    const standin::object_counters before = table.counters();
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
    const standin::object_counters after = table.counters();
    return {static_cast<double>(after.reads + after.writes - before.reads - before.writes),
            static_cast<double>(after.bytes_in + after.bytes_out - before.bytes_in - before.bytes_out),
            spent.count()};
}

decision::release_note fleet_note(int accounts, int upstreams) {
    decision::release_note note;
    note.author = base::operator_id("operator");
    note.title = "Load the fleet";
    decision::pool_change pool;
    pool.id = base::pool_id("certificate-text");
    note.pools.push_back(pool);
    for (int i = 0; i < accounts; ++i) {
        decision::account_change item;
        item.id = base::client_account_id("client-account-" + std::to_string(i));
        item.share = base::weight(1 + i % 7 / 4.0);
        note.accounts.push_back(item);
    }
    for (int i = 0; i < upstreams; ++i) {
        decision::upstream_change item;
        item.id = base::upstream_id("certificate-text-" + std::to_string(i));
        item.pool = pool.id;
        item.data_centre = base::data_centre_id("data-centre-" + std::to_string(i % 7));
        item.address = decision::endpoint{"10.0.0.1", static_cast<std::uint16_t>(9000 + i)};
        item.slots = base::slot_count(8);
        note.upstreams.push_back(item);
    }
    return note;
}

decision::release_note change_note(int step) {
    decision::release_note note;
    note.author = base::operator_id("operator");
    note.title = "Change the share of one client account";
    decision::account_change item;
    item.kind = decision::change_kind::change;
    item.id = base::client_account_id("client-account-7");
    item.share = base::weight(2 + step);
    note.accounts.push_back(item);
    return note;
}

void run(int accounts, int upstreams, int routers, int regions) {
    standin::object_table table;
    table_store store(table);
    no_routers acknowledged;
    store::publisher writer(store, acknowledged, {8, std::chrono::milliseconds(0)});
    if (!writer.publish(fleet_note(accounts, upstreams), base::change_id("load"))) {
        throw std::runtime_error("the first release was refused");
    }
    store::store_chunks chunks(store);
    cost publish;
    cost update;
    cost load;
    std::shared_ptr<const store::config_image> image = *writer.read();
    for (int i = 0; i < repeats; ++i) {
        publish =
            measure(table, [&] { (void)writer.publish(change_note(i), base::change_id(std::to_string(i))); });
        std::shared_ptr<const store::config_image> next;
        update = measure(table, [&] {
            next = *store::load_image(store.read(store::head_name())->value, image.get(), chunks);
        });
        load = measure(table, [&] {
            image = *store::load_image(store.read(store::head_name())->value, nullptr, chunks);
        });
    }
    std::size_t largest = 0;
    std::size_t total = 0;
    for (const auto& chunk : image->chunks) {
        const bool is_fleet = image->head.fleet && chunk.first == to_string(*image->head.fleet);
        largest = is_fleet ? largest : std::max(largest, chunk.second->size());
        total += chunk.second->size();
    }
    const double watchers = watchers_per_region * regions;
    const double idle_calls = watchers * watch_slices_per_s + (routers - watchers) * polls_per_s;
    const double release_calls = publish.calls + routers * update.calls;
    const std::string bundle = render_config(*image);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    (void)store::parse_config(bundle, nullptr);
    const std::chrono::duration<double, std::milli> peer = std::chrono::steady_clock::now() - start;
    std::cout << accounts << ',' << upstreams << ',' << routers << ',' << image->head_text.size() << ','
              << image->chunks.size() << ',' << largest << ','
              << image->chunks.at(to_string(*image->head.fleet))->size() << ',' << total << ','
              << publish.calls << ',' << publish.bytes << ',' << publish.ms << ',' << update.calls << ','
              << update.bytes << ',' << update.ms << ',' << load.calls << ',' << load.bytes << ',' << load.ms
              << ',' << bundle.size() << ',' << peer.count() << ',' << release_calls << ','
              << publish.bytes + routers * update.bytes << ',' << idle_calls << ','
              << (routers - watchers) * polls_per_s * static_cast<double>(image->head_text.size()) << ','
              << releases_per_day / seconds_per_day * release_calls << '\n';
}

} // namespace

/// Prints the cost of a release for the store and a router as CSV. The calls and bytes of a fleet are
/// calculated from the measured calls of one router. Bytes are those of values, without HTTP headers.
int main() {
    std::cout << std::fixed << std::setprecision(2)
              << "accounts,upstreams,routers,head_bytes,chunks,largest_account_chunk_bytes,fleet_chunk_bytes,"
                 "chunk_bytes,publish_calls,publish_bytes,publish_ms,router_calls,router_bytes,router_ms,"
                 "load_calls,load_bytes,load_ms,peer_config_bytes,peer_parse_ms,fleet_calls_per_release,"
                 "fleet_bytes_per_release,idle_calls_per_s,idle_bytes_per_s,release_calls_per_s\n";
    run(16, 23, 9, 1);
    run(2400, 73, 35, 3);
    run(24000, 730, 350, 3);
    return 0;
}
