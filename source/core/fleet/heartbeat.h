// The heartbeat that an entry sends to the other entries several times a second: its state and
// load, which entries it receives heartbeats from, and which executors it holds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::fleet {

struct entry_info {
    std::string name;
    std::string failure_domain;
    std::string host;

    bool operator==(const entry_info&) const = default;
};

struct entry_load {
    std::int64_t capacity_cpu_millis = 0;
    std::int64_t free_cpu_millis = 0;
    std::int64_t backlog_ms = 0;

    bool operator==(const entry_load&) const = default;
};

struct heartbeat {
    std::string name;
    std::string failure_domain;
    std::uint64_t incarnation = 0; // Unix time of the process's start, in ms
    std::uint64_t sequence = 0;    // increases within an incarnation
    bool is_leaving = false;
    bool knows_executors = false; // has read the platform's list of executors
    std::uint64_t configuration_version = 0;
    std::uint32_t cpu_share_millis = 0;
    entry_load load;
    std::vector<std::string> held;                     // executors of its own failure domain
    std::vector<std::string> adopted;                  // executors held of other failure domains
    std::map<std::string, common::milliseconds> heard; // time since the last heartbeat, by entry
    std::vector<entry_info> known;

    bool operator==(const heartbeat&) const = default;
};

std::string encode(const heartbeat& it);
std::optional<heartbeat> decode_heartbeat(const std::string& bytes);

} // namespace savorytrail::fleet
