// `savoryctl explain` finds the cause of a failed request from its id and the logs of real
// processes alone, for the first three procedures of docs/OPERATIONS.md.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class explained : public testing::Test {
public:
    ~explained() override = default;

protected:
    void SetUp() override {
        for (int i = 0; i < m_fleet.size(); i++) {
            ASSERT_TRUE(m_fleet.wait_until_serving(i)) << i;
        }
    }

    // Kills the running entries and passes the logs of all entries to `savoryctl explain`.
    std::string explain(const std::string& job) {
        const char* const programs = std::getenv("SAVORY_BIN");
        auto command =
            std::string(programs != nullptr ? programs : ".") + "/savoryctl explain " + job;
        for (int i = 0; i < m_fleet.size(); i++) {
            m_fleet.entry(i).kill();
            command += " --log " + m_fleet.log_file(i).string();
        }
        std::string text;
        FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
        std::array<char, 4096> buf{};
        while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), pipe)) {
            text.append(buf.data(), n);
        }
        EXPECT_EQ(pclose(pipe), 0) << text;
        return text;
    }

    // Asks the entry by `savoryctl explain-placement`; returns the exit status and the output.
    std::pair<int, std::string> explain_placement(int entry, const std::string& job,
                                                  const std::string& arguments) const {
        const auto path = testing::TempDir() + "platform_explain_job.json";
        std::ofstream(path) << job;
        const char* const programs = std::getenv("SAVORY_BIN");
        const auto command = std::string(programs != nullptr ? programs : ".") +
                             "/savoryctl explain-placement " + path + " --entry http://" +
                             m_fleet.host(entry) + ":9464 " + arguments + " 2>&1";
        std::string text;
        FILE* const pipe = popen(command.c_str(), "r");
        std::array<char, 4096> buf{};
        while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), pipe)) {
            text.append(buf.data(), n);
        }
        const int status = pclose(pipe);
        return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
    }

    platform_fleet m_fleet{{}};
};

constexpr const char* job_of_two_tasks =
    R"({"bestEffort":true,"steps":[{"count":2,"cpu":27000,"memMb":64,"estimateMs":200}]})";

// An answer that operators cannot tell from an error, or that starts the job.
TEST_F(explained, where_a_job_would_go) {
    const std::string route = "--host h.example --path /q/";
    for (int i = 0; i < m_fleet.size(); i++) {
        const auto [status, text] = explain_placement(i, job_of_two_tasks, route);
        EXPECT_EQ(status, 0) << text;
        EXPECT_NE(text.find("target cells"), std::string::npos) << text;
        EXPECT_NE(text.find("own cell: "), std::string::npos) << text;
    }
    const auto told = explain_placement(0, job_of_two_tasks, route + " --json").second;
    EXPECT_NE(told.find("\"own_cell\""), std::string::npos) << told;
    const struct {
        std::string job;
        std::string arguments;
        std::string error;
    } bad_input[] = {
        {job_of_two_tasks, "--queue nowhere", "no queue named nowhere"},
        {job_of_two_tasks, "--host nowhere.example --path /q/", "no queue at"},
        {"{}", route, "steps"},
        {R"({"bestEffort":true,"steps":[{"count":5000,"cpu":1,"memMb":1,"estimateMs":1}]})", route,
         "more than 1000 tasks"},
        {R"({"bestEffort":true,"steps":[{"count":2,"cpu":-5,"memMb":1,"estimateMs":1}]})", route,
         "error"},
    };
    for (const auto& it : bad_input) {
        const auto [status, text] = explain_placement(0, it.job, it.arguments);
        EXPECT_EQ(status, 2) << text;
        EXPECT_NE(text.find(it.error), std::string::npos) << text;
    }
    m_fleet.entry(0).kill();
    EXPECT_EQ(explain_placement(0, job_of_two_tasks, route).first, 2);
    std::ifstream log(m_fleet.log_file(0));
    const std::string lines{std::istreambuf_iterator<char>(log), {}};
    EXPECT_EQ(lines.find("0000000000000000"), std::string::npos) << "a job was started or logged";
}

TEST_F(explained, a_refusal_under_overload) {
    constexpr int callers = 30;
    std::array<std::string, callers> ids;
    std::array<int, callers> statuses{};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; i++) {
        ids.at(i) = platform_fleet::new_id();
        threads.emplace_back(
            [&, i] { statuses.at(i) = m_fleet.submit(i % 2, "27000 700", 4, 700, ids.at(i)); });
    }
    for (auto& it : threads) {
        it.join();
    }
    const auto refused = std::find(statuses.begin(), statuses.end(), 429);
    ASSERT_NE(refused, statuses.end());
    const auto text = explain(ids.at(refused - statuses.begin()));
    EXPECT_NE(text.find("refused: "), std::string::npos) << text;
    const bool has_reason = text.find("the wait would be too long") != std::string::npos ||
                            text.find("more work comes than can be done") != std::string::npos ||
                            text.find("overload, and its queue") != std::string::npos ||
                            text.find("no executor became free in time") != std::string::npos;
    EXPECT_TRUE(has_reason) << text;
}

TEST_F(explained, a_job_whose_dispatcher_died) {
    // The entry with the longest uptime dispatches: entry 0 after the restart of entry 1.
    m_fleet.entry(1).kill();
    m_fleet.start(1);
    ASSERT_TRUE(m_fleet.wait_until_serving(1));
    ASSERT_TRUE(m_fleet.wait_until_serving(0));
    const auto id = platform_fleet::new_id();
    int status = 0;
    std::thread caller([&] { status = m_fleet.submit(1, "27000 900", 4, 900, id); });
    std::this_thread::sleep_for(milliseconds(300));
    m_fleet.entry(0).kill();
    caller.join();
    ASSERT_EQ(status, 504);
    std::this_thread::sleep_for(seconds(1)); // lets entry 1 detect the failure
    const auto text = explain(id);
    EXPECT_NE(text.find("received by front-1: given_up"), std::string::npos) << text;
    EXPECT_NE(
        text.find("the connection to its dispatcher failed; front-0 was reported lost by 1 entry"),
        std::string::npos)
        << text;
    EXPECT_NE(text.find("tasks_started"), std::string::npos) << text;
    EXPECT_NE(text.find("job_received"), std::string::npos) << text;
    EXPECT_NE(text.find("dispatched by front-0, attempt 1, caller held by front-1"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("missing: the end of the attempt at front-0"), std::string::npos) << text;
}

TEST_F(explained, a_job_that_fails_wherever_it_runs) {
    const auto id = platform_fleet::new_id();
    EXPECT_EQ(m_fleet.submit(1, "27000 50 fail", 1, 50, id), 200);
    const auto text = explain(id);
    EXPECT_NE(text.find(": failed after"), std::string::npos) << text;
    EXPECT_NE(text.find("tasks failed on i-"), std::string::npos) << text;
}

} // namespace
} // namespace savorytrail
