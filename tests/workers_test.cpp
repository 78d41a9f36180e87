#include "base/supervisor.h"
#include "edge/host.h"
#include "standin/objects.h"
#include "store/release.h"
#include "store/vms.h"

#include <catch2/catch.hpp>
#include <functional>
#include <thread>
#include <vector>

using namespace bluebell;
using namespace bluebell::store;
using namespace std::chrono_literals;
using base::revision;

namespace {

constexpr call_limits test_limits{200ms, 300ms};
constexpr publish_limits no_retry_delay{8, 0ms};

class no_routers final : public acknowledgements {
public:
    base::result<std::vector<base::vm_id>> behind(revision /*target*/) override {
        return std::vector<base::vm_id>();
    }
};

/// Peer that returns a fixed configuration text.
class fixed_peer final : public config_peer {
public:
    explicit fixed_peer(std::string text) : text_(std::move(text)) {}
    base::result<std::string> fetch(const decision::endpoint& /*admin*/) override { return text_; }

private:
    std::string text_;
};

decision::endpoint local_endpoint(std::uint16_t port) {
    return {"127.0.0.1", port};
}

decision::release_note add_account(const std::string& name) {
    decision::release_note note;
    note.author = base::operator_id("ingrid");
    decision::account_change item;
    item.id = base::client_account_id(name);
    note.accounts.push_back(item);
    return note;
}

/// Publishes a release note that adds one client account; returns the resulting release.
std::shared_ptr<const config_image> publish(std::uint16_t port, const std::string& account) {
    http_object_store store(local_endpoint(port), test_limits);
    no_routers routers;
    publisher writer(store, routers, no_retry_delay);
    REQUIRE(writer.publish(add_account(account), base::change_id("c-" + account)));
    return *writer.read();
}

/// Runs a release worker on its own thread.
struct running_worker {
    explicit running_worker(std::unique_ptr<object_store> store, std::string peer_text = "",
                            release_timing timing = release_timing())
        : thread(std::make_unique<release_worker>(std::move(store),
                                                  std::make_unique<fixed_peer>(std::move(peer_text)),
                                                  commands, events, time, 1, timing)) {
        thread.start([](const base::error& /*cause*/) {});
    }

    /// Waits for an event that meets the condition. Checks that the revisions of the configurations in the
    /// events read until then never decrease.
    bool wait_for_event(const std::function<bool(const decision::event&)>& condition,
                        base::duration limit = 5s) {
        const base::time_point end = time.now() + limit;
        while (time.now() < end) {
            const std::optional<decision::event> next = events.pop(end - time.now());
            if (!next) {
                return false;
            }
            const auto* read = std::get_if<decision::release_read>(&*next);
            if (read != nullptr && read->config) {
                CHECK(read->config->revision >= highest_revision);
                highest_revision = std::max(highest_revision, read->config->revision);
            }
            if (condition(*next)) {
                return true;
            }
        }
        return false;
    }

    bool wait_for_release(std::uint64_t expected_revision, decision::config_source source,
                          base::duration limit = 5s) {
        return wait_for_event(
            [&](const decision::event& input) {
                const auto* read = std::get_if<decision::release_read>(&input);
                return read != nullptr && read->revision == revision(expected_revision) &&
                       read->source == source && read->config &&
                       read->config->revision == revision(expected_revision);
            },
            limit);
    }

    bool wait_for_failure() {
        return wait_for_event([](const decision::event& input) {
            return std::holds_alternative<decision::store_failed>(input);
        });
    }

    void send_command(decision::release_command command) { commands.push(std::move(command), 1s); }

    const base::steady_clock time;
    base::ring<decision::release_command> commands{16};
    base::ring<decision::event> events{64};
    revision highest_revision;
    base::worker_child thread;
};

std::unique_ptr<object_store> http_store(std::uint16_t port) {
    return std::make_unique<http_object_store>(local_endpoint(port), test_limits);
}

/// Simulates a lagging replica, which answers every watch at once with an older version of the head.
class lagging_store final : public object_store {
public:
    lagging_store(std::string head, std::string chunk, std::atomic<int>& watches)
        : head_(std::move(head)), chunk_(std::move(chunk)), watches_(watches) {}

