// Compares the choice of executors by lost value with best fit: the share of the offered work that
// starts within its tolerated wait, and the time for one choice. Prints one line for each load.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <list>
#include <queue>
#include <random>

#include "core/cell/placement.h"

namespace {

using namespace savorytrail;
using common::milliseconds;
using common::time_point;

struct offered_queue {
    int tasks;
    double task_ms;
    double share; // of the offered work
};

// As docs/design/hard-load.md describes the load.
const std::vector<offered_queue> queues = {{8, 60, 0.21}, {2, 200, 0.51}, {4, 900, 0.28}};
constexpr double mean_cores = 32;

struct waiting_task {
    work::step step;
    time_point give_up_at;
};

struct measurement {
    double offered_work = 0;
    double started_work = 0;
    std::uint64_t choices = 0;
    std::chrono::nanoseconds choosing{0};
    double ns_per_choice() const {
        return double(choosing.count()) / double(std::max<std::uint64_t>(choices, 1));
    }
};

class packing_run {
public:
    packing_run(int executors, bool by_value, std::uint64_t seed)
        : m_by_value(by_value), m_random(seed) {
        for (int i = 0; i < executors; i++) {
            work::executor_info info;
            info.id = "e" + std::to_string(i);
            info.upstream = m_upstream;
            info.capacity = {i % 3 == 2 ? 96000 : 64000, 262144, 0};
            m_cores += double(info.capacity.cpu_millis) / 1000;
            auto record = std::make_unique<cell::executor_record>(info, m_limits, 1);
            record->state = cell::claim_state::held;
            record->clock.observe(1, m_now);
            m_executors.emplace(info.id, std::move(record));
        }
    }

    measurement run(double load, milliseconds time) {
        const auto end = m_now + time;
        std::vector<time_point> next(queues.size(), m_now);
        while (m_now < end) {
            m_now += milliseconds(1);
            m_values.refresh(m_executors, m_now);
            bool is_changed = end_runs();
            for (std::size_t i = 0; i < queues.size(); i++) {
                const auto& queue = queues[i];
                const double gap_ms =
                    queue.tasks * mean_cores * queue.task_ms / (m_cores * load * queue.share);
                for (; next[i] < m_now;
                     next[i] += std::chrono::microseconds(std::lround(
                         1000 * std::exponential_distribution<>(1 / gap_ms)(m_random)))) {
                    arrive(queue);
                    is_changed = true;
                }
            }
            if (is_changed)
                start_waiting();
        }
        return m_result;
    }

private:
    struct running_task {
        time_point ends_at;
        cell::executor_record* executor;
        work::resources occupied;
        bool operator<(const running_task& other) const { return other.ends_at < ends_at; }
    };

    void arrive(const offered_queue& queue) {
        work::step step;
        const double cores = std::clamp(
            std::normal_distribution<>(mean_cores, 0.2 * mean_cores)(m_random), 4.0, 48.0);
        step.task_resources = {std::llround(cores * 1000), 64, 0};
        step.estimate = milliseconds(std::lround(
            queue.task_ms * std::max(std::normal_distribution<>(1, 0.15)(m_random), 0.1)));
        m_values.add(step.task_resources.cpu_millis, queue.tasks);
        for (int i = 0; i < queue.tasks; i++)
            m_waiting.push_back(
                {step, m_now + milliseconds(std::lround(0.6 * queue.task_ms + 60))});
        m_result.offered_work += queue.tasks * work_of(step);
    }

    static double work_of(const work::step& step) {
        return double(step.task_resources.cpu_millis) * double(step.estimate.count());
    }

    bool end_runs() {
        bool has_ended = false;
        for (; !m_running.empty() && m_running.top().ends_at <= m_now; m_running.pop()) {
            m_running.top().executor->used =
                m_running.top().executor->used - m_running.top().occupied;
            has_ended = true;
        }
        return has_ended;
    }

    void start_waiting() {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            cell::placement_request request;
            request.step = &it->step;
            request.upstream = &m_upstream;
            request.avoid = &m_avoid;
            request.values = m_by_value ? &m_values : nullptr;
            const auto begin = std::chrono::steady_clock::now();
            const auto* chosen = cell::place(request, m_executors, m_now).executor;
            m_result.choosing += std::chrono::steady_clock::now() - begin;
            m_result.choices++;
            if (chosen != nullptr) {
                auto& record = *m_executors.at(*chosen);
                record.used += it->step.task_resources;
                m_running.push({m_now + it->step.estimate, &record, it->step.task_resources});
                m_result.started_work += work_of(it->step);
            }
            it = chosen != nullptr || it->give_up_at <= m_now ? m_waiting.erase(it) : std::next(it);
        }
    }

    const bool m_by_value;
    const std::string m_upstream = "u";
    const std::string m_avoid;
    const cell::limits m_limits;
    std::mt19937_64 m_random;
    time_point m_now = time_point(std::chrono::hours(1));
    double m_cores = 0;
    std::map<std::string, std::unique_ptr<cell::executor_record>> m_executors;
    cell::packing m_values;
    std::list<waiting_task> m_waiting;
    std::priority_queue<running_task> m_running;
    measurement m_result;
};

measurement sum_over_seeds(int executors, bool by_value, double load, milliseconds time,
                           int seeds) {
    measurement sum;
    for (int seed = 1; seed <= seeds; seed++) {
        const auto it = packing_run(executors, by_value, seed).run(load, time);
        sum.offered_work += it.offered_work;
        sum.started_work += it.started_work;
        sum.choices += it.choices;
        sum.choosing += it.choosing;
    }
    return sum;
}

} // namespace

int main() {
    for (const int executors : {24, 350, 1000}) {
        for (const double load : {0.7, 0.8, 0.9, 1.0}) {
            const int seeds = executors == 24 ? 8 : 1;
            const auto time = milliseconds(executors == 24 ? 20000 : 3000);
            const auto fit = sum_over_seeds(executors, false, load, time, seeds);
            const auto value = sum_over_seeds(executors, true, load, time, seeds);
            std::printf("executors %4d load %.1f started: best fit %.4f, by value %.4f; "
                        "ns per choice: %.0f, %.0f\n",
                        executors, load, fit.started_work / fit.offered_work,
                        value.started_work / value.offered_work, fit.ns_per_choice(),
                        value.ns_per_choice());
        }
    }
}
