// Randomized soak test of real entries in two failure domains against the platform emulator.
// Injected faults, one after another and overlapping: kills, planned stops and pauses of entries,
// store outages, executors that crash, become unreachable or slow down, configuration changes, and
// proxy faults (resets, delays, traffic dropped in one or both directions) between entries and to
// executors and the store. Meanwhile callers send jobs and resend them as the platform specifies.
// Checks that no task runs twice at once, that a job refused as not run has not run, and that every
// caller is answered in time. SAVORY_SOAK_SEED replays a run, SAVORY_SOAK_SECONDS sets its length.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <thread>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int entries = 4;
constexpr int executors = 8;
constexpr int callers = 6;
constexpr milliseconds resend_interval{1300};
constexpr int max_sends = 3;
// The caller's patience plus the tolerance for its last answer.
constexpr milliseconds max_response_time{2000 + 500};

std::uint64_t setting(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

class soak : public testing::TestWithParam<std::uint64_t> {
protected:
    soak() : m_seed(setting("SAVORY_SOAK_SEED", GetParam())), m_random(m_seed) {}

    int pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }

    // Runs one caller: sends jobs one after another and resends each while its outcome is unknown.
    void call(std::uint64_t seed) {
        std::mt19937_64 random(seed);
        while (!m_is_stopping) {
            const auto id = platform_fleet::new_id();
            const int ms = 20 + static_cast<int>(random() % 500);
            const int tasks = 1 + static_cast<int>(random() % 4);
            bool is_refused = false;
            for (int i = 0; i < max_sends && !m_is_stopping; i++) {
                const auto start = steady_clock::now();
                const int entry = static_cast<int>(random() % entries);
                const auto paused_before = m_paused_ms.at(entry).load();
                const int status =
                    m_fleet.submit(entry, "27000 " + std::to_string(ms), tasks, ms, id);
                const auto elapsed = steady_clock::now() - start;
                // A paused entry cannot respond, so its pause extends the limit.
                const milliseconds paused(m_paused_ms.at(entry) - paused_before);
                if (status != 0 && elapsed > max_response_time + paused) {
                    report_late_answer(id, status, elapsed);
                }
                m_served += status == 200 ? 1 : 0;
                is_refused = (status == 429 || status == 503) && (i == 0 || is_refused);
                if (status == 200 || status == 429 || status == 503) {
                    break;
                }
                std::this_thread::sleep_for(resend_interval);
            }
            if (is_refused && m_fleet.platform().has_started(id)) {
                m_false_refusals++;
            }
            std::this_thread::sleep_for(milliseconds(random() % 60));
        }
    }

    void report_late_answer(const std::string& id, int status, steady_clock::duration elapsed) {
        m_late_answers++;
        const auto ms = std::chrono::duration_cast<milliseconds>(elapsed).count();
        std::cerr << "job " << id << " was answered " << status << " after " << ms << " ms\n";
    }

    // Keeps the entries' logs for `savoryctl explain`.
    void save_logs() {
        const auto folder =
            std::filesystem::temp_directory_path() / ("savory-soak-" + std::to_string(m_seed));
        std::filesystem::create_directories(folder);
        for (int i = 0; i < entries; i++) {
            std::filesystem::copy_file(m_fleet.log_file(i), folder / (std::to_string(i) + ".log"),
                                       std::filesystem::copy_options::overwrite_existing);
        }
        std::cerr << "logs are kept in " << folder << "\n";
    }

    stand_ins::proxy_fault pick_fault() {
        using stand_ins::proxy_mode;
        constexpr std::array modes = {proxy_mode::cut, proxy_mode::drop, proxy_mode::drop_old,
                                      proxy_mode::half_open, proxy_mode::delay};
        return {modes.at(pick(modes.size())), milliseconds(10 + pick(200)), 0};
    }

    void cut_domain() {
        for (int from = 0; from < entries; from++) {
            for (int to = 0; to < entries; to++) {
                if (m_fleet.domain(from) != m_fleet.domain(to)) {
                    m_fleet.links().set_link_fault(from, to, {stand_ins::proxy_mode::drop, {}, 0});
                }
            }
        }
    }

    void inject_link_fault() {
        auto& links = m_fleet.links();
        const int entry = pick(entries);
        switch (pick(6)) {
        case 0:
            links.set_link_fault(entry, (entry + 1 + pick(entries - 1)) % entries, pick_fault());
            break;
        case 1:
            links.set_store_fault(entry, pick_fault());
            break;
        case 2:
            links.set_executor_fault(pick(executors), pick_fault());
            break;
        case 3:
            cut_domain();
            break;
        default:
            links.clear_faults();
            break;
        }
    }

    void pause(int entry, milliseconds time) {
        m_fleet.entry(entry).send_signal(SIGSTOP);
        std::this_thread::sleep_for(time);
        m_paused_ms.at(entry) += time.count();
        m_fleet.entry(entry).send_signal(SIGCONT);
    }

    void inject_fault() {
        const int entry = pick(entries);
        const int executor = pick(executors);
        auto& platform = m_fleet.platform();
        switch (pick(14)) {
        case 9:
        case 10:
        case 11:
        case 12:
            inject_link_fault();
            break;
        case 13:
            platform.configure(++m_version);
            break;
        case 0:
            m_fleet.entry(entry).kill();
            m_fleet.start(entry);
            break;
        case 1:
            m_fleet.entry(entry).send_signal(SIGTERM);
            m_fleet.entry(entry).wait_for_exit(seconds(7));
            m_fleet.start(entry);
            break;
        case 2:
            pause(entry, milliseconds(100 + pick(2500)));
            break;
        case 3:
            platform.set_store_down(pick(2) == 0);
            break;
        case 4:
            platform.crash_executor(executor);
            break;
        case 5:
        case 6:
            platform.set_executor_reachable(executor, pick(2) == 0);
            break;
        default:
            platform.set_executor_slowdown(executor, 1 + pick(5));
            break;
        }
    }

    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    platform_fleet m_fleet{
        {.entries = entries, .executors = executors, .domains = {"a", "b"}, .with_links = true}};
    std::uint64_t m_version = 2;                                     // configuration version
    std::array<std::atomic<std::int64_t>, entries> m_paused_ms = {}; // total by entry
    std::atomic<bool> m_is_stopping = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_late_answers = 0;
    std::atomic<int> m_false_refusals = 0;
};

