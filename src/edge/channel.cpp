#include "edge/channel.h"

#include <utility>

namespace bluebell::edge {

bool channel::give_up() {
    send_state state = send_state::unsent;
    if (send_state_.compare_exchange_strong(state, send_state::given_up_unsent)) {
        return true;
    }
    if (state == send_state::sent) {
        send_state_ = send_state::given_up_sent;
    }
    return state == send_state::given_up_unsent;
}

bool channel::unsent() const {
    const send_state state = send_state_;
    return state == send_state::unsent || state == send_state::given_up_unsent;
}

bool channel::begin_attempt() {
    send_state state = send_state::unsent;
    return send_state_.compare_exchange_strong(state, send_state::sent) || state == send_state::sent;
}

bool channel::deliver(answer_part part) {
    const send_state state = send_state_;
    if (state == send_state::given_up_unsent || state == send_state::given_up_sent) {
        return false;
    }
    // Only one thread delivers at a time, so the free space cannot shrink before the push.
    return parts_.size() + reserved_slots < parts_.capacity() &&
           parts_.try_push(std::move(part)) == base::push_result::pushed;
}

void channel::deliver_reserved(answer_part part) {
    parts_.try_push(std::move(part));
}

channel_exchange::~channel_exchange() {
    if (!finished_) {
        channel_->deliver_reserved(abandoned{});
    }
}

void channel_exchange::begin(const decision::answer_head& head) {
    channel_->deliver_reserved(head);
}

bool channel_exchange::deliver(std::string bytes) {
    return channel_->deliver(std::move(bytes));
}

void channel_exchange::finish(const decision::verdict& verdict) {
    if (!finished_.exchange(true)) {
        channel_->deliver_reserved(verdict);
    }
}

} // namespace bluebell::edge
