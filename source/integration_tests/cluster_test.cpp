// Tests the cluster stand-in of the integration tests: its processes, routes and faults.
#include "stand_ins/cluster/cluster.h"

#include <gtest/gtest.h>

#include <csignal>

#include "nlohmann/json.hpp"
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::stand_ins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds bound(10'000);

cluster_plan small_plan() {
    cluster_plan plan;
    plan.domains = {{"zilina", 2, 1}, {"banska", 1, 1}};
    plan.executors_behind_proxy = true;
    return plan;
}

class cluster_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_FALSE(m_cluster.start_without_entries()); }

    // HTTP status of a task sent to the executor's published address; 0 if it is unreachable.
    int run_task(std::size_t index) {
        const auto answer =
            call(m_cluster.executors().at(index).published, http::method::post, "/work/a", "body");
        return answer ? answer.value().status : 0;
    }

    // The VM list with the addresses that the platform returns to `reader`.
    std::string vm_list_read_by(const std::string& reader) {
        const auto answer =
            call(m_cluster.platform(), http::method::get, "/v1/vms?newer_than=0&reader=" + reader);
        return answer ? answer.value().body : "";
    }

    cluster m_cluster{small_plan()};
};

TEST_F(cluster_test, faults_affect_the_named_executor_until_cleared) {
    ASSERT_FALSE(m_cluster.set_fault_to_executor(0, {.mode = proxy_mode::cut}));
    EXPECT_EQ(run_task(0), 0);
    EXPECT_EQ(run_task(1), 200);
    ASSERT_FALSE(m_cluster.clear_route_faults());
    EXPECT_EQ(run_task(0), 200);
    ASSERT_FALSE(m_cluster.set_executor_behaviour(1, {.mode = executor_mode::fail}));
    EXPECT_EQ(run_task(1), 500);
    EXPECT_EQ(m_cluster.read_starts().value().total, 3U);
}

TEST_F(cluster_test, entries_see_their_peers_at_the_proxy) {
    const auto& [name, domain, region, callers, peers, platform] = m_cluster.entries().at(0);
    EXPECT_NE(vm_list_read_by("zilina-1").find(peers.to_string()), std::string::npos);
    EXPECT_EQ(vm_list_read_by("zilina-2").find(peers.to_string()), std::string::npos);
    EXPECT_TRUE(call(platform, http::method::get, "/v1/vms").has_value());
    ASSERT_FALSE(m_cluster.set_fault_to_platform("zilina", {.mode = proxy_mode::cut}));
    EXPECT_FALSE(call(platform, http::method::get, "/v1/vms").has_value());
    EXPECT_TRUE(call(m_cluster.entries().at(2).platform, http::method::get, "/v1/vms").has_value());
}

TEST_F(cluster_test, processes_stop_are_killed_and_start_again) {
    EXPECT_EQ(m_cluster.executor_process(0).stop(bound), EXIT_SUCCESS);
    EXPECT_EQ(run_task(0), 0);
    ASSERT_FALSE(m_cluster.start_executor(0));
    EXPECT_EQ(run_task(0), 200);
    m_cluster.executor_process(0).kill();
    EXPECT_EQ(m_cluster.executor_process(0).wait_for_exit(bound), 128 + SIGKILL);
}

TEST(whole_cluster_test, serves_a_job_through_every_entry) {
    cluster_plan plan;
    plan.domains = {{"zilina", 2, 2}, {"banska", 2, 2}, {"martin", 2, 2}};
    cluster it(plan);
    ASSERT_FALSE(it.start());
    const auto issued = call(it.entries().at(0).callers, http::method::post, "/v1/submission-ids",
                             R"({"count":6})");
    ASSERT_TRUE(issued.has_value());
    const auto ids = nlohmann::json::parse(issued.value().body).at("ids");
    for (std::size_t i = 0; i < it.entries().size(); i++) {
        const auto path = "/v1/jobs/" + ids.at(i).get<std::string>() + "?wait_ms=10000";
        const auto answer = call(it.entries()[i].callers, http::method::put, path,
                                 R"({"team":"brana","upstream":"booking","deadline_ms":5000,
                                     "tasks":[{"path":"/work/a?ms=1","body":"b"}]})");
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(nlohmann::json::parse(answer.value().body)["state"], "complete")
            << answer.value().body;
    }
    EXPECT_EQ(it.read_starts().value().total, 6U);
    for (std::size_t i = 0; i < it.entries().size(); i++)
        EXPECT_EQ(it.entry_process(i).stop(bound), EXIT_SUCCESS);
}

TEST(process_test, reports_a_program_that_fails) {
    const auto file = testing::TempDir() + "savory_process_test.err";
    process it({"stand_in_platform", {"--listen", "nowhere"}, file});
    ASSERT_FALSE(it.spawn());
    EXPECT_TRUE(it.wait_until_ready(bound));
    EXPECT_EQ(it.wait_for_exit(bound), EXIT_FAILURE);
    EXPECT_NE(it.read_error_output().find("nowhere"), std::string::npos);
    std::filesystem::remove(file);
}

} // namespace
} // namespace savorytrail::stand_ins
