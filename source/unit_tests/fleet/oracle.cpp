// The rules, each checked against the plain record.
#include "unit_tests/fleet/oracle.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

using job::answer_state;
using job::task_state;

bool all_are(const std::vector<task_state>& tasks, task_state state) {
    return std::all_of(tasks.begin(), tasks.end(), [state](auto it) { return it == state; });
}

bool echoes(const job::answer& it, const job::job& job) {
    if (it.results.size() != job.tasks.size())
        return false;
    for (std::size_t i = 0; i < job.tasks.size(); i++) {
        if (it.results[i].body != echo(job.tasks[i]))
            return false;
    }
    return true;
}

// A query knows no tasks, so that its answer may lack their states. A refusal of an id under which
// nothing was recorded has as many tasks as the job that is refused; check_shape() looks at them.
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
        broken("a task started twice");
    if (it.is_refused || it.not_run.contains(task))
        broken("a task started that was said not to run");
    if (std::find(it.jobs.begin(), it.jobs.end(), job) == it.jobs.end())
        broken("a task started that was not submitted");
}

void oracle::said(const submission::submission_id& id, const job::job* asked,
                  const peer::forward_result& result) {
    if (result.outcome == peer::forward_outcome::forged)
        return broken("a genuine id was taken for a forged one");
    if (result.outcome != peer::forward_outcome::answered)
        return;
    record& about = m_records[id];
    const job::answer& it = result.answer;
    check_shape(it, asked);
    check_results(about, it, asked);
    check_not_run(about, it);
    if (job::is_final(it.state))
        check_final(about, it);
    count(it);
}

void oracle::claimed(const std::string& key, const submission::submission_id& id) {
    const auto [place, is_first] = m_keys.emplace(key, id);
    if (is_first)
        return;
    m_tally.claimed_again++;
    if (place->second != id)
        broken("a client key stands for two submissions");
}

void oracle::check_shape(const job::answer& it, const job::job* asked) {
    if (it.state != answer_state::complete && !it.results.empty())
        broken("a partial answer");
    if (it.state == answer_state::complete && !it.tasks.empty())
        broken("a complete answer with task states");
    if (!job::is_final(it.state) && !it.tasks.empty())
        broken("an answer that is not final names task states");
    if (it.state == answer_state::refused && !all_are(it.tasks, task_state::not_run))
        broken("a refusal of which a task may have run");
    if (it.state == answer_state::failed && asked != nullptr &&
        it.tasks.size() != asked->tasks.size())
        broken("a failed answer without each task's state");
}

void oracle::check_results(const record& about, const job::answer& it, const job::job* asked) {
    if (it.state != answer_state::complete)
        return;
    const bool fits = asked != nullptr
                          ? echoes(it, *asked)
                          : std::any_of(about.jobs.begin(), about.jobs.end(),
                                        [&it](const job::job& job) { return echoes(it, job); });
    if (!fits)
        broken("a partial or crossed answer");
    for (std::uint32_t i = 0; i < it.results.size(); i++) {
        if (!about.starts.contains(i))
            broken("a result of a task that never started");
    }
}

void oracle::check_not_run(record& about, const job::answer& it) {
    for (std::uint32_t i = 0; i < it.tasks.size(); i++) {
        if (it.tasks[i] == task_state::not_run)
            about.not_run.insert(i);
        if (it.tasks[i] == task_state::not_run && about.starts.contains(i))
            broken("a task was said not to have run, and it had");
        if (it.tasks[i] == task_state::ran && !about.starts.contains(i))
            broken("a task was said to have run, and it had not");
    }
    if (it.state != answer_state::refused)
        return;
    about.is_refused = true;
    if (!about.starts.empty())
        broken("a submission was refused, and a task had run");
}

void oracle::check_final(record& about, const job::answer& it) {
    if (it.why == job::reason::home_dead || it.why == job::reason::id_expired) {
        if (!all_are(it.tasks, task_state::unknown) || it.state != answer_state::failed)
            broken("more was said than is known");
        if (it.why == job::reason::id_expired && m_clock.now() < about.issued + m_lifetime)
            broken("an id expired before its time");
        return;
    }
    if (about.final_answer && !is_same_final(*about.final_answer, it))
        broken("a final answer changed");
    if (!about.final_answer)
        about.final_answer = it;
}

void oracle::count(const job::answer& it) {
    m_tally.complete += it.state == answer_state::complete ? 1 : 0;
    m_tally.failed += it.state == answer_state::failed ? 1 : 0;
    m_tally.refused += it.state == answer_state::refused ? 1 : 0;
    m_tally.home_dead += it.why == job::reason::home_dead ? 1 : 0;
    m_tally.expired += it.why == job::reason::id_expired ? 1 : 0;
}

void oracle::broken(const std::string& rule) {
    if (m_violation.empty())
        m_violation = rule;
}

} // namespace savorytrail::fleet
