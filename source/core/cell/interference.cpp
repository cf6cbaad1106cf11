#include "core/cell/interference.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/common/rendezvous.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

// Deviations are clamped to this distance from what is expected, in log space, which limits the
// influence of long tails; the same as in duration_model.
constexpr double max_log_deviation = 1.1;
// Runs of a kind that only teach what to expect: meanwhile the duration model learns its queue.
constexpr std::uint64_t warm_up_runs = 100;
// Runs of a kind after which an observation has lost most of its weight.
constexpr double memory_runs = 16384;
// The same for the average that deviations are measured from. It must follow the duration model,
// which forgets after 300 runs, and load, which changes within seconds.
constexpr double center_runs = 256;
// The same for an executor's own deviation, and the weight of the prior that it has none.
constexpr double bias_runs = 256;
constexpr double bias_prior_runs = 16;
// Standard errors between the difference and the least slowdown that counts. Each run of a pair is
// a test, so that the bound of a single test would be exceeded by chance within thousands of runs.
constexpr double suspicion_errors = 4.5;
// A slowdown that is not certainly above this one (ln, about 4%) is not worth a worse placement,
// and may come from the time that reports take: 2 ms of a task of 50.
constexpr double min_log_slowdown = 0.04;
// The least standard deviation that is assumed. Where durations hardly vary the drift of their
// predictions does, and its errors are not independent from run to run.
constexpr double min_deviation = 0.15;
// The fewest runs on each side of a comparison: with fewer the mean is far from normal.
constexpr double min_runs = 12;
// The recent average of a suspected pair covers as many runs with the neighbour as bring its
// standard error to this part of the slowdown, within limits.
constexpr double recent_error_part = 0.125;
constexpr double min_recent_runs = 128;
constexpr double max_recent_runs = 4096;
constexpr double clearing_errors = 3;
// A suspected pair that was not seen together for this long is tried again.
constexpr milliseconds retry_after{600000};
constexpr double max_log_slowdown = 2.0794415416798357; // ln 8
// A peer's word counts as at most this many own runs, and half of it after each half-life.
constexpr double max_prior_runs = 50;
constexpr milliseconds prior_half_life{30000};
constexpr double min_prior_runs = 1;
// Placement compares costs in whole steps (ln, about 5%), so that differences within the error of
// the estimates leave the choice to the next criterion.
constexpr double cost_step = 0.05;
constexpr std::size_t max_name_part = 40; // characters; images come from callers

} // namespace

kind_key task_kind::key() const {
    return std::max<kind_key>(common::rendezvous_weight(queue, image), 1);
}

std::string task_kind::to_string() const {
    const auto name = queue.substr(0, max_name_part);
    return image.empty() ? name : name + "/" + image.substr(0, max_name_part);
}

void interference::sums::decay(double factor) {
    weight *= factor;
    squared_weight *= factor * factor;
    sum *= factor;
}

void interference::sums::add(double value) {
    weight += 1;
    squared_weight += 1;
    sum += value;
}

double interference::kind_statistics::variance() const {
    if (all.weight <= 0) {
        return 0;
    }
    const double mean = all.mean();
    return std::max(sum_of_squares / all.weight - mean * mean, min_deviation * min_deviation);
}

bool interference::comparison::is_known() const {
    return number_with >= min_runs && number_without >= min_runs;
}

double interference::executor_bias::value() const {
    return mean * weight / (weight + bias_prior_runs);
}

void interference::executor_bias::add(double deviation) {
    weight = std::min(weight + 1, bias_runs);
    mean += (deviation - mean) / weight;
}

interference::kind_statistics& interference::touch_kind(kind_key key) {
    auto& it = m_kinds.touch(key);
    if (it.generation == 0) {
        it.generation = m_next_generation++;
        forget_evicted();
    }
    return it;
}

interference::pair_statistics&
interference::touch_pair(const pair_key& key, const kind_statistics& kind, time_point now) {
    auto& it = m_pairs.touch(key);
    if (it.generation != kind.generation) {
        it.generation = kind.generation;
        it.updated_at = kind.runs;
        it.with = {};
        it.excluded = {};
        forget_evicted();
    }
    const double factor =
        std::pow(1 - 1 / memory_runs, static_cast<double>(kind.runs - it.updated_at));
    it.updated_at = kind.runs;
    it.with.decay(factor);
    it.excluded.decay(factor);
    it.last_seen = now;
    return it;
}

