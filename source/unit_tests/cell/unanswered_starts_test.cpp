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

struct changed_executor {
    const char* name;
    std::function<void(executor_manager&, work::executor_info)> change;
    std::uint64_t starts;
};

// One executor, at which requests are lost at first.
class an_unanswered_start : public testing::TestWithParam<changed_executor> {
protected:
    an_unanswered_start() {
        assign(info());
        m_cell.run_for(milliseconds(100));
    }

    work::executor_info info() {
        auto it = m_cell.executor_infos().at(0);
        it.start_time_ms = m_cell.executor(0).current_report().start_time_ms;
        return it;
    }

    void assign(const work::executor_info& it) { m_cell.at(0).assign({it}); }

    simulated_cell m_cell{7, 1, small_vm, 1};
};

// Guards against a task that starts on an executor after it was known to drain, or to be another
// process: orders without an answer were sent again without a look at the list.
TEST_P(an_unanswered_start, is_sent_again_only_where_a_task_may_start) {
    m_cell.faults.lost_requests = 1000;
    m_cell.at(0).submit(make_job("a", 1, milliseconds(400)), [](const auto&) {});
    m_cell.run_for(time_to_change);
    m_cell.faults.lost_requests = 0;
    GetParam().change(m_cell.at(0).manager(), info());
    m_cell.run_for(milliseconds(800));
    EXPECT_EQ(m_cell.starts, GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    executors, an_unanswered_start,
    testing::Values(changed_executor{"unchanged",
                                     [](auto& manager, auto it) { manager.assign({it}); }, 1},
                    changed_executor{"draining",
                                     [](auto& manager, auto it) {
                                         it.is_draining = true;
                                         manager.assign({it});
                                     },
                                     0},
                    changed_executor{"unlisted",
                                     [](auto& manager, const auto& it) {
                                         manager.note_unlisted(it.id);
                                         manager.assign({});
                                     },
                                     0},
                    changed_executor{"listed_as_another_process",
                                     [](auto& manager, auto it) {
                                         it.start_time_ms++;
                                         manager.assign({it});
                                     },
                                     0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::cell
