#include "base/supervisor.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/load.h"
#include "upstream/transport.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bluebell;
using namespace std::chrono_literals;
using base::error_code;
using decision::attempt_status;

namespace {

constexpr base::duration time_limit = 5s;

/// Collects what the transport delivers.
class recorder final : public decision::exchange {
public:
    explicit recorder(std::string body, bool streamed = true) {
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
        ++begins_;
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
    [[nodiscard]] int begins() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return begins_;
    }
    [[nodiscard]] int status() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return status_;
    }
    bool wait_for(std::size_t bytes) {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, time_limit, [&] { return text_.size() >= bytes; });
    }
    std::atomic<bool> withdrawn{false};
    std::atomic<bool> too_slow{false};

private:
    decision::content content_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string text_;
    int begins_ = 0;
    int status_ = 0;
};

/// A transport with its rings, and the orders of a decider.
struct bench {
    explicit bench(upstream::attempt_limits limits = {}, std::size_t events_capacity = 1024)
        : events(events_capacity) {
        tree.add(std::make_unique<upstream::transport>(commands, events, time, limits));
        tree.start([](const base::error&) {});
    }

    decision::dispatch order(const standin::server& to, const std::shared_ptr<decision::exchange>& with,
                             std::uint64_t id, std::uint32_t number = 1) {
        return order(to.address(), with, id, number);
    }
    decision::dispatch order(const decision::endpoint& to, const std::shared_ptr<decision::exchange>& with,
                             std::uint64_t id, std::uint32_t number = 1) {
        decision::dispatch made;
        made.attempt = {base::request_id(base::uint128{0, id}), base::attempt_number(number)};
        made.target.id = base::upstream_id("up");
        made.target.address = to;
        made.deadline = time.now() + 60s;
        made.caller_exchange = with;
        return made;
    }
    void push(decision::transport_command command) { commands.push(std::move(command), 1s); }

