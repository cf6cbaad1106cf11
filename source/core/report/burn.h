// Burn rates of service-level objectives: how fast the error budget, the share of bad answers that
// an objective allows, is consumed. A burn rate of 1 consumes exactly the budget. An objective is
// burning when both windows of a pair exceed the threshold: the long one shows that the loss is
// significant, the short one that it is still going on.
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
    double seconds = 0; // covered by scrapes; less than the window if they do not reach back
    double bad = 0;
    double total = 0;
    double rate = 0; // 0 if there are no answers

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
    std::vector<double> rates; // between consecutive scrapes, for plots
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

// Expects two or more points in order of time.
burn_report compute_burn(const std::vector<point>& points, const manifest::objectives& objectives,
                         const std::vector<window_pair>& windows);

} // namespace savorytrail::report
