// Attribution of crashes of upstreams to requests.
#include "base/log.h"
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// How long a broken connection is kept as a sign of a crash. The store shows the restart of an upstream only
/// some heartbeats after its crash.
constexpr base::duration suspicion_time = std::chrono::seconds(8);
/// Connections to one upstream that break within this time show that it crashed.
constexpr base::duration simultaneous_break_time = std::chrono::milliseconds(100);
/// An upstream that goes on for this long after an answer has begun did not crash because of that request.
constexpr base::duration survival_time = std::chrono::milliseconds(200);
/// Interval at which crashes are reported to random peers, while there is news and otherwise.
constexpr base::duration news_interval = std::chrono::milliseconds(250);
constexpr base::duration block_report_interval = std::chrono::seconds(1);
/// Peers that get one report.
constexpr std::size_t news_fanout = 3;

} // namespace

decision::crash_suspect dispatcher::suspect(const session& request) {
    return make_crash_suspect(request.pool, request.prompt, request.fingerprint);
}

bool dispatcher::blocked(const session& request) const {
    return crashes_.blocks_any() && crashes_.is_blocked(suspect(request));
}

void dispatcher::record_answered(const session& request) {
    if (crashes_.has_suspects() || crashes_.blocks_any()) {
        crashes_.add_success(suspect(request), now_, now_);
    }
}

void dispatcher::record_broken_connection(const session& request) {
    while (!broken_connections_.empty() && now_ - broken_connections_.front().broken_at > suspicion_time) {
        broken_connections_.pop_front();
    }
    broken_connection broken{request.target, {}, now_};
    if (!request.answering || now_ - request.answering_since < survival_time) {
        broken.suspects.push_back(suspect(request));
    } else {
        record_answered(request);
    }
    const bool simultaneous = std::any_of(
        broken_connections_.rbegin(), broken_connections_.rend(), [&](const broken_connection& other) {
            return other.upstream == broken.upstream && now_ - other.broken_at < simultaneous_break_time;
        });
    broken_connections_.push_back(std::move(broken));
    if (simultaneous) {
        confirm_crash(request.target, now_ - simultaneous_break_time, now_);
    }
}

/// Records a crash of the upstream, with those of its broken connections that broke between `earliest` and
/// `latest`.
void dispatcher::confirm_crash(const base::upstream_id& upstream, base::time_point earliest,
                               base::time_point latest) {
    for (const broken_connection& broken : broken_connections_) {
        if (broken.upstream == upstream && earliest <= broken.broken_at && broken.broken_at <= latest) {
            crashes_.add_crash(upstream, broken.broken_at, broken.suspects, now_);
            crash_recorded_ = true;
        }
    }
}

/// Records answers in progress that have outlived `survival_time`, since a long stream ends too late to clear
/// what its request has in common with others.
void dispatcher::record_survived_answers() {
    if (!crashes_.has_suspects()) {
        return;
    }
    for (const auto& [id, request] : sessions_) {
        if (request.state == stage::sent && request.answering &&
            now_ - request.answering_since >= survival_time) {
            record_answered(request);
        }
    }
}

void dispatcher::update_blocks() {
    const std::vector<decision::blocked_feature> blocked = crashes_.update(now_);
    for (const decision::blocked_feature& feature : blocked) {
        base::log_event(
            log_level::warning, "dispatcher", "blocked_after_crashes",
            {{"kind", feature.kind == decision::feature_kind::request ? "request" : "prompt_part"},
             {"feature", feature.feature.value()},
             {"last_crash_ms", std::chrono::duration<double, std::milli>(feature.age).count()}});
    }
    if (!blocked.empty()) {
        end_blocked_requests();
        next_crash_news_ = now_; // each router passes a new block on at once
        send_crash_news();
    }
}

/// Ends requests that wait, or whose answer has not begun, before they crash a further upstream.
void dispatcher::end_blocked_requests() {
    std::vector<session_id> ending;
    for (const auto& [id, request] : sessions_) {
        if (!request.answering && blocked(request)) {
            ending.push_back(id);
        }
    }
    for (const session_id id : ending) {
        end_session(sessions_.at(id), 502, error_code::poison_request);
    }
}

void dispatcher::receive_crash_news(const decision::crash_news& news) {
    // What a peer saw as a crash confirms that this router's connections broke because of it.
    for (const decision::upstream_crash& crash : news.crashes) {
        const base::time_point crashed_at = now_ - crash.age;
        confirm_crash(crash.upstream, crashed_at - crash_attribution::same_crash_time,
                      crashed_at + crash_attribution::same_crash_time);
    }
    crashes_.merge(news, now_);
    crash_recorded_ = true;
}

void dispatcher::send_crash_news() {
    if (now_ < next_crash_news_) {
        return;
    }
    const decision::crash_news news = crashes_.news(now_);
    const bool only_blocks = news.crashes.empty() && news.cleared.empty();
    next_crash_news_ = now_ + (only_blocks ? block_report_interval : news_interval);
    if (only_blocks && news.blocked.empty()) {
        return;
    }
    for (const base::vm_id& peer : members_.random_peers(news_fanout)) {
        send_to(peer, news);
    }
}

} // namespace bluebell::dispatch
