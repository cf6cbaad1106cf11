#include "core/gateway/target_choice.h"

#include <algorithm>

namespace savorytrail::gateway {
namespace {

// A job leaves its failure domain only if it is expected to start this much earlier elsewhere.
constexpr double other_domain_cost_ms = 25;

double expected_wait_ms(const work::job& job, const target& it) {
    const auto capacity = static_cast<double>(it.load.capacity_cpu_millis);
    if (capacity <= 0) {
        return 1e9;
    }
    std::int64_t first_step = 0;
    for (const auto& step : job.steps) {
        if (step.depends_on.empty()) {
            first_step += step.tasks * step.task_resources.cpu_millis;
        }
    }
    const auto free = static_cast<double>(it.load.free_cpu_millis - it.sent_since_heartbeat);
    const auto missing = std::max(0.0, static_cast<double>(first_step) - free);
    // Capacity becomes free at a rate of about the total capacity per duration of a typical task.
    const auto typical_ms =
        static_cast<double>(std::max<std::int64_t>(job.critical_path_length().count(), 100));
    return static_cast<double>(it.load.backlog_ms) + missing / capacity * typical_ms;
}

} // namespace

std::optional<std::size_t> choose_target(const work::job& job, const std::vector<target>& targets) {
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < targets.size(); i++) {
        const auto& it = targets[i];
        const double cost =
            expected_wait_ms(job, it) + (it.is_in_own_domain ? 0 : other_domain_cost_ms);
        if (!best || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace savorytrail::gateway
