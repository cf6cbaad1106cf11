// Finds the attempts of a job in its log events, and the cause of each outcome.
#include "core/log_story/job_story.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace savorytrail::log_story {
namespace {

// Incidents at entries and executors count as related to an attempt up to this long before or after
// it: a loss is detected with a delay.
constexpr std::int64_t incident_margin_us = 2'000'000;
// Assumed duration of an attempt that has no answer.
constexpr std::int64_t max_attempt_us = 10'000'000;

const std::set<std::string> entry_incidents = {"started",    "stopping",     "stopped",
                                               "entry_lost", "loop_stalled", "lines_suppressed"};
const std::set<std::string> executor_incidents = {
    "executor_taken",  "executor_silent",  "executor_reborn", "executor_rested",
    "executor_let_go", "executor_adopted", "stop_unanswered", "executor_crashed"};

void sort_by_time(std::vector<log_event>& events) {
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.at_us < b.at_us; });
}

bool is_within(const log_event& it, const attempt& this_attempt, std::int64_t margin_us) {
    const auto end = this_attempt.end_us.value_or(this_attempt.begin_us + max_attempt_us);
    return it.at_us >= this_attempt.begin_us - margin_us && it.at_us <= end + margin_us;
}

// A dispatcher logs job_abandoned also for jobs of other entries' callers.
bool ends_attempt(const log_event& it, const std::vector<log_event>& events) {
    if (it.is("job_answered") || it.is("caller_left")) {
        return true;
    }
    return it.is("job_abandoned") &&
           std::none_of(events.begin(), events.end(), [&](const log_event& other) {
               return other.node == it.node &&
                      (other.is("job_received") || other.is("caller_left"));
           });
}

std::vector<attempt> find_attempts(const std::vector<log_event>& events) {
    std::vector<attempt> attempts;
    for (const auto& it : events) {
        if (it.is("job_taken")) {
            attempts.push_back({it.node, it.at_us, std::nullopt, "", "", {}});
            continue;
        }
        if (!ends_attempt(it, events)) {
            continue;
        }
        const auto is_open = [&](const attempt& candidate) {
            return candidate.entry == it.node && !candidate.end_us;
        };
        // A caller that leaves is most likely the one that came first; it may have sent the job
        // again meanwhile.
        auto open = std::find_if(attempts.begin(), attempts.end(), is_open);
        if (it.is("job_answered")) {
            const auto last = std::find_if(attempts.rbegin(), attempts.rend(), is_open);
            open = last == attempts.rend() ? attempts.end() : std::prev(last.base());
        }
        if (open != attempts.end()) {
            open->end_us = it.at_us;
            open->outcome = it.is("job_answered") ? it.field("detail") : "abandoned";
        }
    }
    return attempts;
}

std::vector<log_event> events_during(const job_story& story, const attempt& this_attempt) {
    std::vector<log_event> list;
    std::copy_if(story.events.begin(), story.events.end(), std::back_inserter(list),
                 [&](const log_event& it) { return is_within(it, this_attempt, 0); });
    return list;
}

std::vector<std::string> details(const std::vector<log_event>& events, std::string_view name) {
    std::vector<std::string> list;
    for (const auto& it : events) {
        const auto detail = it.field("detail");
        if (it.is(name) && std::find(list.begin(), list.end(), detail) == list.end()) {
            list.push_back(detail);
        }
    }
    return list;
}

std::string detail_with_entry(const log_event& it) {
    return absl::StrCat(it.field("detail"), " (", it.node, ")");
}

std::string explain_refusal(const std::vector<log_event>& events) {
    std::vector<std::string> reasons;
    for (const auto& it : events) {
        if (it.is("job_refused")) {
            reasons.push_back(detail_with_entry(it));
        }
    }
    return reasons.empty() ? "refused; the logs do not show which entry refused it"
                           : "refused: " + absl::StrJoin(reasons, "; ");
}

