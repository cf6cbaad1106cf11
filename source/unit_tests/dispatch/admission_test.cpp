// Tests of the admission rules.
#include "core/dispatch/admission.h"

#include <gtest/gtest.h>

namespace savorytrail::dispatch {
namespace {

using common::milliseconds;

job_demand demand(std::size_t tasks, int task_ms, int time_left_ms) {
    const milliseconds each(task_ms);
    const auto work = each * static_cast<int>(tasks);
    return {tasks, work, work / 2, each / 2, each, milliseconds(time_left_ms)};
}

queue_capacity capacity(std::size_t queued, int work_ahead_ms) {
    queue_capacity it;
    it.queued = queued;
    it.max_queued = 1000;
    it.slots = 10;
    it.idle = queued > 0 ? 0 : 10;
    it.fleet_slots = 40;
    it.work_ahead = milliseconds(work_ahead_ms);
    it.task_time = milliseconds(100);
    return it;
}

struct admission_case {
    const char* name;
    job_demand job;
    queue_capacity queue;
    job::reason why;
    std::optional<milliseconds> min_retry; // the refusal's delay is between this and twice this
};

class admission : public testing::TestWithParam<admission_case> {};

TEST_P(admission, decides) {
    const auto& it = GetParam();
    const auto result = check_admission("u", it.job, it.queue);
    EXPECT_EQ(result.is_accepted, it.why == job::reason::none);
    EXPECT_EQ(result.why, it.why);
    ASSERT_EQ(result.retry_after.has_value(), it.min_retry.has_value());
    if (it.min_retry) {
        EXPECT_GE(*result.retry_after, *it.min_retry);
        EXPECT_LE(*result.retry_after, 2 * *it.min_retry);
    }
}

queue_capacity without_slots() {
    auto it = capacity(0, 0);
    it.slots = 0;
    return it;
}

queue_capacity with_lent_slots_only() {
    auto it = without_slots();
    it.lent = 10;
    return it;
}

INSTANTIATE_TEST_SUITE_P(
    table, admission,
    testing::Values(
        admission_case{"idle", demand(20, 100, 1000), capacity(0, 0), job::reason::none, {}},
        admission_case{
            "short_queue", demand(20, 100, 1000), capacity(30, 3000), job::reason::none, {}},
        admission_case{"no_slots", demand(1, 100, 1000), without_slots(), job::reason::no_executors,
                       milliseconds(1000)},
        admission_case{
            "all_slots_lent", demand(1, 100, 1000), with_lent_slots_only(), job::reason::none, {}},
        admission_case{"lent_slots_too_few_for_the_deadline",
                       demand(1000, 100, 1000),
                       with_lent_slots_only(),
                       job::reason::deadline_unreachable,
                       {}},
        admission_case{"task_longer_than_deadline",
                       demand(1, 5000, 1000),
                       capacity(0, 0),
                       job::reason::deadline_unreachable,
                       {}},
        admission_case{"more_work_than_all_slots_can_do",
                       demand(1000, 100, 1000),
                       capacity(0, 0),
                       job::reason::deadline_unreachable,
                       {}},
        admission_case{"long_queue", demand(20, 100, 1000), capacity(900, 90000),
                       job::reason::deadline_unreachable, milliseconds(8100)},
        admission_case{"queue_full", demand(200, 100, 1000000), capacity(1000, 100000),
                       job::reason::queue_full, milliseconds(2000)},
        admission_case{"larger_than_the_queue",
                       demand(1011, 100, 1000000),
                       capacity(0, 0),
                       job::reason::queue_full,
                       {}}),
    [](const testing::TestParamInfo<admission_case>& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::dispatch
