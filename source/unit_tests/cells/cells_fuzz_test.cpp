// Stateful fuzzing of several cells: random sequences of jobs whose callers send them again by the
// platform's rule, of faults of each direction between two entries and between entries and
// executors, of entries and executors that fail, and of tasks that crash executors. Checks that no
// task ever has two runs at once, in whichever cells, that none crashes executors without bound,
// and that each caller is answered once the faults have ended.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "unit_tests/cell/jobs.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr milliseconds settle_time{1000};
constexpr int commands = 40;
constexpr int max_pause_ms = 100; // between two commands
constexpr int max_frozen_ms = 2000;
constexpr int max_fault_ms = 3000;
constexpr int max_timer_lateness_ms = 150;
constexpr int max_time_to_crash_ms = 60;
constexpr int max_down_ms = 3000;           // of an executor after a crash
constexpr milliseconds answer_limit{10000}; // after the end of the faults
constexpr int min_live_entries = 3;

// Domains of equal size, or one without executors, or one that is too small for its jobs: then
// some jobs run in other domains than that of their entry.
fleet_plan random_plan(std::uint64_t seed) {
    const std::vector<std::vector<int>> sizes{{4, 4, 4}, {0, 4, 4}, {4, 0, 4}, {1, 4, 4}};
    return {seed, 2, sizes[seed % sizes.size()]};
}

class sequence {
public:
    explicit sequence(std::uint64_t seed) : m_fleet(random_plan(seed)), m_random(seed) {
        m_fleet.actual_run = [this](const work::job& job, const work::task_id& task) {
            const auto& step = job.steps.at(task.step);
            const auto work = step.estimate * (50 + pick(150)) / 100;
            cell::simulated_executor::simulated_task it{step.task_resources, work, pick(100) == 0};
            if (task.index == 0 && pick(100) < crash_percent(job)) {
                it.crashes_after = milliseconds(pick(max_time_to_crash_ms));
            }
            return it;
        };
        for (int i = 0; i < m_fleet.executors(); i++) {
            m_fleet.executor(i).down_time = milliseconds(pick(2) * pick(max_down_ms));
        }
    }

    void keep_trace() { m_fleet.is_tracing = true; }
    std::string trace_text() const { return m_fleet.trace_text(); }

    void run() {
        m_fleet.run_for(settle_time);
        for (int i = 0; i < commands && m_fleet.violations.empty(); i++) {
            run_random_command();
            m_fleet.run_for(milliseconds(pick(max_pause_ms)));
        }
        check_that_all_are_answered();
    }

