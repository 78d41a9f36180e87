#include "root/reload.h"

#include "base/log.h"

#include <fstream>
#include <sstream>

namespace bluebell::root {

settings_file::settings_file(std::string path)
    : path_(std::move(path)), last_text_(read().value_or(std::string())) {}

std::optional<std::string> settings_file::read() const {
    std::ifstream in(path_);
    std::ostringstream text;
    text << in.rdbuf();
    return in && !text.str().empty() ? std::optional<std::string>(text.str()) : std::nullopt;
}

std::optional<std::string> settings_file::read_if_changed() {
    std::optional<std::string> text = read();
    if (!text || *text == last_text_) {
        return std::nullopt;
    }
    last_text_ = *text;
    return text;
}

void report_reload(bool restart_needed, const std::vector<base::error>& errors) {
    for (const base::error& error : errors) {
        base::log_event(
            base::log_level::error, "process", "settings_refused",
            {{"place", error.location}, {"code", base::to_string(error.code)}, {"text", error.text}});
    }
    if (errors.empty()) {
        base::log_event(base::log_level::info, "process", "settings_read",
                        {{"restart_needed", restart_needed}});
    }
}

} // namespace bluebell::root
