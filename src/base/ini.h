#pragma once

#include "base/error.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::base {

/// A key with its value and line number, from 1.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

/// A section with its line number and its entries in the order of the file.
struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;
};

/// Content of an INI file.
struct ini_file {
    std::string name;
    std::vector<ini_section> sections;

    /// Returns `NAME:LINE`, the location for errors.
    [[nodiscard]] std::string place(int line) const { return name + ':' + std::to_string(line); }
};

/// Reads INI text. Keeps the order and the line numbers, which the file reader of the library does not, and
/// duplicate sections and keys; `ini_duplicates` finds those.
/// Error: `settings_unreadable` with the line of a syntax error.
result<ini_file> read_ini(std::istream& in, const std::string& name);

/// Returns a `settings_duplicate` error for each repetition of a section, or of a key within a section.
std::vector<error> ini_duplicates(const ini_file& file);

} // namespace bluebell::base
