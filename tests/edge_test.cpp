#include "base/supervisor.h"
#include "edge/admin.h"
#include "edge/callers.h"
#include "edge/parse.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/transport.h"

#include <catch2/catch.hpp>
#include <cxxtools/net/tcpsocket.h>
#include <fstream>
#include <functional>
#include <future>
#include <set>

using namespace bluebell;
using namespace std::chrono_literals;
using base::error_code;

namespace {

constexpr const char* chat =
    R"({"model":"text","messages":[{"role":"user","content":"hello"}],"stream":true})";

/// The same request for an answer that is not streamed.
constexpr const char* whole_chat = R"({"model":"text","messages":[{"role":"user","content":"hello"}]})";

class fixed_directory final : public edge::directory {
public:
    fixed_directory() {
        std::shared_ptr<decision::fleet_config> config = std::make_shared<decision::fleet_config>();
        for (const char* const account : {"school", "library"}) {
            config->accounts[base::client_account_id(account)].id = base::client_account_id(account);
        }
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

/// A decider that dispatches every request at once to the upstream of its kind and reports the end to the
/// caller.
class fake_decider final : public base::worker {
public:
    fake_decider(base::ring<decision::event>& events, base::ring<decision::transport_command>& commands,
                 decision::endpoint model, decision::endpoint service)
        : events_(events), commands_(commands), model_(std::move(model)), service_(std::move(service)) {}

    [[nodiscard]] std::string name() const override { return "decider"; }
    void run(base::stop_signal& stop) override {
        exchanges_.clear();
        held_requests_.clear();
        while (!stop.requested()) {
            const std::optional<decision::event> event = events_.pop(20ms);
            if (fail.exchange(false)) {
                exchanges_.clear();
                held_requests_.clear();
                throw std::runtime_error("injected");
            }
            if (!hold) {
                for (const decision::request_arrived& arrived : held_requests_) {
                    dispatch(arrived);
                }
                held_requests_.clear();
            }
            if (event) {
                process(*event);
            }
        }
    }

    std::atomic<bool> hold{false};
    std::atomic<bool> fail{false};
    std::atomic<int> arrived_count{0};
    std::atomic<int> gone_count{0};
    std::atomic<int> not_sent_count{0};

private:
    void process(const decision::event& event) {
        if (const decision::request_arrived* const arrived = std::get_if<decision::request_arrived>(&event)) {
            ++arrived_count;
            exchanges_[arrived->attributes.id] = arrived->caller_exchange;
            if (hold) {
                held_requests_.push_back(*arrived);
            } else {
                dispatch(*arrived);
            }
        } else if (const decision::caller_gone* const gone = std::get_if<decision::caller_gone>(&event)) {
            ++gone_count;
            commands_.push(decision::cancel_attempt{{gone->id, base::attempt_number(1)}}, 1s);
        } else if (const decision::attempt_ended* const ended =
                       std::get_if<decision::attempt_ended>(&event)) {
            finish(*ended);
        }
    }
    void dispatch(const decision::request_arrived& arrived) {
        decision::dispatch command;
        command.attempt = {arrived.attributes.id, base::attempt_number(1)};
        command.kind = arrived.attributes.pool.value() == "text" ? decision::pool_kind::model
                                                                 : decision::pool_kind::service;
        command.target.address = command.kind == decision::pool_kind::model ? model_ : service_;
        command.deadline = arrived.attributes.deadline + 1h;
        command.caller_exchange = arrived.caller_exchange;
        commands_.push(command, 1s);
    }
    void finish(const decision::attempt_ended& ended) {
        decision::verdict verdict{decision::outcome::outcome_unknown, ended.result.cause};
        if (ended.result.status == decision::attempt_status::completed) {
            verdict.result = decision::outcome::ran;
        } else if (ended.result.status == decision::attempt_status::not_sent) {
            verdict.result = decision::outcome::not_run;
            ++not_sent_count;
        }
        if (exchanges_.count(ended.attempt.id) > 0) {
            exchanges_[ended.attempt.id]->finish(verdict);
            exchanges_.erase(ended.attempt.id);
        }
    }

    base::ring<decision::event>& events_;
    base::ring<decision::transport_command>& commands_;
    decision::endpoint model_;
    decision::endpoint service_;
    std::map<base::request_id, std::shared_ptr<decision::exchange>> exchanges_;
    std::vector<decision::request_arrived> held_requests_;
};

bool wait_until(const std::function<bool()>& condition) {
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

/// The data path from callers to stand-in upstreams in one process.
struct edge_fixture {
    explicit edge_fixture(standin::engine_options engine_options = {}, edge::callers_options options = {})
        : model(std::move(engine_options)), service({}) {
        model.start();
        service.start();
        address = {"127.0.0.1", edge::free_port()};
        options.address = address;
        std::unique_ptr<fake_decider> new_decider =
            std::make_unique<fake_decider>(events, commands, model.address(), service.address());
        decider = new_decider.get();
        tree.add(std::move(new_decider));
        tree.add(std::make_unique<upstream::transport>(commands, events, time, upstream::attempt_limits{}));
        tree.add(std::make_unique<edge::callers>(options, config, ids, events, time, metrics));
        start();
    }
    void start() {
        tree.start([](const base::error&) {});
        REQUIRE(wait_until([this] { return reachable(address); }));
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

/// Returns the body of an answer in chunked transfer coding.
std::string decode_chunked(const std::string& wire) {
    std::string body;
    std::size_t offset = wire.find("\r\n\r\n") + 4;
    while (offset < wire.size()) {
        const std::size_t size = std::stoul(wire.substr(offset), nullptr, 16);
        offset = wire.find("\r\n", offset) + 2;
        body += wire.substr(offset, size);
        offset += size + 2;
    }
    return body;
}

/// A client connection that can read an answer in parts.
class test_caller {
public:
    explicit test_caller(const decision::endpoint& to) : socket_(to.address, to.port) {
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
    /// Reads until the text contains `expected`, or until the connection ends if `expected` is empty.
    std::string read(const std::string& expected = "") {
        std::array<char, 4096> buffer{};
        while (expected.empty() || text_.find(expected) == std::string::npos) {
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
    void clear() { text_.clear(); }

private:
    cxxtools::net::TcpSocket socket_;
    std::string text_;
};

} // namespace

TEST_CASE("a stream is delivered to the caller before the upstream has finished") {
    standin::engine_options options;
    options.tokens = 10;
    options.token_time = 40ms;
    edge_fixture fixture(options);
    test_caller client(fixture.address);
    const base::time_point start = fixture.time.now();
    client.send("POST", "/v1/chat/completions", chat);
    client.read("data: {\"choices\"");
    CHECK(fixture.time.now() - start < 300ms);
    const std::string answer = client.read();
    CHECK(contains(answer, "Request-Id: "));
    const std::string body = decode_chunked(answer);
    CHECK(body.find(fixture.model.streamed_answer(chat)) == 0);
    CHECK(contains(body, "event: outcome\ndata: {\"outcome\":\"ran\",\"request_id\":\""));
}

// Guards against "address in use": the system had given the port of a test to another socket before it was
// used.
TEST_CASE("a free port is none that the system gives out, and differs from those found before") {
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    std::uint16_t first_given_out = 0;
    REQUIRE(range >> first_given_out);
    std::set<std::uint16_t> found;
    for (int i = 0; i < 100; ++i) {
        const std::uint16_t port = edge::free_port();
        CHECK(port > 0);
        CHECK(port < first_given_out);
        CHECK(found.insert(port).second);
    }
}

TEST_CASE("an answer that is not streamed keeps its content type and outcome on a reused connection") {
    edge_fixture fixture;
    test_caller client(fixture.address);
    for (int i = 0; i < 2; ++i) {
        client.send("GET", "/services/orders/print/7?copies=2", "");
        const std::string answer = client.read("GET /print/7?copies=2\n");
        CHECK(contains(answer, "HTTP/1.1 200 OK"));
        CHECK(contains(answer, "Outcome: ran"));
        CHECK(contains(answer, "Content-Type: text/plain"));
        client.clear();
    }
    const std::string large = test_caller(fixture.address).ask("GET", "/services/orders/large-field", "");
    CHECK(contains(large, "Large: " + std::string(6000, 'f')));
    CHECK(contains(large, "Outcome: ran"));
    CHECK(decode_chunked(large) == "GET /large-field\n");
    const std::string chat_answer =
        test_caller(fixture.address)
            .ask("POST", "/v1/chat/completions",
                 R"({"model":"text","max_tokens":3,"messages":[{"role":"user","content":"x"}]})");
    CHECK(contains(chat_answer, "Content-Type: application/json"));
    CHECK(contains(chat_answer, "\"completion_tokens\":3"));
}

TEST_CASE("each kind of invalid request is refused with its error code and reaches no upstream") {
    struct bad_request {
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
    const std::vector<bad_request> cases = {
        {"GET", "/nothing", account, "", 404, "unknown_pool", "path"},
        {"GET", completions, account, "", 400, "malformed_request", "method"},
        {"POST", completions, account, "{", 400, "malformed_request", "body"},
        {"POST", completions, account, "[1]", 400, "malformed_request", "body"},
        {"POST", completions, account, "{} x", 400, "malformed_request", "body"},
        {"POST", completions, account, std::string(200000, '['), 400, "malformed_request", "body"},
        // A quote in a comment, which cxxtools accepts, must not hide brackets from the check of the depth.
        {"POST", completions, account, "//\"\n{\"a\":" + std::string(200000, '['), 400, "malformed_request",
         "body"},
        {"POST", completions, account, R"({"model":"text",/**/)" + messages + "}", 400, "malformed_request",
         "body"},
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
    edge_fixture fixture;
    for (const bad_request& input : cases) {
        const std::string answer =
            test_caller(fixture.address).ask(input.method, input.target, input.body, input.fields);
        INFO(input.target << ' ' << input.fields << ' ' << input.body.substr(0, 100) << '\n' << answer);
        CHECK(contains(answer, "HTTP/1.1 " + std::to_string(input.status)));
        CHECK(contains(answer, "\"code\":\"" + std::string(input.code) + '"'));
        CHECK(contains(answer, "\"field\":\"" + std::string(input.field) + '"'));
        CHECK(contains(answer, "Outcome: not_run"));
    }
    CHECK(fixture.decider->arrived_count == 0);
}

TEST_CASE("a chunked request body is refused and not parsed as the next request") {
    edge_fixture fixture;
    test_caller client(fixture.address);
    client.send_raw("POST /services/orders/x HTTP/1.1\r\nHost: t\r\nClient-Account: school\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n30\r\nGET /services/orders/hidden HTTP/1.1\r\n\r\n");
    const std::string answer = client.read();
    CHECK(contains(answer, "HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 10) == std::string::npos);
    CHECK(fixture.decider->arrived_count == 0);
}

TEST_CASE("the attributes of a request are parsed from its fields, path and body") {
    const fixed_directory directory;
    edge::raw_request raw;
    raw.method = "POST";
    raw.path = "/services/orders/print";
    raw.fields = {{"Client-Account", "school"}, {"Idempotency-Key", "k1"}, {"Request-Class", "urgent"},
                  {"Cost-Hint", "12.5"},        {"Connection", "x"},       {"Stream-Id", "forged"}};
    raw.body = "body";
    const base::result<edge::parsed_request> parsed = edge::parse_request(raw, *directory.lookup());
    REQUIRE(parsed);
    CHECK_FALSE(parsed->attributes.repeatable);
    CHECK(parsed->attributes.priority == decision::request_class::urgent);
    CHECK(parsed->attributes.hint == base::cost(12.5));
    CHECK(parsed->content.path == "/print");
    CHECK(parsed->content.fields.size() == 2);
    edge::raw_request other = raw;
    other.fields[1].value = "k2";
    CHECK(edge::parse_request(other, *directory.lookup())->attributes.key != parsed->attributes.key);
    other.body = "another";
    CHECK(edge::parse_request(other, *directory.lookup())->attributes.body_fingerprint !=
          parsed->attributes.body_fingerprint);
}

TEST_CASE("a waiting request is not sent after its caller has disconnected") {
    edge_fixture fixture;
    fixture.decider->hold = true;
    test_caller client(fixture.address);
    client.send("POST", "/v1/chat/completions", chat);
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 1; }));
    client.close();
    CHECK(wait_until([&] { return fixture.decider->gone_count == 1; }));
    fixture.decider->hold = false;
    CHECK(wait_until([&] { return fixture.decider->not_sent_count == 1; }));
    CHECK(fixture.model.runs(chat) == 0);
}

TEST_CASE("a stream is cancelled at the engine after its caller has disconnected") {
    standin::engine_options options;
    options.tokens = 1000;
    edge_fixture fixture(options);
    test_caller client(fixture.address);
    client.send("POST", "/v1/chat/completions", chat);
    client.read("data: ");
    client.close();
    CHECK(wait_until([&] { return fixture.model.cancelled() == 1; }));
}

TEST_CASE("a caller that does not read its stream is disconnected and delays no other caller") {
    standin::engine_options options;
    options.token_time = 0ms;
    edge_fixture fixture(options);
    test_caller slow_caller(fixture.address);
    slow_caller.send(
        "POST", "/v1/chat/completions",
        R"({"model":"text","max_tokens":300000,"stream":true,"messages":[{"role":"u","content":"s"}]})");
    const base::time_point start = fixture.time.now();
    CHECK(contains(test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat), "\"ran\""));
    CHECK(fixture.time.now() - start < 1s);
    CHECK(wait_until([&] { return fixture.model.cancelled() == 1; }));
    CHECK(contains(slow_caller.read(), "caller_too_slow"));
}

TEST_CASE("a failure of the upstream is reported to the caller with the known outcome") {
    edge_fixture fixture;
    SECTION("refused") {
        fixture.model.stop();
        const std::string answer = test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat);
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK(contains(answer, "\"outcome\":\"not_run\""));
    }
    SECTION("crashed") {
        fixture.model.faults().add({standin::fault_kind::crash, "hello", 1, 100ms, 0});
        const std::string answer = test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat);
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK(contains(answer, "\"outcome\":\"outcome_unknown\""));
    }
    SECTION("cut within a stream") {
        fixture.model.faults().add({standin::fault_kind::cut, "hello", 1, 100ms, 70});
        const std::string body =
            decode_chunked(test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat));
        CHECK(body.find("\n\nevent: outcome\ndata: {\"outcome\":\"outcome_unknown\"") == 70);
    }
    SECTION("cut within a whole answer") {
        fixture.service.faults().add({standin::fault_kind::cut, "", 1, 100ms, 5});
        const std::string answer = test_caller(fixture.address).ask("GET", "/services/orders/x", "");
        CHECK(contains(answer, "HTTP/1.1 502"));
        CHECK_FALSE(contains(answer, "GET /x"));
    }
    SECTION("error status") {
        const std::string answer = test_caller(fixture.address).ask("GET", "/services/orders/status/503", "");
        CHECK(contains(answer, "HTTP/1.1 503"));
        CHECK(contains(answer, "Outcome: ran"));
        CHECK(contains(answer, "GET /status/503"));
    }
}

TEST_CASE("interleaved and late answers reach the caller of their request") {
    standin::engine_options options;
    options.slots = 40;
    options.token_time = 1ms;
    edge_fixture fixture(options);
    fixture.model.faults().add({standin::fault_kind::late, "caller 2", 11, 150ms, 0});
    std::vector<std::future<bool>> results;
    for (int i = 0; i < 40; ++i) {
        results.push_back(std::async(std::launch::async, [&fixture, i] {
            const std::string body =
                R"({"model":"text","stream":true,"messages":[{"role":"user","content":"caller )" +
                std::to_string(i) + "\"}]}";
            const std::string answer =
                decode_chunked(test_caller(fixture.address).ask("POST", "/v1/chat/completions", body));
            return answer.find(fixture.model.streamed_answer(body) + "event: outcome\n") == 0;
        }));
    }
    for (std::future<bool>& result : results) {
        CHECK(result.get());
    }
}

TEST_CASE(
    "a caller is answered after its deadline if the decider does not react, and its request is never sent") {
    edge::callers_options options;
    options.request_deadline = 200ms;
    options.grace = 100ms;
    edge_fixture fixture({}, options);
    fixture.decider->hold = true;
    const base::time_point start = fixture.time.now();
    const std::string answer = test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(fixture.time.now() - start < 600ms);
    CHECK(contains(answer, "HTTP/1.1 504"));
    CHECK(contains(answer, "\"outcome\":\"not_run\""));
    fixture.decider->hold = false;
    CHECK(wait_until([&] { return fixture.decider->not_sent_count == 1; }));
    CHECK(fixture.model.runs(chat) == 0);
}

TEST_CASE("callers receive an outcome at once when the decider fails") {
    standin::engine_options options;
    options.token_time = 100ms;
    edge_fixture fixture(options);
    test_caller running(fixture.address);
    running.send("POST", "/v1/chat/completions", chat);
    running.read("data: ");
    fixture.decider->hold = true;
    test_caller waiting(fixture.address);
    waiting.send("POST", "/v1/chat/completions", chat, "Client-Account: school\r\nConnection: close\r\n");
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 2; }));
    SECTION("its exchanges are destroyed") {
        fixture.decider->fail = true;
        CHECK(contains(waiting.read(), "\"outcome\":\"not_run\""));
    }
    SECTION("its ring is closed") {
        fixture.events.close();
        CHECK(contains(waiting.read(), "\"outcome\":\"not_run\""));
        CHECK(contains(running.read(), "\"outcome\":\"outcome_unknown\""));
    }
}

TEST_CASE("requests beyond the admission limit are refused at once") {
    edge::callers_options options;
    options.admission_limit = 2;
    edge_fixture fixture({}, options);
    fixture.decider->hold = true;
    std::vector<std::unique_ptr<test_caller>> waiting;
    for (int i = 0; i < 2; ++i) {
        waiting.push_back(std::make_unique<test_caller>(fixture.address));
        waiting.back()->send("POST", "/v1/chat/completions", chat);
    }
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 2; }));
    const std::string answer = test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(contains(answer, "HTTP/1.1 429"));
    CHECK(contains(answer, "\"code\":\"queue_full\""));
}

