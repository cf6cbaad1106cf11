// Tests of batched claims and of the deletion of their rows.
#include "core/claim/claimer.h"

#include <gtest/gtest.h>

#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::claim {
namespace {

constexpr common::milliseconds timeout{10000};

claim_row row(std::uint64_t sequence) {
    return {{{1, 2}, 3, 4, sequence, 5}, "digest"};
}

class claimer_rules : public testing::Test {
protected:
    platform::fake_table m_table;
    common::system_clock m_clock;
    claimer m_claimer{m_table, m_clock, {common::milliseconds(20), 100, 1000}};
};

TEST_F(claimer_rules, concurrent_claims_of_a_key_agree_and_share_writes) {
    constexpr int callers = 40;
    std::vector<std::future<common::result<resolved_claim>>> claims;
    claims.reserve(callers);
    for (int i = 0; i < callers; i++) {
        claims.push_back(std::async(std::launch::async, [this, i] {
            return m_claimer.claim({row_key("t", std::to_string(i % 4)), row(i)}, timeout);
        }));
    }
    std::set<std::uint64_t> ids;
    for (auto& it : claims)
        ids.insert(it.get().value().row.id.sequence);
    EXPECT_EQ(ids.size(), 4U);
}

TEST_F(claimer_rules, an_outage_makes_claims_unavailable_and_leaves_no_row) {
    m_table.fail_next_commits({{common::error::unreachable, false}});
    EXPECT_FALSE(m_claimer.claim({"key/t/a", row(1)}, timeout));
    EXPECT_EQ(m_claimer.claim({"key/t/a", row(2)}, timeout).value().row, row(2));
}

// Guards against deleting a row that was deleted and claimed again: the deletion of the first claim
// must not affect it.
TEST_F(claimer_rules, deletes_expired_rows_at_their_version_only) {
    const auto old = m_claimer.claim({"key/t/old", row(1)}, timeout).value();
    const auto renewed = m_claimer.claim({"key/t/renewed", row(2)}, timeout).value();
    const auto text = to_text(row(3));
    ASSERT_TRUE(m_table.commit({{"key/t/renewed", platform::any_version, text}}));
    m_claimer.delete_after(m_clock.now(), {"key/t/old", old.version});
    m_claimer.delete_after(m_clock.now(), {"key/t/renewed", renewed.version});
    const auto limit = m_clock.now() + timeout;
    while (m_table.read_newer("key/t/old", 0) && m_clock.now() < limit)
        std::this_thread::sleep_for(common::milliseconds(20));
    EXPECT_FALSE(m_table.read_newer("key/t/old", 0));
    EXPECT_EQ(m_table.read_newer("key/t/renewed", 0).value()->value, text);
}

} // namespace
} // namespace savorytrail::claim
