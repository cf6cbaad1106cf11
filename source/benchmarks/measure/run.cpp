// Starts the cluster and its load, and collects the measurements.
#include "benchmarks/measure/run.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "benchmarks/measure/usage.h"
#include "stand_ins/cluster/cluster.h"
#include "stand_ins/cluster/process.h"

namespace savorytrail::measure {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds callers_bound{120};

std::string urls_of(const stand_ins::cluster& cluster) {
    std::string urls;
    for (const auto& it : cluster.entries())
        urls += (urls.empty() ? "" : ",") + ("http://" + it.callers.to_string());
    return urls;
}

std::vector<std::string> caller_arguments(const scenario& it, const run_options& options,
                                          const stand_ins::cluster& cluster) {
    std::vector<std::string> arguments = {"--entries", urls_of(cluster),
                                          "--rate",    std::to_string(jobs_per_second(it)),
                                          "--seconds", std::to_string(options.seconds),
                                          "--warm-up", std::to_string(options.warm_up_seconds),
                                          "--seed",    std::to_string(options.seed),
                                          "--tasks",   it.offered.tasks,
                                          "--ms",      it.offered.service_ms};
    arguments.insert(arguments.end(), it.offered.options.begin(), it.offered.options.end());
    return arguments;
}

bool set_faults(stand_ins::cluster& cluster, const scenario& it) {
    constexpr std::size_t faulty_interval = 10;
    if (it.fault == stand_ins::executor_behaviour{})
        return true;
    for (std::size_t i = 0; i < cluster.executors().size(); i += faulty_interval) {
        if (cluster.set_executor_behaviour(i, it.fault))
            return false;
    }
    return true;
}

struct snapshot : fleet_usage {
    std::uint64_t starts = 0;
    std::uint64_t duplicate_starts = 0; // tasks that were started more than once
};

snapshot observe(stand_ins::cluster& cluster) {
    snapshot it{read_fleet(cluster), 0, 0};
    if (const auto starts = cluster.read_starts()) {
        it.starts = starts.value().total;
        it.duplicate_starts = static_cast<std::uint64_t>(
            std::count_if(starts.value().tasks.begin(), starts.value().tasks.end(),
                          [](const auto& task) { return task.second > 1; }));
    }
    return it;
}

json entry_usage(const snapshot& before, const snapshot& after, double seconds) {
    double most_cpu = 0;
    double most_mb = 0;
    for (std::size_t i = 0; i < after.entries.size(); i++) {
        const double cpu = after.entries[i].cpu_seconds - before.entries[i].cpu_seconds;
        most_cpu = std::max(most_cpu, cpu / seconds);
        most_mb = std::max(most_mb, after.entries[i].resident_mb);
    }
    return {{"most_cores", most_cpu}, {"most_resident_mb", most_mb}};
}

json messages_per_task(const snapshot& before, const snapshot& after) {
    json by_kind = json::object();
    const auto tasks =
        static_cast<double>(std::max<std::uint64_t>(after.starts - before.starts, 1));
    double sum = 0;
    for (const auto& [kind, count] : after.messages) {
        const auto earlier = before.messages.find(kind);
        // Entries count requests only; each has one response, except heartbeats, which have none.
        const double messages = kind == "{kind=\"heartbeat\"}" ? 1 : 2;
        const double n =
            messages * (count - (earlier == before.messages.end() ? 0 : earlier->second));
        by_kind[kind] = n / tasks;
        sum += n / tasks;
    }
    return {{"by_kind", by_kind}, {"sum", sum}};
}

// The work of complete jobs as a share of the capacity of all slots in the measured period. Jobs
// admitted in the period count even if they ended after it.
double goodput_over_slots(const scenario& it, const run_options& options, const json& report) {
    constexpr double ms_per_second = 1000;
    const double complete = report["states"]["complete"].get<double>();
    const double work_ms = complete * it.offered.mean_tasks * it.offered.mean_service_ms;
    return work_ms / (static_cast<double>(slots_of(it)) * options.seconds * ms_per_second);
}

} // namespace

std::optional<json> run(const scenario& it, const run_options& options) {
    auto plan = it.plan;
    plan.settings["dispatch.policy"] = '"' + options.policy + '"';
    stand_ins::cluster cluster(plan);
    if (const auto ec = cluster.start()) {
        std::cerr << "savory_measure: the cluster did not start: " << ec.message() << "\n";
        return std::nullopt;
    }
    if (!set_faults(cluster, it))
        return std::nullopt;

    const auto before = observe(cluster);
    const auto start = std::chrono::steady_clock::now();
    stand_ins::process callers({"stand_in_callers", caller_arguments(it, options, cluster),
                                cluster.folder() / "callers.err"});
    if (callers.spawn())
        return std::nullopt;
    const json report = json::parse(callers.read_output(), nullptr, false);
    const auto exit_code = callers.wait_for_exit(callers_bound);
    if (!report.is_object() || !exit_code) {
        std::cerr << "savory_measure: the callers printed no report: "
                  << callers.read_error_output();
        return std::nullopt;
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const auto after = observe(cluster);

    return json{{"scenario", it.name},
                {"deployment", it.deployment},
                {"policy", options.policy},
                {"seed", options.seed},
                {"slots", slots_of(it)},
                {"answers_sound", *exit_code == 0},
                {"goodput_over_slots", goodput_over_slots(it, options, report)},
                {"double_starts", after.duplicate_starts},
                {"starts", after.starts - before.starts},
                {"messages_per_task", messages_per_task(before, after)},
                {"entries", entry_usage(before, after, elapsed.count())},
                {"callers", report}};
}

} // namespace savorytrail::measure
