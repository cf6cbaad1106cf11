// Definitions of the scenarios and their deployments.
#include "benchmarks/measure/scenario.h"

namespace savorytrail::measure {
namespace {

using stand_ins::executor_mode;

constexpr double slow_factor = 10;

// Three failure domains with two entries and 17 executors each, the size of the users' deployment.
stand_ins::cluster_plan brana() {
    stand_ins::cluster_plan plan;
    plan.region = "sk-central";
    plan.domains = {{"zilina", 2, 17}, {"banska", 2, 17}, {"martin", 2, 17}};
    return plan;
}

// Four failure domains with two entries and 13 executors each, the size of the users' deployment.
stand_ins::cluster_plan norrsken() {
    stand_ins::cluster_plan plan;
    plan.region = "norrbotten";
    plan.domains = {{"kiruna-a", 2, 13}, {"kiruna-b", 2, 13}, {"lulea", 2, 13}, {"pitea", 2, 13}};
    return plan;
}

load mixed() {
    load it;
    it.tasks = "1..100";
    it.mean_tasks = 50.5;
    it.service_ms = "20..200";
    it.mean_service_ms = 110;
    it.options = {"--expected-error", "10"};
    return it;
}

load burst() {
    load it;
    it.share_of_slots = 7; // ten times the steady load
    it.options = {"--deadline-ms", "3000", "--attempts", "1"};
    return it;
}

load resubmitted() {
    load it;
    it.options = {"--resubmit", "3"};
    return it;
}

load cancelled() {
    load it;
    it.options = {"--cancel-share", "0.5"};
    return it;
}

} // namespace

std::vector<scenario> all_scenarios() {
    return {
        {"steady", "brana", brana(), {}, {}},
        {"steady", "norrsken", norrsken(), {}, {}},
        {"mixed", "brana", brana(), mixed(), {}},
        {"failing", "brana", brana(), {}, {.mode = executor_mode::fail}},
        {"slow", "brana", brana(), {}, {.mode = executor_mode::slow, .factor = slow_factor}},
        {"burst", "norrsken", norrsken(), burst(), {}},
        {"resubmit", "norrsken", norrsken(), resubmitted(), {}},
        {"cancel", "norrsken", norrsken(), cancelled(), {}},
    };
}

std::size_t slots_of(const scenario& it) {
    std::size_t executors = 0;
    for (const auto& domain : it.plan.domains)
        executors += domain.executors;
    return executors * it.plan.slots;
}

double jobs_per_second(const scenario& it) {
    constexpr double ms_per_second = 1000;
    const double tasks_per_second = static_cast<double>(slots_of(it)) * ms_per_second /
                                    it.offered.mean_service_ms * it.offered.share_of_slots;
    return tasks_per_second / it.offered.mean_tasks;
}

} // namespace savorytrail::measure
