// Regression tests of conclusions that a cell draws from messages that arrive late or in another
// order than they were sent.
#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/recorded_orders.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;
using work::order_status;

class silent_observer final : public executor_observer, public job_observer {
public:
    void executor_changed(const std::string&, std::string_view, std::string_view) override {}
    void job_event(const std::string&, std::string_view, const std::string&) override {}
};

// An executor counted as held on a report that was requested under an earlier fence, although
// the claim with the new one had not been answered.
TEST(a_claim, is_not_confirmed_by_a_report_that_was_requested_under_an_earlier_fence) {
    common::manual_clock clock;
    recorded_orders orders;
    silent_observer observer;
    std::int64_t fence = 0;
    executor_manager manager(
        {}, clock, orders, [&](claim_attempt) { return ++fence; }, observer);
    dispatcher jobs({}, clock, manager, observer);
    work::executor_info info;
    info.id = "e0";
    info.upstream = "u";
    info.capacity = {64000, 131072, 0};
    manager.assign({info});
    work::run_report idle;
    idle.clock_ms = 1000;
    idle.start_time_ms = 1;
    manager.on_report("e0", orders.reports.back().number, order_status::accepted, idle);
    const auto long_poll = orders.reports.back(); // under fence 1, answered late
    ASSERT_EQ(manager.held().size(), 1U);
    jobs.submit(make_job("a", 1, milliseconds(100)), [](const auto&) {});
    ASSERT_EQ(orders.starts.size(), 1U);
    manager.on_start_reply("e0", orders.starts[0].run, {order_status::fenced, 1010});
    ASSERT_TRUE(manager.held().empty());
    for (int i = 0; i < 10; i++) { // the claim is lost for initial_reclaim_delay
        clock.advance(milliseconds(40));
        manager.tick();
    }
    ASSERT_EQ(orders.reports.back().fence, 2);
    ASSERT_TRUE(manager.held().empty());
    manager.on_report("e0", long_poll.number, order_status::accepted, idle);
    EXPECT_TRUE(manager.held().empty());
}

// A job that had failed could not be run again under its id: its failed task counted as being
// stopped for ever.
TEST(a_failed_job, can_be_run_again) {
    simulated_cell cell(7, 4, {64000, 131072, 0}, 1);
    cell.at(0).assign(cell.executor_infos());
    cell.run_for(milliseconds(100));
    bool fails = true;
    cell.actual_run = [&](const work::job& job, const work::task_id&) {
        return simulated_executor::simulated_task{job.steps[0].task_resources, milliseconds(10),
                                                  fails};
    };
    std::vector<job_end> ends;
    const auto submit = [&] {
        cell.at(0).submit(make_job("a", 1, milliseconds(10)),
                          [&](const auto& it) { ends.push_back(it.end); });
    };
    submit();
    cell.run_for(milliseconds(500));
    ASSERT_EQ(ends, std::vector{job_end::failed});
    fails = false;
    submit();
    cell.run_for(milliseconds(1000));
    EXPECT_EQ(ends, (std::vector{job_end::failed, job_end::succeeded}));
}

} // namespace
} // namespace savorytrail::cell
