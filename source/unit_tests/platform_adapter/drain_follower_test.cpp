// Tests of which failure domains are drained by what the platform's store delivers.
#include "platform/drain_follower.h"

#include <gtest/gtest.h>

namespace savorytrail::platform_adapter {
namespace {

using names = std::vector<std::string>;
using change = store_client::table_change;

store_row put(const std::string& key, std::uint64_t version, const std::string& value = "{}") {
    return {key, value, version, false};
}

store_row removed(const std::string& key, std::uint64_t version) {
    return {key, "", version, true};
}

struct delivery {
    std::string failure; // that it guards against
    std::vector<change> changes;
    names drained;
    int unreadable = 0;

    friend std::ostream& operator<<(std::ostream& out, const delivery& it) {
        return out << it.failure;
    }
};

class a_drain_follower : public testing::Test {
protected:
    int count(std::string_view event) const {
        return static_cast<int>(std::count(m_events.begin(), m_events.end(), event));
    }

    common::manual_clock m_clock;
    fleet::drained_domains m_drains;
    std::vector<std::string> m_events;
    drain_follower m_follower{m_clock, m_drains, [](const auto&) {},
                              [this](std::string_view event) { m_events.emplace_back(event); }};
};

class deliveries : public a_drain_follower, public testing::WithParamInterface<delivery> {};

TEST_P(deliveries, drain_what_the_rows_say) {
    for (const auto& it : GetParam().changes) {
        m_follower.on_rows(it);
    }
    EXPECT_EQ(m_drains.names(), GetParam().drained);
    EXPECT_EQ(count("drain_row_unreadable"), GetParam().unreadable);
    EXPECT_TRUE(m_drains.is_known());
}

constexpr bool snapshot = true;
constexpr bool feed = false;
const std::string a = "evacuate/a";
const std::string b = "evacuate/b";

std::vector<store_row> many(int n) {
    std::vector<store_row> rows;
    rows.reserve(n);
    for (int i = 0; i < n; i++) {
        rows.push_back(put("evacuate/" + std::to_string(100 + i), 3));
    }
    return rows;
}

// 64 domains in force, then 64 others and a malformed row for one of those in force.
std::vector<change> many_and_malformed() {
    std::vector<change> changes = {{many(64), 5, snapshot}, {{}, 6, snapshot}};
    auto& rows = changes.back().rows;
    for (int i = 0; i < 64; i++) {
        rows.push_back(put("evacuate/" + std::to_string(101 + i), 6));
    }
    rows.push_back(put("evacuate/100", 6, "["));
    return changes;
}

names last_64() {
    names list;
    for (int i = 0; i < 64; i++) {
        list.push_back(std::to_string(101 + i));
    }
    return list;
}

names first_64() {
    names list;
    for (int i = 0; i < 64; i++) {
        list.push_back(std::to_string(100 + i));
    }
    return list;
}

INSTANTIATE_TEST_SUITE_P(
    rows, deliveries,
    testing::Values(
        delivery{"other rows of the table drain", {{{put("config", 3)}, 5, snapshot}}, {}},
        delivery{"a row in the snapshot is missed", {{{put(a, 3)}, 5, snapshot}}, {"a"}},
        delivery{"a row in the feed is missed",
                 {{{}, 5, snapshot}, {{put(a, 6), put(b, 7)}, 7, feed}},
                 {"a", "b"}},
        delivery{"a tombstone is missed",
                 {{{put(a, 3), put(b, 4)}, 5, snapshot}, {{removed(a, 6)}, 6, feed}},
                 {"b"}},
        delivery{"a row that a snapshot lacks stays in force",
                 {{{put(a, 3), put(b, 4)}, 5, snapshot}, {{put(b, 4)}, 9, snapshot}},
                 {"b"}},
        delivery{"a repeated row undoes a later one",
                 {{{put(a, 8)}, 6, snapshot}, {{removed(a, 7), put(a, 8)}, 8, feed}},
                 {"a"}},
        delivery{"a snapshot older than what is known counts",
                 {{{put(a, 9)}, 9, snapshot}, {{}, 4, snapshot}},
                 {"a"}},
        delivery{"a malformed row drains or hinders others",
                 {{{put("evacuate/", 2), put(a, 3, "[]"), put(b, 4)}, 5, snapshot}},
                 {"b"},
                 2},
        delivery{"a malformed row is reported with each snapshot",
                 {{{put(a, 3, "{")}, 5, snapshot}, {{put(a, 3, "{")}, 6, snapshot}},
                 {},
                 1},
        delivery{"a malformed row ends the drain that it replaces",
                 {{{put(a, 3)}, 5, snapshot},
                  {{put(a, 6, "\xff")}, 6, feed},
                  {{put(a, 6, "\xff")}, 7, snapshot}},
                 {"a"},
                 1},
        delivery{
            "a malformed row cannot be removed",
            {{{put(a, 3)}, 5, snapshot}, {{put(a, 6, "")}, 6, feed}, {{removed(a, 7)}, 7, feed}},
            {},
            1},
        delivery{"a removed row with a malformed key is reported",
                 {{{}, 5, snapshot}, {{removed("evacuate/", 6)}, 6, feed}},
                 {}},
        delivery{"a name too long for heartbeats is shared",
                 {{{put("evacuate/" + std::string(65, 'x'), 3)}, 5, snapshot}},
                 {},
                 1},
        delivery{"too many rows undo all drains", {{many(66), 5, snapshot}}, first_64(), 2},
        delivery{"a malformed row beyond the limit hides all others", many_and_malformed(),
                 last_64(), 1}));

// Of two rows that are written while a snapshot is read, one may be missed. If the other one's
// version counted for the snapshot, other entries would never adopt the complete set of the feed.
TEST_F(a_drain_follower, takes_a_snapshot_for_no_newer_than_its_version) {
    m_follower.on_rows({{put(b, 7)}, 5, snapshot});
    fleet::drained_domains other;
    other.merge(m_drains.state(m_clock.now()), m_clock.now());
    m_follower.on_rows({{put(a, 6), put(b, 7)}, 7, feed});
    other.merge(m_drains.state(m_clock.now()), m_clock.now());
    EXPECT_EQ(other.names(), (names{"a", "b"}));
}

TEST_F(a_drain_follower, reports_a_drain_of_an_unknown_domain_once_and_keeps_it) {
    m_follower.on_rows({{put(a, 3), put(b, 4)}, 5, snapshot});
    EXPECT_EQ(count("drain_domain_unknown"), 0); // the domains are not listed yet
    m_follower.set_known_domains({"b"});
    m_follower.set_known_domains({"b"});
    m_follower.on_rows({{put(a, 3), put(b, 4)}, 6, snapshot});
    EXPECT_EQ(count("drain_domain_unknown"), 1);
    EXPECT_EQ(m_drains.names(), (names{"a", "b"}));
}

// A change of the configuration must not pass for a newer state of the drains than was read.
TEST_F(a_drain_follower, ignores_changes_of_other_rows) {
    m_follower.on_rows({{put(a, 3)}, 5, snapshot});
    m_follower.on_rows({{put("config", 8)}, 8, feed});
    EXPECT_EQ(m_drains.version(), 5U);
}

} // namespace
} // namespace savorytrail::platform_adapter
