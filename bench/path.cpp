// Measures the overhead of the data path: latency, throughput, processor time per streamed token, and memory
// per waiting request, each beside a direct call. Callers, router and upstreams run in this process over
// loopback; the decider dispatches every request at once. All runs have a fixed number of requests; takes
// about half a minute.

#include "base/supervisor.h"
#include "edge/callers.h"
#include "standin/echo.h"
#include "standin/model.h"
#include "upstream/transport.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cxxtools/net/tcpsocket.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t sequential_requests = 2000;
constexpr std::size_t parallel_callers = 50;
constexpr std::size_t requests_per_caller = 200;
constexpr std::uint64_t tokens_per_stream = 1000;
constexpr std::size_t waiting_requests = 400;

/// Directory with one client account, one model pool and one service pool.
class fixed_directory final : public edge::directory {
public:
    fixed_directory() {
        std::shared_ptr<decision::fleet_config> config = std::make_shared<decision::fleet_config>();
        config->accounts[base::client_account_id("a")].id = base::client_account_id("a");
        config->pools[base::pool_id("text")].id = base::pool_id("text");
        config->pools[base::pool_id("echo")].id = base::pool_id("echo");
        config->pools[base::pool_id("echo")].kind = decision::pool_kind::service;
        config_ = std::move(config);
    }
    [[nodiscard]] std::shared_ptr<const decision::fleet_config> lookup() const override { return config_; }

private:
    std::shared_ptr<const decision::fleet_config> config_;
};

/// Dispatches every request at once to the upstream of its pool, or keeps requests waiting while `hold` is
/// set.
class direct_decider final : public base::worker {
public:
    direct_decider(base::ring<decision::event>& events, base::ring<decision::transport_command>& commands,
                   decision::endpoint model, decision::endpoint service)
        : events_(events), commands_(commands), model_(std::move(model)), service_(std::move(service)) {}

    [[nodiscard]] std::string name() const override { return "decider"; }
    void run(base::stop_signal& stop) override {
        while (!stop.requested()) {
            const std::optional<decision::event> event = events_.pop(50ms);
            if (event) {
                handle(*event);
            }
        }
        waiting_.clear();
    }
    std::atomic<bool> hold{false};
    std::atomic<std::size_t> arrived{0};

private:
    void handle(const decision::event& event) {
        if (const decision::request_arrived* const arrival = std::get_if<decision::request_arrived>(&event)) {
            ++arrived;
            waiting_[arrival->attributes.id] = arrival->caller_exchange;
            if (hold) {
                return;
            }
            decision::dispatch command;
            command.attempt = {arrival->attributes.id, base::attempt_number(1)};
            const bool model = arrival->attributes.pool.value() == "text";
            command.kind = model ? decision::pool_kind::model : decision::pool_kind::service;
            command.target.address = model ? model_ : service_;
            command.deadline = arrival->attributes.deadline;
            command.caller_exchange = arrival->caller_exchange;
            commands_.push(std::move(command), 1s);
        } else if (const decision::attempt_ended* const ended =
                       std::get_if<decision::attempt_ended>(&event)) {
            waiting_[ended->attempt.id]->finish({decision::outcome::ran, ended->result.cause});
            waiting_.erase(ended->attempt.id);
        }
    }

    base::ring<decision::event>& events_;
    base::ring<decision::transport_command>& commands_;
    decision::endpoint model_;
    decision::endpoint service_;
    std::map<base::request_id, std::shared_ptr<decision::exchange>> waiting_;
};

/// HTTP client with one connection.
class caller {
public:
    explicit caller(const decision::endpoint& to) : socket_(to.address, to.port) {}

    void send(const std::string& method, const std::string& target, const std::string& body) {
        const std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: b\r\nClient-Account: a\r\n" +
                                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < text.size()) {
            sent += socket_.write(text.data() + sent, text.size() - sent);
        }
    }
    /// Reads until `end_mark` arrives. Keeps only the last bytes, so that long streams take no memory.
    void read_until(const std::string& end_mark) {
        std::array<char, 16384> buffer{};
        std::string tail;
        while (tail.find(end_mark) == std::string::npos) {
            const std::size_t count = socket_.read(buffer.data(), buffer.size());
            if (count == 0) {
                std::cerr << "the connection ended before " << end_mark << '\n';
                std::exit(1);
            }
            if (tail.size() > end_mark.size()) {
                tail.erase(0, tail.size() - end_mark.size());
            }
            tail.append(buffer.data(), count);
        }
    }

private:
    cxxtools::net::TcpSocket socket_;
};

