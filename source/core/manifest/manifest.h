// Value types of the manifest: teams, upstreams with their executors, and service-level objectives.
#pragma once

#include <boost/outcome/std_result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/settings/problem.h"

namespace savorytrail::manifest {

struct team {
    std::string name;
    std::uint32_t max_tasks_per_second = 0; // over the whole fleet; 0 means no limit

    bool operator==(const team&) const = default;
};

struct executor {
    std::string name; // unique over all upstreams
    std::string failure_domain;
    std::string vm;           // VM it runs on, as named in the live list; never empty
    common::endpoint address; // unique over all upstreams
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    bool operator==(const executor&) const = default;
};

struct upstream {
    std::string name;
    common::milliseconds task_timeout{0};
    int not_accepted_status = 0;     // 0 when executors use no such status
    std::vector<executor> executors; // at least one

    bool operator==(const upstream&) const = default;
};

struct objectives {
    double response_over_ideal = 0;
    double response_share = 0;
    double availability = 0;

    bool operator==(const objectives&) const = default;
};

struct manifest {
    std::vector<team> teams;
    std::vector<upstream> upstreams;
    struct objectives objectives;

    bool operator==(const manifest&) const = default;

    // Return null when no element has the name.
    const team* find_team(std::string_view name) const;
    const upstream* find_upstream(std::string_view name) const;
};

// A manifest with the version of its row in the platform's table.
struct versioned_manifest {
    std::uint64_t version = 0;
    std::string text; // as the operator wrote it
    manifest value;

    bool operator==(const versioned_manifest&) const = default;
};

using parse_result =
    boost::outcome_v2::std_result<manifest, std::vector<savorytrail::settings::problem>>;

// Parses TOML. `file_name` is shown in problems.
parse_result parse(const std::string& text, const std::string& file_name = "manifest");

} // namespace savorytrail::manifest
