#include "standin/echo.h"
#include "standin/program.h"

#include <docopt/docopt.h>

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

void serve(int argc, char** argv) {
    const sigset_t signals = bluebell::standin::block_stop_signals();
    std::map<std::string, docopt::value> args = docopt::docopt(usage, {argv + 1, argv + argc});
    bluebell::standin::service_options options;
    options.address = {args["--address"].asString(), static_cast<std::uint16_t>(args["--port"].asLong())};
    options.slots = static_cast<unsigned>(args["--slots"].asLong());
    options.delay = std::chrono::milliseconds(args["--delay-ms"].asLong());
    bluebell::standin::service service(options);
    service.start();
    bluebell::standin::announce_and_wait(service.address().port, signals);
}

} // namespace

int main(int argc, char** argv) {
    return bluebell::standin::run_program("standin-service", [&] { serve(argc, argv); });
}
