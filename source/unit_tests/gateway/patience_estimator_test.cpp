// How old a job is by its caller's patience, in the patterns that outages make.
#include "core/gateway/patience_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

class a_queue : public testing::Test {
protected:
    // First sendings have from 2,000 to 3,000 ms; those sent again 1,300 ms less.
    milliseconds draw(double part_sent_again) {
        std::uniform_real_distribution<double> unit(0, 1);
        const auto first = milliseconds(2000 + static_cast<int>(1000 * unit(m_random)));
        return unit(m_random) < part_sent_again ? first - milliseconds(1300) : first;
    }

    void note(int n, double part_sent_again = 0.01) {
        for (int i = 0; i < n; i++) {
            m_estimator.add_sample("q", draw(part_sent_again));
        }
    }

    std::mt19937_64 m_random{7};
    patience_estimator m_estimator;
};

TEST_F(a_queue, of_which_nothing_is_known_has_no_old_jobs) {
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(10)), milliseconds(0));
    note(10);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(10)), milliseconds(0));
    EXPECT_TRUE(m_estimator.floors().empty());
}

TEST_F(a_queue, of_which_little_is_known_takes_no_first_sending_for_old) {
    for (int i = 0; i < 200; i++) {
        note(1, 0);
        EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0)) << i;
    }
}

TEST_F(a_queue, tells_the_age_of_what_was_sent_again) {
    note(1000);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0));
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(3000)), milliseconds(0));
    const auto age = m_estimator.estimate_wait("q", milliseconds(800));
    EXPECT_GE(age, milliseconds(1000));
    EXPECT_LE(age, milliseconds(1400));
}

TEST_F(a_queue, is_known_as_well_after_an_outage) {
    note(1000);
    note(100, 0.6);
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(2000)), milliseconds(0));
    EXPECT_GE(m_estimator.estimate_wait("q", milliseconds(800)), milliseconds(800));
}

TEST_F(a_queue, whose_callers_wait_less_from_now_on_is_learnt_anew) {
    note(1000);
    for (int i = 0; i < 3000; i++) {
        m_estimator.add_sample("q", draw(0.01) / 3);
    }
    EXPECT_EQ(m_estimator.estimate_wait("q", milliseconds(700)), milliseconds(0));
}

TEST_F(a_queue, is_known_again_after_a_restart) {
    note(1000);
    patience_estimator restarted;
    restarted.restore(m_estimator.floors());
    EXPECT_EQ(restarted.estimate_wait("q", milliseconds(800)),
              m_estimator.estimate_wait("q", milliseconds(800)));
    EXPECT_FALSE(restarted.differs_from(m_estimator.floors()));
    restarted.restore({{"q", milliseconds(1)}}); // what it knows counts more
    EXPECT_GT(restarted.estimate_wait("q", milliseconds(800)), milliseconds(0));
}

TEST_F(a_queue, is_told_of_when_it_has_changed) {
    note(1000);
    EXPECT_TRUE(m_estimator.differs_from({}));
    EXPECT_TRUE(m_estimator.differs_from({{"q", milliseconds(100)}}));
}

} // namespace
} // namespace savorytrail::gateway
