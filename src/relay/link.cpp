#include "relay/link.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

constexpr std::size_t read_buffer_size = 16384;
/// Idle time up to which a connection is reused if the upstream did not state an idle timeout.
constexpr base::duration default_idle_limit = std::chrono::milliseconds(250);
/// Shares of the upstream's idle timeout up to which a connection is reused. The share is smaller for
/// requests that may not be repeated: if the upstream closed the connection meanwhile, their outcome would be
/// unknown.
constexpr double repeatable_idle_share = 0.6;
constexpr double unrepeatable_idle_share = 0.4;
/// Limit on bytes besides the body of the answer: heads, framing, and answers to other requests. A long body
/// in small chunks may have more, up to this many for each of its bytes.
constexpr std::size_t max_other_bytes = std::size_t{256} << 10U;
constexpr std::size_t max_framing_per_byte = 16;

} // namespace

link::link(const dispatch::upstream_entry& target, const link_limits& limits, const loop_context& loop)
    : upstream_(target.id), address_(target.address), limits_(limits), loop_(loop),
      created_at_(loop.clock.now()) {
    base::result<http::descriptor> socket = http::connect_to(target.address);
    if (!socket) {
        return;
    }
    socket_ = std::move(*socket);
    http::set_liveness_options(socket_, limits_.liveness);
    epoll_interest_ = EPOLLOUT;
    if (!loop_.event_poller.add(socket_, epoll_interest_, *this)) {
        socket_.close();
        return;
    }
    loop_.timers.arm(*this, created_at_ + limits_.connect_timeout);
}

link::~link() {
    close();
}

void link::close() {
    loop_.timers.disarm(*this);
    listener_ = nullptr;
    busy_ = false;
    std::string().swap(send_buffer_);
    sent_bytes_ = 0;
    if (socket_.open()) {
        loop_.event_poller.remove(socket_);
        socket_.close();
    }
}

void link::start(dispatch::session_id request, std::string bytes, bool expect_body, link_listener& listener) {
    request_ = request;
    ++requests_;
    listener_ = &listener;
    send_buffer_ = std::move(bytes);
    sent_bytes_ = 0;
    busy_ = true;
    head_reported_ = false;
    skipping_answer_ = false;
    reading_paused_ = false;
    parsed_body_.clear();
    passed_bytes_ = 0;
    other_bytes_ = 0;
    parser_.prepare_next(expect_body);
    if (!connecting_) {
        loop_.timers.disarm(*this);
        write_more();
    }
}

bool link::usable(bool must_not_repeat, base::time_point now) const {
    if (!idle() || connecting_) {
        return false;
    }
    const base::duration limit =
        idle_timeout_
            ? std::chrono::duration_cast<base::duration>(
                  *idle_timeout_ * (must_not_repeat ? unrepeatable_idle_share : repeatable_idle_share))
            : default_idle_limit;
    return now - idle_since_ < limit && http::is_idle(socket_);
}

void link::pause_reading(bool paused) {
    if (reading_paused_ != paused && !closed()) {
        reading_paused_ = paused;
        update_epoll_interest();
    }
}

void link::release() {
    if (!parser_.complete() || skipping_answer_) {
        return close();
    }
    finish_answer();
}

void link::on_ready(std::uint32_t events) {
    if (closed()) {
        return;
    }
    if (connecting_) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 || !http::connect_succeeded(socket_)) {
            return fail(link_failure::connect_failed);
        }
        connecting_ = false;
        connect_time_ = loop_.clock.now() - created_at_;
        loop_.timers.disarm(*this);
        if (!busy_) {
            return become_idle();
        }
        return write_more();
    }
    if (!busy_) {
        // An event on an idle connection means that the upstream closed it or sent an unexpected answer.
        return close();
    }
    // Input goes first: a write on a connection that was reset clears the error that tells the reset from an
    // orderly close.
    if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
        return read_more();
    }
    write_more();
}

void link::on_deadline(base::time_point /*now*/) {
    if (closed()) {
        return;
    }
    if (connecting_) {
        fail(link_failure::connect_failed);
    } else if (!busy_) {
        close();
    }
}

void link::write_more() {
    while (sent_bytes_ < send_buffer_.size()) {
        const http::io_result sent =
            http::write_some(socket_, std::string_view(send_buffer_).substr(sent_bytes_));
        if (sent.closed) {
            // The upstream may have sent an answer before. After a reset, the end of the input does not
            // complete it.
            return sent.failed ? read_rest() : read_more();
        }
        if (sent.bytes == 0) {
            break;
        }
        sent_bytes_ += sent.bytes;
    }
    if (sent_bytes_ == send_buffer_.size()) {
        std::string().swap(send_buffer_);
        sent_bytes_ = 0;
        if (listener_ != nullptr) {
            listener_->on_request_sent(*this);
        }
    }
    update_epoll_interest();
}

