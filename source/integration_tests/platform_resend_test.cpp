// Directed tests of a caller's resend with real entries in three failure domains: the attempt at
// the first entry ends while its task runs in a second domain, and the caller sends the job again
// to an entry of the third domain, as early as the platform allows. The first run must have ended
// by then.
#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using stand_ins::proxy_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using traffic = platform_links::traffic;

// The time from the end of an attempt until the caller sends the job again.
constexpr milliseconds resend_interval{1300};
// Longer than the resend interval, so that the run outlasts it, and within the caller's patience.
constexpr int task_ms = 1900;
// A rough estimate. Lower, so that the learnt durations do not make a dispatcher refuse the job.
constexpr int estimate_ms = 1000;

class resend : public testing::Test {
public:
    ~resend() override = default;

protected:
    static constexpr int holder = 0; // the entry that holds the caller
    static constexpr int executors = 4;
    static constexpr platform_fleet::caller_patience s_leaves_early{milliseconds(2000),
                                                                    milliseconds(300)};

    void TearDown() override {
        if (HasFailure()) {
            const auto* test = testing::UnitTest::GetInstance()->current_test_info();
            m_fleet.save_logs(test->name());
        }
    }

    void SetUp() override {
        for (int i = 0; i < m_fleet.size(); i++) {
            ASSERT_TRUE(m_fleet.wait_until_serving(i));
        }
        // Teaches the dispatchers that estimates hold: the jobs so far were too short to tell.
        for (const int dispatcher : {1, 2, 1, 2}) {
            ASSERT_EQ(m_fleet.submit(dispatcher, "27000 100", 1, 100), 200);
        }
    }

    // Sends a job to the holder and injects the fault while its task runs, given the entry that
    // dispatches it. Sends the job again to the third entry once the attempt has ended.
    void send_twice(const std::function<void(int dispatcher)>& inject_fault,
                    const platform_fleet::caller_patience& patience = {},
                    bool may_be_refused = false) {
        const auto id = platform_fleet::new_id();
        int status = 0;
        steady_clock::time_point ended;
        std::thread caller([&] {
            status = submit(holder, id, patience);
            ended = steady_clock::now();
        });
        const int dispatcher = wait_for_dispatcher(id);
        if (dispatcher != holder) {
            inject_fault(dispatcher);
        }
        caller.join();
        if (may_be_refused && dispatcher == holder && (status == 429 || status == 503)) {
            return; // nothing ran, and its caller knows
        }
        ASSERT_NE(dispatcher, holder) << "the task did not start in another failure domain";
        ASSERT_TRUE(status == 0 || status == 502 || status == 504) << status;
        std::this_thread::sleep_until(ended + resend_interval);
        const auto starts = m_fleet.platform().starts();
        const int second_status = submit(3 - dispatcher, id, patience);
        EXPECT_GT(m_fleet.platform().starts(), starts) << second_status;
        EXPECT_EQ(m_fleet.platform().duplicate_runs(), 0U) << m_fleet.platform().overlaps_text();
    }

