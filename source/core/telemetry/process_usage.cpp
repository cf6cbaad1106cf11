// Reads getrusage(2) and /proc/self/statm.
#include "core/telemetry/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace savorytrail::telemetry {
namespace {

constexpr double microseconds_per_second = 1e6;

double seconds(const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / microseconds_per_second;
}

} // namespace

process_usage read_process_usage() {
    process_usage result;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0)
        result.cpu_seconds = seconds(usage.ru_utime) + seconds(usage.ru_stime);
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    if (file >> total_pages >> resident_pages)
        result.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return result;
}

} // namespace savorytrail::telemetry
