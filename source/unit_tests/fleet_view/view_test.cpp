// Tests of the view of live entries and of what is derived from it, in simulated time.
#include "core/fleet/view.h"

#include <gtest/gtest.h>

#include "unit_tests/fleet_view/executors.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;
using names = std::vector<std::string>;

heartbeat make_heartbeat(const std::string& name, std::uint64_t incarnation,
                         const std::string& domain = "d", std::uint32_t share = 250) {
    heartbeat it;
    it.name = name;
    it.failure_domain = domain;
    it.incarnation = incarnation;
    it.cpu_share_millis = share;
    it.knows_executors = true;
    return it;
}

class entries : public testing::Test {
protected:
    void receive(heartbeat it) {
        it.sequence = m_sequence++;
        it.heard["self"] = milliseconds(10);
        m_view.receive(it, "10.0.0.9", m_now);
    }

    static std::vector<work::executor_info> executors(int n, const std::string& domain = "d") {
        return make_executors(n, domain);
    }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{make_heartbeat("self", 5), 7000, {}, m_now};
};

TEST_F(entries, the_longest_running_one_dispatches) {
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
    receive(make_heartbeat("young", 9));
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
    receive(make_heartbeat("old", 1));
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"old"});
}

TEST_F(entries, large_ones_dispatch_before_small_ones) {
    receive(make_heartbeat("large", 9, "d", 500));
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"large"});
}

TEST_F(entries, a_domain_with_many_executors_has_several_cells) {
    receive(make_heartbeat("a", 1));
    receive(make_heartbeat("b", 2));
    EXPECT_EQ(m_view.dispatchers("d", 48, m_now), (names{"a", "b"}));
}

TEST_F(entries, a_leaving_one_does_not_dispatch) {
    auto it = make_heartbeat("old", 1);
    it.is_leaving = true;
    receive(it);
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
}

TEST_F(entries, a_silent_one_is_reported_lost_once) {
    receive(make_heartbeat("old", 1));
    EXPECT_TRUE(m_view.take_lost(m_now).empty());
    m_now += milliseconds(650);
    EXPECT_EQ(m_view.take_lost(m_now), names{"old"});
    EXPECT_TRUE(m_view.take_lost(m_now).empty());
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
}

TEST_F(entries, one_that_does_not_receive_heartbeats_is_lost) {
    auto it = make_heartbeat("deaf", 1);
    it.sequence = m_sequence++;
    it.heard["self"] = milliseconds(900);
    m_view.receive(it, "10.0.0.9", m_now);
    EXPECT_FALSE(m_view.is_live("deaf", m_now));
}

// A connection reset alone must not move a cell to another entry: the move stops all running tasks.
TEST_F(entries, a_lost_connection_shortens_the_timeout) {
    receive(make_heartbeat("old", 1));
    m_view.note_connection_lost("old");
    EXPECT_TRUE(m_view.is_live("old", m_now));
    m_now += milliseconds(300);
    EXPECT_FALSE(m_view.is_live("old", m_now));
    receive(make_heartbeat("old", 1));
    EXPECT_TRUE(m_view.is_live("old", m_now));
}

// Found in incident inc-6f9c: an entry that had stalled itself took over the executors of an entry
// that had kept sending heartbeats.
TEST_F(entries, silence_during_a_local_stall_is_ignored) {
    receive(make_heartbeat("old", 1));
    m_now += milliseconds(700);
    m_view.note_stall(milliseconds(680), m_now);
    EXPECT_TRUE(m_view.take_lost(m_now).empty());
    EXPECT_TRUE(m_view.is_live("old", m_now));
    m_now += milliseconds(650);
    EXPECT_FALSE(m_view.is_live("old", m_now));
}

TEST_F(entries, beats_of_an_earlier_life_change_nothing) {
    receive(make_heartbeat("old", 7));
    EXPECT_FALSE(m_view.receive(make_heartbeat("old", 6), "10.0.0.9", m_now));
    EXPECT_EQ(m_view.find("old")->last_heartbeat.incarnation, 7U);
}

TEST_F(entries, executors_held_by_another_are_not_claimed_until_released) {
    auto it = make_heartbeat("young", 9);
    it.held = {"d0", "d1"};
    receive(it);
    EXPECT_EQ(m_view.own_executors(executors(4), {}, m_now).size(), 2U);
    EXPECT_EQ(m_view.own_executors(executors(4), {"d0"}, m_now).size(), 3U);
    m_now += milliseconds(650);
    EXPECT_EQ(m_view.own_executors(executors(4), {}, m_now).size(), 4U);
}

TEST_F(entries, executors_of_other_domains_are_not_claimed) {
    EXPECT_TRUE(m_view.own_executors(executors(4, "other"), {}, m_now).empty());
}

TEST_F(entries, no_executors_are_claimed_before_the_view_has_settled) {
    EXPECT_FALSE(m_view.has_settled(m_now));
    EXPECT_TRUE(m_view.has_settled(m_now + milliseconds(700)));
    m_view.note_entries_listed(m_now);
    EXPECT_TRUE(m_view.has_settled(m_now + milliseconds(250)));
}

TEST(heartbeats, keep_all_fields_when_encoded) {
    auto it = make_heartbeat("a", 7);
    it.sequence = 3;
    it.is_leaving = true;
    it.configuration_version = 12;
    it.load = {100, 50, 7};
    it.held = {"x", "y"};
    it.adopted = {"z"};
    it.heard["b"] = milliseconds(40);
    it.known = {{"c", "d", "10.0.0.1"}};
    EXPECT_EQ(decode_heartbeat(encode(it)), it);
    EXPECT_FALSE(decode_heartbeat("nonsense"));
    EXPECT_FALSE(decode_heartbeat(""));
}

} // namespace
} // namespace savorytrail::fleet
