// Tests of the cancelling of jobs, among entries in one process.
#include "core/gateway/job_canceller.h"

#include <gtest/gtest.h>

#include "core/gateway/forwarding_http.h"
#include "unit_tests/cell/held_executor.h"
#include "unit_tests/cell/jobs.h"
#include "unit_tests/cell/no_observer.h"
#include "unit_tests/cell/recorded_orders.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;
using work::job_end;

constexpr int entries = 3;
const cancelled_job the_job{"a", "q"};

// Passes a response on to a function.
class function_responder final : public reactor::responder {
public:
    explicit function_responder(std::function<void(const reactor::http_response&)> on_sent)
        : m_on_sent(std::move(on_sent)) {}

    void send(reactor::http_response it) override {
        if (const auto on_sent = std::exchange(m_on_sent, nullptr)) {
            on_sent(it);
        }
    }
    void on_disconnect(std::function<void()>) override {}

private:
    std::function<void(const reactor::http_response&)> m_on_sent;
};

// Delivers requests to entries at once; those to an entry that is silent get no answer.
class network {
public:
    using receiver = std::function<void(const reactor::http_request&,
                                        const std::shared_ptr<reactor::responder>&)>;

    void post(const common::endpoint& to, const std::string& path, const std::string& body,
              std::function<void(common::result<reactor::http_response>)> done) {
        if (silent.contains(to.host)) {
            done(make_error_code(common::error::timed_out));
            return;
        }
        reactor::http_request request;
        request.method = "POST";
        request.target = path;
        request.body = body;
        receivers.at(to.host)(request, std::make_shared<function_responder>(std::move(done)));
    }

    std::map<std::string, receiver> receivers; // by host
    std::set<std::string> silent;
};

class network_client final : public forwarding_client, public cancel_client {
public:
    explicit network_client(network& between) : m_network(between) {}

    canceller forward(const common::endpoint& to, const passed_job& it,
                      forwarding_client::callback done) override {
        const auto is_wanted = std::make_shared<bool>(true);
        m_network.post(to, job_path, encode(it), [is_wanted, done](const auto& response) {
            if (!*is_wanted) {
                return;
            }
            if (response) {
                done(*decode_outcome(response.value().body));
            } else {
                done(response.error());
            }
        });
        return [is_wanted] { *is_wanted = false; };
    }
    void abandon(const common::endpoint& to, const abandoned_job& it) override {
        m_network.post(to, abandon_path, encode(it), [](const auto&) {});
    }
    void cancel(const common::endpoint& to, const cancelled_job& it,
                cancel_client::callback done) override {
        m_network.post(to, cancel_path, encode(it), [done](const auto& response) {
            if (response) {
                done(*decode_cancel_answer(response.value().body));
            } else {
                done(response.error());
            }
        });
    }

private:
    network& m_network;
};

std::string host_of(int entry) {
    return "10.0.0." + std::to_string(entry + 1);
}

std::string name_of(int entry) {
    return "entry-" + std::to_string(entry);
}

// An entry; the one that dispatches holds an executor.
class entry {
public:
    entry(const common::clock& clock, network& between, int number, const canceller_limits& by)
        : m_clock(clock), m_client(between),
          m_view({name_of(number), "d", host_of(number), 1, 250}, 7000, {}, clock.now()),
          m_canceller(clock, m_view, m_gateway, m_service, m_client, by) {
        m_stalls.tick();
        m_stalls.tick();
        between.receivers[host_of(number)] = [this](const auto& request, const auto& answer) {
            EXPECT_TRUE(m_service.handle(request, answer) || m_canceller.handle(request, answer));
        };
    }

    void hold_an_executor() { cell::hold_an_executor(m_executor_manager); }

    void hear_of(int other, bool dispatches) {
        fleet::heartbeat it;
        it.sender = {name_of(other), "d", "", 1, 250};
        it.status.sequence = 1;
        it.status.load = {dispatches ? 64000 : 0, dispatches ? 64000 : 0, 0};
        it.heard_recipient = milliseconds(1);
        m_view.receive(it, host_of(other), m_clock.now());
    }

    void submit() {
        m_gateway.submit(cell::make_job("a", 2, milliseconds(200)),
                         [this](const work::outcome& it) { ends.push_back(it.end); });
    }

