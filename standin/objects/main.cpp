#include "standin/objects.h"
#include "standin/program.h"

#include <cstdint>
#include <string>

/// Stand-in for the platform's object API and VM list. Usage: standin-objects [PORT]
int main(int argc, char** argv) {
    return bluebell::standin::run_program("standin-objects", [&] {
        const sigset_t signals = bluebell::standin::block_stop_signals();
        const unsigned long port = argc > 1 ? std::stoul(argv[1]) : 0;
        const bluebell::standin::object_server server(static_cast<std::uint16_t>(port));
        bluebell::standin::announce_and_wait(server.port(), signals);
    });
}
