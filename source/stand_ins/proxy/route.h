// A route of the proxy: a thread that polls its sockets and forwards the data that they receive.
// Only this thread accesses the sockets; set_fault() hands it a fault and waits until it is
// in force.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "stand_ins/proxy/proxy_fault.h"

struct pollfd;

namespace savorytrail::stand_ins {

struct route_addresses {
    common::endpoint listen;
    common::endpoint target;

    bool operator==(const route_addresses&) const = default;
};

struct route_counters {
    std::uint64_t connections = 0; // accepted since the start
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_from_target = 0;
    std::uint64_t datagrams = 0; // forwarded

    bool operator==(const route_counters&) const = default;
};

class route {
public:
    explicit route(route_addresses addresses) : m_addresses(std::move(addresses)) {}
    virtual ~route();
    route(const route&) = delete;
    route& operator=(const route&) = delete;

    // Binds the listening address and starts forwarding.
    std::error_code start();
    // Stops the thread. Derived classes must call it in their destructors, since the thread calls
    // their virtual functions.
    void stop();

    std::error_code set_fault(const proxy_fault& fault);
    route_counters counters() const;
    const route_addresses& addresses() const { return m_addresses; }

protected:
    // Called on the route's thread, except for the first open(). apply() and handle() run with
    // m_handling_mutex locked.
    virtual std::error_code open() = 0;
    virtual std::error_code apply(const proxy_fault& fault) = 0;
    virtual void add_polls(std::vector<pollfd>& polls) = 0;
    // Handles the events of the sockets that add_polls() added, in the same order.
    virtual void handle(const std::vector<pollfd>& polls, common::time_point now) = 0;
    // Time at which the next delayed chunk is due.
    virtual std::optional<common::time_point> next_due() const = 0;

    // Must be called from apply() or handle() only.
    void add_to_counters(const route_counters& delta);

private:
    void run();
    bool apply_pending_fault();
    std::error_code apply_locked(const proxy_fault& fault);
    int timeout_ms() const;
    void wake() const;

    const route_addresses m_addresses;
    const common::system_clock m_clock;
    int m_wake_fd = -1;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::condition_variable m_fault_applied;
    // Guarded by m_mutex, as the two below. Empty once applied.
    std::optional<proxy_fault> m_pending_fault;
    std::error_code m_apply_error;
    bool m_stopped = false;
    // Locked while sockets are handled, so that every byte that has reached a peer is counted.
    mutable std::mutex m_handling_mutex;
    route_counters m_counters; // guarded by m_handling_mutex
};

} // namespace savorytrail::stand_ins
