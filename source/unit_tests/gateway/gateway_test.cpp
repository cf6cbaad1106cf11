// Tests of how a job finds its dispatcher and what its caller is told when the way breaks.
#include "core/gateway/gateway.h"

#include <gtest/gtest.h>

#include "core/gateway/pass_codec.h"
#include "unit_tests/cell/jobs.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;
using work::job_end;

class fake_link final : public pass_link {
public:
    struct passed {
        common::endpoint to;
        std::string job;
        callback done;
        bool is_cancelled = false;
    };

    canceller pass(const common::endpoint& to, const work::job& job, callback done) override {
        sent.push_back({to, job.id, std::move(done)});
        return [this, i = sent.size() - 1] { sent[i].is_cancelled = true; };
    }

    void abandon(const common::endpoint&, const std::string& job) override {
        abandoned.push_back(job);
    }

    std::vector<passed> sent;
    std::vector<std::string> abandoned;
};

class no_orders final : public cell::order_sink {
public:
    void start(const work::executor_info&, const cell::start_order&) override {}
    void stop(const work::executor_info&, const cell::stop_order&) override {}
    void ask_report(const work::executor_info&, const cell::report_request&) override {}
    void forget(const work::executor_info&) override {}
};

class quiet final : public cell::job_observer, public cell::executor_observer {
public:
    void job_event(const std::string&, std::string_view, const std::string&) override {}
    void executor_changed(const std::string&, std::string_view, std::string_view) override {}
};

class a_gateway : public testing::Test {
protected:
    a_gateway() { m_clock.advance(milliseconds(1000)); }

    void hear(const std::string& name, const std::string& domain, std::int64_t free) {
        fleet::beat it;
        it.name = name;
        it.failure_domain = domain;
        it.incarnation = 1;
        it.sequence = m_sequence++;
        it.its_load = {640000, free, 0};
        it.heard["self"] = milliseconds(1);
        m_view.hear(it, "10.0.0." + std::to_string(name.size()), m_clock.now());
    }

    std::uint64_t submit() {
        return m_gateway.submit(cell::make_job("a", 2, milliseconds(200)),
                                [this](const work::outcome& it) { m_outcomes.push_back(it); });
    }

    common::manual_clock m_clock;
    std::uint64_t m_sequence = 1;
    quiet m_quiet;
    no_orders m_orders;
    fake_link m_link;
    cell::executor_manager m_executor_manager{
        {}, m_clock, m_orders, [] { return std::int64_t{1}; }, m_quiet};
    cell::dispatcher m_dispatcher{{}, m_clock, m_executor_manager, m_quiet};
    fleet::view m_view{[] {
                           fleet::beat it;
                           it.name = "self";
                           it.failure_domain = "d";
                           return it;
                       }(),
                       7000,
                       {},
                       m_clock.now()};
    gateway m_gateway{m_clock, m_view, m_dispatcher, m_link, m_quiet};
    std::vector<work::outcome> m_outcomes;
};

TEST_F(a_gateway, passes_to_its_own_domain_while_there_is_room) {
    hear("near", "d", 640000);
    hear("farther", "other", 640000);
    submit();
    ASSERT_EQ(m_link.sent.size(), 1U);
    EXPECT_EQ(m_link.sent[0].to, (common::endpoint{"10.0.0.4", 7000}));
    m_link.sent[0].done(work::outcome{job_end::succeeded, "", {}});
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::succeeded);
}

TEST_F(a_gateway, passes_to_another_domain_when_its_own_is_full) {
    hear("near", "d", -200000);
    hear("farther", "other", 640000);
    submit();
    ASSERT_EQ(m_link.sent.size(), 1U);
    EXPECT_EQ(m_link.sent[0].to, (common::endpoint{"10.0.0.7", 7000}));
}

TEST_F(a_gateway, offers_a_refused_job_to_the_next_dispatcher) {
    hear("near", "d", 640000);
    hear("farther", "other", 640000);
    submit();
    m_link.sent[0].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_link.sent.size(), 2U);
    m_link.sent[1].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

// While a dispatcher stops, the next one may not hold its executors yet.
TEST_F(a_gateway, lets_a_job_wait_when_its_dispatcher_has_just_let_its_executors_go) {
    hear("near", "d", 640000);
    submit();
    m_link.sent[0].done(work::outcome{job_end::not_run, "none", milliseconds(1000), true});
    EXPECT_TRUE(m_outcomes.empty());
    m_clock.advance(milliseconds(50));
    m_gateway.tick();
    EXPECT_EQ(m_link.sent.size(), 2U);
}

TEST_F(a_gateway, gives_a_job_up_at_once_when_the_way_to_its_dispatcher_breaks) {
    hear("near", "d", 640000);
    submit();
    m_link.sent[0].done(make_error_code(common::error::connection_lost));
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_EQ(m_link.abandoned, std::vector<std::string>{"a"});
}

TEST_F(a_gateway, tries_another_dispatcher_when_nothing_was_sent) {
    hear("near", "d", 640000);
    hear("farther", "other", 640000);
    submit();
    m_link.sent[0].done(make_error_code(common::error::unreachable));
    EXPECT_EQ(m_link.sent.size(), 2U);
    EXPECT_TRUE(m_outcomes.empty());
}

TEST_F(a_gateway, gives_up_the_jobs_of_an_entry_that_is_lost) {
    hear("near", "d", 640000);
    submit();
    m_gateway.on_entry_lost("near");
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_TRUE(m_link.sent[0].is_cancelled);
}

TEST_F(a_gateway, lets_a_job_wait_for_a_dispatcher_that_may_come) {
    submit();
    EXPECT_TRUE(m_outcomes.empty());
    m_clock.advance(milliseconds(100));
    hear("near", "d", 640000);
    m_gateway.tick();
    EXPECT_EQ(m_link.sent.size(), 1U);
}

TEST_F(a_gateway, refuses_a_job_for_which_no_dispatcher_comes_in_time) {
    submit();
    m_clock.advance(milliseconds(1000));
    m_gateway.tick();
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

TEST_F(a_gateway, tells_the_dispatcher_that_a_caller_has_left) {
    hear("near", "d", 640000);
    m_gateway.abandon(submit());
    EXPECT_TRUE(m_link.sent[0].is_cancelled);
    EXPECT_EQ(m_link.abandoned, std::vector<std::string>{"a"});
    EXPECT_EQ(m_gateway.open_jobs(), 0U);
}

TEST(pass_codec, keeps_a_job_whole) {
    passed_job it{cell::make_job("a", 3, milliseconds(70)), "entry-1"};
    it.job.steps[0].required_label = "fast";
    it.job.steps[0].preferred_rack = "r1";
    it.job.steps[0].max_per_executor = 2;
    it.job.steps.push_back(it.job.steps[0]);
    it.job.steps[1].depends_on = {0};
    EXPECT_EQ(decode_job(encode(it)), it);
    const work::outcome outcome{job_end::given_up, "why", milliseconds(1200)};
    EXPECT_EQ(decode_outcome(encode(outcome)), outcome);
    EXPECT_FALSE(decode_job(""));
    EXPECT_FALSE(decode_job("\x01\x02"));
}

} // namespace
} // namespace savorytrail::gateway
