#include "core/cell/room_reservation.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

// More levels than deployments use; a caller that sends others evicts the least recent one.
constexpr std::size_t max_levels = 8;
// Arrivals are averaged over this time: several jobs of each level, and shorter than a burst.
constexpr milliseconds window{2000};
// For how long a shortage shows that capacity is contended. With 1 s, less work was done in bursts.
constexpr milliseconds shortage_memory{300};
constexpr double max_reserved_fraction = 0.25;
// The slack at which a job is no longer held back: a held-back job is looked at again every 40 ms
// and then needs an executor, and the durations of tasks vary by about a sixth.
constexpr milliseconds min_margin{80};
constexpr double margin_of_critical_path = 0.2;

double milliseconds_between(time_point from, time_point to) {
    return std::max(std::chrono::duration<double, std::milli>(to - from).count(), 0.0);
}

double decay(time_point from, time_point to) {
    return std::exp(-milliseconds_between(from, to) / static_cast<double>(window.count()));
}

} // namespace

room_reservation::level* room_reservation::find(int priority) {
    const auto it = std::find_if(m_levels.begin(), m_levels.end(),
                                 [=](const level& l) { return l.priority == priority; });
    return it == m_levels.end() ? nullptr : &*it;
}

room_reservation::level& room_reservation::find_or_add(int priority, time_point now) {
    if (auto* known = find(priority)) {
        return *known;
    }
    if (m_levels.size() == max_levels) {
        m_levels.erase(std::min_element(m_levels.begin(), m_levels.end(),
                                        [](const auto& a, const auto& b) { return a.at < b.at; }));
    }
    level added;
    added.priority = priority;
    added.at = now;
    const auto place = std::find_if(m_levels.begin(), m_levels.end(),
                                    [=](const level& l) { return l.priority > priority; });
    return *m_levels.insert(place, added);
}

void room_reservation::add_job(const work::job& job, time_point now) {
    auto& it = find_or_add(job.queue.priority, now);
    const double kept = decay(it.at, now);
    it.at = std::max(it.at, now);
    it.work *= kept;
    for (const auto& step : job.steps) {
        // Absurd values count like the largest useful ones; the reserved part is bounded anyway.
        const double cores = std::clamp(static_cast<double>(step.task_resources.cpu_millis) *
                                            std::max(step.tasks, 0),
                                        0.0, 1e9);
        const auto took =
            static_cast<double>(std::clamp(step.estimate, milliseconds(0), window).count());
        it.work += cores * took;
    }
}

void room_reservation::note_shortage(int priority, time_point now) {
    find_or_add(priority, now).shortage_at = now;
}

void room_reservation::begin_pass(double free, double capacity) {
    m_free = free;
    m_capacity = capacity;
    for (auto& it : m_levels) {
        it.in_use = 0;
    }
}

void room_reservation::add_use(int priority, double cpu_millis) {
    if (auto* it = find(priority)) {
        it->in_use += cpu_millis;
    }
}

void room_reservation::note_started(int priority, double cpu_millis) {
    if (m_free) {
        *m_free -= cpu_millis;
        add_use(priority, cpu_millis);
    }
}

bool room_reservation::is_contended(const level& it, time_point now) {
    return it.shortage_at && now - *it.shortage_at < shortage_memory;
}

bool room_reservation::has_contention(time_point now) const {
    return m_levels.size() > 1 &&
           std::any_of(m_levels.begin(), m_levels.end() - 1,
                       [=](const level& it) { return is_contended(it, now); });
}

std::vector<int> room_reservation::contended_levels(time_point now) const {
    std::vector<int> levels;
    for (const auto& it : m_levels) {
        if (is_contended(it, now)) {
            levels.push_back(it.priority);
        }
    }
    return levels;
}

double room_reservation::uncovered_need(const level& it, time_point now) const {
    const double kept = decay(it.at, now) / static_cast<double>(window.count());
    // The mean: one deviation more served urgent jobs a little better, but less work in all.
    return std::max(it.work * kept - it.in_use, 0.0);
}

std::optional<int> room_reservation::must_wait_for(const job_record& job, double cpu_millis,
                                                   time_point now) const {
    const double length = static_cast<double>(job.job().critical_path_length().count());
    const double slack =
        std::chrono::duration<double, std::milli>(job.on_time_until() - now).count() - length;
    const double margin =
        std::max(static_cast<double>(min_margin.count()), length * margin_of_critical_path);
    if (!m_free || job.may_have_run() || slack <= margin) {
        return std::nullopt;
    }
    const double reservable = m_capacity * max_reserved_fraction;
    double reserved = 0;
    for (const auto& it : m_levels) {
        if (it.priority >= job.job().queue.priority) {
            break;
        }
        if (!is_contended(it, now)) {
            continue;
        }
        reserved = std::min(reserved + uncovered_need(it, now), reservable);
        if (*m_free - cpu_millis < reserved) {
            return it.priority;
        }
    }
    return std::nullopt;
}

} // namespace savorytrail::cell
