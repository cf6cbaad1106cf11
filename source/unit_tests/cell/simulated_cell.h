// Simulates holders (each an executor manager with a dispatcher), executors, and a network that
// delays and loses messages, in simulated time. Checks after every event that no task has two runs
// at once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "core/cell/dispatcher.h"
#include "stand_ins/users_platform/crash_budget.h"
#include "stand_ins/users_platform/simulated_executor.h"

namespace savorytrail::cell {

// Fault probabilities of orders, in thousandths.
struct network_faults {
    int lost_requests = 0;
    int lost_answers = 0;
    int late_requests = 0; // executed 2 to 12 s later and never answered
    int lost_stops = 0;    // stop orders only, while executors answer all else

    bool operator==(const network_faults&) const = default;
};

class simulated_cell {
public:
    class holder;

    simulated_cell(std::uint64_t seed, int executors, work::resources capacity, int holders,
                   const limits& by = {})
        : simulated_cell(seed, std::vector<work::resources>(executors, capacity), holders, by) {}
    // One executor for each of the capacities.
    simulated_cell(std::uint64_t seed, const std::vector<work::resources>& capacities, int holders,
                   const limits& by = {});
    ~simulated_cell();

    common::time_point now() const { return m_now; }
    holder& at(int i) { return *m_holders.at(i); }
    simulated_executor& executor(int i) { return *m_executors.at(i); }
    std::vector<work::executor_info> executor_infos() const;
    std::mt19937_64& random() { return m_random; }

    void after(common::milliseconds delay, std::function<void()> work);
    // Processes all events of the given time span, with a check for violations after each.
    void run_for(common::milliseconds time);

    // Returns the actual resources, duration and result of a task; by default as estimated.
    std::function<simulated_executor::simulated_task(const work::job&, const work::task_id&)>
        actual_run;

    network_faults faults;
    std::set<std::pair<int, int>> partitions; // holders and executors cut off from each other

    std::vector<pair_change> interference_changes;
    std::vector<int> contended_priorities; // each time that contention began
    std::uint64_t starts = 0;              // accepted start orders
    const crash_budget& budget() const { return m_budget; }
    // Log of events for the analysis of a failure; recorded only if `is_tracing` is set.
    bool is_tracing = false;
    std::vector<std::string> trace;
    std::string trace_text() const; // a line each
    void note(const std::string& line);
    std::vector<std::string> violations;

private:
    friend class holder;
    void check();
    void advance_executors();

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::mt19937_64 m_random;
    std::multimap<common::time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<simulated_executor>> m_executors;
    std::vector<std::unique_ptr<holder>> m_holders;
    std::map<std::string, work::job> m_jobs; // by id, as submitted
    crash_budget m_budget;
    std::vector<std::size_t> m_crashes_seen; // by executor
};

// An entry's executor manager and dispatcher. Processes nothing while frozen; its clock stops too.
class simulated_cell::holder final : public order_sink,
                                     public executor_observer,
                                     public job_observer,
                                     public common::clock {
public:
    holder(simulated_cell& cell, int number, const limits& by);

    std::uint64_t submit(const work::job& job, done_callback done);
    std::uint64_t submit_leased(const work::job& job, common::time_point held_until,
                                done_callback done);
    void abandon(std::uint64_t ticket) { m_dispatcher.abandon(ticket); }
    void assign(const std::vector<work::executor_info>& list) { m_executor_manager.assign(list); }
    void freeze(common::milliseconds time);
    // Like freeze(), but the clock goes on: the process is not scheduled.
    void pause(common::milliseconds time);
    // Ends the process; messages that it has sent may still arrive.
    void kill() { m_is_dead = true; }
    bool is_running() const { return !m_is_dead && m_cell.m_now >= m_frozen_until; }
    dispatcher& jobs() { return m_dispatcher; }
    executor_manager& manager() { return m_executor_manager; }

    common::time_point now() const override;
    std::chrono::milliseconds suspended() const override { return m_total_frozen; }
    void start(const work::executor_info& at, const start_order& order) override;
    void stop(const work::executor_info& at, const stop_order& order) override;
    void ask_report(const work::executor_info& at, const report_request& request) override;
    void forget(const work::executor_info&) override {}
    void executor_changed(const std::string& executor, std::string_view event,
                          std::string_view reason) override;
    void job_event(const std::string& job, std::string_view event,
                   const std::string& detail) override;
    void contention_changed(int priority, bool is_on) override {
        if (is_on) {
            m_cell.contended_priorities.push_back(priority);
        }
    }
    void interference_changed(const pair_change& change) override {
        m_cell.interference_changes.push_back(change);
    }

private:
    // A report request in progress. A long poll is simulated by polling the executor.
    struct report_call {
        int executor = 0;
        report_request request;
        common::time_point until;
        bool loses_answer = false;
        bool is_answered = false;
        std::int64_t start_time_ms = 0; // of the process that has received it
    };

    bool can_reach(int executor) const;
    void receive_request(const std::shared_ptr<report_call>& it);
    void poll_report(const std::shared_ptr<report_call>& it);
    void receive_answer(const std::shared_ptr<report_call>& it, work::order_status status,
                        const work::run_report& report);
    // Sends a request to the executor and its answer back, subject to network faults.
    void send(const work::executor_info& to, common::milliseconds timeout,
              const std::function<std::function<void()>(simulated_executor&)>& execute,
              const std::function<void(work::order_status)>& on_failure);
    // Runs `work` now, or when this holder wakes up; never if it was killed.
    void deliver(std::function<void()> work);
    void tick();

    simulated_cell& m_cell;
    const int m_number;
    bool m_is_dead = false;
    common::time_point m_frozen_until;
    common::milliseconds m_total_frozen{0}; // total time
    bool m_is_paused = false;               // the latest interruption was pause(), not freeze()
    std::int64_t m_fence = 0;
    executor_manager m_executor_manager;
    dispatcher m_dispatcher;
};

} // namespace savorytrail::cell
