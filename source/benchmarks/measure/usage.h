// Resource usage of processes as counted by the kernel, and samples of their metrics pages.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "core/common/endpoint.h"

namespace savorytrail::stand_ins {
class cluster;
}

namespace savorytrail::measure {

struct usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
};

usage read_usage(pid_t id);

// Samples of the entry's Prometheus page, keyed by name with labels.
std::map<std::string, double> read_metrics(const common::endpoint& entry);

struct fleet_usage {
    std::vector<usage> entries;
    std::map<std::string, double> messages; // by kind, summed over all entries
};

fleet_usage read_fleet(stand_ins::cluster& cluster);

} // namespace savorytrail::measure
