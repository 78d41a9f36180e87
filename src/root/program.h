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

constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

using arguments = std::map<std::string, docopt::value>;

/// Reads the command line, runs `body` with it and turns every failure into an exit code and a message.
int run_program(const char* usage, const char* name, int argc, char** argv,
                const std::function<int(arguments&)>& body);

/// Opens a settings file and reads it with `read`; prints every fault. Empty on failure.
template <typename Options>
std::optional<Options>
load_options(const std::string& file,
             tl::expected<Options, std::vector<base::error>> (*read)(std::istream&, const std::string&)) {
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": " << base::error_code::settings_unreadable << '\n';
        return std::nullopt;
    }
    const tl::expected<Options, std::vector<base::error>> got = read(in, file);
    if (!got) {
        for (const base::error& fault : got.error()) {
            std::cerr << fault.location << ": " << fault.code << ": " << fault.text << '\n';
        }
        return std::nullopt;
    }
    return *got;
}

} // namespace bluebell::root
