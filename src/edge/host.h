#pragma once

#include "base/clock.h"
#include "base/worker.h"
#include "decision/config.h"

#include <cstdint>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <mutex>

namespace bluebell::edge {

struct host_options {
    decision::endpoint address;
    /// Requests in progress at the same time; each holds one thread.
    unsigned threads = 16;
    /// Longest pause of a caller within its request.
    base::duration read_timeout = std::chrono::seconds(20);
    /// Longest time a caller may take to accept a write.
    base::duration write_timeout = std::chrono::seconds(10);
    base::duration keep_alive = std::chrono::seconds(30);
};

/// An HTTP server with one service for every path.
/// Thread safety: `run` is called by one thread; `exit` by any thread. The destructor waits for requests in
/// progress.
class host {
public:
    /// Listens at once. Throws `cxxtools::net::AddressInUse` or another `std::exception` if it cannot.
    /// Pre-condition: `service` outlives the host.
    host(const host_options& options, cxxtools::http::Service& service);

    /// Serves until `exit` is called.
    void run() { loop_.run(); }
    void exit() { loop_.exit(); }

private:
    cxxtools::EventLoop loop_;
    cxxtools::http::Server server_;
};

/// Runs one host at a time on a worker's thread and lets other threads end it.
/// Thread safety: `run` by the worker's thread; `exit` by any thread.
class host_runner {
public:
    /// Serves until `exit` is called; returns at once if `stop` was requested before. Throws as `host` does.
    void run(const host_options& options, cxxtools::http::Service& service, const base::stop_signal& stop);
    /// Ends `run`; has no effect if it does not run.
    void exit();

private:
    std::mutex mutex_;
    host* host_ = nullptr;
};

/// A loopback port that was free at the time of the call, or 0 if there is none.
std::uint16_t free_port();

} // namespace bluebell::edge
