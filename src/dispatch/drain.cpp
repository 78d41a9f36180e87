// The planned stop of a router: which requests it still takes and sends, and how it answers the rest.
#include "dispatch/drain.h"

#include "base/log.h"
#include "decision/drain.h"
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <vector>

namespace bluebell::dispatch {
namespace {

using base::error_code;
using base::log_level;

/// A load balancer removes a router after two missed readiness checks, which it makes a second apart. The
/// rest covers the answer to the second check and connections that are being opened meanwhile.
constexpr base::duration readiness_interval = std::chrono::seconds(1);
constexpr int missed_checks = 2;
constexpr base::duration removal_time = std::chrono::milliseconds(500);
constexpr base::duration notice_time = readiness_interval * missed_checks + removal_time;
/// Accepting ends after this part of the time until requests are answered, if load balancers would need more:
/// the requests that were accepted need the rest.
constexpr int accept_divisor = 2;
/// How long a router without requests still refuses callers that were sent to it before it was removed.
constexpr base::duration refuse_time = std::chrono::milliseconds(700);
/// Part of the time between the answers to open requests and the kill in which callers may take the rest of
/// their answers; in the other part the process ends.
constexpr int deliver_divisor = 2;
/// Time after which callers that are refused during a stop are to return; another router takes them at once.
constexpr base::duration return_time = std::chrono::milliseconds(100);

} // namespace

drain_plan::drain_plan(base::time_point signalled_at, base::duration grace) {
    const base::duration margin = decision::answer_margin(grace);
    answer_at_ = signalled_at + grace - margin;
    deliver_until_ = answer_at_ + margin / deliver_divisor;
    accept_until_ = signalled_at + std::min(notice_time, (answer_at_ - signalled_at) / accept_divisor);
    refuse_until_ = std::min(accept_until_ + refuse_time, answer_at_);
}

/// The grace runs from the signal, which the event may reach the dispatcher long after while it is behind.
void dispatcher::on(const decision::drain_requested& request) {
    if (!drain_started_) {
        drain_started_ = request.signalled_at.value_or(now_);
        members_.announce_leaving(now_);
        base::log_event(log_level::info, "dispatcher", "draining", {{"sessions", sessions_.size()}});
    }
}

std::optional<drain_plan> dispatcher::stop_plan() const {
    return drain_started_ ? std::optional<drain_plan>(drain_plan(*drain_started_, bounds_.grace))
                          : std::nullopt;
}

bool dispatcher::drained(base::time_point now) const {
    const std::optional<drain_plan> plan = stop_plan();
    return plan && (now >= plan->answer_at() || (sessions_.empty() && now >= plan->refuse_until()));
}

/// An interrupted request that may be repeated costs its caller a retry, so that it is worth a try if the
/// upstream can usually answer in time. Any other one is lost, so that it gets its whole time, or all the
/// time that the stop leaves to requests that are accepted last.
bool dispatcher::fits_into_stop(const session& request) const {
    const std::optional<drain_plan> plan = stop_plan();
    if (!plan) {
        return true;
    }
    const base::duration longest = request.deadline - now_;
    const base::duration usual = std::min(request.route->objective, longest);
    const bool may_be_interrupted = request.route->kind == route_kind::safe || request.may_have_run;
    const base::duration needed =
        may_be_interrupted ? usual : std::max(usual, std::min(longest, plan->min_run_time()));
    return now_ + needed <= plan->answer_at();
}

void dispatcher::refuse_for_stop(session& request) {
    end_session(request, 503, error_code::draining, return_time);
}

/// A request that was handed to an upstream may have run, and its upstream has not answered in the time that
/// was left.
void dispatcher::answer_open_requests() {
    std::vector<session_id> open;
    open.reserve(sessions_.size());
    for (const auto& [id, request] : sessions_) {
        open.push_back(id);
    }
    for (const session_id id : open) {
        session& request = sessions_.at(id);
        if (request.state != stage::sent) {
            refuse_for_stop(request);
        } else {
            end_session(request, 504, error_code::draining);
        }
    }
}

} // namespace bluebell::dispatch
