// Runs idle fleets and measures their resource usage and the propagation of changes.
#include "benchmarks/measure/capacity.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "benchmarks/measure/usage.h"
#include "stand_ins/cluster/cluster.h"
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::measure {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds change_bound{60000};
constexpr std::chrono::seconds settling_time{8};

std::string domain_name(std::size_t index) {
    return "domain-" + std::to_string(index);
}

stand_ins::cluster_plan make_plan(const fleet_size& size) {
    stand_ins::cluster_plan plan;
    for (std::size_t i = 0; i < size.domains; i++)
        plan.domains.push_back({domain_name(i), size.entries_per_domain, 0});
    return plan;
}

// The executors' addresses have no listener, since no task is ever submitted.
std::string make_manifest(const fleet_size& size, std::size_t change) {
    std::string text;
    for (std::size_t i = 0; i < size.teams; i++)
        text += "[[teams]]\nname = \"team-" + std::to_string(i) +
                "\"\nmax_tasks_per_second = " + std::to_string(1000 + change) + "\n";
    text += "[[upstreams]]\nname = \"booking\"\n";
    for (std::size_t i = 0; i < size.workers; i++) {
        const auto name = "worker-" + std::to_string(i);
        text += "[[upstreams.executors]]\nname = \"" + name + "\"\nfailure_domain = \"" +
                domain_name(i % size.domains) + "\"\naddress = \"10.0." + std::to_string(i / 250) +
                "." + std::to_string(i % 250 + 1) + ":8000\"\n";
    }
    return text;
}

bool announce_workers(const stand_ins::cluster& cluster, const fleet_size& size) {
    for (std::size_t i = 0; i < size.workers; i++) {
        const auto name = "worker-" + std::to_string(i);
        const json vm = {{"name", name},
                         {"role", "upstream"},
                         {"failure_domain", domain_name(i % size.domains)},
                         {"region", "sk-central"},
                         {"address", "10.0.0.1:1"},
                         {"state", "live"}};
        if (stand_ins::put(cluster.platform(), "/control/vms/" + name, vm.dump()))
            return false;
    }
    return true;
}

struct idle_sample : fleet_usage {
    json platform;
};

idle_sample read(stand_ins::cluster& cluster) {
    idle_sample it{read_fleet(cluster), {}};
    const auto counters =
        stand_ins::call(cluster.platform(), http::method::get, "/control/counters");
    if (counters)
        it.platform = json::parse(counters.value().body, nullptr, false);
    return it;
}

json idle_usage(const idle_sample& before, const idle_sample& after, double seconds) {
    double most_cpu = 0;
    double cpu = 0;
    double most_mb = 0;
    const auto n = static_cast<double>(after.entries.size());
    for (std::size_t i = 0; i < after.entries.size(); i++) {
        const double used = after.entries[i].cpu_seconds - before.entries[i].cpu_seconds;
        cpu += used / seconds / n;
        most_cpu = std::max(most_cpu, used / seconds);
        most_mb = std::max(most_mb, after.entries[i].resident_mb);
    }
    json messages = json::object();
    for (const auto& [kind, count] : after.messages) {
        const auto earlier = before.messages.find(kind);
        messages[kind] =
            (count - (earlier == before.messages.end() ? 0 : earlier->second)) / seconds / n;
    }
    json platform = json::object();
    for (const auto& [name, value] : after.platform.items())
        platform[name] = (value.get<double>() - before.platform.value(name, 0.0)) / seconds;
    return {{"cpu_percent_mean", cpu * 100},
            {"cpu_percent_most", most_cpu * 100},
            {"resident_mb_most", most_mb},
            {"messages_per_entry_per_s", messages},
            {"platform_per_s", platform}};
}

std::uint64_t version_of(const common::endpoint& entry) {
    const auto status = stand_ins::call(entry, http::method::get, "/v1/status");
    if (!status)
        return 0;
    const json it = json::parse(status.value().body, nullptr, false);
    return it.is_object() ? it.value("configuration_version", std::uint64_t{0}) : 0;
}

// Time in ms from the start of `savoryctl apply` until the change is in force on every entry.
std::optional<double> time_change(stand_ins::cluster& cluster, const fleet_size& size,
                                  std::size_t change) {
    const auto before = version_of(cluster.entries().front().callers);
    const auto start = std::chrono::steady_clock::now();
    if (cluster.apply(make_manifest(size, change)) != 0)
        return std::nullopt;
    const bool is_in_force = stand_ins::wait_until(
        [&] {
            return std::all_of(cluster.entries().begin(), cluster.entries().end(),
                               [&](const auto& it) { return version_of(it.callers) > before; });
        },
        change_bound);
    if (!is_in_force)
        return std::nullopt;
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

} // namespace

std::optional<json> measure_capacity(const fleet_size& size, const capacity_options& options) {
    stand_ins::cluster cluster(make_plan(size));
    if (cluster.start(make_manifest(size, 0)) || !announce_workers(cluster, size)) {
        std::cerr << "savory_measure: the fleet did not start\n";
        return std::nullopt;
    }
    std::this_thread::sleep_for(settling_time);
    const auto before = read(cluster);
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    const auto after = read(cluster);

    std::vector<double> change_times_ms;
    for (std::size_t i = 1; i <= options.changes; i++) {
        const auto change_ms = time_change(cluster, size, i);
        if (!change_ms)
            return std::nullopt;
        change_times_ms.push_back(*change_ms);
    }
    std::sort(change_times_ms.begin(), change_times_ms.end());
    return json{{"entries", cluster.entries().size()},
                {"domains", size.domains},
                {"workers", size.workers},
                {"teams", size.teams},
                {"manifest_bytes", make_manifest(size, 0).size()},
                {"rest", idle_usage(before, after, options.seconds)},
                {"change_in_force_ms",
                 {{"median", change_times_ms[change_times_ms.size() / 2]},
                  {"most", change_times_ms.back()}}}};
}

} // namespace savorytrail::measure
