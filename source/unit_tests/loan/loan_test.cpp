// Tests of loans between two entries with lost messages and restarted processes. The lender must
// not reuse a lent slot while a task started under the loan may still be running.
#include <gtest/gtest.h>

#include "core/loan/borrower.h"
#include "core/loan/lender.h"

namespace savorytrail::loan {
namespace {

using common::milliseconds;

constexpr milliseconds task_timeout{3000};
constexpr std::uint32_t slots = 10;

class two_entries : public testing::Test {
protected:
    two_entries() {
        manifest::executor it;
        it.name = "e";
        m_lending.set_executors("u", {{it, slots}}, m_now, m_starts);
        m_borrower->set_offers({{"lender", "u", slots, true}}, m_now);
    }

    std::unique_ptr<borrower> make_borrower(std::uint64_t incarnation) {
        return std::make_unique<borrower>(m_borrowing, "borrower",
                                          submission::incarnation{1, incarnation},
                                          [](const std::string&, const std::string& name) {
                                              manifest::executor it;
                                              it.name = name;
                                              return std::optional(it);
                                          });
    }

    void submit(dispatch::dispatcher& to, std::size_t tasks) {
        dispatch::job_descriptor it;
        it.id.sequence = ++m_sequence;
        it.upstream = "u";
        it.arrived = m_now;
        it.deadline = m_now + std::chrono::hours(1);
        it.expected.assign(tasks, milliseconds(100));
        EXPECT_TRUE(to.submit(it, m_now, m_starts).is_accepted);
    }

    // Delivers the requests of the borrower and their replies; false when there were none.
    bool exchange_messages() {
        const auto sent = m_borrower->decide(m_now);
        for (const auto& it : sent)
            m_borrower->replied(it, m_lender->handle(it.request, task_timeout, m_now, m_starts),
                                m_now, m_starts);
        return !sent.empty();
    }

    void advance(milliseconds duration, bool is_connected = true) {
        constexpr milliseconds step{20};
        for (milliseconds passed{0}; passed < duration; passed += step) {
            m_now += step;
            m_lender->tick(m_now, m_starts);
            if (is_connected)
                exchange_messages();
        }
    }

    void finish_all() {
        const auto running = std::move(m_starts);
        m_starts.clear();
        for (const auto& it : running)
            m_borrowing.complete(it, dispatch::completion::answered, milliseconds(100), m_now,
                                 m_starts);
    }

    common::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::vector<dispatch::task_start> m_starts;
    dispatch::dispatcher m_lending{"standard", {}};
    dispatch::dispatcher m_borrowing{"standard", {}};
    std::unique_ptr<lender> m_lender =
        std::make_unique<lender>(m_lending, submission::incarnation{2, 1});
    std::unique_ptr<borrower> m_borrower = make_borrower(1);
};

TEST_F(two_entries, one_exchange_covers_the_whole_backlog) {
    submit(m_borrowing, 8);
    EXPECT_TRUE(exchange_messages());
    EXPECT_EQ(m_starts.size(), 8U);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots - 8);
    EXPECT_FALSE(exchange_messages());
}

TEST_F(two_entries, a_loan_in_use_is_renewed_and_an_idle_one_returned) {
    submit(m_borrowing, 8);
    advance(lender::term * 3);
    EXPECT_EQ(m_borrower->borrowed_slots(), 8U);
    finish_all();
    advance(milliseconds(1000));
    EXPECT_EQ(m_borrower->borrowed_slots(), 0U);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots);
}

TEST_F(two_entries, the_lender_learns_of_an_executor_that_fails_the_borrower) {
    manifest::executor other;
    other.name = "other";
    manifest::executor failing;
    failing.name = "e";
    m_lending.set_executors("u", {{failing, slots}, {other, slots}}, m_now, m_starts);
    manifest::executor own;
    own.name = "own";
    m_borrowing.set_executors("u", {{own, 1}}, m_now, m_starts);
    submit(m_borrowing, 8);
    exchange_messages();
    const auto running = std::move(m_starts);
    m_starts.clear();
    for (const auto& it : running)
        m_borrowing.complete(it,
                             it.executor->name == "e" ? dispatch::completion::failed
                                                      : dispatch::completion::answered,
                             milliseconds(2), m_now, m_starts);
    advance(milliseconds(500));
    EXPECT_EQ(m_lending.status().at(0).ejected_executors, 1U);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots);
}

TEST_F(two_entries, a_lender_with_a_backlog_lends_nothing) {
    submit(m_lending, slots + 1);
    m_starts.clear();
    submit(m_borrowing, 8);
    exchange_messages();
    EXPECT_TRUE(m_starts.empty());
}

TEST_F(two_entries, a_dead_borrower_s_slots_return_after_term_and_task_timeout) {
    submit(m_borrowing, 8);
    exchange_messages();
    advance(lender::term + task_timeout - milliseconds(20), false);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots - 8);
    advance(milliseconds(20), false);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots);
    EXPECT_EQ(m_lender->lent_slots(), 0U);
}

