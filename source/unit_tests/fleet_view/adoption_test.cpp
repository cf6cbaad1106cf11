// Tests of when the executors of a failure domain without live entries are adopted. Each case is a
// sequence of events as seen by an entry of another domain, in simulated time.
#include "core/fleet/adoption.h"

#include <gtest/gtest.h>

#include "core/fleet/assignment.h"
#include "core/fleet/link_choice.h"
#include "unit_tests/fleet_view/executors.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

heartbeat make_heartbeat(const std::string& name, const std::string& domain) {
    heartbeat it;
    it.sender = {name, domain, "10.0.0.9", 1, 250};
    it.status.knows_executors = true;
    it.heard_recipient = milliseconds(10);
    return it;
}

// This entry is the only one of "here"; "there" has four executors.
class orphaned_domain : public testing::Test {
protected:
    orphaned_domain() { m_adoption.set_listed_executors(make_executors(4, "there")); }

    // Advances the time. The executors of "there" answer probes while they are reachable, and the
    // platform's table can be read while it is available.
    void advance(milliseconds duration) {
        const auto end = m_now + duration;
        while (m_now < end) {
            m_now += milliseconds(40);
            m_adoption.update(m_view, m_now);
            if (m_adoption.take_due_table_read(m_now) && m_is_table_available) {
                read_table();
            }
            for (const auto& it : m_adoption.take_due_probes(m_now)) {
                m_probes++;
                if (m_is_reachable) {
                    m_adoption.note_probe_answered(it.id, m_now);
                }
            }
            hold(m_adoption.adopted_executors(m_view, m_held_here, m_now));
        }
    }

    // Executors to adopt are held at once.
    void hold(const std::vector<work::executor_info>& adopted) {
        m_held_here.clear();
        for (const auto& it : adopted) {
            m_held_here.insert(it.id);
            m_adoption.note_held(it.id, m_now);
        }
    }

    void receive(const std::string& name, const std::string& domain,
                 const std::vector<std::string>& adopted = {}, bool is_leaving = false) {
        auto it = make_heartbeat(name, domain);
        it.status.sequence = m_sequence++;
        for (const auto& id : adopted) {
            it.status.adopted.push_back(executor_key(id));
        }
        it.status.is_leaving = is_leaving;
        m_view.receive(it, "10.0.0.9", m_now);
        choose_links(m_view, {}, false, m_now);
        m_view.refresh(m_now);
    }

    void read_table() {
        m_adoption.note_entry_row("owner", "there", m_version, m_now);
        m_adoption.note_table_read(m_now);
    }

    std::size_t adopted() const {
        return m_adoption.adopted_executors(m_view, m_held_here, m_now).size();
    }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{{"self", "here", "10.0.0.1", 1, 250}, 7000, {}, m_now};
    adoption m_adoption;
    std::set<std::string> m_held_here;
    std::uint64_t m_version = 7; // of the row of "owner"
    bool m_is_reachable = true;
    bool m_is_table_available = true;
    int m_probes = 0;
};

