// Writes the gauges of the home, the queues, the manifest and the process.
#include "core/entry/gauges.h"

#include "core/telemetry/process_usage.h"

namespace savorytrail::entry {
namespace {

using telemetry::exposition;
using telemetry::metric_kind;

void write_queues(const std::vector<dispatch::queue_status>& queues, const char* name,
                  const char* help, std::size_t dispatch::queue_status::*value, exposition& out) {
    out.begin(name, help, metric_kind::gauge);
    for (const auto& it : queues)
        out.sample(name, telemetry::format_labels({{"upstream", it.upstream}}),
                   static_cast<double>(it.*value));
}

void write_objectives(const manifest::objectives& it, exposition& out) {
    constexpr const char* name = "savory_objective_ratio";
    const auto sample = [&out](const char* objective, double value) {
        out.sample(name, telemetry::format_labels({{"objective", objective}}), value);
    };
    out.begin(name, "Objectives of the manifest in force.", metric_kind::gauge);
    sample("response_over_ideal", it.response_over_ideal);
    sample("response_share", it.response_share);
    sample("availability", it.availability);
}

} // namespace

void write_gauges(const gauge_values& values, exposition& out) {
    const auto gauge = [&out](const char* name, const char* help, auto value) {
        out.single(name, help, metric_kind::gauge, static_cast<double>(value));
    };
    gauge("savory_remembered_submissions", "Submissions remembered.", values.remembered.records);
    gauge("savory_remembered_bytes", "Bytes held by remembered submissions.",
          values.remembered.bytes);
    gauge("savory_open_submissions", "Submissions without a final answer.", values.remembered.open);
    gauge("savory_tasks_in_flight", "Requests out at executors.", values.tasks_in_flight);
    gauge("savory_configuration_version", "Version of the manifest in force.",
          values.configuration_version);
    write_queues(values.queues, "savory_queued_tasks", "Tasks that wait for a slot.",
                 &dispatch::queue_status::queued_tasks, out);
    write_queues(values.queues, "savory_running_tasks", "Slots in use.",
                 &dispatch::queue_status::running_tasks, out);
    write_queues(values.queues, "savory_slots", "Slots that this entry may use.",
                 &dispatch::queue_status::slots, out);
    write_queues(values.queues, "savory_ejected_executors",
                 "Executors that get no work but probes.",
                 &dispatch::queue_status::ejected_executors, out);
    if (values.objectives != nullptr)
        write_objectives(*values.objectives, out);
    const auto usage = telemetry::read_process_usage();
    out.single("process_cpu_seconds_total", "User and system time.", metric_kind::counter,
               usage.cpu_seconds);
    gauge("process_resident_memory_bytes", "Resident memory.", usage.resident_bytes);
}

} // namespace savorytrail::entry
