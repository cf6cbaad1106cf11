// Incident 26 (docs/incidents/two-runs.md): a job's caller sends it again, to an entry of another
// failure domain, while the dispatcher of the first attempt goes on with it. One test for each
// hypothesis. Domain 0 has no executors, so what its entries take runs in another domain.
#include <gtest/gtest.h>

#include <algorithm>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr int first_entry = 0; // takes the first attempt
constexpr milliseconds settle_time{1500};
constexpr milliseconds task_time{1700};
constexpr milliseconds until_the_end{4000};

std::string text_of(const simulated_fleet& fleet) {
    std::string text =
        "longest overlap: " + std::to_string(fleet.longest_overlap.count()) + " ms\n";
    for (const auto& line : fleet.violations) {
        text += line + "\n";
    }
    for (const auto& line : fleet.trace) {
        text += "  " + line + "\n";
    }
    return text;
}

// One job whose first attempt goes to `first_entry`, and each later one to the dispatcher of the
// domain that did not run the first.
class resent_job {
public:
    explicit resent_job(std::uint64_t seed) : fleet({seed, 2, {0, 4, 4}}) {
        fleet.is_tracing = true;
        fleet.callers().choose_entry = [this](std::size_t, int attempt) {
            return attempt == 0 ? first_entry : fleet.dispatcher_of(1 + 2 - first_domain);
        };
        fleet.run_for(settle_time);
    }

    void submit() { caller = fleet.callers().submit(cell::make_job("job", 4, task_time)); }

    // Submits the job, and waits until its tasks run.
    void submit_and_start() {
        submit();
        const bool runs = fleet.run_until([this] { return !fleet.domains_running("job").empty(); },
                                          milliseconds(200));
        ASSERT_TRUE(runs);
        fleet.run_for(milliseconds(10));
        ASSERT_TRUE(note_target());
    }

    // Notes where the first attempt was forwarded to, if it was.
    bool note_target() {
        for (int domain = 1; domain < fleet.domains(); domain++) {
            const int dispatcher = fleet.dispatcher_of(domain);
            if (fleet.passed_to["job"] == simulated_entry::name_of(dispatcher)) {
                first_domain = domain;
                first_dispatcher = dispatcher;
            }
        }
        return first_dispatcher != -1;
    }

    std::string violations_text() const { return text_of(fleet); }

    simulated_fleet fleet;
    std::size_t caller = 0;
    int first_domain = 1;
    int first_dispatcher = -1;
};

class two_runs : public testing::TestWithParam<std::uint64_t> {};

