// Reads logs and prints the story of a job that log_story reconstructs from them.
#include "core/control/explain_log.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/control/report.h"
#include "core/log_story/job_story.h"

namespace savorytrail::control {
namespace {

using log_story::attempt;
using log_story::job_story;
using log_story::log_event;
using nlohmann::json;

constexpr int time_width = 10; // characters
constexpr int node_width = 20;
constexpr int event_width = 18;
constexpr const char* standard_input = "-";

bool read_all(const std::vector<std::string>& paths, std::vector<log_event>& log, console& io) {
    for (const auto& path : paths) {
        std::ifstream file;
        if (path != standard_input) {
            file.open(path);
        }
        if (path != standard_input && !file) {
            report_error(exit_status::bad_input, absl::StrCat("cannot read ", path), io);
            return false;
        }
        auto events = log_story::read_log(path == standard_input ? std::cin : file);
        std::move(events.begin(), events.end(), std::back_inserter(log));
    }
    return true;
}

std::string describe(const log_event& it) {
    std::string text;
    for (const auto& [key, value] : it.fields) {
        if (key == "job" || value.empty()) {
            continue;
        }
        absl::StrAppend(&text, text.empty() ? "" : ", ",
                        key == "detail" ? value : absl::StrCat(key, " ", value));
    }
    return text;
}

double to_ms(std::int64_t us) {
    return static_cast<double>(us) / 1000;
}

void print_attempt(std::size_t number, const attempt& it, std::ostream& out) {
    out << "attempt " << number << ", received by " << it.entry << ": "
        << (it.outcome.empty() ? "no outcome" : it.outcome);
    if (it.end_us) {
        out << " after " << std::fixed << std::setprecision(1) << to_ms(*it.end_us - it.begin_us)
            << " ms";
    }
    out << "\n    " << it.cause << "\n";
    for (const auto& missing : it.missing) {
        out << "    missing: " << missing << "\n";
    }
}

void print_story(const job_story& story, std::ostream& out) {
    for (std::size_t i = 0; i < story.attempts.size(); i++) {
        print_attempt(i + 1, story.attempts[i], out);
    }
    if (story.attempts.empty()) {
        out << "no entry logged that it received the job from its caller\n";
    }
    auto lines = story.events;
    lines.insert(lines.end(), story.incidents.begin(), story.incidents.end());
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& a, const auto& b) { return a.at_us < b.at_us; });
    const auto begin = story.events.front().at_us;
    for (const auto& it : lines) {
        out << std::right << std::setw(time_width) << std::fixed << std::setprecision(1)
            << to_ms(it.at_us - begin) << " ms  " << std::left << std::setw(node_width) << it.node
            << "  " << std::setw(event_width) << it.name << "  " << describe(it) << "\n";
    }
}

json to_json(const log_event& it) {
    return {{"at_us", it.at_us}, {"node", it.node}, {"event", it.name}, {"fields", it.fields}};
}

json to_json(const job_story& story) {
    json attempts = json::array();
    for (const auto& it : story.attempts) {
        attempts.push_back({{"entry", it.entry},
                            {"begin_us", it.begin_us},
                            {"outcome", it.outcome},
                            {"cause", it.cause},
                            {"missing", it.missing}});
    }
    json events = json::array();
    for (const auto& it : story.events) {
        events.push_back(to_json(it));
    }
    json incidents = json::array();
    for (const auto& it : story.incidents) {
        incidents.push_back(to_json(it));
    }
    return {
        {"job", story.job}, {"attempts", attempts}, {"events", events}, {"incidents", incidents}};
}

} // namespace

exit_status explain_log(const std::string& job, const std::vector<std::string>& paths,
                        console& io) {
    std::vector<log_event> log;
    if (!read_all(paths, log, io)) {
        return exit_status::bad_input;
    }
    const auto story = log_story::reconstruct_story(job, log);
    if (story.events.empty()) {
        return report_error(exit_status::refused,
                            absl::StrCat("none of ", log.size(), " events mentions job ", job,
                                         ": the entry that received it stopped before it wrote its "
                                         "log, or that log was not given"),
                            io);
    }
    if (io.json) {
        print_json(to_json(story), io);
    } else {
        print_story(story, io.out);
    }
    return exit_status::ok;
}

} // namespace savorytrail::control