TEST_CASE("an account whose requests are held up leaves room at the edge for another account") {
    edge::callers_options options;
    options.admission_limit = 5;
    edge_fixture fixture({}, options);
    fixture.decider->hold = true;
    std::vector<std::unique_ptr<test_caller>> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.push_back(std::make_unique<test_caller>(fixture.address));
        waiting.back()->send("POST", "/v1/chat/completions", chat);
    }
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 4; }));
    waiting.push_back(std::make_unique<test_caller>(fixture.address));
    waiting.back()->send("POST", "/v1/chat/completions", chat);
    CHECK(contains(waiting.back()->read("queue_full"), "HTTP/1.1 429"));
    waiting.push_back(std::make_unique<test_caller>(fixture.address));
    waiting.back()->send("POST", "/v1/chat/completions", chat, "Client-Account: library\r\n");
    CHECK(wait_until([&] { return fixture.decider->arrived_count == 5; }));
}

TEST_CASE("a request is refused without waiting if the ring of events is full") {
    fixed_directory directory;
    base::steady_clock time;
    base::metrics metrics;
    edge::random_source ids(1, 2);
    base::ring<decision::event> events(1); // without a consumer
    events.push(decision::drain_requested{}, 1s);
    edge::callers_options options;
    options.address = {"127.0.0.1", edge::free_port()};
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    tree.add(std::make_unique<edge::callers>(options, directory, ids, events, time, metrics));
    tree.start([](const base::error&) {});
    REQUIRE(wait_until([&] { return reachable(options.address); }));
    const std::string answer = test_caller(options.address).ask("POST", "/v1/chat/completions", chat);
    CHECK(contains(answer, "HTTP/1.1 503"));
    CHECK(contains(answer, "Outcome: not_run"));
}

