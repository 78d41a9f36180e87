#include "standin/echo.h"

#include <csignal>
#include <docopt/docopt.h>
#include <exception>
#include <iostream>

namespace {

const char* const usage = R"(Stand-in for a plain service.

Usage:
  standin-service [--address=IP] [--port=N] [--slots=N] [--delay-ms=N]

Options:
  --address=IP    Address to listen on [default: 127.0.0.1].
  --port=N        Port; 0 picks a free one [default: 0].
  --slots=N       Slots that the load report states [default: 8].
  --delay-ms=N    Time per request [default: 10].
)";

int serve(int argc, char** argv) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::map<std::string, docopt::value> args = docopt::docopt(usage, {argv + 1, argv + argc});
    bluebell::standin::service_options options;
    options.address = {args["--address"].asString(), static_cast<std::uint16_t>(args["--port"].asLong())};
    options.slots = static_cast<unsigned>(args["--slots"].asLong());
    options.delay = std::chrono::milliseconds(args["--delay-ms"].asLong());
    bluebell::standin::service service(options);
    service.start();
    std::cout << "listening " << service.address().port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return serve(argc, argv);
    } catch (const std::exception& cause) {
        std::cerr << "standin-service: " << cause.what() << '\n';
        return 1;
    }
}
