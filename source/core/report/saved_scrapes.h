// Scrapes saved in files, so that reports can cover more than one run. Each line is a JSON
// object: {"at": Unix seconds, "entry": URL, "metrics": scraped text}.
#pragma once

#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/report/counters.h"

namespace savorytrail::report {

struct saved_scrape {
    double at = 0; // Unix seconds
    std::string entry;
    std::string metrics;

    bool operator==(const saved_scrape&) const = default;
};

std::string to_json_line(const saved_scrape& it);
// error::malformed if a line cannot be parsed.
common::result<std::vector<saved_scrape>> parse_saved_scrapes(const std::string& text);

// Groups scrapes of the same time into points, in order of time. error::malformed if the text of a
// scrape cannot be parsed.
common::result<std::vector<point>> make_points(const std::vector<saved_scrape>& scrapes,
                                               double response_bound);

} // namespace savorytrail::report
