// Sharded cells, and their sum for a scrape.
#include "core/telemetry/registry.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "absl/container/flat_hash_map.h"

namespace savorytrail::telemetry {
namespace {

namespace accumulators = boost::accumulators;

using distribution = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::max>>;

constexpr std::size_t shard_count = 8;

// The sum of one time series over the shards.
struct total {
    double sum = 0;
    double count = 0;
    double max = 0;
    std::vector<double> buckets; // not cumulative; the last is above every bound
};

std::string with_bound(const std::string& labels, const std::string& bound) {
    const std::string own = format_labels({{"le", bound}});
    return labels.empty() ? own : labels + "," + own;
}

void write_histogram(const family& family, const std::string& labels, const total& it,
                     exposition& out) {
    double cumulative_count = 0;
    for (std::size_t i = 0; i < family.bounds.size(); i++) {
        cumulative_count += it.buckets[i];
        out.sample(family.name + "_bucket", with_bound(labels, format_number(family.bounds[i])),
                   cumulative_count);
    }
    out.sample(family.name + "_bucket", with_bound(labels, "+Inf"), it.count);
    out.sample(family.name + "_sum", labels, it.sum);
    out.sample(family.name + "_count", labels, it.count);
}

void write_family(const family& family, const std::map<std::string, total>& totals,
                  exposition& out) {
    out.begin(family.name, family.help, family.kind);
    if (family.kind != metric_kind::histogram) {
        for (const auto& [labels, it] : totals)
            out.sample(family.name, labels, it.sum);
        return;
    }
    for (const auto& [labels, it] : totals)
        write_histogram(family, labels, it, out);
    const std::string max_name = family.name + "_max";
    out.begin(max_name, "Greatest value of " + family.name + " since the start.",
              metric_kind::gauge);
    for (const auto& [labels, it] : totals)
        out.sample(max_name, labels, it.max);
}

} // namespace

struct registry::cell {
    double value = 0;                   // of a counter
    distribution values;                // of a histogram
    std::vector<std::uint64_t> buckets; // of a histogram; not cumulative
};

struct registry::shard {
    std::mutex mutex;
    absl::flat_hash_map<std::pair<std::size_t, std::string>, cell> cells; // guarded by mutex
};

registry::registry(std::vector<family> families)
    : m_families(std::move(families)), m_shards(std::make_unique<shard[]>(shard_count)) {}

registry::~registry() = default;

registry::shard& registry::own_shard() const {
    return m_shards[std::hash<std::thread::id>()(std::this_thread::get_id()) % shard_count];
}

void registry::add(std::size_t family, const label_list& labels, double n) {
    std::string key = format_labels(labels);
    shard& own = own_shard();
    const std::lock_guard lock(own.mutex);
    own.cells[{family, std::move(key)}].value += n;
}

void registry::observe(std::size_t family, const label_list& labels, double value) {
    const auto& bounds = m_families.at(family).bounds;
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), value) - bounds.begin();
    std::string key = format_labels(labels);
    shard& own = own_shard();
    const std::lock_guard lock(own.mutex);
    cell& it = own.cells[{family, std::move(key)}];
    it.buckets.resize(bounds.size() + 1);
    it.buckets[bucket]++;
    it.values(value);
}

void registry::write(exposition& out) const {
    std::vector<std::map<std::string, total>> totals(m_families.size());
    for (std::size_t i = 0; i < shard_count; i++) {
        const std::lock_guard lock(m_shards[i].mutex);
        for (const auto& [key, it] : m_shards[i].cells) {
            total& sum = totals.at(key.first)[key.second];
            sum.sum += it.value + accumulators::sum(it.values);
            const auto count = static_cast<double>(accumulators::count(it.values));
            if (count > 0)
                sum.max = std::max(sum.max, accumulators::max(it.values));
            sum.count += count;
            sum.buckets.resize(std::max(sum.buckets.size(), it.buckets.size()));
            for (std::size_t n = 0; n < it.buckets.size(); n++)
                sum.buckets[n] += static_cast<double>(it.buckets[n]);
        }
    }
    for (std::size_t i = 0; i < m_families.size(); i++)
        write_family(m_families[i], totals[i], out);
}

} // namespace savorytrail::telemetry
