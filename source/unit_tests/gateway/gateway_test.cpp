// Tests of the choice of a dispatcher for a job, and of the outcome that its caller gets when the
// connection to the dispatcher is lost.
#include "core/gateway/gateway.h"

#include <gtest/gtest.h>

#include <limits>

#include "core/cell/retry_after.h"
#include "core/gateway/forwarding_codec.h"
#include "core/gateway/forwarding_service.h"
#include "fleet.pb.h"
#include "unit_tests/cell/held_executor.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/recorded_orders.h"

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
        passed_job message = {};
    };

    canceller forward(const common::endpoint& to, const passed_job& it, callback done) override {
        sent.push_back({to, it.job.id, std::move(done), false, it});
        return [this, i = sent.size() - 1] { sent[i].is_cancelled = true; };
    }

    void abandon(const common::endpoint&, const abandoned_job& it) override {
        abandoned.push_back(it.id);
        abandoned_numbers.push_back(it.number);
    }

    std::vector<forwarded_job> sent;
    std::vector<std::string> abandoned;
    std::vector<std::uint64_t> abandoned_numbers;
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
    void send(reactor::http_response it) override { sent.push_back(std::move(it)); }
    void on_disconnect(std::function<void()> callback) override { disconnect = callback; }

    std::function<void()> disconnect;
    std::vector<reactor::http_response> sent;
};

class a_gateway : public testing::Test {
protected:
    a_gateway() {
        m_clock.advance(milliseconds(1000));
        m_stalls.tick(); // late
        m_stalls.tick();
    }

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
    cell::recorded_orders m_orders;
    fake_forwarding_client m_client;
    cell::executor_manager m_executor_manager{
        {}, m_clock, m_orders, [](cell::claim_attempt) { return std::int64_t{1}; }, m_observer};
    cell::dispatcher m_dispatcher{{}, m_clock, m_executor_manager, m_observer};
    fleet::view m_view{{"self", "d", "10.0.0.1", 1, 250}, 7000, {}, m_clock.now()};
    common::seeded_random m_random{1};
    common::stall_detector m_stalls{m_clock, milliseconds(160)};
    gateway m_gateway{m_clock, m_stalls, m_view, m_dispatcher, m_client, m_observer, m_random};
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

// An operator's question must neither send the job nor move the random choice.
TEST_F(a_gateway, explains_the_choice_without_changing_it) {
    receive("near", "d", 640000);
    receive("nearby", "d", 320000);
    receive("farther", "other", 640000);
    const auto job = cell::make_job("a", 2, milliseconds(200));
    m_clock.advance(milliseconds(20));
    gateway_explanation told;
    for (int i = 0; i < 1000; i++) {
        told = m_gateway.explain(job);
    }
    EXPECT_TRUE(m_client.sent.empty());
    EXPECT_EQ(m_gateway.open_jobs(), 0U);
    EXPECT_TRUE(m_observer.events.empty());
    EXPECT_FALSE(told.are_all_drained);
    ASSERT_EQ(told.own.refused.has_value(), true); // the own cell has no executors
    EXPECT_EQ(told.own.refused->cause, cell::refusal_cause::no_executors);
    std::vector<target> list;
    std::map<std::string, double> weights;
    for (const auto& it : told.candidates) {
        list.push_back(it.cell);
        weights[it.cell.name] = it.rating.weight;
        EXPECT_EQ(it.age, milliseconds(20));
    }
    EXPECT_EQ(weights, (std::map<std::string, double>{
                           {"near", 640000}, {"nearby", 320000}, {"farther", 0}}));
    // As a gateway chooses that was asked nothing.
    common::seeded_random unused(1);
    const auto expected = choose_target(job, list, unused);
    submit();
    ASSERT_EQ(m_client.sent.size(), 1U);
    EXPECT_EQ(m_client.sent[0].to, m_view.find(list.at(expected.value()).name)->address);
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

work::outcome late_here() {
    work::outcome it{job_end::not_run, "it would be late here", milliseconds(2000)};
    it.would_be_late = true;
    return it;
}

// Load: all cells are full for a while. A job waited in the first one until it was late, while
// another one would have been free in time.
TEST_F(a_gateway, asks_two_cells_to_be_on_time_before_one_may_be_late) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    receive("distant", "third", 640000);
    submit();
    for (std::size_t i = 0; i < 2; i++) {
        ASSERT_EQ(m_client.sent.size(), i + 1);
        EXPECT_TRUE(m_client.sent[i].message.job.has_alternatives);
        m_client.sent[i].done(late_here());
    }
    ASSERT_EQ(m_client.sent.size(), 3U);
    EXPECT_NE(m_client.sent[0].to, m_client.sent[1].to);
    EXPECT_FALSE(m_client.sent[2].message.job.has_alternatives);
    EXPECT_EQ(m_client.sent[2].message.job.earlier_offers, 0); // nobody has refused it
    EXPECT_EQ(m_client.sent[2].to, m_client.sent[0].to);       // the best choice, late or not
    m_client.sent[2].done(work::outcome{job_end::succeeded, "", {}});
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::succeeded);
}

