#include "cases.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <vector>

#include "fleet.h"

namespace review {
namespace {

// Bounds of the small deployments.
constexpr milliseconds cancel_bound{3000}; // cancel_ms
// Of the sightings of runs, which are looked for every few milliseconds.
constexpr milliseconds slack{200};
constexpr milliseconds steady_state{5000}; // before the first job, so that nothing of the start is left

enum verdict { held = 0, broken = 1, could_not_run = 2 };

bool has_trouble() {
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

void pause(milliseconds time) {
    std::this_thread::sleep_for(time);
}

std::string job_id(unsigned number) {
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", number);
    return text;
}

std::string text_of(const answer& it) {
    return it.status == 0 ? "no response" : std::to_string(it.status) + " " + it.body;
}

bool is_acknowledged(const answer& it) {
    return it.status == 410 || (it.status >= 200 && it.status < 300);
}

std::future<answer> post(record& log, const fleet& at, int entry, const std::string& id, int steps, int task_ms) {
    constexpr milliseconds deadline{30000};
    log.line("client: POST " + id + " (" + std::to_string(steps) + " steps of " + std::to_string(task_ms) +
             " ms) to " + at.name(entry));
    return std::async(std::launch::async, [&log, &at, entry, id, steps, task_ms] {
        const auto it = at.post(entry, id, steps, task_ms, deadline);
        log.line("client: POST " + id + " at " + at.name(entry) + " answered " + text_of(it));
        return it;
    });
}

answer cancel(record& log, const fleet& at, int entry, const std::string& id) {
    const auto it = at.cancel(entry, id);
    log.line("client: DELETE " + id + " at " + at.name(entry) + " answered " + text_of(it));
    return it;
}

// Whether a task of the job was at work so much later than `limit` that it must have started after it.
bool has_started_after(fleet& at, const std::string& id, milliseconds limit, int task_ms) {
    for (const auto& it : at.sightings(id)) {
        if (it.at > limit + milliseconds(task_ms) + slack) {
            return true;
        }
    }
    return false;
}

verdict report(record& log, bool is_broken, const std::string& what) {
    log.line((is_broken ? "UNASKED is broken: " : "UNASKED holds: ") + what);
    return is_broken ? broken : held;
}

} // namespace

int late_resend_elsewhere(record& log) {
    constexpr int task_ms = 1000;
    constexpr int zone_entry = 7; // takes the jobs
    constexpr int other_entry = 6;
    fleet it(log, {"a", "a", "a", "b", "b", "b", "c", "c"}, 12);
    if (!it.wait_until_serving()) {
        return could_not_run;
    }
    pause(steady_state);
    std::vector<std::future<answer>> answers;
    for (int i = 0; i < it.size(); i++) {
        it.watch(job_id(i));
        answers.push_back(post(log, it, zone_entry, job_id(i), 1, task_ms));
    }
    pause(milliseconds(400));
    for (int i = 0; i < it.size(); i++) {
        if (!is_acknowledged(cancel(log, it, other_entry, job_id(i)))) {
            return could_not_run;
        }
    }
    const auto acknowledged = log.time();
    pause(cancel_bound + milliseconds(1500));
    const auto repeated_at = log.time();
    for (int i = 0; i < it.size(); i++) {
        // Without the trouble, the request comes back to the zone that it was sent to.
        if (has_trouble() || it.zone(i) == it.zone(zone_entry)) {
            answers.push_back(post(log, it, i, job_id(i), 1, task_ms));
        }
    }
    pause(milliseconds(2500));
    std::string where;
    for (int i = 0; i < it.size(); i++) {
        if (has_started_after(it, job_id(i), std::max(acknowledged + cancel_bound, repeated_at), 0)) {
            where += " " + it.name(i);
        }
    }
    return report(log, !where.empty(),
                  "entries that ran a cancelled job when its POST arrived there once more:" +
                      (where.empty() ? " none" : where));
}


int malformed_answers(record& log) {
    constexpr int ends_that_count = 3;
    constexpr int machines_that_count = 2;
    constexpr int odd_port = 8080;
    constexpr milliseconds restart_delay{500};
    constexpr milliseconds length{20000};
    fleet it(log, {"a", "a", "b", "b", "c", "c"}, 12);
    if (!it.wait_until_serving()) {
        return could_not_run;
    }
    pause(steady_state);
    // An executor that answers each call as its protocol says, with one field more, which is a list in lists.
    const int depth = has_trouble() ? 500'000 : 1;
    const auto answer_text = R"({"clockMs":1000,"born":7,"running":[],"ended":[],"note":)" + std::string(depth, '[') +
                             std::string(depth, ']') + "}";
    std::atomic<int> calls = 0;
    httplib::Server odd;
    odd.Post(R"(/-/.*)", [&](const httplib::Request& request, httplib::Response& response) {
        if (calls++ < 100) {
            log.line("odd executor: answers " + request.path + " with " + std::to_string(answer_text.size()) + " bytes");
        }
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        pause(milliseconds(body.is_object() ? body.value("waitMs", 0) : 0)); // no run ends meanwhile
        response.set_content(answer_text, "application/json");
    });
    if (!odd.bind_to_port(it.address(9), odd_port)) {
        return could_not_run;
    }
    std::thread server([&] { odd.listen_after_bind(); });
    it.platform().write_executor_row(
        "i-odd", R"({"service":"upstream","zone":"a","address":")" + it.address(9) + ":" + std::to_string(odd_port) +
                     R"(","state":"ready","born":7,"coldLeftMs":0,"capacity":{"cpu":64000,"memMb":131072,"gpu":0},)"
                     R"("labels":[]})");
    log.line("the odd executor is listed in zone a");
    std::vector<int> ends(it.size());
    const auto end = log.time() + length;
    while (log.time() < end) {
        for (int entry = 0; entry < it.size(); entry++) {
            if (const auto code = it.process(entry).wait_for_exit(milliseconds(0))) {
                log.line(it.name(entry) + " has ended by itself, exit code " + std::to_string(*code));
                ends[entry]++;
                pause(restart_delay);
                it.start(entry);
            }
        }
        pause(milliseconds(20));
    }
    odd.stop();
    server.join();
    int machines = 0;
    for (int entry = 0; entry < it.size(); entry++) {
        log.line(it.name(entry) + " ended by itself " + std::to_string(ends[entry]) + " times");
        machines += ends[entry] >= ends_that_count ? 1 : 0;
    }
    log.line(std::string("Fault is ") + (machines >= machines_that_count ? "broken: " : "kept: ") +
             std::to_string(machines) + " machines on which a process ended by itself three times");
    return machines >= machines_that_count ? broken : held;
}

} // namespace review
