#include "upstream/transport.h"

#include "base/guard.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::upstream {
namespace {

/// Time between two tries to push an end into a full ring of events.
constexpr base::duration report_retry = std::chrono::milliseconds(5);
/// Longest wait of the selector.
constexpr base::duration max_wait = std::chrono::seconds(1);
/// A request to cancel a stream is given up after this time.
constexpr base::duration stream_cancel_timeout = std::chrono::seconds(2);
/// Requests to cancel a stream that may be in progress at the same time; further ones are not sent.
constexpr std::size_t max_stream_cancels = 64;
/// Interrupted answers whose delivered part is remembered; each takes about 100 bytes.
constexpr std::size_t max_remembered_prefixes = 4096;

cxxtools::Milliseconds to_milliseconds(base::duration duration) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
}

} // namespace

/// Sends a request to an engine to cancel a stream that no caller waits for. A failure of this request is
/// only logged: the engine notices the closed connection at its next write.
class transport::stream_cancel final : public call_listener {
public:
    stream_cancel(const attempt& ended, cxxtools::SelectorBase& selector, base::time_point now)
        : call_(ended.command().target.address, request_text(ended), true, selector, *this),
          expiry_time_(now + stream_cancel_timeout) {
        call_.start();
    }

    [[nodiscard]] bool finished(base::time_point now) const { return finished_ || now >= expiry_time_; }

private:
    static std::string request_text(const attempt& ended) {
        return format_request("DELETE", "/v1/streams/" + attempt::stream_name(ended.command().attempt),
                              ended.command().target.address.address, {}, {});
    }
    void on_head(const decision::answer_head&) override {}
    void on_body(const std::string&) override {}
    void on_complete() override { finished_ = true; }
    void on_failure(const base::error& cause) override {
        finished_ = true;
        base::log_event(base::log_level::debug, "transport", "cancel_failed", {{"cause", cause.text}});
    }

    bool finished_ = false;
    call call_;
    base::time_point expiry_time_;
};

transport::transport(base::ring<decision::transport_command>& commands, base::ring<decision::event>& events,
                     const base::clock& clock, attempt_limits limits)
    : commands_(commands), events_(events), clock_(clock), limits_(limits) {}

transport::~transport() = default;

void transport::run(base::stop_signal& stop) {
    abandon_attempts(); // those left in progress if this worker was restarted after a failure
    commands_.on_push([this] { selector_.wake(); });
    const base::scope_guard unregister_notification([this] { commands_.on_push({}); });
    while (!stop.requested()) {
        flush_ends();
        take_commands();
        selector_.wait(to_milliseconds(wait_time()));
        check_attempts();
        collect_ended_attempts();
    }
    abandon_attempts();
}

void transport::take_commands() {
    while (pending_ends_.empty()) {
        std::optional<decision::transport_command> next = commands_.pop(base::duration::zero());
        if (!next) {
            return;
        }
        if (decision::dispatch* const command = std::get_if<decision::dispatch>(&*next)) {
            start(std::move(*command));
        } else {
            cancel(std::get<decision::cancel_attempt>(*next).attempt);
        }
    }
}

void transport::start(decision::dispatch command) {
    const decision::attempt_key key = command.attempt;
    remembered_prefix delivered = take_prefix(command);
    std::unique_ptr<attempt> new_attempt = std::make_unique<attempt>(
        std::move(command), delivered.prefix, std::move(delivered.version), limits_, selector_, clock_);
    new_attempt->start();
    next_limit_ = std::min(next_limit_, new_attempt->next_limit());
    if (new_attempt->ended()) {
        next_limit_ = base::time_point::min(); // its end is collected without waiting
    }
    attempts_[key] = std::move(new_attempt);
}

void transport::cancel(const decision::attempt_key& key) {
    const std::map<decision::attempt_key, std::unique_ptr<attempt>>::iterator found = attempts_.find(key);
    if (found != attempts_.end()) {
        found->second->cancel();
        next_limit_ = base::time_point::min();
    }
}

