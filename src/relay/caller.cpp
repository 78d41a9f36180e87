#include "relay/caller.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

constexpr std::size_t read_buffer_size = 16384;
/// Limit on the bytes of later requests that are buffered while one is in progress; above it reading pauses.
constexpr std::size_t pipeline_limit = 65536;
/// The connection is closed if the caller accepts no byte of its answer for this long.
constexpr base::duration stalled_write_timeout = std::chrono::seconds(10);
/// Time for which bytes after a refused request are read and dropped before the connection is closed.
constexpr base::duration linger_time = std::chrono::seconds(1);
/// Number of sent bytes above which they are erased from the send buffer, if they are half of it.
constexpr std::size_t compact_threshold = 65536;
/// Capacity above which an empty buffer gives its memory back.
constexpr std::size_t max_kept_capacity = 16384;
/// Bytes that a caller takes before reading from the upstream goes on; the upstream is then read often enough
/// not to cut the answer off.
constexpr std::size_t writable_step = 65536;
/// Chunks in one read above which it counts as costly: with less than 64 bytes each, the parser spends most
/// of its time on their sizes.
constexpr std::uint64_t costly_chunks = 256;

/// Empties a buffer, and gives its memory back if it is large.
void release(std::string& buffer) {
    if (buffer.capacity() > max_kept_capacity) {
        std::string().swap(buffer);
    } else {
        buffer.clear();
    }
}

std::string head_text(int status, const std::vector<http::field>& fields) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(http::reason_phrase(status)).append("\r\n");
    for (const http::field& entry : fields) {
        text.append(entry.name).append(": ").append(entry.value).append("\r\n");
    }
    return text;
}

int status_for(base::error_code code) {
    switch (code) {
    case base::error_code::header_too_large:
        return 431;
    case base::error_code::body_too_large:
        return 413;
    case base::error_code::caller_too_slow:
        return 408;
    case base::error_code::memory_full:
        return 503;
    default:
        return 400;
    }
}

http::message_limits to_message_limits(const dispatch::caller_limits& limits) {
    return {limits.head_bytes, limits.body_bytes};
}

} // namespace

caller::caller(http::descriptor socket, const caller_context& loop, request_handler& handler)
    : socket_(std::move(socket)), loop_(loop), handler_(handler), peer_{http::peer_ipv4(socket_)},
      head_charge_(loop.memory, held_class::heads), body_charge_(loop.memory, held_class::unfinished_bodies),
      later_charge_(loop.memory, held_class::later_requests),
      unsent_charge_(loop.memory, held_class::unsent_answers), parser_(to_message_limits(handler.limits())) {
    epoll_interest_ = EPOLLIN | EPOLLRDHUP;
    if (!loop_.event_poller.add(socket_, epoll_interest_, *this)) {
        socket_.close();
        return;
    }
    arm_idle_timer();
}

caller::~caller() {
    close();
}

void caller::close() {
    loop_.timers.disarm(*this);
    loop_.pacing.remove(*this);
    if (socket_.open()) {
        loop_.event_poller.remove(socket_);
        socket_.close();
    }
    // The object lives on until the loop removes closed connections. The parser may be at work.
    if (!parsing_) {
        parser_.discard();
        std::string().swap(pipelined_);
        std::string().swap(send_buffer_);
        sent_bytes_ = 0;
        update_charges();
    }
}

void caller::cut() {
    const bool notify_handler = std::exchange(request_in_progress_, false);
    close();
    if (notify_handler) {
        handler_.on_caller_left(*this);
    }
}

void caller::abort() {
    request_in_progress_ = false;
    close();
}

std::optional<base::time_point> caller::idle_since() const {
    const bool idle =
        !closed() && !lingering_ && !request_in_progress_ && !parser_.started() && unsent_bytes() == 0;
    return idle ? std::optional<base::time_point>(last_active_) : std::nullopt;
}

void caller::close_if_idle() {
    if (idle_since()) {
        close();
    }
}

std::optional<unfinished_request> caller::unfinished(base::time_point now) const {
    if (closed() || lingering_ || request_in_progress_ || !parser_.started()) {
        return std::nullopt;
    }
    // A deferred connection is not read, so it is not its caller that makes no progress.
    return unfinished_request{peer_, head_charge_.bytes() + body_charge_.bytes(),
                              deferred() ? base::duration::zero() : now - progressed_at_};
}

base::duration caller::blocked_for(base::time_point now) const {
    return blocked_since_ ? now - *blocked_since_ : base::duration::zero();
}

void caller::shed(base::error_code cause) {
    refuse({cause, "", "the bytes or the connection are needed for others"});
}

void caller::notify_when_writable() {
    writable_mark_ = unsent_bytes() - std::min(unsent_bytes() / 2, writable_step);
}