    base::result<stored_object> read(const base::object_name& name) override {
        return stored_object{name == head_name() ? head_ : chunk_, base::object_version(2)};
    }
    base::result<stored_object> watch(const base::object_name& name, base::object_version /*known*/,
                                      base::duration /*timeout*/) override {
        ++watches_;
        return stored_object{read(name)->value, base::object_version(1)};
    }
    base::result<base::object_version> update(const base::object_name& /*name*/, const std::string& /*value*/,
                                              base::object_version /*expected*/) override {
        return base::object_version(0);
    }
    base::result<void> remove(const base::object_name& /*name*/, base::object_version /*expected*/) override {
        return {};
    }
    base::result<std::vector<base::object_name>> list(const std::string& /*prefix*/) override {
        return std::vector<base::object_name>();
    }

private:
    std::string head_;
    std::string chunk_;
    std::atomic<int>& watches_;
};

} // namespace

TEST_CASE("the release worker reads twice at start, because one read may be stale") {
    standin::object_server server(0);
    publish(server.port(), "a");
    running_worker router(http_store(server.port()));
    CHECK(router.wait_for_release(1, decision::config_source::store));
    CHECK(router.wait_for_release(1, decision::config_source::store));
    CHECK(server.table().counters().watches == 0);
}

TEST_CASE("a watching router reads a new release at once, another router after a fetch command") {
    standin::object_server server(0);
    publish(server.port(), "a");
    running_worker watcher(http_store(server.port()));
    running_worker other(http_store(server.port()));
    watcher.send_command(decision::watch_release{true});
    REQUIRE(watcher.wait_for_event(
        [&](const decision::event&) { return server.table().counters().watches > 0; }));
    REQUIRE(other.wait_for_release(1, decision::config_source::store));
    REQUIRE(other.wait_for_release(1, decision::config_source::store));
    publish(server.port(), "b");
    CHECK(watcher.wait_for_release(2, decision::config_source::store, 1s));
    CHECK_FALSE(other.wait_for_release(2, decision::config_source::store, 100ms));
    other.send_command(decision::fetch_release{revision(2), std::nullopt});
    CHECK(other.wait_for_release(2, decision::config_source::store, 1s));
}

TEST_CASE("in a store outage the release worker reads from a peer, and afterwards from the store again") {
    const std::uint16_t port = edge::free_port();
    std::string peer_text;
    {
        standin::object_server earlier(port);
        peer_text = render_config(*publish(port, "a"));
    }
    release_timing timing;
    timing.retry = 100ms;
    running_worker router(http_store(port), peer_text, timing);
    REQUIRE(router.wait_for_failure());
    router.send_command(decision::fetch_release{revision(1), local_endpoint(8001)});
    CHECK(router.wait_for_release(1, decision::config_source::peer));

    standin::object_server server(port);
    publish(port, "a");
    publish(port, "b");
    CHECK(router.wait_for_release(2, decision::config_source::store));
}

