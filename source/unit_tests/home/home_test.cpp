// Tests of the home for timings that the fleet fuzz test does not cover: manifests that drop an
// upstream, and concurrent calls.
#include "core/home/home.h"

#include <gtest/gtest.h>

#include <thread>

namespace savorytrail::home {
namespace {

using job::answer_state;
using job::task_state;

// Runs a callback in the middle of a call, when the home reads the clock.
class interrupting_clock final : public common::clock {
public:
    common::time_point now() const override {
        if (interrupt)
            std::exchange(interrupt, nullptr)();
        return std::chrono::steady_clock::now();
    }

    mutable std::function<void()> interrupt;
};

class home_rules : public testing::Test {
protected:
    void SetUp() override { apply_manifest({"u", "v"}, 2); }

    // Applies a manifest with these upstreams, each with one executor.
    void apply_manifest(const std::vector<std::string>& upstreams, std::uint32_t slots) {
        auto it = std::make_shared<manifest::manifest>();
        it->teams.push_back({"t", 0});
        for (const auto& name : upstreams)
            it->upstreams.push_back({name, common::milliseconds(100), 0, {}});
        m_home.apply(it);
        for (const auto& name : upstreams) {
            const manifest::executor executor{name + "-e", "d", "w", {"10.0.0.1", 1}, slots, slots};
            m_home.set_executors(name, {{executor, slots}});
        }
    }

    request_result submit(const submission::submission_id& id, const std::string& upstream,
                          std::size_t tasks) {
        job::job it{"t", upstream, {}, {}};
        it.tasks.resize(tasks, {"/", "x", false, common::milliseconds(10)});
        return m_home.submit(id, it, nullptr);
    }

    submission::submission_id submit_new(const std::string& upstream, std::size_t tasks) {
        const auto id = m_ids.issue(1).front();
        submit(id, upstream, tasks);
        return id;
    }

    // The state is `running` while there is no final answer.
    job::answer final_answer(const submission::submission_id& id) {
        const auto result = m_home.query(id, nullptr);
        return result.outcome == request_outcome::answered ? *result.answer : job::answer();
    }

    // Unknown for each task of the submission that was sent, not_run for the others.
    std::vector<task_state> states_by_what_was_sent(const submission::submission_id& id,
                                                    std::size_t tasks) const {
        std::vector<task_state> states(tasks, task_state::not_run);
        for (const auto& it : m_sent) {
            if (it.start.id == id)
                states.at(it.start.task) = task_state::unknown;
        }
        return states;
    }

    std::size_t queued(const std::string& upstream) const {
        for (const auto& it : m_dispatcher.status()) {
            if (it.upstream == upstream)
                return it.queued_tasks;
        }
        return 0;
    }

