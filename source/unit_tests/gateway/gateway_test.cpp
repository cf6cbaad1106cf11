// Tests of the choice of a dispatcher for a job, and of the outcome that its caller gets when the
// connection to the dispatcher is lost.
#include "core/gateway/gateway.h"

#include <gtest/gtest.h>

#include "core/gateway/forwarding_codec.h"
#include "core/gateway/forwarding_http.h"
#include "unit_tests/cell/jobs.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;
using work::job_end;

class fake_forwarding_client final : public forwarding_client {
public:
    struct forwarded_job {
        common::endpoint to;
        std::string job;
        callback done;
        bool is_cancelled = false;
    };

    canceller forward(const common::endpoint& to, const work::job& job, callback done) override {
        sent.push_back({to, job.id, std::move(done)});
        return [this, i = sent.size() - 1] { sent[i].is_cancelled = true; };
    }

    void abandon(const common::endpoint&, const std::string& job) override {
        abandoned.push_back(job);
    }

    std::vector<forwarded_job> sent;
    std::vector<std::string> abandoned;
};

class null_order_sink final : public cell::order_sink {
public:
    void start(const work::executor_info&, const cell::start_order&) override {}
    void stop(const work::executor_info&, const cell::stop_order&) override {}
    void ask_report(const work::executor_info&, const cell::report_request&) override {}
    void forget(const work::executor_info&) override {}
};

// Keeps the events of jobs as "EVENT DETAIL".
class event_recorder final : public cell::job_observer, public cell::executor_observer {
public:
    void job_event(const std::string&, std::string_view event, const std::string& detail) override {
        events.push_back(std::string(event) + " " + detail);
    }
    void executor_changed(const std::string&, std::string_view, std::string_view) override {}

    std::vector<std::string> events;
};

class fake_responder final : public reactor::responder {
public:
    void send(reactor::http_response) override {}
    void on_disconnect(std::function<void()> callback) override { disconnect = callback; }

    std::function<void()> disconnect;
};

class a_gateway : public testing::Test {
protected:
    a_gateway() { m_clock.advance(milliseconds(1000)); }

    void receive(const std::string& name, const std::string& domain, std::int64_t free) {
        fleet::heartbeat it;
        it.sender = {name, domain, "", 1, 250};
        it.status.sequence = m_sequence++;
        it.status.load = {640000, free, 0};
        it.heard_recipient = milliseconds(1);
        m_view.receive(it, "10.0.0." + std::to_string(name.size()), m_clock.now());
    }

    std::uint64_t submit() {
        return m_gateway.submit(cell::make_job("a", 2, milliseconds(200)),
                                [this](const work::outcome& it) { m_outcomes.push_back(it); });
    }

    common::manual_clock m_clock;
    std::uint64_t m_sequence = 1;
    event_recorder m_observer;
    null_order_sink m_orders;
    fake_forwarding_client m_client;
    cell::executor_manager m_executor_manager{
        {}, m_clock, m_orders, [] { return std::int64_t{1}; }, m_observer};
    cell::dispatcher m_dispatcher{{}, m_clock, m_executor_manager, m_observer};
    fleet::view m_view{{"self", "d", "10.0.0.1", 1, 250}, 7000, {}, m_clock.now()};
    common::seeded_random m_random{1};
    gateway m_gateway{m_clock, m_view, m_dispatcher, m_client, m_observer, m_random};
    std::vector<work::outcome> m_outcomes;
};

TEST_F(a_gateway, forwards_within_its_own_domain_while_it_has_capacity) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    submit();
    ASSERT_EQ(m_client.sent.size(), 1U);
    EXPECT_EQ(m_client.sent[0].to, (common::endpoint{"10.0.0.4", 7000}));
    m_client.sent[0].done(work::outcome{job_end::succeeded, "", {}});
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::succeeded);
}

TEST_F(a_gateway, forwards_to_another_domain_when_its_own_is_full) {
    receive("near", "d", -200000);
    receive("farther", "other", 640000);
    submit();
    ASSERT_EQ(m_client.sent.size(), 1U);
    EXPECT_EQ(m_client.sent[0].to, (common::endpoint{"10.0.0.7", 7000}));
}

TEST_F(a_gateway, offers_a_refused_job_to_the_next_dispatcher) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    submit();
    m_client.sent[0].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_client.sent.size(), 2U);
    m_client.sent[1].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

// While a dispatcher stops, its successor may not hold the executors yet, so the job is retried
// instead of refused.
TEST_F(a_gateway, retries_a_job_whose_dispatcher_has_released_its_executors) {
    receive("near", "d", 640000);
    submit();
    m_client.sent[0].done(work::outcome{job_end::not_run, "none", milliseconds(1000), true});
    EXPECT_TRUE(m_outcomes.empty());
    m_clock.advance(milliseconds(50));
    m_gateway.tick();
    EXPECT_EQ(m_client.sent.size(), 2U);
}

TEST_F(a_gateway, gives_a_job_up_at_once_when_the_connection_to_its_dispatcher_is_lost) {
    receive("near", "d", 640000);
    submit();
    m_client.sent[0].done(make_error_code(common::error::connection_lost));
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_EQ(m_client.abandoned, std::vector<std::string>{"a"});
}

TEST_F(a_gateway, tries_another_dispatcher_when_the_first_is_unreachable) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    submit();
    m_client.sent[0].done(make_error_code(common::error::unreachable));
    EXPECT_EQ(m_client.sent.size(), 2U);
    EXPECT_TRUE(m_outcomes.empty());
}

