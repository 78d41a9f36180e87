#include "store/note.h"

#include "base/ini.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <sstream>

namespace bluebell::store {
namespace {

using base::error;
using base::error_code;
using decision::change_kind;

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
    Number value{};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<bool> parse_flag(const std::string& text) {
    if (text == "yes" || text == "no") {
        return text == "yes";
    }
    return std::nullopt;
}

std::string trim(const std::string& text) {
    constexpr const char* blanks = " \t\r";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos) {
        return "";
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_title(const std::string& text) {
    return !text.empty() && text.size() <= max_title_bytes &&
           std::none_of(text.begin(), text.end(),
                        [](char c) { return static_cast<unsigned char>(c) < 0x20U; });
}

/// Parses and stores the value of one key; returns false if the value is invalid.
using value_parser = std::function<bool(const std::string&)>;

/// Returns a parser that reads a number into a quantity of the unit of `target`.
template <typename Quantity>
value_parser parse_number_into(std::optional<Quantity>& target) {
    return [&target](const std::string& text) {
        const std::optional<typename Quantity::rep> value = parse_number<typename Quantity::rep>(text);
        if (value) {
            target = Quantity(*value);
        }
        return value.has_value();
    };
}

value_parser parse_flag_into(std::optional<bool>& target) {
    return [&target](const std::string& text) {
        target = parse_flag(text);
        return target.has_value();
    };
}

template <typename Id>
value_parser parse_name_into(std::optional<Id>& target) {
    return [&target](const std::string& text) {
        target = Id(text);
        return !text.empty();
    };
}

struct key_rule {
    value_parser parse;
    std::string expected; ///< description of valid values, for the error message
};

class note_reader {
public:
    explicit note_reader(const base::ini_file& file) : file_(file) {}

    tl::expected<decision::release_note, std::vector<error>> parse() {
        errors_ = base::ini_duplicates(file_);
        if (file_.sections.empty() || file_.sections.front().name != "note") {
            add_error(error_code::note_malformed, file_.sections.empty() ? 1 : file_.sections.front().line,
                      "the first section must be [note]");
        }
        for (const base::ini_section& section : file_.sections) {
            read_section(section);
        }
        if (!errors_.empty()) {
            return tl::unexpected<std::vector<error>>(std::move(errors_));
        }
        return std::move(note_);
    }

private:
    void add_error(error_code code, int line, std::string text) {
        errors_.push_back(error{code, file_.place(line), std::move(text)});
    }

    void read_section(const base::ini_section& section) {
        if (section.name == "note") {
            read_header(section);
            return;
        }
        std::istringstream words(section.name);
        std::string verb;
        std::string kind;
        std::string name;
        std::string extra;
        words >> verb >> kind >> name;
        const std::optional<change_kind> change = parse_verb(verb);
        const bool complete = change && !name.empty() && !(words >> extra);
        if (complete && kind == "client_account") {
            read_account(section, *change, name);
        } else if (complete && kind == "pool") {
            read_pool(section, *change, name);
        } else if (complete && kind == "upstream") {
            read_upstream(section, *change, name);
        } else {
            unknown_section(section);
        }
    }

    void unknown_section(const base::ini_section& section) {
        add_error(error_code::settings_unknown_section, section.line,
                  "section [" + section.name +
                      "] is neither [note] nor [add|change|withdraw client_account|pool|upstream NAME]");
    }

    static std::optional<change_kind> parse_verb(const std::string& verb) {
        if (verb == "add") {
            return change_kind::add;
        }
        if (verb == "change") {
            return change_kind::change;
        }
        if (verb == "withdraw") {
            return change_kind::withdraw;
        }
        return std::nullopt;
    }

    /// Parses the entries of a section; reports keys without a rule and invalid values.
    void read_entries(const base::ini_section& section, const std::map<std::string, key_rule>& rules) {
        for (const base::ini_entry& entry : section.entries) {
            const auto rule = rules.find(entry.key);
            if (rule == rules.end()) {
                add_error(error_code::settings_unknown_key, entry.line,
                          "section [" + section.name + "] has no key " + entry.key);
            } else if (!rule->second.parse(trim(entry.value))) {
                add_error(error_code::note_invalid_value, entry.line,
                          entry.key + " must be " + rule->second.expected);
            }
        }
    }

    void require_key(const base::ini_section& section, const std::string& key) {
        const bool found = std::any_of(section.entries.begin(), section.entries.end(),
                                       [&](const base::ini_entry& entry) { return entry.key == key; });
        if (!found) {
            add_error(error_code::settings_missing, section.line, "section [note] needs the key " + key);
        }
    }

    void read_header(const base::ini_section& section) {
        note_.location = file_.place(section.line);
        std::optional<int> format;
        const value_parser parse_format = [&](const std::string& text) {
            format = parse_number<int>(text);
            return format.has_value();
        };
        const value_parser parse_operator = [&](const std::string& text) {
            note_.author = base::operator_id(text);
            return !text.empty();
        };
        const value_parser parse_title = [&](const std::string& text) {
            note_.title = text;
            return is_title(text);
        };
        read_entries(section, {{"format", {parse_format, "a number"}},
                               {"operator", {parse_operator, "a name"}},
                               {"title", {parse_title, "one line of at most 200 bytes"}},
                               {"base_revision", {parse_number_into(note_.base_revision), "a revision"}}});
        for (const char* key : {"format", "operator", "title"}) {
            require_key(section, key);
        }
        if (format && *format != supported_note_format) {
            add_error(error_code::note_unsupported_version, section.line,
                      "format " + std::to_string(*format) + " is not supported, only " +
                          std::to_string(supported_note_format));
        }
    }

    void read_account(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::account_change change;
        change.kind = kind;
        change.id = base::client_account_id(name);
        change.location = file_.place(section.line);
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"share", {parse_number_into(change.share), "a number"}}};
        }
        read_entries(section, rules);
        note_.accounts.push_back(std::move(change));
    }

