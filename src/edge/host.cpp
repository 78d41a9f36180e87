#include "edge/host.h"

#include "base/guard.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebell::edge {
namespace {

/// Threads that an idle server keeps.
constexpr unsigned idle_threads = 4;
/// Ports that `free_port` tries. The system gives out those from 32768 on by itself, to any process.
constexpr std::uint32_t first_tried_port = 12000;
constexpr std::uint32_t tried_ports = 20000;
/// Distance between the ports that two processes with successive ids try first.
constexpr std::uint32_t process_stride = 61;

cxxtools::Milliseconds to_milliseconds(base::duration duration) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
}

/// Returns whether the loopback port could be bound at the time of the call.
bool is_free(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (socket < 0) {
        return false;
    }
    const base::scope_guard closer([socket] { ::close(socket); });
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

} // namespace

host::host(const host_options& options, cxxtools::http::Service& service) : server_(loop_) {
    server_.minThreads(std::min(idle_threads, options.threads));
    server_.maxThreads(options.threads);
    server_.readTimeout(to_milliseconds(options.read_timeout));
    server_.writeTimeout(to_milliseconds(options.write_timeout));
    server_.keepAliveTimeout(to_milliseconds(options.keep_alive));
    server_.addService(cxxtools::Regex(".*"), service);
    server_.listen(options.address.address, options.address.port);
}

void host_runner::run(const host_options& options, cxxtools::http::Service& service,
                      const base::stop_signal& stop) {
    host server(options, service);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        host_ = &server;
    }
    const base::scope_guard unregister_server([this] {
        const std::lock_guard<std::mutex> lock(mutex_);
        host_ = nullptr;
    });
    if (!stop.requested()) {
        server.run();
    }
}

void host_runner::exit() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (host_ != nullptr) {
        host_->exit();
    }
}

std::uint16_t free_port() {
    static std::atomic<std::uint32_t> next{static_cast<std::uint32_t>(::getpid()) * process_stride};
    for (std::uint32_t i = 0; i < tried_ports; ++i) {
        const std::uint16_t port = static_cast<std::uint16_t>(first_tried_port + next++ % tried_ports);
        if (is_free(port)) {
            return port;
        }
    }
    return 0;
}

} // namespace bluebell::edge
