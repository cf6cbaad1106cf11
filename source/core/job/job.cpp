// Names and sizes of the job value types.
#include "core/job/job.h"

#include <array>

namespace savorytrail::job {
namespace {

constexpr std::array<std::string_view, 5> s_answer_states = {"running", "complete", "failed",
                                                             "refused", "unavailable"};
constexpr std::array<std::string_view, 3> s_task_states = {"ran", "not_run", "unknown"};
constexpr std::array<std::string_view, 21> s_reasons = {"none",
                                                        "cancelled",
                                                        "deadline_passed",
                                                        "task_failed",
                                                        "task_unknown",
                                                        "unknown_team",
                                                        "unknown_upstream",
                                                        "no_executors",
                                                        "queue_full",
                                                        "quota_exceeded",
                                                        "deadline_unreachable",
                                                        "stopping",
                                                        "memory_full",
                                                        "id_expired",
                                                        "home_dead",
                                                        "home_unreachable",
                                                        "not_configured",
                                                        "store_unavailable",
                                                        "wait_over",
                                                        "never_submitted",
                                                        "retries_exhausted"};

} // namespace

std::string_view to_string(answer_state value) {
    return s_answer_states.at(static_cast<std::size_t>(value));
}

std::string_view to_string(task_state value) {
    return s_task_states.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reason value) {
    return s_reasons.at(static_cast<std::size_t>(value));
}

std::size_t size_in_bytes(const job& value) {
    std::size_t n = sizeof(job) + value.team.capacity() + value.upstream.capacity();
    for (const auto& it : value.tasks)
        n += sizeof(task) + it.path.capacity() + it.body.capacity();
    return n;
}

std::size_t size_in_bytes(const answer& value) {
    std::size_t n = sizeof(answer) + value.detail.capacity() + value.tasks.capacity();
    for (const auto& it : value.results)
        n += sizeof(task_result) + it.body.capacity();
    return n;
}

} // namespace savorytrail::job
