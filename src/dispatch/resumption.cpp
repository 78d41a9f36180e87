// Resumption of streams: where each began, and requests that go on with one.
#include "base/hash.h"
#include "base/log.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace bluebell::dispatch {
namespace {

using base::error_code;

/// Interval at which the writer adds new origins to the store.
constexpr base::duration write_interval = std::chrono::milliseconds(400);
/// How long a request waits for the origin of its stream.
constexpr base::duration origin_timeout = std::chrono::milliseconds(200);
/// Routers that are asked for an origin; the second one in case that the first has just stopped.
constexpr std::size_t asked_routers = 2;
/// A stream stays resumable for this time beyond the deadline that its caller stated.
constexpr base::duration caller_delay = std::chrono::seconds(2);
/// Least time after which the caller of a stream may return to a router that is still learning of origins; up
/// to twice as much.
constexpr base::duration learning_return_time = std::chrono::milliseconds(200);

} // namespace

/// Every router of a small fleet knows all origins; of a large one, the delegates do.
bool dispatcher::holds_origins() const {
    return !delegation_.needed() || delegation_.is_delegate();
}

std::set<base::vm_id> dispatcher::origin_holders() const {
    std::set<base::vm_id> holders;
    if (delegation_.needed()) {
        holders = delegation_.other_delegates();
        holders.insert(delegation_.delegate());
    } else {
        const std::vector<base::vm_id> live = members_.live();
        holders.insert(live.begin(), live.end());
    }
    return holders;
}

void dispatcher::on(const stream_began& start) {
    const auto found = sessions_.find(start.id);
    if (found == sessions_.end() || found->second.attempt != start.attempt || found->second.origin) {
        return;
    }
    session& request = found->second;
    request.origin =
        stream_origin{request.pool, start.process_known ? request.target_version : base::software_version()};
    if (request.stream && !request.origin->version.value().empty()) {
        origins_.record_own(*request.stream, *request.origin, request.caller_deadline + caller_delay, now_);
    }
}

bool dispatcher::resume(session& request) {
    const stream_origin* const origin = request.stream ? origins_.find(*request.stream) : nullptr;
    if (origin != nullptr) {
        return adopt_origin(request, *origin) && draw_resumption(request);
    }
    if (!request.stream || (holds_origins() && origins_read_)) {
        refuse_resumption(request, error_code::stream_unknown, false);
        return false;
    }
    request.state = stage::awaiting_origin;
    request.origin_due = now_ + origin_timeout;
    awaiting_origin_.insert(request.id);
    if (!holds_origins()) {
        query_origin(request);
    }
    return false;
}

void dispatcher::query_origin(session& request) {
    std::vector<base::vm_id> asked{delegation_.delegate()};
    const std::set<base::vm_id>& others = delegation_.other_delegates();
    for (auto other = others.begin(); other != others.end() && asked.size() < asked_routers; ++other) {
        asked.push_back(*other);
    }
    request.origin_answers_due = asked.size();
    for (const base::vm_id& holder : asked) {
        send_to(holder, decision::origin_query{*request.stream});
    }
}

bool dispatcher::adopt_origin(session& request, const stream_origin& origin) {
    const std::vector<weighted_pool>& pools = request.route->pools;
    const bool on_route = std::any_of(pools.begin(), pools.end(), [&](const weighted_pool& candidate) {
        return candidate.pool == origin.pool && candidate.weight > 0;
    });
    request.origin = origin;
    request.pool = origin.pool;
    request.needs_engine = catalogue_->engine(origin.pool) != nullptr;
    if (!on_route || origin_left(request)) {
        refuse_as_left(request);
        return false;
    }
    return true;
}

/// Without any draw, an account whose streams have broken off would get far more than the others; with the
/// share for new requests, few streams would go on, since their callers come back less often.
bool dispatcher::draw_resumption(session& request) {
    const double share = admission_ ? std::sqrt(admission_->share(request.account)) : 1;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < share) {
        return true;
    }
    end_session(request, 503, error_code::over_fair_share, retry_delay(request));
    return false;
}

bool dispatcher::origin_left(const session& request) const {
    return request.origin && !placement_.serves(request.origin->pool, request.origin->version);
}

