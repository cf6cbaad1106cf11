// When executors of a failure domain without entries may be used, and when not: each case is a
// course of events as one entry of another domain sees it, under simulated time.
#include "core/fleet/adoption.h"

#include <gtest/gtest.h>

#include "unit_tests/fleet_view/executors.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

heartbeat make_heartbeat(const std::string& name, const std::string& domain) {
    heartbeat it;
    it.name = name;
    it.failure_domain = domain;
    it.incarnation = 1;
    it.knows_executors = true;
    it.heard["self"] = milliseconds(10);
    return it;
}

// This entry is the only one of "here"; "there" has four executors.
class left_domain : public testing::Test {
protected:
    left_domain() { m_adoption.set_listed_executors(make_executors(4, "there")); }

    // Lets time pass; the executors of "there" answer looks if they can be reached, and the
    // platform's table can be read if it is up.
    void pass(milliseconds time) {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += milliseconds(40);
            m_adoption.update(m_view, m_now);
            if (m_adoption.take_due_table_read(m_now) && m_is_table_read) {
                read_table();
            }
            for (const auto& it : m_adoption.take_due_probes(m_now)) {
                m_probes++;
                if (m_is_reachable) {
                    m_adoption.note_probe_answered(it.id, m_now);
                }
            }
            hold(m_adoption.adopted_executors(m_view, m_mine, m_now));
        }
    }

    // What it is told to adopt it holds at once.
    void hold(const std::vector<work::executor_info>& adopted) {
        m_mine.clear();
        for (const auto& it : adopted) {
            m_mine.insert(it.id);
            m_adoption.note_held(it.id, m_now);
        }
    }

    void receive(const std::string& name, const std::string& domain,
                 std::vector<std::string> adopted = {}, bool is_leaving = false) {
        auto it = make_heartbeat(name, domain);
        it.sequence = m_sequence++;
        it.adopted = std::move(adopted);
        it.is_leaving = is_leaving;
        m_view.receive(it, "10.0.0.9", m_now);
    }

    void read_table() {
        m_adoption.note_entry_row("their", "there", m_version, m_now);
        m_adoption.note_table_read(m_now);
    }

    std::size_t adopted() const {
        return m_adoption.adopted_executors(m_view, m_mine, m_now).size();
    }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{make_heartbeat("self", "here"), 7000, {}, m_now};
    adoption m_adoption;
    std::set<std::string> m_mine;
    std::uint64_t m_version = 7; // of the row of "their"
    bool m_is_reachable = true;
    bool m_is_table_read = true;
    int m_probes = 0;
};

TEST_F(left_domain, its_executors_are_taken_on_within_three_seconds) {
    pass(milliseconds(1400));
    EXPECT_EQ(adopted(), 0U);
    pass(milliseconds(1600));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(left_domain, its_first_executor_is_taken_on_trial) {
    while (adopted() == 0) {
        pass(milliseconds(40));
    }
    EXPECT_EQ(adopted(), 1U);
    pass(milliseconds(360));
    EXPECT_EQ(adopted(), 1U);
    pass(milliseconds(80));
    EXPECT_EQ(adopted(), 4U);
}

// Its entries are cut off from all others and from the platform, but not from their executors.
TEST_F(left_domain, an_executor_in_use_shows_that_an_entry_lives) {
    while (adopted() == 0) {
        pass(milliseconds(40));
    }
    m_adoption.note_used_by_other("there", m_now);
    for (int i = 0; i < 9; i++) {
        pass(milliseconds(1000));
        EXPECT_EQ(adopted(), 0U);
    }
    pass(milliseconds(2500));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(left_domain, with_a_live_entry_nothing_is_even_looked_at) {
    for (int i = 0; i < 20; i++) {
        receive("their", "there");
        pass(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
    EXPECT_EQ(m_probes, 0);
}

TEST_F(left_domain, an_entry_that_leaves_still_counts) {
    for (int i = 0; i < 20; i++) {
        receive("their", "there", {}, true);
        pass(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(left_domain, executors_out_of_reach_are_left_alone) {
    m_is_reachable = false;
    pass(milliseconds(10000));
    EXPECT_EQ(adopted(), 0U);
}

// A cut between the domains heals: the executors answer at once, their entries' heartbeats a little
// later.
TEST_F(left_domain, a_cut_that_heals_moves_nothing) {
    m_is_reachable = false;
    pass(milliseconds(6000));
    m_is_reachable = true;
    pass(milliseconds(1100));
    EXPECT_EQ(adopted(), 0U);
    receive("their", "there");
    pass(milliseconds(1000));
    EXPECT_EQ(adopted(), 0U);
}

// Entries are cut off from each other, executors from nobody: the platform's table tells.
TEST_F(left_domain, an_entry_that_says_it_lives_keeps_its_executors) {
    for (int i = 0; i < 10; i++) {
        m_version++;
        pass(milliseconds(1000));
        EXPECT_EQ(adopted(), 0U);
    }
    pass(milliseconds(5000)); // it says nothing any more
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(left_domain, without_the_platform_nothing_is_taken_on_and_nothing_given_up) {
    m_is_table_read = false;
    pass(milliseconds(6000));
    EXPECT_EQ(adopted(), 0U);
    m_is_table_read = true;
    pass(milliseconds(1600));
    EXPECT_EQ(adopted(), 4U);
    m_is_table_read = false;
    pass(milliseconds(6000));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(left_domain, its_executors_go_back_when_an_entry_comes) {
    pass(milliseconds(4000));
    ASSERT_EQ(adopted(), 4U);
    receive("their", "there");
    pass(milliseconds(40));
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(left_domain, its_executors_go_back_when_an_entry_says_on_the_platform_that_it_lives) {
    pass(milliseconds(4000));
    ASSERT_EQ(adopted(), 4U);
    m_version++;
    pass(milliseconds(1100));
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(left_domain, is_shared_out_among_the_dispatchers_of_the_others) {
    m_adoption.set_listed_executors(make_executors(40, "there"));
    for (int i = 0; i < 12; i++) {
        receive("third", "elsewhere");
        pass(milliseconds(300));
    }
    EXPECT_GT(adopted(), 8U);
    EXPECT_LT(adopted(), 32U);
}

TEST_F(left_domain, what_another_entry_has_adopted_is_waited_for) {
    m_adoption.set_listed_executors(make_executors(20, "there"));
    std::vector<std::string> all;
    for (const auto& it : make_executors(20, "there")) {
        all.push_back(it.id);
    }
    for (int i = 0; i < 15; i++) {
        receive("helper", "elsewhere", all);
        pass(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
    for (int i = 0; i < 3; i++) {
        receive("helper", "elsewhere");
        pass(milliseconds(300));
    }
    EXPECT_GT(adopted(), 4U);
}

// An entry that comes back waits until the helper has let an executor go.
TEST_F(left_domain, an_entry_that_returns_claims_only_what_is_let_go) {
    receive("helper", "elsewhere", {"here0"});
    EXPECT_EQ(m_view.own_executors(make_executors(2, "here"), {}, m_now).size(), 1U);
    receive("helper", "elsewhere");
    EXPECT_EQ(m_view.own_executors(make_executors(2, "here"), {}, m_now).size(), 2U);
}

} // namespace
} // namespace savorytrail::fleet
