// Tests of how long the row of a client key stands for its submission.
#include "core/routing/keyed_router.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "core/claim/claim_row.h"
#include "unit_tests/fleet/entry_instance.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::routing {
namespace {

using common::milliseconds;

constexpr milliseconds timeout{10000};
constexpr milliseconds default_deadline{400}; // as of the entry under test

// Is read by the claimer's thread while a test advances it.
class shared_clock final : public common::clock {
public:
    common::time_point now() const override {
        return common::time_point(std::chrono::hours(1)) + milliseconds(m_elapsed_ms.load());
    }
    void advance(milliseconds step) { m_elapsed_ms += step.count(); }

private:
    std::atomic<std::int64_t> m_elapsed_ms{0};
};

class client_key : public testing::Test {
protected:
    static job::job make_job(milliseconds deadline) {
        job::task task;
        task.path = "/x";
        return {"t", "u", deadline, {task}};
    }

    keyed_result submit(const job::job& job) { return m_router.submit("k", job, milliseconds(0)); }

    // The only task of the submission ends.
    void finish() {
        home::task_outcome outcome;
        outcome.end = submission::task_end::answered;
        outcome.result.status = 200;
        m_entry.home.task_done(m_started.at(0), outcome);
    }

    // Waits until the claimer has deleted all rows that are due.
    void delete_due_rows() {
        const std::string last = "key/t/last-" + std::to_string(m_rounds++);
        const auto row = m_claimer.claim({last, {m_entry.ids.issue(1).front(), ""}}, timeout);
        m_claimer.delete_after(m_clock.now(), {last, row.value().version});
        const auto limit = std::chrono::steady_clock::now() + timeout;
        while (has_row(last) && std::chrono::steady_clock::now() < limit) {
            m_clock.advance(milliseconds(1)); // the claimer's rounds are due by this clock
            std::this_thread::sleep_for(milliseconds(1));
        }
        ASSERT_FALSE(has_row(last));
    }

    bool has_row(const std::string& key) {
        const auto row = m_table.read_newer(key, 0);
        return row && row.value();
    }

    int m_rounds = 0;
    shared_clock m_clock;
    platform::fake_table m_table;
    std::vector<home::outgoing_task> m_started;
    fleet::entry_instance m_entry{
        {"a", 1, milliseconds(0), [this](auto it) { m_started.push_back(it); }, nullptr, &m_table},
        m_clock};
    claim::claimer m_claimer{m_table, m_clock, {milliseconds(1), 100, 1000}};
    keyed_router m_router{m_entry.ids, m_claimer, m_entry.router, timeout, default_deadline};
};

struct open_case {
    milliseconds deadline; // of the job; 0 for none
    milliseconds open_for; // after its id has expired
};

class client_key_of_an_open_submission : public client_key,
                                         public testing::WithParamInterface<open_case> {};

// The row was deleted one id lifetime after the claim although the submission was still open: the
// same job under the same key got another id, and its tasks started a second time.
TEST_P(client_key_of_an_open_submission, stands_for_it_until_its_deadline) {
    const auto job = make_job(GetParam().deadline);
    const auto first = submit(job);
    ASSERT_EQ(first.result.answer.state, job::answer_state::running);
    ASSERT_EQ(m_started.size(), 1U);
    m_clock.advance(fleet::id_lifetime + GetParam().open_for);
    delete_due_rows();
    EXPECT_EQ(submit(job).id, first.id);
    EXPECT_EQ(m_started.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(deadlines, client_key_of_an_open_submission,
                         testing::Values(open_case{milliseconds(0), milliseconds(1)},
                                         open_case{milliseconds(0), default_deadline},
                                         open_case{milliseconds(5000), milliseconds(1)},
                                         open_case{milliseconds(5000), milliseconds(5000)},
                                         open_case{milliseconds(600000), milliseconds(600000)}));

TEST_F(client_key, is_free_again_when_its_submission_can_no_longer_be_open) {
    const auto job = make_job(milliseconds(5000));
    const auto first = submit(job);
    m_clock.advance(fleet::id_lifetime + milliseconds(5000) + milliseconds(1100));
    m_entry.tick();
    delete_due_rows();
    EXPECT_FALSE(has_row("key/t/k"));
    EXPECT_NE(submit(job).id, first.id);
}

TEST_F(client_key, is_free_again_one_lifetime_after_its_final_answer) {
    const auto job = make_job(milliseconds(5000));
    const auto first = submit(job);
    finish();
    ASSERT_EQ(submit(job).result.answer.state, job::answer_state::complete);
    m_clock.advance(fleet::id_lifetime - milliseconds(500));
    delete_due_rows();
    EXPECT_TRUE(has_row("key/t/k"));
    m_clock.advance(fleet::id_lifetime);
    delete_due_rows();
    EXPECT_FALSE(has_row("key/t/k"));
    EXPECT_NE(submit(job).id, first.id);
}

} // namespace
} // namespace savorytrail::routing
