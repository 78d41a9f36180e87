#include "relay/caller.h"

#include <array>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

constexpr std::size_t read_size = 16384;
/// Bytes of later requests that are read while one is in progress.
constexpr std::size_t pipeline_limit = 65536;
/// A caller that takes no byte of its answer for this long is given up.
constexpr base::duration stalled_write = std::chrono::seconds(10);
/// How long bytes of a refused request are read and dropped.
constexpr base::duration linger_time = std::chrono::seconds(1);
constexpr std::size_t compact_at = 65536;

std::string head_text(int status, const std::vector<http::field>& fields) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(http::reason_phrase(status)).append("\r\n");
    for (const http::field& each : fields) {
        text.append(each.name).append(": ").append(each.value).append("\r\n");
    }
    return text;
}

int status_of(base::error_code code) {
    switch (code) {
    case base::error_code::header_too_large:
        return 431;
    case base::error_code::body_too_large:
        return 413;
    case base::error_code::caller_too_slow:
        return 408;
    default:
        return 400;
    }
}

http::message_limits to_limits(const dispatch::caller_limits& from) {
    return {from.head_bytes, from.body_bytes};
}

} // namespace

caller::caller(http::descriptor socket, const loop_context& loop, request_handler& handler)
    : socket_(std::move(socket)), loop_(loop), handler_(handler), parser_(to_limits(handler.limits())) {
    watched_ = EPOLLIN | EPOLLRDHUP;
    if (!loop_.events.add(socket_, watched_, *this)) {
        socket_.close();
        return;
    }
    arm_idle();
}

caller::~caller() {
    leave();
}

void caller::leave() {
    loop_.timers.disarm(*this);
    if (socket_.open()) {
        loop_.events.remove(socket_);
        socket_.close();
    }
}

void caller::cut() {
    in_progress_ = false;
    leave();
}

std::optional<base::time_point> caller::idle_since() const {
    const bool idle = !gone() && !in_progress_ && !parser_.started() && unsent() == 0;
    return idle ? std::optional<base::time_point>(last_use_) : std::nullopt;
}

void caller::close_if_idle() {
    if (idle_since()) {
        leave();
    }
}

void caller::arm_idle() {
    last_use_ = loop_.time.now();
    loop_.timers.arm(*this, last_use_ + handler_.limits().idle_timeout);
}