/// Before the first list of upstreams, every version seems to have left.
void dispatcher::refuse_as_left(session& request) {
    if (refuse_if_evacuated(request)) {
        return;
    }
    refuse_resumption(request, error_code::stream_version_gone, roster_.entries().empty());
}

/// A caller gets a time to come back only if this router may know more by then.
void dispatcher::refuse_resumption(session& request, error_code cause, bool learning) {
    std::optional<base::duration> retry_after;
    if (learning) {
        std::uniform_int_distribution<base::duration::rep> spread(0, learning_return_time.count());
        retry_after = learning_return_time + base::duration(spread(random_));
    }
    end_session(request, 503, cause, retry_after);
}

/// Lets the requests go on whose origin is known by now, and refuses those that nobody knows the origin of.
void dispatcher::serve_awaiting_origin() {
    const std::set<session_id> waiting = awaiting_origin_;
    for (const session_id id : waiting) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second.state != stage::awaiting_origin) {
            awaiting_origin_.erase(id);
            continue;
        }
        session& request = found->second;
        const stream_origin* const origin = origins_.find(*request.stream);
        const bool answered = holds_origins() ? origins_read_ : request.origin_answers_due == 0;
        if (origin == nullptr && !answered && now_ < request.origin_due) {
            continue;
        }
        awaiting_origin_.erase(id);
        if (origin == nullptr) {
            refuse_resumption(request, error_code::stream_unknown, !answered);
        } else if (adopt_origin(request, *origin) && draw_resumption(request)) {
            place_or_enqueue(request);
        }
    }
}

base::time_point dispatcher::origins_due() const {
    base::time_point due = base::time_point::max();
    for (const session_id id : awaiting_origin_) {
        const auto found = sessions_.find(id);
        due = found == sessions_.end() ? due : std::min(due, found->second.origin_due);
    }
    return due;
}

void dispatcher::on(const streams_read& reading) {
    origins_.record_stored(reading.streams, now_);
    origins_read_ = true;
    serve_awaiting_origin();
}

void dispatcher::receive(const decision::begun_streams& report) {
    origins_.record(report.streams, now_);
    serve_awaiting_origin();
}

/// A holder that has not read the store yet says nothing, since it may know the stream soon.
void dispatcher::answer_origin_query(const base::vm_id& from, const decision::origin_query& query) {
    if (std::optional<decision::begun_stream> stream = origins_.report(query.key, now_)) {
        send_to(from, decision::begun_streams{{std::move(*stream)}});
    } else if (holds_origins() && origins_read_) {
        send_to(from, decision::origin_unknown{query.key});
    }
}

void dispatcher::receive(const decision::origin_unknown& answer) {
    for (const session_id id : awaiting_origin_) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.stream == answer.key &&
            found->second.origin_answers_due > 0) {
            --found->second.origin_answers_due;
        }
    }
    serve_awaiting_origin();
}

/// Reports new streams to the routers that hold all, and all of its own to those that did not hold them
/// before.
void dispatcher::send_origins() {
    origins_.expire(now_);
    const std::set<base::vm_id> holders = origin_holders();
    const decision::begun_streams news{origins_.take_news(now_)};
    for (const base::vm_id& holder : holders) {
        if (holder == members_.self()) {
            continue;
        }
        const bool known = informed_holders_.count(holder) != 0;
        const decision::begun_streams report = known ? news : decision::begun_streams{origins_.own(now_)};
        if (!report.streams.empty()) {
            send_to(holder, report);
        }
    }
    informed_holders_ = holders;
    update_stream_order(holders);
}

void dispatcher::update_stream_order(const std::set<base::vm_id>& holders) {
    if (!holds_origins() || !peers_known_) {
        origins_.set_writer(false);
        return;
    }
    const std::vector<base::vm_id> candidates(holders.begin(), holders.end());
    const bool becomes_writer =
        origins_.set_writer(base::rendezvous_owner("streams", candidates) == members_.self());
    stream_order order;
    // A writer continues where the one before it has stopped.
    order.read = !std::exchange(origins_ordered_, true) || becomes_writer;
    if (now_ >= next_origin_write_) {
        next_origin_write_ = now_ + write_interval;
        order.write = origins_.take_unwritten(now_);
    }
    if (order.read || !order.write.empty()) {
        output_.streams_order = std::move(order);
    }
}

} // namespace bluebell::dispatch
