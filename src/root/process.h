#pragma once

#include "root/reload.h"

#include <csignal>
#include <string>

namespace bluebell::root {

/// A whole router as its process sees it.
class process {
public:
    process() = default;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;
    virtual ~process() = default;

    virtual void start() = 0;
    /// Stops the tree in reverse order.
    virtual void stop() = 0;
    /// Starts a graceful stop; returns at once.
    virtual void drain() = 0;
    [[nodiscard]] virtual bool drained() const = 0;
    /// The root gave up because its children kept failing.
    [[nodiscard]] virtual bool failed() const = 0;
    /// Takes over changed settings as far as a running process can. `text` is the new file.
    virtual void reload(const settings_file& file, const std::string& text) = 0;
    /// The state of the whole process as JSON.
    virtual std::string dump_text() = 0;
};

/// Blocks the signals that `serve` takes. To be called before any thread starts.
sigset_t block_signals();

/// Serves signals until the router is drained, told twice to stop, or has failed; then stops it. The settings
/// are read again at a signal, and looked at each second without one. Returns the exit code of the process:
/// 0, or 1 if the router failed.
int serve(process& router, const sigset_t& signals, settings_file settings);

} // namespace bluebell::root
