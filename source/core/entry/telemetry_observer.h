// Observer of the home that records submissions and tasks in metrics, stories and the log.
#pragma once

#include <array>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/home/home.h"
#include "core/story/story_store.h"
#include "core/telemetry/entry_metrics.h"

namespace savorytrail::entry {

class telemetry_observer final : public home::observer {
public:
    telemetry_observer(const common::clock& clock, telemetry::entry_metrics& metrics,
                       story::story_store& stories)
        : m_clock(clock), m_metrics(metrics), m_stories(stories) {}

    void received(const submission::submission_id& id, const std::string& at);

    void opened(const submission::submission_id& id, const job::job& body) override;
    void resubmitted(const submission::submission_id& id) override;
    void not_recorded(const submission::submission_id& id, const job::answer& answer) override;
    void admitted(const submission::submission_id& id) override;
    void task_sent(const home::outgoing_task& task) override;
    void task_ended(const home::outgoing_task& task, const home::task_outcome& outcome) override;
    void answered(const submission::submission_id& id, const job::answer& answer) override;

private:
    struct open_submission {
        common::time_point opened;
        common::milliseconds longest_task{0};
    };

    struct shard {
        std::mutex mutex;
        // Guarded by mutex. Bounded by the number of open submissions in the ledger.
        absl::flat_hash_map<submission::submission_id, open_submission> open;
    };

    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const submission::submission_id& id) {
        return m_shards.at(id.sequence % shard_count);
    }

    const common::clock& m_clock;
    telemetry::entry_metrics& m_metrics;
    story::story_store& m_stories;
    std::array<shard, shard_count> m_shards;
};

} // namespace savorytrail::entry