void interference::forget_evicted() {
    std::erase_if(m_suspected, [&](const pair_key& key) {
        if (m_pairs.find(key) != nullptr && m_kinds.find(key.first) != nullptr) {
            return false;
        }
        m_pairs.erase(key); // of an evicted kind
        return true;
    });
}

double interference::known_effect(const pair_key& key) const {
    if (m_suspected.empty()) {
        return 0;
    }
    const auto* it = m_pairs.find(key);
    return it == nullptr ? 0 : it->effect;
}

interference::comparison interference::compare(const kind_statistics& kind,
                                               const pair_statistics& pair) {
    comparison result;
    sums without = kind.all;
    without.weight = std::max(without.weight - pair.excluded.weight, 0.0);
    without.squared_weight = std::max(without.squared_weight - pair.excluded.squared_weight, 0.0);
    without.sum -= pair.excluded.sum;
    result.number_with = pair.with.effective_number();
    result.number_without = without.effective_number();
    if (!result.is_known()) {
        return result;
    }
    result.difference = pair.with.mean() - without.mean();
    result.standard_error =
        std::sqrt(kind.variance() * (1 / result.number_with + 1 / result.number_without));
    return result;
}

void interference::update_effect(const kind_statistics& kind, pair_statistics& pair) {
    const auto now = compare(kind, pair);
    if (!now.is_known()) {
        return;
    }
    const double effect =
        (pair.first_effect * pair.first_number + now.difference * now.number_with) /
        (pair.first_number + now.number_with);
    pair.effect = std::clamp(effect, 0.0, max_log_slowdown);
}

bool interference::has_ceased(const kind_statistics& kind, pair_statistics& pair,
                              double deviation) {
    const auto now = compare(kind, pair);
    if (!now.is_known()) {
        return false;
    }
    // The center follows the runs with the neighbour too, so that of a change only this part shows.
    const double visible = 1 - std::min(pair.excluded.weight / kind.all.weight, 0.9);
    const double error = std::max(pair.effect, min_log_slowdown) * recent_error_part * visible;
    const double runs =
        std::clamp(kind.variance() / (2 * error * error), min_recent_runs, max_recent_runs);
    pair.recent += (deviation - pair.recent) / runs;
    // A moving average is as exact as a mean over twice as many.
    const double recent_error = std::sqrt(kind.variance() / (2 * runs));
    if (pair.effect + (pair.recent + clearing_errors * recent_error) / visible < pair.effect / 2) {
        return true;
    }
    return now.difference + suspicion_errors * now.standard_error < cost_step;
}

pair_change interference::describe(const pair_key& key, const pair_statistics& pair,
                                   const comparison& evidence, std::string reason) const {
    const auto name = [&](kind_key kind) {
        const auto* it = m_kinds.find(kind);
        return it == nullptr ? std::string("unknown") : it->name;
    };
    pair_change it;
    it.is_suspected = pair.is_suspected;
    it.kind = name(key.first);
    it.neighbour = name(key.second);
    it.slowdown = std::exp(pair.effect);
    it.least_slowdown =
        std::exp(std::max(pair.effect - suspicion_errors * evidence.standard_error, 0.0));
    it.runs_with = static_cast<int>(evidence.number_with);
    it.runs_without = static_cast<int>(evidence.number_without);
    it.reason = std::move(reason);
    return it;
}

pair_change interference::suspect(const pair_key& key, kind_statistics& kind,
                                  pair_statistics& pair) {
    const auto evidence = compare(kind, pair);
    pair.is_suspected = true;
    pair.effect = std::clamp(evidence.difference, 0.0, max_log_slowdown);
    pair.first_effect = pair.effect;
    pair.first_number = evidence.number_with;
    pair.recent = 0;
    m_suspected.push_back(key);
    auto change = describe(key, pair, evidence, "runs with it take longer than runs without it");
    // What was counted so far contains the effect, also for neighbours that came with this one.
    for (const auto& other : m_suspected) {
        if (other.first == key.first && other != key) {
            auto& it = *m_pairs.find(other);
            it.first_number = std::min(it.first_number, min_runs);
        }
    }
    // The center contains the effect too, as far as the neighbour was there.
    kind.center -= pair.effect * std::min(pair.excluded.weight / kind.all.weight, 1.0);
    kind.generation = m_next_generation++;
    kind.all = {};
    kind.sum_of_squares = 0;
    return change;
}

