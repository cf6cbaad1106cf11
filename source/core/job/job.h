// Value types of a job and its answer, shared by all subsystems.
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
    common::milliseconds expected{0}; // run time estimated by the caller; zero when not given

    bool operator==(const task&) const = default;
};

struct job {
    std::string team;
    std::string upstream;
    common::milliseconds deadline{0}; // from its arrival at the home; zero for no deadline
    std::vector<task> tasks;

    bool operator==(const job&) const = default;
};

// State reported to the caller. complete, failed and refused are final.
enum class answer_state : std::uint8_t { running, complete, failed, refused, unavailable };

// What is known about one task of a job that did not complete.
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
    quota_exceeded,       // the team's quota of task starts per second is used up
    deadline_unreachable, // the queue and the tasks' run times make the deadline unreachable
    stopping,             // the entry is in its planned stop
    memory_full,          // the entry has no memory left for another submission
    id_expired,           // the submission id is past its lifetime
    home_dead,            // the entry that issued the id is gone
    home_unreachable,     // the entry that issued the id cannot be reached
    not_configured,       // the entry has no manifest yet
    store_unavailable,    // the platform's table cannot be reached
    wait_over,            // still running when the caller's wait ended
    never_submitted,      // the id is valid and nothing was submitted under it
    retries_exhausted,    // no executor could be reached and the retry budget is spent
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

// Approximate memory use of the job or answer, for memory limits.
std::size_t size_in_bytes(const job& value);
std::size_t size_in_bytes(const answer& value);

} // namespace savorytrail::job
