// Simulates the dispatcher's decisions and prints one JSON line per scenario and policy. All
// policies of a scenario receive the same jobs, and the same seed gives the same figures.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "benchmarks/simulation.h"

namespace {

using namespace savorytrail::benchmarks;

struct experiment {
    scenario settings;
    std::vector<policy> policies;
};

double quantile(const std::vector<double>& sorted, double share) {
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * double(sorted.size() - 1));
    return sorted[index];
}

void print(const scenario& settings, const policy& chosen, measurement it) {
    std::sort(it.stretch.begin(), it.stretch.end());
    const double slots = double(settings.executors) * settings.slots;
    nlohmann::ordered_json line;
    line["scenario"] = settings.name;
    line["policy"] = chosen.name;
    line["seed"] = settings.seed;
    line["jobs"] = it.jobs;
    line["p50"] = quantile(it.stretch, 0.5);
    line["p95"] = quantile(it.stretch, 0.95);
    line["p99"] = quantile(it.stretch, 0.99);
    line["max"] = quantile(it.stretch, 1);
    line["failed"] = it.failed_jobs;
    line["refused"] = it.refused_jobs;
    line["late"] = it.late_jobs;
    line["mean_wait_ms"] = it.total_wait_ms / double(std::max<std::size_t>(it.starts, 1));
    line["goodput_over_slots"] = it.useful_work_ms / (slots * double(settings.time_limit.count()));
    if (settings.burst_load > 0)
        line["burst_goodput_over_slots"] =
            it.burst_work_ms / (slots * double(settings.time_limit.count()) / 3);
    line["overfilled_share"] = double(it.queued_starts) / double(it.starts);
    line["messages_per_task"] =
        2 + double(it.control_messages + 2 * it.retries) / double(it.starts);
    std::cout << line.dump() << std::endl;
}

std::vector<experiment> experiments() {
    scenario order;
    order.name = "order_of_mixed_jobs";
    order.entries = 1;
    order.executors = 16;
    order.load = 0.9;
    order.smallest_job = 1;
    order.largest_job = 1000;
    order.time_limit = milliseconds(1800000);
    scenario deadlines = order;
    deadlines.name = "order_under_deadlines";
    deadlines.deadline_over_ideal = 8;
    const std::vector<policy> orders = {
        {"arrival", "fifo"},
        {"earliest_deadline", "deadline"},
        {"remaining", "remaining"},
        {"standard", "standard"},
        {"standard_declared_times", "standard", placement_mode::partition, false}};

    scenario healthy;
    healthy.name = "healthy";
    scenario failing = healthy;
    failing.name = "one_in_ten_fails_everything";
    failing.failing_executors = healthy.executors / 10;
    failing.fault_start = milliseconds(10000);
    scenario slow = healthy;
    slow.name = "one_in_ten_is_ten_times_slower";
    slow.slow_executors = healthy.executors / 10;
    slow.fault_start = milliseconds(10000);
    scenario refusing = healthy;
    refusing.name = "one_in_ten_refuses_connections";
    refusing.refusing_executors = healthy.executors / 10;
    refusing.fault_start = milliseconds(10000);
    const std::vector<policy> ejections = {{"no_ejection", "no_ejection", placement_mode::loans},
                                           {"standard", "standard", placement_mode::loans}};

    scenario burst = healthy;
    burst.name = "ten_fold_burst";
    burst.entries = 1;
    burst.burst_load = 7;
    burst.deadline_over_ideal = 20;
    const std::vector<policy> admissions = {{"arrival_no_admission", "fifo_no_admission"},
                                            {"no_admission", "no_admission"},
                                            {"earliest_deadline", "deadline"},
                                            {"standard", "standard"}};
    scenario placement = healthy;
    placement.name = "placement_of_20_task_jobs";
    placement.time_limit = milliseconds(300000);
    const std::vector<policy> placements = {
        {"random_over_all", "random", placement_mode::independent},
        {"least_outstanding_over_all", "standard", placement_mode::independent},
        {"partition", "standard", placement_mode::partition},
        {"partition_with_loans", "standard", placement_mode::loans}};
    return {{placement, placements}, {order, orders},   {deadlines, orders},   {healthy, ejections},
            {failing, ejections},    {slow, ejections}, {refusing, ejections}, {burst, admissions}};
}

savorytrail::dispatch::job_descriptor one_task_job(std::uint64_t sequence, time_point now) {
    savorytrail::dispatch::job_descriptor it;
    it.id.sequence = sequence;
    it.upstream = "u";
    it.arrived = now;
    it.deadline = now + std::chrono::hours(1);
    it.expected.assign(1, milliseconds(100));
    return it;
}

// Measures the time per refusal while the queue is full, and per cancellation while all queued jobs
// are cancelled. Unlike the scenarios' figures, these vary between runs.
void print_decision_times(std::size_t queued) {
    using clock = std::chrono::steady_clock;
    const time_point now = clock::now();
    savorytrail::dispatch::dispatcher dispatcher("standard", {queued});
    std::vector<savorytrail::dispatch::task_start> starts;
    savorytrail::manifest::executor executor;
    executor.name = "e";
    dispatcher.set_executors("u", {{executor, 1}}, now, starts);
    for (std::size_t i = 0; i <= queued; i++)
        dispatcher.submit(one_task_job(i, now), now, starts);

    constexpr std::size_t refusals = 10000;
    std::size_t refused = 0;
    const auto before_refusals = clock::now();
    for (std::size_t i = 0; i < refusals; i++)
        refused +=
            dispatcher.submit(one_task_job(queued + 1, now), now, starts).is_accepted ? 0 : 1;
    const auto before_wave = clock::now();
    for (std::size_t i = 0; i <= queued; i++)
        dispatcher.cancel("u", one_task_job(i, now).id);
    const auto end = clock::now();

    const std::chrono::duration<double, std::micro> refusing = before_wave - before_refusals;
    const std::chrono::duration<double, std::micro> cancelling = end - before_wave;
    nlohmann::ordered_json line;
    line["scenario"] = "decision_times";
    line["queued_jobs"] = queued;
    line["refused"] = refused;
    line["us_per_refusal"] = refusing.count() / refusals;
    line["us_per_cancellation"] = cancelling.count() / double(queued);
    std::cout << line.dump() << std::endl;
}

} // namespace

// Arguments: names of the scenarios to run; without arguments, all run.
int main(int argc, char** argv) {
    const std::vector<std::string> names(argv + 1, argv + argc);
    for (const auto& it : experiments()) {
        if (!names.empty() &&
            std::find(names.begin(), names.end(), it.settings.name) == names.end())
            continue;
        for (const auto& chosen : it.policies)
            print(it.settings, chosen, simulation(it.settings, chosen).run());
    }
    if (names.empty() || std::find(names.begin(), names.end(), "decision_times") != names.end()) {
        for (const std::size_t queued : {1000, 10000, 20000})
            print_decision_times(queued);
    }
    return 0;
}
