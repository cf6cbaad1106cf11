// Reads /proc/PID/stat and metrics pages.
#include "benchmarks/measure/usage.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "stand_ins/cluster/cluster.h"
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::measure {

usage read_usage(pid_t id) {
    // Field indices in /proc/PID/stat, counted after the program name, which ends at the last ')'.
    constexpr int utime_field = 11;
    constexpr int stime_field = 12;
    constexpr int resident_field = 21;
    constexpr double bytes_per_mb = 1 << 20;

    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(file, line);
    const auto name_end = line.rfind(')');
    if (name_end == std::string::npos)
        return {};
    std::istringstream fields(line.substr(name_end + 1));
    usage it;
    std::string field;
    for (int i = 0; fields >> field; i++) {
        if (i == utime_field || i == stime_field)
            it.cpu_seconds += std::atof(field.c_str()) / static_cast<double>(sysconf(_SC_CLK_TCK));
        if (i == resident_field)
            it.resident_mb = std::atof(field.c_str()) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
                             bytes_per_mb;
    }
    return it;
}

std::map<std::string, double> read_metrics(const common::endpoint& entry) {
    std::map<std::string, double> samples;
    const auto page = stand_ins::call(entry, http::method::get, "/metrics");
    if (!page)
        return samples;
    std::istringstream lines(page.value().body);
    std::string line;
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos)
            continue;
        samples[line.substr(0, space)] = std::atof(line.c_str() + space + 1);
    }
    return samples;
}

fleet_usage read_fleet(stand_ins::cluster& cluster) {
    static const std::string s_messages = "savory_messages_total";
    fleet_usage it;
    for (std::size_t i = 0; i < cluster.entries().size(); i++) {
        it.entries.push_back(read_usage(cluster.entry_process(i).pid()));
        for (const auto& [name, value] : read_metrics(cluster.entries()[i].callers)) {
            if (name.starts_with(s_messages))
                it.messages[name.substr(s_messages.size())] += value;
        }
    }
    return it;
}

} // namespace savorytrail::measure
