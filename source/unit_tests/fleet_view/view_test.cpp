// Tests of the view of live entries and of what is derived from it, in simulated time.
#include "core/fleet/view.h"

#include <gtest/gtest.h>

#include "core/fleet/assignment.h"
#include "core/fleet/link_choice.h"
#include "unit_tests/fleet_view/executors.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;
using names = std::vector<std::string>;

heartbeat make_heartbeat(const std::string& name, std::uint64_t incarnation,
                         const std::string& domain = "d", std::uint32_t share = 250) {
    heartbeat it;
    it.sender = {name, domain, "10.0.0.9", incarnation, share};
    it.status.knows_executors = true;
    it.heard_recipient = milliseconds(10);
    it.wanted_interval = milliseconds(150);
    return it;
}

std::vector<std::uint64_t> keys(const names& ids) {
    std::vector<std::uint64_t> list;
    for (const auto& it : ids) {
        list.push_back(executor_key(it));
    }
    return list;
}

class entries : public testing::Test {
protected:
    entries() {
        entry_status own;
        own.knows_executors = true;
        m_view.set_status(own);
    }

    void receive(heartbeat it) {
        it.status.sequence = m_sequence++;
        m_view.receive(it, "10.0.0.9", m_now);
        choose_links(m_view, {}, false, m_now);
        m_view.refresh(m_now);
    }

    // The executors that this entry is to hold.
    std::vector<work::executor_info> own_executors(const std::vector<work::executor_info>& listed,
                                                   const std::set<std::string>& held_here = {}) {
        m_view.refresh(m_now);
        m_assignment.set_executors(listed);
        m_assignment.update(m_view, held_here, m_now);
        return m_assignment.own_executors();
    }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{{"self", "d", "10.0.0.1", 5, 250}, 7000, {}, m_now};
    assignment m_assignment;
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
    it.status.is_leaving = true;
    receive(it);
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
}

TEST_F(entries, a_silent_one_is_reported_lost_once) {
    receive(make_heartbeat("old", 1));
    EXPECT_TRUE(m_view.refresh(m_now).empty());
    m_now += milliseconds(650);
    EXPECT_EQ(m_view.refresh(m_now), names{"old"});
    EXPECT_TRUE(m_view.refresh(m_now).empty());
    EXPECT_EQ(m_view.dispatchers("d", 10, m_now), names{"self"});
}

// An entry that restarted before it was missed was never reported as lost, so that callers of jobs
// at its earlier life waited until their patience ended.
TEST_F(entries, one_that_restarts_before_it_is_missed_is_reported_lost) {
    receive(make_heartbeat("old", 1));
    m_now += milliseconds(300);
    auto again = make_heartbeat("old", 2);
    names lost;
    for (int i = 0; i < 50; i++) {
        again.status.sequence++;
        const auto learnt = m_view.receive(again, "10.0.0.9", m_now);
        lost.insert(lost.end(), learnt.restarted.begin(), learnt.restarted.end());
        EXPECT_EQ(lost, names{"old"}) << i; // at once, so that no job at its new life is affected
        for (const auto& name : m_view.refresh(m_now)) {
            lost.push_back(name);
        }
        m_now += milliseconds(100);
    }
    EXPECT_EQ(lost, names{"old"});
}

// News of its new life may arrive before its heartbeats do.
TEST_F(entries, one_that_restarted_is_reported_lost_by_news) {
    receive(make_heartbeat("other", 1));
    receive(make_heartbeat("old", 2));
    auto relay = make_heartbeat("other", 1);
    relay.status.sequence = m_sequence++;
    const auto restarted = make_heartbeat("old", 3);
    entry_news news;
    news.key = entry_key(restarted.sender);
    news.identity = restarted.sender;
    news.status.sequence = 1;
    relay.news = {news};
    EXPECT_EQ(m_view.receive(relay, "10.0.0.9", m_now).restarted, names{"old"});
    relay.status.sequence = m_sequence++;
    EXPECT_EQ(m_view.receive(relay, "10.0.0.9", m_now).restarted, names());
}

