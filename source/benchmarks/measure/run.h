// Runs one scenario under one policy on a separate cluster.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "benchmarks/measure/scenario.h"

namespace savorytrail::measure {

struct run_options {
    std::string policy = "standard";
    std::uint64_t seed = 1;
    unsigned seconds = 10;
    unsigned warm_up_seconds = 3;
};

// Returns the result line; nullopt if the cluster or the callers failed.
std::optional<nlohmann::json> run(const scenario& it, const run_options& options);

} // namespace savorytrail::measure