pair_change interference::clear(const pair_key& key, std::string reason) {
    auto* kind = m_kinds.find(key.first);
    auto& pair = *m_pairs.find(key);
    const auto evidence = kind == nullptr ? comparison{} : compare(*kind, pair);
    pair.is_suspected = false;
    auto change = describe(key, pair, evidence, std::move(reason));
    m_pairs.erase(key);
    std::erase(m_suspected, key);
    if (kind != nullptr) {
        kind->generation = m_next_generation++;
        kind->all = {};
        kind->sum_of_squares = 0;
    }
    return change;
}

void interference::note_start(const std::string& executor, const work::run_key& run,
                              const task_kind& kind, const run_neighbours::expectation& expected,
                              time_point now) {
    const auto key = kind.key();
    auto& statistics = touch_kind(key);
    if (statistics.name.empty()) {
        statistics.name = kind.to_string();
    }
    m_running.add(executor, run, key, expected, now);
}

void interference::note_end(const std::string& executor, const work::run_key& run, time_point now) {
    m_running.remove(executor, run, now);
}

std::vector<pair_change> interference::note_success(const std::string& executor,
                                                    const work::run_key& run, milliseconds took,
                                                    time_point now) {
    const auto beside = m_running.observe(executor, run, now);
    if (beside.kind == 0 || beside.expected.estimate.count() <= 0) {
        return {};
    }
    const double estimate = std::log(static_cast<double>(beside.expected.estimate.count()));
    const auto ms = static_cast<double>(std::max<std::int64_t>(took.count(), 1));
    const double at_speed_1 = std::log(ms * beside.expected.speed);
    double without_effects = at_speed_1;
    for (const auto neighbour : beside.neighbours) {
        without_effects -= known_effect({beside.kind, neighbour});
    }
    auto& durations = touch_kind(beside.kind).durations;
    const double log_ratio = at_speed_1 - durations.predict_around_mean(estimate);
    durations.add(estimate, without_effects);
    return observe(executor, beside, log_ratio, now);
}

std::vector<pair_change> interference::observe(const std::string& executor,
                                               const run_neighbours::observation& beside,
                                               double log_ratio, time_point now) {
    auto& kind = touch_kind(beside.kind);
    auto& bias = m_executors.touch(executor);
    double expected = kind.center + bias.value();
    for (const auto neighbour : beside.neighbours) {
        expected += known_effect({beside.kind, neighbour});
    }
    const double deviation =
        std::clamp(log_ratio - expected, -max_log_deviation, max_log_deviation);
    kind.runs++;
    kind.center += deviation / std::min(static_cast<double>(kind.runs), center_runs);
    bias.add(deviation + bias.value());
    if (kind.runs <= warm_up_runs || !beside.has_passed_quarter) {
        return {};
    }
    const double kept = 1 - 1 / memory_runs;
    kind.all.decay(kept);
    kind.all.add(deviation);
    kind.sum_of_squares = kind.sum_of_squares * kept + deviation * deviation;
    for (const auto neighbour : beside.brief_neighbours) {
        touch_pair({beside.kind, neighbour}, kind, now).excluded.add(deviation);
    }
    std::optional<pair_key> strongest;
    double strongest_excess = 0;
    std::optional<pair_key> ceased;
    for (const auto neighbour : beside.neighbours) {
        const pair_key key{beside.kind, neighbour};
        auto& pair = touch_pair(key, kind, now);
        pair.with.add(deviation + pair.effect);
        pair.excluded.add(deviation);
        if (pair.is_suspected) {
            update_effect(kind, pair);
            ceased = has_ceased(kind, pair, deviation) ? std::optional(key) : ceased;
            continue;
        }
        const auto evidence = compare(kind, pair);
        const double excess = evidence.difference - min_log_slowdown;
        if (evidence.is_known() && excess > suspicion_errors * evidence.standard_error &&
            excess / evidence.standard_error > strongest_excess) {
            strongest = key;
            strongest_excess = excess / evidence.standard_error;
        }
    }
    if (ceased) {
        return {clear(*ceased, "runs with it no longer take longer")};
    }
    if (strongest) {
        return {suspect(*strongest, kind, *m_pairs.find(*strongest))};
    }
    return {};
}

