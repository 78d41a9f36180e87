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

/// One key that the settings file may or must have.
struct setting_spec {
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Written as in a settings file; empty if the key is required.
    std::optional<std::string> fallback;
    /// Range, written as in a settings file; empty if not bounded.
    std::string lowest;
    std::string highest;
    std::vector<std::string> choices;
    std::string description;
};

setting_spec required_setting(std::string section, std::string key, setting_type type,
                              std::string description);
setting_spec text_setting(std::string section, std::string key, std::string fallback,
                          std::string description);
setting_spec ranged_setting(std::string section, std::string key, setting_type type, std::string fallback,
                            std::string lowest, std::string highest, std::string description);

/// The lowest level that is logged, as section `log` has it.
setting_spec log_level_setting();
/// Pre-condition: `text` is one of the choices of `log_level_setting`.
log_level log_level_of(const std::string& text);

/// A schema as the table of its page.
std::string describe_settings(const std::vector<setting_spec>& schema);

/// IP number and port.
struct address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Values of a settings file that passed every check of its schema.
/// Pre-condition of every accessor: the schema has the key with that type.
/// Thread safety: immutable, may be read from any thread.
class settings {
public:
    /// Checks `file` against `schema`. Returns all faults at once, each with `file:line`: unknown sections
    /// and keys, duplicates, missing keys, wrong types, units and ranges.
    static tl::expected<settings, std::vector<error>> check(const ini_file& file,
                                                            const std::vector<setting_spec>& schema);

    [[nodiscard]] const std::string& text(const std::string& section, const std::string& key) const;
    [[nodiscard]] std::int64_t integer(const std::string& section, const std::string& key) const;
    [[nodiscard]] double decimal(const std::string& section, const std::string& key) const;
    [[nodiscard]] duration time(const std::string& section, const std::string& key) const;
    [[nodiscard]] byte_count bytes(const std::string& section, const std::string& key) const;
    [[nodiscard]] address endpoint(const std::string& section, const std::string& key) const;
    /// Where the key stands, or the file's name if it has its default.
    [[nodiscard]] std::string place(const std::string& section, const std::string& key) const;

private:
    struct value {
        std::string text;
        std::string place;
    };
    std::map<std::pair<std::string, std::string>, value> values_;
};

/// Number in the base unit of the type (nanoseconds, bytes, millionths of a decimal); empty if `text` is
/// malformed.
std::optional<std::int64_t> parse_number(setting_type type, const std::string& text);
std::optional<address> parse_address(const std::string& text);

} // namespace bluebell::base
