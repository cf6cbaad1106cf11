// JSON encoding of jobs and answers, as callers send and receive them (docs/API.md).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "core/job/job.h"

namespace savorytrail::job {

struct job_limits {
    std::size_t max_tasks = 1000;
    std::size_t max_task_body_bytes = 65536;
    std::size_t max_path_bytes = 2048;
    common::milliseconds max_deadline{600000};

    bool operator==(const job_limits&) const = default;
};

// Why a request body was rejected; `field` is a path such as tasks[3].path.
struct invalid_field {
    std::string field;
    std::string message;

    bool operator==(const invalid_field&) const = default;
};

std::variant<job, invalid_field> parse_job(std::string_view text, const job_limits& limits);

// Parses {"count": n}. An empty text or object means 1.
std::variant<std::size_t, invalid_field> parse_count(std::string_view text, std::size_t max_count);

std::string to_json(const answer& value, std::string_view submission_id);

} // namespace savorytrail::job