    void wait_for_heartbeat(int from, int to) {
        const auto before = m_fleet.links().datagrams(from, to);
        const auto end = steady_clock::now() + seconds(1);
        while (m_fleet.links().datagrams(from, to) == before && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    // The holder's domain has no executors, so that its jobs go to the other two.
    platform_fleet m_fleet{{.entries = 3,
                            .executors = executors,
                            .domains = {"a", "b", "c"},
                            .executor_domains = {"b", "c"},
                            .with_links = true}};

private:
    int submit(int entry, const std::string& id, const platform_fleet::caller_patience& patience) {
        return m_fleet.submit(entry, "27000 " + std::to_string(task_ms), 1, estimate_ms, id,
                              patience);
    }

    // Returns the holder if the task does not start in time.
    int wait_for_dispatcher(const std::string& id) {
        const auto end = steady_clock::now() + seconds(1);
        while (steady_clock::now() < end) {
            const auto domains = m_fleet.platform().domains_running(id);
            if (!domains.empty()) {
                return *domains.begin() == "b" ? 1 : 2;
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        return holder;
    }
};

// Guards against two runs at once when the dispatcher ends a run only once it has missed the
// heartbeats of the entry that lost power for as long as the caller waits to resend.
TEST_F(resend, does_not_overlap_the_run_of_an_entry_that_lost_power_after_a_heartbeat) {
    constexpr int rounds = 4;
    for (int i = 0; i < rounds; i++) {
        send_twice([this](int dispatcher) {
            wait_for_heartbeat(holder, dispatcher);
            m_fleet.cut_power(holder);
        });
        m_fleet.restore_power(holder);
        ASSERT_TRUE(m_fleet.wait_until_serving(holder));
    }
}

// Guards against two runs at once when a dispatcher that stood still does not count that time as
// silence of the entry that lost power.
TEST_F(resend, does_not_overlap_the_run_of_a_dispatcher_that_stood_still) {
    send_twice([this](int dispatcher) {
        m_fleet.cut_power(holder);
        std::this_thread::sleep_for(milliseconds(300));
        m_fleet.entry(dispatcher).send_signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(500));
        m_fleet.entry(dispatcher).send_signal(SIGCONT);
    });
}

// Guards against two runs at once when the entry that lost power is back before the dispatcher has
// missed its heartbeats, so that it never counts as lost.
TEST_F(resend, does_not_overlap_the_run_of_an_entry_that_lost_power_and_is_back) {
    send_twice([this](int) {
        m_fleet.cut_power(holder);
        std::this_thread::sleep_for(milliseconds(200));
        m_fleet.restore_power(holder);
    });
}

// Guards against two runs at once when the dispatcher has not received a heartbeat of the entry
// since it started, so that it cannot count as lost later.
TEST_F(resend, does_not_overlap_the_run_of_an_entry_whose_heartbeats_never_arrived) {
    m_fleet.cut_power(holder);
    std::this_thread::sleep_for(milliseconds(1500)); // the others count it as lost
    m_fleet.links().set_entry_fault(holder, {});
    for (const int dispatcher : {1, 2}) {
        m_fleet.links().set_link_fault(holder, dispatcher, {proxy_mode::drop, {}, 0},
                                       traffic::datagrams);
    }
    m_fleet.start(holder);
    ASSERT_TRUE(m_fleet.wait_until_serving(holder));
    // No lease can be granted this way, so that the job may be refused, but only here.
    send_twice([this](int) { m_fleet.cut_power(holder); }, {}, true);
}

// Guards against two runs at once when stop orders are lost, while the executor's lease is renewed
// for the sake of other jobs there.
TEST_F(resend, does_not_overlap_a_run_whose_stop_orders_are_lost) {
    std::thread other_caller;
    send_twice(
        [&](int dispatcher) {
            for (int i = 0; i < executors; i++) {
                m_fleet.platform().set_stop_fault(i, stand_ins::stop_fault::lost);
            }
            other_caller = std::thread([this, dispatcher] {
                m_fleet.submit(dispatcher, "27000 " + std::to_string(task_ms), 3, estimate_ms);
            });
        },
        s_leaves_early);
    if (other_caller.joinable()) {
        other_caller.join();
    }
}

// Guards against two runs at once when the dispatcher is never told that the caller has left:
// connections from the entry to it have gone silent while heartbeats pass.
TEST_F(resend, does_not_overlap_the_run_of_a_dispatcher_whose_connections_are_silent) {
    send_twice(
        [this](int dispatcher) {
            m_fleet.links().set_link_fault(holder, dispatcher, {proxy_mode::drop, {}, 0},
                                           traffic::connections);
        },
        s_leaves_early);
}

// Guards against two runs at once when the entry loses the connection to the dispatcher and
// answers its caller, while the dispatcher is not told and goes on receiving heartbeats.
TEST_F(resend, does_not_overlap_the_run_of_a_dispatcher_that_was_given_up_unnoticed) {
    send_twice([this](int dispatcher) {
        m_fleet.links().set_link_fault(holder, dispatcher, {proxy_mode::cut_unnoticed, {}, 0},
                                       traffic::connections);
    });
}

} // namespace
} // namespace savorytrail
