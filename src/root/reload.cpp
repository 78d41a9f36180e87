#include "root/reload.h"

#include "base/log.h"

#include <fstream>
#include <sstream>

namespace bluebell::root {

settings_file::settings_file(std::string path)
    : path_(std::move(path)), known_(contents().value_or(std::string())) {}

std::optional<std::string> settings_file::contents() const {
    std::ifstream in(path_);
    std::ostringstream text;
    text << in.rdbuf();
    return in && !text.str().empty() ? std::optional<std::string>(text.str()) : std::nullopt;
}

std::optional<std::string> settings_file::changed() {
    std::optional<std::string> now = contents();
    if (!now || *now == known_) {
        return std::nullopt;
    }
    known_ = *now;
    return now;
}

void report_reload(bool restart_needed, const std::vector<base::error>& faults) {
    for (const base::error& fault : faults) {
        base::log_event(
            base::log_level::error, "process", "settings_refused",
            {{"place", fault.location}, {"code", base::to_string(fault.code)}, {"text", fault.text}});
    }
    if (faults.empty()) {
        base::log_event(base::log_level::info, "process", "settings_read",
                        {{"restart_needed", restart_needed}});
    }
}

} // namespace bluebell::root
