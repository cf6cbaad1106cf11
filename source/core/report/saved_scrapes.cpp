// Reads and writes saved scrapes.
#include "core/report/saved_scrapes.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace savorytrail::report {

using nlohmann::json;

std::string to_json_line(const saved_scrape& it) {
    const json line = {{"at", it.at}, {"entry", it.entry}, {"metrics", it.metrics}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

common::result<std::vector<saved_scrape>> parse_saved_scrapes(const std::string& text) {
    std::vector<saved_scrape> result;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty())
            continue;
        try {
            const json it = json::parse(line);
            result.push_back({it.at("at").get<double>(), it.at("entry").get<std::string>(),
                              it.at("metrics").get<std::string>()});
        } catch (const json::exception&) {
            return make_error_code(common::error::malformed);
        }
    }
    return result;
}

common::result<std::vector<point>> make_points(const std::vector<saved_scrape>& scrapes,
                                               double response_bound) {
    std::map<double, point> points;
    for (const auto& it : scrapes) {
        const auto scrape = telemetry::parse_scrape(it.metrics);
        if (!scrape)
            return make_error_code(common::error::malformed);
        point& current = points[it.at];
        current.at = it.at;
        current.entries[it.entry] = read_counters(*scrape, response_bound);
    }
    std::vector<point> result;
    result.reserve(points.size());
    for (auto& [at, it] : points)
        result.push_back(std::move(it));
    return result;
}

} // namespace savorytrail::report
