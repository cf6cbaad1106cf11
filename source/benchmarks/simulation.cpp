// Simulation events: job arrivals, task starts and completions, heartbeats and ticks.
#include "benchmarks/simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "core/dispatch/learned_times.h"
#include "core/dispatch/partition.h"

namespace savorytrail::benchmarks {
namespace {

constexpr nanoseconds message_delay = std::chrono::microseconds(500);
constexpr milliseconds tick_period{20};
constexpr milliseconds heartbeat_period{1000};
constexpr milliseconds task_timeout{10000};
constexpr milliseconds failure_time{2};
constexpr milliseconds drain_time{60000};
constexpr int slow_factor = 10;
constexpr std::array<int, 6> kind_times_ms{50, 100, 200, 400, 700, 1000};
constexpr double mean_task_ms = 2450.0 / kind_times_ms.size();

double uniform(std::mt19937_64& random, double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
}

} // namespace

struct simulation::running_job {
    dispatch::job_descriptor descriptor;
    std::vector<milliseconds> times;
    milliseconds work{0};
    nanoseconds ideal{0};
    std::size_t unfinished = 0;
    bool has_ended = false;
};

struct simulation::executor_state {
    manifest::executor value;
    std::size_t index = 0;
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting; // tasks queued while all slots are in use
};

struct simulation::entry_state {
    entry_state(std::string vm, std::size_t index, const std::string& queue,
                const loan::executor_finder& find)
        : name(std::move(vm)), dispatcher(queue, {}), lender(dispatcher, {1, index}),
          borrower(dispatcher, name, {1, index}, find) {}

