#include "edge/callers.h"

#include "edge/responder.h"

#include <utility>

namespace bluebell::edge {
namespace {

/// Threads beyond the admission limit, so that a refusal does not wait for a free thread.
constexpr unsigned refusal_threads = 8;

} // namespace

callers::callers(callers_options options, const directory& config, id_source& ids,
                 base::ring<decision::event>& events, const base::clock& clock, base::metrics& metrics)
    : options_(std::move(options)), events_(events), clock_(clock), room_(options_.admission_limit),
      unfinished_bodies_(options_.unfinished_limit), context_{
                                                         options_,     config,  ids,   events_,
                                                         clock_,       metrics, room_, unfinished_bodies_,
                                                         give_up_time_} {}

void callers::run(base::stop_signal& stop) {
    give_up_time_ = base::time_point::max();
    host_options server_options;
    server_options.address = options_.address;
    server_options.threads = options_.admission_limit + refusal_threads;
    server_options.read_timeout = options_.read_timeout;
    server_options.write_timeout = options_.write_timeout;
    caller_service service(context_);
    host_.run(server_options, service, stop);
}

void callers::interrupt() {
    give_up_time_ = clock_.now() + options_.stop_limit;
    host_.exit();
}

} // namespace bluebell::edge
