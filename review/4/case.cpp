// Executors of one kind crash and start again under their id as another kind. Callers send jobs whose
// tasks require a label all the while. A start on an executor without the label breaks the rule.
#include <cstdlib>
#include <iostream>

#include "../stand_in/platform.h"

using namespace review;

namespace {

constexpr int executors_per_zone = 8;
constexpr int callers = 24;
constexpr ms down_time{1500};
constexpr int crashes = 6;

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
    std::atomic<int> wrong = 0;
    std::atomic<int> starts = 0;
    users.facts_of = [&](const std::string& job, const std::string&) { return jobs[job]; };
    users.on_start = [&](executor& at, const std::string& task, std::int64_t number) {
        starts++;
        const auto& label = jobs[task.substr(0, task.find('.'))].required_label;
        const auto& has = at.options.labels;
        const bool is_right = std::find(has.begin(), has.end(), label) != has.end();
        log.line("start " + at.options.id + " kind " + has[0] + " " + task + " run " + std::to_string(number) +
                 " requires " + label + (is_right ? "" : " WRONG"));
        wrong += is_right ? 0 : 1;
    };
    const std::vector<std::string> zones{"a", "b", "c"};
    for (const auto& zone : zones) {
        for (int i = 0; i < executors_per_zone; i++) {
            const auto rack = "r-" + zone;
            users.add({"x" + zone + std::to_string(i), "", zone, {i % 2 == 0 ? "kind-a" : "kind-b", rack}});
        }
    }
    users.configure(7);
    entries system(users, zones, scratch);
    if (!system.wait_until_ready(ms(15000))) {
        return 2;
    }
    std::this_thread::sleep_for(ms(4000));
    std::atomic<bool> is_over = false;
    std::atomic<int> succeeded = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; i++) {
        threads.emplace_back([&, i] {
            while (!is_over) {
                const auto id = new_job_id();
                const std::string label = i % 2 == 0 ? "kind-a" : "kind-b";
                {
                    const std::lock_guard lock(users.mutex);
                    jobs[id] = {27000, 64, 150, label};
                }
                const json body{{"spec", "work"},
                                {"bestEffort", true},
                                {"steps",
                                 {{{"count", 2},
                                   {"cpu", 27000},
                                   {"memMb", 64},
                                   {"estimateMs", 150},
                                   {"requiredLabel", label}}}}};
                log.line("send " + id + " requires " + label);
                const auto answer = call(system.ip(static_cast<std::size_t>(i) % system.size()), entries::caller_port,
                                         "POST", "/q/" + id,
                                         {{"Host", "desk.example"}, {"X-Savorytrail-Deadline-Ms", "1500"}},
                                         body.dump(), ms(1500));
                log.line("answer " + id + " " + (answer ? std::to_string(answer->status) : "none"));
                succeeded += answer && answer->status == 200 ? 1 : 0;
                std::this_thread::sleep_for(ms(60));
            }
        });
    }
    std::this_thread::sleep_for(ms(4000));
    for (int i = 0; i < crashes; i++) {
        auto& it = *users.executors[static_cast<std::size_t>(i) * 4 + static_cast<std::size_t>(i % 2)];
        if (has_trouble()) {
            log.line("crash " + it.options.id);
            it.crash();
            std::this_thread::sleep_for(down_time);
            it.options.labels[0] = it.options.labels[0] == "kind-a" ? "kind-b" : "kind-a";
            log.line("restart " + it.options.id + " as " + it.options.labels[0]);
            it.start_process();
        }
        std::this_thread::sleep_for(ms(4000));
    }
    is_over = true;
    for (auto& it : threads) {
        it.join();
    }
    for (std::size_t i = 0; i < system.size(); i++) {
        system.kill(i);
    }
    std::filesystem::remove_all(scratch);
    const std::string summary = std::to_string(succeeded) + " jobs succeeded, " + std::to_string(starts) + " starts, " +
                                std::to_string(wrong) + " without the required label";
    log.line(summary);
    std::cout << summary << std::endl;
    if (succeeded < 100) {
        ::_exit(2);
    }
    ::_exit(wrong > 0 ? 1 : 0);
}
