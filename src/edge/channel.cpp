#include "edge/channel.h"

#include <utility>

namespace bluebell::edge {

bool channel::give_up() {
    progress seen = progress::unsent;
    if (progress_.compare_exchange_strong(seen, progress::given_up_unsent)) {
        return true;
    }
    if (seen == progress::sent) {
        progress_ = progress::given_up_sent;
    }
    return seen == progress::given_up_unsent;
}

bool channel::unsent() const {
    const progress seen = progress_;
    return seen == progress::unsent || seen == progress::given_up_unsent;
}

bool channel::begin_attempt() {
    progress seen = progress::unsent;
    return progress_.compare_exchange_strong(seen, progress::sent) || seen == progress::sent;
}

bool channel::deliver(answer_part part) {
    const progress seen = progress_;
    if (seen == progress::given_up_unsent || seen == progress::given_up_sent) {
        return false;
    }
    // One thread delivers at a time, so the room cannot shrink before the push.
    return parts_.size() + reserved < parts_.capacity() &&
           parts_.try_push(std::move(part)) == base::push_result::pushed;
}

void channel::finish(answer_part last) {
    parts_.try_push(std::move(last));
}

channel_exchange::~channel_exchange() {
    if (!finished_) {
        to_->finish(abandoned{});
    }
}

void channel_exchange::begin(const decision::answer_head& head) {
    to_->finish(head);
}

bool channel_exchange::deliver(std::string bytes) {
    return to_->deliver(std::move(bytes));
}

void channel_exchange::finish(const decision::verdict& last) {
    if (!finished_.exchange(true)) {
        to_->finish(last);
    }
}

} // namespace bluebell::edge
