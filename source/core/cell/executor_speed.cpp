#include "core/cell/executor_speed.h"

#include <algorithm>
#include <cmath>

#include "absl/hash/hash.h"
#include "core/common/rendezvous.h"

namespace savorytrail::cell {
namespace {

using common::milliseconds;

// Standard deviations of logarithms, before anything was observed: of the means of kinds, where
// the slowest and the fastest differ by a factor of 2.5, and of the executors of one kind.
constexpr double kind_spread = 0.35;
constexpr double executor_spread = 0.1;
// Least assumed standard deviation of a residual: tasks of one job share its estimate's error.
constexpr double min_noise = 0.3;
// Older observations decay beyond these numbers.
constexpr double max_kind_weight = 300;
constexpr double max_executor_weight = 100;
constexpr double max_level_weight = 50;
// What others tell of a kind weighs no more than this number of own observations.
constexpr double max_prior_weight = 10;
// Weight of each further message of others in what they tell of a kind.
constexpr double later_prior_share = 0.1;
// Residuals are clamped to this, so that a task whose estimate is off by far has little
// influence...
constexpr double max_residual = 0.7;
// ...but not the first ones of a kind, of which nothing or something wrong may be known.
constexpr double max_first_residual = 1.5;
// A run's duration is seen with the time that its orders and reports take, some milliseconds.
// Observations of short runs weigh less: half at this duration.
constexpr double half_weight_ms = 30;
// Bounds of a plausible speed, as the logarithm of 8.
const double max_log_speed = std::log(8.0);
constexpr std::uint32_t max_plausible_weight = 1000000;
constexpr std::size_t max_kinds = 64;
constexpr std::size_t max_departed = 256;
constexpr std::size_t max_kinds_told = 8;
// Observations of a kind before others are told of it.
constexpr double told_after = 20;
// Observations before an executor's slow runs are told from inexact predictions.
constexpr double settled_after = 50;
constexpr std::size_t observations_per_refresh = 8;
const double log_step = std::log(1.15);

double log_ms(milliseconds it) {
    return std::log(static_cast<double>(std::max<std::int64_t>(it.count(), 1)));
}

executor_speeds::pace pace_at(double log_speed) {
    return {std::exp(log_speed), static_cast<int>(std::lround(log_speed / log_step))};
}

} // namespace

std::uint64_t kind_of(const work::executor_info& it) {
    const auto& size = it.capacity;
    return common::rendezvous_weight(std::to_string(size.cpu_millis) + "/" +
                                         std::to_string(size.memory_mb) + "/" +
                                         std::to_string(size.accelerators),
                                     it.labels.empty() ? std::string() : it.labels.front());
}

std::uint64_t executor_speeds::known_kind(const work::executor_info& it) {
    const auto kind = kind_of(it);
    if (m_kinds.size() >= max_kinds && !m_kinds.contains(kind)) {
        // What others have told must not take the place of what this cell has.
        absl::erase_if(m_kinds, [](const auto& other) { return other.second.weight == 0; });
    }
    const auto key = m_kinds.size() < max_kinds || m_kinds.contains(kind) ? kind : 0;
    m_kinds.try_emplace(key);
    return key;
}

const executor_speeds::executor_state* executor_speeds::find(const work::executor_info& it) const {
    const auto found = m_executors.find(it.id);
    return found == m_executors.end() ? nullptr : &found->second;
}

executor_speeds::executor_state& executor_speeds::state_of(const work::executor_info& it) {
    static const std::string s_none;
    const auto& label = it.labels.empty() ? s_none : it.labels.front();
    auto& state = m_executors[it.id];
    if (state.is_set && state.label == label && state.capacity == it.capacity) {
        return state;
    }
    const bool is_member = state.is_member;
    m_turned_slow -= state.is_turned_slow ? 1 : 0;
    state = {}; // new, or another machine under the same id
    state.is_set = true;
    state.is_member = is_member;
    state.kind = known_kind(it);
    state.label = label;
    state.capacity = it.capacity;
    return state;
}

void executor_speeds::set_executors(const std::vector<const work::executor_info*>& executors,
                                    common::time_point now) {
    absl::flat_hash_map<std::string, bool> members;
    for (const auto* it : executors) {
        state_of(*it).is_member = true;
        members[it->id] = true;
    }
    std::size_t departed = 0;
    for (auto it = m_executors.begin(); it != m_executors.end();) {
        auto& state = it->second;
        if (!members.contains(it->first)) {
            state.left_at = state.is_member ? now : state.left_at;
            state.is_member = false;
            departed++;
            if (now - state.left_at > m_limits.forget_after || departed > max_departed) {
                m_turned_slow -= state.is_turned_slow ? 1 : 0;
                m_executors.erase(it++);
                continue;
            }
        }
        ++it;
    }
    absl::flat_hash_map<std::uint64_t, bool> used;
    for (const auto& [id, state] : m_executors) {
        used[state.kind] = true;
    }
    absl::erase_if(m_kinds, [&](const auto& it) {
        return !used.contains(it.first) && it.second.prior_weight == 0;
    });
    m_members = members.size();
    refresh();
}

double executor_speeds::noise_variance() const {
    return std::max(min_noise * min_noise, m_residual_variance);
}

double executor_speeds::variance(const executor_state& it) const {
    const double noise = noise_variance();
    const auto kind = m_kinds.find(it.kind);
    const double of_kind = kind == m_kinds.end() ? 0
                                                 : std::min(kind->second.weight, max_kind_weight) +
                                                       kind->second.prior_weight;
    return noise / (of_kind + noise / (kind_spread * kind_spread)) +
           noise / (it.weight + noise / (executor_spread * executor_spread));
}

bool executor_speeds::is_known(const executor_state& it) const {
    if (it.weight >= m_limits.known_after) {
        return true;
    }
    const auto kind = m_kinds.find(it.kind);
    return kind != m_kinds.end() && kind->second.weight >= m_limits.kind_known_after;
}

double executor_speeds::slow_threshold() const {
    // 2.5 standard deviations: three such runs in a row do not come about by inexact predictions.
    return std::max(std::log(m_limits.slow_factor), 2.5 * std::sqrt(m_residual_variance));
}

bool executor_speeds::may_turn_slow(const executor_state& it) const {
    // If many are slow at once, the predictions are wrong, or something that they share is slow.
    return m_observations >= settled_after && it.weight >= m_limits.known_after &&
           (m_turned_slow + 1) * 4 <= std::max<std::size_t>(m_members, 4);
}

executor_speeds::change executor_speeds::note_pace(executor_state& it, std::string_view job,
                                                   double excess) {
    // With some distance between the two, as single runs scatter.
    if (excess < (it.is_turned_slow ? slow_threshold() / 2 : slow_threshold())) {
        it.slow_jobs = 0;
        it.slow_runs = 0;
        it.last_slow_job = 0;
        if (std::exchange(it.is_turned_slow, false)) {
            m_turned_slow--;
            return change::speed_regained;
        }
        return change::none;
    }
    const auto hash = absl::HashOf(job);
    it.slow_jobs += hash == it.last_slow_job ? 0 : 1;
    it.last_slow_job = hash;
    it.slow_runs++;
    it.slow_excess += (std::min(excess, max_log_speed) - it.slow_excess) / it.slow_runs;
    if (it.is_turned_slow && it.slow_runs >= m_limits.slow_runs_accepted) {
        it.is_turned_slow = false;
        m_turned_slow--;
        it.slow_jobs = 0;
        it.slow_runs = 0;
        it.deviation -= it.slow_excess;
        return change::speed_accepted;
    }
    if (!it.is_turned_slow && it.slow_jobs >= m_limits.slow_jobs && may_turn_slow(it)) {
        it.is_turned_slow = true;
        m_turned_slow++;
        return change::turned_slow;
    }
    return change::none;
}

void executor_speeds::learn(executor_state& it, double residual, double weight) {
    const double noise = noise_variance();
    auto& kind = m_kinds[it.kind];
    const double limit =
        kind.weight < m_limits.kind_known_after ? max_first_residual : max_residual;
    if (std::abs(residual) > max_residual) {
        // Contradicts what others have told.
        kind.prior_weight = std::max(kind.prior_weight - 1, 0.0);
    }
    const double bounded = std::clamp(residual, -limit, limit);
    kind.weight = std::min(kind.weight + weight, max_kind_weight);
    it.weight = std::min(it.weight + weight, max_executor_weight);
    const double of_kind =
        weight / (kind.weight + kind.prior_weight + noise / (kind_spread * kind_spread));
    const double of_executor = weight / (it.weight + noise / (executor_spread * executor_spread));
    kind.log_speed += of_kind * bounded;
    it.deviation += of_executor * (1 - of_kind) * bounded;
}

executor_speeds::result executor_speeds::add(const work::executor_info& executor,
                                             std::string_view job, milliseconds predicted,
                                             milliseconds took) {
    if (predicted.count() <= 0 || took.count() < 0) {
        return {1.0, change::none};
    }
    auto& it = state_of(executor);
    const double log_speed = m_kinds[it.kind].log_speed + it.deviation - m_centre;
    // Positive when the run was faster than predicted.
    const double raw = log_ms(predicted) - log_speed - log_ms(took);
    const auto what = note_pace(it, job, m_level - raw);
    if (it.is_turned_slow) {
        return {std::nullopt, what};
    }
    m_observations++;
    const double bounded = std::clamp(raw, -max_first_residual, max_first_residual);
    m_level += (bounded - m_level) / std::min(m_observations, max_level_weight);
    const double residual = raw - m_level;
    const double clamped = std::clamp(residual, -max_residual, max_residual);
    m_residual_variance +=
        (clamped * clamped - m_residual_variance) / std::min(m_observations, max_kind_weight);
    const auto ms = static_cast<double>(std::max<std::int64_t>(took.count(), 1));
    learn(it, residual, ms / (ms + half_weight_ms));
    if (m_until_refresh-- == 0) {
        refresh();
    }
    return {speed(executor), what};
}

void executor_speeds::refresh() {
    // So that the cost of an observation does not depend on the number of executors.
    m_until_refresh = std::max(observations_per_refresh, m_executors.size() / 4);
    double sum = 0;
    for (auto& [id, it] : m_executors) {
        // Within the bounds of what is plausible, whatever has been observed.
        it.log_speed = std::clamp(m_kinds[it.kind].log_speed + it.deviation - m_centre,
                                  -max_log_speed, max_log_speed);
        sum += it.is_member ? std::exp(it.log_speed) : 0;
    }
    if (m_members == 0 || sum <= 0) {
        m_do_differ = false;
        return;
    }
    const double shift = std::log(sum / static_cast<double>(m_members));
    m_centre += shift;
    const executor_state* slowest = nullptr;
    const executor_state* fastest = nullptr;
    for (auto& [id, it] : m_executors) {
        it.log_speed -= shift;
        it.usual = pace_at(it.log_speed);
        it.slowed = pace_at(it.log_speed - std::log(m_limits.slow_factor));
        if (!it.is_member) {
            continue;
        }
        slowest = slowest == nullptr || it.log_speed < slowest->log_speed ? &it : slowest;
        fastest = fastest == nullptr || it.log_speed > fastest->log_speed ? &it : fastest;
    }
    refresh_differ(*slowest, *fastest);
}

void executor_speeds::refresh_differ(const executor_state& slowest, const executor_state& fastest) {
    m_slowest = slowest.usual.speed;
    m_fastest = fastest.usual.speed;
    const double spread = fastest.log_speed - slowest.log_speed;
    const double error = std::sqrt(variance(slowest) + variance(fastest));
    if (m_do_differ) {
        m_do_differ = spread > std::log(m_limits.min_spread_kept);
    } else {
        m_do_differ =
            spread > std::log(m_limits.min_spread) && spread > m_limits.significance * error;
    }
}

double executor_speeds::speed(const work::executor_info& executor) const {
    if (!m_do_differ) {
        return 1;
    }
    const auto* it = find(executor);
    return it == nullptr ? 1 : it->usual.speed;
}

executor_speeds::pace executor_speeds::current_pace(const work::executor_info& executor) const {
    if (!m_do_differ) {
        return {};
    }
    const auto* it = find(executor);
    if (it == nullptr) {
        return {};
    }
    return it->is_turned_slow ? it->slowed : it->usual;
}

double executor_speeds::current_speed(const work::executor_info& executor) const {
    return current_pace(executor).speed;
}

double executor_speeds::cautious_speed(const work::executor_info& executor) const {
    const auto* it = find(executor);
    // Not by what others have told, which may be wrong: at least a kind that is slow by as much as
    // kinds usually differ is allowed for.
    const double unknown =
        std::exp(-2 * std::sqrt(kind_spread * kind_spread + executor_spread * executor_spread));
    if (it == nullptr) {
        return unknown;
    }
    if (is_known(*it) && !m_do_differ) {
        return 1;
    }
    const double likely = std::exp(it->log_speed - 2 * std::sqrt(variance(*it)));
    return std::clamp(likely, 1.0 / 8, is_known(*it) ? 1 : unknown);
}

bool executor_speeds::is_turned_slow(const std::string& executor) const {
    const auto it = m_executors.find(executor);
    return it != m_executors.end() && it->second.is_turned_slow;
}

std::vector<kind_mean> executor_speeds::kind_means() const {
    std::vector<kind_mean> means;
    if (!m_do_differ) {
        return means;
    }
    struct total {
        double log_speed = 0;
        int executors = 0;
    };
    absl::flat_hash_map<std::uint64_t, total> totals;
    for (const auto& [id, it] : m_executors) {
        auto& sum = totals[it.kind];
        sum.log_speed += it.is_member ? it.log_speed : 0;
        sum.executors += it.is_member ? 1 : 0;
    }
    for (const auto& [kind, sum] : totals) {
        const auto state = m_kinds.find(kind);
        if (kind != 0 && sum.executors > 0 && state != m_kinds.end() &&
            state->second.weight >= told_after) {
            means.push_back({kind, sum.log_speed / sum.executors,
                             static_cast<std::uint32_t>(state->second.weight)});
        }
    }
    std::sort(means.begin(), means.end(), [](const kind_mean& a, const kind_mean& b) {
        return std::pair(b.weight, a.kind) < std::pair(a.weight, b.kind);
    });
    means.resize(std::min(means.size(), max_kinds_told));
    std::sort(means.begin(), means.end(),
              [](const kind_mean& a, const kind_mean& b) { return a.kind < b.kind; });
    return means;
}

int executor_speeds::receive(const std::vector<kind_mean>& means) {
    int bad = 0;
    std::vector<const kind_mean*> usable;
    for (const auto& it : means) {
        const bool is_plausible = it.kind != 0 && std::isfinite(it.log_speed) &&
                                  std::abs(it.log_speed) <= max_log_speed && it.weight > 0 &&
                                  it.weight <= max_plausible_weight;
        bad += is_plausible ? 0 : 1;
        if (is_plausible && usable.size() < max_kinds_told) {
            usable.push_back(&it);
        }
    }
    // The other cell's mean speed is another one. Kinds that both have observed tell the offset.
    double offset = 0;
    int common_kinds = 0;
    for (const auto* it : usable) {
        const auto own = m_kinds.find(it->kind);
        if (own != m_kinds.end() && own->second.weight >= m_limits.known_after) {
            offset += own->second.log_speed - it->log_speed;
            common_kinds++;
        }
    }
    offset = common_kinds > 0 ? offset / common_kinds : m_centre;
    bool is_any_new = false;
    for (const auto* it : usable) {
        const auto known = m_kinds.find(it->kind);
        if (known == m_kinds.end() && m_kinds.size() >= max_kinds) {
            continue;
        }
        auto& own = m_kinds[it->kind];
        if (own.weight >= m_limits.known_after || (own.weight > 0 && own.prior_weight > 0)) {
            continue;
        }
        const double told_weight = std::min(static_cast<double>(it->weight), max_prior_weight);
        // Of what several cells tell, an average counts, so that one that is wrong matters less.
        const double share =
            own.prior_weight > 0 ? later_prior_share : told_weight / (told_weight + own.weight);
        own.log_speed += share * (it->log_speed + offset - own.log_speed);
        own.prior_weight = told_weight;
        is_any_new = true;
    }
    if (is_any_new) {
        refresh();
    }
    return bad;
}

} // namespace savorytrail::cell
