// Token buckets of the teams.
#include "core/quota/limiter.h"

#include <algorithm>
#include <cmath>

namespace savorytrail::quota {
namespace {

constexpr double half_life_s = 1;
constexpr double ln_2 = 0.6931471805599453;
constexpr common::milliseconds no_share_retry{1000};

double seconds(common::time_point::duration it) {
    return std::chrono::duration<double>(it).count();
}

} // namespace

double limiter::bucket::capacity() const {
    return std::max(1.0, share * seconds(burst));
}

void limiter::bucket::fill(common::time_point now) {
    const double passed = std::max(0.0, seconds(now - filled));
    tokens = std::min(capacity(), tokens + share * passed);
    filled = std::max(filled, now);
}

void limiter::bucket::decay(common::time_point now) {
    const double passed = std::max(0.0, seconds(now - decayed));
    asked *= std::exp2(-passed / half_life_s);
    decayed = std::max(decayed, now);
}

void limiter::set_share(const std::string& team, double tasks_per_second, common::time_point now) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    const auto [found, is_new] = target.buckets.try_emplace(team);
    bucket& it = found->second;
    if (is_new) {
        it.filled = now;
        it.decayed = now;
        it.share = tasks_per_second;
        it.tokens = it.capacity();
        return;
    }
    it.fill(now);
    it.share = tasks_per_second;
    it.tokens = std::min(it.tokens, it.capacity());
}

void limiter::remove_share(const std::string& team) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    target.buckets.erase(team);
}

std::optional<common::milliseconds> limiter::take(const std::string& team, std::size_t tasks,
                                                  common::time_point now) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    const auto found = target.buckets.find(team);
    if (found == target.buckets.end())
        return std::nullopt;
    bucket& it = found->second;
    const auto wanted = static_cast<double>(tasks);
    it.decay(now);
    it.asked += wanted;
    if (it.share <= 0)
        return no_share_retry;
    it.fill(now);
    const double missing = std::min(wanted, it.capacity()) - it.tokens;
    if (missing > 0)
        return common::milliseconds(
            static_cast<std::int64_t>(std::ceil(missing / it.share * 1000)));
    it.tokens -= wanted;
    return std::nullopt;
}

void limiter::refund(const std::string& team, std::size_t tasks, common::time_point now) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    const auto found = target.buckets.find(team);
    if (found == target.buckets.end())
        return;
    found->second.fill(now);
    found->second.tokens =
        std::min(found->second.capacity(), found->second.tokens + static_cast<double>(tasks));
}

std::vector<demand> limiter::demands(common::time_point now) const {
    std::vector<demand> all;
    for (const auto& part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto& [team, kept] : part.buckets) {
            auto it = kept;
            it.decay(now);
            // A steady rate keeps `asked` at the rate times the mean life of a sample.
            all.push_back({team, it.asked * ln_2 / half_life_s});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const demand& a, const demand& b) { return a.team < b.team; });
    return all;
}

limiter::shard& limiter::shard_of(const std::string& team) {
    return m_shards.at(std::hash<std::string>()(team) % shard_count);
}

} // namespace savorytrail::quota
