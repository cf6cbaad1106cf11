// Options of the load that the callers generate.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"

namespace savorytrail::stand_ins {

// The integers from `min` to `max`, both inclusive.
struct number_range {
    std::uint64_t min = 1;
    std::uint64_t max = 1;

    bool operator==(const number_range&) const = default;
};

// Parses "N" or "N..M". Returns false when the text is neither or the range is empty.
bool parse_range(const std::string& text, number_range& range);

struct job_options {
    std::string team = "brana";
    std::string upstream = "booking";
    number_range tasks;
    number_range service_ms{100, 100};
    std::uint64_t deadline_ms = 30'000;
    double expected_error = 1;       // largest factor between declared and actual service times
    double non_idempotent_share = 0; // share of all tasks
    std::size_t body_bytes = 64;     // minimum size of a task's body

    bool operator==(const job_options&) const = default;
};

struct load_options {
    std::vector<common::endpoint> entries;
    double jobs_per_second = 10;
    std::chrono::seconds duration{10};
    std::chrono::seconds warm_up{0}; // precedes the duration; its jobs are not reported
    std::uint64_t seed = 1;
    job_options jobs;
    std::size_t copies = 1;   // times that each job is submitted, to different entries at once
    double cancel_share = 0;  // share of all jobs
    std::size_t attempts = 5; // per copy, under the same id, until the answer is final
    std::size_t ids_per_call = 16;
    std::size_t connections_per_entry = 8; // opened before the start; more are opened on demand

    bool operator==(const load_options&) const = default;
};

} // namespace savorytrail::stand_ins