    void read_pool(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::pool_change change;
        change.kind = kind;
        change.id = base::pool_id(name);
        change.location = file_.place(section.line);
        const value_parser parse_kind = [&change](const std::string& text) {
            change.type = text == "service" ? decision::pool_kind::service : decision::pool_kind::model;
            return text == "service" || text == "model";
        };
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"kind", {parse_kind, "model or service"}},
                     {"default_cost", {parse_number_into(change.default_cost), "a number"}}};
        }
        read_entries(section, rules);
        note_.pools.push_back(std::move(change));
    }

    void read_upstream(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::upstream_change change;
        change.kind = kind;
        change.id = base::upstream_id(name);
        change.location = file_.place(section.line);
        const value_parser parse_address = [&change](const std::string& text) {
            change.address = decision::parse_endpoint(text);
            return change.address.has_value();
        };
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"pool", {parse_name_into(change.pool), "a name"}},
                     {"data_centre", {parse_name_into(change.data_centre), "a name"}},
                     {"address", {parse_address, "IP:PORT with an IPv4 address"}},
                     {"slots", {parse_number_into(change.slots), "a whole number"}},
                     {"checks_fence", {parse_flag_into(change.checks_fence), "yes or no"}},
                     {"can_resume", {parse_flag_into(change.can_resume), "yes or no"}}};
        }
        read_entries(section, rules);
        note_.upstreams.push_back(std::move(change));
    }

    const base::ini_file& file_;
    decision::release_note note_;
    std::vector<error> errors_;
};

} // namespace

tl::expected<decision::release_note, std::vector<base::error>> parse_note(std::istream& in,
                                                                          const std::string& file_name) {
    const base::result<base::ini_file> file = base::read_ini(in, file_name);
    if (!file) {
        return tl::unexpected<std::vector<error>>(
            {error{error_code::note_malformed, file.error().location, file.error().text}});
    }
    return note_reader(*file).parse();
}

} // namespace bluebell::store