TEST_F(two_entries, a_borrower_that_cannot_reach_the_lender_stops_using_the_loan_before_it_ends) {
    submit(m_borrowing, 8);
    exchange_messages();
    m_now += lender::term;
    m_borrower->decide(m_now);
    EXPECT_EQ(m_borrower->borrowed_slots(), 0U);
    submit(m_borrowing, 1);
    EXPECT_EQ(m_starts.size(), 8U);
}

// Tasks of an ended loan may still be running, so the next exchange must not free its slots.
TEST_F(two_entries, slots_of_a_loan_that_ended_in_use_stay_reserved) {
    submit(m_borrowing, 8);
    exchange_messages();
    m_now += lender::term - milliseconds(1);
    const auto late = m_borrower->decide(m_now);
    for (const auto& it : late)
        m_borrower->failed(it, m_now);
    m_now += milliseconds(1);
    advance(milliseconds(2000));
    EXPECT_EQ(m_lending.lendable_slots("u"), slots - 8);
    advance(task_timeout);
    EXPECT_EQ(m_lending.lendable_slots("u"), slots);
}

TEST_F(two_entries, the_next_exchange_recovers_from_a_lost_reply) {
    submit(m_borrowing, 8);
    const auto sent = m_borrower->decide(m_now);
    ASSERT_EQ(sent.size(), 1U);
    m_lender->handle(sent[0].request, task_timeout, m_now, m_starts);
    m_borrower->failed(sent[0], m_now);
    EXPECT_TRUE(m_starts.empty());
    EXPECT_EQ(m_lending.lendable_slots("u"), slots - 8);
    advance(milliseconds(2000));
    EXPECT_EQ(m_starts.size(), 8U);
    EXPECT_EQ(m_lender->lent_slots(), 8U);
}

TEST_F(two_entries, the_next_exchange_recovers_from_a_lost_return) {
    submit(m_borrowing, 8);
    exchange_messages();
    finish_all();
    std::vector<exchange> lost;
    for (int i = 0; i < 100 && lost.empty(); i++) {
        m_now += milliseconds(20);
        lost = m_borrower->decide(m_now);
    }
    ASSERT_EQ(lost.size(), 1U);
    m_borrower->failed(lost[0], m_now);
    advance(milliseconds(2000));
    EXPECT_EQ(m_lending.lendable_slots("u"), slots);
}

TEST_F(two_entries, a_request_that_arrives_after_a_newer_one_changes_nothing) {
    submit(m_borrowing, 8);
    const auto old = m_borrower->decide(m_now);
    ASSERT_EQ(old.size(), 1U);
    m_borrower->failed(old[0], m_now);
    advance(milliseconds(2000));
    EXPECT_EQ(m_lender->lent_slots(), 8U);
    const auto reply = m_lender->handle(old[0].request, task_timeout, m_now, m_starts);
    EXPECT_TRUE(reply.granted.empty());
    EXPECT_EQ(m_lender->lent_slots(), 8U);
}

TEST_F(two_entries, a_restarted_borrower_s_old_loans_stay_reserved_until_they_end) {
    submit(m_borrowing, 8);
    exchange_messages();
    m_borrower = make_borrower(2);
    m_borrower->set_offers({{"lender", "u", slots, true}}, m_now);
    submit(m_borrowing, 10);
    exchange_messages();
    EXPECT_EQ(m_lender->lent_slots(), slots);
    m_now += lender::term + task_timeout;
    m_lender->tick(m_now, m_starts);
    EXPECT_EQ(m_lender->lent_slots(), 0U);
}

TEST_F(two_entries, loans_of_a_lender_that_restarted_end_with_its_first_reply) {
    submit(m_borrowing, 8);
    exchange_messages();
    EXPECT_EQ(m_borrower->borrowed_slots(), 8U);
    m_lender = std::make_unique<lender>(m_lending, submission::incarnation{2, 2});
    advance(lender::term - borrower::renew_before);
    EXPECT_EQ(m_borrower->borrowed_slots(), 0U);
}

TEST(borrower, asks_a_peer_of_its_domain_before_one_with_more_idle_slots) {
    dispatch::dispatcher dispatcher{"standard", {}};
    borrower it(dispatcher, "b", {1, 1}, [](const std::string&, const std::string&) {
        return std::optional<manifest::executor>();
    });
    const common::time_point now{std::chrono::hours(1)};
    it.set_offers({{"far", "u", 100, false}, {"near", "u", 5, true}, {"full", "u", 0, true}}, now);
    std::vector<dispatch::task_start> starts;
    dispatch::job_descriptor job;
    job.upstream = "u";
    job.arrived = now;
    job.deadline = now + std::chrono::hours(1);
    job.expected.assign(8, milliseconds(100));
    ASSERT_TRUE(dispatcher.submit(job, now, starts).is_accepted);
    const auto sent = it.decide(now);
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].vm, "near");
    EXPECT_EQ(sent[0].request.wanted, 5U);
    EXPECT_EQ(sent[1].vm, "far");
    EXPECT_EQ(sent[1].request.wanted, 3U);
}

} // namespace
} // namespace savorytrail::loan
