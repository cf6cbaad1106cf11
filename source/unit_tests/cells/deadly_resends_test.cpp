// Incident 34 (docs/incidents/deadly-tasks.md): a job with a task that crashes executors, whose
// dispatchers are killed and whose caller sends it again.
#include <gtest/gtest.h>

#include <map>
#include <utility>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr milliseconds settle_time{2000};
constexpr milliseconds down_time{3000};
constexpr milliseconds restart_delay{500};
constexpr milliseconds play_time{40000};
const work::task_id deadly_task{"deadly", 0, 0, 0};

class deadly_fleet {
public:
    explicit deadly_fleet(std::uint64_t seed) : fleet({seed, 2, {8, 8, 8}}) {
        fleet.is_tracing = true;
        for (int i = 0; i < fleet.executors(); i++) {
            fleet.executor(i).down_time = down_time;
        }
        fleet.actual_run = [](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps.at(task.step);
            cell::simulated_executor::simulated_task it{step.task_resources, step.estimate, false};
            if (task == deadly_task) {
                it.crashes_after = milliseconds(10);
            }
            return it;
        };
        fleet.run_for(settle_time);
    }

    int crashes() const { return fleet.budget().crashes_by(deadly_task); }

    void submit() {
        auto job = cell::make_job("deadly", 3, milliseconds(100));
        job.queue.stretch = 20;
        fleet.callers().submit(job);
    }

    // Runs until the task has crashed another executor, or the time is over.
    bool run_to_next_crash() {
        const int before = crashes();
        return fleet.run_until(
            [&] { return crashes() > before; },
            std::chrono::duration_cast<milliseconds>(m_end - fleet.time().now()));
    }

    // Kills the dispatcher whose executor has crashed last.
    void kill_dispatcher() {
        for (int i = 0; i < fleet.executors(); i++) {
            const auto crashes_there = fleet.executor(i).crashed_by().size();
            const bool has_crashed =
                crashes_there > std::exchange(m_crashes_seen[i], crashes_there);
            const int slot = fleet.dispatcher_of(fleet.executor_domain(i));
            if (has_crashed && slot >= 0) {
                fleet.end_entry(slot, true);
                fleet.time().after(restart_delay, [this, slot] { fleet.restart_entry(slot); });
            }
        }
    }

    simulated_fleet fleet;

private:
    std::map<int, std::size_t> m_crashes_seen; // by executor
    const common::time_point m_end = fleet.time().now() + play_time;
};

class deadly_resends : public testing::TestWithParam<std::uint64_t> {};

// Guards against a count of crashes that ends with each attempt of the caller.
TEST_P(deadly_resends, are_counted_over_all_attempts) {
    deadly_fleet it(GetParam());
    it.submit();
    it.fleet.run_for(play_time);
    EXPECT_TRUE(it.fleet.violations.empty())
        << it.fleet.violations.front() << it.fleet.trace_text();
    EXPECT_TRUE(it.fleet.callers().have_all_ended()) << it.fleet.trace_text();
}

// Guards against a count of crashes that dies with the dispatcher: each that runs the job is killed
// some heartbeats after a crash.
TEST_P(deadly_resends, are_counted_when_dispatchers_are_killed) {
    deadly_fleet it(GetParam());
    it.submit();
    while (it.run_to_next_crash()) {
        it.fleet.run_for(milliseconds(300));
        it.kill_dispatcher();
    }
    EXPECT_TRUE(it.fleet.violations.empty())
        << it.fleet.violations.front() << it.fleet.trace_text();
    EXPECT_TRUE(it.fleet.callers().have_all_ended()) << it.fleet.trace_text();
}

INSTANTIATE_TEST_SUITE_P(seeds, deadly_resends, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace savorytrail::cells
