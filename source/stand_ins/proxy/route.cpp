// Thread and fault handover of a proxy route.
#include "stand_ins/proxy/route.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace savorytrail::stand_ins {

route::~route() {
    if (m_wake_fd >= 0)
        close(m_wake_fd);
}

std::error_code route::start() {
    m_wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (m_wake_fd < 0)
        return {errno, std::generic_category()};
    if (const auto ec = open())
        return ec;
    m_thread = std::thread([this] { run(); });
    return {};
}

void route::stop() {
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    wake();
    m_thread.join();
}

std::error_code route::set_fault(const proxy_fault& fault) {
    std::unique_lock lock(m_mutex);
    m_fault_applied.wait(lock, [this] { return !m_pending_fault; });
    m_pending_fault = fault;
    wake();
    m_fault_applied.wait(lock, [this] { return !m_pending_fault; });
    return m_apply_error;
}

route_counters route::counters() const {
    const std::lock_guard lock(m_handling_mutex);
    return m_counters;
}

void route::add_to_counters(const route_counters& delta) {
    m_counters.connections += delta.connections;
    m_counters.bytes_to_target += delta.bytes_to_target;
    m_counters.bytes_from_target += delta.bytes_from_target;
    m_counters.datagrams += delta.datagrams;
}

void route::run() {
    std::vector<pollfd> polls;
    while (apply_pending_fault()) {
        polls.clear();
        add_polls(polls);
        polls.push_back({m_wake_fd, POLLIN, 0});
        poll(polls.data(), polls.size(), timeout_ms());
        if ((polls.back().revents & POLLIN) != 0) {
            eventfd_t value = 0;
            eventfd_read(m_wake_fd, &value);
        }
        polls.pop_back();
        const std::lock_guard lock(m_handling_mutex);
        handle(polls, m_clock.now());
    }
}

// Returns false once the route has been stopped.
bool route::apply_pending_fault() {
    std::unique_lock lock(m_mutex);
    if (m_stopped)
        return false;
    if (!m_pending_fault)
        return true;
    const auto fault = *m_pending_fault;
    lock.unlock();
    const auto ec = apply_locked(fault);
    lock.lock();
    m_apply_error = ec;
    m_pending_fault.reset();
    m_fault_applied.notify_all();
    return true;
}

std::error_code route::apply_locked(const proxy_fault& fault) {
    const std::lock_guard lock(m_handling_mutex);
    return apply(fault);
}

int route::timeout_ms() const {
    const auto due = next_due();
    if (!due)
        return -1;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*due - m_clock.now());
    return static_cast<int>(std::max<std::int64_t>(wait.count(), 0));
}

void route::wake() const {
    eventfd_write(m_wake_fd, 1);
}

} // namespace savorytrail::stand_ins
