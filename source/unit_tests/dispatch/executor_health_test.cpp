// Tests of an executor's health states.
#include "core/dispatch/executor_health.h"

#include <gtest/gtest.h>

namespace savorytrail::dispatch {
namespace {

constexpr std::uint32_t slots = 8;

class health : public testing::Test {
protected:
    void record(task_grade grade, std::uint32_t n = 1) {
        for (std::uint32_t i = 0; i < n; i++)
            m_health.record(grade, m_now, m_now);
    }

    void eject() { m_health.eject(m_now); }

    void wait(common::milliseconds time) {
        m_now += time;
        m_health.tick(m_now);
    }

    executor_health m_health;
    common::time_point m_now{std::chrono::hours(1)};
};

struct failure_case {
    task_grade grade;
    std::uint32_t in_a_row;
    bool ejects;
};

class consecutive_failures : public health, public testing::WithParamInterface<failure_case> {};

TEST_P(consecutive_failures, call_for_an_ejection) {
    record(GetParam().grade, GetParam().in_a_row);
    EXPECT_EQ(m_health.should_eject(), GetParam().ejects);
    record(task_grade::good);
    EXPECT_FALSE(m_health.should_eject());
}

INSTANTIATE_TEST_SUITE_P(
    table, consecutive_failures,
    testing::Values(
        failure_case{task_grade::bad, executor_health::consecutive_failures_to_eject - 1, false},
        failure_case{task_grade::bad, executor_health::consecutive_failures_to_eject, true},
        failure_case{task_grade::slow, executor_health::consecutive_failures_to_eject, true},
        failure_case{task_grade::good, 100, false}));

TEST_F(health, after_a_back_off_one_task_at_a_time_then_gradual_return) {
    eject();
    EXPECT_EQ(m_health.allowed(slots), 0U);
    wait(executor_health::first_back_off - common::milliseconds(1));
    EXPECT_EQ(m_health.allowed(slots), 0U);
    wait(common::milliseconds(1));
    EXPECT_EQ(m_health.allowed(slots), 1U);
    record(task_grade::good);
    EXPECT_EQ(m_health.allowed(slots), 2U);
    record(task_grade::good, 2);
    EXPECT_EQ(m_health.allowed(slots), 4U);
    record(task_grade::good, 12);
    EXPECT_EQ(m_health.current(), executor_health::state::healthy);
}

TEST_F(health, a_failed_probe_doubles_the_back_off_up_to_a_bound) {
    eject();
    auto back_off = executor_health::first_back_off;
    for (int i = 0; i < 10; i++) {
        wait(back_off);
        ASSERT_EQ(m_health.current(), executor_health::state::probing);
        record(task_grade::bad);
        EXPECT_EQ(m_health.allowed(slots), 0U);
        back_off = std::min(back_off * 2, executor_health::max_back_off);
        wait(back_off - common::milliseconds(1));
        EXPECT_EQ(m_health.current(), executor_health::state::ejected);
        wait(common::milliseconds(1));
        EXPECT_EQ(m_health.current(), executor_health::state::probing);
        back_off = std::min(back_off, executor_health::max_back_off);
        record(task_grade::bad);
        back_off = std::min(back_off * 2, executor_health::max_back_off);
    }
}

TEST_F(health, tasks_from_before_the_ejection_are_no_probes) {
    const auto before = m_now;
    m_now += common::milliseconds(1);
    eject();
    wait(executor_health::first_back_off);
    m_health.record(task_grade::good, before, m_now);
    m_health.record(task_grade::bad, before, m_now);
    EXPECT_EQ(m_health.current(), executor_health::state::probing);
}

} // namespace
} // namespace savorytrail::dispatch
