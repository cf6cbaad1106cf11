// Discrete-event simulation of the dispatchers of several entries of one region. It measures only
// the decision code: executors are modelled as slot counters, and messages as delays.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/dispatch/dispatcher.h"
#include "core/loan/borrower.h"
#include "core/loan/lender.h"

namespace savorytrail::benchmarks {

using common::milliseconds;
using common::time_point;
using std::chrono::nanoseconds;

// Which executors an entry uses.
enum class placement_mode {
    partition,   // each entry uses only its own executors
    independent, // each entry uses all executors and knows only its own load
    loans,       // its own executors and idle slots borrowed from other entries
};

struct scenario {
    std::string name;
    std::uint64_t seed = 1;
    std::size_t entries = 6;
    std::size_t executors = 48;
    std::uint32_t slots = 8; // of each executor
    double load = 0.7;       // offered work as a share of all slots
    double burst_load = 0;   // load in the middle third of the run; zero: no burst
    std::uint32_t smallest_job = 20;
    std::uint32_t largest_job = 20;     // sizes are log-uniform between the two
    double declared_error = 10;         // maximum error factor of declared durations
    milliseconds time_limit{60000};     // arrivals end here
    double deadline_over_ideal = 0;     // zero: a deadline too distant to be reached
    std::size_t failing_executors = 0;  // fail each task after 2 ms
    std::size_t slow_executors = 0;     // take ten times as long
    std::size_t refusing_executors = 0; // refuse connections
    milliseconds fault_start{0};
};

struct policy {
    std::string name;  // as printed
    std::string queue; // queue policy of the dispatcher
    placement_mode mode = placement_mode::partition;
    bool has_task_kinds = true; // false: each task has a unique path, so no durations are learned
};

struct measurement {
    std::vector<double> stretch; // response time over ideal time of each complete job
    std::size_t jobs = 0;
    std::size_t failed_jobs = 0;
    std::size_t refused_jobs = 0;
    std::size_t late_jobs = 0; // cancelled at their deadline
    std::size_t starts = 0;
    std::size_t retries = 0;
    std::size_t queued_starts = 0; // started while all slots of the executor were in use
    std::size_t control_messages = 0;
    double useful_work_ms = 0; // of complete jobs
    double burst_work_ms = 0;  // of complete jobs that ended during the burst
    double offered_work_ms = 0;
    double total_wait_ms = 0; // from arrival to start, summed over all tasks
};

class simulation {
public:
    simulation(const scenario& settings, const policy& chosen);
    ~simulation();
    measurement run();

private:
    struct running_job;
    struct executor_state;
    struct entry_state;
    struct event {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    void after(nanoseconds delay, std::function<void()> action);
    void arrive();
    void submit(entry_state& home);
    void send(entry_state& home, const std::vector<dispatch::task_start>& starts);
    void start_on_executor(entry_state& home, const dispatch::task_start& it);
    void run_or_queue(executor_state& at, std::function<void()> task);
    void finish(entry_state& home, const dispatch::task_start& it, dispatch::completion outcome,
                time_point sent);
    void end_job(entry_state& home, running_job& it, bool is_complete);
    void tick();
    void send_heartbeats();
    void borrow(entry_state& it);
    void deliver(entry_state& from, const loan::exchange& it);
    bool is_burst() const;
    double load_now() const;
    bool is_faulty(std::size_t index, std::size_t first, std::size_t count) const;

    const scenario m_settings;
    const policy m_policy;
    std::mt19937_64 m_random;
    time_point m_now = time_point(std::chrono::hours(1));
    const time_point m_start_time = m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<executor_state>> m_executors;
    std::map<std::string, executor_state*> m_by_name;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    measurement m_result;
};

} // namespace savorytrail::benchmarks