    const std::vector<std::string>& double_runs() const { return m_fleet.violations; }
    const std::vector<std::string>& unanswered() const { return m_unanswered; }

private:
    int pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }
    // How often the job's first task crashes the executor that starts it.
    static int crash_percent(const work::job& job) {
        return job.id.ends_with("deadly") ? 100 : job.id.ends_with("unstable") ? 50 : 0;
    }

    int pick_entry() { return pick(m_fleet.entries()); }
    int pick_executor() { return pick(m_fleet.executors()); }

    void check_that_all_are_answered() {
        if (!m_fleet.violations.empty()) {
            return;
        }
        m_fleet.heal();
        const auto since = m_fleet.time().now();
        m_fleet.run_until(
            [this, since] {
                return !m_fleet.violations.empty() || m_fleet.callers().are_all_answered(since);
            },
            answer_limit);
        for (std::size_t i = 0; i < m_fleet.callers().size(); i++) {
            if (!m_fleet.callers().is_answered(i, since) && m_fleet.violations.empty()) {
                m_unanswered.push_back("the caller of " + m_fleet.callers().job_of(i) +
                                       " has no answer");
            }
        }
    }

    // Sets a fault, and ends it after a random time.
    template <typename Set, typename End>
    void for_a_while(Set set, End end) {
        set();
        m_fleet.time().after(milliseconds(100 + pick(max_fault_ms)), end);
    }

    void add_way_fault(int from, int to, const std::string& what, void (*set)(way_faults&, int)) {
        m_fleet.note(what + " from entry " + std::to_string(from) + " to " + std::to_string(to));
        const int level = 1 + pick(1000);
        for_a_while([&] { set(m_fleet.network().way(from, to), level); },
                    [this, from, to] { m_fleet.network().way(from, to) = {}; });
    }

    // One direction or both.
    void add_way_fault(const std::string& what, void (*set)(way_faults&, int)) {
        const int from = pick_entry();
        const int to = (from + 1 + pick(m_fleet.entries() - 1)) % m_fleet.entries();
        add_way_fault(from, to, what, set);
        if (pick(2) == 0) {
            add_way_fault(to, from, what, set);
        }
    }

    // All ways between the entries of one domain, or a single entry, and the others.
    void cut_off() {
        const int slot = pick_entry();
        const bool is_whole_domain = pick(2) == 0;
        const int directions = pick(3);
        const auto cut = [](way_faults& it, int) {
            it.cuts_datagrams = true;
            it.cuts_streams = true;
        };
        for (int inner = 0; inner < m_fleet.entries(); inner++) {
            const bool is_inside =
                inner == slot ||
                (is_whole_domain && m_fleet.domain_of(inner) == m_fleet.domain_of(slot));
            for (int outer = 0; is_inside && outer < m_fleet.entries(); outer++) {
                if (outer == slot ||
                    (is_whole_domain && m_fleet.domain_of(outer) == m_fleet.domain_of(slot))) {
                    continue;
                }
                if (directions != 1) {
                    add_way_fault(inner, outer, "cut", cut);
                }
                if (directions != 2) {
                    add_way_fault(outer, inner, "cut", cut);
                }
            }
        }
        for (const auto& call : m_fleet.callers().open_calls()) {
            if (call->at->slot() == slot && pick(2) == 0) {
                cut_caller(call);
            }
        }
    }

    void cut_caller(const std::shared_ptr<simulated_call>& call) {
        m_fleet.note("a caller of " + call->at->name() + " is cut off");
        const int directions = pick(3);
        call->cuts_requests = directions != 1;
        call->cuts_answers = directions != 2;
    }

    void add_order_fault(const std::string& what, void (*set)(order_faults&, int)) {
        const int slot = pick_entry();
        const int executor = pick_executor();
        const bool is_whole_domain = pick(2) == 0;
        const int level = 1 + pick(1000);
        m_fleet.note(what + " from entry " + std::to_string(slot) + " to executor " +
                     std::to_string(executor) + (is_whole_domain ? " and its domain" : ""));
        for (int i = 0; i < m_fleet.executors(); i++) {
            if (i == executor || (is_whole_domain && m_fleet.executor_domain(i) ==
                                                         m_fleet.executor_domain(executor))) {
                for_a_while([&] { set(m_fleet.orders_between(slot, i), level); },
                            [this, slot, i] { m_fleet.orders_between(slot, i) = {}; });
            }
        }
    }

    void end_entry() {
        const int slot = pick_entry();
        if (m_fleet.live_entries() <= min_live_entries) {
            return;
        }
        m_fleet.end_entry(slot, pick(2) == 0);
        if (pick(2) == 0) {
            m_fleet.time().after(milliseconds(300 + pick(2000)),
                                 [this, slot] { m_fleet.restart_entry(slot); });
        }
    }

    void freeze(simulated_entry& it) {
        if (!it.is_running()) {
            return;
        }
        const milliseconds time(50 + pick(max_frozen_ms));
        const bool is_pause = pick(2) == 0;
        m_fleet.note((is_pause ? "pause " : "suspend ") + it.name() + " for " +
                     std::to_string(time.count()));
        if (is_pause) {
            it.pause(time);
        } else {
            it.suspend(time);
        }
    }

    void reset_connections() {
        const int client = pick_entry();
        const int told = pick(4);
        m_fleet.note("connections of entry " + std::to_string(client) + " are reset, told " +
                     std::to_string(told));
        for (int server = 0; server < m_fleet.entries(); server++) {
            if (server != client) {
                m_fleet.network().reset(client, server, (told & 1) != 0, (told & 2) != 0);
            }
        }
    }

    void silence_connections() {
        const int from = pick_entry();
        const int to = (from + 1 + pick(m_fleet.entries() - 1)) % m_fleet.entries();
        m_fleet.note("connections are silent from entry " + std::to_string(from) + " to " +
                     std::to_string(to));
        m_fleet.network().silence(from, to);
        if (pick(2) == 0) {
            m_fleet.network().silence(to, from);
        }
    }

    // A dispatcher whose executors run the caller's job, else any; -1 when there is none.
    int dispatcher_of(const simulated_call& call) {
        const auto domains = m_fleet.domains_running(m_fleet.callers().job_of(call.caller));
        return m_fleet.dispatcher_of(domains.empty() ? pick(m_fleet.domains()) : *domains.begin());
    }

    // Faults on the way of one job: of the connection between its entry and its dispatcher, and of
    // either of the two.
    void harm_a_job() {
        const auto calls = m_fleet.callers().open_calls();
        if (calls.empty()) {
            return;
        }
        const auto& call = calls[m_random() % calls.size()];
        const int entry = call->at->slot();
        const int dispatcher = dispatcher_of(*call);
        if (dispatcher < 0 || dispatcher == entry) {
            return;
        }
        const auto cut_streams = [](way_faults& it, int) { it.cuts_streams = true; };
        switch (pick(8)) {
        case 0:
            if (m_fleet.live_entries() > min_live_entries) {
                m_fleet.end_entry(entry, false);
            }
            break;
        case 1:
            add_way_fault(entry, dispatcher, "streams are cut", cut_streams);
            m_fleet.network().reset(entry, dispatcher, true, false);
            break;
        case 2:
            add_way_fault(dispatcher, entry, "streams are cut", cut_streams);
            m_fleet.callers().reset(call);
            break;
        case 3:
            m_fleet.note("connections are silent between entry " + std::to_string(entry) + " and " +
                         std::to_string(dispatcher));
            m_fleet.network().silence(entry, dispatcher);
            m_fleet.network().silence(dispatcher, entry);
            m_fleet.callers().reset(call);
            break;
        case 4:
            add_way_fault(entry, dispatcher, "messages are held up",
                          [](way_faults& it, int level) { it.held_up = level; });
            break;
        case 5:
            add_way_fault(entry, dispatcher, "cut", [](way_faults& it, int) {
                it.cuts_datagrams = true;
                it.cuts_streams = true;
            });
            m_fleet.network().reset(entry, dispatcher, pick(2) == 0, false);
            break;
        case 6:
            m_fleet.callers().reset(call);
            for (int i = 0; i < m_fleet.executors(); i++) {
                for_a_while([&] { m_fleet.orders_between(dispatcher, i).lost_stops = 800; },
                            [=, this] { m_fleet.orders_between(dispatcher, i) = {}; });
            }
            m_fleet.note("stop orders of entry " + std::to_string(dispatcher) + " are lost");
            break;
        default:
            freeze(m_fleet.entry(pick(2) == 0 ? entry : dispatcher));
        }
    }

    void submit() {
        // Some jobs take longer than their callers wait before they send them again.
        const bool is_long = pick(2) == 0;
        const milliseconds estimate(is_long ? 1000 + pick(400) : 50 + pick(700));
        const int kind = pick(40);
        const std::string suffix = kind == 0 ? "-deadly" : kind == 1 ? "-unstable" : "";
        auto job =
            cell::make_job("job-" + std::to_string(m_next++) + suffix, 1 + pick(4), estimate);
        job.patience = milliseconds(1500 + pick(501));
        m_fleet.callers().submit(job);
    }

    void run_random_command() {
        switch (pick(40)) {
        case 0:
            end_entry();
            break;
        case 1:
            freeze(m_fleet.entry(pick_entry()));
            break;
        case 2:
            cut_off();
            break;
        case 3:
            add_way_fault("cut", [](way_faults& it, int) {
                it.cuts_datagrams = true;
                it.cuts_streams = true;
            });
            break;
        case 4:
            add_way_fault("datagrams are cut",
                          [](way_faults& it, int) { it.cuts_datagrams = true; });
            break;
        case 5:
            add_way_fault("streams are cut", [](way_faults& it, int) { it.cuts_streams = true; });
            break;
        case 6:
            add_way_fault("datagrams are lost",
                          [](way_faults& it, int level) { it.lost_datagrams = level; });
            break;
        case 7:
            add_way_fault("messages are held up",
                          [](way_faults& it, int level) { it.held_up = level; });
            break;
        case 8:
            silence_connections();
            break;
        case 9:
            reset_connections();
            break;
        case 10:
        case 11:
            if (const auto calls = m_fleet.callers().open_calls(); !calls.empty()) {
                const auto& call = calls[m_random() % calls.size()];
                if (pick(2) == 0 && !call->cuts_requests && !call->cuts_answers) {
                    m_fleet.callers().reset(call);
                } else {
                    cut_caller(call);
                }
            }
            break;
        case 12:
            add_order_fault("orders are cut", [](order_faults& it, int level) {
                it.cuts_requests = level % 3 != 0;
                it.cuts_answers = level % 3 != 1;
            });
            break;
        case 13:
            add_order_fault("orders are lost", [](order_faults& it, int level) {
                it.lost_requests = level / 5;
                it.lost_answers = level / 5;
            });
            break;
        case 14:
            add_order_fault("stop orders are lost",
                            [](order_faults& it, int level) { it.lost_stops = level; });
            break;
        case 15:
            add_order_fault("orders are late",
                            [](order_faults& it, int level) { it.late_requests = level / 3; });
            break;
        case 16:
            m_fleet.crash_executor(pick_executor());
            break;
        case 17:
            m_fleet.executor(pick_executor()).slowdown = 1 + pick(4);
            break;
        case 18:
            m_fleet.executor(pick_executor()).is_stalled = pick(2) == 0;
            break;
        case 19:
            m_fleet.entry(pick_entry()).max_timer_lateness =
                milliseconds(pick(max_timer_lateness_ms));
            break;
        case 20:
        case 21:
        case 22:
        case 23:
        case 24:
        case 25:
            harm_a_job();
            break;
        default:
            submit();
        }
    }

    simulated_fleet m_fleet;
    std::mt19937_64 m_random;
    std::vector<std::string> m_unanswered; // callers
    int m_next = 0;
};

