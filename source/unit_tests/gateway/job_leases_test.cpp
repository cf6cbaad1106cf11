// Tests of the leases of forwarded jobs: when they are asked for, and until when an answer extends
// them.
#include "core/gateway/job_leases.h"

#include <gtest/gtest.h>

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

constexpr std::uint64_t own_incarnation = 7;
constexpr milliseconds lease{975};
const forward_id forward{"entry", 3, 41};

class leases_of_jobs : public testing::Test {
protected:
    // The only request that is due.
    lease_request take_request() {
        const auto list = m_leases.due();
        EXPECT_EQ(list.size(), 1U);
        return list.empty() ? lease_request() : list[0].request;
    }

    lease_answer answer(const lease_request& to) const {
        return {forward.entry, forward.incarnation, to.stamp, to.numbers, {}};
    }

    common::manual_clock m_clock;
    job_leases m_leases{m_clock, "dispatcher", own_incarnation, lease};
};

TEST_F(leases_of_jobs, are_asked_for_at_once_when_a_job_comes_without_one) {
    m_leases.add(forward, m_leases.held_until(std::nullopt));
    const auto request = take_request();
    EXPECT_EQ(request.dispatcher, "dispatcher");
    EXPECT_EQ(request.incarnation, forward.incarnation);
    EXPECT_EQ(request.numbers, std::vector<std::uint64_t>{forward.number});
}

TEST_F(leases_of_jobs, are_asked_for_again_until_they_are_granted) {
    m_leases.add(forward, m_clock.now());
    take_request();
    EXPECT_TRUE(m_leases.due().empty());
    m_clock.advance(milliseconds(100));
    take_request();
}

TEST_F(leases_of_jobs, are_renewed_long_before_they_end) {
    m_leases.add(forward, m_clock.now() + lease);
    EXPECT_TRUE(m_leases.due().empty());
    m_clock.advance(lease / 4);
    take_request();
}

TEST_F(leases_of_jobs, of_closed_jobs_are_not_asked_for) {
    m_leases.add(forward, m_clock.now());
    m_leases.remove(forward);
    EXPECT_TRUE(m_leases.due().empty());
}

TEST_F(leases_of_jobs, are_split_into_datagrams_of_limited_size) {
    for (std::uint64_t i = 1; i <= 2 * max_lease_numbers + 1; i++) {
        m_leases.add({forward.entry, forward.incarnation, i}, m_clock.now());
    }
    EXPECT_EQ(m_leases.due().size(), 3U);
}

// Answers that were under way for a while extended runs beyond the time at which callers resend.
TEST_F(leases_of_jobs, count_from_the_request_however_late_the_answer_is) {
    m_leases.add(forward, m_clock.now());
    const auto asked_at = m_clock.now();
    const auto late = answer(take_request());
    m_clock.advance(milliseconds(400));
    const auto renewals = m_leases.receive(late);
    EXPECT_EQ(renewals.held, std::vector<forward_id>{forward});
    EXPECT_EQ(renewals.held_until, asked_at + lease);
}

struct worthless_stamp_case {
    const char* name;
    std::uint64_t incarnation;
    milliseconds age;
    milliseconds suspended_since;
};

class a_worthless_stamp : public leases_of_jobs,
                          public testing::WithParamInterface<worthless_stamp_case> {};

// A job or an answer that was held up, or that was meant for an earlier life, extended runs.
TEST_P(a_worthless_stamp, grants_no_lease) {
    m_leases.add(forward, m_clock.now());
    auto stamp = take_request().stamp;
    stamp.incarnation = GetParam().incarnation;
    m_clock.advance(GetParam().age);
    m_clock.suspend(GetParam().suspended_since);
    EXPECT_EQ(m_leases.held_until(stamp), m_clock.now());
}

INSTANTIATE_TEST_SUITE_P(
    all, a_worthless_stamp,
    testing::Values(
        worthless_stamp_case{"too_old", own_incarnation, lease, milliseconds(0)},
        worthless_stamp_case{"of_an_earlier_life", own_incarnation - 1, milliseconds(1),
                             milliseconds(0)},
        worthless_stamp_case{"from_before_a_suspension", own_incarnation, milliseconds(1), lease},
        worthless_stamp_case{"of_the_future", own_incarnation, milliseconds(-50), milliseconds(0)}),
    [](const auto& it) { return std::string(it.param.name); });

TEST(lease_messages, keep_all_fields) {
    const lease_stamp stamp{9, milliseconds(1234)};
    const lease_request request{"dispatcher", stamp, 3, {1, 2}};
    const lease_answer answer{"entry", 3, stamp, {1}, {2}};
    EXPECT_EQ(decode_lease_request(encode(request)), request);
    EXPECT_EQ(decode_lease_answer(encode(answer)), answer);
    EXPECT_FALSE(decode_lease_request(encode(answer)));
    EXPECT_FALSE(decode_lease_answer(encode(request)));
    EXPECT_FALSE(decode_lease_request("\x01\x02"));
}

} // namespace
} // namespace savorytrail::gateway
