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
    return !text.empty() && text.size() <= title_limit && std::none_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20U;
    });
}

/// Takes the text of one key; returns false if the value is bad.
using value_reader = std::function<bool(const std::string&)>;

/// Converts a number to the unit of `target`.
template <typename Quantity>
value_reader number_into(std::optional<Quantity>& target) {
    return [&target](const std::string& text) {
        const std::optional<typename Quantity::rep> value = parse_number<typename Quantity::rep>(text);
        if (value) {
            target = Quantity(*value);
        }
        return value.has_value();
    };
}

value_reader flag_into(std::optional<bool>& target) {
    return [&target](const std::string& text) {
        target = parse_flag(text);
        return target.has_value();
    };
}

template <typename Id>
value_reader name_into(std::optional<Id>& target) {
    return [&target](const std::string& text) {
        target = Id(text);
        return !text.empty();
    };
}

struct key_rule {
    value_reader read;
    std::string expected;
};

class note_reader {
public:
    explicit note_reader(const base::ini_file& file) : file_(file) {}

    tl::expected<decision::release_note, std::vector<error>> run() {
        faults_ = base::ini_duplicates(file_);
        if (file_.sections.empty() || file_.sections.front().name != "note") {
            fault(error_code::note_malformed, file_.sections.empty() ? 1 : file_.sections.front().line,
                  "the first section must be [note]");
        }
        for (const base::ini_section& section : file_.sections) {
            read_section(section);
        }
        if (!faults_.empty()) {
            return tl::unexpected<std::vector<error>>(std::move(faults_));
        }
        return std::move(note_);
    }

private:
    void fault(error_code code, int line, std::string text) {
        faults_.push_back(error{code, file_.place(line), std::move(text)});
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
        std::string surplus;
        words >> verb >> kind >> name;
        const std::optional<change_kind> change = parse_verb(verb);
        const bool complete = change && !name.empty() && !(words >> surplus);
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
        fault(error_code::settings_unknown_section, section.line,
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

    /// Reads the entries of a section by the rules of its keys.
    void read_entries(const base::ini_section& section, const std::map<std::string, key_rule>& rules) {
        for (const base::ini_entry& entry : section.entries) {
            const auto rule = rules.find(entry.key);
            if (rule == rules.end()) {
                fault(error_code::settings_unknown_key, entry.line,
                      "section [" + section.name + "] has no key " + entry.key);
            } else if (!rule->second.read(trim(entry.value))) {
                fault(error_code::note_invalid_value, entry.line,
                      entry.key + " must be " + rule->second.expected);
            }
        }
    }

    void require_key(const base::ini_section& section, const std::string& key) {
        const bool found = std::any_of(section.entries.begin(), section.entries.end(),
                                       [&](const base::ini_entry& entry) { return entry.key == key; });
        if (!found) {
            fault(error_code::settings_missing, section.line, "section [note] needs the key " + key);
        }
    }

    void read_header(const base::ini_section& section) {
        note_.location = file_.place(section.line);
        std::optional<int> format;
        const value_reader read_format = [&](const std::string& text) {
            format = parse_number<int>(text);
            return format.has_value();
        };
        const value_reader read_operator = [&](const std::string& text) {
            note_.author = base::operator_id(text);
            return !text.empty();
        };
        const value_reader read_title = [&](const std::string& text) {
            note_.title = text;
            return is_title(text);
        };
        read_entries(section, {{"format", {read_format, "a number"}},
                               {"operator", {read_operator, "a name"}},
                               {"title", {read_title, "one line of at most 200 bytes"}},
                               {"base_revision", {number_into(note_.base_revision), "a revision"}}});
        for (const char* key : {"format", "operator", "title"}) {
            require_key(section, key);
        }
        if (format && *format != note_format) {
            fault(error_code::note_unsupported_version, section.line,
                  "format " + std::to_string(*format) + " is not supported, only " +
                      std::to_string(note_format));
        }
    }

    void read_account(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::account_change item;
        item.kind = kind;
        item.id = base::client_account_id(name);
        item.location = file_.place(section.line);
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"share", {number_into(item.share), "a number"}}};
        }
        read_entries(section, rules);
        note_.accounts.push_back(std::move(item));
    }

    void read_pool(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::pool_change item;
        item.kind = kind;
        item.id = base::pool_id(name);
        item.location = file_.place(section.line);
        const value_reader read_kind = [&item](const std::string& text) {
            item.type = text == "service" ? decision::pool_kind::service : decision::pool_kind::model;
            return text == "service" || text == "model";
        };
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"kind", {read_kind, "model or service"}},
                     {"default_cost", {number_into(item.default_cost), "a number"}}};
        }
        read_entries(section, rules);
        note_.pools.push_back(std::move(item));
    }

    void read_upstream(const base::ini_section& section, change_kind kind, const std::string& name) {
        decision::upstream_change item;
        item.kind = kind;
        item.id = base::upstream_id(name);
        item.location = file_.place(section.line);
        const value_reader read_address = [&item](const std::string& text) {
            item.address = decision::parse_endpoint(text);
            return item.address.has_value();
        };
        std::map<std::string, key_rule> rules;
        if (kind != change_kind::withdraw) {
            rules = {{"pool", {name_into(item.pool), "a name"}},
                     {"data_centre", {name_into(item.data_centre), "a name"}},
                     {"address", {read_address, "IP:PORT with an IPv4 address"}},
                     {"slots", {number_into(item.slots), "a whole number"}},
                     {"checks_fence", {flag_into(item.checks_fence), "yes or no"}},
                     {"can_resume", {flag_into(item.can_resume), "yes or no"}}};
        }
        read_entries(section, rules);
        note_.upstreams.push_back(std::move(item));
    }

    const base::ini_file& file_;
    decision::release_note note_;
    std::vector<error> faults_;
};

} // namespace

tl::expected<decision::release_note, std::vector<base::error>> parse_note(std::istream& in,
                                                                          const std::string& file_name) {
    const base::result<base::ini_file> file = base::read_ini(in, file_name);
    if (!file) {
        return tl::unexpected<std::vector<error>>(
            {error{error_code::note_malformed, file.error().location, file.error().text}});
    }
    return note_reader(*file).run();
}

} // namespace bluebell::store
