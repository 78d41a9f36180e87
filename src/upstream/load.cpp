#include "upstream/load.h"

#include "base/guard.h"
#include "base/json.h"
#include "base/log.h"
#include "upstream/call.h"

#include <algorithm>
#include <charconv>
#include <cxxtools/serializationinfo.h>
#include <optional>
#include <utility>

namespace bluebell::upstream {
namespace {

constexpr std::size_t max_report_bytes = 65536;
/// The sum of two such numbers fits into 32 bits with a sign, which `decision/permit` relies on.
constexpr std::uint32_t max_load = 1000000000;
/// Longest wait of the selector.
constexpr base::duration max_wait = std::chrono::seconds(1);

cxxtools::Milliseconds to_milliseconds(base::duration duration) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
}

/// Reads a whole number from 0 to `max_load`; nothing if the member is missing or anything else. cxxtools
/// converts null and arrays to 0.
std::optional<std::uint32_t> read_count(const cxxtools::SerializationInfo& object, const char* name) {
    const cxxtools::SerializationInfo* const member = object.findMember(name);
    if (member == nullptr || member->category() != cxxtools::SerializationInfo::Value ||
        member->typeName() != "int") {
        return std::nullopt;
    }
    std::string text;
    member->getValue(text);
    std::uint32_t count = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    const bool valid =
        parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && count <= max_load;
    return valid ? std::optional<std::uint32_t>(count) : std::nullopt;
}

} // namespace

base::result<decision::upstream_load> parse_load(const std::string& text) {
    const base::result<cxxtools::SerializationInfo> object =
        base::parse_json(text, base::error_code::upstream_malformed_answer, "load");
    if (!object) {
        return tl::unexpected<base::error>(object.error());
    }
    const std::optional<std::uint32_t> running = read_count(*object, "running");
    const std::optional<std::uint32_t> waiting = read_count(*object, "waiting");
    const std::optional<std::uint32_t> slots = read_count(*object, "slots");
    if (!running || !waiting || !slots) {
        return base::failure(base::error_code::upstream_malformed_answer, "load",
                             "running, waiting and slots must be whole numbers up to 1e9");
    }
    decision::upstream_load reported_load;
    reported_load.running = *running;
    reported_load.waiting = *waiting;
    reported_load.slots = base::slot_count(static_cast<std::int32_t>(*slots));
    return reported_load;
}

/// One `GET /load` request to one upstream.
class load_poller::poll final : public call_listener {
public:
    poll(const decision::upstream& target, cxxtools::SelectorBase& selector, base::time_point now)
        : id_(target.id), start_time_(now),
          call_(target.address, format_request("GET", "/load", target.address.address, {}, {}), true,
                selector, *this) {
        call_.start();
    }

    [[nodiscard]] bool finished() const { return finished_; }
    /// Returns the report; empty unless a well-formed answer with status 200 arrived.
    [[nodiscard]] const std::optional<decision::load_reported>& report() const { return report_; }

private:
    void on_head(const decision::answer_head& head) override { status_ = head.status; }
    void on_body(const std::string& bytes) override {
        if (body_.size() + bytes.size() <= max_report_bytes) {
            body_ += bytes;
        }
    }
    void on_complete() override {
        finished_ = true;
        const base::result<decision::upstream_load> reported_load = parse_load(body_);
        if (status_ == 200 && reported_load) {
            report_ = decision::load_reported{id_, *reported_load, start_time_};
        }
    }
    void on_failure(const base::error& cause) override {
        finished_ = true;
        base::log_event(base::log_level::debug, "load", "poll_failed",
                        {{"upstream", id_.value()}, {"cause", cause.text}});
    }

    const base::upstream_id id_;
    const base::time_point start_time_;
    int status_ = 0;
    std::string body_;
    bool finished_ = false;
    std::optional<decision::load_reported> report_;
    call call_;
};

load_poller::load_poller(base::ring<decision::watch_load>& commands, base::ring<decision::event>& events,
                         const base::clock& clock, load_poller_options options)
    : commands_(commands), events_(events), clock_(clock), options_(options) {}

load_poller::~load_poller() = default;

void load_poller::run(base::stop_signal& stop) {
    polls_.clear();
    commands_.on_push([this] { selector_.wake(); });
    const base::scope_guard unregister_notification([this] { commands_.on_push({}); });
    while (!stop.requested()) {
        take_commands();
        if (clock_.now() >= next_poll_time_) {
            start_polls();
        }
        const base::duration remaining = next_poll_time_ - clock_.now();
        selector_.wait(to_milliseconds(std::clamp(remaining, base::duration::zero(), max_wait)));
        collect_reports();
    }
    polls_.clear();
}

void load_poller::take_commands() {
    while (std::optional<decision::watch_load> command = commands_.pop(base::duration::zero())) {
        watched_ = std::move(command->upstreams);
        next_poll_time_ = clock_.now();
    }
}

void load_poller::start_polls() {
    const base::time_point now = clock_.now();
    polls_.clear(); // gives up the calls that took longer than the period
    for (const decision::upstream& target : watched_) {
        polls_.push_back(std::make_unique<poll>(target, selector_, now));
    }
    next_poll_time_ = now + options_.period;
}

void load_poller::collect_reports() {
    for (const std::unique_ptr<poll>& entry : polls_) {
        if (entry->finished() && entry->report()) {
            events_.try_push(decision::load_reported(*entry->report()));
        }
    }
    polls_.erase(std::remove_if(polls_.begin(), polls_.end(),
                                [](const std::unique_ptr<poll>& entry) { return entry->finished(); }),
                 polls_.end());
}

} // namespace bluebell::upstream
