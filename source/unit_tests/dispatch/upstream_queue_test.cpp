// Tests of the queue as a whole: starts, retries, and its invariants under random calls.
#include "core/dispatch/upstream_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace savorytrail::dispatch {
namespace {

using common::milliseconds;

std::vector<executor_share> shares(int executors, std::uint32_t slots) {
    std::vector<executor_share> all;
    for (int i = 0; i < executors; i++) {
        manifest::executor it;
        it.name = "e" + std::to_string(i);
        all.push_back({it, slots});
    }
    return all;
}

job_descriptor make_job_descriptor(std::uint64_t sequence, std::size_t tasks,
                                   common::time_point now) {
    job_descriptor it;
    it.id.sequence = sequence;
    it.upstream = "u";
    it.arrived = now;
    it.deadline = now + std::chrono::hours(1);
    it.expected.assign(tasks, milliseconds(100));
    return it;
}

class queue_policy : public testing::TestWithParam<const char*> {
protected:
    std::unique_ptr<upstream_queue> m_queue = make_upstream_queue("u", GetParam(), {});
    std::vector<task_start> m_starts;
    common::time_point m_now{std::chrono::hours(1)};
};

TEST_P(queue_policy, refuses_without_executors_and_admits_when_peers_can_lend) {
    EXPECT_EQ(m_queue->submit(make_job_descriptor(1, 1, m_now), m_now, m_starts).why,
              job::reason::no_executors);
    m_queue->set_borrowable(4);
    EXPECT_TRUE(m_queue->submit(make_job_descriptor(2, 1, m_now), m_now, m_starts).is_accepted);
    EXPECT_TRUE(m_starts.empty());
    m_queue->add_borrowed(shares(1, 1), m_now, m_starts);
    EXPECT_EQ(m_starts.size(), 1U);
}

// Load pattern: right after a large job that borrowed all slots of this entry, a small one arrives.
TEST_P(queue_policy, admits_a_job_while_all_slots_are_lent) {
    m_queue->set_executors(shares(2, 2), m_now, m_starts);
    const auto lent = m_queue->lend(4);
    m_queue->set_borrowable(0);
    EXPECT_TRUE(m_queue->submit(make_job_descriptor(1, 1, m_now), m_now, m_starts).is_accepted);
    EXPECT_TRUE(m_starts.empty());
    m_queue->take_back(lent, m_now, m_starts);
    EXPECT_EQ(m_starts.size(), 1U);
}

TEST_P(queue_policy, a_cancelled_job_starts_nothing_more) {
    m_queue->set_executors(shares(1, 1), m_now, m_starts);
    const auto job = make_job_descriptor(1, 3, m_now);
    m_queue->submit(job, m_now, m_starts);
    m_queue->cancel(job.id);
    m_queue->complete(m_starts.at(0), completion::not_started, {}, m_now, m_starts);
    EXPECT_EQ(m_starts.size(), 1U);
    EXPECT_EQ(m_queue->status().queued_tasks, 0U);
}

TEST_P(queue_policy, gives_a_job_up_when_the_retry_budget_is_spent) {
    m_queue->set_executors(shares(1, 1), m_now, m_starts);
    m_queue->submit(make_job_descriptor(1, 1, m_now), m_now, m_starts);
    std::size_t i = 0;
    std::optional<admission_result> given_up;
    for (; i < m_starts.size() && !given_up; i++) {
        ASSERT_LT(i, 1000U);
        const auto it = m_starts[i];
        given_up = m_queue->complete(it, completion::not_started, {}, m_now, m_starts);
    }
    ASSERT_TRUE(given_up);
    EXPECT_EQ(given_up->why, job::reason::retries_exhausted);
    EXPECT_TRUE(given_up->retry_after);
    EXPECT_EQ(m_starts.size(), i);
    EXPECT_EQ(m_queue->status().running_tasks, 0U);
}

INSTANTIATE_TEST_SUITE_P(table, queue_policy,
                         testing::Values("standard", "fifo", "random", "deadline", "no_ejection"));

TEST(upstream_queue, a_retry_goes_to_another_executor) {
    const auto queue = make_upstream_queue("u", "standard", {});
    const common::time_point now{std::chrono::hours(1)};
    std::vector<task_start> starts;
    queue->set_executors(shares(3, 4), now, starts);
    queue->submit(make_job_descriptor(1, 1, now), now, starts);
    queue->complete(starts.at(0), completion::not_started, {}, now, starts);
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_NE(starts[1].executor->name, starts[0].executor->name);
}

// Invariants under any sequence of calls: no executor runs more tasks than it has slots, a task
// starts again only after not_started, and once there are no more faults every task of every job
// that was not closed starts.
RC_GTEST_PROP(upstream_queue, keeps_its_rules, ()) {
    const auto queue = make_upstream_queue("u", "standard", {50});
    common::time_point now{std::chrono::hours(1)};
    std::vector<task_start> starts;
    std::vector<task_start> running;
    std::map<std::string, std::uint32_t> load;
    std::set<std::pair<std::uint64_t, std::uint32_t>> started;
    std::set<std::uint64_t> closed;
    std::map<std::uint64_t, std::size_t> admitted;
    queue->set_executors(shares(3, 2), now, starts);
    const auto take_starts = [&] {
        for (const auto& it : starts) {
            RC_ASSERT(started.insert({it.id.sequence, it.task}).second);
            RC_ASSERT(!closed.contains(it.id.sequence));
            RC_ASSERT(++load[it.executor->name] <= 2U);
            running.push_back(it);
        }
        starts.clear();
    };
    const auto complete = [&](std::size_t index, completion outcome) {
        const auto it = running[index];
        running.erase(running.begin() + std::ptrdiff_t(index));
        load[it.executor->name]--;
        if (outcome == completion::not_started)
            started.erase({it.id.sequence, it.task});
        if (queue->complete(it, outcome, milliseconds(50), now, starts))
            closed.insert(it.id.sequence);
        take_starts();
    };
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 120);
    for (std::uint64_t i = 0; i < steps; i++) {
        now += milliseconds(*rc::gen::inRange(0, 500));
        const auto choice = *rc::gen::inRange(0, 10);
        if (choice < 3) {
            const auto tasks = *rc::gen::inRange<std::size_t>(1, 12);
            if (queue->submit(make_job_descriptor(i, tasks, now), now, starts).is_accepted)
                admitted[i] = tasks;
        } else if (choice < 8 && !running.empty()) {
            const auto outcome = *rc::gen::elementOf(
                std::vector{completion::answered, completion::answered, completion::failed,
                            completion::unknown, completion::not_started, completion::dropped});
            complete(*rc::gen::inRange<std::size_t>(0, running.size()), outcome);
        } else if (choice == 8 && !admitted.empty()) {
            const auto id = *rc::gen::elementOf(admitted);
            closed.insert(id.first);
            submission::submission_id cancelled;
            cancelled.sequence = id.first;
            queue->cancel(cancelled);
        } else {
            queue->tick(now, starts);
        }
        take_starts();
    }
    for (int i = 0; i < 100000 && queue->status().queued_tasks + running.size() > 0; i++) {
        now += milliseconds(100);
        if (!running.empty())
            complete(0, completion::answered);
        queue->tick(now, starts);
        take_starts();
    }
    for (const auto& [id, tasks] : admitted) {
        for (std::uint32_t task = 0; task < tasks && !closed.contains(id); task++)
            RC_ASSERT(started.contains({id, task}));
    }
    RC_ASSERT(queue->status().running_tasks == 0U);
}

} // namespace
} // namespace savorytrail::dispatch
