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

/// Options of `host`.
struct host_options {
    decision::endpoint address;
    /// Requests in progress at the same time; each holds one thread.
    unsigned threads = 16;
    /// Longest pause within the bytes of a request.
    base::duration read_timeout = std::chrono::seconds(20);
    /// Longest time that one write to a caller may block.
    base::duration write_timeout = std::chrono::seconds(10);
    /// How long an idle connection is kept open.
    base::duration keep_alive = std::chrono::seconds(30);
};

/// An HTTP server that passes requests for every path to one service.
/// Thread safety: `run` is called by one thread; `exit` by any thread. The destructor waits for requests in
/// progress.
class host {
public:
    /// Starts to listen. Throws `cxxtools::net::AddressInUse` or another `std::exception` if it cannot.
    /// Pre-condition: `service` outlives the host.
    host(const host_options& options, cxxtools::http::Service& service);

    /// Serves requests until `exit` is called.
    void run() { loop_.run(); }
    void exit() { loop_.exit(); }

private:
    cxxtools::EventLoop loop_;
    cxxtools::http::Server server_;
};

/// Runs one host at a time on a worker's thread and lets other threads stop it.
/// Thread safety: `run` by the worker's thread; `exit` by any thread.
class host_runner {
public:
    /// Serves requests until `exit` is called. Returns at once if `stop` was requested before. Throws the
    /// exceptions of the constructor of `host`.
    void run(const host_options& options, cxxtools::http::Service& service, const base::stop_signal& stop);
    /// Makes `run` return. Has no effect if `run` is not in progress.
    void exit();

private:
    std::mutex mutex_;
    host* host_ = nullptr;
};

/// Returns a loopback port that was free at the time of the call, or 0 if there is none. The system does not
/// give the port to another socket by itself, and no two calls in a process return the same port soon. Thread
/// safety: may be called by any thread.
std::uint16_t free_port();

} // namespace bluebell::edge
