#include "base/log.h"
#include "edge/host.h"
#include "fleet/socket.h"
#include "root/daemon.h"
#include "root/program.h"

#include <iostream>
#include <optional>

namespace {

using bluebell::root::daemon;
using bluebell::root::options;

const char* const usage = R"(bluebelld, a router of a bluebelldale fleet.

Usage:
  bluebelld --config FILE
  bluebelld --check-config FILE
  bluebelld (-h | --help)
  bluebelld --version

Options:
  --config FILE        Run with these settings.
  --check-config FILE  Check the settings and exit.
  -h --help            Show this text.
  --version            Show the version.

Signals: TERM and INT drain the router and stop it, a second one stops it at once; USR1 writes the state of the
process to standard error as one JSON line; HUP checks the settings again, which hold from the next start.

Exit codes: 0 stopped or settings are good, 1 failed, 2 bad settings or usage.

Examples:
  bluebelld --check-config examples/oslo.ini
  bluebelld --config /etc/bluebelld.ini
)";

/// Replaces each port 0 by a free port, since peers and callers are told the actual one.
void choose_ports(options& settings) {
    if (settings.callers.port == 0) {
        settings.callers.port = bluebell::edge::free_port();
    }
    if (settings.admin.port == 0) {
        settings.admin.port = bluebell::edge::free_port();
    }
    if (settings.control.port == 0) {
        settings.control.port = bluebell::fleet::udp_socket({settings.control.ip, 0}).local().port;
    }
}

std::string to_text(const bluebell::base::address& address) {
    return address.ip + ':' + std::to_string(address.port);
}

int run(options settings, const std::string& file) {
    bluebell::root::configure_allocator();
    const sigset_t signals = bluebell::root::block_signals();
    choose_ports(settings);
    bluebell::base::start_log(settings.log, "bluebelld");
    daemon router(settings);
    router.start();
    std::cout << "listening callers=" << to_text(settings.callers) << " admin=" << to_text(settings.admin)
              << " control=" << to_text(settings.control) << std::endl;
    return bluebell::root::serve(router, signals, bluebell::root::settings_file(file));
}

} // namespace

int main(int argc, char** argv) {
    return bluebell::root::run_program(usage, "bluebelld", argc, argv, [](bluebell::root::arguments& args) {
        const bool check = args["--check-config"].isString();
        const std::string file = args[check ? "--check-config" : "--config"].asString();
        const std::optional<options> settings =
            bluebell::root::load_options(file, bluebell::root::read_options);
        if (!settings) {
            return bluebell::root::exit_usage;
        }
        return check ? bluebell::root::exit_good : run(*settings, file);
    });
}
