// Reads logs and prints the story of a job that log_story reconstructs from them.
#include "core/control/explain_log.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
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

void print_missing(const std::vector<std::string>& missing, std::ostream& out) {
    for (const auto& it : missing) {
        out << "    missing: " << it << "\n";
    }
}

void print_attempt(std::size_t number, const attempt& it, std::ostream& out) {
    out << "attempt " << number << ", received by " << it.entry << ": "
        << (it.outcome.empty() ? "no outcome" : it.outcome);
    if (it.end_us) {
        out << " after " << std::fixed << std::setprecision(1) << to_ms(*it.end_us - it.begin_us)
            << " ms";
    }
    out << "\n    " << it.cause << "\n";
    print_missing(it.missing, out);
}

std::string describe(const log_story::finding& it, std::int64_t begin_us) {
    if (!it.at_us) {
        return "not logged";
    }
    return absl::StrFormat("at %.1f ms, %s", to_ms(*it.at_us - begin_us), it.how);
}

void print_dispatch(const log_story::dispatch& it, std::int64_t begin_us, std::ostream& out) {
    out << "dispatched by " << it.dispatcher << ", "
        << (it.attempt == 0 ? std::string("attempt unknown") : absl::StrCat("attempt ", it.attempt))
        << ", caller held by " << (it.entry.empty() ? "an entry that is not logged" : it.entry)
        << "\n";
    if (it.first_start_us) {
        out << absl::StrFormat("    first start:            at %.1f ms\n",
                               to_ms(*it.first_start_us - begin_us))
            << "    over, learnt by entry:  " << describe(it.entry_learnt, begin_us) << "\n"
            << "    over, at dispatcher:    " << describe(it.dispatcher_learnt, begin_us) << "\n"
            << "    last run ended:         " << describe(it.runs_over, begin_us) << "\n";
    }
    print_missing(it.missing, out);
}

void print_dispatchers(const job_story& story, std::ostream& out) {
    for (const auto& it : story.dispatches) {
        print_dispatch(it, story.events.front().at_us, out);
    }
    for (const auto& it : story.successions) {
        out << it.verdict << "\n";
        print_missing(it.missing, out);
    }
}

void print_story(const job_story& story, std::ostream& out) {
    for (std::size_t i = 0; i < story.attempts.size(); i++) {
        print_attempt(i + 1, story.attempts[i], out);
    }
    if (story.attempts.empty()) {
        out << "no entry logged that it received the job from its caller\n";
    }
    print_dispatchers(story, out);
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

json to_json(const std::optional<std::int64_t>& it) {
    return it ? json(*it) : json(nullptr);
}

json to_json(const log_story::finding& it) {
    return {{"at_us", to_json(it.at_us)}, {"how", it.how}};
}

json to_json(const log_story::dispatch& it) {
    return {{"dispatcher", it.dispatcher},
            {"entry", it.entry},
            {"attempt", it.attempt},
            {"begin_us", it.begin_us},
            {"first_start_us", to_json(it.first_start_us)},
            {"entry_learnt", to_json(it.entry_learnt)},
            {"dispatcher_learnt", to_json(it.dispatcher_learnt)},
            {"runs_over", to_json(it.runs_over)},
            {"missing", it.missing}};
}

json to_json(const log_story::succession& it) {
    return {{"first", it.first},
            {"second", it.second},
            {"gap_us", to_json(it.gap_us)},
            {"verdict", it.verdict},
            {"missing", it.missing}};
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
    json dispatches = json::array();
    for (const auto& it : story.dispatches) {
        dispatches.push_back(to_json(it));
    }
    json successions = json::array();
    for (const auto& it : story.successions) {
        successions.push_back(to_json(it));
    }
    json events = json::array();
    for (const auto& it : story.events) {
        events.push_back(to_json(it));
    }
    json incidents = json::array();
    for (const auto& it : story.incidents) {
        incidents.push_back(to_json(it));
    }
    return {{"job", story.job},           {"attempts", attempts}, {"dispatches", dispatches},
            {"successions", successions}, {"events", events},     {"incidents", incidents}};
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