TEST_CASE("a stop lets requests in progress finish") {
    standin::engine_options options;
    options.tokens = 10;
    options.token_time = 50ms;
    edge_fixture fixture(options);
    test_caller client(fixture.address);
    client.send("POST", "/v1/chat/completions", chat);
    client.read("data: ");
    std::future<void> stopped = std::async(std::launch::async, [&fixture] { fixture.tree.stop(); });
    const std::string answer = decode_chunked(client.read());
    CHECK(answer.find(fixture.model.streamed_answer(chat) + "event: outcome\ndata: {\"outcome\":\"ran\"") ==
          0);
    CHECK(stopped.wait_for(3s) == std::future_status::ready);
}

TEST_CASE("a stop ends requests that are not served with an outcome and an error code") {
    edge::callers_options options;
    options.stop_limit = 200ms;
    edge_fixture fixture({}, options);
    fixture.decider->hold = true;
    test_caller client(fixture.address);
    client.send("POST", "/v1/chat/completions", chat);
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 1; }));
    std::future<void> stopped = std::async(std::launch::async, [&fixture] { fixture.tree.stop(); });
    CHECK(contains(client.read("\"outcome\":\"not_run\""), "\"code\":\"draining\""));
    CHECK(contains(client.read("\"outcome\":\"not_run\""), "HTTP/1.1 503"));
    CHECK(contains(client.read("\"outcome\":\"not_run\""), "Retry-After: 1"));
    CHECK(stopped.wait_for(3s) == std::future_status::ready);
}

