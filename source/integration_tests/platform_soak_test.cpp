// Randomized soak test of real entries in two or three failure domains against the platform
// emulator. Injected faults, one after another and overlapping: kills, planned stops and pauses of
// entries, store outages, executors that crash, become unreachable or slow down, configuration
// changes, and proxy faults (resets, delays, traffic dropped in one or both directions) between
// entries and to executors and the store. With three domains also entries that lose power, faults
// of connections or datagrams alone, several links cut at once, and stop orders that are lost or
// late. In one kind of run some tasks crash the executors that start them. Meanwhile callers send
// jobs and resend them as the platform specifies. Checks that no task runs twice at once, that a
// job refused as not run has not run, that every caller is answered in time, that no entry says
// that a route which was added some time ago does not exist, and that a task that crashes executors
// is given up after a few. SAVORY_SOAK_SEED replays a run, SAVORY_SOAK_SECONDS sets its length.
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "integration_tests/platform_fleet.h"
#include "integration_tests/soak_parts.h"

namespace savorytrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// The time from the end of an attempt until the caller sends the job again.
constexpr milliseconds resend_interval{1300};
constexpr int max_sends = 3;
// The caller's patience plus the tolerance for its last answer.
constexpr milliseconds max_response_time{2000 + 500};

// From the acknowledgement of an added route on, until no entry may refuse it as unknown.
constexpr milliseconds configuration_bound{2000};
constexpr milliseconds time_between_questions{40};

struct soak_plan {
    platform_fleet::plan fleet;
    int callers = 6;
    int shortest_task_ms = 20;
    int task_ms_range = 500;
    // Callers close their connections after a patience in this range; if empty, they tell the usual
    // patience, and wait longer to see late answers.
    milliseconds shortest_patience{2000};
    milliseconds patience_range{0};
    int percent_broken = 0;   // of the attempts, whose connection breaks early
    int percent_long = 0;     // of the jobs, whose tasks take more than half of the longest time
    int percent_crashing = 0; // of the jobs, whose tasks crash the executors that start them
    int busy_threads = 0;     // compete with the entries for the processors
};

class soak : public testing::TestWithParam<std::uint64_t> {
protected:
    soak()
        : soak({.fleet = {
                    .entries = 4, .executors = 8, .domains = {"a", "b"}, .with_links = true}}) {}
    explicit soak(soak_plan its_plan)
        : m_plan(std::move(its_plan)), m_seed(soak_setting("SAVORY_SOAK_SEED", GetParam())),
          m_random(m_seed) {}

