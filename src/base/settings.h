#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ini.h"
#include "base/log.h"
#include "base/unit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::base {

/// Type of a value in a settings file.
enum class setting_type {
    text,      ///< not empty
    choice,    ///< one of `choices`
    integer,   ///< whole, without unit
    decimal,   ///< may have a fraction, without unit
    time_span, ///< with unit `ms`, `s`, `min` or `h`; may have a fraction
    bytes,     ///< with unit `B`, `KiB` or `MiB`
    address,   ///< `IP:PORT`; port 0 lets the system choose
};
std::string_view to_string(setting_type type);

/// One key of a settings file.
struct setting_spec {
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Default value, written as in a settings file; empty if the key is required.
    std::optional<std::string> fallback;
    /// Range, written as in a settings file; an empty text means no bound.
    std::string lowest;
    std::string highest;
    std::vector<std::string> choices;
    std::string description;
};

/// Returns the specification of a key without default or range.
setting_spec required_setting(std::string section, std::string key, setting_type type,
                              std::string description);
/// Returns the specification of a text with a default.
setting_spec text_setting(std::string section, std::string key, std::string fallback,
                          std::string description);
/// Returns the specification of a value with a default and a range.
setting_spec ranged_setting(std::string section, std::string key, setting_type type, std::string fallback,
                            std::string lowest, std::string highest, std::string description);

/// Returns the specification of the lowest level that is logged, key `level` of section `log`.
setting_spec log_level_setting();
/// Converts the value of `log_level_setting`.
/// Pre-condition: `text` is one of its choices.
log_level log_level_of(const std::string& text);

/// Returns a schema as a Markdown table, for the page that documents it.
std::string describe_settings(const std::vector<setting_spec>& schema);

/// IPv4 address and port.
struct address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Values of a settings file that passed every check of its schema.
/// Pre-condition of every accessor: the schema has the key with that type.
/// Thread safety: immutable, may be read from any thread.
class settings {
public:
    /// Checks `file` against `schema`. Errors: all faults at once (unknown sections and keys, duplicates,
    /// missing keys, wrong types, units and ranges), each with its `file:line`, or the file for a missing
    /// key.
    static tl::expected<settings, std::vector<error>> check(const ini_file& file,
                                                            const std::vector<setting_spec>& schema);

    [[nodiscard]] const std::string& text(const std::string& section, const std::string& key) const;
    [[nodiscard]] std::int64_t integer(const std::string& section, const std::string& key) const;
    [[nodiscard]] double decimal(const std::string& section, const std::string& key) const;
    [[nodiscard]] duration time(const std::string& section, const std::string& key) const;
    [[nodiscard]] byte_count bytes(const std::string& section, const std::string& key) const;
    [[nodiscard]] address endpoint(const std::string& section, const std::string& key) const;
    /// Returns the `file:line` of a key, or the name of the file if the key has its default.
    [[nodiscard]] std::string place(const std::string& section, const std::string& key) const;

private:
    struct value {
        std::string text;
        std::string place;
    };
    std::map<std::pair<std::string, std::string>, value> values_;
};

/// Parses a number with its unit. Returns it in the base unit of the type (nanoseconds, bytes, millionths of
/// a decimal), or nothing if `text` is malformed.
std::optional<std::int64_t> parse_number(setting_type type, const std::string& text);
/// Parses `IP:PORT`. Returns nothing if `text` is malformed.
std::optional<address> parse_address(const std::string& text);

} // namespace bluebell::base
