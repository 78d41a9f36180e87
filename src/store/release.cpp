#include "store/release.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::store {
namespace {

using base::error_code;

constexpr base::duration push_timeout = std::chrono::seconds(1);
constexpr double poll_jitter = 0.2;
constexpr double retry_jitter = 0.5;

} // namespace

base::result<std::string> http_config_peer::fetch(const decision::endpoint& admin) {
    http_connection connection(admin, limits_);
    const base::result<http_answer> answer = connection.fetch("/config", "");
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    if (answer->status != 200) {
        return base::failure(error_code::store_unavailable, to_string(admin) + "/config",
                             "the router answered with status " + std::to_string(answer->status));
    }
    return answer->body;
}

release_worker::release_worker(std::unique_ptr<object_store> store, std::unique_ptr<config_peer> peer,
                               base::ring<decision::release_command>& commands,
                               base::ring<decision::event>& events, const base::clock& clock,
                               std::uint64_t seed, release_timing timing)
    : store_(std::move(store)), peer_(std::move(peer)), commands_(commands), events_(events), clock_(clock),
      random_(seed), timing_(timing) {}

void release_worker::run(base::stop_signal& stop) {
    if (commands_.closed()) {
        commands_.reopen();
    }
    release_.reset();
    head_version_ = base::object_version(0);
    failed_at_.reset();
    successful_reads_ = 0;
    next_watch_ = clock_.now();
    // `interrupt` may have closed the ring just before `reopen`, so the stop signal is checked afterwards.
    if (stop.requested()) {
        return;
    }
    read_store();
    while (!stop.requested()) {
        const base::time_point now = clock_.now();
        const bool watch = can_watch();
        const base::time_point wake = watch ? next_watch_ : next_read_;
        const std::optional<decision::release_command> command =
            commands_.pop(std::max(base::duration::zero(), wake - now));
        if (stop.requested()) {
            return;
        }
        if (command) {
            std::visit([this](const auto& request) { handle(request); }, *command);
        } else if (watch) {
            watch_store();
        } else {
            read_store();
        }
    }
}

bool release_worker::can_watch() const {
    return watcher_ && release_ && successful_reads_ > 1 && !failed_at_;
}

void release_worker::handle(const decision::fetch_release& command) {
    // Shortly after a failure, a call on the store would most likely run into its time limit.
    const bool peer_first = failed_at_ && clock_.now() - *failed_at_ < timing_.peer_first_period;
    if (peer_first && command.peer && known_revision() < command.at_least) {
        fetch_from_peer(*command.peer);
        if (known_revision() >= command.at_least) {
            return;
        }
    }
    read_store();
    if (!peer_first && command.peer && known_revision() < command.at_least) {
        fetch_from_peer(*command.peer);
    }
}

void release_worker::handle(const decision::config_requested& command) {
    command.reply->try_push(release_ ? render_config(*release_) : std::string());
}

void release_worker::read_store() {
    const base::time_point read_at = clock_.now();
    process_head(store_->read(head_name()), read_at);
}

void release_worker::watch_store() {
    const base::time_point read_at = clock_.now();
    const base::revision previous = known_revision();
    process_head(store_->watch(head_name(), head_version_, timing_.watch_slice), read_at);
    // A lagging replica of the store answers each watch at once with an older version; the pause until the
    // end of the slice avoids a busy loop.
    next_watch_ = known_revision() > previous ? clock_.now() : read_at + timing_.watch_slice;
}

void release_worker::process_head(const base::result<stored_object>& object, base::time_point read_at) {
    if (!object && object.error().code != error_code::store_not_found) {
        report_failure(object.error());
        return;
    }
    const base::result<base::revision> head_revision = object ? load_head(*object) : base::revision(0);
    if (!head_revision) {
        report_failure(head_revision.error());
        return;
    }
    failed_at_.reset();
    const base::duration pause =
        successful_reads_ == 0 ? timing_.second_read : jittered(timing_.poll, poll_jitter);
    ++successful_reads_;
    next_read_ = clock_.now() + pause;
    report(*head_revision, decision::config_source::store, read_at);
}

base::result<base::revision> release_worker::load_head(const stored_object& object) {
    if (release_ && object.version == head_version_) {
        return known_revision();
    }
    const base::result<release_head> head = decode_head(object.value);
    if (!head) {
        return tl::unexpected<base::error>(head.error());
    }
    if (head->revision > known_revision()) {
        store_chunks chunks(*store_);
        base::result<std::shared_ptr<const config_image>> image =
            load_image(object.value, release_.get(), chunks);
        if (!image) {
            return tl::unexpected<base::error>(image.error());
        }
        release_ = std::move(*image);
        base::log_event(base::log_level::info, "release", "release_read",
                        {{"revision", release_->head.revision.value()}, {"source", "store"}});
    }
    if (head->revision == known_revision()) {
        head_version_ = object.version;
    }
    return head->revision;
}

void release_worker::fetch_from_peer(const decision::endpoint& admin) {
    const base::time_point read_at = clock_.now();
    const base::result<std::string> text = peer_->fetch(admin);
    if (!text) {
        base::log_event(base::log_level::warning, "release", "peer_failed",
                        {{"peer", to_string(admin)}, {"cause", text.error().text}});
        return;
    }
    base::result<std::shared_ptr<const config_image>> image = parse_config(*text, release_.get());
    if (!image) {
        base::log_event(base::log_level::warning, "release", "peer_config_refused",
                        {{"peer", to_string(admin)},
                         {"code", to_string(image.error().code)},
                         {"cause", image.error().text}});
        return;
    }
    const base::revision head_revision = (*image)->head.revision;
    if (head_revision > known_revision()) {
        release_ = std::move(*image);
        head_version_ = base::object_version(0);
        base::log_event(base::log_level::info, "release", "release_read",
                        {{"revision", head_revision.value()}, {"source", "peer"}});
    }
    report(head_revision, decision::config_source::peer, read_at);
}

void release_worker::report(base::revision revision, decision::config_source source,
                            base::time_point read_at) {
    push_event(decision::release_read{revision, release_ ? release_->config : nullptr, source, read_at});
}

void release_worker::report_failure(const base::error& cause) {
    failed_at_ = clock_.now();
    next_read_ = *failed_at_ + jittered(timing_.retry, retry_jitter);
    base::log_event(base::log_level::warning, "release", "store_failed",
                    {{"code", to_string(cause.code)}, {"place", cause.location}, {"cause", cause.text}});
    push_event(decision::store_failed{cause});
}

void release_worker::push_event(decision::event event) {
    if (events_.push(std::move(event), push_timeout) == base::push_result::full) {
        // The next read reports the release again.
        base::log_event(base::log_level::warning, "release", "event_dropped");
    }
}

base::revision release_worker::known_revision() const {
    return release_ ? release_->head.revision : base::revision(0);
}

base::duration release_worker::jittered(base::duration mean, double jitter) {
    std::uniform_real_distribution<double> factor(1 - jitter, 1 + jitter);
    return std::chrono::duration_cast<base::duration>(mean * factor(random_));
}

} // namespace bluebell::store
