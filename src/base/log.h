#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace bluebell::base {

/// Severity of a log record, in ascending order.
enum class log_level { debug, info, warning, error };

/// Typed field of a log record; numbers and booleans are written without quotes.
class log_field {
public:
    log_field(std::string_view name, std::string_view value);
    log_field(std::string_view name, const std::string& value) : log_field(name, std::string_view(value)) {}
    log_field(std::string_view name, const char* value) : log_field(name, std::string_view(value)) {}
    log_field(std::string_view name, double value);
    log_field(std::string_view name, long long value);
    log_field(std::string_view name, unsigned long long value);
    log_field(std::string_view name, int value) : log_field(name, static_cast<long long>(value)) {}
    log_field(std::string_view name, unsigned value)
        : log_field(name, static_cast<unsigned long long>(value)) {}
    log_field(std::string_view name, unsigned long value)
        : log_field(name, static_cast<unsigned long long>(value)) {}
    log_field(std::string_view name, long value) : log_field(name, static_cast<long long>(value)) {}
    log_field(std::string_view name, bool value);

    [[nodiscard]] const std::string& name() const { return name_; }
    /// The value as JSON text.
    [[nodiscard]] const std::string& json() const { return json_; }

private:
    std::string name_;
    std::string json_;
};

/// Returns `text` as a quoted and escaped JSON string.
std::string json_quote(std::string_view text);

/// Stream to which the log is written.
enum class log_output { standard_error, standard_output };

/// Starts logging of JSON lines to `output`; before this call nothing is logged. A separate thread writes the
/// lines. While the output is blocked, the oldest queued lines are dropped and counted, so that no caller
/// waits.
/// Pre-condition: called once, before other threads start.
void start_log(log_level min_level, const std::string& process,
               log_output output = log_output::standard_error);

/// Sets the lowest level that is written.
void set_log_level(log_level min_level);

/// Returns the number of lines that were dropped because the output was blocked.
unsigned long dropped_log_lines();

/// Writes one JSON line with time, level, process, module, event and the fields. Callers must not pass bodies
/// or secrets. At most `log_burst` records of the same module and event are written within ten seconds; the
/// first one after that period carries the number of records left out as `suppressed`.
/// Thread safety: may be called from any thread.
void log_event(log_level level, std::string_view module, std::string_view event,
               std::initializer_list<log_field> fields = {});

/// Maximum number of records of the same module and event within ten seconds.
constexpr int log_burst = 300;

} // namespace bluebell::base
