#pragma once

#include "root/reload.h"

#include <csignal>
#include <string>

namespace bluebell::root {

/// A router as its main thread controls it.
class process {
public:
    process() = default;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;
    virtual ~process() = default;

    /// Starts the supervisor tree.
    virtual void start() = 0;
    /// Stops the supervisor tree in reverse order of its start.
    virtual void stop() = 0;
    /// Starts a graceful stop and returns at once.
    virtual void drain() = 0;
    /// Returns true once a graceful stop is complete.
    [[nodiscard]] virtual bool drained() const = 0;
    /// Returns true once the root supervisor has given up because its children kept failing.
    [[nodiscard]] virtual bool failed() const = 0;
    /// Applies those changed settings that a running process can apply, and logs the result. `text` is the
    /// new content of the file.
    virtual void reload(const settings_file& file, const std::string& text) = 0;
    /// Returns the state of the whole process as JSON.
    virtual std::string dump_text() = 0;
};

/// Blocks the signals that `serve` handles, ignores SIGPIPE and returns the blocked set. Pre-condition: no
/// other thread has started, since threads inherit the mask.
sigset_t block_signals();

/// Makes the allocator give freed memory back to the system, so that the resident memory follows what the
/// process holds. Pre-condition: no other thread has started.
void configure_allocator();

/// Handles signals until the router is drained, has failed, or has received a second signal to stop; then
/// stops it. Checks the settings file for changes at SIGHUP, and each second without a signal. Returns the
/// exit code of the process: 0, or 1 if the router failed.
int serve(process& router, const sigset_t& signals, settings_file settings);

} // namespace bluebell::root
