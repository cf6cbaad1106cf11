// Tests of how an entry merges what the store says of drained domains with what others tell.
#include "core/fleet/drained_domains.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/fleet/heartbeat.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;
using names = std::vector<std::string>;

constexpr common::time_point start{std::chrono::hours(1)};

drain_state told(std::uint64_t version, const names& domains, milliseconds known_for) {
    drain_state it;
    it.version = version;
    for (const auto& domain : domains) {
        it.domains.push_back({domain, known_for});
    }
    return it;
}

// What an entry learns, in this order.
struct lesson {
    enum source { store, entry } from;
    std::uint64_t version;
    names domains;
};

struct history {
    std::string failure; // that it guards against
    std::vector<lesson> lessons;
    names expected;
    std::uint64_t expected_version;

    friend std::ostream& operator<<(std::ostream& out, const history& it) {
        return out << it.failure;
    }
};

class histories : public testing::TestWithParam<history> {};

TEST_P(histories, end_with_the_newest_state) {
    drained_domains drains;
    for (const auto& it : GetParam().lessons) {
        const auto change = it.from == lesson::store
                                ? drains.read(it.version, it.domains, start)
                                : drains.merge(told(it.version, it.domains, {}), start);
        EXPECT_FALSE(change.is_rejected);
    }
    EXPECT_EQ(drains.names(), GetParam().expected);
    EXPECT_EQ(drains.version(), GetParam().expected_version);
}

constexpr auto store = lesson::store;
constexpr auto entry = lesson::entry;

INSTANTIATE_TEST_SUITE_P(
    drains, histories,
    testing::Values(
        history{"a drain is not learnt from the store", {{store, 5, {"a"}}}, {"a"}, 5},
        history{"an entry without the store does not learn", {{entry, 5, {"a"}}}, {"a"}, 5},
        history{"a late heartbeat undoes a drain", {{entry, 5, {"a"}}, {entry, 4, {}}}, {"a"}, 5},
        history{"a late heartbeat revives a drain", {{store, 6, {}}, {entry, 5, {"a"}}}, {}, 6},
        history{"a stale snapshot undoes a drain", {{entry, 5, {"a"}}, {store, 4, {}}}, {"a"}, 5},
        history{"a heartbeat received twice matters",
                {{entry, 5, {"a"}}, {entry, 6, {}}, {entry, 5, {"a"}}, {entry, 6, {}}},
                {},
                6},
        history{"one of two domains drained in turn is kept",
                {{store, 5, {"a"}}, {store, 6, {"a", "b"}}, {entry, 7, {"b"}}},
                {"b"},
                7},
        history{"the end of a drain is missed while the store is down",
                {{store, 5, {"a"}}, {entry, 9, {}}},
                {},
                9},
        history{"an entry without the fields ends a drain",
                {{store, 5, {"a"}}, {entry, 0, {}}},
                {"a"},
                5},
        history{"another entry's view of a version outweighs the store",
                {{entry, 5, {"a"}}, {store, 5, {"a", "b"}}, {entry, 5, {"a"}}},
                {"a", "b"},
                5}));

TEST(drained_domains, are_unknown_until_the_store_was_read) {
    drained_domains drains;
    drains.merge(told(5, {"a"}, milliseconds(0)), start);
    EXPECT_FALSE(drains.is_known()); // that entry may be cut off
    drains.read(3, {}, start);
    EXPECT_TRUE(drains.is_known());
}

// Bytes between domains are scarce, but an entry that missed the end of a drain must learn of it.
TEST(drained_domains, are_told_to_others_once_there_was_a_drain) {
    drained_domains drains;
    drains.read(7, {}, start);
    EXPECT_EQ(drains.state(start), drain_state());
    drains.merge(told(5, {"a"}, milliseconds(0)), start);
    EXPECT_EQ(drains.state(start), told(7, {}, milliseconds(0)));
}

// An entry that learnt of a drain late, or that has restarted, granted the time anew.
TEST(drained_domains, grant_jobs_that_have_begun_a_time_that_counts_from_the_first_entry) {
    drained_domains drains;
    drains.merge(told(5, {"a"}, milliseconds(1400)), start);
    EXPECT_TRUE(drains.may_finish_in("a", start + milliseconds(99)));
    EXPECT_FALSE(drains.may_finish_in("a", start + milliseconds(100)));
    drains.read(6, {"a"}, start + milliseconds(50));
    EXPECT_FALSE(drains.may_finish_in("a", start + milliseconds(100)));
    EXPECT_TRUE(drains.may_finish_in("other", start + milliseconds(100)));
}

