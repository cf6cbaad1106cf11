// Forwards each call to the queue of its upstream.
#include "core/dispatch/dispatcher.h"

#include "absl/strings/str_cat.h"

namespace savorytrail::dispatch {

admission_result dispatcher::submit(const job_descriptor& job, common::time_point now,
                                    std::vector<task_start>& starts) {
    const auto it = find(job.upstream);
    if (!it)
        return {false, job::reason::unknown_upstream,
                absl::StrCat("the manifest has no upstream ", job.upstream), std::nullopt};
    admission_result result;
    bool has_backlog = false;
    {
        const std::lock_guard lock(it->mutex);
        result = it->queue->submit(job, now, starts);
        has_backlog = result.is_accepted && it->queue->has_backlog();
    }
    if (has_backlog && m_on_backlog)
        m_on_backlog(job.upstream);
    return result;
}

std::optional<admission_result> dispatcher::complete(const task_start& done, completion outcome,
                                                     common::milliseconds duration,
                                                     common::time_point now,
                                                     std::vector<task_start>& starts) {
    const auto it = find(done.upstream);
    if (!it)
        return std::nullopt;
    const std::lock_guard lock(it->mutex);
    return it->queue->complete(done, outcome, duration, now, starts);
}

void dispatcher::cancel(const std::string& upstream, const submission::submission_id& id) {
    const auto it = find(upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->cancel(id);
}

void dispatcher::set_executors(const std::string& upstream,
                               const std::vector<executor_share>& shares, common::time_point now,
                               std::vector<task_start>& starts) {
    const auto it = find_or_create(upstream);
    const std::lock_guard lock(it->mutex);
    it->queue->set_executors(shares, now, starts);
}

void dispatcher::tick(common::time_point now, std::vector<task_start>& starts) {
    for (const auto& it : all_queues()) {
        const std::lock_guard lock(it->mutex);
        it->queue->tick(now, starts);
    }
}

std::vector<queue_status> dispatcher::status() const {
    std::vector<queue_status> all;
    for (const auto& it : all_queues()) {
        const std::lock_guard lock(it->mutex);
        all.push_back(it->queue->status());
    }
    return all;
}

std::vector<executor_slots> dispatcher::lend(const std::string& upstream, std::uint32_t wanted) {
    const auto it = find(upstream);
    if (!it)
        return {};
    const std::lock_guard lock(it->mutex);
    return it->queue->lend(wanted);
}

void dispatcher::take_back(const std::string& upstream, const std::vector<executor_slots>& slots,
                           common::time_point now, std::vector<task_start>& starts) {
    const auto it = find(upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->take_back(slots, now, starts);
}

void dispatcher::add_borrowed(const std::string& upstream, const std::vector<executor_share>& slots,
                              common::time_point now, std::vector<task_start>& starts) {
    const auto it = find_or_create(upstream);
    const std::lock_guard lock(it->mutex);
    it->queue->add_borrowed(slots, now, starts);
}

std::vector<executor_slots> dispatcher::give_back(const std::string& upstream,
                                                  const std::vector<executor_slots>& slots) {
    const auto it = find(upstream);
    if (!it)
        return {};
    const std::lock_guard lock(it->mutex);
    return it->queue->give_back(slots);
}

void dispatcher::end_borrowed(const std::string& upstream,
                              const std::vector<executor_slots>& slots) {
    const auto it = find(upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->end_borrowed(slots);
}

void dispatcher::set_borrowable(const std::string& upstream, std::optional<std::size_t> slots) {
    const auto it = find_or_create(upstream);
    const std::lock_guard lock(it->mutex);
    it->queue->set_borrowable(slots);
}

std::vector<slot_demand> dispatcher::demands() const {
    std::vector<slot_demand> all;
    for (const auto& it : all_queues()) {
        const std::lock_guard lock(it->mutex);
        all.push_back(it->queue->demand());
    }
    return all;
}

void dispatcher::eject(const std::string& upstream, const std::string& executor,
                       common::time_point now) {
    const auto it = find(upstream);
    if (!it)
        return;
    const std::lock_guard lock(it->mutex);
    it->queue->eject(executor, now);
}

bool dispatcher::owns(const std::string& upstream, const std::string& executor) const {
    const auto it = find(upstream);
    if (!it)
        return false;
    const std::lock_guard lock(it->mutex);
    return it->queue->owns(executor);
}

std::size_t dispatcher::lendable_slots(const std::string& upstream) const {
    const auto it = find(upstream);
    if (!it)
        return 0;
    const std::lock_guard lock(it->mutex);
    return it->queue->has_backlog() ? 0 : it->queue->demand().idle_own;
}

std::vector<std::shared_ptr<dispatcher::locked_queue>> dispatcher::all_queues() const {
    std::vector<std::shared_ptr<locked_queue>> queues;
    const std::shared_lock lock(m_mutex);
    for (const auto& [name, it] : m_queues)
        queues.push_back(it);
    return queues;
}

std::shared_ptr<dispatcher::locked_queue> dispatcher::find(const std::string& upstream) const {
    const std::shared_lock lock(m_mutex);
    const auto it = m_queues.find(upstream);
    return it == m_queues.end() ? nullptr : it->second;
}

std::shared_ptr<dispatcher::locked_queue> dispatcher::find_or_create(const std::string& upstream) {
    const std::lock_guard lock(m_mutex);
    auto& it = m_queues[upstream];
    if (!it) {
        it = std::make_shared<locked_queue>();
        it->queue = make_upstream_queue(upstream, m_policy, m_limits);
    }
    return it;
}

} // namespace savorytrail::dispatch
