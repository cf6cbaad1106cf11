// Parser for the Prometheus text format 0.0.4.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorytrail::telemetry {

struct sample {
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;

    bool operator==(const sample&) const = default;
};

struct scrape {
    std::map<std::string, std::string> types; // of each family, from its TYPE line
    std::vector<sample> samples;              // in the text's order

    bool operator==(const scrape&) const = default;
};

// nullopt when a line cannot be parsed.
std::optional<scrape> parse_scrape(std::string_view text);

} // namespace savorytrail::telemetry