// The entry that a job was forwarded to when the connection failed. The event's detail is
// "ENTRY: ERROR".
std::string unreachable_dispatcher(const log_event& it) {
    const auto detail = it.field("detail");
    return detail.substr(0, detail.find(':'));
}

std::string explain_lost_connection(const std::string& entry, const job_story& story,
                                    const attempt& this_attempt) {
    std::set<std::string> reported_lost_by;
    bool is_started = false;
    bool is_stopping = false;
    for (const auto& it : story.incidents) {
        if (!is_within(it, this_attempt, incident_margin_us)) {
            continue;
        }
        if (it.is("entry_lost") && it.field("entry") == entry) {
            reported_lost_by.insert(it.node);
        }
        is_started = is_started ||
                     (it.is("started") && it.node == entry && it.at_us > this_attempt.begin_us);
        is_stopping = is_stopping || (it.is("stopping") && it.node == entry);
    }
    if (is_stopping) {
        return absl::StrCat(entry, " was stopping");
    }
    if (is_started) {
        return absl::StrCat(entry, " restarted: its process had ended");
    }
    if (reported_lost_by.empty()) {
        return absl::StrCat("no entry reported ", entry, " lost: only the connection failed");
    }
    return absl::StrCat(entry, " was reported lost by ", reported_lost_by.size(),
                        reported_lost_by.size() == 1 ? " entry" : " entries",
                        ": it ended, stalled or was disconnected");
}

std::string explain_giving_up(const std::vector<log_event>& events, const job_story& story,
                              const attempt& this_attempt) {
    for (const auto& it : events) {
        if (it.is("pass_lost") && it.node == this_attempt.entry) {
            return absl::StrCat(
                "the connection to its dispatcher failed; ",
                explain_lost_connection(unreachable_dispatcher(it), story, this_attempt));
        }
    }
    for (const auto& it : events) {
        if (it.is("job_given_up")) {
            return "given up: " + detail_with_entry(it);
        }
    }
    return "given up; the logs do not show which entry gave it up";
}

std::string explain_failure(const std::vector<log_event>& events, const job_story& story) {
    const auto executors = details(events, "task_failed");
    if (executors.empty()) {
        return "a task failed; the logs do not show where it ran";
    }
    std::set<std::string> suspended;
    for (const auto& it : story.incidents) {
        if (it.is("executor_rested")) {
            suspended.insert(it.field("executor"));
        }
    }
    std::vector<std::string> unreliable;
    std::copy_if(executors.begin(), executors.end(), std::back_inserter(unreliable),
                 [&](const std::string& it) { return suspended.contains(it); });
    return absl::StrCat("tasks failed on ", absl::StrJoin(executors, ", "),
                        unreliable.empty()
                            ? "; no tasks of other jobs failed there: the job itself is at fault"
                            : absl::StrCat("; tasks of other jobs failed on ",
                                           absl::StrJoin(unreliable, ", "), " too"));
}

std::string describe_success(const attempt& this_attempt, const std::vector<log_event>& events) {
    const auto ms = (*this_attempt.end_us - this_attempt.begin_us) / 1000;
    auto text = absl::StrCat("succeeded within ", ms, " ms");
    const auto failed = details(events, "task_failed");
    if (!failed.empty()) {
        absl::StrAppend(&text, "; tasks failed on ", absl::StrJoin(failed, ", "),
                        " and were retried");
    }
    return text;
}

std::string explain_missing_answer(const job_story& story, const attempt& this_attempt) {
    for (const auto& it : story.incidents) {
        if (it.is("started") && it.node == this_attempt.entry && it.at_us > this_attempt.begin_us) {
            return absl::StrCat(this_attempt.entry, " ended while it held the job: it restarted ",
                                (it.at_us - this_attempt.begin_us) / 1000, " ms later");
        }
    }
    return absl::StrCat("no answer was logged: ",
                        explain_lost_connection(this_attempt.entry, story, this_attempt));
}

