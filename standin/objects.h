#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bluebell::standin {

/// Faults that tests switch on. Counts go down with each call that they hit.
struct object_fault {
    /// Every call is answered 503 without effect.
    bool outage = false;
    /// Calls get no answer and have no effect, but their connections stay open.
    bool silent = false;
    std::chrono::milliseconds delay{0};
    /// Number of writes that take effect, but whose connection is closed without an answer.
    std::uint32_t lose_answers = 0;
    /// Number of reads that return the value before the last one.
    std::uint32_t stale_reads = 0;
    std::uint32_t writes_per_s = 300;
    std::uint32_t reads_per_s = 2000;
};

/// Calls since the start, also those that were refused.
struct object_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t vm_reads = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

struct object_value {
    std::string value;
    std::uint64_t version = 0;
};

/// Result of one call on the table: an HTTP status and the object, if there is one.
struct object_answer {
    unsigned status = 200;
    object_value object;
    /// The effect took place, but the answer is to be lost.
    bool lost = false;
};

/// The objects in memory. Versions come from one counter, so that an object that is deleted and made again
/// never repeats a version.
/// Thread safety: every method may be called from any thread.
class object_table {
public:
    object_answer read(const std::string& name);
    /// Answers as soon as the version differs from `known`, at the latest after `timeout`.
    object_answer watch(const std::string& name, std::uint64_t known, std::chrono::milliseconds timeout);
    /// `if_match` is the version the object must have; zero means that it must not exist.
    object_answer write(const std::string& name, const std::string& value,
                        std::optional<std::uint64_t> if_match);
    object_answer remove(const std::string& name, std::optional<std::uint64_t> if_match);
    std::optional<std::vector<std::string>> list(const std::string& prefix);
    /// JSON text as it was stored by `store_vms`; empty if the rate is exceeded.
    std::optional<std::string> vms();
    void store_vms(const std::string& json);

    void inject(const object_fault& fault);
    [[nodiscard]] object_fault faults() const;
    [[nodiscard]] object_counters counters() const;
    void count_bytes(std::uint64_t in, std::uint64_t out);
    /// Ends every waiting watch and silent call.
    void close();
    /// Waits while calls are to stay without an answer.
    void wait_while_silent();

private:
    struct entry {
        object_value current;
        std::optional<object_value> previous;
    };
    struct bucket {
        double tokens = 0;
        std::chrono::steady_clock::time_point filled{};
    };

    static bool admit(bucket& calls, std::uint32_t per_s);
    bool lose_answer();
    [[nodiscard]] std::uint64_t version_of(const std::string& name) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> objects_;
    std::string vms_ = R"({"vms":[]})";
    std::uint64_t version_ = 0;
    object_fault fault_;
    object_counters counters_;
    bucket reads_;
    bucket writes_;
    bool closed_ = false;
};

/// Serves an `object_table` over HTTP on loopback, with one thread for the event loop.
class object_server {
public:
    /// Port 0 chooses a free one. Throws if the port is in use.
    explicit object_server(std::uint16_t port);
    object_server(const object_server&) = delete;
    object_server& operator=(const object_server&) = delete;
    object_server(object_server&&) = delete;
    object_server& operator=(object_server&&) = delete;
    ~object_server();

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] object_table& table() { return table_; }

private:
    std::uint16_t port_;
    object_table table_;
    std::unique_ptr<cxxtools::http::Service> service_;
    cxxtools::EventLoop loop_;
    std::unique_ptr<cxxtools::http::Server> server_;
    std::thread thread_;
};

} // namespace bluebell::standin
