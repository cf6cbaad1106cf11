// Records story events, metrics and log lines in the observer calls of the home.
#include "core/entry/telemetry_observer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/telemetry/log.h"

namespace savorytrail::entry {
namespace {

const char* name_of(submission::task_end end) {
    switch (end) {
    case submission::task_end::answered:
        return "answered";
    case submission::task_end::failed:
        return "failed";
    case submission::task_end::unknown:
        return "unknown";
    case submission::task_end::not_started:
        return "not_started";
    }
    return "unknown";
}

std::string describe(const job::answer& answer) {
    std::string text(job::to_string(answer.state));
    if (answer.why != job::reason::none)
        text += ", " + std::string(job::to_string(answer.why));
    if (!answer.detail.empty())
        text += ": " + answer.detail;
    return text;
}

void log_unsuccessful(const submission::submission_id& id, const job::answer& answer) {
    const bool is_refused = answer.state == job::answer_state::refused;
    telemetry::log_line(telemetry::severity::info,
                        is_refused ? "submission_refused" : "submission_failed")
        .field("submission", submission::to_string(id))
        .field("reason", job::to_string(answer.why))
        .field("detail", answer.detail);
}

std::string describe_target(const home::outgoing_task& task) {
    return absl::StrCat("task ", task.start.task, " at ", task.start.executor->name, " (",
                        task.start.executor->address.to_string(), ")");
}

} // namespace

void telemetry_observer::received(const submission::submission_id& id, const std::string& at) {
    m_stories.add(id, "came_in", "at entry " + at);
}

void telemetry_observer::opened(const submission::submission_id& id, const job::job& body) {
    {
        shard& part = shard_of(id);
        const std::lock_guard lock(part.mutex);
        part.open[id] = {m_clock.now(), {}};
    }
    m_stories.add(id, "opened",
                  absl::StrCat(body.tasks.size(), " tasks of team ", body.team, " for upstream ",
                               body.upstream));
}

void telemetry_observer::resubmitted(const submission::submission_id& id) {
    m_stories.add(id, "resubmitted", "joined the first submission");
}

void telemetry_observer::not_recorded(const submission::submission_id& id,
                                      const job::answer& answer) {
    m_metrics.count_answer(job::to_string(answer.state), job::to_string(answer.why));
    m_stories.add(id, "not_recorded", describe(answer));
    telemetry::log_line(telemetry::severity::warning, "submission_not_recorded")
        .field("submission", submission::to_string(id))
        .field("reason", job::to_string(answer.why));
}

void telemetry_observer::admitted(const submission::submission_id& id) {
    m_stories.add(id, "admitted", "");
}

void telemetry_observer::task_sent(const home::outgoing_task& task) {
    m_metrics.count_message("task");
    m_stories.add(task.start.id, "task_sent", describe_target(task));
}

void telemetry_observer::task_ended(const home::outgoing_task& task,
                                    const home::task_outcome& outcome) {
    m_metrics.count_task_end(name_of(outcome.end));
    std::string detail =
        absl::StrCat(describe_target(task), " after ", outcome.duration.count(), " ms: ");
    if (outcome.end == submission::task_end::not_started)
        detail += "not started, back to the queue";
    else
        detail += name_of(outcome.end);
    if (outcome.result.status != 0)
        absl::StrAppend(&detail, ", status ", outcome.result.status);
    m_stories.add(task.start.id, "task_ended", std::move(detail));

    shard& part = shard_of(task.start.id);
    const std::lock_guard lock(part.mutex);
    const auto it = part.open.find(task.start.id);
    if (it != part.open.end() && outcome.end == submission::task_end::answered)
        it->second.longest_task = std::max(it->second.longest_task, outcome.duration);
}

void telemetry_observer::answered(const submission::submission_id& id, const job::answer& answer) {
    open_submission ended;
    {
        shard& part = shard_of(id);
        const std::lock_guard lock(part.mutex);
        const auto it = part.open.find(id);
        if (it == part.open.end())
            return;
        ended = it->second;
        part.open.erase(it);
    }
    m_metrics.count_answer(job::to_string(answer.state), job::to_string(answer.why));
    if (answer.state == job::answer_state::complete)
        m_metrics.observe_response(
            std::chrono::duration_cast<common::milliseconds>(m_clock.now() - ended.opened),
            ended.longest_task);
    else
        log_unsuccessful(id, answer);
    m_stories.add_final(id, "answered", describe(answer));
}

} // namespace savorytrail::entry
