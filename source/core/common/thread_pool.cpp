// The dynamically sized thread pool.
#include "core/common/thread_pool.h"

#include <chrono>
#include <thread>
#include <utility>

namespace savorytrail::common {
namespace {

constexpr std::chrono::seconds idle_lifetime{10};

} // namespace

thread_pool::~thread_pool() {
    shut_down();
}

void thread_pool::run(std::function<void()> work) {
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(work));
    if (m_idle >= m_queue.size() || m_threads == m_max_threads) {
        m_changed.notify_one();
        return;
    }
    m_threads++;
    std::thread([this] { run_worker(); }).detach();
}

void thread_pool::shut_down() {
    std::unique_lock lock(m_mutex);
    m_is_stopping = true;
    m_changed.notify_all();
    m_changed.wait(lock, [this] { return m_threads == 0; });
}

void thread_pool::run_worker() {
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_idle++;
        m_changed.wait_for(lock, idle_lifetime,
                           [this] { return !m_queue.empty() || m_is_stopping; });
        m_idle--;
        if (m_queue.empty())
            break;
        const auto work = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
    m_threads--;
    m_changed.notify_all();
}

} // namespace savorytrail::common
