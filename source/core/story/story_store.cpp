// Sharded store of stories that evicts the oldest first.
#include "core/story/story_store.h"

#include <algorithm>

namespace savorytrail::story {
namespace {

constexpr std::size_t max_detail_bytes = 200;

} // namespace

story_store::story_store(const common::clock& clock, std::chrono::milliseconds wall_now,
                         story_store_limits limits)
    : m_clock(clock), m_start(clock.now()), m_wall_start(wall_now),
      m_max_stories_per_shard(std::max<std::size_t>(limits.max_submissions / shard_count, 1)),
      m_max_events(limits.max_events) {}

void story_store::add(const submission::submission_id& id, std::string_view name,
                      std::string detail) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    story& it = find_or_create(target, id);
    if (it.events.size() < m_max_events)
        it.events.push_back(make_event(name, std::move(detail)));
    else
        it.dropped++;
}

void story_store::add_final(const submission::submission_id& id, std::string_view name,
                            std::string detail) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    find_or_create(target, id).events.push_back(make_event(name, std::move(detail)));
}

std::optional<story> story_store::find(const submission::submission_id& id) const {
    const shard& target = m_shards.at(id.sequence % shard_count);
    const std::lock_guard lock(target.mutex);
    const auto it = target.stories.find(id);
    if (it == target.stories.end())
        return std::nullopt;
    return it->second;
}

story_store::shard& story_store::shard_of(const submission::submission_id& id) {
    return m_shards.at(id.sequence % shard_count);
}

story& story_store::find_or_create(shard& target, const submission::submission_id& id) {
    const auto [it, is_new] = target.stories.try_emplace(id);
    if (!is_new)
        return it->second;
    target.order.push_back(id);
    if (target.order.size() > m_max_stories_per_shard) {
        target.stories.erase(target.order.front());
        target.order.pop_front();
    }
    return target.stories[id];
}

event story_store::make_event(std::string_view name, std::string detail) const {
    if (detail.size() > max_detail_bytes)
        detail.resize(max_detail_bytes);
    const auto elapsed = std::chrono::duration_cast<common::milliseconds>(m_clock.now() - m_start);
    return {m_wall_start + elapsed, std::string(name), std::move(detail)};
}

} // namespace savorytrail::story