    /// The end of the next attempt; progress before it is counted.
    decision::attempt_ended next_end() {
        const base::time_point end = time.now() + time_limit;
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
    decision::attempt_ended run(decision::dispatch what) {
        push(std::move(what));
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

/// Listens without accepting and has its queue filled, so that further connections are never established.
class deaf_listener {
public:
    deaf_listener() {
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
    deaf_listener(const deaf_listener&) = delete;
    deaf_listener& operator=(const deaf_listener&) = delete;
    deaf_listener(deaf_listener&&) = delete;
    deaf_listener& operator=(deaf_listener&&) = delete;
    ~deaf_listener() {
        for (const int socket : sockets_) {
            ::close(socket);
        }
    }
    std::uint16_t port = 0;

private:
    std::vector<int> sockets_;
};

} // namespace

TEST_CASE("an answer is read whole however its parts are cut") {
    const std::string wire =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: u\r\n\r\n";
    for (std::size_t step = 1; step <= wire.size(); ++step) {
        upstream::answer_parser parser(true);
        std::string body;
        for (std::size_t at = 0; at < wire.size(); at += step) {
            REQUIRE(parser.feed(std::string_view(wire).substr(at, step), body));
        }
        CHECK(parser.done());
        CHECK(body == "hello world");
        CHECK(parser.head().status == 200);
    }
}

TEST_CASE("a malformed answer is not taken for a complete one") {
    for (const char* wire :
         {"HTTP/1.1 200 OK\r\n\r\n", "nonsense\r\n", "HTTP/1.1 2x0 OK\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n",
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

TEST_CASE("generated events are counted across cuts and the last record is not") {
    const std::string text = "data: {\"a\":\"data:\"}\n\nevent: x\ndata: b\n\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step < text.size(); ++step) {
        upstream::event_counter counter;
        for (std::size_t at = 0; at < text.size(); at += step) {
            counter.add(std::string_view(text).substr(at, step));
        }
        CHECK(counter.count() == 2);
    }
}

TEST_CASE("the digest of a delivered prefix does not depend on how it was cut") {
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
    bench under_test;
    const std::string body = chat("cost", 30);
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(body);
    const decision::attempt_ended ended = under_test.run(under_test.order(engine, with, 1));
    CHECK(ended.result.status == attempt_status::completed);
    CHECK(with->text() == engine.streamed_answer(body));
    CHECK(with->begins() == 1);
    CHECK(ended.result.delivered.value() == with->text().size());
    const std::size_t prompt = body.size() / 4;
    CHECK(ended.result.spent == base::cost(static_cast<double>(prompt + 30)));
    // 30 tokens of 10 ms at 100 ms between reports.
    CHECK(under_test.progress.size() >= 2);
    CHECK(under_test.progress.size() <= 4);
}

TEST_CASE("a whole answer keeps status and cost, and a large body is sent whole") {
    standin::engine engine({});
    standin::service service({});
    engine.start();
    service.start();
    bench under_test;
    const std::shared_ptr<recorder> with =
        std::make_shared<recorder>(R"({"model":"m","max_tokens":3})", false);
    CHECK(under_test.run(under_test.order(engine, with, 1)).result.spent.value() == 7 + 3);
    const std::shared_ptr<recorder> large = std::make_shared<recorder>(std::string(3000000, 'x'), false);
    large->content().path = "/echo?a=b";
    decision::dispatch order = under_test.order(service, large, 2);
    order.kind = decision::pool_kind::service;
    const decision::attempt_ended ended = under_test.run(order);
    CHECK(ended.result.status == attempt_status::completed);
    CHECK(large->text() == "POST /echo?a=b\n" + std::string(3000000, 'x'));
    CHECK(ended.result.spent.value() >= 10); // milliseconds
}

TEST_CASE("a refused connection and an unreachable upstream count as not sent") {
    upstream::attempt_limits limits;
    limits.connect = 200ms;
    bench under_test(limits);
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("refused"));
    const decision::attempt_ended refused =
        under_test.run(under_test.order(decision::endpoint{"127.0.0.1", edge::free_port()}, with, 1));
    CHECK(refused.result.status == attempt_status::not_sent);
    CHECK(refused.result.cause->code == error_code::upstream_refused_connection);
    const deaf_listener deaf;
    const decision::attempt_ended unreachable =
        under_test.run(under_test.order(decision::endpoint{"127.0.0.1", deaf.port}, with, 2));
    CHECK(unreachable.result.status == attempt_status::not_sent);
    CHECK(with->begins() == 0);
}

TEST_CASE("a request that reached a crashing upstream is never reported as not sent nor sent again") {
    standin::engine engine({});
    engine.start();
    engine.faults().add({standin::fault_kind::crash, "poison", 1, 200ms, 0});
    bench under_test;
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("poison"));
    const decision::attempt_ended ended = under_test.run(under_test.order(engine, with, 1));
    CHECK(ended.result.status == attempt_status::interrupted);
    CHECK(ended.result.cause->code == error_code::upstream_closed_connection);
    std::this_thread::sleep_for(300ms);
    CHECK(engine.runs(chat("poison")) == 0);
}

TEST_CASE("a silent upstream ends the attempt at its limit and the connection is not used again") {
    standin::engine engine({});
    engine.start();
    engine.faults().add({standin::fault_kind::silent, "hush", 1, 0ms, 0});
    upstream::attempt_limits limits;
    limits.first_byte = 200ms;
    bench under_test(limits);
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("hush"));
    const base::time_point start = under_test.time.now();
    const decision::attempt_ended ended = under_test.run(under_test.order(engine, with, 1));
    CHECK(ended.result.status == attempt_status::silent);
    CHECK(under_test.time.now() - start < 400ms);
    const decision::attempt_ended second = under_test.run(under_test.order(engine, with, 1, 2));
    CHECK(second.result.status == attempt_status::completed);
    CHECK(with->text() == engine.streamed_answer(chat("hush")));
}

TEST_CASE("a stream that pauses too long and a deadline that passes end the attempt") {
    standin::engine_options slow;
    slow.token_time = 300ms;
    standin::engine engine(slow);
    engine.start();
    upstream::attempt_limits limits;
    limits.between_bytes = 100ms;
    bench under_test(limits);
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("pause"));
    CHECK(under_test.run(under_test.order(engine, with, 1)).result.status == attempt_status::silent);
    decision::dispatch late = under_test.order(engine, with, 2);
    late.deadline = under_test.time.now() + 100ms;
    const decision::attempt_ended ended = under_test.run(late);
    CHECK(ended.result.status == attempt_status::silent);
    CHECK(ended.result.cause->code == error_code::deadline_exceeded);
}

TEST_CASE("a broken stream resumes at the delivered offset without a gap or a repeat") {
    standin::engine engine({});
    engine.start();
    bench under_test;
    const std::string body = chat("resume", 10);
    for (const bool resumes : {true, false}) {
        engine.faults().add({standin::fault_kind::cut, "resume", 1, 0ms, 77});
        const std::shared_ptr<recorder> with = std::make_shared<recorder>(body);
        const std::uint64_t id = resumes ? 1 : 2;
        const decision::attempt_ended broken = under_test.run(under_test.order(engine, with, id));
        CHECK(broken.result.status == attempt_status::interrupted);
        CHECK(broken.result.delivered.value() == 77);
        decision::dispatch next = under_test.order(engine, with, id, 2);
        next.resume_from = broken.result.delivered;
        next.target.can_resume = resumes;
        CHECK(under_test.run(next).result.status == attempt_status::completed);
        CHECK(with->text() == engine.streamed_answer(body));
        CHECK(with->begins() == 1);
    }
}

TEST_CASE("a repeated answer that differs from the delivered part does not reach the caller") {
    standin::engine engine({});
    engine.start();
    bench under_test;
    engine.faults().add({standin::fault_kind::cut, "first", 1, 0ms, 77});
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("first", 10));
    under_test.run(under_test.order(engine, with, 1));
    with->content().body = chat("other", 10); // makes the engine answer something else
    decision::dispatch next = under_test.order(engine, with, 1, 2);
    next.resume_from = base::byte_count(77);
    next.target.can_resume = false;
    const decision::attempt_ended ended = under_test.run(next);
    CHECK(ended.result.status == attempt_status::interrupted);
    CHECK(ended.result.cause->code == error_code::upstream_malformed_answer);
    CHECK(with->text().size() == 77);
}

