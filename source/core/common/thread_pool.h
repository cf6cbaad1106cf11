// A thread pool that grows with its load up to a limit. Threads that stay idle exit, so that an
// idle process uses little memory.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace savorytrail::common {

class thread_pool {
public:
    explicit thread_pool(std::size_t max_threads) : m_max_threads(max_threads) {}
    ~thread_pool();
    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    // Runs the work on an idle or new thread, or queues it while all threads are busy.
    void run(std::function<void()> work);

    // Waits until all queued work is done and all threads have ended. run() must not be called
    // afterwards.
    void shut_down();

private:
    void run_worker();

    const std::size_t m_max_threads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_queue; // guarded by m_mutex
    std::size_t m_threads = 0;                 // guarded by m_mutex
    std::size_t m_idle = 0;                    // threads that wait for work; guarded by m_mutex
    bool m_is_stopping = false;                // guarded by m_mutex
};

} // namespace savorytrail::common
