// Reads scrapes for the burn report.
#include "core/report/counters.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>

namespace savorytrail::report {
namespace {

constexpr const char* response_ratio_metric = "savory_response_over_ideal_ratio";

// Caused by callers, not by the system.
constexpr std::array<std::string_view, 6> s_caller_reasons = {
    "cancelled",      "unknown_team", "unknown_upstream",
    "quota_exceeded", "id_expired",   "never_submitted"};

constexpr std::array<std::string_view, 2> s_unknown_outcome_reasons = {"task_unknown", "home_dead"};

template <class List>
bool contains(const List& list, std::string_view it) {
    return std::find(list.begin(), list.end(), it) != list.end();
}

std::string label(const telemetry::sample& sample, const char* name) {
    const auto it = sample.labels.find(name);
    return it == sample.labels.end() ? "" : it->second;
}

void read_answer(const telemetry::sample& it, counters& out) {
    const std::string state = label(it, "state");
    const std::string reason = label(it, "reason");
    if (state == "complete") {
        out.complete += it.value;
        return;
    }
    if (contains(s_caller_reasons, reason)) {
        out.excluded += it.value;
        return;
    }
    out.lost += it.value;
    out.lost_by_reason[reason] += it.value;
    if (contains(s_unknown_outcome_reasons, reason))
        out.unknown += it.value;
}

double counter_increase(double before, double after) {
    return after >= before ? after - before : after;
}

} // namespace

counters& counters::operator+=(const counters& other) {
    responses += other.responses;
    fast_responses += other.fast_responses;
    complete += other.complete;
    lost += other.lost;
    excluded += other.excluded;
    unknown += other.unknown;
    for (const auto& [reason, n] : other.lost_by_reason)
        lost_by_reason[reason] += n;
    return *this;
}

counters read_counters(const telemetry::scrape& from, double response_bound) {
    counters result;
    for (const auto& it : from.samples) {
        if (it.name == "savory_answers_total")
            read_answer(it, result);
        else if (it.name == std::string(response_ratio_metric) + "_count")
            result.responses += it.value;
        else if (it.name == std::string(response_ratio_metric) + "_bucket" &&
                 std::strtod(label(it, "le").c_str(), nullptr) <= response_bound)
            result.fast_responses = std::max(result.fast_responses, it.value); // cumulative
    }
    return result;
}

counters increase(const counters& before, const counters& after) {
    const bool is_restarted = after.complete + after.lost + after.excluded <
                                  before.complete + before.lost + before.excluded ||
                              after.responses < before.responses;
    const counters baseline = is_restarted ? counters{} : before;
    counters result;
    result.responses = counter_increase(baseline.responses, after.responses);
    result.fast_responses = counter_increase(baseline.fast_responses, after.fast_responses);
    result.complete = counter_increase(baseline.complete, after.complete);
    result.lost = counter_increase(baseline.lost, after.lost);
    result.excluded = counter_increase(baseline.excluded, after.excluded);
    result.unknown = counter_increase(baseline.unknown, after.unknown);
    for (const auto& [reason, n] : after.lost_by_reason) {
        const auto it = baseline.lost_by_reason.find(reason);
        const double n_added =
            counter_increase(it == baseline.lost_by_reason.end() ? 0 : it->second, n);
        if (n_added > 0)
            result.lost_by_reason[reason] = n_added;
    }
    return result;
}

bool read_objectives(const telemetry::scrape& from, manifest::objectives& out) {
    bool is_found = false;
    for (const auto& it : from.samples) {
        if (it.name != "savory_objective_ratio")
            continue;
        is_found = true;
        const std::string objective = label(it, "objective");
        if (objective == "response_over_ideal")
            out.response_over_ideal = it.value;
        else if (objective == "response_share")
            out.response_share = it.value;
        else if (objective == "availability")
            out.availability = it.value;
    }
    return is_found;
}

std::vector<counters> increases(const std::vector<point>& points) {
    std::vector<counters> result;
    std::map<std::string, counters> last;
    for (std::size_t i = 0; i < points.size(); i++) {
        counters sum;
        for (const auto& [entry, now] : points[i].entries) {
            sum += increase(last[entry], now);
            last[entry] = now;
        }
        if (i > 0)
            result.push_back(std::move(sum));
    }
    return result;
}

} // namespace savorytrail::report
