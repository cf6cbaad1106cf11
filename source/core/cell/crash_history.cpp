#include "core/cell/crash_history.h"

#include <algorithm>
#include <chrono>

#include "core/common/rendezvous.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Of the runs on a crashed executor, those that had just started may be the cause: of them, the
// ones that started last, at most so long after each other. The others are not suspected before a
// second crash, or each executor that crashes by itself would hold up innocent tasks.
constexpr milliseconds just_started{100};
constexpr milliseconds started_together{5};
// Longer than a caller sends a job again.
constexpr milliseconds retention{60000};
// A suspect is cleared after this multiple of its age at the crash, and some time.
constexpr int probation_factor = 2;
constexpr milliseconds probation_margin{60};
// With so many crashes a task is suspected, and with so many it is proven, whatever ran beside it.
constexpr std::size_t crashes_to_suspect = 2;
constexpr std::size_t crashes_to_prove = 3;

std::uint64_t process_key(const std::string& executor, std::int64_t start_time_ms) {
    return common::rendezvous_weight(executor, std::to_string(start_time_ms));
}

// Spreads small numbers over all bits (the finalizer of SplitMix64).
std::uint64_t mixed(std::uint64_t seed, int value) {
    auto it = seed + 0x9e3779b97f4a7c15U * (static_cast<std::uint64_t>(value) + 1);
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

void add_executor(std::vector<std::uint64_t>& executors, std::uint64_t key) {
    const auto at = std::lower_bound(executors.begin(), executors.end(), key);
    const bool is_known = at != executors.end() && *at == key;
    if (!is_known && executors.size() < crash_history::max_executors) {
        executors.insert(at, key);
    }
}

// The greatest age at which a run is suspected of the crash; negative if none is.
milliseconds age_to_suspect(const executor_crash& it) {
    const auto youngest = std::min_element(
        it.runs.begin(), it.runs.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    return youngest == it.runs.end() || youngest->age > just_started
               ? milliseconds(-1)
               : youngest->age + started_together;
}

} // namespace

std::uint64_t crash_key_of_job(const std::string& job) {
    return common::rendezvous_weight("crash", job);
}

std::uint64_t crash_key_of_task(std::uint64_t job_key, const work::task_id& task) {
    return mixed(mixed(mixed(job_key, task.occurrence), task.step), task.index);
}

void crash_history::note_crash(const executor_crash& crash, common::time_point now) {
    const auto suspected_age = age_to_suspect(crash);
    const auto process = process_key(crash.executor, crash.start_time_ms);
    for (const auto& run : crash.runs) {
        auto& it = m_tasks.touch(crash_key_of(run.run.task));
        add_executor(it.executors, process);
        it.last_crash = now;
        it.longest_age = std::max(it.longest_age, run.age);
        const auto crashes = it.executors.size();
        it.is_suspect = it.is_suspect || crashes >= crashes_to_suspect || run.age <= suspected_age;
        it.is_proven = it.is_proven || crashes >= crashes_to_prove ||
                       (run.was_isolated && crashes >= crashes_to_suspect);
    }
}

void crash_history::note_refuted(const std::string& executor, std::int64_t start_time_ms) {
    const auto process = process_key(executor, start_time_ms);
    m_tasks.erase_if([process](std::uint64_t, suspicion& it) {
        if (std::erase(it.executors, process) > 0) {
            it.is_proven = false;
        }
        return it.executors.empty();
    });
}

void crash_history::note_survived(const work::task_id& task) {
    if (is_empty()) {
        return;
    }
    if (auto* it = m_tasks.find(crash_key_of(task))) {
        it->is_suspect = false;
    }
}

bool crash_history::is_suspect(std::uint64_t task) const {
    const auto* it = m_tasks.find(task);
    return it != nullptr && it->is_suspect;
}

bool crash_history::is_proven(std::uint64_t task) const {
    const auto* it = m_tasks.find(task);
    return it != nullptr && it->is_proven;
}

int crash_history::crashes(std::uint64_t task) const {
    const auto* it = m_tasks.find(task);
    return it == nullptr ? 0 : static_cast<int>(it->executors.size());
}

milliseconds crash_history::probation(std::uint64_t task) const {
    const auto* it = m_tasks.find(task);
    const auto age = it == nullptr ? milliseconds(0) : it->longest_age;
    return age * probation_factor + probation_margin;
}

std::vector<fleet::task_crashes> crash_history::to_share(common::time_point now) const {
    std::vector<fleet::task_crashes> list;
    for (const auto& [task, it] : m_tasks.entries()) {
        if (list.size() == max_shared) {
            break;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - it.last_crash);
        list.push_back({task, it.executors, age, it.is_suspect, it.is_proven});
    }
    return list;
}

crash_history::received crash_history::receive(const std::vector<fleet::task_crashes>& records,
                                               common::time_point now) {
    received result;
    for (const auto& record : records) {
        const bool is_sound = !record.executors.empty() &&
                              record.executors.size() <= max_executors &&
                              record.age >= milliseconds(0) && record.age < retention;
        if (!is_sound) {
            result.ignored++;
            continue;
        }
        const auto* known = m_tasks.find(record.task);
        const bool is_news = known == nullptr || (record.is_proven && !known->is_proven) ||
                             !std::includes(known->executors.begin(), known->executors.end(),
                                            record.executors.begin(), record.executors.end());
        if (!is_news) {
            continue;
        }
        result.has_news = true;
        auto& it = m_tasks.touch(record.task);
        for (const auto process : record.executors) {
            add_executor(it.executors, process);
        }
        it.last_crash = std::max(it.last_crash, now - record.age);
        it.is_suspect = it.is_suspect || record.is_suspect;
        it.is_proven = it.is_proven || record.is_proven || it.executors.size() >= crashes_to_prove;
    }
    return result;
}

void crash_history::forget_old(common::time_point now) {
    m_tasks.erase_if(
        [now](std::uint64_t, const suspicion& it) { return now - it.last_crash > retention; });
}

} // namespace savorytrail::cell
