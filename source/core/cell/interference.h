// Learns which kinds of tasks slow each other down on one executor: compares the durations of runs
// that had a neighbour with those of runs that had not, each relative to the expected duration
// there. Keeps nothing but bounded statistics, and decides nothing: it tells costs to placement.
// The statistics and their limits are explained in docs/design/interference.md.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/cell/duration_model.h"
#include "core/cell/lru_map.h"
#include "core/cell/run_neighbours.h"
#include "core/fleet/shared_state.h"

namespace savorytrail::cell {

// What the tasks of a kind have in common. Tasks of one image behave alike.
struct task_kind {
    std::string queue;
    std::string image; // may be empty

    kind_key key() const;
    std::string to_string() const; // for logs; shortened
};

// A pair has become suspected, or is no longer, with the evidence.
struct pair_change {
    bool is_suspected = false;
    std::string kind;
    std::string neighbour;
    double slowdown = 1;       // factor
    double least_slowdown = 1; // lower confidence bound
    int runs_with = 0;         // effective numbers of runs with the neighbour
    int runs_without = 0;      // and without
    std::string reason;
};

// What placing a task beside tasks of a kind costs: the sum of both logarithms of slowdowns, that
// of the task and that of the neighbour.
struct neighbour_cost {
    kind_key neighbour = 0;
    double log_slowdown = 0;
};

class interference {
public:
    static constexpr std::size_t max_kinds = 64;
    static constexpr std::size_t max_pairs = 1024;
    static constexpr std::size_t max_shared_pairs = 8; // on a heartbeat

    void note_start(const std::string& executor, const work::run_key& run, const task_kind& kind,
                    const run_neighbours::expectation& expected, common::time_point now);
    // The run has ended, however; after note_success() if it succeeded.
    void note_end(const std::string& executor, const work::run_key& run, common::time_point now);
    // The run has succeeded after `took`. Returns the changes that follow from it.
    std::vector<pair_change> note_success(const std::string& executor, const work::run_key& run,
                                          common::milliseconds took, common::time_point now);
    // Adds an observation: ln(duration / expected duration) of a run with its neighbours.
    std::vector<pair_change> observe(const std::string& executor,
                                     const run_neighbours::observation& beside, double log_ratio,
                                     common::time_point now);
    // Forgets suspicions that nothing has confirmed for long; call at intervals of seconds or less.
    std::vector<pair_change> tick(common::time_point now);

    // Whether any pair is suspected here or by a peer; without one there are no costs.
    bool knows_pairs() const { return !m_suspected.empty() || m_priors.size() > 0; }
    // The kinds beside which a task of this kind is better not placed; empty when none is known.
    std::vector<neighbour_cost> costs_beside(kind_key kind, common::time_point now) const;
    // The cost of the executor in whole steps of `cost_step`, with tasks of the kinds `planned`
    // assumed to run there besides.
    std::int64_t cost_on(const std::string& executor, const std::vector<neighbour_cost>& costs,
                         const std::vector<kind_key>& planned = {}) const;

    // The strongest suspected pairs, by own observations only.
    std::vector<fleet::interfering_pair> to_share() const;
    // Takes pairs that another cell suspects as a prior. Returns how many values were ignored.
    std::size_t receive(const std::vector<fleet::interfering_pair>& pairs, common::time_point now);

    std::size_t suspected() const { return m_suspected.size(); }
    std::size_t priors() const { return m_priors.size(); }
    std::size_t kinds() const { return m_kinds.size(); }
    std::size_t pairs() const { return m_pairs.size(); }

private:
    using pair_key = std::pair<kind_key, kind_key>; // kind, neighbour

    // Exponentially weighted sums of observations.
    struct sums {
        double weight = 0;
        double squared_weight = 0; // sum of the squares of weights
        double sum = 0;

        void decay(double factor);
        void add(double value);
        double mean() const { return weight > 0 ? sum / weight : 0; }
        // The number of equally weighted observations that a mean is as exact as.
        double effective_number() const {
            return squared_weight > 0 ? weight * weight / squared_weight : 0;
        }
    };

    struct kind_statistics {
        std::string name;
        std::uint64_t generation = 0; // pairs of another generation begin anew
        std::uint64_t runs = 0;       // total
        // How durations at speed 1, without known effects, depend on estimates. The prediction by
        // queue is shared with other kinds, and drifts when one of them is kept apart from another.
        duration_model::fit durations;
        double center = 0; // moving average of log ratios without known effects
        sums all;          // deviations from what is expected
        double sum_of_squares = 0;

        double variance() const;
    };

    struct pair_statistics {
        std::uint64_t generation = 0;
        std::uint64_t updated_at = 0; // runs of the kind at the last update
        sums with;                    // deviations beside the neighbour, its effect included
        sums excluded;                // as counted for the kind; also of brief neighbours
        bool is_suspected = false;
        double effect = 0;       // log slowdown; 0 unless suspected
        double first_effect = 0; // when it became suspected
        double first_number = 0; // of runs with the neighbour, then
        double recent = 0;       // moving average of deviations while suspected
        common::time_point last_seen;
    };

    // The difference between the means with and without the neighbour.
    struct comparison {
        double difference = 0;
        double standard_error = 0;
        double number_with = 0;
        double number_without = 0;

        bool is_known() const;
    };

    struct prior {
        double log_slowdown = 0;
        double weight = 0;
        common::time_point received;
    };

    struct executor_bias {
        double weight = 0;
        double mean = 0;

        double value() const;
        void add(double deviation);
    };

    kind_statistics& touch_kind(kind_key key);
    pair_statistics& touch_pair(const pair_key& key, const kind_statistics& kind,
                                common::time_point now);
    double known_effect(const pair_key& key) const;
    static comparison compare(const kind_statistics& kind, const pair_statistics& pair);
    static void update_effect(const kind_statistics& kind, pair_statistics& pair);
    // Adds a deviation to the recent ones, and returns whether the pair is to be cleared.
    static bool has_ceased(const kind_statistics& kind, pair_statistics& pair, double deviation);
    pair_change describe(const pair_key& key, const pair_statistics& pair,
                         const comparison& evidence, std::string reason) const;
    pair_change suspect(const pair_key& key, kind_statistics& kind, pair_statistics& pair);
    pair_change clear(const pair_key& key, std::string reason);
    static double prior_weight(const prior& it, common::time_point now);
    void forget_old_priors(common::time_point now);
    double prior_slowdown(const pair_key& key, const prior& it, common::time_point now) const;
    void forget_evicted();

    run_neighbours m_running;
    lru_map<kind_key, kind_statistics> m_kinds{max_kinds};
    lru_map<pair_key, pair_statistics> m_pairs{max_pairs};
    lru_map<pair_key, prior> m_priors{max_kinds};
    lru_map<std::string, executor_bias> m_executors{max_pairs};
    std::vector<pair_key> m_suspected;
    std::uint64_t m_next_generation = 1;
};

} // namespace savorytrail::cell
