// An upstream executor: an HTTP server that runs tasks in slots, counts starts and injects faults.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <system_error>

#include "core/common/endpoint.h"
#include "stand_ins/executor/slot_queue.h"
#include "stand_ins/executor/start_counter.h"

namespace savorytrail::stand_ins {

class fault_server;

enum class executor_mode {
    normal,
    fail,   // responds with 500 immediately
    slow,   // multiplies the service time by the factor
    silent, // accepts the request and never responds
    refuse, // responds with 429 immediately, without a start
    closed, // closes the connection after reading the request, without a response
};

std::string_view name_of(executor_mode mode);

struct executor_behaviour {
    executor_mode mode = executor_mode::normal;
    double factor = 1;

    bool operator==(const executor_behaviour&) const = default;
};

struct executor_limits {
    std::uint64_t slots = 8;
    std::uint64_t connections = 60; // that carry tasks; a further one is closed without a response

    bool operator==(const executor_limits&) const = default;
};

class executor {
public:
    executor(common::endpoint address, executor_limits limits);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    // Binds the address and serves on a separate thread until the process ends.
    std::error_code start();

private:
    // Defined in the source file, to keep the HTTP library's types out of this header.
    struct handlers;

    executor_behaviour behaviour() const;
    bool admit_connection();
    void end_connection();
    void run(std::chrono::milliseconds service_time);

    const common::endpoint m_address;
    const executor_limits m_limits;
    slot_queue m_slots;
    start_counter m_starts;
    mutable std::mutex m_mutex;
    executor_behaviour m_behaviour;  // guarded by m_mutex, as all below
    std::uint64_t m_connections = 0; // open connections that have carried tasks
    std::uint64_t m_most_connections = 0;
    std::uint64_t m_refused_connections = 0; // over the connection limit
    std::unique_ptr<fault_server> m_server;
};

} // namespace savorytrail::stand_ins