TEST_F(entries, one_that_is_seen_for_the_first_time_is_not_reported_lost) {
    m_view.add_entry({"listed", "d", "10.0.0.9"});
    for (const auto* name : {"listed", "unlisted"}) {
        const auto learnt = m_view.receive(make_heartbeat(name, 1), "10.0.0.9", m_now);
        EXPECT_EQ(learnt.seen, names{name});
        EXPECT_EQ(learnt.restarted, names());
    }
}

TEST_F(entries, one_that_restarts_after_it_was_missed_is_reported_lost_once) {
    receive(make_heartbeat("old", 1));
    m_now += milliseconds(650);
    ASSERT_EQ(m_view.refresh(m_now), names{"old"});
    const auto learnt = m_view.receive(make_heartbeat("old", 2), "10.0.0.9", m_now);
    EXPECT_EQ(learnt.seen, names{"old"});
    EXPECT_EQ(learnt.restarted, names());
}

// What it says of the time before there was a link to it does not count.
TEST_F(entries, one_that_does_not_receive_heartbeats_is_lost) {
    auto it = make_heartbeat("deaf", 1);
    it.heard_recipient = milliseconds(900);
    for (int i = 0; i < 13; i++) {
        receive(it);
        m_now += milliseconds(100);
        EXPECT_EQ(m_view.is_live("deaf", m_now), i < 11) << i;
    }
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
    EXPECT_TRUE(m_view.refresh(m_now).empty());
    EXPECT_TRUE(m_view.is_live("old", m_now));
    m_now += milliseconds(650);
    EXPECT_FALSE(m_view.is_live("old", m_now));
}

TEST_F(entries, heartbeats_of_an_earlier_incarnation_change_nothing) {
    receive(make_heartbeat("old", 7));
    const auto learnt = m_view.receive(make_heartbeat("old", 6), "10.0.0.9", m_now);
    EXPECT_EQ(learnt, view::learnt());
    EXPECT_EQ(m_view.find("old")->identity.incarnation, 7U);
}

TEST_F(entries, executors_held_by_another_are_not_claimed_until_released) {
    auto it = make_heartbeat("young", 9);
    it.held = keys({"d0", "d1"});
    receive(it);
    EXPECT_EQ(own_executors(make_executors(4, "d")).size(), 2U);
    EXPECT_EQ(own_executors(make_executors(4, "d"), {"d0"}).size(), 3U);
    m_now += milliseconds(650);
    EXPECT_EQ(own_executors(make_executors(4, "d")).size(), 4U);
}

TEST_F(entries, executors_are_assigned_anew_only_when_an_input_has_changed) {
    receive(make_heartbeat("young", 9));
    m_assignment.set_executors(make_executors(4, "d"));
    EXPECT_TRUE(m_assignment.update(m_view, {}, m_now));
    receive(make_heartbeat("young", 9)); // with nothing new
    EXPECT_FALSE(m_assignment.update(m_view, {}, m_now));
    EXPECT_TRUE(m_assignment.update(m_view, {"d0"}, m_now));
    auto it = make_heartbeat("young", 9);
    it.held = keys({"d1"});
    receive(it);
    EXPECT_TRUE(m_assignment.update(m_view, {"d0"}, m_now));
    receive(make_heartbeat("old", 1));
    EXPECT_TRUE(m_assignment.update(m_view, {"d0"}, m_now));
}

// News of an entry without a link to this one.
TEST_F(entries, one_known_by_news_only_is_live_while_the_news_go_on) {
    auto relay = make_heartbeat("relay", 9);
    entry_news news;
    news.identity = entry_identity{"far", "e", "10.0.0.8", 3, 250};
    news.key = entry_key(*news.identity);
    news.status.load.capacity_cpu_millis = 64000;
    news.age = milliseconds(300);
    for (int i = 0; i < 5; i++) {
        news.status.sequence++;
        relay.status.sequence = m_sequence++;
        relay.news = {news};
        m_view.receive(relay, "10.0.0.9", m_now);
        news.identity.reset(); // introduced only once
        m_now += milliseconds(900);
    }
    EXPECT_TRUE(m_view.is_live("far", m_now));
    relay.status.sequence = m_sequence++; // its news are no newer than before
    m_view.receive(relay, "10.0.0.9", m_now);
    m_now += milliseconds(900);
    EXPECT_FALSE(m_view.is_live("far", m_now));
}

