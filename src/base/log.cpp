#include "base/log.h"

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bluebell::base {
namespace {

constexpr duration suppression_period = std::chrono::seconds(10);

/// Records of one module and event in the current period.
struct record_count {
    time_point period_start;
    int written = 0;
    unsigned long suppressed = 0;
};

/// Limits the number of records of the same module and event.
/// Thread safety: every method may be called from any thread.
class rate_limiter {
public:
    /// Returns false if the record must be left out. With the first record of a new period, sets `suppressed`
    /// to the number of records left out in the previous one.
    bool admit(const std::string& key, unsigned long& suppressed) {
        const time_point now = std::chrono::steady_clock::now();
        const std::lock_guard<std::mutex> lock(mutex_);
        record_count& count = counts_[key];
        if (now - count.period_start > suppression_period) {
            suppressed = count.suppressed;
            count = record_count{now, 0, 0};
        }
        if (count.written >= log_burst) {
            ++count.suppressed;
            return false;
        }
        ++count.written;
        return true;
    }

private:
    std::mutex mutex_;
    std::map<std::string, record_count> counts_;
};

struct log_state {
    std::shared_ptr<spdlog::logger> logger;
    std::string process;
    rate_limiter limiter;
};

log_state& state() {
    static log_state instance;
    return instance;
}

spdlog::level::level_enum to_spdlog(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

/// Maximum number of lines queued for the output; a line takes about half a kilobyte.
constexpr std::size_t queue_capacity = 1024;

} // namespace

unsigned long dropped_log_lines() {
    const std::shared_ptr<spdlog::details::thread_pool> pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

std::string json_quote(std::string_view text) {
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (static_cast<unsigned char>(c) < 0x20U) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", static_cast<unsigned>(c));
            quoted += escaped.data();
        } else {
            quoted += c;
        }
    }
    quoted += '"';
    return quoted;
}

log_field::log_field(std::string_view name, std::string_view value) : name_(name), json_(json_quote(value)) {}
log_field::log_field(std::string_view name, double value) : name_(name), json_(std::to_string(value)) {}
log_field::log_field(std::string_view name, long long value) : name_(name), json_(std::to_string(value)) {}
log_field::log_field(std::string_view name, unsigned long long value)
    : name_(name), json_(std::to_string(value)) {}
log_field::log_field(std::string_view name, bool value) : name_(name), json_(value ? "true" : "false") {}

void start_log(log_level min_level, const std::string& process, log_output output) {
    log_state& log = state();
    log.process = process;
    spdlog::init_thread_pool(queue_capacity, 1);
    log.logger = output == log_output::standard_error
                     ? spdlog::create_async_nb<spdlog::sinks::stderr_sink_mt>("bluebell")
                     : spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("bluebell");
    log.logger->set_level(to_spdlog(min_level));
    log.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                            spdlog::pattern_time_type::utc);
}

void set_log_level(log_level min_level) {
    if (state().logger) {
        state().logger->set_level(to_spdlog(min_level));
    }
}

void log_event(log_level level, std::string_view module, std::string_view event,
               std::initializer_list<log_field> fields) {
    log_state& log = state();
    if (!log.logger || !log.logger->should_log(to_spdlog(level))) {
        return;
    }
    unsigned long suppressed = 0;
    if (!log.limiter.admit(std::string(module) + '/' + std::string(event), suppressed)) {
        return;
    }
    std::string line = "\"process\":" + json_quote(log.process) + ",\"module\":" + json_quote(module) +
                       ",\"event\":" + json_quote(event);
    for (const log_field& field : fields) {
        line += ',' + json_quote(field.name()) + ':' + field.json();
    }
    if (suppressed > 0) {
        line += ",\"suppressed\":" + std::to_string(suppressed);
    }
    log.logger->log(to_spdlog(level), line);
}

} // namespace bluebell::base
