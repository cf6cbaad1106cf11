#include "core/cell/run_outcome.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace savorytrail::cell {
namespace {

constexpr std::size_t max_described_runs = 8;

} // namespace

std::string_view to_string(loss_cause it) {
    switch (it) {
    case loss_cause::none:
        return "none";
    case loss_cause::executor_crashed:
        return "executor_crashed";
    case loss_cause::executor_restarted:
        return "executor_restarted";
    case loss_cause::lease_expired:
        return "lease_expired";
    case loss_cause::vanished:
        return "vanished";
    case loss_cause::ended_by_executor:
        return "ended_by_executor";
    }
    return "unknown";
}

std::string describe(const executor_crash& it) {
    auto text =
        absl::StrCat("process started at ", it.start_time_ms, ", ", it.runs.size(), " runs");
    const auto shown = std::min(it.runs.size(), max_described_runs);
    for (std::size_t i = 0; i < shown; i++) {
        const auto& [run, age, was_isolated] = it.runs[i];
        absl::StrAppend(&text, i == 0 ? ": " : ", ", run.task.job, " step ", run.task.step,
                        " task ", run.task.index, " run ", run.number, " for ", age.count(), " ms",
                        was_isolated ? " isolated" : "");
    }
    return text;
}

} // namespace savorytrail::cell
