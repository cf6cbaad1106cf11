// Questions to entries about their state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/control/environment.h"

namespace savorytrail::control {

// What one entry says of itself by GET /v1/status.
struct entry_status {
    common::endpoint address;
    std::error_code failure; // set when the entry gave no readable answer; nothing else is known
    std::string vm;
    std::string failure_domain;
    std::string incarnation;
    bool ready = false;
    std::uint64_t configuration_version = 0;
    std::uint64_t queued_tasks = 0;
    std::uint64_t running_tasks = 0;
    std::string body; // the whole answer, which may say more

    bool operator==(const entry_status&) const = default;
};

// Asks all entries at once; the answers are in the order of `entries`.
std::vector<entry_status> query_entries(const std::vector<common::endpoint>& entries,
                                        environment& env);

} // namespace savorytrail::control
