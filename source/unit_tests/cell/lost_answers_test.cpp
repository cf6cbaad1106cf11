// Load pattern: executors leave some orders unanswered, or carry them out seconds later. Tests that
// a lost answer costs little: the ends of runs are learnt, and starts repeated, long before the
// order counts as unanswered.
#include <gtest/gtest.h>

#include "core/cell/dispatcher.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/recorded_orders.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using work::job_end;
using work::order_status;

class recorded_events final : public executor_observer, public job_observer {
public:
    void executor_changed(const std::string&, std::string_view event, std::string_view) override {
        events.emplace_back(event);
    }
    void job_event(const std::string&, std::string_view, const std::string&) override {}

    std::vector<std::string> events;
};

class an_executor : public testing::Test {
protected:
    static constexpr milliseconds tick_period{40};
    static constexpr milliseconds duration{100}; // of the only task

    an_executor() {
        work::executor_info info;
        info.id = "e0";
        info.upstream = "u";
        info.capacity = {64000, 131072, 0};
        m_manager.assign({info});
        m_manager.on_report("e0", m_orders.reports.back().number, order_status::accepted, report());
        m_jobs.submit(make_job("a", 1, duration), [this](const auto& it) { m_outcome = it; });
    }

    work::run_report report() const {
        work::run_report it;
        const auto now = m_clock.now() - m_start;
        it.clock_ms = 1000 + std::chrono::duration_cast<milliseconds>(now).count();
        it.start_time_ms = 1;
        return it;
    }

    void confirm_start() {
        const auto clock_ms = report().clock_ms;
        m_manager.on_start_reply("e0", m_orders.starts[0].run, {order_status::accepted, clock_ms});
    }

    void run_for(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += tick_period) {
            m_clock.advance(tick_period);
            m_manager.tick();
        }
    }

    common::manual_clock m_clock;
    const common::time_point m_start = m_clock.now();
    recorded_orders m_orders;
    recorded_events m_observer;
    executor_manager m_manager{
        {}, m_clock, m_orders, [](claim_attempt) { return std::int64_t{1}; }, m_observer};
    dispatcher m_jobs{{}, m_clock, m_manager, m_observer};
    std::optional<work::outcome> m_outcome;
};

// The end of a run was learnt 520 ms after a report was lost, so that its job was late and its
// place stayed empty.
TEST_F(an_executor, is_asked_again_when_a_run_should_have_ended) {
    confirm_start();
    const auto lost = m_orders.reports.back();
    run_for(duration * 2);
    ASSERT_GT(m_orders.reports.back().number, lost.number);
    EXPECT_EQ(m_orders.reports.back().wait, milliseconds(0));
    auto ended = report();
    ended.ended.push_back({1, m_orders.starts[0].run, work::run_end::done});
    m_manager.on_report("e0", m_orders.reports.back().number, order_status::accepted, ended);
    ASSERT_TRUE(m_outcome);
    EXPECT_EQ(m_outcome->end, job_end::succeeded);
    // The executor has answered since, so it is not silent.
    m_manager.on_report("e0", lost.number, order_status::no_answer, {});
    EXPECT_EQ(std::count(m_observer.events.begin(), m_observer.events.end(), "executor_silent"), 0);
}

// Guards against a flood of reports: a run that goes on is asked for once.
TEST_F(an_executor, is_not_asked_again_and_again) {
    confirm_start();
    run_for(duration * 2);
    const auto reports = m_orders.reports.size();
    m_manager.on_report("e0", m_orders.reports.back().number, order_status::accepted, [&] {
        auto it = report();
        it.running.push_back(m_orders.starts[0].run);
        return it;
    }());
    run_for(milliseconds(80));
    EXPECT_EQ(m_orders.reports.size(), reports);
}

TEST_F(an_executor, gets_no_second_report_request_while_its_run_is_on_time) {
    confirm_start();
    const auto reports = m_orders.reports.size();
    run_for(duration);
    EXPECT_EQ(m_orders.reports.size(), reports);
}

// A start order that was lost was repeated after 150 ms, more than a short job can wait.
TEST_F(an_executor, gets_a_start_order_again_that_it_does_not_answer) {
    run_for(milliseconds(80));
    ASSERT_EQ(m_orders.starts.size(), 2U);
    EXPECT_EQ(m_orders.starts[1].run, m_orders.starts[0].run);
    EXPECT_TRUE(m_orders.starts[1].is_repeat);
    // The repeated order may still be answered when the first one counts as lost.
    const auto& run = m_orders.starts[0].run;
    m_manager.on_start_reply("e0", run, {order_status::no_answer, std::nullopt});
    EXPECT_EQ(m_orders.stops, 0);
    m_manager.on_start_reply("e0", run, {order_status::no_answer, std::nullopt});
    EXPECT_EQ(m_orders.stops, 1);
    EXPECT_EQ(m_orders.starts.size(), 2U);
}

} // namespace
} // namespace savorytrail::cell
