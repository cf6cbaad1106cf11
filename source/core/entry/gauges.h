// Gauges of an entry, which are read at each scrape.
#pragma once

#include <vector>

#include "core/dispatch/types.h"
#include "core/manifest/manifest.h"
#include "core/submission/ledger.h"
#include "core/telemetry/exposition.h"

namespace savorytrail::entry {

struct gauge_values {
    submission::ledger_size remembered;
    std::size_t tasks_in_flight = 0;
    std::uint64_t configuration_version = 0;
    std::vector<dispatch::queue_status> queues;
    const manifest::objectives* objectives = nullptr; // null before the first manifest
};

void write_gauges(const gauge_values& values, telemetry::exposition& out);

} // namespace savorytrail::entry
