// The open connections to the store go silent, without a reset, while new ones work. Just after, one
// executor of 24 reports that it drains. contactMs later the machines are in touch again: from
// then on, a start on a draining executor breaks the rule. A configuration that changes nothing for
// the callers comes just before the silence, as on an ordinary day. The system is started eight times,
// and the connections go silent at another moment each time, as the entries' calls to the store
// overlap it differently.
#include <cstdlib>
#include <iostream>

#include "../stand_in/platform.h"

using namespace review;

namespace {

constexpr int executors_per_zone = 8;
constexpr int callers = 18;
constexpr ms contact_time{3000}; // contactMs
constexpr ms drain_time{2000};   // drainMs
constexpr ms margin{100};        // on top of the bounds, for the stand-ins' own delays
constexpr int rounds = 8;
constexpr ms round_offset{90};
constexpr ms configured_before{60};

} // namespace

int main(int argc, char** argv) {
    const std::string folder = argc > 1 ? argv[1] : ".";
    record log(folder + "/record.txt");
    char scratch[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(scratch) == nullptr) {
        return 2;
    }
    platform users(free_network(), log);
    if (!users.begin()) {
        return 2;
    }
    std::map<std::string, task_facts> jobs;
    std::map<std::string, clock_type::time_point> not_after; // of draining executors: the latest start allowed
    std::atomic<int> wrong_starts = 0;
    std::atomic<int> starts = 0;
    users.facts_of = [&](const std::string& job, const std::string&) { return jobs[job]; };
    users.on_start = [&](executor& at, const std::string& task, std::int64_t number) {
        starts++;
        const auto limit = not_after.find(at.options.id);
        const bool is_wrong = limit != not_after.end() && clock_type::now() > limit->second;
        log.line("start " + at.options.id + " " + task + " run " + std::to_string(number) +
                 (at.is_draining ? " draining" : "") + (is_wrong ? " WRONG" : ""));
        wrong_starts += is_wrong ? 1 : 0;
    };
    const std::vector<std::string> zones{"a", "b", "c"};
    for (const auto& zone : zones) {
        for (int i = 0; i < executors_per_zone; i++) {
            users.add({"x" + zone + std::to_string(i), "", zone, {"kind-a", "r-" + zone}});
        }
    }
    std::vector<std::string> prefixes{"/q/"};
    std::int64_t version = 7;
    users.configure(version, prefixes);
    std::atomic<int> succeeded = 0;
    for (int round = 0; round < rounds; round++) {
        entries system(users, zones, scratch);
        if (!system.wait_until_ready(ms(15000))) {
            return 2;
        }
        log.line("the system has started");
        const auto submit = [&](std::size_t entry, const std::string& prefix) {
            const auto id = new_job_id();
            {
                const std::lock_guard lock(users.mutex);
                jobs[id] = {27000, 64, 100, ""};
            }
            const json body{{"spec", "work"},
                            {"bestEffort", true},
                            {"steps", {{{"count", 2}, {"cpu", 27000}, {"memMb", 64}, {"estimateMs", 100}}}}};
            const auto answer = call(system.ip(entry), entries::caller_port, "POST", prefix + id,
                                     {{"Host", "desk.example"}, {"X-Savorytrail-Deadline-Ms", "1500"}}, body.dump(),
                                     ms(1500));
            return answer ? answer->status : 0;
        };
        std::this_thread::sleep_for(ms(4000));
        std::atomic<bool> is_over = false;
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; i++) {
            threads.emplace_back([&, i] {
                while (!is_over) {
                    succeeded += submit(static_cast<std::size_t>(i) % system.size(), "/q/") == 200 ? 1 : 0;
                    std::this_thread::sleep_for(ms(40));
                }
            });
        }
        std::this_thread::sleep_for(ms(1000) + round * round_offset);
        prefixes.push_back("/n" + std::to_string(round) + "/");
        users.configure(++version, prefixes);
        log.line("configuration " + std::to_string(version) + " acknowledged");
        std::this_thread::sleep_for(configured_before);
        const auto begin = clock_type::now();
        if (has_trouble()) {
            log.line("the open connections to the store go silent");
            users.silence_store();
        }
        std::this_thread::sleep_for(ms(50));
        auto& draining = *users.executors[static_cast<std::size_t>(round % 3) * executors_per_zone];
        {
            const std::lock_guard lock(users.mutex);
            draining.is_draining = true;
            users.register_executor(draining);
            not_after[draining.options.id] = std::max(begin + contact_time, clock_type::now() + drain_time) + margin;
            log.line("drain of " + draining.options.id + " acknowledged");
        }
        std::this_thread::sleep_until(begin + ms(4500));
        is_over = true;
        for (auto& it : threads) {
            it.join();
        }
        for (std::size_t i = 0; i < system.size(); i++) {
            system.kill(i);
        }
        draining.crash(); // another one takes its place before the next round
        draining.start_process();
        const std::lock_guard lock(users.mutex);
        not_after.clear();
    }
    std::filesystem::remove_all(scratch);
    const std::string summary = std::to_string(succeeded) + " jobs succeeded, " + std::to_string(starts) +
                                " starts, " + std::to_string(wrong_starts) + " on draining executors too late";
    log.line(summary);
    std::cout << summary << std::endl;
    if (succeeded < 100) {
        ::_exit(2);
    }
    ::_exit(wrong_starts > 0 ? 1 : 0);
}