TEST_CASE(
    "a stop does not answer a request that an upstream has got with a status that says it did not run") {
    standin::engine_options engine;
    engine.tokens = 10;
    engine.token_time = 200ms;
    edge::callers_options options;
    options.stop_limit = 200ms;
    edge_fixture fixture(engine, options);
    test_caller client(fixture.address);
    client.send("POST", "/v1/chat/completions", whole_chat);
    REQUIRE(wait_until([&] { return fixture.decider->arrived_count == 1; }));
    std::this_thread::sleep_for(300ms); // the request is at the upstream
    std::future<void> stopped = std::async(std::launch::async, [&fixture] { fixture.tree.stop(); });
    const std::string answer = client.read("\"code\":\"draining\"");
    CHECK(contains(answer, "HTTP/1.1 504"));
    CHECK(contains(answer, "Outcome: outcome_unknown"));
    CHECK(stopped.wait_for(3s) == std::future_status::ready);
}

TEST_CASE("requests are counted by class, outcome and cause") {
    edge_fixture fixture;
    test_caller(fixture.address).ask("POST", "/v1/chat/completions", chat);
    const std::string text = fixture.metrics.text();
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

TEST_CASE("the admin port reports the state of the router and starts a drain") {
    base::steady_clock time;
    fake_operations operations;
    edge::admin_options options;
    options.address = {"127.0.0.1", edge::free_port()};
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    tree.add(std::make_unique<edge::admin>(options, operations));
    tree.start([](const base::error&) {});
    REQUIRE(wait_until([&] { return reachable(options.address); }));
    const auto get = [&](const std::string& target, const std::string& method = "GET") {
        return test_caller(options.address).ask(method, target, "");
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
