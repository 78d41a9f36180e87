#include "upstream/load.h"

#include "base/guard.h"
#include "base/log.h"
#include "upstream/call.h"

#include <algorithm>
#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>
#include <utility>

namespace bluebell::upstream {
namespace {

constexpr std::size_t longest_report = 65536;
constexpr base::duration longest_wait = std::chrono::seconds(1);

cxxtools::Milliseconds to_milliseconds(base::duration time) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(time).count());
}

} // namespace

base::result<decision::upstream_load> parse_load(const std::string& text) {
    decision::upstream_load read;
    try {
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        cxxtools::SerializationInfo object;
        deserializer.deserialize(object);
        std::int32_t slots = 0;
        object.getMember("running").getValue(read.running);
        object.getMember("waiting").getValue(read.waiting);
        object.getMember("slots").getValue(slots);
        read.slots = base::slot_count(slots);
    } catch (const std::exception& cause) {
        return base::failure(base::error_code::upstream_malformed_answer, "load", cause.what());
    }
    if (read.slots.value() < 0) {
        return base::failure(base::error_code::upstream_malformed_answer, "slots", "must not be negative");
    }
    return read;
}

class load::poll final : public call_listener {
public:
    poll(const decision::upstream& target, cxxtools::SelectorBase& selector, base::time_point now)
        : id_(target.id), started_(now),
          call_(target.address, format_request("GET", "/load", target.address.address, {}, {}), true,
                selector, *this) {
        call_.start();
    }

    [[nodiscard]] bool over() const { return over_; }
    /// Empty unless a well-formed answer arrived.
    [[nodiscard]] const std::optional<decision::load_reported>& report() const { return report_; }

private:
    void on_head(const decision::answer_head& head) override { status_ = head.status; }
    void on_body(const std::string& bytes) override {
        if (body_.size() + bytes.size() <= longest_report) {
            body_ += bytes;
        }
    }
    void on_complete() override {
        over_ = true;
        const base::result<decision::upstream_load> read = parse_load(body_);
        if (status_ == 200 && read) {
            report_ = decision::load_reported{id_, *read, started_};
        }
    }
    void on_failure(const base::error& cause) override {
        over_ = true;
        base::log_event(base::log_level::debug, "load", "poll_failed",
                        {{"upstream", id_.value()}, {"cause", cause.text}});
    }

    const base::upstream_id id_;
    const base::time_point started_;
    int status_ = 0;
    std::string body_;
    bool over_ = false;
    std::optional<decision::load_reported> report_;
    call call_;
};

load::load(base::ring<decision::watch_load>& orders, base::ring<decision::event>& events,
           const base::clock& time, load_options options)
    : orders_(orders), events_(events), clock_(time), options_(options) {}

load::~load() = default;

void load::run(base::stop_signal& stop) {
    polls_.clear();
    orders_.on_push([this] { selector_.wake(); });
    const base::scope_guard quiet([this] { orders_.on_push({}); });
    while (!stop.requested()) {
        take_orders();
        if (clock_.now() >= next_poll_) {
            begin_polls();
        }
        const base::duration left = next_poll_ - clock_.now();
        selector_.wait(to_milliseconds(std::clamp(left, base::duration::zero(), longest_wait)));
        collect();
    }
    polls_.clear();
}

void load::take_orders() {
    while (std::optional<decision::watch_load> next = orders_.pop(base::duration::zero())) {
        watched_ = std::move(next->upstreams);
        next_poll_ = clock_.now();
    }
}

void load::begin_polls() {
    const base::time_point now = clock_.now();
    polls_.clear(); // calls that are still open have used up their time
    for (const decision::upstream& each : watched_) {
        polls_.push_back(std::make_unique<poll>(each, selector_, now));
    }
    next_poll_ = now + options_.period;
}

void load::collect() {
    for (const std::unique_ptr<poll>& each : polls_) {
        if (each->over() && each->report()) {
            events_.try_push(decision::load_reported(*each->report()));
        }
    }
    polls_.erase(std::remove_if(polls_.begin(), polls_.end(),
                                [](const std::unique_ptr<poll>& each) { return each->over(); }),
                 polls_.end());
}

} // namespace bluebell::upstream
