// Operators' interfaces of real processes: metrics summed over the entries, the burn report, and
// the story of a job at every entry.
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "core/http/client.h"
#include "core/report/run.h"
#include "core/telemetry/scrape.h"
#include "integration_tests/fixture.h"

namespace savorytrail::integration {
namespace {

stand_ins::cluster_plan two_domains() {
    stand_ins::cluster_plan plan;
    plan.domains = {{"zilina", 1, 2}, {"banska", 1, 2}};
    return plan;
}

http::response get(const common::endpoint& from, const std::string& path) {
    http::client client(from, {});
    http::request message;
    message.path = path;
    const auto answer = client.send(message);
    return answer ? answer.value() : http::response{};
}

class operations : public running_cluster {
protected:
    operations() : running_cluster(two_domains()) {}

    // Sum over all entries of the samples with exactly these labels; empty `labels` match all.
    double sum(const std::string& name, const std::map<std::string, std::string>& labels = {}) {
        double total = 0;
        for (std::size_t i = 0; i < m_cluster.entries().size(); i++) {
            const auto scrape = telemetry::parse_scrape(get(entry(i), "/metrics").body);
            EXPECT_TRUE(scrape) << "entry " << i;
            for (const auto& it : scrape->samples) {
                if (it.name == name && (labels.empty() || it.labels == labels))
                    total += it.value;
            }
        }
        return total;
    }
};

TEST_F(operations, metrics_count_each_submission_once) {
    constexpr int jobs = 5;
    const auto job = make_job("seat", 2, 50);
    for (int i = 0; i < jobs; i++) {
        const auto id = new_id(entry(0));
        EXPECT_TRUE(has_all_results(submit(entry(i % 2), id, job), job));
        EXPECT_TRUE(
            has_all_results(submit(entry(1), id, job), job)); // a resubmission is not counted
    }
    auto nobody = job;
    nobody.team = "nobody";
    EXPECT_EQ(submit(entry(0), new_id(entry(0)), nobody).state, "refused");

    EXPECT_EQ(sum("savory_answers_total", {{"state", "complete"}, {"reason", "none"}}), jobs);
    EXPECT_EQ(sum("savory_answers_total", {{"state", "refused"}, {"reason", "unknown_team"}}), 1);
    EXPECT_EQ(sum("savory_tasks_total", {{"end", "answered"}}), jobs * 2);
    EXPECT_EQ(sum("savory_messages_total", {{"kind", "task"}}), jobs * 2);
    EXPECT_EQ(sum("savory_response_over_ideal_ratio_count"), jobs);
    EXPECT_GE(sum("savory_response_seconds_sum"), jobs * 0.05);
    EXPECT_GE(sum("savory_forwarded_requests_total"), jobs);
    EXPECT_GT(sum("process_resident_memory_bytes"), 0);
}

TEST_F(operations, the_burn_report_reads_real_entries) {
    report::run_options options;
    options.entries = {entry(0), entry(1)};
    options.scrapes = 1;
    options.save = testing::TempDir() + "savory_operations_scrapes";
    options.json = true;
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(report::run(options, out, err), report::exit_status::ok) << err.str();
    const auto job = make_job("seat", 2, 50);
    EXPECT_TRUE(has_all_results(submit(entry(0), new_id(entry(0)), job), job));
    auto failing = make_job("seat", 1, 50);
    failing.tasks[0].path = "/work/a?ms=5&status=500";
    EXPECT_EQ(submit(entry(1), new_id(entry(1)), failing).state, "failed");

    options.from = {options.save};
    EXPECT_EQ(report::run(options, out, err), report::exit_status::burning) << err.str();
    const auto result = nlohmann::json::parse(out.str());
    EXPECT_EQ(result["answers"]["complete"], 1);
    EXPECT_EQ(result["answers"]["lost_by_reason"], nlohmann::json({{"task_failed", 1}}));
    std::remove(options.save.c_str());
}

TEST_F(operations, any_entry_returns_the_story_of_a_job) {
    const auto job = make_job("seat", 2, 50);
    const auto id = new_id(entry(0));
    EXPECT_TRUE(has_all_results(submit(entry(1), id, job), job));
    for (std::size_t i = 0; i < 2; i++) {
        const auto answer = get(entry(i), "/v1/jobs/" + id + "/story");
        ASSERT_EQ(answer.status, 200) << answer.body;
        const auto story = nlohmann::json::parse(answer.body);
        EXPECT_EQ(story["id"], id);
        std::map<std::string, int> events;
        for (const auto& it : story["events"])
            events[it["event"]]++;
        const std::map<std::string, int> expected = {{"came_in", 1},    {"opened", 1},
                                                     {"admitted", 1},   {"task_sent", 2},
                                                     {"task_ended", 2}, {"answered", 1}};
        EXPECT_EQ(events, expected) << answer.body;
        EXPECT_EQ(story["events"].back()["event"], "answered");
        EXPECT_EQ(answer.body.find("seat"), std::string::npos)
            << "the story must not contain task bodies";
    }
}

TEST_F(operations, the_story_of_a_refused_job_has_the_reason) {
    auto job = make_job("seat", 1, 50);
    job.team = "nobody";
    const auto id = new_id(entry(0));
    EXPECT_EQ(submit(entry(0), id, job).state, "refused");
    const auto answer = get(entry(1), "/v1/jobs/" + id + "/story");
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("unknown_team"), std::string::npos) << answer.body;
}

TEST_F(operations, unknown_stories_are_not_found) {
    EXPECT_EQ(get(entry(0), "/v1/jobs/" + new_id(entry(1)) + "/story").status, 404);
    EXPECT_EQ(get(entry(0), "/v1/jobs/nonsense/story").status, 400);
}

} // namespace
} // namespace savorytrail::integration
