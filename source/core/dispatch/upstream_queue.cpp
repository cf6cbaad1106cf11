// Implementation of the queue: one template for all policies.
#include "core/dispatch/upstream_queue.h"

#include <algorithm>

#include "core/dispatch/admission.h"
#include "core/dispatch/executor_pool.h"
#include "core/dispatch/job_queue.h"
#include "core/dispatch/learned_times.h"
#include "core/dispatch/policy.h"
#include "core/dispatch/retry_budget.h"

namespace savorytrail::dispatch {
namespace {

constexpr common::milliseconds retries_exhausted_retry{1000};

using standard_order = aged_least_work_order;

struct queue_options {
    bool ejects = true; // executors that fail or are slow
    bool admits = true; // only jobs that can meet their deadline

    bool operator==(const queue_options&) const = default;
};

template <job_order Order, placement Placement>
class basic_upstream_queue final : public upstream_queue {
public:
    basic_upstream_queue(std::string name, queue_limits limits, queue_options options)
        : m_name(std::move(name)), m_limits(limits), m_options(options), m_pool(options.ejects) {}

    admission_result submit(const job_descriptor& job, common::time_point now,
                            std::vector<task_start>& starts) override;
    std::optional<admission_result> complete(const task_start& done, completion outcome,
                                             common::milliseconds duration, common::time_point now,
                                             std::vector<task_start>& starts) override;
    void cancel(const submission::submission_id& id) override { m_queue.cancel(id); }
    void set_executors(const std::vector<executor_share>& shares, common::time_point now,
                       std::vector<task_start>& starts) override;
    void tick(common::time_point now, std::vector<task_start>& starts) override;
    queue_status status() const override;

    std::vector<executor_slots> lend(std::uint32_t wanted) override;
    void take_back(const std::vector<executor_slots>& slots, common::time_point now,
                   std::vector<task_start>& starts) override;
    void add_borrowed(const std::vector<executor_share>& slots, common::time_point now,
                      std::vector<task_start>& starts) override;
    std::vector<executor_slots> give_back(const std::vector<executor_slots>& slots) override;
    void end_borrowed(const std::vector<executor_slots>& slots) override;
    void set_borrowable(std::optional<std::size_t> slots) override { m_borrowable = slots; }
    slot_demand demand() const override;
    bool has_backlog() const override { return !m_queue.is_empty(); }
    bool owns(const std::string& executor) const override { return m_pool.owns(executor); }
    void eject(const std::string& executor, common::time_point now) override {
        m_pool.eject(executor, now);
    }

private:
    static std::uint64_t kind_of(const job_descriptor& job, std::uint32_t task) {
        return task < job.kinds.size() ? job.kinds[task] : 0;
    }

    job_demand estimate_demand(const job_descriptor& job, common::time_point now,
                               std::vector<waiting_task>& tasks) const;
    admission_result admit(const job_descriptor& job, const job_demand& demand) const;
    void start_waiting_tasks(common::time_point now, std::vector<task_start>& starts);

