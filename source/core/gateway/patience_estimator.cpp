#include "core/gateway/patience_estimator.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::gateway {

using common::milliseconds;

milliseconds patience_estimator::estimate_wait(const std::string& queue,
                                               milliseconds patience) const {
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || !it->second.is_known()) {
        return milliseconds(0);
    }
    const double floor = it->second.floor_ms;
    const auto ms = static_cast<double>(patience.count());
    return ms < usual_fraction * floor ? milliseconds(std::llround(floor - ms)) : milliseconds(0);
}

void patience_estimator::add_sample(const std::string& queue, milliseconds patience) {
    auto& it = m_queues[queue];
    const auto ms = static_cast<double>(patience.count());
    // The first samples estimate the median, on which a few resubmissions have little effect.
    if (!it.is_known()) {
        it.samples++;
        it.floor_ms = it.samples == 1 ? ms : it.floor_ms * (ms < it.floor_ms ? 0.95 : 1.05);
        it.floor_ms *= it.is_known() ? initial_floor_factor : 1;
        return;
    }
    const bool is_usual = ms >= usual_fraction * it.floor_ms;
    it.unusual_fraction += ((is_usual ? 0 : 1) - it.unusual_fraction) / unusual_window;
    if (ms >= it.floor_ms) {
        it.floor_ms *= 1 + step_size * floor_quantile;
        return;
    }
    const double weight =
        is_usual && it.unusual_fraction < max_unusual_fraction ? 1 : unusual_weight;
    it.floor_ms *= 1 - step_size * (1 - floor_quantile) * weight;
}

void patience_estimator::restore(const patience_floors& floors) {
    for (const auto& [queue, floor] : floors) {
        auto& it = m_queues[queue];
        if (!it.is_known() && floor.count() > 0) {
            it = {static_cast<double>(floor.count()), min_samples};
        }
    }
}

patience_floors patience_estimator::floors() const {
    patience_floors known;
    for (const auto& [queue, it] : m_queues) {
        if (it.is_known()) {
            known[queue] = milliseconds(std::llround(it.floor_ms));
        }
    }
    return known;
}

bool patience_estimator::differs_from(const patience_floors& published) const {
    const auto known = floors();
    return std::any_of(known.begin(), known.end(), [&](const auto& it) {
        const auto former = published.find(it.first);
        const auto difference =
            former == published.end() ? it.second : std::chrono::abs(it.second - former->second);
        return static_cast<double>(difference.count()) >
               publish_threshold * static_cast<double>(it.second.count());
    });
}

} // namespace savorytrail::gateway
