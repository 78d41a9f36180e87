#include "base/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <sstream>

namespace bluebell::base {
namespace {

/// A unit and its size in the base unit of its type.
struct unit_factor {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array<unit_factor, 4> duration_units{
    {{"ms", 1'000'000}, {"s", 1'000'000'000}, {"min", 60'000'000'000}, {"h", 3'600'000'000'000}}};
constexpr std::array<unit_factor, 3> byte_units{{{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}}};
/// Largest number before the decimal point, without its unit.
constexpr std::int64_t max_integer_part = 1'000'000'000;
/// Resolution of decimal numbers: number of steps from 0 to 1.
constexpr std::int64_t decimal_resolution = 1'000'000;

template <std::size_t Count>
std::optional<std::int64_t> find_unit_factor(const std::array<unit_factor, Count>& units,
                                             std::string_view name) {
    const auto found =
        std::find_if(units.begin(), units.end(), [&](const unit_factor& unit) { return unit.name == name; });
    return found == units.end() ? std::nullopt : std::optional<std::int64_t>(found->factor);
}

std::optional<std::int64_t> unit_factor_for(setting_type type, std::string_view unit) {
    if (type == setting_type::time_span) {
        return find_unit_factor(duration_units, unit);
    }
    if (type == setting_type::bytes) {
        return find_unit_factor(byte_units, unit);
    }
    const std::int64_t default_factor = type == setting_type::decimal ? decimal_resolution : 1;
    return unit.empty() ? std::optional<std::int64_t>(default_factor) : std::nullopt;
}

/// Returns the fraction given by the digits after the decimal point, multiplied by `factor`. Returns nothing
/// if there are no digits, or if the type has no fractions.
std::optional<std::int64_t> parse_fraction(setting_type type, std::string_view digits, std::int64_t factor) {
    if (digits.empty() || (type != setting_type::time_span && type != setting_type::decimal)) {
        return std::nullopt;
    }
    std::int64_t sum = 0;
    for (const char digit : digits) {
        factor /= 10;
        sum += (digit - '0') * factor;
    }
    return sum;
}

bool is_numeric(setting_type type) {
    return type == setting_type::integer || type == setting_type::time_span || type == setting_type::bytes ||
           type == setting_type::decimal;
}

std::string expected_form(const setting_spec& spec) {
    switch (spec.type) {
    case setting_type::text:
        return "a text that is not empty";
    case setting_type::choice: {
        std::string list = "one of";
        for (const std::string& choice : spec.choices) {
            list += ' ' + choice;
        }
        return list;
    }
    case setting_type::integer:
        return "a whole number without unit";
    case setting_type::decimal:
        return "a number without unit";
    case setting_type::time_span:
        return "a number with unit ms, s, min or h";
    case setting_type::bytes:
        return "a number with unit B, KiB or MiB";
    case setting_type::address:
        return "IP:PORT";
    }
    return "";
}

bool is_well_formed(const setting_spec& spec, const std::string& text) {
    switch (spec.type) {
    case setting_type::text:
        return !text.empty();
    case setting_type::choice:
        return std::find(spec.choices.begin(), spec.choices.end(), text) != spec.choices.end();
    case setting_type::address:
        return parse_address(text).has_value();
    default:
        return parse_number(spec.type, text).has_value();
    }
}

bool is_in_range(const setting_spec& spec, const std::string& text) {
    if (!is_numeric(spec.type)) {
        return true;
    }
    const std::optional<std::int64_t> number = parse_number(spec.type, text);
    const std::optional<std::int64_t> lowest = parse_number(spec.type, spec.lowest);
    const std::optional<std::int64_t> highest = parse_number(spec.type, spec.highest);
    return (!lowest || *number >= *lowest) && (!highest || *number <= *highest);
}

std::optional<error> check_value(const setting_spec& spec, const std::string& text,
                                 const std::string& place) {
    const std::string name = '[' + spec.section + "] " + spec.key;
    if (!is_well_formed(spec, text)) {
        return error{error_code::settings_invalid_value, place,
                     name + " is '" + text + "', expected " + expected_form(spec)};
    }
    if (!is_in_range(spec, text)) {
        return error{error_code::settings_invalid_value, place,
                     name + " is '" + text + "', allowed range is " + spec.lowest + " to " + spec.highest};
    }
    return std::nullopt;
}

const setting_spec* find_spec(const std::vector<setting_spec>& schema, const std::string& section,
                              const std::string& key) {
    const auto found = std::find_if(schema.begin(), schema.end(), [&](const setting_spec& spec) {
        return spec.section == section && spec.key == key;
    });
    return found == schema.end() ? nullptr : &*found;
}

bool has_section(const std::vector<setting_spec>& schema, const std::string& section) {
    return std::any_of(schema.begin(), schema.end(),
                       [&](const setting_spec& spec) { return spec.section == section; });
}

} // namespace

setting_spec required_setting(std::string section, std::string key, setting_type type,
                              std::string description) {
    return {std::move(section), std::move(key), type, std::nullopt, "", "", {}, std::move(description)};
}

setting_spec text_setting(std::string section, std::string key, std::string fallback,
                          std::string description) {
    return {std::move(section),    std::move(key), setting_type::text, std::move(fallback), "", "", {},
            std::move(description)};
}

setting_spec ranged_setting(std::string section, std::string key, setting_type type, std::string fallback,
                            std::string lowest, std::string highest, std::string description) {
    return {std::move(section), std::move(key),     type, std::move(fallback),
            std::move(lowest),  std::move(highest), {},   std::move(description)};
}

setting_spec log_level_setting() {
    return {"log",
            "level",
            setting_type::choice,
            "info",
            "",
            "",
            {"debug", "info", "warning", "error"},
            "lowest level that is logged"};
}

log_level log_level_of(const std::string& text) {
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    return text == "error" ? log_level::error : log_level::info;
}

std::string describe_settings(const std::vector<setting_spec>& schema) {
    std::ostringstream table;
    table << "| section | key | type | range | default | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const setting_spec& spec : schema) {
        std::string range = spec.lowest.empty() ? "" : spec.lowest + " to " + spec.highest;
        for (const std::string& choice : spec.choices) {
            range += (range.empty() ? "" : ", ") + choice;
        }
        table << "| " << spec.section << " | " << spec.key << " | " << to_string(spec.type) << " | " << range
              << " | " << spec.fallback.value_or("required") << " | " << spec.description << " |\n";
    }
    return table.str();
}

std::string_view to_string(setting_type type) {
    switch (type) {
    case setting_type::text:
        return "text";
    case setting_type::choice:
        return "choice";
    case setting_type::integer:
        return "integer";
    case setting_type::decimal:
        return "decimal";
    case setting_type::time_span:
        return "duration";
    case setting_type::bytes:
        return "bytes";
    case setting_type::address:
        return "address";
    }
    return "";
}

std::optional<std::int64_t> parse_number(setting_type type, const std::string& text) {
    std::int64_t integer_part = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, integer_part);
    if (parsed.ec != std::errc() || integer_part < 0 || integer_part > max_integer_part) {
        return std::nullopt;
    }
    std::string_view remaining(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    std::string_view digits;
    const bool has_point = !remaining.empty() && remaining.front() == '.';
    if (has_point) {
        remaining.remove_prefix(1);
        digits = remaining.substr(0, std::min(remaining.find_first_not_of("0123456789"), remaining.size()));
        remaining.remove_prefix(digits.size());
    }
    const std::optional<std::int64_t> factor = unit_factor_for(type, remaining);
    if (!factor || integer_part > INT64_MAX / *factor - 1) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> fraction =
        has_point ? parse_fraction(type, digits, *factor) : std::optional<std::int64_t>(0);
    return fraction ? std::optional<std::int64_t>(integer_part * *factor + *fraction) : std::nullopt;
}

std::optional<address> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return std::nullopt;
    }
    address parsed;
    parsed.ip = text.substr(0, colon);
    in_addr binary{};
    if (inet_pton(AF_INET, parsed.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    const char* const end = text.data() + text.size();
    const std::from_chars_result port = std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (port.ec != std::errc() || port.ptr != end) {
        return std::nullopt;
    }
    return parsed;
}

tl::expected<settings, std::vector<error>> settings::check(const ini_file& file,
                                                           const std::vector<setting_spec>& schema) {
    settings checked;
    std::vector<error> errors = ini_duplicates(file);
    for (const ini_section& section : file.sections) {
        if (!has_section(schema, section.name)) {
            errors.push_back({error_code::settings_unknown_section, file.place(section.line),
                              "unknown section [" + section.name + "]"});
            continue;
        }
        for (const ini_entry& entry : section.entries) {
            const setting_spec* const spec = find_spec(schema, section.name, entry.key);
            if (spec == nullptr) {
                errors.push_back({error_code::settings_unknown_key, file.place(entry.line),
                                  "section [" + section.name + "] has no key '" + entry.key + "'"});
                continue;
            }
            if (std::optional<error> fault = check_value(*spec, entry.value, file.place(entry.line))) {
                errors.push_back(*fault);
            }
            checked.values_[{section.name, entry.key}] = {entry.value, file.place(entry.line)};
        }
    }
    for (const setting_spec& spec : schema) {
        if (checked.values_.count({spec.section, spec.key}) > 0) {
            continue;
        }
        if (!spec.fallback) {
            errors.push_back({error_code::settings_missing, file.name,
                              '[' + spec.section + "] " + spec.key + " is required: " + spec.description});
            continue;
        }
        checked.values_[{spec.section, spec.key}] = {*spec.fallback, file.name};
    }
    if (!errors.empty()) {
        return tl::unexpected<std::vector<error>>(std::move(errors));
    }
    return checked;
}

const std::string& settings::text(const std::string& section, const std::string& key) const {
    return values_.at({section, key}).text;
}

std::int64_t settings::integer(const std::string& section, const std::string& key) const {
    return *parse_number(setting_type::integer, text(section, key));
}

double settings::decimal(const std::string& section, const std::string& key) const {
    return static_cast<double>(*parse_number(setting_type::decimal, text(section, key))) /
           static_cast<double>(decimal_resolution);
}

duration settings::time(const std::string& section, const std::string& key) const {
    return std::chrono::nanoseconds(*parse_number(setting_type::time_span, text(section, key)));
}

byte_count settings::bytes(const std::string& section, const std::string& key) const {
    return byte_count(static_cast<std::uint64_t>(*parse_number(setting_type::bytes, text(section, key))));
}

address settings::endpoint(const std::string& section, const std::string& key) const {
    return *parse_address(text(section, key));
}

std::string settings::place(const std::string& section, const std::string& key) const {
    return values_.at({section, key}).place;
}

} // namespace bluebell::base