TEST_F(entries, news_do_not_outweigh_missing_heartbeats) {
    auto far = make_heartbeat("far", 3, "e");
    far.status.sequence = 1;
    m_view.receive(far, "10.0.0.8", m_now);
    m_view.note_in_use("far", m_now);
    entry_news news;
    news.key = entry_key(far.sender);
    auto relay = make_heartbeat("relay", 9);
    for (int i = 0; i < 14; i++) {
        m_now += milliseconds(100);
        m_view.note_in_use("far", m_now);
        news.status.sequence = 100 + static_cast<std::uint64_t>(i);
        relay.news = {news};
        receive(relay);
    }
    EXPECT_FALSE(m_view.is_live("far", m_now)) << "jobs sent there would not arrive";
}

TEST_F(entries, news_of_an_entry_that_was_not_introduced_are_ignored) {
    auto relay = make_heartbeat("relay", 9);
    entry_news news;
    news.key = 77;
    relay.news = {news};
    receive(relay);
    EXPECT_EQ(m_view.live_peers(m_now).size(), 1U);
}

TEST_F(entries, one_that_is_gone_and_not_listed_is_forgotten) {
    receive(make_heartbeat("gone", 1));
    receive(make_heartbeat("listed", 2));
    m_view.add_entry({"listed", "d", "10.0.0.9"});
    m_now += milliseconds(61000);
    m_view.refresh(m_now);
    EXPECT_EQ(m_view.find("gone"), nullptr);
    EXPECT_NE(m_view.find("listed"), nullptr);
}

TEST_F(entries, the_view_settles_once_the_entries_are_listed_or_after_a_while) {
    EXPECT_FALSE(m_view.has_settled(m_now));
    EXPECT_TRUE(m_view.has_settled(m_now + milliseconds(700)));
    m_view.note_entries_listed(m_now);
    EXPECT_FALSE(m_view.has_settled(m_now + milliseconds(99)));
    EXPECT_TRUE(m_view.has_settled(m_now + milliseconds(100)));
}

TEST(heartbeats, keep_all_fields_when_encoded) {
    auto it = make_heartbeat("a", 7);
    it.status.sequence = 3;
    it.status.is_leaving = true;
    it.status.configuration_version = 12;
    it.status.executor_list_version = 13;
    it.status.domain_executors = 14;
    it.status.store_age = milliseconds(15);
    it.status.load = {100, 50, 7};
    it.status.adopted = {1, 2};
    it.held = {3, 4};
    it.heard_recipient = milliseconds(40);
    it.news.push_back(
        {9, entry_identity{"c", "d", "10.0.0.1", 8, 120}, it.status, milliseconds(20)});
    it.news.push_back({10, std::nullopt, entry_status(), milliseconds(0)});
    EXPECT_EQ(decode_heartbeat(encode(it)), it);
    EXPECT_FALSE(decode_heartbeat("nonsense"));
    EXPECT_FALSE(decode_heartbeat(""));
    EXPECT_FALSE(decode_heartbeat(encode(it).substr(0, 30)));
}

TEST(heartbeats, are_understood_in_the_previous_format) {
    auto it = make_heartbeat("a", 7);
    it.status.sequence = 3;
    it.status.load = {100, 50, 7};
    const auto bytes = encode_previous(it, {{"x", "y"}, {"z"}}, "b");
    EXPECT_FALSE(decode_heartbeat(bytes));
    const auto decoded = decode_previous(bytes, "b");
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->content.status.load, it.status.load);
    EXPECT_EQ(decoded->content.held, keys({"x", "y"}));
    EXPECT_EQ(decoded->content.status.adopted, keys({"z"}));
    EXPECT_EQ(decoded->content.heard_recipient, milliseconds(10));
    EXPECT_EQ(decode_previous(bytes, "other")->content.heard_recipient, std::nullopt);
    EXPECT_FALSE(decode_previous(encode(it), "b"));
    EXPECT_FALSE(decode_previous("nonsense", "b"));
}

} // namespace
} // namespace savorytrail::fleet