// Guards against H1: the entry that held the caller loses power just after a heartbeat, and the
// dispatcher notices its silence no sooner than the caller sends the job again.
TEST_P(two_runs, entry_loses_power) {
    resent_job it(GetParam());
    it.submit_and_start();
    const auto& dispatcher = it.fleet.entry(it.first_dispatcher);
    it.fleet.run_until(
        [&] {
            const auto* from = dispatcher.view().find(simulated_entry::name_of(first_entry));
            return from->last_heard == dispatcher.now();
        },
        milliseconds(500));
    it.fleet.end_entry(first_entry, false);
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against H1 with a stall: a dispatcher that was not scheduled for a while waits longer.
TEST_P(two_runs, entry_loses_power_while_the_dispatcher_is_paused) {
    resent_job it(GetParam());
    it.submit_and_start();
    it.fleet.end_entry(first_entry, false);
    it.fleet.run_for(milliseconds(500));
    it.fleet.entry(it.first_dispatcher).pause(milliseconds(400));
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against H2: a connection breaks at the entry's end alone. The entry tells its caller at
// once that the job was given up, but neither the end of the connection nor the message that the
// job is abandoned reaches the dispatcher, while heartbeats do.
TEST_P(two_runs, dispatcher_is_not_told_that_the_entry_gave_up) {
    resent_job it(GetParam());
    it.submit_and_start();
    it.fleet.network().way(first_entry, it.first_dispatcher).cuts_streams = true;
    it.fleet.network().reset(first_entry, it.first_dispatcher, true, false);
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against H2 without any connection error: the connections between the two carry nothing any
// more in either direction while heartbeats and new connections work, and the caller leaves.
TEST_P(two_runs, connection_is_silent_when_the_caller_leaves) {
    resent_job it(GetParam());
    it.submit_and_start();
    it.fleet.network().silence(first_entry, it.first_dispatcher);
    it.fleet.network().silence(it.first_dispatcher, first_entry);
    it.fleet.network().way(first_entry, it.first_dispatcher).cuts_streams = true;
    it.fleet.callers().reset(it.fleet.callers().open_calls().front());
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against H2 where the dispatcher never counted the entry as live: it is told only of
// entries that stop being live.
TEST_P(two_runs, dispatcher_never_heard_the_entry) {
    resent_job it(GetParam());
    it.fleet.end_entry(first_entry, true);
    it.fleet.run_for(milliseconds(2500));
    it.fleet.restart_entry(first_entry);
    for (int other = 1; other < it.fleet.entries(); other++) {
        it.fleet.network().way(first_entry, other).cuts_datagrams = true;
    }
    const auto knows_a_dispatcher = [&] {
        const auto& entry = it.fleet.entry(first_entry);
        const auto live = entry.view().live_peers(entry.now());
        return std::any_of(live.begin(), live.end(), [](const auto* peer) {
            return peer->status.load.capacity_cpu_millis > 0;
        });
    };
    ASSERT_TRUE(it.fleet.run_until(knows_a_dispatcher, milliseconds(3000)));
    it.submit();
    it.fleet.run_for(milliseconds(210)); // starts only where the entry need not be heard for that
    ASSERT_TRUE(it.note_target());
    it.fleet.end_entry(first_entry, false);
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against H3: the dispatcher learns at once that the caller left, but its stop orders are
// lost while the runs' leases are renewed.
TEST_P(two_runs, stop_orders_are_lost) {
    resent_job it(GetParam());
    it.submit_and_start();
    for (int i = 0; i < it.fleet.executors(); i++) {
        it.fleet.orders_between(it.first_dispatcher, i).lost_stops = 1000;
    }
    it.fleet.callers().reset(it.fleet.callers().open_calls().front());
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against a job message that is held up on its way: the entry gives the job up meanwhile,
// and the dispatcher starts it when it arrives, after the caller has sent it again.
TEST_P(two_runs, job_arrives_after_its_entry_gave_it_up) {
    resent_job it(GetParam());
    for (int other = 1; other < it.fleet.entries(); other++) {
        auto& way = it.fleet.network().way(first_entry, other);
        way.held_up = 1000;
        way.min_hold = way.max_hold = milliseconds(1500);
    }
    it.submit();
    it.fleet.run_for(milliseconds(50));
    ASSERT_TRUE(it.note_target());
    it.fleet.network().reset(first_entry, it.first_dispatcher, true, false);
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against an entry that was not scheduled and reads the job after its caller, behind a cut,
// has waited in vain: the patience in the job counts from when it was sent.
TEST_P(two_runs, entry_reads_the_job_late) {
    resent_job it(GetParam());
    it.submit();
    it.fleet.entry(first_entry).pause(milliseconds(2100));
    it.fleet.run_for(milliseconds(10));
    const auto call = it.fleet.callers().open_calls().front();
    call->cuts_requests = true;
    call->cuts_answers = true;
    it.fleet.run_for(milliseconds(2200));
    it.note_target(); // it need not be forwarded so late
    it.fleet.run_for(until_the_end);
    EXPECT_TRUE(it.fleet.violations.empty()) << it.violations_text();
}

// Guards against an executor that restarts unnoticed, within one cell: the answers that would show
// it are lost, so the dispatcher computes leases by the clock of the process before. Starts and
// renewals then grant the longest lease, and the dispatcher counts the runs as ended too soon.
TEST_P(two_runs, executor_restarts_unnoticed) {
    simulated_fleet fleet({GetParam(), 2, {4, 0, 0}});
    fleet.is_tracing = true;
    fleet.callers().choose_entry = [&](std::size_t, int) { return fleet.dispatcher_of(0); };
    fleet.run_for(milliseconds(2000)); // a report request has just begun to wait
    auto& faults = fleet.orders_between(fleet.dispatcher_of(0), 0);
    faults.cuts_answers = true;
    fleet.crash_executor(0);
    fleet.run_for(milliseconds(5));
    faults.cuts_answers = false;
    fleet.run_for(milliseconds(200));
    fleet.callers().submit(cell::make_job("job", 1, task_time));
    fleet.run_for(milliseconds(20));
    ASSERT_FALSE(fleet.executor(0).running().empty());
    faults.cuts_answers = true;
    fleet.run_for(until_the_end);
    EXPECT_TRUE(fleet.violations.empty()) << text_of(fleet);
}

INSTANTIATE_TEST_SUITE_P(seeds, two_runs, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace savorytrail::cells
