// One executor: its HTTP calls over slots, the log of starts and its mode.
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
    fail,   // answers 500 at once
    slow,   // service time times the factor
    silent, // takes the request, never answers
    refuse, // answers 429 at once, starts nothing
    closed, // closes the connection after reading the request
};

std::string_view name_of(executor_mode mode);

struct executor_behaviour {
    executor_mode mode = executor_mode::normal;
    double factor = 1;

    bool operator==(const executor_behaviour&) const = default;
};

struct executor_limits {
    std::uint64_t slots = 8;
    std::uint64_t connections = 60; // that carry work; one beyond them is closed unanswered

    bool operator==(const executor_limits&) const = default;
};

class executor {
public:
    executor(common::endpoint address, executor_limits limits);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    // Binds and serves on a thread of its own until the process ends.
    std::error_code start();

private:
    struct handlers; // handlers, which need the HTTP library's types

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
    std::uint64_t m_connections = 0; // open ones that have carried work
    std::uint64_t m_most_connections = 0;
    std::uint64_t m_refused_connections = 0; // beyond the limit
    std::unique_ptr<fault_server> m_server;
};

} // namespace savorytrail::stand_ins
