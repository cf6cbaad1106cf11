// An executor under simulated time, written from what the platform's pages promise: leases by its
// own clock, fences, run numbers, room, ends that are listed until acknowledged.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/cell/orders.h"

namespace savorytrail::cell {

class simulated_executor {
public:
    struct run {
        std::int64_t number = 0;
        std::int64_t ends_at = 0; // on its clock
        bool fails = false;
        work::resources occupied;
    };

    simulated_executor(work::executor_info info, double clock_rate)
        : m_info(std::move(info)), m_clock_rate(clock_rate), m_free(m_info.capacity) {}

    // Brings its state to `now`: runs end, or lapse with the lease.
    void advance(common::time_point now);

    struct simulated_task {
        work::resources occupied;
        common::milliseconds work{0};
        bool fails = false;
    };

    work::order_reply start(const start_order& order, const simulated_task& task);
    work::order_reply stop(const stop_order& order);
    std::pair<work::order_status, work::run_report> report(const report_request& request);

    // It starts again at once, and knows nothing of before.
    void crash(common::time_point now);

    const work::executor_info& info() const { return m_info; }
    const std::map<work::task_id, run>& running() const { return m_running; }
    std::size_t unacknowledged() const { return m_ended.size(); }
    work::run_report peek() const;

    bool is_reachable = true;
    double slowdown = 1; // its runs take so many times as long
    bool is_stalled = false;
    std::int64_t longest_lease_ms = 1000; // whatever is asked for

private:
    std::int64_t clock_ms() const { return m_clock; }
    void end(const work::task_id& task, work::run_end kind);
    void renew(std::int64_t until);

    const work::executor_info m_info;
    const double m_clock_rate;
    common::time_point m_clock_origin;
    bool m_has_clock_origin = false;
    std::int64_t m_clock = 0;
    std::int64_t m_start_time_ms = 1;
    std::int64_t m_fence = 0;
    std::int64_t m_lease_until = 0;
    std::int64_t m_next_sequence = 1;
    work::resources m_free;
    std::map<work::task_id, run> m_running;
    std::map<work::task_id, std::int64_t>
        m_last_ended_run; // highest number that ended or was stopped
    std::vector<work::ended_run> m_ended;
};

} // namespace savorytrail::cell