TEST_CASE("concurrent operators whose connections lose replies apply each change exactly once") {
    standin::object_server server(0);
    constexpr std::size_t operators = 4;
    constexpr std::size_t changes = 5;
    std::atomic<int> unexpected{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < operators; ++i) {
        threads.emplace_back([&, i] {
            http_object_store store(local_endpoint(server.port()), test_limits);
            no_routers routers;
            publisher writer(store, routers, {20, 1ms});
            for (std::size_t c = 0; c < changes;) {
                standin::object_fault fault;
                fault.lose_answers = 1;
                fault.writes_per_s = 100000;
                fault.reads_per_s = 100000;
                server.table().inject(fault);
                const std::string name = std::to_string(i) + '-' + std::to_string(c);
                const auto result = writer.publish(add_account(name), base::change_id(name));
                if (result) {
                    ++c;
                } else if (result.error().front().code != base::error_code::note_conflict) {
                    ++unexpected;
                    return;
                }
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(unexpected == 0);
    http_object_store store(local_endpoint(server.port()), test_limits);
    no_routers routers;
    const std::shared_ptr<const config_image> last = *publisher(store, routers, no_retry_delay).read();
    CHECK(last->head.revision == revision(operators * changes));
    CHECK(last->config->accounts.size() == operators * changes);
}

TEST_CASE("stale reads and outdated peers never restore an older configuration") {
    standin::object_server server(0);
    const std::string old_peer = render_config(*publish(server.port(), "a"));
    publish(server.port(), "b");
    running_worker router(http_store(server.port()), old_peer);
    REQUIRE(router.wait_for_release(2, decision::config_source::store));
    standin::object_fault stale;
    stale.stale_reads = 3;
    server.table().inject(stale);
    for (int i = 0; i < 4; ++i) {
        router.send_command(decision::fetch_release{revision(3), local_endpoint(8001)});
    }
    int peer_reads = 0;
    REQUIRE(router.wait_for_event([&](const decision::event& input) {
        const auto* read = std::get_if<decision::release_read>(&input);
        REQUIRE(read != nullptr);
        CHECK(read->config->revision == revision(2));
        peer_reads += read->source == decision::config_source::peer ? 1 : 0;
        return peer_reads == 4;
    }));
}

TEST_CASE("a lagging replica does not make a watching router call it without pause") {
    standin::object_server server(0);
    const std::shared_ptr<const config_image> image = publish(server.port(), "a");
    std::atomic<int> watches{0};
    running_worker router(
        std::make_unique<lagging_store>(image->head_text, *image->chunks.begin()->second, watches));
    router.send_command(decision::watch_release{true});
    REQUIRE(router.wait_for_event([&](const decision::event&) { return watches > 0; }));
    std::this_thread::sleep_for(1200ms);
    CHECK(watches <= 5);
}

TEST_CASE("the configuration reply for peers has the release in force, and is empty before the first") {
    standin::object_server server(0);
    running_worker router(http_store(server.port()));
    const auto render = [&] {
        const std::shared_ptr<base::ring<std::string>> reply = std::make_shared<base::ring<std::string>>(1);
        router.send_command(decision::config_requested{reply});
        return reply->pop(5s);
    };
    REQUIRE(router.wait_for_event([](const decision::event&) { return true; }));
    CHECK(render() == std::string());
    const std::shared_ptr<const config_image> image = publish(server.port(), "a");
    router.send_command(decision::fetch_release{revision(1), std::nullopt});
    REQUIRE(router.wait_for_release(1, decision::config_source::store));
    CHECK(render() == render_config(*image));
}

TEST_CASE("a release worker stops at once while it waits for its next read or in a watch") {
    standin::object_server server(0);
    publish(server.port(), "a");
    for (const bool watching : {false, true}) {
        running_worker router(http_store(server.port()));
        router.send_command(decision::watch_release{watching});
        REQUIRE(router.wait_for_release(1, decision::config_source::store));
        REQUIRE(router.wait_for_release(1, decision::config_source::store));
        const base::time_point start = router.time.now();
        router.thread.stop();
        CHECK(router.time.now() - start < 2s);
        CHECK(router.thread.report().state == base::child_state::stopped);
    }
}

TEST_CASE("the VM worker continues to poll after a failed read of the VM list") {
    standin::object_server server(0);
    const decision::vm_entry vm{base::vm_id("vm-1"), base::data_centre_id("dc"), local_endpoint(7001),
                                local_endpoint(8001), false};
    server.table().store_vms("{");
    base::ring<decision::event> events(16);
    base::worker_child thread(std::make_unique<vms_worker>(
        std::make_unique<http_vm_list>(local_endpoint(server.port()), test_limits), events, 1, 20ms));
    thread.start([](const base::error& /*cause*/) {});
    CHECK_FALSE(events.pop(100ms));
    server.table().store_vms(encode_vms({vm}));
    const std::optional<decision::event> listed = events.pop(5s);
    REQUIRE(listed);
    CHECK(std::get<decision::vms_listed>(*listed).vms.front().vm == vm.vm);
    thread.stop();
}
