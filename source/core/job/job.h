// Value types of a job and of its answer, shared by every subsystem.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::job {

struct task {
    std::string path; // path and query at the executor; begins with '/'
    std::string body;
    bool idempotent = false;
    common::milliseconds expected{0}; // the caller's own estimate; zero when none was given

    bool operator==(const task&) const = default;
};

struct job {
    std::string team;
    std::string upstream;
    common::milliseconds deadline{0}; // from its arrival at the home; zero when there is none
    std::vector<task> tasks;

    bool operator==(const job&) const = default;
};

// What a caller is told. complete, failed and refused are final.
enum class answer_state : std::uint8_t { running, complete, failed, refused, unavailable };

// What is known of one task of a job that did not end complete.
enum class task_state : std::uint8_t { ran, not_run, unknown };

enum class reason : std::uint8_t {
    none,
    cancelled,            // the caller cancelled
    deadline_passed,      // tasks were unfinished at the deadline
    task_failed,          // an executor answered a task with a server error
    task_unknown,         // a task was sent and its outcome cannot be known
    unknown_team,         // the manifest has no such team
    unknown_upstream,     // the manifest has no such upstream
    no_executors,         // the upstream has no executor that this entry can use
    queue_full,           // too many tasks wait for the upstream
    quota_exceeded,       // the team's task starts per second are used up
    deadline_unreachable, // the queue and the tasks' times leave no chance to meet the deadline
    stopping,             // the entry is in its planned stop
    memory_full,          // the entry cannot remember one more submission
    id_expired,           // the submission id is past its lifetime
    home_dead,            // the entry that issued the id is gone
    home_unreachable,     // the entry that issued the id cannot be reached
    not_configured,       // the entry has no manifest yet
    store_unavailable,    // the platform's table cannot be reached
    wait_over,            // still running when the caller's wait ended
    never_submitted,      // the id is valid and nothing was submitted under it
    retries_exhausted,    // a task reached no executor and the retry budget is spent
};

std::string_view to_string(answer_state value);
std::string_view to_string(task_state value);
std::string_view to_string(reason value);

struct task_result {
    int status = 0; // HTTP status of the executor's answer
    std::string body;

    bool operator==(const task_result&) const = default;
};

struct answer {
    answer_state state = answer_state::running;
    reason why = reason::none;
    std::string detail;
    std::vector<task_result> results; // one for each task when complete, otherwise empty
    std::vector<task_state> tasks;    // one for each task when failed or refused, otherwise empty
    std::optional<common::milliseconds> retry_after;

    bool operator==(const answer&) const = default;
};

constexpr bool is_final(answer_state state) {
    return state == answer_state::complete || state == answer_state::failed ||
           state == answer_state::refused;
}

// Bytes that the job or answer holds, for bounding memory.
std::size_t size_in_bytes(const job& value);
std::size_t size_in_bytes(const answer& value);

} // namespace savorytrail::job
