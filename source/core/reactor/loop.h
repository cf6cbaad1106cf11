// A single-threaded event loop on Boost.Asio: posted work, timers and signals run on the thread
// that calls run(), so that they need no locks among themselves. Sockets are in the other files of
// this folder.
#pragma once

#include <functional>
#include <memory>

#include "core/common/clock.h"

namespace savorytrail::reactor {

class loop {
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    // Queues the work to run on the loop's thread. May be called from any thread.
    void post(std::function<void()> work);

    // Runs the work once, `delay` from now.
    void after(common::milliseconds delay, std::function<void()> work);

    // Runs the work every `period` until the loop stops.
    void every(common::milliseconds period, const std::function<void()>& work);

    // Calls the work on the loop's thread whenever the process receives the signal.
    void on_signal(int number, const std::function<void()>& work);

    // Runs until stop() is called.
    void run();
    void stop();

    struct context; // holds the io_context; defined in native.h
    context& native() { return *m_context; }

private:
    const std::unique_ptr<context> m_context;
};

} // namespace savorytrail::reactor
