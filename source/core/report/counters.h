// What the burn report takes from one scrape of one entry, and how it grows from scrape to scrape.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/manifest/manifest.h"
#include "core/telemetry/scrape.h"

namespace savorytrail::report {

// Counters of one entry since its start, or their increase over some time.
struct counters {
    double responses = 0;      // complete answers with a known ideal
    double fast_responses = 0; // of these, within the objective's bound
    double complete = 0;
    double lost = 0;     // answers that count against availability
    double excluded = 0; // answers that callers brought about themselves, such as cancelled
    double unknown = 0;  // of the lost: what ran could not be told
    std::map<std::string, double> lost_by_reason;

    bool operator==(const counters&) const = default;
    counters& operator+=(const counters& other);
};

// A response counts as fast only if it lies in a bucket that ends at the bound or below.
counters read_counters(const telemetry::scrape& from, double response_bound);

// A counter that has become smaller began anew at zero: the entry was restarted.
counters increase(const counters& before, const counters& after);

// Objectives as an entry publishes them; false when the scrape names none.
bool read_objectives(const telemetry::scrape& from, manifest::objectives& out);

// All entries' scrapes at one time.
struct point {
    double at = 0; // Unix seconds
    std::map<std::string, counters> entries;

    bool operator==(const point&) const = default;
};

// The increase over all entries from each point to the next; one less than there are points. An
// entry that is missing in a point is compared with its last scrape before. The first scrape of an
// entry that was not there at the first point counts from zero.
std::vector<counters> increases(const std::vector<point>& points);

} // namespace savorytrail::report