void caller::on_ready(std::uint32_t events) {
    if (gone()) {
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (!gone() && (events & EPOLLIN) != 0) {
        read_more();
    }
    if (!gone() && ((events & (EPOLLERR | EPOLLHUP)) != 0 ||
                    ((events & EPOLLRDHUP) != 0 && ((events & EPOLLIN) == 0 || ended_)))) {
        const bool tell = std::exchange(in_progress_, false);
        leave();
        if (tell) {
            handler_.on_caller_left(*this);
        }
    }
}

void caller::read_more() {
    std::array<char, read_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const http::io_result got = http::read_some(socket_, buffer.data(), buffer.size());
    if (got.closed) {
        ended_ = true;
        // A caller that closes its side does not wait for its answer any more.
        const bool tell = std::exchange(in_progress_, false);
        leave();
        if (tell) {
            handler_.on_caller_left(*this);
        }
        return;
    }
    const std::string_view bytes(buffer.data(), got.bytes);
    if (lingering_) {
        return;
    }
    if (in_progress_ || close_after_) {
        pipelined_.append(bytes);
        if (pipelined_.size() > pipeline_limit) {
            watch();
        }
    } else {
        take(bytes);
    }
}

void caller::take(std::string_view bytes) {
    parsing_ = true;
    while (!bytes.empty() && !in_progress_ && !close_after_ && !gone()) {
        const bool fresh = !parser_.started();
        const base::result<std::size_t> used = parser_.feed(bytes);
        if (!used) {
            parsing_ = false;
            return refuse(used.error());
        }
        bytes.remove_prefix(*used);
        if (parser_.complete()) {
            finish_request();
            continue;
        }
        if (fresh && parser_.started()) {
            loop_.timers.arm(*this, loop_.time.now() + handler_.limits().head_timeout);
        } else if (parser_.head_complete()) {
            arm_idle();
        }
        if (parser_.expects_continue() && !std::exchange(continued_, true)) {
            out_.append("HTTP/1.1 100 Continue\r\n\r\n");
            flush();
        }
        if (*used == 0) {
            break;
        }
    }
    parsing_ = false;
    if (!gone()) {
        pipelined_.append(bytes);
    }
}

void caller::finish_request() {
    http::request_head head = parser_.take_head();
    std::string body = parser_.take_body();
    parser_.prepare_next(to_limits(handler_.limits()));
    loop_.timers.disarm(*this);
    // The bytes may have waited for long; a caller that has closed its side since does not wait any more.
    if (http::peer_closed(socket_)) {
        return leave();
    }
    in_progress_ = true;
    continued_ = false;
    close_after_ = !head.keep_alive;
    // `close_after_` stops the reading of further requests only once this one is answered.
    handler_.on_request(*this, std::move(head), std::move(body));
}

void caller::refuse(const base::error& cause) {
    close_after_ = true;
    in_progress_ = true;
    lingering_ = true;
    answer(status_of(cause.code), {{"Content-Type", "text/plain"}}, base::to_string(cause.code));
}

void caller::answer(int status, const std::vector<http::field>& fields, std::string_view body) {
    begin_answer(status, fields, body.size());
    out_.append(body);
    end_answer();
}

void caller::begin_answer(int status, const std::vector<http::field>& fields,
                          std::optional<std::uint64_t> length) {
    close_after_ = close_after_ || handler_.closing();
    chunked_ = !length;
    out_.append(head_text(status, fields));
    out_.append(length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                       : std::string("Transfer-Encoding: chunked\r\n"));
    out_.append(close_after_ ? "Connection: close\r\n\r\n" : "\r\n");
}

void caller::add(std::string_view bytes) {
    if (gone() || bytes.empty()) {
        return;
    }
    if (chunked_) {
        std::array<char, 20> size{};
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        out_.append(size.data(), static_cast<std::size_t>(digits)).append(bytes).append("\r\n");
    } else {
        out_.append(bytes);
    }
    flush();
}

void caller::end_answer() {
    if (gone()) {
        return;
    }
    if (std::exchange(chunked_, false)) {
        out_.append("0\r\n\r\n");
    }
    in_progress_ = false;
    was_slow_ = false;
    flush();
    if (gone() || close_after_) {
        return;
    }
    arm_idle();
    if (!pipelined_.empty() && !parsing_) {
        const std::string next = std::exchange(pipelined_, {});
        take(next);
    }
    if (!gone()) {
        watch();
    }
}

void caller::flush() {
    while (unsent() > 0) {
        const http::io_result put = http::write_some(socket_, std::string_view(out_).substr(written_));
        if (put.closed) {
            const bool tell = std::exchange(in_progress_, false);
            leave();
            if (tell) {
                handler_.on_caller_left(*this);
            }
            return;
        }
        if (put.bytes == 0) {
            break;
        }
        written_ += put.bytes;
        if (in_progress_) {
            loop_.timers.disarm(*this);
        }
    }
    if (unsent() == 0) {
        out_.clear();
        written_ = 0;
        if (close_after_ && !in_progress_) {
            return close_in_order();
        }
    } else {
        if (written_ > compact_at) {
            out_.erase(0, std::exchange(written_, 0));
        }
        loop_.timers.arm(*this, loop_.time.now() + stalled_write);
        was_slow_ = was_slow_ || unsent() > high_water;
    }
    watch();
    if (was_slow_ && in_progress_ && unsent() < high_water / 2) {
        was_slow_ = false;
        handler_.on_caller_ready(*this);
    }
}

/// Closing with unread bytes would reset the connection and could destroy the answer on its way.
void caller::close_in_order() {
    if (!lingering_) {
        return leave();
    }
    http::shutdown_write(socket_);
    loop_.timers.arm(*this, loop_.time.now() + linger_time);
    watch();
}

void caller::watch() {
    std::uint32_t wanted = EPOLLRDHUP;
    if (lingering_ || (pipelined_.size() <= pipeline_limit && !(close_after_ && !in_progress_))) {
        wanted |= EPOLLIN;
    }
    if (unsent() > 0) {
        wanted |= EPOLLOUT;
    }
    if (wanted != watched_) {
        watched_ = wanted;
        loop_.events.modify(socket_, wanted, *this);
    }
}

void caller::on_deadline(base::time_point /*now*/) {
    if (gone()) {
        return;
    }
    if (!lingering_ && !in_progress_ && parser_.started() && unsent() == 0) {
        return refuse({base::error_code::caller_too_slow, "", "the request did not arrive in time"});
    }
    // Idle for too long, or a write has stalled.
    const bool tell = std::exchange(in_progress_, false);
    leave();
    if (tell) {
        handler_.on_caller_left(*this);
    }
}

} // namespace bluebell::relay
