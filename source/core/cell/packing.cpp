#include "core/cell/packing.h"

#include <algorithm>

namespace savorytrail::cell {
namespace {

// The largest size takes more than half of this number of entries of the table, at most all.
constexpr std::int64_t entries_of_largest_size = 128;
// The table covers this many of the largest tasks; more free capacity is valued linearly.
constexpr std::int64_t tasks_covered = 4;
// The smallest width of an entry, in thousandths of a core. Others are this times a power of two,
// so that whole and half cores stay exact for tasks of up to 64 cores.
constexpr std::int64_t smallest_width = 125;
// If executors take as many of the largest tasks, what remains free on them is small anyway.
constexpr std::int64_t small_task_fraction = 8;
constexpr std::int64_t loss_steps = 32;
// Weight of free capacity after a coming task did not fit: others are placed elsewhere meanwhile.
constexpr double value_after_misfit = 0.5;
// Computing the table takes some 30 us; sizes do not change faster than queues do.
constexpr common::milliseconds refresh_interval{500};
// Keeps a job with an absurd number of tasks from standing for all.
constexpr int max_tasks_of_sample = 32;

} // namespace

void packing::add(std::int64_t cpu_millis, int tasks) {
    if (cpu_millis <= 0 || tasks <= 0) {
        return;
    }
    m_samples[m_added % max_samples] = {cpu_millis, std::min(tasks, max_tasks_of_sample)};
    m_added++;
}

void packing::refresh(const executor_map& executors, common::time_point now) {
    if (m_added < min_samples || m_added == m_added_computed ||
        (m_added_computed > 0 && now - m_computed_at < refresh_interval)) {
        return;
    }
    m_computed_at = now;
    m_added_computed = m_added;
    std::int64_t largest = 0;
    std::int64_t smallest = INT64_MAX;
    for (const auto& [id, it] : executors) {
        largest = std::max(largest, it->info.capacity.cpu_millis);
        smallest = std::min(smallest, it->info.capacity.cpu_millis);
    }
    compute(largest, smallest);
}

void packing::compute(std::int64_t largest_capacity, std::int64_t smallest_capacity) {
    m_values.clear();
    const auto count = std::min<std::uint64_t>(m_added, max_samples);
    std::int64_t largest = 0;
    for (std::size_t i = 0; i < count; i++) {
        if (m_samples[i].cpu_millis <= largest_capacity) {
            largest = std::max(largest, m_samples[i].cpu_millis);
        }
    }
    if (largest == 0 || largest <= smallest_capacity / small_task_fraction) {
        return;
    }
    m_width = smallest_width;
    while (m_width * entries_of_largest_size < largest) {
        m_width *= 2;
    }
    m_loss_step = std::max<std::int64_t>(largest / loss_steps, 1);
    // The weight of a sample falls linearly with its age.
    std::array<double, entries_of_largest_size + 1> weights{};
    double total = 0;
    for (std::uint64_t age = 0; age < count; age++) {
        const auto& it = m_samples[(m_added - 1 - age) % max_samples];
        if (it.cpu_millis > largest_capacity) {
            continue;
        }
        const double weight =
            it.tasks * (1 - static_cast<double>(age) / static_cast<double>(max_samples));
        // Rounded down, so that tasks that exactly fill an executor together still do.
        weights[std::max<std::int64_t>(it.cpu_millis / m_width, 1)] += weight;
        total += weight;
    }
    std::vector<std::pair<std::int64_t, double>> sizes; // in entries, with their probability
    for (std::int64_t size = 1; size <= entries_of_largest_size; size++) {
        if (weights[size] > 0) {
            sizes.emplace_back(size, weights[size] / total);
        }
    }
    // The next task fits with its probability and leaves the rest for later ones. If it does not
    // fit, the free capacity waits for another one.
    std::vector<double> used(tasks_covered * entries_of_largest_size + 1, 0);
    for (std::int64_t free = 1; free < static_cast<std::int64_t>(used.size()); free++) {
        double fits = 0;
        double sum = 0;
        for (const auto& [size, probability] : sizes) {
            if (size > free) {
                break;
            }
            fits += probability;
            sum += probability * (static_cast<double>(size) + used[free - size]);
        }
        used[free] = sum / (1 - value_after_misfit * (1 - fits));
    }
    m_values.reserve(used.size());
    for (const double it : used) {
        m_values.push_back(static_cast<std::int64_t>(it * static_cast<double>(m_width)));
    }
}

std::int64_t packing::value(std::int64_t free) const {
    if (free <= 0) {
        return 0;
    }
    const auto last = static_cast<std::int64_t>(m_values.size()) - 1;
    const auto entry = std::min(free / m_width, last);
    return m_values[entry] + std::max<std::int64_t>(free - last * m_width, 0);
}

std::int64_t packing::loss(std::int64_t free, std::int64_t size) const {
    if (!is_known()) {
        return 0;
    }
    const auto lost = value(free) - value(free - size) - size;
    // Rounds towards the next lower step also below 0.
    return (lost >= 0 ? lost : lost - m_loss_step + 1) / m_loss_step;
}

} // namespace savorytrail::cell