double milliseconds(base::duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

double processor_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

double resident_kilobytes() {
    std::ifstream in("/proc/self/statm");
    long total = 0;
    long resident = 0;
    in >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

void measure_latency(const char* label, const decision::endpoint& to, const std::string& target) {
    caller connection(to);
    std::vector<double> times;
    for (std::size_t i = 0; i < sequential_requests; ++i) {
        const base::time_point start = std::chrono::steady_clock::now();
        connection.send("GET", target, "");
        connection.read_until("GET /");
        times.push_back(milliseconds(std::chrono::steady_clock::now() - start));
    }
    std::sort(times.begin(), times.end());
    std::printf("latency,%s,median_ms,%.3f,p95_ms,%.3f,p99_ms,%.3f\n", label, times[times.size() / 2],
                times[times.size() * 95 / 100], times[times.size() * 99 / 100]);
}

base::duration run_in_parallel(const std::function<void()>& work) {
    const base::time_point start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < parallel_callers; ++i) {
        threads.emplace_back(work);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return std::chrono::steady_clock::now() - start;
}

void measure_throughput(const char* label, const decision::endpoint& to, const std::string& target) {
    const double before = processor_seconds();
    const base::duration elapsed = run_in_parallel([&] {
        caller connection(to);
        for (std::size_t i = 0; i < requests_per_caller; ++i) {
            connection.send("GET", target, "");
            connection.read_until("GET /");
        }
    });
    const double total = static_cast<double>(parallel_callers * requests_per_caller);
    std::printf("throughput,%s,requests_per_s,%.0f,cpu_us_per_request,%.1f\n", label,
                total / milliseconds(elapsed) * 1000, (processor_seconds() - before) / total * 1e6);
}

void measure_streams(const char* label, const decision::endpoint& to, const std::string& end) {
    const std::string body = R"({"model":"text","stream":true,"max_tokens":)" +
                             std::to_string(tokens_per_stream) +
                             R"(,"messages":[{"role":"user","content":"x"}]})";
    const double before = processor_seconds();
    const base::duration elapsed = run_in_parallel([&] {
        caller connection(to);
        connection.send("POST", "/v1/chat/completions", body);
        connection.read_until(end);
    });
    const double total = static_cast<double>(parallel_callers * tokens_per_stream);
    std::printf("streams,%s,tokens_per_s,%.0f,cpu_us_per_token,%.1f\n", label,
                total / milliseconds(elapsed) * 1000, (processor_seconds() - before) / total * 1e6);
}

void measure_memory(direct_decider& decider, const decision::endpoint& to) {
    decider.hold = true;
    const std::size_t arrived = decider.arrived;
    std::vector<std::unique_ptr<caller>> waiting;
    const double before = resident_kilobytes();
    const double processor = processor_seconds();
    for (std::size_t i = 0; i < waiting_requests; ++i) {
        waiting.push_back(std::make_unique<caller>(to));
        waiting.back()->send("GET", "/services/echo/x", "");
    }
    while (decider.arrived < arrived + waiting_requests) {
        std::this_thread::sleep_for(10ms);
    }
    const double used_kilobytes = resident_kilobytes() - before;
    const double start = processor_seconds();
    std::this_thread::sleep_for(2s);
    std::printf(
        "waiting,%zu,kb_per_request,%.1f,start_cpu_us_per_request,%.1f,idle_cpu_us_per_request_s,%.1f\n",
        waiting_requests, used_kilobytes / waiting_requests, (start - processor) / waiting_requests * 1e6,
        (processor_seconds() - start) / 2 / waiting_requests * 1e6);
}

} // namespace

int main() {
    standin::engine_options engine_options;
    engine_options.slots = 100;
    engine_options.token_time = 5ms;
    standin::engine model(engine_options);
    standin::service_options service_options;
    service_options.slots = 100;
    service_options.delay = 0ms;
    standin::service service(service_options);
    model.start();
    service.start();
    base::steady_clock time;
    base::metrics metrics;
    fixed_directory config;
    edge::random_source ids(1, 2);
    base::ring<decision::event> events(1024);
    base::ring<decision::transport_command> commands(256);
    edge::callers_options options;
    options.address = {"127.0.0.1", edge::free_port()};
    options.admission_limit = 500;
    options.stop_limit = 100ms;
    std::unique_ptr<direct_decider> decider_worker =
        std::make_unique<direct_decider>(events, commands, model.address(), service.address());
    direct_decider& decider = *decider_worker;
    base::supervisor tree("bench", base::restart_strategy::one_for_one, {}, time);
    tree.add(std::move(decider_worker));
    tree.add(std::make_unique<upstream::transport>(commands, events, time, upstream::attempt_limits{}));
    tree.add(std::make_unique<edge::callers>(options, config, ids, events, time, metrics));
    tree.start([](const base::error&) {});
    std::this_thread::sleep_for(300ms);
    measure_latency("direct", service.address(), "/x");
    measure_latency("path", options.address, "/services/echo/x");
    measure_throughput("direct", service.address(), "/x");
    measure_throughput("path", options.address, "/services/echo/x");
    measure_streams("direct", model.address(), "[DONE]");
    measure_streams("path", options.address, "event: outcome");
    measure_memory(decider, options.address);
    tree.stop();
    return 0;
}
