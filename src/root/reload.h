#pragma once

#include "base/error.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::root {

/// Notices that a settings file has other contents than before.
/// Thread safety: used by one thread.
class settings_file {
public:
    /// Takes the present contents as known. A file that cannot be read counts as empty.
    explicit settings_file(std::string path);

    /// The contents, if they are others than at the last call. A file that cannot be read is taken as
    /// unchanged, since it may be replaced at this moment.
    [[nodiscard]] std::optional<std::string> changed();
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    [[nodiscard]] std::optional<std::string> contents() const;

    const std::string path_;
    std::string known_;
};

/// Logs what became of changed settings: taken over, partly only at the next start, or refused with faults.
void report_reload(bool restart_needed, const std::vector<base::error>& faults);

} // namespace bluebell::root
