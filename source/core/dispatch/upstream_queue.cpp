// The queue's implementation, one template for all policies.
#include "core/dispatch/upstream_queue.h"

#include <algorithm>
#include <deque>
#include <set>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "core/dispatch/policy.h"

namespace savorytrail::dispatch {
namespace {

constexpr common::milliseconds default_task_time{250};

template <job_order Order, placement Placement>
class basic_upstream_queue final : public upstream_queue {
public:
    basic_upstream_queue(std::string name, queue_limits limits)
        : m_name(std::move(name)), m_limits(limits) {}

    verdict submit(const ticket& job, common::time_point now, std::vector<start>& starts) override;
    void complete(const start& done, completion how, common::milliseconds took,
                  common::time_point now, std::vector<start>& starts) override;
    void cancel(const submission::submission_id& id) override;
    void set_executors(const std::vector<executor_share>& shares, common::time_point now,
                       std::vector<start>& starts) override;
    queue_status status() const override;

private:
    struct waiting_job {
        ticket job;
        std::deque<std::uint32_t> waiting; // task indices in the order they are started
        common::milliseconds work{0};      // of the waiting tasks
        std::int64_t key = 0;              // its place in m_order while tasks wait
        std::size_t running = 0;           // starts not yet completed
        bool is_cancelled = false;         // its tasks no longer go back to the queue
    };

    using rank = std::pair<std::int64_t, submission::submission_id>;

    void place(waiting_job& it);
    void unplace(const waiting_job& it);
    void put_back(waiting_job& it, std::uint32_t task);
    void forget_if_done(const waiting_job& it);
    common::milliseconds time_of(const waiting_job& it, std::uint32_t task) const;
    common::milliseconds time_to_drain() const;
    void match(std::vector<start>& starts);
    std::size_t slots() const;

    const std::string m_name;
    const queue_limits m_limits;
    Order m_order_policy;
    Placement m_placement;
    // Jobs with tasks that wait or run. Invariant: m_order holds one rank for each job with waiting
    // tasks, and no other.
    absl::flat_hash_map<submission::submission_id, std::unique_ptr<waiting_job>> m_jobs;
    std::set<rank> m_order;
    std::vector<shared_executor> m_executors;
    std::vector<executor_view> m_load; // parallel to m_executors
    std::size_t m_queued = 0;          // tasks waiting over all jobs
    std::size_t m_running = 0;         // starts not yet completed
};

template <job_order Order, placement Placement>
verdict basic_upstream_queue<Order, Placement>::submit(const ticket& job, common::time_point,
                                                       std::vector<start>& starts) {
    if (m_executors.empty())
        return {false, job::reason::no_executors,
                absl::StrCat("upstream ", m_name, " has no executor here"), std::nullopt};
    if (m_queued + job.expected.size() > m_limits.max_queued_tasks)
        return {false, job::reason::queue_full,
                absl::StrCat(m_queued, " tasks wait for upstream ", m_name), time_to_drain()};

    auto it = std::make_unique<waiting_job>();
    it->job = job;
    for (std::uint32_t i = 0; i < job.expected.size(); i++) {
        it->waiting.push_back(i);
        it->work += time_of(*it, i);
    }
    m_queued += it->waiting.size();
    place(*it);
    m_jobs.emplace(job.id, std::move(it));
    match(starts);
    return {};
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::complete(const start& done, completion how,
                                                      common::milliseconds, common::time_point,
                                                      std::vector<start>& starts) {
    m_running--;
    for (std::size_t i = 0; i < m_executors.size(); i++) {
        if (m_executors[i]->name == done.executor->name && m_load[i].running > 0)
            m_load[i].running--;
    }
    const auto found = m_jobs.find(done.id);
    if (found != m_jobs.end()) {
        found->second->running--;
        if (how == completion::not_started)
            put_back(*found->second, done.task);
        forget_if_done(*found->second);
    }
    match(starts);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::cancel(const submission::submission_id& id) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    waiting_job& it = *found->second;
    unplace(it);
    m_queued -= it.waiting.size();
    it.waiting.clear();
    it.work = common::milliseconds(0);
    it.is_cancelled = true;
    forget_if_done(it);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::put_back(waiting_job& it, std::uint32_t task) {
    if (it.is_cancelled)
        return;
    unplace(it);
    it.waiting.push_front(task);
    it.work += time_of(it, task);
    m_queued++;
    place(it);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::forget_if_done(const waiting_job& it) {
    if (it.waiting.empty() && it.running == 0)
        m_jobs.erase(it.job.id);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::set_executors(
    const std::vector<executor_share>& shares, common::time_point, std::vector<start>& starts) {
    std::vector<shared_executor> executors;
    std::vector<executor_view> load;
    for (const auto& share : shares) {
        executor_view view{share.slots, 0};
        for (std::size_t i = 0; i < m_executors.size(); i++) {
            if (m_executors[i]->name == share.executor.name)
                view.running = m_load[i].running;
        }
        executors.push_back(std::make_shared<const manifest::executor>(share.executor));
        load.push_back(view);
    }
    m_executors = std::move(executors);
    m_load = std::move(load);
    match(starts);
}

template <job_order Order, placement Placement>
queue_status basic_upstream_queue<Order, Placement>::status() const {
    return {m_name, m_queued, m_running, slots()};
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::place(waiting_job& it) {
    it.key = m_order_policy.key({it.job.arrived, it.job.deadline, it.waiting.size(), it.work});
    m_order.insert({it.key, it.job.id});
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::unplace(const waiting_job& it) {
    m_order.erase({it.key, it.job.id});
}

template <job_order Order, placement Placement>
common::milliseconds basic_upstream_queue<Order, Placement>::time_of(const waiting_job& it,
                                                                     std::uint32_t task) const {
    const auto expected = it.job.expected[task];
    return expected.count() > 0 ? expected : default_task_time;
}

template <job_order Order, placement Placement>
common::milliseconds basic_upstream_queue<Order, Placement>::time_to_drain() const {
    common::milliseconds work{0};
    for (const auto& [id, it] : m_jobs)
        work += it->work;
    return work / std::max<std::size_t>(slots(), 1) + common::milliseconds(1);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::match(std::vector<start>& starts) {
    while (!m_order.empty()) {
        const std::size_t chosen = m_placement.choose(m_load);
        if (chosen == m_load.size())
            return;
        waiting_job& it = *m_jobs.at(m_order.begin()->second);
        unplace(it);
        const std::uint32_t task = it.waiting.front();
        it.waiting.pop_front();
        it.work -= time_of(it, task);
        m_queued--;
        m_running++;
        m_load[chosen].running++;
        starts.push_back({it.job.id, task, m_name, m_executors[chosen]});
        it.running++;
        if (!it.waiting.empty())
            place(it);
    }
}

template <job_order Order, placement Placement>
std::size_t basic_upstream_queue<Order, Placement>::slots() const {
    std::size_t n = 0;
    for (const auto& it : m_load)
        n += it.slots;
    return n;
}

} // namespace

std::unique_ptr<upstream_queue> make_upstream_queue(const std::string& upstream,
                                                    std::string_view policy, queue_limits limits) {
    if (policy == "fifo")
        return std::make_unique<basic_upstream_queue<arrival_order, least_loaded_placement>>(
            upstream, limits);
    if (policy == "random")
        return std::make_unique<basic_upstream_queue<arrival_order, random_placement>>(upstream,
                                                                                       limits);
    return std::make_unique<basic_upstream_queue<shortest_remaining_order, least_loaded_placement>>(
        upstream, limits);
}

} // namespace savorytrail::dispatch
