#include "core/gateway/target_choice.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace savorytrail::gateway {
namespace {

// A job leaves its failure domain only if it is expected to start this much earlier elsewhere.
constexpr double other_domain_cost_ms = 25;
// Waits that differ by less are as good as equal: the loads they follow from are older than that.
constexpr double equal_wait_ms = 5;
// Number of cells that a job is offered to before it is refused...
constexpr int max_offers = 3;
// ...and while others say that they have room. Each offer costs processor time of both entries.
constexpr int max_offers_with_room = 6;
// Larger tasks are malformed; sums of smaller ones do not overflow.
constexpr std::int64_t max_task_cpu_millis = 1'000'000'000;

std::int64_t free_cpu_millis(const target& it) {
    return it.load.free_cpu_millis - it.sent_since_heartbeat;
}

double expected_wait_ms(const work::job& job, const target& it) {
    const auto capacity = static_cast<double>(it.load.capacity_cpu_millis);
    if (capacity <= 0) {
        return 1e9;
    }
    const auto missing = static_cast<double>(
        std::max<std::int64_t>(0, first_tasks_cpu_millis(job) - free_cpu_millis(it)));
    // Capacity becomes free at a rate of about the total capacity per duration of a typical task.
    const auto typical_ms =
        static_cast<double>(std::max<std::int64_t>(job.critical_path_length().count(), 100));
    return static_cast<double>(it.load.backlog_ms) + missing / capacity * typical_ms;
}

// Chooses an index, each with a probability in proportion to its weight.
std::size_t choose_by_weight(const std::vector<double>& weights, common::random_source& random) {
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    constexpr double steps = 1 << 24;
    double at = static_cast<double>(random.next() % (1 << 24)) / steps * sum;
    for (std::size_t i = 0; i + 1 < weights.size(); i++) {
        at -= weights[i];
        if (at < 0) {
            return i;
        }
    }
    return weights.size() - 1;
}

} // namespace

std::int64_t first_tasks_cpu_millis(const work::job& job) {
    std::int64_t sum = 0;
    for (const auto& step : job.steps) {
        if (step.depends_on.empty()) {
            sum += std::max(step.tasks, 0) *
                   std::clamp<std::int64_t>(step.task_resources.cpu_millis, 0, max_task_cpu_millis);
        }
    }
    return sum;
}

bool has_room(const work::job& job, const target& it) {
    return it.load.capacity_cpu_millis > 0 && first_tasks_cpu_millis(job) <= free_cpu_millis(it);
}

std::vector<target> targets_after_refusal(const work::job& job, const std::vector<target>& targets,
                                          const job_slack& slack, int offers) {
    std::vector<target> with_room;
    std::vector<target> others;
    for (const auto& it : targets) {
        const auto cost = common::milliseconds(
            it.is_in_own_domain ? 0 : static_cast<std::int64_t>(other_domain_cost_ms));
        if (has_room(job, it) && cost <= (offers < max_offers ? slack.useful : slack.on_time)) {
            with_room.push_back(it);
        } else if (it.load.backlog_ms <= slack.useful.count()) {
            others.push_back(it);
        }
    }
    if (!with_room.empty() && offers < max_offers_with_room) {
        return with_room;
    }
    return offers < max_offers ? others : std::vector<target>{};
}

std::vector<rated_target> rate_targets(const work::job& job, const std::vector<target>& targets) {
    std::vector<rated_target> rated;
    rated.reserve(targets.size());
    double lowest = std::numeric_limits<double>::max();
    for (const auto& it : targets) {
        const double cost =
            expected_wait_ms(job, it) + (it.is_in_own_domain ? 0 : other_domain_cost_ms);
        rated.push_back({cost, 0});
        lowest = std::min(lowest, cost);
    }
    for (std::size_t i = 0; i < targets.size(); i++) {
        if (rated[i].cost_ms <= lowest + equal_wait_ms) {
            rated[i].weight =
                static_cast<double>(std::max<std::int64_t>(free_cpu_millis(targets[i]), 1));
        }
    }
    return rated;
}

std::optional<std::size_t> choose_target(const work::job& job, const std::vector<target>& targets,
                                         common::random_source& random) {
    if (targets.empty()) {
        return std::nullopt;
    }
    const auto rated = rate_targets(job, targets);
    std::vector<std::size_t> best;
    std::vector<double> weights;
    for (std::size_t i = 0; i < rated.size(); i++) {
        if (rated[i].weight > 0) {
            best.push_back(i);
            weights.push_back(rated[i].weight);
        }
    }
    return best[choose_by_weight(weights, random)];
}

} // namespace savorytrail::gateway
