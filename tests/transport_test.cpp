#include "base/supervisor.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/load.h"
#include "upstream/transport.h"
#include "wire.h"

#include <array>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstdio>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bluebell;
using namespace std::chrono_literals;
using base::error_code;
using decision::attempt_status;

namespace {

constexpr base::duration test_timeout = 5s;

/// An exchange that records what the transport delivers.
class recording_exchange final : public decision::exchange {
public:
    explicit recording_exchange(std::string body, bool streamed = true) {
        content_.method = "POST";
        content_.path = "/v1/chat/completions";
        content_.body = std::move(body);
        content_.streamed = streamed;
    }
    decision::content& content() { return content_; }
    [[nodiscard]] const decision::content& request_content() const override { return content_; }
    [[nodiscard]] bool begin_attempt() override { return !withdrawn; }
    void begin(const decision::answer_head& head) override {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++head_count_;
        status_ = head.status;
    }
    [[nodiscard]] bool deliver(std::string bytes) override {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            text_ += bytes;
        }
        changed_.notify_all();
        return !too_slow;
    }
    void finish(const decision::verdict&) override {}

    [[nodiscard]] std::string text() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return text_;
    }
    [[nodiscard]] int head_count() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return head_count_;
    }
    [[nodiscard]] int status() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return status_;
    }
    bool wait_for(std::size_t bytes) {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, test_timeout, [&] { return text_.size() >= bytes; });
    }
    std::atomic<bool> withdrawn{false};
    std::atomic<bool> too_slow{false};

private:
    decision::content content_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string text_;
    int head_count_ = 0;
    int status_ = 0;
};

/// Runs a transport with its rings and sends it commands as the decider does.
struct transport_fixture {
    explicit transport_fixture(upstream::attempt_limits limits = {}, std::size_t events_capacity = 1024)
        : events(events_capacity) {
        tree.add(std::make_unique<upstream::transport>(commands, events, time, limits));
        tree.start([](const base::error&) {});
    }

    decision::dispatch dispatch_to(const standin::server& to,
                                   const std::shared_ptr<decision::exchange>& exchange, std::uint64_t id,
                                   std::uint32_t number = 1) {
        return dispatch_to(to.address(), exchange, id, number);
    }
    decision::dispatch dispatch_to(const decision::endpoint& to,
                                   const std::shared_ptr<decision::exchange>& exchange, std::uint64_t id,
                                   std::uint32_t number = 1) {
        decision::dispatch command;
        command.attempt = {base::request_id(base::uint128{0, id}), base::attempt_number(number)};
        command.target.id = base::upstream_id("up");
        command.target.address = to;
        command.deadline = time.now() + 60s;
        command.caller_exchange = exchange;
        return command;
    }
    void push(decision::transport_command command) { commands.push(std::move(command), 1s); }

    /// Waits for the next `attempt_ended` and records the progress reported before it.
    decision::attempt_ended next_end() {
        const base::time_point end = time.now() + test_timeout;
        while (time.now() < end) {
            const std::optional<decision::event> next = events.pop(100ms);
            if (!next) {
                continue;
            }
            if (const decision::attempt_ended* const ended = std::get_if<decision::attempt_ended>(&*next)) {
                return *ended;
            }
            progress.push_back(std::get<decision::attempt_progress>(*next).spent);
        }
        FAIL("no attempt ended");
        return {};
    }
    decision::attempt_ended run(decision::dispatch command) {
        push(std::move(command));
        return next_end();
    }

    base::steady_clock time;
    base::ring<decision::transport_command> commands{256};
    base::ring<decision::event> events;
    std::vector<base::cost> progress;
    base::supervisor tree{"test", base::restart_strategy::one_for_one, {}, time};
};

std::string chat(const std::string& text, int tokens = 5) {
    return R"({"model":"m","stream":true,"max_tokens":)" + std::to_string(tokens) +
           R"(,"messages":[{"role":"user","content":")" + text + "\"}]}";
}