TEST_F(a_gateway, gives_up_the_jobs_of_a_lost_entry) {
    receive("near", "d", 640000);
    submit();
    m_gateway.on_entry_lost("near");
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_TRUE(m_client.sent[0].is_cancelled);
}

TEST_F(a_gateway, keeps_a_job_waiting_for_a_dispatcher) {
    submit();
    EXPECT_TRUE(m_outcomes.empty());
    m_clock.advance(milliseconds(100));
    receive("near", "d", 640000);
    m_gateway.tick();
    EXPECT_EQ(m_client.sent.size(), 1U);
}

TEST_F(a_gateway, refuses_a_job_when_no_dispatcher_is_found_in_time) {
    submit();
    m_clock.advance(milliseconds(1000));
    m_gateway.tick();
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

TEST_F(a_gateway, abandons_the_job_of_a_disconnected_caller) {
    receive("near", "d", 640000);
    m_gateway.abandon(submit());
    EXPECT_TRUE(m_client.sent[0].is_cancelled);
    EXPECT_EQ(m_client.abandoned, std::vector<std::string>{"a"});
    EXPECT_EQ(m_gateway.open_jobs(), 0U);
}

TEST_F(a_gateway, logs_when_a_caller_left_and_where_its_job_was) {
    receive("near", "d", 640000);
    const auto ticket = submit();
    m_clock.advance(milliseconds(70));
    m_gateway.abandon(ticket);
    EXPECT_EQ(m_observer.events.back(), "caller_left after 70 ms, forwarded to near");
    m_gateway.abandon(ticket);
    EXPECT_EQ(m_observer.events.size(), 2U);
}

// Guards against issue 26's gap: the log did not tell how the link was when an entry gave up on it.
TEST_F(a_gateway, logs_the_state_of_the_link_when_the_connection_to_a_dispatcher_is_lost) {
    receive("near", "d", 640000);
    submit();
    m_clock.advance(milliseconds(90));
    m_client.sent[0].done(make_error_code(common::error::connection_lost));
    EXPECT_EQ(m_observer.events.back(),
              "pass_lost near: " + make_error_code(common::error::connection_lost).message() +
                  ", last heartbeat 90 ms ago, it had heard this entry 1 ms before");
}

class a_forwarding_service : public a_gateway {
protected:
    // Receives a job that the entry "near" forwards.
    std::shared_ptr<fake_responder> receive_job() {
        auto answer = std::make_shared<fake_responder>();
        post("/jobs", encode(passed_job{cell::make_job("a", 1, milliseconds(200)), "near"}),
             answer);
        return answer;
    }

    void post(const std::string& path, const std::string& body,
              const std::shared_ptr<fake_responder>& answer = std::make_shared<fake_responder>()) {
        reactor::http_request request;
        request.method = "POST";
        request.target = path;
        request.body = body;
        ASSERT_TRUE(m_service.handle(request, answer));
    }

    // Gives the own dispatcher an executor, so that it admits jobs.
    void hold_an_executor() {
        work::executor_info info;
        info.id = "e0";
        info.upstream = "u";
        info.capacity = {64000, 131072, 0};
        m_executor_manager.assign({info});
        work::run_report report;
        report.clock_ms = 1;
        report.start_time_ms = 1;
        m_executor_manager.on_report("e0", 1, work::order_status::accepted, report);
    }

    forwarding_service m_service{m_clock, m_view, m_dispatcher, m_observer};
};

// Guards against issue 26's gap: a dispatcher's log named neither a job's entry nor its state.
TEST_F(a_forwarding_service, logs_from_whom_a_job_came_and_whether_that_entry_is_live) {
    receive_job();
    EXPECT_EQ(m_observer.events.at(0), "job_received near: no heartbeat yet, not live");
    m_observer.events.clear();
    receive("near", "d", 0);
    m_clock.advance(milliseconds(30));
    receive_job();
    EXPECT_EQ(m_observer.events.at(0), "job_received near: last heartbeat 30 ms ago");
}

struct drop_case {
    const char* name;
    const char* detail;
};

class a_dropped_job : public a_forwarding_service, public testing::WithParamInterface<drop_case> {};

TEST_P(a_dropped_job, is_logged_with_the_reason_and_the_age_of_the_last_heartbeat) {
    hold_an_executor();
    receive("near", "d", 0);
    const auto answer = receive_job();
    ASSERT_EQ(m_dispatcher.open_jobs(), 1U);
    m_clock.advance(milliseconds(120));
    m_observer.events.clear();
    const std::string name = GetParam().name;
    if (name == "connection_ended") {
        answer->disconnect();
    } else if (name == "abandoned") {
        post("/abandoned", encode(abandoned_job{"a", "near"}));
    } else {
        m_service.on_entry_lost("near");
    }
    EXPECT_EQ(m_observer.events,
              (std::vector<std::string>{std::string("job_dropped ") + GetParam().detail,
                                        "job_abandoned its caller has left"}));
    EXPECT_EQ(m_dispatcher.open_jobs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    all, a_dropped_job,
    testing::Values(
        drop_case{"connection_ended", "near: connection ended, last heartbeat 120 ms ago"},
        drop_case{"abandoned", "near: abandoned by that entry, last heartbeat 120 ms ago"},
        drop_case{"entry_lost", "near: entry lost, last heartbeat 120 ms ago"}),
    [](const auto& it) { return it.param.name; });

TEST(forwarding_codec, keeps_all_fields_of_a_job) {
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
