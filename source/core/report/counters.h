// Counters that the burn report reads from an entry's scrapes, and their increases over time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/manifest/manifest.h"
#include "core/telemetry/scrape.h"

namespace savorytrail::report {

// Counters of one entry since its start, or their increase over some time.
struct counters {
    double responses = 0;      // complete answers with a known ideal time
    double fast_responses = 0; // of these, within the objective's bound
    double complete = 0;
    double lost = 0;     // answers that count against availability
    double excluded = 0; // answers that the caller caused, such as cancelled
    double unknown = 0;  // of the lost: answers that could not say which tasks ran
    std::map<std::string, double> lost_by_reason;

    bool operator==(const counters&) const = default;
    counters& operator+=(const counters& other);
};

// Counts a response as fast only if its bucket's upper bound is at most `response_bound`.
counters read_counters(const telemetry::scrape& from, double response_bound);

// Treats a counter that has decreased as reset to zero by a restart of the entry.
counters increase(const counters& before, const counters& after);

// Reads the objectives that an entry exports; false if the scrape contains none.
bool read_objectives(const telemetry::scrape& from, manifest::objectives& out);

// Scrapes of all entries at one time.
struct point {
    double at = 0; // Unix seconds
    std::map<std::string, counters> entries;

    bool operator==(const point&) const = default;
};

// The increase over all entries between consecutive points, one element fewer than `points`. After
// a gap, an entry is compared with its last scrape before it. The first scrape of an entry that is
// missing from the first point counts from zero.
std::vector<counters> increases(const std::vector<point>& points);

} // namespace savorytrail::report