TEST_CASE("a cancelled attempt delivers nothing more and the engine stops it") {
    standin::engine_options slow;
    slow.token_time = 20ms;
    standin::engine engine(slow);
    engine.start();
    bench under_test;
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("cancel", 500));
    const decision::dispatch order = under_test.order(engine, with, 1);
    under_test.push(order);
    REQUIRE(with->wait_for(50));
    under_test.push(decision::cancel_attempt{order.attempt});
    CHECK(under_test.next_end().result.status == attempt_status::cancelled);
    const std::size_t delivered = with->text().size();
    std::this_thread::sleep_for(150ms);
    CHECK(with->text().size() == delivered);
    CHECK(engine.cancelled() == 1);
    // A second cancel has no second end.
    under_test.push(decision::cancel_attempt{order.attempt});
    CHECK_FALSE(under_test.events.pop(100ms));
}

TEST_CASE("a transport that stops reports attempts in progress as interrupted, not as unsent") {
    standin::engine_options slow;
    slow.token_time = 20ms;
    standin::engine engine(slow);
    engine.start();
    bench under_test;
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("stop", 500));
    under_test.push(under_test.order(engine, with, 1));
    REQUIRE(with->wait_for(50));
    under_test.tree.stop();
    CHECK(under_test.next_end().result.status == attempt_status::interrupted);
}

