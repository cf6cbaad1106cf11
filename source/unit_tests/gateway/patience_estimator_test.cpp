// Tests of the wait estimated from a caller's patience, with resubmissions as outages cause them.
#include "core/gateway/patience_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

class a_queue : public testing::Test {
protected:
    // First submissions have a patience of 2,000 to 3,000 ms, resubmissions 1,300 ms less.
    milliseconds draw(double resent_fraction) {
        std::uniform_real_distribution<double> unit(0, 1);
        const auto first = milliseconds(2000 + static_cast<int>(1000 * unit(m_random)));
        return unit(m_random) < resent_fraction ? first - milliseconds(1300) : first;
    }

    void note(int n, double resent_fraction = 0.01) {
        for (int i = 0; i < n; i++) {
            m_estimator.add_sample("q", draw(resent_fraction));
        }
    }

    std::mt19937_64 m_random{7};
    patience_estimator m_estimator;
};

TEST_F(a_queue, without_enough_samples_has_no_estimate) {
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(10)), milliseconds(0));
    note(10);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(10)), milliseconds(0));
    EXPECT_TRUE(m_estimator.floors().empty());
}

TEST_F(a_queue, with_few_samples_estimates_no_wait_for_first_submissions) {
    for (int i = 0; i < 200; i++) {
        note(1, 0);
        EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0)) << i;
    }
}

TEST_F(a_queue, estimates_the_wait_of_resubmitted_jobs) {
    note(1000);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0));
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(3000)), milliseconds(0));
    const auto wait = m_estimator.estimate_wait("q", milliseconds(800));
    EXPECT_GE(wait, milliseconds(1000));
    EXPECT_LE(wait, milliseconds(1400));
}

TEST_F(a_queue, keeps_its_floor_after_an_outage) {
    note(1000);
    note(100, 0.6);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0));
    EXPECT_GE(m_estimator.estimate_wait("q", milliseconds(800)), milliseconds(800));
}

TEST_F(a_queue, adapts_when_callers_wait_less) {
    note(1000);
    for (int i = 0; i < 3000; i++) {
        m_estimator.add_sample("q", draw(0.01) / 3);
    }
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(700)), milliseconds(0));
}

TEST_F(a_queue, keeps_its_floor_after_a_restart) {
    note(1000);
    patience_estimator restarted;
    restarted.restore(m_estimator.floors());
    EXPECT_EQ(restarted.estimate_wait("q", milliseconds(800)),
              m_estimator.estimate_wait("q", milliseconds(800)));
    EXPECT_FALSE(restarted.differs_from(m_estimator.floors()));
    restarted.restore({{"q", milliseconds(1)}}); // does not replace a known floor
    EXPECT_GT(restarted.estimate_wait("q", milliseconds(800)), milliseconds(0));
}

TEST_F(a_queue, is_published_when_its_floor_has_changed) {
    note(1000);
    EXPECT_TRUE(m_estimator.differs_from({}));
    EXPECT_TRUE(m_estimator.differs_from({{"q", milliseconds(100)}}));
}

} // namespace
} // namespace savorytrail::gateway
