// End-to-end submissions through real processes: all entries give the same answer, and invalid
// input starts no task.
#include "integration_tests/fixture.h"

namespace savorytrail::integration {
namespace {

stand_ins::cluster_plan three_domains() {
    stand_ins::cluster_plan plan;
    plan.domains = {{"zilina", 2, 2}, {"banska", 2, 2}, {"martin", 2, 2}};
    return plan;
}

class whole_path : public running_cluster {
protected:
    whole_path() : running_cluster(three_domains()) {}
};

TEST_F(whole_path, one_submission_is_answered_alike_by_every_entry) {
    const auto job = make_job("booking", 3, 50);
    const auto id = new_id(entry(0));
    const auto first = submit(entry(0), id, job);
    EXPECT_TRUE(has_all_results(first, job)) << first.text;
    for (std::size_t i = 1; i < m_cluster.entries().size(); i++) {
        EXPECT_EQ(submit(entry(i), id, job).text, first.text);
        EXPECT_EQ(query(entry(i), id).text, first.text);
    }
    EXPECT_EQ(starts_of(id), 3U);
}

TEST_F(whole_path, a_thousand_tasks_return_every_result) {
    const auto job = make_job("seat", 1000, 5);
    const auto id = new_id(entry(1));
    const auto answer = submit(entry(4), id, job);
    EXPECT_TRUE(has_all_results(answer, job)) << answer.text.substr(0, 300);
    EXPECT_EQ(starts_of(id), 1000U);
}

TEST_F(whole_path, a_burst_of_resubmissions_runs_each_job_once) {
    constexpr std::size_t jobs = 20;
    std::vector<job_spec> specs;
    std::vector<std::string> ids;
    std::vector<std::future<job_answer>> answers;
    for (std::size_t i = 0; i < jobs; i++) {
        specs.push_back(make_job("burst " + std::to_string(i), 2, 30));
        ids.push_back(new_id(entry(i % 6)));
        for (std::size_t copy = 0; copy < 3; copy++)
            answers.push_back(submit_later(entry((i + copy) % 6), ids[i], specs[i]));
    }
    for (std::size_t i = 0; i < answers.size(); i++)
        EXPECT_TRUE(has_all_results(answers[i].get(), specs[i / 3]));
    EXPECT_EQ(starts(), jobs * 2);
}

TEST_F(whole_path, a_cancelled_id_starts_nothing_when_its_submission_comes_late) {
    const auto id = new_id(entry(0));
    EXPECT_EQ(cancel(entry(3), id).state, "refused");
    const auto late = submit(entry(5), id, make_job("late", 2, 50));
    EXPECT_EQ(late.state, "refused");
    EXPECT_EQ(late.reason, "cancelled");
    EXPECT_EQ(starts_of(id), 0U);
}

struct bad_submission {
    const char* name;
    const char* id; // empty: a new id is requested
    std::string body;
    int status;
    const char* field;
};

class bad_input : public whole_path {};

std::vector<bad_submission> bad_submissions() {
    job_spec job = make_job("x", 1, 50);
    const std::string good = job.to_json();
    job_spec too_many = make_job("x", 1001, 1);
    const std::string foreign = "s1_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";
    return {
        {"malformed JSON", "", "{", 400, "body"},
        {"too many tasks", "", too_many.to_json(), 400, "tasks"},
        {"no tasks", "", R"({"team":"brana","upstream":"booking","tasks":[]})", 400, "tasks"},
        {"a task's body too large", "",
         R"({"team":"brana","upstream":"booking","tasks":[{"path":"/","body":")" +
             std::string(70000, 'x') + R"("}]})",
         400, "tasks[0].body"},
        {"not an id", "nonsense", good, 400, "id"},
    };
}

TEST_F(bad_input, is_refused_by_name_and_starts_nothing) {
    for (const auto& it : bad_submissions()) {
        const std::string id = *it.id != '\0' ? it.id : new_id(entry(0));
        const auto answer = submit_text(entry(1), id, it.body);
        EXPECT_EQ(answer.status, it.status) << it.name << ": " << answer.text;
        EXPECT_EQ(answer.error_field, it.field) << it.name << ": " << answer.text;
    }
    EXPECT_EQ(submit_text(entry(0), new_id(entry(0)), std::string(5 << 20, ' ')).status, 413);
    EXPECT_EQ(starts(), 0U);
}

TEST_F(bad_input, a_forged_id_is_told_from_a_genuine_one) {
    auto id = new_id(entry(0));
    id.back() = id.back() == 'A' ? 'Q' : 'A';
    const auto answer = submit(entry(1), id, make_job("x", 1, 50));
    EXPECT_EQ(answer.status, 400) << answer.text;
    EXPECT_EQ(answer.error_field, "id");
    EXPECT_EQ(starts(), 0U);
}

TEST_F(bad_input, unknown_names_are_refused_as_not_run) {
    auto job = make_job("x", 1, 50);
    job.team = "nobody";
    const auto team = submit(entry(0), new_id(entry(0)), job);
    EXPECT_EQ(team.state, "refused");
    EXPECT_EQ(team.reason, "unknown_team");
    job.team = "brana";
    job.upstream = "nowhere";
    const auto upstream = submit(entry(0), new_id(entry(1)), job);
    EXPECT_EQ(upstream.state, "refused");
    EXPECT_EQ(upstream.reason, "unknown_upstream");
    EXPECT_EQ(upstream.task_states, std::vector<std::string>{"not_run"});
    EXPECT_EQ(starts(), 0U);
}

TEST_F(bad_input, a_second_body_under_the_same_id_is_a_conflict) {
    const auto id = new_id(entry(0));
    const auto first = make_job("first", 1, 50);
    EXPECT_TRUE(has_all_results(submit(entry(0), id, first), first));
    EXPECT_EQ(submit(entry(3), id, make_job("second", 1, 50)).status, 409);
    EXPECT_EQ(starts_of(id), 1U);
}

} // namespace
} // namespace savorytrail::integration