TEST_F(orphaned_domain, its_executors_are_adopted_within_three_seconds) {
    advance(milliseconds(1400));
    EXPECT_EQ(adopted(), 0U);
    advance(milliseconds(1600));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(orphaned_domain, its_first_executor_is_adopted_on_trial) {
    while (adopted() == 0) {
        advance(milliseconds(40));
    }
    EXPECT_EQ(adopted(), 1U);
    advance(milliseconds(360));
    EXPECT_EQ(adopted(), 1U);
    advance(milliseconds(80));
    EXPECT_EQ(adopted(), 4U);
}

// The domain's entries are partitioned from all other entries and from the platform, but still use
// their executors.
TEST_F(orphaned_domain, an_executor_used_by_another_entry_stops_the_adoption) {
    while (adopted() == 0) {
        advance(milliseconds(40));
    }
    m_adoption.note_used_by_other("there", m_now);
    for (int i = 0; i < 9; i++) {
        advance(milliseconds(1000));
        EXPECT_EQ(adopted(), 0U);
    }
    advance(milliseconds(2500));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(orphaned_domain, executors_are_not_probed_while_an_entry_is_live) {
    for (int i = 0; i < 20; i++) {
        receive("owner", "there");
        advance(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
    EXPECT_EQ(m_probes, 0);
}

TEST_F(orphaned_domain, a_leaving_entry_counts_as_live) {
    for (int i = 0; i < 20; i++) {
        receive("owner", "there", {}, true);
        advance(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(orphaned_domain, unreachable_executors_are_not_adopted) {
    m_is_reachable = false;
    advance(milliseconds(10000));
    EXPECT_EQ(adopted(), 0U);
}

// When a partition between the domains heals, the executors answer at once, and heartbeats of the
// domain's entries arrive a little later.
TEST_F(orphaned_domain, a_network_partition_that_heals_moves_no_executors) {
    m_is_reachable = false;
    advance(milliseconds(6000));
    m_is_reachable = true;
    advance(milliseconds(1100));
    EXPECT_EQ(adopted(), 0U);
    receive("owner", "there");
    advance(milliseconds(1000));
    EXPECT_EQ(adopted(), 0U);
}

// Entries can't reach each other, but all can reach the executors and the platform: changes of the
// platform's table show that the domain's entry is running.
TEST_F(orphaned_domain, an_entry_that_updates_its_row_keeps_its_executors) {
    for (int i = 0; i < 10; i++) {
        m_version++;
        advance(milliseconds(1000));
        EXPECT_EQ(adopted(), 0U);
    }
    advance(milliseconds(5000)); // it no longer updates its row
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(orphaned_domain, executors_are_neither_adopted_nor_released_without_the_platform) {
    m_is_table_available = false;
    advance(milliseconds(6000));
    EXPECT_EQ(adopted(), 0U);
    m_is_table_available = true;
    advance(milliseconds(1600));
    EXPECT_EQ(adopted(), 4U);
    m_is_table_available = false;
    advance(milliseconds(6000));
    EXPECT_EQ(adopted(), 4U);
}

TEST_F(orphaned_domain, its_executors_are_released_when_an_entry_is_heard) {
    advance(milliseconds(4000));
    ASSERT_EQ(adopted(), 4U);
    receive("owner", "there");
    advance(milliseconds(40));
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(orphaned_domain, its_executors_are_released_when_an_entry_updates_its_row) {
    advance(milliseconds(4000));
    ASSERT_EQ(adopted(), 4U);
    m_version++;
    advance(milliseconds(1100));
    EXPECT_EQ(adopted(), 0U);
}

TEST_F(orphaned_domain, its_executors_are_shared_among_dispatchers_of_other_domains) {
    m_adoption.set_listed_executors(make_executors(40, "there"));
    for (int i = 0; i < 12; i++) {
        receive("third", "elsewhere");
        advance(milliseconds(300));
    }
    EXPECT_GT(adopted(), 8U);
    EXPECT_LT(adopted(), 32U);
}

TEST_F(orphaned_domain, executors_adopted_by_another_entry_are_not_claimed) {
    m_adoption.set_listed_executors(make_executors(20, "there"));
    std::vector<std::string> all;
    for (const auto& it : make_executors(20, "there")) {
        all.push_back(it.id);
    }
    for (int i = 0; i < 15; i++) {
        receive("helper", "elsewhere", all);
        advance(milliseconds(300));
    }
    EXPECT_EQ(adopted(), 0U);
    for (int i = 0; i < 3; i++) {
        receive("helper", "elsewhere");
        advance(milliseconds(300));
    }
    EXPECT_GT(adopted(), 4U);
}

// An entry that returns to its domain waits until the adopting entry has released an executor.
TEST_F(orphaned_domain, a_returning_entry_claims_only_released_executors) {
    assignment own;
    own.set_executors(make_executors(2, "here"));
    receive("helper", "elsewhere", {"here0"});
    EXPECT_TRUE(own.update(m_view, {}, m_now));
    EXPECT_EQ(own.own_executors().size(), 1U);
    receive("helper", "elsewhere");
    EXPECT_TRUE(own.update(m_view, {}, m_now));
    EXPECT_EQ(own.own_executors().size(), 2U);
}

} // namespace
} // namespace savorytrail::fleet