    // Lets the dispatcher's request for leases be answered by the entry of the callers.
    void grant_leases(entry& holder) {
        m_service.tick();
        if (const auto request = decode_lease_request(m_datagram)) {
            m_service.receive(holder.m_gateway.grant_leases(*request));
        }
    }

    void cancel(const cancelled_job& it) {
        m_canceller.cancel(it, [this](cancel_result result) { results.push_back(result); });
    }

    job_canceller& canceller() { return m_canceller; }
    std::size_t open_jobs() const { return m_gateway.open_jobs() + m_dispatcher.open_jobs(); }
    const cell::recorded_orders& orders() const { return m_orders; }

    std::vector<job_end> ends;          // as the caller was answered
    std::vector<cancel_result> results; // likewise

private:
    const common::clock& m_clock;
    cell::no_observer m_observer;
    cell::recorded_orders m_orders;
    network_client m_client;
    cell::executor_manager m_executor_manager{
        {}, m_clock, m_orders, [](cell::claim_attempt) { return std::int64_t{1}; }, m_observer};
    cell::dispatcher m_dispatcher{{}, m_clock, m_executor_manager, m_observer};
    fleet::view m_view;
    common::seeded_random m_random{1};
    common::stall_detector m_stalls{m_clock, milliseconds(160)};
    gateway m_gateway{m_clock, m_stalls, m_view, m_dispatcher, m_client, m_observer, m_random};
    std::string m_datagram; // the last one that was sent
    forwarding_service m_service{
        m_clock,           m_view,
        m_dispatcher,      m_observer,
        milliseconds(975), [this](const auto&, const auto& it) {
                                     m_datagram = it; }};
    job_canceller m_canceller;
};

// Three entries that hear each other. The first has the caller; one of them dispatches.
class cancelling : public testing::Test {
protected:
    void start(int dispatcher, const canceller_limits& by = {}) {
        m_clock.advance(milliseconds(1000));
        for (int i = 0; i < entries; i++) {
            m_entries.push_back(std::make_unique<entry>(m_clock, m_network, i, by));
        }
        m_entries[dispatcher]->hold_an_executor();
        for (int i = 0; i < entries; i++) {
            for (int other = 0; other < entries; other++) {
                if (other != i) {
                    m_entries[i]->hear_of(other, other == dispatcher);
                }
            }
        }
        m_entries[0]->submit();
        m_entries[dispatcher]->grant_leases(*m_entries[0]);
    }

    std::size_t open_jobs() const {
        std::size_t sum = 0;
        for (const auto& it : m_entries) {
            sum += it->open_jobs();
        }
        return sum;
    }

    common::manual_clock m_clock;
    network m_network;
    std::vector<std::unique_ptr<entry>> m_entries;
};

struct places {
    const char* name;
    int dispatcher;
    int asked; // to cancel the job
};

class a_running_job : public cancelling, public testing::WithParamInterface<places> {};

// A DELETE of a running job was answered with 410 and not carried out.
TEST_P(a_running_job, is_cancelled_wherever_it_is) {
    start(GetParam().dispatcher);
    auto& dispatcher = *m_entries[GetParam().dispatcher];
    ASSERT_EQ(dispatcher.orders().starts.size(), 2U);
    auto& asked = *m_entries[GetParam().asked];
    asked.cancel(the_job);
    EXPECT_EQ(asked.results, std::vector{cancel_result::cancelled});
    EXPECT_EQ(m_entries[0]->ends, std::vector{job_end::cancelled});
    EXPECT_EQ(dispatcher.orders().stops, 2);
    EXPECT_EQ(open_jobs(), 0U);
}

// Its dispatcher, which can't be reached, would have gone on.
TEST_P(a_running_job, gets_no_lease_after_it_was_cancelled) {
    start(GetParam().dispatcher);
    if (GetParam().dispatcher == 0 || GetParam().dispatcher == GetParam().asked) {
        return; // nothing is between the caller, or who cancels, and the dispatcher
    }
    m_network.silent.insert(host_of(GetParam().dispatcher));
    m_entries[GetParam().asked]->cancel(the_job);
    EXPECT_EQ(m_entries[GetParam().asked]->results, std::vector{cancel_result::cancelled});
    EXPECT_EQ(m_entries[0]->ends, std::vector{job_end::cancelled});
    auto& dispatcher = *m_entries[GetParam().dispatcher];
    EXPECT_EQ(dispatcher.open_jobs(), 1U);
    dispatcher.grant_leases(*m_entries[0]);
    EXPECT_EQ(dispatcher.open_jobs(), 0U);
    EXPECT_EQ(dispatcher.orders().stops, 2);
}

