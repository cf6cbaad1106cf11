// Burn rates over windows of counter increases.
#include "core/report/burn.h"

#include <algorithm>
#include <functional>

namespace savorytrail::report {
namespace {

constexpr double minute = 60; // seconds
constexpr double hour = 60 * minute;

struct tally {
    double bad = 0;
    double total = 0;
};

using tally_function = std::function<tally(const counters&)>;

double burn_rate(const tally& it, double target) {
    return it.total > 0 ? it.bad / (it.total - target * it.total) : 0;
}

// Sums the increases that began within the window, and always includes the latest one.
window_burn burn_over_window(const burn_report& report, const std::vector<counters>& increments,
                             const tally_function& tally_of, double target, double seconds) {
    window_burn result;
    tally sum;
    const double end = report.times.back();
    for (std::size_t i = increments.size(); i-- > 0;) {
        const bool is_latest = i + 1 == increments.size();
        if (!is_latest && end - report.times[i] > seconds)
            break;
        const tally increment = tally_of(increments[i]);
        sum.bad += increment.bad;
        sum.total += increment.total;
        result.seconds = end - report.times[i];
    }
    result.bad = sum.bad;
    result.total = sum.total;
    result.rate = burn_rate(sum, target);
    return result;
}

objective_burn compute_objective(const burn_report& report, const std::vector<counters>& increments,
                                 const std::string& name, double target,
                                 const tally_function& tally_of,
                                 const std::vector<window_pair>& windows) {
    objective_burn result;
    result.name = name;
    result.target = target;
    const tally all = tally_of(report.total);
    result.good_share = all.total > 0 ? 1 - all.bad / all.total : 1;
    for (const auto& it : increments)
        result.rates.push_back(burn_rate(tally_of(it), target));
    for (const auto& it : windows) {
        pair_burn pair{it, burn_over_window(report, increments, tally_of, target, it.long_seconds),
                       burn_over_window(report, increments, tally_of, target, it.short_seconds),
                       false};
        pair.is_burning = pair.over_long.rate > it.threshold && pair.over_short.rate > it.threshold;
        result.is_burning = result.is_burning || pair.is_burning;
        result.pairs.push_back(pair);
    }
    return result;
}

} // namespace

std::vector<window_pair> default_windows() {
    return {{hour, 5 * minute, 14.4}, {6 * hour, 30 * minute, 6}, {72 * hour, 6 * hour, 1}};
}

bool burn_report::is_burning() const {
    return std::any_of(burns.begin(), burns.end(), [](const auto& it) { return it.is_burning; });
}

burn_report compute_burn(const std::vector<point>& points, const manifest::objectives& objectives,
                         const std::vector<window_pair>& windows) {
    burn_report report;
    report.objectives = objectives;
    for (const auto& it : points)
        report.times.push_back(it.at);
    const auto increments = increases(points);
    for (const auto& it : increments)
        report.total += it;
    report.burns.push_back(compute_objective(
        report, increments, "response", objectives.response_share,
        [](const counters& it) {
            return tally{it.responses - it.fast_responses, it.responses};
        },
        windows));
    report.burns.push_back(compute_objective(
        report, increments, "availability", objectives.availability,
        [](const counters& it) {
            return tally{it.lost, it.complete + it.lost};
        },
        windows));
    return report;
}

} // namespace savorytrail::report