TEST(drained_domains, learn_from_an_equal_version_that_a_drain_is_older) {
    drained_domains drains;
    drains.read(5, {"a"}, start);
    drains.merge(told(5, {"a"}, milliseconds(700)), start);
    EXPECT_EQ(drains.state(start), told(5, {"a"}, milliseconds(700)));
}

TEST(drained_domains, report_which_drains_begin_and_end) {
    drained_domains drains;
    EXPECT_EQ(drains.read(5, {"a", "b"}, start).begun, (names{"a", "b"}));
    EXPECT_TRUE(drains.read(6, {"a", "b"}, start).is_empty());
    const auto change = drains.merge(told(7, {"b", "c"}, milliseconds(0)), start);
    EXPECT_EQ(change.begun, names{"c"});
    EXPECT_EQ(change.ended, names{"a"});
}

class unacceptable_states : public testing::TestWithParam<names> {};

TEST_P(unacceptable_states, change_nothing) {
    drained_domains drains;
    drains.read(5, {"a"}, start);
    EXPECT_TRUE(drains.merge(told(6, GetParam(), milliseconds(0)), start).is_rejected);
    EXPECT_TRUE(drains.read(6, GetParam(), start).is_rejected);
    EXPECT_EQ(drains.state(start), told(5, {"a"}, milliseconds(0)));
}

names numbered(int n) {
    names list;
    for (int i = 0; i < n; i++) {
        list.push_back("domain-" + std::to_string(i));
    }
    return list;
}

INSTANTIATE_TEST_SUITE_P(drains, unacceptable_states,
                         testing::Values(names{""}, names{std::string(65, 'x')}, numbered(65)));

TEST(drained_domains, take_a_negative_age_for_none) {
    drained_domains drains;
    drains.merge(told(5, {"a"}, milliseconds(-100000)), start);
    EXPECT_FALSE(drains.may_finish_in("a", start + milliseconds(1500)));
}

// The largest state must not make heartbeats too long for a datagram.
TEST(drained_domains, fit_into_a_heartbeat) {
    drained_domains drains;
    names domains;
    for (int i = 0; i < 64; i++) {
        domains.push_back(std::string(62, 'x') + std::to_string(10 + i));
    }
    ASSERT_FALSE(drains.read(5, domains, start).is_rejected);
    heartbeat it;
    it.sender.name = "n";
    it.shared.drains = drains.state(start);
    const auto bytes = encode(it);
    EXPECT_LT(bytes.size(), 6000U);
    EXPECT_EQ(decode_heartbeat(bytes)->shared.drains, it.shared.drains);
}

// Heartbeats that are lost, repeated or out of order, and entries that restart: all entries agree
// with the store once the newest version has reached each of them.
RC_GTEST_PROP(drained_domains, agree_after_any_exchange, ()) {
    constexpr int entries = 4;
    std::vector<drained_domains> fleet(entries);
    std::vector<drain_state> sent;
    names drained;
    std::uint64_t version = 1;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; i++) {
        auto& any = fleet[*rc::gen::inRange(0, entries)];
        switch (*rc::gen::inRange(0, 4)) {
        case 0: // the table changes
            version++;
            drained = *rc::gen::element(names{}, names{"a"}, names{"b"}, names{"a", "b"});
            break;
        case 1:
            any.read(version, drained, start);
            break;
        case 2: // a heartbeat, which may arrive later, again or never
            sent.push_back(any.state(start));
            break;
        default:
            if (!sent.empty()) {
                any.merge(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], start);
            }
        }
    }
    fleet[0].read(++version, drained, start);
    for (const auto& it : fleet) { // heartbeats go both ways
        fleet[0].merge(it.state(start), start);
    }
    for (auto& it : fleet) {
        it.merge(fleet[0].state(start), start);
        RC_ASSERT(it.names() == drained);
    }
}

} // namespace
} // namespace savorytrail::fleet
