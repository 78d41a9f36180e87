#include "ctl/command.h"
#include "ctl/explain.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

namespace {

const char* const usage = R"(bluebellctl, the operators' client of a bluebelldale fleet.

Usage:
  bluebellctl [options] apply FILE
  bluebellctl [options] validate FILE
  bluebellctl [options] diff FILE
  bluebellctl [options] status
  bluebellctl [options] releases
  bluebellctl [options] drain VM
  bluebellctl [options] dump VM
  bluebellctl [options] top
  bluebellctl [options] explain REQUEST [LOG...]
  bluebellctl (-h | --help)
  bluebellctl --version

Commands:
  apply     Put a release note in force on every router and wait until it is.
  validate  Check a release note against the release in force.
  diff      Show what a release note would change.
  status    Show the release in force and every router.
  releases  List the last accepted changes, newest first.
  drain     Stop a router gracefully.
  dump      Print the whole state of a router.
  top       Repeat the status every second.
  explain   Tell what logs say of one request, from files or standard input, of several routers mixed.

Options:
  --store=ADDRESS  Object API as IP:PORT; default is the environment variable BLUEBELL_STORE.
  --wait=SECONDS   How long apply waits for a release to be in force [default: 30].
  --rounds=N       How often top shows the status [default: 60].
  --json           Print results for programs.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 done, 1 store or router does not answer, 2 usage or bad note, 3 conflict with another change,
4 accepted but not in force everywhere, 5 outcome unknown.

Examples:
  bluebellctl --store=10.0.0.10:8000 validate note.ini
  bluebellctl --store=10.0.0.10:8000 apply note.ini
  bluebellctl --store=10.0.0.10:8000 --json status
  bluebellctl explain 9c41d07be2a35f68 router-1.log router-2.log
)";

using arguments = std::map<std::string, docopt::value>;
using bluebell::ctl::commands;
using bluebell::ctl::exit_code;

constexpr int number_limit = 86400; ///< one day, in seconds or in rounds of one second

/// Returns the address of the store from the option or the environment; empty if neither is set.
std::string store_address(const arguments& args) {
    if (args.at("--store").isString()) {
        return args.at("--store").asString();
    }
    const char* const from_environment = std::getenv("BLUEBELL_STORE");
    return from_environment == nullptr ? "" : from_environment;
}

/// Parses the value of an option as a whole number from 0 to `number_limit`. Throws
/// `docopt::DocoptArgumentError` for anything else.
int parse_number(const arguments& args, const std::string& option) {
    const std::string& text = args.at(option).asString();
    const char* const end = text.data() + text.size();
    int value = -1;
    const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 || value > number_limit) {
        throw docopt::DocoptArgumentError(option + " is '" + text + "', expected a whole number from 0 to " +
                                          std::to_string(number_limit));
    }
    return value;
}

exit_code dispatch(const arguments& args, commands& available) {
    if (args.at("apply").asBool()) {
        return available.apply(args.at("FILE").asString());
    }
    if (args.at("validate").asBool()) {
        return available.validate(args.at("FILE").asString());
    }
    if (args.at("diff").asBool()) {
        return available.diff(args.at("FILE").asString());
    }
    if (args.at("status").asBool()) {
        return available.status();
    }
    if (args.at("releases").asBool()) {
        return available.releases();
    }
    if (args.at("drain").asBool()) {
        return available.drain(bluebell::base::vm_id(args.at("VM").asString()));
    }
    if (args.at("dump").asBool()) {
        return available.dump(bluebell::base::vm_id(args.at("VM").asString()));
    }
    return available.top(parse_number(args, "--rounds"));
}

exit_code explain(const arguments& args) {
    bluebell::ctl::explanation explanation(args.at("REQUEST").asString());
    const std::vector<std::string>& files = args.at("LOG").asStringList();
    if (files.empty()) {
        explanation.read(std::cin);
    }
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << file << ": cannot be read\n";
            return exit_code::failed;
        }
        explanation.read(log);
    }
    return explanation.print(std::cout, std::cerr, args.at("--json").asBool());
}

exit_code run(const arguments& args) {
    if (args.at("explain").asBool()) {
        return explain(args);
    }
    const std::optional<bluebell::decision::endpoint> store =
        bluebell::decision::parse_endpoint(store_address(args));
    if (!store) {
        std::cerr
            << "usage: no valid address of the object API; give --store=IP:PORT or set BLUEBELL_STORE\n";
        return exit_code::refused;
    }
    bluebell::ctl::command_options options;
    options.store = *store;
    options.json = args.at("--json").asBool();
    options.wait = std::chrono::seconds(parse_number(args, "--wait"));
    commands available(options, std::cout, std::cerr);
    return dispatch(args, available);
}

} // namespace

int main(int argc, char** argv) {
    try {
        return static_cast<int>(run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true)));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "bluebellctl " BLUEBELL_VERSION "\n";
        return 0;
    } catch (const docopt::DocoptArgumentError& fault) {
        std::cerr << "usage: " << fault.what() << "; see bluebellctl --help\n";
        return static_cast<int>(exit_code::refused);
    } catch (const std::exception& fault) {
        std::cerr << "bluebellctl: " << fault.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}
