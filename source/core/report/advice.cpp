// Recommendations for each objective and for the most frequent reasons of lost answers.
#include "core/report/advice.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "core/telemetry/exposition.h"

namespace savorytrail::report {
namespace {

constexpr std::size_t max_reasons = 3;

constexpr std::array<std::pair<std::string_view, std::string_view>, 12> s_advice_by_reason = {{
    {"deadline_passed", "compare savory_queued_tasks with savory_slots; add executors or slots"},
    {"deadline_unreachable",
     "deadlines are shorter than the wait in the queue; add executors or slots"},
    {"queue_full", "a burst exceeds the queue; add executors or raise dispatch.max_queued_tasks"},
    {"no_executors", "no executor is usable; check the live list and the manifest's addresses"},
    {"task_failed", "an upstream answers with server errors; look at its executors' own logs"},
    {"task_unknown",
     "executors drop connections or exceed task_timeout_ms; run savoryctl explain JOB"},
    {"home_dead", "entries were lost; check the VMs that the live list shows as gone"},
    {"home_unreachable", "entries cannot reach each other; check the network between domains"},
    {"memory_full", "raise submissions.max_remembered or max_kept_bytes, or add entries"},
    {"not_configured", "entries run without a manifest; check savoryctl status and the platform"},
    {"stopping", "planned stops: have the load balancer follow /readyz before a VM is stopped"},
    {"store_unavailable",
     "the platform's table is unavailable; submissions under ids do not need it"},
}};

std::string advice_for(const std::string& reason) {
    for (const auto& [name, advice] : s_advice_by_reason) {
        if (name == reason)
            return std::string(advice);
    }
    return "run savoryctl explain JOB for one of these submissions";
}

std::vector<std::string> advise_availability(const burn_report& report) {
    std::vector<std::pair<double, std::string>> reasons;
    for (const auto& [reason, n] : report.total.lost_by_reason)
        reasons.emplace_back(n, reason);
    std::sort(reasons.rbegin(), reasons.rend());
    reasons.resize(std::min(reasons.size(), max_reasons));
    std::vector<std::string> advice;
    advice.reserve(reasons.size());
    for (const auto& [n, reason] : reasons)
        advice.push_back(telemetry::format_number(n) + " answers " + reason + ": " +
                         advice_for(reason));
    return advice;
}

} // namespace

std::vector<std::string> advise(const burn_report& report, const objective_burn& burn) {
    if (burn.name == "availability")
        return advise_availability(report);
    return {
        "savory_queued_tasks above 0: tasks wait for slots; add executors or slots",
        "savory_queued_tasks at 0: individual tasks wait for slow executors; run savoryctl explain "
        "JOB on a slow job and compare its task_ended events",
        "savory_tasks_total{end=\"not_started\"} grows: executors are unreachable or refuse; "
        "check savoryctl status"};
}

} // namespace savorytrail::report
