#include "root/process.h"

#include "base/log.h"

#include <ctime>
#include <iostream>

namespace bluebell::root {
namespace {

/// Interval at which the state of the router is looked at between signals.
constexpr long poll_ns = 100'000'000;
constexpr int exit_failed = 1;

} // namespace

sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int each : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
        sigaddset(&signals, each);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(process& router, const sigset_t& signals) {
    bool draining = false;
    while (!router.drained() && !router.failed()) {
        const timespec timeout{0, poll_ns};
        const int received = sigtimedwait(&signals, nullptr, &timeout);
        if (received == SIGUSR1) {
            std::cerr << router.dump_text() << std::endl;
        } else if (received == SIGHUP) {
            base::log_event(base::log_level::info, "process", "reload_requested",
                            {{"effect", "settings are read at the next start"}});
        } else if (received == SIGTERM || received == SIGINT) {
            base::log_event(base::log_level::info, "process", "stop_requested", {{"again", draining}});
            if (draining) {
                break;
            }
            draining = true;
            router.drain();
        }
    }
    router.stop();
    base::log_event(base::log_level::info, "process", "stopped", {{"failed", router.failed()}});
    return router.failed() ? exit_failed : 0;
}

} // namespace bluebell::root
