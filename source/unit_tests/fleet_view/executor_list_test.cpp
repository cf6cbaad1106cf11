// Tests of which executors count as listed while their rows are dropped and written again.
#include "core/fleet/executor_list.h"

#include <gtest/gtest.h>

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

work::executor_info make(const std::string& id, bool is_draining = false) {
    work::executor_info it;
    it.id = id;
    it.is_draining = is_draining;
    return it;
}

class listed_executors : public testing::Test {
protected:
    listed_executors() {
        m_list.put(make("a"));
        m_list.put(make("b"));
    }

    std::size_t count() const { return m_list.all().size(); }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    executor_list m_list;
};

// During a zone's network partition the platform drops the rows of executors that are still
// running; the rows return soon after.
TEST_F(listed_executors, stay_listed_when_they_return_within_the_grace_period) {
    m_list.drop("a", m_now);
    m_now += milliseconds(2000);
    EXPECT_FALSE(m_list.expire(m_now));
    EXPECT_EQ(count(), 2U);
    m_list.put(make("a"));
    m_now += milliseconds(2000);
    EXPECT_FALSE(m_list.expire(m_now));
    EXPECT_EQ(count(), 2U);
}

TEST_F(listed_executors, are_removed_after_the_grace_period) {
    m_list.drop("a", m_now);
    m_now += milliseconds(1500);
    m_list.drop("a", m_now); // a repeated drop does not extend the grace period
    m_now += milliseconds(1100);
    EXPECT_TRUE(m_list.expire(m_now));
    EXPECT_EQ(count(), 1U);
}

TEST_F(listed_executors, remain_draining_when_they_are_dropped) {
    m_list.put(make("a", true));
    m_list.drop("a", m_now);
    EXPECT_TRUE(m_list.all().front().is_draining);
}

TEST_F(listed_executors, are_dropped_when_a_refresh_lacks_them) {
    m_list.begin_refresh();
    m_list.put(make("b"));
    m_list.put(make("c"));
    m_list.finish_refresh(m_now);
    EXPECT_EQ(count(), 3U);
    EXPECT_TRUE(m_list.expire(m_now + milliseconds(2600)));
    EXPECT_EQ(count(), 2U);
    EXPECT_EQ(m_list.all().front().id, "b");
}

} // namespace
} // namespace savorytrail::fleet
