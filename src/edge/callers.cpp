#include "edge/callers.h"

#include "edge/responder.h"

#include <utility>

namespace bluebell::edge {
namespace {

/// Threads beyond the admission limit, so that a refusal does not wait for a free one.
constexpr unsigned refusal_threads = 8;

} // namespace

callers::callers(callers_options options, const directory& config, id_source& ids,
                 base::ring<decision::event>& events, const base::clock& time, base::metrics& metrics)
    : options_(std::move(options)), events_(events),
      clock_(time), context_{options_, config, ids, events_, clock_, metrics, in_progress_, give_up_at_} {}

void callers::run(base::stop_signal& stop) {
    give_up_at_ = base::time_point::max();
    host_options served;
    served.address = options_.address;
    served.threads = options_.admission_limit + refusal_threads;
    served.read_timeout = options_.read_timeout;
    served.write_timeout = options_.write_timeout;
    caller_service service(context_);
    host_.run(served, service, stop);
}

void callers::interrupt() {
    give_up_at_ = clock_.now() + options_.stop_limit;
    host_.exit();
}

} // namespace bluebell::edge
