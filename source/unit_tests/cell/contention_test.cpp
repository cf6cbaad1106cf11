// Tests of queues that compete for capacity: large tasks of three priorities on executors of two
// sizes, with bursts of one queue at a time.
#include <gtest/gtest.h>

#include <cmath>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

struct offered_queue {
    const char* name;
    int priority;
    int tasks;
    double task_ms;
    double share; // of the offered work
};

constexpr std::array<offered_queue, 3> offered_queues = {
    {{"short", 0, 8, 60, 0.21}, {"middle", 1, 2, 200, 0.51}, {"long", 2, 4, 900, 0.28}}};

// Factors on the load of queues for a time.
struct phase {
    milliseconds lasts{0};
    double long_factor = 1;
    double short_factor = 1;
};

struct contention_case {
    const char* name;
    double load; // offered work / cores, without the bursts
    std::vector<phase> phases;
};

// Worth of the jobs of a queue: the share answered on time, and a fifth of the share answered late.
struct worth {
    int jobs = 0;
    double sum = 0;

    double mean() const { return jobs == 0 ? 1 : sum / jobs; }
};

class contention_load {
public:
    contention_load(const contention_case& by, std::uint64_t seed, const limits& with)
        : m_case(by), m_random(seed), m_cell(seed, capacities(), 1, with) {
        m_cell.actual_run = [this](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps[0];
            return simulated_executor::simulated_task{step.task_resources,
                                                      m_durations.at(job.id).at(task.index), false};
        };
    }

    std::array<worth, 3> run() {
        m_cell.at(0).assign(m_cell.executor_infos());
        m_cell.run_for(milliseconds(200));
        for (const auto& it : m_case.phases) {
            run_phase(it);
        }
        m_cell.run_for(milliseconds(4000));
        EXPECT_TRUE(m_cell.violations.empty());
        return m_worth;
    }

    std::map<std::string, int> reasons;

private:
    static constexpr int executors = 24;
    // Between a caller's request and the cell, by way of another entry.
    static constexpr milliseconds way_to_cell{20};

    static std::vector<work::resources> capacities() {
        std::vector<work::resources> list;
        list.reserve(executors);
        for (int i = 0; i < executors; i++) {
            list.push_back({i % 3 == 2 ? 96000 : 64000, 262144, 0});
        }
        return list;
    }

    void run_phase(const phase& it) {
        const auto end = m_cell.now() + it.lasts;
        std::array<double, 3> due{}; // time of each queue's next job, in ms from now
        std::array<double, 3> gap{};
        double cores = 0;
        for (const auto& capacity : capacities()) {
            cores += static_cast<double>(capacity.cpu_millis) / 1000;
        }
        for (std::size_t i = 0; i < gap.size(); i++) {
            const auto& queue = offered_queues.at(i);
            const double factor = i == 0 ? it.short_factor : i == 2 ? it.long_factor : 1;
            gap[i] =
                queue.tasks * 32 * queue.task_ms / (cores * m_case.load * queue.share * factor);
            due[i] = exponential(gap[i]);
        }
        while (m_cell.now() < end) {
            for (std::size_t i = 0; i < due.size(); i++) {
                for (due[i] -= 1; due[i] < 0; due[i] += exponential(gap[i])) {
                    submit(i);
                }
            }
            m_cell.run_for(milliseconds(1));
        }
    }

    double exponential(double mean) { return std::exponential_distribution<>(1 / mean)(m_random); }
    double normal(double mean, double deviation) {
        return std::normal_distribution<>(mean, deviation)(m_random);
    }

