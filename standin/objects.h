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

/// Faults and rate limits of the object API, set by tests. A count goes down with each call that it affects.
struct object_fault {
    /// Every call is answered 503 without effect.
    bool outage = false;
    /// Calls get no answer and have no effect, but their connections stay open.
    bool silent = false;
    /// Delay before each call.
    std::chrono::milliseconds delay{0};
    /// Number of writes that take effect, but whose connection is closed without an answer.
    std::uint32_t lose_answers = 0;
    /// Number of reads that return the previous value.
    std::uint32_t stale_reads = 0;
    /// Calls above these rates are answered 429.
    std::uint32_t writes_per_s = 300;
    std::uint32_t reads_per_s = 2000;
};

/// Number of calls since the start, including refused ones, and of bytes in their bodies.
struct object_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t vm_reads = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// A stored value with its version; version 0 means that there is no object.
struct object_value {
    std::string value;
    std::uint64_t version = 0;
};

/// Result of one call of the table: an HTTP status and the object, if there is one.
struct object_answer {
    unsigned status = 200;
    object_value object;
    /// The call took effect, but the connection is to be closed without an answer.
    bool lost = false;
};

/// In-memory objects and VM list. All versions come from one counter, so that an object that is removed and
/// created again never repeats a version.
/// Thread safety: every method may be called from any thread.
class object_table {
public:
    /// Returns the object, or status 404 if there is none. This and all calls below return 429 (or no value)
    /// above the rate limit.
    object_answer read(const std::string& name);
    /// Returns the object as soon as its version differs from `known`, at the latest after `timeout` or 60 s.
    object_answer watch(const std::string& name, std::uint64_t known, std::chrono::milliseconds timeout);
    /// Stores a value under a new version. `if_match` is the version that the object must have, or zero if it
    /// must not exist. Status 412 if it has another one, 413 for a value above 1 MiB.
    object_answer write(const std::string& name, const std::string& value,
                        std::optional<std::uint64_t> if_match);
    /// Removes an object. Status 404 if there is none, 412 if it has another version than `if_match`.
    object_answer remove(const std::string& name, std::optional<std::uint64_t> if_match);
    /// Returns the names that start with `prefix`, in order.
    std::optional<std::vector<std::string>> list(const std::string& prefix);
    /// Returns the JSON text that `store_vms` stored.
    std::optional<std::string> vms();
    /// Replaces the VM list.
    void store_vms(const std::string& json);

    /// Replaces all faults.
    void inject(const object_fault& fault);
    [[nodiscard]] object_fault faults() const;
    [[nodiscard]] object_counters counters() const;
    /// Adds the body sizes of a call to the counters.
    void count_bytes(std::uint64_t in, std::uint64_t out);
    /// Ends all waiting watches and silent calls.
    void close();
    /// Waits until the `silent` fault ends, at most 30 s.
    void wait_while_silent();

private:
    struct entry {
        object_value current;
        std::optional<object_value> previous;
    };
    /// Token bucket of a rate limit.
    struct bucket {
        double tokens = 0;
        std::chrono::steady_clock::time_point filled{};
    };

    /// Takes a token from the bucket if there is one.
    static bool admit(bucket& calls, std::uint32_t per_s);
    /// Returns whether the answer is to be lost, and counts it.
    bool lose_answer();
    [[nodiscard]] std::uint64_t version_of(const std::string& name) const; // 0 if there is no object

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