std::string find_cause(const job_story& story, const attempt& this_attempt) {
    const auto events = events_during(story, this_attempt);
    if (this_attempt.outcome == "succeeded") {
        return describe_success(this_attempt, events);
    }
    if (this_attempt.outcome == "not_run") {
        return explain_refusal(events);
    }
    if (this_attempt.outcome == "given_up") {
        return explain_giving_up(events, story, this_attempt);
    }
    if (this_attempt.outcome == "failed") {
        return explain_failure(events, story);
    }
    if (this_attempt.outcome == "abandoned") {
        return "its caller disconnected before the answer";
    }
    return explain_missing_answer(story, this_attempt);
}

std::vector<std::string> find_missing_information(const job_story& story,
                                                  const attempt& this_attempt) {
    const auto events = events_during(story, this_attempt);
    std::vector<std::string> missing;
    for (const auto& target : details(events, "job_passed")) {
        const bool has_lines = std::any_of(events.begin(), events.end(),
                                           [&](const log_event& it) { return it.node == target; });
        if (!has_lines) {
            missing.push_back(
                absl::StrCat("it was forwarded to ", target, ", which logged nothing about it"));
        }
    }
    for (const auto& it : story.incidents) {
        if (it.is("lines_suppressed") && is_within(it, this_attempt, incident_margin_us)) {
            missing.push_back(absl::StrCat(it.field("lines"), " lines of ", it.field("of"),
                                           " were suppressed at ", it.node));
        }
    }
    return missing;
}

// The executors that tasks were started on. A line of `tasks_started` names several, each with the
// number of the task's run unless it is the first, as in "i-1 i-2#2"; versions before it wrote a
// line `task_started` for each.
std::vector<std::string> started_on(const log_event& it) {
    std::vector<std::string> executors;
    const auto detail = it.field("detail");
    for (const absl::string_view word : absl::StrSplit(detail, ' ', absl::SkipEmpty())) {
        executors.emplace_back(word.substr(0, word.find('#')));
    }
    return executors;
}

std::vector<log_event> find_incidents(const job_story& story, const std::vector<log_event>& log) {
    std::set<std::string> entries;
    std::set<std::string> executors;
    for (const auto& it : story.events) {
        entries.insert(it.node);
        if (it.is("job_passed")) {
            entries.insert(it.field("detail"));
        } else if (it.is("tasks_started") || it.is("task_started")) {
            const auto started = started_on(it);
            executors.insert(started.begin(), started.end());
        }
    }
    std::vector<log_event> list;
    for (const auto& it : log) {
        const bool is_of_entry =
            entry_incidents.contains(it.name) &&
            entries.contains(it.is("entry_lost") ? it.field("entry") : it.node);
        const bool is_of_executor =
            executor_incidents.contains(it.name) && executors.contains(it.field("executor"));
        const bool is_in_time = std::any_of(
            story.attempts.begin(), story.attempts.end(), [&](const attempt& this_attempt) {
                return is_within(it, this_attempt, incident_margin_us);
            });
        if ((is_of_entry || is_of_executor) && is_in_time) {
            list.push_back(it);
        }
    }
    sort_by_time(list);
    return list;
}

} // namespace

job_story reconstruct_story(const std::string& job, const std::vector<log_event>& log) {
    job_story story;
    story.job = job;
    std::copy_if(log.begin(), log.end(), std::back_inserter(story.events),
                 [&](const log_event& it) { return it.field("job") == job; });
    sort_by_time(story.events);
    story.attempts = find_attempts(story.events);
    story.incidents = find_incidents(story, log);
    story.dispatches = find_dispatches(story.events, story.incidents, story.attempts);
    story.successions = find_successions(story.dispatches, story.incidents);
    for (auto& it : story.attempts) {
        it.cause = find_cause(story, it);
        it.missing = find_missing_information(story, it);
    }
    return story;
}

} // namespace savorytrail::log_story
