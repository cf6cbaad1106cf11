// Tests of executors that start again under their id as another kind of machine.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

constexpr work::resources small_vm{64000, 131072, 0};
constexpr milliseconds step_time{10};

struct restart_case {
    const char* name;
    milliseconds down_time;
    milliseconds listed_after; // the restart
};

// The first of two executors restarts as the other kind.
class a_restarted_executor : public testing::TestWithParam<restart_case> {
protected:
    a_restarted_executor() {
        m_cell.executor(0).set_labels({"large"});
        m_cell.executor(1).set_labels({"small"});
        m_cell.executor(0).down_time = GetParam().down_time;
        list_executors();
        m_cell.run_for(milliseconds(100));
    }

    // Gives the holder the list as the platform has it now.
    void list_executors() {
        auto list = m_cell.executor_infos();
        for (int i = 0; i < 2; i++) {
            list[i].start_time_ms = m_cell.executor(i).current_report().start_time_ms;
        }
        m_cell.at(0).assign(list);
    }

    void submit(const std::string& label) {
        auto job = make_job(label + std::to_string(m_jobs++), 1, milliseconds(50));
        job.steps[0].required_label = label;
        m_cell.at(0).submit(job, [this](const work::outcome& it) { m_ends[it.end]++; });
    }

    // Submits a job of the kind in each step; returns how many steps saw one on the executor.
    int submit_for(milliseconds time, const std::string& label) {
        int seen = 0;
        for (milliseconds passed{0}; passed < time; passed += step_time) {
            submit(label);
            m_cell.run_for(step_time);
            seen += has_run_of(label) ? 1 : 0;
        }
        return seen;
    }

    bool has_run_of(const std::string& label) {
        const auto& running = m_cell.executor(0).running();
        return std::any_of(running.begin(), running.end(),
                           [&](const auto& it) { return it.first.job.starts_with(label); });
    }

    simulated_cell m_cell{7, 2, small_vm, 1};
    int m_jobs = 0;
    std::map<job_end, int> m_ends;
};

// Tasks that require the former kind were started until the list of executors was read again.
TEST_P(a_restarted_executor, gets_no_task_by_its_former_labels) {
    EXPECT_GT(submit_for(milliseconds(200), "large"), 0);
    m_cell.run_for(milliseconds(300));
    m_cell.executor(0).crash(m_cell.now());
    m_cell.executor(0).set_labels({"small"});
    m_cell.run_for(GetParam().down_time);
    EXPECT_EQ(submit_for(GetParam().listed_after, "large"), 0);
    list_executors();
    EXPECT_EQ(submit_for(milliseconds(1000), "large"), 0);
    EXPECT_GT(submit_for(milliseconds(1000), "small"), 0);
    EXPECT_TRUE(m_cell.violations.empty());
}

// The list may be read before the new process has answered, and tell of more room than is known to
// be there.
TEST_P(a_restarted_executor, gets_no_task_before_its_new_process_has_answered) {
    m_cell.executor(0).crash(m_cell.now());
    m_cell.executor(0).set_labels({"small"});
    list_executors();
    EXPECT_EQ(submit_for(GetParam().down_time, "small"), 0);
    EXPECT_GT(submit_for(milliseconds(2000), "small"), 0);
    EXPECT_TRUE(m_cell.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(
    restarts, a_restarted_executor,
    testing::Values(restart_case{"soon", milliseconds(100), milliseconds(700)},
                    restart_case{"late", milliseconds(1500), milliseconds(700)},
                    restart_case{"while_the_list_is_old", milliseconds(100), milliseconds(4000)}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