/// A listening socket that never accepts. Its queue is full, so further connections are never established.
class unresponsive_listener {
public:
    unresponsive_listener() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
        sockets_.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        REQUIRE(::bind(sockets_.front(), generic, size) == 0);
        REQUIRE(::listen(sockets_.front(), 0) == 0);
        REQUIRE(::getsockname(sockets_.front(), generic, &size) == 0);
        port = ntohs(address.sin_port);
        for (int i = 0; i < 3; ++i) {
            sockets_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(
                ::connect(sockets_.back(), generic, size)); // in progress or not, both fill the queue
        }
    }
    unresponsive_listener(const unresponsive_listener&) = delete;
    unresponsive_listener& operator=(const unresponsive_listener&) = delete;
    unresponsive_listener(unresponsive_listener&&) = delete;
    unresponsive_listener& operator=(unresponsive_listener&&) = delete;
    ~unresponsive_listener() {
        for (const int socket : sockets_) {
            ::close(socket);
        }
    }
    std::uint16_t port = 0;

private:
    std::vector<int> sockets_;
};

} // namespace

TEST_CASE("the answer parser accepts an answer split at any byte") {
    const std::string wire =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: u\r\n\r\n";
    for (std::size_t step = 1; step <= wire.size(); ++step) {
        upstream::answer_parser parser(true);
        std::string body;
        for (std::size_t offset = 0; offset < wire.size(); offset += step) {
            REQUIRE(parser.feed(std::string_view(wire).substr(offset, step), body));
        }
        CHECK(parser.done());
        CHECK(body == "hello world");
        CHECK(parser.head().status == 200);
    }
}

TEST_CASE("the answer parser refuses malformed answers") {
    for (const char* wire :
         {"HTTP/1.1 200 OK\r\n\r\n", "nonsense\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 000 OK\r\n",
          "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 2 0 OK\r\n",
          "HTTP/1.1 200OK\r\n", "HTTP/1.1x200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 200 OK\r\n: a\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
        upstream::answer_parser parser(true);
        std::string body;
        CHECK(parser.feed(wire, body).error().code == error_code::upstream_malformed_answer);
    }
    upstream::answer_parser parser(true);
    std::string body;
    CHECK_FALSE(parser.feed(std::string(100000, 'x'), body));
}

TEST_CASE("the event counter counts events split at any byte and leaves out the final record") {
    const std::string text = "data: {\"a\":\"data:\"}\n\nevent: x\ndata: b\n\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step < text.size(); ++step) {
        upstream::event_counter counter;
        for (std::size_t offset = 0; offset < text.size(); offset += step) {
            counter.add(std::string_view(text).substr(offset, step));
        }
        CHECK(counter.count() == 2);
    }
}

TEST_CASE("the digest of a delivered prefix does not depend on how the bytes were split") {
    upstream::delivered_prefix whole;
    whole.add("hello world");
    upstream::delivered_prefix parts;
    parts.add("hel");
    parts.add("lo world");
    CHECK(whole == parts);
    upstream::delivered_prefix other;
    other.add("hello worle");
    CHECK_FALSE(whole == other);
}

TEST_CASE("a streamed answer arrives complete and its cost is counted") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture;
    const std::string body = chat("cost", 30);
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(body);
    const decision::attempt_ended ended = fixture.run(fixture.dispatch_to(engine, exchange, 1));
    CHECK(ended.result.status == attempt_status::completed);
    CHECK(exchange->text() == engine.streamed_answer(body));
    CHECK(exchange->head_count() == 1);
    CHECK(ended.result.delivered.value() == exchange->text().size());
    const std::size_t prompt = body.size() / 4;
    CHECK(ended.result.spent == base::cost(static_cast<double>(prompt + 30)));
    // 30 tokens of 10 ms each, with at least 100 ms between two reports.
    CHECK(fixture.progress.size() >= 2);
    CHECK(fixture.progress.size() <= 4);
}

TEST_CASE("an answer that is not streamed keeps its status and cost, and a large body is sent whole") {
    standin::engine engine({});
    standin::service service({});
    engine.start();
    service.start();
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(R"({"model":"m","max_tokens":3})", false);
    CHECK(fixture.run(fixture.dispatch_to(engine, exchange, 1)).result.spent.value() == 7 + 3);
    const std::shared_ptr<recording_exchange> large =
        std::make_shared<recording_exchange>(std::string(3000000, 'x'), false);
    large->content().path = "/echo?a=b";
    decision::dispatch command = fixture.dispatch_to(service, large, 2);
    command.kind = decision::pool_kind::service;
    const decision::attempt_ended ended = fixture.run(command);
    CHECK(ended.result.status == attempt_status::completed);
    CHECK(large->text() == "POST /echo?a=b\n" + std::string(3000000, 'x'));
    CHECK(ended.result.spent.value() >= 10); // milliseconds
}

