// Arrivals, submissions, copies and cancellations of an open-loop load.
#include "stand_ins/callers/load.h"

#include <algorithm>

namespace savorytrail::stand_ins {
namespace {

constexpr std::chrono::seconds drain_allowance(15); // added to the jobs' deadline
constexpr std::chrono::milliseconds start_delay(200);

} // namespace

caller_pool::caller_pool(const load_options& options, std::size_t entry, message_counts& messages)
    : m_options(options), m_entry(entry), m_messages(messages) {}

void caller_pool::open(std::size_t connections) {
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < connections; i++)
        add_thread();
}

void caller_pool::run(work fn) {
    const std::lock_guard lock(m_mutex);
    m_work.push_back(std::move(fn));
    if (m_idle < m_work.size())
        add_thread();
    m_work_added.notify_one();
}

bool caller_pool::wait_until_idle(common::time_point deadline) {
    std::unique_lock lock(m_mutex);
    return m_became_idle.wait_until(lock, deadline,
                                    [this] { return m_work.empty() && m_idle == m_threads; });
}

void caller_pool::add_thread() {
    m_threads++;
    std::thread([this] { run_caller(); }).detach();
}

void caller_pool::run_caller() {
    session caller(m_options, m_entry, m_messages);
    std::unique_lock lock(m_mutex);
    while (true) {
        lock.unlock();
        caller.prepare();
        lock.lock();
        m_idle++;
        m_became_idle.notify_all();
        m_work_added.wait(lock, [this] { return !m_work.empty(); });
        m_idle--;
        const auto fn = std::move(m_work.front());
        m_work.pop_front();
        lock.unlock();
        fn(caller);
        lock.lock();
    }
}

// One job, and the state that its copies share.
struct load::submission {
    generated_job job;
    common::time_point due;
    bool reported = false;  // it arrives within the measured span
    bool cancelled = false; // a cancellation is scheduled
    std::mutex mutex;
    std::string id;                                // guarded by mutex, as below
    std::optional<answer_state> first_final_state; // of any copy

    // Whether the answer is consistent with the final answers to the other copies.
    bool agrees(const checked_answer& answer) {
        const std::lock_guard lock(mutex);
        if (!is_final(answer.state))
            return true;
        if (!first_final_state)
            first_final_state = answer.state;
        return *first_final_state == answer.state;
    }
};

load::load(load_options options)
    : m_options(std::move(options)), m_job_generator(m_options.jobs, m_options.seed) {
    for (std::size_t i = 0; i < m_options.entries.size(); i++)
        m_pools.push_back(std::make_unique<caller_pool>(m_options, i, m_messages));
}

bool load::run() {
    for (const auto& it : m_pools)
        it->open(m_options.connections_per_entry);
    auto due = m_clock.now() + start_delay;
    m_measure_from = due + m_options.warm_up;
    m_end = m_measure_from + m_options.duration;
    for (due += m_job_generator.next_gap(m_options.jobs_per_second); due < m_end;
         due += m_job_generator.next_gap(m_options.jobs_per_second)) {
        send_due_cancellations(due);
        std::this_thread::sleep_until(due);
        offer(due);
    }
    send_due_cancellations(common::time_point::max());
    const auto deadline =
        m_clock.now() + common::milliseconds(m_options.jobs.deadline_ms) + drain_allowance;
    // A first submission queues its copies on other pools, so a pool that was idle may get work
    // while a later one is waited for. The second round covers that work.
    for (std::size_t round = 0; round < 2; round++) {
        for (const auto& it : m_pools)
            it->wait_until_idle(deadline);
    }
    return m_report.is_sound();
}

void load::offer(common::time_point due) {
    const auto it = std::make_shared<submission>();
    it->job = m_job_generator.next();
    it->due = due;
    it->reported = due >= m_measure_from;
    it->cancelled = m_job_generator.draw(m_options.cancel_share);
    if (it->reported)
        m_report.add_offered(it->job.bodies.size());
    if (it->cancelled)
        m_cancellations.emplace(due + m_job_generator.draw_time(it->job.ideal_response), it);
    const auto entry = m_arrivals++;
    pool(entry).run([this, it, entry](session& caller) { submit_first(it, entry, caller); });
}

void load::submit_first(const std::shared_ptr<submission>& it, std::size_t entry, session& caller) {
    job_outcome outcome;
    outcome.send_lag = m_clock.now() - it->due;
    const auto id = caller.take_id();
    {
        const std::lock_guard lock(it->mutex);
        it->id = id;
    }
    if (!id.empty()) {
        for (std::size_t i = 1; i < m_options.copies; i++)
            pool(entry + i).run([this, it](session& other) { submit_copy(it, other); });
        outcome.answer = caller.submit(it->job, id);
    }
    const auto now = m_clock.now();
    if (!it->agrees(outcome.answer))
        m_report.add_copy({}, false);
    if (!it->reported)
        return;
    outcome.tasks = it->job.bodies.size();
    outcome.ideal_response = it->job.ideal_response;
    outcome.response = now - it->due;
    outcome.cancelled = it->cancelled;
    outcome.in_time = now < m_end;
    m_report.add(outcome);
}

void load::submit_copy(const std::shared_ptr<submission>& it, session& caller) {
    const auto answer = caller.submit(it->job, it->id);
    m_report.add_copy(answer, it->agrees(answer));
}

// Sends the cancellations that are due before `next`, each at its scheduled time.
void load::send_due_cancellations(common::time_point next) {
    while (!m_cancellations.empty() && m_cancellations.begin()->first < next) {
        const auto node = m_cancellations.extract(m_cancellations.begin());
        std::this_thread::sleep_until(node.key());
        pool(m_arrivals).run([it = node.mapped()](session& caller) {
            std::unique_lock lock(it->mutex);
            const auto id = it->id;
            lock.unlock();
            if (!id.empty())
                caller.cancel(id);
        });
    }
}

} // namespace savorytrail::stand_ins
