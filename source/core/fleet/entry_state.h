// What an entry tells the others of itself: an identity, which is fixed for an incarnation, and a
// status, which changes from heartbeat to heartbeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::fleet {

// An entry as the platform's table lists it.
struct entry_info {
    std::string name;
    std::string failure_domain;
    std::string host;

    bool operator==(const entry_info&) const = default;
};

struct entry_identity {
    std::string name;
    std::string failure_domain;
    std::string host;
    std::uint64_t incarnation = 0; // Unix time of the process's start, in ms
    std::uint32_t cpu_share_millis = 0;

    bool operator==(const entry_identity&) const = default;
};

struct entry_load {
    std::int64_t capacity_cpu_millis = 0;
    std::int64_t free_cpu_millis = 0;
    std::int64_t backlog_ms = 0;

    bool operator==(const entry_load&) const = default;
};

struct entry_status {
    std::uint64_t sequence = 0; // increases within an incarnation
    bool is_leaving = false;
    bool knows_executors = false; // has read the platform's list of executors
    std::uint64_t configuration_version = 0;
    // Time since this version was last known to be the newest; nullopt when it never was.
    std::optional<common::milliseconds> configuration_age;
    std::uint64_t executor_list_version = 0;
    std::optional<common::milliseconds> executor_list_age; // likewise
    std::uint32_t domain_executors = 0;                    // listed in its failure domain
    // Time since the platform's store last answered; nullopt when it does not follow the store.
    std::optional<common::milliseconds> store_age;
    entry_load load;
    std::vector<std::uint64_t> adopted; // keys of executors held of other failure domains

    bool operator==(const entry_status&) const = default;
};

// A short key of an incarnation, by which news refer to an entry that was introduced before.
std::uint64_t entry_key(const entry_identity& it);
// A short key of an executor's id.
std::uint64_t executor_key(const std::string& id);

} // namespace savorytrail::fleet