    std::string name;
    dispatch::dispatcher dispatcher;
    loan::lender lender;
    loan::borrower borrower;
    std::map<submission::submission_id, running_job> jobs;
};

simulation::simulation(const scenario& settings, const policy& chosen)
    : m_settings(settings), m_policy(chosen), m_random(settings.seed) {
    std::vector<std::string> names;
    manifest::upstream all;
    for (std::size_t i = 0; i < settings.entries; i++)
        names.push_back("entry-" + std::to_string(i));
    for (std::size_t i = 0; i < settings.executors; i++) {
        auto it = std::make_unique<executor_state>();
        it->index = i;
        it->value.name = "executor-" + std::to_string(i);
        it->value.slots = settings.slots;
        m_by_name[it->value.name] = it.get();
        all.executors.push_back(it->value);
        m_executors.push_back(std::move(it));
    }
    for (const auto& name : names) {
        auto it =
            std::make_unique<entry_state>(name, m_entries.size(), chosen.queue,
                                          [this](const std::string&, const std::string& executor) {
                                              return std::optional(m_by_name.at(executor)->value);
                                          });
        const bool uses_all = chosen.mode == placement_mode::independent;
        const auto executors =
            uses_all ? all.executors : dispatch::owned_executors(all, "", name, names);
        std::vector<dispatch::executor_share> shares;
        shares.reserve(executors.size());
        for (const auto& executor : executors)
            shares.push_back({executor, executor.slots});
        std::vector<dispatch::task_start> starts;
        it->dispatcher.set_executors("u", shares, m_now, starts);
        m_entries.push_back(std::move(it));
    }
}

simulation::~simulation() = default;

measurement simulation::run() {
    after(nanoseconds(0), [this] { arrive(); });
    after(tick_period, [this] { tick(); });
    if (m_policy.mode == placement_mode::loans)
        after(nanoseconds(0), [this] { send_heartbeats(); });
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    return m_result;
}

void simulation::after(nanoseconds delay, std::function<void()> action) {
    m_events.push({m_now + delay, m_sequence++, std::move(action)});
}

bool simulation::is_burst() const {
    const auto passed = m_now - m_start_time;
    return m_settings.burst_load > 0 && passed >= m_settings.time_limit / 3 &&
           passed < m_settings.time_limit * 2 / 3;
}

double simulation::load_now() const {
    return is_burst() ? m_settings.burst_load : m_settings.load;
}

void simulation::arrive() {
    if (m_now - m_start_time >= m_settings.time_limit)
        return;
    submit(*m_entries[m_random() % m_entries.size()]);
    const double ratio = std::log(double(m_settings.largest_job) / m_settings.smallest_job);
    const double mean_tasks = ratio > 0 ? (m_settings.largest_job - m_settings.smallest_job) / ratio
                                        : m_settings.smallest_job;
    const double slots = double(m_settings.executors) * m_settings.slots;
    const double gap_ms = mean_tasks * mean_task_ms / (slots * load_now());
    const double next_ms = std::exponential_distribution<double>(1 / gap_ms)(m_random);
    after(nanoseconds(std::llround(next_ms * 1e6)), [this] { arrive(); });
}

void simulation::submit(entry_state& home) {
    running_job it;
    it.descriptor.id.sequence = m_sequence++;
    it.descriptor.upstream = "u";
    it.descriptor.arrived = m_now;
    it.descriptor.fleet_slots = m_settings.executors * m_settings.slots;
    const double low = std::log(m_settings.smallest_job);
    const double high = std::log(m_settings.largest_job);
    const auto tasks = std::lround(std::exp(uniform(m_random, low, high)));
    milliseconds longest{0};
    for (long i = 0; i < tasks; i++) {
        const auto kind = m_random() % kind_times_ms.size();
        const milliseconds time(kind_times_ms[kind]);
        const double error = std::pow(m_settings.declared_error, uniform(m_random, -1, 1));
        it.times.push_back(time);
        it.descriptor.expected.emplace_back(std::max(1L, std::lround(time.count() * error)));
        const std::string path =
            m_policy.has_task_kinds
                ? "/kind/" + std::to_string(kind)
                : "/" + std::to_string(it.descriptor.id.sequence) + "/" + std::to_string(i);
        it.descriptor.kinds.push_back(dispatch::task_kind(path));
        it.work += time;
        longest = std::max(longest, time);
    }
    it.unfinished = it.times.size();
    it.ideal = std::max<nanoseconds>(longest, nanoseconds(it.work) / it.descriptor.fleet_slots);
    const double over = m_settings.deadline_over_ideal;
    const auto allowed = over > 0 ? nanoseconds(std::llround(double(it.ideal.count()) * over))
                                  : nanoseconds(drain_time);
    it.descriptor.deadline = m_now + allowed;
    m_result.jobs++;
    m_result.offered_work_ms += double(it.work.count());

    std::vector<dispatch::task_start> starts;
    const auto id = it.descriptor.id;
    const auto descriptor = it.descriptor;
    home.jobs.emplace(id, std::move(it));
    if (!home.dispatcher.submit(descriptor, m_now, starts).is_accepted) {
        m_result.refused_jobs++;
        home.jobs.erase(id);
        return;
    }
    after(allowed, [this, &home, id] {
        auto& due = home.jobs.at(id);
        if (due.has_ended)
            return;
        m_result.late_jobs++;
        end_job(home, due, false);
    });
    send(home, starts);
    borrow(home);
}

void simulation::send(entry_state& home, const std::vector<dispatch::task_start>& starts) {
    for (const auto& it : starts) {
        const auto& job = home.jobs.at(it.id);
        m_result.starts++;
        m_result.total_wait_ms += double((m_now - job.descriptor.arrived).count()) / 1e6;
        after(message_delay, [this, &home, it] { start_on_executor(home, it); });
    }
}

bool simulation::is_faulty(std::size_t index, std::size_t first, std::size_t count) const {
    return index >= first && index < first + count &&
           m_now - m_start_time >= m_settings.fault_start;
}

void simulation::start_on_executor(entry_state& home, const dispatch::task_start& it) {
    executor_state& at = *m_by_name.at(it.executor->name);
    const std::size_t failing = m_settings.failing_executors;
    const std::size_t slow = failing + m_settings.slow_executors;
    const auto sent = m_now - message_delay;
    if (is_faulty(at.index, slow, m_settings.refusing_executors)) {
        m_result.retries++;
        after(message_delay,
              [=, this, &home] { finish(home, it, dispatch::completion::not_started, sent); });
        return;
    }
    run_or_queue(at, [=, this, &home, &at] {
        nanoseconds time = home.jobs.at(it.id).times[it.task];
        auto outcome = dispatch::completion::answered;
        if (is_faulty(at.index, 0, failing)) {
            time = failure_time;
            outcome = dispatch::completion::failed;
        }
        if (is_faulty(at.index, failing, m_settings.slow_executors))
            time *= slow_factor;
        after(time, [=, this, &home, &at] {
            at.running--;
            if (!at.waiting.empty()) {
                const auto next = std::move(at.waiting.front());
                at.waiting.pop_front();
                run_or_queue(at, next);
            }
            after(message_delay, [=, this, &home] { finish(home, it, outcome, sent); });
        });
    });
}

void simulation::run_or_queue(executor_state& at, std::function<void()> task) {
    if (at.running >= at.value.slots) {
        m_result.queued_starts++;
        at.waiting.push_back(std::move(task));
        return;
    }
    at.running++;
    task();
}

void simulation::finish(entry_state& home, const dispatch::task_start& it,
                        dispatch::completion outcome, time_point sent) {
    auto& job = home.jobs.at(it.id);
    std::vector<dispatch::task_start> starts;
    if (outcome == dispatch::completion::failed && !job.has_ended) {
        m_result.failed_jobs++;
        end_job(home, job, false);
    }
    const auto duration = std::chrono::round<milliseconds>(m_now - sent);
    const auto rejection = home.dispatcher.complete(it, outcome, duration, m_now, starts);
    if (rejection && !job.has_ended) {
        m_result.failed_jobs++;
        end_job(home, job, false);
    }
    if (outcome == dispatch::completion::answered && --job.unfinished == 0 && !job.has_ended)
        end_job(home, job, true);
    send(home, starts);
}

void simulation::end_job(entry_state& home, running_job& it, bool is_complete) {
    it.has_ended = true;
    if (!is_complete) {
        home.dispatcher.cancel("u", it.descriptor.id);
        return;
    }
    const nanoseconds response = m_now - it.descriptor.arrived;
    m_result.stretch.push_back(double(response.count()) / double(it.ideal.count()));
    m_result.useful_work_ms += double(it.work.count());
    if (is_burst())
        m_result.burst_work_ms += double(it.work.count());
}

void simulation::tick() {
    if (m_now - m_start_time > m_settings.time_limit + drain_time)
        return;
    for (const auto& it : m_entries) {
        std::vector<dispatch::task_start> starts;
        it->dispatcher.tick(m_now, starts);
        it->lender.tick(m_now, starts);
        send(*it, starts);
        borrow(*it);
    }
    after(tick_period, [this] { tick(); });
}

// Sends heartbeats that offer each entry's lendable slots.
void simulation::send_heartbeats() {
    if (m_now - m_start_time > m_settings.time_limit + drain_time)
        return;
    for (const auto& to : m_entries) {
        std::vector<loan::offer> offers;
        for (const auto& from : m_entries) {
            if (from == to)
                continue;
            const auto idle = static_cast<std::uint32_t>(from->dispatcher.lendable_slots("u"));
            offers.push_back({from->name, "u", idle, true});
            m_result.control_messages += m_now - m_start_time < m_settings.time_limit ? 1 : 0;
        }
        after(message_delay, [this, &to = *to, offers] { to.borrower.set_offers(offers, m_now); });
    }
    after(heartbeat_period, [this] { send_heartbeats(); });
}

void simulation::borrow(entry_state& it) {
    if (m_policy.mode != placement_mode::loans)
        return;
    for (const auto& exchange : it.borrower.decide(m_now)) {
        m_result.control_messages += 2;
        after(message_delay, [this, &it, exchange] { deliver(it, exchange); });
    }
}

void simulation::deliver(entry_state& from, const loan::exchange& it) {
    for (const auto& to : m_entries) {
        if (to->name != it.vm)
            continue;
        std::vector<dispatch::task_start> starts;
        const auto reply = to->lender.handle(it.request, task_timeout, m_now, starts);
        send(*to, starts);
        after(message_delay, [this, &from, it, reply] {
            std::vector<dispatch::task_start> borrowed;
            from.borrower.replied(it, reply, m_now, borrowed);
            send(from, borrowed);
            borrow(from);
        });
    }
}

} // namespace savorytrail::benchmarks