TEST_CASE("a refused connection and an unreachable upstream count as not sent") {
    upstream::attempt_limits limits;
    limits.connect = 200ms;
    transport_fixture fixture(limits);
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("refused"));
    const decision::attempt_ended refused =
        fixture.run(fixture.dispatch_to(decision::endpoint{"127.0.0.1", edge::free_port()}, exchange, 1));
    CHECK(refused.result.status == attempt_status::not_sent);
    CHECK(refused.result.cause->code == error_code::upstream_refused_connection);
    const unresponsive_listener unresponsive;
    const decision::attempt_ended unreachable =
        fixture.run(fixture.dispatch_to(decision::endpoint{"127.0.0.1", unresponsive.port}, exchange, 2));
    CHECK(unreachable.result.status == attempt_status::not_sent);
    CHECK(exchange->head_count() == 0);
}

TEST_CASE("a request that reached a crashing upstream is reported as interrupted and not sent again") {
    standin::engine engine({});
    engine.start();
    engine.faults().add({standin::fault_kind::crash, "poison", 1, 200ms, 0});
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("poison"));
    const decision::attempt_ended ended = fixture.run(fixture.dispatch_to(engine, exchange, 1));
    CHECK(ended.result.status == attempt_status::interrupted);
    CHECK(ended.result.cause->code == error_code::upstream_closed_connection);
    std::this_thread::sleep_for(300ms);
    CHECK(engine.runs(chat("poison")) == 0);
}

TEST_CASE("an answer that ends inside its head begins no answer and is reported as interrupted") {
    bluebell::tests::fake_server server;
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("a"));
    fixture.push(fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1));
    bluebell::tests::wire upstream = server.accept();
    upstream.read_request();
    upstream.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    upstream.close();
    CHECK(fixture.next_end().result.status == attempt_status::interrupted);
    CHECK(exchange->head_count() == 0);
}

// Guards against a part of a stream that counts as the whole one.
TEST_CASE("a stream that ends inside an event is reported as interrupted, with a length and in chunks") {
    bluebell::tests::fake_server server;
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("a"));
    fixture.push(fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1));
    bluebell::tests::wire upstream = server.accept();
    upstream.read_request();
    const bool whole = GENERATE(true, false);
    const std::string events =
        whole
            ? GENERATE(as<std::string>(), "data: a\n\n", "data: a\r\n\r\n", "data: a\n\n\n")
            : GENERATE(as<std::string>(), "data: a", "data: a\n", "data: a\n\nda", "data: a\n\ndata: b\r\n");
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    if (GENERATE(true, false)) {
        upstream.send(head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events);
    } else {
        upstream.send(head + "Transfer-Encoding: chunked\r\n\r\n1\r\n" + events.front() + "\r\n");
        std::array<char, 8> rest{};
        std::snprintf(rest.data(), rest.size(), "%zx", events.size() - 1);
        upstream.send(rest.data() + ("\r\n" + events.substr(1)) + "\r\n0\r\n\r\n");
    }
    const decision::attempt_ended ended = fixture.next_end();
    CAPTURE(events);
    CHECK((ended.result.status == attempt_status::completed) == whole);
    CHECK((ended.result.status == attempt_status::interrupted) == !whole);
    CHECK(ended.result.delivered.value() == events.size());
}

TEST_CASE("a silent upstream ends the attempt at its time limit and the connection is not reused") {
    standin::engine engine({});
    engine.start();
    engine.faults().add({standin::fault_kind::silent, "hush", 1, 0ms, 0});
    upstream::attempt_limits limits;
    limits.first_byte = 200ms;
    transport_fixture fixture(limits);
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("hush"));
    const base::time_point start = fixture.time.now();
    const decision::attempt_ended ended = fixture.run(fixture.dispatch_to(engine, exchange, 1));
    CHECK(ended.result.status == attempt_status::silent);
    CHECK(fixture.time.now() - start < 400ms);
    const decision::attempt_ended second = fixture.run(fixture.dispatch_to(engine, exchange, 1, 2));
    CHECK(second.result.status == attempt_status::completed);
    CHECK(exchange->text() == engine.streamed_answer(chat("hush")));
}

