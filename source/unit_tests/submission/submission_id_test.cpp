// Tests of submission ids and of their issuer.
#include "core/submission/submission_id.h"

#include <gtest/gtest.h>

#include "core/submission/issuer.h"

namespace savorytrail::submission {
namespace {

class issuing : public testing::Test {
protected:
    common::manual_clock m_clock;
    common::seeded_random m_random{1};
    issuer m_issuer{"zilina-1", m_clock, m_random, common::milliseconds(1000)};
};

TEST_F(issuing, ids_are_distinct_and_survive_their_text_form) {
    const auto ids = m_issuer.issue(3);
    ASSERT_EQ(ids.size(), 3U);
    EXPECT_NE(ids[0].sequence, ids[1].sequence);
    for (const auto& it : ids) {
        EXPECT_EQ(parse_submission_id(to_string(it)), it);
        EXPECT_TRUE(m_issuer.is_genuine(it));
    }
}

TEST_F(issuing, ids_expire_by_the_home_s_clock) {
    const auto id = m_issuer.issue(1).front();
    m_clock.advance(common::milliseconds(999));
    EXPECT_FALSE(m_issuer.is_expired(id));
    m_clock.advance(common::milliseconds(1));
    EXPECT_TRUE(m_issuer.is_expired(id));
}

TEST_F(issuing, changed_ids_are_not_genuine) {
    auto id = m_issuer.issue(1).front();
    id.sequence++;
    EXPECT_FALSE(m_issuer.is_genuine(id));
    id.sequence--;
    id.expires_ms += 1000;
    EXPECT_FALSE(m_issuer.is_genuine(id));
}

TEST_F(issuing, another_incarnation_s_ids_are_not_genuine) {
    issuer other("zilina-1", m_clock, m_random, common::milliseconds(1000));
    EXPECT_FALSE(m_issuer.is_genuine(other.issue(1).front()));
}

class malformed_id : public testing::TestWithParam<const char*> {};

TEST_P(malformed_id, is_rejected) {
    EXPECT_EQ(parse_submission_id(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_id,
    testing::Values("", "s1_", "x", "s2_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
                    "s1_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
                    "s1_!!!!AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"));

} // namespace
} // namespace savorytrail::submission
