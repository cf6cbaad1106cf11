// CPU time and memory that this process uses.
#pragma once

#include <cstdint>

namespace savorytrail::telemetry {

struct process_usage {
    double cpu_seconds = 0; // user and system
    std::uint64_t resident_bytes = 0;

    bool operator==(const process_usage&) const = default;
};

process_usage read_process_usage();

} // namespace savorytrail::telemetry
