// Tests of slot accounting and of the limits on ejections.
#include "core/dispatch/executor_pool.h"

#include <gtest/gtest.h>

namespace savorytrail::dispatch {
namespace {

using common::milliseconds;

class pool : public testing::Test {
protected:
    static manifest::executor executor(int n) {
        manifest::executor it;
        it.name = "e" + std::to_string(n);
        return it;
    }

    void own(int executors, std::uint32_t slots) {
        std::vector<executor_share> shares;
        shares.reserve(executors);
        for (int i = 0; i < executors; i++)
            shares.push_back({executor(i), slots});
        m_pool.set_own(shares);
    }

    task_start begin(int n, std::uint32_t task, milliseconds slow_after = milliseconds(0)) {
        const auto index = m_pool.find(executor(n).name);
        return {{}, task, "u", m_pool.begin(index, {}, task, slow_after, m_now)};
    }

    void fail(int n, std::uint32_t times) {
        for (std::uint32_t i = 0; i < times; i++)
            m_pool.end(begin(n, i), completion::failed, m_now);
    }

    executor_pool m_pool{true};
    common::time_point m_now{std::chrono::hours(1)};
};

TEST_F(pool, counts_slots) {
    own(2, 4);
    const auto task = begin(0, 1);
    EXPECT_EQ(m_pool.slots(), 8U);
    EXPECT_EQ(m_pool.idle(), 7U);
    own(1, 2);
    EXPECT_EQ(m_pool.slots(), 2U);
    EXPECT_EQ(m_pool.idle(), 1U);
    m_pool.end(task, completion::answered, m_now);
    EXPECT_EQ(m_pool.idle(), 2U);
}

TEST_F(pool, a_task_on_an_executor_that_left_still_holds_its_slot_when_it_returns) {
    own(1, 1);
    const auto task = begin(0, 1);
    own(0, 0);
    own(1, 1);
    EXPECT_EQ(m_pool.idle(), 0U);
    m_pool.end(task, completion::answered, m_now);
    EXPECT_EQ(m_pool.idle(), 1U);
}

TEST_F(pool, lent_slots_are_out_of_use_until_taken_back) {
    own(2, 4);
    begin(0, 1);
    const auto lent = m_pool.lend(100);
    EXPECT_EQ(m_pool.idle(), 0U);
    std::uint32_t n = 0;
    for (const auto& it : lent)
        n += it.slots;
    EXPECT_EQ(n, 7U);
    for (const auto& it : lent)
        m_pool.take_back(it);
    EXPECT_EQ(m_pool.idle(), 7U);
}

TEST_F(pool, only_idle_borrowed_slots_are_given_back) {
    own(0, 0);
    m_pool.add_borrowed(executor(7), 3);
    const auto task = begin(7, 1);
    EXPECT_EQ(m_pool.idle_borrowed(), (std::vector<executor_slots>{{"e7", 2}}));
    EXPECT_EQ(m_pool.give_back({"e7", 3}), 2U);
    EXPECT_EQ(m_pool.slots(), 1U);
    m_pool.end_borrowed({"e7", 1});
    EXPECT_EQ(m_pool.slots(), 0U);
    m_pool.end(task, completion::answered, m_now);
    EXPECT_EQ(m_pool.views().size(), 0U);
}

struct share_case {
    int executors;
    int failing;
    std::size_t ejected;
};

class ejected_share : public pool, public testing::WithParamInterface<share_case> {};

TEST_P(ejected_share, is_bounded) {
    own(GetParam().executors, 8);
    for (int i = 0; i < GetParam().failing; i++)
        fail(i, executor_health::consecutive_failures_to_eject);
    EXPECT_EQ(m_pool.ejected(), GetParam().ejected);
    EXPECT_GT(m_pool.idle(), 0U);
}

INSTANTIATE_TEST_SUITE_P(table, ejected_share,
                         testing::Values(share_case{1, 1, 0}, share_case{2, 1, 1},
                                         share_case{2, 2, 1}, share_case{9, 9, 4},
                                         share_case{10, 1, 1}));

TEST_F(pool, an_executor_whose_tasks_do_not_end_is_ejected_before_they_do) {
    own(3, 4);
    begin(0, 1, milliseconds(300));
    begin(0, 2, milliseconds(300));
    m_now += milliseconds(300);
    m_pool.tick(m_now);
    EXPECT_EQ(m_pool.ejected(), 0U);
    m_now += milliseconds(1);
    m_pool.tick(m_now);
    EXPECT_EQ(m_pool.ejected(), 1U);
    EXPECT_EQ(m_pool.slots(), 8U);
}

TEST_F(pool, an_executor_with_an_overdue_task_is_chosen_last) {
    own(2, 4);
    begin(0, 1, milliseconds(300));
    begin(1, 2);
    begin(1, 3);
    m_now += milliseconds(301);
    m_pool.tick(m_now);
    EXPECT_EQ(least_loaded_placement().choose(m_pool.views(), 2), m_pool.find("e1"));
}

TEST_F(pool, a_borrower_s_report_ejects_a_healthy_executor_within_the_bound) {
    own(3, 4);
    m_pool.eject("e0", m_now);
    m_pool.eject("e1", m_now);
    m_pool.eject("e9", m_now);
    EXPECT_EQ(m_pool.ejected(), 1U);
    EXPECT_EQ(m_pool.slots(), 8U);
}

TEST_F(pool, slots_of_an_ejected_executor_are_not_lent) {
    own(2, 4);
    fail(0, executor_health::consecutive_failures_to_eject);
    EXPECT_EQ(m_pool.lend(100), (std::vector<executor_slots>{{"e1", 4}}));
}

} // namespace
} // namespace savorytrail::dispatch
