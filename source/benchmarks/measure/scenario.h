// The scenarios that savory_measure runs: a deployment, its faults, and its load.
#pragma once

#include <string>
#include <vector>

#include "stand_ins/cluster/plan.h"
#include "stand_ins/executor/executor.h"

namespace savorytrail::measure {

struct load {
    double share_of_slots = 0.7; // offered work over the slots of all executors
    std::string tasks = "20";    // a job's tasks, N or N..M
    std::string service_ms = "100";
    double mean_tasks = 20;
    double mean_service_ms = 100;
    std::vector<std::string> options; // further ones of stand_in_callers

    bool operator==(const load&) const = default;
};

struct scenario {
    std::string name;
    std::string deployment; // brana or norrsken
    stand_ins::cluster_plan plan;
    load offered;
    // Given to every tenth executor, at least one; normal for none.
    stand_ins::executor_behaviour fault;

    bool operator==(const scenario&) const = default;
};

std::vector<scenario> all_scenarios();

// Slots of all executors.
std::size_t slots_of(const scenario& it);
double jobs_per_second(const scenario& it);

} // namespace savorytrail::measure
