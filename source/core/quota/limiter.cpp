// Token bucket arithmetic.
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

void limiter::bucket::refill(common::time_point now) {
    const double elapsed = std::max(0.0, seconds(now - last_refill));
    tokens = std::min(capacity(), tokens + share * elapsed);
    last_refill = std::max(last_refill, now);
}

void limiter::bucket::decay(common::time_point now) {
    const double elapsed = std::max(0.0, seconds(now - last_decay));
    requested *= std::exp2(-elapsed / half_life_s);
    last_decay = std::max(last_decay, now);
}

void limiter::set_share(const std::string& team, double tasks_per_second, common::time_point now) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    const auto [found, is_new] = target.buckets.try_emplace(team);
    bucket& it = found->second;
    if (is_new) {
        it.last_refill = now;
        it.last_decay = now;
        it.share = tasks_per_second;
        it.tokens = it.capacity();
        return;
    }
    it.refill(now);
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
    const auto needed = static_cast<double>(tasks);
    it.decay(now);
    it.requested += needed;
    if (it.share <= 0)
        return no_share_retry;
    it.refill(now);
    const double missing = std::min(needed, it.capacity()) - it.tokens;
    if (missing > 0)
        return common::milliseconds(
            static_cast<std::int64_t>(std::ceil(missing / it.share * 1000)));
    it.tokens -= needed;
    return std::nullopt;
}

void limiter::refund(const std::string& team, std::size_t tasks, common::time_point now) {
    shard& target = shard_of(team);
    const std::lock_guard lock(target.mutex);
    const auto found = target.buckets.find(team);
    if (found == target.buckets.end())
        return;
    found->second.refill(now);
    found->second.tokens =
        std::min(found->second.capacity(), found->second.tokens + static_cast<double>(tasks));
}

std::vector<demand> limiter::demands(common::time_point now) const {
    std::vector<demand> all;
    for (const auto& target : m_shards) {
        const std::lock_guard lock(target.mutex);
        for (const auto& [team, stored] : target.buckets) {
            auto it = stored;
            it.decay(now);
            // At a steady rate, `requested` converges to the rate times the mean lifetime of a
            // sample, which is half_life_s / ln 2.
            all.push_back({team, it.requested * ln_2 / half_life_s});
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
