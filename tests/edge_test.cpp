#include "base/supervisor.h"
#include "edge/callers.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/transport.h"

#include <catch2/catch.hpp>
#include <cxxtools/http/client.h>
#include <cxxtools/net/tcpsocket.h>
#include <functional>
#include <future>

using namespace bluebell;
using namespace std::chrono_literals;
using base::error_code;

namespace {

constexpr const char* chat =
    R"({"model":"text","messages":[{"role":"user","content":"hello"}],"stream":true})";

class fixed_directory final : public edge::directory {
public:
    fixed_directory() {
        std::shared_ptr<decision::fleet_config> config = std::make_shared<decision::fleet_config>();
        config->accounts[base::client_account_id("school")].id = base::client_account_id("school");
        config->pools[base::pool_id("text")].id = base::pool_id("text");
        decision::pool& orders = config->pools[base::pool_id("orders")];
        orders.id = base::pool_id("orders");
        orders.kind = decision::pool_kind::service;
        config_ = std::move(config);
    }
    [[nodiscard]] std::shared_ptr<const decision::fleet_config> lookup() const override { return config_; }

private:
    std::shared_ptr<const decision::fleet_config> config_;
};

/// Dispatches every request at once to the upstream of its kind and passes the end on.
class fake_decider final : public base::worker {
public:
    fake_decider(base::ring<decision::event>& events, base::ring<decision::transport_command>& commands,
                 decision::endpoint model, decision::endpoint service)
        : events_(events), commands_(commands), model_(std::move(model)), service_(std::move(service)) {}

    [[nodiscard]] std::string name() const override { return "decider"; }
    void run(base::stop_signal& stop) override {
        std::map<base::request_id, std::shared_ptr<decision::exchange>> waiting;
        while (!stop.requested()) {
            const std::optional<decision::event> next = events_.pop(50ms);
            if (!next) {
                continue;
            }
            if (const decision::request_arrived* const arrived =
                    std::get_if<decision::request_arrived>(&*next)) {
                waiting[arrived->what.id] = arrived->with;
                if (hold) {
                    continue;
                }
                decision::dispatch order;
                order.attempt = {arrived->what.id, base::attempt_number(1)};
                order.kind = arrived->what.pool.value() == "text" ? decision::pool_kind::model
                                                                  : decision::pool_kind::service;
                order.target.address = order.kind == decision::pool_kind::model ? model_ : service_;
                order.deadline = arrived->what.deadline;
                order.with = arrived->with;
                commands_.push(order, 1s);
            } else if (const decision::caller_gone* const gone = std::get_if<decision::caller_gone>(&*next)) {
                ++gone_count;
                commands_.push(decision::cancel_attempt{{gone->id, base::attempt_number(1)}}, 1s);
            } else if (const decision::attempt_ended* const ended =
                           std::get_if<decision::attempt_ended>(&*next)) {
                decision::verdict last;
                last.cause = ended->how.cause;
                last.result = ended->how.status == decision::attempt_status::completed
                                  ? decision::outcome::ran
                              : ended->how.status == decision::attempt_status::not_sent
                                  ? decision::outcome::not_run
                                  : decision::outcome::outcome_unknown;
                waiting[ended->attempt.id]->finish(last);
                waiting.erase(ended->attempt.id);
            }
        }
    }

    std::atomic<bool> hold{false};
    std::atomic<int> gone_count{0};

private:
    base::ring<decision::event>& events_;
    base::ring<decision::transport_command>& commands_;
    decision::endpoint model_;
    decision::endpoint service_;
};

/// The data path from callers to stand-ins within this process.
struct path {
    explicit path(standin::engine_options engine_options = {}, edge::callers_options changed = {})
        : model(std::move(engine_options)), service({}) {
        model.start();
        service.start();
        address = {"127.0.0.1", edge::free_port()};
        changed.address = address;
        std::unique_ptr<fake_decider> deciding =
            std::make_unique<fake_decider>(events, commands, model.address(), service.address());
        decider = deciding.get();
        tree.add(std::move(deciding));
        tree.add(std::make_unique<upstream::transport>(commands, events, time, upstream::attempt_limits{}));
        tree.add(std::make_unique<edge::callers>(changed, config, ids, events, time, metrics));
        tree.start([](const base::error&) {});
        for (int i = 0; i < 100; ++i) {
            try {
                const cxxtools::net::TcpSocket probe(address.address, address.port);
                return;
            } catch (const std::exception&) {
                std::this_thread::sleep_for(10ms);
            }
        }
    }

    standin::engine model;
    standin::service service;
    decision::endpoint address;
    base::steady_clock time;
    base::metrics metrics;
    fixed_directory config;
    edge::random_source ids{1, 2};
    base::ring<decision::event> events{1024};
    base::ring<decision::transport_command> commands{256};
    fake_decider* decider = nullptr;
    base::supervisor tree{"test", base::restart_strategy::one_for_one, {}, time};
};

/// A caller's connection that shows when bytes arrive.
class caller {
public:
    explicit caller(const decision::endpoint& to) : socket_(to.address, to.port) {
        socket_.setTimeout(cxxtools::Milliseconds(5000));
    }
    void send(const std::string& method, const std::string& target, const std::string& body,
              const std::string& fields = "Client-Account: school\r\n") {
        const std::string text = method + ' ' + target +
                                 " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n" + fields + "\r\n" + body;
        std::size_t sent = 0;
        while (sent < text.size()) {
            sent += socket_.write(text.data() + sent, text.size() - sent);
        }
    }
    /// Reads until the text contains `mark`, or until the end if it is empty.
    std::string read(const std::string& mark = "") {
        std::array<char, 4096> buffer{};
        while (mark.empty() || text_.find(mark) == std::string::npos) {
            std::size_t count = 0;
            try {
                count = socket_.read(buffer.data(), buffer.size());
            } catch (const std::exception& cause) {
                text_ += cause.what();
            }
            if (count == 0) {
                break;
            }
            text_.append(buffer.data(), count);
        }
        return text_;
    }
    void close() { socket_.close(); }

private:
    cxxtools::net::TcpSocket socket_;
    std::string text_;
};

} // namespace

TEST_CASE("a stream reaches the caller before the upstream has finished") {
    standin::engine_options slow;
    slow.tokens = 10;
    slow.token_time = 40ms;
    path under_test(slow);
    caller one(under_test.address);
    const base::time_point start = under_test.time.now();
    one.send("POST", "/v1/chat/completions", chat);
    INFO(one.read("data: {\"choices\""));
    CHECK(under_test.time.now() - start < 300ms);
    const std::string answer = one.read();
    INFO(answer);
    CHECK(answer.find("event: outcome\ndata: {\"outcome\":\"ran\"") != std::string::npos);
    CHECK(answer.find("Request-Id: ") != std::string::npos);
}
