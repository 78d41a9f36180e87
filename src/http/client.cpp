#include "http/client.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace bluebell::http {
namespace {

constexpr std::size_t read_buffer_size = 16384;
/// Largest body of an answer. The configuration and the lists of a fleet take a few megabytes; a router has a
/// hundred.
constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;

bool interim(const response_head& head) {
    return head.status / 100 == 1;
}

} // namespace

client::client(decision::endpoint server, const base::clock& time)
    : server_(std::move(server)), clock_(time), interrupt_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!interrupt_event_.open()) {
        throw base::fatal_error({base::error_code::socket_failure, "client", "no file descriptor is left"});
    }
}

void client::interrupt() {
    interrupted_ = true;
    const std::uint64_t increment = 1;
    static_cast<void>(::write(interrupt_event_.fd(), &increment, sizeof increment));
}

bool client::wait(short events, base::time_point deadline) const {
    while (!interrupted_) {
        const base::duration remaining = deadline - clock_.now();
        if (remaining <= base::duration::zero()) {
            return false;
        }
        std::array<pollfd, 2> poll_fds{{{socket_.fd(), events, 0}, {interrupt_event_.fd(), POLLIN, 0}}};
        const int timeout_ms =
            static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(remaining).count());
        if (::poll(poll_fds.data(), poll_fds.size(), timeout_ms) > 0 && poll_fds[0].revents != 0) {
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
    if (liveness_) {
        set_liveness_options(socket_, *liveness_);
    }
    if (!wait(POLLOUT, deadline) || !connect_succeeded(socket_)) {
        socket_.close();
        return base::failure(base::error_code::store_unavailable, decision::to_string(server_),
                             "the connection failed or was not made in time");
    }
    return {};
}

base::result<void> client::send(std::string_view bytes, base::time_point deadline) {
    while (!bytes.empty()) {
        const io_result written = write_some(socket_, bytes);
        if (written.closed || (written.bytes == 0 && !wait(POLLOUT, deadline))) {
            return base::failure(
                base::error_code::store_answer_lost, decision::to_string(server_),
                "the connection failed or the deadline passed before the whole request was sent");
        }
        bytes.remove_prefix(written.bytes);
    }
    return {};
}

base::result<response> client::receive(base::time_point deadline) {
    response_parser parser;
    parser.prepare_next(true);
    response answer;
    std::array<char, read_buffer_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!parser.complete()) {
        if (!wait(POLLIN, deadline)) {
            return base::failure(base::error_code::store_answer_lost, decision::to_string(server_),
                                 "the deadline passed before the answer was complete");
        }
        const io_result received = read_some(socket_, buffer.data(), buffer.size());
        if (received.closed) {
            parser.end_of_input();
            if (received.failed || !parser.complete()) {
                return base::failure(base::error_code::store_answer_lost, decision::to_string(server_),
                                     "the connection was closed before the answer was complete");
            }
            break;
        }
        std::string_view unread(buffer.data(), received.bytes);
        while (!unread.empty() && !parser.complete()) {
            const base::result<std::size_t> consumed = parser.feed(unread, answer.body);
            if (!consumed) {
                return base::failure(base::error_code::store_malformed, decision::to_string(server_),
                                     consumed.error().text);
            }
            unread.remove_prefix(*consumed);
            if (parser.complete() && interim(parser.head())) {
                parser.prepare_next(true);
            }
        }
        const bool stated_too_long = parser.head_complete() && parser.head().length > max_body_bytes;
        if (stated_too_long || answer.body.size() > max_body_bytes) {
            return base::failure(base::error_code::store_malformed, decision::to_string(server_),
                                 "the body exceeds the limit");
        }
    }
    answer.head = parser.head();
    return answer;
}

base::result<response> client::call(const std::string& method, const std::string& target,
                                    const std::string& body, base::duration timeout) {
    const base::time_point deadline = clock_.now() + timeout;
    if (socket_.open() && !is_idle(socket_)) {
        socket_.close();
    }
    if (!socket_.open()) {
        const base::result<void> connect_result = connect(deadline);
        if (!connect_result) {
            return tl::unexpected(connect_result.error());
        }
    }
    std::string request_text =
        method + ' ' + target + " HTTP/1.1\r\nHost: " + decision::to_string(server_) + "\r\n";
    if (!body.empty()) {
        request_text +=
            "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request_text += "\r\n" + body;
    const base::result<void> sent = send(request_text, deadline);
    base::result<response> answer = sent ? receive(deadline) : tl::unexpected(sent.error());
    if (!answer || !answer->head.keep_alive) {
        socket_.close();
    }
    return answer;
}

} // namespace bluebell::http