TEST_CASE("an attempt ends when its stream pauses too long or its deadline passes") {
    standin::engine_options engine_options;
    engine_options.token_time = 300ms;
    standin::engine engine(engine_options);
    engine.start();
    upstream::attempt_limits limits;
    limits.between_bytes = 100ms;
    transport_fixture fixture(limits);
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("pause"));
    CHECK(fixture.run(fixture.dispatch_to(engine, exchange, 1)).result.status == attempt_status::silent);
    decision::dispatch late = fixture.dispatch_to(engine, exchange, 2);
    late.deadline = fixture.time.now() + 100ms;
    const decision::attempt_ended ended = fixture.run(late);
    CHECK(ended.result.status == attempt_status::silent);
    CHECK(ended.result.cause->code == error_code::deadline_exceeded);
}

TEST_CASE("a broken stream resumes at the delivered offset without a gap or a repetition") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture;
    const std::string body = chat("resume", 10);
    for (const bool resumes : {true, false}) {
        engine.faults().add({standin::fault_kind::cut, "resume", 1, 0ms, 77});
        const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(body);
        const std::uint64_t id = resumes ? 1 : 2;
        const decision::attempt_ended broken = fixture.run(fixture.dispatch_to(engine, exchange, id));
        CHECK(broken.result.status == attempt_status::interrupted);
        CHECK(broken.result.delivered.value() == 77);
        decision::dispatch next = fixture.dispatch_to(engine, exchange, id, 2);
        next.resume_from = broken.result.delivered;
        next.target.can_resume = resumes;
        CHECK(fixture.run(next).result.status == attempt_status::completed);
        CHECK(exchange->text() == engine.streamed_answer(body));
        CHECK(exchange->head_count() == 1);
    }
}

// Guards against answers joined of two software versions: an engine has been replaced by a newer one.
TEST_CASE("a broken stream resumes only at the software version that began it") {
    bluebell::tests::fake_server server;
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("a"));
    const std::string first_version = GENERATE(as<std::string>(), "Engine-Version: v1\r\n", "");
    const std::string second_version =
        GENERATE(as<std::string>(), "engine-version: v1\r\n", "Engine-Version: v2\r\n", "");
    const auto answer = [](const std::string& version, const std::string& text) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + version +
               "Content-Length: 18\r\n\r\n" + text;
    };
    const std::string begun = "data: a\n\n";
    fixture.push(fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1));
    bluebell::tests::wire first = server.accept();
    first.read_request();
    first.send(answer(first_version, begun));
    REQUIRE(exchange->wait_for(begun.size()));
    first.close();
    decision::dispatch next = fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1, 2);
    next.resume_from = fixture.next_end().result.delivered;
    next.kind = decision::pool_kind::model;
    next.target.can_resume = true;
    fixture.push(next);
    bluebell::tests::wire second = server.accept();
    const bool resumed = second.read_request().find("resume_from") != std::string::npos;
    // Without a known version, the engine repeats the whole answer, whose beginning can be compared.
    CHECK(resumed == !first_version.empty());
    const bool same = !first_version.empty() && second_version == "engine-version: v1\r\n";
    second.send(answer(second_version, resumed ? "data: b\n\n" : "data: x\n\ndata: b\n\n"));
    second.close();
    CHECK(fixture.next_end().result.status == attempt_status::interrupted);
    CHECK(exchange->text() == (same ? begun + "data: b\n\n" : begun));
}

