// stand_in_callers: generates open-loop load on entries and validates every answer.
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>

#include "CLI/CLI.hpp"
#include "stand_ins/callers/load.h"

namespace {

using namespace savorytrail;
using stand_ins::load_options;
using stand_ins::number_range;

void add_range(CLI::App& app, const std::string& name, number_range& range,
               const std::string& help) {
    app.add_option_function<std::string>(
        name,
        [&range, name](const std::string& text) {
            if (!stand_ins::parse_range(text, range))
                throw CLI::ValidationError(name, "expected N or N..M, got " + text);
        },
        help);
}

void add_load_options(CLI::App& app, load_options& options) {
    app.add_option("--rate", options.jobs_per_second, "Jobs per second")
        ->check(CLI::PositiveNumber);
    app.add_option_function<int>(
           "--seconds", [&](int n) { options.duration = std::chrono::seconds(n); },
           "Length of the measured span (s)")
        ->check(CLI::PositiveNumber);
    app.add_option_function<int>(
        "--warm-up", [&](int n) { options.warm_up = std::chrono::seconds(n); },
        "Length of the load before the measured span (s)");
    app.add_option("--seed", options.seed, "Seed of arrivals and jobs");
    app.add_option("--resubmit", options.copies,
                   "Times that every job is submitted, to different entries at once")
        ->check(CLI::PositiveNumber);
    app.add_option("--cancel-share", options.cancel_share, "Share of jobs that are cancelled")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--attempts", options.attempts,
                   "Maximum attempts under one id until a final answer")
        ->check(CLI::PositiveNumber);
    app.add_option("--ids-per-call", options.ids_per_call, "Submission ids requested per call")
        ->check(CLI::PositiveNumber);
    app.add_option("--connections", options.connections_per_entry,
                   "Connections to each entry that are opened at the start");
}

void add_job_options(CLI::App& app, stand_ins::job_options& options) {
    add_range(app, "--tasks", options.tasks, "Tasks of a job: N or N..M");
    add_range(app, "--ms", options.service_ms, "Service time of a task (ms): N or N..M");
    app.add_option("--team", options.team, "Team of the jobs");
    app.add_option("--upstream", options.upstream, "Upstream of the jobs");
    app.add_option("--deadline-ms", options.deadline_ms, "Deadline of a job (ms)");
    app.add_option("--expected-error", options.expected_error,
                   "Largest factor between declared and actual service times")
        ->check(CLI::Range(1.0, 1e6));
    app.add_option("--non-idempotent-share", options.non_idempotent_share,
                   "Share of tasks that are not idempotent")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--body-bytes", options.body_bytes, "Minimum size of a task's body (bytes)");
}

bool read_entries(const std::vector<std::string>& urls, load_options& options) {
    for (const auto& url : urls) {
        const auto it = common::parse_http_url(url);
        if (!it) {
            LOG(ERROR) << "--entries: expected http://ADDRESS:PORT, got " << url;
            return false;
        }
        options.entries.push_back(*it);
    }
    return true;
}

} // namespace

int main(int argc, char** argv) {
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    load_options options;
    std::vector<std::string> urls;
    CLI::App app("Open-loop load on entries. Prints one line of JSON.\nExit codes: 0 all answers "
                 "sound, 1 an answer was wrong, partial, crossed or inconsistent, or bad options");
    app.add_option("--entries", urls, "URLs of the entries, separated by commas")
        ->required()
        ->delimiter(',');
    add_load_options(app, options);
    add_job_options(app, options.jobs);
    CLI11_PARSE(app, argc, argv);
    if (!read_entries(urls, options))
        return EXIT_FAILURE;

    stand_ins::load load(options);
    const bool is_sound = load.run();
    std::cout << load.report_json() << std::endl;
    std::_Exit(is_sound ? EXIT_SUCCESS : EXIT_FAILURE);
}
