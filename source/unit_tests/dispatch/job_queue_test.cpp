// Tests of the orders of jobs and of the order of tasks within a job.
#include "core/dispatch/job_queue.h"

#include <gtest/gtest.h>

namespace savorytrail::dispatch {
namespace {

using common::milliseconds;

constexpr common::time_point begin{std::chrono::hours(1)};

job_descriptor make_job_descriptor(std::uint64_t sequence, milliseconds arrived,
                                   milliseconds deadline, std::size_t tasks) {
    job_descriptor it;
    it.id.sequence = sequence;
    it.arrived = begin + arrived;
    it.deadline = begin + deadline;
    it.expected.assign(tasks, milliseconds(0));
    return it;
}

std::vector<waiting_task> make_tasks(const std::vector<int>& times) {
    std::vector<waiting_task> tasks;
    for (std::uint32_t i = 0; i < times.size(); i++)
        tasks.push_back({i, milliseconds(times[i]), nullptr});
    return tasks;
}

// Three jobs: an early long one, then a short one, then one with the nearest deadline.
template <typename Order>
std::vector<std::uint64_t> order_of_jobs() {
    job_queue<Order> queue;
    queue.add(make_job_descriptor(1, milliseconds(0), milliseconds(9000), 1), make_tasks({900}), 4);
    queue.add(make_job_descriptor(2, milliseconds(100), milliseconds(8000), 1), make_tasks({50}),
              4);
    queue.add(make_job_descriptor(3, milliseconds(200), milliseconds(1000), 1), make_tasks({400}),
              4);
    std::vector<std::uint64_t> ids;
    while (!queue.is_empty())
        ids.push_back(queue.pop().id.sequence);
    return ids;
}

TEST(job_order, ranks_jobs) {
    using ids = std::vector<std::uint64_t>;
    EXPECT_EQ(order_of_jobs<arrival_order>(), (ids{1, 2, 3}));
    EXPECT_EQ(order_of_jobs<deadline_order>(), (ids{3, 2, 1}));
    EXPECT_EQ(order_of_jobs<least_work_order>(), (ids{2, 3, 1}));
    EXPECT_EQ(order_of_jobs<aged_least_work_order>(), (ids{2, 3, 1}));
}

TEST(job_order, ageing_lets_a_long_job_overtake_later_short_ones) {
    job_queue<aged_least_work_order> queue;
    queue.add(make_job_descriptor(1, milliseconds(0), milliseconds(90000), 1), make_tasks({1000}),
              4);
    queue.add(make_job_descriptor(2, milliseconds(951), milliseconds(90000), 1), make_tasks({50}),
              4);
    EXPECT_EQ(queue.pop().id.sequence, 1U);
}

struct task_order_case {
    std::vector<int> times;
    std::size_t slots;
    std::vector<std::uint32_t> expected;
};

class task_order : public testing::TestWithParam<task_order_case> {};

TEST_P(task_order, keeps_the_shortest_for_the_end) {
    const auto& it = GetParam();
    job_queue<arrival_order> queue;
    queue.add(make_job_descriptor(1, milliseconds(0), milliseconds(1), it.times.size()),
              make_tasks(it.times), it.slots);
    std::vector<std::uint32_t> tasks;
    while (!queue.is_empty())
        tasks.push_back(queue.pop().task.task);
    EXPECT_EQ(std::set(tasks.begin(), tasks.end()).size(), it.times.size());
    EXPECT_EQ(std::vector(tasks.end() - std::ptrdiff_t(it.expected.size()), tasks.end()),
              it.expected);
}

INSTANTIATE_TEST_SUITE_P(table, task_order,
                         testing::Values(task_order_case{{10, 30, 20}, 4, {1, 2, 0}},
                                         task_order_case{{10, 30, 20, 90, 80}, 2, {2, 0}},
                                         task_order_case{{10, 10, 10, 10}, 2, {}},
                                         task_order_case{{5}, 1, {0}}));

TEST(job_queue, work_ahead_counts_jobs_served_before) {
    job_queue<deadline_order> queue;
    queue.add(make_job_descriptor(1, milliseconds(0), milliseconds(1000), 2), make_tasks({30, 40}),
              4);
    queue.add(make_job_descriptor(2, milliseconds(0), milliseconds(9000), 1), make_tasks({500}), 4);
    const auto job = make_job_descriptor(3, milliseconds(0), milliseconds(5000), 1);
    EXPECT_EQ(queue.work_ahead_of(job, milliseconds(10)), milliseconds(70));
    EXPECT_EQ(queue.work(), milliseconds(570));
}

TEST(job_queue, a_cancelled_job_leaves_nothing_behind) {
    job_queue<arrival_order> queue;
    queue.add(make_job_descriptor(1, milliseconds(0), milliseconds(1), 2), make_tasks({30, 40}), 4);
    const auto started = queue.pop();
    queue.cancel(started.id);
    EXPECT_TRUE(queue.is_empty());
    EXPECT_EQ(queue.queued(), 0U);
    EXPECT_EQ(queue.work(), milliseconds(0));
    queue.end(started.id, &started.task);
    EXPECT_TRUE(queue.is_empty());
    EXPECT_EQ(queue.find(started.id), nullptr);
}

} // namespace
} // namespace savorytrail::dispatch