TEST_CASE("a success that is no event stream is not joined to a stream that is resumed") {
    bluebell::tests::fake_server server;
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(chat("a"));
    fixture.push(fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1));
    bluebell::tests::wire first = server.accept();
    first.read_request();
    const std::string event = "data: a\n\n";
    first.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Version: v1\r\n"
               "Content-Length: 100\r\n\r\n" +
               event);
    REQUIRE(exchange->wait_for(event.size()));
    first.close();
    const decision::attempt_ended broken = fixture.next_end();
    decision::dispatch next = fixture.dispatch_to({"127.0.0.1", server.port()}, exchange, 1, 2);
    next.resume_from = broken.result.delivered;
    next.kind = decision::pool_kind::model;
    next.target.can_resume = true;
    fixture.push(next);
    bluebell::tests::wire second = server.accept();
    second.read_request();
    second.send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nEngine-Version: v1\r\nContent-Length: 10\r\n\r\n"
        "error text");
    CHECK(fixture.next_end().result.status == attempt_status::interrupted);
    CHECK(exchange->text() == event);
}

TEST_CASE("a repeated answer that differs from the delivered part does not reach the caller") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture;
    engine.faults().add({standin::fault_kind::cut, "first", 1, 0ms, 77});
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("first", 10));
    fixture.run(fixture.dispatch_to(engine, exchange, 1));
    exchange->content().body = chat("other", 10); // the engine then generates another answer
    decision::dispatch next = fixture.dispatch_to(engine, exchange, 1, 2);
    next.resume_from = base::byte_count(77);
    next.target.can_resume = false;
    const decision::attempt_ended ended = fixture.run(next);
    CHECK(ended.result.status == attempt_status::interrupted);
    CHECK(ended.result.cause->code == error_code::upstream_malformed_answer);
    CHECK(exchange->text().size() == 77);
}

TEST_CASE("a cancelled attempt delivers nothing more and its stream is cancelled at the engine") {
    standin::engine_options engine_options;
    engine_options.token_time = 20ms;
    standin::engine engine(engine_options);
    engine.start();
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("cancel", 500));
    const decision::dispatch command = fixture.dispatch_to(engine, exchange, 1);
    fixture.push(command);
    REQUIRE(exchange->wait_for(50));
    fixture.push(decision::cancel_attempt{command.attempt});
    CHECK(fixture.next_end().result.status == attempt_status::cancelled);
    const std::size_t delivered = exchange->text().size();
    std::this_thread::sleep_for(150ms);
    CHECK(exchange->text().size() == delivered);
    CHECK(engine.cancelled() == 1);
    // A second cancellation reports no second end.
    fixture.push(decision::cancel_attempt{command.attempt});
    CHECK_FALSE(fixture.events.pop(100ms));
}

TEST_CASE("a stopping transport reports attempts in progress as interrupted, not as not sent") {
    standin::engine_options engine_options;
    engine_options.token_time = 20ms;
    standin::engine engine(engine_options);
    engine.start();
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("stop", 500));
    fixture.push(fixture.dispatch_to(engine, exchange, 1));
    REQUIRE(exchange->wait_for(50));
    fixture.tree.stop();
    CHECK(fixture.next_end().result.status == attempt_status::interrupted);
}

TEST_CASE("an attempt ends if its caller does not read") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("slow", 50));
    exchange->too_slow = true;
    const decision::attempt_ended ended = fixture.run(fixture.dispatch_to(engine, exchange, 1));
    CHECK(ended.result.status == attempt_status::cancelled);
    CHECK(ended.result.cause->code == error_code::caller_too_slow);
}

TEST_CASE("a request is not sent if its caller has given it up") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture;
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("withdrawn"));
    exchange->withdrawn = true;
    CHECK(fixture.run(fixture.dispatch_to(engine, exchange, 1)).result.status == attempt_status::not_sent);
    CHECK(engine.runs(chat("withdrawn")) == 0);
}

TEST_CASE("interleaved and late answers of many attempts reach their own exchange only") {
    standin::engine_options options;
    options.slots = 64;
    options.token_time = 2ms;
    standin::engine engine(options);
    engine.start();
    engine.faults().add({standin::fault_kind::late, "caller 1", 8, 100ms, 0});
    transport_fixture fixture;
    std::vector<std::shared_ptr<recording_exchange>> callers;
    for (int i = 0; i < 60; ++i) {
        callers.push_back(std::make_shared<recording_exchange>(chat("caller " + std::to_string(i), 10)));
        fixture.push(fixture.dispatch_to(engine, callers.back(), static_cast<std::uint64_t>(i)));
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        CHECK(fixture.next_end().result.status == attempt_status::completed);
    }
    for (const std::shared_ptr<recording_exchange>& caller : callers) {
        CHECK(caller->text() == engine.streamed_answer(caller->content().body));
    }
}

