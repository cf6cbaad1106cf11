// Tests of start orders that get no answer while what is known of their executor changes.
#include <gtest/gtest.h>

#include <functional>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

constexpr work::resources small_vm{64000, 131072, 0};
// Before the order is sent again.
constexpr milliseconds time_to_change{20};

// The executor, as the platform lists it.
work::executor_info listed(simulated_cell& cell) {
    auto it = cell.executor_infos().at(0);
    it.start_time_ms = cell.executor(0).current_report().start_time_ms;
    return it;
}

struct changed_executor {
    const char* name;
    std::function<void(simulated_cell&)> change;
    std::uint64_t starts;
};

// One large executor, at which requests are lost at first.
class an_unanswered_start : public testing::TestWithParam<changed_executor> {
protected:
    an_unanswered_start() {
        m_cell.executor(0).set_labels({"large"});
        m_cell.at(0).assign({listed(m_cell)});
        m_cell.run_for(milliseconds(100));
    }

    simulated_cell m_cell{7, 1, small_vm, 1};
};

// Guards against a task that starts on an executor after it was known to drain, or to be another
// process: orders without an answer were sent again without a look at the list, or to the process
// that had come in place of the one that they were for.
TEST_P(an_unanswered_start, is_sent_again_only_where_the_task_may_start) {
    auto job = make_job("a", 1, milliseconds(400));
    job.steps[0].required_label = "large";
    m_cell.faults.lost_requests = 1000;
    m_cell.at(0).submit(job, [](const auto&) {});
    m_cell.run_for(time_to_change);
    m_cell.faults.lost_requests = 0;
    GetParam().change(m_cell);
    m_cell.run_for(milliseconds(800));
    EXPECT_EQ(m_cell.starts, GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    executors, an_unanswered_start,
    testing::Values(changed_executor{"unchanged",
                                     [](auto& cell) { cell.at(0).assign({listed(cell)}); }, 1},
                    changed_executor{"draining",
                                     [](auto& cell) {
                                         auto it = listed(cell);
                                         it.is_draining = true;
                                         cell.at(0).assign({it});
                                     },
                                     0},
                    changed_executor{"unlisted",
                                     [](auto& cell) {
                                         cell.at(0).manager().note_unlisted(listed(cell).id);
                                         cell.at(0).assign({});
                                     },
                                     0},
                    changed_executor{"listed_as_another_process",
                                     [](auto& cell) {
                                         auto it = listed(cell);
                                         it.start_time_ms++;
                                         cell.at(0).assign({it});
                                     },
                                     0},
                    changed_executor{"restarted_as_another_kind",
                                     [](auto& cell) {
                                         cell.executor(0).crash(cell.now());
                                         cell.executor(0).set_labels({"small"});
                                         cell.at(0).assign({listed(cell)});
                                     },
                                     0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
