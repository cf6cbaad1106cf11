// Learns the relative speeds of a cell's executors, which nothing reports, from the durations of
// successful runs against the durations predicted for speed 1. The mean speed of the cell's
// executors is 1. An executor's estimate starts at the mean of its kind (its first label and its
// capacity), which starts at what other cells have learnt, or at 1.
//
// The estimates are those of a recursive regression in log space: each observation moves the kind's
// mean and the executor's deviation from it by a part of the residual that shrinks with the number
// of observations, down to a limit, so that older observations decay. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/work/executor.h"

namespace savorytrail::cell {

// The mean speed of the executors of a kind, relative to the cell that has learnt it.
struct kind_mean {
    std::uint64_t kind = 0;   // kind_of()
    double log_speed = 0;     // natural logarithm
    std::uint32_t weight = 0; // number of observations

    bool operator==(const kind_mean&) const = default;
};

// The same in every process. 0 stands for the kinds beyond those that are kept.
std::uint64_t kind_of(const work::executor_info& it);

struct speed_limits {
    // Speeds that differ by no more than this factor are not acted on...
    double min_spread = 1.25;
    // ...and once they are, until they differ by no more than this one.
    double min_spread_kept = 1.15;
    // The difference must also be this multiple of its standard error: 24 executors are compared
    // with each other.
    double significance = 3;
    // Executors of one kind count as known after this number of observations of one of them...
    double known_after = 10;
    // ...or of all of them together.
    double kind_known_after = 30;
    // An executor has turned slow after runs of this many jobs in a row that took at least
    // `slow_factor` times as long as expected on it. Tasks of one job share the error of its
    // estimate, and count once.
    int slow_jobs = 3;
    double slow_factor = 2;
    // If so many runs in a row were slow, the speed is accepted as the executor's own.
    int slow_runs_accepted = 40;
    // How long what was learnt of an executor is kept after it has left the cell, for instance
    // while it restarts.
    common::milliseconds forget_after{60000};

    bool operator==(const speed_limits&) const = default;
};

class executor_speeds {
public:
    explicit executor_speeds(speed_limits by = {}) : m_limits(by) {}

    // Sets the executors of the cell. Others are forgotten some time after they have left.
    void set_executors(const std::vector<const work::executor_info*>& executors,
                       common::time_point now);

    enum class change { none, turned_slow, speed_regained, speed_accepted };
    struct result {
        // The speed by which to normalise the duration; nullopt if it is not representative.
        std::optional<double> speed;
        change what = change::none;

        bool operator==(const result&) const = default;
    };
    // Adds the duration of a successful run. `predicted`: for speed 1.
    result add(const work::executor_info& executor, std::string_view job,
               common::milliseconds predicted, common::milliseconds took);

    // Whether the speeds differ significantly. If not, all count as 1.
    bool do_differ() const { return m_do_differ; }
    // The executor's own speed; 1 when unknown.
    double speed(const work::executor_info& executor) const;
    // The speed that a run which starts now can be expected to have: less than its own for an
    // executor that has turned slow.
    double current_speed(const work::executor_info& executor) const;
    // The same in whole steps of 15%. Speeds that differ by less are not told apart: executors of
    // one kind never seem quite equal, and would otherwise be filled in the order of their
    // estimates instead of by the room they have.
    struct pace {
        double speed = 1;
        int step = 0;

        bool operator==(const pace&) const = default;
    };
    pace current_pace(const work::executor_info& executor) const;
    // The lowest speed that is likely, for the time after which a run counts as stuck; at most 1,
    // so that no error of the estimates makes the time shorter than it is for equal speeds.
    double cautious_speed(const work::executor_info& executor) const;
    bool is_turned_slow(const std::string& executor) const;

    // The means that this cell has observed itself, for others; none while speeds do not differ.
    std::vector<kind_mean> kind_means() const;
    // Takes over what another cell, or an earlier process, has learnt of kinds that this cell has
    // observed little. Returns the number of bad values, which are ignored.
    int receive(const std::vector<kind_mean>& means);

    // Speeds of the slowest and the fastest executor; 1 while speeds do not differ.
    double slowest() const { return m_do_differ ? m_slowest : 1; }
    double fastest() const { return m_do_differ ? m_fastest : 1; }
    std::size_t executors() const { return m_executors.size(); }
    std::size_t kinds() const { return m_kinds.size(); }

private:
    struct kind_state {
        double log_speed = 0;
        double weight = 0;       // of own observations
        double prior_weight = 0; // of what others have told
    };
    struct executor_state {
        std::uint64_t kind = 0;
        std::string label; // the first one, which with the capacity makes the kind
        work::resources capacity;
        double deviation = 0; // from the kind's mean, logarithmic
        double weight = 0;    // of the observations
        double log_speed = 0; // relative to the mean of the cell, at the last refresh
        pace usual;           // likewise
        pace slowed;          // while it has turned slow
        bool is_set = false;  // the kind is known
        bool is_member = false;
        common::time_point left_at; // if it is not a member
        int slow_jobs = 0;          // in a row
        int slow_runs = 0;
        double slow_excess = 0;        // mean logarithm of what they took against what was expected
        std::size_t last_slow_job = 0; // a hash
        bool is_turned_slow = false;
    };

    std::uint64_t known_kind(const work::executor_info& it);
    const executor_state* find(const work::executor_info& it) const;
    executor_state& state_of(const work::executor_info& it);
    double variance(const executor_state& it) const;
    bool is_known(const executor_state& it) const;
    double noise_variance() const;
    double slow_threshold() const;
    change note_pace(executor_state& it, std::string_view job, double excess);
    bool may_turn_slow(const executor_state& it) const;
    void learn(executor_state& it, double residual, double weight);
    void refresh();
    void refresh_differ(const executor_state& slowest, const executor_state& fastest);

    const speed_limits m_limits;
    absl::flat_hash_map<std::string, executor_state> m_executors;
    absl::flat_hash_map<std::uint64_t, kind_state> m_kinds;
    std::size_t m_members = 0;
    std::size_t m_turned_slow = 0;
    std::size_t m_until_refresh = 0; // observations
    double m_centre = 0;             // logarithm of the mean speed of the members
    // The mean residual of the cell's recent runs: estimates may be off by the same factor for all.
    double m_level = 0;
    double m_observations = 0;
    double m_residual_variance = 0;
    bool m_do_differ = false;
    double m_slowest = 1;
    double m_fastest = 1;
};

} // namespace savorytrail::cell
