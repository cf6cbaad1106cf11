// Exponentially weighted means of bounded samples, so that a single outlier has little effect.
#include "core/dispatch/learned_times.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::dispatch {
namespace {

constexpr std::size_t max_kinds = 1024;
constexpr std::uint32_t min_samples = 3;
constexpr double min_sample_weight = 0.1;
constexpr double max_sample_ratio = 4; // a sample counts as at most this many times the mean
constexpr double slow_factor = 3;      // times the mean
constexpr double slow_deviations = 6;  // mean deviations above the mean
constexpr double min_share = 0.5;      // of a learned mean
constexpr int max_declared_error = 10; // callers' estimates are off by up to this factor
constexpr double slow_floor_ms = 20;   // allowance for network and scheduling delays
constexpr common::milliseconds unknown_time{250};

common::milliseconds to_ms(double ms) {
    return common::milliseconds(std::max<std::int64_t>(1, std::llround(ms)));
}

} // namespace

std::uint64_t task_kind(std::string_view path) {
    // FNV-1a, so that a kind is the same in every process.
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = offset;
    for (const char it : path.substr(0, path.find('?'))) {
        hash ^= static_cast<unsigned char>(it);
        hash *= prime;
    }
    return hash;
}

void learned_times::mean::add(double sample_ms) {
    samples++;
    if (samples == 1) {
        mean_ms = sample_ms;
        return;
    }
    const double bounded = std::min(sample_ms, max_sample_ratio * std::max(mean_ms, 1.0));
    const double weight = std::max(min_sample_weight, 1.0 / samples);
    deviation_ms += weight * (std::abs(bounded - mean_ms) - deviation_ms);
    mean_ms += weight * (bounded - mean_ms);
}

bool learned_times::mean::is_known() const {
    return samples >= min_samples;
}

void learned_times::record(std::uint64_t kind, common::milliseconds duration) {
    const auto sample_ms = static_cast<double>(duration.count());
    m_all.add(sample_ms);
    if (m_kinds.size() < max_kinds || m_kinds.contains(kind))
        m_kinds[kind].add(sample_ms);
}

time_estimate learned_times::estimate(std::uint64_t kind, common::milliseconds declared) const {
    const auto found = m_kinds.find(kind);
    if (found != m_kinds.end() && found->second.is_known()) {
        const mean& it = found->second;
        const double slow_ms =
            std::max(slow_factor * it.mean_ms, it.mean_ms + slow_deviations * it.deviation_ms);
        return {to_ms(it.mean_ms), to_ms(min_share * it.mean_ms), to_ms(slow_ms + slow_floor_ms)};
    }
    if (declared.count() > 0)
        return {declared, declared / max_declared_error, common::milliseconds(0)};
    return {m_all.is_known() ? to_ms(m_all.mean_ms) : unknown_time, common::milliseconds(0),
            common::milliseconds(0)};
}

} // namespace savorytrail::dispatch