void caller::update_charges() {
    head_charge_.set(parser_.held_head_bytes());
    body_charge_.set(parser_.body_bytes());
    later_charge_.set(pipelined_.size());
    unsent_charge_.set(send_buffer_.size());
}

void caller::record_progress() {
    const std::size_t size = parser_.held_head_bytes() + parser_.body_bytes();
    if (size >= progress_mark_ + shedding::progress_bytes || size < progress_mark_) {
        progress_mark_ = size;
        progressed_at_ = loop_.clock.now();
    }
}

bool caller::may_read_ahead() const {
    return pipelined_.size() <= pipeline_limit &&
           (!request_in_progress_ ||
            loop_.memory.held(held_class::later_requests) <= loop_.memory.limits().later_requests);
}

void caller::arm_idle_timer() {
    last_active_ = loop_.clock.now();
    loop_.timers.arm(*this, last_active_ + handler_.limits().idle_timeout);
}

void caller::on_ready(std::uint32_t events) {
    if (closed()) {
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (!closed() && (events & EPOLLIN) != 0) {
        read_more();
    }
    if (!closed() && ((events & (EPOLLERR | EPOLLHUP)) != 0 ||
                      ((events & EPOLLRDHUP) != 0 && ((events & EPOLLIN) == 0 || peer_closed_)))) {
        cut();
    }
}

void caller::read_more() {
    if (!lingering_ && request_in_progress_ && !may_read_ahead()) {
        return update_epoll_interest();
    }
    std::array<char, read_buffer_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const http::io_result received = http::read_some(socket_, buffer.data(), buffer.size());
    if (received.closed) {
        peer_closed_ = true;
        // A caller that closes its sending side counts as gone: it no longer waits for the answer.
        return cut();
    }
    const std::string_view bytes(buffer.data(), received.bytes);
    if (lingering_ || close_after_answer_ || bytes.empty()) {
        return; // no further request is parsed on this connection
    }
    if (request_in_progress_) {
        pipelined_.append(bytes);
        later_charge_.set(pipelined_.size());
        if (!may_read_ahead()) {
            update_epoll_interest();
        }
    } else {
        read_request(bytes);
    }
}

void caller::read_request(std::string_view bytes) {
    handler_.make_room(*this, bytes.size());
    if (closed() || lingering_) {
        return;
    }
    const std::uint64_t chunks_before = parser_.chunk_count();
    const base::time_point begin = loop_.clock.now();
    parse(bytes);
    if (parser_.chunk_count() <= chunks_before + costly_chunks || closed() || lingering_ ||
        request_in_progress_) {
        return;
    }
    const base::time_point end = loop_.clock.now();
    if (loop_.pacing.defer(*this, end - begin, end)) {
        update_epoll_interest();
    }
}

void caller::parse(std::string_view bytes) {
    parsing_ = true;
    while (!bytes.empty() && !request_in_progress_ && !close_after_answer_ && !closed()) {
        const bool was_idle = !parser_.started();
        if (was_idle) {
            progress_mark_ = 0;
            progressed_at_ = loop_.clock.now();
        }
        const base::result<std::size_t> consumed = parser_.feed(bytes);
        if (!consumed) {
            parsing_ = false;
            return refuse(consumed.error());
        }
        bytes.remove_prefix(*consumed);
        if (parser_.complete()) {
            finish_request();
            continue;
        }
        if (was_idle && parser_.started()) {
            loop_.timers.arm(*this, loop_.clock.now() + handler_.limits().head_timeout);
        } else if (parser_.head_complete()) {
            arm_idle_timer();
        }
        if (parser_.expects_continue() && !std::exchange(continue_sent_, true)) {
            send_buffer_.append("HTTP/1.1 100 Continue\r\n\r\n");
            flush();
        }
        if (*consumed == 0) {
            break;
        }
    }
    parsing_ = false;
    if (closed()) {
        return close();
    }
    if (!close_after_answer_) {
        pipelined_.append(bytes);
    }
    record_progress();
    update_charges();
}

void caller::finish_request() {
    http::request_head head = parser_.take_head();
    std::string body = parser_.take_body();
    parser_.prepare_next(to_message_limits(handler_.limits()));
    head_charge_.set(0);
    body_charge_.set(0);
    loop_.timers.disarm(*this);
    // A request may be parsed long after it arrived. A caller that closed its side in the meantime no longer
    // waits for the answer, so the request is dropped.
    if (http::peer_closed(socket_)) {
        return close();
    }
    request_in_progress_ = true;
    continue_sent_ = false;
    close_after_answer_ = !head.keep_alive;
    // `close_after_answer_` does not affect this request; it only prevents that further ones are parsed.
    handler_.on_request(*this, std::move(head), std::move(body));
}

void caller::refuse(const base::error& cause) {
    close_after_answer_ = true;
    request_in_progress_ = true;
    lingering_ = true;
    loop_.pacing.remove(*this);
    parser_.discard();
    std::string().swap(pipelined_);
    update_charges();
    handler_.on_unfinished_refused(*this, cause.code);
    std::vector<http::field> fields{{"Content-Type", "text/plain"}};
    if (cause.code == base::error_code::memory_full) {
        fields.push_back({"Retry-After", "1"});
    }
    answer(status_for(cause.code), fields, base::to_string(cause.code));
}

void caller::answer(int status, const std::vector<http::field>& fields, std::string_view body) {
    begin_answer(status, fields, body.size());
    send_buffer_.append(body);
    end_answer();
}

void caller::begin_answer(int status, const std::vector<http::field>& fields,
                          std::optional<std::uint64_t> length) {
    close_after_answer_ = close_after_answer_ || handler_.closes_after_request();
    chunked_ = !length;
    send_buffer_.append(head_text(status, fields));
    send_buffer_.append(length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                               : std::string("Transfer-Encoding: chunked\r\n"));
    send_buffer_.append(close_after_answer_ ? "Connection: close\r\n\r\n" : "\r\n");
}

void caller::append_body(std::string_view bytes) {
    if (closed() || bytes.empty()) {
        return;
    }
    if (chunked_) {
        std::array<char, 20> size{};
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        send_buffer_.append(size.data(), static_cast<std::size_t>(digits)).append(bytes).append("\r\n");
    } else {
        send_buffer_.append(bytes);
    }
    flush();
}

void caller::end_answer() {
    if (closed()) {
        return;
    }
    if (std::exchange(chunked_, false)) {
        send_buffer_.append("0\r\n\r\n");
    }
    request_in_progress_ = false;
    writable_mark_.reset();
    flush();
    if (closed() || close_after_answer_) {
        return;
    }
    arm_idle_timer();
    if (!pipelined_.empty() && !parsing_) {
        const std::string pipelined = std::exchange(pipelined_, {});
        later_charge_.set(0);
        parse(pipelined);
    }
    if (!closed()) {
        update_epoll_interest();
    }
}

void caller::flush() {
    bool progressed = false;
    while (unsent_bytes() > 0) {
        const http::io_result sent =
            http::write_some(socket_, std::string_view(send_buffer_).substr(sent_bytes_));
        if (sent.closed) {
            return cut();
        }
        if (sent.bytes == 0) {
            break;
        }
        sent_bytes_ += sent.bytes;
        progressed = true;
        if (request_in_progress_) {
            loop_.timers.disarm(*this);
        }
    }
    if (unsent_bytes() == 0) {
        release(send_buffer_);
        sent_bytes_ = 0;
        blocked_since_.reset();
        unsent_charge_.set(0);
        if (close_after_answer_ && !request_in_progress_) {
            return close_gracefully();
        }
        if (progressed && !request_in_progress_ && !parser_.started()) {
            arm_idle_timer(); // the timer of the write is shorter than callers may stay idle
        }
    } else {
        if (sent_bytes_ > compact_threshold && sent_bytes_ > send_buffer_.size() / 2) {
            send_buffer_.erase(0, std::exchange(sent_bytes_, 0));
        }
        if (progressed || !blocked_since_) {
            blocked_since_ = loop_.clock.now();
        }
        unsent_charge_.set(send_buffer_.size());
        loop_.timers.arm(*this, *blocked_since_ + stalled_write_timeout);
    }
    update_epoll_interest();
    if (writable_mark_ && request_in_progress_ && unsent_bytes() <= *writable_mark_) {
        writable_mark_.reset();
        handler_.on_caller_writable(*this);
    }
}

/// Closes after the last answer. A close with unread bytes would reset the connection, and the caller could
/// lose the answer; after a refused request, bytes are therefore read and dropped for `linger_time`.
void caller::close_gracefully() {
    if (!lingering_) {
        return close();
    }
    http::shutdown_write(socket_);
    loop_.timers.arm(*this, loop_.clock.now() + linger_time);
    update_epoll_interest();
}

void caller::update_epoll_interest() {
    std::uint32_t interest = EPOLLRDHUP;
    if (lingering_ || (!deferred() && may_read_ahead() && !(close_after_answer_ && !request_in_progress_))) {
        interest |= EPOLLIN;
    }
    if (unsent_bytes() > 0) {
        interest |= EPOLLOUT;
    }
    if (interest != epoll_interest_) {
        epoll_interest_ = interest;
        loop_.event_poller.modify(socket_, interest, *this);
    }
}

void caller::on_deadline(base::time_point /*now*/) {
    if (closed()) {
        return;
    }
    if (deferred()) {
        return arm_idle_timer(); // it is not the caller that makes no progress
    }
    if (!lingering_ && !request_in_progress_ && parser_.started() && unsent_bytes() == 0) {
        return refuse({base::error_code::caller_too_slow, "", "the request did not arrive in time"});
    }
    // The idle timeout, the write timeout or the linger time is over.
    cut();
}

} // namespace bluebell::relay
