#include "base/supervisor.h"
#include "edge/admin.h"
#include "edge/callers.h"
#include "edge/parse.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/transport.h"

#include <catch2/catch.hpp>
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
        waiting_.clear();
        held_.clear();
        while (!stop.requested()) {
            const std::optional<decision::event> next = events_.pop(20ms);
            if (fail.exchange(false)) {
                waiting_.clear();
                held_.clear();
                throw std::runtime_error("injected");
            }
            if (!hold) {
                for (const decision::request_arrived& each : held_) {
                    dispatch(each);
                }
                held_.clear();
            }
            if (next) {
                take(*next);
            }
        }
    }

    std::atomic<bool> hold{false};
    std::atomic<bool> fail{false};
    std::atomic<int> arrived_count{0};
    std::atomic<int> gone_count{0};
    std::atomic<int> not_sent_count{0};

private:
    void take(const decision::event& next) {
        if (const decision::request_arrived* const arrived = std::get_if<decision::request_arrived>(&next)) {
            ++arrived_count;
            waiting_[arrived->attributes.id] = arrived->caller_exchange;
            if (hold) {
                held_.push_back(*arrived);
            } else {
                dispatch(*arrived);
            }
        } else if (const decision::caller_gone* const gone = std::get_if<decision::caller_gone>(&next)) {
            ++gone_count;
            commands_.push(decision::cancel_attempt{{gone->id, base::attempt_number(1)}}, 1s);
        } else if (const decision::attempt_ended* const ended = std::get_if<decision::attempt_ended>(&next)) {
            finish(*ended);
        }
    }
    void dispatch(const decision::request_arrived& arrived) {
        decision::dispatch order;
        order.attempt = {arrived.attributes.id, base::attempt_number(1)};
        order.kind = arrived.attributes.pool.value() == "text" ? decision::pool_kind::model
                                                               : decision::pool_kind::service;
        order.target.address = order.kind == decision::pool_kind::model ? model_ : service_;
        order.deadline = arrived.attributes.deadline + 1h;
        order.caller_exchange = arrived.caller_exchange;
        commands_.push(order, 1s);
    }
    void finish(const decision::attempt_ended& ended) {
        decision::verdict last{decision::outcome::outcome_unknown, ended.result.cause};
        if (ended.result.status == decision::attempt_status::completed) {
            last.result = decision::outcome::ran;
        } else if (ended.result.status == decision::attempt_status::not_sent) {
            last.result = decision::outcome::not_run;
            ++not_sent_count;
        }
        if (waiting_.count(ended.attempt.id) > 0) {
            waiting_[ended.attempt.id]->finish(last);
            waiting_.erase(ended.attempt.id);
        }
    }

    base::ring<decision::event>& events_;
    base::ring<decision::transport_command>& commands_;
    decision::endpoint model_;
    decision::endpoint service_;
    std::map<base::request_id, std::shared_ptr<decision::exchange>> waiting_;
    std::vector<decision::request_arrived> held_;
};

bool eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < 300; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

