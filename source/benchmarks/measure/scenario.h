// Scenarios of savory_measure: a deployment with its executor faults and its load.
#pragma once

#include <string>
#include <vector>

#include "stand_ins/cluster/plan.h"
#include "stand_ins/executor/executor.h"

namespace savorytrail::measure {

struct load {
    double share_of_slots = 0.7; // offered work as a share of all slots
    std::string tasks = "20";    // tasks per job, N or N..M
    std::string service_ms = "100";
    double mean_tasks = 20;
    double mean_service_ms = 100;
    std::vector<std::string> options; // additional stand_in_callers arguments

    bool operator==(const load&) const = default;
};

struct scenario {
    std::string name;
    std::string deployment; // brana or norrsken
    stand_ins::cluster_plan plan;
    load offered;
    // Applied to every tenth executor and at least one; the default applies no fault.
    stand_ins::executor_behaviour fault;

    bool operator==(const scenario&) const = default;
};

std::vector<scenario> all_scenarios();

// Total number of slots of all executors.
std::size_t slots_of(const scenario& it);
double jobs_per_second(const scenario& it);

} // namespace savorytrail::measure
