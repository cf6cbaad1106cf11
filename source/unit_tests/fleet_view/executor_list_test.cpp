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
        m_list.put(make("a"), 1);
        m_list.put(make("b"), 2);
    }

    std::size_t count() const { return m_list.all().size(); }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    executor_list m_list;
};

// During a zone's network partition the platform drops the rows of executors that are still
// running; the rows return soon after.
TEST_F(listed_executors, stay_listed_when_they_return_within_the_grace_period) {
    m_list.drop("a", 3, m_now);
    m_now += milliseconds(2000);
    EXPECT_FALSE(m_list.expire(m_now));
    EXPECT_EQ(count(), 2U);
    m_list.put(make("a"), 4);
    m_now += milliseconds(2000);
    EXPECT_FALSE(m_list.expire(m_now));
    EXPECT_EQ(count(), 2U);
}

TEST_F(listed_executors, are_removed_after_the_grace_period) {
    m_list.drop("a", 3, m_now);
    m_now += milliseconds(1500);
    m_list.drop("a", 4, m_now); // a repeated drop does not extend the grace period
    m_now += milliseconds(1100);
    EXPECT_TRUE(m_list.expire(m_now));
    EXPECT_EQ(count(), 1U);
}

TEST_F(listed_executors, remain_draining_when_they_are_dropped) {
    m_list.put(make("a", true), 3);
    m_list.drop("a", 4, m_now);
    EXPECT_TRUE(m_list.all().front().is_draining);
}

TEST_F(listed_executors, are_dropped_when_a_refresh_lacks_them) {
    m_list.begin_refresh();
    m_list.put(make("b"), 3);
    m_list.put(make("c"), 4);
    m_list.finish_refresh(5, m_now);
    EXPECT_EQ(count(), 3U);
    EXPECT_TRUE(m_list.expire(m_now + milliseconds(2600)));
    EXPECT_EQ(count(), 2U);
    EXPECT_EQ(m_list.all().front().id, "b");
}

// Load pattern: hundreds of executors write their rows each second, and nothing changes.
TEST_F(listed_executors, a_row_written_anew_without_a_change_does_not_change_the_list) {
    const auto before = m_list.version();
    EXPECT_FALSE(m_list.put(make("a"), 9));
    EXPECT_EQ(m_list.version(), before);
    EXPECT_TRUE(m_list.put(make("a", true), 10));
    EXPECT_EQ(m_list.version(), 10U);
}

TEST_F(listed_executors, an_older_row_does_not_replace_a_newer_one) {
    m_list.put(make("a", true), 10);
    EXPECT_FALSE(m_list.put(make("a"), 9));
    EXPECT_FALSE(m_list.drop("a", 9, m_now));
    EXPECT_TRUE(m_list.all().front().is_draining);
}

TEST_F(listed_executors, only_what_changed_is_passed_on) {
    executor_list copy;
    EXPECT_TRUE(copy.merge(m_list.changes_since(copy.version()), m_now));
    EXPECT_EQ(copy.all(), m_list.all());
    m_list.put(make("a", true), 3);
    m_list.drop("b", 4, m_now);
    const auto changes = m_list.changes_since(copy.version());
    EXPECT_FALSE(changes.is_complete);
    EXPECT_EQ(changes.executors.size(), 2U);
    EXPECT_TRUE(copy.merge(changes, m_now));
    EXPECT_EQ(copy.all(), m_list.all());
    EXPECT_EQ(copy.version(), m_list.version());
    EXPECT_FALSE(copy.merge(changes, m_now)); // the same once more
    m_now += milliseconds(2600);
    EXPECT_TRUE(copy.expire(m_now));
    EXPECT_EQ(copy.all().size(), 1U);
}

TEST_F(listed_executors, the_whole_list_is_passed_on_when_a_drop_has_been_forgotten) {
    executor_list copy;
    copy.merge(m_list.changes_since(0), m_now);
    m_list.drop("a", 3, m_now);
    m_now += milliseconds(70000);
    m_list.expire(m_now);
    const auto changes = m_list.changes_since(copy.version());
    EXPECT_TRUE(changes.is_complete);
    copy.merge(changes, m_now);
    copy.expire(m_now + milliseconds(2600));
    EXPECT_EQ(copy.all().size(), 1U);
}

TEST(executor_changes_codec, keeps_all_fields) {
    auto info = make("a", true);
    info.address = {"10.0.0.1", 7};
    info.failure_domain = "d";
    info.upstream = "u";
    info.capacity = {64000, 128, 1};
    info.labels = {"kind", "rack"};
    info.start_time_ms = 5;
    info.cold_left = milliseconds(3000);
    const executor_changes it{9, true, {{info, false, 8}, {make("b"), true, 9}}};
    EXPECT_EQ(decode_executor_changes(encode(it)), it);
    EXPECT_FALSE(decode_executor_changes("\x01\x02"));
}

} // namespace
} // namespace savorytrail::fleet