void transport::check_attempts() {
    // All attempts are checked at each wake-up: a limit can move to an earlier time when a connection is
    // established or the first byte arrives, and a stored minimum would miss it.
    next_limit_ = base::time_point::max();
    for (const std::pair<const decision::attempt_key, std::unique_ptr<attempt>>& entry : attempts_) {
        entry.second->expire();
        if (entry.second->ended()) {
            continue;
        }
        next_limit_ = std::min(next_limit_, entry.second->next_limit());
        const std::optional<base::cost> spent = entry.second->take_progress();
        if (spent) {
            events_.try_push(decision::attempt_progress{entry.first, *spent});
        }
    }
}

void transport::collect_ended_attempts() {
    for (std::map<decision::attempt_key, std::unique_ptr<attempt>>::iterator it = attempts_.begin();
         it != attempts_.end();) {
        if (it->second->ended()) {
            report_end(*it->second);
            it = attempts_.erase(it);
        } else {
            ++it;
        }
    }
    const base::time_point now = clock_.now();
    stream_cancels_.erase(
        std::remove_if(stream_cancels_.begin(), stream_cancels_.end(),
                       [now](const std::unique_ptr<stream_cancel>& entry) { return entry->finished(now); }),
        stream_cancels_.end());
    flush_ends();
}

void transport::report_end(attempt& ended) {
    if (ended.needs_stream_cancel() && stream_cancels_.size() < max_stream_cancels) {
        stream_cancels_.push_back(std::make_unique<stream_cancel>(ended, selector_, clock_.now()));
    }
    remember_prefix(ended);
    pending_ends_.push_back(decision::attempt_ended{ended.command().attempt, ended.end()});
}

void transport::flush_ends() {
    while (!pending_ends_.empty()) {
        decision::event next = pending_ends_.front();
        if (events_.try_push(std::move(next)) == base::push_result::full) {
            return;
        }
        pending_ends_.pop_front();
    }
}

void transport::abandon_attempts() {
    for (const std::pair<const decision::attempt_key, std::unique_ptr<attempt>>& entry : attempts_) {
        entry.second->abandon();
    }
    collect_ended_attempts();
    stream_cancels_.clear();
}

base::duration transport::wait_time() const {
    if (!pending_ends_.empty()) {
        return report_retry;
    }
    base::duration wait = max_wait;
    if (next_limit_ != base::time_point::max()) {
        const base::time_point now = clock_.now();
        wait = next_limit_ <= now ? base::duration::zero() : std::min(wait, next_limit_ - now);
    }
    return wait;
}

transport::remembered_prefix transport::take_prefix(const decision::dispatch& command) {
    const std::map<base::request_id, remembered_prefix>::iterator found = prefixes_.find(command.attempt.id);
    if (found == prefixes_.end()) {
        return {};
    }
    remembered_prefix remembered = std::move(found->second);
    prefixes_.erase(found);
    return command.resume_from.value() > 0 ? std::move(remembered) : remembered_prefix{};
}

void transport::remember_prefix(const attempt& ended) {
    if (ended.prefix().size() == 0 || ended.end().status == decision::attempt_status::completed ||
        ended.end().status == decision::attempt_status::cancelled) {
        return;
    }
    if (prefixes_.size() >= max_remembered_prefixes) {
        const base::time_point now = clock_.now();
        for (std::map<base::request_id, remembered_prefix>::iterator it = prefixes_.begin();
             it != prefixes_.end();) {
            it = it->second.expiry_time <= now ? prefixes_.erase(it) : std::next(it);
        }
    }
    if (prefixes_.size() < max_remembered_prefixes) {
        prefixes_[ended.command().attempt.id] = {ended.prefix(), ended.version(), ended.command().deadline};
    }
}

} // namespace bluebell::upstream
