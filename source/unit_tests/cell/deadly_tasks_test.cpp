// Incident 34 (docs/incidents/deadly-tasks.md): tasks that crash the executors that start them, in
// one cell.
#include <gtest/gtest.h>

#include <algorithm>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr work::resources capacity{64000, 131072, 0};
constexpr milliseconds settle_time{300};
constexpr milliseconds down_time{3000};
constexpr milliseconds time_to_crash{10};

// A cell in which the first task of each job whose id begins with "deadly" crashes its executor.
class deadly_cell {
public:
    deadly_cell(std::uint64_t seed, int executors)
        : cell(seed, executors, capacity, 1), m_executors(executors) {
        cell.is_tracing = true;
        for (int i = 0; i < executors; i++) {
            cell.executor(i).down_time = down_time;
        }
        cell.actual_run = [this](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps.at(task.step);
            simulated_executor::simulated_task it{step.task_resources, step.estimate, false};
            if (job.id.starts_with("deadly") && task.index == 0) {
                it.crashes_after = crash_delay;
            }
            return it;
        };
        cell.at(0).assign(cell.executor_infos());
        cell.run_for(settle_time);
    }

    void submit(const work::job& job) {
        cell.at(0).submit(job, [this, id = job.id](const work::outcome& it) { ends[id] = it; });
    }

    int crashes() {
        int sum = 0;
        for (int i = 0; i < m_executors; i++) {
            sum += static_cast<int>(cell.executor(i).crashed_by().size());
        }
        return sum;
    }

    simulated_cell cell;
    milliseconds crash_delay = time_to_crash;
    std::map<std::string, work::outcome> ends;

private:
    const int m_executors;
};

work::job patient_job(const std::string& id, int tasks, milliseconds estimate) {
    auto job = make_job(id, tasks, estimate);
    job.patience = milliseconds(30000);
    job.queue.stretch = 200; // an answer in seconds is still on time
    return job;
}

class deadly_tasks : public testing::TestWithParam<std::uint64_t> {};

// Guards against a task that crashes executor after executor while its caller waits.
TEST_P(deadly_tasks, fails_the_job_after_two_crashes) {
    deadly_cell it(GetParam(), 12);
    it.submit(patient_job("deadly", 3, milliseconds(100)));
    it.cell.run_for(milliseconds(15000));
    EXPECT_TRUE(it.cell.violations.empty()) << it.cell.violations.front() << it.cell.trace_text();
    EXPECT_EQ(it.crashes(), 2) << it.cell.trace_text();
    ASSERT_TRUE(it.ends.contains("deadly")) << it.cell.trace_text();
    EXPECT_EQ(it.ends["deadly"].end, work::job_end::failed);
}

// Guards against a task that is not suspected since it crashes executors long after its start.
TEST_P(deadly_tasks, fail_after_three_crashes_that_come_late) {
    deadly_cell it(GetParam(), 12);
    it.crash_delay = milliseconds(300);
    it.submit(patient_job("deadly", 3, milliseconds(600)));
    it.cell.run_for(milliseconds(20000));
    EXPECT_TRUE(it.cell.violations.empty()) << it.cell.violations.front() << it.cell.trace_text();
    EXPECT_EQ(it.crashes(), 3) << it.cell.trace_text();
    ASSERT_TRUE(it.ends.contains("deadly")) << it.cell.trace_text();
    EXPECT_EQ(it.ends["deadly"].end, work::job_end::failed);
}

// Guards against innocent tasks that fail, or are lost again and again, as they ran beside a task
// that crashes executors.
TEST_P(deadly_tasks, cost_others_one_run_at_most) {
    deadly_cell it(GetParam(), 12);
    for (int i = 0; i < 4; i++) {
        it.submit(patient_job("innocent-" + std::to_string(i), 6, milliseconds(300)));
    }
    it.cell.run_for(milliseconds(20));
    it.submit(patient_job("deadly", 3, milliseconds(100)));
    it.cell.run_for(milliseconds(15000));
    EXPECT_EQ(it.crashes(), 2) << it.cell.trace_text();
    EXPECT_EQ(it.ends["deadly"].end, work::job_end::failed);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(it.ends["innocent-" + std::to_string(i)].end, work::job_end::succeeded)
            << it.cell.trace_text();
    }
}

// Guards against work that is started beside a suspect, and lost with it.
TEST_P(deadly_tasks, run_alone_once_suspected) {
    deadly_cell it(GetParam(), 4);
    it.submit(patient_job("deadly", 1, milliseconds(100)));
    for (int i = 0; i < 400 && it.crashes() < 2; i++) {
        it.submit(patient_job("innocent-" + std::to_string(i), 1, milliseconds(8)));
        it.cell.run_for(milliseconds(5));
    }
    it.cell.run_for(milliseconds(100));
    ASSERT_EQ(it.crashes(), 2) << it.cell.trace_text();
    const auto last_crash =
        std::find_if(it.cell.trace.rbegin(), it.cell.trace.rend(), [](const std::string& line) {
            return line.find("executor_crashed") != std::string::npos;
        });
    ASSERT_NE(last_crash, it.cell.trace.rend());
    EXPECT_NE(last_crash->find("1 runs: deadly"), std::string::npos) << *last_crash;
}

