// Configuration of a cluster, and the settings and manifest files generated from it.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"

namespace savorytrail::stand_ins {

struct domain_plan {
    std::string name;
    std::size_t entries = 2;
    std::size_t executors = 2;

    bool operator==(const domain_plan&) const = default;
};

struct cluster_plan {
    std::string region = "sk-central";
    std::vector<domain_plan> domains;
    unsigned slots = 8;
    unsigned connections = 60;
    bool executors_behind_proxy = false; // the manifest then has the proxy's addresses
    common::milliseconds list_lag{0};
    // Settings of every entry besides its names and addresses: "section.key" to a TOML value.
    std::map<std::string, std::string> settings;

    bool operator==(const cluster_plan&) const = default;
};

struct entry_identity {
    std::string name;
    std::string failure_domain;
    std::string region;
    common::endpoint callers;
    common::endpoint peers;
    common::endpoint platform; // address that this entry connects to

    bool operator==(const entry_identity&) const = default;
};

struct executor_identity {
    std::string name; // also the name of its VM
    std::string failure_domain;
    common::endpoint address;
    common::endpoint published; // address in the manifest

    bool operator==(const executor_identity&) const = default;
};

// Generates an entry's settings file.
std::string settings_text(const entry_identity& entry,
                          const std::map<std::string, std::string>& settings);

// Options of a manifest with one team and one upstream. `team_lines` and `upstream_lines` are
// further TOML lines of the team and upstream tables.
struct manifest_options {
    std::string team = "brana";
    std::string team_lines;
    std::string upstream = "booking";
    std::string upstream_lines;
    unsigned slots = 8;
    unsigned connections = 60;

    bool operator==(const manifest_options&) const = default;
};
std::string manifest_text(const manifest_options& options,
                          const std::vector<executor_identity>& executors);

} // namespace savorytrail::stand_ins
