// Checks of the fleet's guarantees.
#include "unit_tests/fleet/oracle.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

using job::answer_state;
using job::task_state;

bool all_are(const std::vector<task_state>& tasks, task_state state) {
    return std::all_of(tasks.begin(), tasks.end(), [state](auto it) { return it == state; });
}

bool has_echoed_results(const job::answer& it, const job::job& job) {
    if (it.results.size() != job.tasks.size())
        return false;
    for (std::size_t i = 0; i < job.tasks.size(); i++) {
        if (it.results[i].body != echo(job.tasks[i]))
            return false;
    }
    return true;
}

// A query carries no job, so its answer may lack the task states. A refusal of an id without a
// recorded job has the task count of the refused job; check_shape() checks its states.
bool is_same_final(job::answer a, job::answer b) {
    const bool refused = a.state == answer_state::refused && b.state == answer_state::refused;
    if (refused || a.tasks.empty() || b.tasks.empty()) {
        a.tasks.clear();
        b.tasks.clear();
    }
    return a == b;
}

} // namespace

std::string echo(const job::task& task) {
    return "echo of " + task.body;
}

void oracle::submitted(const submission::submission_id& id, const job::job& job) {
    m_records[id].jobs.push_back(job);
}

void oracle::started(const submission::submission_id& id, const job::job& job, std::uint32_t task) {
    record& it = m_records[id];
    m_tally.starts++;
    if (++it.starts[task] > 1)
        report_violation("a task started twice");
    if (it.is_refused || it.not_run.contains(task))
        report_violation("a task started after it was reported as not run");
    if (std::find(it.jobs.begin(), it.jobs.end(), job) == it.jobs.end())
        report_violation("a task started that was not submitted");
}

void oracle::answered(const submission::submission_id& id, const job::job* submitted_job,
                      const peer::forward_result& result) {
    if (result.outcome == peer::forward_outcome::forged)
        return report_violation("a genuine id was treated as forged");
    if (result.outcome != peer::forward_outcome::answered)
        return;
    record& record_of_id = m_records[id];
    const job::answer& it = result.answer;
    check_shape(it, submitted_job);
    check_results(record_of_id, it, submitted_job);
    check_not_run(record_of_id, it);
    if (job::is_final(it.state))
        check_final(record_of_id, it);
    count(it);
}

void oracle::claimed(const std::string& key, const submission::submission_id& id) {
    const auto [place, is_first] = m_keys.emplace(key, id);
    if (is_first)
        return;
    m_tally.claimed_again++;
    if (place->second != id)
        report_violation("a client key maps to two submissions");
}

void oracle::check_shape(const job::answer& it, const job::job* submitted_job) {
    if (it.state != answer_state::complete && !it.results.empty())
        report_violation("an incomplete answer has results");
    if (it.state == answer_state::complete && !it.tasks.empty())
        report_violation("a complete answer has task states");
    if (!job::is_final(it.state) && !it.tasks.empty())
        report_violation("an answer that is not final has task states");
    if (it.state == answer_state::refused && !all_are(it.tasks, task_state::not_run))
        report_violation("a task of a refused submission may have run");
    if (it.state == answer_state::failed && submitted_job != nullptr &&
        it.tasks.size() != submitted_job->tasks.size())
        report_violation("a failed answer lacks task states");
}

void oracle::check_results(const record& record_of_id, const job::answer& it,
                           const job::job* submitted_job) {
    if (it.state != answer_state::complete)
        return;
    const bool fits =
        submitted_job != nullptr
            ? has_echoed_results(it, *submitted_job)
            : std::any_of(record_of_id.jobs.begin(), record_of_id.jobs.end(),
                          [&it](const job::job& job) { return has_echoed_results(it, job); });
    if (!fits)
        report_violation("results are incomplete or belong to another job");
    for (std::uint32_t i = 0; i < it.results.size(); i++) {
        if (!record_of_id.starts.contains(i))
            report_violation("a result for a task that never started");
    }
}

void oracle::check_not_run(record& record_of_id, const job::answer& it) {
    for (std::uint32_t i = 0; i < it.tasks.size(); i++) {
        if (it.tasks[i] == task_state::not_run)
            record_of_id.not_run.insert(i);
        if (it.tasks[i] == task_state::not_run && record_of_id.starts.contains(i))
            report_violation("a task was reported as not run although it had run");
        if (it.tasks[i] == task_state::ran && !record_of_id.starts.contains(i))
            report_violation("a task was reported as run although it had not");
    }
    if (it.state != answer_state::refused)
        return;
    record_of_id.is_refused = true;
    if (!record_of_id.starts.empty())
        report_violation("a submission was refused although a task had run");
}

void oracle::check_final(record& record_of_id, const job::answer& it) {
    if (it.why == job::reason::home_dead || it.why == job::reason::id_expired) {
        if (!all_are(it.tasks, task_state::unknown) || it.state != answer_state::failed)
            report_violation("an answer without the home's record claims a known outcome");
        if (it.why == job::reason::id_expired && m_clock.now() < record_of_id.issued + m_lifetime)
            report_violation("an id expired before its time");
        return;
    }
    if (record_of_id.final_answer && !is_same_final(*record_of_id.final_answer, it))
        report_violation("a final answer changed");
    if (!record_of_id.final_answer)
        record_of_id.final_answer = it;
}

void oracle::count(const job::answer& it) {
    m_tally.complete += it.state == answer_state::complete ? 1 : 0;
    m_tally.failed += it.state == answer_state::failed ? 1 : 0;
    m_tally.refused += it.state == answer_state::refused ? 1 : 0;
    m_tally.home_dead += it.why == job::reason::home_dead ? 1 : 0;
    m_tally.expired += it.why == job::reason::id_expired ? 1 : 0;
}

void oracle::report_violation(const std::string& rule) {
    if (m_violation.empty())
        m_violation = rule;
}

} // namespace savorytrail::fleet
