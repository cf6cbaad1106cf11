// Event histories of the submissions of one home entry, for operators. Memory is bounded: the
// oldest submissions are evicted first, and each keeps its first events and its final answer.
// Events never contain request or response bodies.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/submission/submission_id.h"

namespace savorytrail::story {

struct event {
    std::chrono::milliseconds at{0}; // since the Unix epoch
    std::string name;
    std::string detail;

    bool operator==(const event&) const = default;
};

struct story {
    std::vector<event> events;
    std::size_t dropped = 0; // events beyond the limit, not counting the final answer

    bool operator==(const story&) const = default;
};

struct story_store_limits {
    std::size_t max_submissions = 2000;
    std::size_t max_events = 64; // per submission, not counting its final answer

    bool operator==(const story_store_limits&) const = default;
};

class story_store {
public:
    // `wall_now`: wall-clock time since the Unix epoch that corresponds to clock.now().
    story_store(const common::clock& clock, std::chrono::milliseconds wall_now,
                story_store_limits limits);
    story_store(const story_store&) = delete;
    story_store& operator=(const story_store&) = delete;

    void add(const submission::submission_id& id, std::string_view name, std::string detail);
    // Like add(), but not subject to the limit on events.
    void add_final(const submission::submission_id& id, std::string_view name, std::string detail);

    std::optional<story> find(const submission::submission_id& id) const;

private:
    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<submission::submission_id, story> stories; // guarded by mutex
        std::deque<submission::submission_id> order; // by first event; one id for each story
    };

    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const submission::submission_id& id);
    story& find_or_create(shard& target, const submission::submission_id& id);
    event make_event(std::string_view name, std::string detail) const;

    const common::clock& m_clock;
    const common::time_point m_start;
    const std::chrono::milliseconds m_wall_start;
    const std::size_t m_max_stories_per_shard;
    const std::size_t m_max_events;
    std::array<shard, shard_count> m_shards;
};

} // namespace savorytrail::story
