// Tests with real processes that entries notice tasks which slow each other down on an executor,
// tell each other, and keep them apart where there is room.
#include <atomic>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sstream>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int task_ms = 60;

class platform_interference : public testing::Test {
public:
    ~platform_interference() override = default;

protected:
    // Two callers each of the images "loud" and "quiet", on half of the eight places.
    void load_for(const std::function<bool()>& is_over, seconds at_most) {
        std::atomic<bool> stops = false;
        std::vector<std::thread> callers;
        for (const auto* image : {"loud", "quiet", "loud", "quiet"}) {
            callers.emplace_back([&, image] {
                const auto payload = "27000 " + std::to_string(task_ms) + " " + image;
                while (!stops) {
                    const auto begin = std::chrono::steady_clock::now();
                    const bool is_done = m_fleet.submit_image(0, image, payload, 1, task_ms) == 200;
                    m_answers += is_done ? 1 : 0;
                    if (is_done && image == std::string("quiet")) {
                        m_quiet_answers++;
                        m_quiet_ms += std::chrono::duration_cast<milliseconds>(
                                          std::chrono::steady_clock::now() - begin)
                                          .count();
                    }
                }
            });
        }
        const auto end = std::chrono::steady_clock::now() + at_most;
        while (!is_over() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(100));
        }
        stops = true;
        for (auto& it : callers) {
            it.join();
        }
    }

    double metric(int entry, const std::string& name) const {
        httplib::Client client(m_fleet.host(entry), 9464);
        const auto answer = client.Get("/metrics");
        if (!answer) {
            return -1;
        }
        std::istringstream lines(answer->body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " ")) {
                return std::stod(line.substr(name.size()));
            }
        }
        return -1;
    }

    // The lines of all entries that contain the text.
    std::string logged(const std::string& text) const {
        std::string lines;
        for (int i = 0; i < m_fleet.size(); i++) {
            std::ifstream file(m_fleet.log_file(i));
            for (std::string line; std::getline(file, line);) {
                lines += line.find(text) != std::string::npos ? line + "\n" : "";
            }
        }
        return lines;
    }

    void wait_until_serving() {
        ASSERT_TRUE(m_fleet.wait_until_serving(0));
        ASSERT_TRUE(m_fleet.wait_until_serving(1));
    }

    platform_fleet m_fleet{{}};
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_quiet_answers = 0;
    std::atomic<std::int64_t> m_quiet_ms = 0;
};

// Load: a task takes three times as long beside one of another image, at half load.
TEST_F(platform_interference, is_found_shared_and_avoided) {
    wait_until_serving();
    m_fleet.platform().set_interference({{"quiet", "loud", 3}});
    load_for([&] { return !logged("kind=q/quiet neighbour=q/loud").empty(); }, seconds(40));
    const auto lines = logged("event=interference_suspected");
    ASSERT_NE(logged("kind=q/quiet neighbour=q/loud"), "") << lines;
    EXPECT_EQ(lines, logged("kind=q/quiet neighbour=q/loud")); // and no other pair
    const auto together_before = m_fleet.platform().interfering_runs();
    const int answers_before = m_answers;
    const double quiet_before = static_cast<double>(m_quiet_ms) / m_quiet_answers;
    m_quiet_ms = 0;
    m_quiet_answers = 0;
    load_for([] { return false; }, seconds(5));
    const auto together = m_fleet.platform().interfering_runs() - together_before;
    const int answers = m_answers - answers_before;
    const double quiet = static_cast<double>(m_quiet_ms) / m_quiet_answers;
    std::cerr << "pairs together per answer: " << together_before << "/" << answers_before
              << " before, " << together << "/" << answers << " after; response of quiet jobs "
              << quiet_before << " and " << quiet << " ms\n";
    EXPECT_LT(static_cast<double>(together) / answers,
              0.2 * static_cast<double>(together_before) / answers_before);
    EXPECT_LT(quiet, quiet_before);
    // One entry dispatches; the other learns of the pair by heartbeats.
    double suspected = 0;
    double told = 0;
    for (int i = 0; i < m_fleet.size(); i++) {
        suspected += metric(i, "savory_cell_interfering_pairs");
        told += metric(i, "savory_cell_interference_priors");
    }
    EXPECT_GE(suspected, 1);
    EXPECT_GE(told, 1);
    EXPECT_EQ(m_fleet.platform().duplicate_runs(), 0U);
}

// Guards against suspicions in a deployment without interference.
TEST_F(platform_interference, is_not_suspected_where_there_is_none) {
    wait_until_serving();
    load_for([] { return false; }, seconds(12));
    EXPECT_GT(m_answers, 300);
    EXPECT_EQ(logged("event=interference_suspected"), "");
    for (int i = 0; i < m_fleet.size(); i++) {
        EXPECT_EQ(metric(i, "savory_cell_interfering_pairs"), 0) << i;
        EXPECT_EQ(metric(i, "savory_cell_interference_priors"), 0) << i;
    }
}

} // namespace
} // namespace savorytrail