TEST_F(a_gateway, lets_the_only_cell_be_late) {
    receive("near", "d", 640000);
    submit();
    ASSERT_EQ(m_client.sent.size(), 1U);
    EXPECT_FALSE(m_client.sent[0].message.job.has_alternatives);
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
    EXPECT_EQ(m_client.abandoned_numbers,
              std::vector<std::uint64_t>{m_client.sent[0].message.number});
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

// What a gateway in domain "d" does with a job.
struct drained_fleet {
    std::string failure; // that it guards against
    std::vector<std::string> drained;
    std::vector<std::string> with_executors; // empty: not known
    std::string target;                      // name of an entry; empty: the job waits or is refused
    bool is_refused_at_once = false;

    friend std::ostream& operator<<(std::ostream& out, const drained_fleet& it) {
        return out << it.failure;
    }
};

class a_draining_gateway : public a_gateway {
protected:
    void drain(const std::vector<std::string>& domains) {
        m_drains.read(++m_version, domains, m_clock.now());
    }

    // Where a job is sent, by the length of the entry's name (see receive()).
    std::string target() const { return m_client.sent.empty() ? "" : m_client.sent.back().to.host; }

    std::uint64_t m_version = 0;
    fleet::drained_domains m_drains;
};

class drained_fleets : public a_draining_gateway,
                       public testing::WithParamInterface<drained_fleet> {};

TEST_P(drained_fleets, get_no_jobs) {
    const auto& it = GetParam();
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    m_gateway.set_drains(m_drains);
    m_gateway.set_executor_domains({it.with_executors.begin(), it.with_executors.end()});
    drain(it.drained);
    submit();
    EXPECT_EQ(target(), it.target.empty() ? "" : "10.0.0." + std::to_string(it.target.size()));
    ASSERT_EQ(m_outcomes.size(), it.is_refused_at_once ? 1U : 0U);
    if (it.is_refused_at_once) {
        EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
        EXPECT_GT(m_outcomes[0].retry_after.count(), 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    drains, drained_fleets,
    testing::Values(
        drained_fleet{"a drain elsewhere moves jobs", {"x"}, {}, "near"},
        drained_fleet{"an entry that has not learnt yet gets jobs", {"d"}, {}, "farther"},
        drained_fleet{"a job leaves its domain for a drained one", {"other"}, {}, "near"},
        drained_fleet{"a caller waits in vain", {"d", "other"}, {}, "", true},
        drained_fleet{
            "a caller waits in vain, known by the list", {"d", "other"}, {"d", "other"}, "", true},
        drained_fleet{
            "a job is refused while a domain is left", {"d", "other"}, {"d", "other", "third"}, ""},
        drained_fleet{"a domain with entries only counts as a way out",
                      {"d", "other"},
                      {"other"},
                      "",
                      true}));

// The entry's own executors are drained, but it has adopted some of a domain without entries.
TEST_F(a_draining_gateway, uses_entries_that_hold_executors_of_other_domains) {
    m_gateway.set_drains(m_drains);
    drain({"d"});
    fleet::heartbeat it;
    it.sender = {"near", "d", "", 1, 250};
    it.status.sequence = 1;
    it.status.load = {640000, 640000, 0};
    it.status.adopted = {7};
    it.heard_recipient = milliseconds(1);
    m_view.receive(it, "10.0.0.4", m_clock.now());
    submit();
    EXPECT_EQ(target(), "10.0.0.4");
}

TEST_F(a_draining_gateway, places_a_job_that_a_drained_cell_has_left_in_another_domain) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    m_gateway.set_drains(m_drains);
    submit();
    ASSERT_EQ(target(), "10.0.0.4");
    drain({"d"});
    m_client.sent[0].done(work::outcome{job_end::not_run, "drained", milliseconds(1000), true});
    EXPECT_EQ(target(), "10.0.0.7");
}

// Jobs that waited for a dispatcher went on waiting when the last domain was drained, or missed
// that one was taken back.
TEST_F(a_draining_gateway, ends_the_wait_for_a_dispatcher) {
    m_gateway.set_drains(m_drains);
    submit();
    ASSERT_TRUE(m_outcomes.empty());
    drain({"d"});
    m_gateway.tick();
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
    drain({});
    receive("near", "d", 640000);
    submit();
    EXPECT_EQ(target(), "10.0.0.4");
}

class a_forwarding_service : public a_gateway {
protected:
    // Receives a job that the entry "near" forwards, with leases if the number is not 0.
    std::shared_ptr<fake_responder> receive_job(std::uint64_t number = 0) {
        auto answer = std::make_shared<fake_responder>();
        const passed_job job{cell::make_job("a", 1, milliseconds(200)), "near", number, 1,
                             std::nullopt};
        post("/jobs", encode(job), answer);
        return answer;
    }

    // The number of jobs that the latest request for leases asks for.
    lease_request last_request() {
        return m_datagrams.empty()
                   ? lease_request()
                   : decode_lease_request(m_datagrams.back()).value_or(lease_request());
    }

    void post(const std::string& path, const std::string& body,
              const std::shared_ptr<fake_responder>& answer = std::make_shared<fake_responder>()) {
        reactor::http_request request;
        request.method = "POST";
        request.target = path;
        request.body = body;
        ASSERT_TRUE(m_service.handle(request, answer));
    }

    void hold_an_executor() { cell::hold_an_executor(m_executor_manager); }

    std::vector<std::string> m_datagrams;
    forwarding_service m_service{
        m_clock,           m_view,
        m_dispatcher,      m_observer,
        milliseconds(975), [this](const auto&, const auto& it) { m_datagrams.push_back(it); }};
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

// A job that was held up on its way, or whose entry was gone, was run all the same.
TEST_F(a_forwarding_service, asks_for_the_lease_of_a_job_that_comes_without_one) {
    hold_an_executor();
    receive("near", "d", 0);
    receive_job(5);
    EXPECT_EQ(last_request().numbers, std::vector<std::uint64_t>{5});
    EXPECT_EQ(last_request().incarnation, 1U);
    EXPECT_TRUE(m_orders.starts.empty());
    const lease_answer granted{"near", 1, last_request().stamp, {5}, {}};
    m_service.receive(granted);
    EXPECT_EQ(m_orders.starts.size(), 1U);
}

// A dispatcher went on with a job whose entry had given it up: nothing had told it so.
TEST_F(a_forwarding_service, drops_a_job_that_its_entry_has_released) {
    hold_an_executor();
    receive("near", "d", 0);
    const auto answer = receive_job(5);
    m_service.receive({"near", 1, last_request().stamp, {}, {5}});
    EXPECT_EQ(m_dispatcher.open_jobs(), 0U);
    EXPECT_EQ(m_observer.events.at(1).substr(0, 44),
              "job_dropped near: released by that entry, la");
    EXPECT_EQ(answer->sent.size(), 1U);
}

TEST_F(a_forwarding_service, ignores_answers_meant_for_another_incarnation_of_the_entry) {
    hold_an_executor();
    receive("near", "d", 0);
    receive_job(5);
    m_service.receive({"near", 2, last_request().stamp, {5}, {}});
    m_service.receive({"near", 2, last_request().stamp, {}, {5}});
    EXPECT_TRUE(m_orders.starts.empty());
    EXPECT_EQ(m_dispatcher.open_jobs(), 1U);
}

// A message that was held up dropped a later forward of the same job, whose caller then waited.
TEST_F(a_forwarding_service, keeps_a_job_when_an_earlier_forward_of_it_is_abandoned) {
    hold_an_executor();
    receive("near", "d", 0);
    receive_job(5);
    post("/abandoned", encode(abandoned_job{"a", "near", 4}));
    EXPECT_EQ(m_dispatcher.open_jobs(), 1U);
    post("/abandoned", encode(abandoned_job{"a", "near", 5}));
    EXPECT_EQ(m_dispatcher.open_jobs(), 0U);
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
        post("/abandoned", encode(abandoned_job{"a", "near", 0}));
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

// A dispatcher went on with a job whose entry had given it up: nothing had told it so.
TEST_F(a_gateway, grants_leases_only_for_jobs_that_still_wait_for_this_dispatcher) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    const auto first = submit();
    submit();
    const auto given_up = m_client.sent[0].message.number;
    const auto held = m_client.sent[1].message.number;
    m_gateway.abandon(first);
    const lease_stamp stamp{5, milliseconds(70)};
    const lease_request request{"near", stamp, 1, {given_up, held, 99}};
    EXPECT_EQ(m_gateway.grant_leases(request),
              (lease_answer{"self", 1, stamp, {held}, {given_up, 99}}));

    const lease_request of_another_dispatcher{"farther", stamp, 1, {held}};
    EXPECT_TRUE(m_gateway.grant_leases(of_another_dispatcher).held.empty());
    const lease_request to_an_earlier_incarnation{"near", stamp, 0, {held}};
    EXPECT_TRUE(m_gateway.grant_leases(to_an_earlier_incarnation).held.empty());
}

// A job that waited while its entry stood still ran after its caller had given up waiting.
TEST_F(a_gateway, counts_the_time_that_a_job_may_have_waited_during_a_stall) {
    receive("near", "d", 640000);
    m_clock.advance(milliseconds(1200));
    submit();
    ASSERT_EQ(m_client.sent.size(), 1U);
    EXPECT_LE(m_client.sent[0].message.job.patience, milliseconds(2000 - 1200));
}

TEST_F(a_gateway, refuses_a_job_that_may_have_waited_for_longer_than_its_caller_does) {
    receive("near", "d", 640000);
    m_clock.advance(milliseconds(2100));
    m_stalls.tick();
    receive("near", "d", 640000);
    submit();
    EXPECT_TRUE(m_client.sent.empty());
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
}

// An entry granted leases for an attempt whose end it had not seen, while its caller's next one
// ran.
TEST_F(a_gateway, ends_the_earlier_attempt_of_a_caller_that_sends_a_job_again) {
    receive("near", "d", 640000);
    submit();
    const auto first = m_client.sent[0].message.number;
    submit();
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_TRUE(m_client.sent[0].is_cancelled);
    const auto second = m_client.sent[1].message.number;
    EXPECT_EQ(m_gateway.grant_leases({"near", {5, milliseconds(70)}, 1, {first, second}}).held,
              std::vector<std::uint64_t>{second});
}

// An entry held a job for longer than its caller waited, as its clock had stood still.
TEST_F(a_gateway, counts_a_suspension_against_the_patience_of_callers) {
    receive("near", "d", 640000);
    submit();
    m_clock.suspend(milliseconds(2100));
    m_gateway.tick();
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_TRUE(m_client.sent[0].is_cancelled);
}

TEST_F(a_gateway, grants_no_lease_after_a_job_has_ended) {
    receive("near", "d", 640000);
    submit();
    const auto number = m_client.sent[0].message.number;
    m_client.sent[0].done(make_error_code(common::error::connection_lost));
    EXPECT_TRUE(m_gateway.grant_leases({"near", {5, milliseconds(70)}, 1, {number}}).held.empty());
}

TEST_F(a_gateway, sends_the_dispatchers_latest_stamp_with_a_job) {
    receive("near", "d", 640000);
    const lease_stamp stamp{5, milliseconds(70)};
    m_gateway.grant_leases({"near", stamp, 1, {}});
    submit();
    EXPECT_EQ(m_client.sent[0].message.stamp, stamp);
    EXPECT_EQ(m_client.sent[0].message.from_incarnation, 1U);
}

// A defective job of a peer must be rejected: a step after a missing one reads beyond the steps,
// and a job without tasks never ends.
TEST(forwarding_codec, rejects_jobs_that_cannot_run) {
    const passed_job valid{cell::make_job("a", 3, milliseconds(70)), "entry-1", 7, 1000, {}};
    ASSERT_TRUE(decode_job(encode(valid)));
    auto it = valid;
    it.job.steps[0].depends_on = {4};
    EXPECT_FALSE(decode_job(encode(it)));
    it = valid;
    it.job.steps[0].tasks = 0;
    EXPECT_FALSE(decode_job(encode(it)));
    it = valid;
    it.job.steps[0].tasks = 2000000000;
    EXPECT_FALSE(decode_job(encode(it)));
}

TEST(forwarding_codec, keeps_all_fields_of_a_job) {
    passed_job it{cell::make_job("a", 3, milliseconds(70)), "entry-1", 7, 1000,
                  lease_stamp{2000, milliseconds(30)}};
    it.job.steps[0].required_label = "fast";
    it.job.steps[0].preferred_rack = "r1";
    it.job.steps[0].max_per_executor = 2;
    it.job.steps[0].image = "resize";
    it.job.steps.push_back(it.job.steps[0]);
    it.job.steps[1].depends_on = {0};
    it.job.earlier_offers = 2;
    it.job.has_alternatives = true;
    EXPECT_EQ(decode_job(encode(it)), it);
    const work::outcome outcome{job_end::given_up, "why", milliseconds(1200)};
    EXPECT_EQ(decode_outcome(encode(outcome)), outcome);
    EXPECT_EQ(decode_outcome(encode(late_here())), late_here());
    EXPECT_FALSE(decode_job(""));
    EXPECT_FALSE(decode_job("\x01\x02"));
}

TEST(forwarding_codec, reads_a_job_of_an_entry_before_earlier_offers_as_offered_first) {
    schema::passed_job old;
    ASSERT_TRUE(old.ParseFromString(
        encode(passed_job{cell::make_job("a", 1, milliseconds(70)), "entry-1", 7, 1000, {}})));
    old.clear_earlier_offers();
    EXPECT_EQ(decode_job(old.SerializeAsString())->job.earlier_offers, 0);
}

struct number_case {
    const char* name;
    std::int64_t ms;
    milliseconds expected;
};

class a_malformed_number : public testing::TestWithParam<number_case> {};

// Added to a point in time, the greatest ones would overflow.
TEST_P(a_malformed_number, is_bounded) {
    schema::passed_job message;
    ASSERT_TRUE(message.ParseFromString(
        encode(passed_job{cell::make_job("a", 1, milliseconds(70)), "entry-1", 7, 1000, {}})));
    message.set_patience_ms(GetParam().ms);
    message.set_waited_ms(GetParam().ms);
    message.set_target_ms(GetParam().ms);
    message.mutable_steps(0)->set_estimate_ms(GetParam().ms);
    message.set_earlier_offers(4'000'000'000U);
    const auto it = decode_job(message.SerializeAsString());
    ASSERT_TRUE(it);
    EXPECT_EQ(it->job.patience, GetParam().expected);
    EXPECT_EQ(it->job.waited, GetParam().expected);
    EXPECT_EQ(it->job.queue.target, GetParam().expected);
    EXPECT_EQ(it->job.steps[0].estimate, GetParam().expected);
    EXPECT_EQ(it->job.earlier_offers, 1000);
    const auto outcome = decode_outcome(
        encode(work::outcome{job_end::not_run, "full", milliseconds(GetParam().ms)}));
    ASSERT_TRUE(outcome);
    EXPECT_GE(outcome->retry_after, milliseconds(0));
    EXPECT_LE(outcome->retry_after, cell::max_retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    forwarding_codec, a_malformed_number,
    testing::Values(number_case{"zero", 0, milliseconds(0)},
                    number_case{"negative", -1'000'000'000'000, milliseconds(0)},
                    number_case{"huge", 1'000'000'000'000, milliseconds(86'400'000)},
                    number_case{"greatest", std::numeric_limits<std::int64_t>::max(),
                                milliseconds(86'400'000)}),
    [](const auto& it) { return it.param.name; });

// The load of one cell, and how it answers each offer.
struct offered_cell {
    std::int64_t free_cpu_millis = 0;
    std::int64_t backlog_ms = 0;
};

struct offers_case {
    const char* name;
    std::vector<offered_cell> cells;
    int waited_ms = 0; // by the job before it arrived
    std::size_t expected_offers = 0;
    int retry_after_ms = 2000; // of the cells' refusals
    int expected_retry_ms = 2000;
};

class a_job_refused_by_all : public a_gateway, public testing::WithParamInterface<offers_case> {};

constexpr std::int64_t room = 640000;

TEST_P(a_job_refused_by_all, is_offered_where_it_can_be_of_use) {
    std::string name;
    for (const auto& it : GetParam().cells) {
        name += 'c';
        fleet::heartbeat heartbeat;
        heartbeat.sender = {name, "d", "", 1, 250};
        heartbeat.status.sequence = 1;
        heartbeat.status.load = {640000, it.free_cpu_millis, it.backlog_ms};
        heartbeat.heard_recipient = milliseconds(1);
        m_view.receive(heartbeat, "10.0.1." + std::to_string(name.size()), m_clock.now());
    }
    auto job = cell::make_job("a", 2, milliseconds(200));
    job.waited = milliseconds(GetParam().waited_ms);
    m_gateway.submit(job, [this](const work::outcome& it) { m_outcomes.push_back(it); });
    for (std::size_t i = 0; i < m_client.sent.size(); i++) {
        ASSERT_LT(i, 20U);
        EXPECT_EQ(m_client.sent[i].message.job.earlier_offers, static_cast<int>(i));
        m_client.sent[i].done(
            work::outcome{job_end::not_run, "full", milliseconds(GetParam().retry_after_ms)});
    }
    EXPECT_EQ(m_client.sent.size(), GetParam().expected_offers);
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::not_run);
    EXPECT_EQ(m_outcomes[0].retry_after, milliseconds(GetParam().expected_retry_ms));
}

const std::vector<offered_cell> ten_with_room(10, {room, 0});
const std::vector<offered_cell> ten_full(10, {0, 100});
const std::vector<offered_cell> ten_with_long_backlogs(10, {0, 5000});

// The objective of the job is 380 ms, its value ends after 1140 ms.
INSTANTIATE_TEST_SUITE_P(
    burst, a_job_refused_by_all,
    testing::Values(
        offers_case{"all_have_room", ten_with_room, 0, 6},
        // An offer beyond the third is for answers on time.
        offers_case{"all_have_room_but_it_is_late", ten_with_room, 300, 3},
        offers_case{"none_has_room", ten_full, 0, 3},
        offers_case{"all_backlogs_are_too_long", ten_with_long_backlogs, 0, 1},
        offers_case{"one_has_room_behind_long_backlogs",
                    {{0, 1}, {0, 5000}, {0, 5000}, {0, 5000}, {room, 4000}},
                    0,
                    2},
        offers_case{
            "room_only_for_part_of_its_tasks", {{30000, 5000}, {30000, 5000}, {30000, 5000}}, 0, 1},
        offers_case{"negative_room_and_backlog",
                    {{-1'000'000'000'000, -5}, {-1'000'000'000'000, -5}},
                    0,
                    2},
        offers_case{"huge_backlogs", {{0, 1'000'000'000'000}, {0, 1'000'000'000'000}}, 0, 1},
        offers_case{"huge_room", {{1'000'000'000'000, 0}, {1'000'000'000'000, 0}}, 0, 2},
        offers_case{"retry_time_of_zero", {{0, 1}}, 0, 1, 0, 1000}),
    [](const auto& it) { return it.param.name; });

// Until the next heartbeat, a cell that had refused jobs counted as full by what was sent to it.
TEST_F(a_gateway, counts_the_room_that_a_refused_job_did_not_take_as_free) {
    receive("near", "d", 60000); // of the two tasks of one job
    receive("farther", "other", 640000);
    for (int i = 0; i < 20; i++) {
        submit();
        ASSERT_EQ(m_client.sent.back().to, (common::endpoint{"10.0.0.4", 7000})) << i;
        m_client.sent.back().done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
        ASSERT_EQ(m_client.sent.back().to, (common::endpoint{"10.0.0.7", 7000})) << i;
        m_client.sent.back().done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    }
}

struct asked_again_case {
    const char* name;
    int waited_ms;              // at the second cell
    bool has_heartbeat = false; // of the first cell, with room, since
    bool is_asked_again = false;
};

class a_cell_that_refused : public a_gateway,
                            public testing::WithParamInterface<asked_again_case> {};

// A job that waited in vain at one cell was refused although the cell that had refused it before
// was free by then.
TEST_P(a_cell_that_refused, is_asked_again_once_it_is_known_to_have_room) {
    receive("near", "d", 640000);
    receive("farther", "other", 640000);
    submit();
    m_client.sent[0].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_client.sent.size(), 2U);
    m_clock.advance(milliseconds(GetParam().waited_ms));
    if (GetParam().has_heartbeat) {
        receive("near", "d", 640000);
    }
    m_client.sent[1].done(work::outcome{job_end::not_run, "late", milliseconds(1000)});
    EXPECT_EQ(m_client.sent.size(), GetParam().is_asked_again ? 3U : 2U);
    EXPECT_EQ(m_outcomes.size(), GetParam().is_asked_again ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(burst, a_cell_that_refused,
                         testing::Values(asked_again_case{"load_is_new", 150, true, true},
                                         asked_again_case{"load_is_as_old_as_the_refusal", 150},
                                         asked_again_case{"at_once", 5, true},
                                         asked_again_case{"answer_would_be_useless", 1100, true}),
                         [](const auto& it) { return it.param.name; });

// A job is never offered again once an offer's answer is lost: it may be running there.
TEST_F(a_gateway, does_not_report_a_job_as_not_run_after_the_answer_to_an_offer_is_lost) {
    receive("near", "d", 640000);
    receive("nearer", "d", 640000);
    receive("farther", "other", 640000);
    submit();
    m_client.sent[0].done(work::outcome{job_end::not_run, "full", milliseconds(1000)});
    ASSERT_EQ(m_client.sent.size(), 2U);
    m_client.sent[1].done(make_error_code(common::error::timed_out));
    EXPECT_EQ(m_client.sent.size(), 2U);
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].end, job_end::given_up);
    EXPECT_EQ(m_client.abandoned.size(), 1U);
}

} // namespace
} // namespace savorytrail::gateway