// Its caller, who was not told, sent it again elsewhere, and it ran after all.
TEST_P(a_running_job, is_remembered_as_cancelled_everywhere) {
    start(GetParam().dispatcher);
    m_entries[GetParam().asked]->cancel(the_job);
    for (const auto& it : m_entries) {
        EXPECT_TRUE(it->canceller().was_cancelled(the_job));
        EXPECT_FALSE(it->canceller().was_cancelled({"a", "other"}));
    }
    m_clock.advance(canceller_limits().remembered_for);
    EXPECT_FALSE(m_entries[0]->canceller().was_cancelled(the_job));
}

INSTANTIATE_TEST_SUITE_P(all, a_running_job,
                         testing::Values(places{"at_the_only_entry_that_has_it", 0, 0},
                                         places{"from_an_entry_that_does_not_have_it", 0, 2},
                                         places{"at_the_entry_of_its_caller", 1, 0},
                                         places{"at_its_dispatcher", 1, 1},
                                         places{"at_a_third_entry", 1, 2}),
                         [](const auto& it) { return it.param.name; });

struct failing_case {
    const char* name;
    cancelled_job job;
    std::set<std::string> silent;
    std::size_t max_pending;
    cancel_result result;
    std::size_t open_jobs; // afterwards
};

class a_cancellation : public cancelling, public testing::WithParamInterface<failing_case> {};

// What is confirmed though it was not carried out lets a cancelled job run.
TEST_P(a_cancellation, is_answered_truthfully) {
    canceller_limits by;
    by.max_pending = GetParam().max_pending;
    start(1, by);
    m_network.silent = GetParam().silent;
    m_entries[2]->cancel(GetParam().job);
    EXPECT_EQ(m_entries[2]->results, std::vector{GetParam().result});
    EXPECT_EQ(open_jobs(), GetParam().open_jobs);
}

INSTANTIATE_TEST_SUITE_P(
    all, a_cancellation,
    testing::Values(
        failing_case{"of_an_unknown_job", {"b", "q"}, {}, 64, cancel_result::not_open, 2},
        failing_case{"in_another_queue", {"a", "r"}, {}, 64, cancel_result::not_open, 2},
        failing_case{"that_some_do_not_answer",
                     the_job,
                     {host_of(0), host_of(1)},
                     64,
                     cancel_result::unconfirmed,
                     2},
        failing_case{"that_the_callers_entry_does_not_answer",
                     the_job,
                     {host_of(0)},
                     64,
                     cancel_result::cancelled,
                     0},
        failing_case{"beyond_the_bound", the_job, {}, 0, cancel_result::unconfirmed, 2}),
    [](const auto& it) { return it.param.name; });

// A later answer changed the result, or none came.
TEST_F(cancelling, is_answered_once) {
    start(1);
    for (int i = 0; i < 3; i++) {
        m_entries[2]->cancel(the_job);
    }
    EXPECT_EQ(m_entries[2]->results, (std::vector{cancel_result::cancelled, cancel_result::not_open,
                                                  cancel_result::not_open}));
}

// Bad input must not be taken for a cancellation.
TEST_F(cancelling, rejects_what_it_cannot_read) {
    start(1);
    for (const std::string body : {"", "\xff\xff", "{}"}) {
        int status = 0;
        reactor::http_request request;
        request.method = "POST";
        request.target = cancel_path;
        request.body = body;
        EXPECT_TRUE(m_entries[1]->canceller().handle(
            request,
            std::make_shared<function_responder>([&](const auto& it) { status = it.status; })));
        EXPECT_EQ(status, 400);
    }
    EXPECT_EQ(open_jobs(), 2U);
}

} // namespace
} // namespace savorytrail::gateway
