// A fleet without network in simulated time: entries of several failure domains, their executors,
// and callers. Checks after every event that no task has two runs at once.
#pragma once

#include <set>

#include "stand_ins/users_platform/crash_budget.h"
#include "stand_ins/users_platform/simulated_executor.h"
#include "unit_tests/cells/simulated_callers.h"
#include "unit_tests/cells/simulated_entry.h"

namespace savorytrail::cells {

struct fleet_plan {
    std::uint64_t seed = 1;
    int entries_per_domain = 2;
    std::vector<int> executors{4, 4, 4}; // by domain

    bool operator==(const fleet_plan&) const = default;
};

class simulated_fleet {
public:
    explicit simulated_fleet(fleet_plan plan);
    ~simulated_fleet();

    void run_for(common::milliseconds time);
    // Runs until the condition holds, at most for `limit`; returns whether it holds.
    bool run_until(const std::function<bool()>& condition, common::milliseconds limit);

    int domains() const { return static_cast<int>(m_plan.executors.size()); }
    int entries() const { return domains() * m_plan.entries_per_domain; }
    int domain_of(int slot) const { return slot / m_plan.entries_per_domain; }
    static std::string domain_name(int domain) { return "domain-" + std::to_string(domain); }
    // The process that runs on the machine, or the last one that did.
    simulated_entry& entry(int slot) { return *m_current.at(slot); }
    int live_entries() const;
    void end_entry(int slot, bool with_power);
    void restart_entry(int slot);
    // The entry that holds the domain's executors; -1 when none does.
    int dispatcher_of(int domain);

    int executors() const { return static_cast<int>(m_executors.size()); }
    cell::simulated_executor& executor(int i) { return *m_executors.at(i); }
    int executor_domain(int i) const { return m_executor_domains.at(i); }
    // Restarts the executor with all state lost; breaks the connections to it.
    void crash_executor(int i);
    const cell::crash_budget& budget() const { return m_budget; }
    // Domains with a run of the job now.
    std::set<int> domains_running(const std::string& job) const;
    order_faults& orders_between(int slot, int executor) { return m_orders[{slot, executor}]; }
    // Ends all faults but those of processes that are frozen.
    void heal();

    simulated_time& time() { return m_time; }
    std::mt19937_64& random() { return m_random; }
    int pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }
    simulated_network& network() { return m_network; }
    simulated_callers& callers() { return m_callers; }

    // Returns the actual resources, duration and result of a task; by default as estimated.
    std::function<cell::simulated_executor::simulated_task(const work::job&, const work::task_id&)>
        actual_run;
    const work::job& job(const std::string& id) const { return m_jobs.at(id); }
    void add_job(const work::job& it) { m_jobs[it.id] = it; }

    std::uint64_t starts = 0;                     // accepted start orders
    std::map<std::string, std::string> passed_to; // the entry that a job was last forwarded to
    std::vector<std::string> violations;
    common::milliseconds longest_overlap{0}; // of two runs of a task
    // Log of events for the analysis of a failure; recorded only if `is_tracing` is set.
    bool is_tracing = false;
    std::vector<std::string> trace;
    std::string trace_text() const; // a line each
    void note(const std::string& line);

    // Called by simulated_orders.
    void note_started(const work::task_id& task);
    // Calls back when the executor has ended runs to report, or when its process has crashed.
    void await_end(int executor, std::function<void()> on_end, std::function<void()> on_crash);

private:
    struct awaited_end {
        int executor = 0;
        std::function<void()> on_end;
        std::function<void()> on_crash;
    };

    void start_entry(int slot);
    void add_executors();
    void advance_executors();
    void break_connections(int executor);
    void check();
    std::map<work::task_id, std::set<std::string>> runs_by_task() const;
    void call_back_on_ends();

    const fleet_plan m_plan;
    simulated_time m_time;
    std::mt19937_64 m_random;
    simulated_network m_network{m_time, m_random};
    simulated_callers m_callers{*this};
    std::vector<std::unique_ptr<cell::simulated_executor>> m_executors;
    std::vector<int> m_executor_domains;
    std::vector<std::unique_ptr<simulated_entry>> m_processes; // all that ever ran
    std::vector<simulated_entry*> m_current;                   // by slot
    std::map<std::pair<int, int>, order_faults> m_orders;      // by slot and executor
    std::map<std::string, work::job> m_jobs;                   // by id
    std::vector<awaited_end> m_awaited_ends;
    std::uint64_t m_next_incarnation = 1;
    common::time_point m_advanced_to;
    bool m_has_started = false; // a run, since the last check
    cell::crash_budget m_budget;
    std::vector<std::size_t> m_crashes_seen;                   // by executor
    std::map<work::task_id, common::time_point> m_overlapping; // with two runs now; since when
};

} // namespace savorytrail::cells
