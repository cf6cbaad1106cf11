// Queries the status of entries.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/control/environment.h"

namespace savorytrail::control {

// One entry's answer to GET /v1/status.
struct entry_status {
    common::endpoint address;
    std::error_code failure; // set if there was no valid answer; only `address` is set then
    std::string vm;
    std::string failure_domain;
    std::string incarnation;
    bool ready = false;
    std::uint64_t configuration_version = 0;
    std::uint64_t queued_tasks = 0;
    std::uint64_t running_tasks = 0;
    std::string body; // the whole JSON answer, which may have more members

    bool operator==(const entry_status&) const = default;
};

// Queries all entries in parallel; the results are in the order of `entries`.
std::vector<entry_status> query_entries(const std::vector<common::endpoint>& entries,
                                        environment& env);

} // namespace savorytrail::control
