// Tests of jobs that another entry has forwarded: whatever happens to that entry and to orders, no
// run outlives the lease that the entry has granted.
#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/simulated_cell.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;

constexpr limits by_default;

class a_leased_job : public testing::Test {
protected:
    a_leased_job() : m_cell(7, 4, {64000, 131072, 0}, 1) {
        m_cell.at(0).assign(m_cell.executor_infos());
        m_cell.run_for(milliseconds(100));
    }

    std::uint64_t submit(const work::job& job, milliseconds lease) {
        return m_cell.at(0).submit_leased(job, m_cell.now() + lease,
                                          [this](const auto& it) { m_outcomes.push_back(it); });
    }

    void submit_local(const work::job& job) {
        m_cell.at(0).submit(job, [this](const auto& it) { m_local_outcomes.push_back(it); });
    }

    std::size_t running(const std::string& job) {
        std::size_t n = 0;
        for (int i = 0; i < 4; i++) {
            for (const auto& [task, run] : m_cell.executor(i).running()) {
                n += task.job == job ? 1 : 0;
            }
        }
        return n;
    }

    simulated_cell m_cell;
    std::vector<work::outcome> m_outcomes;
    std::vector<work::outcome> m_local_outcomes;
};

// A job that was held up on its way ran although its entry had given it up long before.
TEST_F(a_leased_job, starts_nothing_before_its_lease_is_granted) {
    const auto ticket = submit(make_job("a", 4, milliseconds(200)), milliseconds(0));
    m_cell.run_for(milliseconds(100));
    EXPECT_EQ(m_cell.starts, 0U);
    m_cell.at(0).jobs().renew("a", ticket, m_cell.now() + by_default.job_lease);
    m_cell.run_for(milliseconds(300));
    EXPECT_EQ(m_cell.starts, 4U);
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::succeeded);
}

TEST_F(a_leased_job, is_refused_when_no_lease_is_ever_granted) {
    submit(make_job("a", 4, milliseconds(200)), milliseconds(0));
    m_cell.run_for(by_default.first_renewal_timeout + milliseconds(100));
    EXPECT_EQ(m_cell.starts, 0U);
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

TEST_F(a_leased_job, runs_on_while_its_lease_is_renewed) {
    const auto ticket = submit(make_job("a", 4, milliseconds(1700)), by_default.job_lease);
    for (int i = 0; i < 10; i++) {
        m_cell.run_for(milliseconds(180));
        m_cell.at(0).jobs().renew("a", ticket, m_cell.now() + by_default.job_lease);
    }
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::succeeded);
    EXPECT_EQ(m_cell.starts, 4U);
}

struct lost_stops_case {
    const char* name;
    int lost_stops; // in thousandths
};

class a_leased_job_without_renewals : public a_leased_job,
                                      public testing::WithParamInterface<lost_stops_case> {};

// Runs of a job went on after the entry that held its caller had failed, until the dispatcher
// noticed; or to their end, when stop orders were lost while other jobs kept the lease renewed.
TEST_P(a_leased_job_without_renewals, has_no_run_left_when_its_lease_ends) {
    m_cell.faults.lost_stops = GetParam().lost_stops;
    submit(make_job("a", 4, milliseconds(1500)), by_default.job_lease);
    submit_local(make_job("b", 4, milliseconds(1500)));
    m_cell.run_for(milliseconds(100));
    EXPECT_EQ(running("a"), 4U);
    m_cell.run_for(by_default.job_lease - milliseconds(100));
    EXPECT_EQ(running("a"), 0U);
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
}

// The same for callers of this entry: by when they may resend the job, its runs have ended.
TEST_P(a_leased_job_without_renewals, has_no_run_left_a_while_after_its_caller_left) {
    m_cell.faults.lost_stops = GetParam().lost_stops;
    const auto ticket =
        m_cell.at(0).submit(make_job("a", 4, milliseconds(1900)), [](const auto&) {});
    submit_local(make_job("b", 4, milliseconds(1900)));
    m_cell.run_for(milliseconds(100));
    m_cell.at(0).abandon(ticket);
    m_cell.run_for(by_default.job_lease);
    EXPECT_EQ(running("a"), 0U);
}

