#include "store/recorder.h"

#include "base/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell::store {
namespace {

constexpr base::duration idle_wait = std::chrono::seconds(1);
constexpr base::duration first_retry = std::chrono::milliseconds(100);
constexpr base::duration longest_retry = std::chrono::seconds(1);
constexpr base::duration ring_timeout = std::chrono::seconds(1);
/// Streams of one batch, which stays below a megabyte of text. Older ones are dropped.
constexpr std::size_t max_batch_streams = 15'000;

} // namespace

stream_recorder::stream_recorder(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                                 base::ring<dispatch::stream_order>& orders, std::uint64_t seed)
    : source_(std::move(source)), events_(events), orders_(orders), random_(seed) {}

void stream_recorder::run(base::stop_signal& stop) {
    if (orders_.closed()) {
        orders_.reopen();
    }
    read_ordered_ = false;
    next_batch_.reset();
    base::duration pause = first_retry;
    while (!stop.requested()) {
        receive_orders(idle_wait);
        const bool done = (!read_ordered_ || read()) && (unwritten_.empty() || write());
        if (done) {
            pause = first_retry;
            continue;
        }
        std::uniform_int_distribution<base::duration::rep> jitter(0, pause.count() / 2);
        stop.wait_for(pause - base::duration(jitter(random_)));
        pause = std::min(pause * 2, longest_retry);
    }
}

void stream_recorder::receive_orders(base::duration wait) {
    if (read_ordered_ || !unwritten_.empty()) {
        wait = base::duration::zero(); // the last try has failed
    }
    while (std::optional<dispatch::stream_order> order = orders_.pop(wait)) {
        read_ordered_ = read_ordered_ || order->read;
        unwritten_.insert(unwritten_.end(), std::make_move_iterator(order->write.begin()),
                          std::make_move_iterator(order->write.end()));
        wait = base::duration::zero();
    }
    if (unwritten_.size() > max_batch_streams) {
        unwritten_.erase(unwritten_.begin(),
                         unwritten_.end() - static_cast<std::ptrdiff_t>(max_batch_streams));
    }
}

bool stream_recorder::read() {
    base::result<stored_streams> stored = source_->read_streams();
    if (!stored) {
        record_failure("not_read", stored.error());
        return false;
    }
    next_batch_ = stored->next_batch;
    base::log_event(base::log_level::info, name(), "read",
                    {{"streams", stored->streams.size()}, {"next_batch", stored->next_batch}});
    // A dispatcher that restarts orders the reading again.
    events_.push(dispatch::streams_read{std::move(stored->streams)}, ring_timeout);
    read_ordered_ = false;
    return true;
}

bool stream_recorder::write() {
    if (!next_batch_) {
        return read(); // the batch to replace is not known
    }
    const base::result<void> written = source_->write_streams(*next_batch_, unwritten_);
    if (!written) {
        record_failure("not_written", written.error());
        return false;
    }
    base::log_event(base::log_level::debug, name(), "written",
                    {{"streams", unwritten_.size()}, {"batch", *next_batch_}});
    ++*next_batch_;
    unwritten_.clear();
    return true;
}

void stream_recorder::record_failure(const char* event, const base::error& cause) {
    base::log_event(
        base::log_level::warning, name(), event,
        {{"code", base::to_string(cause.code)}, {"text", cause.text}, {"streams", unwritten_.size()}});
}

} // namespace bluebell::store