TEST_CASE("every attempt end is reported after the ring of events was full") {
    standin::engine engine({});
    engine.start();
    transport_fixture fixture({}, 2);
    const std::shared_ptr<recording_exchange> exchange =
        std::make_shared<recording_exchange>(chat("full", 1));
    for (std::uint64_t i = 0; i < 20; ++i) {
        fixture.push(fixture.dispatch_to(engine, exchange, i));
    }
    std::this_thread::sleep_for(400ms);
    std::set<decision::attempt_key> ended;
    for (int i = 0; i < 20; ++i) {
        ended.insert(fixture.next_end().attempt);
    }
    CHECK(ended.size() == 20);
}

TEST_CASE("load is reported for watched upstreams only and a silent upstream delays no other") {
    standin::engine_options slots;
    slots.slots = 5;
    standin::engine engine(slots);
    engine.start();
    const unresponsive_listener unresponsive;
    base::steady_clock time;
    base::ring<decision::watch_load> commands(4);
    base::ring<decision::event> events(64);
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    upstream::load_poller_options options;
    options.period = 100ms;
    tree.add(std::make_unique<upstream::load_poller>(commands, events, time, options));
    tree.start([](const base::error&) {});
    CHECK_FALSE(events.pop(150ms));
    decision::watch_load watch;
    watch.upstreams.resize(2);
    watch.upstreams[0].id = base::upstream_id("deaf");
    watch.upstreams[0].address = {"127.0.0.1", unresponsive.port};
    watch.upstreams[1].id = base::upstream_id("up");
    watch.upstreams[1].address = engine.address();
    commands.push(watch, 1s);
    for (int i = 0; i < 3; ++i) {
        const std::optional<decision::event> next = events.pop(1s);
        REQUIRE(next);
        const decision::load_reported& report = std::get<decision::load_reported>(*next);
        CHECK(report.upstream == base::upstream_id("up"));
        CHECK(report.load.slots == base::slot_count(5));
        CHECK(report.load.running == 0);
    }
    CHECK_FALSE(upstream::parse_load("{\"running\":1}"));
    CHECK_FALSE(upstream::parse_load(R"({"running":1,"waiting":0,"slots":-1})"));
}

TEST_CASE("a load report that is nested too deeply does not end the process") {
    std::string report(R"({"running":1,"waiting":0,"slots":4,"extra":)");
    report += std::string(100000, '[') + std::string(100000, ']') + '}';
    CHECK_FALSE(upstream::parse_load(report));
    CHECK_FALSE(upstream::parse_load("//\"\n" + report));
}

TEST_CASE("a load report with a number out of range or no whole number is refused") {
    for (const char* const number : {"1e300", "-1", "4.5", "99999999999999999999", "\"x\"", "[]", "null"}) {
        CAPTURE(number);
        for (const std::string name : {"running", "waiting", "slots"}) {
            const auto value = [&](const char* member) { return std::string(member == name ? number : "1"); };
            CHECK_FALSE(upstream::parse_load(R"({"running":)" + value("running") + R"(,"waiting":)" +
                                             value("waiting") + R"(,"slots":)" + value("slots") + "}"));
        }
    }
}

TEST_CASE("engines that check the fencing token refuse an older one") {
    standin::engine_options ignoring;
    ignoring.checks_fence = false;
    standin::engine strict({});
    standin::engine lax(ignoring);
    strict.start();
    lax.start();
    transport_fixture fixture;
    const int expected[] = {200, 409, 200, 200};
    int case_index = 0;
    for (const standin::engine* target : {&strict, &lax}) {
        for (const int fence : {7, 6}) {
            const std::shared_ptr<recording_exchange> exchange = std::make_shared<recording_exchange>(
                "{\"fence\":" + std::to_string(fence) + ",\"model\":\"m\"}", false);
            exchange->content().path = "/orders";
            fixture.run(fixture.dispatch_to(*target, exchange, static_cast<std::uint64_t>(case_index)));
            CHECK(exchange->status() == expected[case_index++]);
        }
    }
}
