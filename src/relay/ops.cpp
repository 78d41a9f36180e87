#include "relay/ops.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bluebell::relay {
namespace {

constexpr std::size_t max_connections = 64;
/// The requests of this server need no body.
constexpr std::size_t max_body_bytes = 4096;

} // namespace

ops::ops(ops_settings settings, const base::snapshot<dispatch::router_state>& state, predicate overloaded,
         text_source metrics, text_source dump, const base::clock& clock)
    : settings_(std::move(settings)), state_(state), overloaded_(std::move(overloaded)),
      metrics_(std::move(metrics)), dump_(std::move(dump)),
      clock_(clock), loop_{{poller_, timers_, clock_}, memory_, pacing_} {}

ops::~ops() = default;

void ops::run(base::stop_signal& stop) {
    server listener(settings_.listen_address, max_connections, loop_, *this);
    while (!stop.requested()) {
        const std::optional<base::time_point> deadline = timers_.next_deadline();
        const base::time_point now = clock_.now();
        poller_.wait(std::min(deadline ? *deadline - now : base::duration::max(),
                              pacing_.wait_time(now).value_or(base::duration::max())));
        pacing_.run(clock_.now());
        timers_.run_expired(clock_.now());
        listener.remove_closed();
    }
}

dispatch::caller_limits ops::limits() const {
    dispatch::caller_limits limits;
    limits.body_bytes = max_body_bytes;
    return limits;
}

void ops::on_request(caller& connection, http::request_head head, std::string /*body*/) {
    const std::string path = head.target.substr(0, head.target.find('?'));
    const std::vector<http::field> fields{{"Content-Type", "text/plain"}};
    if (path == settings_.ready_path) {
        const std::shared_ptr<const dispatch::router_state> router = state_.current();
        const bool ready = router && router->ready && !overloaded_();
        return connection.answer(ready ? 200 : 503, fields, ready ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics") {
        return connection.answer(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_());
    }
    if (path == "/dump") {
        return connection.answer(200, {{"Content-Type", "application/json"}}, dump_());
    }
    connection.answer(404, fields, "not found\n");
}

} // namespace bluebell::relay
