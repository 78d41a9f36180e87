#pragma once

#include "base/error.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::base {

struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;
};

struct ini_file {
    std::string name;
    std::vector<ini_section> sections;

    /// `NAME:LINE`, the place that errors name.
    [[nodiscard]] std::string place(int line) const { return name + ':' + std::to_string(line); }
};

/// Reads INI text and keeps order and line numbers, which the plain reader of the library does not.
/// Duplicate sections and keys are kept too; `ini_duplicates` finds them.
/// Error: `settings_unreadable` with the line of a syntax error.
result<ini_file> read_ini(std::istream& in, const std::string& name);

/// One `settings_duplicate` error for each section, and each key within a section, that occurs again.
std::vector<error> ini_duplicates(const ini_file& file);

} // namespace bluebell::base