TEST_CASE("a caller that does not read ends its attempt") {
    standin::engine engine({});
    engine.start();
    bench under_test;
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("slow", 50));
    with->too_slow = true;
    const decision::attempt_ended ended = under_test.run(under_test.order(engine, with, 1));
    CHECK(ended.result.status == attempt_status::cancelled);
    CHECK(ended.result.cause->code == error_code::caller_too_slow);
}

TEST_CASE("a request that its caller gave up is not sent") {
    standin::engine engine({});
    engine.start();
    bench under_test;
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("withdrawn"));
    with->withdrawn = true;
    CHECK(under_test.run(under_test.order(engine, with, 1)).result.status == attempt_status::not_sent);
    CHECK(engine.runs(chat("withdrawn")) == 0);
}

TEST_CASE("late and crossed answers of many attempts reach their own exchange only") {
    standin::engine_options many;
    many.slots = 64;
    many.token_time = 2ms;
    standin::engine engine(many);
    engine.start();
    engine.faults().add({standin::fault_kind::late, "caller 1", 8, 100ms, 0});
    bench under_test;
    std::vector<std::shared_ptr<recorder>> callers;
    for (int i = 0; i < 60; ++i) {
        callers.push_back(std::make_shared<recorder>(chat("caller " + std::to_string(i), 10)));
        under_test.push(under_test.order(engine, callers.back(), static_cast<std::uint64_t>(i)));
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        CHECK(under_test.next_end().result.status == attempt_status::completed);
    }
    for (const std::shared_ptr<recorder>& each : callers) {
        CHECK(each->text() == engine.streamed_answer(each->content().body));
    }
}

TEST_CASE("no end of an attempt is lost while the ring of events is full") {
    standin::engine engine({});
    engine.start();
    bench under_test({}, 2);
    const std::shared_ptr<recorder> with = std::make_shared<recorder>(chat("full", 1));
    for (std::uint64_t i = 0; i < 20; ++i) {
        under_test.push(under_test.order(engine, with, i));
    }
    std::this_thread::sleep_for(400ms);
    std::set<decision::attempt_key> ended;
    for (int i = 0; i < 20; ++i) {
        ended.insert(under_test.next_end().attempt);
    }
    CHECK(ended.size() == 20);
}

TEST_CASE("load reports arrive for watched upstreams only and a silent one delays no other") {
    standin::engine_options slots;
    slots.slots = 5;
    standin::engine engine(slots);
    engine.start();
    const deaf_listener deaf;
    base::steady_clock time;
    base::ring<decision::watch_load> orders(4);
    base::ring<decision::event> events(64);
    base::supervisor tree("test", base::restart_strategy::one_for_one, {}, time);
    upstream::load_options options;
    options.period = 100ms;
    tree.add(std::make_unique<upstream::load>(orders, events, time, options));
    tree.start([](const base::error&) {});
    CHECK_FALSE(events.pop(150ms));
    decision::watch_load watch;
    watch.upstreams.resize(2);
    watch.upstreams[0].id = base::upstream_id("deaf");
    watch.upstreams[0].address = {"127.0.0.1", deaf.port};
    watch.upstreams[1].id = base::upstream_id("up");
    watch.upstreams[1].address = engine.address();
    orders.push(watch, 1s);
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

TEST_CASE("an order with an old fencing token is refused by engines that check it") {
    standin::engine_options ignoring;
    ignoring.checks_fence = false;
    standin::engine strict({});
    standin::engine lax(ignoring);
    strict.start();
    lax.start();
    bench under_test;
    const int expected[] = {200, 409, 200, 200};
    int at = 0;
    for (const standin::engine* target : {&strict, &lax}) {
        for (const int fence : {7, 6}) {
            const std::shared_ptr<recorder> with = std::make_shared<recorder>(
                "{\"fence\":" + std::to_string(fence) + ",\"model\":\"m\"}", false);
            with->content().path = "/orders";
            under_test.run(under_test.order(*target, with, static_cast<std::uint64_t>(at)));
            CHECK(with->status() == expected[at++]);
        }
    }
}