    int pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }

    int entries() const { return m_plan.fleet.entries; }
    int executors() const { return m_plan.fleet.executors; }

    platform_fleet::caller_patience pick_patience(std::mt19937_64& random) const {
        if (m_plan.patience_range.count() == 0) {
            return {};
        }
        const auto below = [&random](std::int64_t n) {
            return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(n));
        };
        const auto patience =
            m_plan.shortest_patience + milliseconds(below(m_plan.patience_range.count()));
        const bool breaks = below(100) < m_plan.percent_broken;
        return {patience, breaks ? milliseconds(50 + below(600)) : patience};
    }

    int pick_task_ms(std::mt19937_64& random) const {
        const auto range = static_cast<unsigned>(m_plan.task_ms_range);
        const bool is_long =
            m_plan.percent_long > 0 && static_cast<int>(random() % 100) < m_plan.percent_long;
        const auto extra = is_long ? range / 2 + random() % (range / 2) : random() % range;
        return m_plan.shortest_task_ms + static_cast<int>(extra);
    }

    // The balancer sends callers to entries that run.
    int pick_entry(std::mt19937_64& random) const {
        constexpr int tries = 4;
        int entry = 0;
        for (int i = 0; i < tries; i++) {
            entry = static_cast<int>(random() % static_cast<std::uint64_t>(entries()));
            if (!m_is_down.at(entry)) {
                break;
            }
        }
        return entry;
    }

    // Runs one caller: sends jobs one after another and resends each while its outcome is unknown.
    void call(std::uint64_t seed) {
        std::mt19937_64 random(seed);
        while (!m_is_stopping) {
            const auto id = platform_fleet::new_id();
            const int ms = pick_task_ms(random);
            const bool is_crashing = m_plan.percent_crashing > 0 &&
                                     static_cast<int>(random() % 100) < m_plan.percent_crashing;
            const int tasks = is_crashing ? 1 : 1 + static_cast<int>(random() % 4);
            const auto payload = "27000 " + std::to_string(ms) + (is_crashing ? " crash" : "");
            bool is_refused = false;
            for (int i = 0; i < max_sends && !m_is_stopping; i++) {
                const auto start = steady_clock::now();
                const auto patience = pick_patience(random);
                const int entry = pick_entry(random);
                const auto paused_before = m_paused_ms.at(entry).load();
                const int status = m_fleet.submit(entry, payload, tasks, ms, id, patience);
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

    // Adds routes from time to time, and asks entries whether they know them.
    void check_routes() {
        std::mt19937_64 random(m_seed);
        while (!m_is_stopping) {
            std::this_thread::sleep_for(time_between_questions);
            if (random() % 30 == 0) {
                m_routes.add();
            }
            const auto prefix = m_routes.newest_due(configuration_bound);
            if (prefix.empty()) {
                continue;
            }
            const int status = m_fleet.ask(pick_entry(random), prefix, seconds(1));
            m_routes_known += status == 200 ? 1 : 0;
            m_routes_unknown += status == 404 ? 1 : 0;
        }
    }

    void report_late_answer(const std::string& id, int status, steady_clock::duration elapsed) {
        m_late_answers++;
        const auto ms = std::chrono::duration_cast<milliseconds>(elapsed).count();
        std::cerr << "job " << id << " was answered " << status << " after " << ms << " ms\n";
    }

    stand_ins::proxy_fault pick_fault() {
        using stand_ins::proxy_mode;
        constexpr std::array modes = {proxy_mode::cut, proxy_mode::drop, proxy_mode::drop_old,
                                      proxy_mode::half_open, proxy_mode::delay};
        return {modes.at(pick(modes.size())), milliseconds(10 + pick(200)), 0};
    }

    void cut_domain() {
        for (int from = 0; from < entries(); from++) {
            for (int to = 0; to < entries(); to++) {
                if (m_fleet.domain(from) != m_fleet.domain(to)) {
                    m_fleet.links().set_link_fault(from, to, {stand_ins::proxy_mode::drop, {}, 0});
                }
            }
        }
    }

    void inject_link_fault() {
        auto& links = m_fleet.links();
        const int entry = pick(entries());
        switch (pick(6)) {
        case 0:
            links.set_link_fault(entry, (entry + 1 + pick(entries() - 1)) % entries(),
                                 pick_fault());
            break;
        case 1:
            links.set_store_fault(entry, pick_fault());
            break;
        case 2:
            links.set_executor_fault(pick(executors()), pick_fault());
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

    virtual void inject_fault() {
        const int entry = pick(entries());
        const int executor = pick(executors());
        auto& platform = m_fleet.platform();
        switch (pick(14)) {
        case 9:
        case 10:
        case 11:
        case 12:
            inject_link_fault();
            break;
        case 13:
            m_routes.add();
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

    // Injects faults for the time of the run, and clears those of the links at its end.
    virtual void inject_faults(steady_clock::time_point end) {
        while (steady_clock::now() < end) {
            inject_fault();
            std::this_thread::sleep_for(milliseconds(pick(600)));
        }
    }

    void run();

    void TearDown() override {
        if (HasFailure()) {
            m_fleet.save_logs("soak-" + std::to_string(m_seed));
        }
    }

    const soak_plan m_plan;
    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    platform_fleet m_fleet{m_plan.fleet};
    added_routes m_routes{m_fleet};
    std::vector<std::atomic<std::int64_t>> m_paused_ms = // total by entry
        std::vector<std::atomic<std::int64_t>>(m_plan.fleet.entries);
    // By entry: without power, or stopping.
    std::vector<std::atomic<bool>> m_is_down = std::vector<std::atomic<bool>>(m_plan.fleet.entries);
    std::atomic<bool> m_is_stopping = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_late_answers = 0;
    std::atomic<int> m_false_refusals = 0;
    std::atomic<int> m_routes_known = 0;
    std::atomic<int> m_routes_unknown = 0;
};

void soak::run() {
    for (int i = 0; i < entries(); i++) {
        ASSERT_TRUE(m_fleet.wait_until_serving(i));
    }
    std::vector<std::jthread> busy;
    busy.reserve(m_plan.busy_threads);
    for (int i = 0; i < m_plan.busy_threads; i++) {
        busy.emplace_back([](const std::stop_token& token) {
            while (!token.stop_requested()) {
            }
        });
    }
    std::vector<std::thread> threads;
    threads.reserve(m_plan.callers + 1);
    threads.emplace_back([this] { check_routes(); });
    for (int i = 0; i < m_plan.callers; i++) {
        threads.emplace_back([this, i] { call(m_seed * m_plan.callers + i); });
    }
    inject_faults(steady_clock::now() + seconds(soak_setting("SAVORY_SOAK_SECONDS", 10)));
    m_is_stopping = true;
    m_fleet.links().clear_faults();
    for (auto& it : threads) {
        it.join();
    }
    RecordProperty("served", m_served);
    EXPECT_EQ(m_fleet.platform().duplicate_runs(), 0U) << "seed " << m_seed << "\n"
                                                       << m_fleet.platform().overlaps_text();
    EXPECT_EQ(m_false_refusals, 0) << "seed " << m_seed;
    EXPECT_EQ(m_late_answers, 0) << "seed " << m_seed;
    EXPECT_GT(m_served, 0) << "seed " << m_seed;
    EXPECT_EQ(m_routes_unknown, 0) << "seed " << m_seed;
    EXPECT_GT(m_routes_known, 0) << "seed " << m_seed;
}

TEST_P(soak, keeps_the_promises) {
    run();
}

// Seeds that CI runs. Each seed that has ever failed is added with a line on its cause.
// 3: answers of an entry that was paused for 2.4 s counted as late; the pause is now allowed for.
INSTANTIATE_TEST_SUITE_P(seeds, soak, testing::Values(1, 2, 3));

// Domains that are drained and taken back, one or both, while faults are injected.
class soak_of_drains : public soak {
protected:
    void inject_fault() override {
        const std::string domain = pick(2) == 0 ? "a" : "b";
        auto& platform = m_fleet.platform();
        switch (pick(6)) {
        case 0:
            platform.drain(domain);
            break;
        case 1:
        case 2:
            platform.end_drain(domain);
            break;
        case 3:
            platform.set_cold(pick(executors()), milliseconds(pick(3000)));
            break;
        default:
            soak::inject_fault();
            break;
        }
    }
};

TEST_P(soak_of_drains, keeps_the_promises) {
    run();
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_of_drains, testing::Values(1, 2));

// Some tasks crash the executors that start them, while entries and executors fail by themselves.
class soak_of_crashing_tasks : public soak {
protected:
    soak_of_crashing_tasks()
        : soak({.fleet = {.entries = 4, .executors = 8, .domains = {"a", "b"}, .with_links = true},
                .percent_crashing = 10}) {}
};

TEST_P(soak_of_crashing_tasks, keeps_the_promises) {
    run();
    EXPECT_GT(m_fleet.platform().crashes_by_tasks(), 0U) << "seed " << m_seed;
    EXPECT_EQ(m_fleet.platform().starts_beyond_budget(), 0) << "seed " << m_seed;
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_of_crashing_tasks, testing::Values(1, 2));

// Two entries in each of three failure domains. Faults last for a while each, beside others.
class soak_of_three_domains : public soak {
protected:
    // The first domain has too few executors for its callers, so that their jobs mostly run in
    // another.
    soak_of_three_domains()
        : soak({.fleet = {.entries = 6,
                          .executors = 24,
                          .domains = {"a", "b", "c"},
                          .executor_domains = {"a", "b", "c", "b", "c", "b", "c", "b", "c", "b",
                                               "c", "b"},
                          .with_links = true},
                .callers = 12,
                .task_ms_range = 1380,
                .shortest_patience = milliseconds(1500),
                .patience_range = milliseconds(500),
                .percent_broken = 10,
                .percent_long = 50,
                .busy_threads = 2}) {}

    void inject_faults(steady_clock::time_point end) override {
        for (int i = 0; i < executors(); i++) {
            m_fleet.platform().set_executor_slowdown(i, pick_slowdown());
        }
        while (steady_clock::now() < end) {
            inject_fault();
            wait_until(steady_clock::now() + milliseconds(pick(700)));
        }
        while (!m_due.empty()) {
            run_next_due();
        }
    }

    void inject_fault() override {
        switch (pick(14)) {
        case 0:
        case 1:
        case 2:
            cut_power(pick(entries()));
            break;
        case 3:
            restart(pick(entries()));
            break;
        case 4:
        case 5:
            pause_for_a_while(pick(entries()));
            break;
        case 6:
        case 7:
            cut(pick_links(1));
            break;
        case 8:
            cut(pick_links(2 + pick(8)));
            break;
        case 9:
            cut(links_from(pick(entries())));
            break;
        case 10:
            disturb_executor(pick(executors()));
            break;
        case 11:
            m_fleet.platform().set_store_down(true);
            later(pick_time(), [this] { m_fleet.platform().set_store_down(false); });
            break;
        case 12:
            m_routes.add();
            break;
        default:
            misuse_stop_orders();
            break;
        }
    }

private:
    static constexpr int max_down = 3; // entries

    // Runs on a slow executor outlast the time after which callers resend.
    double pick_slowdown() { return pick(3) == 0 ? 2 : 1; }

    milliseconds pick_time() { return milliseconds(200 + pick(2500)); }

    void later(milliseconds delay, std::function<void()> action) {
        m_due.emplace(steady_clock::now() + delay, std::move(action));
    }

    void run_next_due() {
        const auto action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }

    void wait_until(steady_clock::time_point end) {
        while (!m_due.empty() && m_due.begin()->first <= end) {
            std::this_thread::sleep_until(m_due.begin()->first);
            run_next_due();
        }
        std::this_thread::sleep_until(end);
    }

    bool may_go_down(int entry) const {
        return !m_is_down.at(entry) &&
               std::count(m_is_down.begin(), m_is_down.end(), true) < max_down;
    }

    void cut_power(int entry) {
        if (!may_go_down(entry)) {
            return;
        }
        m_is_down.at(entry) = true;
        m_fleet.cut_power(entry);
        later(pick_time(), [this, entry] {
            m_fleet.restore_power(entry);
            m_is_down.at(entry) = false;
        });
    }

    void restart(int entry) {
        if (!may_go_down(entry)) {
            return;
        }
        m_is_down.at(entry) = true;
        const bool is_planned = pick(2) == 0;
        m_fleet.entry(entry).send_signal(is_planned ? SIGTERM : SIGKILL);
        constexpr milliseconds stop_time{6500};
        later(is_planned ? stop_time : pick_time(), [this, entry] {
            m_fleet.start(entry);
            m_is_down.at(entry) = false;
        });
    }

    void pause_for_a_while(int entry) {
        if (m_is_down.at(entry)) {
            return;
        }
        const milliseconds time(100 + pick(800));
        m_fleet.entry(entry).send_signal(SIGSTOP);
        later(time, [this, entry, time] {
            m_paused_ms.at(entry) += time.count();
            m_fleet.entry(entry).send_signal(SIGCONT);
        });
    }

    using links = std::vector<std::pair<int, int>>; // from one entry to another

    links pick_links(int n) {
        links list;
        for (int i = 0; i < n; i++) {
            const int from = pick(entries());
            list.emplace_back(from, (from + 1 + pick(entries() - 1)) % entries());
        }
        return list;
    }

    links links_from(int entry) const {
        links list;
        for (int i = 1; i < entries(); i++) {
            list.emplace_back(entry, (entry + i) % entries());
        }
        return list;
    }

    // Cuts all the links at the same time.
    void cut(const links& list) {
        using traffic = platform_links::traffic;
        using stand_ins::proxy_mode;
        constexpr std::array kinds = {traffic::all, traffic::connections, traffic::datagrams};
        constexpr std::array modes = {proxy_mode::drop, proxy_mode::drop_old,
                                      proxy_mode::cut_unnoticed};
        const auto affected = kinds.at(pick(kinds.size()));
        const auto mode =
            affected == traffic::datagrams ? proxy_mode::drop : modes.at(pick(modes.size()));
        const auto time = pick_time();
        for (const auto& [from, to] : list) {
            m_fleet.links().set_link_fault(from, to, {mode, {}, 0}, affected);
            later(time, [this, from = from, to = to, affected] {
                if (!m_is_down.at(from) && !m_is_down.at(to)) {
                    m_fleet.links().set_link_fault(from, to, {}, affected);
                }
            });
        }
    }

    void disturb_executor(int executor) {
        auto& platform = m_fleet.platform();
        switch (pick(3)) {
        case 0:
            platform.crash_executor(executor);
            break;
        case 1:
            platform.set_executor_reachable(executor, false);
            later(pick_time(),
                  [&platform, executor] { platform.set_executor_reachable(executor, true); });
            break;
        default:
            platform.set_executor_slowdown(executor, pick_slowdown());
            break;
        }
    }

    void misuse_stop_orders() {
        using stand_ins::stop_fault;
        auto& platform = m_fleet.platform();
        const auto fault = pick(2) == 0 ? stop_fault::lost : stop_fault::late;
        for (int i = pick(3); i < executors(); i += 3) {
            platform.set_stop_fault(i, fault);
            later(pick_time(), [&platform, i] { platform.set_stop_fault(i, stop_fault::none); });
        }
    }

    std::multimap<steady_clock::time_point, std::function<void()>> m_due;
};

TEST_P(soak_of_three_domains, keeps_the_promises) {
    run();
}

// Seeds that CI runs, one for each cause seen; each has failed in a run of 30 s, as a task ran
// twice at once. 19 (also 21, 30): stop orders of a job whose caller had left were lost, and the
// runs went on. 24 (also 31): the entry gave up on the dispatcher, which was not told and went on.
// 32: the entry lost power and was back before the dispatcher counted it as lost.
INSTANTIATE_TEST_SUITE_P(seeds, soak_of_three_domains, testing::Values(19, 24, 32));

} // namespace
} // namespace savorytrail
