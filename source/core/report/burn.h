// Service-level burn: how fast the share of bad answers that an objective allows is being used up.
// A burn rate of 1 uses up exactly what is allowed. An objective burns when a long window shows
// that it matters and a short one that it still goes on.
#pragma once

#include <string>
#include <vector>

#include "core/report/counters.h"

namespace savorytrail::report {

struct window_pair {
    double long_seconds = 0;
    double short_seconds = 0;
    double threshold = 0; // burn rate that both windows must exceed

    bool operator==(const window_pair&) const = default;
};

std::vector<window_pair> default_windows();

struct window_burn {
    double seconds = 0; // covered by scrapes; less than the window when they do not reach back
    double bad = 0;
    double total = 0;
    double rate = 0; // 0 without any answer

    bool operator==(const window_burn&) const = default;
};

struct pair_burn {
    window_pair windows;
    window_burn over_long;
    window_burn over_short;
    bool is_burning = false;

    bool operator==(const pair_burn&) const = default;
};

struct objective_burn {
    std::string name;      // response or availability
    double target = 0;     // share of good answers
    double good_share = 1; // over all scrapes
    std::vector<pair_burn> pairs;
    std::vector<double> rates; // from each scrape to the next, for plots
    bool is_burning = false;

    bool operator==(const objective_burn&) const = default;
};

struct burn_report {
    manifest::objectives objectives;
    std::vector<double> times; // of the scrapes, Unix seconds
    counters total;            // over all scrapes
    std::vector<objective_burn> burns;

    bool is_burning() const;
};

// Points are in the order of time, two or more.
burn_report compute_burn(const std::vector<point>& points, const manifest::objectives& objectives,
                         const std::vector<window_pair>& windows);

} // namespace savorytrail::report