// SAVORY_FUZZ_SEED and SAVORY_FUZZ_SEQUENCES replay a single sequence or run more of them.
std::uint64_t setting(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

struct result {
    std::uint64_t sequences = 0;
    std::vector<std::string> double_runs; // of each sequence that had some
    std::vector<std::string> unanswered;
};

result run_sequences() {
    constexpr std::uint64_t default_sequences = 2500;
    const auto first = setting("SAVORY_FUZZ_SEED", 20261204);
    result all;
    all.sequences = setting("SAVORY_FUZZ_SEQUENCES", default_sequences);
    for (std::uint64_t i = 0; i < all.sequences; i++) {
        sequence it(first + i);
        if (all.sequences == 1) {
            it.keep_trace();
        }
        it.run();
        const auto prefix = "seed " + std::to_string(first + i) + ": ";
        if (!it.double_runs().empty()) {
            all.double_runs.push_back(prefix + it.double_runs().front() + it.trace_text());
        }
        if (!it.unanswered().empty()) {
            all.unanswered.push_back(prefix + it.unanswered().front() + it.trace_text());
        }
    }
    return all;
}

// Both tests look at the same sequences.
const result& sequences() {
    static const result s_result = run_sequences();
    return s_result;
}

std::string first_lines(const std::vector<std::string>& list) {
    constexpr std::size_t max_lines = 10;
    std::string text = std::to_string(list.size()) + " of " +
                       std::to_string(sequences().sequences) + " sequences\n";
    for (std::size_t i = 0; i < std::min(list.size(), max_lines); i++) {
        text += list[i] + "\n";
    }
    return text;
}

// Guards against incident 26: a job that its caller sent again ran in two cells at once.
TEST(cells_fuzz, no_task_runs_twice_at_once) {
    EXPECT_TRUE(sequences().double_runs.empty()) << first_lines(sequences().double_runs);
}

// Guards against callers that wait for nothing: once the faults have ended, each of them is told
// how its job ended or that it was given up.
TEST(cells_fuzz, each_caller_is_answered) {
    EXPECT_TRUE(sequences().unanswered.empty()) << first_lines(sequences().unanswered);
}

} // namespace
} // namespace savorytrail::cells