TEST_P(soak, keeps_the_promises) {
    for (int i = 0; i < entries; i++) {
        ASSERT_TRUE(m_fleet.wait_until_serving(i));
    }
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; i++) {
        threads.emplace_back([this, i] { call(m_seed * callers + i); });
    }
    const auto end = steady_clock::now() + seconds(setting("SAVORY_SOAK_SECONDS", 10));
    while (steady_clock::now() < end) {
        inject_fault();
        std::this_thread::sleep_for(milliseconds(pick(600)));
    }
    m_is_stopping = true;
    m_fleet.links().clear_faults();
    for (auto& it : threads) {
        it.join();
    }
    RecordProperty("served", m_served);
    EXPECT_EQ(m_fleet.platform().duplicate_runs(), 0U) << "seed " << m_seed;
    EXPECT_EQ(m_false_refusals, 0) << "seed " << m_seed;
    EXPECT_EQ(m_late_answers, 0) << "seed " << m_seed;
    EXPECT_GT(m_served, 0) << "seed " << m_seed;
    if (HasFailure()) {
        save_logs();
    }
}

// Seeds that CI runs. Each seed that has ever failed is added with a line on its cause.
// 3: answers of an entry that was paused for 2.4 s counted as late; the pause is now allowed for.
INSTANTIATE_TEST_SUITE_P(seeds, soak, testing::Values(1, 2, 3));

} // namespace
} // namespace savorytrail
