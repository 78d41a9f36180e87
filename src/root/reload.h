#pragma once

#include "base/error.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::root {

/// Detects changes of the content of a settings file.
/// Thread safety: used by one thread.
class settings_file {
public:
    /// Reads the present content for later comparison. A file that cannot be read counts as empty.
    explicit settings_file(std::string path);

    /// Returns the content if it differs from that of the last call. A file that is empty or cannot be read
    /// counts as unchanged, since it may be in the middle of a replacement.
    [[nodiscard]] std::optional<std::string> read_if_changed();
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    [[nodiscard]] std::optional<std::string> read() const;

    const std::string path_;
    std::string last_text_;
};

/// Logs the result of a reload: one error for each entry of `errors` if the settings were refused; otherwise
/// that they were read, and whether some take effect only at the next start.
void report_reload(bool restart_needed, const std::vector<base::error>& errors);

} // namespace bluebell::root