std::vector<pair_change> interference::tick(time_point now) {
    forget_old_priors(now);
    std::vector<pair_key> old;
    for (const auto& key : m_suspected) {
        if (now - m_pairs.find(key)->last_seen > retry_after) {
            old.push_back(key);
        }
    }
    std::vector<pair_change> changes;
    changes.reserve(old.size());
    for (const auto& key : old) {
        changes.push_back(clear(key, "not seen together for long"));
    }
    return changes;
}

double interference::prior_weight(const prior& it, time_point now) {
    const double half_lives = std::chrono::duration<double>(now - it.received) /
                              std::chrono::duration<double>(prior_half_life);
    return std::min(it.weight, max_prior_runs) * std::exp2(-half_lives);
}

void interference::forget_old_priors(time_point now) {
    while (m_priors.size() > 0) {
        const auto& [key, oldest] = m_priors.entries().back();
        if (prior_weight(oldest, now) >= min_prior_runs) {
            return;
        }
        m_priors.erase(pair_key(key));
    }
}

double interference::prior_slowdown(const pair_key& key, const prior& it, time_point now) const {
    const double weight = prior_weight(it, now);
    if (weight < min_prior_runs) {
        return 0;
    }
    comparison own;
    const auto* kind = m_kinds.find(key.first);
    const auto* pair = m_pairs.find(key);
    if (kind != nullptr && pair != nullptr && pair->generation == kind->generation) {
        own = compare(*kind, *pair);
    }
    if (!own.is_known()) {
        return it.log_slowdown;
    }
    return (it.log_slowdown * weight + own.difference * own.number_with) /
           (weight + own.number_with);
}

std::vector<neighbour_cost> interference::costs_beside(kind_key kind, time_point now) const {
    std::vector<neighbour_cost> costs;
    const auto add = [&](const pair_key& key, double log_slowdown) {
        if (log_slowdown < cost_step || (key.first != kind && key.second != kind)) {
            return;
        }
        const auto other = key.first == kind ? key.second : key.first;
        const auto found = std::find_if(costs.begin(), costs.end(),
                                        [&](const auto& it) { return it.neighbour == other; });
        if (found == costs.end()) {
            costs.push_back({other, log_slowdown});
        } else {
            found->log_slowdown += log_slowdown;
        }
    };
    for (const auto& key : m_suspected) {
        add(key, m_pairs.find(key)->effect);
    }
    for (const auto& [key, it] : m_priors.entries()) {
        const auto* own = m_pairs.find(key);
        if ((key.first == kind || key.second == kind) && (own == nullptr || !own->is_suspected)) {
            add(key, prior_slowdown(key, it, now));
        }
    }
    return costs;
}

std::int64_t interference::cost_on(const std::string& executor,
                                   const std::vector<neighbour_cost>& costs,
                                   const std::vector<kind_key>& planned) const {
    double sum = 0;
    const auto add = [&](kind_key kind) {
        for (const auto& it : costs) {
            sum += it.neighbour == kind ? it.log_slowdown : 0;
        }
    };
    for (const auto kind : m_running.kinds_on(executor)) {
        add(kind);
    }
    for (const auto kind : planned) {
        add(kind);
    }
    return static_cast<std::int64_t>(std::llround(sum / cost_step));
}

std::vector<fleet::interfering_pair> interference::to_share() const {
    std::vector<fleet::interfering_pair> list;
    list.reserve(m_suspected.size());
    for (const auto& key : m_suspected) {
        const auto& it = *m_pairs.find(key);
        const double runs = std::max(it.first_number, it.with.effective_number());
        list.push_back({key.first, key.second, it.effect, static_cast<std::uint32_t>(runs)});
    }
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.log_slowdown > b.log_slowdown; });
    list.resize(std::min(list.size(), max_shared_pairs));
    return list;
}

std::size_t interference::receive(const std::vector<fleet::interfering_pair>& pairs,
                                  time_point now) {
    std::size_t ignored = 0;
    for (std::size_t i = 0; i < pairs.size(); i++) {
        const auto& it = pairs[i];
        const bool is_sound = i < max_shared_pairs && it.kind != 0 && it.neighbour != 0 &&
                              it.weight > 0 && std::isfinite(it.log_slowdown) &&
                              it.log_slowdown > 0 && it.log_slowdown <= max_log_slowdown;
        if (!is_sound) {
            ignored++;
            continue;
        }
        m_priors.touch({it.kind, it.neighbour}) = {it.log_slowdown, static_cast<double>(it.weight),
                                                   now};
    }
    return ignored;
}

} // namespace savorytrail::cell
