#pragma once

#include <csignal>
#include <exception>
#include <iostream>
#include <pthread.h>
#include <signal.h>

namespace bluebell::standin {

/// Blocks the signals that end a program. Called before the first thread starts, which inherits the mask.
inline sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Tells the port to the script that started the program, and waits for a signal to stop.
inline void announce_and_wait(unsigned port, const sigset_t& signals) {
    std::cout << "listening " << port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

/// Runs a program and turns an exception into a message and exit code 1.
template <typename Program>
int run_program(const char* name, Program program) {
    try {
        program();
        return 0;
    } catch (const std::exception& cause) {
        std::cerr << name << ": " << cause.what() << '\n';
        return 1;
    }
}

} // namespace bluebell::standin
