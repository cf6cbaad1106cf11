// Jobs with waiting or running tasks, in the order in which their tasks are to be started.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/dispatch/policy.h"
#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

struct waiting_task {
    std::uint32_t task = 0;
    common::milliseconds typical{0};
    shared_executor avoided; // executor where the last attempt did not start it; null at first
};

struct next_task {
    submission::submission_id id;
    waiting_task task;
    std::uint64_t kind = 0;
    common::milliseconds declared{0};
};

template <job_order Order>
class job_queue {
public:
    bool is_empty() const { return m_order.empty(); }
    std::size_t queued() const { return m_queued; }
    common::milliseconds work() const { return m_work; }

    // Work of the waiting jobs that would be served before this one, rounded up to whole bins.
    common::milliseconds work_ahead_of(const job_descriptor& job, common::milliseconds work) const {
        const auto key = m_policy.key({job.arrived, job.deadline, work});
        common::milliseconds ahead{0};
        const auto end = m_work_by_bin.upper_bound(bin_of(key));
        for (auto it = m_work_by_bin.begin(); it != end; ++it)
            ahead += it->second;
        return ahead;
    }

    // `tasks` must not be empty. `slots` is the number of tasks that can run at once.
    void add(const job_descriptor& job, std::vector<waiting_task> tasks, std::size_t slots) {
        auto it = std::make_unique<entry>();
        it->job = job;
        for (const auto& task : tasks)
            it->work += task.typical;
        order_tasks(tasks, slots);
        it->waiting = std::move(tasks);
        m_queued += it->waiting.size();
        m_work += it->work;
        add_to_order(*it);
        m_jobs.emplace(job.id, std::move(it));
    }

    // The executor that the next task avoids, null when none.
    const shared_executor& avoided_by_next() const {
        return m_jobs.at(m_order.begin()->second)->waiting.back().avoided;
    }

    // Removes and returns the next task. Must not be called when empty.
    next_task pop() {
        entry& it = *m_jobs.at(m_order.begin()->second);
        remove_from_order(it);
        next_task next{it.job.id, std::move(it.waiting.back()), 0, common::milliseconds(0)};
        it.waiting.pop_back();
        it.work -= next.task.typical;
        m_work -= next.task.typical;
        m_queued--;
        it.running++;
        next.kind = next.task.task < it.job.kinds.size() ? it.job.kinds[next.task.task] : 0;
        next.declared = it.job.expected[next.task.task];
        if (!it.waiting.empty())
            add_to_order(it);
        return next;
    }

    // Ends a task that pop() returned; `retry`, when not null, is put back into the queue.
    void end(const submission::submission_id& id, const waiting_task* retry) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            return;
        entry& it = *found->second;
        it.running--;
        if (retry != nullptr && !it.is_cancelled) {
            if (!it.waiting.empty())
                remove_from_order(it);
            it.waiting.push_back(*retry);
            it.work += retry->typical;
            m_work += retry->typical;
            m_queued++;
            add_to_order(it);
        }
        forget_if_done(it);
    }

    // Removes the job's waiting tasks; its running tasks are no longer put back into the queue.
    void cancel(const submission::submission_id& id) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            return;
        entry& it = *found->second;
        if (!it.waiting.empty())
            remove_from_order(it);
        m_queued -= it.waiting.size();
        m_work -= it.work;
        it.waiting.clear();
        it.work = common::milliseconds(0);
        it.is_cancelled = true;
        forget_if_done(it);
    }

    // Descriptor of a job with waiting or running tasks; null when there is none.
    const job_descriptor* find(const submission::submission_id& id) const {
        const auto found = m_jobs.find(id);
        return found == m_jobs.end() ? nullptr : &found->second->job;
    }

private:
    struct entry {
        job_descriptor job;
        std::vector<waiting_task> waiting; // the last is started first
        common::milliseconds work{0};      // of the waiting tasks
        std::int64_t key = 0;              // its key in m_order while tasks wait
        std::size_t running = 0;           // tasks returned by pop() and not yet ended
        bool is_cancelled = false;         // its tasks are no longer put back into the queue
    };

    using rank = std::pair<std::int64_t, submission::submission_id>;

    static constexpr std::int64_t bin_width_ns = 50'000'000;

    // The shortest tasks, one per slot, are started last, the longest of them first, so that the
    // job does not end with a single long task. The others keep the caller's order: a job that
    // occupied all slots with its longest tasks at once would block other jobs for that long.
    static void order_tasks(std::vector<waiting_task>& tasks, std::size_t slots) {
        const auto is_shorter = [](const waiting_task& a, const waiting_task& b) {
            return a.typical < b.typical;
        };
        std::vector<waiting_task> sorted = tasks;
        std::stable_sort(sorted.begin(), sorted.end(), is_shorter);
        if (tasks.size() > slots) {
            const auto last = sorted[slots - 1].typical;
            auto rest = sorted.begin() + static_cast<std::ptrdiff_t>(slots);
            std::size_t ties = std::count_if(sorted.begin(), rest, [last](const waiting_task& it) {
                return it.typical == last;
            });
            for (const auto& it : tasks) {
                if (it.typical < last || (it.typical == last && ties > 0 && ties-- > 0))
                    continue;
                *rest++ = it;
            }
        }
        tasks = std::move(sorted);
    }

    static std::int64_t bin_of(std::int64_t key) { return key / bin_width_ns; }

    void add_to_order(entry& it) {
        it.key = m_policy.key({it.job.arrived, it.job.deadline, it.work});
        m_order.insert({it.key, it.job.id});
        m_work_by_bin[bin_of(it.key)] += it.work;
    }

    void remove_from_order(const entry& it) {
        m_order.erase({it.key, it.job.id});
        const auto bin = m_work_by_bin.find(bin_of(it.key));
        bin->second -= it.work;
        if (bin->second.count() == 0)
            m_work_by_bin.erase(bin);
    }

    void forget_if_done(const entry& it) {
        if (it.waiting.empty() && it.running == 0)
            m_jobs.erase(it.job.id);
    }

    Order m_policy;
    absl::flat_hash_map<submission::submission_id, std::unique_ptr<entry>> m_jobs;
    std::set<rank> m_order; // invariant: one rank for each job with waiting tasks, and no other
    std::map<std::int64_t, common::milliseconds> m_work_by_bin; // the waiting work by key
    std::size_t m_queued = 0;                                   // tasks waiting over all jobs
    common::milliseconds m_work{0};                             // of those tasks
};

} // namespace savorytrail::dispatch
