// State beside membership that entries share by their heartbeats: what an operator has drained, and
// what cells have learnt about executors and tasks. Any part may be absent, old or wrong.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::fleet {

struct drained_domain {
    std::string name;
    common::milliseconds known_for{0}; // since the first entry learnt of it

    bool operator==(const drained_domain&) const = default;
};

// The failure domains that are drained as of a version of the platform's store.
struct drain_state {
    std::uint64_t version = 0; // 0: no drain was ever seen
    std::vector<drained_domain> domains;

    bool operator==(const drain_state&) const = default;
};

// The mean speed of the executors of a kind, relative to the others.
struct kind_speed {
    std::uint64_t kind = 0;   // a hash of what identifies the kind
    double log_speed = 0;     // natural logarithm
    std::uint32_t weight = 0; // number of observations

    bool operator==(const kind_speed&) const = default;
};

// Tasks of `kind` take longer beside tasks of `neighbour` on the same executor.
struct interfering_pair {
    std::uint64_t kind = 0; // a hash of the task kind
    std::uint64_t neighbour = 0;
    double log_slowdown = 0;  // natural logarithm
    std::uint32_t weight = 0; // number of observations

    bool operator==(const interfering_pair&) const = default;
};

// Processes of executors that crashed while they ran a task.
struct task_crashes {
    std::uint64_t task = 0;               // a hash of its id
    std::vector<std::uint64_t> executors; // hashes of the processes
    common::milliseconds age{0};          // since the latest crash
    bool is_suspect = false;
    bool is_proven = false;

    bool operator==(const task_crashes&) const = default;
};

struct shared_state {
    drain_state drains;
    std::vector<kind_speed> kind_speeds;
    std::vector<interfering_pair> interference;
    std::vector<task_crashes> crashes;

    bool operator==(const shared_state&) const = default;
};

} // namespace savorytrail::fleet
