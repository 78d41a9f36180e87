#include "relay/link.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <utility>

namespace bluebell::relay {
namespace {

constexpr std::size_t read_size = 16384;
/// Idle time within which a connection is used if the upstream did not say how long it keeps it.
constexpr base::duration unstated_idle = std::chrono::milliseconds(250);
/// Parts of the upstream's idle timeout within which a connection is used again: for requests that may be
/// repeated, and for others, whose fate would be unknown if the upstream closed it meanwhile.
constexpr double repeatable_share = 0.6;
constexpr double sure_share = 0.4;

} // namespace

link::link(const dispatch::upstream_entry& to, const link_limits& limits, const loop_context& loop)
    : upstream_(to.id), address_(to.address), limits_(limits), loop_(loop) {
    base::result<http::descriptor> socket = http::connect_to(to.address);
    if (!socket) {
        return;
    }
    socket_ = std::move(*socket);
    http::set_liveness_options(socket_, limits_.liveness);
    watched_ = EPOLLOUT;
    if (!loop_.events.add(socket_, watched_, *this)) {
        socket_.close();
        return;
    }
    loop_.timers.arm(*this, loop_.time.now() + limits_.connect);
}

link::~link() {
    close();
}

void link::close() {
    loop_.timers.disarm(*this);
    listener_ = nullptr;
    busy_ = false;
    if (socket_.open()) {
        loop_.events.remove(socket_);
        socket_.close();
    }
}

void link::start(dispatch::session_id request, std::string bytes, bool expect_body, link_listener& listener) {
    request_ = request;
    listener_ = &listener;
    out_ = std::move(bytes);
    written_ = 0;
    busy_ = true;
    head_told_ = false;
    skipping_ = false;
    held_ = false;
    body_.clear();
    parser_.prepare_next(expect_body);
    if (!connecting_) {
        loop_.timers.disarm(*this);
        write_more();
    }
}

bool link::usable(bool surely, base::time_point now) const {
    if (!idle() || connecting_) {
        return false;
    }
    const base::duration limit = idle_timeout_
                                     ? std::chrono::duration_cast<base::duration>(
                                           *idle_timeout_ * (surely ? sure_share : repeatable_share))
                                     : unstated_idle;
    return now - idle_since_ < limit && http::is_idle(socket_);
}

void link::hold(bool held) {
    if (held_ != held && !gone()) {
        held_ = held;
        watch();
    }
}

void link::release() {
    if (!parser_.complete() || skipping_) {
        return close();
    }
    finish();
}

void link::on_ready(std::uint32_t events) {
    if (gone()) {
        return;
    }
    if (connecting_) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 || !http::connect_succeeded(socket_)) {
            return fail(link_failure::unconnected);
        }
        connecting_ = false;
        loop_.timers.disarm(*this);
        if (!busy_) {
            return become_idle();
        }
        return write_more();
    }
    if (!busy_) {
        // An idle connection has nothing to say: it was closed, or an answer came that nobody waits for.
        return close();
    }
    if ((events & EPOLLOUT) != 0) {
        write_more();
    }
    if (!gone() && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
        read_more();
    }
}

void link::on_deadline(base::time_point /*now*/) {
    if (gone()) {
        return;
    }
    if (connecting_) {
        fail(link_failure::unconnected);
    } else if (!busy_) {
        close();
    }
}

void link::write_more() {
    while (written_ < out_.size()) {
        const http::io_result put = http::write_some(socket_, std::string_view(out_).substr(written_));
        if (put.closed) {
            // The upstream may have answered before it closed.
            return read_more();
        }
        if (put.bytes == 0) {
            break;
        }
        written_ += put.bytes;
    }
    if (written_ == out_.size()) {
        out_.clear();
        written_ = 0;
    }
    watch();
}

void link::read_more() {
    std::array<char, read_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const http::io_result got = http::read_some(socket_, buffer.data(), buffer.size());
    if (got.bytes > 0) {
        return take({buffer.data(), got.bytes});
    }
    if (!got.closed) {
        return;
    }
    if (!got.failed && head_told_ && !skipping_) {
        parser_.end_of_input();
        if (parser_.complete()) {
            reusable_ = false;
            return finish();
        }
    }
    fail(link_failure::closed);
}

void link::take(std::string_view bytes) {
    while (!bytes.empty() && busy_ && !gone()) {
        const base::result<std::size_t> used = parser_.feed(bytes, body_);
        if (!used) {
            return fail(link_failure::garbled);
        }
        bytes.remove_prefix(*used);
        if (parser_.head_complete() && parser_.head().status / 100 == 1) {
            if (parser_.complete()) {
                parser_.prepare_next(true);
            }
            continue;
        }
        if (parser_.head_complete() && !std::exchange(head_told_, true)) {
            skipping_ = !listener_->on_answer_head(*this, parser_.head());
            if (gone() || !busy_) {
                return;
            }
        }
        const std::string part = std::exchange(body_, {});
        if (!part.empty() && !skipping_) {
            listener_->on_answer_body(*this, part);
            if (gone() || !busy_) {
                return;
            }
        }
        if (parser_.complete()) {
            reusable_ = reusable_ && parser_.head().keep_alive;
            if (skipping_) {
                // A late or second answer to an earlier request; the own one may follow.
                reusable_ = false;
                head_told_ = false;
                skipping_ = false;
                parser_.prepare_next(true);
                continue;
            }
            // Bytes after the answer belong to no request, and a request that was not read in full would be
            // continued by the next one.
            reusable_ = reusable_ && bytes.empty() && out_.empty();
            return finish();
        }
        if (*used == 0) {
            break;
        }
    }
}

/// The listener is told last, since it may start the next request at once.
void link::finish() {
    link_listener* const listener = std::exchange(listener_, nullptr);
    const bool keep = reusable_ && parser_.head().keep_alive && !gone();
    busy_ = false;
    held_ = false;
    if (keep) {
        become_idle();
    } else {
        close();
    }
    if (listener != nullptr) {
        listener->on_answer_end(*this);
    }
}

void link::become_idle() {
    idle_since_ = loop_.time.now();
    // Kept a little beyond its use, so that the upstream does not see a flood of new connections.
    loop_.timers.arm(*this, idle_since_ + idle_timeout_.value_or(unstated_idle));
    watch();
}

void link::fail(link_failure how) {
    link_listener* const listener = std::exchange(listener_, nullptr);
    close();
    if (listener != nullptr) {
        listener->on_failure(*this, how);
    }
}

void link::watch() {
    std::uint32_t wanted = held_ ? 0U : EPOLLIN;
    if (written_ < out_.size()) {
        wanted |= EPOLLOUT;
    }
    if (wanted != watched_) {
        watched_ = wanted;
        loop_.events.modify(socket_, wanted, *this);
    }
}

} // namespace bluebell::relay
