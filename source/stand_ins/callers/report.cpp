// Aggregation and JSON output of the callers' report.
#include "stand_ins/callers/report.h"

#include <algorithm>
#include <cmath>

#include "nlohmann/json.hpp"

namespace savorytrail::stand_ins {
namespace {

using nlohmann::json;

constexpr double min_ideal_response_ms = 1; // avoids a division by zero

// Nearest-rank quantile: the smallest value that at least `share` of the values do not exceed.
double quantile(const std::vector<double>& sorted, double share) {
    if (sorted.empty())
        return 0;
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

json distribution(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return {{"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1)}};
}

json state_counts(const std::array<std::uint64_t, 7>& counts) {
    json it = json::object();
    for (std::size_t i = 0; i < counts.size(); i++)
        it[std::string(name_of(static_cast<answer_state>(i)))] = counts[i];
    return it;
}

} // namespace

void report::add_offered(std::size_t tasks) {
    const std::lock_guard lock(m_mutex);
    m_offered_jobs++;
    m_offered_tasks += tasks;
}

void report::add(const job_outcome& outcome) {
    const std::lock_guard lock(m_mutex);
    const auto state = outcome.answer.state;
    m_answered_jobs++;
    (outcome.cancelled ? m_cancelled_states : m_states)[static_cast<std::size_t>(state)]++;
    count_defects(outcome.answer);
    m_send_lag_ms.push_back(outcome.send_lag.count());
    if (state != answer_state::complete || outcome.cancelled)
        return;
    if (outcome.in_time) {
        m_served_jobs++;
        m_served_tasks += outcome.tasks;
    }
    const auto ideal_response =
        std::max(static_cast<double>(outcome.ideal_response.count()), min_ideal_response_ms);
    m_over_ideal.push_back(outcome.response.count() / ideal_response);
    m_response_ms.push_back(outcome.response.count());
}

void report::add_copy(const checked_answer& answer, bool agrees) {
    const std::lock_guard lock(m_mutex);
    count_defects(answer);
    m_inconsistent += agrees ? 0 : 1;
}

void report::count_defects(const checked_answer& answer) {
    m_wrong += answer.wrong ? 1 : 0;
    m_partial += answer.partial ? 1 : 0;
    m_crossed += answer.crossed ? 1 : 0;
    const bool is_reported = !answer.is_sound() || answer.state == answer_state::bad_request;
    if (is_reported && m_first_problem.empty())
        m_first_problem = answer.problem;
}

bool report::is_sound() const {
    const std::lock_guard lock(m_mutex);
    return m_wrong == 0 && m_partial == 0 && m_crossed == 0 && m_inconsistent == 0;
}

std::string report::to_json(std::chrono::seconds duration, const message_counts& messages) const {
    const std::lock_guard lock(m_mutex);
    const auto seconds = static_cast<double>(duration.count());
    const auto rate = [&](std::uint64_t n) { return static_cast<double>(n) / seconds; };
    const auto sent =
        messages.ids.load() + messages.submissions.load() + messages.cancellations.load();
    const json it = {{"offered_jobs_per_s", rate(m_offered_jobs)},
                     {"served_jobs_per_s", rate(m_served_jobs)},
                     {"offered_tasks_per_s", rate(m_offered_tasks)},
                     {"served_tasks_per_s", rate(m_served_tasks)},
                     {"response_over_ideal", distribution(m_over_ideal)},
                     {"response_ms", distribution(m_response_ms)},
                     {"send_lag_ms", distribution(m_send_lag_ms)},
                     {"states", state_counts(m_states)},
                     {"cancelled_states", state_counts(m_cancelled_states)},
                     {"unfinished", m_offered_jobs - m_answered_jobs},
                     {"wrong", m_wrong},
                     {"partial", m_partial},
                     {"crossed", m_crossed},
                     {"inconsistent", m_inconsistent},
                     {"first_problem", m_first_problem},
                     {"messages",
                      {{"ids", messages.ids.load()},
                       {"submissions", messages.submissions.load()},
                       {"cancellations", messages.cancellations.load()},
                       {"total", sent}}}};
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace savorytrail::stand_ins
