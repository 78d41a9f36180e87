#include "base/ini.h"

#include <cxxtools/iniparser.h>
#include <exception>
#include <map>

namespace bluebell::base {
namespace {

/// Builds an `ini_file` from the events of the parser and tracks the line numbers.
class file_builder final : public cxxtools::IniParser::Event {
public:
    explicit file_builder(ini_file& file) : file_(file) {}

    using Event::onKey;
    using Event::onSection;
    using Event::onValue;

    bool onSection(const std::string& section) override {
        file_.sections.push_back({section, line_, {}});
        return false;
    }
    bool onKey(const std::string& key) override {
        if (file_.sections.empty()) {
            file_.sections.push_back({"", line_, {}});
        }
        file_.sections.back().entries.push_back({key, "", line_});
        open_key_line_ = line_;
        return false;
    }
    bool onValue(const std::string& value) override {
        file_.sections.back().entries.back().value = value;
        open_key_line_ = 0;
        return false;
    }
    bool onError() override {
        failed_ = true;
        return true;
    }

    void next_line() { ++line_; }
    /// Returns the line of a syntax error. The parser rejects a key without `=` only at the first character
    /// of a later line, so the line of that key is returned instead.
    [[nodiscard]] int error_line() const { return open_key_line_ != 0 ? open_key_line_ : line_; }
    [[nodiscard]] bool failed() const { return failed_; }

private:
    ini_file& file_;
    int line_ = 1;
    int open_key_line_ = 0;
    bool failed_ = false;
};

tl::unexpected<error> make_syntax_error(const ini_file& file, int line) {
    return failure(error_code::settings_unreadable, file.place(line),
                   "expected a section, a comment or key = value");
}

} // namespace

result<ini_file> read_ini(std::istream& in, const std::string& name) {
    ini_file file;
    file.name = name;
    file_builder events(file);
    cxxtools::IniParser parser(events);
    try {
        for (char c = 0; in.get(c);) {
            if (parser.parse(cxxtools::Char(c)) || events.failed()) {
                return make_syntax_error(file, events.error_line());
            }
            if (c == '\n') {
                events.next_line();
            }
        }
        parser.end();
    } catch (const std::exception&) {
        return make_syntax_error(file, events.error_line());
    }
    if (events.failed()) {
        return make_syntax_error(file, events.error_line());
    }
    return file;
}

std::vector<error> ini_duplicates(const ini_file& file) {
    std::vector<error> errors;
    std::map<std::string, int> sections;
    for (const ini_section& section : file.sections) {
        const auto [first_section, section_added] = sections.emplace(section.name, section.line);
        if (!section_added) {
            errors.push_back({error_code::settings_duplicate, file.place(section.line),
                              "section [" + section.name + "] is already defined at line " +
                                  std::to_string(first_section->second)});
        }
        std::map<std::string, int> keys;
        for (const ini_entry& entry : section.entries) {
            const auto [first_key, key_added] = keys.emplace(entry.key, entry.line);
            if (!key_added) {
                errors.push_back({error_code::settings_duplicate, file.place(entry.line),
                                  "key '" + entry.key + "' of section [" + section.name +
                                      "] is already defined at line " + std::to_string(first_key->second)});
            }
        }
    }
    return errors;
}

} // namespace bluebell::base
