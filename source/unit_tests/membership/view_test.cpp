// Tests of the view under simulated time.
#include "core/membership/view.h"

#include <gtest/gtest.h>

namespace savorytrail::membership {
namespace {

using platform::vm_role;
using platform::vm_state;
using std::chrono::seconds;

platform::vm make_vm(const std::string& name, const std::string& domain,
                     vm_state state = vm_state::live) {
    return {name, vm_role::entry, domain, "r", common::endpoint{"127.0.0.1", 9000}, state};
}

class view_rules : public testing::Test {
protected:
    view_rules() { m_view.update(m_list, m_now); }

    heartbeat make_heartbeat(const std::string& from, std::uint64_t sequence,
                             std::uint64_t process = 1) {
        heartbeat it;
        it.vm = submission::vm_number(from);
        it.incarnation = {process, process};
        it.sequence = sequence;
        return it;
    }

    // Receives one heartbeat of b per second.
    void receive_for(seconds time) {
        for (int i = 0; i < time.count(); i++) {
            m_now += seconds(1);
            m_view.receive(make_heartbeat("b", m_sequence++), m_now);
        }
    }

    std::vector<std::string> live(const std::string& domain = "d") {
        return m_view.live_entries(domain, m_now);
    }

    using names = std::vector<std::string>;

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{{"a", "d", "r"}, {}};
    const std::vector<platform::vm> m_list = {make_vm("a", "d"), make_vm("b", "d"),
                                              make_vm("x", "other"), make_vm("y", "other")};
};

TEST_F(view_rules, a_listed_entry_without_heartbeats_is_live_for_the_grace_period_only) {
    m_now += seconds(3);
    EXPECT_EQ(live(), (names{"a", "b"}));
    m_now += seconds(1);
    EXPECT_EQ(live(), (names{"a"}));
    receive_for(seconds(1));
    EXPECT_EQ(live(), (names{"a", "b"}));
}

TEST_F(view_rules, an_entry_without_heartbeats_is_suspected) {
    receive_for(seconds(10));
    m_now += seconds(3);
    EXPECT_EQ(live(), (names{"a", "b"}));
    m_now += seconds(1);
    EXPECT_EQ(live(), (names{"a"}));
    EXPECT_EQ(m_view.find("b", m_now)->state, liveness::suspected);
}

TEST_F(view_rules, a_flapping_entry_needs_more_heartbeats_each_time) {
    receive_for(seconds(1));
    for (const int wait : {2, 4, 8, 16, 16}) {
        m_now += seconds(9);
        receive_for(seconds(wait));
        EXPECT_EQ(live(), (names{"a"})) << wait;
        receive_for(seconds(1));
        EXPECT_EQ(live(), (names{"a", "b"})) << wait;
    }
    receive_for(seconds(301));
    m_now += seconds(9);
    receive_for(seconds(3));
    EXPECT_EQ(live(), (names{"a", "b"}));
}

TEST_F(view_rules, heartbeats_of_a_replaced_incarnation_are_ignored) {
    EXPECT_TRUE(m_view.receive(make_heartbeat("b", 5, 1), m_now));
    EXPECT_FALSE(m_view.receive(make_heartbeat("b", 5, 1), m_now));
    EXPECT_TRUE(m_view.receive(make_heartbeat("b", 1, 2), m_now));
    EXPECT_FALSE(m_view.receive(make_heartbeat("b", 6, 1), m_now));
    EXPECT_EQ(m_view.find("b", m_now)->last.incarnation, (submission::incarnation{2, 2}));
}

TEST_F(view_rules, heartbeats_of_unlisted_entries_and_its_own_are_ignored) {
    const auto before = m_view.peers(m_now);
    EXPECT_FALSE(m_view.receive(make_heartbeat("unlisted", 1), m_now));
    EXPECT_FALSE(m_view.receive(make_heartbeat("a", 1), m_now));
    EXPECT_EQ(m_view.peers(m_now), before);
}

struct departure {
    const char* name;
    vm_state listed;
    entry_state reported;
    bool is_live;
};

class departing : public view_rules, public testing::WithParamInterface<departure> {};

TEST_P(departing, entry_is_not_live_by_its_own_state_or_the_lists) {
    auto it = make_heartbeat("b", 1);
    it.state = GetParam().reported;
    m_view.receive(it, m_now);
    m_view.update({make_vm("a", "d"), make_vm("b", "d", GetParam().listed)}, m_now);
    EXPECT_EQ(live(), GetParam().is_live ? (names{"a", "b"}) : (names{"a"}));
}

INSTANTIATE_TEST_SUITE_P(
    table, departing,
    testing::Values(departure{"serving", vm_state::live, entry_state::serving, true},
                    departure{"stopping", vm_state::live, entry_state::stopping, false},
                    departure{"left", vm_state::live, entry_state::left, false},
                    departure{"listed_leaving", vm_state::leaving, entry_state::serving, false},
                    departure{"listed_gone", vm_state::gone, entry_state::serving, false}),
    [](const auto& param) { return param.param.name; });

TEST_F(view_rules, a_domain_is_orphaned_when_all_its_entries_are_silent_or_leaving) {
    EXPECT_FALSE(m_view.is_orphaned("other", m_now));
    EXPECT_TRUE(m_view.is_orphaned("without-entries", m_now));
    m_now += seconds(16);
    EXPECT_TRUE(m_view.is_orphaned("other", m_now));
    EXPECT_FALSE(m_view.is_orphaned("d", m_now));
    m_view.receive(make_heartbeat("y", 1), m_now);
    EXPECT_FALSE(m_view.is_orphaned("other", m_now));
    auto it = make_heartbeat("y", 2);
    it.state = entry_state::left;
    m_view.receive(it, m_now);
    EXPECT_TRUE(m_view.is_orphaned("other", m_now));
}

TEST_F(view_rules, no_domain_is_orphaned_before_the_first_list) {
    const view fresh({"a", "d", "r"}, {});
    EXPECT_FALSE(fresh.is_orphaned("other", m_now));
    EXPECT_EQ(fresh.live_entries("d", m_now), (names{"a"}));
}

TEST_F(view_rules, entries_of_other_domains_stay_live_with_rare_heartbeats) {
    m_view.receive(make_heartbeat("x", 1), m_now);
    m_now += seconds(30);
    EXPECT_EQ(live("other"), (names{"x", "y"}));
    m_now += seconds(31);
    EXPECT_TRUE(live("other").empty());
}

TEST_F(view_rules, idle_slots_and_demand_are_reported_until_max_age) {
    auto it = make_heartbeat("b", 1);
    it.idle = {{7, 3}};
    it.demand = {{9, 40, 25}};
    m_view.receive(it, m_now);
    m_view.receive(make_heartbeat("b", 2), m_now); // carries other list elements
    EXPECT_EQ(m_view.idle(7, seconds(2), m_now), (std::vector<idle_slots>{{"b", 7, 3}}));
    EXPECT_EQ(m_view.demand(seconds(2), m_now), (std::vector<entry_demand>{{"b", {9, 40, 25}}}));
    m_now += seconds(3);
    EXPECT_TRUE(m_view.idle(7, seconds(2), m_now).empty());
    EXPECT_TRUE(m_view.demand(seconds(2), m_now).empty());
}

TEST_F(view_rules, listed_entries_counts_entries_that_are_listed_as_live) {
    EXPECT_EQ(m_view.listed_entries(), 4U);
    m_now += std::chrono::hours(1);
    EXPECT_EQ(m_view.listed_entries(), 4U);
    m_view.update({make_vm("a", "d"), make_vm("b", "d", vm_state::leaving)}, m_now);
    EXPECT_EQ(m_view.listed_entries(), 1U);
}

} // namespace
} // namespace savorytrail::membership
