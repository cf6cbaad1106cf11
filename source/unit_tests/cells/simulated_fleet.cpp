#include "unit_tests/cells/simulated_fleet.h"

#include <algorithm>

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr work::resources executor_capacity{64000, 131072, 0};

} // namespace

simulated_fleet::simulated_fleet(fleet_plan plan) : m_plan(std::move(plan)), m_random(m_plan.seed) {
    actual_run = [](const work::job& job, const work::task_id& task) {
        const auto& step = job.steps.at(task.step);
        return cell::simulated_executor::simulated_task{step.task_resources, step.estimate, false};
    };
    add_executors();
    m_current.resize(entries());
    for (int slot = 0; slot < entries(); slot++) {
        start_entry(slot);
    }
}

simulated_fleet::~simulated_fleet() = default;

void simulated_fleet::add_executors() {
    for (int domain = 0; domain < domains(); domain++) {
        for (int i = 0; i < m_plan.executors[domain]; i++) {
            const int number = executors();
            work::executor_info info;
            info.id = "x" + std::to_string(number);
            info.address = {"10.0.1." + std::to_string(number + 1), 8000};
            info.failure_domain = domain_name(domain);
            info.upstream = "u";
            info.capacity = executor_capacity;
            const double rate = 0.98 + 0.02 * static_cast<double>(m_random() % 100) / 100;
            m_executors.push_back(std::make_unique<cell::simulated_executor>(info, rate));
            m_executor_domains.push_back(domain);
            m_crashes_seen.push_back(0);
        }
    }
}

void simulated_fleet::start_entry(int slot) {
    m_processes.push_back(std::make_unique<simulated_entry>(*this, slot, m_next_incarnation++));
    m_current[slot] = m_processes.back().get();
}

int simulated_fleet::live_entries() const {
    return static_cast<int>(std::count_if(m_current.begin(), m_current.end(),
                                          [](const auto* it) { return it->is_alive(); }));
}

void simulated_fleet::end_entry(int slot, bool with_power) {
    auto& it = entry(slot);
    if (!it.is_alive()) {
        return;
    }
    note((with_power ? "kill " : "power lost at ") + it.name());
    it.end(with_power);
    m_callers.on_entry_ended(it);
}

void simulated_fleet::restart_entry(int slot) {
    if (!entry(slot).is_alive()) {
        note("start " + entry(slot).name());
        start_entry(slot);
    }
}

int simulated_fleet::dispatcher_of(int domain) {
    for (int slot = 0; slot < entries(); slot++) {
        if (domain_of(slot) == domain && entry(slot).is_alive() &&
            entry(slot).held_executors() > 0) {
            return slot;
        }
    }
    return -1;
}

std::set<int> simulated_fleet::domains_running(const std::string& job) const {
    std::set<int> domains;
    for (int i = 0; i < static_cast<int>(m_executors.size()); i++) {
        for (const auto& [task, run] : m_executors[i]->running()) {
            if (task.job == job) {
                domains.insert(m_executor_domains[i]);
            }
        }
    }
    return domains;
}

void simulated_fleet::heal() {
    note("all faults end");
    m_network.heal();
    m_orders.clear();
    for (auto* it : m_current) {
        it->max_timer_lateness = milliseconds(0);
    }
    for (const auto& it : m_executors) {
        it->slowdown = 1;
        it->is_stalled = false;
    }
}

void simulated_fleet::run_for(milliseconds time) {
    run_until([] { return false; }, time);
}

bool simulated_fleet::run_until(const std::function<bool()>& condition, milliseconds limit) {
    const auto end = m_time.now() + limit;
    while (!condition()) {
        const auto work = m_time.take_next(end);
        if (!work) {
            return false;
        }
        advance_executors();
        work();
        check();
        call_back_on_ends();
    }
    return true;
}

void simulated_fleet::advance_executors() {
    if (m_advanced_to == m_time.now()) {
        return;
    }
    m_advanced_to = m_time.now();
    for (int i = 0; i < executors(); i++) {
        auto& it = *m_executors[i];
        const auto seen = m_crashes_seen[i];
        it.advance(m_advanced_to);
        m_budget.count_crashes(it, m_crashes_seen[i]);
        if (m_crashes_seen[i] != seen) {
            note("a task of " + it.crashed_by().back().job + " crashes " + it.info().id);
            break_connections(i);
        }
    }
}

void simulated_fleet::note_started(const work::task_id& task) {
    m_has_started = true;
    if (m_budget.note_start(task)) {
        violations.push_back("started too often after three crashes: " + task.job + " task " +
                             std::to_string(task.index));
        note("VIOLATION: " + violations.back());
    }
}

void simulated_fleet::await_end(int executor, std::function<void()> on_end,
                                std::function<void()> on_crash) {
    m_awaited_ends.push_back({executor, std::move(on_end), std::move(on_crash)});
}

void simulated_fleet::call_back_on_ends() {
    for (std::size_t i = 0; i < m_awaited_ends.size();) {
        if (m_executors[m_awaited_ends[i].executor]->unacknowledged() == 0) {
            i++;
            continue;
        }
        const auto work = std::move(m_awaited_ends[i].on_end);
        m_awaited_ends.erase(m_awaited_ends.begin() + static_cast<std::ptrdiff_t>(i));
        work();
    }
}

void simulated_fleet::crash_executor(int i) {
    note("crash of " + m_executors[i]->info().id);
    m_executors[i]->crash(m_time.now());
    break_connections(i);
}

void simulated_fleet::break_connections(int executor) {
    for (const auto& it : m_awaited_ends) {
        if (it.executor == executor) {
            it.on_crash();
        }
    }
    std::erase_if(m_awaited_ends, [=](const auto& it) { return it.executor == executor; });
}

std::map<work::task_id, std::set<std::string>> simulated_fleet::runs_by_task() const {
    std::map<work::task_id, std::set<std::string>> executors;
    for (const auto& it : m_executors) {
        for (const auto& [task, run] : it->running()) {
            executors[task].insert(it->info().id);
        }
    }
    return executors;
}

// Two runs at once begin with a start, so there is nothing to check without one.
void simulated_fleet::check() {
    if (!std::exchange(m_has_started, false) && m_overlapping.empty()) {
        return;
    }
    const auto now = m_time.now();
    const auto runs = runs_by_task();
    for (const auto& [task, executors] : runs) {
        if (executors.size() < 2 || !m_overlapping.try_emplace(task, now).second) {
            continue;
        }
        violations.push_back("two runs at once of " + task.job + " task " +
                             std::to_string(task.index) + ", on " + *executors.begin() + " and " +
                             *executors.rbegin());
        note("VIOLATION: " + violations.back());
    }
    std::erase_if(m_overlapping, [&](const auto& it) {
        const auto running = runs.find(it.first);
        longest_overlap =
            std::max(longest_overlap, std::chrono::duration_cast<milliseconds>(now - it.second));
        return running == runs.end() || running->second.size() < 2;
    });
}

std::string simulated_fleet::trace_text() const {
    std::string text;
    for (const auto& line : trace) {
        text += "\n" + line;
    }
    return text;
}

void simulated_fleet::note(const std::string& line) {
    if (is_tracing) {
        const auto ms =
            std::chrono::duration_cast<milliseconds>(m_time.now().time_since_epoch()).count();
        trace.push_back(std::to_string(ms - 3600000) + " " + line);
    }
}

} // namespace savorytrail::cells
