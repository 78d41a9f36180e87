#include "root/process.h"

#include "base/log.h"

#include <ctime>
#include <iostream>
#include <malloc.h>
#include <sys/prctl.h>

namespace bluebell::root {
namespace {

/// Interval at which the state of the router is polled while no signal arrives.
constexpr long poll_interval_ns = 100'000'000;
constexpr int exit_failed = 1;
/// Number of polls of the state between two checks of the settings file, which may change without a signal.
constexpr int polls_per_settings_check = 10;
/// Size from which an allocation gets pages of its own, which are given back when it is freed. It is the
/// initial value of glibc, which otherwise rises to the largest allocation that was freed; later buffers of
/// that size then stay in the heap.
constexpr int mmap_threshold = 128 * 1024;
/// Free bytes at the end of the heap above which they are given back.
constexpr int trim_threshold = 512 * 1024;

/// Passes changed settings to the router. Returns whether they have changed.
bool reload(process& router, settings_file& settings) {
    const std::optional<std::string> text = settings.read_if_changed();
    if (text) {
        router.reload(settings, *text);
    }
    return text.has_value();
}

} // namespace

void configure_allocator() {
    mallopt(M_MMAP_THRESHOLD, mmap_threshold);
    mallopt(M_TRIM_THRESHOLD, trim_threshold);
    // A buffer with space for its announced size would take huge pages that are not written yet.
    prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
}

sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal_number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
        sigaddset(&signals, signal_number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(process& router, const sigset_t& signals, settings_file settings) {
    bool draining = false;
    int polls = 0;
    while (!router.drained() && !router.failed()) {
        const timespec timeout{0, poll_interval_ns};
        const int received = sigtimedwait(&signals, nullptr, &timeout);
        if (received < 0 && ++polls >= polls_per_settings_check) {
            polls = 0;
            reload(router, settings);
        }
        if (received == SIGUSR1) {
            std::cerr << router.dump_text() << std::endl;
        } else if (received == SIGHUP) {
            const bool changed = reload(router, settings);
            base::log_event(base::log_level::info, "process", "reload_requested", {{"changed", changed}});
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