    interrupting_clock m_clock;
    common::seeded_random m_random{3};
    submission::issuer m_ids{"zilina-1", m_clock, m_random, std::chrono::minutes(10)};
    submission::ledger m_ledger{{100000, 64 << 20}};
    dispatch::dispatcher m_dispatcher{"standard", {100000}};
    std::mutex m_mutex;
    std::vector<outgoing_task> m_sent; // guarded by m_mutex
    home m_home{m_ids, m_ledger, m_dispatcher, m_clock, {}, [this](outgoing_task it) {
                    const std::lock_guard lock(m_mutex);
                    m_sent.push_back(std::move(it));
                }};
};

TEST_F(home_rules, work_of_an_upstream_that_leaves_is_given_up_at_once) {
    const auto all_started = submit_new("u", 1);
    const auto partly_started = submit_new("u", 2);
    const auto waiting = submit_new("u", 2);
    const auto elsewhere = submit_new("v", 3);
    ASSERT_EQ(m_sent.size(), 4U);

    apply_manifest({"v"}, 2);
    EXPECT_EQ(final_answer(partly_started).state, answer_state::failed);
    EXPECT_EQ(final_answer(partly_started).tasks, states_by_what_was_sent(partly_started, 2));
    EXPECT_EQ(final_answer(waiting).state, answer_state::refused);
    EXPECT_EQ(final_answer(waiting).why, job::reason::unknown_upstream);
    EXPECT_EQ(queued("u"), 0U);
    EXPECT_EQ(final_answer(elsewhere).state, answer_state::running);

    const auto first = m_sent.front();
    m_home.task_done(first, {submission::task_end::answered, {200, "ok"}, {}});
    EXPECT_EQ(final_answer(all_started).state, answer_state::complete);
    EXPECT_EQ(m_sent.size(), 4U) << "nothing new may start";
}

TEST_F(home_rules, a_task_that_comes_back_to_an_upstream_that_left_ends_its_submission) {
    const auto id = submit_new("u", 1);
    apply_manifest({"v"}, 2);
    m_home.task_done(m_sent.front(), {submission::task_end::not_started, {}, {}});
    EXPECT_EQ(final_answer(id).state, answer_state::refused);
}

// Found in operations_test: a caller that asked for its job's events as soon as it had the answer
// did not find the answer among them.
TEST_F(home_rules, the_observer_learns_of_an_answer_before_the_caller) {
    class recording_observer final : public observer {
    public:
        explicit recording_observer(std::vector<std::string>& told) : m_told(told) {}
        void answered(const submission::submission_id& /*id*/,
                      const job::answer& /*answer*/) override {
            m_told.emplace_back("observer");
        }

    private:
        std::vector<std::string>& m_told;
    };
    std::vector<std::string> told;
    recording_observer observer(told);
    m_home.set_observer(observer);
    job::job body{"t", "u", {}, {{"/", "x", false, common::milliseconds(10)}}};
    const auto result = m_home.submit(m_ids.issue(1).front(), body,
                                      [&](const auto&) { told.emplace_back("caller"); });
    ASSERT_EQ(result.outcome, request_outcome::waiting);
    m_home.task_done(m_sent.front(), {submission::task_end::answered, {200, "ok"}, {}});
    EXPECT_EQ(told, (std::vector<std::string>{"observer", "caller"}));
}

TEST_F(home_rules, a_cancel_between_recording_and_admission_leaves_nothing_in_the_queue) {
    submit_new("u", 2); // holds both slots
    const auto id = m_ids.issue(1).front();
    bool is_cancelled = false;
    std::function<void()> cancel_once_recorded = [&] {
        is_cancelled = m_ledger.upstream_of(id).has_value();
        if (is_cancelled)
            m_home.cancel(id);
        else
            m_clock.interrupt = cancel_once_recorded;
    };
    m_clock.interrupt = cancel_once_recorded;
    submit(id, "u", 2);
    EXPECT_TRUE(is_cancelled);
    EXPECT_EQ(final_answer(id).state, answer_state::refused);
    EXPECT_EQ(queued("u"), 0U);
}

TEST_F(home_rules, a_cancel_that_races_an_admission_leaves_nothing_in_the_queue) {
    constexpr int rounds = 5000;
    submit_new("u", 2); // holds both slots
    const auto ids = m_ids.issue(rounds);
    std::atomic<int> turn{0};
    std::thread canceller([&] {
        for (int i = 0; i < rounds; i++) {
            while (turn.load() < i)
                std::this_thread::yield();
            // Cancels at a different moment of the submission in each round.
            const auto until = m_clock.now() + std::chrono::nanoseconds(100 * (i % 250));
            while (m_clock.now() < until) {
            }
            m_home.cancel(ids[i]);
        }
    });
    for (int i = 0; i < rounds; i++) {
        turn = i;
        submit(ids[i], "u", 2);
    }
    canceller.join();
    for (const auto& id : ids)
        ASSERT_EQ(final_answer(id).state, answer_state::refused);
    EXPECT_EQ(queued("u"), 0U);
    EXPECT_EQ(m_sent.size(), 2U);
}

} // namespace
} // namespace savorytrail::home
