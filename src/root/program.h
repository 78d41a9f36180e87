#pragma once

#include "base/error.h"

#include <docopt/docopt.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::root {

/// Exit codes of the router programs.
constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2; ///< a bad command line or bad settings

/// Options and operands of the command line by name.
using arguments = std::map<std::string, docopt::value>;

/// Parses the command line by the docopt text `usage` and returns the exit code of `program`. A bad command
/// line or an exception becomes a message on standard error and an exit code. `name` starts such messages.
int run_program(const char* usage, const char* name, int argc, char** argv,
                const std::function<int(arguments&)>& program);

/// Opens a settings file and reads it with `read`. On failure, prints every error to standard error and
/// returns nothing.
template <typename Options>
std::optional<Options>
load_options(const std::string& file,
             tl::expected<Options, std::vector<base::error>> (*read)(std::istream&, const std::string&)) {
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": " << base::error_code::settings_unreadable << '\n';
        return std::nullopt;
    }
    const tl::expected<Options, std::vector<base::error>> loaded = read(in, file);
    if (!loaded) {
        for (const base::error& fault : loaded.error()) {
            std::cerr << fault.location << ": " << fault.code << ": " << fault.text << '\n';
        }
        return std::nullopt;
    }
    return *loaded;
}

} // namespace bluebell::root
