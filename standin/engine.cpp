#include "standin/model.h"
#include "standin/program.h"

#include <docopt/docopt.h>

namespace {

const char* const usage = R"(Stand-in for a model engine.

Usage:
  standin-engine [--address=IP] [--port=N] [--slots=N] [--waiting=N] [--tokens=N] [--token-ms=N] [--lag-ms=N]
                 [--ignore-fence]

Options:
  --address=IP     Address to listen on [default: 127.0.0.1].
  --port=N         Port; 0 picks a free one [default: 0].
  --slots=N        Requests that run at the same time [default: 8].
  --waiting=N      Requests that wait for a slot [default: 64].
  --tokens=N       Tokens of an answer without max_tokens [default: 20].
  --token-ms=N     Time per token [default: 10].
  --lag-ms=N       How far the load report is behind [default: 0].
  --ignore-fence   Accept orders with an old fencing token.
)";

void serve(int argc, char** argv) {
    const sigset_t signals = bluebell::standin::block_stop_signals();
    std::map<std::string, docopt::value> args = docopt::docopt(usage, {argv + 1, argv + argc});
    bluebell::standin::engine_options options;
    options.address = {args["--address"].asString(), static_cast<std::uint16_t>(args["--port"].asLong())};
    options.slots = static_cast<unsigned>(args["--slots"].asLong());
    options.waiting = static_cast<unsigned>(args["--waiting"].asLong());
    options.tokens = static_cast<std::uint64_t>(args["--tokens"].asLong());
    options.token_time = std::chrono::milliseconds(args["--token-ms"].asLong());
    options.load_lag = std::chrono::milliseconds(args["--lag-ms"].asLong());
    options.checks_fence = !args["--ignore-fence"].asBool();
    bluebell::standin::engine engine(options);
    engine.start();
    bluebell::standin::announce_and_wait(engine.address().port, signals);
}

} // namespace

int main(int argc, char** argv) {
    return bluebell::standin::run_program("standin-engine", [&] { serve(argc, argv); });
}
