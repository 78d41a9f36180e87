#pragma once

#include <csignal>
#include <exception>
#include <iostream>
#include <pthread.h>
#include <signal.h>

namespace bluebell::standin {

/// Blocks the signals that stop a program and returns them. Pre-condition: no other thread has started, since
/// threads inherit the mask.
inline sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Prints the port for the script that started the program, and waits for a signal to stop.
inline void announce_and_wait(unsigned port, const sigset_t& signals) {
    std::cout << "listening " << port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

/// Runs a program and returns its exit code: 0, or 1 after printing the message of an exception.
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
