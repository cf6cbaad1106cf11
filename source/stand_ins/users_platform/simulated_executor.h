// A simulated executor, driven by the time passed to advance(), written from the platform's
// documentation: leases on its own clock, fences, run numbers, limited resources, and ended runs
// that are reported until acknowledged.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/cell/orders.h"

namespace savorytrail::cell {

class simulated_executor {
public:
    struct run {
        std::int64_t number = 0;
        std::int64_t ends_at = 0; // on the executor's clock
        bool fails = false;
        work::resources occupied;
        std::int64_t fence = 0; // of the start order
        common::time_point started;
        std::string payload;
        double delay_ms = 0; // by neighbours, less than a millisecond and not in `ends_at` yet
        std::optional<std::int64_t> crashes_at; // on the executor's clock
    };

    simulated_executor(work::executor_info info, double clock_rate)
        : m_info(std::move(info)), m_clock_rate(clock_rate), m_free(m_info.capacity) {}

    // Advances the state to `now`: ends the runs that are due, and those whose lease has expired.
    void advance(common::time_point now);

    struct simulated_task {
        work::resources occupied;
        common::milliseconds work{0};
        bool fails = false;
        // The executor crashes this long after the start, unless the run has ended before.
        std::optional<common::milliseconds> crashes_after = std::nullopt;
    };

    work::order_reply start(const start_order& order, const simulated_task& task);
    work::order_reply stop(const stop_order& order);
    std::pair<work::order_status, work::run_report> report(const report_request& request);

    // Ends the process, with all state lost; another one answers after `down_time`. If its start is
    // listed, it will be listed with its own.
    void crash(common::time_point now);
    // Whether connections are refused: no process answers, or the network cuts it off so.
    bool is_down() const { return m_now < m_down_until || is_cut_off; }
    // The tasks that crashed it, one for each crash by a task.
    const std::vector<work::task_id>& crashed_by() const { return m_crashed_by; }
    // What it offers from now on; runs that no longer fit go on.
    void set_capacity(const work::resources& it);
    // What it reports of itself; it serves on, and the next process does not drain.
    void set_draining(bool is_draining) { m_info.is_draining = is_draining; }
    void set_labels(std::vector<std::string> labels) { m_info.labels = std::move(labels); }

    const work::executor_info& info() const { return m_info; }
    const std::map<work::task_id, run>& running() const { return m_running; }
    std::size_t unacknowledged() const { return m_ended.size(); }
    work::run_report current_report() const;

    bool is_reachable = true;
    double slowdown = 1; // factor on the duration of runs that start
    bool is_stalled = false;
    bool is_cut_off = false; // the network breaks its connections and refuses new ones
    common::milliseconds down_time{0};
    bool rejects_overload = true; // rejects starts that exceed its capacity
    // How far the occupied resources ever exceeded the capacity just after a start.
    work::resources highest_excess{0, 0, 0};
    std::int64_t longest_lease_ms = 1000; // caps the leases that are asked for
    // The factor by which runs of a payload last longer while one of the other payload runs beside
    // them; several factors are multiplied. Empty: no run slows another.
    std::function<double(const std::string& payload, const std::string& beside)> interference;

private:
    std::int64_t clock_ms() const { return m_clock; }
    void end(const work::task_id& task, work::run_end kind);
    void renew(std::int64_t until);
    void slow_down(std::int64_t passed);
    bool crash_by_task(common::time_point now);

    work::executor_info m_info;
    const double m_clock_rate;
    common::time_point m_clock_origin;
    bool m_has_clock_origin = false;
    common::time_point m_now; // of the last advance()
    std::int64_t m_clock = 0;
    std::int64_t m_start_time_ms = 1;
    std::int64_t m_fence = 0;
    std::int64_t m_lease_until = 0;
    std::int64_t m_next_sequence = 1;
    work::resources m_free;
    std::map<work::task_id, run> m_running;
    // The highest run number that ended or was stopped.
    std::map<work::task_id, std::int64_t> m_last_ended_run;
    std::vector<work::ended_run> m_ended;
    common::time_point m_down_until;
    std::vector<work::task_id> m_crashed_by;
};

} // namespace savorytrail::cell
