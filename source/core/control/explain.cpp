// Fetches a job's events from its home entry and prints them with the time since the first one.
#include "core/control/explain.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/control/report.h"

namespace savorytrail::control {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_server_error = 500;
constexpr int time_width = 8;   // characters
constexpr int event_width = 20; // characters

bool is_id_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

bool is_job_id(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_id_character);
}

void print_event(const json& event, std::int64_t start_ms, std::ostream& out) {
    const std::int64_t at_ms = event.at("at_ms").get<std::int64_t>() - start_ms;
    out << std::right << std::setw(time_width) << at_ms << " ms  " << std::left
        << std::setw(event_width) << event.at("event").get<std::string>() << "  "
        << event.value("detail", "") << "\n";
}

void print_story(const json& story, std::ostream& out) {
    const json& events = story.at("events");
    const std::int64_t start_ms =
        events.empty() ? 0 : events.front().at("at_ms").get<std::int64_t>();
    for (const json& it : events)
        print_event(it, start_ms, out);
}

exit_status report_status(const std::string& job, const http::response& answer, console& io) {
    if (answer.status >= status_server_error)
        return report_error(exit_status::unreachable,
                            absl::StrCat("entry answered with status ", answer.status), io);
    return report_error(
        exit_status::refused,
        absl::StrCat("no story for job ", job, ": entry answered with status ", answer.status), io);
}

} // namespace

exit_status explain(const std::string& job, const common::endpoint& entry, environment& env,
                    console& io) {
    if (!is_job_id(job))
        return report_error(exit_status::bad_input, "invalid job id: " + job, io);
    const auto answer = env.get(entry, absl::StrCat("/v1/jobs/", job, "/story"));
    if (!answer)
        return report_error(
            exit_status::unreachable,
            absl::StrCat("entry ", entry.to_string(), ": ", answer.error().message()), io);
    if (answer.value().status != status_ok)
        return report_status(job, answer.value(), io);
    try {
        const json story = json::parse(answer.value().body);
        if (io.json)
            print_json(story, io);
        else
            print_story(story, io.out);
    } catch (const json::exception&) {
        return report_error(exit_status::refused, "the entry's answer is malformed", io);
    }
    return exit_status::ok;
}

} // namespace savorytrail::control
