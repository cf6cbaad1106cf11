// Tests of how an entry answers requests for routes that it does not know, while its configuration
// may be out of date, and of jobs that were cancelled.
#include "platform/ingress.h"

#include <gtest/gtest.h>

#include "platform/names.h"
#include "unit_tests/cell/no_observer.h"
#include "unit_tests/cell/recorded_orders.h"

namespace savorytrail::platform_adapter {
namespace {

using common::milliseconds;

constexpr const char* job_body =
    R"({"bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":50}]})";
constexpr const char* job_path = "/q/0123456789abcdef";
constexpr milliseconds patience{2000};

// Keeps the jobs that are passed on, and never answers.
class recorded_forwards final : public gateway::forwarding_client, public gateway::cancel_client {
public:
    canceller forward(const common::endpoint&, const gateway::passed_job& it,
                      gateway::forwarding_client::callback) override {
        jobs.push_back(it.job);
        return [] {};
    }
    void abandon(const common::endpoint&, const gateway::abandoned_job&) override {}
    void cancel(const common::endpoint&, const gateway::cancelled_job&,
                gateway::cancel_client::callback done) override {
        done(false);
    }

    std::vector<work::job> jobs;
};

class recorded_answers final : public reactor::responder {
public:
    void send(reactor::http_response it) override { sent.push_back(std::move(it)); }
    void on_disconnect(std::function<void()> callback) override { disconnect = callback; }

    std::vector<reactor::http_response> sent;
    std::function<void()> disconnect;
};

// An entry with a configuration that has no route, confirmed a while ago. Another one dispatches.
class an_entry : public testing::Test {
protected:
    an_entry() {
        m_routes.adopt({1, {}});
        m_freshness.confirm(m_clock.now());
        m_clock.advance(milliseconds(10000));
        m_stalls.tick();
        m_stalls.tick();
        hear_of_dispatcher();
    }

    void hear_of_dispatcher() {
        fleet::heartbeat it;
        it.sender = {"other", "d", "", 1, 250};
        it.status.sequence = ++m_sequence;
        it.status.load = {64000, 64000, 0};
        it.heard_recipient = milliseconds(1);
        m_view.receive(it, "10.0.0.2", m_clock.now());
    }

    // A new version with the route arrives.
    void learn_route() {
        const work::queue_settings queue{"q", "u", 0, 3, 1.6, milliseconds(60)};
        m_routes.adopt({2, {{"h", "/q/", queue, milliseconds(1500)}}});
        m_freshness.confirm(m_clock.now());
    }

    std::shared_ptr<recorded_answers> send(const std::string& method, const std::string& body) {
        auto answer = std::make_shared<recorded_answers>();
        m_ingress.handle(
            {method,
             job_path,
             {{"Host", "h"}, {names::patience_header, std::to_string(patience.count())}},
             body},
            answer);
        return answer;
    }

    common::manual_clock m_clock;
    std::uint64_t m_sequence = 0;
    cell::no_observer m_events;
    cell::recorded_orders m_orders;
    recorded_forwards m_forwards;
    common::seeded_random m_random{1};
    common::stall_detector m_stalls{m_clock, milliseconds(160)};
    telemetry::job_metrics m_metrics;
    cell::executor_manager m_executor_manager{
        {}, m_clock, m_orders, [](cell::claim_attempt) { return std::int64_t{1}; }, m_events};
    cell::dispatcher m_dispatcher{{}, m_clock, m_executor_manager, m_events};
    fleet::view m_view{{"self", "d", "10.0.0.1", 1, 250}, 7000, {}, m_clock.now()};
    gateway::gateway m_gateway{m_clock,    m_stalls, m_view,  m_dispatcher,
                               m_forwards, m_events, m_random};
    gateway::forwarding_service m_service{m_clock,           m_view,
                                          m_dispatcher,      m_events,
                                          milliseconds(975), [](const auto&, const auto&) {}};
    gateway::job_canceller m_canceller{m_clock, m_view, m_gateway, m_service, m_forwards};
    route::route_table m_routes;
    fleet::freshness m_freshness{{}, 0};
    ingress m_ingress{m_clock, m_gateway, m_canceller, m_routes, m_freshness, m_events, m_metrics};
};

// A caller was told that there is no such queue by a configuration that was out of date. To let its
// request wait for newer routes had it answered by another version than requests that came later.
TEST_F(an_entry, refuses_an_unknown_route_for_now_while_its_routes_may_be_old) {
    for (const auto* method : {"POST", "GET", "DELETE"}) {
        const auto answer = send(method, job_body);
        ASSERT_EQ(answer->sent.size(), 1U);
        EXPECT_EQ(answer->sent[0].status, 503);
        EXPECT_FALSE(reactor::find_header(answer->sent[0].headers, "Retry-After").empty());
    }
    learn_route();
    EXPECT_TRUE(m_forwards.jobs.empty());
}

TEST_F(an_entry, refuses_an_unknown_route_for_good_while_its_routes_are_current) {
    m_freshness.confirm(m_clock.now());
    const auto answer = send("POST", job_body);
    ASSERT_EQ(answer->sent.size(), 1U);
    EXPECT_EQ(answer->sent[0].status, 404);
}

TEST_F(an_entry, serves_a_known_route_whatever_the_age_of_its_routes) {
    learn_route();
    m_clock.advance(milliseconds(10000));
    m_stalls.tick();
    m_stalls.tick();
    hear_of_dispatcher();
    send("POST", job_body);
    EXPECT_EQ(m_forwards.jobs.size(), 1U);
}

// A cancelled job that its caller sends again must not run.
TEST_F(an_entry, does_not_run_a_job_that_was_cancelled) {
    learn_route();
    const auto first = send("POST", job_body);
    EXPECT_EQ(m_forwards.jobs.size(), 1U);
    EXPECT_EQ(send("DELETE", "")->sent.at(0).status, 200);
    ASSERT_EQ(first->sent.size(), 1U);
    EXPECT_EQ(first->sent[0].body, R"({"state":"cancelled"})");
    EXPECT_EQ(send("POST", job_body)->sent.at(0).body, R"({"state":"cancelled"})");
    EXPECT_EQ(m_forwards.jobs.size(), 1U);
    EXPECT_EQ(send("DELETE", "")->sent.at(0).status, 410);
}

} // namespace
} // namespace savorytrail::platform_adapter
