// The simulated fleet itself: it works without faults, and its faults do what they say.
#include <gtest/gtest.h>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr milliseconds settle_time{1500};

work::job short_job(const std::string& id) {
    return cell::make_job(id, 2, milliseconds(200));
}

TEST(simulated_fleet, each_domain_gets_one_dispatcher) {
    simulated_fleet fleet({});
    fleet.run_for(settle_time);
    for (int domain = 0; domain < fleet.domains(); domain++) {
        const int holder = fleet.dispatcher_of(domain);
        ASSERT_GE(holder, 0);
        EXPECT_EQ(fleet.entry(holder).held_executors(), 4U);
    }
    for (int slot = 0; slot < fleet.entries(); slot++) {
        const auto now = fleet.entry(slot).now();
        EXPECT_EQ(fleet.entry(slot).view().live_peers(now).size(), 5U);
    }
}

TEST(simulated_fleet, without_faults_all_callers_succeed) {
    for (std::uint64_t seed = 1; seed <= 20; seed++) {
        simulated_fleet fleet({seed});
        fleet.run_for(settle_time);
        for (int i = 0; i < 30; i++) {
            fleet.callers().submit(cell::make_job("job-" + std::to_string(i), 1 + fleet.pick(6),
                                                  milliseconds(20 + fleet.pick(700))));
            fleet.run_for(milliseconds(fleet.pick(300)));
        }
        EXPECT_TRUE(
            fleet.run_until([&] { return fleet.callers().have_all_ended(); }, milliseconds(3000)));
        for (std::size_t i = 0; i < fleet.callers().size(); i++) {
            EXPECT_EQ(fleet.callers().end_of(i), work::job_end::succeeded) << "seed " << seed;
        }
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }
}

TEST(simulated_fleet, a_caller_whose_entry_ends_sends_again) {
    simulated_fleet fleet({});
    fleet.callers().choose_entry = [](std::size_t, int attempt) { return attempt == 0 ? 0 : 5; };
    fleet.run_for(settle_time);
    const auto start = fleet.time().now();
    const auto caller = fleet.callers().submit(short_job("job"));
    fleet.run_for(milliseconds(50));
    fleet.end_entry(0, true);
    ASSERT_TRUE(fleet.run_until([&] { return fleet.callers().end_of(caller).has_value(); },
                                milliseconds(3000)));
    EXPECT_EQ(fleet.callers().end_of(caller), work::job_end::succeeded);
    EXPECT_GE(fleet.time().now() - start, simulated_callers::resend_delay + milliseconds(200));
}

TEST(simulated_fleet, an_entry_behind_a_cut_is_lost_and_found_again) {
    simulated_fleet fleet({});
    fleet.run_for(settle_time);
    const auto sees = [&](int slot, int other) {
        return fleet.entry(slot).view().is_live(simulated_entry::name_of(other),
                                                fleet.entry(slot).now());
    };
    fleet.network().way(0, 1).cuts_datagrams = true;
    fleet.run_for(milliseconds(2000));
    EXPECT_FALSE(sees(1, 0));
    fleet.network().heal();
    fleet.run_for(milliseconds(1500));
    EXPECT_TRUE(sees(1, 0));
}

TEST(simulated_fleet, a_suspended_entry_stands_still_with_its_clock) {
    simulated_fleet fleet({});
    fleet.run_for(settle_time);
    auto& entry = fleet.entry(0);
    const auto before = entry.now();
    entry.suspend(milliseconds(700));
    fleet.run_for(milliseconds(500));
    EXPECT_FALSE(entry.is_running());
    EXPECT_EQ(entry.now(), before);
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(entry.now(), before + milliseconds(100));
    EXPECT_EQ(entry.suspended(), milliseconds(700));
    entry.pause(milliseconds(700));
    fleet.run_for(milliseconds(500));
    EXPECT_FALSE(entry.is_running());
    EXPECT_EQ(entry.now(), before + milliseconds(600));
}

// An entry that forwarded a job to a dispatcher that lost power, and restarted before it was
// missed, kept the caller waiting until its patience had ended.
TEST(simulated_fleet, a_caller_whose_dispatcher_restarts_unnoticed_sends_again) {
    for (std::uint64_t seed = 1; seed <= 20; seed++) {
        simulated_fleet fleet({seed, 2, {0, 4}});
        fleet.callers().choose_entry = [](std::size_t, int) { return 0; };
        fleet.run_for(settle_time);
        const auto caller = fleet.callers().submit(cell::make_job("job", 2, milliseconds(1500)));
        fleet.run_for(milliseconds(100));
        const int dispatcher = fleet.dispatcher_of(1);
        ASSERT_EQ(fleet.passed_to["job"], simulated_entry::name_of(dispatcher));
        fleet.end_entry(dispatcher, false);
        fleet.run_for(milliseconds(100));
        fleet.restart_entry(dispatcher);
        const auto restart = fleet.time().now();
        const auto is_answered = [&] { return fleet.callers().is_answered(caller, restart); };
        EXPECT_TRUE(fleet.run_until(is_answered, milliseconds(600))) << "seed " << seed;
        const auto has_ended = [&] { return fleet.callers().end_of(caller).has_value(); };
        EXPECT_TRUE(fleet.run_until(has_ended, milliseconds(8000))) << "seed " << seed;
        EXPECT_EQ(fleet.callers().end_of(caller), work::job_end::succeeded) << "seed " << seed;
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }
}

// What the simulation is for: the check sees a task that runs on two executors.
TEST(simulated_fleet, two_runs_of_a_task_are_a_violation) {
    simulated_fleet fleet({});
    fleet.run_for(settle_time);
    int attempt = 0;
    fleet.callers().choose_entry = [&](std::size_t, int) { return 2 * attempt++; };
    fleet.callers().submit(cell::make_job("job", 1, milliseconds(900)));
    fleet.callers().submit(cell::make_job("job", 1, milliseconds(900)));
    fleet.run_for(milliseconds(100));
    EXPECT_FALSE(fleet.violations.empty());
}

} // namespace
} // namespace savorytrail::cells