bool reachable(const decision::endpoint& address) {
    try {
        const cxxtools::net::TcpSocket probe(address.address, address.port);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

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
        start();
    }
    void start() {
        tree.start([](const base::error&) {});
        REQUIRE(eventually([this] { return reachable(address); }));
    }

    standin::engine model;
    standin::service service;
    decision::endpoint address;
    base::steady_clock time;
    base::metrics metrics;
    fixed_directory config;
    edge::random_source ids{1, 2};
    base::ring<decision::event> events{64};
    base::ring<decision::transport_command> commands{256};
    fake_decider* decider = nullptr;
    base::supervisor tree{"test", base::restart_strategy::one_for_one, {}, time};
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// Joins the chunks of an answer in chunked transfer coding.
std::string joined(const std::string& wire) {
    std::string body;
    std::size_t at = wire.find("\r\n\r\n") + 4;
    while (at < wire.size()) {
        const std::size_t size = std::stoul(wire.substr(at), nullptr, 16);
        at = wire.find("\r\n", at) + 2;
        body += wire.substr(at, size);
        at += size + 2;
    }
    return body;
}

/// A caller's connection that shows when bytes arrive.
class caller {
public:
    explicit caller(const decision::endpoint& to) : socket_(to.address, to.port) {
        socket_.setTimeout(cxxtools::Milliseconds(5000));
    }
    void send(const std::string& method, const std::string& target, const std::string& body,
              const std::string& fields = "Client-Account: school\r\n") {
        send_raw(method + ' ' + target + " HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body);
    }
    void send_raw(const std::string& text) {
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
    /// Sends a request that asks for the connection to be closed, and returns the whole answer.
    std::string ask(const std::string& method, const std::string& target, const std::string& body,
                    const std::string& fields = "Client-Account: school\r\n") {
        send(method, target, body, fields + "Connection: close\r\n");
        return read();
    }
    void close() { socket_.close(); }
    void forget() { text_.clear(); }

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
    one.read("data: {\"choices\"");
    CHECK(under_test.time.now() - start < 300ms);
    const std::string answer = one.read();
    CHECK(contains(answer, "Request-Id: "));
    const std::string body = joined(answer);
    CHECK(body.find(under_test.model.streamed_answer(chat)) == 0);
    CHECK(contains(body, "event: outcome\ndata: {\"outcome\":\"ran\",\"request_id\":\""));
}

TEST_CASE("a whole answer keeps the upstream's type and states its outcome, also on a kept connection") {
    path under_test;
    caller one(under_test.address);
    for (int i = 0; i < 2; ++i) {
        one.send("GET", "/services/orders/print/7?copies=2", "");
        const std::string answer = one.read("GET /print/7?copies=2\n");
        CHECK(contains(answer, "HTTP/1.1 200 OK"));
        CHECK(contains(answer, "Outcome: ran"));
        CHECK(contains(answer, "Content-Type: text/plain"));
        one.forget();
    }
    const std::string large = caller(under_test.address).ask("GET", "/services/orders/large-field", "");
    CHECK(contains(large, "Large: " + std::string(6000, 'f')));
    CHECK(contains(large, "Outcome: ran"));
    CHECK(joined(large) == "GET /large-field\n");
    const std::string chat_answer =
        caller(under_test.address)
            .ask("POST", "/v1/chat/completions",
                 R"({"model":"text","max_tokens":3,"messages":[{"role":"user","content":"x"}]})");
    CHECK(contains(chat_answer, "Content-Type: application/json"));
    CHECK(contains(chat_answer, "\"completion_tokens\":3"));
}

TEST_CASE("every kind of bad input gets its typed refusal and reaches no upstream") {
    struct bad {
        const char* method;
        std::string target;
        std::string fields;
        std::string body;
        int status;
        const char* code;
        const char* field;
    };
    const std::string account = "Client-Account: school\r\n";
    const std::string completions = "/v1/chat/completions";
    const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
    const std::vector<bad> cases = {
        {"GET", "/nothing", account, "", 404, "unknown_pool", "path"},
        {"GET", completions, account, "", 400, "malformed_request", "method"},
        {"POST", completions, account, "{", 400, "malformed_request", "body"},
        {"POST", completions, account, "[1]", 400, "malformed_request", "body"},
        {"POST", completions, account, "{} x", 400, "malformed_request", "body"},
        {"POST", completions, account, std::string(200000, '['), 400, "malformed_request", "body"},
        {"POST", completions, account, "{\"a\":1}", 400, "missing_field", "model"},
        {"POST", completions, account, R"({"model":1})", 422, "invalid_field", "model"},
        {"POST", completions, account, R"({"model":"text"})", 400, "missing_field", "messages"},
        {"POST", completions, account, R"({"model":"text","messages":[]})", 422, "invalid_field", "messages"},
        {"POST", completions, account, R"({"model":"text","messages":[{}]})", 422, "invalid_field",
         "messages"},
        {"POST", completions, account, R"({"model":"text","stream":1,)" + messages + "}", 422,
         "invalid_field", "stream"},
        {"POST", completions, account, R"({"model":"text","max_tokens":0,)" + messages + "}", 422,
         "invalid_field", "max_tokens"},
        {"POST", completions, account, R"({"model":"text","resume_from":9,)" + messages + "}", 422,
         "invalid_field", "resume_from"},
        {"POST", completions, account, R"({"model":"orders",)" + messages + "}", 404, "unknown_pool",
         "model"},
        {"POST", completions, "", chat, 401, "unknown_client_account", "Client-Account"},
        {"POST", completions, "Client-Account: stranger\r\n", chat, 401, "unknown_client_account",
         "Client-Account"},
        {"POST", completions, account + "Request-Class: fast\r\n", chat, 422, "invalid_field",
         "Request-Class"},
        {"POST", completions, account + "Cost-Hint: -1\r\n", chat, 422, "invalid_field", "Cost-Hint"},
        {"POST", completions, account + "Cost-Hint: nan\r\n", chat, 422, "invalid_field", "Cost-Hint"},
        {"POST", completions, account + "Repeatable: maybe\r\n", chat, 422, "invalid_field", "Repeatable"},
        {"POST", completions, account + "Repeatable: no\r\n", chat, 422, "idempotency_key_required",
         "Idempotency-Key"},
        {"POST", "/services/orders/x", account, "b", 422, "idempotency_key_required", "Idempotency-Key"},
        {"POST", "/services/orders/x", account + "Idempotency-Key: " + std::string(300, 'k') + "\r\n", "b",
         422, "invalid_field", "Idempotency-Key"},
        {"GET", "/services/nowhere/x", account, "", 404, "unknown_pool", "path"},
        {"PUT", "/services/orders/x", account, std::string(2000000, 'x'), 413, "body_too_large", "body"},
    };
    path under_test;
    for (const bad& each : cases) {
        const std::string answer =
            caller(under_test.address).ask(each.method, each.target, each.body, each.fields);
        INFO(each.target << ' ' << each.fields << ' ' << each.body.substr(0, 100) << '\n' << answer);
        CHECK(contains(answer, "HTTP/1.1 " + std::to_string(each.status)));
        CHECK(contains(answer, "\"code\":\"" + std::string(each.code) + '"'));
        CHECK(contains(answer, "\"field\":\"" + std::string(each.field) + '"'));
        CHECK(contains(answer, "Outcome: not_run"));
    }
    CHECK(under_test.decider->arrived_count == 0);
}

TEST_CASE("a body in chunked coding is refused and not taken for the next request") {
    path under_test;
    caller one(under_test.address);
    one.send_raw("POST /services/orders/x HTTP/1.1\r\nHost: t\r\nClient-Account: school\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n30\r\nGET /services/orders/hidden HTTP/1.1\r\n\r\n");
    const std::string answer = one.read();
    CHECK(contains(answer, "HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 10) == std::string::npos);
    CHECK(under_test.decider->arrived_count == 0);
}

TEST_CASE("what decisions need is taken from the request") {
    const fixed_directory directory;
    edge::raw_request raw;
    raw.method = "POST";
    raw.path = "/services/orders/print";
    raw.fields = {{"Client-Account", "school"}, {"Idempotency-Key", "k1"}, {"Request-Class", "urgent"},
                  {"Cost-Hint", "12.5"},        {"Connection", "x"},       {"Stream-Id", "forged"}};
    raw.body = "body";
    const base::result<edge::parsed_request> parsed = edge::parse_request(raw, *directory.lookup());
    REQUIRE(parsed);
    CHECK_FALSE(parsed->what.repeatable);
    CHECK(parsed->what.priority == decision::request_class::urgent);
    CHECK(parsed->what.hint == base::cost(12.5));
    CHECK(parsed->carried.path == "/print");
    CHECK(parsed->carried.fields.size() == 2);
    edge::raw_request other = raw;
    other.fields[1].value = "k2";
    CHECK(edge::parse_request(other, *directory.lookup())->what.key != parsed->what.key);
    other.body = "another";
    CHECK(edge::parse_request(other, *directory.lookup())->what.body_fingerprint !=
          parsed->what.body_fingerprint);
}

TEST_CASE("a caller that leaves while its request waits is noticed and the request is not sent") {
    path under_test;
    under_test.decider->hold = true;
    caller one(under_test.address);
    one.send("POST", "/v1/chat/completions", chat);
    REQUIRE(eventually([&] { return under_test.decider->arrived_count == 1; }));
    one.close();
    CHECK(eventually([&] { return under_test.decider->gone_count == 1; }));
    under_test.decider->hold = false;
    CHECK(eventually([&] { return under_test.decider->not_sent_count == 1; }));
    CHECK(under_test.model.runs(chat) == 0);
}

TEST_CASE("a caller that leaves within a stream ends the work at the engine") {
    standin::engine_options slow;
    slow.tokens = 1000;
    path under_test(slow);
    caller one(under_test.address);
    one.send("POST", "/v1/chat/completions", chat);
    one.read("data: ");
    one.close();
    CHECK(eventually([&] { return under_test.model.cancelled() == 1; }));
}

TEST_CASE("a caller that does not read its stream is cut off and holds up no other") {
    standin::engine_options fast;
    fast.token_time = 0ms;
    path under_test(fast);
    caller slow(under_test.address);
    slow.send(
        "POST", "/v1/chat/completions",
        R"({"model":"text","max_tokens":300000,"stream":true,"messages":[{"role":"u","content":"s"}]})");
    const base::time_point start = under_test.time.now();
    CHECK(contains(caller(under_test.address).ask("POST", "/v1/chat/completions", chat), "\"ran\""));
    CHECK(under_test.time.now() - start < 1s);
    CHECK(eventually([&] { return under_test.model.cancelled() == 1; }));
    CHECK(contains(slow.read(), "caller_too_slow"));
}

TEST_CASE("a failure of the upstream reaches the caller with the outcome that is known") {
    path under_test;
    SECTION("refused") {
        under_test.model.stop();
        const std::string answer = caller(under_test.address).ask("POST", "/v1/chat/completions", chat);
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK(contains(answer, "\"outcome\":\"not_run\""));
    }
    SECTION("crashed") {
        under_test.model.faults().add({standin::fault_kind::crash, "hello", 1, 100ms, 0});
        const std::string answer = caller(under_test.address).ask("POST", "/v1/chat/completions", chat);
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK(contains(answer, "\"outcome\":\"outcome_unknown\""));
    }
    SECTION("cut within a stream") {
        under_test.model.faults().add({standin::fault_kind::cut, "hello", 1, 100ms, 70});
        const std::string body = joined(caller(under_test.address).ask("POST", "/v1/chat/completions", chat));
        CHECK(body.find("\n\nevent: outcome\ndata: {\"outcome\":\"outcome_unknown\"") == 70);
    }
    SECTION("cut within a whole answer") {
        under_test.service.faults().add({standin::fault_kind::cut, "", 1, 100ms, 5});
        const std::string answer = caller(under_test.address).ask("GET", "/services/orders/x", "");
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK_FALSE(contains(answer, "GET /x"));
    }
    SECTION("error status") {
        const std::string answer = caller(under_test.address).ask("GET", "/services/orders/status/503", "");
        CHECK(contains(answer, "HTTP/1.1 503"));
        CHECK(contains(answer, "Outcome: ran"));
        CHECK(contains(answer, "GET /status/503"));
    }
}

TEST_CASE("crossed and late answers reach the caller that asked") {
    standin::engine_options many;
    many.slots = 40;
    many.token_time = 1ms;
    path under_test(many);
    under_test.model.faults().add({standin::fault_kind::late, "caller 2", 11, 150ms, 0});
    std::vector<std::future<bool>> asked;
    for (int i = 0; i < 40; ++i) {
        asked.push_back(std::async(std::launch::async, [&under_test, i] {
            const std::string body =
                R"({"model":"text","stream":true,"messages":[{"role":"user","content":"caller )" +
                std::to_string(i) + "\"}]}";
            const std::string answer =
                joined(caller(under_test.address).ask("POST", "/v1/chat/completions", body));
            return answer.find(under_test.model.streamed_answer(body) + "event: outcome\n") == 0;
        }));
    }
    for (std::future<bool>& each : asked) {
        CHECK(each.get());
    }
}

TEST_CASE("a decider that does not answer leaves no caller hanging, and the request is never sent") {
    edge::callers_options quick;
    quick.request_deadline = 200ms;
    quick.grace = 100ms;
    path under_test({}, quick);
    under_test.decider->hold = true;
    const base::time_point start = under_test.time.now();
    const std::string answer = caller(under_test.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(under_test.time.now() - start < 600ms);
    CHECK(contains(answer, "HTTP/1.1 504"));
    CHECK(contains(answer, "\"outcome\":\"not_run\""));
    under_test.decider->hold = false;
    CHECK(eventually([&] { return under_test.decider->not_sent_count == 1; }));
    CHECK(under_test.model.runs(chat) == 0);
}

TEST_CASE("a decider that fails gives its callers a typed outcome at once") {
    standin::engine_options slow;
    slow.token_time = 100ms;
    path under_test(slow);
    caller running(under_test.address);
    running.send("POST", "/v1/chat/completions", chat);
    running.read("data: ");
    under_test.decider->hold = true;
    caller waiting(under_test.address);
    waiting.send("POST", "/v1/chat/completions", chat, "Client-Account: school\r\nConnection: close\r\n");
    REQUIRE(eventually([&] { return under_test.decider->arrived_count == 2; }));
    SECTION("its exchanges are destroyed") {
        under_test.decider->fail = true;
        CHECK(contains(waiting.read(), "\"outcome\":\"not_run\""));
    }
    SECTION("its ring is closed") {
        under_test.events.close();
        CHECK(contains(waiting.read(), "\"outcome\":\"not_run\""));
        CHECK(contains(running.read(), "\"outcome\":\"outcome_unknown\""));
    }
}

TEST_CASE("more requests than the limits allow are refused at once") {
    edge::callers_options narrow;
    narrow.admission_limit = 2;
    path under_test({}, narrow);
    under_test.decider->hold = true;
    std::vector<std::unique_ptr<caller>> waiting;
    for (int i = 0; i < 2; ++i) {
        waiting.push_back(std::make_unique<caller>(under_test.address));
        waiting.back()->send("POST", "/v1/chat/completions", chat);
    }
    REQUIRE(eventually([&] { return under_test.decider->arrived_count == 2; }));
    const std::string answer = caller(under_test.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(contains(answer, "HTTP/1.1 429"));
    CHECK(contains(answer, "\"code\":\"queue_full\""));
}

TEST_CASE("a full ring to the decider refuses instead of waiting") {
    fixed_directory directory;
    base::steady_clock time;
    base::metrics metrics;
    edge::random_source ids(1, 2);
    base::ring<decision::event> events(1); // nobody takes from it
    events.push(decision::drain_requested{}, 1s);
    edge::callers_options options;
    options.address = {"127.0.0.1", edge::free_port()};
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    tree.add(std::make_unique<edge::callers>(options, directory, ids, events, time, metrics));
    tree.start([](const base::error&) {});
    REQUIRE(eventually([&] { return reachable(options.address); }));
    const std::string answer = caller(options.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(contains(answer, "HTTP/1.1 503"));
    CHECK(contains(answer, "Outcome: not_run"));
}

TEST_CASE("stopping cuts no request in progress") {
    standin::engine_options slow;
    slow.tokens = 10;
    slow.token_time = 50ms;
    path under_test(slow);
    caller one(under_test.address);
    one.send("POST", "/v1/chat/completions", chat);
    one.read("data: ");
    std::future<void> stopped = std::async(std::launch::async, [&under_test] { under_test.tree.stop(); });
    const std::string answer = joined(one.read());
    CHECK(answer.find(under_test.model.streamed_answer(chat) +
                      "event: outcome\ndata: {\"outcome\":\"ran\"") == 0);
    CHECK(stopped.wait_for(3s) == std::future_status::ready);
}

TEST_CASE("a stop ends requests that nobody serves with a typed outcome") {
    edge::callers_options quick;
    quick.stop_limit = 200ms;
    path under_test({}, quick);
    under_test.decider->hold = true;
    caller one(under_test.address);
    one.send("POST", "/v1/chat/completions", chat);
    REQUIRE(eventually([&] { return under_test.decider->arrived_count == 1; }));
    std::future<void> stopped = std::async(std::launch::async, [&under_test] { under_test.tree.stop(); });
    CHECK(contains(one.read("\"outcome\":\"not_run\""), "\"code\":\"draining\""));
    CHECK(stopped.wait_for(3s) == std::future_status::ready);
}

TEST_CASE("what callers saw is counted by class, outcome and cause") {
    path under_test;
    caller(under_test.address).ask("POST", "/v1/chat/completions", chat);
    const std::string text = under_test.metrics.text();
    CHECK(contains(text, "bluebell_requests_total{class=\"ordinary\",outcome=\"ran\",cause=\"none\"} 1"));
    CHECK(contains(text, "bluebell_first_byte_seconds_count{class=\"ordinary\"} 1"));
}

namespace {

class fake_operations final : public edge::operations {
public:
    [[nodiscard]] base::result<void> readiness() const override {
        if (draining) {
            return base::failure(error_code::draining, "", "stopping");
        }
        return {};
    }
    [[nodiscard]] base::child_report tree() const override {
        return {"root",
                failed ? base::child_state::failed : base::child_state::running,
                0,
                {{"edge", {}, 1, {}}}};
    }
    base::result<decision::state_report> dump() override {
        if (failed) {
            return base::failure(error_code::not_ready, "decider", "does not answer");
        }
        return decision::state_report{{"share", {{"pools", "[1]"}, {"n", "2"}}}, {"queue", {}}};
    }
    base::result<decision::state_report> status() override { return decision::state_report{}; }
    std::string metrics() override { return "a 1\n"; }
    base::result<std::string> config(const std::string& chunk) override {
        if (chunk == "none") {
            return base::failure(error_code::store_not_found, chunk, "no such chunk");
        }
        return "{\"chunk\":\"" + chunk + "\"}";
    }
    void drain() override { draining = true; }

    std::atomic<bool> draining{false};
    std::atomic<bool> failed{false};
};

} // namespace

TEST_CASE("operators read state and start a drain over the admin port") {
    base::steady_clock time;
    fake_operations operations;
    edge::admin_options options;
    options.address = {"127.0.0.1", edge::free_port()};
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    tree.add(std::make_unique<edge::admin>(options, operations));
    tree.start([](const base::error&) {});
    REQUIRE(eventually([&] { return reachable(options.address); }));
    const auto get = [&](const std::string& target, const std::string& method = "GET") {
        return caller(options.address).ask(method, target, "");
    };
    CHECK(contains(get("/healthz"), "200 OK"));
    CHECK(contains(get("/readyz"), "{\"ready\":true}"));
    CHECK(contains(get("/metrics"), "a 1\n"));
    CHECK(contains(get("/dump"), R"("state":{"share":{"pools":[1],"n":2},"queue":{}}})"));
    CHECK(contains(get("/dump"),
                   R"("tree":{"name":"root","state":"running","restarts":0,"children":[{"name":"edge")"));
    CHECK(contains(get("/status"), "200 OK"));
    CHECK(contains(get("/config"), R"({"chunk":""})"));
    CHECK(contains(get("/config/c7"), R"({"chunk":"c7"})"));
    CHECK(contains(get("/config/none"), "404"));
    CHECK(contains(get("/configuration"), "404"));
    CHECK(contains(get("/drain"), "405"));
    CHECK_FALSE(operations.draining);
    CHECK(contains(get("/drain", "POST"), "202"));
    CHECK(contains(get("/readyz"), "503"));
    operations.failed = true;
    CHECK(contains(get("/healthz"), "503"));
    CHECK(contains(get("/dump"), "503"));
}
