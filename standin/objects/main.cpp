#include "standin/objects.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

/// Stand-in for the platform's object API and VM list. Usage: standin-objects [PORT]
int main(int argc, char** argv) {
    try {
        sigset_t stop_signals;
        sigemptyset(&stop_signals);
        sigaddset(&stop_signals, SIGINT);
        sigaddset(&stop_signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
        const unsigned long port = argc > 1 ? std::stoul(argv[1]) : 0;
        const bluebell::standin::object_server server(static_cast<std::uint16_t>(port));
        std::cout << "listening " << server.port() << std::endl;
        int received = 0;
        sigwait(&stop_signals, &received);
        return EXIT_SUCCESS;
    } catch (const std::exception& caught) {
        std::cerr << "standin-objects: " << caught.what() << '\n';
        return EXIT_FAILURE;
    }
}