    void submit(std::size_t number) {
        const auto& queue = offered_queues.at(number);
        const auto cpu = std::clamp<std::int64_t>(std::lround(normal(32, 6.4)) * 1000, 8000, 48000);
        auto exact = make_job(std::string(queue.name) + std::to_string(m_next++), queue.tasks,
                              milliseconds(0), cpu, queue.name);
        exact.queue.priority = queue.priority;
        double longest = 0;
        for (int i = 0; i < queue.tasks; i++) {
            const double took = std::max(queue.task_ms * normal(1, 0.15), 5.0);
            longest = std::max(longest, took);
            m_durations[exact.id].push_back(milliseconds(std::lround(took)));
        }
        const double objective = 1.6 * longest + 60;
        auto job = exact;
        job.steps[0].estimate = milliseconds(
            std::max<std::int64_t>(std::lround(longest * std::exp(normal(0, 0.4))), 1));
        job.patience = milliseconds(std::lround(3 * objective));
        job.waited = way_to_cell;
        m_worth.at(number).jobs++;
        m_cell.at(0).submit(job, [this, number, objective,
                                  at = m_cell.now()](const work::outcome& it) {
            const auto took =
                std::chrono::duration<double, std::milli>(m_cell.now() - at + way_to_cell).count();
            reasons[std::string(offered_queues.at(number).name) + ": " + it.reason +
                    (it.reason.empty() && took > objective ? "late" : "")]++;
            if (it.end == work::job_end::succeeded && took <= 3 * objective) {
                m_worth.at(number).sum += took <= objective ? 1 : 0.2;
            }
        });
    }

    const contention_case& m_case;
    std::mt19937_64 m_random;
    simulated_cell m_cell;
    std::map<std::string, std::vector<milliseconds>> m_durations; // of tasks, by job
    std::array<worth, 3> m_worth;
    int m_next = 0;
};

struct result {
    std::array<worth, 3> queues;

    double total() const { return (queues[0].mean() + queues[1].mean() + queues[2].mean()) / 3; }
};

result play(const contention_case& it, bool with_parts) {
    limits by;
    by.reserves_capacity = with_parts;
    by.packs_by_value = with_parts;
    result sum;
    std::map<std::string, int> reasons;
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        contention_load load(it, seed, by);
        const auto of = load.run();
        for (std::size_t i = 0; i < of.size(); i++) {
            sum.queues.at(i).jobs += of.at(i).jobs;
            sum.queues.at(i).sum += of.at(i).sum;
        }
        for (const auto& [reason, count] : load.reasons) {
            reasons[reason] += count;
        }
    }
    const auto& of = sum.queues;
    std::printf("%-16s %-8s worth %.4f %.4f %.4f, mean %.4f, jobs %d %d %d\n", it.name,
                with_parts ? "with" : "without", of[0].mean(), of[1].mean(), of[2].mean(),
                sum.total(), of[0].jobs, of[1].jobs, of[2].jobs);
    if (std::getenv("REASONS") != nullptr) {
        for (const auto& [reason, count] : reasons) {
            std::printf("    %s %d\n", reason.c_str(), count);
        }
    }
    return sum;
}

class contention : public testing::TestWithParam<contention_case> {};

// Guards against a reservation that costs callers more than it gains. Both bounds are the stated
// target; the same load without reservation and packing is the reference.
TEST_P(contention, serves_urgent_jobs_no_worse) {
    const auto without = play(GetParam(), false);
    const auto with = play(GetParam(), true);
    EXPECT_GE(with.queues[0].mean(), with.queues[2].mean());
    EXPECT_GE(with.total(), without.total());
}

// Guards against effects where nothing competes: every queue is served exactly as without.
TEST(contention_calm, is_served_as_without_the_parts) {
    const contention_case calm{"calm", 0.49, {{milliseconds(12000)}}};
    const auto without = play(calm, false);
    const auto with = play(calm, true);
    for (std::size_t i = 0; i < with.queues.size(); i++) {
        EXPECT_EQ(with.queues.at(i).jobs, without.queues.at(i).jobs) << offered_queues.at(i).name;
        EXPECT_GE(with.queues.at(i).mean(), without.queues.at(i).mean())
            << offered_queues.at(i).name;
    }
}

const std::vector<phase> long_then_short = {{milliseconds(3000)},
                                            {milliseconds(6000), 2.4},
                                            {milliseconds(2000)},
                                            {milliseconds(4000), 1, 1.75},
                                            {milliseconds(1000)}};

INSTANTIATE_TEST_SUITE_P(policy, contention,
                         testing::Values(contention_case{"bursts_at_049", 0.49, long_then_short},
                                         contention_case{"bursts_at_056", 0.56, long_then_short},
                                         contention_case{"bursts_at_064", 0.64, long_then_short}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
