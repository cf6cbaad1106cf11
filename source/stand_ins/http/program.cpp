// Startup and shutdown of the stand-in programs.
#include "stand_ins/http/program.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace savorytrail::stand_ins {

int serve_until_signal(const std::function<bool()>& start) {
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    if (!start())
        return EXIT_FAILURE;

    std::cout << "ready" << std::endl;
    int signal = 0;
    sigwait(&stop_signals, &signal);
    google::FlushLogFiles(google::INFO);
    std::_Exit(EXIT_SUCCESS);
}

} // namespace savorytrail::stand_ins