    const std::string m_name;
    const queue_limits m_limits;
    const queue_options m_options;
    Placement m_placement;
    job_queue<Order> m_queue;
    executor_pool m_pool;
    learned_times m_times;
    retry_budget m_retry_budget;
    std::optional<std::size_t> m_borrowable;
};

template <job_order Order, placement Placement>
admission_result basic_upstream_queue<Order, Placement>::submit(const job_descriptor& job,
                                                                common::time_point now,
                                                                std::vector<task_start>& starts) {
    std::vector<waiting_task> tasks;
    const auto demand = estimate_demand(job, now, tasks);
    auto result = admit(job, demand);
    if (!result.is_accepted)
        return result;
    m_queue.add(job, std::move(tasks), std::max<std::size_t>(m_pool.slots(), 1));
    start_waiting_tasks(now, starts);
    return result;
}

template <job_order Order, placement Placement>
job_demand basic_upstream_queue<Order, Placement>::estimate_demand(
    const job_descriptor& job, common::time_point now, std::vector<waiting_task>& tasks) const {
    job_demand demand;
    demand.tasks = job.expected.size();
    demand.time_left = std::chrono::duration_cast<common::milliseconds>(
        job.deadline - std::min(now, job.deadline));
    tasks.reserve(job.expected.size());
    for (std::uint32_t i = 0; i < job.expected.size(); i++) {
        const auto it = m_times.estimate(kind_of(job, i), job.expected[i]);
        const bool is_learned = it.slow_after.count() > 0;
        tasks.push_back({i, it.typical, nullptr});
        demand.work += it.typical;
        demand.min_work += it.minimum;
        demand.min_longest_task = std::max(demand.min_longest_task, it.minimum);
        demand.expected_longest_task =
            std::max(demand.expected_longest_task, is_learned ? it.typical : it.minimum);
    }
    return demand;
}

template <job_order Order, placement Placement>
admission_result basic_upstream_queue<Order, Placement>::admit(const job_descriptor& job,
                                                               const job_demand& demand) const {
    queue_capacity queue;
    queue.queued = m_queue.queued();
    queue.max_queued = m_limits.max_queued_tasks;
    queue.slots = m_pool.slots() + m_borrowable.value_or(0);
    queue.idle = m_pool.idle();
    queue.lent = m_pool.lent();
    queue.fleet_slots = job.fleet_slots;
    queue.task_time =
        demand.work / static_cast<std::int64_t>(std::max<std::size_t>(demand.tasks, 1));
    if (m_options.admits && !m_queue.is_empty())
        queue.work_ahead = m_queue.work_ahead_of(job, demand.work);
    if (m_options.admits)
        return check_admission(m_name, demand, queue);
    auto without_deadline = demand;
    without_deadline.time_left = common::milliseconds::max();
    return check_admission(m_name, without_deadline, queue);
}

template <job_order Order, placement Placement>
std::optional<admission_result> basic_upstream_queue<Order, Placement>::complete(
    const task_start& done, completion outcome, common::milliseconds duration,
    common::time_point now, std::vector<task_start>& starts) {
    m_pool.end(done, outcome, now);
    std::optional<admission_result> given_up;
    const job_descriptor* job = m_queue.find(done.id);
    if (outcome == completion::answered) {
        m_retry_budget.deposit();
        if (job != nullptr)
            m_times.record(kind_of(*job, done.task), duration);
    }
    if (job != nullptr && outcome == completion::not_started && m_retry_budget.try_withdraw()) {
        const auto estimate = m_times.estimate(kind_of(*job, done.task), job->expected[done.task]);
        const waiting_task retry{done.task, estimate.typical, done.executor};
        m_queue.end(done.id, &retry);
    } else {
        if (job != nullptr && outcome == completion::not_started)
            given_up =
                admission_result{false, job::reason::retries_exhausted,
                                 "the executor could not be reached and the retry budget is spent",
                                 retries_exhausted_retry};
        m_queue.end(done.id, nullptr);
        if (given_up)
            m_queue.cancel(done.id);
    }
    start_waiting_tasks(now, starts);
    return given_up;
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::set_executors(
    const std::vector<executor_share>& shares, common::time_point now,
    std::vector<task_start>& starts) {
    m_pool.set_own(shares);
    start_waiting_tasks(now, starts);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::tick(common::time_point now,
                                                  std::vector<task_start>& starts) {
    m_pool.tick(now);
    start_waiting_tasks(now, starts);
}

template <job_order Order, placement Placement>
queue_status basic_upstream_queue<Order, Placement>::status() const {
    return {m_name,         m_queue.queued(), m_pool.running(),
            m_pool.slots(), m_pool.idle(),    m_pool.ejected()};
}

template <job_order Order, placement Placement>
std::vector<executor_slots> basic_upstream_queue<Order, Placement>::lend(std::uint32_t wanted) {
    return m_queue.is_empty() ? m_pool.lend(wanted) : std::vector<executor_slots>{};
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::take_back(const std::vector<executor_slots>& slots,
                                                       common::time_point now,
                                                       std::vector<task_start>& starts) {
    for (const auto& it : slots)
        m_pool.take_back(it);
    start_waiting_tasks(now, starts);
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::add_borrowed(const std::vector<executor_share>& slots,
                                                          common::time_point now,
                                                          std::vector<task_start>& starts) {
    for (const auto& it : slots)
        m_pool.add_borrowed(it.executor, it.slots);
    start_waiting_tasks(now, starts);
}

template <job_order Order, placement Placement>
std::vector<executor_slots>
basic_upstream_queue<Order, Placement>::give_back(const std::vector<executor_slots>& slots) {
    std::vector<executor_slots> given;
    for (const auto& it : slots) {
        const auto n = m_pool.give_back(it);
        if (n > 0)
            given.push_back({it.executor, n});
    }
    return given;
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::end_borrowed(
    const std::vector<executor_slots>& slots) {
    for (const auto& it : slots)
        m_pool.end_borrowed(it);
}

template <job_order Order, placement Placement>
slot_demand basic_upstream_queue<Order, Placement>::demand() const {
    return {m_name,
            m_queue.queued(),
            m_pool.slots(),
            m_pool.idle_own(),
            m_pool.idle_borrowed(),
            m_pool.ejected_borrowed()};
}

template <job_order Order, placement Placement>
void basic_upstream_queue<Order, Placement>::start_waiting_tasks(common::time_point now,
                                                                 std::vector<task_start>& starts) {
    while (!m_queue.is_empty() && m_pool.idle() > 0) {
        const auto& avoided = m_queue.avoided_by_next();
        const std::size_t avoided_index =
            avoided ? m_pool.find(avoided->name) : m_pool.views().size();
        const std::size_t chosen = m_placement.choose(m_pool.views(), avoided_index);
        if (chosen == m_pool.views().size())
            return;
        const auto next = m_queue.pop();
        const auto slow_after = m_times.estimate(next.kind, next.declared).slow_after;
        auto executor = m_pool.begin(chosen, next.id, next.task.task, slow_after, now);
        starts.push_back({next.id, next.task.task, m_name, std::move(executor)});
    }
}

template <job_order Order, placement Placement = least_loaded_placement>
std::unique_ptr<upstream_queue> make_queue(const std::string& upstream, queue_limits limits,
                                           queue_options options = {}) {
    return std::make_unique<basic_upstream_queue<Order, Placement>>(upstream, limits, options);
}

} // namespace

std::unique_ptr<upstream_queue> make_upstream_queue(const std::string& upstream,
                                                    std::string_view policy, queue_limits limits) {
    if (policy == "fifo")
        return make_queue<arrival_order>(upstream, limits);
    if (policy == "random")
        return make_queue<arrival_order, random_placement>(upstream, limits);
    if (policy == "deadline")
        return make_queue<deadline_order>(upstream, limits);
    if (policy == "remaining")
        return make_queue<least_work_order>(upstream, limits);
    if (policy == "fifo_no_admission")
        return make_queue<arrival_order>(upstream, limits, {true, false});
    if (policy == "no_ejection")
        return make_queue<standard_order>(upstream, limits, {false, true});
    if (policy == "no_admission")
        return make_queue<standard_order>(upstream, limits, {true, false});
    return make_queue<standard_order>(upstream, limits);
}

} // namespace savorytrail::dispatch
