#include "http/client.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace bluebell::http {
namespace {

constexpr std::size_t read_size = 16384;
} // namespace

client::client(decision::endpoint server, const base::clock& time)
    : server_(std::move(server)), clock_(time), interruption_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!interruption_.open()) {
        throw base::fatal_error({base::error_code::socket_failure, "client", "no descriptor is left"});
    }
}

void client::interrupt() {
    interrupted_ = true;
    const std::uint64_t one = 1;
    static_cast<void>(::write(interruption_.fd(), &one, sizeof one));
}

bool client::wait(short events, base::time_point deadline) const {
    while (!interrupted_) {
        const base::duration left = deadline - clock_.now();
        if (left <= base::duration::zero()) {
            return false;
        }
        std::array<pollfd, 2> watched{{{socket_.fd(), events, 0}, {interruption_.fd(), POLLIN, 0}}};
        const int ms = static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(left).count());
        if (::poll(watched.data(), watched.size(), ms) > 0 && watched[0].revents != 0) {
            return true;
        }
    }
    return false;
}

base::result<void> client::connect(base::time_point deadline) {
    base::result<descriptor> socket = connect_to(server_);
    if (!socket) {
        return base::failure(base::error_code::store_unavailable, socket.error().location,
                             socket.error().text);
    }
    socket_ = std::move(*socket);
    if (!wait(POLLOUT, deadline) || !connect_succeeded(socket_)) {
        socket_.close();
        return base::failure(base::error_code::store_unavailable, decision::to_string(server_),
                             "no connection");
    }
    return {};
}

base::result<void> client::send(std::string_view bytes, base::time_point deadline) {
    while (!bytes.empty()) {
        const io_result put = write_some(socket_, bytes);
        if (put.closed || (put.bytes == 0 && !wait(POLLOUT, deadline))) {
            return base::failure(base::error_code::store_answer_lost, decision::to_string(server_),
                                 "the request was sent in part");
        }
        bytes.remove_prefix(put.bytes);
    }
    return {};
}

base::result<response> client::receive(base::time_point deadline) {
    response_parser parser;
    parser.prepare_next(true);
    response made;
    std::array<char, read_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!parser.complete()) {
        if (!wait(POLLIN, deadline)) {
            return base::failure(base::error_code::store_answer_lost, decision::to_string(server_),
                                 "no answer in time");
        }
        const io_result got = read_some(socket_, buffer.data(), buffer.size());
        if (got.closed) {
            parser.end_of_input();
            if (got.failed || !parser.complete()) {
                return base::failure(base::error_code::store_answer_lost, decision::to_string(server_),
                                     "the connection ended before the answer");
            }
            break;
        }
        const base::result<std::size_t> used = parser.feed({buffer.data(), got.bytes}, made.body);
        if (!used) {
            return base::failure(base::error_code::store_malformed, decision::to_string(server_),
                                 used.error().text);
        }
    }
    made.head = parser.head();
    return made;
}

base::result<response> client::call(const std::string& method, const std::string& target,
                                    const std::string& body, base::duration timeout) {
    const base::time_point deadline = clock_.now() + timeout;
    if (socket_.open() && !is_idle(socket_)) {
        socket_.close();
    }
    if (!socket_.open()) {
        const base::result<void> made = connect(deadline);
        if (!made) {
            return tl::unexpected(made.error());
        }
    }
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + decision::to_string(server_) + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    const base::result<void> sent = send(text, deadline);
    base::result<response> got = sent ? receive(deadline) : tl::unexpected(sent.error());
    if (!got || !got->head.keep_alive) {
        socket_.close();
    }
    return got;
}

} // namespace bluebell::http
