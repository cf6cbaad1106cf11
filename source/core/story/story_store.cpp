// Sharded rings of stories.
#include "core/story/story_store.h"

#include <algorithm>

namespace savorytrail::story {
namespace {

constexpr std::size_t max_detail_bytes = 200;

} // namespace

story_store::story_store(const common::clock& clock, std::chrono::milliseconds wall_now,
                         story_store_limits limits)
    : m_clock(clock), m_begun(clock.now()), m_wall_begun(wall_now),
      m_max_stories_of_shard(std::max<std::size_t>(limits.max_submissions / shard_count, 1)),
      m_max_events(limits.max_events) {}

void story_store::add(const submission::submission_id& id, std::string_view name,
                      std::string detail) {
    shard& home = shard_of(id);
    const std::lock_guard lock(home.mutex);
    story& it = entry_of(home, id);
    if (it.events.size() < m_max_events)
        it.events.push_back(make_event(name, std::move(detail)));
    else
        it.dropped++;
}

void story_store::add_final(const submission::submission_id& id, std::string_view name,
                            std::string detail) {
    shard& home = shard_of(id);
    const std::lock_guard lock(home.mutex);
    entry_of(home, id).events.push_back(make_event(name, std::move(detail)));
}

std::optional<story> story_store::find(const submission::submission_id& id) const {
    const shard& home = m_shards.at(id.sequence % shard_count);
    const std::lock_guard lock(home.mutex);
    const auto it = home.stories.find(id);
    if (it == home.stories.end())
        return std::nullopt;
    return it->second;
}

story_store::shard& story_store::shard_of(const submission::submission_id& id) {
    return m_shards.at(id.sequence % shard_count);
}

story& story_store::entry_of(shard& home, const submission::submission_id& id) {
    const auto [it, is_new] = home.stories.try_emplace(id);
    if (!is_new)
        return it->second;
    home.order.push_back(id);
    if (home.order.size() > m_max_stories_of_shard) {
        home.stories.erase(home.order.front());
        home.order.pop_front();
    }
    return home.stories[id];
}

event story_store::make_event(std::string_view name, std::string detail) const {
    if (detail.size() > max_detail_bytes)
        detail.resize(max_detail_bytes);
    const auto passed = std::chrono::duration_cast<common::milliseconds>(m_clock.now() - m_begun);
    return {m_wall_begun + passed, std::string(name), std::move(detail)};
}

} // namespace savorytrail::story
