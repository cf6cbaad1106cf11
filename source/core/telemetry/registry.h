// Counters and histograms of one process. Threads write to different shards, each with its own
// lock; a scrape sums the shards. A histogram has fixed buckets because buckets, unlike quantiles,
// can be summed over all entries of the fleet; Boost.Accumulators keeps its count, sum and maximum.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/telemetry/exposition.h"

namespace savorytrail::telemetry {

struct family {
    std::string name;
    std::string help;
    metric_kind kind = metric_kind::counter;
    std::vector<double> bounds; // upper bounds of a histogram's buckets, ascending, without +Inf

    bool operator==(const family&) const = default;
};

class registry {
public:
    explicit registry(std::vector<family> families);
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    // `family` is an index into the families given at construction.
    void add(std::size_t family, const label_list& labels, double n = 1);
    void observe(std::size_t family, const label_list& labels, double value);

    void write(exposition& out) const;

private:
    struct cell;
    struct shard;

    shard& own_shard() const;

    const std::vector<family> m_families;
    const std::unique_ptr<shard[]> m_shards;
};

} // namespace savorytrail::telemetry
