// Control load of a fleet by its size: entries without work, a manifest and a live list of many
// workers, and the spread of configuration changes.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace savorytrail::measure {

struct fleet_size {
    std::size_t domains = 3;
    std::size_t entries_per_domain = 2;
    std::size_t workers = 51; // each with one executor that is never asked
    std::size_t teams = 16;

    bool operator==(const fleet_size&) const = default;
};

struct capacity_options {
    unsigned seconds = 20; // of rest that are measured
    unsigned changes = 10; // of the configuration, afterwards
};

std::optional<nlohmann::json> measure_capacity(const fleet_size& size,
                                               const capacity_options& options);

} // namespace savorytrail::measure
