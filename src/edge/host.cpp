#include "edge/host.h"

#include "base/guard.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebell::edge {
namespace {

/// Threads that an idle server keeps.
constexpr unsigned idle_threads = 4;

cxxtools::Milliseconds to_milliseconds(base::duration duration) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
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
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (socket < 0) {
        return 0;
    }
    const base::scope_guard closer([socket] { ::close(socket); });
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(socket, generic, size) != 0 || ::getsockname(socket, generic, &size) != 0) {
        return 0;
    }
    return ntohs(address.sin_port);
}

} // namespace bluebell::edge