INSTANTIATE_TEST_SUITE_P(stops, a_leased_job_without_renewals,
                         testing::Values(lost_stops_case{"arrive", 0},
                                         lost_stops_case{"lost", 1000}),
                         [](const auto& it) { return std::string(it.param.name); });

// A task that started near the end of its job's lease got the rest of a longer lease, which its
// executor had been granted for another job.
TEST_F(a_leased_job, does_not_outlive_its_lease_by_that_of_another_job) {
    submit_local(make_job("b", 4, milliseconds(1900)));
    m_cell.run_for(milliseconds(100));
    for (int age = 0; age < by_default.job_lease.count(); age += 20) {
        submit(make_job("a" + std::to_string(age), 1, milliseconds(1900), 1000),
               by_default.job_lease - milliseconds(age));
    }
    m_cell.run_for(milliseconds(40));
    m_cell.at(0).kill(); // stops nothing any more
    std::map<std::string, common::time_point> may_end_by;
    for (int age = 0; age < by_default.job_lease.count(); age += 20) {
        may_end_by["a" + std::to_string(age)] =
            m_cell.now() + by_default.job_lease - milliseconds(age + 40);
    }
    for (int i = 0; i < 200; i++) {
        m_cell.run_for(milliseconds(5));
        for (const auto& [job, end] : may_end_by) {
            EXPECT_TRUE(m_cell.now() < end || running(job) == 0) << job;
        }
    }
}

TEST_F(a_leased_job, is_stopped_early_enough_to_spare_other_runs_on_its_executors) {
    submit(make_job("a", 4, milliseconds(1500)), by_default.job_lease);
    submit_local(make_job("b", 4, milliseconds(1500)));
    m_cell.run_for(milliseconds(1700));
    ASSERT_EQ(m_local_outcomes.size(), 1U);
    EXPECT_EQ(m_local_outcomes[0].end, job_end::succeeded);
    EXPECT_EQ(m_cell.starts, 8U);
}

// A job that was sent again to the same cell went on for its first attempt, whose end nobody saw.
TEST_F(a_leased_job, goes_on_for_the_latest_attempt_of_its_caller_only) {
    submit_local(make_job("a", 4, milliseconds(1900)));
    m_cell.run_for(milliseconds(100));
    submit(make_job("a", 4, milliseconds(1900)), by_default.job_lease);
    ASSERT_EQ(m_local_outcomes.size(), 1U);
    EXPECT_EQ(m_local_outcomes[0].end, job_end::given_up);
    m_cell.run_for(milliseconds(100));
    EXPECT_EQ(running("a"), 4U);
    m_cell.run_for(by_default.job_lease - milliseconds(100));
    EXPECT_EQ(running("a"), 0U);
    EXPECT_EQ(m_cell.starts, 4U);
}

TEST_F(a_leased_job, is_kept_for_its_first_attempt_until_a_later_one_is_known_to_be_live) {
    submit_local(make_job("a", 4, milliseconds(300)));
    m_cell.run_for(milliseconds(100));
    submit(make_job("a", 4, milliseconds(300)), milliseconds(0));
    m_cell.run_for(milliseconds(250));
    ASSERT_EQ(m_local_outcomes.size(), 1U);
    EXPECT_EQ(m_local_outcomes[0].end, job_end::succeeded);
}

// The disconnect of a caller that came during a stall was processed only after leases had been
// renewed for its job.
TEST_F(a_leased_job, is_not_renewed_right_after_a_stall) {
    submit_local(make_job("a", 4, milliseconds(1900)));
    m_cell.run_for(milliseconds(100));
    m_cell.at(0).pause(milliseconds(500));
    m_cell.run_for(milliseconds(501));
    const auto& executors = m_cell.at(0).manager().executors();
    std::vector<std::int64_t> leases;
    leases.reserve(executors.size());
    for (const auto& [id, it] : executors) {
        leases.push_back(it->lease_until);
    }
    m_cell.run_for(milliseconds(30));
    std::size_t i = 0;
    for (const auto& [id, it] : executors) {
        EXPECT_EQ(it->lease_until, leases[i++]) << id;
    }
}

} // namespace
} // namespace savorytrail::cell