void link::read_more() {
    std::array<char, read_buffer_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const http::io_result received = http::read_some(socket_, buffer.data(), buffer.size());
    if (received.bytes > 0) {
        return parse({buffer.data(), received.bytes});
    }
    if (!received.closed) {
        return;
    }
    if (!received.failed && head_reported_ && !skipping_answer_) {
        parser_.end_of_input();
        if (parser_.complete()) {
            reusable_ = false;
            ended_by_close_ = true;
            return finish_answer();
        }
    }
    fail(link_failure::closed);
}

void link::read_rest() {
    while (busy_ && !closed()) {
        std::array<char, read_buffer_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const http::io_result received = http::read_some(socket_, buffer.data(), buffer.size());
        if (received.bytes == 0) {
            return fail(link_failure::closed);
        }
        parse({buffer.data(), received.bytes});
    }
}

void link::parse(std::string_view bytes) {
    while (!bytes.empty() && busy_ && !closed()) {
        const base::result<std::size_t> consumed = parser_.feed(bytes, parsed_body_);
        if (!consumed) {
            return fail(link_failure::malformed_answer);
        }
        bytes.remove_prefix(*consumed);
        if (!count_received(*consumed, skipping_answer_ ? 0 : parsed_body_.size())) {
            return fail(link_failure::malformed_answer);
        }
        if (parser_.head_complete() && parser_.head().status / 100 == 1) {
            if (parser_.complete()) {
                parser_.prepare_next(true);
            }
            continue;
        }
        if (parser_.head_complete() && !std::exchange(head_reported_, true)) {
            skipping_answer_ = !listener_->on_answer_head(*this, parser_.head());
            if (closed() || !busy_) {
                return;
            }
        }
        const std::string part = std::exchange(parsed_body_, {});
        if (!part.empty() && !skipping_answer_) {
            listener_->on_answer_body(*this, part);
            if (closed() || !busy_) {
                return;
            }
        }
        if (parser_.complete()) {
            reusable_ = reusable_ && parser_.head().keep_alive;
            if (skipping_answer_) {
                // A late or duplicate answer to an earlier request; the answer to this one may follow.
                reusable_ = false;
                head_reported_ = false;
                skipping_answer_ = false;
                parser_.prepare_next(true);
                continue;
            }
            // Surplus bytes belong to no request. If the request was not sent in full, the upstream would
            // take the next one for the rest of it.
            reusable_ = reusable_ && bytes.empty() && send_buffer_.empty();
            return finish_answer();
        }
        if (*consumed == 0) {
            break;
        }
    }
}

bool link::count_received(std::size_t bytes, std::size_t body_bytes) {
    passed_bytes_ += body_bytes;
    other_bytes_ += bytes - body_bytes;
    return other_bytes_ <= std::max(max_other_bytes, passed_bytes_ * max_framing_per_byte);
}

/// Calls the listener last, since it may start the next request at once.
void link::finish_answer() {
    link_listener* const listener = std::exchange(listener_, nullptr);
    const bool keep_open = reusable_ && parser_.head().keep_alive && !closed();
    busy_ = false;
    reading_paused_ = false;
    if (keep_open) {
        become_idle();
    } else {
        close();
    }
    if (listener != nullptr) {
        listener->on_answer_end(*this);
    }
}

void link::become_idle() {
    idle_since_ = loop_.clock.now();
    // The connection stays open for longer than it is reused, so that the upstream does not get a flood of
    // new connections.
    loop_.timers.arm(*this, idle_since_ + idle_timeout_.value_or(default_idle_limit));
    update_epoll_interest();
}

void link::fail(link_failure failure) {
    link_listener* const listener = std::exchange(listener_, nullptr);
    close();
    if (listener != nullptr) {
        listener->on_failure(*this, failure);
    }
}

void link::update_epoll_interest() {
    std::uint32_t interest = reading_paused_ ? 0U : EPOLLIN;
    if (sent_bytes_ < send_buffer_.size()) {
        interest |= EPOLLOUT;
    }
    if (interest != epoll_interest_) {
        epoll_interest_ = interest;
        loop_.event_poller.modify(socket_, interest, *this);
    }
}

} // namespace bluebell::relay