// Guards against a task that is blamed for crashes of executors by themselves.
TEST_P(deadly_tasks, are_told_from_executors_that_crash_by_themselves) {
    deadly_cell it(GetParam(), 12);
    it.submit(patient_job("innocent", 4, milliseconds(400)));
    it.cell.run_for(milliseconds(50));
    for (int i = 0; i < 6; i++) {
        it.cell.executor(i).crash(it.cell.now());
    }
    it.cell.run_for(milliseconds(15000));
    ASSERT_TRUE(it.ends.contains("innocent")) << it.cell.trace_text();
    EXPECT_EQ(it.ends["innocent"].end, work::job_end::succeeded);
}

// Guards against crashes of many executors at once by many suspects that start together.
TEST_P(deadly_tasks, take_few_executors_at_a_time_once_suspected) {
    deadly_cell it(GetParam(), 12);
    constexpr int jobs = 4;
    for (int i = 0; i < jobs; i++) {
        it.submit(patient_job("deadly-" + std::to_string(i), 1, milliseconds(100)));
        it.cell.run_for(milliseconds(30));
    }
    it.cell.run_for(milliseconds(2500));
    EXPECT_LE(it.crashes(), jobs + 1) << it.cell.trace_text(); // each once, and one as a suspect
    it.cell.run_for(milliseconds(25000));
    EXPECT_EQ(it.crashes(), 2 * jobs) << it.cell.trace_text();
    for (int i = 0; i < jobs; i++) {
        EXPECT_EQ(it.ends["deadly-" + std::to_string(i)].end, work::job_end::failed);
    }
}

// Guards against a caller who waits for a suspect that cannot be started in time.
TEST_P(deadly_tasks, are_given_up_at_once_when_no_executor_can_be_put_at_risk) {
    deadly_cell it(GetParam(), 12);
    it.submit(patient_job("deadly-0", 1, milliseconds(100)));
    auto impatient = make_job("deadly-1", 1, milliseconds(100));
    impatient.queue.stretch = 20;
    it.cell.run_for(milliseconds(1300));
    it.submit(impatient);
    it.cell.run_for(milliseconds(200));
    ASSERT_EQ(it.crashes(), 3) << it.cell.trace_text();
    ASSERT_TRUE(it.ends.contains("deadly-1")) << it.cell.trace_text();
    EXPECT_EQ(it.ends["deadly-1"].end, work::job_end::given_up);
}

// Guards against a silent executor that is taken for crashed.
TEST_P(deadly_tasks, are_not_suspected_when_an_executor_is_only_silent) {
    deadly_cell it(GetParam(), 4);
    it.submit(patient_job("innocent", 4, milliseconds(400)));
    it.cell.run_for(milliseconds(50));
    it.cell.executor(0).is_reachable = false;
    it.cell.executor(1).is_reachable = false;
    it.cell.run_for(milliseconds(3000));
    EXPECT_TRUE(it.cell.at(0).jobs().crashes().is_empty()) << it.cell.trace_text();
}

// Guards against tasks that wait longer than the lease of their lost runs. A run that its executor
// has confirmed can't be on the process that comes after, whichever lease that one may grant.
TEST_P(deadly_tasks, leave_others_waiting_no_longer_than_the_lease) {
    deadly_cell it(GetParam(), 4);
    constexpr milliseconds work{400};
    it.submit(patient_job("innocent", 8, work)); // on all executors
    it.cell.run_for(milliseconds(100));
    it.cell.executor(0).crash(it.cell.now());
    it.cell.run_for(limits().lease + milliseconds(100) + work);
    ASSERT_TRUE(it.ends.contains("innocent")) << it.cell.trace_text();
    EXPECT_EQ(it.ends["innocent"].end, work::job_end::succeeded);
}

// Guards against a task that is blamed for a cut by a network that refuses connections, and against
// another run of it while the first goes on behind the cut.
TEST_P(deadly_tasks, are_cleared_when_the_executor_was_only_cut_off) {
    deadly_cell it(GetParam(), 4);
    it.submit(patient_job("innocent", 8, milliseconds(600)));
    it.cell.run_for(milliseconds(50));
    it.cell.executor(0).is_cut_off = true;
    it.cell.run_for(milliseconds(300));
    EXPECT_FALSE(it.cell.at(0).jobs().crashes().is_empty()) << it.cell.trace_text();
    it.cell.executor(0).is_cut_off = false;
    it.cell.run_for(milliseconds(1000));
    EXPECT_TRUE(it.cell.at(0).jobs().crashes().is_empty()) << it.cell.trace_text();
    EXPECT_TRUE(it.cell.violations.empty()) << it.cell.violations.front();
}

// Guards against an executor that leaves as planned and is taken for crashed.
TEST_P(deadly_tasks, are_not_suspected_when_a_draining_executor_leaves) {
    deadly_cell it(GetParam(), 4);
    it.submit(patient_job("innocent", 8, milliseconds(400)));
    it.cell.run_for(milliseconds(50));
    auto list = it.cell.executor_infos();
    list[0].is_draining = true;
    it.cell.at(0).assign(list);
    it.cell.executor(0).crash(it.cell.now());
    it.cell.run_for(milliseconds(2000));
    EXPECT_TRUE(it.cell.at(0).jobs().crashes().is_empty()) << it.cell.trace_text();
}

INSTANTIATE_TEST_SUITE_P(seeds, deadly_tasks, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace savorytrail::cell
