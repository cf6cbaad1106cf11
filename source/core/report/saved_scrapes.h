// Scrapes kept in files, so that reports can look back further than one run. Each line is a JSON
// object: {"at": Unix seconds, "entry": URL, "metrics": the text that was scraped}.
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
// error::malformed when a line cannot be read.
common::result<std::vector<saved_scrape>> parse_saved_scrapes(const std::string& text);

// Scrapes of the same time form a point; points are in the order of time. error::malformed when a
// scrape's text cannot be read.
common::result<std::vector<point>> make_points(const std::vector<saved_scrape>& scrapes,
                                               double response_bound);

} // namespace savorytrail::report
