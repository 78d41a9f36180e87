#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace bluebell::base {

enum class log_level { debug, info, warning, error };

/// One typed field of a log record; numbers and booleans are written without quotes.
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

/// Escapes a string for JSON and puts it in quotes.
std::string json_quote(std::string_view text);

enum class log_output { standard_error, standard_output };

/// Sends JSON lines to `output`. Without this call nothing is logged. A thread of its own writes the lines;
/// while the output takes none, the oldest waiting lines are dropped and counted, so that no caller waits.
/// Pre-condition: called once, before other threads start.
void start_log(log_level lowest, const std::string& process, log_output output = log_output::standard_error);

/// Changes the lowest level that is written.
void set_log_level(log_level lowest);

/// Lines that were dropped because the output took none.
unsigned long dropped_log_lines();

/// Writes one JSON line: time, level, process, module, event and the fields. Bodies and secrets are never
/// passed. At most `log_burst` records of the same module and event are written within ten seconds; the next
/// one after that carries the number left out as `suppressed`.
/// Thread safety: may be called from any thread.
void log_event(log_level level, std::string_view module, std::string_view event,
               std::initializer_list<log_field> fields = {});

constexpr int log_burst = 300;

} // namespace bluebell::base
