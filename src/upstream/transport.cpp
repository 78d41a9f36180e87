#include "upstream/transport.h"

#include "base/guard.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::upstream {
namespace {

/// How long a report waits before the ring of events is tried again.
constexpr base::duration report_retry = std::chrono::milliseconds(5);
constexpr base::duration longest_wait = std::chrono::seconds(1);
constexpr base::duration stream_cancel_limit = std::chrono::seconds(2);
constexpr std::size_t stream_cancels_at_once = 64;
/// Interrupted answers whose delivered part is remembered; about 100 bytes each.
constexpr std::size_t remembered_answers = 4096;

cxxtools::Milliseconds to_milliseconds(base::duration time) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(time).count());
}

} // namespace

/// Tells an engine to stop a stream that nobody waits for. Its own failure has no consequence: the engine
/// notices the closed connection at its next write.
class transport::stream_cancel final : public call_listener {
public:
    stream_cancel(const attempt& ended, cxxtools::SelectorBase& selector, base::time_point now)
        : call_(ended.order().target.address, request_text(ended), true, selector, *this),
          expires_(now + stream_cancel_limit) {
        call_.start();
    }

    [[nodiscard]] bool over(base::time_point now) const { return done_ || now >= expires_; }

private:
    static std::string request_text(const attempt& ended) {
        return format_request("DELETE", "/v1/streams/" + attempt::stream_name(ended.order().attempt),
                              ended.order().target.address.address, {}, {});
    }
    void on_head(const decision::answer_head&) override {}
    void on_body(const std::string&) override {}
    void on_complete() override { done_ = true; }
    void on_failure(const base::error& cause) override {
        done_ = true;
        base::log_event(base::log_level::debug, "transport", "cancel_failed", {{"cause", cause.text}});
    }

    bool done_ = false;
    call call_;
    base::time_point expires_;
};

transport::transport(base::ring<decision::transport_command>& commands, base::ring<decision::event>& events,
                     const base::clock& time, attempt_limits limits)
    : commands_(commands), events_(events), clock_(time), limits_(limits) {}

transport::~transport() = default;

void transport::run(base::stop_signal& stop) {
    abandon(); // attempts that an earlier failure of this worker left behind
    commands_.on_push([this] { selector_.wake(); });
    const base::scope_guard quiet([this] { commands_.on_push({}); });
    while (!stop.requested()) {
        flush_reports();
        take_commands();
        selector_.wait(to_milliseconds(wait_time()));
        tend();
        reap();
    }
    abandon();
}

void transport::take_commands() {
    while (reports_.empty()) {
        std::optional<decision::transport_command> next = commands_.pop(base::duration::zero());
        if (!next) {
            return;
        }
        if (decision::dispatch* const order = std::get_if<decision::dispatch>(&*next)) {
            start(std::move(*order));
        } else {
            cancel(std::get<decision::cancel_attempt>(*next).attempt);
        }
    }
}

void transport::start(decision::dispatch order) {
    const decision::attempt_key key = order.attempt;
    const delivered_prefix prefix = recall(order);
    std::unique_ptr<attempt> begun =
        std::make_unique<attempt>(std::move(order), prefix, limits_, selector_, clock_);
    begun->start();
    next_limit_ = std::min(next_limit_, begun->next_limit());
    if (begun->ended()) {
        next_limit_ = base::time_point::min(); // reaped without waiting
    }
    attempts_[key] = std::move(begun);
}

void transport::cancel(const decision::attempt_key& key) {
    const std::map<decision::attempt_key, std::unique_ptr<attempt>>::iterator found = attempts_.find(key);
    if (found != attempts_.end()) {
        found->second->cancel();
        next_limit_ = base::time_point::min();
    }
}

void transport::tend() {
    // One pass over all attempts at each wake-up: a limit can move forward when a connection comes up or the
    // first byte arrives, so that a kept minimum would miss it.
    next_limit_ = base::time_point::max();
    for (const std::pair<const decision::attempt_key, std::unique_ptr<attempt>>& each : attempts_) {
        each.second->expire();
        if (each.second->ended()) {
            continue;
        }
        next_limit_ = std::min(next_limit_, each.second->next_limit());
        const std::optional<base::cost> spent = each.second->take_progress();
        if (spent) {
            events_.try_push(decision::attempt_progress{each.first, *spent});
        }
    }
}

void transport::reap() {
    for (std::map<decision::attempt_key, std::unique_ptr<attempt>>::iterator it = attempts_.begin();
         it != attempts_.end();) {
        if (it->second->ended()) {
            retire(*it->second);
            it = attempts_.erase(it);
        } else {
            ++it;
        }
    }
    const base::time_point now = clock_.now();
    stream_cancels_.erase(
        std::remove_if(stream_cancels_.begin(), stream_cancels_.end(),
                       [now](const std::unique_ptr<stream_cancel>& each) { return each->over(now); }),
        stream_cancels_.end());
    flush_reports();
}

void transport::retire(attempt& ended) {
    if (ended.left_running() && stream_cancels_.size() < stream_cancels_at_once) {
        stream_cancels_.push_back(std::make_unique<stream_cancel>(ended, selector_, clock_.now()));
    }
    remember(ended);
    reports_.push_back(decision::attempt_ended{ended.order().attempt, ended.end()});
}

void transport::flush_reports() {
    while (!reports_.empty()) {
        decision::event next = reports_.front();
        if (events_.try_push(std::move(next)) == base::push_result::full) {
            return;
        }
        reports_.pop_front();
    }
}

void transport::abandon() {
    for (const std::pair<const decision::attempt_key, std::unique_ptr<attempt>>& each : attempts_) {
        each.second->abandon();
    }
    reap();
    stream_cancels_.clear();
}

base::duration transport::wait_time() const {
    if (!reports_.empty()) {
        return report_retry;
    }
    base::duration wait = longest_wait;
    if (next_limit_ != base::time_point::max()) {
        const base::time_point now = clock_.now();
        wait = next_limit_ <= now ? base::duration::zero() : std::min(wait, next_limit_ - now);
    }
    return wait;
}

delivered_prefix transport::recall(const decision::dispatch& order) {
    const std::map<base::request_id, remembered_prefix>::iterator found = prefixes_.find(order.attempt.id);
    if (found == prefixes_.end()) {
        return {};
    }
    const delivered_prefix prefix = found->second.prefix;
    prefixes_.erase(found);
    return order.resume_from.value() > 0 ? prefix : delivered_prefix{};
}

void transport::remember(const attempt& ended) {
    if (ended.prefix().size() == 0 || ended.end().status == decision::attempt_status::completed ||
        ended.end().status == decision::attempt_status::cancelled) {
        return;
    }
    if (prefixes_.size() >= remembered_answers) {
        const base::time_point now = clock_.now();
        for (std::map<base::request_id, remembered_prefix>::iterator it = prefixes_.begin();
             it != prefixes_.end();) {
            it = it->second.expires <= now ? prefixes_.erase(it) : std::next(it);
        }
    }
    if (prefixes_.size() < remembered_answers) {
        prefixes_[ended.order().attempt.id] = {ended.prefix(), ended.order().deadline};
    }
}

} // namespace bluebell::upstream
