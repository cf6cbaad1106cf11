// Measures control load by fleet size: idle entries with a manifest and a live list of many
// workers, and the propagation time of configuration changes.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace savorytrail::measure {

struct fleet_size {
    std::size_t domains = 3;
    std::size_t entries_per_domain = 2;
    std::size_t workers = 51; // each with one executor, which receives no tasks
    std::size_t teams = 16;

    bool operator==(const fleet_size&) const = default;
};

struct capacity_options {
    unsigned seconds = 20; // length of the measured idle period
    unsigned changes = 10; // configuration changes that are timed afterwards
};

std::optional<nlohmann::json> measure_capacity(const fleet_size& size,
                                               const capacity_options& options);

} // namespace savorytrail::measure
